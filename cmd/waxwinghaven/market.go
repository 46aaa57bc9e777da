package main

import (
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/waxwinghaven/waxwinghaven/market"
	"github.com/waxwinghaven/waxwinghaven/operator"
)

// changeFlags let an operator send a change again under its id, or require a base revision.
type changeFlags struct {
	id   *string
	base *int64
}

func addChangeFlags(cmd *kingpin.CmdClause) changeFlags {
	return changeFlags{
		id:   cmd.Flag("change-id", "The change's id; send a change with an unknown outcome again under the same id.").String(),
		base: cmd.Flag("base", "The revision that the change is based on; by default the present one.").Default("-1").Int64(),
	}
}

// send sets the change's id and base and sends it.
func (c *cli) send(f changeFlags, ch market.Change) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ch.ID = *f.id
	if ch.ID == "" {
		ch.ID = operator.NewID()
	}
	ch.Base = uint64(*f.base)
	if *f.base < 0 {
		if ch.Base, err = client.Base(ch.Market); err != nil {
			return err
		}
	}
	a, err := client.Change(ch)
	if err != nil {
		return err
	}
	return c.show(a, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "accepted\t%s\tchange %s\trevision %d\n", ch.Verb, ch.ID, a.Revision)
	})
}

func (c *cli) marketCommands() {
	c.marketCommand()
	c.teamCommands()
	c.serviceCommands()
	c.jobCommands()
	c.presetCommands()
}

func (c *cli) marketCommand() {
	top := c.app.Command("market", "Makes, lists and retires markets.")
	put := top.Command("put", "Makes a market.")
	putName, putFlags := put.Arg("market", "Its name.").Required().String(), addChangeFlags(put)
	put.Action(func(*kingpin.ParseContext) error {
		return c.send(putFlags, market.Change{Verb: market.PutMarket, Market: *putName})
	})
	retire := top.Command("retire", "Retires a market with all in it.")
	retireName, retireFlags := retire.Arg("market", "Its name.").Required().String(), addChangeFlags(retire)
	retire.Action(func(*kingpin.ParseContext) error {
		return c.send(retireFlags, market.Change{Verb: market.RetireMarket, Market: *retireName})
	})
	top.Command("list", "Lists the markets.").Action(func(*kingpin.ParseContext) error { return c.listMarkets() })
}

func (c *cli) listMarkets() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	views, err := client.Markets()
	if err != nil {
		return err
	}
	return c.show(views, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "MARKET\tREVISION\tPRESET\tSERVICES\tJOBS\tPRESETS\tLAST CHANGE")
		for _, v := range views {
			name := v.Market.Name
			if v.Retired {
				name += " (retired)"
			}
			fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%d\t%d\t%s\n", name, v.Revision, v.Preset().Name, len(v.Services), len(v.Jobs), len(v.Presets), v.LastChange)
		}
	})
}

func (c *cli) teamCommands() {
	top := c.app.Command("team", "Makes, lists and retires teams with their quotas.")
	put := top.Command("put", "Makes or changes a team.")
	t := &market.Team{}
	put.Arg("team", "Its name.").Required().StringVar(&t.Name)
	put.Flag("milli-cpu", "Most processors its tasks may hold, in thousandths; 0 for no bound.").Int64Var(&t.MilliCPU)
	put.Flag("memory-mb", "Most memory its tasks may hold; 0 for no bound.").Int64Var(&t.MemoryMB)
	putFlags := addChangeFlags(put)
	put.Action(func(*kingpin.ParseContext) error {
		return c.send(putFlags, market.Change{Verb: market.PutTeam, Team: t})
	})
	retire := top.Command("retire", "Retires a team without jobs.")
	name, retireFlags := retire.Arg("team", "Its name.").Required().String(), addChangeFlags(retire)
	retire.Action(func(*kingpin.ParseContext) error {
		return c.send(retireFlags, market.Change{Verb: market.RetireTeam, Name: *name})
	})
	top.Command("list", "Lists the teams.").Action(func(*kingpin.ParseContext) error { return c.listTeams() })
}

func (c *cli) listTeams() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	teams, err := client.Teams()
	if err != nil {
		return err
	}
	return c.show(teams, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "TEAM\tMILLI-CPU\tMEMORY MB")
		for _, name := range slices.Sorted(maps.Keys(teams.ByName)) {
			t := teams.ByName[name]
			fmt.Fprintf(w, "%s\t%d\t%d\n", t.Name, t.MilliCPU, t.MemoryMB)
		}
	})
}

// retireCommand adds the command "retire" for a part of a market.
func (c *cli) retireCommand(top *kingpin.CmdClause, what string, verb market.Verb) {
	cmd := top.Command("retire", "Retires a "+what+".")
	in, name := cmd.Arg("market", "The market.").Required().String(), cmd.Arg(what, "Its name.").Required().String()
	f := addChangeFlags(cmd)
	cmd.Action(func(*kingpin.ParseContext) error {
		return c.send(f, market.Change{Verb: verb, Market: *in, Name: *name})
	})
}

func (c *cli) serviceCommands() {
	top := c.app.Command("service", "Makes and retires services.")
	put := top.Command("put", "Makes or changes a service.\n\nExample: waxwinghaven service put vault lookup --path-prefix /vault --timeout 2s")
	s, in := &market.Service{}, put.Arg("market", "The market.").Required().String()
	put.Arg("service", "Its name.").Required().StringVar(&s.Name)
	put.Flag("host", "The Host header that selects it.").StringVar(&s.Host)
	put.Flag("path-prefix", "The start of the path that selects it.").StringVar(&s.PathPrefix)
	timeout := put.Flag("timeout", "The longest a request may take.").Default("5s").Duration()
	retry := put.Flag("retry", "Which requests may be retried after an unknown outcome: those with safe methods, or none.").Default("safe").Enum("safe", "never")
	put.Flag("key-required", "Refuse non-idempotent requests without an Idempotency-Key.").BoolVar(&s.KeyRequired)
	put.Flag("milli-cpu", "Processors reserved for each upstream, in thousandths.").Int64Var(&s.MilliCPU)
	put.Flag("memory-mb", "Memory reserved for each upstream.").Int64Var(&s.MemoryMB)
	f := addChangeFlags(put)
	put.Action(func(*kingpin.ParseContext) error {
		s.TimeoutMS, s.Retry = timeout.Milliseconds(), market.RetryRule(*retry)
		return c.send(f, market.Change{Verb: market.PutService, Market: *in, Service: s})
	})
	c.retireCommand(top, "service", market.RetireService)
}

func (c *cli) jobCommands() {
	top := c.app.Command("job", "Makes and retires jobs of markets, and explains callers' jobs.")
	c.explainCommand(top)
	put := top.Command("put", "Makes or changes a job.\n\nExample: waxwinghaven job put vault render --team night --milli-cpu 2000 --run-time 5m --deadline 8h")
	j, in := &market.Job{}, put.Arg("market", "The market.").Required().String()
	put.Arg("job", "Its name.").Required().StringVar(&j.Name)
	put.Flag("team", "The team whose quota it uses.").Required().StringVar(&j.Team)
	class := put.Flag("class", "batch if its tasks end by themselves, else continuous.").Default("batch").Enum("batch", "continuous")
	put.Flag("milli-cpu", "Processors of one task, in thousandths.").Required().Int64Var(&j.MilliCPU)
	put.Flag("memory-mb", "Memory of one task.").Int64Var(&j.MemoryMB)
	put.Flag("accelerators", "Accelerators of one task.").Int64Var(&j.Accelerators)
	runTime := put.Flag("run-time", "The expected run time of one task.").Required().Duration()
	deadline := put.Flag("deadline", "Time from submission until the tasks must have ended; 0 for none.").Default("0s").Duration()
	put.Flag("urgent", "Start before all other tasks, preempting them if necessary.").BoolVar(&j.Urgent)
	put.Flag("max-failures", "Failed attempts after which a task is set aside; 0 for 3.").IntVar(&j.MaxFailures)
	f := addChangeFlags(put)
	put.Action(func(*kingpin.ParseContext) error {
		j.Class, j.RunTimeMS, j.DeadlineMS = market.Class(*class), runTime.Milliseconds(), deadline.Milliseconds()
		return c.send(f, market.Change{Verb: market.PutJob, Market: *in, Job: j})
	})
	c.retireCommand(top, "job", market.RetireJob)
}

func (c *cli) presetCommands() {
	top := c.app.Command("preset", "Makes, retires and chooses presets.")
	put := top.Command("put", "Makes or changes a preset.\n\nExample: waxwinghaven preset put booking peak --tail-weight 1 --batch-share 0.2 --max-slowdown 1.1")
	p, in := &market.Preset{}, put.Arg("market", "The market.").Required().String()
	put.Arg("preset", "Its name.").Required().StringVar(&p.Name)
	d := market.DefaultPreset
	put.Flag("tail-weight", "Weight of tail latency against batch throughput, 0 to 1.").Default(fmt.Sprint(d.TailWeight)).Float64Var(&p.TailWeight)
	put.Flag("batch-share", "Part of the processors that batch may use, 0 to 1.").Default(fmt.Sprint(d.BatchShare)).Float64Var(&p.BatchShare)
	put.Flag("max-slowdown", "Latency relative to running alone above which batch tasks are throttled or moved.").Default(fmt.Sprint(d.MaxSlowdown)).Float64Var(&p.MaxSlowdown)
	put.Flag("explore", "Try pairs of services and jobs without measurements.").BoolVar(&p.Explore)
	cutOff := put.Flag("cut-off", "What entries do with requests while cut off from the control replicas.").Default("serve").Enum("serve", "refuse")
	f := addChangeFlags(put)
	put.Action(func(*kingpin.ParseContext) error {
		p.CutOff = market.CutOffRule(*cutOff)
		return c.send(f, market.Change{Verb: market.PutPreset, Market: *in, Preset: p})
	})
	use := top.Command("use", "Puts a preset in force.")
	useIn, useName, useFlags := use.Arg("market", "The market.").Required().String(), use.Arg("preset", "Its name.").Required().String(), addChangeFlags(use)
	wait := use.Flag("wait", "Wait until it is in force everywhere, at most this long.").Default("0s").Duration()
	use.Action(func(*kingpin.ParseContext) error {
		if err := c.send(useFlags, market.Change{Verb: market.UsePreset, Market: *useIn, Name: *useName}); err != nil {
			return err
		}
		return c.waitInForce(*wait)
	})
	c.retireCommand(top, "preset", market.RetirePreset)
}

// waitInForce waits until every responsive instance has the newest revision.
func (c *cli) waitInForce(maxWait time.Duration) error {
	if maxWait == 0 {
		return nil
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	start := time.Now()
	for {
		behind := instancesBehind(client)
		if len(behind) == 0 {
			fmt.Printf("in force everywhere after %v\n", time.Since(start).Round(time.Millisecond))
			return nil
		}
		if time.Since(start) > maxWait {
			return fmt.Errorf("not yet in force at %v; see 'waxwinghaven status'", behind)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
