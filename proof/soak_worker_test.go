package proof

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/waxwinghaven/waxwinghaven/agent"
	"github.com/waxwinghaven/waxwinghaven/resource"
	"github.com/waxwinghaven/waxwinghaven/runner"
	"github.com/waxwinghaven/waxwinghaven/standin"
)

const (
	// soakLongestLease is the longest lease that the platform's workers take. The control
	// lends half of it.
	soakLongestLease = 10 * time.Second
	// soakRoom is a worker's processors, in thousandths: for six to eight small tasks.
	soakRoom = 6000
	// soakBeat is the interval of a worker's heartbeats.
	soakBeat = 500 * time.Millisecond
	// soakBackAfter is how long a worker's next incarnation takes to come after a crash.
	soakBackAfter = 1500 * time.Millisecond
)

// soakAgent is an agent's process and the worker beside it, which stands in the test's own
// process behind an address of its own.
type soakAgent struct {
	*agentProcess
	name   string
	worker string // the address of the worker's interface
	// places are two addresses for the agent: a successor begins at the other one while its
	// predecessor is still there.
	places [2]*soakProcess
	local  [2]string // to which the worker announces itself
	at     atomic.Int32

	leaving  atomic.Pointer[string] // the incarnation that drains
	slow     atomic.Int64           // how much later each answer comes, in nanoseconds
	punctual atomic.Bool            // all calls are carried out and answered at once
	rng      *lockedRand
	server   *fasthttp.Server
	trace    *callTrace
	sequence map[string]uint64 // of the heartbeats, by incarnation; only announceLoop uses it
}

// lockedRand draws for calls that come side by side.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newLockedRand(seed int64) *lockedRand {
	return &lockedRand{rng: rand.New(rand.NewSource(seed))}
}

func (r *lockedRand) oneIn(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Intn(n) == 0
}

func (r *lockedRand) upTo(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.rng.Int63n(int64(d)))
}

// process returns the place that is the agent's now.
func (a *soakAgent) process() *soakProcess { return a.places[a.at.Load()] }

// callTrace writes down the calls that reach a worker, for tracing a finding.
type callTrace struct {
	begun time.Time
	mu    sync.Mutex
	file  *os.File
}

func newCallTrace(begun time.Time, dir, name string) (*callTrace, error) {
	f, err := os.Create(filepath.Join(dir, name+".calls"))
	return &callTrace{begun: begun, file: f}, err
}

func (t *callTrace) note(came time.Time, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintf(t.file, "%8.3f %8.3f %s\n", came.Sub(t.begun).Seconds(), time.Since(t.begun).Seconds(), fmt.Sprintf(format, args...))
}

// tracedWorker writes the calls down that are carried out at once.
type tracedWorker struct {
	runner.Worker
	trace *callTrace
	from  string // the agent's connection
}

func (w tracedWorker) Start(c runner.StartCall) (runner.Reply, error) {
	came := time.Now()
	r, err := w.Worker.Start(c)
	w.trace.note(came, "start %s run %d for %s token %d lease %d from %s: %v at %d, %v", c.Task, c.Run, c.Worker, c.Token, c.LeaseEndMS, w.from, r.Verdict, r.ClockMS, err)
	return r, err
}

func (w tracedWorker) Stop(c runner.StopCall) (runner.Reply, error) {
	came := time.Now()
	r, err := w.Worker.Stop(c)
	w.trace.note(came, "stop %s run %d for %s token %d from %s: %v at %d, %v", c.Task, c.Run, c.Worker, c.Token, w.from, r.Verdict, r.ClockMS, err)
	return r, err
}

func (w tracedWorker) Hold(c runner.HoldCall) (runner.HoldReply, error) {
	came := time.Now()
	r, err := w.Worker.Hold(c)
	w.trace.note(came, "hold for %s token %d lease %d cursor %d from %s: %v at %d, %d running, %d finished, %v", c.Worker, c.Token, c.LeaseEndMS, c.Cursor, w.from, r.Verdict, r.ClockMS, len(r.Running), len(r.Finished), err)
	return r, err
}

const (
	// Of so many answers one is lost, or is late by up to soakLateAnswer.
	soakLostAnswers = 80
	soakLateAnswers = 60
	soakLateAnswer  = 2500 * time.Millisecond
)

// serve answers the agent's calls: some are carried out late, some are carried out and
// answered late or not at all, and a worker that isn't there closes the connection.
func (a *soakAgent) serve(q *fasthttp.RequestCtx) {
	w := tracedWorker{a.calls, a.trace, q.RemoteAddr().String()}
	if a.punctual.Load() {
		w.Worker = a.host
	}
	if err := runner.Serve(w, q); err != nil {
		q.Error(err.Error(), fasthttp.StatusNotFound)
		return
	}
	if q.Response.StatusCode() != fasthttp.StatusOK {
		if string(q.Response.Body()) == errNoAnswer.Error() {
			time.Sleep(2 * runner.CallTimeout) // the caller has given up by then
		}
		drop(q)
		return
	}
	time.Sleep(time.Duration(a.slow.Load()))
	switch {
	case a.punctual.Load():
	case a.rng.oneIn(soakLostAnswers):
		drop(q)
	case a.rng.oneIn(soakLateAnswers):
		time.Sleep(a.rng.upTo(soakLateAnswer))
	}
}

// drop closes the connection without an answer.
func drop(q *fasthttp.RequestCtx) {
	q.HijackSetNoResponse(true)
	q.Hijack(func(net.Conn) {})
}

// listen serves the worker's interface.
func (a *soakAgent) listen() error {
	ln, err := net.Listen("tcp4", a.worker)
	if err != nil {
		return err
	}
	a.server = &fasthttp.Server{Handler: a.serve, Logger: noLog{}}
	go a.server.Serve(ln)
	return nil
}

// noLog drops the server's own lines.
type noLog struct{}

func (noLog) Printf(string, ...any) {}

// announceLoop sends the worker's heartbeats until the channel is closed. Both places of the
// agent are told while a predecessor and its successor are there.
func (a *soakAgent) announceLoop(stop <-chan struct{}) {
	client := &http.Client{Timeout: soakBeat}
	for {
		a.announce(client)
		select {
		case <-stop:
			return
		case <-time.After(soakBeat):
		}
	}
}

func (a *soakAgent) announce(client *http.Client) {
	r := a.host.Current()
	if r == nil {
		return
	}
	a.sequence[r.Name()]++
	leaving := a.leaving.Load()
	body, err := json.Marshal(agent.Announcement{Market: "vault", Service: "vault", Address: a.worker, Rack: "r", Slots: 1, Connections: 1,
		Leaving: leaving != nil && *leaving == r.Name(),
		Runs:    &agent.RunsAnnouncement{Address: a.worker, Incarnation: r.Name(), Capacity: resource.Vector{MilliCPU: soakRoom, MemoryMB: 4000}, Sequence: a.sequence[r.Name()]}})
	if err != nil {
		panic(err)
	}
	var posts sync.WaitGroup
	for _, addr := range a.local {
		posts.Go(func() { post(client, addr, body) })
	}
	posts.Wait()
}

// post sends a heartbeat. One that isn't taken is followed by the next.
func post(client *http.Client, addr string, body []byte) {
	resp, err := client.Post("http://"+addr+"/announce", "application/json", bytes.NewReader(body))
	if err != nil {
		return
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body) // only told in the panic
	if resp.StatusCode == http.StatusBadRequest {
		panic(errors.New("an announcement is refused: " + string(b)))
	}
}

// newSoakWorker returns an agent's worker, which isn't listening yet.
func newSoakWorker(name, address string, rng *rand.Rand, sameID bool) *soakAgent {
	host := standin.NewHost(name, soakBackAfter, soakRoom)
	host.SetLongestLease(soakLongestLease)
	calls := &lateWorker{Host: host, keepsID: sameID, lists: *soakLate, rng: rand.New(rand.NewSource(rng.Int63())), sent: make(map[string]tokenSeen), asked: make(map[string][]tokenSeen)}
	return &soakAgent{agentProcess: &agentProcess{host: host, calls: calls}, name: name, worker: address, rng: newLockedRand(rng.Int63()), sequence: make(map[string]uint64)}
}
