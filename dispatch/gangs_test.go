package dispatch

import (
	"fmt"
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
	s.makeSuspect(job)
	s.in.WaitTime = func(*jobs.Group) time.Duration { return rackWait + time.Millisecond }
}

// makeSuspect makes a gang a strong suspect.
func (s *harness) makeSuspect(job string) {
	s.Jobs[job].Groups[0].Suspected = &jobs.Suspicion{Crashes: 2, Odds: 200_000}
	s.Rebuild()
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

// Guards against an attempt that is given up and takes with it what other suspects had marked before.
func TestUndoRestoresTheMarksOfBefore(t *testing.T) {
	s := newHarness(t, 1)
	job := s.submit(1, "/titles/", 0, gang(3, 500))
	s.makeSuspect(job)
	p := &planner{in: s.in}
	p.collectCandidates()
	c, before := p.workers["vault"][0], marks{suspects: 2}
	c.marks = before
	f := p.assign(p.requests()[0], false, nil)
	if len(f.candidates) != 3 || c.suspects != 5 || !c.isolated {
		t.Fatalf("the attempt placed %d members and left %+v", len(f.candidates), c.marks)
	}
	free := c.free
	f.undo(&s.Jobs[job].Spec.Steps[0])
	if c.marks != before || c.free.MilliCPU != free.MilliCPU+3*500 {
		t.Errorf("after the attempt was given up: %+v, %+v free", c.marks, c.free)
	}
}

// Guards against suspected gangs that start one after the other, each alone on all workers, while
// everybody else waits for longer than callers may with free capacity.
func TestSuspectedGangsInTurnDoNotKeepOthersWaiting(t *testing.T) {
	const passMS, gangs = 50, 8
	s := newHarness(t, 4)
	s.in.NowMS = 10_000
	since := s.in.NowMS
	s.in.WaitTime = func(*jobs.Group) time.Duration { return ms(float64(s.in.NowMS - since)) }
	for n := range gangs {
		s.makeSuspect(s.submit(n, "/titles/", since, gang(8, 500)))
	}
	low := s.submit(gangs, "/renders/", since, task(2, 500, 300))
	for s.runsOf(low) == 0 && s.in.NowMS-since < 10_000 {
		s.pass()
		s.in.NowMS += passMS
	}
	if waited := ms(float64(s.in.NowMS - since)); waited > 3*time.Second {
		t.Errorf("a job waited for %v behind %d suspected gangs", waited, gangs)
	}
	if alone := s.gangsStartedAlone(since, gangs); alone < 3 {
		t.Errorf("only %d gangs started alone", alone)
	}
}

// gangsStartedAlone counts the first gangs of which each started isolationTime after the one before.
func (s *harness) gangsStartedAlone(sinceMS int64, gangs int) (n int) {
	for ; n < gangs; n++ {
		r := s.Jobs[fmt.Sprintf("%016x", n)].Groups[0].Tasks[0].Placed
		if r == nil || r.AtMS < sinceMS+int64(n)*isolationTime.Milliseconds() {
			return n
		}
	}
	return n
}

// runsOf returns the number of a job's runs.
func (s *harness) runsOf(job string) (n int) {
	for _, runs := range s.runsByWorker(job) {
		n += runs
	}
	return n
}
