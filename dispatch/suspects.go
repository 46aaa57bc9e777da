package dispatch

import (
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// Suspects are tasks under which workers crashed. Any task that ran on a crashed worker may crash
// the next one. Placed together again on the emptiest worker, as identical tasks are, they would
// all crash with it each time and the cause could not be identified. So suspects are spread
// over workers where few standing tasks would be lost. A strong suspect gets a worker to itself:
// nothing else starts there meanwhile, so that the next crash, or its absence, identifies the
// cause.
const (
	// isolationTime is how long an isolated run lasts. A task that crashes its workers usually
	// does so within a tenth of a second of its start; orders take up to as long to arrive, and
	// runs started earlier must be too old to be suspected of a crash.
	isolationTime = 600 * time.Millisecond
	// isolationWait is how long a task waits for a worker to itself. Callers may not be without a
	// running task for three seconds while there is free capacity. While all workers are down the
	// wait doesn't count: otherwise, when they are back, all waiting suspects would start
	// together with other tasks.
	isolationWait = 2 * time.Second
	// crashReportWait is how long a task waits for the report whether a lost worker crashed under
	// it. Workers return some seconds after a crash, some only when the lease has expired.
	crashReportWait = 5 * time.Second
)

// Terms of a worker's cost for a suspect, in addition to those of cost.go.
const (
	// suspectCost is for each suspect started on the worker recently. It is as large as the
	// largest difference in load, so that the suspects of a crash spread over all workers.
	suspectCost = 2.0
	// standingLossCost is multiplied by the part of the worker's processors that is held by
	// standing tasks, which would end with the worker. A standing task is unavailable for four
	// seconds each time.
	standingLossCost = 2.0
	// sameAgentCost is for the worker that crashed last under the task. A crash on another worker
	// is better evidence, and a worker that crashes repeatedly by itself doesn't make its tasks
	// suspects each time.
	sameAgentCost = 1.0
)

// markSuspects marks the workers on which a suspect started recently.
func (p *planner) markSuspects() {
	for _, ref := range p.suspects {
		g := p.in.Jobs.Group(ref)
		for _, r := range g.Tasks[ref.Index].Runs() {
			if p.untilCleared(r) <= 0 {
				continue
			}
			if c := p.candidate(r.Worker); c != nil {
				c.suspects++
				c.isolated = c.isolated || g.SuspicionLevel(ref.Index) == jobs.Isolate
			}
		}
	}
}

// candidate returns a worker by its id, or nil if it accepts no tasks in this pass.
func (p *planner) candidate(worker string) *candidate {
	w := p.in.Jobs.Workers[worker]
	if w == nil {
		return nil
	}
	for _, list := range [][]*candidate{p.workers[w.Service], p.blamed[w.Service]} {
		for _, c := range list {
			if c.worker == w {
				return c
			}
		}
	}
	return nil
}

// untilCleared returns how much longer a run must last to show that it doesn't crash its worker,
// 0 or less if it has.
func (p *planner) untilCleared(r *jobs.Placed) time.Duration {
	return isolationTime - time.Duration(p.in.NowMS-r.AtMS)*time.Millisecond
}

// awaitsCrashReport reports whether the k-th task of a request waits for the report whether a
// worker crashed under it. The wait is limited, since a worker that is lost for good never
// reports.
func (r *request) awaitsCrashReport(k int) bool {
	s := r.group.Suspicion(k)
	return s != nil && s.Awaits != "" && r.waited < crashReportWait
}

// needsIsolation reports whether the k-th task of a request waits for a worker to itself. A task
// that has found none for isolationWait is spread like the others, unless one more crash would
// end it. Members of a gang are spread too: they are suspects together and need many workers at
// the same time.
func (r *request) needsIsolation(k int) bool {
	g := r.group
	if g.Tasks[k].Done || g.Tasks[k].Placed != nil || g.Step().Gang || g.SuspicionLevel(k) != jobs.Isolate {
		return false
	}
	return r.mayWaitForIsolation(k)
}

// mayWaitForIsolation reports whether the k-th task of a request, a strong suspect, starts isolated
// rather than at once.
func (r *request) mayWaitForIsolation(k int) bool {
	return r.placeableFor <= isolationWait || r.group.MustIsolate(k)
}

// placeIsolatedSuspects places the tasks that need isolation on workers where nothing started
// recently. If there is no such worker, the one that is soonest to be one gets no new tasks until
// then.
func (p *planner) placeIsolatedSuspects(requests []request) {
	if len(p.suspects) == 0 {
		return
	}
	waiting := make(map[*jobs.Group]*request, len(requests))
	for i := range requests {
		waiting[requests[i].group] = &requests[i]
	}
	for _, ref := range p.suspects {
		if r := waiting[p.in.Jobs.Group(ref)]; r != nil && r.needsIsolation(ref.Index) && !r.awaitsCrashReport(ref.Index) && p.mayIsolate(r.queue.Service) {
			p.placeIsolated(*r, ref.Index)
		}
	}
}

// maxIsolatedShare is the part of a service's workers that may be isolated at a time.
const maxIsolatedShare = 1.0 / 3

// mayIsolate reports whether one more worker of a service may be isolated.
func (p *planner) mayIsolate(service string) bool {
	isolated := 0
	for _, c := range p.workers[service] {
		if c.isolated {
			isolated++
		}
	}
	return isolated == 0 || float64(isolated+1) <= maxIsolatedShare*float64(len(p.workers[service]))
}

// placeIsolated places a task on the worker whose runs are cleared soonest, or reserves that
// worker for it.
func (p *planner) placeIsolated(r request, k int) {
	onWorker := p.onWorker(r.group)
	shortest, found := time.Duration(0), false
	for _, c := range p.workersFor(r) {
		if c.isolated || !p.takes(c, r, onWorker, true) {
			continue
		}
		if wait := p.untilAllCleared(c); !found || wait < shortest {
			shortest, found = wait, true
		}
	}
	c := p.choose(r, k, onWorker, true, func(c *candidate) bool { return !c.isolated && p.untilAllCleared(c) <= shortest })
	if c == nil {
		return
	}
	c.isolated = true
	if shortest > 0 {
		return // a later pass places it, once the worker's runs are cleared
	}
	c.reserve(r.group.Step())
	pl := jobs.Placement{Job: r.group.Job().ID, Occurrence: r.group.Occurrence(), Step: r.group.StepIndex(), Indexes: []int{k}, Workers: []string{c.worker.ID}}
	p.addTicket(&pl, r, c)
	p.plan.Placements = append(p.plan.Placements, pl)
	p.placed++
}

// untilAllCleared returns how long until all runs on a worker are cleared, so that a task is
// isolated there.
func (p *planner) untilAllCleared(c *candidate) time.Duration {
	wait := time.Duration(0)
	for _, t := range p.in.Jobs.Use(c.worker.ID).Runs {
		if r := t.On(c.worker.ID); r != nil {
			wait = max(wait, p.untilCleared(r))
		}
	}
	return wait
}

// markPlaced records that the k-th task of a request was assigned to the worker. Nothing else
// starts beside a gang that is strongly suspected, unless the gang has waited for too long itself:
// after several in turn, each on all workers, others would wait for longer still.
func (c *candidate) markPlaced(r request, k int) {
	if r.group.SuspicionLevel(k) == jobs.NoSuspicion {
		return
	}
	c.suspects++
	c.isolated = c.isolated || (r.group.Step().Gang && r.group.SuspicionLevel(k) == jobs.Isolate && r.mayWaitForIsolation(k))
}

// suspicionCost returns the additional cost of a suspect's placement on a worker.
func (p *planner) suspicionCost(c *candidate, s *jobs.Suspicion) float64 {
	cost := suspectCost * float64(c.suspects)
	cost += standingLossCost * float64(c.standingCPU) / float64(max(c.worker.Capacity.MilliCPU, 1))
	if c.worker.Agent == s.Agent {
		cost += sameAgentCost
	}
	return cost
}
