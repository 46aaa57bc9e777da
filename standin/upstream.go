package standin

import (
	"bufio"
	"context"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/waxwinghaven/waxwinghaven/agent"
	"github.com/waxwinghaven/waxwinghaven/resource"
	"github.com/waxwinghaven/waxwinghaven/transport"
)

// TokenHeader carries a token that the caller chose. The upstream echoes it in its answer and
// counts it in its record.
const TokenHeader = "X-Token"

// Fault is a kind of misbehaviour of an upstream.
type Fault int32

// Faults of an upstream.
const (
	FaultNone      Fault = iota
	FaultError           // answers 500
	FaultHang            // answers after hangTime
	FaultTruncated       // sends half of the body, then closes the connection
	FaultNoLength        // sends an answer without Content-Length
)

// UpstreamOptions configures a stand-in instance.
type UpstreamOptions struct {
	Market, Service string
	Address         string // IP address and port of the upstream
	WorkerAddress   string // empty for no worker
	AgentLocal      string // local address of the agent, for announcements
	Rack            string
	Capacity        resource.Vector
	// RunsCapacity is the capacity for tasks of callers' jobs, zero for a worker that runs none.
	RunsCapacity resource.Vector
	Slots, Conns int
	// Work is the time that a request takes if it has no "ms" argument.
	Work time.Duration
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval time.Duration
	// Record is a file to which each token is appended as a line when its request runs, so that
	// the record outlives the process. Empty for none.
	Record string
}

// Upstream is a stand-in for an instance of a service.
type Upstream struct {
	opts    UpstreamOptions
	Fault   atomic.Int32
	running atomic.Int32
	// MaxRunning is the largest number of requests that were in progress at the same time.
	MaxRunning atomic.Int32
	leaving    atomic.Bool
	muted      atomic.Bool // sends no heartbeats
	mu         sync.Mutex
	runs       map[string]int
	record     *os.File
	slots      chan struct{} // limits concurrent work; further requests wait
	Worker     *Server
	Tasks      *Runs // runs tasks of callers' jobs, nil for none
	sequence   uint64
	client     *transport.Client
}

// NewUpstream returns an instance that is not running yet.
func NewUpstream(o UpstreamOptions) *Upstream {
	host, _, _ := net.SplitHostPort(o.Address)
	u := &Upstream{opts: o, runs: make(map[string]int), slots: make(chan struct{}, max(o.Slots, 1)), Worker: NewServer(NewWorker(o.Capacity)), client: transport.NewClient(nil, host)}
	if o.RunsCapacity != (resource.Vector{}) {
		u.Tasks = NewRuns(u.Worker.Worker.Boot)
		u.Worker.Runs = u.Tasks
	}
	return u
}

// Runs returns the number of times that each token was run.
func (u *Upstream) Runs() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[string]int, len(u.runs))
	for k, v := range u.runs {
		out[k] = v
	}
	return out
}

// Leave makes the instance announce that it is leaving, so that it gets no more requests.
func (u *Upstream) Leave() { u.leaving.Store(true) }

// Mute stops the heartbeats, as a failing instance does.
func (u *Upstream) Mute() { u.muted.Store(true) }

// Run serves requests and sends heartbeats until the context ends.
func (u *Upstream) Run(ctx context.Context) error {
	if u.opts.Record != "" {
		f, err := os.OpenFile(u.opts.Record, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		defer f.Close()
		u.record = f
	}
	ln, err := transport.Listen(u.opts.Address)
	if err != nil {
		return err
	}
	if u.opts.WorkerAddress != "" {
		wln, err := transport.Listen(u.opts.WorkerAddress)
		if err != nil {
			ln.Close()
			return err
		}
		go transport.ServeHTTP(ctx, transport.NewHTTPServer("worker", transport.Processes, u.Worker.Serve, maxBodyBytes), wln)
	}
	go u.announceLoop(ctx)
	return transport.ServeHTTP(ctx, transport.NewHTTPServer("upstream", transport.Processes, u.serve, maxBodyBytes), ln)
}

const maxBodyBytes = 64 << 20

func (u *Upstream) announceLoop(ctx context.Context) {
	tick := time.NewTicker(u.opts.HeartbeatInterval)
	defer tick.Stop()
	for {
		if !u.muted.Load() {
			u.announce()
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (u *Upstream) announce() {
	running := int(u.running.Load())
	a := agent.Announcement{Market: u.opts.Market, Service: u.opts.Service, Address: u.opts.Address, Rack: u.opts.Rack,
		Worker: u.opts.WorkerAddress, Capacity: u.opts.Capacity, Slots: u.opts.Slots, Connections: u.opts.Conns, Running: &running, Leaving: u.leaving.Load()}
	if u.Tasks != nil {
		u.sequence++
		a.Runs = &agent.RunsAnnouncement{Address: u.opts.WorkerAddress, Incarnation: u.Tasks.Name(), Capacity: u.opts.RunsCapacity, Sequence: u.sequence}
	}
	// A failed announcement is not retried: the next heartbeat follows.
	transport.CallJSON(u.client.Host(u.opts.AgentLocal), transport.JSONCall{Path: "/announce", Body: &a, Timeout: time.Second})
}

func (u *Upstream) serve(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/standin/runs":
		transport.WriteJSON(ctx, fasthttp.StatusOK, u.Runs())
		return
	case "/standin/most":
		transport.WriteJSON(ctx, fasthttp.StatusOK, u.MaxRunning.Load())
		return
	case "/standin/fault":
		u.Fault.Store(int32(ctx.QueryArgs().GetUintOrZero("n")))
		return
	case "/standin/leave":
		u.Leave()
		return
	}
	n := u.running.Add(1)
	defer u.running.Add(-1)
	for most := u.MaxRunning.Load(); n > most && !u.MaxRunning.CompareAndSwap(most, n); most = u.MaxRunning.Load() {
	}
	u.work(ctx)
}

const hangTime = time.Minute

func (u *Upstream) work(ctx *fasthttp.RequestCtx) {
	token := string(ctx.Request.Header.Peek(TokenHeader))
	if token != "" {
		u.mu.Lock()
		u.runs[token]++
		if u.record != nil {
			u.record.WriteString(token + "\n")
		}
		u.mu.Unlock()
	}
	wait := u.opts.Work
	if ms, err := ctx.QueryArgs().GetUint("ms"); err == nil {
		wait = time.Duration(ms) * time.Millisecond
	}
	u.slots <- struct{}{}
	if wait > 0 {
		time.Sleep(wait)
	}
	<-u.slots
	body := u.body(ctx, token)
	switch Fault(u.Fault.Load()) {
	case FaultError:
		ctx.Error("this upstream fails everything", fasthttp.StatusInternalServerError)
	case FaultHang:
		time.Sleep(hangTime)
	case FaultTruncated:
		sendTruncated(ctx, len(body), body[:len(body)/2])
	case FaultNoLength:
		sendWithoutLength(ctx, body)
	default:
		ctx.SetBodyString(body)
	}
}

// body returns a line with the token, followed by as many bytes as the argument "size" asks for.
func (u *Upstream) body(ctx *fasthttp.RequestCtx, token string) string {
	size := ctx.QueryArgs().GetUintOrZero("size")
	if size == 0 {
		return "answer to " + token + "\n"
	}
	b := append([]byte("answer to "+token+"\n"), make([]byte, size)...)
	return string(b)
}

func sendTruncated(ctx *fasthttp.RequestCtx, length int, half string) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		w := bufio.NewWriter(c)
		w.WriteString("HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n" + half)
		w.Flush()
	})
}

func sendWithoutLength(ctx *fasthttp.RequestCtx, body string) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		w := bufio.NewWriter(c)
		w.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body)
		w.Flush()
	})
}
