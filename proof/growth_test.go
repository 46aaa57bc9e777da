package proof

import (
	"bytes"
	"encoding/csv"
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/resource"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

var (
	fleetSizes = flag.String("sizes", "", "agents of the fleets that TestSizes measures, as 300,1000,2700")
	sizeTable  = flag.String("table", "", "file that TestSizes writes its table to, as CSV, and a plot beside it")
)

// usage is the cost of a fleet under load, per second unless stated otherwise.
type usage struct {
	agents int
	// messages and KB that one process of each role sends; spares are replicas that do not vote
	leaderMessages, followerMessages, spareMessages, agentMessages float64
	leaderKB, followerKB, spareKB, agentKB                         float64
	commits, syncs, passes                                         float64
	allocatedMB                                                    float64 // by all processes together
	// workerRecovery is the time by which a worker's crash delays the first step of a job that
	// runs on all workers. leaderRecovery is the time from the loss of the leader until a job is
	// accepted, and leaseRecovery until every agent has a lease of the next leader. powerRecovery
	// is the time from the election of a leader after a power loss of all replicas until each of
	// several entries has submitted a job.
	workerRecovery, leaderRecovery, leaseRecovery, powerRecovery time.Duration
	// startedHalf and startedAll are the times from the submission of a job with one task for
	// each worker until half and all of them have started.
	startedHalf, startedAll time.Duration
}

const (
	measuredTime   = 10 * time.Second // duration of a measurement
	sizedStepTasks = 13               // tasks in each step of a job
	// sizedAgentsPerJob is the number of agents per job submitted in a second.
	sizedAgentsPerJob = 80
)

// counterValue returns a metric of this process, which all processes of the fleet share.
func counterValue(name string) float64 {
	var b bytes.Buffer
	metrics.WritePrometheus(&b, false)
	for line := range strings.Lines(b.String()) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			f, _ := strconv.ParseFloat(strings.TrimSpace(value), 64)
			return f
		}
	}
	return 0
}

// measure submits jobs to the fleet for measuredTime and returns its usage.
func (f *sizedFleet) measure() usage {
	u := usage{agents: len(f.hosts)}
	time.Sleep(2 * time.Second)
	leader := f.leader()
	names := map[string]*float64{`waxwinghaven_commit_seconds_count`: &u.commits, `waxwinghaven_log_sync_seconds_count`: &u.syncs, `waxwinghaven_dispatch_pass_seconds_count`: &u.passes}
	before := make(map[string]float64)
	for name := range names {
		before[name] = counterValue(name)
	}
	sent, sentBytes := f.traffic()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	allocated := mem.TotalAlloc
	for n := 0; n < int(measuredTime.Seconds())*u.agents/sizedAgentsPerJob; n++ {
		f.running.Go(func() {
			if err := f.submit(n, sizedStepTasks); err != nil {
				f.t.Errorf("job %d: %v", n, err)
			}
		})
		time.Sleep(time.Second * sizedAgentsPerJob / time.Duration(u.agents))
	}
	runtime.ReadMemStats(&mem)
	u.allocatedMB = float64(mem.TotalAlloc-allocated) / 1e6 / measuredTime.Seconds()
	for name, to := range names {
		*to = (counterValue(name) - before[name]) / measuredTime.Seconds()
	}
	sentNow, sentBytesNow := f.traffic()
	followers, spares := 0.0, 0.0
	for i := range f.controls {
		messages, kb := float64(sentNow[i]-sent[i])/measuredTime.Seconds(), float64(sentBytesNow[i]-sentBytes[i])/1000/measuredTime.Seconds()
		switch {
		case i == leader:
			u.leaderMessages, u.leaderKB = messages, kb
		case f.status(i).Votes:
			followers++
			u.followerMessages, u.followerKB = u.followerMessages+messages, u.followerKB+kb
		default:
			spares++
			u.spareMessages, u.spareKB = u.spareMessages+messages, u.spareKB+kb
		}
	}
	u.followerMessages, u.followerKB = u.followerMessages/max(followers, 1), u.followerKB/max(followers, 1)
	u.spareMessages, u.spareKB = u.spareMessages/max(spares, 1), u.spareKB/max(spares, 1)
	agents := len(f.controls)
	u.agentMessages = float64(sentNow[agents]-sent[agents]) / float64(u.agents) / measuredTime.Seconds()
	u.agentKB = float64(sentBytesNow[agents]-sentBytes[agents]) / 1000 / float64(u.agents) / measuredTime.Seconds()
	return u
}

// traffic returns the messages and bytes that each replica has sent, and as the last element
// those of all agents together.
func (f *sizedFleet) traffic() (messages, bytes []int64) {
	for i := range f.controls {
		messages, bytes = append(messages, f.net.MessagesSent(f.replicaIP(i))), append(bytes, f.net.BytesSent(f.replicaIP(i)))
	}
	messages, bytes = append(messages, 0), append(bytes, 0)
	for i := range f.hosts {
		messages[len(f.controls)] += f.net.MessagesSent(f.agentIP(i))
		bytes[len(f.controls)] += f.net.BytesSent(f.agentIP(i))
	}
	return messages, bytes
}

// loseWorker crashes a worker during a job with as many tasks in each step as the fleet has
// workers, and returns by how much that delays the job.
func (f *sizedFleet) loseWorker() time.Duration {
	const job = 1 << 20
	if err := f.submit(job, len(f.hosts)); err != nil {
		f.t.Fatal(err)
	}
	time.Sleep(sizedRunTime / 2)
	f.hosts[0].Current().Crash()
	crashed := time.Now()
	f.await("the job is done", time.Minute, func() bool { return f.completed(job) })
	return time.Since(crashed) - sizedRunTime/2 - sizedRunTime
}

// spreadTime submits a job with one task for each worker, and returns the times until half and
// all of them have started.
func (f *sizedFleet) spreadTime() (half, all time.Duration) {
	const job = 1 << 23
	step := jobs.Step{Count: len(f.hosts), MaxPerWorker: 1, Need: resource.Vector{MilliCPU: 100, MemoryMB: 10}, EstimateMS: sizedRunTime.Milliseconds()}
	submitted := time.Now()
	if err := f.gateway.Submit("h", sizedPath(job), jobs.Spec{Payload: fmt.Sprint("ms=", sizedRunTime.Milliseconds()), Steps: []jobs.Step{step}}, 3*time.Second); err != nil {
		f.t.Fatal(err)
	}
	f.await("the job is done", time.Minute, func() bool { return f.completed(job) })
	var delays []time.Duration
	for _, host := range f.hosts {
		for _, run := range host.Current().Record() {
			if strings.HasPrefix(run.Task, sizedID(job)) && run.Run == 1 {
				delays = append(delays, time.UnixMilli(run.StartMS).Sub(submitted))
			}
		}
	}
	if len(delays) != len(f.hosts) {
		f.t.Fatalf("%d of %d workers started their task", len(delays), len(f.hosts))
	}
	slices.Sort(delays)
	return delays[len(delays)/2], delays[len(delays)-1]
}

// loseLeader isolates the leader and returns the times until a job is accepted, and until each
// agent has a lease of the next leader.
func (f *sizedFleet) loseLeader() (accepted, leased time.Duration) {
	const job = 1 << 21
	old := f.leader()
	f.net.Isolate(f.replicaIP(old), true)
	isolatedAt := time.Now()
	granted := make(chan time.Duration)
	go func() {
		f.await("every agent has a lease", time.Minute, func() bool {
			for i := range f.controls {
				if i != old && f.status(i).Leased == len(f.hosts) {
					return true
				}
			}
			return false
		})
		granted <- time.Since(isolatedAt)
	}()
	for f.submit(job, 1) != nil {
	}
	accepted = time.Since(isolatedAt)
	leased = <-granted
	f.net.Isolate(f.replicaIP(old), false)
	return accepted, leased
}

// losePower isolates all replicas for a while, as a power loss that ends no process would, and
// returns the time from the election of a leader until each of several entries has submitted a
// job.
func (f *sizedFleet) losePower() time.Duration {
	const first, entries, outage = 1 << 22, 20, 3 * time.Second
	for i := range f.controls {
		f.net.Isolate(f.replicaIP(i), true)
	}
	var submitting sync.WaitGroup
	for i := range entries {
		gateway := f.startEntry(fmt.Sprintf("10.2.1.%d", i+1))
		submitting.Go(func() {
			f.sleep(outage / 2)
			for f.submitAt(gateway, first+i, 1) != nil && f.ctx.Err() == nil {
			}
		})
	}
	f.sleep(outage)
	for i := range f.controls {
		f.net.Isolate(f.replicaIP(i), false)
	}
	f.await("a replica leads again", time.Minute, func() bool { return f.leader() >= 0 })
	elected := time.Now()
	submitting.Wait()
	return time.Since(elected)
}

// Guards against costs that grow faster than the fleet: the messages and bytes of the replicas,
// the commits and the passes that each further agent adds must not rise with the size.
func TestCostsGrowNoFasterThanTheFleet(t *testing.T) {
	var rows []usage
	for _, agents := range []int{20, 60, 180} {
		runSizedFleet(t, 5, agents, agents/2, func(f *sizedFleet) { rows = append(rows, f.measure()) })
	}
	costs := map[string]func(usage) float64{
		"messages of the leader": func(u usage) float64 { return u.leaderMessages },
		"KB of the leader":       func(u usage) float64 { return u.leaderKB },
		"messages of a follower": func(u usage) float64 { return u.followerMessages },
		"messages of an agent":   func(u usage) float64 { return u.agentMessages * float64(u.agents) },
		"commits":                func(u usage) float64 { return u.commits },
		"passes":                 func(u usage) float64 { return u.passes },
		"MB allocated":           func(u usage) float64 { return u.allocatedMB },
	}
	for name, cost := range costs {
		each := func(from, to usage) float64 { return (cost(to) - cost(from)) / float64(to.agents-from.agents) }
		first, next := each(rows[0], rows[1]), each(rows[1], rows[2])
		if next > costMargin*first {
			t.Errorf("%s a second: %.1f, %.1f and %.1f with %d, %d and %d agents; each more adds %.3f, then %.3f",
				name, cost(rows[0]), cost(rows[1]), cost(rows[2]), rows[0].agents, rows[1].agents, rows[2].agents, first, next)
		}
	}
}

// costMargin limits the rise of the cost per agent from one size to three times as many agents.
// Costs that a few processes share are not spread evenly.
const costMargin = 1.2

// TestSizes measures fleets of the sizes given by -sizes; without the flag it does nothing.
func TestSizes(t *testing.T) {
	if *fleetSizes == "" {
		return
	}
	var rows []usage
	for size := range strings.SplitSeq(*fleetSizes, ",") {
		agents, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		runSizedFleet(t, 10, agents, 128, func(f *sizedFleet) {
			u := f.measure()
			u.startedHalf, u.startedAll = f.spreadTime()
			u.workerRecovery = f.loseWorker()
			u.leaderRecovery, u.leaseRecovery = f.loseLeader()
			u.powerRecovery = f.losePower()
			t.Logf("%+v", u)
			rows = append(rows, u)
		})
	}
	if *sizeTable != "" {
		writeTable(t, rows)
		plotTable(t, rows)
	}
}

func writeTable(t *testing.T, rows []usage) {
	t.Helper()
	out, err := os.Create(*sizeTable)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	w := csv.NewWriter(out)
	w.Write([]string{"agents", "leader_messages", "leader_kb", "follower_messages", "follower_kb", "spare_messages", "spare_kb", "agent_messages", "agent_kb",
		"commits", "syncs", "passes", "allocated_mb", "worker_lost_ms", "leader_lost_ms", "all_leased_ms", "power_lost_ms", "reached_half_ms", "reached_all_ms"})
	for _, u := range rows {
		row := []string{strconv.Itoa(u.agents)}
		for _, v := range []float64{u.leaderMessages, u.leaderKB, u.followerMessages, u.followerKB, u.spareMessages, u.spareKB, u.agentMessages, u.agentKB, u.commits, u.syncs, u.passes, u.allocatedMB} {
			row = append(row, fmt.Sprintf("%.1f", v))
		}
		for _, d := range []time.Duration{u.workerRecovery, u.leaderRecovery, u.leaseRecovery, u.powerRecovery, u.startedHalf, u.startedAll} {
			row = append(row, strconv.FormatInt(d.Milliseconds(), 10))
		}
		w.Write(row)
	}
	w.Flush()
	if err := w.Error(); err != nil {
		t.Fatal(err)
	}
}

func plotTable(t *testing.T, rows []usage) {
	t.Helper()
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "agents", "messages a second"
	lines := []struct {
		name string
		of   func(usage) float64
	}{
		{"leader", func(u usage) float64 { return u.leaderMessages }},
		{"follower", func(u usage) float64 { return u.followerMessages }},
		{"spare", func(u usage) float64 { return u.spareMessages }},
	}
	for i, l := range lines {
		var points plotter.XYs
		for _, u := range rows {
			points = append(points, plotter.XY{X: float64(u.agents), Y: l.of(u)})
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			t.Fatal(err)
		}
		line.Color, dots.Color = plotutil.Color(i), plotutil.Color(i)
		p.Add(line, dots)
		p.Legend.Add(l.name, line)
	}
	p.Legend.Top, p.Legend.Left = true, true
	if err := p.Save(14*vg.Centimeter, 9*vg.Centimeter, strings.TrimSuffix(*sizeTable, ".csv")+".svg"); err != nil {
		t.Fatal(err)
	}
}
