// Package standin has small stand-ins for what the system serves: an upstream, a worker and
// agents. They keep their own record of what ran, which tests and the load tool use as the
// reference.
package standin

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/resource"
	"github.com/waxwinghaven/waxwinghaven/runner"
	"github.com/waxwinghaven/waxwinghaven/transport"
	"github.com/waxwinghaven/waxwinghaven/worker"
)

// Interval is the record of one attempt on a worker, in milliseconds of the worker's clock.
type Interval struct {
	Task    string `json:"task"`
	Attempt uint32 `json:"attempt"`
	StartMS int64  `json:"start_ms"`
	EndMS   int64  `json:"end_ms"`
	// From and To are the progress at the start and at the end, in milliseconds of work.
	From int64 `json:"from"`
	To   int64 `json:"to"`
}

// attempt is a task attempt on the worker.
type attempt struct {
	worker.TaskReport
	start         int64 // in milliseconds, like all fields below
	startProgress int64
	baseTime      int64 // start of the current speed, throttled or not
	baseProgress  int64 // progress at baseTime
	work          int64 // total work
}

// Worker simulates tasks by letting time pass. Its methods take the time on the worker's own
// clock in milliseconds, so that tests need not wait.
type Worker struct {
	Boot     string
	Capacity resource.Vector
	// FailAll makes every attempt fail when it starts.
	FailAll bool

	tasks     map[worker.Ref]*attempt
	fences    map[string]uint32
	leaseEnd  int64
	Intervals []Interval
	// Overcommits counts the starts that exceeded the capacity. The system guarantees that there
	// are none.
	Overcommits int
}

// NewWorker returns a worker with a new boot ID.
func NewWorker(capacity resource.Vector) *Worker {
	return &Worker{Boot: fmt.Sprintf("%016x", rand.Uint64()), Capacity: capacity,
		tasks: make(map[worker.Ref]*attempt), fences: make(map[string]uint32)}
}

// Report returns the worker's state at the given time.
func (w *Worker) Report(now int64) worker.Report {
	w.advance(now)
	r := worker.Report{Boot: w.Boot, ClockMS: now, Capacity: w.Capacity}
	for _, a := range w.tasks {
		r.Tasks = append(r.Tasks, a.TaskReport)
	}
	sort.Slice(r.Tasks, func(i, j int) bool { return r.Tasks[i].Task < r.Tasks[j].Task })
	return r
}

// Sync carries out an agent's commands and returns the resulting state.
func (w *Worker) Sync(s worker.Sync, now int64) worker.Report {
	w.advance(now)
	if s.Boot != w.Boot || now >= s.UntilMS {
		return w.Report(now) // another boot, or the lease has ended
	}
	w.leaseEnd = max(w.leaseEnd, s.UntilMS)
	for _, f := range s.Forget {
		if a := w.tasks[f]; a != nil && !a.Running {
			delete(w.tasks, f)
		}
	}
	for _, st := range s.Stop {
		w.stop(st, now)
	}
	w.throttle(s.Throttle, now)
	for _, st := range s.Start {
		w.start(st, now)
	}
	return w.Report(now)
}

// throttledSpeed is the fraction of full speed at which a throttled task runs.
const throttledSpeed = 0.5

// throttle slows the named tasks down and returns all others to full speed.
func (w *Worker) throttle(tasks []string, now int64) {
	for ref, a := range w.tasks {
		slow := slices.Contains(tasks, ref.Task)
		if a.Running && slow != a.Throttled {
			a.baseProgress, a.baseTime, a.Throttled = a.progress(now), now, slow
		}
	}
}

// progress returns the work done by the given time, in milliseconds at full speed.
func (a *attempt) progress(now int64) int64 {
	speed := 1.0
	if a.Throttled {
		speed = throttledSpeed
	}
	return min(a.baseProgress+int64(float64(now-a.baseTime)*speed), a.work)
}

// doneAt returns when the attempt completes at its current speed.
func (a *attempt) doneAt() int64 {
	left := a.work - a.baseProgress
	if a.Throttled {
		left = int64(float64(left) / throttledSpeed)
	}
	return a.baseTime + left
}

// advance ends the attempts that have completed by the given time or whose lease has ended.
func (w *Worker) advance(now int64) {
	for _, a := range w.tasks {
		if !a.Running {
			continue
		}
		doneAt := a.doneAt()
		switch {
		case doneAt <= now && doneAt <= w.leaseEnd:
			w.end(a, doneAt, lease.OutcomeDone, "")
		case w.leaseEnd <= now:
			w.end(a, w.leaseEnd, lease.OutcomeLost, "the lease ended")
		}
	}
}

// Die ends all attempts, as when the worker is killed.
func (w *Worker) Die(now int64) {
	w.advance(now)
	for _, a := range w.tasks {
		if a.Running {
			w.end(a, now, lease.OutcomeLost, "the worker died")
		}
	}
}

func (w *Worker) end(a *attempt, at int64, o lease.Outcome, reason string) {
	a.Running, a.Outcome, a.Reason = false, o, reason
	w.Intervals = append(w.Intervals, Interval{a.Task, a.Attempt, a.start, at, a.startProgress, a.progress(at)})
}

func (w *Worker) start(s worker.Start, now int64) {
	if s.Attempt <= w.fences[s.Task] {
		return // a duplicate, or older than a known attempt
	}
	w.fences[s.Task] = s.Attempt
	a := &attempt{TaskReport: worker.TaskReport{Task: s.Task, Attempt: s.Attempt, Job: s.Market + "/" + s.Job, Need: s.Need}, start: now, baseTime: now, work: s.RunTimeMS}
	w.tasks[worker.Ref{Task: s.Task, Attempt: s.Attempt}] = a
	switch {
	case !w.used().Add(s.Need).Fits(w.Capacity):
		w.Overcommits++
		a.Outcome, a.Reason = lease.OutcomeRejected, "no room"
	case w.FailAll:
		a.Outcome, a.Reason = lease.OutcomeFailed, "this worker fails everything"
	default:
		a.startProgress, _ = strconv.ParseInt(s.Checkpoint, 10, 64)
		a.baseProgress = a.startProgress
		a.Running = true
	}
}

func (w *Worker) used() resource.Vector {
	var sum resource.Vector
	for _, a := range w.tasks {
		if a.Running {
			sum = sum.Add(a.Need)
		}
	}
	return sum
}

func (w *Worker) stop(s worker.Stop, now int64) {
	ref := worker.Ref{Task: s.Task, Attempt: s.Attempt}
	a := w.tasks[ref]
	if a == nil {
		w.fences[s.Task] = max(w.fences[s.Task], s.Attempt)
		w.tasks[ref] = &attempt{TaskReport: worker.TaskReport{Task: s.Task, Attempt: s.Attempt, Outcome: lease.OutcomeRejected, Reason: "stopped before its start"}}
		return
	}
	if !a.Running {
		return
	}
	w.end(a, now, lease.OutcomeStopped, "stopped")
	if s.Checkpoint {
		a.Checkpoint = strconv.FormatInt(a.progress(now), 10)
	}
}

// Server serves a worker over HTTP.
type Server struct {
	// Runs handles the calls about tasks of callers' jobs, nil for none.
	Runs *Runs

	mu      sync.Mutex
	Worker  *Worker
	started time.Time
}

// NewServer returns a server for the worker.
func NewServer(w *Worker) *Server { return &Server{Worker: w, started: time.Now()} }

// Do calls f with exclusive access to the worker and the current time of its clock.
func (s *Server) Do(f func(w *Worker, now int64)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.Worker, time.Since(s.started).Milliseconds())
}

// Serve handles a request to the worker's interface.
func (s *Server) Serve(ctx *fasthttp.RequestCtx) {
	if s.Runs != nil {
		if string(ctx.Path()) == "/runs/record" {
			transport.WriteJSON(ctx, fasthttp.StatusOK, s.Runs.Record())
			return
		}
		if runner.Serve(s.Runs, ctx) == nil {
			return
		}
	}
	s.Do(func(w *Worker, now int64) {
		switch string(ctx.Path()) {
		case worker.PathReport:
			transport.WriteJSON(ctx, fasthttp.StatusOK, w.Report(now))
		case worker.PathSync:
			var m worker.Sync
			if err := json.Unmarshal(ctx.PostBody(), &m); err != nil {
				ctx.Error(err.Error(), fasthttp.StatusBadRequest)
				return
			}
			transport.WriteJSON(ctx, fasthttp.StatusOK, w.Sync(m, now))
		case "/worker/intervals":
			transport.WriteJSON(ctx, fasthttp.StatusOK, s.wallIntervals(w, now))
		case "/worker/fail":
			w.FailAll = ctx.QueryArgs().GetBool("on")
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	})
}

// wallIntervals returns the record with wall clock times, so that the records of several workers
// on one machine can be compared. It includes running attempts, with now as their end.
func (s *Server) wallIntervals(w *Worker, now int64) []Interval {
	w.advance(now)
	out := append([]Interval(nil), w.Intervals...)
	for _, a := range w.tasks {
		if a.Running {
			out = append(out, Interval{a.Task, a.Attempt, a.start, now, a.startProgress, a.progress(now)})
		}
	}
	for i := range out {
		out[i].StartMS += s.started.UnixMilli()
		out[i].EndMS += s.started.UnixMilli()
	}
	return out
}
