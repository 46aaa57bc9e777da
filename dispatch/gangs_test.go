package dispatch

import (
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// gang is a step whose tasks start together.
func gang(count int, cpu int64) jobs.Step {
	st := task(count, cpu, 300)
	st.Gang = true
	return st
}

// suspectGang makes a gang a strong suspect that has waited for longer than a rack is waited for.
func (s *harness) suspectGang(job string) {
	s.Jobs[job].Groups[0].Suspected = &jobs.Suspicion{Crashes: 2, Odds: 200_000}
	s.Rebuild()
	s.in.WaitTime = func(*jobs.Group) time.Duration { return rackWait + time.Millisecond }
}

// Guards against racks that are tried for a suspected gang, are too small for it and stay isolated:
// neither the gang nor any job of lower priority would ever start.
func TestASuspectedGangWiderThanARackStarts(t *testing.T) {
	s := newHarness(t, 6) // two workers a rack
	wide := gang(6, 5000)
	wide.RackSensitive, wide.MaxPerWorker = true, 1
	job := s.submit(1, "/titles/", 0, wide)
	s.suspectGang(job)
	low := s.submit(2, "/renders/", 0, task(2, 500, 300))
	if got := s.pass()[job]; got != 6 {
		t.Fatalf("%d of 6 members were placed", got)
	}
	s.in.NowMS += isolationTime.Milliseconds()
	if got := s.pass()[low]; got != 2 {
		t.Errorf("%d of 2 tasks of lower priority were placed once the gang was cleared", got)
	}
}

// Guards against a suspected gang for which there is no room, and which keeps every worker that it
// was tried on from jobs of lower priority.
func TestASuspectedGangThatDoesNotFitKeepsNobodyWaiting(t *testing.T) {
	s := newHarness(t, 5)
	wide := gang(12, 500)
	wide.MaxPerWorker = 2
	job := s.submit(1, "/titles/", 0, wide)
	s.suspectGang(job)
	low := s.submit(2, "/renders/", 0, task(2, 500, 300))
	if got := s.pass(); got[job] != 0 || got[low] != 2 {
		t.Errorf("placed %v, want 2 tasks of %s", got, low)
	}
}

// Guards against the opposite fault: a gang that is tried and doesn't fit must not end the isolation
// of another suspect's run.
func TestAGangThatDoesNotFitEndsNoIsolation(t *testing.T) {
	s := newHarness(t, 3)
	isolated := submitCrashingTask(s, 1)
	s.pass()
	wide := gang(8, 500)
	wide.MaxPerWorker = 2
	s.suspectGang(s.submit(2, "/titles/", s.in.NowMS, wide))
	other := s.submit(3, "/renders/", s.in.NowMS, task(12, 500, 300))
	s.pass()
	for worker := range s.runsByWorker(isolated) {
		if n := s.runsByWorker(other)[worker]; n > 0 {
			t.Errorf("%d tasks started beside an isolated run on %s", n, worker)
		}
	}
	if len(s.runsByWorker(isolated)) != 1 || len(s.runsByWorker(other)) == 0 {
		t.Errorf("the suspect runs on %v, others on %v", s.runsByWorker(isolated), s.runsByWorker(other))
	}
}
