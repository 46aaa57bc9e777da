package runner

import (
	"errors"
	"sync"
	"time"

	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/refusal"
)

var errLost = errors.New("no answer")

// fakeWorker implements the rules of a worker: one incarnation, a fencing token that only
// increases, runs, their ends, and which runs may never start again.
type fakeWorker struct {
	mu       sync.Mutex
	id       string
	token    uint64
	running  map[runKey]bool
	finished []FinishedRun
	fences   map[jobs.Ref]uint32 // highest run that was stopped or ended
	number   uint64
	cursor   uint64 // highest that the agent acknowledged
	leaseEnd int64
	begun    time.Time
	changed  chan struct{}

	tried          int      // calls for a start
	loseStart      int      // answers to starts that are to be lost
	notSent        int      // starts that are to fail before they are sent
	late           []func() // lost starts that are still to be carried out
	sameID         bool     // late starts for the previous incarnation are carried out by this one
	rejectNext     Verdict
	stopDelay      time.Duration // how long a stop takes
	connectErr     error         // result of connecting to the worker, nil if it accepts connections
	callErr        error         // result of all calls, nil if they succeed
	lostHolds      []HoldCall    // lists that were lost
	tokensToIgnore int           // calls for another incarnation whose tokens are ignored
	holdsToDrop    int           // lists to leave unanswered, each until its call times out
	holds          int           // lists that were requested
	starts         []StartCall
	maxListed      int                // ends that a list holds, 0 for all
	idle           map[runKey]bool    // runs that are not at work
	figures        map[string]float64 // figures of the runs, by job
	paces          []receivedPace
}

// receivedPace is a pace call with the time of its arrival.
type receivedPace struct {
	PaceCall
	at time.Time
}

func newFakeWorker(id string) *fakeWorker {
	return &fakeWorker{id: id, running: make(map[runKey]bool), fences: make(map[jobs.Ref]uint32), begun: time.Now(), changed: make(chan struct{})}
}

// fail loses the answers to the next starts, and rejects one that is answered.
func (w *fakeWorker) fail(loseStart int, reject Verdict) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loseStart, w.rejectNext = loseStart, reject
}

// dropHolds leaves the next lists unanswered.
func (w *fakeWorker) dropHolds(holds int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holdsToDrop = holds
}

func (w *fakeWorker) clock() int64 { return 1000 + time.Since(w.begun).Milliseconds() }

func (w *fakeWorker) check(t Target) (Reply, bool) {
	r := Reply{ClockMS: w.clock()}
	switch {
	case t.Worker != w.id:
		if w.tokensToIgnore > 0 { // the call was in flight to the previous incarnation
			w.tokensToIgnore--
		} else if w.sameID { // the identity check carries the call's token
			w.token = max(w.token, t.Token)
		}
		r.Verdict = VerdictOtherIncarnation
	case t.Token < w.token:
		r.Verdict = VerdictFenced
	default:
		w.token = t.Token
		return r, true
	}
	return r, false
}

func (w *fakeWorker) Start(c StartCall) (Reply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tried++
	if w.callErr != nil {
		return Reply{}, w.callErr
	}
	if w.notSent > 0 {
		w.notSent--
		return Reply{}, ErrNotSent
	}
	if w.loseStart > 0 {
		w.loseStart--
		w.late = append(w.late, func() {
			if w.sameID {
				c.Worker = w.id
			}
			w.start(c)
		})
		return Reply{}, errLost
	}
	return w.start(c), nil
}

func (w *fakeWorker) start(c StartCall) Reply {
	r, ok := w.check(c.Target)
	if !ok {
		return r
	}
	key := runKey{c.Task, c.Run}
	switch {
	case c.LeaseEndMS <= r.ClockMS:
		r.Verdict = VerdictLate
	case w.running[key]:
	case c.Run <= w.fences[c.Task]:
		r.Verdict = VerdictOld
	case w.rejectNext != VerdictDone:
		r.Verdict, w.rejectNext = w.rejectNext, VerdictDone
	default:
		w.starts = append(w.starts, c)
		w.running[key] = true
	}
	return r
}

func (w *fakeWorker) Stop(c StopCall) (Reply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r, ok := w.check(c.Target)
	if !ok {
		return r, nil
	}
	w.fences[c.Task] = max(w.fences[c.Task], c.Run)
	key := runKey{c.Task, c.Run}
	if w.stopDelay > 0 {
		time.AfterFunc(w.stopDelay, func() { w.endIfRunning(key, jobs.OutcomeStopped) })
	} else if w.running[key] {
		w.finish(key, jobs.OutcomeStopped)
	}
	return r, nil
}

// setStopDelay makes stops take a while.
func (w *fakeWorker) setStopDelay(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopDelay = d
}

func (w *fakeWorker) endIfRunning(key runKey, o jobs.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running[key] {
		w.finish(key, o)
	}
}

// finish ends a run. The caller holds the lock.
func (w *fakeWorker) finish(key runKey, o jobs.Outcome) {
	delete(w.running, key)
	w.fences[key.task] = max(w.fences[key.task], key.run)
	w.number++
	w.finished = append(w.finished, FinishedRun{Number: w.number, Task: key.task, Run: key.run, Outcome: o, How: o.String()})
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *fakeWorker) Hold(c HoldCall) (HoldReply, error) {
	w.mu.Lock()
	w.holds++
	if err := w.connectErr; err != nil {
		w.mu.Unlock()
		return HoldReply{}, err
	}
	if err := w.callErr; err != nil {
		w.lostHolds = append(w.lostHolds, c)
		w.mu.Unlock()
		return HoldReply{}, err
	}
	if w.holdsToDrop > 0 {
		w.holdsToDrop--
		w.lostHolds = append(w.lostHolds, c)
		w.mu.Unlock()
		time.Sleep(c.Wait + CallTimeout)
		return HoldReply{}, errLost
	}
	r, ok := w.check(c.Target)
	if !ok {
		w.mu.Unlock()
		return HoldReply{Reply: r}, nil
	}
	w.leaseEnd = max(w.leaseEnd, c.LeaseEndMS)
	w.cursor = max(w.cursor, c.Cursor)
	for len(w.finished) > 0 && w.finished[0].Number <= w.cursor {
		w.finished = w.finished[1:]
	}
	wait := w.changed
	if len(w.finished) > 0 {
		wait = nil
	}
	w.mu.Unlock()
	if c.Wait > 0 && wait != nil {
		select {
		case <-wait:
		case <-time.After(c.Wait):
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.callErr != nil {
		return HoldReply{}, w.callErr
	}
	listed := w.finished
	if w.maxListed > 0 {
		listed = listed[:min(len(listed), w.maxListed)]
	}
	out := HoldReply{Reply: Reply{ClockMS: w.clock()}, Finished: append([]FinishedRun(nil), listed...), Truncated: w.maxListed > 0 && len(listed) == w.maxListed}
	for key := range w.running {
		x := RunningRun{Task: key.task, Run: key.run, Percent: 100, Measured: w.figures[key.task.Job]}
		if w.idle[key] {
			x.Percent = 40
		}
		out.Running = append(out.Running, x)
	}
	return out, nil
}

// holdCount returns the number of lists that were requested.
func (w *fakeWorker) holdCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.holds
}

func (w *fakeWorker) Pace(c PaceCall) (Reply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r, _ := w.check(c.Target)
	w.paces = append(w.paces, receivedPace{c, time.Now()})
	return r, nil
}

// paced returns the pace calls so far.
func (w *fakeWorker) paced() []receivedPace {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]receivedPace(nil), w.paces...)
}

func (w *fakeWorker) carryOutLate() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.carryOut()
}

// carryOut carries out the lost starts. The caller holds the lock.
func (w *fakeWorker) carryOut() {
	for _, f := range w.late {
		f()
	}
	w.late = nil
}

func (w *fakeWorker) isRunning(key runKey) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running[key]
}

// addRunning adds a running run that was not requested in this session.
func (w *fakeWorker) addRunning(key runKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running[key] = true
}

func (w *fakeWorker) end(key runKey, o jobs.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finish(key, o)
}

func (w *fakeWorker) started() []StartCall {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]StartCall(nil), w.starts...)
}

func (w *fakeWorker) tries() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tried
}

func (w *fakeWorker) acknowledged() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cursor
}

// failCalls makes all calls fail with an error, or succeed again if it is nil.
func (w *fakeWorker) failCalls(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callErr = err
	close(w.changed)
	w.changed = make(chan struct{})
}

// restartWithSameID replaces the incarnation by one that late calls for the previous one
// reach: it has the same id, and only the name given to it by the product differs.
func (w *fakeWorker) restartWithSameID(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.become(name)
	w.sameID = true
}

// restartCarryingOutLate does the same, and carries out the late calls before any other call
// arrives.
func (w *fakeWorker) restartCarryingOutLate(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.become(name)
	w.sameID = true
	w.carryOut()
}

// replace replaces the incarnation by another one.
func (w *fakeWorker) replace(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.become(id)
}

// become makes the worker another incarnation. The caller holds the lock.
func (w *fakeWorker) become(id string) {
	w.id, w.token, w.callErr = id, 0, nil
	w.running, w.finished, w.fences, w.number, w.cursor = make(map[runKey]bool), nil, make(map[jobs.Ref]uint32), 0, 0
	close(w.changed)
	w.changed = make(chan struct{})
}

// restart replaces the incarnation by another start of the worker, whose clock starts again.
func (w *fakeWorker) restart(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.become(name)
	w.begun, w.leaseEnd = time.Now(), 0
}

// carryOutLostHolds carries out the lost hold calls on the present incarnation and returns
// their number.
func (w *fakeWorker) carryOutLostHolds() (n int) {
	w.mu.Lock()
	lost, id := w.lostHolds, w.id
	w.lostHolds = nil
	w.mu.Unlock()
	for _, c := range lost {
		c.Worker, c.Wait = id, 0
		w.Hold(c)
	}
	return len(lost)
}

// lease returns the remaining time of the worker's lease.
func (w *fakeWorker) lease() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.leaseEnd-w.clock()) * time.Millisecond
}

// fakeControl is the control as seen by one agent.
type fakeControl struct {
	mu            sync.Mutex
	index         uint64
	worker        string
	session       string
	orders        map[runKey]*order
	ends          []jobs.End
	endsOf        map[runKey]string // the worker that an end was first reported for
	endedWorkers  []string          // workers reported as ended
	crashes       []jobs.Crash
	registrations int
	updates       int      // registrations of sessions that had registered before
	unresponsive  []string // workers reported as unresponsive
	down          bool     // does not answer
	endsFail      bool     // does not commit ends
	cordoned      bool     // the worker's data centre is out of service
	termMS        int64
	changed       chan struct{}
	onRegister    func()               // called at each registration
	noTokens      bool                 // hands out no fencing tokens
	maxLeaseMS    int64                // returned with each end
	lateLeaseMS   int64                // returned for registrations with LateLease
	lateLeases    []bool               // LateLease of the registrations
	renewal       control.LeaseRequest // the last one that was granted
}

type order struct {
	jobs.Order
	changed uint64
}

func newFakeControl() *fakeControl {
	return &fakeControl{endsOf: make(map[runKey]string), onRegister: func() {}, orders: make(map[runKey]*order), termMS: 5000, changed: make(chan struct{})}
}

func (c *fakeControl) SetReplicas([]string) {}

func (c *fakeControl) Prefer([]string) {}

func (c *fakeControl) CallAny(path string, timeout time.Duration, req, resp any) error {
	return c.Call(path, timeout, req, resp)
}

// cordon takes the worker's data centre out of service, or brings it back.
func (c *fakeControl) cordon(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cordoned = on
	close(c.changed)
	c.changed = make(chan struct{})
}

// setTerm sets the term of the lease.
func (c *fakeControl) setTerm(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.termMS = d.Milliseconds()
}

func (c *fakeControl) give(o jobs.Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index++
	c.orders[runKey{o.Task, o.Run}] = &order{o, c.index}
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *fakeControl) known() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.worker
}

// forget makes the agent's current session unknown, as the end of its worker's lease does.
func (c *fakeControl) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session = ""
	c.orders = make(map[runKey]*order)
}

// lose drops the worker and its runs, as the end of its lease does.
func (c *fakeControl) lose() {
	c.forget()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.worker = ""
}

func (c *fakeControl) reportedCrashes() []jobs.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]jobs.Crash(nil), c.crashes...)
}

func (c *fakeControl) unresponsiveReports() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unresponsive)
}

func (c *fakeControl) registered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registrations
}

func (c *fakeControl) endReports() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.endedWorkers)
}

func (c *fakeControl) setNoTokens(none bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noTokens = none
}

func (c *fakeControl) setDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// failEnds makes the control refuse ends.
func (c *fakeControl) failEnds(fail bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endsFail = fail
}

func (c *fakeControl) ended(key runKey) (jobs.Outcome, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var o jobs.Outcome
	n := 0
	for _, e := range c.ends {
		if e.Task == key.task && e.Run == key.run {
			o = e.Outcome
			n++
		}
	}
	return o, n
}

func (c *fakeControl) Call(path string, timeout time.Duration, req, resp any) error {
	c.mu.Lock()
	if c.down {
		c.mu.Unlock()
		time.Sleep(timeout)
		return refusal.New(refusal.Unreachable, "", "down")
	}
	defer c.mu.Unlock()
	switch q := req.(type) {
	case *control.FenceRequest:
		if c.noTokens {
			return refusal.New(refusal.Unreachable, "", "no tokens")
		}
		c.index++
		*resp.(*control.FenceAnswer) = control.FenceAnswer{Token: c.index, Worker: c.worker}
	case *control.Registration:
		c.onRegister()
		c.index++
		c.registrations++
		if q.Update {
			c.updates++
		}
		if q.Crash != nil {
			c.crashes = append(c.crashes, *q.Crash)
		}
		if c.worker != "" && c.worker != q.ID {
			c.orders = make(map[runKey]*order)
		}
		c.worker, c.session = q.ID, q.Session
		c.lateLeases = append(c.lateLeases, q.LateLease)
		if resp.(*control.Registered).Index = c.index; q.LateLease {
			resp.(*control.Registered).LateLeaseMS = c.lateLeaseMS
		}
	case *control.LeaseRequest:
		if q.Session != c.session {
			return refusal.New(refusal.NotRegistered, "", "")
		}
		c.renewal = *q
		a := resp.(*control.LeaseAnswer)
		a.TermMS, a.Cordoned = c.termMS, c.cordoned
	case *control.OrdersRequest:
		return c.waitOrders(q, resp.(*control.OrdersAnswer))
	case *control.WorkerRef:
		if path == control.PathSilent {
			c.unresponsive = append(c.unresponsive, q.Worker)
			return nil
		}
		c.endedWorkers = append(c.endedWorkers, q.Worker)
	case *control.RunEnds:
		if c.endsFail {
			return refusal.New(refusal.DiskFull, "", "ends are not committed")
		}
		resp.(*control.EndsAnswer).MaxLeaseMS = c.maxLeaseMS
		for _, e := range q.Ends {
			if e.Outcome == jobs.OutcomeRejected && q.Session != c.session {
				continue // like the control
			}
			c.ends = append(c.ends, e)
			if key := (runKey{e.Task, e.Run}); c.endsOf[key] == "" {
				c.endsOf[key] = q.Worker
			}
			delete(c.orders, runKey{e.Task, e.Run})
		}
	}
	return nil
}

func (c *fakeControl) waitOrders(q *control.OrdersRequest, a *control.OrdersAnswer) error {
	deadline := time.After(time.Duration(q.WaitMS) * time.Millisecond)
	for {
		if q.Session != c.session {
			return refusal.New(refusal.NotRegistered, "", "")
		}
		for _, o := range c.orders {
			if o.changed > q.Since {
				a.Orders = append(a.Orders, o.Order)
			}
		}
		a.Index, a.Cordoned = c.index, c.cordoned
		if len(a.Orders) > 0 || (a.Cordoned && !q.Cordoned) {
			return nil
		}
		wait := c.changed
		c.mu.Unlock()
		timeout := false
		select {
		case <-wait:
		case <-deadline:
			timeout = true
		}
		c.mu.Lock()
		if timeout {
			return nil
		}
	}
}
