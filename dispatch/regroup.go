package dispatch

import (
	"maps"
	"slices"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// Serving tasks run for minutes where they were placed before it was known which images interfere
// with them. Where a worker runs serving tasks that different images interfere with, almost no
// image may fill. Once similarities are known, tasks in the minority move to workers with similar
// tasks, so that most filling images find workers where they interfere with nothing.
const (
	// A task moves only if its similarity to its neighbours is below maxNeighbourSimilarity and
	// that to its new neighbours above minTargetSimilarity. Both must be known with confidence:
	// otherwise the task might move back two passes later.
	maxNeighbourSimilarity = 0.25
	minTargetSimilarity    = 0.8
	// maxRegroupShare is the part of all serving tasks that may be unavailable while being
	// regrouped, minRegroupLimit how many may at least. Each is unavailable for about two
	// seconds.
	maxRegroupShare = 0.02
	minRegroupLimit = 1
)

// regroup moves serving tasks to workers with similar tasks, at most one from each worker.
func (p *planner) regroup() {
	if !p.in.Regroup || p.in.Costs == nil || p.in.Disabled.Regroup {
		return
	}
	served, missing := p.servedTasks()
	budget := max(minRegroupLimit, int(maxRegroupShare*float64(served))) - missing
	for _, service := range slices.Sorted(maps.Keys(p.workers)) {
		for _, c := range p.workers[service] {
			if budget > 0 && p.regroupOne(c) {
				budget--
			}
		}
	}
}

// servedTasks counts the standing tasks with a latency target, and those of them that are
// unavailable.
func (p *planner) servedTasks() (served, missing int) {
	for _, j := range p.in.Jobs.Jobs {
		if j.Phase.Over() {
			continue
		}
		for _, g := range j.Groups {
			if st := g.Step(); st.Standing && st.TargetMS > 0 {
				served += len(g.Tasks)
				missing += p.in.Absences.count(g, p.in.NowMS)
			}
		}
	}
	return served, missing
}

// regroupOne moves the task of a worker that is least similar to its neighbours, if a worker with
// similar tasks has capacity for it.
func (p *planner) regroupOne(from *candidate) bool {
	if len(from.serving) < 2 {
		return false
	}
	worker := from.worker.ID
	var leastSimilar jobs.Ref
	lowest := maxNeighbourSimilarity
	for _, ref := range p.in.Jobs.RunsOn(worker) {
		g := p.in.Jobs.Group(ref)
		if !p.mayRegroup(g, ref, worker) {
			continue
		}
		if similarity := p.similarityToNeighbours(from, g.Step().Image); similarity < lowest {
			leastSimilar, lowest = ref, similarity
		}
	}
	if leastSimilar.Job == "" {
		return false
	}
	return p.moveToSimilar(leastSimilar, from)
}

// mayRegroup reports whether a run is a serving one that has been running for settleTime and that
// its caller can spare for a moment.
func (p *planner) mayRegroup(g *jobs.Group, ref jobs.Ref, worker string) bool {
	st := g.Step()
	r := g.Tasks[ref.Index].On(worker)
	if !st.Standing || st.TargetMS == 0 || st.Gang || r == nil || r.Stopping || g.Job().Phase.Over() || g.SuspicionLevel(ref.Index) != jobs.NoSuspicion {
		return false
	}
	if p.in.NowMS-r.AtMS < settleTime.Milliseconds() {
		return false
	}
	missing := p.in.Absences.count(g, p.in.NowMS) + p.moved[ref.Group()]
	return missing == 0 || (limitsUnavailable(st) && missing < st.MaxUnavailable)
}

// similarityToNeighbours returns the mean similarity of one task of an image to the other serving
// tasks on its worker.
func (p *planner) similarityToNeighbours(c *candidate, image string) float64 {
	n := 0
	for _, tasks := range c.serving {
		n += tasks
	}
	return (p.similarityTo(c, image)*float64(n) - 1) / float64(n-1)
}

// moveToSimilar stops a run if a worker with similar tasks has capacity for it, and reserves that
// capacity.
func (p *planner) moveToSimilar(ref jobs.Ref, from *candidate) bool {
	g := p.in.Jobs.Group(ref)
	q := p.in.Config.At(g.Job().Host, g.Job().Prefix)
	if q == nil {
		return false
	}
	r := request{group: g, queue: q}
	onWorker := p.onWorker(g)
	to := p.choose(r, ref.Index, onWorker, true, func(c *candidate) bool {
		return c != from && !c.isolated && len(c.serving) > 0 && p.similarityTo(c, g.Step().Image) > minTargetSimilarity
	})
	if to == nil {
		return false
	}
	to.reserve(g.Step())
	p.targets[ref.Group()] = append(p.targets[ref.Group()], to.worker.ID)
	p.plan.Stops = append(p.plan.Stops, p.in.Jobs.RunOn(ref, from.worker.ID))
	p.moved[ref.Group()]++
	return true
}
