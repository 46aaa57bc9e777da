package dispatch

import "github.com/waxwinghaven/waxwinghaven/jobs"

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

// disturbance is the expected tail of the worst served task on a worker, with
// one more filling task there, against what it stands: above 1 it would be over
// its target. It is 0 where nobody serves.
func (p *planner) disturbance(c *candidate, st *jobs.Step) float64 {
	if p.in.Costs == nil {
		return 0
	}
	worst := 0.0
	for serving := range c.serving {
		sum := processors(int(st.Need.MilliCPU)) * p.in.Costs.Cost(serving, st.Image)
		for filler, n := range c.fillers {
			sum += processors(n) * p.in.Costs.Cost(serving, filler)
		}
		worst = max(worst, sum/p.in.Costs.Bound(c.worker.ID, serving))
	}
	return worst
}

// disturbed is the same for a serving task that comes to a worker with filling
// ones.
func (p *planner) disturbed(c *candidate, st *jobs.Step) float64 {
	if p.in.Costs == nil {
		return 0
	}
	sum := 0.0
	for filler, n := range c.fillers {
		sum += processors(n) * p.in.Costs.Cost(st.Image, filler)
	}
	return sum / p.in.Costs.Bound(c.worker.ID, st.Image)
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
	// besideCost is for a worker with serving tasks, whatever is known: the
	// less that is known of a pair, the dearer it is to try.
	besideCost = 1.0
	// togetherGain draws serving tasks, and tasks that disturb nobody, to the
	// workers that have serving tasks already, so that the others stay free
	// for filling ones.
	togetherGain = 3.0
)

// cost grows with the load of a worker, so that work spreads.
func (p *planner) cost(c *candidate, st *jobs.Step) float64 {
	total := float64(max(c.worker.Capacity.MilliCPU, 1))
	cost := (total - float64(c.free.MilliCPU) + float64(c.filling)) / total
	if st.PreferredRack != "" && !c.worker.HasLabel(st.PreferredRack) {
		cost += farCost
	}
	cost += slowCost * p.slowness(c.worker.ID)
	if st.Fills && len(c.serving) > 0 {
		cost += besideCost + disturbCost*p.disturbance(c, st)
	}
	if st.TargetMS > 0 {
		cost += disturbCost * p.disturbed(c, st)
	}
	if !st.Fills && len(c.serving) > 0 {
		cost -= togetherGain
	}
	return cost
}

func (p *planner) slowness(worker string) float64 {
	if p.in.Slowness == nil {
		return 0
	}
	return p.in.Slowness(worker)
}
