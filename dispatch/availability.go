package dispatch

import (
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// settleTime is how long after its placement a standing task is assumed to be running. It starts
// within 0.1 s and its startup takes up to 1.2 s; the rest allows for orders that are executed
// late.
const settleTime = 4 * time.Second

// Absences tells which runs do not count as available although the state has them placed. All that
// ends standing tasks by an order relies on it: upkeep, moves of machines and of tasks. Orders that
// are each tolerable could together exceed what a step's caller allows. The zero value knows none.
type Absences struct {
	// Ending workers are on machines that were ordered to go down or to another pool, and will end
	// at any moment or have ended.
	Ending map[string]bool
	// Silent reports whether a worker has not renewed its lease for so long that its tasks may not
	// be running. Nil means never.
	Silent func(worker string) bool
	// Idle reports whether a standing run is known not to be at work. Nil means that none is.
	Idle func(ref jobs.Ref, r *jobs.Placed) bool
}

// without returns the absences as if a worker were not ending.
func (a Absences) without(worker string) Absences {
	if !a.Ending[worker] {
		return a
	}
	ending := make(map[string]bool, len(a.Ending))
	for w := range a.Ending {
		if w != worker {
			ending[w] = true
		}
	}
	a.Ending = ending
	return a
}

// unavailable reports whether the i-th task of a group is unavailable.
func (a Absences) unavailable(g *jobs.Group, i int, nowMS int64) bool {
	r := g.Tasks[i].Placed
	if r == nil || r.Stopping || nowMS-r.AtMS < settleTime.Milliseconds() {
		return true
	}
	if a.Ending[r.Worker] || (a.Silent != nil && a.Silent(r.Worker)) {
		return true
	}
	return a.Idle != nil && a.Idle(jobs.Ref{Job: g.Job().ID, Occurrence: g.Occurrence(), Step: g.StepIndex(), Index: i}, r)
}

// count returns the number of unavailable tasks of a group.
func (a Absences) count(g *jobs.Group, nowMS int64) (n int) {
	for i := range g.Tasks {
		if a.unavailable(g, i, nowMS) {
			n++
		}
	}
	return n
}

// MayStop reports whether the system may stop a worker: no step then has more unavailable standing
// tasks than its caller allows, whatever they are unavailable for. A restart and a crash that are
// each tolerable could together exceed the limit.
func MayStop(s *jobs.State, worker string, nowMS int64, a Absences) bool {
	a = a.without(worker)
	seen := make(map[jobs.GroupKey]bool)
	for _, ref := range s.RunsOn(worker) {
		g := s.Group(ref)
		if !limitsUnavailable(g.Step()) || g.Job().Phase.Over() || seen[ref.Group()] {
			continue
		}
		seen[ref.Group()] = true
		n := 0
		for i := range g.Tasks {
			if r := g.Tasks[i].Placed; (r != nil && r.Worker == worker) || a.unavailable(g, i, nowMS) {
				n++
			}
		}
		if n > g.Step().MaxUnavailable {
			return false
		}
	}
	return true
}

// limitsUnavailable reports whether a step's caller limits how many tasks may be unavailable.
func limitsUnavailable(st *jobs.Step) bool { return st.Standing && st.MaxUnavailable > 0 }
