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
	sizes     = flag.String("sizes", "", "agents of the fleets that TestSizes measures, as 300,1000,2700")
	sizeTable = flag.String("table", "", "file that TestSizes writes its table to, as CSV, and a plot beside it")
)

// usage is what a fleet that serves costs in a second.
type usage struct {
	agents int
	// messages and bytes that a process sends, of each role.
	leaderMessages, followerMessages, spareMessages, agentMessages float64
	leaderKB, followerKB, spareKB, agentKB                         float64
	commits, syncs, passes                                         float64
	allocatedMB                                                    float64 // by all processes
	// restarted is the time from a worker's crash until its tasks are done elsewhere or there
	// again, and led the time from the leader's loss until a job is taken, leased until every
	// agent has a lease of the next. powered is the time from a leader's being there after a loss
	// of all replicas' power until each of several entries has handed a job in.
	restarted, led, leased, powered time.Duration
	// reachedHalf and reachedAll are the times from handing a job in until half and all of the
	// workers have begun its one task each.
	reachedHalf, reachedAll time.Duration
}

const (
	sizedSpan  = 10 * time.Second // over which usage is measured
	sizedTasks = 13               // of each step of a job
	// sizedShare is the agents for each job a second.
	sizedShare = 80
)

// counted reads a counter of this process, of which all processes of the fleet have a share.
func counted(name string) float64 {
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

// measure lets a fleet serve for a while and returns what it cost.
func (f *sized) measure() usage {
	u := usage{agents: len(f.hosts)}
	time.Sleep(2 * time.Second)
	leader := f.leader()
	names := map[string]*float64{`waxwinghaven_commit_seconds_count`: &u.commits, `waxwinghaven_log_sync_seconds_count`: &u.syncs, `waxwinghaven_dispatch_pass_seconds_count`: &u.passes}
	before := make(map[string]float64)
	for name := range names {
		before[name] = counted(name)
	}
	sent, carried := f.traffic()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	allocated := mem.TotalAlloc
	for n := 0; n < int(sizedSpan.Seconds())*u.agents/sizedShare; n++ {
		f.running.Go(func() {
			if err := f.submit(n, sizedTasks); err != nil {
				f.t.Errorf("job %d: %v", n, err)
			}
		})
		time.Sleep(time.Second * sizedShare / time.Duration(u.agents))
	}
	runtime.ReadMemStats(&mem)
	u.allocatedMB = float64(mem.TotalAlloc-allocated) / 1e6 / sizedSpan.Seconds()
	for name, to := range names {
		*to = (counted(name) - before[name]) / sizedSpan.Seconds()
	}
	sentNow, carriedNow := f.traffic()
	followers, spares := 0.0, 0.0
	for i := range f.controls {
		messages, kb := float64(sentNow[i]-sent[i])/sizedSpan.Seconds(), float64(carriedNow[i]-carried[i])/1000/sizedSpan.Seconds()
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
	u.agentMessages = float64(sentNow[agents]-sent[agents]) / float64(u.agents) / sizedSpan.Seconds()
	u.agentKB = float64(carriedNow[agents]-carried[agents]) / 1000 / float64(u.agents) / sizedSpan.Seconds()
	return u
}

// traffic returns the messages and bytes that each replica has sent, and behind them all
// agents together.
func (f *sized) traffic() (messages, bytes []int64) {
	for i := range f.controls {
		messages, bytes = append(messages, f.net.Messages(f.replicaIP(i))), append(bytes, f.net.Carried(f.replicaIP(i)))
	}
	messages, bytes = append(messages, 0), append(bytes, 0)
	for i := range f.hosts {
		messages[len(f.controls)] += f.net.Messages(f.agentIP(i))
		bytes[len(f.controls)] += f.net.Carried(f.agentIP(i))
	}
	return messages, bytes
}

// loseWorker crashes a worker under a job of as many tasks as the fleet has workers, and
// returns how long after it the first step is done that would have been without.
func (f *sized) loseWorker() time.Duration {
	const job = 1 << 20
	if err := f.submit(job, len(f.hosts)); err != nil {
		f.t.Fatal(err)
	}
	time.Sleep(sizedWork / 2)
	f.hosts[0].Current().Crash()
	crashed := time.Now()
	f.await("the job is done", time.Minute, func() bool { return f.completed(job) })
	return time.Since(crashed) - sizedWork/2 - sizedWork
}

// reach hands a job in that has a task for each worker, and returns how long its orders take to
// half and to all of them.
func (f *sized) reach() (half, all time.Duration) {
	const job = 1 << 23
	step := jobs.Step{Count: len(f.hosts), MaxPerWorker: 1, Need: resource.Vector{MilliCPU: 100, MemoryMB: 10}, EstimateMS: sizedWork.Milliseconds()}
	handed := time.Now()
	if err := f.gateway.Submit("h", sizedPath(job), jobs.Spec{Payload: fmt.Sprint("ms=", sizedWork.Milliseconds()), Steps: []jobs.Step{step}}, 3*time.Second); err != nil {
		f.t.Fatal(err)
	}
	f.await("the job is done", time.Minute, func() bool { return f.completed(job) })
	var taken []time.Duration
	for _, host := range f.hosts {
		for _, run := range host.Current().Record() {
			if strings.HasPrefix(run.Task, sizedID(job)) && run.Run == 1 {
				taken = append(taken, time.UnixMilli(run.StartMS).Sub(handed))
			}
		}
	}
	if len(taken) != len(f.hosts) {
		f.t.Fatalf("%d of %d workers began their task", len(taken), len(f.hosts))
	}
	slices.Sort(taken)
	return taken[len(taken)/2], taken[len(taken)-1]
}

// loseLeader cuts the leader off and returns how long it takes until a job is taken, and until
// each agent has a lease of the next leader.
func (f *sized) loseLeader() (led, leased time.Duration) {
	const job = 1 << 21
	old := f.leader()
	f.net.Isolate(f.replicaIP(old), true)
	cut := time.Now()
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
		granted <- time.Since(cut)
	}()
	for f.submit(job, 1) != nil {
	}
	led = time.Since(cut)
	leased = <-granted
	f.net.Isolate(f.replicaIP(old), false)
	return led, leased
}

// losePower cuts all replicas off for a while, as a loss of their power does that ends no process,
// and returns how long after a leader is there again every one of several entries has handed a
// job in.
func (f *sized) losePower() time.Duration {
	const first, entries, dark = 1 << 22, 20, 3 * time.Second
	for i := range f.controls {
		f.net.Isolate(f.replicaIP(i), true)
	}
	var submitting sync.WaitGroup
	for i := range entries {
		gateway := f.startEntry(fmt.Sprintf("10.2.1.%d", i+1))
		submitting.Go(func() {
			f.sleep(dark / 2)
			for f.submitAt(gateway, first+i, 1) != nil && f.ctx.Err() == nil {
			}
		})
	}
	f.sleep(dark)
	for i := range f.controls {
		f.net.Isolate(f.replicaIP(i), false)
	}
	f.await("a replica leads again", time.Minute, func() bool { return f.leader() >= 0 })
	led := time.Now()
	submitting.Wait()
	return time.Since(led)
}

// Guards against costs that grow faster than the fleet: what each agent more adds to the
// messages and bytes of the replicas, to commits and passes, must not rise.
func TestCostsGrowNoFasterThanTheFleet(t *testing.T) {
	var rows []usage
	for _, agents := range []int{20, 60, 180} {
		playSized(t, 5, agents, agents/2, func(f *sized) { rows = append(rows, f.measure()) })
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

// costMargin is by how much the cost of an agent may rise from one size to three times as many:
// what is shared among few is not shared evenly.
const costMargin = 1.2

// TestSizes measures fleets of the sizes that are asked for, none in each run.
func TestSizes(t *testing.T) {
	if *sizes == "" {
		return
	}
	var rows []usage
	for size := range strings.SplitSeq(*sizes, ",") {
		agents, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		playSized(t, 10, agents, 128, func(f *sized) {
			u := f.measure()
			u.reachedHalf, u.reachedAll = f.reach()
			u.restarted = f.loseWorker()
			u.led, u.leased = f.loseLeader()
			u.powered = f.losePower()
			t.Logf("%+v", u)
			rows = append(rows, u)
		})
	}
	if *sizeTable != "" {
		writeTable(t, rows)
		drawTable(t, rows)
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
		for _, d := range []time.Duration{u.restarted, u.led, u.leased, u.powered, u.reachedHalf, u.reachedAll} {
			row = append(row, strconv.FormatInt(d.Milliseconds(), 10))
		}
		w.Write(row)
	}
	w.Flush()
	if err := w.Error(); err != nil {
		t.Fatal(err)
	}
}

func drawTable(t *testing.T, rows []usage) {
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
