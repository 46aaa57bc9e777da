package standin

import (
	"math"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/runner"
)

// defaultRunTime is the run time of a task whose payload does not set one.
const defaultRunTime = 100 * time.Millisecond

// stopTime is the time from a stop call until the run ends.
const stopTime = 5 * time.Millisecond

// Runs is a stand-in for a worker that runs callers' tasks. It starts them under a lease and a
// fencing token and simulates their work by letting time pass. A task's payload sets its
// behaviour as a URL query: "ms=300" runs for 300 ms, "fails=2" fails in its first two runs,
// "lasts=1" runs until it is stopped, "gang=6" works as one of a gang of six, "crash=0.3" crashes the worker if the task is number 3 of
// step 0, "cpu=500" uses 500 thousandths of a processor, "serves=50&own=2.5" has a tail with a
// target of 50 ms, and "takes=0.02" interferes with such runs. A pace changes what a run uses and
// takes from others, not how long it runs.
type Runs struct {
	// OnCrash is called after the worker has crashed. It may be nil.
	OnCrash func()

	mu            sync.Mutex
	gangs         *Gangs                      // of this worker and others, nil for none
	admits        func(runner.StartCall) bool // whether a start call has a valid ticket, nil if none needs one
	worker        string                      // name of the incarnation
	started       time.Time
	token         uint64
	leaseEnd      int64
	leaseEnded    time.Time // when a lease last ended
	running       map[runID]*activeRun
	fences        map[jobs.Ref]uint32 // highest run that was stopped or has ended
	finished      []runner.FinishedRun
	lastNumber    uint64
	changed       chan struct{}
	record        []RunInterval
	crashed       bool
	capacities    []capacity    // oldest first, empty for no limit
	longestLease  time.Duration // the longest lease that it accepts
	maxListed     int           // how many ends it lists at a time
	overcommitted []RunInterval
	tailsUntil    time.Time     // up to when tails and uses have been simulated
	longestOver   time.Duration // for which filling work kept a served run over its target
}

// capacity is the worker's processors, in thousandths, from a point in time on.
type capacity struct {
	milliCPU int64
	since    time.Time
}

// shrinkGrace is the time after a reduction of the capacity during which starts may still rely on
// the larger one: until the next heartbeat has arrived and orders under way have been carried
// out.
const shrinkGrace = 4500 * time.Millisecond

// runID identifies a run.
type runID struct {
	task jobs.Ref
	run  uint32
}

type activeRun struct {
	milliCPU    int64
	started     time.Time
	work        time.Duration // 0 for a run that goes on until it is stopped
	inGang      bool
	resumedFrom time.Duration // work done before the checkpoint that it resumed from
	interference
}

// RunInterval is the record of one run on the worker.
type RunInterval struct {
	Task    string `json:"task"`
	Run     uint32 `json:"run"`
	StartMS int64  `json:"start_ms"` // Unix time
	EndMS   int64  `json:"end_ms"`   // 0 while it runs
	How     string `json:"how,omitempty"`
	// Acked reports that the end was acknowledged before the lease ended.
	Acked  bool   `json:"noted,omitempty"`
	Ticket string `json:"ticket,omitempty"`

	ended time.Time // like EndMS, by the monotonic clock
}

// NewRuns returns a worker. The name of the incarnation must be unique.
func NewRuns(worker string) *Runs {
	return &Runs{worker: worker, started: time.Now(), tailsUntil: time.Now(), running: make(map[runID]*activeRun), fences: make(map[jobs.Ref]uint32), changed: make(chan struct{}), longestLease: defaultLongestLease, maxListed: defaultMaxListed}
}

// defaultMaxListed is the number of ends that a worker lists at a time by default.
const defaultMaxListed = 500

// SetMaxListed sets how many ends the worker lists at a time.
func (w *Runs) SetMaxListed(ends int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.maxListed = ends
}

// SetLongestLease sets the longest lease that the worker accepts.
func (w *Runs) SetLongestLease(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.longestLease = d
}

// Name returns the name of the incarnation.
func (w *Runs) Name() string { return w.worker }

// Started returns when the incarnation started.
func (w *Runs) Started() time.Time { return w.started }

// SetTicket sets the ticket that start calls must carry, "" for none.
func (w *Runs) SetTicket(ticket string) {
	w.setAdmission(func(c runner.StartCall) bool { return c.Ticket == ticket })
}

// setGangs sets the gangs that the worker's runs belong to.
func (w *Runs) setGangs(g *Gangs) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gangs = g
}

// setAdmission makes a function decide whether the ticket of a start call is valid.
func (w *Runs) setAdmission(f func(runner.StartCall) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.admits = f
}

// admitted reports whether a start call carries a valid ticket.
func (w *Runs) admitted(c runner.StartCall) bool {
	if w.admits != nil {
		return w.admits(c)
	}
	return c.Ticket == ""
}

// Record returns all runs so far.
func (w *Runs) Record() []RunInterval {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire()
	return append([]RunInterval(nil), w.record...)
}

// SetCapacity sets the worker's capacity in thousandths of a processor. Starts beyond it are
// still carried out and listed by Overcommitted.
func (w *Runs) SetCapacity(milliCPU int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.capacities = append(w.capacities, capacity{milliCPU, time.Now()})
}

// Capacity returns the worker's capacity in thousandths of a processor, 0 for no limit.
func (w *Runs) Capacity() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.capacities) == 0 {
		return 0
	}
	return w.capacities[len(w.capacities)-1].milliCPU
}

// Overcommitted returns the starts that exceeded the worker's capacity.
func (w *Runs) Overcommitted() []RunInterval {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]RunInterval(nil), w.overcommitted...)
}

func (w *Runs) used() (sum int64) {
	for _, r := range w.running {
		if r.takes == 0 { // filling runs use what is left
			sum += r.milliCPU
		}
	}
	return sum
}

// recentCapacity is the largest capacity that a start may rely on now.
func (w *Runs) recentCapacity() int64 {
	if len(w.capacities) == 0 {
		return math.MaxInt64
	}
	largest := int64(0)
	for i, r := range w.capacities {
		if i == len(w.capacities)-1 || time.Since(w.capacities[i+1].since) < shrinkGrace {
			largest = max(largest, r.milliCPU)
		}
	}
	return largest
}

// Count returns the number of running runs and of ends that have not been acknowledged.
func (w *Runs) Count() (running, listed int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire()
	return len(w.running), len(w.finished)
}

// clock is the worker's monotonic clock, in milliseconds.
func (w *Runs) clock() int64 { return time.Since(w.started).Milliseconds() + firstClock }

// firstClock is the clock's value when the worker starts: a lease end of 0 would mean no lease.
const firstClock = 1

// expire ends all runs if the lease has ended, with the end of the lease as their end.
func (w *Runs) expire() {
	if w.clock() < w.leaseEnd {
		return
	}
	w.leaseEnded = w.started.Add(time.Duration(w.leaseEnd-firstClock) * time.Millisecond)
	for id := range w.running {
		w.finish(id, jobs.OutcomeLost, "lapsed", w.leaseEnded)
	}
}

// crashDelay is the time from the start of a task that crashes its worker until the crash.
const crashDelay = 10 * time.Millisecond

// HowCrashed is RunInterval.How of runs that ended because their worker crashed.
const HowCrashed = "crashed"

// Crash ends the worker with all its runs. Pending calls and later ones get no answer.
func (w *Runs) Crash() {
	w.mu.Lock()
	if w.crashed {
		w.mu.Unlock()
		return
	}
	w.expire()
	for id := range w.running {
		w.finish(id, jobs.OutcomeLost, HowCrashed, time.Now())
	}
	w.crashed = true
	close(w.changed) // wakes pending Hold calls
	w.changed = make(chan struct{})
	f := w.OnCrash
	w.mu.Unlock()
	if f != nil {
		f()
	}
}

func (w *Runs) isRunning(id runID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire()
	return w.running[id] != nil
}

// check reports whether a call is for this incarnation and does not come from an older session of
// its agent.
func (w *Runs) check(t runner.Target) (runner.Reply, bool) {
	r := runner.Reply{ClockMS: w.clock()}
	switch {
	case t.Worker != w.worker:
		r.Verdict = runner.VerdictOtherIncarnation
	case t.Token < w.token:
		r.Verdict = runner.VerdictFenced
	default:
		w.token = t.Token
		return r, true
	}
	return r, false
}

// Start implements runner.Worker.
func (w *Runs) Start(c runner.StartCall) (runner.Reply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.crashed {
		return runner.Reply{}, runner.ErrClosed
	}
	r, ok := w.check(c.Target)
	if !ok {
		return r, nil
	}
	w.expire()
	id := runID{c.Task, c.Run}
	switch {
	case c.LeaseEndMS <= r.ClockMS:
		r.Verdict = runner.VerdictLate
	case w.running[id] != nil:
	case c.Run <= w.fences[c.Task]:
		r.Verdict = runner.VerdictOld
	case !w.admitted(c):
		r.Verdict = runner.VerdictNoTicket
	default:
		w.startRun(id, c)
	}
	w.extend(c.LeaseEndMS)
	return r, nil
}

// defaultLongestLease is the longest lease that a worker accepts by default; a longer one is
// shortened. It equals the control's lease: a late call for the previous incarnation may extend
// this one's lease to the full length.
const defaultLongestLease = 5 * time.Second

func (w *Runs) extend(leaseEndMS int64) {
	w.leaseEnd = max(w.leaseEnd, min(leaseEndMS, w.clock()+w.longestLease.Milliseconds()))
}

func (w *Runs) startRun(id runID, c runner.StartCall) {
	w.record = append(w.record, RunInterval{Task: id.task.String(), Run: id.run, StartMS: time.Now().UnixMilli(), Ticket: c.Ticket})
	params, err := url.ParseQuery(c.Payload)
	if err != nil {
		params = nil
	}
	number := func(key string) int { n, _ := strconv.Atoi(params.Get(key)); return n }               // 0 if missing
	figure := func(key string) float64 { f, _ := strconv.ParseFloat(params.Get(key), 64); return f } // 0 if missing
	w.advance()
	run := &activeRun{started: time.Now(), work: defaultRunTime, milliCPU: int64(number("cpu")),
		interference: interference{targetMS: figure("serves"), own: figure("own"), takes: figure("takes"), pace: fullPace, nextPace: fullPace}}
	if ms := number("ms"); ms > 0 {
		run.work = time.Duration(ms) * time.Millisecond
	}
	if saved, err := time.ParseDuration(c.Checkpoint); err == nil {
		run.resumedFrom = saved
	}
	w.running[id] = run
	if w.used() > w.recentCapacity() {
		w.overcommitted = append(w.overcommitted, w.record[len(w.record)-1])
	}
	if params.Get("crash") == strconv.Itoa(id.task.Step)+"."+strconv.Itoa(id.task.Index) {
		time.AfterFunc(crashDelay, func() {
			if w.isRunning(id) {
				w.Crash()
			}
		})
	}
	if number("lasts") > 0 {
		run.work = 0
		return
	}
	how := jobs.OutcomeDone
	if int(id.run) <= number("fails") {
		how = jobs.OutcomeFailed
	}
	if size := number("gang"); size > 0 && w.gangs != nil {
		run.inGang = true
		w.gangs.join(id, w, size, run.work, how)
		return
	}
	time.AfterFunc(run.work-run.resumedFrom, func() { w.endRun(id, how) })
}

// endRun ends a run that has finished its work or has been stopped.
func (w *Runs) endRun(id runID, o jobs.Outcome) { w.endRunAs(id, o, o.String()) }

func (w *Runs) endRunAs(id runID, o jobs.Outcome, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.crashed {
		return
	}
	w.expire()
	w.finish(id, o, how, time.Now())
}

// finish records the end of a running run and adds it to the unacknowledged ends.
func (w *Runs) finish(id runID, o jobs.Outcome, how string, at time.Time) {
	run := w.running[id]
	if run == nil {
		return
	}
	if run.inGang {
		w.gangs.left(id)
	}
	w.advance()
	delete(w.running, id)
	w.fences[id.task] = max(w.fences[id.task], id.run)
	w.lastNumber++
	f := runner.FinishedRun{Number: w.lastNumber, Task: id.task, Run: id.run, Outcome: o, How: how}
	if o == jobs.OutcomeStopped {
		f.Checkpoint = (run.resumedFrom + time.Since(run.started)).String()
	}
	w.finished = append(w.finished, f)
	for i := range w.record {
		if r := &w.record[i]; r.Task == id.task.String() && r.Run == id.run {
			r.EndMS, r.How, r.ended = at.UnixMilli(), how, at
		}
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

// markAcked records that the end of a run was acknowledged, unless the lease has ended since:
// then the agent may have reported the end too late. Both times are compared on the monotonic
// clock, as the lease is, because the wall clock may have jumped between them.
func (w *Runs) markAcked(f runner.FinishedRun) {
	for i := range w.record {
		if r := &w.record[i]; r.Task == f.Task.String() && r.Run == f.Run {
			r.Acked = r.ended.After(w.leaseEnded)
		}
	}
}

// Stop implements runner.Worker.
func (w *Runs) Stop(c runner.StopCall) (runner.Reply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.crashed {
		return runner.Reply{}, runner.ErrClosed
	}
	r, ok := w.check(c.Target)
	if !ok {
		return r, nil
	}
	w.expire()
	w.fences[c.Task] = max(w.fences[c.Task], c.Run)
	time.AfterFunc(stopTime, func() { w.endRun(runID{c.Task, c.Run}, jobs.OutcomeStopped) })
	return r, nil
}

// Pace implements runner.Worker.
func (w *Runs) Pace(c runner.PaceCall) (runner.Reply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.crashed {
		return runner.Reply{}, runner.ErrClosed
	}
	r, ok := w.check(c.Target)
	if ok {
		w.advance()
		w.setPace(c)
	}
	return r, nil
}

// Hold implements runner.Worker.
func (w *Runs) Hold(c runner.HoldCall) (runner.HoldReply, error) {
	w.mu.Lock()
	if w.crashed {
		w.mu.Unlock()
		return runner.HoldReply{}, runner.ErrClosed
	}
	r, ok := w.check(c.Target)
	if !ok {
		w.mu.Unlock()
		return runner.HoldReply{Reply: r}, nil
	}
	w.expire()
	w.extend(c.LeaseEndMS)
	for len(w.finished) > 0 && w.finished[0].Number <= c.Cursor {
		w.markAcked(w.finished[0])
		w.finished = w.finished[1:]
	}
	changed, listed := w.changed, len(w.finished)
	w.mu.Unlock()
	if listed == 0 && c.Wait > 0 {
		select {
		case <-changed:
		case <-time.After(c.Wait):
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.crashed {
		return runner.HoldReply{}, runner.ErrClosed
	}
	w.expire()
	w.advance()
	listed = min(len(w.finished), w.maxListed)
	out := runner.HoldReply{Reply: runner.Reply{ClockMS: w.clock()}, Finished: append([]runner.FinishedRun{}, w.finished[:listed]...), Truncated: listed == w.maxListed}
	for id, run := range w.running {
		out.Running = append(out.Running, runner.RunningRun{Task: id.task, Run: id.run, Percent: run.percent(), Measured: run.measured()})
	}
	return out, nil
}

// percent returns the progress of the run.
func (r *activeRun) percent() int {
	if r.work == 0 {
		return 100
	}
	return min(99, int(100*(r.resumedFrom+time.Since(r.started))/r.work))
}
