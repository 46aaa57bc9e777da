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

// Parameters of the policy.
const (
	// sampleSize is how many workers are compared for one task. Comparing all 2,700 would cost 50
	// times as much for a hardly better placement.
	sampleSize = 32
	// maxUrgentEvictions limits the tasks evicted for one urgent task.
	maxUrgentEvictions = 8
	// shortSlackFactor is a multiple of a task's run time. A task with less slack may slow down
	// the service more, in proportion to the preset's weight for throughput.
	shortSlackFactor = 2.0
)

// Learned is the policy in production use. It places tasks by learned cost and the preset's
// weights, urgent tasks and those with the least slack first. It throttles tasks before it evicts
// them.
type Learned struct{}

// Name returns the policy's name as the score tool prints it.
func (Learned) Name() string { return "learned" }

// Plan implements Policy.
func (Learned) Plan(s *Snapshot) Decision {
	p := newPlanner(s)
	p.placeAll()
	p.mitigateAll()
	return p.plan
}

// planner is the state of one pass. It owns copies of what it changes.
type planner struct {
	s             *Snapshot
	rng           *rand.Rand
	workers       []Worker
	open          []int // indexes of workers that may take tasks
	maximalTotals []resource.Vector
	use           map[string]resource.Vector
	pressures     map[int]float64 // summed cost of the tasks, by worker index
	plan          Decision
}

func newPlanner(s *Snapshot) *planner {
	p := &planner{s: s, rng: rand.New(rand.NewPCG(s.Seed, 1)), workers: slices.Clone(s.Workers),
		use: make(map[string]resource.Vector), pressures: make(map[int]float64)}
	for i, w := range p.workers {
		if w.Open {
			p.open = append(p.open, i)
		}
		p.recordTotal(w.Total)
	}
	return p
}

// recordTotal keeps the totals that fit in no other total, so that neverFits needn't check every
// worker.
func (p *planner) recordTotal(total resource.Vector) {
	for _, b := range p.maximalTotals {
		if total.Fits(b) {
			return
		}
	}
	p.maximalTotals = append(p.maximalTotals, total)
}

func (p *planner) placeAll() {
	for _, t := range byUrgency(p.s) {
		if len(p.plan.Placements) >= p.s.MaxPlacements {
			return
		}
		p.placeOne(t)
	}
}

// byUrgency returns the waiting tasks in order: urgent ones first, then by slack to the deadline,
// then by age.
func byUrgency(s *Snapshot) []*lease.Task {
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

// noDeadlineSlack is the slack of a task without a deadline.
const noDeadlineSlack = math.MaxInt64

func slack(s *Snapshot, t *lease.Task) int64 {
	if t.Deadline == 0 {
		return noDeadlineSlack
	}
	return t.Deadline - s.Now - s.RunTime(t)
}

func (p *planner) placeOne(t *lease.Task) {
	if p.neverFits(t.Need) {
		p.setAside(t)
		return
	}
	if !p.withinQuota(t) {
		return // only this team waits; other teams' tasks are still placed
	}
	if i, ok := p.best(t); ok {
		p.take(t, i)
		return
	}
	if t.Urgent {
		p.preemptFor(t)
	}
}

// setAside removes a task that can never run from the queue and records the reason.
func (p *planner) setAside(t *lease.Task) {
	p.plan.SetAside = append(p.plan.SetAside, lease.SetAsideTask{Task: t.ID,
		Reason: "no worker is large enough for it; declare less or add a larger worker"})
}

func (p *planner) neverFits(need resource.Vector) bool {
	for _, b := range p.maximalTotals {
		if need.Fits(b) {
			return false
		}
	}
	return len(p.maximalTotals) > 0
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

// best returns the best of a sample of the open workers or, if none of the sample is suitable,
// the first suitable one of the rest.
func (p *planner) best(t *lease.Task) (int, bool) {
	n := len(p.open)
	if n == 0 {
		return 0, false
	}
	start := p.rng.IntN(n)
	best, bestScore := -1, math.Inf(1)
	for k := range n {
		if k >= sampleSize && best >= 0 {
			break
		}
		i := p.open[(start+k*stride(n))%n]
		if score, ok := p.score(t, i); ok && score < bestScore {
			best, bestScore = i, score
		}
	}
	return best, best >= 0
}

// stride returns a step width through n workers that visits each once and doesn't visit
// neighbours in the list, often on one rack, in succession.
func stride(n int) int {
	for _, s := range [...]int{127, 131, 137} {
		if n%s != 0 {
			return s
		}
	}
	return 1
}

// score returns the score of worker i for the task, lower is better, or false if the worker is
// unsuitable.
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
	if pressure+p.boundedCost(w, mean, upper) > p.bound(t, w) && !t.Urgent {
		return 0, false
	}
	return mean + pressure*pressureWeight + fill*packWeight, true
}

// Weights of the score's smaller terms relative to the task's own cost.
const (
	packWeight     = 0.01
	pressureWeight = 0.25
)

// boundedCost returns the cost that is compared with the bound: the expected one if the preset
// allows exploration, otherwise one raised towards the rarely exceeded cost by the preset's tail
// weight.
func (p *planner) boundedCost(w *Worker, mean, upper float64) float64 {
	if w.Preset.Explore {
		return mean
	}
	return mean + w.Preset.TailWeight*(upper-mean)
}

// bound returns the logarithmic slowdown that the preset allows on a worker. A task that would
// otherwise miss its deadline is allowed more, in proportion to the preset's weight for
// throughput.
func (p *planner) bound(t *lease.Task, w *Worker) float64 {
	bound := math.Log(w.Preset.MaxSlowdown)
	run := p.s.RunTime(t)
	left := slack(p.s, t)
	if left == noDeadlineSlack || float64(left) > shortSlackFactor*float64(run) {
		return bound * (2 - w.Preset.TailWeight)
	}
	return bound + math.Log(leeway(w.Preset))
}

// leeway is the factor by which a preset's bound may be exceeded for batch work: by tasks with
// little slack when they are placed, and by a worker's slowdown before it is mitigated. Both use
// the same factor, since otherwise tasks placed with little slack would be evicted immediately
// and placed again.
func leeway(p market.Preset) float64 { return 1 + (1-p.TailWeight)*maxLeeway }

// maxLeeway is added for a preset that weighs throughput only.
const maxLeeway = 2.0

func (p *planner) withinShare(t *lease.Task, w *Worker) bool {
	if t.Class == market.ClassContinuous || t.Urgent || w.Service == "" {
		return true
	}
	share := int64(w.Preset.BatchShare * float64(w.Total.MilliCPU))
	return w.BatchUsed+t.Need.MilliCPU <= share
}

// pressure returns the summed cost of the tasks on a worker, including those placed in this pass.
func (p *planner) pressure(i int) float64 {
	if c, ok := p.pressures[i]; ok {
		return c
	}
	w := &p.workers[i]
	if w.Pressure < 0 {
		w.Pressure = Pressure(p.s.Costs, w)
	}
	p.pressures[i] = w.Pressure
	return w.Pressure
}

// throttledCost is the part of a task's cost that remains when it is throttled.
const throttledCost = 0.5

// costOf returns the expected cost of one running task.
func costOf(costs Costs, w *Worker, r Running) float64 {
	mean, _ := costs.Cost(w.Service, r.Market, r.Job, w.Load)
	if r.Throttled {
		mean *= throttledCost
	}
	return mean
}

// Pressure returns the summed cost of the tasks running on a worker.
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
		p.pressures[i] = p.pressure(i) + mean
	}
	w.Free = w.Free.Sub(t.Need)
	if t.Class == market.ClassBatch {
		w.BatchUsed += t.Need.MilliCPU
	}
	p.use[t.Team] = p.teamUse(t.Team).Add(t.Need)
	p.plan.Placements = append(p.plan.Placements, lease.Placement{Task: t.ID, Agent: w.Agent, Boot: w.Boot, Attempt: t.Attempt + 1})
}
