// Package entry implements the process that callers connect to. It finds the service of a
// request, chooses an agent, retries where a retry is safe, and reports the outcome: done, not
// run or unknown. Jobs is its gateway for callers' jobs.
package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/routing"
	"github.com/waxwinghaven/waxwinghaven/settings"
	"github.com/waxwinghaven/waxwinghaven/transport"
	"golang.org/x/sync/errgroup"
)

// part prefixes the entry's log lines and labels its counters.
const part = "entry"

// Entry is one entry instance.
type Entry struct {
	set    *settings.Settings
	rpc    *transport.Client
	ctl    *control.Client
	server *transport.HTTPServer

	mu      sync.Mutex
	table   *routing.Table
	budgets map[string]*routing.Budget // by market/service
	rng     *rand.Rand

	started        time.Time
	lastSync       atomic.Int64 // when the latest successful sync was sent, nanoseconds since started
	synced         atomic.Bool
	draining       atomic.Bool
	requests       atomic.Int64
	pendingSettles sync.WaitGroup
	ids            ids
	lastErr        string
}

// New returns an entry that is not running yet.
func New(set *settings.Settings) (*Entry, error) {
	tlsConfig, err := transport.LoadTLS(transport.KeysOf(set))
	if err != nil {
		return nil, err
	}
	e := &Entry{set: set, rpc: transport.NewClient(tlsConfig, set.Instance.IP), table: routing.NewTable(set.Instance.DataCentre),
		budgets: make(map[string]*routing.Budget), rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), started: time.Now(), ids: newIDs(set.Instance.Name)}
	e.ctl = control.NewClient(part, e.rpc, set.ControlAddresses, rand.IntN(len(set.ControlAddresses())))
	e.server = transport.NewHTTPServer(part, transport.Callers, e.serve, set.Entry.MaxBody)
	return e, nil
}

// Run serves until ctx ends. It then reports to the load balancer that it is not ready,
// continues to serve for the configured time, and returns when all requests have ended or the
// drain time is over, and all claims are settled.
func (e *Entry) Run(ctx context.Context) error {
	ln, err := transport.Listen(e.set.Address(e.set.Entry.Port))
	if err != nil {
		return err
	}
	health, err := transport.Listen(e.set.Address(e.set.Entry.HealthPort))
	if err != nil {
		return errors.Join(err, ln.Close())
	}
	logrus.WithFields(logrus.Fields{"address": ln.Addr(), "health": health.Addr()}).Info("entry: Started.")
	serveCtx, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return transport.ServeHTTP(serveCtx, e.server, ln) })
	g.Go(func() error {
		return transport.ServeHTTP(serveCtx, transport.NewHTTPServer("health", transport.Few, e.serveHealth, healthBody), health)
	})
	g.Go(func() error { return e.syncLoop(serveCtx) })
	g.Go(func() error {
		<-ctx.Done()
		e.drain()
		stopServing()
		return nil
	})
	err = g.Wait()
	e.pendingSettles.Wait()
	return err
}

const (
	healthBody = 1 << 10 // bytes
	drainPoll  = 20 * time.Millisecond
)

// drain waits, within the drain time, until the load balancer has had time to stop sending
// requests and all requests have ended.
// Meanwhile answers carry "Connection: close", so that callers close their connections
// themselves and none is reset.
func (e *Entry) drain() {
	e.draining.Store(true)
	leave := time.Now().Add(e.set.Entry.LeaveWait.Duration)
	bound := time.Now().Add(e.set.Instance.Drain.Duration)
	for time.Now().Before(bound) && (time.Now().Before(leave) || e.requests.Load() > 0) {
		time.Sleep(drainPoll)
	}
	logrus.WithField("in_progress", e.requests.Load()).Info("entry: Drained.")
}

func (e *Entry) serveHealth(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		if e.draining.Load() || !e.synced.Load() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	case "/metrics":
		metrics.WritePrometheus(ctx, true)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// syncLoop periodically fetches changed markets and members from a control replica that is in
// contact with the majority.
func (e *Entry) syncLoop(ctx context.Context) error {
	tick := time.NewTicker(e.set.Entry.Sync.Duration)
	defer tick.Stop()
	for {
		e.sync()
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

const syncTimeout = 3 * time.Second

func (e *Entry) sync() {
	e.mu.Lock()
	req := control.Sync{Instance: e.set.Instance.Name, Revision: e.table.Revision(), Index: e.table.Index()}
	e.mu.Unlock()
	sent := time.Since(e.started)
	var a control.SyncAnswer
	if err := e.ctl.Call(control.PathSync, syncTimeout, &req, &a); err != nil {
		e.logSyncError(err)
		return
	}
	e.lastErr = ""
	e.mu.Lock()
	e.table.Update(a.Revision, a.Index, a.Markets, a.Members)
	e.mu.Unlock()
	e.lastSync.Store(int64(sent))
	e.synced.Store(true)
}

func (e *Entry) logSyncError(err error) {
	r, ok := refusal.Of(err)
	if ok && e.lastErr != string(r.Code) {
		e.lastErr = string(r.Code)
		logrus.Warnf("entry: Could not sync with the control: %v.", err)
	}
}

// cutOff reports whether the latest successful sync is so old that the entry can't know which
// configuration is in force.
func (e *Entry) cutOff() bool {
	return time.Since(e.started)-time.Duration(e.lastSync.Load()) > e.set.Entry.CutOffAfter.Duration
}

// budget returns the retry budget of the route's service. The caller holds e.mu.
func (e *Entry) budget(route routing.Route) *routing.Budget {
	key := route.Market + "/" + route.Service.Name
	b := e.budgets[key]
	if b == nil {
		b = routing.NewBudget()
		e.budgets[key] = b
	}
	return b
}
