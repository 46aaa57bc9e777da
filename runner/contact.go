package runner

import (
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// contact is what the calls to one incarnation of the worker tell of whether it is still
// there. It is pure: the time is passed.
type contact struct {
	mu       sync.Mutex
	worker   string
	answered time.Time // when the last answer came, zero before the first
	held     time.Time // when the lease that the worker knows of ends
	silent   time.Time // when the first call failed since the last answer, zero for none
	closed   time.Time // when the worker's side first ended a call's connection since
	replaced time.Time // when another incarnation answered in its place, zero for never
}

// silence is a span without an answer, up to now.
type silence struct {
	answered time.Time // the last answer before it
	since    time.Time // the first call that failed, or was answered by another incarnation
	closed   time.Time // when the worker's side first ended a call's connection, zero for never
	held     time.Time // when the lease that the worker knew of ended
	replaced time.Time // when another incarnation answered, zero for never
}

// ended is when a replaced incarnation had ended at the latest. A call that went unanswered
// tells nothing: its answer may have been lost.
func (s *silence) ended() time.Time {
	if s.closed.IsZero() {
		return s.replaced
	}
	return s.closed
}

// follow makes the contact that of an incarnation.
func (c *contact) follow(worker string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.worker != worker {
		c.worker, c.answered, c.held, c.silent, c.closed, c.replaced = worker, time.Time{}, time.Time{}, time.Time{}, time.Time{}, time.Time{}
	}
}

// note takes in how a call to an incarnation ended, and reports whether that begins or
// ends a silence.
func (c *contact) note(worker string, v Verdict, err error, now time.Time) (began, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if worker != c.worker || !c.replaced.IsZero() {
		return false, false
	}
	fails := err != nil || v == VerdictElsewhere
	if !fails {
		ended = !c.silent.IsZero()
		c.answered, c.silent, c.closed = now, time.Time{}, time.Time{}
		return false, ended
	}
	if err == nil {
		c.replaced = now
	}
	if c.answered.IsZero() {
		return false, false
	}
	if c.closed.IsZero() && errors.Is(err, ErrClosed) {
		c.closed = now
	}
	if c.silent.IsZero() {
		c.silent, began = now, true
	}
	return began, false
}

// replace takes in that another incarnation stands where this one did.
func (c *contact) replace(worker string, now time.Time) {
	c.note(worker, VerdictElsewhere, nil, now)
}

// extended takes in that the worker knows of a lease for so long.
func (c *contact) extended(worker string, left time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if end := now.Add(left); worker == c.worker && end.After(c.held) {
		c.held = end
	}
}

// silence returns an incarnation's present silence, false while it answers.
func (c *contact) silence(worker string) (silence, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := silence{answered: c.answered, since: c.silent, closed: c.closed, held: c.held, replaced: c.replaced}
	return s, worker == c.worker && !c.silent.IsZero()
}

// observed is a worker whose answers are noted.
type observed struct {
	worker  Worker
	contact *contact
}

// Start implements Worker.
func (o observed) Start(c StartCall) (Reply, error) {
	r, err := o.worker.Start(c)
	o.noteLease(c.Worker, c.LeaseEndMS, r, err)
	return r, err
}

// Stop implements Worker.
func (o observed) Stop(c StopCall) (Reply, error) {
	r, err := o.worker.Stop(c)
	o.note(c.Worker, r.Verdict, err)
	return r, err
}

// Pace implements Worker.
func (o observed) Pace(c PaceCall) (Reply, error) {
	r, err := o.worker.Pace(c)
	o.note(c.Worker, r.Verdict, err)
	return r, err
}

// Hold implements Worker.
func (o observed) Hold(c HoldCall) (HoldReply, error) {
	r, err := o.worker.Hold(c)
	o.noteLease(c.Worker, c.LeaseEndMS, r.Reply, err)
	return r, err
}

// noteLease notes the answer to a call that extends the lease.
func (o observed) noteLease(worker string, leaseEndMS int64, r Reply, err error) {
	o.note(worker, r.Verdict, err)
	if err == nil && r.Verdict == VerdictDone {
		o.contact.extended(worker, time.Duration(leaseEndMS-r.ClockMS)*time.Millisecond, time.Now())
	}
}

func (o observed) note(worker string, v Verdict, err error) {
	began, ended := o.contact.note(worker, v, err, time.Now())
	l := logrus.WithField("worker", worker)
	switch {
	case began && err == nil:
		l.Warn("runner: Another incarnation answers in the worker's place.")
	case began:
		l.WithField("closed", errors.Is(err, ErrClosed)).Warnf("runner: The worker doesn't answer any more: %v.", err)
	case ended:
		l.Info("runner: The worker answers again.")
	}
}
