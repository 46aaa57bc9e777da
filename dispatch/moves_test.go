package dispatch

import (
	"slices"
	"testing"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

// oneEach is a step of standing tasks of which a worker may have one.
func oneEach(count int) jobs.Step {
	st := serving(count, 1000, "watch")
	st.MaxPerWorker = 1
	return st
}

// stopped returns how many runs of a job the next plan stops.
func (s *harness) stopped(job string) (n int) {
	for _, st := range Plan(s.in).Stops {
		if st.Task.Job == job {
			n++
		}
	}
	return n
}

// Guards against stopping a run to move it although no worker takes it: the other workers have as
// many tasks of its step as they may, or run an isolated suspect.
func TestARunIsMovedOnlyWhereAWorkerTakesIt(t *testing.T) {
	s := newHarness(t, 3)
	job := s.submit(1, "/titles/", 0, oneEach(2))
	s.place(job, "w0", 0)
	s.place(job, "w1", 1)
	s.isolate("w2")
	s.in.Leaving = map[string]bool{"w0": true}
	if n := s.stopped(job); n != 0 {
		t.Fatalf("%d runs were stopped though no worker takes them", n)
	}
	s.in.NowMS += isolationTime.Milliseconds()
	if n := s.stopped(job); n != 1 {
		t.Errorf("%d runs were stopped once w2 takes one, want 1", n)
	}
}

// Guards against moving two runs of a step to the only worker that takes one of them.
func TestTwoRunsAreNotMovedToOnePlace(t *testing.T) {
	s := newHarness(t, 3)
	job := s.submit(1, "/titles/", 0, oneEach(2))
	s.place(job, "w0", 0)
	s.place(job, "w1", 1)
	s.in.Leaving = map[string]bool{"w0": true, "w1": true}
	if n := s.stopped(job); n != 1 {
		t.Errorf("%d runs were stopped for a worker that takes one", n)
	}
}

// Guards against stopping a run of an advised queue before another worker may run it, and against
// never asking which one may: the tickets of its start have run out.
func TestAdviceIsRequestedForRunsThatNeedAnotherWorker(t *testing.T) {
	for name, c := range map[string]struct {
		step    jobs.Step
		prepare func(s *harness, run jobs.Stop)
		placed  bool // the plan places a copy and stops nothing
	}{
		"the worker leaves": {serving(1, 1000, "watch"), func(s *harness, _ jobs.Stop) { s.in.Leaving = map[string]bool{"w0": true} }, false},
		"the run is stuck":  {task(1, 1000, 300), func(s *harness, run jobs.Stop) { s.in.Stuck = []jobs.Stop{run} }, false},
		"its copy": {func() jobs.Step { st := task(1, 1000, 300); st.Speculative = true; return st }(),
			func(s *harness, run jobs.Stop) { s.in.Copies, s.in.Stuck = true, []jobs.Stop{run} }, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newHarness(t, 3)
			tickets := make(map[string]string)
			s.requireAdvice(tickets)
			job := s.submit(1, "/titles/", 0, c.step)
			s.place(job, "w0", 0)
			c.prepare(s, s.RunOn(jobs.Ref{Job: job}, "w0"))
			got := AdviceRequests(s.in)
			if len(got) != 1 || got[0].Tasks < 1 || !slices.Equal(got[0].Open, []string{"w1", "w2"}) {
				t.Errorf("requests for advice: %+v", got)
			}
			if plan := Plan(s.in); !plan.Empty() {
				t.Errorf("a plan without a ticket: %+v", plan)
			}
			tickets["w2"] = "t2"
			if plan := Plan(s.in); len(plan.Placements)+len(plan.Stops) != 1 || (len(plan.Placements) == 1) != c.placed {
				t.Errorf("a plan with a ticket: %+v", plan)
			}
		})
	}
}

// A worker that is too small for a step is not asked about for a move either.
func TestAdviceForAMoveLeavesOutSmallWorkers(t *testing.T) {
	s := newHarness(t, 2)
	s.requireAdvice(nil)
	s.index++
	s.ApplyRegister(jobs.Worker{ID: "w9", Agent: "9", Session: "1", Service: "vault", Capacity: resource.Vector{MilliCPU: 500, MemoryMB: 100}}, s.index)
	s.place(s.submit(1, "/titles/", 0, serving(1, 1000, "watch")), "w0", 0)
	s.in.Leaving = map[string]bool{"w0": true}
	if got := AdviceRequests(s.in); len(got) != 1 || !slices.Equal(got[0].Open, []string{"w1"}) || len(got[0].Full) != 0 {
		t.Errorf("requests for advice: %+v", got)
	}
}
