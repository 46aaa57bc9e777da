package proof

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/entry"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/queues"
	"github.com/waxwinghaven/waxwinghaven/resource"
	"github.com/waxwinghaven/waxwinghaven/runner"
	"github.com/waxwinghaven/waxwinghaven/settings"
	"github.com/waxwinghaven/waxwinghaven/standin"
	"github.com/waxwinghaven/waxwinghaven/transport"
)

var everythingRuns = flag.Int("everything", 3, "seeds of the fuzz of everything at once")

const (
	fuzzReplicas = 3
	fuzzWorkers  = 3
	// fuzzTime is how long things go wrong, and healTime how long the system then has
	// to finish what it took.
	fuzzTime = 40 * time.Second
	healTime = 60 * time.Second
)

// everything is a whole system in one process and in virtual time: replicas with their
// disks, an entry, agents' runners, workers. What goes wrong is drawn from a seed.
type everything struct {
	t   *testing.T
	rng *rand.Rand // of the main loop only
	net *memoryNetwork
	dir string
	ctx context.Context

	begun    time.Time
	formed   bool // the replica set has formed: an empty disk is a lost one
	log      []string
	replicas [fuzzReplicas]*process
	agents   [fuzzWorkers]*agentProcess
	gateway  *entry.Jobs

	mu        sync.Mutex
	calls     sync.WaitGroup
	jobs      map[string]*submitted
	version   uint64 // sent
	confirmed uint64 // highest that was acknowledged
	past      []life
	lives     int
}

// process is a replica that can be stopped and started.
type process struct {
	stop  context.CancelFunc
	ended chan error
}

// agentProcess is a runner beside a worker.
type agentProcess struct {
	process
	runner *runner.Runner
	life   life
	beat   uint64
}

// lateWorker leaves one call in eight without an answer and carries it out up to four
// seconds later, when newer ones have long been.
type lateWorker struct {
	*standin.Runs
	mu  sync.Mutex
	rng *rand.Rand
}

var errNoAnswer = errors.New("no answer")

// late draws how much later a call is carried out, 0 for at once.
func (w *lateWorker) late() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.rng.Intn(8) > 0 {
		return 0
	}
	return time.Duration(1+w.rng.Intn(4000)) * time.Millisecond
}

func (w *lateWorker) Start(c runner.StartCall) (runner.Reply, error) {
	if d := w.late(); d > 0 {
		time.AfterFunc(d, func() { w.Runs.Start(c) })
		return runner.Reply{}, errNoAnswer
	}
	return w.Runs.Start(c)
}

func (w *lateWorker) Stop(c runner.StopCall) (runner.Reply, error) {
	if d := w.late(); d > 0 {
		time.AfterFunc(d, func() { w.Runs.Stop(c) })
		return runner.Reply{}, errNoAnswer
	}
	return w.Runs.Stop(c)
}

// life is one incarnation of a worker, and when it ended, zero while it goes on.
type life struct {
	runs  *standin.Runs
	ended time.Time
}

// submitted is what a caller knows of its job.
type submitted struct {
	spec      jobs.Spec
	taken     bool // some try was answered with success
	cancelled bool // a cancellation was sent
}

func (e *everything) note(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.log = append(e.log, fmt.Sprintf("%6.2f ", time.Since(e.begun).Seconds())+fmt.Sprintf(format, args...))
}

func replicaIP(i int) string { return fmt.Sprintf("10.0.0.%d", i+1) }
func agentIP(i int) string   { return fmt.Sprintf("10.0.1.%d", i+1) }

func contacts() []string {
	var out []string
	for i := range fuzzReplicas {
		out = append(out, replicaIP(i)+":7101")
	}
	return out
}

// settingsOf is a replica's file, or with a role of its own another process's.
func (e *everything) settingsOf(ip, role string) *settings.Settings {
	text := fmt.Sprintf("[instance]\nname = %q\ndata_centre = \"dc\"\nip = %q\n[peers]\nseeds = [\"%s\"]\n%s", ip, ip, strings.Join(contacts(), "\", \""), role)
	set, err := settings.Parse("fuzz", text)
	if err != nil {
		e.t.Fatal(err)
	}
	return set
}

func (e *everything) startReplica(i int) {
	set := e.settingsOf(replicaIP(i), fmt.Sprintf("[control]\nport = 7101\noperator_port = 7102\ndata_folder = %q\ntick = \"50ms\"\nlease = \"5s\"\nsnapshot_entries = 200\nform_from_seeds = %v",
		e.disk(i), !e.formed))
	r, err := control.New(set)
	if err != nil {
		e.t.Errorf("replica %d does not start: %v", i, err)
		return
	}
	e.replicas[i] = start(e.ctx, r.Run)
}

func (e *everything) disk(i int) string { return filepath.Join(e.dir, fmt.Sprint(i)) }

func start(ctx context.Context, run func(context.Context) error) *process {
	ctx, cancel := context.WithCancel(ctx)
	p := &process{stop: cancel, ended: make(chan error, 1)}
	go func() { p.ended <- run(ctx) }()
	return p
}

func (p *process) end() {
	p.stop()
	<-p.ended
}

// startAgent begins a life of the agent beside a worker that goes on.
func (e *everything) startAgent(i int) {
	a := e.agents[i]
	ctl := control.NewClient("agent", transport.NewClient(nil, agentIP(i)), contacts, i)
	a.runner = runner.New(agentIP(i), ctl, &lateWorker{Runs: a.life.runs, rng: rand.New(rand.NewSource(e.rng.Int63()))})
	a.process = *start(e.ctx, a.runner.Run)
}

// startWorker begins a new incarnation of a worker.
func (e *everything) startWorker(i int) {
	e.lives++
	e.agents[i].life = life{runs: standin.NewRuns(fmt.Sprintf("w%d-%d", i, e.lives))}
	e.agents[i].beat = 0
}

func (e *everything) announce(i int) {
	a := e.agents[i]
	a.beat++
	a.runner.Announce(runner.Announcement{Worker: a.life.runs.Name(), Service: "vault", Labels: []string{"a"}, Rack: "r",
		Capacity: resource.Vector{MilliCPU: 12_000, MemoryMB: 4000}, Sequence: a.beat})
}

func newEverything(t *testing.T, ctx context.Context, seed int64) *everything {
	e := &everything{t: t, rng: rand.New(rand.NewSource(seed)), net: newMemoryNetwork(), dir: t.TempDir(), ctx: ctx, begun: time.Now(), jobs: make(map[string]*submitted)}
	transport.SetNetwork(e.net)
	for i := range e.replicas {
		e.startReplica(i)
	}
	e.formed = true
	for i := range e.agents {
		e.agents[i] = &agentProcess{}
		e.startWorker(i)
		e.startAgent(i)
	}
	gateway, err := entry.NewJobs(e.settingsOf("10.0.2.1", "[entry]\nport = 7105\nhealth_port = 7106"))
	if err != nil {
		t.Fatal(err)
	}
	e.gateway = gateway
	go gateway.Run(ctx)
	return e
}

// call runs one caller's or operator's call beside the others.
func (e *everything) call(f func()) {
	e.calls.Add(1)
	go func() {
		defer e.calls.Done()
		f()
	}()
}

func (e *everything) putConfig() {
	e.mu.Lock()
	e.version += uint64(1 + e.rng.Intn(3))
	v := e.version
	e.mu.Unlock()
	c := queues.Config{Version: v, Source: []byte(fmt.Sprint(v)), Services: []queues.Service{{Name: "vault"}},
		Queues: []queues.Queue{{Name: "q", Host: "a.example", Prefix: "/q/", Service: "vault", TimeoutMS: 3000, TargetMS: 60_000, Slack: 50, MaxAttempts: 3}}}
	ctl := control.NewClient("operator", transport.NewClient(nil, "10.0.3.1"), contacts, e.rng.Intn(fuzzReplicas))
	e.call(func() {
		err := ctl.Call(control.PathPutConfig, 2*time.Second, &control.PutConfig{Config: c}, nil)
		e.note("configuration %d: %v", v, err)
		if err == nil {
			e.mu.Lock()
			e.confirmed = max(e.confirmed, v)
			e.mu.Unlock()
		}
	})
}

// submit hands a job in: two steps, of which the first may have copies, and one task of
// it fails at first.
func (e *everything) submit() {
	id := fmt.Sprintf("%016x", len(e.jobs)+1)
	need := resource.Vector{MilliCPU: int64(300 + e.rng.Intn(1500)), MemoryMB: 10}
	first := jobs.Step{Count: 1 + e.rng.Intn(4), Need: need, EstimateMS: 300, Speculative: e.rng.Intn(2) == 0, Checkpointing: e.rng.Intn(2) == 0}
	second := jobs.Step{Count: 1 + e.rng.Intn(3), Need: need, EstimateMS: 300, DependsOn: []int{0}}
	work := 50 + e.rng.Intn(1500)
	if e.rng.Intn(4) == 0 {
		work += 4000 // its worker is cut off while it runs
	}
	spec := jobs.Spec{Payload: fmt.Sprintf("ms=%d&fails=%d", work, e.rng.Intn(2)), Steps: []jobs.Step{first, second}}
	e.mu.Lock()
	e.jobs[id] = &submitted{spec: spec}
	e.mu.Unlock()
	again := time.Duration(e.rng.Intn(20)) * time.Second
	e.call(func() {
		e.handIn(id, spec)
		if again < 8*time.Second {
			time.Sleep(again) // a copy of the call that was held up somewhere
			e.handIn(id, spec)
		}
	})
}

// handIn sends a job until a clear answer comes, as callers do.
func (e *everything) handIn(id string, spec jobs.Spec) {
	for try := range 4 {
		err := e.gateway.Submit("a.example", "/q/"+id, spec, 3*time.Second)
		e.note("job %s, try %d: %v", id, try, err)
		if err == nil {
			e.mu.Lock()
			e.jobs[id].taken = true
			e.mu.Unlock()
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (e *everything) cancel() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.jobs) == 0 {
		return
	}
	id := fmt.Sprintf("%016x", 1+e.rng.Intn(len(e.jobs)))
	e.jobs[id].cancelled = true
	e.call(func() {
		err := e.gateway.Cancel("a.example", "/q/"+id, 3*time.Second)
		e.note("cancelled %s: %v", id, err)
	})
}

// act lets one thing happen. Only one replica at a time is away or has lost its disk:
// more than that is not to be borne.
func (e *everything) act(hurt *hurtReplica) {
	switch n := e.rng.Intn(20); {
	case n < 9:
		e.submit()
	case n < 10:
		e.cancel()
	case n < 11:
		e.putConfig()
	case n < 13:
		hurt.strike(e)
	case n < 15:
		i := e.rng.Intn(fuzzWorkers)
		e.note("agent %d starts anew", i)
		e.agents[i].end()
		e.startAgent(i)
		e.announce(i)
	case n < 16:
		e.crashWorker(e.rng.Intn(fuzzWorkers))
	case n < 19:
		ip := agentIP(e.rng.Intn(fuzzWorkers))
		on := e.rng.Intn(2) == 0
		e.note("agent %s cut off: %v", ip, on)
		e.net.isolate(ip, on)
	}
}

// crashWorker ends a worker with everything that runs on it. The agent beside it hears
// of the new one by its heartbeat.
func (e *everything) crashWorker(i int) {
	e.note("worker %d crashes", i)
	a := e.agents[i]
	a.end()
	a.life.ended = time.Now()
	e.past = append(e.past, a.life)
	e.startWorker(i)
	e.startAgent(i)
	e.announce(i)
}

// hurtReplica is the one replica that is not well.
type hurtReplica struct {
	which int
	how   int // 0 for none
	until time.Time
}

const (
	hurtNone = iota
	hurtCut
	hurtDown
	hurtWiped
)

// strike hurts a replica if all are well.
func (h *hurtReplica) strike(e *everything) {
	if h.how != hurtNone {
		return
	}
	h.which, h.how = e.rng.Intn(fuzzReplicas), 1+e.rng.Intn(3)
	h.until = time.Now().Add(time.Duration(500+e.rng.Intn(6000)) * time.Millisecond)
	e.note("replica %d: %s", h.which, [...]string{"", "cut off", "down", "down, its disk lost"}[h.how])
	if h.how == hurtCut {
		e.net.isolate(replicaIP(h.which), true)
		return
	}
	e.replicas[h.which].end()
	if h.how == hurtWiped {
		if err := os.RemoveAll(e.disk(h.which)); err != nil {
			e.t.Error(err)
		}
	}
}

// heal brings the replica back when its time is over. Another may be hurt once it has
// had the time to catch up.
func (h *hurtReplica) heal(e *everything, now time.Time) {
	switch {
	case h.how == hurtNone:
	case now.After(h.until.Add(catchUp)):
		h.how = hurtNone
	case now.After(h.until) && h.which >= 0:
		e.note("replica %d is back", h.which)
		if h.how == hurtCut {
			e.net.isolate(replicaIP(h.which), false)
		} else {
			e.startReplica(h.which)
		}
		h.which = -1
	}
}

// catchUp is what a replica is given to become a voter again.
const catchUp = 6 * time.Second

func (e *everything) play() {
	hurt := &hurtReplica{}
	e.putConfig()
	beat := time.Now()
	for time.Since(e.begun) < fuzzTime+healTime {
		time.Sleep(time.Duration(50+e.rng.Intn(300)) * time.Millisecond)
		now := time.Now()
		if now.Sub(beat) > time.Second {
			beat = now
			for i := range e.agents {
				e.announce(i)
			}
		}
		hurt.heal(e, now)
		if time.Since(e.begun) < fuzzTime {
			e.act(hurt)
			continue
		}
		for i := range e.agents {
			e.net.isolate(agentIP(i), false)
		}
	}
	e.calls.Wait()
}

// check compares what callers were told with what workers ran.
func (e *everything) check() error {
	var got control.GetConfigAnswer
	ctl := control.NewClient("operator", transport.NewClient(nil, "10.0.3.1"), contacts, 0)
	if err := ctl.Call(control.PathGetConfig, 3*time.Second, &control.Empty{}, &got); err != nil || got.Version < e.confirmed {
		return fmt.Errorf("version %d was acknowledged, %d is read back (%v)", e.confirmed, got.Version, err)
	}
	for id, j := range e.jobs {
		if err := e.checkJob(id, j); err != nil {
			return fmt.Errorf("job %s: %w", id, err)
		}
	}
	return nil
}

func (e *everything) checkJob(id string, j *submitted) error {
	a, err := e.gateway.LookUp("a.example", "/q/"+id, 3*time.Second)
	switch {
	case err != nil && j.taken:
		return fmt.Errorf("it was taken and is not known: %v", err)
	case err == nil && !a.Phase.Over():
		return fmt.Errorf("it is %v at the end", a.Phase)
	case err == nil && a.Phase == jobs.Cancelled && !j.cancelled:
		return fmt.Errorf("it is cancelled, and nobody asked for that")
	case err == nil && a.Phase == jobs.Failed:
		return fmt.Errorf("it failed, and no task of it fails more than once")
	}
	return e.checkRuns(id, j, err == nil && a.Phase == jobs.Completed)
}

// ran is one run on a worker, ended at its end or with its worker.
type ran struct {
	standin.RunInterval
	worker string
	end    int64 // ms since 1970
}

func (e *everything) runsOf(id string) map[string][]ran {
	out := make(map[string][]ran)
	lives := append([]life(nil), e.past...)
	for _, a := range e.agents {
		lives = append(lives, a.life)
	}
	for _, l := range lives {
		for _, r := range l.runs.Record() {
			if !strings.HasPrefix(r.Task, id+".") {
				continue
			}
			x := ran{r, l.runs.Name(), r.EndMS}
			if x.end == 0 || (!l.ended.IsZero() && x.end > l.ended.UnixMilli()) {
				x.end, x.How = time.Now().UnixMilli(), "" // it runs still
				if !l.ended.IsZero() {
					x.end = l.ended.UnixMilli()
				}
			}
			out[r.Task] = append(out[r.Task], x)
		}
	}
	return out
}

func (e *everything) checkRuns(id string, j *submitted, completed bool) error {
	byTask := e.runsOf(id)
	firstDone := int64(0) // when all of the first step's tasks had ended as done
	for step, st := range j.spec.Steps {
		for i := range st.Count {
			name := jobs.Ref{Job: id, Step: step, Index: i}.String()
			runs := byTask[name]
			if err := checkTaskRuns(runs, st.Speculative); err != nil {
				return fmt.Errorf("task %s: %w: %+v", name, err, runs)
			}
			done := earliestDone(runs)
			if completed && done == 0 {
				return fmt.Errorf("it is completed and %s never ended as done: %+v", name, runs)
			}
			if step == 0 {
				firstDone = max(firstDone, done)
			}
			for _, r := range runs {
				if step == 1 && (firstDone == 0 || r.StartMS < firstDone) {
					return fmt.Errorf("%s started before the first step was done", name)
				}
			}
		}
	}
	return nil
}

func earliestDone(runs []ran) int64 {
	at := int64(0)
	for _, r := range runs {
		if r.How == jobs.OutcomeDone.String() && (at == 0 || r.end < at) {
			at = r.end
		}
	}
	return at
}

// checkTaskRuns allows no two runs of a task at a time, unless it may have copies.
func checkTaskRuns(runs []ran, copies bool) error {
	numbers := make(map[uint32]bool)
	for i, a := range runs {
		if numbers[a.Run] {
			return fmt.Errorf("run %d was started twice", a.Run)
		}
		numbers[a.Run] = true
		for _, b := range runs[:i] {
			if !copies && a.StartMS < b.end && b.StartMS < a.end {
				return fmt.Errorf("runs %d and %d at the same time", a.Run, b.Run)
			}
		}
	}
	return nil
}

// Callers hand jobs in and cancel them, operators change the configuration, and all the
// while replicas are cut off, stopped and lose their disks one at a time, agents start
// anew, are cut off, workers crash, and leave calls unanswered that they carry out
// seconds later. When it is over every job that was taken is
// done, nothing was started twice or too early, nothing acknowledged is forgotten.
func TestEverythingAtOnce(t *testing.T) {
	logrus.SetOutput(io.Discard)
	defer logrus.SetOutput(os.Stderr)
	defer transport.SetNetwork(nil)
	for seed := range int64(*everythingRuns) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playEverything(t, seed) })
		})
	}
}

func playEverything(t *testing.T, seed int64) {
	ctx, cancel := context.WithCancel(context.Background())
	e := newEverything(t, ctx, seed)
	e.play()
	err := e.check()
	for _, a := range e.agents {
		a.end()
	}
	for _, r := range e.replicas {
		r.end()
	}
	cancel()
	time.Sleep(time.Minute) // the connections' idle times
	if err == nil {
		err = e.worthIt()
	}
	if err != nil {
		t.Fatalf("seed %d: %v\n%s", seed, err, strings.Join(e.log, "\n"))
	}
}

// worthIt reports a play in which too little happened to prove anything.
func (e *everything) worthIt() error {
	taken, runs := 0, 0
	for id, j := range e.jobs {
		if j.taken {
			taken++
		}
		for _, r := range e.runsOf(id) {
			runs += len(r)
		}
	}
	e.t.Logf("%d jobs, %d taken, %d runs, %d incarnations, version %d", len(e.jobs), taken, runs, e.lives, e.confirmed)
	if taken < len(e.jobs)/2 || runs < 3*taken/2 {
		return fmt.Errorf("only %d of %d jobs were taken, with %d runs", taken, len(e.jobs), runs)
	}
	return nil
}
