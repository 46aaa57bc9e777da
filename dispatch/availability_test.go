package dispatch

import (
	"testing"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

func withMaxUnavailable(st jobs.Step, n int) jobs.Step {
	st.MaxUnavailable = n
	return st
}

// A machine is to go down for maintenance while it runs a caller's standing tasks, one of which
// may be unavailable. They must move one at a time, each once the previous one is running again.
// The worker may be stopped only when no more tasks than allowed become unavailable.
func TestStandingTasksLeaveOneAtATime(t *testing.T) {
	s := newHarness(t, 3)
	job := s.submit(1, "/titles/", 1000, withMaxUnavailable(serving(2, 4000, "watch"), 1))
	s.in.NowMS = 1000
	s.pass()
	g := s.Jobs[job].Group(0, 0)
	from := g.Tasks[0].Placed.Worker
	if g.Tasks[1].Placed.Worker != from {
		t.Fatal("the test needs both tasks on one worker")
	}
	s.in.Leaving = map[string]bool{from: true}
	stops := func() int { return len(Plan(s.in).Stops) }
	if n := stops(); n != 0 {
		t.Fatalf("%d tasks were moved before any was running", n)
	}
	s.in.NowMS += settleTime.Milliseconds()
	plan := Plan(s.in)
	if len(plan.Stops) != 1 {
		t.Fatalf("%d tasks were moved together", len(plan.Stops))
	}
	if MayStop(s.State, []string{from}, s.in.NowMS) {
		t.Fatal("a worker with both of two tasks may be stopped")
	}
	s.index++
	s.ApplyPlan(plan, rules, s.index)
	if n := stops(); n != 0 {
		t.Fatalf("%d more tasks were moved while one stops", n)
	}
	st := plan.Stops[0]
	s.index++
	s.ApplyEnd(from, jobs.End{Task: st.Task, Run: st.Run, Outcome: jobs.OutcomeStopped}, rules, s.index)
	s.pass()
	if at := g.Tasks[st.Task.Index].Placed; at == nil || at.Worker == from {
		t.Fatalf("the moved task is at %+v", at)
	}
	if n := stops(); n != 0 || MayStop(s.State, []string{from}, s.in.NowMS) {
		t.Fatalf("%d more tasks were moved while one starts, or the worker may be stopped", n)
	}
	s.in.NowMS += settleTime.Milliseconds()
	if n := stops(); n != 1 || !MayStop(s.State, []string{from}, s.in.NowMS) {
		t.Fatalf("%d tasks were moved once the other is running again, want 1, or the worker may not be stopped", n)
	}
	s.ApplyCancel(job, s.index+1)
	if !MayStop(s.State, []string{from}, 0) {
		t.Fatal("a cancelled job's tasks keep their worker from being stopped")
	}
}

// Guards against stopping two workers that each run one task of a step of which one may be
// unavailable: each of them alone may be stopped.
func TestWorkersAreStoppedTogetherOnlyIfTheirTasksMay(t *testing.T) {
	s := newHarness(t, 2)
	st := oneEach(2)
	st.MaxUnavailable = 1
	job := s.submit(1, "/titles/", 0, st)
	s.place(job, "w0", 0)
	s.place(job, "w1", 1)
	s.in.NowMS += settleTime.Milliseconds()
	if !MayStop(s.State, []string{"w0"}, s.in.NowMS) || !MayStop(s.State, []string{"w1"}, s.in.NowMS) {
		t.Error("a worker alone may not be stopped")
	}
	if MayStop(s.State, []string{"w0", "w1"}, s.in.NowMS) {
		t.Error("both workers may be stopped together")
	}
}
