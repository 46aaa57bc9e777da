package dispatch

import (
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// Suspects are tasks under which workers crashed. One of those that ran on a crashed worker
// may do it again wherever it starts; placed together again on the emptiest worker, as
// alike tasks are, all of them crash with it each time and none can be told from the
// others. So they are spread, on workers where little would end with them; and one that is
// strongly suspected gets a worker where nothing else begins meanwhile, so that the next
// crash tells, or its absence.
const (
	// lookTime is how long a look alone lasts. A task that crashes its workers does so, as a
	// rule, within a tenth of a second of its start; orders take up to as long to arrive,
	// and what began before has to have grown too old to be suspected of a crash.
	lookTime = 600 * time.Millisecond
	// lookWait is how long a task waits for a worker of its own. Callers may not be left
	// without any task at work for three seconds while there is room. While all workers are
	// down there is none, and when they are back all that waits would begin in company.
	lookWait = 2 * time.Second
	// witnessWait is how long a task waits for the word of whether a worker that was lost
	// crashed under it: workers are back some seconds after a crash, some only when the
	// lease has ended.
	witnessWait = 5 * time.Second
)

// Weights of a suspect's place, beside those of cost.go.
const (
	// suspectCost is for each suspect that began on the worker a moment ago: more than any
	// difference in load, so that the suspects of a crash spread over all workers.
	suspectCost = 2.0
	// harmCost is for the standing tasks that would end with the worker, as a part of its
	// processors. A standing task is away for four seconds each time.
	harmCost = 2.0
	// sameCost is for the worker that crashed last under the task: elsewhere a crash tells
	// more, and a worker that flaps by itself doesn't accuse its tasks again and again.
	sameCost = 1.0
)

// noteSuspects marks the workers on which a suspect began a moment ago.
func (p *planner) noteSuspects() {
	for _, ref := range p.suspects {
		g := p.in.Jobs.Group(ref)
		for _, r := range g.Tasks[ref.Index].Runs() {
			if p.untilSettled(r) <= 0 {
				continue
			}
			if c := p.candidate(r.Worker); c != nil {
				c.suspects++
				c.looking = c.looking || g.Doubt(ref.Index) == jobs.LookAlone
			}
		}
	}
}

// candidate returns a worker by its id, nil if it gets nothing in this pass.
func (p *planner) candidate(worker string) *candidate {
	w := p.in.Jobs.Workers[worker]
	if w == nil {
		return nil
	}
	for _, c := range p.workers[w.Service] {
		if c.worker == w {
			return c
		}
	}
	return nil
}

// untilSettled is how much longer a run may not have shown yet that it leaves its worker
// alone, 0 or less if it has.
func (p *planner) untilSettled(r *jobs.Placed) time.Duration {
	return lookTime - time.Duration(p.in.NowMS-r.AtMS)*time.Millisecond
}

// awaits reports whether the k-th task of a request waits for the word of whether a worker
// crashed under it. One that was lost for good never tells.
func (r *request) awaits(k int) bool {
	s := r.group.Suspicion(k)
	return s != nil && s.Awaits != "" && r.waited < witnessWait
}

// looksAlone reports whether the k-th task of a request waits for a worker of its own. One
// that has found none for long is spread like the others, unless it is one crash from its
// end. So are a gang's members, which are suspected as a whole and need many workers at once.
func (r *request) looksAlone(k int) bool {
	g := r.group
	if g.Tasks[k].Done || g.Tasks[k].Placed != nil || g.Step().Gang || g.Doubt(k) != jobs.LookAlone {
		return false
	}
	return r.choosing <= lookWait || g.OnlyAlone(k)
}

// lookAlone places the tasks that are to be looked at alone, each where nothing began for a
// while. Where no worker is that quiet, the quietest gets nothing new until it is.
func (p *planner) lookAlone(requests []request) {
	if len(p.suspects) == 0 {
		return
	}
	waiting := make(map[*jobs.Group]*request, len(requests))
	for i := range requests {
		waiting[requests[i].group] = &requests[i]
	}
	for _, ref := range p.suspects {
		if r := waiting[p.in.Jobs.Group(ref)]; r != nil && r.looksAlone(ref.Index) && !r.awaits(ref.Index) && p.mayLook(r.queue.Service) {
			p.placeAlone(*r, ref.Index)
		}
	}
}

// maxLooking is the part of a service's workers that may be kept for looks at a time.
const maxLooking = 1.0 / 3

// mayLook reports whether one more worker of a service may be kept for a look.
func (p *planner) mayLook(service string) bool {
	looking := 0
	for _, c := range p.workers[service] {
		if c.looking {
			looking++
		}
	}
	return looking == 0 || float64(looking+1) <= maxLooking*float64(len(p.workers[service]))
}

// placeAlone gives a task the quietest worker that takes it, or keeps that one for it.
func (p *planner) placeAlone(r request, k int) {
	onWorker := p.onWorker(r.group)
	least, found := time.Duration(0), false
	for _, c := range p.workers[r.queue.Service] {
		if c.looking || !p.takes(c, r, onWorker, true) {
			continue
		}
		if wait := p.untilQuiet(c); !found || wait < least {
			least, found = wait, true
		}
	}
	c := p.choose(r, k, onWorker, true, func(c *candidate) bool { return !c.looking && p.untilQuiet(c) <= least })
	if c == nil {
		return
	}
	c.looking = true
	if least > 0 {
		return // the next passes find it quiet
	}
	c.take(r.group.Step())
	pl := jobs.Placement{Job: r.group.Job().ID, Occurrence: r.group.Occurrence(), Step: r.group.StepIndex(), Indexes: []int{k}, Workers: []string{c.worker.ID}}
	p.addTicket(&pl, r, c)
	p.plan.Placements = append(p.plan.Placements, pl)
	p.placed++
}

// untilQuiet is how long nothing more may begin on a worker for a look alone there.
func (p *planner) untilQuiet(c *candidate) time.Duration {
	wait := time.Duration(0)
	for _, t := range p.in.Jobs.Use(c.worker.ID).Runs {
		if r := t.On(c.worker.ID); r != nil {
			wait = max(wait, p.untilSettled(r))
		}
	}
	return wait
}

// began notes that the k-th task of a request was placed on a worker. Beside a gang that is
// strongly suspected nothing else begins.
func (p *planner) began(c *candidate, r request, k int) {
	if r.group.Doubt(k) == jobs.NoDoubt {
		return
	}
	c.suspects++
	c.looking = c.looking || (r.group.Step().Gang && r.group.Doubt(k) == jobs.LookAlone)
}

// doubtCost is what speaks against a suspect's place.
func (p *planner) doubtCost(c *candidate, s *jobs.Suspicion) float64 {
	cost := suspectCost * float64(c.suspects)
	cost += harmCost * float64(c.standingCPU) / float64(max(c.worker.Capacity.MilliCPU, 1))
	if c.worker.Agent == s.Agent {
		cost += sameCost
	}
	return cost
}
