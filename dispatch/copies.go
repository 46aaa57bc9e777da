package dispatch

import (
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// Copies answer workers that turn slow or stand still without failing anything: the
// last task of a step holds up the whole job, and on such a worker it takes four to
// eight times as long as its peers.
const (
	// knownFactor and guessFactor are how many times its expected duration a run takes
	// before it may get a copy, where tasks of its step were seen to end and where only
	// the queue's are known. Tasks of a step differ by a third from each other, and
	// those of a queue by half.
	knownFactor = 1.3
	guessFactor = 2.0
	// slowWorkerFactor stands in on a worker whose runs are known to take long.
	slowWorkerFactor = 1.0
	// slowWorker is how much longer they do, as a logarithm: one and a half times.
	slowWorker = 0.4
	// copySlack is added for the way of the order to the worker and of the end back.
	copySlack = 100 * time.Millisecond
	// copyMargin is how long before the last moment a copy begins, as a part of its
	// expected duration: how much those differ.
	copyMargin = 0.5
	// maxCopies bounds the copies of one pass. More would be promised room that the
	// next jobs need.
	maxCopies = 16
)

// overdue returns the tasks whose only run takes so long that a copy should begin.
func (p *planner) overdue() []jobs.Ref {
	if !p.in.Copies || p.in.Estimates == nil || p.in.Without.Copies {
		return nil
	}
	stuck := make(map[jobs.Stop]bool, len(p.in.Stuck))
	for _, st := range p.in.Stuck {
		stuck[st] = true
	}
	return p.in.Jobs.Alone(func(ref jobs.Ref, g *jobs.Group) bool {
		r := g.Tasks[ref.Index].Placed
		return stuck[jobs.Stop{Task: ref, Run: r.Run}] || (p.slow(g, r) && p.pays(g))
	})
}

// slow reports whether a run takes longer than its peers do.
func (p *planner) slow(g *jobs.Group, r *jobs.Placed) bool {
	expected, measured := p.in.Estimates.taskMS(g.Job(), g.Occurrence(), g.StepIndex())
	factor := guessFactor
	if measured {
		factor = knownFactor
	}
	if p.slowness(r.Worker) > slowWorker {
		factor = slowWorkerFactor
	}
	return time.Duration(p.in.NowMS-r.AtMS)*time.Millisecond > ms(factor*expected)+copySlack
}

// pays reports whether a copy that begins now is in time, and one that begins much
// later would not be: in time for the job's objective, or else for what it is worth
// late. Until then the run may still end by itself, and a copy takes room from others.
func (p *planner) pays(g *jobs.Group) bool {
	j := g.Job()
	q := p.in.Config.At(j.Host, j.Prefix)
	if q == nil {
		return false
	}
	expected, _ := p.in.Estimates.taskMS(j, g.Occurrence(), g.StepIndex())
	f := p.in.Estimates.forecast(j, q, g.Occurrence())
	// The forecast takes the step for half done; a copy begins anew.
	done := age(j, g.DueAt(), p.in.NowMS) + f.remaining + ms(expected/2)
	bound := f.deadline
	if done > bound {
		bound = f.late
	}
	return done <= bound && done+ms(copyMargin*expected) > bound
}

// copies places second runs for tasks that take too long, on what room is left. A copy
// is not worth a place that a waiting task could have, so they come last.
func (p *planner) copies(overdue []jobs.Ref) {
	for _, ref := range overdue {
		if p.copied >= maxCopies {
			return
		}
		p.copy(ref)
	}
}

func (p *planner) copy(ref jobs.Ref) {
	g := p.in.Jobs.Group(ref)
	q := p.in.Config.At(g.Job().Host, g.Job().Prefix)
	if q == nil {
		return
	}
	r := request{group: g, queue: q}
	at := g.Tasks[ref.Index].Placed.Worker
	c := p.choose(r, ref.Index, p.onWorker(g), true, func(c *candidate) bool {
		return c.worker.ID != at && !c.looking
	})
	if c == nil || p.slowness(c.worker.ID) > slowWorker {
		return
	}
	c.take(g.Step())
	pl := jobs.Placement{Job: ref.Job, Occurrence: ref.Occurrence, Step: ref.Step, Indexes: []int{ref.Index}, Workers: []string{c.worker.ID}, Copy: true}
	p.addTicket(&pl, r, c)
	p.plan.Placements = append(p.plan.Placements, pl)
	p.copied++
}
