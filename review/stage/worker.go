package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	beatInterval = time.Second
	stopTime     = 50 * time.Millisecond
	maxHold      = 6000 // ms, the longest lease that a worker accepts
	clockOffset  = 100_000
)

// runState is a run that is at work on a worker.
type runState struct {
	task  string
	run   uint32
	cpu   int64
	since time.Time
}

// worker is a stand-in for a worker, as PROTOCOL describes it: leases, fences, run numbers, its
// room and the list of ends. Its tasks run until they are stopped.
type worker struct {
	name, id string
	address  string // of this worker
	agent    string // the ControlAddr of its machine
	labels   []string
	cpu      int64 // thousandths of a core
	rec      *record
	needs    func(task string) int64 // the Cpu of a task
	started  time.Time
	server   *http.Server

	mu         sync.Mutex
	sequence   uint64
	token      uint64
	lease      int64
	shed       int  // starts to reject with 503
	gone       bool // sends no heartbeat and answers nothing
	rejected   chan struct{}
	running    map[string]*runState // by task
	fence      map[string]uint32    // highest run stopped or ended, by task
	finished   [][]any
	lastNumber uint64
	changed    chan struct{}
	intervals  []interval
}

// interval is the time in which one run was at work.
type interval struct {
	worker, task string
	run          uint32
	from, to     time.Time // to is zero while it is at work
}

func newWorker(rec *record, name, address, agent string, cpu int64, labels []string, needs func(string) int64) (*worker, error) {
	w := &worker{name: name, id: "i-" + name, address: address, agent: agent, labels: labels, cpu: cpu, rec: rec, needs: needs, started: time.Now(),
		running: make(map[string]*runState), fence: make(map[string]uint32), changed: make(chan struct{}), rejected: make(chan struct{}, 100)}
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /waxwinghaven/run-start", w.handle(w.start))
	mux.HandleFunc("POST /waxwinghaven/run-stop", w.handle(w.stop))
	mux.HandleFunc("POST /waxwinghaven/hold", w.handle(w.hold))
	mux.HandleFunc("POST /waxwinghaven/pace", w.handle(w.pace))
	w.server = &http.Server{Handler: mux}
	go w.server.Serve(ln)
	go w.beats()
	return w, nil
}

func (w *worker) close() { w.server.Close() }

func (w *worker) clock() int64 { return clockOffset + time.Since(w.started).Milliseconds() }

// beats sends heartbeats to the agent until the worker is gone.
func (w *worker) beats() {
	client := &http.Client{Timeout: time.Second}
	for {
		w.mu.Lock()
		w.sequence++
		body, _ := json.Marshal(map[string]any{"Service": service, "Address": w.address, "Zone": zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
			"Capacity": map[string]int64{"Cpu": w.cpu, "MemMb": 256000, "Gpu": 0}, "Labels": w.labels, "ClockMs": w.clock(), "Sequence": w.sequence})
		gone := w.gone
		w.mu.Unlock()
		if gone {
			return
		}
		q, _ := http.NewRequest(http.MethodPut, "http://"+w.agent+"/waxwinghaven/instances/"+w.id, bytes.NewReader(body))
		if a, err := client.Do(q); err == nil {
			a.Body.Close()
		}
		time.Sleep(beatInterval)
	}
}

// call has the fields of all calls' bodies.
type call struct {
	Task, Spec, Checkpoint  string
	Run                     uint32
	DeadlineMs, WaitMs      int64
	FencingToken, AckCursor uint64
	Percent                 int
}

func (w *worker) handle(f func(*call) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, q *http.Request) {
		var c call
		if err := json.NewDecoder(q.Body).Decode(&c); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		silent, other := w.gone, q.Header.Get("Expected-Instance") != w.id
		w.mu.Unlock()
		if silent {
			<-q.Context().Done()
			return
		}
		status, body := http.StatusMisdirectedRequest, map[string]any{}
		if !other {
			status, body = f(&c)
		}
		if body != nil {
			body["ClockMs"] = w.clock()
		}
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		json.NewEncoder(rw).Encode(body)
	}
}

// admit checks the token and applies the lease. The caller holds the lock.
func (w *worker) admit(c *call) bool {
	w.expire()
	if c.FencingToken < w.token {
		return false
	}
	w.token = c.FencingToken
	return true
}

func (w *worker) extend(deadline int64) {
	w.lease = max(w.lease, min(deadline, w.clock()+maxHold))
}

// expire ends everything once the lease has lapsed. The caller holds the lock.
func (w *worker) expire() {
	if w.lease == 0 || w.clock() <= w.lease {
		return
	}
	for task := range w.running {
		w.end(task, "lapsed")
	}
}

// end lists the end of a run. The caller holds the lock.
func (w *worker) end(task, how string) {
	r := w.running[task]
	if r == nil {
		return
	}
	delete(w.running, task)
	w.fence[task] = max(w.fence[task], r.run)
	w.lastNumber++
	w.finished = append(w.finished, []any{w.lastNumber, task, r.run, how, ""})
	for i := range w.intervals {
		if x := &w.intervals[i]; x.task == task && x.run == r.run && x.to.IsZero() {
			x.to = time.Now()
		}
	}
	w.rec.printf("worker %s: run %d of %s ended: %s", w.name, r.run, task, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func conflict(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"Reason": reason}
}

func (w *worker) start(c *call) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.shed > 0 {
		w.shed--
		w.rec.printf("worker %s: answers 503 to the start of run %d of %s and does nothing", w.name, c.Run, c.Task)
		w.rejected <- struct{}{}
		return http.StatusServiceUnavailable, nil
	}
	if !w.admit(c) {
		return conflict("fence")
	}
	if r := w.running[c.Task]; r != nil && r.run == c.Run {
		w.extend(c.DeadlineMs)
		return http.StatusOK, map[string]any{}
	}
	if c.Run <= w.fence[c.Task] {
		w.extend(c.DeadlineMs)
		return conflict("old")
	}
	if c.DeadlineMs <= w.clock() {
		return conflict("late")
	}
	used, need := int64(0), w.needs(c.Task)
	for _, r := range w.running {
		used += r.cpu
	}
	w.extend(c.DeadlineMs)
	if used+need > w.cpu {
		return conflict("room")
	}
	w.running[c.Task] = &runState{c.Task, c.Run, need, time.Now()}
	w.intervals = append(w.intervals, interval{worker: w.name, task: c.Task, run: c.Run, from: time.Now()})
	w.rec.printf("worker %s: run %d of %s started (token %d)", w.name, c.Run, c.Task, c.FencingToken)
	return http.StatusOK, map[string]any{}
}

func (w *worker) stop(c *call) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.admit(c) {
		return conflict("fence")
	}
	w.fence[c.Task] = max(w.fence[c.Task], c.Run)
	if r := w.running[c.Task]; r != nil && r.run == c.Run {
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if r := w.running[c.Task]; r != nil && r.run == c.Run {
				w.end(c.Task, "stopped")
			}
		})
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) pace(c *call) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.admit(c) {
		return conflict("fence")
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) hold(c *call) (int, map[string]any) {
	w.mu.Lock()
	if !w.admit(c) {
		w.mu.Unlock()
		return conflict("fence")
	}
	if c.DeadlineMs > 0 {
		w.extend(c.DeadlineMs)
	}
	for len(w.finished) > 0 && w.finished[0][0].(uint64) <= c.AckCursor {
		w.finished = w.finished[1:]
	}
	changed, wait := w.changed, c.WaitMs > 0 && len(w.finished) == 0
	w.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(c.WaitMs, 2000)) * time.Millisecond):
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire()
	running := [][]any{}
	for _, r := range w.running {
		running = append(running, []any{r.task, r.run, "", 100, 0})
	}
	return http.StatusOK, map[string]any{"Running": running, "Finished": append([][]any{}, w.finished...)}
}

// shedNext makes the worker reject its next starts.
func (w *worker) shedNext(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shed = n
}

// called reports whether the agent has extended the worker's lease, so that it is registered.
func (w *worker) called() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lease > 0
}

// lose makes the worker fall silent for good; everything on it ends.
func (w *worker) lose() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone = true
	for task := range w.running {
		w.end(task, "lost with the worker")
	}
	w.rec.printf("worker %s: falls silent and is lost for good", w.name)
}

// ran returns the runs of a job's tasks.
func (w *worker) ran(job string) (out []interval) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire()
	for _, x := range w.intervals {
		if len(x.task) >= len(job) && x.task[:len(job)] == job {
			out = append(out, x)
		}
	}
	return out
}

func (x interval) String() string {
	return fmt.Sprintf("run %d of %s on %s", x.run, x.task, x.worker)
}
