// Package daemon runs the roles that a settings file configures in one process.
package daemon

import (
	"context"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"github.com/waxwinghaven/waxwinghaven/agent"
	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/entry"
	"github.com/waxwinghaven/waxwinghaven/platform"
	"github.com/waxwinghaven/waxwinghaven/settings"
	"github.com/waxwinghaven/waxwinghaven/transport"
	"golang.org/x/sync/errgroup"
)

// Exit codes of the daemon.
const (
	ExitOK       = 0
	ExitFailed   = 1 // a role ended with an error
	ExitSettings = 2 // the settings were refused
	ExitForced   = 3 // a second signal ended it immediately
)

// SetupLog applies the log settings.
func SetupLog(l settings.Log) {
	level, err := logrus.ParseLevel(l.Level)
	if err == nil {
		logrus.SetLevel(level)
	}
	if l.Format == "json" {
		// Log collectors read structured lines from standard output. A slow reader must
		// not delay requests.
		logOut = newLogWriter(os.Stdout)
		logrus.SetOutput(logOut)
		logrus.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	} else {
		logrus.SetFormatter(&logrus.TextFormatter{FullTimestamp: true})
	}
}

// SignalContext returns a context that the first SIGTERM or SIGINT cancels. A
// second one exits the process immediately.
func SignalContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-ch
		logrus.Info("daemon: Shutting down. A second signal exits immediately.")
		cancel()
		<-ch
		os.Exit(ExitForced)
	}()
	return ctx
}

// Run runs the roles until the context ends or one of them fails.
//
// The roles stop in the order in which requests pass through them: an entry first, so
// that the agent and the control that it needs are still available while it drains.
func Run(ctx context.Context, set *settings.Settings) error {
	limitMemory(set)
	limitClients(set)
	g, ctx := errgroup.WithContext(ctx)
	if set.Instance.MetricsPort != 0 {
		g.Go(func() error { return serveMetrics(ctx, set) })
	}
	ended := ctx
	if set.Entry != nil {
		run, err := entryRole(set)
		if err != nil {
			return err
		}
		ended = startRole(g, ended, run)
	}
	if set.Agent != nil {
		run, err := agentRole(set)
		if err != nil {
			return err
		}
		ended = startRole(g, ended, run)
	}
	if set.Control != nil {
		run, err := controlRole(set)
		if err != nil {
			return err
		}
		startRole(g, ended, run)
	}
	return g.Wait()
}

// role runs until its context ends.
type role func(context.Context) error

func entryRole(set *settings.Settings) (role, error) {
	if set.Platform != nil {
		return func(ctx context.Context) error { return platform.RunEntry(ctx, set) }, nil
	}
	e, err := entry.New(set)
	if err != nil {
		return nil, err
	}
	return e.Run, nil
}

func agentRole(set *settings.Settings) (role, error) {
	if set.Platform != nil {
		return func(ctx context.Context) error { return platform.RunAgent(ctx, set) }, nil
	}
	a, err := agent.New(set)
	if err != nil {
		return nil, err
	}
	return a.Run, nil
}

// syncProcessors is the minimum GOMAXPROCS of a control replica, also on an instance with one
// processor. A goroutine that syncs the disk usually holds its processor for the whole sync:
// without a second one, heartbeats and lease renewals go unanswered meanwhile, and under load
// syncs follow one another without a break.
const syncProcessors = 2

func controlRole(set *settings.Settings) (role, error) {
	runtime.GOMAXPROCS(max(runtime.GOMAXPROCS(0), syncProcessors))
	r, err := control.New(set)
	if err != nil {
		return nil, err
	}
	if set.Platform == nil {
		return r.Run, nil
	}
	platform.SetClients(set, r)
	return func(ctx context.Context) error {
		g, ctx := errgroup.WithContext(ctx)
		g.Go(func() error { return r.Run(ctx) })
		g.Go(func() error { return platform.RunOperators(ctx, set, r) })
		return g.Wait()
	}, nil
}

// memoryShare is the part of a process's memory that is set as the runtime's memory limit,
// near which the garbage collector runs continuously. The rest is a reserve for stacks,
// system buffers and data that has arrived but was not read.
const memoryShare = 0.6

func limitMemory(set *settings.Settings) {
	if set.Instance.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(set.Instance.MemoryMB) * (1 << 20)))
	}
}

// limitClients bounds what the clients of the process's servers can make it hold.
func limitClients(set *settings.Settings) {
	roles := 0
	for _, has := range []bool{set.Control != nil, set.Entry != nil, set.Agent != nil} {
		if has {
			roles++
		}
	}
	l := &set.Limits
	transport.SetLimits(transport.Limits{Files: l.Files, Memory: int64(set.Instance.MemoryMB) << 20, Bodies: int64(l.BodyMB) << 20,
		Connections: l.Connections, MainRoles: roles, Header: l.HeaderBytes, WriteTimeout: l.WriteTimeout.Duration})
}

const metricsBody = 1 << 10 // bytes

// serveMetrics serves /metrics for a process whose roles have no port for it.
func serveMetrics(ctx context.Context, set *settings.Settings) error {
	ln, err := transport.Listen(set.Address(set.Instance.MetricsPort))
	if err != nil {
		return err
	}
	h := func(q *fasthttp.RequestCtx) {
		if string(q.Path()) != "/metrics" {
			q.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		metrics.WritePrometheus(q, true)
	}
	return transport.ServeHTTP(ctx, transport.NewHTTPServer("metrics", transport.Few, h, metricsBody), ln)
}

// startRole starts a role and returns a context that is cancelled when the role has ended.
func startRole(g *errgroup.Group, ctx context.Context, run func(context.Context) error) context.Context {
	done, cancel := context.WithCancel(context.Background())
	g.Go(func() error {
		defer cancel()
		return run(ctx)
	})
	return done
}
