package dispatch

import (
	"testing"

	"github.com/waxwinghaven/waxwinghaven/datacentre"
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
	if MayStop(s.State, from, s.in.NowMS, Absences{}) {
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
	if n := stops(); n != 0 || MayStop(s.State, from, s.in.NowMS, Absences{}) {
		t.Fatalf("%d more tasks were moved while one starts, or the worker may be stopped", n)
	}
	s.in.NowMS += settleTime.Milliseconds()
	if n := stops(); n != 1 || !MayStop(s.State, from, s.in.NowMS, Absences{}) {
		t.Fatalf("%d tasks were moved once the other is running again, want 1, or the worker may not be stopped", n)
	}
	s.ApplyCancel(job, s.index+1)
	if !MayStop(s.State, from, 0, Absences{}) {
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
	if !MayStop(s.State, "w0", s.in.NowMS, Absences{}) || !MayStop(s.State, "w1", s.in.NowMS, Absences{}) {
		t.Error("a worker alone may not be stopped")
	}
	if MayStop(s.State, "w1", s.in.NowMS, Absences{Ending: map[string]bool{"w0": true}}) || MayStop(s.State, "w0", s.in.NowMS, Absences{Ending: map[string]bool{"w1": true}}) {
		t.Error("both workers may be stopped together")
	}
}

// spread places the two tasks of a step, of which one may be unavailable, on two workers and lets them
// settle.
func spread(t *testing.T, s *harness) (job string) {
	t.Helper()
	st := oneEach(2)
	st.MaxUnavailable = 1
	job = s.submit(1, "/titles/", 0, st)
	s.place(job, "w0", 0)
	s.place(job, "w1", 1)
	s.in.NowMS += settleTime.Milliseconds()
	return job
}

// Guards against a task that is moved off a machine before its upkeep, or off a drained data centre,
// while a task of its step ends with another machine, though its worker is still registered.
func TestTaskIsNotMovedWhileAnotherEndsWithItsMachine(t *testing.T) {
	for _, leaving := range []bool{true, false} {
		s := newHarness(t, 4)
		spread(t, s)
		if leaving {
			s.in.Leaving = map[string]bool{"w0": true, "w1": true}
		} else {
			s.assignDataCentres("hall-a", "hall-b", "hall-a", "hall-b")
			s.order("hall-a", datacentre.Draining)
		}
		s.in.Absences.Ending = map[string]bool{"w1": true}
		for _, st := range Plan(s.in).Stops {
			if st.Task.Index == 0 {
				t.Errorf("leaving %v: a second task was stopped", leaving)
			}
		}
		s.in.Absences.Ending = nil
		if len(Plan(s.in).Stops) == 0 {
			t.Errorf("leaving %v: no task is moved while both are available", leaving)
		}
	}
}

// Guards against the same fault in regrouping.
func TestTaskIsNotRegroupedWhileAnotherEndsWithItsMachine(t *testing.T) {
	for _, ending := range []bool{true, false} {
		s := newMixedHarness(t, withMaxUnavailable(serving(2, 1000, "b2"), 1))
		s.place(s.jobAt(3), "w1", 1)
		many := s.submit(9, "/titles/", 1000, serving(200, 1, "b1")) // so that several tasks may move
		for i := range 200 {
			s.place(many, "w1", i)
		}
		s.in.NowMS += settleTime.Milliseconds()
		s.in.Regroup = true
		if ending {
			s.in.Absences.Ending = map[string]bool{"w1": true}
		}
		if moved := s.stopped(s.jobAt(3)); (moved == 0) != ending {
			t.Errorf("the worker of another task ends: %v; %d tasks were moved", ending, moved)
		}
	}
}

// Guards against a worker that is stopped, or a task that is moved, while a task of the same step is on
// a worker that has fallen silent and whose lease has not ended yet.
func TestTasksOfSilentWorkersCountAsUnavailable(t *testing.T) {
	s := newHarness(t, 4)
	spread(t, s)
	silent := Absences{Silent: func(worker string) bool { return worker == "w0" }}
	if MayStop(s.State, "w1", s.in.NowMS, silent) {
		t.Error("a worker may be stopped while a task's sister is on a silent worker")
	}
	s.in.Absences, s.in.Leaving = silent, map[string]bool{"w1": true}
	if n := len(Plan(s.in).Stops); n != 0 {
		t.Errorf("%d tasks were moved while their sister is on a silent worker", n)
	}
}

// Guards against a wave that waits for steps which have no task on the worker to be stopped.
func TestWorkerMayBeStoppedBesideAbsencesOfOtherSteps(t *testing.T) {
	s := newHarness(t, 3)
	spread(t, s)
	if !MayStop(s.State, "w2", s.in.NowMS, Absences{Ending: map[string]bool{"w0": true, "w1": true}}) {
		t.Error("a worker without tasks of the step may not be stopped")
	}
}

// Guards against a worker that is stopped, or a task that is moved, while a task of the same step is
// placed and has not got to work.
func TestTasksThatAreNotAtWorkCountAsUnavailable(t *testing.T) {
	s := newHarness(t, 4)
	spread(t, s)
	idle := Absences{Idle: func(_ jobs.Ref, r *jobs.Placed) bool { return r.Worker == "w0" }}
	if MayStop(s.State, "w1", s.in.NowMS, idle) {
		t.Error("a worker may be stopped while a task's sister is not at work")
	}
	if !MayStop(s.State, "w0", s.in.NowMS, idle) {
		t.Error("the worker of the only task that is not at work may not be stopped")
	}
	s.in.Absences, s.in.Leaving = idle, map[string]bool{"w1": true}
	if n := len(Plan(s.in).Stops); n != 0 {
		t.Errorf("%d tasks were moved while their sister is not at work", n)
	}
}
