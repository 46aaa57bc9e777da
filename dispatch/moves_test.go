package dispatch

import (
	"testing"

	"github.com/waxwinghaven/waxwinghaven/jobs"
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
