package proof

import (
	"context"
	"fmt"
	"hash/fnv"
	"strings"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

const (
	// wideWorkers is more than the workers in a usual question to the advisor.
	wideWorkers = 33
	// workersPerRack is fewer than the members of the wider gangs need.
	workersPerRack = 3
	// maxAddedWorkers and maxWideCrashes limit the workers that are added to a run and the crashes
	// that are not caused by a task. A gang that runs everywhere is under each of them and is given
	// up after some.
	maxAddedWorkers = 12
	maxWideCrashes  = 3
	wideFaultTime   = 30 * time.Second
	// wideSettleTime is how long after the last event a wait counts: until workers that crashed
	// have returned, leases have ended, and reports of crashes are no longer awaited.
	wideSettleTime   = 16 * time.Second
	wideRecoveryTime = 40 * time.Second
	wideEndTime      = 10 * time.Second // in which no new job comes
	lowPrefix        = "/low/"
)

// wideSimulation is a simulation of many workers on racks with gangs, tasks that each worker may
// have few of, a queue of lower priority and one with an advisor. Workers crash under gangs, some
// gangs crash them, and workers are added.
type wideSimulation struct {
	*simulation
	crashes int
	idle    map[string]time.Time // since when a job has had nothing running, by id
}

// Guards against tasks that wait although there is capacity for them: of gangs, of other jobs beside
// a suspected gang, and of queues with an advisor. Each wait is checked once all faults are over,
// not only that all jobs end.
func TestSimulatedGangsAndAdvisedQueuesDoNotStandStill(t *testing.T) {
	forEachSeed(t, runWideSimulation)
}

func runWideSimulation(t *testing.T, seed int64) {
	ctx, cancel := context.WithCancel(context.Background())
	w := &wideSimulation{simulation: newSimulation(t, ctx, seed, 0, true), idle: make(map[string]time.Time)}
	w.advice, w.workersPerRack = true, workersPerRack
	w.advisor.allows = func(step jobs.GroupKey, worker string) bool {
		h := fnv.New32()
		fmt.Fprint(h, step, worker)
		return w.isStanding(step.Job) || h.Sum32()%4 > 0
	}
	w.startAgents(wideWorkers)
	w.firstConfig()
	w.sleepWithHeartbeats(3 * time.Second)
	err := w.run()
	if err == nil {
		err = w.check()
	}
	w.end(cancel)
	if err != nil {
		t.Fatalf("seed %d: %v\n%s", seed, err, strings.Join(w.log, "\n"))
	}
}

func (w *wideSimulation) isStanding(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[id] != nil && w.jobs[id].standing
}

// run injects events, and then watches for jobs that stand still.
func (w *wideSimulation) run() error {
	fault := &replicaFault{}
	for begun := time.Now(); time.Since(begun) < wideFaultTime; {
		w.sleepWithHeartbeats(time.Duration(200+w.rng.Intn(600)) * time.Millisecond)
		fault.repair(w.simulation, time.Now())
		w.injectWideEvent(fault)
	}
	w.submitWide("ms=300", lowPrefix, newStep(4, 300)) // finds whether a lower queue stands still
	w.sleepWithHeartbeats(500 * time.Millisecond)
	for begun := time.Now(); time.Since(begun) < wideSettleTime+wideRecoveryTime; {
		w.sleepWithHeartbeats(200 * time.Millisecond)
		fault.repair(w.simulation, time.Now())
		if time.Since(begun) < wideSettleTime+wideRecoveryTime-wideEndTime {
			w.submitSometimes()
		}
		if time.Since(begun) < wideSettleTime {
			continue
		}
		if err := w.checkIdle(); err != nil {
			return err
		}
	}
	w.calls.Wait()
	return nil
}

// submitSometimes keeps some short jobs coming once all faults are over.
func (w *wideSimulation) submitSometimes() {
	if w.rng.Intn(8) == 0 {
		w.submitWide("ms=300", lowPrefix, newStep(1+w.rng.Intn(3), 300))
	}
}

func (w *wideSimulation) injectWideEvent(fault *replicaFault) {
	switch n := w.rng.Intn(20); {
	case n < 5:
		w.submitGang()
	case n < 10:
		prefix := []string{plainPrefix, lowPrefix, advisedPrefix}[w.rng.Intn(3)]
		st := newStep(1+w.rng.Intn(6), int64(200+w.rng.Intn(1500)))
		st.MaxPerWorker = w.rng.Intn(3)
		w.submitWide(fmt.Sprintf("ms=%d&cpu=%d", 100+w.rng.Intn(2000), st.Need.MilliCPU), prefix, st)
	case n < 12:
		w.submitOnEachWorker()
	case n < 15 && w.crashes < maxWideCrashes:
		w.crashes++
		w.crashUnderGang()
	case n < 17 && len(w.agents) < wideWorkers+maxAddedWorkers:
		added := 1 + w.rng.Intn(4)
		w.logf("%d workers are added", added)
		w.startAgents(added)
	case n < 18:
		i := w.rng.Intn(len(w.agents))
		w.logf("agent %d restarts", i)
		w.endAgent(i)
		w.startAgent(i)
	case n < 19:
		fault.inject(w.simulation)
	}
}

// submitWide submits a job to a queue.
func (w *wideSimulation) submitWide(payload, prefix string, st jobs.Step) string {
	id := w.submitTo(prefix, payload, st)
	w.logf("job %s%s: %s, %+v", prefix, id, payload, st)
	return id
}

// submitGang submits a gang, in one of six cases one with a member that crashes its workers.
func (w *wideSimulation) submitGang() {
	st := newStep(2+w.rng.Intn(30), int64(300+w.rng.Intn(1500)))
	st.Gang, st.RackSensitive = true, w.rng.Intn(2) == 0
	if st.MaxPerWorker = w.rng.Intn(3); st.Count > wideWorkers/2 && st.MaxPerWorker > 0 {
		st.MaxPerWorker = 2 // so that it fits beside the tasks of others
	}
	payload := fmt.Sprintf("gang=%d&ms=%d&cpu=%d", st.Count, 200+w.rng.Intn(2500), st.Need.MilliCPU)
	member := w.rng.Intn(st.Count)
	crashes := w.rng.Intn(6) == 0 && w.crashingJobs < 1
	if crashes {
		w.crashingJobs++
		payload += fmt.Sprintf("&crash=0.%d", member)
	}
	id := w.submitWide(payload, []string{plainPrefix, advisedPrefix}[w.rng.Intn(2)], st)
	if crashes {
		w.mu.Lock()
		w.jobs[id].crashingTask = jobs.Ref{Job: id, Index: member}.String()
		w.mu.Unlock()
	}
}

// submitOnEachWorker submits standing tasks, a few more than there are workers, of which each worker
// may have one, or has capacity for one.
func (w *wideSimulation) submitOnEachWorker() {
	if w.standingJobs >= 2 {
		return
	}
	w.standingJobs++
	st := newStandingStep(len(w.agents)+1+w.rng.Intn(3), 300)
	st.MaxPerWorker = 1
	prefix := []string{plainPrefix, advisedPrefix}[w.rng.Intn(2)]
	id := w.submitWide("lasts=1&cpu=300", prefix, st)
	w.mu.Lock()
	w.jobs[id].standing = true
	w.mu.Unlock()
}

// crashUnderGang crashes a worker that runs a member of a gang a moment after its start, and in one
// of two cases once more under the next gang that it runs.
func (w *wideSimulation) crashUnderGang() {
	again := w.rng.Intn(2) == 0
	i := w.rng.Intn(len(w.agents))
	for n, a := range w.agents {
		if a.runsGang(w.simulation) {
			i = n
			break
		}
	}
	w.goCall(func() {
		w.crashWhileGangRuns(i)
		if again {
			time.Sleep(restartDelay)
			w.crashWhileGangRuns(i)
		}
	})
}

// gangWatchTime is how long a gang is waited for on a worker.
const gangWatchTime = 5 * time.Second

func (w *wideSimulation) crashWhileGangRuns(i int) {
	for end := time.Now().Add(gangWatchTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if a := w.agents[i]; a.runsGang(w.simulation) {
			time.Sleep(150 * time.Millisecond)
			if r := a.host.Current(); r != nil {
				w.logf("worker %d crashes under a gang", i)
				r.Crash()
			}
			return
		}
	}
}

// runsGang reports whether a member of a gang is running on the worker.
func (a *agentProcess) runsGang(s *simulation) bool {
	r := a.host.Current()
	if r == nil {
		return false
	}
	for _, x := range r.Record() {
		if x.EndMS == 0 && s.specOf(x.Task).Steps[0].Gang {
			return true
		}
	}
	return false
}

// specOf returns the specification of a task's job.
func (s *simulation) specOf(task string) jobs.Spec {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs[task[:jobs.IDLength]].spec
}

// checkIdle reports a job of which nothing has run for idleBound although a task waits, there is
// capacity for it twice over and under half of all capacity is in use. All workers are up and no
// fault is left.
func (w *wideSimulation) checkIdle() error {
	free, used := w.freeCapacity()
	for id, j := range w.snapshotOfJobs() {
		a, err := w.gateway.LookUp("a.example", w.path(id), 3*time.Second)
		waits := err == nil && !a.Phase.Over() && (w.runningTasks(id) == 0 || (j.standing && w.runningTasks(id) < j.spec.Steps[0].Count))
		if !waits || !w.hasRoomTwice(id, &j.spec.Steps[0], free) || used*2 > w.totalCapacity() {
			delete(w.idle, id)
			continue
		}
		if w.idle[id].IsZero() {
			w.idle[id] = time.Now()
		}
		if d := time.Since(w.idle[id]); d > idleBound {
			return fmt.Errorf("job %s is %v and %d of its %d tasks have run for %v, while there is capacity", id, a.Phase, w.runningTasks(id), j.spec.Steps[0].Count, d)
		}
	}
	return nil
}

func (w *wideSimulation) snapshotOfJobs() map[string]*submitted {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make(map[string]*submitted, len(w.jobs))
	for id, j := range w.jobs {
		if j.accepted {
			out[id] = j
		}
	}
	return out
}

// freeCapacity returns the free processors by worker and those in use, in thousandths.
func (w *wideSimulation) freeCapacity() (free map[string]int64, used int64) {
	free = make(map[string]int64)
	for _, a := range w.agents {
		r := a.host.Current()
		if r == nil {
			continue
		}
		free[r.Name()] = fullCapacity
		for _, x := range r.Record() {
			if x.EndMS == 0 {
				need := w.specOf(x.Task).Steps[0].Need.MilliCPU
				free[r.Name()] -= need
				used += need
			}
		}
	}
	return free, used
}

func (w *wideSimulation) totalCapacity() int64 { return int64(len(w.agents)) * fullCapacity }

// hasRoomTwice reports whether the workers have capacity for twice what waits of a step: all of a
// gang, or one task.
func (w *wideSimulation) hasRoomTwice(id string, st *jobs.Step, free map[string]int64) bool {
	need := 2
	if st.Gang {
		need = 2 * st.Count
	}
	running := make(map[string]int64)
	for _, runs := range w.runsOf(id) {
		for _, r := range runs {
			if r.EndMS == 0 {
				running[r.worker]++
			}
		}
	}
	for worker, milliCPU := range free {
		n := milliCPU / st.Need.MilliCPU
		if st.MaxPerWorker > 0 {
			n = min(n, int64(st.MaxPerWorker)-running[worker])
		}
		if w.isAdvised(id) && !w.advisor.allows(jobs.GroupKey{Job: id}, worker) {
			n = 0
		}
		need -= int(max(n, 0))
	}
	return need <= 0
}
