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

// Parameters of the simulated control and workers. Times are in milliseconds.
const (
	reportLag          = 60 * second // until a latency measurement reaches the policy
	startDelay         = 600         // for a plan, its commit, the next renewal and the start
	stopDelay          = 900         // the same for a stop with its checkpoint
	moveCost           = 30 * second // work lost by a checkpoint and a start on another worker
	checkpointInterval = 10 * minute // between the checkpoints that a running task saves
	passesPerStep      = 4           // scheduling passes within one step

	throttledFactor = 0.5 // factor for a throttled task's speed and cost, as on workers
)

// simWorker is a simulated worker.
type simWorker struct {
	name        string
	load        float64
	slowdown    float64 // true value at present
	reports     []report
	latest      report // the newest report that has reached the policy
	lateReports int    // consecutive reports above the preset's bound
	health      membership.Health
	done        uint64
	failed      uint64
}

// report is a latency measurement, with the number of tasks on the worker by job at that time.
type report struct {
	at       int64
	load     float64
	slowdown float64
	jobs     map[string]int
}

// progress is the true state of one task.
type progress struct {
	kind         *kind
	remaining    int64 // work in milliseconds
	throttled    bool  // runs at half the speed and half the cost
	checkpointed int64 // value of remaining at the last checkpoint
}

// world simulates one day under one policy.
type world struct {
	s          *scenario
	policy     placement.Policy
	oracle     bool
	learned    bool // learns costs and quarantines failing workers
	rng        *rand.Rand
	now        int64
	index      uint64
	tasks      *lease.State
	members    *membership.State
	simWorkers []*simWorker
	truth      map[string]*progress
	model      *interference.Model
	times      *lease.RunTimes
	row        Row
	samples    []weightedSlowdown // of the whole day
	peak       []weightedSlowdown // while the preset weighs tail latency only
	urgent     []float64          // delays of urgent starts, in seconds
	pending    map[string]int64   // submission times of urgent tasks not yet started
}

// weightedSlowdown is a slowdown with the relative number of requests that it affected.
type weightedSlowdown struct{ slowdown, requests float64 }

func newWorld(s *scenario, p candidate, seed uint64) *world {
	w := &world{s: s, policy: p.policy, oracle: p.oracle, learned: p.learned, rng: rand.New(rand.NewPCG(seed, 99)),
		tasks: lease.NewState(), members: membership.NewState(), truth: make(map[string]*progress), model: interference.NewModel(),
		times: lease.NewRunTimes(), pending: make(map[string]int64)}
	w.row = Row{Deployment: s.name, Policy: p.name}
	for i := range s.workers {
		b := &simWorker{name: fmt.Sprintf("w%02d", i), slowdown: 1}
		w.simWorkers = append(w.simWorkers, b)
		w.announce(i)
	}
	return w
}

func (w *world) announce(i int) {
	w.index++
	w.members.ApplyAnnounce(membership.Member{Agent: w.simWorkers[i].name, Address: "127.0.0.1:1", Boot: fmt.Sprint(w.index),
		DataCentre: fmt.Sprint("dc", i%w.s.centres), Rack: fmt.Sprint("rack", i/3), Capacity: w.s.capacity, Market: "m", Service: "s"}, w.index)
}

// run simulates one day. Tasks that still run at its end are not counted as done.
func (w *world) run() Row {
	sort.Slice(w.s.arrivals, func(i, j int) bool { return w.s.arrivals[i].at < w.s.arrivals[j].at })
	next := 0
	for w.now = 0; w.now < dayLength; w.now += step {
		for next < len(w.s.arrivals) && w.s.arrivals[next].at <= w.now {
			w.submit(next, w.s.arrivals[next])
			next++
		}
		w.cancel()
		w.injectFailures()
		w.measure()
		w.runTasks()
		w.schedule()
	}
	w.summarise()
	return w.row
}

func (w *world) submit(n int, a arrival) {
	id := fmt.Sprint("s", n)
	job := a.kind.job
	if _, err := w.tasks.ApplySubmit(lease.Submit{ID: id, Market: "m", Job: job.Name, Count: a.count, IssuedMS: w.now}, &job, w.now); err != nil {
		panic(err) // the scenario is invalid
	}
	for i := range a.count {
		task := fmt.Sprintf("%s/%d", id, i)
		// Run times of single tasks vary by up to a fifth around that of their kind.
		remaining := int64(float64(a.kind.trueRunTime) * (0.8 + 0.4*float64((n*31+i*17)%100)/100))
		w.truth[task] = &progress{kind: a.kind, remaining: remaining, checkpointed: remaining}
		if job.Urgent {
			w.pending[task] = w.now
		}
		if !a.kind.tooLarge {
			w.row.Tasks++
		}
	}
}

func (w *world) cancel() {
	for _, c := range w.s.cancels {
		if c.at == w.now {
			a := w.tasks.ApplyCancel(lease.Cancel{Market: "m", Job: c.kind.job.Name}, w.now)
			w.row.Tasks -= a.Cancelled + a.Stopping
		}
	}
}

// injectFailures takes workers down and brings them back as the scenario says. Once a minute it
// applies quarantine, if the policy learns.
func (w *world) injectFailures() {
	for _, l := range w.s.outages {
		name := w.simWorkers[l.worker].name
		switch w.now {
		case l.from:
			w.loseWorker(name)
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
	for _, b := range w.simWorkers {
		if b.name == agent {
			b.health.Record(b.done, b.failed)
			return &b.health
		}
	}
	return nil
}

func (w *world) loseWorker(name string) {
	m := w.members.Members[name]
	w.index++
	w.members.ApplyMove(membership.Move{Agent: name, Boot: m.Boot, Phase: membership.Down}, w.index, w.now)
	for id := range w.tasks.On(name) {
		p := w.truth[id]
		w.row.LostHours += w.coreHours(id, p.checkpointed-p.remaining)
		p.remaining, p.throttled = p.checkpointed, false
	}
	w.tasks.ApplyAgentLost(name, m.Boot, w.now)
}

func (w *world) coreHours(task string, ms int64) float64 {
	return float64(ms) / float64(hour) * float64(w.tasks.Tasks[task].Need.MilliCPU) / 1000
}

// measure computes every worker's true slowdown, takes a noisy measurement once a minute, and
// delivers the measurements that are at least reportLag old.
func (w *world) measure() {
	for _, b := range w.simWorkers {
		b.load = w.s.load(w.now, w.rng)
		jobs, sum := make(map[string]int), 0.0
		for _, o := range w.tasks.Orders(b.name) {
			k := w.truth[o.Task].kind
			cost, name := k.cost[interference.Band(b.load)], "m/"+k.job.Name
			if w.truth[o.Task].throttled {
				cost, name = cost*throttledFactor, name+worker.ThrottledSuffix
			}
			jobs[name]++
			sum += cost
		}
		b.slowdown = math.Exp(sum)
		w.samples = append(w.samples, weightedSlowdown{b.slowdown, b.load})
		if w.s.preset(w.now).TailWeight == 1 {
			w.peak = append(w.peak, weightedSlowdown{b.slowdown, b.load})
		}
		noise := math.Exp(0.08 * w.rng.NormFloat64())
		if w.now%minute == 0 {
			b.reports = append(b.reports, report{w.now, b.load, b.slowdown * noise, jobs})
		}
		w.deliverReports(b)
	}
}

func (w *world) deliverReports(b *simWorker) {
	for len(b.reports) > 0 && b.reports[0].at+reportLag <= w.now {
		r := b.reports[0]
		b.reports = b.reports[1:]
		b.latest = r
		if w.learned && !w.oracle {
			w.model.Observe("m/s", r.load, r.jobs, r.slowdown)
		}
		if r.slowdown > w.s.preset(w.now).MaxSlowdown {
			b.lateReports++
		} else {
			b.lateReports = 0
		}
	}
}

// runTasks advances the running tasks by one step.
func (w *world) runTasks() {
	for i, b := range w.simWorkers {
		for _, o := range w.tasks.Orders(b.name) {
			w.runTask(i, b, o)
		}
	}
}

func (w *world) runTask(i int, b *simWorker, o lease.Order) {
	p, t := w.truth[o.Task], w.tasks.Tasks[o.Task]
	switch {
	case o.Stop == lease.StopCancel:
		w.endAttempt(b, o, lease.OutcomeStopped)
	case o.Stop == lease.StopCheckpoint:
		w.completeEviction(b, o, p)
	case w.s.failing.covers(i, w.now):
		b.failed++
		w.endAttempt(b, o, lease.OutcomeFailed)
	default:
		if p.throttled {
			p.remaining -= int64(float64(step) * throttledFactor)
		} else {
			p.remaining -= step
		}
		if (w.now-t.PlacedAt)%checkpointInterval == 0 {
			p.checkpointed = p.remaining
		}
		if p.remaining <= 0 {
			w.completeTask(b, o, p, t)
		}
	}
}

func (w *world) completeEviction(b *simWorker, o lease.Order, p *progress) {
	w.row.Evictions++
	w.row.LostHours += w.coreHours(o.Task, moveCost)
	p.remaining += moveCost
	p.checkpointed, p.throttled = p.remaining, false
	w.endAttempt(b, o, lease.OutcomeStopped)
}

func (w *world) completeTask(b *simWorker, o lease.Order, p *progress, t *lease.Task) {
	b.done++
	w.row.Done++
	w.row.DoneHours += float64(p.kind.trueRunTime) / float64(hour) * float64(o.Need.MilliCPU) / 1000
	w.countDeadline(t, w.now <= t.Deadline)
	w.endAttempt(b, o, lease.OutcomeDone)
}

// countDeadline counts a deadline. Deadlines at times when the preset favours throughput are also
// counted separately, since only then does batch work have precedence.
func (w *world) countDeadline(t *lease.Task, met bool) {
	if t.Deadline == 0 {
		return
	}
	count := func(total, metCount *int) {
		*total++
		if met {
			*metCount++
		}
	}
	count(&w.row.Deadlines, &w.row.Met)
	if w.s.preset(min(t.Deadline, dayLength-1)).TailWeight < 0.5 {
		count(&w.row.BatchDeadlines, &w.row.BatchMet)
	}
}

func (w *world) endAttempt(b *simWorker, o lease.Order, outcome lease.Outcome) {
	w.tasks.ApplyEnd(b.name, lease.End{Task: o.Task, Attempt: o.Attempt, Outcome: outcome, Checkpoint: "saved", Reason: "score"}, w.now)
}

// schedule runs up to passesPerStep passes, as the control would within a step, so that an urgent
// task can be placed after the tasks that it preempts have stopped.
func (w *world) schedule() {
	w.times.Update(w.tasks)
	for pass := range passesPerStep {
		plan := w.policy.Plan(w.snapshot(uint64(pass)))
		w.throttle(plan)
		w.tasks.ApplyPlan(plan.Plan, lease.Limits{Capacity: w.room, Quota: noQuota}, w.now)
		w.recordUrgentStarts(pass)
		if len(w.pending) == 0 {
			return
		}
		w.completeEvictions()
	}
}

// completeEvictions confirms all stops with a checkpoint immediately instead of in the next step,
// because urgent tasks wait for the capacity.
func (w *world) completeEvictions() {
	for _, b := range w.simWorkers {
		for _, o := range w.tasks.Orders(b.name) {
			if o.Stop == lease.StopCheckpoint {
				w.completeEviction(b, o, w.truth[o.Task])
			}
		}
	}
}

// throttle applies throttling and releases, which take effect immediately. It resets the count of
// late reports on a worker with newly throttled tasks, so that the policy waits for the effect.
func (w *world) throttle(d placement.Decision) {
	for _, a := range d.Throttle {
		w.truth[a.Task].throttled = true
		w.row.Throttles++
		for _, b := range w.simWorkers {
			if b.name == a.Agent {
				b.lateReports = 0
			}
		}
	}
	for _, a := range d.Release {
		w.truth[a.Task].throttled = false
	}
}

func (w *world) recordUrgentStarts(pass int) {
	for id, submittedAt := range w.pending {
		t := w.tasks.Tasks[id]
		if t == nil || t.Phase == lease.Waiting {
			continue
		}
		delete(w.pending, id)
		wait := w.now - submittedAt + startDelay
		if pass > 0 {
			wait += stopDelay
		}
		w.urgent = append(w.urgent, float64(wait)/float64(second))
	}
}

func noQuota(string) resource.Vector { return resource.Vector{} }

func (w *world) reserved() resource.Vector { return resource.Vector{MilliCPU: w.s.reservedCPU} }

func (w *world) room(agent string) lease.AgentCapacity {
	return w.members.Available(agent, w.reserved())
}

func (w *world) snapshot(pass uint64) *placement.Snapshot {
	s := &placement.Snapshot{Now: w.now, Waiting: w.tasks.WaitingHeads(128), Quota: noQuota, TeamUse: w.tasks.TeamUse,
		RunTime: w.times.Of, Costs: w.model, Seed: uint64(w.now) + pass, MaxPlacements: 512}
	if w.oracle {
		s.Costs, s.RunTime = w, w.trueRunTime
	}
	for _, b := range w.simWorkers {
		s.Workers = append(s.Workers, w.view(s, b))
	}
	return s
}

func (w *world) view(s *placement.Snapshot, b *simWorker) placement.Worker {
	room := w.room(b.name)
	v := placement.Worker{Agent: b.name, Boot: room.Boot, Open: room.Schedulable, Total: room.Total, Free: room.Total.Sub(w.tasks.Reserved(b.name)),
		Service: "m/s", Preset: w.s.preset(w.now), Load: b.latest.load, Slowdown: b.latest.slowdown, Late: b.lateReports, Pressure: -1}
	if w.oracle {
		v.Load, v.Slowdown, v.Late = b.load, b.slowdown, 9
	}
	for _, o := range w.tasks.Orders(b.name) {
		t := w.tasks.Tasks[o.Task]
		v.BatchUsed += t.Need.MilliCPU
		v.Running = append(v.Running, placement.Running{Task: t.ID, Attempt: t.Attempt, Market: "m", Job: t.Job, Need: t.Need,
			Started: t.PlacedAt, Expected: s.RunTime(t), Deadline: t.Deadline, Urgent: t.Urgent, Evictable: t.Phase == lease.Placed, Throttled: w.truth[t.ID].throttled})
	}
	return v
}

func (w *world) trueRunTime(t *lease.Task) int64 { return w.truth[t.ID].remaining }

// Cost implements placement.Costs for the oracle. It returns the true cost of a job's task as both
// values.
func (w *world) Cost(_, _, job string, load float64) (mean, upper float64) {
	for _, k := range w.s.kinds {
		if k.job.Name == job {
			c := k.cost[interference.Band(load)]
			return c, c
		}
	}
	return 0, 0
}

// summarise computes the latencies, the remaining deadlines and the longest urgent start of the row.
// Urgent is infinite if an urgent task never started.
func (w *world) summarise() {
	w.row.P99, w.row.P999 = relativeQuantile(w.samples, 0.99), relativeQuantile(w.samples, 0.999)
	w.row.PeakP99 = relativeQuantile(w.peak, 0.99)
	for _, t := range w.tasks.Tasks {
		if !t.Over() && t.Deadline < dayLength {
			w.countDeadline(t, false)
		}
	}
	sort.Float64s(w.urgent)
	if n := len(w.urgent); n > 0 {
		w.row.Urgent = w.urgent[n-1]
	}
	if len(w.pending) > 0 {
		w.row.Urgent = math.Inf(1)
	}
}
