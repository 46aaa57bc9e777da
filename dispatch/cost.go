package dispatch

import (
	"maps"
	"slices"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// fits reports whether one more task of a step has room.
func (p *planner) fits(c *candidate, r request, running bool) bool {
	st := r.group.Step()
	if st.Label != "" && !c.worker.HasLabel(st.Label) {
		return false
	}
	if !st.Held().Fits(c.free) {
		return false
	}
	if !st.Fills {
		return true
	}
	room := float64(c.free.MilliCPU) + servingSlack*float64(c.servingCPU)
	if !running && p.starved(c, r) {
		return float64(c.filling+st.Need.MilliCPU) <= crowdFactor*float64(c.worker.Capacity.MilliCPU)
	}
	if r.outlook == Overdue {
		room *= overdueShare
	}
	return float64(c.filling+st.Need.MilliCPU) <= room && p.disturbance(c, st) <= 1
}

// starved reports whether a job with nothing at work has waited for so long that it
// is let in whatever it disturbs.
func (p *planner) starved(c *candidate, r request) bool {
	return r.waited > starveWait || (r.waited > startWait && p.sparse[c.worker.Service])
}

// disturbance is what filling work takes of the headroom of the worst served image on a
// worker, with one more filling task there, against what that bears: above 1 its tail would
// be over its target. It is 0 where nobody serves.
func (p *planner) disturbance(c *candidate, st *jobs.Step) float64 {
	if p.in.Costs == nil || p.in.Without.Disturbance {
		return 0
	}
	worst := 0.0
	for serving := range c.serving {
		takes, bound := p.adds(c, serving, st)
		worst = max(worst, (p.taken(c, serving)+takes)/bound)
	}
	return worst
}

// taken is the headroom that the filling tasks on a worker take of a served image.
func (p *planner) taken(c *candidate, serving string) float64 {
	sum := 0.0
	for filler, n := range c.fillers {
		sum += processors(n) * p.in.Costs.Cost(serving, filler)
	}
	return sum
}

// adds returns the headroom that one more task of a step takes of a served image, and that
// which may be taken of it in all. A pair never seen is tried where the served tasks bear it
// at this moment, even if it should be one of those that take much: half a second later it
// is known, and its pace follows. Their usual low would leave hardly a place to try it, and
// planned by its mean it is tried beside tasks at the height of their load.
func (p *planner) adds(c *candidate, serving string, st *jobs.Step) (takes, bound float64) {
	need := processors(int(st.Need.MilliCPU))
	if c.fillers[st.Image] == 0 && !p.in.Without.Tries {
		if most, unseen := p.in.Costs.Unseen(serving, st.Image); unseen {
			return need * most, p.in.Costs.Now(c.worker.ID, serving)
		}
	}
	return need * p.in.Costs.Cost(serving, st.Image), p.in.Costs.Bound(c.worker.ID, serving)
}

// disturbed is the same for a serving task that comes to a worker with filling
// ones.
func (p *planner) disturbed(c *candidate, st *jobs.Step) float64 {
	if p.in.Costs == nil {
		return 0
	}
	return p.taken(c, st.Image) / p.in.Costs.Bound(c.worker.ID, st.Image)
}

// processors turns thousandths into processors.
func processors(milli int) float64 { return float64(milli) / 1000 }

// Weights of the cost of a worker. They order workers whose load is alike; a
// whole step of them outweighs any difference in load, which is at most 2.
const (
	// farCost is for a worker on another rack than the data: the task takes
	// RemoteFactor (1.5 where it was measured) times as long.
	farCost = 1.0
	// slowCost is for a worker whose runs take longer than expected: one that
	// takes four times as long is taken last.
	slowCost = 3.0
	// disturbCost is for the disturbance expected, as a part of what the
	// disturbed task stands.
	disturbCost = 2.0
	// togetherGain draws serving tasks, and tasks that disturb nobody, to the
	// workers that have serving tasks already, so that the others stay free
	// for filling ones. Serving tasks are drawn to their like only: where all are disturbed
	// by the same images, all others may fill.
	togetherGain = 3.0
)

// cost grows with the load of a worker, so that work spreads. held is what is held
// against a suspect, nil for any other task.
func (p *planner) cost(c *candidate, st *jobs.Step, held *jobs.Suspicion) float64 {
	total := float64(max(c.worker.Capacity.MilliCPU, 1))
	cost := (total - float64(c.free.MilliCPU) + float64(c.filling)) / total
	if st.PreferredRack != "" && !c.worker.HasLabel(st.PreferredRack) {
		cost += farCost
	}
	cost += slowCost * p.slowness(c.worker.ID)
	if st.Fills && len(c.serving) > 0 {
		cost += disturbCost * p.disturbance(c, st)
	}
	if st.TargetMS > 0 {
		cost += disturbCost * p.disturbed(c, st)
	}
	switch {
	case held != nil:
		cost += p.doubtCost(c, held)
	case !st.Fills && len(c.serving) > 0 && !p.in.Without.Together:
		cost -= togetherGain * p.alike(c, st)
	}
	return cost
}

// alike is how far the serving tasks on a worker are disturbed by the same images as a task of
// a step: 1 for a task that nobody disturbs.
func (p *planner) alike(c *candidate, st *jobs.Step) float64 {
	if p.in.Costs == nil || st.TargetMS == 0 || p.in.Without.Likes {
		return 1
	}
	return p.alikeTo(c, st.Image)
}

// alikeTo is how alike the serving tasks on a worker are to an image.
func (p *planner) alikeTo(c *candidate, served string) float64 {
	sum, n := 0.0, 0
	for _, image := range slices.Sorted(maps.Keys(c.serving)) { // sums of floats depend on their order
		tasks := c.serving[image]
		sum += float64(tasks) * p.in.Costs.Alike(image, served)
		n += tasks
	}
	return sum / float64(n)
}

func (p *planner) slowness(worker string) float64 {
	if p.in.Slowness == nil || p.in.Without.Slowness {
		return 0
	}
	return p.in.Slowness(worker)
}
