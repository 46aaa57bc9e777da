package proof

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/entry"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/memnet"
	"github.com/waxwinghaven/waxwinghaven/queues"
	"github.com/waxwinghaven/waxwinghaven/quorum"
	"github.com/waxwinghaven/waxwinghaven/resource"
	"github.com/waxwinghaven/waxwinghaven/runner"
	"github.com/waxwinghaven/waxwinghaven/settings"
	"github.com/waxwinghaven/waxwinghaven/standin"
	"github.com/waxwinghaven/waxwinghaven/transport"
)

// sizedFleet is a fleet in one process and in virtual time: replicas, agents beside stand-in
// workers, and one entry. It has no faults but those that its user causes.
type sizedFleet struct {
	t        *testing.T
	ctx      context.Context
	net      *memnet.Network
	controls []*control.Replica
	stops    []context.CancelFunc // stop the replicas
	hosts    []*standin.Host
	gateway  *entry.Jobs
	running  sync.WaitGroup
}

const (
	// sizedDataCentres is the number of data centres of the fleet, and sizedTolerance the number
	// of replicas whose simultaneous loss it must tolerate.
	sizedDataCentres = 5
	sizedTolerance   = 2
	// sizedHeartbeat is the interval of workers' heartbeats, and sizedRunTime the run time of a
	// task.
	sizedHeartbeat = 1500 * time.Millisecond
	sizedRunTime   = 900 * time.Millisecond
)

// sizedLink is the link between data centres of a region.
var sizedLink = memnet.Link{Delay: 1400 * time.Microsecond}

func sizedDataCentre(i int) string           { return fmt.Sprint("dc", i%sizedDataCentres) }
func (f *sizedFleet) replicaIP(i int) string { return fmt.Sprintf("10.0.0.%d", i+1) }
func (f *sizedFleet) agentIP(i int) string   { return fmt.Sprintf("10.1.%d.%d", i/250, i%250+1) }

func (f *sizedFleet) settings(ip, dc, role string) *settings.Settings {
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, f.replicaIP(i)+":7101")
	}
	set, err := settings.Parse("size", fmt.Sprintf("[instance]\nname = %q\ndata_centre = %q\nip = %q\n[peers]\nseeds = [\"%s\"]\n%s", ip, dc, ip, strings.Join(seeds, "\", \""), role))
	if err != nil {
		f.t.Fatal(err)
	}
	return set
}

// newSizedFleet starts a fleet. The leader hands out the orders of ownAgents agents itself;
// followers serve the others.
func newSizedFleet(t *testing.T, ctx context.Context, replicas, agents, ownAgents int) *sizedFleet {
	f := &sizedFleet{t: t, ctx: ctx, net: memnet.New(sizedLink)}
	transport.SetNetwork(f.net)
	t.Cleanup(func() { transport.SetNetwork(nil) })
	dir := t.TempDir()
	for i := range replicas {
		f.startReplica(i, filepath.Join(dir, fmt.Sprint(i)), ownAgents)
	}
	f.gateway = f.startEntry("10.2.0.1")
	for i := range agents {
		f.startAgent(i)
	}
	f.configure()
	f.await("all agents are registered", time.Minute, func() bool {
		l := f.leader()
		return l >= 0 && f.status(l).Leased == agents
	})
	return f
}

func (f *sizedFleet) startEntry(ip string) *entry.Jobs {
	gateway, err := entry.NewJobs(f.settings(ip, "dc0", "[entry]\nport = 7105\nhealth_port = 7106"))
	if err != nil {
		f.t.Fatal(err)
	}
	f.running.Go(func() { gateway.Run(f.ctx) })
	return gateway
}

func (f *sizedFleet) startReplica(i int, folder string, ownAgents int) {
	r, err := control.New(f.settings(f.replicaIP(i), sizedDataCentre(i), fmt.Sprintf("[control]\nport = 7101\noperator_port = 7102\ndata_folder = %q\ntick = \"30ms\"\nlease = \"5s\"\nsnapshot_entries = 5000\nform_from_seeds = true\nbear_losses = %d\nown_agents = %d",
		folder, sizedTolerance, ownAgents)))
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(f.ctx)
	f.controls, f.stops = append(f.controls, r), append(f.stops, stop)
	f.running.Go(func() {
		if err := r.Run(ctx); err != nil && ctx.Err() == nil {
			f.t.Errorf("a replica ended: %v", err)
		}
	})
}

func (f *sizedFleet) startAgent(i int) {
	host := standin.NewHost(fmt.Sprint("w", i), time.Second, fullCapacity)
	f.hosts = append(f.hosts, host)
	set := f.settings(f.agentIP(i), sizedDataCentre(i), "[agent]\nport=7103\nlocal_port=7104")
	r := runner.New(f.agentIP(i), control.NewClient("agent", transport.NewClient(nil, f.agentIP(i)), set.ControlAddresses, i), host, set.Agent.MaxConfirmationAge())
	f.running.Go(func() { r.Run(f.ctx) })
	f.running.Go(func() {
		for sequence := uint64(1); f.ctx.Err() == nil; sequence++ {
			if worker := host.Current(); worker != nil {
				r.Announce(runner.Announcement{Worker: worker.Name(), Service: "vault", DataCentre: sizedDataCentre(i), Labels: []string{"a"}, Rack: "r",
					Capacity: resource.Vector{MilliCPU: fullCapacity, MemoryMB: 4000}, Sequence: sequence})
			}
			f.sleep(sizedHeartbeat)
		}
	})
}

func (f *sizedFleet) sleep(d time.Duration) {
	select {
	case <-f.ctx.Done():
	case <-time.After(d):
	}
}

// status returns a replica's status, zero once it has ended.
func (f *sizedFleet) status(i int) control.StatusAnswer {
	st, err := f.controls[i].Status(f.ctx)
	if err != nil {
		return control.StatusAnswer{}
	}
	return st
}

// leader returns the index of the leading replica, -1 for none.
func (f *sizedFleet) leader() int {
	for i := range f.controls {
		if f.status(i).Role == quorum.Leader.String() {
			return i
		}
	}
	return -1
}

// await polls until ok returns true, and returns how long that took. The test fails after bound.
func (f *sizedFleet) await(what string, bound time.Duration, ok func() bool) time.Duration {
	f.t.Helper()
	started := time.Now()
	for !ok() {
		if time.Since(started) > bound {
			f.t.Fatalf("not within %v: %s", bound, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(started)
}

// configure puts a configuration with a single queue for jobs in force.
func (f *sizedFleet) configure() {
	c := queues.Config{Version: 1, Queues: []queues.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "vault", MaxAttempts: 3, Slack: 2, TargetMS: 500, TimeoutMS: 3000}},
		Services: []queues.Service{{Name: "vault"}}, Source: []byte("{}")}
	f.await("a configuration is in force", 20*time.Second, func() bool {
		l := f.leader()
		if l < 0 {
			return false
		}
		_, err := f.controls[l].PutConfig(control.PutConfig{Config: c})
		return err == nil
	})
}

// submit submits a job of two steps with the given number of tasks each.
func (f *sizedFleet) submit(n, tasks int) error { return f.submitAt(f.gateway, n, tasks) }

func (f *sizedFleet) submitAt(gateway *entry.Jobs, n, tasks int) error {
	step := jobs.Step{Count: tasks, Need: resource.Vector{MilliCPU: 2800, MemoryMB: 10}, EstimateMS: sizedRunTime.Milliseconds()}
	next := step
	next.DependsOn = []int{0}
	return gateway.Submit("h", sizedPath(n), jobs.Spec{Payload: fmt.Sprint("ms=", sizedRunTime.Milliseconds()), Steps: []jobs.Step{step, next}}, 3*time.Second)
}

func sizedPath(n int) string { return "/q/" + sizedID(n) }

func sizedID(n int) string { return fmt.Sprintf("%016x", n) }

// completed reports whether a job is completed.
func (f *sizedFleet) completed(n int) bool {
	a, err := f.gateway.LookUp("h", sizedPath(n), time.Second)
	return err == nil && a.Phase == jobs.Completed
}

// runSizedFleet calls f with a running fleet, in virtual time.
func runSizedFleet(t *testing.T, replicas, agents, ownAgents int, f func(*sizedFleet)) {
	isolateTest(t)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		fleet := newSizedFleet(t, ctx, replicas, agents, ownAgents)
		f(fleet)
		cancel()
		fleet.running.Wait()
		time.Sleep(2 * time.Minute) // until idle connections are closed
	})
}
