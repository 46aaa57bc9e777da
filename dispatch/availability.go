package dispatch

import (
	"slices"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// settleTime is how long after its placement a standing task is assumed to be running. It starts
// within 0.1 s and its startup takes up to 1.2 s; the rest allows for orders that are executed
// late.
const settleTime = 4 * time.Second

// MayStop reports whether the system may stop workers that are all down at the same time: no step
// then has more unavailable standing tasks than its caller allows. Tasks that are unavailable for
// any reason count, since a restart and a crash that are each tolerable could together exceed the
// limit.
func MayStop(s *jobs.State, workers []string, nowMS int64) bool {
	ending := make(map[jobs.GroupKey]int)
	for _, worker := range workers {
		for _, ref := range s.RunsOn(worker) {
			if limitsUnavailable(s.Group(ref).Step()) {
				ending[ref.Group()]++
			}
		}
	}
	for key, n := range ending {
		g := s.Group(jobs.Ref{Job: key.Job, Occurrence: key.Occurrence, Step: key.Step})
		if g.Job().Phase.Over() {
			continue
		}
		if unavailable(g, nowMS, workers...)+n > g.Step().MaxUnavailable {
			return false
		}
	}
	return true
}

// limitsUnavailable reports whether a step's caller limits how many tasks may be unavailable.
func limitsUnavailable(st *jobs.Step) bool { return st.Standing && st.MaxUnavailable > 0 }

// unavailable counts the tasks of a group that are not running, except those on the given workers.
func unavailable(g *jobs.Group, nowMS int64, except ...string) int {
	n := 0
	for i := range g.Tasks {
		r := g.Tasks[i].Placed
		if r != nil && slices.Contains(except, r.Worker) {
			continue
		}
		if r == nil || r.Stopping || nowMS-r.AtMS < settleTime.Milliseconds() {
			n++
		}
	}
	return n
}
