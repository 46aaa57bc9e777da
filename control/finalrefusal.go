package control

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/quorum"
	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// finalRefusals counts refusals that also hold for messages that are still on their way, and
// openRefusals those that don't, because another message about the job was being committed.
var (
	finalRefusals = metrics.NewCounter(`waxwinghaven_job_refusals_total{final="true"}`)
	openRefusals  = metrics.NewCounter(`waxwinghaven_job_refusals_total{final="false"}`)
)

func (c *SubmitJob) key() string { return messageKey(c.Host, c.Path) }

// cancelPrefix distinguishes what messageOrder remembers about cancellations from submissions.
const cancelPrefix = "cancel "

func (c *CancelJob) key() string { return messageKey(c.Host, c.Path) }

// maxKeyBytes is the length of a longer key's digest. Keys are remembered for seconds, and callers
// choose their length.
const maxKeyBytes = 2 * sha256.Size

// messageKey returns what a message about a job is remembered by.
func messageKey(host, path string) string {
	key := host + path
	if len(key) < maxKeyBytes {
		return key
	}
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// stamp returns the place of an answer that is given now, nil if this replica does not lead.
func (d *dispatcher) stamp() *refusal.Stamp {
	if !d.leads() {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.messages.next(time.Now())
}

// awaitLeadership returns once this replica leads with a current state.
func (d *dispatcher) awaitLeadership() error {
	if d.leads() {
		return nil
	}
	if err := d.r.confirmedLeader(); err != nil {
		return err
	}
	if d.leads() {
		return nil
	}
	return d.r.refusalOf(quorum.ErrNotLeader)
}

// begin checks the order of a submission's message and records that the submission is in flight.
// running reports whether another one of the job is in flight.
func (d *dispatcher) begin(c *SubmitJob) (running bool, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.messages.check(c.key(), c.Seen, time.Now()); err != nil {
		return false, err
	}
	c.term = d.term
	running = d.inFlight[c.key()] > 0 || d.uncertain[c.key()]
	d.inFlight[c.key()]++
	return running, nil
}

// withdraw ends the only submission of a job in flight, so that it can be refused. It returns false
// if another submission is in flight or was accepted meanwhile: that one was not judged because of
// this one, and a refusal of this one would say that the job never runs. Messages about the job that
// were sent before are not taken any more.
func (d *dispatcher) withdraw(c *SubmitJob) (refused bool) {
	return d.refuseUnlessAccepted(c.key(), c.Host, c.Path, 1, func(now time.Time) {
		d.messages.refuse(c.key(), now)
		d.release(c)
	})
}

// refuseUnlessAccepted calls refuse, which refuses a job, unless it was accepted, may have been, or
// more than so many submissions of it are in flight. It reports whether it did.
func (d *dispatcher) refuseUnlessAccepted(key, host, path string, inFlight int, refuse func(now time.Time)) (refused bool) {
	d.r.machine.Read(func(s *State) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.inFlight[key] > inFlight || d.uncertain[key] || s.hasJob(host, path) {
			return
		}
		refuse(time.Now())
		refused = true
	})
	return refused
}

// markFinal marks the refusal of a withdrawn submission as final, if its sender and those of
// earlier messages name the stamps that they had received.
func (d *dispatcher) markFinal(e *refusal.Error, seen *refusal.Stamp) {
	finalRefusals.Inc()
	e.Final, e.Stamp = seen != nil, d.stamp()
}

// conclude ends a submission with the result of its commit, and returns what its sender is told.
func (d *dispatcher) conclude(c *SubmitJob, seen *refusal.Stamp, err error) error {
	e, refused := refusal.Of(err)
	if refused && e.Code == refusal.UnknownOutcome {
		d.markUncertain(c)
	}
	if !refused || !dependsOnState(e.Code) {
		d.submitted(c)
		return err
	}
	if d.withdraw(c) {
		d.markFinal(e, seen)
		return e
	}
	openRefusals.Inc()
	d.submitted(c)
	if d.hasJob(c.Host, c.Path) {
		return refusal.New(refusal.Accepted, "hand it in again once its queue exists", "the job was accepted before; refused now: %s", e.Message)
	}
	return e
}

// markUncertain records that a submission may be in this leader's log without being committed yet.
// Until the leadership ends, no other submission of the job is refused.
func (d *dispatcher) markUncertain(c *SubmitJob) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.term == c.term {
		d.uncertain[c.key()] = true
	}
}

// dependsOnState reports whether a code is the state machine's refusal of a call about a job: the
// call had no effect, but the same call may be accepted later.
func dependsOnState(code refusal.Code) bool {
	switch code {
	case refusal.NoRoute, refusal.NoConfig, refusal.NotFound, refusal.Invalid, refusal.Conflict:
		return true
	}
	return false
}

// beginCancel checks the order of a cancellation's message, and returns the only leadership that
// may commit it.
func (d *dispatcher) beginCancel(c *CancelJob) (term uint64, err error) {
	if c.Seen == nil {
		return quorum.AnyTerm, nil
	}
	if err := d.awaitLeadership(); err != nil {
		return 0, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.term, d.messages.check(cancelPrefix+c.key(), c.Seen, time.Now())
}

// concludeCancel returns what the sender of a cancellation that was not committed is told. An
// answer that there is no such job also holds for submissions that were sent before it: they are
// not taken any more. Beside one that is being committed the cancellation has to be sent again.
func (d *dispatcher) concludeCancel(c *CancelJob, err error) error {
	e, refused := refusal.Of(err)
	if c.Seen == nil || !refused || !dependsOnState(e.Code) {
		return err
	}
	if d.refuseCancel(c) {
		d.markFinal(e, c.Seen)
		return e
	}
	openRefusals.Inc()
	if e.Code != refusal.NotFound {
		return e // the job is known, and its queue is not
	}
	again := refusal.New(refusal.Stale, "send it again", "the job is being submitted")
	again.Stamp = d.stamp()
	return again
}

// refuseCancel remembers that there is no such job, unless one was accepted or may be.
func (d *dispatcher) refuseCancel(c *CancelJob) (refused bool) {
	return d.refuseUnlessAccepted(c.key(), c.Host, c.Path, 0, func(now time.Time) {
		d.messages.refuse(cancelPrefix+c.key(), now)
		d.messages.refuse(c.key(), now)
	})
}

func (d *dispatcher) hasJob(host, path string) (known bool) {
	d.r.machine.Read(func(s *State) { known = s.hasJob(host, path) })
	return known
}

// hasJob reports whether a job was accepted under a host and path, whichever queue has them now.
func (s *State) hasJob(host, path string) bool {
	if len(path) < jobs.IDLength {
		return false
	}
	j := s.Jobs.Jobs[path[len(path)-jobs.IDLength:]]
	return j != nil && j.Host == host && j.Prefix+j.ID == path
}
