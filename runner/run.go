package runner

import (
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

// run carries out the orders about one run of a task, one call at a time.
type run struct {
	s    *session
	key  runKey
	wake chan struct{}

	mu      sync.Mutex
	ord     jobs.Order
	ordered bool // an order was received; else the worker listed it first
	started bool // the worker has it, or had it
	ended   bool // the worker listed its end
	stop    bool
	held    resource.Vector // what it takes of the worker's room
	claimed bool            // its room is taken: it was, or is to be, started here
	stray   bool            // nobody told what it takes of the room, see strays.go
	// unsure is set once a start went unanswered: it may still take effect.
	unsure bool
	since  time.Time // when the order came
	// waited and decided are how long the task had waited then and how long before the run was
	// decided on, 0 for not known.
	waited, decided time.Duration
	sent            time.Time // when this life first asked for its start, zero if it did not
	began           time.Time // when this life started it, zero if an earlier one did
	slowed          bool
	pause           time.Duration // before the next call, after one that failed
}

func (r *run) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// order takes in a new or changed order.
func (r *run) order(o jobs.Order) {
	r.mu.Lock()
	if !o.Stop {
		r.ord = o
	}
	if !r.ordered {
		r.since = time.Now()
		r.waited, r.decided = r.s.elapsed(o.SinceMS), r.s.elapsed(o.AtMS)
	}
	r.ordered = true
	r.stop = r.stop || o.Stop
	r.held = o.Held
	r.mu.Unlock()
	r.signal()
}

// stopNow has the run stopped without an order of the control: decide acts as on one. What it
// holds of the worker's room stays held.
func (r *run) stopNow() {
	r.mu.Lock()
	r.ordered, r.stop = true, true
	r.mu.Unlock()
	r.signal()
}

func (r *run) setStarted() {
	r.mu.Lock()
	r.started = true
	r.mu.Unlock()
	r.signal()
}

func (r *run) isOrdered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ordered
}

func (r *run) isStopping() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stop
}

func (r *run) setEnded() {
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	r.signal()
}

// workMS returns how long the run was at work at full pace from its beginning to
// now, 0 if it resumed, was slowed down, or this life did not start it.
func (r *run) workMS() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.began.IsZero() || r.slowed || r.ord.Checkpoint != "" {
		return 0
	}
	return time.Since(r.began).Milliseconds()
}

func (r *run) setSlowed() {
	r.mu.Lock()
	r.slowed = true
	r.mu.Unlock()
}

func (r *run) current() jobs.Order {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ord
}

// noteSent takes in that the worker is asked for the start now, and returns the order.
func (r *run) noteSent(now time.Time) jobs.Order {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sent.IsZero() {
		r.sent = now
	}
	return r.ord
}

// move is the step that a run's goroutine takes.
type move uint8

const (
	moveWait   move = iota
	moveStart       // ask the worker to start it
	moveSettle      // ask for its stop
	moveDrop        // certainly never started: say so
	moveFinish      // nothing is left to do
)

// decide is the run's pure decision.
func (r *run) decide() move {
	// The session's lock is taken before a run's, never while it is held.
	closed := r.s.closed()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.ended:
		return moveFinish
	case !r.ordered:
		return moveWait
	case r.stop && !r.started && !r.unsure:
		return moveDrop
	case r.stop:
		return moveSettle
	case r.started:
		return moveWait
	case closed && r.unsure:
		return moveSettle
	case closed:
		return moveDrop
	}
	return moveStart
}

func (r *run) drive() {
	for r.s.ctx.Err() == nil {
		switch r.decide() {
		case moveFinish:
			return
		case moveWait:
			select {
			case <-r.wake:
			case <-r.s.ctx.Done():
			}
		case moveStart:
			r.start()
		case moveSettle:
			if r.settle() {
				return
			}
		case moveDrop:
			r.drop("stopped before it started")
			return
		}
	}
}

// start asks the worker once.
func (r *run) start() {
	s := r.s
	s.mu.Lock()
	end, extended := s.leaseEnd, s.lease
	s.mu.Unlock()
	if end == 0 || !s.mayStart() {
		r.await(extended)
		return
	}
	to := s.target() // before the next line: with the token in reserve it is seen there
	if s.steppedUp.Load() {
		r.rest()
		return
	}
	if s.hasStrays() || !s.canFence(to.Token) {
		r.await(extended)
		return
	}
	if !s.claim(r) {
		logrus.WithFields(logrus.Fields{"task": r.key.task.String(), "run": r.key.run}).Info("runner: A run doesn't fit what the worker has by its last word.")
		countVerdict("room", VerdictNoRoom)
		r.rejected(VerdictNoRoom)
		return
	}
	o := r.noteSent(time.Now())
	s.r.tokens.spend(to.Token)
	s.r.noteStarted(to.Token)
	reply, err := s.r.worker.Start(StartCall{Target: to, Task: o.Task, Run: o.Run, Payload: o.Payload, Checkpoint: o.Checkpoint, Ticket: o.Ticket, LeaseEndMS: end})
	if errors.Is(err, ErrNotSent) {
		r.rest()
		return
	}
	if err != nil {
		uncertainTotal.Inc()
		r.mu.Lock()
		r.unsure = true
		r.mu.Unlock()
		logrus.WithFields(logrus.Fields{"task": o.Task.String(), "run": o.Run}).Warnf("runner: A start went unanswered: %v.", err)
		r.rest()
		return
	}
	r.pause = 0
	countVerdict("start", reply.Verdict)
	switch reply.Verdict {
	case VerdictDone:
		startsTotal.Inc()
		waited := r.measure(o)
		logrus.WithFields(logrus.Fields{"task": o.Task.String(), "run": o.Run, "lease_end": end, "waited_ms": waited.Milliseconds(), "after_step": o.AfterStep,
			"decided_ms": r.decided.Milliseconds(), "asked_ms": time.Since(r.since).Milliseconds()}).Info("runner: Started a run.")
		r.mu.Lock()
		r.began = time.Now()
		r.mu.Unlock()
		r.setStarted()
		if o.Fills {
			s.setPaces(s.pacer.begin(time.Now(), r.key, o))
		}
	case VerdictLate:
		// The lease in the call has ended on the worker's clock: nothing
		// starts until it is extended.
		r.await(extended)
	case VerdictFenced, VerdictElsewhere:
		if !s.refused(reply.Verdict, to) {
			r.rest()
		}
	default:
		r.rejected(reply.Verdict)
	}
}

// longestPause bounds the time between two tries of a call. A worker that resets what it is
// asked does so for seconds, each try costs it a connection, and no other run is placed there
// meanwhile.
const longestPause = 8 * callPause

// rest lets some time pass after a call that failed, twice as much each time. Only the run's
// own goroutine uses it.
func (r *run) rest() {
	r.pause = min(max(2*r.pause, callPause), longestPause)
	r.s.sleep(r.pause)
}

// measure enters a start into the histograms and returns how long its task has waited
// for it: from the call that handed its job in, or from the end of the step before, 0 if
// that is not known.
func (r *run) measure(o jobs.Order) time.Duration {
	startSeconds.UpdateDuration(r.since)
	if r.waited <= 0 {
		return 0
	}
	waited := r.waited + time.Since(r.since)
	h := submitSeconds
	if o.AfterStep {
		h = stepSeconds
	}
	h.Update(waited.Seconds())
	return waited
}

// await waits until the lease is extended, the order changes or the session
// ends.
func (r *run) await(extended chan struct{}) {
	select {
	case <-extended:
	case <-r.wake:
	case <-r.s.ctx.Done():
	}
}

// rejected reacts to a verdict that the worker does not start the run. After an
// unanswered start that verdict is about the repetition only: the first may yet
// take effect, so the run is stopped before it is given back.
func (r *run) rejected(v Verdict) {
	r.mu.Lock()
	unsure := r.unsure
	r.stop = true
	r.mu.Unlock()
	if !unsure {
		r.drop(v.String())
		r.setEnded()
	}
}

// settle stops the run, and reports whether nothing is left to do. Once the stop
// is answered the run can't start any more; whether it had been started shows
// in what the worker lists afterwards.
func (r *run) settle() bool {
	s := r.s
	to := s.target()
	reply, err := s.r.worker.Stop(StopCall{Target: to, Task: r.key.task, Run: r.key.run})
	if err != nil {
		uncertainTotal.Inc()
		r.rest()
		return false
	}
	r.pause = 0
	countVerdict("stop", reply.Verdict)
	if reply.Verdict != VerdictDone {
		if s.refused(reply.Verdict, to) {
			return true
		}
		s.sleep(callPause)
		return false
	}
	logrus.WithFields(logrus.Fields{"task": r.key.task.String(), "run": r.key.run}).Info("runner: Stopped a run.")
	r.mu.Lock()
	started := r.started
	r.mu.Unlock()
	if started {
		return true // the worker lists its end
	}
	return r.resolve()
}

// resolve tells, after an answered stop, whether an unanswered start had taken
// effect.
func (r *run) resolve() bool {
	s := r.s
	for s.ctx.Err() == nil {
		to := s.target()
		reply, err := s.r.worker.Hold(HoldCall{Target: to})
		if err != nil || reply.Verdict != VerdictDone {
			if err == nil && s.refused(reply.Verdict, to) {
				return true
			}
			s.sleep(callPause)
			continue
		}
		if !r.listed(reply) {
			r.drop("stopped after an unanswered start")
		}
		return true
	}
	return true
}

// lists reports whether a worker's list has a run, at work or ended.
func lists(reply HoldReply, key runKey) bool {
	for _, x := range reply.Running {
		if x.Task == key.task && x.Run == key.run {
			return true
		}
	}
	for _, x := range reply.Finished {
		if x.Task == key.task && x.Run == key.run {
			return true
		}
	}
	return false
}

func (r *run) listed(reply HoldReply) bool {
	if lists(reply, r.key) {
		return true
	}
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	return r.s.ended[r.key]
}

// drop reports that the run certainly never started.
func (r *run) drop(reason string) {
	s := r.s
	s.mu.Lock()
	delete(s.runs, r.key)
	s.markEnded(r.key)
	s.mu.Unlock()
	logrus.WithFields(logrus.Fields{"task": r.key.task.String(), "run": r.key.run, "reason": reason}).Info("runner: A run never started.")
	s.send(report{end: jobs.End{Task: r.key.task, Run: r.key.run, Outcome: jobs.OutcomeRejected}, at: time.Now()})
}
