package dispatch

import (
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// Copies are second runs of a task. They guard against workers that become slow or hang without
// failing their tasks: the last task of a step delays the whole job, and on such a worker it
// takes four to eight times as long as its peers.
const (
	// measuredFactor and estimatedFactor are how many times its expected duration a run takes
	// before it may be copied: measuredFactor where tasks of its step have finished,
	// estimatedFactor where only the queue's durations are known. Durations within a step differ
	// by a third, those within a queue by half.
	measuredFactor  = 1.3
	estimatedFactor = 2.0
	// slowWorkerFactor replaces both on a worker with slowness above slowWorkerThreshold.
	slowWorkerFactor = 1.0
	// slowWorkerThreshold is a logarithm: the worker's runs take 1.5 times as long as expected.
	slowWorkerThreshold = 0.4
	// copySlack allows for the time that the start order and the report of the end are in
	// transit.
	copySlack = 100 * time.Millisecond
	// copyMargin is how long before the latest useful moment a copy starts, as a part of its
	// expected duration. It covers the variation of durations.
	copyMargin = 0.5
	// maxCopies limits the copies of one pass. More would reserve capacity that the next jobs
	// need.
	maxCopies = 16
)

// overrunning returns the tasks whose only run takes so long that a copy should start.
func (p *planner) overrunning() []jobs.Ref {
	if !p.in.Copies || p.in.Estimates == nil || p.in.Disabled.Copies {
		return nil
	}
	stuck := make(map[jobs.Stop]bool, len(p.in.Stuck))
	for _, st := range p.in.Stuck {
		stuck[st] = true
	}
	return p.in.Jobs.CopyCandidates(func(ref jobs.Ref, g *jobs.Group) bool {
		r := g.Tasks[ref.Index].Placed
		return stuck[jobs.Stop{Task: ref, Run: r.Run}] || (p.overruns(g, r) && p.worthCopying(g))
	})
}

// overruns reports whether a run takes longer than its peers do.
func (p *planner) overruns(g *jobs.Group, r *jobs.Placed) bool {
	expected, measured := p.in.Estimates.taskMS(g.Job(), g.Occurrence(), g.StepIndex())
	factor := estimatedFactor
	if measured {
		factor = measuredFactor
	}
	if p.slowness(r.Worker) > slowWorkerThreshold {
		factor = slowWorkerFactor
	}
	return time.Duration(p.in.NowMS-r.AtMS)*time.Millisecond > ms(factor*expected)+copySlack
}

// worthCopying reports whether a copy that starts now finishes in time, while one started much
// later would not. In time means by the job's objective or, if that can't be met, before the job
// loses its value. Until then the run may still end by itself, and a copy takes capacity from
// other tasks.
func (p *planner) worthCopying(g *jobs.Group) bool {
	j := g.Job()
	q := p.in.Config.At(j.Host, j.Prefix)
	if q == nil {
		return false
	}
	expected, _ := p.in.Estimates.taskMS(j, g.Occurrence(), g.StepIndex())
	f := p.forecast(j, q, g.Occurrence())
	// The forecast assumes that the step is half done; a copy starts from the beginning.
	done := age(j, g.DueAt(), p.in.NowMS) + f.remaining + ms(expected/2)
	bound := f.deadline
	if done > bound {
		bound = f.late
	}
	return done <= bound && done+ms(copyMargin*expected) > bound
}

// placeCopies places copies of overrunning tasks in the remaining capacity. They come last,
// because a waiting task has precedence over a copy.
func (p *planner) placeCopies(overrunning []jobs.Ref) {
	for _, ref := range overrunning {
		if p.copiesPlaced >= maxCopies {
			return
		}
		p.placeCopy(ref)
	}
}

func (p *planner) placeCopy(ref jobs.Ref) {
	g := p.in.Jobs.Group(ref)
	q := p.in.Config.At(g.Job().Host, g.Job().Prefix)
	if q == nil {
		return
	}
	r := request{group: g, queue: q}
	at := g.Tasks[ref.Index].Placed.Worker
	c := p.choose(r, ref.Index, p.onWorker(g), true, func(c *candidate) bool {
		return c.worker.ID != at && !c.isolated
	})
	if c == nil || p.slowness(c.worker.ID) > slowWorkerThreshold {
		return
	}
	c.reserve(g.Step())
	pl := jobs.Placement{Job: ref.Job, Occurrence: ref.Occurrence, Step: ref.Step, Indexes: []int{ref.Index}, Workers: []string{c.worker.ID}, Copy: true}
	p.addTicket(&pl, r, c)
	p.plan.Placements = append(p.plan.Placements, pl)
	p.copiesPlaced++
}
