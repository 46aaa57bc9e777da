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
	ordered bool // an order was received; otherwise the worker listed the run first
	started bool // the worker has it, or had it
	ended   bool // the worker listed its end
	stop    bool
	held    resource.Vector // the worker's capacity that it occupies
	claimed bool            // its capacity is occupied: it was, or is to be, started here
	orphan  bool            // the control does not know it here, so held is unknown; see orphans.go
	// uncertain is set once a start went unanswered: it may still take effect.
	uncertain bool
	orderedAt time.Time // when the first order arrived
	// waited is how long the task had waited at orderedAt, and decided how long before that
	// the run was decided on. Both are 0 if not known.
	waited, decided time.Duration
	sentAt          time.Time // when this session first requested its start, zero if it did not
	startedAt       time.Time // when this session started it, zero if an earlier one did
	slowed          bool
	pause           time.Duration // before the next call, after a failed one
}

func (r *run) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// setOrder applies a new or changed order.
func (r *run) setOrder(o jobs.Order) {
	r.mu.Lock()
	if !o.Stop {
		r.ord = o
	}
	if !r.ordered {
		r.orderedAt = time.Now()
		r.waited, r.decided = r.s.elapsed(o.SinceMS), r.s.elapsed(o.AtMS)
	}
	r.ordered = true
	r.stop = r.stop || o.Stop
	r.held = o.Held
	r.mu.Unlock()
	r.signal()
}

// stopNow stops the run without an order of the control; decide treats it like one. The run's
// capacity stays occupied.
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

// workMS returns how long the run has been working at full pace since its start, 0 if it
// resumed from a checkpoint, was slowed down, or was not started by this session.
func (r *run) workMS() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.startedAt.IsZero() || r.slowed || r.ord.Checkpoint != "" {
		return 0
	}
	return time.Since(r.startedAt).Milliseconds()
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

// markSent records that the start is requested now, and returns the order.
func (r *run) markSent(now time.Time) jobs.Order {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sentAt.IsZero() {
		r.sentAt = now
	}
	return r.ord
}

// action is the next step of a run's goroutine.
type action uint8

const (
	actionWait   action = iota
	actionStart         // request the start from the worker
	actionStop          // request the stop
	actionReject        // certainly never started: report that
	actionFinish        // nothing is left to do
)

// decide returns the next action. It makes no calls.
func (r *run) decide() action {
	// The lock of the session is taken before that of a run, never while it is held.
	closed := r.s.closed()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.ended:
		return actionFinish
	case !r.ordered:
		return actionWait
	case r.stop && !r.started && !r.uncertain:
		return actionReject
	case r.stop:
		return actionStop
	case r.started:
		return actionWait
	case closed && r.uncertain:
		return actionStop
	case closed:
		return actionReject
	}
	return actionStart
}

func (r *run) drive() {
	for r.s.ctx.Err() == nil {
		switch r.decide() {
		case actionFinish:
			return
		case actionWait:
			select {
			case <-r.wake:
			case <-r.s.ctx.Done():
			}
		case actionStart:
			r.start()
		case actionStop:
			if r.sendStop() {
				return
			}
		case actionReject:
			r.reportNeverStarted("stopped before it started")
			return
		}
	}
}

// start requests the start from the worker once.
func (r *run) start() {
	s := r.s
	s.mu.Lock()
	end, extended := s.leaseEnd, s.lease
	s.mu.Unlock()
	if end == 0 || !s.mayStart() {
		r.awaitLease(extended)
		return
	}
	to := s.target() // must precede the next line, which detects a switch to the reserve token
	if s.onReserveToken.Load() {
		r.backOff()
		return
	}
	if s.hasOrphans() || !s.canFence(to.Token) {
		r.awaitLease(extended)
		return
	}
	if !s.claim(r) {
		logrus.WithFields(logrus.Fields{"task": r.key.task.String(), "run": r.key.run}).Info("runner: A run does not fit the worker's last announced capacity.")
		countVerdict("room", VerdictNoCapacity)
		r.handleRejection(VerdictNoCapacity)
		return
	}
	o := r.markSent(time.Now())
	s.r.tokens.spend(to.Token)
	s.r.recordStartToken(to.Token)
	reply, err := s.r.worker.Start(StartCall{Target: to, Task: o.Task, Run: o.Run, Payload: o.Payload, Checkpoint: o.Checkpoint, Ticket: o.Ticket, LeaseEndMS: end})
	if errors.Is(err, ErrNotSent) {
		r.backOff()
		return
	}
	if err != nil {
		uncertainTotal.Inc()
		r.mu.Lock()
		r.uncertain = true
		r.mu.Unlock()
		logrus.WithFields(logrus.Fields{"task": o.Task.String(), "run": o.Run}).Warnf("runner: A start went unanswered: %v.", err)
		r.backOff()
		return
	}
	r.pause = 0
	countVerdict("start", reply.Verdict)
	switch reply.Verdict {
	case VerdictDone:
		startsTotal.Inc()
		waited := r.recordStartLatency(o)
		logrus.WithFields(logrus.Fields{"task": o.Task.String(), "run": o.Run, "lease_end": end, "waited_ms": waited.Milliseconds(), "after_step": o.AfterStep,
			"decided_ms": r.decided.Milliseconds(), "asked_ms": time.Since(r.orderedAt).Milliseconds()}).Info("runner: Started a run.")
		r.mu.Lock()
		r.startedAt = time.Now()
		r.mu.Unlock()
		r.setStarted()
		if o.Fills {
			s.setPaces(s.pacer.begin(time.Now(), r.key, o))
		}
	case VerdictLate:
		// The lease in the call has expired by the worker's clock: nothing starts until it is
		// extended.
		r.awaitLease(extended)
	case VerdictFenced, VerdictOtherIncarnation:
		if !s.handleRefusal(reply.Verdict, to) {
			r.backOff()
		}
	default:
		r.handleRejection(reply.Verdict)
	}
}

// maxBackoff bounds the time between two attempts of a call. A worker that resets calls does
// so for seconds, each attempt costs it a connection, and no other run is placed there
// meanwhile.
const maxBackoff = 8 * callPause

// backOff waits after a failed call, twice as long each time. Only the run's own goroutine
// uses it.
func (r *run) backOff() {
	r.pause = min(max(2*r.pause, callPause), maxBackoff)
	r.s.sleep(r.pause)
}

// recordStartLatency records a start in the histograms and returns how long its task has
// waited for it: since the call that submitted its job, or since the end of the previous step,
// 0 if that is not known.
func (r *run) recordStartLatency(o jobs.Order) time.Duration {
	startSeconds.UpdateDuration(r.orderedAt)
	if r.waited <= 0 {
		return 0
	}
	waited := r.waited + time.Since(r.orderedAt)
	h := submitSeconds
	if o.AfterStep {
		h = stepSeconds
	}
	h.Update(waited.Seconds())
	return waited
}

// awaitLease waits until the lease is extended, the order changes or the session ends.
func (r *run) awaitLease(extended chan struct{}) {
	select {
	case <-extended:
	case <-r.wake:
	case <-r.s.ctx.Done():
	}
}

func (r *run) hasStarted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.started
}

func (r *run) hasEnded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}
