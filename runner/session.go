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
	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/refusal"
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
	// ordersWait is how long the leader may hold a call for orders back.
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

	mu       sync.Mutex
	ann      Announcement
	runs     map[runKey]*run
	ended    map[runKey]bool // ends that were listed or reported lately
	order    []runKey        // of ended, oldest first
	leaseEnd int64           // on the worker's clock, ms
	pacer    *pacer
	progress *progress
	leaving  bool

	leader   atomic.Uint64 // leadership that granted the last lease
	tellNext atomic.Bool   // it was new: tell it what the pacer knows

	unreached int // calls in a row that could not be sent; only holdLoop uses it

	seen   uint64        // highest end listed by the worker
	cursor atomic.Uint64 // highest end whose commit is known
	acked  chan struct{}
	ends   chan report
	update chan struct{} // the announcement changed
	lease  chan struct{} // the lease was extended
}

// report is an end on its way to the control. number is 0 for a run that never
// started, which the worker does not list.
type report struct {
	end    jobs.End
	number uint64
	at     time.Time
}

func newSession(ctx context.Context, r *Runner, a Announcement) *session {
	s := &session{r: r, life: newLife(), worker: a.Worker, ann: a, runs: make(map[runKey]*run), ended: make(map[runKey]bool), pacer: newPacer(), progress: newProgress(),
		acked: make(chan struct{}, 1), ends: make(chan report, 1024), update: make(chan struct{}, 1), lease: make(chan struct{})}
	s.ctx, s.stop = context.WithCancel(ctx)
	return s
}

// run serves the incarnation and reports whether it may still be there.
func (s *session) run() (again bool) {
	defer s.stop()
	if !s.register() || !s.takeStock() {
		return !s.gone.Load()
	}
	var wg sync.WaitGroup
	for _, f := range []func(){s.holdLoop, s.ordersLoop, s.reportLoop, s.updateLoop} {
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
	logrus.WithFields(logrus.Fields{"worker": s.worker, "life": s.life}).Infof("runner: Ending the session: %s.", reason)
	s.stop()
}

// announce takes in what changed about the worker.
func (s *session) announce(a Announcement) {
	s.mu.Lock()
	s.ann = a
	s.mu.Unlock()
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

// register commits the worker and gets this life's fencing token.
func (s *session) register() bool {
	for s.ctx.Err() == nil {
		err := s.sendRegistration()
		if err == nil {
			return true
		}
		refusal.CountRetry(part, codeOf(err))
		s.sleep(callPause)
	}
	return false
}

func (s *session) sendRegistration() error {
	s.mu.Lock()
	a := s.ann
	s.mu.Unlock()
	w := jobs.Worker{ID: a.Worker, Agent: s.r.agent, Service: a.Service, DataCentre: a.DataCentre, Labels: a.Labels,
		Capacity: a.Capacity, Life: s.life, Draining: a.Draining}
	var reg control.Registered
	if err := s.r.ctl.Call(control.PathRegister, controlTimeout, &w, &reg); err != nil {
		return err
	}
	s.token.Store(max(s.token.Load(), reg.Token)) // only one registration is under way at a time
	return nil
}

// takeStock makes the worker refuse the orders of earlier lives and learns what
// they left there. After it no start of an earlier life can take effect any more,
// so what the worker does not list was certainly never started.
func (s *session) takeStock() bool {
	for s.ctx.Err() == nil {
		reply, err := s.r.worker.Hold(HoldCall{Target: s.target()})
		if err != nil || reply.Verdict != VerdictDone {
			if err == nil && s.refused(reply.Verdict) {
				return false
			}
			s.sleep(callPause)
			continue
		}
		for _, x := range reply.Running {
			s.ensure(jobs.Order{Task: x.Task, Run: x.Run}).setStarted()
		}
		s.renew(reply.ClockMS)
		s.list(reply)
		return true
	}
	return false
}

// refused ends the session on a verdict that no repetition helps against.
func (s *session) refused(v Verdict) bool {
	switch v {
	case VerdictFenced:
		s.end("the worker has seen a higher fencing token")
	case VerdictElsewhere:
		s.gone.Store(true)
		s.end("another incarnation stands at the worker's address")
	default:
		return false
	}
	return true
}

// holdLoop keeps one call open at the worker: it extends the lease, tells which
// ends are committed, and returns with the next end.
func (s *session) holdLoop() {
	renewed := time.Now()
	for s.ctx.Err() == nil {
		s.mu.Lock()
		end := s.leaseEnd
		s.mu.Unlock()
		reply, err := s.r.worker.Hold(HoldCall{Target: s.target(), LeaseEndMS: end, Cursor: s.cursor.Load(), Wait: holdWait})
		if err != nil || reply.Verdict != VerdictDone {
			if err == nil && s.refused(reply.Verdict) {
				return
			}
			if s.hasLeft(err) {
				return
			}
			s.sleep(callPause)
			continue
		}
		s.unreached = 0
		if time.Since(renewed) >= leaseEvery {
			renewed = time.Now()
			go s.renew(reply.ClockMS)
		}
		s.pace(reply.Running)
		s.progress.note(time.Now(), reply.Running, s.pacer.slowedRuns())
		s.list(reply)
		if len(reply.Finished) > 0 {
			// The worker answers at once as long as it lists ends. Without
			// the wait a control that is away would make this a busy loop.
			s.awaitAck()
		}
	}
}

// leftAfter is the calls in a row that could not be sent to a worker that said
// that it ends, after which it is gone: half a second.
const leftAfter = 10

// hasLeft tells the control that a worker is gone which said that it ends and then
// took no connection any more. What ran there ended with it; waiting for the lease
// to end would keep its tasks away for seconds more. A worker that said nothing is
// not believed to be gone that easily.
func (s *session) hasLeft(err error) bool {
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	if !leaving || !errors.Is(err, ErrNotSent) {
		return false
	}
	if s.unreached++; s.unreached < leftAfter {
		return false
	}
	ref := s.ref()
	if err := s.r.ctl.Call(control.PathWorkerGone, controlTimeout, &ref, nil); err != nil {
		s.controlRefused("gone", err)
		s.unreached = 0
		return false
	}
	s.gone.Store(true)
	s.end("the worker has left")
	return true
}

// list takes in the ends that a reply lists.
func (s *session) list(reply HoldReply) {
	for _, f := range reply.Finished {
		if f.Number <= s.seen {
			continue
		}
		s.seen = f.Number
		key := runKey{f.Task, f.Run}
		s.mu.Lock()
		s.markEnded(key)
		r := s.runs[key]
		delete(s.runs, key)
		s.mu.Unlock()
		end := jobs.End{Task: f.Task, Run: f.Run, Outcome: f.Outcome, Checkpoint: f.Checkpoint}
		if r != nil {
			end.WorkMS = r.workMS()
			r.setEnded()
		}
		logrus.WithFields(logrus.Fields{"task": f.Task.String(), "run": f.Run, "how": f.How, "n": f.Number}).Info("runner: A run ended.")
		s.send(report{end: end, number: f.Number, at: time.Now()})
	}
}

// maxEnded bounds the memory of ends. It only has to outlast an answer with
// orders that is under way while the end is committed.
const maxEnded = 4096

// markEnded remembers an end; the caller holds the lock.
func (s *session) markEnded(key runKey) {
	s.ended[key] = true
	s.order = append(s.order, key)
	if len(s.order) > maxEnded {
		delete(s.ended, s.order[0])
		s.order = s.order[1:]
	}
}

func (s *session) send(r report) {
	select {
	case s.ends <- r:
	case <-s.ctx.Done():
	}
}

// awaitAck waits a moment for the commit of what was just reported.
func (s *session) awaitAck() {
	select {
	case <-s.acked:
	case <-time.After(ackWait):
	case <-s.ctx.Done():
	}
}

// renew asks for the lease. The worker's clock was read before, so whatever is
// delayed or frozen in between only makes the lease shorter.
func (s *session) renew(clockMS int64) {
	req := control.LeaseRequest{WorkerRef: s.ref(), WallMS: time.Now().UnixMilli()}
	req.Readings, req.Stalled = s.pacer.report(time.Now(), s.fillingImages)
	req.Stuck = s.progress.stuck(time.Now())
	if s.tellNext.Load() {
		req.Known = s.pacer.known()
	}
	var a control.LeaseAnswer
	if err := s.r.ctl.Call(control.PathLease, controlTimeout, &req, &a); err != nil {
		s.controlRefused("lease", err)
		return
	}
	s.r.ctl.Learn(a.Replicas)
	s.pacer.learn(a.Costs)
	s.tellNext.Store(s.leader.Swap(a.Leader) != a.Leader)
	s.mu.Lock()
	s.leaseEnd = max(s.leaseEnd, clockMS+a.TermMS)
	close(s.lease)
	s.lease = make(chan struct{})
	s.mu.Unlock()
}

// controlRefused counts a refusal and ends the session if the control does not
// know it any more.
func (s *session) controlRefused(call string, err error) {
	code := codeOf(err)
	refusal.Count(part, code)
	if code == refusal.NotRegistered {
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

// ordersLoop keeps one call open at the leader, which returns with the next
// orders.
func (s *session) ordersLoop() {
	since := uint64(0)
	for s.ctx.Err() == nil {
		req := control.OrdersRequest{WorkerRef: s.ref(), Since: since, WaitMS: ordersWait.Milliseconds()}
		var a control.OrdersAnswer
		if err := s.r.ctl.Call(control.PathOrders, controlTimeout, &req, &a); err != nil {
			s.controlRefused("orders", err)
			s.sleep(callPause)
			continue
		}
		for _, o := range a.Orders {
			s.take(o)
		}
		since = max(since, a.Index)
	}
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

// reportLoop commits ends, several at a time.
func (s *session) reportLoop() {
	for {
		var batch []report
		select {
		case <-s.ctx.Done():
			return
		case first := <-s.ends:
			batch = append(batch, first)
		}
		for len(s.ends) > 0 && len(batch) < maxEnds {
			batch = append(batch, <-s.ends)
		}
		if !s.commit(batch) {
			return
		}
	}
}

// maxEnds bounds the ends in one message.
const maxEnds = 256

func (s *session) commit(batch []report) bool {
	req := control.RunEnds{Worker: s.worker}
	highest := uint64(0)
	for _, b := range batch {
		req.Ends = append(req.Ends, b.end)
		highest = max(highest, b.number)
	}
	for s.ctx.Err() == nil {
		err := s.r.ctl.Call(control.PathEnds, controlTimeout, &req, nil)
		if err != nil {
			s.controlRefused("ends", err)
			s.sleep(callPause)
			continue
		}
		for _, b := range batch {
			endSeconds.UpdateDuration(b.at)
		}
		if highest > 0 {
			s.cursor.Store(max(s.cursor.Load(), highest))
			select {
			case s.acked <- struct{}{}:
			default:
			}
		}
		return true
	}
	return false
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

// pace slows filling runs down that disturb serving ones.
func (s *session) pace(running []RunningRun) {
	s.logReading(running)
	for _, c := range s.pacer.next(time.Now(), running, s.lookup) {
		s.noteSlowed(c)
		go func() {
			c.Target = s.target()
			reply, err := s.r.worker.Pace(c)
			l := logrus.WithFields(logrus.Fields{"task": c.Task.String(), "run": c.Run, "percent": c.Percent, "tail_of_target": s.pacer.worstTail()})
			if err != nil || reply.Verdict != VerdictDone {
				s.pacer.failed(c)
				l.Warnf("runner: Could not set a run's pace: %v %v.", reply.Verdict, err)
				return
			}
			l.Info("runner: Set a run's pace.")
		}()
	}
}

// logReading writes what a worker shows of its runs, at the debug level only: it
// comes several times a second.
func (s *session) logReading(running []RunningRun) {
	if !logrus.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	rows := make([]string, 0, len(running))
	for _, x := range running {
		if o, ok := s.lookup(x.Task, x.Run); ok {
			rows = append(rows, fmt.Sprintf("%s image=%s target=%d percent=%d figure=%.0f fills=%v need=%d", x.Task, o.Image, o.TargetMS, x.Percent, x.Figure, o.Fills, o.MilliCPU))
		}
	}
	logrus.WithField("runs", rows).Debug("runner: Read the worker.")
}

// noteSlowed keeps a slowed run from teaching how long its like take.
func (s *session) noteSlowed(c PaceCall) {
	s.mu.Lock()
	r := s.runs[runKey{c.Task, c.Run}]
	s.mu.Unlock()
	if r != nil {
		r.setSlowed()
	}
}

// fillingImages returns the images of the filling runs at work.
func (s *session) fillingImages() map[runKey]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[runKey]string)
	for key, r := range s.runs {
		if o := r.current(); o.Fills {
			out[key] = o.Image
		}
	}
	return out
}

// lookup returns the order behind a run that the worker lists.
func (s *session) lookup(task jobs.Ref, run uint32) (jobs.Order, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.runs[runKey{task, run}]
	if r == nil {
		return jobs.Order{}, false
	}
	return r.current(), true
}

func countVerdict(call string, v Verdict) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`waxwinghaven_worker_verdicts_total{call=%q,verdict=%q}`, call, v)).Inc()
}
