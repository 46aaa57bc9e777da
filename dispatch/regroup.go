package dispatch

import (
	"maps"
	"slices"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// Served tasks stand for minutes where they were put before anybody knew what disturbs them. On
// a worker where some are disturbed by these filling images and some by those, next to nothing
// may fill. Once their kinds are known the few move to workers of their like, so that most
// images find workers where they disturb nobody.
const (
	// strangeBelow is how alike a task's neighbours are at most for it to move, and likeAbove
	// how alike those are that it moves to: both surely known, or two passes later it might
	// move back.
	strangeBelow = 0.25
	likeAbove    = 0.8
	// maxMoving is the part of all served tasks that may be away for this at a time, and
	// leastMoving how many may at least. Each is away for some two seconds.
	maxMoving   = 0.02
	leastMoving = 1
)

// regroup moves served tasks to their like, one of a worker at a time.
func (p *planner) regroup() {
	if !p.in.Regroup || p.in.Costs == nil || p.in.Without.Regroup {
		return
	}
	served, gone := p.servedTasks()
	may := max(leastMoving, int(maxMoving*float64(served))) - gone
	for _, service := range slices.Sorted(maps.Keys(p.workers)) {
		for _, c := range p.workers[service] {
			if may > 0 && p.regroupOne(c) {
				may--
			}
		}
	}
}

// servedTasks counts the served tasks, and those of them that are not at work.
func (p *planner) servedTasks() (served, gone int) {
	for _, j := range p.in.Jobs.Jobs {
		if j.Phase.Over() {
			continue
		}
		for _, g := range j.Groups {
			if st := g.Step(); st.Standing && st.TargetMS > 0 {
				served += len(g.Tasks)
				gone += away(g, p.in.NowMS, "")
			}
		}
	}
	return served, gone
}

// regroupOne moves the task of a worker that is least like its neighbours, if there is a place
// among its like.
func (p *planner) regroupOne(from *candidate) bool {
	if len(from.serving) < 2 {
		return false
	}
	worker := from.worker.ID
	var strangest jobs.Ref
	least := strangeBelow
	for _, ref := range p.in.Jobs.RunsOn(worker) {
		g := p.in.Jobs.Group(ref)
		if !p.mayRegroup(g, ref, worker) {
			continue
		}
		if like := p.likeOthers(from, g.Step().Image); like < least {
			strangest, least = ref, like
		}
	}
	if strangest.Job == "" {
		return false
	}
	return p.moveToLike(strangest, from)
}

// mayRegroup reports whether a run is of a served task that its caller can spare for a moment,
// and that has been at work since it began.
func (p *planner) mayRegroup(g *jobs.Group, ref jobs.Ref, worker string) bool {
	st := g.Step()
	r := g.Tasks[ref.Index].On(worker)
	if !st.Standing || st.TargetMS == 0 || st.Gang || r == nil || r.Stopping || g.Job().Phase.Over() || g.Doubt(ref.Index) != jobs.NoDoubt {
		return false
	}
	if p.in.NowMS-r.AtMS < settleTime.Milliseconds() {
		return false
	}
	gone := away(g, p.in.NowMS, "") + p.moved[ref.Group()]
	return gone == 0 || (bounded(st) && gone < st.MaxUnavailable)
}

// likeOthers is how alike one task of an image is to the other served tasks on its worker.
func (p *planner) likeOthers(c *candidate, image string) float64 {
	n := 0
	for _, tasks := range c.serving {
		n += tasks
	}
	return (p.alikeTo(c, image)*float64(n) - 1) / float64(n-1)
}

// moveToLike stops a run that has a place among its like, and takes the place.
func (p *planner) moveToLike(ref jobs.Ref, from *candidate) bool {
	g := p.in.Jobs.Group(ref)
	q := p.in.Config.At(g.Job().Host, g.Job().Prefix)
	if q == nil {
		return false
	}
	r := request{group: g, queue: q}
	onWorker := p.onWorker(g)
	to := p.choose(r, ref.Index, onWorker, true, func(c *candidate) bool {
		return c != from && !c.looking && len(c.serving) > 0 && p.alikeTo(c, g.Step().Image) > likeAbove
	})
	if to == nil {
		return false
	}
	to.take(g.Step())
	p.plan.Stops = append(p.plan.Stops, p.in.Jobs.RunOn(ref, from.worker.ID))
	p.moved[ref.Group()]++
	return true
}
