package proof

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"sync"
	"time"

	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/queues"
	"github.com/waxwinghaven/waxwinghaven/resource"
	"github.com/waxwinghaven/waxwinghaven/runner"
	"github.com/waxwinghaven/waxwinghaven/standin"
	"github.com/waxwinghaven/waxwinghaven/transport"
)

func (s *simulation) putConfig() {
	s.mu.Lock()
	s.sentVersion += uint64(1 + s.rng.Intn(3))
	v := s.sentVersion
	s.mu.Unlock()
	c := queues.Config{Version: v, Source: bytes.Repeat([]byte(fmt.Sprintf("%8d", v)), s.configSize()/8), Services: []queues.Service{{Name: "vault"}},
		Queues: []queues.Queue{{Name: "q", Host: "a.example", Prefix: plainPrefix, Service: "vault", TimeoutMS: 3000, TargetMS: 60_000, Slack: 50, MaxAttempts: 3}}}
	if s.advice {
		low := c.Queues[0]
		low.Name, low.Prefix, low.Priority = "low", lowPrefix, 2
		c.Queues = append(c.Queues, advisedQueue(), low)
	}
	ctl := control.NewClient("operator", transport.NewClient(nil, "10.0.3.1"), controlAddresses, s.rng.Intn(fuzzReplicas))
	s.goCall(func() {
		err := ctl.Call(control.PathPutConfig, 2*time.Second, &control.PutConfig{Config: c}, nil)
		s.logf("configuration %d: %v", v, err)
		if err == nil {
			s.mu.Lock()
			s.ackedVersion = max(s.ackedVersion, v)
			s.mu.Unlock()
		}
	})
}

// firstConfig sends configurations until one is acknowledged, so that one is in force before
// callers submit jobs.
func (s *simulation) firstConfig() {
	for acknowledged := false; !acknowledged; {
		s.putConfig()
		s.calls.Wait()
		s.mu.Lock()
		acknowledged = s.ackedVersion > 0
		s.mu.Unlock()
	}
}

// maxCrashingJobs limits the jobs of a run that contain a task which crashes its workers. Each
// takes a worker down three to five times for 3.5 s, and there are three workers.
const maxCrashingJobs = 4

// maxStandingJobs limits the standing jobs of a run, so that each worker keeps free capacity.
const maxStandingJobs = 3

// submitRandomJob submits a job with two steps. The tasks of the first step may be copied, and
// each task may fail in its first run. A few jobs have a task that crashes its workers, or
// consist of standing tasks instead.
func (s *simulation) submitRandomJob() {
	id := fmt.Sprintf("%016x", len(s.jobs)+1)
	need := resource.Vector{MilliCPU: int64(300 + s.rng.Intn(1500)), MemoryMB: 10}
	first := jobs.Step{Count: 1 + s.rng.Intn(4), Need: need, EstimateMS: 300, Speculative: s.rng.Intn(2) == 0, Checkpointing: s.rng.Intn(2) == 0}
	second := jobs.Step{Count: 1 + s.rng.Intn(3), Need: need, EstimateMS: 300, DependsOn: []int{0}}
	work := 50 + s.rng.Intn(1500)
	if s.rng.Intn(4) == 0 {
		work += 4000 // long enough for its worker to be isolated while it runs
	}
	spec := jobs.Spec{Payload: fmt.Sprintf("ms=%d&fails=%d&cpu=%d", work, s.rng.Intn(2), need.MilliCPU), Steps: []jobs.Step{first, second}}
	crashingTask := ""
	if s.rng.Intn(40) == 0 && s.crashingJobs < maxCrashingJobs {
		s.crashingJobs++
		at := s.rng.Intn(first.Count)
		crashingTask = jobs.Ref{Job: id, Index: at}.String()
		spec.Payload += fmt.Sprintf("&crash=0.%d", at)
		s.logf("task %s crashes its workers", crashingTask)
	}
	standing := s.rng.Intn(12) == 0 && crashingTask == "" && s.standingJobs < maxStandingJobs
	if standing {
		s.standingJobs++
		st := newStandingStep(2, 300)
		spec = jobs.Spec{Payload: "lasts=1&cpu=300", Steps: []jobs.Step{st}}
	}
	s.mu.Lock()
	s.jobs[id] = &submitted{spec: spec, crashingTask: crashingTask, standing: standing}
	s.mu.Unlock()
	resendDelay := time.Duration(s.rng.Intn(20)) * time.Second
	s.goCall(func() {
		s.submitUntilAccepted(id, spec)
		if resendDelay < 8*time.Second {
			time.Sleep(resendDelay) // a duplicate of the call that was delayed
			s.submitUntilAccepted(id, spec)
		}
	})
}

// submitUntilAccepted sends a job up to four times until it is accepted, as callers do.
func (s *simulation) submitUntilAccepted(id string, spec jobs.Spec) {
	for try := range 4 {
		err := s.gateway.Submit("a.example", s.path(id), spec, 3*time.Second)
		s.logf("job %s, try %d: %v", id, try, err)
		if err == nil {
			s.mu.Lock()
			s.jobs[id].accepted = true
			s.mu.Unlock()
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (s *simulation) cancelRandomJob() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.jobs) == 0 {
		return
	}
	id := fmt.Sprintf("%016x", 1+s.rng.Intn(len(s.jobs)))
	s.jobs[id].cancelled = true
	s.goCall(func() {
		err := s.gateway.Cancel("a.example", s.path(id), 3*time.Second)
		s.logf("cancelled %s: %v", id, err)
	})
}

// injectRandomEvent draws one event or fault. At most one replica is unavailable or has lost its
// disk at a time, apart from a loss of all power: the replica set does not tolerate more.
func (s *simulation) injectRandomEvent(fault *replicaFault) {
	switch n := s.rng.Intn(21); {
	case n < 9:
		s.submitRandomJob()
	case n < 10:
		s.cancelRandomJob()
	case n < 11:
		s.putConfig()
	case n < 13:
		fault.inject(s)
	case n < 15:
		i := s.rng.Intn(fuzzWorkers)
		s.logf("agent %d restarts", i)
		s.endAgent(i)
		s.startAgent(i)
		s.announce(i)
	case n < 16 && s.rng.Intn(2) == 0:
		s.crashWorker(s.rng.Intn(fuzzWorkers))
	case n < 16:
		i := s.rng.Intn(fuzzWorkers)
		s.logf("worker %d crashes, its agent keeps running", i)
		if r := s.agents[i].host.Current(); r != nil {
			r.Crash()
		}
	case n < 17 && s.rng.Intn(3) == 0:
		s.blackout(fault)
	case n == 20:
		i, capacity := s.rng.Intn(fuzzWorkers), int64(3000+s.rng.Intn(fullCapacity-3000))
		if r := s.agents[i].host.Current(); r != nil {
			s.logf("worker %d: new capacity of %d thousandths of a processor", i, capacity)
			r.SetCapacity(capacity)
		}
	case n == 19:
		s.orderDataCentre()
	case n < 19:
		i := s.rng.Intn(fuzzWorkers)
		on := s.rng.Intn(2) == 0
		s.logf("agent %d isolated: %v", i, on)
		s.isolateAgent(i, on)
	}
}

func (s *simulation) endAgent(i int) {
	a := s.agents[i]
	a.outages = append(a.outages, span{time.Now(), time.Now()})
	a.end()
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (s *simulation) isolateAgent(i int, on bool) {
	a := s.agents[i]
	switch {
	case on && !a.isolated:
		a.outages = append(a.outages, span{time.Now(), time.Now().Add(fuzzTime + recoveryTime)})
	case !on && a.isolated:
		for k := range a.outages {
			a.outages[k].to = minTime(a.outages[k].to, time.Now())
		}
	}
	a.isolated = on
	s.net.Isolate(agentIP(i), on)
}

// crashWorker ends a worker with all its runs, and its agent, like the loss of their instance.
func (s *simulation) crashWorker(i int) {
	s.logf("worker %d crashes", i)
	s.endAgent(i)
	s.agents[i].host.Replace()
	s.startAgent(i)
	s.announce(i)
}

// loseDiskAndAllPower wipes the disk of one replica and cuts the power of everything else at the
// same moment: all state of agents and workers is lost.
func (s *simulation) loseDiskAndAllPower(wiped int) {
	s.logf("replica %d loses its disk, everything else loses power", wiped)
	var others []int
	for i := range fuzzReplicas {
		if i != wiped {
			others = append(others, i)
		}
	}
	for i := range s.agents {
		s.net.Isolate(agentIP(i), true)
	}
	s.net.Isolate(replicaIP(wiped), true)
	s.losePower(others...)
	s.replicas[wiped].end()
	s.net.Isolate(replicaIP(wiped), false)
	if err := os.RemoveAll(s.dataFolder(wiped)); err != nil {
		s.t.Error(err)
	}
	for i, a := range s.agents {
		s.endAgent(i)
		a.host.Replace()
		s.net.Isolate(agentIP(i), a.isolated)
		s.startAgent(i)
	}
}

// replicaFault is the current fault of one replica, if any.
type replicaFault struct {
	replica int
	kind    int // replicaHealthy for none
	until   time.Time
}

const (
	replicaHealthy = iota
	replicaIsolated
	replicaDown
	replicaWiped
	replicaPowerLost
)

// inject starts a random fault of a random replica unless one is active.
func (f *replicaFault) inject(s *simulation) {
	if f.kind != replicaHealthy {
		return
	}
	f.replica, f.kind = s.rng.Intn(fuzzReplicas), 1+s.rng.Intn(4)
	f.until = time.Now().Add(time.Duration(500+s.rng.Intn(6000)) * time.Millisecond)
	s.logf("replica %d: %s", f.replica, [...]string{"", "cut off", "down", "down, disk wiped", "power lost"}[f.kind])
	if f.kind == replicaIsolated {
		s.net.Isolate(replicaIP(f.replica), true)
		return
	}
	if f.kind == replicaPowerLost {
		s.losePower(f.replica)
		return
	}
	s.replicas[f.replica].end()
	if f.kind == replicaWiped {
		if err := os.RemoveAll(s.dataFolder(f.replica)); err != nil {
			s.t.Error(err)
		}
	}
}

// losePower ends replicas at the same moment and keeps only what their disks had synced by then.
// Writes and messages after that moment are lost.
func (s *simulation) losePower(which ...int) {
	contents := make(map[int]map[string][]byte)
	for _, i := range which {
		s.net.Isolate(replicaIP(i), true)
	}
	for _, i := range which {
		contents[i] = s.synced.afterPowerLoss(s.dataFolder(i))
	}
	for _, i := range which {
		s.replicas[i].end()
		s.synced.restore(s.dataFolder(i), contents[i])
		s.net.Isolate(replicaIP(i), false)
	}
}

// blackout cuts the power of all replicas, or of everything including agents and workers but with
// one disk wiped, and restores it later.
func (s *simulation) blackout(f *replicaFault) {
	if f.kind != replicaHealthy {
		return
	}
	if s.rng.Intn(2) == 0 {
		s.logf("all replicas lose power")
		s.losePower(0, 1, 2)
	} else {
		s.loseDiskAndAllPower(s.rng.Intn(fuzzReplicas))
	}
	time.Sleep(time.Duration(s.rng.Intn(3000)) * time.Millisecond)
	s.logf("power restored")
	for i := range s.replicas {
		s.startReplica(i)
	}
	f.kind, f.replica, f.until = replicaDown, -1, time.Now()
}

// repair ends the fault when its time is over. The next fault may follow once the replica has had
// time to catch up.
func (f *replicaFault) repair(s *simulation, now time.Time) {
	switch {
	case f.kind == replicaHealthy:
	case now.After(f.until.Add(catchUpTime)):
		f.kind = replicaHealthy
	case now.After(f.until) && f.replica >= 0:
		s.logf("replica %d is back", f.replica)
		if f.kind == replicaIsolated {
			s.net.Isolate(replicaIP(f.replica), false)
		} else {
			s.startReplica(f.replica)
		}
		f.replica = -1
	}
}

// catchUpTime is the time that a replica gets to become a voter again.
const catchUpTime = 6 * time.Second

// tokenSeen records when a token was sent or received.
type tokenSeen struct {
	token uint64
	at    time.Time
}

// lateWorker leaves one start or stop call in eight, and one Hold call in 300, unanswered and
// carries it out up to four seconds later, after newer calls.
type lateWorker struct {
	*standin.Host
	// keepsID makes the worker restart under its id: the next incarnation carries out calls that
	// were sent to the previous one.
	keepsID bool
	// listOdds delays one Hold call in so many, 0 for lateListOdds.
	listOdds int

	mu   sync.Mutex
	rng  *rand.Rand
	busy bool // rejects all starts
	// seen holds the increasing tokens of the calls that reached an incarnation without delay,
	// by its name.
	seen       map[string][]tokenSeen
	lateStarts map[string]tokenSeen // starts that were carried out late, by startName
}

var errNoAnswer = errors.New("no answer")

// drawDelay delays one call in oneIn and returns by how much, 0 for no delay.
func (w *lateWorker) drawDelay(oneIn int) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.rng.Intn(oneIn) > 0 {
		return 0
	}
	return time.Duration(1+w.rng.Intn(4000)) * time.Millisecond
}

// target returns the incarnation that a delayed call reaches.
func (w *lateWorker) target(t runner.Target) runner.Target {
	if r := w.Current(); r != nil && w.keepsID {
		t.Worker = r.Name()
	}
	return t
}

func (w *lateWorker) setBusy(busy bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy = busy
}

func (w *lateWorker) isBusy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.busy
}

const (
	lateOrderOdds = 8
	lateListOdds  = 300
)

// checkIncarnation simulates connecting for a call: if another incarnation than the named one is
// running under the same id, that one gets a Hold call with the call's token, and the call itself
// is not carried out.
func (w *lateWorker) checkIncarnation(t runner.Target) (v runner.Verdict, err error) {
	r := w.Current()
	if !w.keepsID || r == nil || r.Name() == t.Worker {
		return runner.VerdictDone, nil
	}
	w.recordToken(t.Token)
	reply, err := r.Hold(runner.HoldCall{Target: runner.Target{Worker: r.Name(), Token: t.Token}})
	if err == nil && reply.Verdict == runner.VerdictDone {
		return runner.VerdictOtherIncarnation, nil
	}
	return reply.Verdict, err
}

// recordToken records that the current incarnation has received a call with the token.
func (w *lateWorker) recordToken(token uint64) {
	r := w.Current()
	if r == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if l := w.seen[r.Name()]; len(l) == 0 || l[len(l)-1].token < token {
		w.seen[r.Name()] = append(l, tokenSeen{token, time.Now()})
	}
}

// maybeDelay reports whether a call goes unanswered and is carried out late.
func (w *lateWorker) maybeDelay(oneIn int, t *runner.Target, carryOut func()) bool {
	d := w.drawDelay(oneIn)
	if d == 0 {
		w.recordToken(t.Token)
		return false
	}
	time.AfterFunc(d, func() {
		*t = w.target(*t)
		carryOut()
	})
	return true
}

func (w *lateWorker) Start(c runner.StartCall) (runner.Reply, error) {
	if v, err := w.checkIncarnation(c.Target); v != runner.VerdictDone || err != nil {
		return runner.Reply{Verdict: v}, err
	}
	if w.isBusy() {
		w.recordToken(c.Token)
		return runner.Reply{Verdict: runner.VerdictBusy}, nil
	}
	sent := tokenSeen{c.Token, time.Now()} // the call's target may change once it is delayed
	if w.maybeDelay(lateOrderOdds, &c.Target, func() { w.Host.Start(c) }) {
		w.mu.Lock()
		w.lateStarts[startName(c.Task.String(), c.Run)] = sent
		w.mu.Unlock()
		return runner.Reply{}, errNoAnswer
	}
	return w.Host.Start(c)
}

func (w *lateWorker) Stop(c runner.StopCall) (runner.Reply, error) {
	if v, err := w.checkIncarnation(c.Target); v != runner.VerdictDone || err != nil {
		return runner.Reply{Verdict: v}, err
	}
	if w.maybeDelay(lateOrderOdds, &c.Target, func() { w.Host.Stop(c) }) {
		return runner.Reply{}, errNoAnswer
	}
	return w.Host.Stop(c)
}

func (w *lateWorker) Hold(c runner.HoldCall) (runner.HoldReply, error) {
	if v, err := w.checkIncarnation(c.Target); v != runner.VerdictDone || err != nil {
		return runner.HoldReply{Reply: runner.Reply{Verdict: v}}, err
	}
	if w.maybeDelay(cmp.Or(w.listOdds, lateListOdds), &c.Target, func() { w.Host.Hold(c) }) {
		return runner.HoldReply{}, errNoAnswer
	}
	return w.Host.Hold(c)
}

func (w *lateWorker) Pace(c runner.PaceCall) (runner.Reply, error) {
	if v, err := w.checkIncarnation(c.Target); v != runner.VerdictDone || err != nil {
		return runner.Reply{Verdict: v}, err
	}
	if w.maybeDelay(lateOrderOdds, &c.Target, func() { w.Host.Pace(c) }) {
		return runner.Reply{}, errNoAnswer
	}
	return w.Host.Pace(c)
}
