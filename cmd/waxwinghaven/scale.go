package main

import (
	"context"
	"fmt"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/load"
	"github.com/waxwinghaven/waxwinghaven/market"
	"github.com/waxwinghaven/waxwinghaven/operator"
	"github.com/waxwinghaven/waxwinghaven/resource"
	"github.com/waxwinghaven/waxwinghaven/standin"
)

// scaleRun measures the load that many agents and tasks put on the control replicas.
type scaleRun struct {
	controls, pids string
	count, tasks   int
	window         time.Duration
}

func (c *cli) scaleCommand() {
	cmd := c.app.Command("scale", "Measures the load that many small agents, their tasks and changes put on the control.")
	r := scaleRun{}
	cmd.Flag("controls", "Internal addresses of the replicas, separated by commas.").Required().StringVar(&r.controls)
	cmd.Flag("pids", "Their process ids, separated by commas, to read processor time and memory.").Required().StringVar(&r.pids)
	cmd.Flag("agents", "How many agents.").Default("200").IntVar(&r.count)
	cmd.Flag("tasks", "Tasks that each agent holds.").Default("30").IntVar(&r.tasks)
	cmd.Flag("window", "How long each measurement lasts.").Default("8s").DurationVar(&r.window)
	cmd.Action(func(*kingpin.ParseContext) error {
		client, err := c.client()
		if err != nil {
			return err
		}
		return r.run(client, c)
	})
}

func (r scaleRun) run(client *operator.Client, c *cli) error {
	agents := standin.NewAgents(standin.AgentsOptions{Count: r.count, Controls: strings.Split(r.controls, ","), Keys: c.keys(), Market: "scale", Service: "none",
		Renew: 500 * time.Millisecond, Capacity: resource.Vector{MilliCPU: 1_000_000, MemoryMB: 1_000_000}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go agents.Run(ctx)
	if err := r.prepare(client, agents); err != nil {
		return err
	}
	r.measure("sessions only", agents)
	if err := r.hold(client, agents); err != nil {
		return err
	}
	r.measure("holding tasks", agents)
	if err := r.rollout(client, agents); err != nil {
		return err
	}
	return r.churn(client, agents)
}

const waitTimeout = 60 * time.Second

func waitUntil(what string, ok func() bool) error {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("scale: timed out waiting until %s", what)
}

func (r scaleRun) prepare(client *operator.Client, agents *standin.Agents) error {
	job := func(name string, run time.Duration) *market.Job {
		return &market.Job{Name: name, Team: "scale", Class: market.ClassBatch, MilliCPU: 100, MemoryMB: 10, RunTimeMS: run.Milliseconds()}
	}
	changes := []market.Change{
		{Verb: market.PutTeam, Team: &market.Team{Name: "scale"}}, {Verb: market.PutMarket, Market: "scale"},
		{Verb: market.PutPreset, Market: "scale", Preset: &market.Preset{Name: "all", BatchShare: 1, MaxSlowdown: 100, Explore: true}},
		{Verb: market.UsePreset, Market: "scale", Name: "all"},
		{Verb: market.PutJob, Market: "scale", Job: job("long", time.Hour)}, {Verb: market.PutJob, Market: "scale", Job: job("short", 2*time.Second)},
	}
	for _, ch := range changes {
		if _, err := client.ChangeNow(ch); err != nil {
			return err
		}
	}
	return waitUntil("all agents have sessions", func() bool { return agents.CountBehind(1) == 0 })
}

func (r scaleRun) submit(client *operator.Client, job string, n int) error {
	for n > 0 {
		s := lease.Submit{ID: operator.NewID(), Market: "scale", Job: job, Count: min(n, lease.MaxCount), IssuedMS: time.Now().UnixMilli()}
		if _, err := client.Submit(s); err != nil {
			return err
		}
		n -= s.Count
	}
	return nil
}

func (r scaleRun) hold(client *operator.Client, agents *standin.Agents) error {
	total := int64(r.count * r.tasks)
	if err := r.submit(client, "long", int(total)); err != nil {
		return err
	}
	return waitUntil("all tasks run", func() bool { return agents.Started.Load() >= total })
}

// rollout makes changes and measures until every agent has each in force.
func (r scaleRun) rollout(client *operator.Client, agents *standin.Agents) error {
	var took []float64
	for i := range 10 {
		start := time.Now()
		a, err := client.ChangeNow(market.Change{Verb: market.PutPreset, Market: "scale",
			Preset: &market.Preset{Name: fmt.Sprint("p", i), BatchShare: 1, MaxSlowdown: 100}})
		if err != nil {
			return err
		}
		if err := waitUntil("a change is in force", func() bool { return agents.CountBehind(a.Revision) == 0 }); err != nil {
			return err
		}
		took = append(took, time.Since(start).Seconds())
	}
	fmt.Printf("%5d agents  in force at all of them: median %.2f s, longest %.2f s of 10 changes\n", r.count, load.Quantile(took, 0.5), load.Quantile(took, 1))
	return nil
}

// churn starts short tasks at a steady rate and measures.
func (r scaleRun) churn(client *operator.Client, agents *standin.Agents) error {
	stop, done := make(chan struct{}), make(chan error, 1)
	rate := r.count // starts per second, one for each agent
	go func() {
		for {
			select {
			case <-stop:
				done <- nil
				return
			case <-time.After(100 * time.Millisecond):
				if err := r.submit(client, "short", rate/10); err != nil {
					done <- err
					return
				}
			}
		}
	}()
	time.Sleep(3 * time.Second)
	r.measure("holding and starting", agents)
	close(stop)
	return <-done
}

// usage is the resource usage of a process.
type usage struct {
	cpu   float64 // seconds
	rssMB float64
}

func readUsage(pid string) usage {
	b, err := os.ReadFile("/proc/" + pid + "/stat")
	if err != nil {
		return usage{}
	}
	f := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+2:]))
	number := func(i int) float64 { v, _ := strconv.ParseFloat(f[i], 64); return v }
	const ticksPerSecond, pageMB = 100, 4096.0 / 1e6
	return usage{(number(11) + number(12)) / ticksPerSecond, number(21) * pageMB}
}

// measure prints the replicas' usage over a window, the busiest first, which is the leader.
func (r scaleRun) measure(what string, agents *standin.Agents) {
	pids := strings.Split(r.pids, ",")
	before := make([]usage, len(pids))
	for i, p := range pids {
		before[i] = readUsage(p)
	}
	renewals, started := agents.Renewals.Load(), agents.Started.Load()
	time.Sleep(r.window)
	seconds := r.window.Seconds()
	var rows []usage
	for i, p := range pids {
		now := readUsage(p)
		rows = append(rows, usage{(now.cpu - before[i].cpu) / seconds * 100, now.rssMB})
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].cpu > rows[j].cpu })
	fmt.Printf("%5d agents  %-22s renewals %6.0f/s  starts %6.0f/s  failed %d ", r.count, what, float64(agents.Renewals.Load()-renewals)/seconds,
		float64(agents.Started.Load()-started)/seconds, agents.Failed.Load())
	for _, u := range rows {
		fmt.Printf(" | %5.1f%% of a core %5.0f MB", u.cpu, u.rssMB)
	}
	fmt.Println()
}
