package dispatch

import (
	"testing"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

func bound(st jobs.Step, n int) jobs.Step {
	st.MaxUnavailable = n
	return st
}

// A machine is to go down for its upkeep while a caller's standing tasks run on it, of
// which one may be away. They leave one at a time, each once the last is at work again;
// the worker may be ended only when that takes no more away than allowed.
func TestStandingTasksLeaveOneAtATime(t *testing.T) {
	s := newScene(t, 3)
	job := s.submit(1, "/titles/", 1000, bound(serving(2, 4000, "watch"), 1))
	s.in.NowMS = 1000
	s.pass()
	g := s.Jobs[job].Group(0, 0)
	from := g.Tasks[0].Placed.Worker
	if g.Tasks[1].Placed.Worker != from {
		t.Fatal("the scene needs both tasks on one worker")
	}
	s.in.Leaving = map[string]bool{from: true}
	stops := func() int { return len(Next(s.in).Stops) }
	if n := stops(); n != 0 {
		t.Fatalf("%d tasks were moved before any was at work", n)
	}
	s.in.NowMS += settleTime.Milliseconds()
	plan := Next(s.in)
	if len(plan.Stops) != 1 {
		t.Fatalf("%d tasks were moved at once", len(plan.Stops))
	}
	if Spared(s.State, from, s.in.NowMS) {
		t.Fatal("a worker with two of two tasks may be ended")
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
	if n := stops(); n != 0 || Spared(s.State, from, s.in.NowMS) {
		t.Fatalf("%d more tasks were moved while one starts, or the worker may be ended", n)
	}
	s.in.NowMS += settleTime.Milliseconds()
	if n := stops(); n != 1 || !Spared(s.State, from, s.in.NowMS) {
		t.Fatalf("%d tasks were moved once the other is at work again", n)
	}
	s.ApplyCancel(job, s.index+1)
	if !Spared(s.State, from, 0) {
		t.Fatal("a cancelled job's tasks keep their worker")
	}
}
