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
	// soakLongestLease is the longest lease that the platform's workers accept. The control
	// grants half of it.
	soakLongestLease = 10 * time.Second
	// soakCapacity is a worker's capacity in thousandths of a processor: enough for six to eight
	// small tasks.
	soakCapacity = 6000
	// soakHeartbeat is the interval of a worker's heartbeats.
	soakHeartbeat = 500 * time.Millisecond
	// soakRestartDelay is the time from a worker's crash until its next incarnation starts.
	soakRestartDelay = 1500 * time.Millisecond
)

// soakAgent is an agent's process and the worker beside it, which runs in the test's process and
// listens on an address of its own.
type soakAgent struct {
	*agentProcess
	name          string
	workerAddress string
	// processes are the agent's processes at two addresses: a successor starts at one while its
	// predecessor is still running at the other.
	processes         [2]*soakProcess
	announceAddresses [2]string // local addresses of the processes, for the worker's announcements
	active            atomic.Int32

	leaving     atomic.Pointer[string] // name of the incarnation that drains
	answerDelay atomic.Int64           // delay of each answer in nanoseconds
	noDelays    atomic.Bool            // all calls are carried out and answered without delay
	rng         *lockedRand
	server      *fasthttp.Server
	trace       *callTrace
	sequence    map[string]uint64 // sequence numbers of heartbeats by incarnation, for announceLoop
}

// lockedRand is a source of random numbers for concurrent calls.
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

func (r *lockedRand) durationBelow(limit time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.rng.Int63n(int64(limit)))
}

// process returns the agent's current process.
func (a *soakAgent) process() *soakProcess { return a.processes[a.active.Load()] }

// callTrace logs the calls that reach a worker, for the analysis of findings.
type callTrace struct {
	started time.Time
	mu      sync.Mutex
	file    *os.File
}

func newCallTrace(started time.Time, dir, name string) (*callTrace, error) {
	f, err := os.Create(filepath.Join(dir, name+".calls"))
	return &callTrace{started: started, file: f}, err
}

func (t *callTrace) logf(received time.Time, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintf(t.file, "%8.3f %8.3f %s\n", received.Sub(t.started).Seconds(), time.Since(t.started).Seconds(), fmt.Sprintf(format, args...))
}

// tracedWorker logs the calls that are carried out without delay.
type tracedWorker struct {
	runner.Worker
	trace *callTrace
	from  string // remote address of the agent's connection
}

func (w tracedWorker) Start(c runner.StartCall) (runner.Reply, error) {
	received := time.Now()
	r, err := w.Worker.Start(c)
	w.trace.logf(received, "start %s run %d for %s token %d lease %d from %s: %v at %d, %v", c.Task, c.Run, c.Worker, c.Token, c.LeaseEndMS, w.from, r.Verdict, r.ClockMS, err)
	return r, err
}

func (w tracedWorker) Stop(c runner.StopCall) (runner.Reply, error) {
	received := time.Now()
	r, err := w.Worker.Stop(c)
	w.trace.logf(received, "stop %s run %d for %s token %d from %s: %v at %d, %v", c.Task, c.Run, c.Worker, c.Token, w.from, r.Verdict, r.ClockMS, err)
	return r, err
}

func (w tracedWorker) Hold(c runner.HoldCall) (runner.HoldReply, error) {
	received := time.Now()
	r, err := w.Worker.Hold(c)
	w.trace.logf(received, "hold for %s token %d lease %d cursor %d from %s: %v at %d, %d running, %d finished, %v", c.Worker, c.Token, c.LeaseEndMS, c.Cursor, w.from, r.Verdict, r.ClockMS, len(r.Running), len(r.Finished), err)
	return r, err
}

const (
	// One answer in soakLostAnswerOdds is lost; one in soakLateAnswerOdds is delayed by up to
	// soakMaxAnswerDelay.
	soakLostAnswerOdds = 80
	soakLateAnswerOdds = 60
	soakMaxAnswerDelay = 2500 * time.Millisecond
)

// serve handles the agent's calls: some are carried out late, some are carried out but answered
// late or not at all. While no incarnation is running it closes the connection.
func (a *soakAgent) serve(q *fasthttp.RequestCtx) {
	w := tracedWorker{a.calls, a.trace, q.RemoteAddr().String()}
	if a.noDelays.Load() {
		w.Worker = a.host
	}
	if err := runner.Serve(w, q); err != nil {
		q.Error(err.Error(), fasthttp.StatusNotFound)
		return
	}
	if q.Response.StatusCode() != fasthttp.StatusOK {
		if string(q.Response.Body()) == errNoAnswer.Error() {
			time.Sleep(2 * runner.CallTimeout) // the caller's time-out has passed by then
		}
		drop(q)
		return
	}
	time.Sleep(time.Duration(a.answerDelay.Load()))
	switch {
	case a.noDelays.Load():
	case a.rng.oneIn(soakLostAnswerOdds):
		drop(q)
	case a.rng.oneIn(soakLateAnswerOdds):
		time.Sleep(a.rng.durationBelow(soakMaxAnswerDelay))
	}
}

// drop closes the connection without an answer.
func drop(q *fasthttp.RequestCtx) {
	q.HijackSetNoResponse(true)
	q.Hijack(func(net.Conn) {})
}

// listen serves the worker's interface.
func (a *soakAgent) listen() error {
	ln, err := net.Listen("tcp4", a.workerAddress)
	if err != nil {
		return err
	}
	a.server = &fasthttp.Server{Handler: a.serve, Logger: noLog{}}
	go a.server.Serve(ln)
	return nil
}

// noLog discards the server's log lines.
type noLog struct{}

func (noLog) Printf(string, ...any) {}

// announceLoop sends the worker's heartbeats until the channel is closed. They go to both
// addresses of the agent, since a predecessor and its successor may be running.
func (a *soakAgent) announceLoop(stop <-chan struct{}) {
	client := &http.Client{Timeout: soakHeartbeat}
	for {
		a.announce(client)
		select {
		case <-stop:
			return
		case <-time.After(soakHeartbeat):
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
	body, err := json.Marshal(agent.Announcement{Market: "vault", Service: "vault", Address: a.workerAddress, Rack: "r", Slots: 1, Connections: 1,
		Leaving: leaving != nil && *leaving == r.Name(),
		Runs:    &agent.RunsAnnouncement{Address: a.workerAddress, Incarnation: r.Name(), Capacity: resource.Vector{MilliCPU: soakCapacity, MemoryMB: 4000}, Sequence: a.sequence[r.Name()]}})
	if err != nil {
		panic(err)
	}
	var posts sync.WaitGroup
	for _, addr := range a.announceAddresses {
		posts.Go(func() { post(client, addr, body) })
	}
	posts.Wait()
}

// post sends a heartbeat. It is not retried: the next one follows.
func post(client *http.Client, addr string, body []byte) {
	resp, err := client.Post("http://"+addr+"/announce", "application/json", bytes.NewReader(body))
	if err != nil {
		return
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body) // only used in the panic message
	if resp.StatusCode == http.StatusBadRequest {
		panic(errors.New("an announcement is refused: " + string(b)))
	}
}

// newSoakWorker returns an agent with a worker that isn't listening yet. The agent has no
// processes yet.
func newSoakWorker(name, address string, rng *rand.Rand, sameID bool) *soakAgent {
	host := standin.NewHost(name, soakRestartDelay, soakCapacity)
	host.SetLongestLease(soakLongestLease)
	calls := &lateWorker{Host: host, keepsID: sameID, listOdds: *soakLateLists, rng: rand.New(rand.NewSource(rng.Int63())), lateStarts: make(map[string]tokenSeen), seen: make(map[string][]tokenSeen)}
	return &soakAgent{agentProcess: &agentProcess{host: host, calls: calls}, name: name, workerAddress: address, rng: newLockedRand(rng.Int63()), sequence: make(map[string]uint64)}
}
