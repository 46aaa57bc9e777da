package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Capacity of a worker: thousandths of a core, and megabytes.
const (
	workerCPU = 64_000
	workerMem = 256_000
)

// startup is how long a task that lasts takes until it is at work.
const startup = 200 * time.Millisecond

// worker is a stand-in for one life of a worker, as the pages describe it. What a task needs and how
// long it works stands in its Spec, as a query: "ms=2000&cpu=100&mem=100", with "fails=1" if it always fails, or "lasts=1&cpu=13000".
type worker struct {
	r                 *rig
	id, service, name string // name is the machine's
	number            int    // of its address
	cpu, mem          int64
	kind              string
	// onStart is called before a start is carried out. If it returns false, the start is not carried out
	// and not answered. It may be nil.
	onStart func(*worker) bool
	// late is asked about each call. If it returns true, the call is neither carried out nor answered now. It may be nil.
	late func(path string, q *request) bool
	// life tells the lives of a worker that keeps its id apart. It equals the id for one that doesn't.
	life     string
	keepsID  bool
	handlers map[string]func(q *request) (int, *reply)

	born     time.Time
	server   *http.Server
	listener net.Listener

	mu       sync.Mutex
	dark     bool // answers nothing and runs nothing
	token    uint64
	leaseEnd int64
	sequence uint64
	last     uint64
	running  map[runKey]*activeRun
	highest  map[string]uint32 // run that has ended or was stopped, by task
	finished []finishedRun
	changed  chan struct{}
	stop     chan struct{}
	history  *history
}

type runKey struct {
	task string
	run  uint32
}

type activeRun struct {
	since    time.Time
	work     time.Duration // 0 for a task that lasts
	fails    bool
	cpu, mem int64
}

type finishedRun struct {
	number uint64
	key    runKey
	how    string
}

// history is what workers have seen of tasks.
type history struct {
	mu     sync.Mutex
	starts []event
	ends   []event
	lapses []event // of leases, whether anything ran or not
}

// event is the start or end of a run, or the end of a lease.
type event struct {
	at     time.Time
	worker string
	key    runKey
	how    string
	number uint64
	acked  time.Time // when an end was acknowledged, zero if it was not
}

func (h *history) add(list *[]event, e event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*list = append(*list, e)
}

func (h *history) acknowledge(worker string, cursor uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.ends {
		if e := &h.ends[i]; e.worker == worker && e.number <= cursor && e.acked.IsZero() {
			e.acked = time.Now()
		}
	}
}

// startWorker starts a worker on the machine of agent i.
func startWorker(r *rig, h *history, i int, service, kind string, onStart func(*worker) bool) (*worker, error) {
	w := newWorker(r, h, i, service, kind, onStart)
	return w, w.begin()
}

func newWorker(r *rig, h *history, i int, service, kind string, onStart func(*worker) bool) *worker {
	id := fmt.Sprintf("i-%010x", r.workers.Add(1))
	return &worker{r: r, id: id, life: id, service: service, name: machineName(i), number: firstAgent + i, cpu: workerCPU, mem: workerMem, kind: kind, onStart: onStart, born: time.Now(), history: h,
		running: make(map[runKey]*activeRun), highest: make(map[string]uint32), changed: make(chan struct{}), stop: make(chan struct{})}
}

// begin starts to serve calls and to send heartbeats.
func (w *worker) begin() error {
	r := w.r
	ln, err := net.Listen("tcp4", r.addr(w.number, portApp))
	if err != nil {
		return fmt.Errorf("%w: %v", errCouldNotRun, err)
	}
	w.listener = ln
	mux := http.NewServeMux()
	w.handlers = map[string]func(q *request) (int, *reply){pathStart: w.handleStart, pathStop: w.handleStop, pathHold: w.handleHold, pathPace: w.handlePace}
	for path, f := range w.handlers {
		mux.HandleFunc("POST "+path, w.serve(f))
	}
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(ln) }()
	go w.beat()
	go w.watchLease()
	r.note("worker %s of machine %s started for %s", w.life, w.name, w.service)
	return nil
}

// Paths of the calls to a worker.
const (
	pathStart = "/waxwinghaven/run-start"
	pathStop  = "/waxwinghaven/run-stop"
	pathHold  = "/waxwinghaven/hold"
	pathPace  = "/waxwinghaven/pace"
)

func machineName(i int) string { return fmt.Sprintf("m-%d", i+1) }

// end ends the worker with all that runs on it. Its address refuses connections.
func (w *worker) end(how, why string) {
	w.drop(how, why)
	_ = w.server.Close()
}

// loseContact ends the worker without a sign: its address accepts connections and answers nothing.
func (w *worker) loseContact(why string) { w.drop(howGone, why) }

// How runs end with their worker.
const (
	howGone  = "gone"
	howOrder = "order" // of the system to the platform
)

// drop ends the worker and what runs on it.
func (w *worker) drop(how, why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dark {
		return
	}
	w.dark = true
	close(w.stop)
	for key := range w.running {
		w.r.note("worker %s: run %s %d ends with its worker", w.life, key.task, key.run)
		w.history.add(&w.history.ends, event{at: time.Now(), worker: w.life, key: key, how: how})
	}
	w.running = make(map[runKey]*activeRun)
	w.r.note("worker %s is gone: %s", w.life, why)
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

// beat sends heartbeats to the agent on the machine.
func (w *worker) beat() {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		w.mu.Lock()
		w.sequence++
		body := map[string]any{"Service": w.service, "Address": w.r.addr(w.number, portApp), "Zone": "hall-a", "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
			"Capacity": map[string]any{"Cpu": w.cpu, "MemMb": w.mem, "Gpu": 0}, "Labels": []string{w.kind, fmt.Sprintf("r1-%d", (w.number-firstAgent)/3)}, "ClockMs": w.clock(), "Sequence": w.sequence}
		if w.keepsID {
			body["born"] = w.born.UnixMilli()
		}
		w.mu.Unlock()
		_, _, _ = call(http.MethodPut, "http://"+w.r.addr(w.number, portControl)+"/waxwinghaven/instances/"+w.id, "", body, time.Second, nil)
		select {
		case <-w.stop:
			return
		case <-tick.C:
		}
	}
}

// watchLease kills everything when the lease ends.
func (w *worker) watchLease() {
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		w.mu.Lock()
		if w.leaseEnd > 0 && w.clock() >= w.leaseEnd {
			w.leaseEnd = 0
			w.r.note("worker %s: the lease has ended, %d runs lapse", w.life, len(w.running))
			w.history.add(&w.history.lapses, event{at: time.Now(), worker: w.life})
			for key := range w.running {
				w.finish(key, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// reply is an answer of the worker.
type reply struct {
	ClockMs  int64
	Born     int64   `json:"born,omitempty"`
	Reason   string  `json:",omitempty"`
	Running  [][]any `json:",omitempty"`
	Finished [][]any `json:",omitempty"`
}

type request struct {
	Task         string
	Run          uint32
	Spec         string
	DeadlineMs   int64
	FencingToken uint64
	AckCursor    uint64
	WaitMs       int64
	Percent      int
}

// serve checks the incarnation and the fencing token of a call.
func (w *worker) serve(f func(q *request) (int, *reply)) http.HandlerFunc {
	return func(out http.ResponseWriter, in *http.Request) {
		var q request
		if err := json.NewDecoder(in.Body).Decode(&q); err != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		if e := in.Header.Get("Expected-Instance"); e != "" && e != w.id {
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.mu.Lock()
		if w.dark {
			w.mu.Unlock()
			<-in.Context().Done() // no answer
			return
		}
		if w.late != nil && w.late(in.URL.Path, &q) {
			w.mu.Unlock()
			<-in.Context().Done()
			return
		}
		if q.FencingToken < w.token {
			clock := w.clock()
			w.mu.Unlock()
			write(out, http.StatusConflict, &reply{ClockMs: clock, Reason: "fence"})
			return
		}
		w.token = q.FencingToken
		w.mu.Unlock()
		status, a := f(&q)
		if a == nil {
			<-in.Context().Done()
			return
		}
		write(out, status, a)
	}
}

func write(out http.ResponseWriter, status int, a any) {
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(a)
}

// extend takes a lease. The caller holds the lock.
func (w *worker) extend(deadline int64) {
	if deadline > 0 {
		w.leaseEnd = max(w.leaseEnd, min(deadline, w.clock()+holdMax.Milliseconds()))
	}
}

func (w *worker) used() (cpu, mem int64) {
	for _, x := range w.running {
		cpu, mem = cpu+x.cpu, mem+x.mem
	}
	return cpu, mem
}

func (w *worker) handleStart(q *request) (int, *reply) {
	key := runKey{q.Task, q.Run}
	if w.onStart != nil && !w.onStart(w) {
		return 0, nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	refuse := func(reason string) (int, *reply) {
		w.r.note("worker %s: run-start %s %d refused: %s", w.life, q.Task, q.Run, reason)
		return http.StatusConflict, &reply{ClockMs: w.clock(), Reason: reason}
	}
	if q.DeadlineMs <= w.clock() {
		return refuse("late")
	}
	w.extend(q.DeadlineMs)
	if w.running[key] != nil {
		return http.StatusOK, &reply{ClockMs: w.clock()}
	}
	if q.Run <= w.highest[q.Task] {
		return refuse("old")
	}
	x := parseSpec(q.Spec)
	if cpu, mem := w.used(); cpu+x.cpu > w.cpu || mem+x.mem > w.mem {
		return refuse("room")
	}
	w.running[key] = x
	w.r.note("worker %s: run-start %s %d", w.life, q.Task, q.Run)
	w.history.add(&w.history.starts, event{at: time.Now(), worker: w.life, key: key})
	if x.work > 0 {
		time.AfterFunc(x.work, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			how := "done"
			if x.fails {
				how = "failed"
			}
			w.finish(key, how)
		})
	}
	return http.StatusOK, &reply{ClockMs: w.clock()}
}

func parseSpec(spec string) *activeRun {
	v, _ := url.ParseQuery(spec)
	n := func(key string) int64 { n, _ := strconv.ParseInt(v.Get(key), 10, 64); return n }
	return &activeRun{since: time.Now(), work: time.Duration(n("ms")) * time.Millisecond, fails: n("fails") > 0, cpu: n("cpu"), mem: n("mem")}
}

// finish lists the end of a run. The caller holds the lock.
func (w *worker) finish(key runKey, how string) {
	if w.running[key] == nil || w.dark {
		return
	}
	delete(w.running, key)
	w.highest[key.task] = max(w.highest[key.task], key.run)
	w.last++
	w.finished = append(w.finished, finishedRun{w.last, key, how})
	w.r.note("worker %s: end %d: %s %d %s", w.life, w.last, key.task, key.run, how)
	w.history.add(&w.history.ends, event{at: time.Now(), worker: w.life, key: key, how: how, number: w.last})
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) handleStop(q *request) (int, *reply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.r.note("worker %s: run-stop %s %d", w.life, q.Task, q.Run)
	w.highest[q.Task] = max(w.highest[q.Task], q.Run)
	time.AfterFunc(stopTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.finish(runKey{q.Task, q.Run}, "stopped")
	})
	return http.StatusOK, &reply{ClockMs: w.clock()}
}

func (w *worker) handlePace(*request) (int, *reply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return http.StatusOK, &reply{ClockMs: w.clock()}
}

func (w *worker) handleHold(q *request) (int, *reply) {
	w.mu.Lock()
	w.extend(q.DeadlineMs)
	if n := 0; q.AckCursor > 0 {
		for n < len(w.finished) && w.finished[n].number <= q.AckCursor {
			n++
		}
		if n > 0 {
			w.r.note("worker %s: ends up to %d acknowledged", w.life, q.AckCursor)
			w.finished = w.finished[n:]
			w.history.acknowledge(w.life, q.AckCursor)
		}
	}
	changed, wait := w.changed, time.Duration(q.WaitMs)*time.Millisecond
	if len(w.finished) == 0 && wait > 0 {
		w.mu.Unlock()
		select {
		case <-changed:
		case <-w.stop:
		case <-time.After(wait):
		}
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	if w.dark {
		return 0, nil
	}
	a := &reply{ClockMs: w.clock(), Running: [][]any{}, Finished: [][]any{}}
	if w.keepsID {
		a.Born = w.born.UnixMilli()
	}
	for key, x := range w.running {
		a.Running = append(a.Running, []any{key.task, key.run, "", x.percent(), x.cpu})
	}
	for _, f := range w.finished[:min(len(w.finished), endsPerReply)] {
		a.Finished = append(a.Finished, []any{f.number, f.key.task, f.key.run, f.how, ""})
	}
	return http.StatusOK, a
}

// percent returns the progress of a run, 100 for one that lasts and is at work.
func (x *activeRun) percent() int {
	age := time.Since(x.since)
	switch {
	case x.work > 0:
		return min(99, int(100*age/x.work))
	case age >= startup:
		return 100
	}
	return int(100 * age / startup)
}

// count returns the number of runs of the tasks whose names begin so.
func (w *worker) count(id string) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key := range w.running {
		if strings.HasPrefix(key.task, id) {
			n++
		}
	}
	return n
}
