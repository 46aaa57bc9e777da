package control

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// begunReport is what an agent last reported about which runs have started on its worker. Each lease
// renewal carries one, so that the leader need not commit each start.
type begunReport struct {
	ordersIndex uint64
	unstarted   []jobs.Stop
	unknown     bool // the agent's version does not say which runs have started
}

// recordBegun records what a renewal says about which runs have started. The first renewal of a
// session says nothing, and what an earlier session has reported remains true: a session that has
// just taken over its worker must not make jobs count as pending again. The caller holds the lock.
func (d *dispatcher) recordBegun(req *LeaseRequest) {
	b := begunReport{ordersIndex: req.OrdersIndex, unstarted: req.Unstarted}
	if b.ordersIndex == 0 {
		if _, reported := d.begun[req.Worker]; reported && req.ReportsStarts {
			return
		}
		b.unknown = !req.ReportsStarts
	}
	d.begun[req.Worker] = b
}

// hasBegun reports whether a run on the worker had started when the report was made. All runs count
// if the agent's version does not say.
func (b *begunReport) hasBegun(ref jobs.Ref, r *jobs.Placed) bool {
	if b.unknown {
		return true
	}
	return r.Changed <= b.ordersIndex && !slices.Contains(b.unstarted, jobs.Stop{Task: ref, Run: r.Run})
}

// begunReportsDue is how long a new leader takes runs on workers without a report for started. Agents
// renew their leases every 0.7 s.
const begunReportsDue = 2 * time.Second

// begunTest returns a function that reports whether a run has started, by its worker's last report.
// Without a report it returns unreported.
func (d *dispatcher) begunTest(unreported bool) func(jobs.Ref, *jobs.Placed) bool {
	return func(ref jobs.Ref, r *jobs.Placed) bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		b, reported := d.begun[r.Worker]
		if !reported {
			return unreported
		}
		return b.hasBegun(ref, r)
	}
}

// awaitsBegunReports reports whether this leader is so new that agents may not have reported yet.
func (d *dispatcher) awaitsBegunReports() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.begunSince) < begunReportsDue
}

// commitBegun records in the log which jobs have begun, before their runs on workers that are lost or
// replaced become void: a job whose only runs were there would count as pending again.
func (d *dispatcher) commitBegun(workers []string) {
	begun, found := d.begunTest(false), make(map[string]bool)
	d.r.machine.Read(func(s *State) {
		for _, worker := range workers {
			for _, ref := range s.Jobs.RunsOn(worker) {
				j := s.Jobs.Jobs[ref.Job]
				if r := s.Jobs.Group(ref).Tasks[ref.Index].On(worker); !j.Began && !found[j.ID] && begun(ref, r) {
					found[j.ID] = true
				}
			}
		}
	})
	if len(found) == 0 {
		return
	}
	ids := slices.Sorted(maps.Keys(found))
	if _, err := d.r.proposeJob(JobCommand{Began: ids}); err != nil {
		logrus.Warnf("control: Could not commit that %d jobs have begun: %v.", len(ids), err)
	}
}
