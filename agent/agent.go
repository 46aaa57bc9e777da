package agent

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"github.com/waxwinghaven/waxwinghaven/admission"
	"github.com/waxwinghaven/waxwinghaven/clock"
	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/market"
	"github.com/waxwinghaven/waxwinghaven/membership"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/settings"
	"github.com/waxwinghaven/waxwinghaven/transport"
	"github.com/waxwinghaven/waxwinghaven/worker"
	"golang.org/x/sync/errgroup"
)

// part prefixes the agent's log lines and labels its counters.
const part = "agent"

const (
	localBody     = 1 << 20 // bytes
	workerTimeout = time.Second
)

// Agent runs beside one upstream and one worker on the same instance.
type Agent struct {
	set    *settings.Settings
	tls    *tls.Config // nil for plain links
	rpc    *transport.Client
	plain  *transport.Client // to the upstream and the worker, on the same instance
	ctl    *control.Client
	server *transport.HTTPServer
	meter  *meter

	mu            sync.Mutex
	announce      *Announcement // the latest, nil before the first
	lastHeartbeat time.Time
	unresponsive  bool // no heartbeat within the announcement time-out
	withdrawn     bool
	gate          *admission.Gate
	upstream      *fasthttp.HostClient
	markets       map[string]*market.View
	revision      uint64

	leaseEnd atomic.Int64 // nanoseconds since started, on the monotonic clock
	started  time.Time
	lastErr  string

	ledger *Ledger // used by the renewal loop only
	runs   *runs
}

// New returns an agent that is not running yet.
func New(set *settings.Settings) (*Agent, error) {
	tlsConfig, err := transport.LoadTLS(transport.KeysOf(set))
	if err != nil {
		return nil, err
	}
	g := &Agent{set: set, tls: tlsConfig, rpc: transport.NewClient(tlsConfig, set.Instance.IP), plain: transport.NewClient(nil, set.Instance.IP),
		meter: newMeter(), gate: admission.NewGate(), markets: make(map[string]*market.View), started: time.Now(), ledger: NewLedger()}
	g.ctl = control.NewClient(part, g.rpc, set.ControlAddresses, firstReplica(set.Instance.Name))
	g.runs = &runs{agent: g}
	g.server = transport.NewHTTPServer(part, transport.Processes, g.serveEntry, set.Agent.MaxBody)
	g.server.Shed = func(q *fasthttp.RequestCtx) { g.refuse(q, admission.Verdict{Code: refusal.NoMemory}) }
	return g, nil
}

// firstReplica returns the index of the control replica to call first. It depends on the
// agent's name, so that agents spread over the replicas.
func firstReplica(name string) int {
	n := 0
	for _, b := range []byte(name) {
		n += int(b)
	}
	return n
}

// Run serves until ctx ends. It then refuses new requests, waits for those in progress and
// reports to the control that the instance leaves.
func (g *Agent) Run(ctx context.Context) error {
	ln, err := transport.Listen(g.set.Address(g.set.Agent.Port))
	if err != nil {
		return err
	}
	local, err := transport.Listen(g.set.Address(g.set.Agent.LocalPort))
	if err != nil {
		return errors.Join(err, ln.Close())
	}
	logrus.WithFields(logrus.Fields{"address": ln.Addr(), "local": local.Addr()}).Info("agent: Started.")
	serveCtx, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	g.runs.enable(serveCtx)
	defer g.runs.shutdown()
	eg, ctx := errgroup.WithContext(ctx)
	eg.Go(func() error { return transport.ServeHTTP(serveCtx, g.server, transport.Secure(part, ln, g.tls)) })
	eg.Go(func() error {
		return transport.ServeHTTP(serveCtx, transport.NewHTTPServer("announce", transport.Few, g.serveLocal, localBody), local)
	})
	eg.Go(func() error { return g.renewLoop(serveCtx) })
	eg.Go(func() error {
		<-ctx.Done()
		g.drain()
		stopServing()
		return nil
	})
	return eg.Wait()
}

// drain closes the gate, so that entries go to other agents immediately. It waits for the
// requests in progress and long enough for a renewal to report the withdrawal.
func (g *Agent) drain() {
	g.withdraw()
	deadline := time.Now().Add(g.set.Instance.Drain.Duration)
	leave := time.Now().Add(3 * g.set.Agent.Renew.Duration)
	for time.Now().Before(deadline) && (g.inProgress() > 0 || time.Now().Before(leave)) {
		time.Sleep(drainPoll)
	}
	logrus.WithField("in_progress", g.inProgress()).Info("agent: Drained.")
}

const drainPoll = 20 * time.Millisecond

func (g *Agent) inProgress() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Used()
}

// handleAnnouncement processes a heartbeat of the upstream.
func (g *Agent) handleAnnouncement(a Announcement, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.announce == nil || g.announce.Address != a.Address {
		logrus.WithFields(logrus.Fields{"market": a.Market, "service": a.Service, "upstream": a.Address}).Info("agent: An upstream announced itself.")
	}
	g.announce, g.lastHeartbeat, g.unresponsive = &a, now, false
	if a.Leaving || g.withdrawn {
		wakeDecided(g.gate.Close(refusal.Leaving))
		return
	}
	g.dialUpstream(a)
	wakeDecided(g.gate.Open(a.Slots, a.running()))
}

// leaving reports whether the agent is withdrawn or its upstream is leaving.
func (g *Agent) leaving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.withdrawn || (g.announce != nil && g.announce.Leaving)
}

// dialUpstream keeps one connection pool to the upstream, with the limit that the upstream
// announced.
func (g *Agent) dialUpstream(a Announcement) {
	if g.upstream != nil && g.upstream.Addr == a.Address && g.upstream.MaxConns == a.Connections {
		return
	}
	g.upstream = transport.NewHost(a.Address, g.plain.Dialer(), a.Connections)
	g.upstream.MaxIdleConnDuration, g.upstream.StreamResponseBody, g.upstream.DisablePathNormalizing = upstreamIdle, true, true
}

// upstreamIdle is shorter than the idle time-out of common servers: a request sent on a
// connection that the upstream is closing would end with an unknown outcome.
const upstreamIdle = 4 * time.Second

// withdraw makes the agent refuse all new requests, even from entries that have not yet
// learned of the withdrawal.
func (g *Agent) withdraw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.withdrawn = true
	wakeDecided(g.gate.Close(refusal.Leaving))
}

// wakeDecided wakes the requests whose tickets were decided.
func wakeDecided(tickets []*admission.Ticket) {
	for _, t := range tickets {
		close(t.Ready)
	}
}

// expireUpstream closes the gate when the upstream's heartbeats have stopped. The worker may
// still run tasks, so the announcement with its address is kept.
func (g *Agent) expireUpstream(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.announce == nil || g.unresponsive || now.Sub(g.lastHeartbeat) < g.set.Agent.AnnounceTimeout.Duration {
		return
	}
	logrus.WithField("upstream", g.announce.Address).Warn("agent: The upstream stopped its heartbeats.")
	g.unresponsive = true
	wakeDecided(g.gate.Close(refusal.NoUpstream))
}

// renewLoop periodically reads the worker's report, renews its lease and sends it commands.
func (g *Agent) renewLoop(ctx context.Context) error {
	tick := time.NewTicker(g.set.Agent.Renew.Duration)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			g.renew() // reports the withdrawal in case drain ended before a renewal did
			return nil
		case <-tick.C:
			g.expireUpstream(time.Now())
			g.renew()
			if len(g.ledger.Ends()) > 0 {
				// The worker has confirmed a stop or an end. Other tasks may wait for
				// the freed capacity, so report it without waiting for the next tick.
				g.renew()
			}
		}
	}
}

// renew does one round of report, renewal and commands. The worker's clock is read before the
// renewal is sent and the lease counts from that reading: a delay or a suspended process in
// between only makes the worker's lease end earlier than the control assumes.
//
// Nothing is sent before the first announcement. A restarted agent does not know its worker's
// boot yet; a renewal without it would mean to the control that the worker had restarted, and
// its tasks would be started elsewhere while they still run here.
func (g *Agent) renew() {
	workerAddr, known := g.workerAddress()
	if !known {
		return
	}
	report, ok := g.readWorker(workerAddr)
	if !ok && workerAddr != "" {
		return // a lease can't be given without the worker's clock
	}
	sent, asked := time.Now(), clock.Now()
	req := g.renewal(report)
	var a control.RenewAnswer
	if err := g.ctl.Call(control.PathRenew, renewTimeout, &req, &a); err != nil {
		g.logRenewError(err)
		return
	}
	g.lastErr = ""
	g.leaseEnd.Store(int64(sent.Add(time.Duration(a.LeaseMS) * time.Millisecond).Sub(g.started)))
	g.storeMarkets(a)
	if a.Changed {
		g.ledger.SetOrders(req.Member.Boot, a.Orders)
	}
	g.ledger.SetThrottled(a.Throttle)
	// An answer older than MaxConfirmationAge no longer confirms that the data centre is in
	// service.
	g.ledger.SetCordoned(a.Cordoned || clock.Since(asked) > g.set.Agent.MaxConfirmationAge())
	if workerAddr != "" {
		g.syncWorker(workerAddr, report.ClockMS+a.LeaseMS)
	}
}

const renewTimeout = 3 * time.Second

func (g *Agent) logRenewError(err error) {
	e, ok := refusal.Of(err)
	if !ok {
		return
	}
	refusal.Count("renewal", e.Code)
	if g.lastErr != string(e.Code) {
		g.lastErr = string(e.Code)
		logrus.Warnf("agent: Could not renew the lease: %v.", err)
	}
}

func (g *Agent) leaseValid(now time.Time) bool { return int64(now.Sub(g.started)) < g.leaseEnd.Load() }

func (g *Agent) workerAddress() (addr string, known bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.announce == nil {
		return "", false
	}
	return g.announce.Worker, true
}

func (g *Agent) readWorker(addr string) (worker.Report, bool) {
	var r worker.Report
	if addr == "" {
		return r, false
	}
	if err := g.callWorker(addr, fasthttp.MethodGet, worker.PathReport, nil, &r); err != nil {
		logrus.Warnf("agent: Could not read the worker's report: %v.", err)
		return r, false
	}
	g.ledger.SetReport(r)
	return r, true
}

func (g *Agent) syncWorker(addr string, untilMS int64) {
	var r worker.Report
	cmd := g.ledger.Commands(untilMS)
	if err := g.callWorker(addr, fasthttp.MethodPost, worker.PathSync, &cmd, &r); err != nil {
		logrus.Warnf("agent: Could not send commands to the worker: %v.", err)
		return
	}
	g.ledger.SetReport(r)
}

func (g *Agent) callWorker(addr, method, path string, body, out any) error {
	status, answer, err := transport.CallJSON(g.plain.Host(addr), transport.JSONCall{Method: method, Path: path, Body: body, Timeout: workerTimeout})
	if err != nil {
		return err
	}
	if status != fasthttp.StatusOK {
		return errors.New("status " + fasthttp.StatusMessage(status))
	}
	return json.Unmarshal(answer, out)
}

func (g *Agent) renewal(report worker.Report) control.Renew {
	ends := g.ledger.Ends()
	g.meter.recordEnds(ends, g.ledger.Cordoned())
	g.mu.Lock()
	defer g.mu.Unlock()
	load := 0.0
	if g.gate.Slots() > 0 {
		load = float64(g.gate.Used()) / float64(g.gate.Slots())
	}
	return control.Renew{Member: g.member(report), Digest: g.ledger.Digest(), Ends: ends,
		Usage: g.meter.read(time.Now(), load, g.ledger.Jobs()), Revision: g.revision}
}

// noWorker is reported as the boot of an instance without a worker.
const noWorker = "none"

// member returns the instance's membership record for a renewal. The caller holds g.mu.
func (g *Agent) member(report worker.Report) membership.Member {
	m := membership.Member{Agent: g.set.Instance.Name, Address: g.set.Address(g.set.Agent.Port),
		DataCentre: g.set.Instance.DataCentre, Boot: report.Boot, Capacity: report.Capacity}
	if m.Boot == "" {
		m.Boot = noWorker
	}
	a := g.announce
	m.Rack, m.Market, m.Service, m.Slots, m.Conns = a.Rack, a.Market, a.Service, a.Slots, a.Connections
	m.Withdrawn = g.withdrawn || g.unresponsive || a.Leaving
	m.Evacuate = a.Leaving
	return m
}

// storeMarkets stores changed markets. An older revision never replaces a newer one.
func (g *Agent) storeMarkets(a control.RenewAnswer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, v := range a.Markets {
		if old := g.markets[v.Market.Name]; old == nil || old.Revision < v.Revision {
			g.markets[v.Market.Name] = v
		}
	}
	g.revision = max(g.revision, a.Revision)
}
