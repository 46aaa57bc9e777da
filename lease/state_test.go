package lease

import (
	"testing"

	"github.com/waxwinghaven/waxwinghaven/market"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

// placeAndRestart places a task on an agent's worker, restarts the worker after age milliseconds and
// returns the task.
func placeAndRestart(t *testing.T, s *State, id string, age int64, now *int64) *Task {
	t.Helper()
	limits := Limits{Capacity: func(string) AgentCapacity {
		return AgentCapacity{Boot: "boot", Total: resource.Vector{MilliCPU: 1000, MemoryMB: 1000}, Schedulable: true}
	}, Quota: func(string) resource.Vector { return resource.Vector{} }}
	p := Plan{Placements: []Placement{{Task: id, Agent: "a", Boot: "boot", Attempt: s.Tasks[id].Attempt + 1}}}
	if r := s.ApplyPlan(p, limits, *now); r.Placed != 1 {
		t.Fatalf("not placed: %+v", r)
	}
	*now += age
	s.ApplyWorkerRestarted("a", "boot", *now)
	return s.Tasks[id]
}

// A task crashes the worker that starts it. The worker reports no failure but only restarts, so the
// task would be started again without end and take the worker's other tasks down each time. It must
// be set aside with a reason, unless it worked for long in between.
func TestTaskWhoseWorkersKeepRestartingIsSetAside(t *testing.T) {
	job := &market.Job{Name: "render", Team: "team", Class: market.ClassBatch, MilliCPU: 100, MemoryMB: 10, RunTimeMS: 1000}
	for _, c := range []struct {
		name string
		ages []int64 // of the attempts, in turn
		most int
		want Phase
	}{
		{"each time soon after its start", []int64{10}, maxRestarts, SetAside},
		{"now and then", []int64{10, 10, restartWindowMS}, 4 * maxRestarts, Waiting},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, now := NewState(), int64(1000)
			if _, err := s.ApplySubmit(Submit{ID: "s", Market: "vault", Job: "render", Count: 1, IssuedMS: now}, job, now); err != nil {
				t.Fatal(err)
			}
			id := taskID("s", 0)
			for n := range c.most {
				task := placeAndRestart(t, s, id, c.ages[n%len(c.ages)], &now)
				if task.Phase != Waiting && n < c.most-1 {
					t.Fatalf("%v after %d restarts: %s", task.Phase, n+1, task.Reason)
				}
			}
			if task := s.Tasks[id]; task.Phase != c.want || (c.want == SetAside && task.Reason == "") {
				t.Errorf("the task is %v (%q), want %v", task.Phase, task.Reason, c.want)
			}
		})
	}
}
