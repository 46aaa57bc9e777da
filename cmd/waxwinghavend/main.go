// Command waxwinghavend runs the roles that its settings file asks for.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/daemon"
	"github.com/waxwinghaven/waxwinghaven/settings"
	"github.com/waxwinghaven/waxwinghaven/version"
)

func main() {
	app := kingpin.New("waxwinghavend", "Runs the roles of one instance: entry, agent, control.\n\nExample: waxwinghavend --settings /etc/waxwinghaven/entry-1.toml\n\nExit codes: 0 ended as asked, 1 a role failed, 2 settings refused, 3 ended at once by a second signal.")
	app.Version(version.String)
	path := app.Flag("settings", "The TOML settings file.").Required().ExistingFile()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	set, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(daemon.ExitSettings)
	}
	daemon.SetupLog(set.Log)
	if err := daemon.Run(daemon.SignalContext(), set); err != nil {
		logrus.Errorf("daemon: %v.", err)
		os.Exit(daemon.ExitFailed)
	}
}
