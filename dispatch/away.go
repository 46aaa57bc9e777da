package dispatch

import (
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// settleTime is how long after its placement a standing task is taken to be at work. It
// starts within 0.1 s and has a startup of up to 1.2 s; an order that is carried out
// late takes longer.
const settleTime = 4 * time.Second

// Spared reports whether a worker may be ended by the system: no step loses more of its
// standing tasks than its caller allows to be away at a time. Whatever keeps a task
// away counts, else a restart and a crash together would take the callers' service away
// that each alone leaves standing.
func Spared(s *jobs.State, worker string, nowMS int64) bool {
	ending := make(map[jobs.GroupKey]int)
	for _, ref := range s.RunsOn(worker) {
		if bounded(s.Group(ref).Step()) {
			ending[ref.Group()]++
		}
	}
	for key, n := range ending {
		g := s.Group(jobs.Ref{Job: key.Job, Occurrence: key.Occurrence, Step: key.Step})
		if g.Job().Phase.Over() {
			continue
		}
		if away(g, nowMS, worker)+n > g.Step().MaxUnavailable {
			return false
		}
	}
	return true
}

// bounded reports whether a step's caller bounds how many tasks are away.
func bounded(st *jobs.Step) bool { return st.Standing && st.MaxUnavailable > 0 }

// away counts the tasks of a group that are not at work, other than those on a worker.
func away(g *jobs.Group, nowMS int64, but string) int {
	n := 0
	for i := range g.Tasks {
		r := g.Tasks[i].Placed
		if r != nil && r.Worker == but {
			continue
		}
		if r == nil || r.Stopping || nowMS-r.AtMS < settleTime.Milliseconds() {
			n++
		}
	}
	return n
}
