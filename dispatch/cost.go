package dispatch

import (
	"maps"
	"slices"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// fits reports whether a worker has the label, the free capacity and the headroom for one more
// task of a step.
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
	available := float64(c.free.MilliCPU) + reclaimableServingShare*float64(c.servingCPU)
	if !running && p.starved(c, r) {
		return float64(c.filling+st.Need.MilliCPU) <= maxOvercommit*float64(c.worker.Capacity.MilliCPU)
	}
	if r.class == Overdue {
		available *= overdueCapacityShare
	}
	return float64(c.filling+st.Need.MilliCPU) <= available && p.interference(c, st) <= 1
}

// starved reports whether a job with no running task has waited so long that it is started in
// spite of its interference.
func (p *planner) starved(c *candidate, r request) bool {
	return r.waited > starvationWait || (r.waited > lowUtilizationWait && p.underused[c.worker.Service])
}

// interference returns, with one more filling task of the step on a worker, the headroom taken by
// filling tasks divided by the headroom that may be taken, for the worst affected serving image.
// Above 1, that image's tail latency would exceed its target. It is 0 where nothing serves.
func (p *planner) interference(c *candidate, st *jobs.Step) float64 {
	if p.in.Costs == nil || p.in.Disabled.Disturbance {
		return 0
	}
	worst := 0.0
	for serving := range c.serving {
		demand, bound := p.headroomDemand(c, serving, st)
		worst = max(worst, (p.headroomUsed(c, serving)+demand)/bound)
	}
	return worst
}

// headroomUsed returns the headroom that the filling tasks on a worker take from a serving image.
func (p *planner) headroomUsed(c *candidate, serving string) float64 {
	sum := 0.0
	for filler, n := range c.fillers {
		sum += processors(n) * p.in.Costs.Cost(serving, filler)
	}
	return sum
}

// headroomDemand returns the headroom that one more task of a step takes from a serving image,
// and the headroom that may be taken from it in all. A pair that was never observed is tried
// where the serving tasks have enough headroom at this moment even for the most that it may take:
// half a second later its effect is measured and its pace is set accordingly. Checked against the
// usual bound, there would be hardly any worker to try it on; planned by its mean, it would be
// tried beside tasks at peak load.
func (p *planner) headroomDemand(c *candidate, serving string, st *jobs.Step) (demand, bound float64) {
	need := processors(int(st.Need.MilliCPU))
	if c.fillers[st.Image] == 0 && !p.in.Disabled.Tries {
		if most, unseen := p.in.Costs.MaxCostIfUnseen(serving, st.Image); unseen {
			return need * most, p.in.Costs.SpareHeadroom(c.worker.ID, serving)
		}
	}
	return need * p.in.Costs.Cost(serving, st.Image), p.in.Costs.HeadroomBudget(c.worker.ID, serving)
}

// interferenceOn is the same ratio for a serving task that is placed beside a worker's filling
// tasks.
func (p *planner) interferenceOn(c *candidate, st *jobs.Step) float64 {
	if p.in.Costs == nil {
		return 0
	}
	return p.headroomUsed(c, st.Image) / p.in.Costs.HeadroomBudget(c.worker.ID, st.Image)
}

// processors converts thousandths of a processor to processors.
func processors(milli int) float64 { return float64(milli) / 1000 }

// Terms of a worker's cost in addition to its load. They decide between workers of similar load.
// Loads, which include the filling tasks, differ by at most 2, so a term above that outweighs any
// difference in load.
const (
	// remoteRackCost applies to a worker on another rack than the data, where the task takes 1.5
	// times as long.
	remoteRackCost = 1.0
	// slowWorkerCost is multiplied by a worker's slowness, so that one whose runs take four times
	// as long as expected is chosen last.
	slowWorkerCost = 3.0
	// interferenceCost is multiplied by the expected interference, as a part of the headroom that
	// may be taken.
	interferenceCost = 2.0
	// colocationGain draws serving tasks, and tasks that interfere with nothing, to workers that
	// already have serving tasks, so that the others stay free for filling tasks. Serving tasks
	// are drawn only to similar ones: where the same images interfere with all of them, all other
	// images may fill.
	colocationGain = 3.0
)

// cost returns the cost of placing a task of a step on a worker. It grows with the worker's load,
// so that tasks spread. suspicion is nil unless the task is a suspect.
func (p *planner) cost(c *candidate, st *jobs.Step, suspicion *jobs.Suspicion) float64 {
	total := float64(max(c.worker.Capacity.MilliCPU, 1))
	cost := (total - float64(c.free.MilliCPU) + float64(c.filling)) / total
	if st.PreferredRack != "" && !c.worker.HasLabel(st.PreferredRack) {
		cost += remoteRackCost
	}
	cost += slowWorkerCost * p.slowness(c.worker.ID)
	if st.Fills && len(c.serving) > 0 {
		cost += interferenceCost * p.interference(c, st)
	}
	if st.TargetMS > 0 {
		cost += interferenceCost * p.interferenceOn(c, st)
	}
	switch {
	case suspicion != nil:
		cost += p.suspicionCost(c, suspicion)
	case !st.Fills && len(c.serving) > 0 && !p.in.Disabled.Together:
		cost -= colocationGain * p.similarity(c, st)
	}
	return cost
}

// similarity returns how far the same images interfere with the serving tasks on a worker and
// with a task of a step: 1 for a task without a latency target.
func (p *planner) similarity(c *candidate, st *jobs.Step) float64 {
	if p.in.Costs == nil || st.TargetMS == 0 || p.in.Disabled.Likes {
		return 1
	}
	return p.similarityTo(c, st.Image)
}

// similarityTo returns the mean similarity of the serving tasks on a worker to an image.
func (p *planner) similarityTo(c *candidate, served string) float64 {
	sum, n := 0.0, 0
	for _, image := range slices.Sorted(maps.Keys(c.serving)) { // sorted, since a sum of floats depends on the order
		tasks := c.serving[image]
		sum += float64(tasks) * p.in.Costs.Similarity(image, served)
		n += tasks
	}
	return sum / float64(n)
}

func (p *planner) slowness(worker string) float64 {
	if p.in.Slowness == nil || p.in.Disabled.Slowness {
		return 0
	}
	return p.in.Slowness(worker)
}
