// Command waxwinghaven is the operators' command-line tool. It also runs the development
// instance, the stand-ins and the load tools.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"github.com/waxwinghaven/waxwinghaven/operator"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/transport"
	"github.com/waxwinghaven/waxwinghaven/version"
)

// Exit codes.
const (
	exitFailed  = 1 // the command failed
	exitRefused = 2 // the system refused the command or the settings are invalid
)

const help = `Operates waxwinghaven: settings, keys, markets, services, jobs, presets, tasks.

Examples:
  waxwinghaven check entry-1.toml
  waxwinghaven --to 10.0.0.1:7102,10.0.0.2:7102 market put vault
  waxwinghaven preset use vault peak
  waxwinghaven task submit vault render --count 100
  waxwinghaven graph submit a.example /renders/00000000000000aa job.json
  waxwinghaven dev

Exit codes: 0 done, 1 failed, 2 refused (the message names the remedy).`

// cli holds the flags that all commands share.
type cli struct {
	app  *kingpin.Application
	to   *string
	json *bool
	ca   *string
	cert *string
	key  *string
}

func main() {
	app := kingpin.New("waxwinghaven", help)
	app.Version(version.String)
	c := &cli{app: app,
		to:   app.Flag("to", "Operator addresses of the control replicas, separated by commas.").Default("127.0.0.1:7102").Envar("WAXWINGHAVEN_TO").String(),
		json: app.Flag("json", "Print JSON instead of a table.").Bool(),
		ca:   app.Flag("ca", "The authority's certificate, when the replicas use TLS.").Envar("WAXWINGHAVEN_CA").String(),
		cert: app.Flag("cert", "The operator's certificate.").Envar("WAXWINGHAVEN_CERT").String(),
		key:  app.Flag("key", "The operator's key.").Envar("WAXWINGHAVEN_KEY").String()}
	c.localCommands()
	c.marketCommands()
	c.taskCommands()
	c.graphCommands()
	c.demandCommand()
	c.waveCommands()
	c.dataCentreCommands()
	c.lossesCommand()
	c.clusterCommands()
	c.benchCommands()
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "waxwinghaven:", err)
		if _, ok := refusal.Of(err); ok {
			os.Exit(exitRefused)
		}
		os.Exit(exitFailed)
	}
}

func (c *cli) keys() *transport.Keys {
	if *c.ca == "" && *c.cert == "" && *c.key == "" {
		return nil
	}
	return &transport.Keys{Authority: *c.ca, Certificate: *c.cert, Key: *c.key}
}

func (c *cli) client() (*operator.Client, error) {
	return operator.NewClient(strings.Split(*c.to, ","), c.keys())
}

// show prints v as JSON with --json, else as a table that rows writes.
func (c *cli) show(v any, rows func(w *tabwriter.Writer)) error {
	if *c.json {
		b, err := json.MarshalIndent(v, "", "  ")
		if err != nil {
			return err
		}
		fmt.Println(string(b))
		return nil
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	rows(w)
	return w.Flush()
}
