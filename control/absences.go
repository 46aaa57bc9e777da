package control

import (
	"slices"
	"time"

	"github.com/waxwinghaven/waxwinghaven/dispatch"
	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// silentAfter is the time without a renewal of its lease after which a worker's tasks count as
// unavailable: several renewals, and less than callers take to notice.
const silentAfter = 2 * time.Second

// absences returns which standing tasks are unavailable although they are placed, beside those of the
// ending workers. The result may be used as long as the caller reads the state.
func (d *dispatcher) absences(s *State, ending map[string]bool) dispatch.Absences {
	return dispatch.Absences{Ending: ending, Silent: func(worker string) bool {
		w := s.Jobs.Workers[worker]
		if w == nil {
			return true
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.leases.SinceGrant(holderOf(w), time.Now()) > silentAfter
	}, Idle: d.isIdle}
}

// isIdle reports whether a standing run is not at work, by what its worker's agent reported last: it
// has not started, or the worker lists it as not at work.
func (d *dispatcher) isIdle(ref jobs.Ref, r *jobs.Placed) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	run := jobs.Stop{Task: ref, Run: r.Run}
	b, reported := d.begun[r.Worker]
	return slices.Contains(d.notAtWork[r.Worker], run) || (reported && slices.Contains(b.unstarted, run))
}
