package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"

	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/market"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

// Tuning of the policy.
const (
	// sampled is how many workers are compared for one task. Comparing all
	// 2,700 would cost 50 times as much for a placement hardly better.
	sampled = 32
	// urgentEvictions bounds what may give way to one urgent task.
	urgentEvictions = 8
	// hurryFactor of the run time: a task with less slack may cost the
	// service more, in the measure that the preset weighs throughput.
	hurryFactor = 2.0
)

// Learned is the policy in use: it places by learned cost and the preset's
// weight, most urgent and least slack first, and evicts in steps.
type Learned struct{}

// Name returns the policy's name, as the score shows it.
func (Learned) Name() string { return "learned" }

// Plan implements Policy.
func (Learned) Plan(s *Snapshot) Decision {
	p := newPlanner(s)
	p.placeAll()
	p.relieveAll()
	return p.plan
}

// planner is one pass. It owns copies of what it changes.
type planner struct {
	s       *Snapshot
	rng     *rand.Rand
	workers []Worker
	open    []int // indexes of workers that may take tasks
	biggest []resource.Vector
	use     map[string]resource.Vector
	pressed map[int]float64 // worker index to summed cost of its tasks
	plan    Decision
}

func newPlanner(s *Snapshot) *planner {
	p := &planner{s: s, rng: rand.New(rand.NewPCG(s.Seed, 1)), workers: slices.Clone(s.Workers),
		use: make(map[string]resource.Vector), pressed: make(map[int]float64)}
	for i, w := range p.workers {
		if w.Open {
			p.open = append(p.open, i)
		}
		p.noteSize(w.Total)
	}
	return p
}

// noteSize keeps the totals that no other total contains, so that "can it ever
// run" needs no look at every worker.
func (p *planner) noteSize(total resource.Vector) {
	for _, b := range p.biggest {
		if total.Fits(b) {
			return
		}
	}
	p.biggest = append(p.biggest, total)
}

func (p *planner) placeAll() {
	for _, t := range inOrder(p.s) {
		if len(p.plan.Placements) >= p.s.MaxPlacements {
			return
		}
		p.placeOne(t)
	}
}

// inOrder sorts the waiting tasks: urgent, then by slack to the deadline, then
// by age.
func inOrder(s *Snapshot) []*lease.Task {
	type keyed struct {
		task  *lease.Task
		slack int64
	}
	list := make([]keyed, len(s.Waiting))
	for i, t := range s.Waiting {
		list[i] = keyed{t, slack(s, t)}
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		switch {
		case a.task.Urgent != b.task.Urgent:
			return a.task.Urgent
		case a.slack != b.slack:
			return a.slack < b.slack
		case a.task.Submitted != b.task.Submitted:
			return a.task.Submitted < b.task.Submitted
		}
		return a.task.ID < b.task.ID
	})
	out := make([]*lease.Task, len(list))
	for i, k := range list {
		out[i] = k.task
	}
	return out
}

// noSlackBound stands for a task without a deadline.
const noSlackBound = math.MaxInt64

func slack(s *Snapshot, t *lease.Task) int64 {
	if t.Deadline == 0 {
		return noSlackBound
	}
	return t.Deadline - s.Now - s.RunTime(t)
}

func (p *planner) placeOne(t *lease.Task) {
	if p.neverFits(t.Need) {
		p.setAside(t)
		return
	}
	if !p.withinQuota(t) {
		return // its team waits; nobody behind it does
	}
	if i, ok := p.best(t); ok {
		p.take(t, i)
		return
	}
	if t.Urgent {
		p.makeRoom(t)
	}
}

// setAside takes a task that can never run out of the queue, with the reason.
func (p *planner) setAside(t *lease.Task) {
	p.plan.SetAside = append(p.plan.SetAside, lease.SetAsideTask{Task: t.ID,
		Reason: "no worker is large enough for it; declare less or add a larger worker"})
}

func (p *planner) neverFits(need resource.Vector) bool {
	for _, b := range p.biggest {
		if need.Fits(b) {
			return false
		}
	}
	return len(p.biggest) > 0
}

func (p *planner) teamUse(team string) resource.Vector {
	if u, ok := p.use[team]; ok {
		return u
	}
	return p.s.TeamUse(team)
}

func (p *planner) withinQuota(t *lease.Task) bool {
	quota, after := p.s.Quota(t.Team), p.teamUse(t.Team).Add(t.Need)
	cpu := quota.MilliCPU == 0 || after.MilliCPU <= quota.MilliCPU
	memory := quota.MemoryMB == 0 || after.MemoryMB <= quota.MemoryMB
	return cpu && memory
}

// best compares a sample of the open workers and, if none will do, all of them.
func (p *planner) best(t *lease.Task) (int, bool) {
	n := len(p.open)
	if n == 0 {
		return 0, false
	}
	start := p.rng.IntN(n)
	best, bestScore := -1, math.Inf(1)
	for k := range n {
		if k >= sampled && best >= 0 {
			break
		}
		i := p.open[(start+k*stride(n))%n]
		if score, ok := p.score(t, i); ok && score < bestScore {
			best, bestScore = i, score
		}
	}
	return best, best >= 0
}

// stride steps through n workers so that each is met once and neighbours in
// the list, often of one rack, are not met together.
func stride(n int) int {
	for _, s := range [...]int{127, 131, 137} {
		if n%s != 0 {
			return s
		}
	}
	return 1
}

// score returns how bad worker i is for the task, or false when it won't do.
func (p *planner) score(t *lease.Task, i int) (float64, bool) {
	w := &p.workers[i]
	if !t.Need.Fits(w.Free) || !p.withinShare(t, w) {
		return 0, false
	}
	fill := float64(t.Need.MilliCPU) / float64(max(w.Free.MilliCPU, 1))
	if w.Service == "" {
		return fill * packWeight, true
	}
	mean, upper := p.s.Costs.Cost(w.Service, t.Market, t.Job, w.Load)
	pressure := p.pressure(i)
	if pressure+p.judged(w, mean, upper) > p.bound(t, w) && !t.Urgent {
		return 0, false
	}
	return mean + pressure*pressureWeight + fill*packWeight, true
}

// Weights of the score's smaller parts against the task's own cost.
const (
	packWeight     = 0.01
	pressureWeight = 0.25
)

// judged is the cost used against the bound: the rarely exceeded one where the
// preset does not let us explore.
func (p *planner) judged(w *Worker, mean, upper float64) float64 {
	if w.Preset.Explore {
		return mean
	}
	return mean + w.Preset.TailWeight*(upper-mean)
}

// bound is how much logarithmic slowdown the preset allows on a worker. A task
// that would else miss its deadline gets more, in the measure that the preset
// weighs throughput.
func (p *planner) bound(t *lease.Task, w *Worker) float64 {
	bound := math.Log(w.Preset.MaxSlowdown)
	run := p.s.RunTime(t)
	left := slack(p.s, t)
	if left == noSlackBound || float64(left) > hurryFactor*float64(run) {
		return bound * (2 - w.Preset.TailWeight)
	}
	return bound + math.Log(leeway(w.Preset))
}

// leeway is the factor by which a preset's bound may be passed for the sake of
// batch work: by tasks short of time when they are placed, and by a worker's
// slowdown before something is evicted. Both use the same one, else what was
// placed in a hurry would be evicted at once, and placed again.
func leeway(p market.Preset) float64 { return 1 + (1-p.TailWeight)*maxLeeway }

// maxLeeway is for a preset under which only throughput counts.
const maxLeeway = 2.0

func (p *planner) withinShare(t *lease.Task, w *Worker) bool {
	if t.Class == market.ClassContinuous || t.Urgent || w.Service == "" {
		return true
	}
	share := int64(w.Preset.BatchShare * float64(w.Total.MilliCPU))
	return w.BatchUsed+t.Need.MilliCPU <= share
}

// pressure is the summed cost of the tasks already on a worker.
func (p *planner) pressure(i int) float64 {
	if c, ok := p.pressed[i]; ok {
		return c
	}
	w := &p.workers[i]
	if w.Pressure < 0 {
		w.Pressure = Pressure(p.s.Costs, w)
	}
	p.pressed[i] = w.Pressure
	return w.Pressure
}

// throttledCost is the part of a task's cost that is left when it is throttled.
const throttledCost = 0.5

// costOf returns what one running task is expected to cost.
func costOf(costs Costs, w *Worker, r Running) float64 {
	mean, _ := costs.Cost(w.Service, r.Market, r.Job, w.Load)
	if r.Throttled {
		mean *= throttledCost
	}
	return mean
}

// Pressure returns the summed cost of what runs on a worker.
func Pressure(costs Costs, w *Worker) float64 {
	sum := 0.0
	for _, r := range w.Running {
		sum += costOf(costs, w, r)
	}
	return sum
}

func (p *planner) take(t *lease.Task, i int) {
	w := &p.workers[i]
	if w.Service != "" {
		mean, _ := p.s.Costs.Cost(w.Service, t.Market, t.Job, w.Load)
		p.pressed[i] = p.pressure(i) + mean
	}
	w.Free = w.Free.Sub(t.Need)
	if t.Class == market.ClassBatch {
		w.BatchUsed += t.Need.MilliCPU
	}
	p.use[t.Team] = p.teamUse(t.Team).Add(t.Need)
	p.plan.Placements = append(p.plan.Placements, lease.Placement{Task: t.ID, Agent: w.Agent, Boot: w.Boot, Attempt: t.Attempt + 1})
}
