package runner

import (
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// liveness tracks, from the outcome of the calls to one incarnation of the worker, whether it
// still exists. It reads no clock: the time is passed in.
type liveness struct {
	mu           sync.Mutex
	worker       string
	answered     time.Time // last answer, zero before the first
	leaseEnd     time.Time // end of the lease that the worker knows of
	failingSince time.Time // first failed call since the last answer, zero for none
	closed       time.Time // first call since the last answer whose connection the worker's side closed
	replaced     time.Time // when another incarnation answered in its place, zero for never
}

// outage is a period without an answer that lasts until now.
type outage struct {
	answered time.Time // last answer before it
	since    time.Time // first call that failed, or that another incarnation answered
	closed   time.Time // first call whose connection the worker's side closed, zero for never
	leaseEnd time.Time // end of the lease that the worker knew of
	replaced time.Time // when another incarnation answered, zero for never
}

// ended returns the latest time at which a replaced incarnation had ended. An unanswered call
// does not prove an end: its answer may have been lost.
func (o *outage) ended() time.Time {
	if o.closed.IsZero() {
		return o.replaced
	}
	return o.closed
}

// track starts to track an incarnation, unless it is tracked already.
func (l *liveness) track(worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.worker != worker {
		l.worker, l.answered, l.leaseEnd, l.failingSince, l.closed, l.replaced = worker, time.Time{}, time.Time{}, time.Time{}, time.Time{}, time.Time{}
	}
}

// record records the outcome of a call to an incarnation, and reports whether an outage begins
// or ends with it.
func (l *liveness) record(worker string, v Verdict, err error, now time.Time) (began, ended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if worker != l.worker || !l.replaced.IsZero() {
		return false, false
	}
	fails := err != nil || v == VerdictOtherIncarnation
	if !fails {
		ended = !l.failingSince.IsZero()
		l.answered, l.failingSince, l.closed = now, time.Time{}, time.Time{}
		return false, ended
	}
	if err == nil {
		l.replaced = now
	}
	if l.answered.IsZero() {
		return false, false
	}
	if l.closed.IsZero() && errors.Is(err, ErrClosed) {
		l.closed = now
	}
	if l.failingSince.IsZero() {
		l.failingSince, began = now, true
	}
	return began, false
}

// markReplaced records that another incarnation has taken the place of this one.
func (l *liveness) markReplaced(worker string, now time.Time) {
	l.record(worker, VerdictOtherIncarnation, nil, now)
}

// extendLease records that the worker knows of a lease with the given time left.
func (l *liveness) extendLease(worker string, left time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if end := now.Add(left); worker == l.worker && end.After(l.leaseEnd) {
		l.leaseEnd = end
	}
}

// outage returns an incarnation's present outage, false while it answers.
func (l *liveness) outage(worker string) (outage, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := outage{answered: l.answered, since: l.failingSince, closed: l.closed, leaseEnd: l.leaseEnd, replaced: l.replaced}
	return o, worker == l.worker && !l.failingSince.IsZero()
}

// observedWorker is a Worker that records the outcome of each call in liveness.
type observedWorker struct {
	worker   Worker
	liveness *liveness
}

// Start implements Worker.
func (o observedWorker) Start(c StartCall) (Reply, error) {
	r, err := o.worker.Start(c)
	o.recordLease(c.Worker, c.LeaseEndMS, r, err)
	return r, err
}

// Stop implements Worker.
func (o observedWorker) Stop(c StopCall) (Reply, error) {
	r, err := o.worker.Stop(c)
	o.record(c.Worker, r.Verdict, err)
	return r, err
}

// Pace implements Worker.
func (o observedWorker) Pace(c PaceCall) (Reply, error) {
	r, err := o.worker.Pace(c)
	o.record(c.Worker, r.Verdict, err)
	return r, err
}

// Hold implements Worker.
func (o observedWorker) Hold(c HoldCall) (HoldReply, error) {
	r, err := o.worker.Hold(c)
	o.recordLease(c.Worker, c.LeaseEndMS, r.Reply, err)
	return r, err
}

// recordLease records the answer to a call that extends the lease.
func (o observedWorker) recordLease(worker string, leaseEndMS int64, r Reply, err error) {
	o.record(worker, r.Verdict, err)
	if err == nil && r.Verdict == VerdictDone {
		o.liveness.extendLease(worker, time.Duration(leaseEndMS-r.ClockMS)*time.Millisecond, time.Now())
	}
}

func (o observedWorker) record(worker string, v Verdict, err error) {
	began, ended := o.liveness.record(worker, v, err, time.Now())
	l := logrus.WithField("worker", worker)
	switch {
	case began && err == nil:
		l.Warn("runner: Another incarnation answers in the worker's place.")
	case began:
		l.WithField("closed", errors.Is(err, ErrClosed)).Warnf("runner: The worker no longer answers: %v.", err)
	case ended:
		l.Info("runner: The worker answers again.")
	}
}
