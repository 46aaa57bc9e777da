// Package dev runs a complete system in one process: a control replica, an entry,
// an agent and a stand-in upstream with a worker. It is the quickest way to try
// the system, and the one that the README uses.
package dev

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/daemon"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/load"
	"github.com/waxwinghaven/waxwinghaven/market"
	"github.com/waxwinghaven/waxwinghaven/operator"
	"github.com/waxwinghaven/waxwinghaven/queues"
	"github.com/waxwinghaven/waxwinghaven/resource"
	"github.com/waxwinghaven/waxwinghaven/settings"
	"github.com/waxwinghaven/waxwinghaven/standin"
	"golang.org/x/sync/errgroup"
)

// Options configure the development instance.
type Options struct {
	IP     string
	Port   int    // base port; the system uses the eight that follow it
	Folder string // data folder, empty for a temporary one
	Try    bool   // send requests, tasks and a job, check their outcome and exit
}

// Ports as offsets from Options.Port.
const (
	portControl = iota + 1
	portOperator
	portAgent
	portLocal
	portEntry
	portHealth
	portUpstream
	portWorker
)

const settingsText = `
[instance]
name = "dev"
data_centre = "dev"
ip = %q
drain = "5s"
[log]
level = "warn"
[peers]
control = [%q]
[control]
port = %d
operator_port = %d
data_folder = %q
[entry]
port = %d
health_port = %d
leave_wait = "100ms"
sync = "100ms"
[agent]
port = %d
local_port = %d
renew = "200ms"
`

func (o Options) address(port int) string {
	return net.JoinHostPort(o.IP, strconv.Itoa(o.Port+port))
}

func (o Options) settings() (*settings.Settings, error) {
	text := fmt.Sprintf(settingsText, o.IP, o.address(portControl), o.Port+portControl, o.Port+portOperator, o.Folder,
		o.Port+portEntry, o.Port+portHealth, o.Port+portAgent, o.Port+portLocal)
	return settings.Parse("dev", text)
}

func (o Options) upstream() *standin.Upstream {
	return standin.NewUpstream(standin.UpstreamOptions{Market: "demo", Service: "hello", Address: o.address(portUpstream),
		WorkerAddress: o.address(portWorker), AgentLocal: o.address(portLocal), Rack: "rack-1", Slots: 8, Conns: 64,
		Capacity: resource.Vector{MilliCPU: 8000, MemoryMB: 16000}, RunsCapacity: resource.Vector{MilliCPU: 8000, MemoryMB: 16000}, Work: time.Millisecond, HeartbeatInterval: 200 * time.Millisecond})
}

// Run runs the system until a signal ends it or, with Try, until the trial has ended.
func Run(o Options) error {
	if o.Folder == "" {
		dir, err := os.MkdirTemp("", "waxwinghaven-dev-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		o.Folder = filepath.Join(dir, "data")
	}
	set, err := o.settings()
	if err != nil {
		return err
	}
	daemon.SetupLog(set.Log)
	ctx, cancel := context.WithCancel(daemon.SignalContext())
	defer cancel()
	up := o.upstream()
	upCtx, stopUpstream := context.WithCancel(context.Background())
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		defer stopUpstream() // only after the agent has drained
		return daemon.Run(gctx, set)
	})
	g.Go(func() error { return up.Run(upCtx) })
	g.Go(func() error { return o.demo(gctx, cancel) })
	return g.Wait()
}

// demo prepares a market, then prints commands to try or, with Try, runs the trial.
func (o Options) demo(ctx context.Context, cancel func()) error {
	client, err := operator.NewClient([]string{o.address(portOperator)}, nil)
	if err != nil {
		return err
	}
	if err := o.prepare(ctx, client); err != nil || ctx.Err() != nil {
		return err
	}
	if !o.Try {
		fmt.Printf(usage, o.address(portEntry), o.address(portOperator))
		return nil
	}
	defer cancel()
	return o.try(client)
}

const usage = `A whole system runs in this process. Try, in another terminal:

  a caller     curl -i http://%[1]s/hello
  an operator  go run ./cmd/waxwinghaven --to %[2]s status
               go run ./cmd/waxwinghaven --to %[2]s task submit demo tick --count 5 --wait 30s
               go run ./cmd/waxwinghaven --to %[2]s preset use demo peak --wait 10s
               go run ./cmd/waxwinghaven --to %[2]s graph submit localhost /graphs/00000000000000aa examples/graph.json --wait 10s

End it with Ctrl-C.
`

// startWait bounds the wait for the parts of the system to start, and for tasks to be done.
const startWait = 15 * time.Second

func (o Options) prepare(ctx context.Context, client *operator.Client) error {
	deadline := time.Now().Add(startWait)
	for ctx.Err() == nil {
		err := Prepare(client)
		if err == nil {
			return o.waitUpstream(ctx, client, deadline)
		}
		if time.Now().After(deadline) {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

// Prepare creates the demo market. It is idempotent.
func Prepare(client *operator.Client) error {
	statuses, _ := client.Statuses()
	if len(statuses) == 0 {
		return fmt.Errorf("dev: the control replica does not answer yet")
	}
	if statuses[0].Commit == 0 {
		if err := client.Init(); err != nil {
			return err
		}
	}
	peak := &market.Preset{Name: "peak", TailWeight: 1, BatchShare: 0.2, MaxSlowdown: 1.1}
	night := &market.Preset{Name: "night", TailWeight: 0.1, BatchShare: 1, MaxSlowdown: 2, Explore: true}
	changes := []market.Change{
		{Verb: market.PutTeam, Team: &market.Team{Name: "demo"}},
		{Verb: market.PutMarket, Market: "demo"},
		{Verb: market.PutService, Market: "demo", Service: &market.Service{Name: "hello", PathPrefix: "/hello", TimeoutMS: 5000, MilliCPU: 2000, MemoryMB: 1000}},
		{Verb: market.PutJob, Market: "demo", Job: &market.Job{Name: "tick", Team: "demo", Class: market.ClassBatch, MilliCPU: 500, MemoryMB: 100, RunTimeMS: 1000}},
		{Verb: market.PutPreset, Market: "demo", Preset: peak},
		{Verb: market.PutPreset, Market: "demo", Preset: night},
		{Verb: market.UsePreset, Market: "demo", Name: "night"},
	}
	for _, ch := range changes {
		if _, err := client.ChangeNow(ch); err != nil {
			return err
		}
	}
	return client.PutQueues(demoQueues)
}

// demoQueues defines one queue for callers' jobs, on the only service of the demo market.
var demoQueues = queues.Config{Version: 1, Services: []queues.Service{{Name: "hello"}}, Queues: []queues.Queue{
	{Name: "graphs", Host: "localhost", Prefix: "/graphs/", Service: "hello", TimeoutMS: 3000, TargetMS: 1000, Slack: 2, MaxAttempts: 3}}}

func (o Options) waitUpstream(ctx context.Context, client *operator.Client, deadline time.Time) error {
	for ctx.Err() == nil && time.Now().Before(deadline) {
		res, err := o.request(1)
		if err == nil && res.Outcomes["done"] == 1 {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

func (o Options) request(n int) (load.Result, error) {
	return load.Run(load.Options{Addresses: []string{o.address(portEntry)}, Path: "/hello", Host: "localhost", Method: "GET", Requests: n, Concurrency: min(n, 8)})
}

func (o Options) try(client *operator.Client) error {
	res, err := o.request(100)
	if err != nil {
		return err
	}
	fmt.Print(res.Table())
	if res.Outcomes["done"] != res.Requests || res.NotOwn > 0 {
		return fmt.Errorf("not every request was done")
	}
	s := lease.Submit{ID: operator.NewID(), Market: "demo", Job: "tick", Count: 3, IssuedMS: time.Now().UnixMilli()}
	if _, err := client.Submit(s); err != nil {
		return err
	}
	deadline := time.Now().Add(startWait)
	for time.Now().Before(deadline) {
		tasks, err := client.Tasks(operator.TaskQuery{ID: s.ID, Phase: string(lease.Done)})
		if err == nil && len(tasks) == s.Count {
			fmt.Printf("%d tasks were run and are done\n", len(tasks))
			return tryGraph(client, deadline)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the tasks were not done in %v", startWait)
}

// tryGraph submits a job of two steps, each of whose tasks fails once, and waits for its completion.
func tryGraph(client *operator.Client, deadline time.Time) error {
	id := fmt.Sprintf("%016x", rand.Uint64())
	need := resource.Vector{MilliCPU: 500, MemoryMB: 100}
	spec := &jobs.Spec{Payload: "ms=50&fails=1", Steps: []jobs.Step{{Count: 3, Need: need}, {Count: 1, Need: need, DependsOn: []int{0}}}}
	if err := client.SubmitJob(control.JobRequest{Host: "localhost", Path: "/graphs/" + id, Spec: spec}); err != nil {
		return err
	}
	for time.Now().Before(deadline) {
		list, err := client.Jobs(id, 1)
		if err == nil && len(list) == 1 && list[0].Phase == jobs.Completed.String() {
			fmt.Printf("a job of %d tasks in %d steps is completed\n", list[0].Tasks, len(spec.Steps))
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("the job of steps was not completed in %v", startWait)
}
