package proof

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"math/rand"
	"os"
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
	"github.com/waxwinghaven/waxwinghaven/quorum"
	"github.com/waxwinghaven/waxwinghaven/resource"
	"github.com/waxwinghaven/waxwinghaven/runner"
	"github.com/waxwinghaven/waxwinghaven/settings"
	"github.com/waxwinghaven/waxwinghaven/standin"
	"github.com/waxwinghaven/waxwinghaven/transport"
)

var simulationSeeds = flag.Int("everything", 3, "number of seeds of the simulation under random faults")

const (
	fuzzReplicas = 3
	fuzzWorkers  = 3
	// fuzzTime is how long faults are injected, and recoveryTime how long the system then has to
	// complete all accepted jobs.
	fuzzTime     = 40 * time.Second
	recoveryTime = 80 * time.Second
)

// simulation is a complete system in one process and in virtual time: replicas with their disks,
// an entry, agents' runners and workers. Its faults are drawn from a seed.
type simulation struct {
	t        *testing.T
	rng      *rand.Rand // used by the main loop only
	net      *memnet.Network
	synced   *syncedFiles
	dir      string
	machines *simulatedMachines
	// smallDisks says that the replicas have small disks and the configuration is large.
	smallDisks bool
	ctx        context.Context

	noDelays  bool    // workers carry out all calls without delay
	ownAgents int     // number of agents that ask the leader for orders; the others ask followers
	optional  string  // settings of the replicas, see optionalParts
	delays    *delays // holds messages up, nil for no delays
	started   time.Time
	formed    bool // the replica set has formed: an empty disk is a lost one
	log       []string
	replicas  [fuzzReplicas]*process
	controls  [fuzzReplicas]*control.Replica // replicas running in these processes
	agents    []*agentProcess
	gateway   *entry.Jobs
	advice    bool // there are queues with an advisor and with a lower priority
	gangs     *standin.Gangs
	// workersPerRack is the number of workers on a rack, 0 for all.
	workersPerRack int
	advisor        *advisor

	mu           sync.Mutex
	calls        sync.WaitGroup
	jobs         map[string]*submitted
	dataCentres  map[string]*fuzzDataCentre
	sentVersion  uint64 // highest that was sent
	ackedVersion uint64 // highest that was acknowledged
	standingJobs int    // number of standing jobs
	crashingJobs int    // number of jobs with a task that crashes its workers
	// latestStart is the longest time from the acknowledgement of an order that takes a data
	// centre out of service to a start there.
	latestStart   time.Duration
	wronglyFailed []string // jobs that failed and could have completed
}

// process is a part of the system that can be stopped and started.
type process struct {
	stop  context.CancelFunc
	ended chan struct{}
}

// agentProcess is a runner with the worker beside it.
type agentProcess struct {
	process
	runner   *runner.Runner
	host     *standin.Host
	calls    *lateWorker   // delays the agent's calls, nil for no delays
	reached  runner.Worker // the worker as the agent reaches it, nil for the host with or without delays
	label    string        // of the worker's kind, "" for "a"
	worker   string        // the incarnation that it last announced
	sequence uint64
	outages  []span // when it was down or isolated
	isolated bool
	// quietUntil is when the worker sends its first heartbeat.
	quietUntil time.Time
}

// span is a period of time. The end of one that is not over lies far in the future.
type span struct{ from, to time.Time }

// submitted is the caller's view of its job.
type submitted struct {
	spec         jobs.Spec
	prefix       string // of its queue, "" for the plain one
	accepted     bool   // some submission was answered with success
	attempts     int    // submissions that were answered, and those of them that were rejected,
	rejected     int    // both only counted by submitOnce
	cancelled    bool   // a cancellation was sent
	standing     bool   // its tasks run until it is cancelled
	crashingTask string // the task that crashes every worker, "" for none
}

func (s *simulation) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, fmt.Sprintf("%6.2f ", time.Since(s.started).Seconds())+fmt.Sprintf(format, args...))
}

const gatewayIP = "10.0.2.1"

func replicaIP(i int) string { return fmt.Sprintf("10.0.0.%d", i+1) }
func agentIP(i int) string   { return fmt.Sprintf("10.0.1.%d", i+1) }

func controlAddresses() []string {
	var out []string
	for i := range fuzzReplicas {
		out = append(out, replicaIP(i)+":7101")
	}
	return out
}

// settingsOf returns the settings of a process at an address; role is its role's section of the
// file.
func (s *simulation) settingsOf(ip, role string) *settings.Settings {
	text := fmt.Sprintf("[instance]\nname = %q\ndata_centre = \"dc\"\nip = %q\n[peers]\nseeds = [\"%s\"]\n%s", ip, ip, strings.Join(controlAddresses(), "\", \""), role)
	set, err := settings.Parse("fuzz", text)
	if err != nil {
		s.t.Fatal(err)
	}
	return set
}

// optionalParts returns the keys of the control's settings that switch on the parts that are off by
// default, for two of four seeds: for one that leaves all orders to the leader and one that doesn't.
func optionalParts(seed int64) string {
	if seed%4 >= 2 {
		return ""
	}
	return "concurrent_sync = true\n[control.contention]\nwaitlist = true\n"
}

// A simulation with small disks has large configurations, and snapshots are due for the size of the log
// alone.
const (
	smallDiskBytes   = 4 << 20
	largeConfigBytes = 512 << 10
	smallConfigBytes = 8
)

// limitDisks simulates small disks in one seed of three.
func (s *simulation) limitDisks(seed int64) {
	if seed%3 != 0 {
		return
	}
	s.smallDisks = true
	quorum.OverrideSpace(func(dir string) (free, size int64) {
		used := int64(0)
		files, _ := filepath.Glob(filepath.Join(dir, "*"))
		for _, f := range files {
			if st, err := os.Stat(f); err == nil {
				used += st.Size()
			}
		}
		return max(0, smallDiskBytes-used), smallDiskBytes
	})
	s.t.Cleanup(func() { quorum.OverrideSpace(nil) })
}

// configSize returns the size of a configuration's source in bytes.
func (s *simulation) configSize() int {
	if s.smallDisks {
		return largeConfigBytes
	}
	return smallConfigBytes
}

// snapshotEntries returns the number of entries after which a snapshot is due.
func (s *simulation) snapshotEntries() int {
	if s.smallDisks {
		return 1 << 30
	}
	return 200
}

func (s *simulation) startReplica(i int) {
	set := s.settingsOf(replicaIP(i), fmt.Sprintf("[control]\nport = 7101\noperator_port = 7102\ndata_folder = %q\ntick = \"50ms\"\nlease = \"5s\"\nsnapshot_entries = %d\nform_from_seeds = %v\nown_agents = %d\n%s",
		s.dataFolder(i), s.snapshotEntries(), !s.formed, s.ownAgents, s.optional))
	r, err := control.New(set)
	if err != nil {
		s.t.Errorf("replica %d does not start: %v", i, err)
		return
	}
	r.SetAdvisor(s.advisor)
	r.SetMachines(s.machines, machineLease)
	p := s.start(r.Run)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.controls[i], s.replicas[i] = r, p
}

// replica returns a replica and its process, which may have ended.
func (s *simulation) replica(i int) (*control.Replica, *process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.controls[i], s.replicas[i]
}

func (s *simulation) dataFolder(i int) string { return filepath.Join(s.dir, fmt.Sprint(i)) }

func (s *simulation) start(run func(context.Context) error) *process {
	ctx, cancel := context.WithCancel(s.ctx)
	p := &process{stop: cancel, ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		if err := run(ctx); err != nil && ctx.Err() == nil {
			s.logf("a process ended: %v", err)
			s.t.Errorf("a process ended: %v", err)
		}
	}()
	return p
}

func (p *process) end() {
	p.stop()
	<-p.ended
}

// startAgent starts the agent beside a worker, which may be running already.
func (s *simulation) startAgent(i int) {
	a := s.agents[i]
	ctl := control.NewClient("agent", transport.NewClient(nil, agentIP(i)), controlAddresses, i)
	a.runner = runner.New(agentIP(i), ctl, s.callsTo(a), fuzzCordonBound-1500*time.Millisecond)
	a.process = *s.start(a.runner.Run)
}

// callsTo returns the worker as the agent reaches it: with delays unless they are disabled.
func (s *simulation) callsTo(a *agentProcess) runner.Worker {
	if a.reached != nil {
		return a.reached
	}
	if s.noDelays {
		return a.host
	}
	if a.calls == nil {
		a.calls = &lateWorker{Host: a.host, keepsID: s.rng.Intn(3) > 0, rng: rand.New(rand.NewSource(s.rng.Int63())), lateStarts: make(map[string]tokenSeen), seen: make(map[string][]tokenSeen)}
	}
	return a.calls
}

// fuzzMaxListed is the number of ends that a worker lists at a time. Lists are truncated often.
const fuzzMaxListed = 2

// restartDelay is the time from a worker's crash until its next incarnation starts.
const restartDelay = 3500 * time.Millisecond

// startAgents starts agents beside new workers.
func (s *simulation) startAgents(n int) {
	for i := len(s.agents); n > 0; i, n = i+1, n-1 {
		s.agents = append(s.agents, &agentProcess{host: standin.NewHost(fmt.Sprintf("w%d", i), restartDelay, fullCapacity)})
		s.agents[i].host.SetGangs(s.gangs)
		s.agents[i].host.SetMaxListed(fuzzMaxListed)
		s.agents[i].host.SetAdmission(s.advisor.admits(s.isAdvised))
		s.startAgent(i)
	}
}

// plainPrefix is the prefix of the queue without an advisor.
const plainPrefix = "/q/"

// path returns the path of a job.
func (s *simulation) path(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j := s.jobs[id]; j != nil && j.prefix != "" {
		return j.prefix + id
	}
	return plainPrefix + id
}

// isAdvised reports whether a job is in the queue with an advisor.
func (s *simulation) isAdvised(id string) bool { return s.path(id) == advisedPrefix+id }

func (s *simulation) announce(i int) {
	a := s.agents[i]
	r := a.host.Current()
	if r == nil || time.Now().Before(a.quietUntil) {
		return
	}
	if a.worker != r.Name() {
		a.worker, a.sequence = r.Name(), 0
	}
	a.sequence++
	a.runner.Announce(runner.Announcement{Worker: a.worker, Service: "vault", DataCentre: dataCentreOf(i), Labels: []string{cmp.Or(a.label, "a")}, Rack: s.rackOf(i),
		Capacity: resource.Vector{MilliCPU: r.Capacity(), MemoryMB: 4000}, Sequence: a.sequence})
}

func (s *simulation) rackOf(worker int) string {
	if s.workersPerRack == 0 {
		return "r"
	}
	return fmt.Sprint("r", worker/s.workersPerRack)
}

// fuzzCordonBound is how long after the acknowledgement of an order that takes a data centre out
// of service tasks may still be started there.
const fuzzCordonBound = 5 * time.Second

// fullCapacity is a worker's initial capacity in thousandths of a processor.
const fullCapacity = 12_000

func newSimulation(t *testing.T, ctx context.Context, seed int64, workers int, noDelays bool) *simulation {
	s := &simulation{t: t, noDelays: noDelays, ownAgents: int(seed % 2 * fuzzWorkers), optional: optionalParts(seed), rng: rand.New(rand.NewSource(seed)), net: memnet.New(memnet.Link{}), synced: newSyncedFiles(t), dir: t.TempDir(), ctx: ctx, started: time.Now(), jobs: make(map[string]*submitted), dataCentres: make(map[string]*fuzzDataCentre), advisor: newAdvisor(), gangs: standin.NewGangs()}
	s.machines = &simulatedMachines{s: s, done: make(map[string]bool), ended: make(map[string]bool)}
	transport.SetNetwork(s.net)
	quorum.ObserveSyncs(s.synced)
	s.limitDisks(seed)
	for i := range s.replicas {
		s.startReplica(i)
	}
	s.formed = true
	s.startAgents(workers)
	gateway, err := entry.NewJobs(s.settingsOf(gatewayIP, "[entry]\nport = 7105\nhealth_port = 7106"))
	if err != nil {
		t.Fatal(err)
	}
	s.gateway = gateway
	go gateway.Run(ctx)
	return s
}

// forEachSeed plays a simulation in virtual time for each seed.
func forEachSeed(t *testing.T, play func(t *testing.T, seed int64)) {
	isolateTest(t)
	for seed := range int64(*simulationSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { play(t, seed) })
		})
	}
}

// goCall makes a caller's or operator's call in the background.
func (s *simulation) goCall(f func()) {
	s.calls.Add(1)
	go func() {
		defer s.calls.Done()
		f()
	}()
}

func (s *simulation) run() {
	fault := &replicaFault{}
	s.firstConfig()
	lastHeartbeat := time.Now()
	for time.Since(s.started) < fuzzTime+recoveryTime {
		time.Sleep(time.Duration(50+s.rng.Intn(300)) * time.Millisecond)
		now := time.Now()
		if now.Sub(lastHeartbeat) > time.Second {
			lastHeartbeat = now
			for i := range s.agents {
				s.announce(i)
			}
		}
		fault.repair(s, now)
		if time.Since(s.started) < fuzzTime {
			s.restoreDataCentres(maxOutOfService)
			s.injectRandomEvent(fault)
			if s.delays != nil {
				s.injectDelay()
			}
			continue
		}
		for i := range s.agents {
			s.isolateAgent(i, false)
		}
		s.restoreDataCentres(0)
	}
	s.calls.Wait()
}

// Checks the system's guarantees under random faults. Callers submit and cancel jobs and
// operators change the configuration, while
//   - replicas are isolated, stopped, or lose their disks or power one at a time, or all lose
//     power at the same time, including whatever was not synced;
//   - agents restart and are isolated; workers crash, change their capacity, and carry out calls
//     seconds late without answering them; two workers in three restart under the same id and
//     carry out calls for their previous incarnation;
//   - agents take orders from the leader or, in every second run, from followers;
//   - tasks crash every worker that starts them;
//   - operators take data centres out of service and back by orders without an id, which are
//     sent again to other replicas and partly delayed.
//
// In the end every accepted job is completed or cancelled or has failed because of crashes, and
// standing tasks are running. No task was started twice, too early, beyond a worker's capacity
// (which workers do not enforce themselves) or in a data centre out of service, nothing
// acknowledged is lost, and no order overrides a later one.
func TestSimulatedSystemUnderRandomFaults(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed int64) { runSimulation(t, seed, (*simulation).check) })
}

// Guards against jobs that fail because other jobs' tasks crashed the workers under them.
func TestJobsBesideCrashingTasksDoNotFail(t *testing.T) {
	isolateTest(t)
	for seed := range int64(*simulationSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runSimulation(t, seed, func(s *simulation) error {
					if err := s.check(); err != nil {
						return err
					}
					return s.checkBystanders()
				})
			})
		})
	}
}

// runSimulation runs the simulation with a seed and checks its result.
func runSimulation(t *testing.T, seed int64, check func(*simulation) error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := newSimulation(t, ctx, seed, fuzzWorkers, false)
	s.run()
	err := check(s)
	s.end(cancel)
	if err == nil {
		err = s.checkActivity()
	}
	if err != nil {
		t.Fatalf("seed %d: %v\n%s", seed, err, strings.Join(s.log, "\n"))
	}
}

// end stops all processes.
func (s *simulation) end(cancel context.CancelFunc) {
	for _, a := range s.agents {
		a.end()
	}
	for _, r := range s.replicas {
		r.end()
	}
	cancel()
	time.Sleep(time.Minute) // until idle connections are closed
}
