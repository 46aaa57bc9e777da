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

// defaultWork is how long a task works whose payload does not say.
const defaultWork = 100 * time.Millisecond

// stopTime is how long a run takes to stop.
const stopTime = 5 * time.Millisecond

// Runs is a stand-in for a worker that runs callers' tasks. It starts them under a
// lease and a fencing token and lets time pass. A task's payload tells what it does, as
// a query: "ms=300" works for 300 ms, "fails=2" fails in its first two runs, "lasts=1"
// works until it is stopped, "crash=0.3" crashes the worker if it is task 3 of step 0,
// "cpu=500" takes that many thousandths of a processor.
type Runs struct {
	// OnCrash is called once the worker has crashed, nil for nothing.
	OnCrash func()

	mu       sync.Mutex
	ticket   string // that a start has to bring
	worker   string // incarnation
	begun    time.Time
	token    uint64
	leaseEnd int64
	lapsed   time.Time // when a lease ended last
	running  map[runID]*stoodRun
	fences   map[jobs.Ref]uint32 // highest run that was stopped or ended
	finished []runner.FinishedRun
	number   uint64
	changed  chan struct{}
	record   []RunInterval
	crashed  bool
	rooms    []room        // oldest first, none for a worker without bound
	longest  time.Duration // the longest lease that it takes
	overfull []RunInterval
}

// room is a worker's processors, in thousandths, from a time on.
type room struct {
	milliCPU int64
	since    time.Time
}

// shrinkGrace is for how long after its room has shrunk a start may still count on the old
// one: until the next heartbeat has been heard and orders that are under way are carried out.
const shrinkGrace = 4500 * time.Millisecond

// runID names one run.
type runID struct {
	task jobs.Ref
	run  uint32
}

type stoodRun struct {
	milliCPU int64
	began    time.Time
	work     time.Duration // 0 for a run that lasts
	saved    time.Duration // that it resumed from
}

// RunInterval is one run's time on the worker.
type RunInterval struct {
	Task    string `json:"task"`
	Run     uint32 `json:"run"`
	StartMS int64  `json:"start_ms"` // since 1970
	EndMS   int64  `json:"end_ms"`   // 0 while it runs
	How     string `json:"how,omitempty"`
	// Noted says that its end was acknowledged before the lease ended.
	Noted  bool   `json:"noted,omitempty"`
	Ticket string `json:"ticket,omitempty"`

	ended time.Time // as EndMS, by the steady clock
}

// NewRuns returns a worker with a name that none had before.
func NewRuns(worker string) *Runs {
	return &Runs{worker: worker, begun: time.Now(), running: make(map[runID]*stoodRun), fences: make(map[jobs.Ref]uint32), changed: make(chan struct{}), longest: longestLease}
}

// SetLongestLease changes the longest lease that the worker takes.
func (w *Runs) SetLongestLease(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.longest = d
}

// Name returns the incarnation.
func (w *Runs) Name() string { return w.worker }

// Begun returns when the incarnation began.
func (w *Runs) Begun() time.Time { return w.begun }

// SetTicket makes the worker ask for a ticket, "" for none.
func (w *Runs) SetTicket(ticket string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ticket = ticket
}

// Record returns every run so far.
func (w *Runs) Record() []RunInterval {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire()
	return append([]RunInterval(nil), w.record...)
}

// SetRoom changes the worker's processors, in thousandths. It starts what it is told to all
// the same.
func (w *Runs) SetRoom(milliCPU int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rooms = append(w.rooms, room{milliCPU, time.Now()})
}

// Room returns the worker's processors, in thousandths, 0 if they have no bound.
func (w *Runs) Room() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.rooms) == 0 {
		return 0
	}
	return w.rooms[len(w.rooms)-1].milliCPU
}

// Overfull returns the starts that brought the worker over its room.
func (w *Runs) Overfull() []RunInterval {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]RunInterval(nil), w.overfull...)
}

func (w *Runs) used() (sum int64) {
	for _, r := range w.running {
		sum += r.milliCPU
	}
	return sum
}

// most is the largest room that a start may count on now.
func (w *Runs) most() int64 {
	if len(w.rooms) == 0 {
		return math.MaxInt64
	}
	most := int64(0)
	for i, r := range w.rooms {
		if i == len(w.rooms)-1 || time.Since(w.rooms[i+1].since) < shrinkGrace {
			most = max(most, r.milliCPU)
		}
	}
	return most
}

// Count returns how many runs are at work, and how many ends are not forgotten yet.
func (w *Runs) Count() (running, listed int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire()
	return len(w.running), len(w.finished)
}

// clock is the worker's steady clock, in ms.
func (w *Runs) clock() int64 { return time.Since(w.begun).Milliseconds() + firstClock }

// firstClock is what the clock shows at the worker's start: 0 would be no lease at all.
const firstClock = 1

// expire ends everything if the lease has ended, as of the lease's end.
func (w *Runs) expire() {
	if w.clock() < w.leaseEnd {
		return
	}
	w.lapsed = w.begun.Add(time.Duration(w.leaseEnd-firstClock) * time.Millisecond)
	for id := range w.running {
		w.finish(id, jobs.OutcomeLost, "lapsed", w.lapsed)
	}
}

// crashAfter is how long a task that crashes its worker takes for it.
const crashAfter = 10 * time.Millisecond

// HowCrashed is how runs end whose worker crashes, in the record.
const HowCrashed = "crashed"

// Crash ends the worker at once with everything on it. Calls under way get no answer,
// and later ones none either.
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
	close(w.changed) // calls that wait
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

// check tells whether a call is for this incarnation and not from an older life of its
// agent.
func (w *Runs) check(t runner.Target) (runner.Reply, bool) {
	r := runner.Reply{ClockMS: w.clock()}
	switch {
	case t.Worker != w.worker:
		r.Verdict = runner.VerdictElsewhere
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
	case c.Ticket != w.ticket:
		r.Verdict = runner.VerdictNoTicket
	default:
		w.begin(id, c)
	}
	w.extend(c.LeaseEndMS)
	return r, nil
}

// longestLease is the longest lease that a worker takes unless it is told otherwise; a longer
// one is shortened. It is what the control lends: a late call for the incarnation before may
// make this one's as long.
const longestLease = 5 * time.Second

func (w *Runs) extend(leaseEndMS int64) {
	w.leaseEnd = max(w.leaseEnd, min(leaseEndMS, w.clock()+w.longest.Milliseconds()))
}

func (w *Runs) begin(id runID, c runner.StartCall) {
	w.record = append(w.record, RunInterval{Task: id.task.String(), Run: id.run, StartMS: time.Now().UnixMilli(), Ticket: c.Ticket})
	todo, err := url.ParseQuery(c.Payload)
	if err != nil {
		todo = nil
	}
	number := func(key string) int { n, _ := strconv.Atoi(todo.Get(key)); return n } // not told is 0
	run := &stoodRun{began: time.Now(), work: defaultWork, milliCPU: int64(number("cpu"))}
	if ms := number("ms"); ms > 0 {
		run.work = time.Duration(ms) * time.Millisecond
	}
	if saved, err := time.ParseDuration(c.Checkpoint); err == nil {
		run.saved = saved
	}
	w.running[id] = run
	if w.used() > w.most() {
		w.overfull = append(w.overfull, w.record[len(w.record)-1])
	}
	if todo.Get("crash") == strconv.Itoa(id.task.Step)+"."+strconv.Itoa(id.task.Index) {
		time.AfterFunc(crashAfter, func() {
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
	time.AfterFunc(run.work-run.saved, func() { w.end(id, how) })
}

// end ends a run by itself.
func (w *Runs) end(id runID, o jobs.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.crashed {
		return
	}
	w.expire()
	w.finish(id, o, o.String(), time.Now())
}

// finish lists the end of a run that is at work.
func (w *Runs) finish(id runID, o jobs.Outcome, how string, at time.Time) {
	run := w.running[id]
	if run == nil {
		return
	}
	delete(w.running, id)
	w.fences[id.task] = max(w.fences[id.task], id.run)
	w.number++
	f := runner.FinishedRun{Number: w.number, Task: id.task, Run: id.run, Outcome: o, How: how}
	if o == jobs.OutcomeStopped {
		f.Checkpoint = (run.saved + time.Since(run.began)).String()
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

// noted keeps in the record that an end was acknowledged, unless the lease has ended since: then the
// agent may have been late to tell of it. Both are told by the steady clock, as the lease is: the
// time of day may have jumped between them.
func (w *Runs) noted(f runner.FinishedRun) {
	for i := range w.record {
		if r := &w.record[i]; r.Task == f.Task.String() && r.Run == f.Run {
			r.Noted = r.ended.After(w.lapsed)
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
	time.AfterFunc(stopTime, func() { w.end(runID{c.Task, c.Run}, jobs.OutcomeStopped) })
	return r, nil
}

// Pace implements runner.Worker. It changes nothing: the stand-in's tasks disturb nobody.
func (w *Runs) Pace(c runner.PaceCall) (runner.Reply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.crashed {
		return runner.Reply{}, runner.ErrClosed
	}
	r, _ := w.check(c.Target)
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
		w.noted(w.finished[0])
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
	out := runner.HoldReply{Reply: runner.Reply{ClockMS: w.clock()}, Finished: append([]runner.FinishedRun{}, w.finished...)}
	for id, run := range w.running {
		out.Running = append(out.Running, runner.RunningRun{Task: id.task, Run: id.run, Percent: run.percent()})
	}
	return out, nil
}

// percent is how much of the run's work is done.
func (r *stoodRun) percent() int {
	if r.work == 0 {
		return 100
	}
	return min(99, int(100*(r.saved+time.Since(r.began))/r.work))
}
