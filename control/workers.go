package control

import (
	"slices"
	"strings"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// stalledFor is how long a report of a stalled run counts: two renewals.
const stalledFor = 1500 * time.Millisecond

// recent returns the runs that were reported lately, and forgets the others. The map
// is taken under the lock: a new leadership replaces it.
func (d *dispatcher) recent(reported *map[jobs.Stop]time.Time, now time.Time) []jobs.Stop {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []jobs.Stop
	for st, at := range *reported {
		if now.Sub(at) > stalledFor {
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

// shunnedNow returns the workers that get nothing new now: those that rejected a
// start a moment ago, and those that fail what they start.
func (d *dispatcher) shunnedNow(now time.Time, workers int) map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out map[string]bool
	if !d.r.without.Health {
		out = d.health.Shunned(workers, now)
	}
	if out == nil {
		out = make(map[string]bool)
	}
	for id, until := range d.shunned {
		if now.After(until) {
			delete(d.shunned, id)
			continue
		}
		out[id] = true
	}
	return out
}

// silentFor is how long an agent's word that its worker is silent counts: two of its words.
const silentFor = 1200 * time.Millisecond

// silent keeps new tasks off a worker that doesn't answer. Placed there they wait until it is
// back, or its lease has ended, for three to five seconds.
func (d *dispatcher) silent(worker string) {
	d.leads()
	d.mu.Lock()
	defer d.mu.Unlock()
	until := time.Now().Add(silentFor)
	if until.After(d.shunned[worker]) {
		d.shunned[worker] = until
	}
	silentReports.Inc()
}

// ended reacts to committed ends, whose report arrived at a time.
func (d *dispatcher) ended(req RunEnds, at time.Time) {
	d.r.machine.Read(func(s *State) { d.starts.ended(s.Jobs, req.Ends, at) })
	for _, e := range req.Ends {
		d.noteEnd(req.Worker, e)
		if e.Outcome == jobs.OutcomeRejected {
			d.mu.Lock()
			d.shunned[req.Worker] = time.Now().Add(shunTime)
			d.consult.book.Rejected(e.Task.Group(), req.Worker)
			d.mu.Unlock()
		}
	}
	d.wake()
}

// noteGrant learns from a renewal that was granted.
func (d *dispatcher) noteGrant(req *LeaseRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, st := range req.Stalled {
		d.stalled[st] = now
	}
	if req.Ailing {
		d.health.NoteStuck(req.Worker, now)
	}
	for range req.Stuck {
		d.health.NoteStuck(req.Worker, now)
	}
	for _, st := range req.Stuck {
		d.stuck[st] = now
	}
	if len(req.Stalled)+len(req.Stuck) > 0 {
		defer d.wake()
	}
	d.clock.note(req.Worker, req.WallMS, now)
}

// noteEnd learns from the end of a run. What was expected is asked for before the
// run itself counts.
func (d *dispatcher) noteEnd(worker string, e jobs.End) {
	expected := 0.0
	d.r.machine.Read(func(s *State) {
		if e.WorkMS > 0 && e.Outcome == jobs.OutcomeDone {
			expected = d.learned.measured(e.Task.Group())
			d.learned.note(s.Jobs, e)
		}
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.health.NoteEnd(worker, e.Outcome, e.WorkMS, expected, time.Now())
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

// notify signals one worker's watcher; the caller holds the lock.
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

// touched signals the watchers of the workers whose orders a command changed.
func (d *dispatcher) touched(workers []string) {
	if len(workers) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, w := range workers {
		d.notify(w)
	}
}

// leased counts the workers with a lease of this leadership: the clock of each came with it.
func (d *dispatcher) leased() int {
	if !d.leads() {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.clock.offsets)
}
