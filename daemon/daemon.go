// Package daemon runs the roles that a settings file asks for in one process.
package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/agent"
	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/entry"
	"github.com/waxwinghaven/waxwinghaven/settings"
	"golang.org/x/sync/errgroup"
)

// Exit codes of the daemon.
const (
	ExitOK       = 0
	ExitFailed   = 1 // a role ended with an error
	ExitSettings = 2 // the settings were refused
	ExitForced   = 3 // a second signal ended it at once
)

// SetupLog applies the log settings.
func SetupLog(l settings.Log) {
	level, err := logrus.ParseLevel(l.Level)
	if err == nil {
		logrus.SetLevel(level)
	}
	if l.Format == "json" {
		logrus.SetFormatter(&logrus.JSONFormatter{})
	} else {
		logrus.SetFormatter(&logrus.TextFormatter{FullTimestamp: true})
	}
}

// SignalContext returns a context that the first SIGTERM or SIGINT ends. A
// second one exits the process at once.
func SignalContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-ch
		logrus.Info("daemon: Shutting down. A second signal ends it at once.")
		cancel()
		<-ch
		os.Exit(ExitForced)
	}()
	return ctx
}

// Run runs the roles until the context ends or one of them fails.
//
// The roles end in the order in which requests pass them: an entry first, so
// that the agent and the control it needs are still there while it drains.
func Run(ctx context.Context, set *settings.Settings) error {
	g, ctx := errgroup.WithContext(ctx)
	ended := ctx
	if set.Entry != nil {
		e, err := entry.New(set)
		if err != nil {
			return err
		}
		ended = runThenEnd(g, ended, e.Run)
	}
	if set.Agent != nil {
		a, err := agent.New(set)
		if err != nil {
			return err
		}
		ended = runThenEnd(g, ended, a.Run)
	}
	if set.Control != nil {
		r, err := control.New(set)
		if err != nil {
			return err
		}
		runThenEnd(g, ended, r.Run)
	}
	return g.Wait()
}

// runThenEnd starts a role and returns a context that ends when it has ended.
func runThenEnd(g *errgroup.Group, ctx context.Context, run func(context.Context) error) context.Context {
	after, cancel := context.WithCancel(context.Background())
	g.Go(func() error {
		defer cancel()
		return run(ctx)
	})
	return after
}
