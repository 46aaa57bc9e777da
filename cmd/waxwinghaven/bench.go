package main

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"github.com/waxwinghaven/waxwinghaven/daemon"
	"github.com/waxwinghaven/waxwinghaven/load"
	"github.com/waxwinghaven/waxwinghaven/resource"
	"github.com/waxwinghaven/waxwinghaven/score"
	"github.com/waxwinghaven/waxwinghaven/standin"
)

// benchCommands adds the stand-ins and the load and measurement tools.
func (c *cli) benchCommands() {
	c.standinCommand()
	c.loadCommand()
	c.compareCommand()
	c.scoreCommand()
	c.scaleCommand()
	proxy := c.app.Command("proxy", "Runs a plain reverse proxy, the baseline for measurements of the request path.")
	address, target := proxy.Arg("address", "Where it serves.").Required().String(), proxy.Arg("target", "Where it sends to.").Required().String()
	proxy.Action(func(*kingpin.ParseContext) error {
		return standin.RunProxy(daemon.SignalContext(), *address, *target)
	})
}

func (c *cli) compareCommand() {
	cmd := c.app.Command("compare", "Sends the same load to several addresses in turn and prints medians, with the added latency and the relative throughput compared to the first.\n\nExample: waxwinghaven compare direct=127.0.0.21:7107 system=127.0.0.11:7105 --path /vault/x")
	targets := cmd.Arg("name=address", "What to compare; the first is the baseline.").Required().Strings()
	o := load.Options{Host: "localhost"}
	cmd.Flag("path", "The path.").Default("/").StringVar(&o.Path)
	cmd.Flag("method", "The method.").Default("GET").StringVar(&o.Method)
	cmd.Flag("keyed", "Send an Idempotency-Key.").BoolVar(&o.Keyed)
	cmd.Flag("requests", "Requests of one run.").Default("5000").IntVar(&o.Requests)
	cmd.Flag("concurrency", "How many at once.").Default("8").IntVar(&o.Concurrency)
	rounds := cmd.Flag("rounds", "Runs of each, taken in turn.").Default("5").Int()
	cmd.Action(func(*kingpin.ParseContext) error {
		table, err := load.Compare(o, *targets, *rounds)
		if err != nil {
			return err
		}
		return c.show(table, func(w *tabwriter.Writer) { load.WriteComparison(w, table) })
	})
}

func (c *cli) standinCommand() {
	cmd := c.app.Command("standin", "Runs a stand-in upstream and worker that announces itself to an agent.")
	o := standin.UpstreamOptions{}
	cmd.Flag("market", "Its market.").Required().StringVar(&o.Market)
	cmd.Flag("service", "Its service.").Required().StringVar(&o.Service)
	cmd.Flag("address", "Where it serves.").Required().StringVar(&o.Address)
	cmd.Flag("worker", "Where its worker serves.").StringVar(&o.WorkerAddress)
	cmd.Flag("agent", "The agent's local address.").Required().StringVar(&o.AgentLocal)
	cmd.Flag("rack", "Its rack.").Default("rack-1").StringVar(&o.Rack)
	cmd.Flag("slots", "Requests it can run at once.").Default("8").IntVar(&o.Slots)
	cmd.Flag("connections", "Connections it can hold.").Default("64").IntVar(&o.Conns)
	cmd.Flag("work", "Time that a request takes.").Default("0s").DurationVar(&o.Work)
	cmd.Flag("every", "Interval of the heartbeats.").Default("500ms").DurationVar(&o.HeartbeatInterval)
	cmd.Flag("record", "A file that gets the token of each request that is run.").StringVar(&o.Record)
	processors := cmd.Flag("processors", "The worker's processors.").Default("64").Int64()
	memory := cmd.Flag("memory-mb", "The worker's memory.").Default("250000").Int64()
	runsProcessors := cmd.Flag("runs-processors", "Further processors for tasks of callers' jobs, 0 to take none.").Default("0").Int64()
	runsMemory := cmd.Flag("runs-memory-mb", "Memory for these.").Default("16000").Int64()
	cmd.Action(func(*kingpin.ParseContext) error {
		if *runsProcessors > 0 {
			o.RunsCapacity = resource.Vector{MilliCPU: *runsProcessors * 1000, MemoryMB: *runsMemory}
		}
		o.Capacity = resource.Vector{MilliCPU: *processors * 1000, MemoryMB: *memory}
		return standin.NewUpstream(o).Run(daemon.SignalContext())
	})
}

func (c *cli) loadCommand() {
	cmd := c.app.Command("load", "Sends a bounded load to loopback addresses and prints latency and outcomes.\n\nExample: waxwinghaven load 127.0.0.1:7105 --path /vault --requests 10000")
	o := load.Options{}
	addrs := cmd.Arg("addresses", "Entries, separated by commas.").Required().String()
	cmd.Flag("path", "The path.").Default("/").StringVar(&o.Path)
	cmd.Flag("host", "The Host header.").Default("localhost").StringVar(&o.Host)
	cmd.Flag("method", "The method.").Default("GET").StringVar(&o.Method)
	cmd.Flag("requests", "How many.").Default("1000").IntVar(&o.Requests)
	cmd.Flag("concurrency", "How many at once.").Default("8").IntVar(&o.Concurrency)
	cmd.Flag("rate", "Requests to start per second; 0 for as many as the concurrency allows.").Float64Var(&o.Rate)
	cmd.Flag("duration", "End after this time.").Default("0s").DurationVar(&o.Duration)
	cmd.Flag("timeout", "The caller's deadline.").Default("0s").DurationVar(&o.Timeout)
	cmd.Flag("keyed", "Send an Idempotency-Key.").BoolVar(&o.Keyed)
	only := cmd.Flag("only-done", "Fail unless every request was done and got its own answer.").Bool()
	cmd.Action(func(*kingpin.ParseContext) error {
		o.Addresses = strings.Split(*addrs, ",")
		res, err := load.Run(o)
		if err != nil {
			return err
		}
		if err := c.show(res, func(w *tabwriter.Writer) { fmt.Fprint(w, res.Table()) }); err != nil {
			return err
		}
		if *only && (res.Outcomes["done"] != res.Requests || res.NotOwn > 0) {
			return fmt.Errorf("%d of %d requests were done, %d with another's answer", res.Outcomes["done"], res.Requests, res.NotOwn)
		}
		return nil
	})
}

func (c *cli) scoreCommand() {
	cmd := c.app.Command("score", "Scores the placement policies over a day in virtual time, on fixed seeds.")
	tuning := cmd.Flag("tuning", "Use the seeds for tuning, not those for reporting.").Bool()
	cmd.Action(func(*kingpin.ParseContext) error {
		seeds := score.ReportSeeds
		if *tuning {
			seeds = score.TuningSeeds
		}
		rows, err := score.Run(seeds)
		if err != nil {
			return err
		}
		return c.show(rows, func(w *tabwriter.Writer) { score.WriteTable(w, rows) })
	})
}
