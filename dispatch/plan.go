// Package dispatch decides which waiting task starts on which worker. It is a
// pure function from a snapshot of the jobs to a plan; the log re-checks the
// plan when it is applied.
package dispatch

import (
	"slices"
	"sort"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/queues"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

// Limits of one pass, so that a pass stays within a few milliseconds however
// much waits.
const (
	maxPlacements = 512
	// fillFactor is how far filling tasks may be promised processors that
	// others hold. Serving tasks use about half of what they ask for, so a
	// worker full of them still leaves a third.
	fillFactor = 1.0
	// apartWait is how long a filling task waits for a worker without serving
	// tasks. Beside one it is slowed down, often to a stand: renders that were
	// let in at once earned 0.46 of their worth, kept apart 0.80. But where
	// every worker serves it must not wait for ever.
	apartWait = 2500 * time.Millisecond
)

// Input is what a plan is made from. Nothing of it is changed.
type Input struct {
	Jobs   *jobs.State
	Config *queues.Config
	// NowMS is the time that occurrences are due by, in milliseconds since
	// 1970.
	NowMS int64
	// Shunned workers get no new tasks: they rejected some just now, or fail
	// far more than their peers.
	Shunned map[string]bool
	// Waited returns how long a group has had tasks that could begin, nil for
	// no time at all.
	Waited func(*jobs.Group) time.Duration
}

// planner is the working copy of one pass.
type planner struct {
	in      Input
	workers map[string][]*candidate // by service
	plan    jobs.Plan
	placed  int
}

// candidate is a worker with the room it has left in this pass.
type candidate struct {
	worker  *jobs.Worker
	free    resource.Vector
	filling int64 // processors promised to filling tasks
	serving int
}

// request is a group in the order in which the pass serves it.
type request struct {
	group  *jobs.Group
	queue  *queues.Queue
	waited time.Duration
}

// Next returns the placements for what waits and fits.
func Next(in Input) jobs.Plan {
	p := &planner{in: in}
	requests := p.requests()
	if len(requests) == 0 {
		return p.plan
	}
	p.gather()
	for _, r := range requests {
		if p.placed >= maxPlacements {
			break
		}
		p.place(r)
	}
	return p.plan
}

// requests returns what may begin, in the order of urgency.
func (p *planner) requests() []request {
	var out []request
	for _, g := range p.in.Jobs.Ready() {
		q := p.in.Config.At(g.Job().Host, g.Job().Prefix)
		if q == nil || g.DueAt() > p.in.NowMS {
			continue
		}
		r := request{group: g, queue: q}
		if p.in.Waited != nil {
			r.waited = p.in.Waited(g)
		}
		out = append(out, r)
	}
	sort.SliceStable(out, func(i, k int) bool { return before(out[i], out[k]) })
	return out
}

// before orders by priority, then standing tasks, then by acceptance. A standing
// task that is away is missed by its own users every second.
func before(a, b request) bool {
	if a.queue.Priority != b.queue.Priority {
		return a.queue.Priority < b.queue.Priority
	}
	if sa, sb := a.group.Step().Standing, b.group.Step().Standing; sa != sb {
		return sa
	}
	return a.group.Job().Seq < b.group.Job().Seq
}

func (p *planner) gather() {
	p.workers = make(map[string][]*candidate)
	ids := make([]string, 0, len(p.in.Jobs.Workers))
	for id := range p.in.Jobs.Workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		w := p.in.Jobs.Workers[id]
		if w.Draining || p.in.Shunned[id] {
			continue
		}
		u := p.in.Jobs.Use(id)
		p.workers[w.Service] = append(p.workers[w.Service],
			&candidate{worker: w, free: w.Capacity.Sub(u.Held), filling: u.Filling, serving: u.Serving})
	}
}

func (p *planner) place(r request) {
	pl := jobs.Placement{Job: r.group.Job().ID, Occurrence: r.group.Occurrence(), Step: r.group.StepIndex()}
	onWorker := make(map[string]int)
	var taken []*candidate
	st := r.group.Step()
	for i := range r.group.Tasks {
		t := &r.group.Tasks[i]
		if t.Placed != nil {
			onWorker[t.Placed.Worker]++
		}
	}
	for i := range r.group.Tasks {
		if t := &r.group.Tasks[i]; t.Done || t.Placed != nil {
			continue
		}
		c := p.choose(r, onWorker)
		if c == nil {
			break // the tasks of a step are alike: the next would not fit either
		}
		c.take(st)
		onWorker[c.worker.ID]++
		taken = append(taken, c)
		pl.Indexes = append(pl.Indexes, i)
		pl.Workers = append(pl.Workers, c.worker.ID)
	}
	if st.Gang && len(pl.Indexes) < len(r.group.Tasks) {
		for _, c := range taken {
			c.giveBack(st)
		}
		return
	}
	if len(pl.Indexes) > 0 {
		p.plan.Placements = append(p.plan.Placements, pl)
		p.placed += len(pl.Indexes)
	}
}

func (c *candidate) take(st *jobs.Step) {
	c.free = c.free.Sub(held(st))
	if st.Fills {
		c.filling += st.Need.MilliCPU
	}
	if st.TargetMS > 0 {
		c.serving++
	}
}

func (c *candidate) giveBack(st *jobs.Step) {
	c.free = c.free.Add(held(st))
	if st.Fills {
		c.filling -= st.Need.MilliCPU
	}
	if st.TargetMS > 0 {
		c.serving--
	}
}

// held is what a task takes from the room: a filling task takes no processors.
func held(st *jobs.Step) resource.Vector {
	n := st.Need
	if st.Fills {
		n.MilliCPU = 0
	}
	return n
}

// choose returns the best worker for one more task of a step, nil for none.
func (p *planner) choose(r request, onWorker map[string]int) *candidate {
	st := r.group.Step()
	var best *candidate
	bestCost := 0.0
	for _, c := range p.workers[r.queue.Service] {
		if !c.fits(st, r.waited) || (st.MaxPerWorker > 0 && onWorker[c.worker.ID] >= st.MaxPerWorker) {
			continue
		}
		if cost := c.cost(st); best == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best
}

// fits reports whether one more task of a step has room. Beside serving tasks a
// filling one is let in only when it has waited for long.
func (c *candidate) fits(st *jobs.Step, waited time.Duration) bool {
	if st.Fills && c.serving > 0 && waited < apartWait {
		return false
	}
	if st.Label != "" && !c.worker.HasLabel(st.Label) {
		return false
	}
	if st.Fills && c.filling+st.Need.MilliCPU > int64(fillFactor*float64(c.unheld())) {
		return false
	}
	return held(st).Fits(c.free)
}

// unheld is the processors that are left for filling tasks, counting serving
// tasks at what they ask for.
func (c *candidate) unheld() int64 { return c.free.MilliCPU }

// Weights of the cost of a worker. They order workers whose load is alike; a
// whole step of them outweighs any difference in load, which is at most 2.
const (
	// farCost is for a worker on another rack than the data: the task takes
	// RemoteFactor (1.5 where it was measured) times as long.
	farCost = 1.0
	// apartCost keeps filling tasks and serving ones on different workers. A
	// filling task disturbs a serving one, which then slows it down, often to
	// a stand: it is better off on any worker without.
	apartCost = 3.0
	// togetherGain draws serving tasks, and tasks that disturb nobody, to the
	// workers that have serving tasks already, so that the others stay free
	// for filling ones.
	togetherGain = 3.0
)

// cost grows with the load of a worker, so that work spreads.
func (c *candidate) cost(st *jobs.Step) float64 {
	total := float64(max(c.worker.Capacity.MilliCPU, 1))
	filling := float64(c.filling) / total
	cost := (total-float64(c.free.MilliCPU))/total + filling
	if st.PreferredRack != "" && !c.worker.HasLabel(st.PreferredRack) {
		cost += farCost
	}
	switch {
	case st.Fills && c.serving > 0:
		cost += apartCost
	case st.TargetMS > 0 && c.filling > 0:
		cost += apartCost * filling
	}
	if !st.Fills && c.serving > 0 {
		cost -= togetherGain
	}
	return cost
}
