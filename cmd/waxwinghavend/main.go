// Command waxwinghavend runs the roles that its settings file configures.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/daemon"
	"github.com/waxwinghaven/waxwinghaven/settings"
	"github.com/waxwinghaven/waxwinghaven/version"
	"golang.org/x/sync/errgroup"
)

func main() {
	app := kingpin.New("waxwinghavend", "Runs the roles of one instance: entry, agent, control.\n\nExample: waxwinghavend --settings /etc/waxwinghaven/entry-1.toml\n\nExit codes: 0 shut down on a signal, 1 a role failed, 2 settings refused, 3 forced to exit by a second signal.")
	app.Version(version.String)
	path := app.Flag("settings", "The TOML settings file.").Required().ExistingFile()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	hup := daemon.HangUps()
	set, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(daemon.ExitSettings)
	}
	daemon.SetupLog(set.Log)
	ctx := daemon.SignalContext()
	g, gctx := errgroup.WithContext(ctx)
	reloadCtx, ended := context.WithCancel(context.Background())
	g.Go(func() error { return daemon.Reload(reloadCtx, *path, set, hup) })
	g.Go(func() error {
		defer ended()
		return daemon.Run(gctx, set)
	})
	if err := g.Wait(); err != nil {
		logrus.Errorf("daemon: %v.", err)
		daemon.FlushLog()
		os.Exit(daemon.ExitFailed)
	}
	logrus.Info("daemon: Ended.")
	daemon.FlushLog()
}
