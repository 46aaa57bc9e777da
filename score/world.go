package score

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"

	"github.com/waxwinghaven/waxwinghaven/interference"
	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/membership"
	"github.com/waxwinghaven/waxwinghaven/placement"
	"github.com/waxwinghaven/waxwinghaven/resource"
	"github.com/waxwinghaven/waxwinghaven/worker"
)

// Times of the mechanism around the decisions, in milliseconds.
const (
	reportLag  = 60 * second // until a measurement of latency reaches the policy
	startDelay = 600         // a plan, its commit, the next renewal, the start
	stopDelay  = 900         // the same for a stop, with its checkpoint
	moveCost   = 30 * second // work lost by a checkpoint and a start elsewhere
	saveEvery  = 10 * minute // checkpoints that a task makes by itself
	passes     = 4           // scheduling passes within one step

	throttledPart = 0.5 // of speed and cost, as the worker's throttle is
)

// box is one worker.
type box struct {
	name     string
	load     float64
	slowdown float64 // true, now
	reports  []report
	seen     report // the newest that has arrived
	late     int
	health   membership.Health
	done     uint64
	failed   uint64
}

// report is a measurement, with what shared the worker when it was taken.
type report struct {
	at       int64
	load     float64
	slowdown float64
	jobs     map[string]int
}

// progress is what is true of one task.
type progress struct {
	kind  *kind
	left  int64 // milliseconds of work
	slow  bool  // throttled: half the speed, half the cost
	saved int64 // of left, at the last checkpoint
}

// world is one policy's day.
type world struct {
	s       *scenario
	policy  placement.Policy
	oracle  bool
	learned bool // learns costs and quarantines
	rng     *rand.Rand
	now     int64
	index   uint64
	tasks   *lease.State
	members *membership.State
	boxes   []*box
	truth   map[string]*progress
	model   *interference.Model
	times   *lease.RunTimes
	res     Row
	samples []weighted // of the whole day
	peak    []weighted // while a preset weighs only tail latency
	urgent  []float64
	pending map[string]int64 // urgent tasks not yet started: when they came
}

// weighted is a slowdown with the requests that met it.
type weighted struct{ slowdown, requests float64 }

func newWorld(s *scenario, p contender, seed uint64) *world {
	w := &world{s: s, policy: p.policy, oracle: p.oracle, learned: p.learned, rng: rand.New(rand.NewPCG(seed, 99)),
		tasks: lease.NewState(), members: membership.NewState(), truth: make(map[string]*progress), model: interference.NewModel(),
		times: lease.NewRunTimes(), pending: make(map[string]int64)}
	w.res = Row{Deployment: s.name, Policy: p.name}
	for i := range s.workers {
		b := &box{name: fmt.Sprintf("w%02d", i), slowdown: 1}
		w.boxes = append(w.boxes, b)
		w.announce(i)
	}
	return w
}

func (w *world) announce(i int) {
	w.index++
	w.members.ApplyAnnounce(membership.Member{Agent: w.boxes[i].name, Address: "127.0.0.1:1", Boot: fmt.Sprint(w.index),
		DataCentre: fmt.Sprint("dc", i%w.s.centres), Rack: fmt.Sprint("rack", i/3), Capacity: w.s.capacity, Market: "m", Service: "s"}, w.index)
}

// run plays one day. What is still running at its end is not counted as done.
func (w *world) run() Row {
	sort.Slice(w.s.arrivals, func(i, j int) bool { return w.s.arrivals[i].at < w.s.arrivals[j].at })
	next := 0
	for w.now = 0; w.now < dayLong; w.now += step {
		for next < len(w.s.arrivals) && w.s.arrivals[next].at <= w.now {
			w.submit(next, w.s.arrivals[next])
			next++
		}
		w.cancel()
		w.fail()
		w.measure()
		w.work()
		w.schedule()
	}
	w.finish()
	return w.res
}

func (w *world) submit(n int, a arrival) {
	id := fmt.Sprint("s", n)
	job := a.kind.job
	if _, err := w.tasks.ApplySubmit(lease.Submit{ID: id, Market: "m", Job: job.Name, Count: a.count, IssuedMS: w.now}, &job, w.now); err != nil {
		panic(err) // the scenario is wrong
	}
	for i := range a.count {
		task := fmt.Sprintf("%s/%d", id, i)
		// Single tasks differ from their kind a little.
		left := int64(float64(a.kind.trueTime) * (0.8 + 0.4*float64((n*31+i*17)%100)/100))
		w.truth[task] = &progress{kind: a.kind, left: left, saved: left}
		if job.Urgent {
			w.pending[task] = w.now
		}
		if !a.kind.never {
			w.res.Tasks++
		}
	}
}

func (w *world) cancel() {
	for _, c := range w.s.cancels {
		if c.at == w.now {
			a := w.tasks.ApplyCancel(lease.Cancel{Market: "m", Job: c.kind.job.Name}, w.now)
			w.res.Tasks -= a.Cancelled + a.Stopping
		}
	}
}

// fail loses instances, brings them back, and quarantines.
func (w *world) fail() {
	for _, l := range w.s.lost {
		name := w.boxes[l.worker].name
		switch w.now {
		case l.from:
			w.lose(name)
		case l.to:
			w.announce(l.worker)
		}
	}
	if !w.learned || w.now%minute != 0 {
		return
	}
	for _, mv := range w.members.Quarantine(w.health) {
		w.index++
		w.members.ApplyMove(mv, w.index, w.now)
	}
}

func (w *world) health(agent string) *membership.Health {
	for _, b := range w.boxes {
		if b.name == agent {
			b.health.Note(b.done, b.failed)
			return &b.health
		}
	}
	return nil
}

func (w *world) lose(name string) {
	m := w.members.Members[name]
	w.index++
	w.members.ApplyMove(membership.Move{Agent: name, Boot: m.Boot, Phase: membership.Down}, w.index, w.now)
	for id := range w.tasks.On(name) {
		p := w.truth[id]
		w.res.LostHours += w.hours(id, p.saved-p.left)
		p.left, p.slow = p.saved, false
	}
	w.tasks.ApplyAgentLost(name, m.Boot, w.now)
}

func (w *world) hours(task string, ms int64) float64 {
	return float64(ms) / float64(hour) * float64(w.tasks.Tasks[task].Need.MilliCPU) / 1000
}

// measure computes every worker's true slowdown, takes a measurement once a
// minute, and hands over those that have been on their way for long enough.
func (w *world) measure() {
	for _, b := range w.boxes {
		b.load = w.s.load(w.now, w.rng)
		jobs, sum := make(map[string]int), 0.0
		for _, o := range w.tasks.Orders(b.name) {
			k := w.truth[o.Task].kind
			cost, name := k.cost[interference.Band(b.load)], "m/"+k.job.Name
			if w.truth[o.Task].slow {
				cost, name = cost*throttledPart, name+worker.ThrottledSuffix
			}
			jobs[name]++
			sum += cost
		}
		b.slowdown = math.Exp(sum)
		w.samples = append(w.samples, weighted{b.slowdown, b.load})
		if w.s.preset(w.now).TailWeight == 1 {
			w.peak = append(w.peak, weighted{b.slowdown, b.load})
		}
		noise := math.Exp(0.08 * w.rng.NormFloat64())
		if w.now%minute == 0 {
			b.reports = append(b.reports, report{w.now, b.load, b.slowdown * noise, jobs})
		}
		w.arrive(b)
	}
}

func (w *world) arrive(b *box) {
	for len(b.reports) > 0 && b.reports[0].at+reportLag <= w.now {
		r := b.reports[0]
		b.reports = b.reports[1:]
		b.seen = r
		if w.learned && !w.oracle {
			w.model.Observe("m/s", r.load, r.jobs, r.slowdown)
		}
		if r.slowdown > w.s.preset(w.now).MaxSlowdown {
			b.late++
		} else {
			b.late = 0
		}
	}
}

// work lets the running tasks go on by one step.
func (w *world) work() {
	for i, b := range w.boxes {
		for _, o := range w.tasks.Orders(b.name) {
			w.goOn(i, b, o)
		}
	}
}

func (w *world) goOn(i int, b *box, o lease.Order) {
	p, t := w.truth[o.Task], w.tasks.Tasks[o.Task]
	switch {
	case o.Stop == lease.StopCancel:
		w.end(b, o, lease.OutcomeStopped)
	case o.Stop == lease.StopCheckpoint:
		w.evicted(b, o, p)
	case w.s.failing.holds(i, w.now):
		b.failed++
		w.end(b, o, lease.OutcomeFailed)
	default:
		if p.slow {
			p.left -= int64(float64(step) * throttledPart)
		} else {
			p.left -= step
		}
		if (w.now-t.PlacedAt)%saveEvery == 0 {
			p.saved = p.left
		}
		if p.left <= 0 {
			w.finished(b, o, p, t)
		}
	}
}

func (w *world) evicted(b *box, o lease.Order, p *progress) {
	w.res.Evictions++
	w.res.LostHours += w.hours(o.Task, moveCost)
	p.left += moveCost
	p.saved, p.slow = p.left, false
	w.end(b, o, lease.OutcomeStopped)
}

func (w *world) finished(b *box, o lease.Order, p *progress, t *lease.Task) {
	b.done++
	w.res.Done++
	w.res.DoneHours += float64(p.kind.trueTime) / float64(hour) * float64(o.Need.MilliCPU) / 1000
	w.countDeadline(t, w.now <= t.Deadline)
	w.end(b, o, lease.OutcomeDone)
}

// countDeadline counts a deadline, and by itself one that falls into a time
// whose preset weighs throughput: only there is batch to come first.
func (w *world) countDeadline(t *lease.Task, met bool) {
	if t.Deadline == 0 {
		return
	}
	count := func(all, kept *int) {
		*all++
		if met {
			*kept++
		}
	}
	count(&w.res.Deadlines, &w.res.Met)
	if w.s.preset(min(t.Deadline, dayLong-1)).TailWeight < 0.5 {
		count(&w.res.BatchDeadlines, &w.res.BatchMet)
	}
}

func (w *world) end(b *box, o lease.Order, outcome lease.Outcome) {
	w.tasks.ApplyEnd(b.name, lease.End{Task: o.Task, Attempt: o.Attempt, Outcome: outcome, Checkpoint: "saved", Reason: "score"}, w.now)
}

// schedule makes a few passes, as the control would within a step, so that an
// urgent task can be placed after those it displaces have been stopped.
func (w *world) schedule() {
	w.times.Update(w.tasks)
	for pass := range passes {
		plan := w.policy.Plan(w.snapshot(uint64(pass)))
		w.throttle(plan)
		w.tasks.ApplyPlan(plan.Plan, lease.Limits{Room: w.room, Quota: noQuota}, w.now)
		w.noteUrgent(pass)
		if len(w.pending) == 0 {
			return
		}
		w.stopEvicted()
	}
}

// stopEvicted confirms the stops at once when urgent work waits for them.
func (w *world) stopEvicted() {
	for _, b := range w.boxes {
		for _, o := range w.tasks.Orders(b.name) {
			if o.Stop == lease.StopCheckpoint {
				w.evicted(b, o, w.truth[o.Task])
			}
		}
	}
}

// throttle takes effect at once, and a worker where it did must be late again
// before more is done there.
func (w *world) throttle(d placement.Decision) {
	for _, a := range d.Throttle {
		w.truth[a.Task].slow = true
		w.res.Throttles++
		for _, b := range w.boxes {
			if b.name == a.Agent {
				b.late = 0
			}
		}
	}
	for _, a := range d.Release {
		w.truth[a.Task].slow = false
	}
}

func (w *world) noteUrgent(pass int) {
	for id, came := range w.pending {
		t := w.tasks.Tasks[id]
		if t == nil || t.Phase == lease.Waiting {
			continue
		}
		delete(w.pending, id)
		wait := w.now - came + startDelay
		if pass > 0 {
			wait += stopDelay
		}
		w.urgent = append(w.urgent, float64(wait)/float64(second))
	}
}

func noQuota(string) resource.Vector { return resource.Vector{} }

func (w *world) kept() resource.Vector { return resource.Vector{MilliCPU: w.s.kept} }

func (w *world) room(agent string) lease.Room { return w.members.Room(agent, w.kept()) }

func (w *world) snapshot(pass uint64) *placement.Snapshot {
	s := &placement.Snapshot{Now: w.now, Waiting: w.tasks.WaitingHeads(128), Quota: noQuota, TeamUse: w.tasks.TeamUse,
		RunTime: w.times.Of, Costs: w.model, Seed: uint64(w.now) + pass, MaxPlacements: 512}
	if w.oracle {
		s.Costs, s.RunTime = w, w.trueTime
	}
	for _, b := range w.boxes {
		s.Workers = append(s.Workers, w.view(s, b))
	}
	return s
}

func (w *world) view(s *placement.Snapshot, b *box) placement.Worker {
	room := w.room(b.name)
	v := placement.Worker{Agent: b.name, Boot: room.Boot, Open: room.Open, Total: room.Total, Free: room.Total.Sub(w.tasks.Reserved(b.name)),
		Service: "m/s", Preset: w.s.preset(w.now), Load: b.seen.load, Slowdown: b.seen.slowdown, Late: b.late, Pressure: -1}
	if w.oracle {
		v.Load, v.Slowdown, v.Late = b.load, b.slowdown, 9
	}
	for _, o := range w.tasks.Orders(b.name) {
		t := w.tasks.Tasks[o.Task]
		v.BatchUsed += t.Need.MilliCPU
		v.Running = append(v.Running, placement.Running{Task: t.ID, Attempt: t.Attempt, Market: "m", Job: t.Job, Need: t.Need,
			Started: t.PlacedAt, Expected: s.RunTime(t), Deadline: t.Deadline, Urgent: t.Urgent, Evictable: t.Phase == lease.Placed, Throttled: w.truth[t.ID].slow})
	}
	return v
}

func (w *world) trueTime(t *lease.Task) int64 { return w.truth[t.ID].left }

// Cost tells the oracle the true costs.
func (w *world) Cost(_, _, job string, load float64) (mean, upper float64) {
	for _, k := range w.s.kinds {
		if k.job.Name == job {
			c := k.cost[interference.Band(load)]
			return c, c
		}
	}
	return 0, 0
}

// finish turns the samples into the row's figures.
func (w *world) finish() {
	w.res.P99, w.res.P999 = slowdowns(w.samples, 0.99), slowdowns(w.samples, 0.999)
	w.res.PeakP99 = slowdowns(w.peak, 0.99)
	for _, t := range w.tasks.Tasks {
		if !t.Over() && t.Deadline < dayLong {
			w.countDeadline(t, false)
		}
	}
	sort.Float64s(w.urgent)
	if n := len(w.urgent); n > 0 {
		w.res.Urgent = w.urgent[n-1]
	}
	if len(w.pending) > 0 {
		w.res.Urgent = math.Inf(1)
	}
}
