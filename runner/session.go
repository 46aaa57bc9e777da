package runner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/clock"
	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

const (
	// holdWait is how long the worker may delay its answer to a hold call. It bounds the age
	// of the readings that the paces of filling runs are based on.
	holdWait = 400 * time.Millisecond
	// renewInterval is the interval between lease renewals. With a lease of 5 s, five in a row
	// may fail before the worker ends its runs.
	renewInterval = 700 * time.Millisecond
	// callPause is the pause before a failed call is repeated.
	callPause = 50 * time.Millisecond
	// ordersWait is how long a replica may delay its answer to a call for orders.
	ordersWait = 450 * time.Millisecond
	// controlTimeout bounds a call to the control, including attempts at other replicas.
	controlTimeout = 2 * time.Second
	// ackWait is how long the next call to the worker is delayed for the commit of the ends in
	// the last list, so that it can carry their cursor.
	ackWait = 100 * time.Millisecond
)

// runKey identifies a run.
type runKey struct {
	task jobs.Ref
	run  uint32
}

// session serves one incarnation of the worker. It ends with the incarnation, with the agent's
// process, or when the control no longer knows it.
type session struct {
	r      *Runner
	id     string
	worker string // the incarnation
	token  atomic.Uint64
	ctx    context.Context
	stop   context.CancelFunc
	final  atomic.Bool // the incarnation is not served again before another heartbeat
	// deregistered says that the control does not know this session: its runs may be void.
	deregistered atomic.Bool
	began        time.Time
	// reached says that the incarnation has listed its runs. initial is that list until it has
	// been processed, and initialAt when it was received.
	reached   bool
	initial   HoldReply
	initialAt time.Time
	// previous is the incarnation that was registered when this session began, "" for none.
	previous string
	// lastRegistered is the incarnation that the agent registered last, even if the control
	// has lost it since.
	lastRegistered string

	mu         sync.Mutex
	ann        Announcement
	runs       map[runKey]*run
	rejected   map[runKey]bool // runs that never started, until that is committed
	ended      map[runKey]bool // recent ends that were listed or reported
	endedOrder []runKey        // keys of ended, oldest first
	leaseEnd   int64           // on the worker's clock, ms
	pacer      *pacer
	paces      *paceQueue
	progress   *progress
	notAtWork  []jobs.Stop // standing runs that the last list showed as not at work
	leaving    bool
	// cordoned says whether the data centre is out of service, as last heard from the control.
	// cordonAsOf is when the request was sent that a majority's last confirmation answered,
	// and inServiceAsOf the same for the last confirmation that it is in service.
	cordoned      bool
	cordonAsOf    clock.Instant
	inServiceAsOf clock.Instant

	registered        atomic.Uint64 // index of the registration
	ordersIndex       atomic.Uint64 // log index up to which orders have been received
	leader            atomic.Uint64 // leadership that granted the last lease
	leaderStartMS     atomic.Int64  // the leader's clock when the session began, 0 if not known
	awaitingLateLease bool          // awaitLateLease is running or done; only registrations use it
	pairsRevision     atomic.Uint64 // revision of the pairs that the leader sent last
	sendKnown         atomic.Bool   // the leader is new: send it what the pacer knows

	// onReserveToken says that the session has switched to the reserve token and nothing has
	// been answered since. A call that the successor must not carry out would use up that
	// token.
	onReserveToken atomic.Bool

	// listDeadline is when the list that holdLoop waits for counts as unanswered, 0 while it
	// waits for none, and identityKnownAt when it was last known which incarnation is at the
	// address, both as the session's age. fenced says that the incarnation has seen the
	// session's token, successorKnown that another incarnation has answered, successorFenced
	// that this one is fenced, too, and guardDone that a later session has fenced its own.
	// probeRequests triggers an immediate probe.
	listDeadline    atomic.Int64
	identityKnownAt atomic.Int64
	fenced          atomic.Bool
	successorKnown  atomic.Bool
	successorFenced atomic.Bool
	guardDone       atomic.Bool
	probeRequests   chan struct{}
	reserveUsed     chan struct{} // signalled when the reserve token is taken

	// Only holdLoop uses the fields from here to ackedCursor.
	refusedConns     int       // connections refused since the last answer
	outageReportedAt time.Time // when the control was last told that the worker is unresponsive
	clockMS          int64     // the worker's clock in its last list
	ackedCursor      uint64    // highest cursor that the worker has answered

	listedAll  chan struct{} // closed once all ends from before the session have been processed
	highestEnd uint64        // highest end listed by the worker
	cursor     atomic.Uint64 // highest end known to be committed
	acked      chan struct{}
	ends       chan endReport
	update     chan struct{} // signalled when the announcement changes
	lease      chan struct{} // closed when the lease is extended
}

func newSession(ctx context.Context, r *Runner, a Announcement) *session {
	s := &session{r: r, id: newSessionID(), worker: a.Worker, began: time.Now(), ann: a, runs: make(map[runKey]*run), rejected: make(map[runKey]bool), ended: make(map[runKey]bool), pacer: newPacer(r.without), paces: newPaceQueue(), progress: newProgress(),
		probeRequests: make(chan struct{}, 1), reserveUsed: make(chan struct{}, 1), acked: make(chan struct{}, 1), ends: make(chan endReport, 1024), update: make(chan struct{}, 1), lease: make(chan struct{}), listedAll: make(chan struct{})}
	s.ctx, s.stop = context.WithCancel(ctx)
	return s
}

// run serves the incarnation and reports whether it may still exist.
func (s *session) run() (again bool) {
	defer s.stop()
	if !s.fence() || !s.register() {
		return !s.final.Load()
	}
	s.adoptRuns()
	var wg sync.WaitGroup
	for _, f := range []func(){s.holdLoop, s.ordersLoop, s.reportLoop, s.updateLoop, s.maintainReserve} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f()
		}()
	}
	wg.Wait()
	return !s.final.Load()
}

// end ends the session and logs the reason.
func (s *session) end(reason string) {
	s.mu.Lock()
	runs, leaseEnd := len(s.runs), s.leaseEnd
	s.mu.Unlock()
	logrus.WithFields(logrus.Fields{"worker": s.worker, "life": s.id, "registered": s.registered.Load(), "runs": runs, "lease_end": leaseEnd}).
		Infof("runner: Ending the session: %s.", reason)
	s.stop()
	s.probeNow()
}

// announce applies a changed announcement of the worker.
func (s *session) announce(a Announcement) {
	s.mu.Lock()
	s.ann = a
	s.mu.Unlock()
	s.requestUpdate()
}

// requestUpdate requests another registration of the worker.
func (s *session) requestUpdate() {
	select {
	case s.update <- struct{}{}:
	default:
	}
}

// leave stops new starts. The lease ends together with the worker.
func (s *session) leave() {
	s.mu.Lock()
	a := s.ann
	s.leaving = true
	s.mu.Unlock()
	a.Draining = true
	s.announce(a)
}

func (s *session) draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ann.Draining || s.leaving
}

// elapsed returns the time since ms by the leader's clock, 0 if either is not known.
func (s *session) elapsed(ms int64) time.Duration {
	began := s.leaderStartMS.Load()
	if ms == 0 || began == 0 {
		return 0
	}
	return max(time.Since(s.began)-time.Duration(ms-began)*time.Millisecond, 0)
}

// closed reports whether nothing new may be started, because the worker is about to end or its
// data centre is out of service.
func (s *session) closed() bool { return s.draining() || s.isCordoned() }

func (s *session) target() Target { return Target{s.worker, s.token.Load()} }

func (s *session) ref() control.WorkerRef {
	return control.WorkerRef{Worker: s.worker, Session: s.id}
}

func (s *session) sleep(d time.Duration) {
	select {
	case <-s.ctx.Done():
	case <-time.After(d):
	}
}

// handleRefusal ends the session on a verdict that a repetition cannot change, and reports
// whether it did so. A call that was in flight when the session switched to a higher token may
// be repeated with that one.
func (s *session) handleRefusal(v Verdict, to Target) bool {
	switch {
	case v == VerdictFenced && to.Token < s.token.Load():
		return false
	case v == VerdictFenced:
		s.end("the worker has seen a higher fencing token")
	case v == VerdictOtherIncarnation:
		s.successorAnswered(to, false)
	default:
		return false
	}
	return true
}

// holdLoop keeps one hold call open at the worker, which extends the lease, acknowledges
// committed ends, and returns with the next end.
func (s *session) holdLoop() {
	renewed := s.initialAt
	for s.ctx.Err() == nil {
		to, cursor := s.target(), s.safeCursor()
		end, wait := s.safeLease(), holdWait
		if s.onReserveToken.Load() {
			wait = 0 // starts wait for the answer
		}
		s.listDeadline.Store(s.age() + int64(wait+listSlack))
		reply, err := s.r.worker.Hold(HoldCall{Target: to, LeaseEndMS: end, Cursor: cursor, Wait: wait})
		s.listDeadline.Store(0)
		if err != nil || reply.Verdict != VerdictDone {
			if err == nil && s.handleRefusal(reply.Verdict, to) {
				return
			}
			if s.reportLeft(err) {
				return
			}
			if errors.Is(err, ErrClosed) {
				s.switchToReserveToken()
			}
			s.reportUnresponsive()
			s.sleep(callPause)
			continue
		}
		s.refusedConns = 0
		s.ackedCursor = max(s.ackedCursor, cursor)
		s.onReserveToken.Store(false)
		s.checkClock(reply.ClockMS)
		if time.Since(renewed) >= renewInterval {
			renewed = time.Now()
			go s.renew(reply.ClockMS)
		}
		s.stopUnknown(reply.Running)
		s.stopOverdue(reply)
		s.pace(reply.Running)
		s.progress.record(time.Now(), reply.Running, s.pacer.slowedRuns())
		s.recordAtWork(reply.Running)
		s.processEnds(reply)
		s.removeEndedOrphans(reply)
		s.recordListed(reply)
		if len(reply.Finished) > 0 {
			// The worker answers immediately as long as it lists ends. Without this wait the
			// loop would be busy while the control is unreachable.
			s.awaitAck()
		}
	}
}

// safeLease returns the lease's end for the next call, 0 for a call that does not extend it.
// On the reserve token it returns 0, since the successor may carry out the call and the time
// lies far ahead on its clock.
func (s *session) safeLease() int64 {
	s.mu.Lock()
	end := s.leaseEnd
	s.mu.Unlock()
	if s.onReserveToken.Load() {
		return 0
	}
	if end > 0 {
		s.r.tokens.spend(s.token.Load())
	}
	return end
}

// safeCursor returns the cursor for the next call, 0 for a call that acknowledges nothing new.
// An unresponsive worker gets 0, since the call may be carried out by the successor, whose
// ends have the same numbers.
func (s *session) safeCursor() uint64 {
	cursor := s.cursor.Load()
	if _, unresponsive := s.r.liveness.outage(s.worker); unresponsive || s.onReserveToken.Load() || cursor <= s.ackedCursor {
		return 0
	}
	s.r.tokens.spend(s.token.Load())
	return cursor
}

// checkClock checks the worker's monotonic clock, which each list carries. It goes back only
// if the worker has restarted since the last list.
func (s *session) checkClock(ms int64) {
	if ms < s.clockMS {
		clockRegressions.Inc()
		logrus.WithFields(logrus.Fields{"worker": s.worker, "life": s.id, "clock_ms": ms, "before_ms": s.clockMS}).
			Error("runner: The worker's clock went back: it has restarted within the session.")
	}
	s.clockMS = ms
}

// handleControlError counts a refusal, and ends the session if the control no longer knows it.
func (s *session) handleControlError(call string, err error) {
	code := codeOf(err)
	refusal.Count(part, code)
	if code == refusal.NotRegistered {
		s.deregistered.Store(true)
		s.end("the control no longer knows this session")
		return
	}
	logrus.WithField("call", call).Warnf("runner: The control refused or did not answer: %v.", err)
}

func codeOf(err error) refusal.Code {
	if e, ok := refusal.Of(err); ok {
		return e.Code
	}
	return refusal.Unreachable
}

// ordersLoop keeps one call open at a replica, which returns with the next orders. The first
// call returns all orders without waiting.
func (s *session) ordersLoop() {
	since, wait := uint64(0), time.Duration(0)
	for s.ctx.Err() == nil {
		req := control.OrdersRequest{WorkerRef: s.ref(), Since: since, WaitMS: wait.Milliseconds(), Cordoned: s.isCordoned(), Registered: s.registered.Load()}
		var a control.OrdersAnswer
		if err := s.r.ctl.CallAny(control.PathOrders, controlTimeout, &req, &a); err != nil {
			s.handleControlError("orders", err)
			s.sleep(callPause)
			continue
		}
		if a.Cordoned {
			s.cordon()
		}
		s.applyOrders(a.Orders, since == 0)
		since, wait = max(since, a.Index), ordersWait
		s.ordersIndex.Store(since)
	}
}

// applyOrders carries out orders, first those about runs that exist already. The capacity that
// these occupy, and which of them no order names, must be known before anything is started
// beside them.
func (s *session) applyOrders(orders []jobs.Order, complete bool) {
	var starts []jobs.Order
	for _, o := range orders {
		if s.hasRun(o) {
			s.applyOrder(o)
		} else {
			starts = append(starts, o)
		}
	}
	if complete {
		s.stopUnordered()
	}
	for _, o := range starts {
		s.applyOrder(o)
	}
}

func (s *session) hasRun(o jobs.Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[runKey{o.Task, o.Run}] != nil
}

// claim claims capacity for a run on the worker, as last announced, and reports whether it
// fits. The control checks the same when it places the run, but a reduced capacity is known
// here first, and some workers start whatever they are told to. A run that is being stopped
// occupies its capacity until the worker lists its end.
func (s *session) claim(r *run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := resource.Vector{}
	for _, x := range s.runs {
		x.mu.Lock()
		if x != r && !x.ended && (x.claimed || x.started) {
			held = held.Add(x.held)
		}
		x.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.claimed {
		return true // it may be running already
	}
	r.claimed = held.Add(r.held).Fits(s.ann.Capacity)
	return r.claimed
}

// applyOrder carries out one order.
func (s *session) applyOrder(o jobs.Order) {
	key := runKey{o.Task, o.Run}
	s.mu.Lock()
	ended := s.ended[key]
	s.mu.Unlock()
	if ended {
		return // its end is being reported to the control
	}
	s.runFor(o).setOrder(o)
}

// runFor returns the run of an order, and creates it if it is new.
func (s *session) runFor(o jobs.Order) *run {
	key := runKey{o.Task, o.Run}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.runs[key]
	if r == nil {
		r = &run{s: s, key: key, wake: make(chan struct{}, 1)}
		s.runs[key] = r
		go r.drive()
	}
	return r
}

// updateLoop registers the worker again when its announcement has changed.
func (s *session) updateLoop() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.update:
			s.register()
		}
	}
}

func countVerdict(call string, v Verdict) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`waxwinghaven_worker_verdicts_total{call=%q,verdict=%q}`, call, v)).Inc()
}
