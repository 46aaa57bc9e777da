package dispatch

import (
	"testing"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// newMixedHarness has two workers, each with serving tasks of one similarity group, and the given
// steps on the first worker.
func newMixedHarness(t *testing.T, steps ...jobs.Step) *harness {
	s := newHarness(t, 2)
	s.in.Costs = twoSimilarityGroups{costTable{}}
	s.in.NowMS = 1000
	place := func(n int, st jobs.Step, workers ...string) {
		id := s.submit(n, "/titles/", 1000, st)
		pl := jobs.Placement{Job: id, Workers: workers}
		for i := range workers {
			pl.Indexes = append(pl.Indexes, i)
		}
		s.index++
		if _, stale := s.ApplyPlan(jobs.Plan{Placements: []jobs.Placement{pl}, AtMS: 1000}, rules, s.index); stale > 0 {
			t.Fatal("the test's tasks do not fit")
		}
	}
	place(1, serving(3, 2000, "a1"), "w0", "w0", "w0")
	place(2, serving(3, 2000, "b1"), "w1", "w1", "w1")
	for i, st := range steps {
		place(3+i, st, "w0")
	}
	s.in.NowMS += settleTime.Milliseconds()
	return s
}

// Serving tasks of both groups run on one worker, so that nothing may fill there. Once their
// similarities are known the dissimilar one must move to similar ones, and must not move back.
func TestDissimilarTaskMovesToSimilarTasks(t *testing.T) {
	s := newMixedHarness(t, serving(1, 2000, "b2"))
	if plan := Plan(s.in); len(plan.Stops) != 0 {
		t.Fatalf("%d tasks move although Regroup is not set", len(plan.Stops))
	}
	s.in.Regroup = true
	plan := Plan(s.in)
	if len(plan.Stops) != 1 || plan.Stops[0].Task.Job != s.jobAt(3) {
		t.Fatalf("stopped runs: %+v", plan.Stops)
	}
	s.index++
	s.ApplyPlan(plan, rules, s.index)
	s.ApplyEnd("w0", jobs.End{Task: plan.Stops[0].Task, Run: plan.Stops[0].Run, Outcome: jobs.OutcomeStopped}, rules, s.index)
	s.pass()
	if got := s.workersOf(s.jobAt(3)); got["w1"] != 1 {
		t.Errorf("the task was placed on %v", got)
	}
	s.in.NowMS += settleTime.Milliseconds()
	if plan := Plan(s.in); len(plan.Stops) != 0 {
		t.Errorf("runs move again: %+v", plan.Stops)
	}
}

// Guards against regrouping a task while another task of its step is unavailable and no more may
// be, or before it has run for settleTime.
func TestDissimilarTaskStaysWhileItsCallerCannotSpareIt(t *testing.T) {
	for _, waits := range []bool{true, false} {
		tasks := 1
		if waits {
			tasks = 2 // one of which is placed
		}
		s := newMixedHarness(t, withMaxUnavailable(serving(tasks, 1000, "b2"), 1))
		s.in.Regroup = true
		// Many serving tasks, so that maxRegroupShare allows several to move.
		many := s.submit(9, "/titles/", 1000, serving(200, 1, "b1"))
		pl := jobs.Placement{Job: many}
		for i := range 200 {
			pl.Indexes, pl.Workers = append(pl.Indexes, i), append(pl.Workers, "w1")
		}
		s.index++
		s.ApplyPlan(jobs.Plan{Placements: []jobs.Placement{pl}, AtMS: 1000}, rules, s.index)
		if moved := s.stopped(s.jobAt(3)); (moved == 0) != waits {
			t.Errorf("another task of the step waits: %v; %d tasks were moved", waits, moved)
		}
	}
	fresh := newMixedHarness(t, serving(1, 2000, "b2"))
	fresh.in.Regroup = true
	fresh.in.NowMS -= 1
	if plan := Plan(fresh.in); len(plan.Stops) != 0 {
		t.Errorf("runs that have only just started move: %+v", plan.Stops)
	}
}

// Where no similarity is known with confidence, moving a task gains nothing.
func TestNoTaskMovesWhileSimilarityIsUnknown(t *testing.T) {
	s := newMixedHarness(t, serving(1, 2000, "b2"))
	s.in.Costs = costTable{}
	s.in.Regroup = true
	if plan := Plan(s.in); len(plan.Stops) != 0 {
		t.Errorf("tasks move: %+v", plan.Stops)
	}
}
