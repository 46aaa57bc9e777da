package dispatch

import (
	"testing"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// mixed is a scene in which two workers have served tasks of both kinds, and room for one more.
func mixed(t *testing.T, steps ...jobs.Step) *scene {
	s := newScene(t, 2)
	s.in.Costs = twoKinds{table{}}
	s.in.NowMS = 1000
	place := func(n int, st jobs.Step, workers ...string) {
		id := s.submit(n, "/titles/", 1000, st)
		pl := jobs.Placement{Job: id, Workers: workers}
		for i := range workers {
			pl.Indexes = append(pl.Indexes, i)
		}
		s.index++
		if _, stale := s.ApplyPlan(jobs.Plan{Placements: []jobs.Placement{pl}, AtMS: 1000}, rules, s.index); stale > 0 {
			t.Fatal("the scene does not fit")
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

// Served tasks of both kinds stand on one worker, so that nothing may fill there. Once their
// kinds are known the one that is strange there moves to its like; never one that its caller
// can't spare now, nor back and forth.
func TestAStrangerMovesToItsLike(t *testing.T) {
	s := mixed(t, serving(1, 2000, "b2"))
	if plan := Next(s.in); len(plan.Stops) != 0 {
		t.Fatalf("%d tasks move though it was not asked", len(plan.Stops))
	}
	s.in.Regroup = true
	plan := Next(s.in)
	if len(plan.Stops) != 1 || plan.Stops[0].Task.Job != s.jobAt(3) {
		t.Fatalf("the stops are %+v", plan.Stops)
	}
	s.index++
	s.ApplyPlan(plan, rules, s.index)
	s.ApplyEnd("w0", jobs.End{Task: plan.Stops[0].Task, Run: plan.Stops[0].Run, Outcome: jobs.OutcomeStopped}, rules, s.index)
	s.pass()
	if got := s.workersOf(s.jobAt(3)); got["w1"] != 1 {
		t.Errorf("it went to %v", got)
	}
	s.in.NowMS += settleTime.Milliseconds()
	if plan := Next(s.in); len(plan.Stops) != 0 {
		t.Errorf("%+v move again", plan.Stops)
	}
}

func TestAStrangerStaysWhileItsCallerCannotSpareIt(t *testing.T) {
	for _, waits := range []bool{true, false} {
		tasks := 1
		if waits {
			tasks = 2 // of which the scene places one
		}
		s := mixed(t, bound(serving(tasks, 1000, "b2"), 1))
		s.in.Regroup = true
		// A fleet of which several may move at a time: it isn't the bound on these.
		many := s.submit(9, "/titles/", 1000, serving(200, 1, "b1"))
		pl := jobs.Placement{Job: many}
		for i := range 200 {
			pl.Indexes, pl.Workers = append(pl.Indexes, i), append(pl.Workers, "w1")
		}
		s.index++
		s.ApplyPlan(jobs.Plan{Placements: []jobs.Placement{pl}, AtMS: 1000}, rules, s.index)
		moved := 0
		for _, st := range Next(s.in).Stops {
			if st.Task.Job == s.jobAt(3) {
				moved++
			}
		}
		if (moved == 0) != waits {
			t.Errorf("another task of the step waits: %v; %d were moved", waits, moved)
		}
	}
	fresh := mixed(t, serving(1, 2000, "b2"))
	fresh.in.Regroup = true
	fresh.in.NowMS -= 1
	if plan := Next(fresh.in); len(plan.Stops) != 0 {
		t.Errorf("%+v move that have only just begun", plan.Stops)
	}
}

// Where no like is known there is nothing to gain.
func TestNothingMovesAmongThoseNotKnown(t *testing.T) {
	s := mixed(t, serving(1, 2000, "b2"))
	s.in.Costs = table{}
	s.in.Regroup = true
	if plan := Next(s.in); len(plan.Stops) != 0 {
		t.Errorf("%+v move", plan.Stops)
	}
}
