package proof

import (
	"context"
	"flag"
	"fmt"
	"path/filepath"
	"runtime"
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

var sizes = flag.String("sizes", "", "agents of the fleets that are measured, as 300,1000,2700; none in each run")

// sized is a fleet in one process and in virtual time that only serves: replicas, agents
// beside stand-in workers, one entry.
type sized struct {
	t        *testing.T
	net      *memnet.Network
	ctx      context.Context
	controls []*control.Replica
	runners  []*runner.Runner
	hosts    []*standin.Host
	gateway  *entry.Jobs
	calls    sync.WaitGroup
}

// sizedCentres is how many data centres the fleet stands in.
const sizedCentres = 5

func sizedCentre(i int) string { return fmt.Sprint("dc", i%sizedCentres) }

func (f *sized) replicaIP(i int) string { return fmt.Sprintf("10.0.0.%d", i+1) }
func (f *sized) agentIP(i int) string   { return fmt.Sprintf("10.1.%d.%d", i/250, i%250+1) }

func (f *sized) settings(ip, dc, role string) *settings.Settings {
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

func newSized(t *testing.T, ctx context.Context, replicas, agents int) *sized {
	f := &sized{t: t, ctx: ctx, net: memnet.New(memnet.Link{Delay: 1400 * time.Microsecond})}
	transport.SetNetwork(f.net)
	dir := t.TempDir()
	for i := range replicas {
		r, err := control.New(f.settings(f.replicaIP(i), sizedCentre(i), fmt.Sprintf("[control]\nport = 7101\noperator_port = 7102\ndata_folder = %q\ntick = \"30ms\"\nlease = \"5s\"\nsnapshot_entries = 5000\nform_from_seeds = true\nbear_losses = %d",
			filepath.Join(dir, fmt.Sprint(i)), (min(replicas, 5)-1)/2)))
		if err != nil {
			t.Fatal(err)
		}
		f.controls = append(f.controls, r)
		f.calls.Go(func() {
			if err := r.Run(ctx); err != nil && ctx.Err() == nil {
				t.Errorf("a replica ended: %v", err)
			}
		})
	}
	gateway, err := entry.NewJobs(f.settings("10.2.0.1", "dc0", "[entry]\nport = 7105\nhealth_port = 7106"))
	if err != nil {
		t.Fatal(err)
	}
	f.gateway = gateway
	f.calls.Go(func() { gateway.Run(ctx) })
	for i := range agents {
		f.startAgent(i)
	}
	return f
}

func (f *sized) startAgent(i int) {
	host := standin.NewHost(fmt.Sprint("w", i), time.Second, fullRoom)
	set := f.settings(f.agentIP(i), sizedCentre(i), "[agent]\nport=7103\nlocal_port=7104")
	r := runner.New(f.agentIP(i), control.NewClient("agent", transport.NewClient(nil, f.agentIP(i)), set.Contacts, i), host, 3500*time.Millisecond)
	f.runners, f.hosts = append(f.runners, r), append(f.hosts, host)
	f.calls.Go(func() { r.Run(f.ctx) })
	f.calls.Go(func() {
		for beat := uint64(1); f.ctx.Err() == nil; beat++ {
			r.Announce(runner.Announcement{Worker: host.Current().Name(), Service: "vault", DataCentre: sizedCentre(i), Labels: []string{"a"}, Rack: "r",
				Capacity: resource.Vector{MilliCPU: fullRoom, MemoryMB: 4000}, Sequence: beat})
			select {
			case <-f.ctx.Done():
			case <-time.After(1500 * time.Millisecond):
			}
		}
	})
}

// leader returns the replica that leads, nil for none.
func (f *sized) leader() *control.Replica {
	for _, r := range f.controls {
		if r.Leads() {
			return r
		}
	}
	return nil
}

func (f *sized) await(what string, bound time.Duration, ok func() bool) time.Duration {
	f.t.Helper()
	begun := time.Now()
	for time.Since(begun) < bound {
		if ok() {
			return time.Since(begun)
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("never: %s", what)
	return 0
}

// configure puts the one queue in force that jobs are handed to.
func (f *sized) configure() {
	c := queues.Config{Version: 1, Queues: []queues.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "vault", MaxAttempts: 3, Slack: 2, TargetMS: 500, TimeoutMS: 3000}},
		Services: []queues.Service{{Name: "vault"}}, Source: []byte("{}")}
	f.await("a configuration", 20*time.Second, func() bool {
		l := f.leader()
		if l == nil {
			return false
		}
		_, err := l.PutConfig(control.PutConfig{Config: c})
		return err == nil
	})
}

func (f *sized) submit(n int) {
	id := fmt.Sprintf("%016x", n)
	spec := jobs.Spec{Payload: "ms=900", Steps: []jobs.Step{{Count: 13, Need: resource.Vector{MilliCPU: 2800, MemoryMB: 10}, EstimateMS: 900}, {Count: 13, Need: resource.Vector{MilliCPU: 2800, MemoryMB: 10}, EstimateMS: 900, DependsOn: []int{0}}}}
	f.calls.Go(func() {
		if err := f.gateway.Submit("h", "/q/"+id, spec, 3*time.Second); err != nil {
			f.t.Errorf("job %s: %v", id, err)
		}
	})
}

func TestSizes(t *testing.T) {
	if *sizes == "" {
		return
	}
	quietly(t)
	for _, size := range strings.Split(*sizes, ",") {
		n := 0
		fmt.Sscan(size, &n)
		synctest.Test(t, func(t *testing.T) { playSize(t, n) })
	}
}

func playSize(t *testing.T, agents int) {
	ctx, cancel := context.WithCancel(context.Background())
	f := newSized(t, ctx, 10, agents)
	f.configure()
	took := f.await("all agents", time.Minute, func() bool {
		l := f.leader()
		return l != nil && l.Workers() == agents
	})
	fmt.Println("agents", agents, "registered after", took)
	time.Sleep(2 * time.Second)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	begun := time.Now()
	for n := 0; time.Since(begun) < 20*time.Second; n++ {
		f.submit(n + 1)
		time.Sleep(time.Second * 100 / time.Duration(agents*2))
	}
	time.Sleep(4 * time.Second)
	runtime.ReadMemStats(&after)
	for i := range f.controls {
		fmt.Printf("replica %d leads %v sent %d KB/s\n", i, f.controls[i].Leads(), f.net.Carried(f.replicaIP(i))/24/1000)
	}
	fmt.Println("allocs MB", (after.TotalAlloc-before.TotalAlloc)>>20)
	_ = quorum.Leader
	cancel()
	f.calls.Wait()
	time.Sleep(2 * time.Minute)
}
