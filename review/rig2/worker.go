package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	longestLease      = 6 * time.Second // HoldMaxMs
	stopTime          = 50 * time.Millisecond
	// startupTime is how long a task that lasts takes until it is at work.
	startupTime = 500 * time.Millisecond
	// failTime is how long a run lasts that a worker fails.
	failTime      = 100 * time.Millisecond
	maxListedEnds = 500
	fullPercent   = 100
)

// Ways in which a run ends.
const (
	howDone    = "done"
	howFailed  = "failed"
	howStopped = "stopped"
	howLapsed  = "lapsed"
	howBroken  = "broken"
	howAlone   = "alone"
	howDown    = "down" // with its machine; no worker lists it
)

// worker is the stand-in for the worker on one side machine, over all its lives. It listens only
// while it is up.
type worker struct {
	c       *cluster
	machine string
	host    int
	zone    string
	labels  []string
	cpu     int64
	memMB   int64

	mu   sync.Mutex
	life *life // nil while the machine is down
	// failing makes all runs fail, standstill lets them make no progress. Heartbeats and answers
	// stay good.
	failing, standstill bool
	// lateShare of the orders gets no answer and is carried out 2 to 12 s later.
	lateShare float64
	nextLate  time.Duration // see setNextLate
	// onStop is called for a stop of a task that is at work.
	onStop func(*worker, taskName)
}

// life is one incarnation of a worker.
type life struct {
	w     *worker
	id    string
	began time.Time
	// firstBeat is when its first heartbeat is due.
	firstBeat time.Duration
	server    *http.Server
	stopBeat  chan struct{}

	mu       sync.Mutex
	over     bool
	sequence uint64
	token    uint64
	leaseEnd int64
	runs     map[runName]*activeRun
	fences   map[taskName]uint32
	ends     []endRow
	number   uint64
	changed  chan struct{}
	lapsedAt time.Time // when the lease was last found to have ended
}

// activeRun is a run on a worker.
type activeRun struct {
	name    runName
	life    *life
	phase   phase
	started time.Time
	working bool
	timers  []*time.Timer
	saved   string // checkpoint that it resumed from
	done    time.Duration
}

type endRow struct {
	number     uint64
	name       runName
	how, saved string
	at         time.Time
}

func newWorker(c *cluster, i int, kind string) (*worker, error) {
	w := &worker{c: c, machine: fmt.Sprintf("m-%02d", i+1), host: hostSide + i, zone: zoneName(i),
		labels: []string{kind, fmt.Sprintf("r%d-%d", i%zones, i/zones/rackSize)}, cpu: 64_000, memMB: 256_000}
	return w, w.boot()
}

// boot starts a new incarnation, which sends a heartbeat at once.
func (w *worker) boot() error { return w.bootWith(0) }

// bootWith starts a new incarnation whose first heartbeat is due after a time.
func (w *worker) bootWith(firstBeat time.Duration) error {
	ln, err := net.Listen("tcp4", w.c.addr(w.host, portWorker))
	if err != nil {
		return err
	}
	id := fmt.Sprintf("i-%08x", rand.Uint32())
	if w.c.sameID {
		id = "i-" + w.machine
	}
	l := &life{w: w, id: id, began: time.Now(), firstBeat: firstBeat, stopBeat: make(chan struct{}),
		runs: make(map[runName]*activeRun), fences: make(map[taskName]uint32), changed: make(chan struct{})}
	l.server = &http.Server{Handler: http.HandlerFunc(l.serve)}
	w.mu.Lock()
	w.life = l
	w.mu.Unlock()
	w.c.rec.log(w.machine, "worker %s is up", l.id)
	go l.server.Serve(ln)
	go l.sendHeartbeats()
	return nil
}

func (w *worker) current() *life {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.life
}

// takeDown ends the present incarnation with all that it runs, and returns the tasks that were at
// work.
func (w *worker) takeDown() []taskName {
	w.mu.Lock()
	l := w.life
	w.life = nil
	w.mu.Unlock()
	if l == nil {
		return nil
	}
	return l.crash()
}

func (w *worker) close() { w.takeDown() }

func (w *worker) setFailing(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failing = on
	w.c.rec.log(w.machine, "fails all that it starts: %v", on)
}

func (w *worker) setStandstill(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.standstill = on
	w.c.rec.log(w.machine, "its tasks stand still: %v", on)
}

func (w *worker) setOnStop(f func(*worker, taskName)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onStop = f
}

func (w *worker) setLate(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lateShare = share
}

// setNextLate lets the next start go unanswered and be carried out after a time.
func (w *worker) setNextLate(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextLate = d
}

// lateness returns after which time an order is carried out that goes unanswered, 0 for one that is
// answered.
func (w *worker) lateness(path string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	start := path == "/waxwinghaven/run-start"
	if d := w.nextLate; start && d > 0 {
		w.nextLate = 0
		return d
	}
	if (start || path == "/waxwinghaven/run-stop" || w.c.sameID) && rand.Float64() < w.lateShare {
		return 2*time.Second + rand.N(10*time.Second)
	}
	return 0
}

// noteStop tells of a stop of a task that is at work.
func (w *worker) noteStop(t taskName) {
	w.mu.Lock()
	f := w.onStop
	w.mu.Unlock()
	if f != nil {
		f(w, t)
	}
}

func (w *worker) mode() (failing, standstill bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failing, w.standstill
}

// atWork returns the tasks that are at work now.
func (w *worker) atWork() []taskName {
	l := w.current()
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.atWork()
}

// clock is the incarnation's steady clock in milliseconds.
func (l *life) clock() int64 { return time.Since(l.began).Milliseconds() + 1 }

func (l *life) sendHeartbeats() {
	select {
	case <-l.stopBeat:
		return
	case <-time.After(l.firstBeat):
	}
	for {
		l.sendHeartbeat()
		select {
		case <-l.stopBeat:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (l *life) sendHeartbeat() {
	l.mu.Lock()
	l.sequence++
	sequence := l.sequence
	l.mu.Unlock()
	w := l.w
	born := ""
	if w.c.sameID {
		born = fmt.Sprintf(`"born":%d,`, l.began.UnixMilli())
	}
	body := fmt.Sprintf(`{%s"Service":%q,"Address":%q,"Zone":%q,"Version":"v1","Slots":8,"State":"ready","ColdRemainingMs":0,"Capacity":{"Cpu":%d,"MemMb":%d,"Gpu":0},"Labels":[%q,%q],"ClockMs":%d,"Sequence":%d}`,
		born, service, w.c.addr(w.host, portWorker), w.zone, w.cpu, w.memMB, w.labels[0], w.labels[1], l.clock(), sequence)
	req, err := http.NewRequest(http.MethodPut, "http://"+w.c.addr(w.host, portControl)+"/waxwinghaven/instances/"+l.id, bytes.NewReader([]byte(body)))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	h := &http.Client{Timeout: time.Second}
	resp, err := h.Do(req)
	if err != nil {
		return
	}
	resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		w.c.rec.log(w.machine, "heartbeat of %s -> %d", l.id, resp.StatusCode)
	}
}

// callBody has the fields of all calls to a worker.
type callBody struct {
	Task         string
	Run          uint32
	Spec         string
	DeadlineMs   int64
	FencingToken uint64
	Checkpoint   string
	Ticket       string
	AckCursor    uint64
	WaitMs       int64
	Percent      int
}

func (l *life) serve(rw http.ResponseWriter, r *http.Request) {
	var b callBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		l.answer(rw, http.StatusBadRequest, nil)
		return
	}
	if r.Header.Get("Expected-Instance") != l.id {
		l.answer(rw, http.StatusMisdirectedRequest, nil)
		return
	}
	if delay := l.w.lateness(r.URL.Path); delay > 0 {
		l.w.c.rec.log(l.w.machine, "unanswered: %s %s run %d", r.URL.Path, b.Task, b.Run)
		time.AfterFunc(delay, func() { l.carryOutLate(r.URL.Path, &b) })
		<-r.Context().Done()
		return
	}
	status, fields := l.carryOut(r.URL.Path, &b)
	l.answer(rw, status, fields)
}

// carryOutLate carries out a call that went unanswered. An incarnation that has the same id as the
// one that the call was for takes it for its own.
func (l *life) carryOutLate(path string, b *callBody) {
	if now := l.w.current(); l.w.c.sameID && now != nil {
		l = now
	}
	l.carryOut(path, b)
}

// carryOut carries a call out and returns the response.
func (l *life) carryOut(path string, b *callBody) (status int, fields map[string]any) {
	if !l.admit(b.FencingToken) {
		return http.StatusConflict, map[string]any{"Reason": "fence"}
	}
	switch path {
	case "/waxwinghaven/run-start":
		return l.start(b)
	case "/waxwinghaven/run-stop":
		return l.stop(b)
	case "/waxwinghaven/hold":
		return l.hold(b)
	case "/waxwinghaven/pace":
		return http.StatusOK, nil
	}
	return http.StatusNotFound, nil
}

// admit compares the fencing token with the highest that was seen.
func (l *life) admit(token uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over || token < l.token {
		return false
	}
	l.token = token
	return true
}

func (l *life) answer(rw http.ResponseWriter, status int, fields map[string]any) {
	if fields == nil {
		fields = make(map[string]any)
	}
	fields["ClockMs"] = l.clock()
	b, err := json.Marshal(fields)
	if err != nil {
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("Content-Length", strconv.Itoa(len(b)))
	rw.WriteHeader(status)
	rw.Write(b)
}

// extend extends the lease; it never shortens it. The caller holds the lock.
func (l *life) extend(deadlineMS int64) {
	l.noteLapse()
	l.leaseEnd = max(l.leaseEnd, min(deadlineMS, l.clock()+longestLease.Milliseconds()))
	time.AfterFunc(time.Duration(l.leaseEnd-l.clock()+1)*time.Millisecond, l.lapse)
}

// noteLapse notes if the lease has ended. The caller holds the lock.
func (l *life) noteLapse() {
	if l.clock() >= l.leaseEnd {
		l.lapsedAt = time.Now()
	}
}

// lapse ends everything if the lease has ended.
func (l *life) lapse() {
	l.mu.Lock()
	if l.over || l.clock() < l.leaseEnd {
		l.mu.Unlock()
		return
	}
	l.noteLapse()
	var all []*activeRun
	for _, r := range l.runs {
		all = append(all, r)
	}
	l.mu.Unlock()
	for _, r := range all {
		l.end(r, howLapsed)
	}
}

func (l *life) start(b *callBody) (status int, fields map[string]any) {
	task, err := parseTask(b.Task)
	if err != nil || b.Run == 0 {
		return http.StatusBadRequest, nil
	}
	name := runName{task, b.Run}
	ph, known := l.w.c.client.phaseOf(task)
	if !known {
		l.w.c.rec.log(l.w.machine, "start of %s, which no client sent", b.Task)
		return http.StatusBadRequest, nil
	}
	l.mu.Lock()
	reason, begun := "", (*activeRun)(nil)
	switch {
	case l.over || b.DeadlineMs <= l.clock():
		reason = "late"
	case l.runs[name] != nil:
	case b.Run <= l.fences[task]:
		reason = "old"
	case l.w.c.advisor != nil && !l.w.c.advisor.admits(b.Ticket, task, l.id):
		reason = "ticket"
	default:
		begun = &activeRun{name: name, life: l, phase: ph, started: time.Now(), saved: b.Checkpoint}
		if x := l.w.c.explore; x != nil {
			x.started(l, begun, b)
		}
		l.runs[name] = begun
	}
	if reason != "late" {
		l.extend(b.DeadlineMs)
	}
	l.mu.Unlock()
	if reason != "" {
		l.w.c.rec.log(l.w.machine, "start %s run %d -> 409 %s", b.Task, b.Run, reason)
		return http.StatusConflict, map[string]any{"Reason": reason}
	}
	if begun != nil {
		l.w.c.rec.log(l.w.machine, "start %s run %d -> 200", b.Task, b.Run)
		l.begin(begun)
	}
	return http.StatusOK, nil
}

// begin lets a run work, or wait for the other members of its gang.
func (l *life) begin(r *activeRun) {
	if !r.phase.gang {
		l.work(r)
		return
	}
	all := l.w.c.gangs.join(r, r.phase.count)
	if all == nil {
		l.after(r, gangTimeout, func() {
			l.mu.Lock()
			waits := !r.working
			l.mu.Unlock()
			if waits {
				l.end(r, howAlone)
			}
		})
		return
	}
	for _, m := range all {
		m.life.work(m)
	}
}

// work starts the work of a run.
func (l *life) work(r *activeRun) {
	l.mu.Lock()
	r.working, r.started = true, time.Now()
	l.mu.Unlock()
	failing, standstill := l.w.mode()
	if x := l.w.c.explore; x != nil && x.failsByItself(r.name) {
		failing = true
	}
	switch {
	case failing:
		l.after(r, failTime, func() { l.end(r, howFailed) })
	case standstill || r.phase.work == 0:
	default:
		l.after(r, r.phase.work-r.done, func() { l.end(r, howDone) })
	}
}

func (l *life) after(r *activeRun, d time.Duration, f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.timers = append(r.timers, time.AfterFunc(d, f))
}

// end ends a run and lists its end. Members of a gang end together.
func (l *life) end(r *activeRun, how string) {
	l.mu.Lock()
	if l.over || l.runs[r.name] != r {
		l.mu.Unlock()
		return
	}
	l.remove(r)
	l.number++
	row := endRow{number: l.number, name: r.name, how: how, at: time.Now()}
	if x := l.w.c.explore; x != nil {
		row.saved = x.ended(l, r, how)
	}
	l.ends = append(l.ends, row)
	close(l.changed)
	l.changed = make(chan struct{})
	l.mu.Unlock()
	l.w.c.rec.log(l.w.machine, "end %d of %s run %d: %s", l.number, r.name.task, r.name.run, how)
	if r.phase.gang && how == howFailed {
		l.w.c.gangs.countFailure(r.name)
	}
	l.endOthers(r, how)
}

// remove removes a run. The caller holds the lock.
func (l *life) remove(r *activeRun) {
	delete(l.runs, r.name)
	l.fences[r.name.task] = max(l.fences[r.name.task], r.name.run)
	for _, t := range r.timers {
		t.Stop()
	}
}

// endOthers ends the other members of a gang. On a worker that fails all that it starts, each
// member has failed by the worker's fault.
func (l *life) endOthers(r *activeRun, how string) {
	if !r.phase.gang {
		return
	}
	for _, m := range l.w.c.gangs.leave(r) {
		other := howBroken
		if how == howDone {
			other = howDone
		} else if failing, _ := m.life.w.mode(); failing {
			other = howFailed
		}
		m.life.end(m, other)
	}
}

func (l *life) stop(b *callBody) (status int, fields map[string]any) {
	task, err := parseTask(b.Task)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	l.mu.Lock()
	l.fences[task] = max(l.fences[task], b.Run)
	r := l.runs[runName{task, b.Run}]
	atWork := slices.Contains(l.atWork(), task)
	l.mu.Unlock()
	l.w.c.rec.log(l.w.machine, "stop %s run %d -> 200", b.Task, b.Run)
	if r != nil {
		if atWork {
			l.w.noteStop(task)
		}
		time.AfterFunc(stopTime, func() { l.end(r, howStopped) })
	}
	return http.StatusOK, nil
}

func (l *life) hold(b *callBody) (status int, fields map[string]any) {
	l.mu.Lock()
	l.noteLapse()
	if b.DeadlineMs > 0 {
		l.extend(b.DeadlineMs)
	}
	for len(l.ends) > 0 && l.ends[0].number <= b.AckCursor {
		if x := l.w.c.explore; x != nil {
			x.acked(l, l.ends[0])
		}
		l.ends = l.ends[1:]
	}
	changed, listed := l.changed, len(l.ends)
	l.mu.Unlock()
	if listed == 0 && b.WaitMs > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(b.WaitMs) * time.Millisecond):
		}
	}
	l.mu.Lock()
	running, finished := [][]any{}, [][]any{}
	for name, r := range l.runs {
		running = append(running, []any{name.task.String(), name.run, "", l.percent(r), 0})
	}
	for _, e := range l.ends[:min(len(l.ends), maxListedEnds)] {
		finished = append(finished, []any{e.number, e.name.task.String(), e.name.run, e.how, e.saved})
	}
	l.mu.Unlock()
	fields = map[string]any{"Running": running, "Finished": finished}
	if l.w.c.sameID {
		fields["born"] = l.began.UnixMilli()
	}
	return http.StatusOK, fields
}

// percent returns a run's progress. One that lasts is at work, at 100, after its startup. The
// caller holds the lock.
func (l *life) percent(r *activeRun) int {
	_, standstill := l.w.mode()
	if !r.working || standstill {
		return 0
	}
	if r.phase.work == 0 {
		return min(fullPercent, int(fullPercent*time.Since(r.started)/startupTime))
	}
	return min(fullPercent-1, int(fullPercent*time.Since(r.started)/r.phase.work))
}

// atWork returns the tasks that are at work. The caller holds the lock.
func (l *life) atWork() (out []taskName) {
	for name, r := range l.runs {
		if r.phase.work == 0 && l.percent(r) == fullPercent {
			out = append(out, name.task)
		}
	}
	return out
}

// crash ends the incarnation without a word to anybody, and returns the tasks that were at work.
func (l *life) crash() []taskName {
	l.mu.Lock()
	l.over = true
	work := l.atWork()
	var all []*activeRun
	for _, r := range l.runs {
		all = append(all, r)
		for _, t := range r.timers {
			t.Stop()
		}
	}
	l.mu.Unlock()
	close(l.stopBeat)
	l.server.Close()
	for _, r := range all {
		if x := l.w.c.explore; x != nil {
			x.ended(l, r, howDown)
		}
		l.w.c.rec.log(l.w.machine, "%s run %d ended: %s", r.name.task, r.name.run, howDown)
		l.endOthers(r, howDown)
	}
	return work
}
