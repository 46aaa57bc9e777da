package proof

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/standin"
	"github.com/waxwinghaven/waxwinghaven/upkeep"
)

// machineLease is how long a new leader gives no orders about machines.
const machineLease = 500 * time.Millisecond

// simulatedMachines is the platform's interface for the machines below the workers of a simulation.
// An order about a machine ends its worker, and the next one starts after restartDelay.
type simulatedMachines struct {
	s *simulation

	mu    sync.Mutex
	token uint64
	done  map[string]bool // upkeeps, by wave and machine
	ended map[string]bool // workers that were ended by an order
}

// ListedAs implements control.Machines.
func (m *simulatedMachines) ListedAs(worker string) string { return worker }

// List implements control.Machines.
func (m *simulatedMachines) List(context.Context) (list []upkeep.Machine, err error) {
	for i, a := range m.s.agents {
		x := upkeep.Machine{Name: fmt.Sprint("m", i), Pool: "vault"}
		if r := a.host.Current(); r != nil {
			x.Up, x.Worker = true, r.Name()
		}
		list = append(list, x)
	}
	return list, nil
}

// Upkeep implements control.Machines.
func (m *simulatedMachines) Upkeep(_ context.Context, o control.MachineOrder) (control.MachineVerdict, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := fmt.Sprint(o.Wave, o.Machine)
	if m.done[key] {
		return control.MachineDone, nil
	}
	v := m.endWorker(o)
	m.done[key] = v == control.MachineDone
	return v, nil
}

// Move implements control.Machines.
func (m *simulatedMachines) Move(_ context.Context, o control.MachineOrder) (control.MachineVerdict, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.endWorker(o), nil
}

func (m *simulatedMachines) endWorker(o control.MachineOrder) control.MachineVerdict {
	if o.Token < m.token {
		return control.MachineFenced
	}
	m.token = o.Token
	for i, a := range m.s.agents {
		r := a.host.Current()
		if fmt.Sprint("m", i) != o.Machine {
			continue
		}
		if r == nil {
			return control.MachineBusy
		}
		m.s.logf("%s ends %s", o.Machine, r.Name())
		m.ended[r.Name()] = true
		r.Crash()
		return control.MachineDone
	}
	return control.MachineUnknown
}

// The standing steps of the simulated waves.
const (
	sparedJobs  = 2
	sparedTasks = 6
	sparedCPU   = 3000
	fillerCPU   = 1500
	waveWorkers = 8
	wavesTime   = time.Minute
	// noticeTime is how long a task may be away for another cause than an order before it counts.
	noticeTime = 4500 * time.Millisecond
)

// Guards against standing tasks that are ended beyond what their step allows: waves of upkeep, moves of
// machines and moves of tasks come together, beside cancelled jobs whose room tasks move to.
func TestSimulatedOrdersSpareStandingTasks(t *testing.T) {
	forEachSeed(t, runOrders)
}

func runOrders(t *testing.T, seed int64) {
	ctx, cancel := context.WithCancel(context.Background())
	s := newSimulation(t, ctx, seed, waveWorkers, true)
	defer s.end(cancel)
	rng := rand.New(rand.NewSource(seed))
	s.firstConfig()
	s.sleepWithHeartbeats(3 * time.Second)
	st := newStandingStep(sparedTasks, sparedCPU)
	st.MaxPerWorker, st.MaxUnavailable = 1, 1
	var spared, fillers []string
	for range sparedJobs {
		spared = append(spared, s.submitJob(fmt.Sprintf("lasts=1&cpu=%d", sparedCPU), st))
	}
	s.sleepWithHeartbeats(6 * time.Second)
	fill := func() {
		step := jobs.Step{Count: 4, Need: st.Need, EstimateMS: 100_000}
		step.Need.MilliCPU = fillerCPU
		fillers = append(fillers, s.submitJob(fmt.Sprintf("ms=100000&cpu=%d", fillerCPU), step))
	}
	for range 6 {
		fill()
	}
	wave, completed := uint64(0), 0
	for end := time.Now().Add(wavesTime); time.Now().Before(end); {
		s.sleepWithHeartbeats(time.Duration(1+rng.Intn(4)) * 200 * time.Millisecond)
		switch n := rng.Intn(20); {
		case n < 4 && len(fillers) > 2:
			s.cancelAll(fillers[:2])
			fillers = fillers[2:]
		case n < 10:
			fill()
		case n < 11:
			wave++
			s.startWave(rng, wave)
		case n < 13:
			s.moveMachine(rng.Intn(waveWorkers))
		}
	}
	s.cancelAll(fillers) // a task without room anywhere holds the waves up
	s.sleepWithHeartbeats(wavesTime)
	for n := uint64(1); n <= wave; n++ {
		if s.waveCompleted(n) {
			completed++
		}
	}
	if completed < int(wave) {
		t.Errorf("%d of %d waves were completed", completed, wave)
	}
	for _, id := range spared {
		if err := s.checkSpared(id); err != nil {
			t.Error(err)
		}
	}
	if t.Failed() {
		for _, line := range s.log {
			t.Log(line)
		}
	}
}

func (s *simulation) cancelAll(ids []string) {
	for _, id := range ids {
		if err := s.gateway.Cancel("a.example", s.path(id), time.Second); err != nil {
			s.t.Errorf("job %s was not cancelled: %v", id, err)
		}
	}
}

func (s *simulation) startWave(rng *rand.Rand, number uint64) {
	w := upkeep.Wave{Number: number, DurationMS: int64(4000 + rng.Intn(6000)), MaxConcurrent: 1 + rng.Intn(3)}
	for _, i := range rng.Perm(waveWorkers)[:1+rng.Intn(3)] {
		w.Machines = append(w.Machines, fmt.Sprint("m", i))
	}
	for i := range s.replicas {
		r, _ := s.replica(i)
		if _, err := r.StartWave(w); err == nil {
			s.logf("wave %+v", w)
			return
		}
	}
	s.t.Errorf("wave %d was not accepted", number)
}

func (s *simulation) waveCompleted(number uint64) bool {
	for i := range s.replicas {
		r, _ := s.replica(i)
		if v, err := r.GetWave(control.WaveQuery{Number: number}); err == nil {
			return v.Completed
		}
	}
	return false
}

func (s *simulation) moveMachine(i int) {
	for k := range s.replicas {
		r, _ := s.replica(k)
		_, err := r.MoveMachine(control.MachineMove{Machine: fmt.Sprint("m", i), Pool: "vault"})
		s.logf("move of m%d: %v", i, err)
		if err == nil || refusal.Is(err, refusal.Conflict) {
			return
		}
	}
}

// checkSpared reports an end by an order at which another task of the step was away.
func (s *simulation) checkSpared(job string) error {
	runs := s.runsOf(job)
	for i := range sparedTasks {
		task := jobs.Ref{Job: job, Index: i}.String()
		for _, r := range runs[task] {
			if !s.endedByOrder(r) {
				continue
			}
			for k := range sparedTasks {
				other := jobs.Ref{Job: job, Index: k}.String()
				if other != task && s.away(runs[other], r.EndMS) {
					return fmt.Errorf("an order ended %s at %d while %s was away", task, r.EndMS, other)
				}
			}
		}
	}
	return nil
}

// away reports whether a task with these runs was ended by an order and has not run since, or has not
// run for noticeTime.
func (s *simulation) away(runs []recordedRun, at int64) bool {
	last := recordedRun{}
	for _, r := range runs {
		if r.StartMS > at {
			continue
		}
		if r.EndMS == 0 || r.EndMS > at {
			return false
		}
		if r.EndMS >= last.EndMS {
			last = r
		}
	}
	return s.endedByOrder(last) || at-last.EndMS > noticeTime.Milliseconds()
}

// endedByOrder reports whether a stop, or an order about its machine, ended a run.
func (s *simulation) endedByOrder(r recordedRun) bool {
	s.machines.mu.Lock()
	defer s.machines.mu.Unlock()
	return r.How == jobs.OutcomeStopped.String() || (r.How == standin.HowCrashed && s.machines.ended[r.worker])
}
