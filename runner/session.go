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
	// holdWait is how long the worker may hold a call back. It bounds how old
	// the readings are by which filling runs are slowed down.
	holdWait = 400 * time.Millisecond
	// leaseEvery is the interval of renewals. With a lease of 5 s, five in a
	// row may fail before the worker ends its runs.
	leaseEvery = 700 * time.Millisecond
	// callPause separates tries of a call that failed.
	callPause = 50 * time.Millisecond
	// ordersWait is how long a replica may hold a call for orders back.
	ordersWait = 450 * time.Millisecond
	// controlTimeout bounds one call to the control, tries elsewhere included.
	controlTimeout = 2 * time.Second
	// ackWait is how long the next call to the worker waits for the commit
	// of the ends that the last one listed, so that it can carry the cursor.
	ackWait = 100 * time.Millisecond
)

// runKey names one run.
type runKey struct {
	task jobs.Ref
	run  uint32
}

// session is one life of the agent beside one incarnation of its worker.
type session struct {
	r      *Runner
	life   string
	worker string // the incarnation
	token  atomic.Uint64
	ctx    context.Context
	stop   context.CancelFunc
	gone   atomic.Bool // the incarnation is no longer there
	// disowned says that the control doesn't know this session: what it had may be void.
	disowned atomic.Bool
	began    time.Time
	// reached says that the incarnation told what it runs, and stock is what that was until
	// it is taken in.
	reached bool
	stock   HoldReply
	stocked time.Time
	// before is the incarnation that was registered when this session began, "" for none.
	before string
	// last is the one that the agent had registered last, also if it was lost since.
	last string

	mu       sync.Mutex
	ann      Announcement
	runs     map[runKey]*run
	ended    map[runKey]bool // ends that were listed or reported lately
	order    []runKey        // of ended, oldest first
	leaseEnd int64           // on the worker's clock, ms
	pacer    *pacer
	paces    *paceQueue
	progress *progress
	leaving  bool
	// cordoned is the control's newest word of whether the data centre is out of service.
	// word is when the request left that brought a majority's, and inService the newest
	// of these that it is in service.
	cordoned  bool
	word      clock.Instant
	inService clock.Instant

	registered atomic.Uint64 // index of the registration
	leader     atomic.Uint64 // leadership that granted the last lease
	leaderMS   atomic.Int64  // what the leader's clock showed when the session began, 0 if it isn't known
	outlasting bool          // the control will be told, see outlast; only registrations use it
	pairs      atomic.Uint64 // revision of pairs that it told last
	tellNext   atomic.Bool   // it was new: tell it what the pacer knows

	// steppedUp says that nothing was answered since the session went on to the token in
	// reserve: a call that the next incarnation must not carry out would spend it.
	steppedUp atomic.Bool

	// listDue is when the list that holdLoop waits for counts as unanswered, 0 while it waits for
	// none, and heardAt when it was last known who stands there, both by the session's age. fenced
	// says that the incarnation has seen the session's token, nextKnown that another one has
	// answered, relieved that this is fenced, too. doubt asks who is there at once.
	listDue   atomic.Int64
	heardAt   atomic.Int64
	fenced    atomic.Bool
	nextKnown atomic.Bool
	relieved  atomic.Bool
	doubt     chan struct{}
	spent     chan struct{} // the token in reserve was taken

	unreached  int       // connections refused since the last answer; only holdLoop uses these three
	toldSilent time.Time // when the control was last told that the worker is silent
	clockMS    int64     // the worker's clock in its last list
	noted      uint64    // the cursor that the worker has answered

	seen   uint64        // highest end listed by the worker
	cursor atomic.Uint64 // highest end whose commit is known
	acked  chan struct{}
	ends   chan report
	update chan struct{} // the announcement changed
	lease  chan struct{} // the lease was extended
}

func newSession(ctx context.Context, r *Runner, a Announcement) *session {
	s := &session{r: r, life: newLife(), worker: a.Worker, began: time.Now(), ann: a, runs: make(map[runKey]*run), ended: make(map[runKey]bool), pacer: newPacer(r.without), paces: newPaceQueue(), progress: newProgress(),
		doubt: make(chan struct{}, 1), spent: make(chan struct{}, 1), acked: make(chan struct{}, 1), ends: make(chan report, 1024), update: make(chan struct{}, 1), lease: make(chan struct{})}
	s.ctx, s.stop = context.WithCancel(ctx)
	return s
}

// run serves the incarnation and reports whether it may still be there.
func (s *session) run() (again bool) {
	defer s.stop()
	if !s.fence() || !s.register() {
		return !s.gone.Load()
	}
	s.takeStock()
	var wg sync.WaitGroup
	for _, f := range []func(){s.holdLoop, s.ordersLoop, s.reportLoop, s.updateLoop, s.keepToken} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f()
		}()
	}
	wg.Wait()
	return !s.gone.Load()
}

// end ends the session.
func (s *session) end(reason string) {
	s.mu.Lock()
	runs, leaseEnd := len(s.runs), s.leaseEnd
	s.mu.Unlock()
	logrus.WithFields(logrus.Fields{"worker": s.worker, "life": s.life, "registered": s.registered.Load(), "runs": runs, "lease_end": leaseEnd}).
		Infof("runner: Ending the session: %s.", reason)
	s.stop()
	s.askAtOnce()
}

// announce takes in what changed about the worker.
func (s *session) announce(a Announcement) {
	s.mu.Lock()
	s.ann = a
	s.mu.Unlock()
	s.changed()
}

// changed has the worker registered again.
func (s *session) changed() {
	select {
	case s.update <- struct{}{}:
	default:
	}
}

// leave stops new starts; the lease ends by itself with the worker.
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

// elapsed returns how long ago a time by the leader's clock was, 0 if either isn't known.
func (s *session) elapsed(ms int64) time.Duration {
	began := s.leaderMS.Load()
	if ms == 0 || began == 0 {
		return 0
	}
	return max(time.Since(s.began)-time.Duration(ms-began)*time.Millisecond, 0)
}

// closed reports whether nothing new may begin: the worker is about to end, or its data
// centre is out of service.
func (s *session) closed() bool { return s.draining() || s.isCordoned() }

func (s *session) target() Target { return Target{s.worker, s.token.Load()} }

func (s *session) ref() control.WorkerRef {
	return control.WorkerRef{Worker: s.worker, Life: s.life}
}

func (s *session) sleep(d time.Duration) {
	select {
	case <-s.ctx.Done():
	case <-time.After(d):
	}
}

// refused ends the session on a verdict that no repetition helps against. A call that was
// under way when the session went on to a higher token may be repeated with that one.
func (s *session) refused(v Verdict, to Target) bool {
	switch {
	case v == VerdictFenced && to.Token < s.token.Load():
		return false
	case v == VerdictFenced:
		s.end("the worker has seen a higher fencing token")
	case v == VerdictElsewhere:
		s.sawNext(to, false)
	default:
		return false
	}
	return true
}

// holdLoop keeps one call open at the worker: it extends the lease, tells which
// ends are committed, and returns with the next end.
func (s *session) holdLoop() {
	renewed := s.stocked
	for s.ctx.Err() == nil {
		to, cursor := s.target(), s.safeCursor()
		end, wait := s.safeLease(), holdWait
		if s.steppedUp.Load() {
			wait = 0 // starts wait for the answer
		}
		s.listDue.Store(s.age() + int64(wait+listSlack))
		reply, err := s.r.worker.Hold(HoldCall{Target: to, LeaseEndMS: end, Cursor: cursor, Wait: wait})
		s.listDue.Store(0)
		if err != nil || reply.Verdict != VerdictDone {
			if err == nil && s.refused(reply.Verdict, to) {
				return
			}
			if s.hasLeft(err) {
				return
			}
			if errors.Is(err, ErrClosed) {
				s.stepUp()
			}
			s.tellSilence()
			s.sleep(callPause)
			continue
		}
		s.unreached = 0
		s.noted = max(s.noted, cursor)
		s.steppedUp.Store(false)
		s.noteClock(reply.ClockMS)
		if time.Since(renewed) >= leaseEvery {
			renewed = time.Now()
			go s.renew(reply.ClockMS)
		}
		s.stopUnknown(reply.Running)
		s.stopOverdue(reply)
		s.pace(reply.Running)
		s.progress.note(time.Now(), reply.Running, s.pacer.slowedRuns())
		s.list(reply)
		s.forgetStrays(reply)
		if len(reply.Finished) > 0 {
			// The worker answers at once as long as it lists ends. Without
			// the wait a control that is away would make this a busy loop.
			s.awaitAck()
		}
	}
}

// safeLease returns the lease's end for the next call, 0 for one that extends nothing. With the
// token in reserve the next incarnation may carry the call out, on whose clock it lies far ahead.
func (s *session) safeLease() int64 {
	s.mu.Lock()
	end := s.leaseEnd
	s.mu.Unlock()
	if s.steppedUp.Load() {
		return 0
	}
	if end > 0 {
		s.r.tokens.spend(s.token.Load())
	}
	return end
}

// safeCursor returns the cursor for the next call, 0 for one that acknowledges nothing new. A worker
// that is silent gets none: the call may be carried out by the next incarnation, whose ends have the
// same numbers.
func (s *session) safeCursor() uint64 {
	cursor := s.cursor.Load()
	if _, silent := s.r.contact.silence(s.worker); silent || s.steppedUp.Load() || cursor <= s.noted {
		return 0
	}
	s.r.tokens.spend(s.token.Load())
	return cursor
}

// noteClock looks at the worker's steady clock, which a list carries. It falls only if the
// worker has started again since the list before.
func (s *session) noteClock(ms int64) {
	if ms < s.clockMS {
		clockFalls.Inc()
		logrus.WithFields(logrus.Fields{"worker": s.worker, "life": s.life, "clock_ms": ms, "before_ms": s.clockMS}).
			Error("runner: The worker's clock fell: it has started again within the session.")
	}
	s.clockMS = ms
}

// controlRefused counts a refusal and ends the session if the control does not
// know it any more.
func (s *session) controlRefused(call string, err error) {
	code := codeOf(err)
	refusal.Count(part, code)
	if code == refusal.NotRegistered {
		s.disowned.Store(true)
		s.end("the control does not know this life of the agent any more")
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
// answer has them all, and comes at once.
func (s *session) ordersLoop() {
	since, wait := uint64(0), time.Duration(0)
	for s.ctx.Err() == nil {
		req := control.OrdersRequest{WorkerRef: s.ref(), Since: since, WaitMS: wait.Milliseconds(), Cordoned: s.isCordoned(), Registered: s.registered.Load()}
		var a control.OrdersAnswer
		if err := s.r.ctl.CallAny(control.PathOrders, controlTimeout, &req, &a); err != nil {
			s.controlRefused("orders", err)
			s.sleep(callPause)
			continue
		}
		if a.Cordoned {
			s.cordon()
		}
		s.takeAll(a.Orders, since == 0)
		since, wait = max(since, a.Index), ordersWait
	}
}

// takeAll carries out orders, first those about runs that are there already: what they hold
// has to be known before anything is started beside them, and which of them no order names.
func (s *session) takeAll(orders []jobs.Order, complete bool) {
	var starts []jobs.Order
	for _, o := range orders {
		if s.has(o) {
			s.take(o)
		} else {
			starts = append(starts, o)
		}
	}
	if complete {
		s.stopUnordered()
	}
	for _, o := range starts {
		s.take(o)
	}
}

func (s *session) has(o jobs.Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[runKey{o.Task, o.Run}] != nil
}

// claim takes room for a run on the worker as it last announced itself, and reports whether
// there is any. The control checks the same when it places the run; a room that has shrunk
// since is known here first, and some workers start whatever they are told to. What is being
// stopped holds its room until the worker lists its end.
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
		return true // it may be there already
	}
	r.claimed = held.Add(r.held).Fits(s.ann.Capacity)
	return r.claimed
}

// take carries out one order.
func (s *session) take(o jobs.Order) {
	key := runKey{o.Task, o.Run}
	s.mu.Lock()
	ended := s.ended[key]
	s.mu.Unlock()
	if ended {
		return // its end is on the way to the control
	}
	s.ensure(o).order(o)
}

// ensure returns the run of an order, and makes it if it is new.
func (s *session) ensure(o jobs.Order) *run {
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

// updateLoop tells the control what changed about the worker.
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
