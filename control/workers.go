package control

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// reportTTL is how long a report of a stalled run stays valid: two renewals.
const reportTTL = 1500 * time.Millisecond

// recent returns the runs that were reported recently, and drops the others. It takes a pointer
// to the map, to be read under the lock, since a new leadership replaces the map.
func (d *dispatcher) recent(reported *map[jobs.Stop]time.Time, now time.Time) []jobs.Stop {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []jobs.Stop
	for st, at := range *reported {
		if now.Sub(at) > reportTTL {
			delete(*reported, st)
			continue
		}
		out = append(out, st)
	}
	slices.SortFunc(out, func(a, b jobs.Stop) int { return strings.Compare(a.Task.String(), b.Task.String()) })
	return out
}

func (d *dispatcher) slowness(worker string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.health.Slowness(worker)
}

// avoidedWorkers returns the workers that get nothing new: those that rejected a start recently or
// do not answer, and those whose runs fail. blamed are the ones that are avoided for the last reason
// alone.
func (d *dispatcher) avoidedWorkers(now time.Time, workers map[string]*jobs.Worker) (out, blamed map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	out = make(map[string]bool)
	if !d.r.without.Health {
		out = d.health.Avoided(workers, now)
	}
	blamed = maps.Clone(out)
	for id, until := range d.avoided {
		if now.After(until) {
			delete(d.avoided, id)
			continue
		}
		out[id] = true
		delete(blamed, id)
	}
	return out, blamed
}

// unresponsiveTTL is how long a report that a worker does not answer stays valid: two reports.
const unresponsiveTTL = 1200 * time.Millisecond

// markUnresponsive keeps new tasks off a worker that does not answer. Placed there they would wait
// until it recovers or its lease has expired, for three to five seconds.
func (d *dispatcher) markUnresponsive(worker string) {
	d.leads()
	d.mu.Lock()
	defer d.mu.Unlock()
	until := time.Now().Add(unresponsiveTTL)
	if until.After(d.avoided[worker]) {
		d.avoided[worker] = until
	}
	unresponsiveReports.Inc()
}

// handleEnds reacts to committed ends whose report arrived at the given time.
func (d *dispatcher) handleEnds(req RunEnds, at time.Time) {
	d.r.machine.Read(func(s *State) { d.waits.ended(s.Jobs, req.Ends, at) })
	for _, e := range req.Ends {
		d.recordEnd(req.Worker, e)
		if e.Outcome == jobs.OutcomeRejected {
			d.mu.Lock()
			d.avoided[req.Worker] = time.Now().Add(avoidAfterReject)
			d.advice.table.Rejected(e.Task.Group(), req.Worker)
			d.mu.Unlock()
		}
	}
	d.wake()
}

// recordGrant learns from a renewal that was granted.
func (d *dispatcher) recordGrant(req *LeaseRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, st := range req.Stalled {
		d.stalledAt[st] = now
	}
	if req.Degraded {
		d.health.RecordStuck(req.Worker, now)
	}
	for range req.Stuck {
		d.health.RecordStuck(req.Worker, now)
	}
	for _, st := range req.Stuck {
		d.stuckAt[st] = now
	}
	if len(req.Stalled)+len(req.Stuck) > 0 {
		defer d.wake()
	}
	d.clock.set(req.Worker, req.WallMS, now)
	d.recordBegun(req)
	d.notAtWork[req.Worker] = req.NotAtWork
}

// recordEnd learns from the end of a run. It reads the expected duration before the run itself is
// added to the statistics.
func (d *dispatcher) recordEnd(worker string, e jobs.End) {
	expected := 0.0
	d.r.machine.Read(func(s *State) {
		if e.WorkMS > 0 && e.Outcome == jobs.OutcomeDone {
			expected = d.durationModel.Measured(e.Task.Group())
			d.durationModel.Record(s.Jobs, e)
		}
		if d.refused != nil {
			d.refused.ended(s, e, d.durationModel.Measured(e.Task.Group()), time.Now())
		}
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.health.RecordEnd(worker, e.Outcome, e.WorkMS, expected, time.Now())
}

// watch returns a channel that is signalled when a worker's orders change.
func (d *dispatcher) watch(worker string) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	ch := d.watchers[worker]
	if ch == nil {
		ch = make(chan struct{}, 1)
		d.watchers[worker] = ch
	}
	return ch
}

// notify signals one worker's watcher. The caller holds the lock.
func (d *dispatcher) notify(worker string) {
	ch := d.watchers[worker]
	if ch == nil {
		return
	}
	select {
	case ch <- struct{}{}:
	default:
	}
}

// notifyChanged signals the watchers of the workers whose orders a command has changed.
func (d *dispatcher) notifyChanged(workers []string) {
	if len(workers) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, w := range workers {
		d.notify(w)
	}
}

// leased returns the number of workers with a lease of this leadership, each of which has
// reported a clock.
func (d *dispatcher) leased() int {
	if !d.leads() {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.clock.offsets)
}
