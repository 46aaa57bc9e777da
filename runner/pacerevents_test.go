package runner

import (
	"slices"
	"testing"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// The log must show when a watcher's tail was over its target, and which image beside it took
// most of its headroom.
func TestViolationsOfTheTargetAreReported(t *testing.T) {
	s := newSimulation(t)
	s.learnCosts("heavy", "light")
	s.read()
	s.pressure["heavy"] = 0.4
	s.read()
	reported := s.p.takeEvents().violations
	if len(reported) != 1 || reported[0].culprit != "heavy" || reported[0].run.task.Job != "watch" || !reported[0].ended.IsZero() {
		t.Fatalf("reported %+v", reported)
	}
	began := s.now
	for range 6 {
		s.read()
	}
	reported = s.p.takeEvents().violations
	if len(reported) != 1 || reported[0].ended.IsZero() || reported[0].began != began {
		t.Errorf("then reported %+v", reported)
	}
}

// Guards against a served task over its target of which no log tells, since its group's median
// is within it: two tasks of a job read 70 and 30 ms of 50.
func TestViolationOfASingleTaskIsReported(t *testing.T) {
	s := newSimulation(t)
	s.learnCosts("heavy", "light")
	for i := range 2 {
		s.now = s.now.Add(readingInterval)
		s.apply(s.p.next(s.now, []RunningRun{
			{Task: jobs.Ref{Job: "watch"}, Run: 1, Measured: 70 + float64(i)}, {Task: jobs.Ref{Job: "watch", Index: 1}, Run: 1, Measured: 30},
			{Task: jobs.Ref{Job: "heavy"}, Run: 1, Measured: s.use("heavy") * milliPerProcessor}}, s.lookup))
	}
	if tail := s.p.worstTail(); tail < 1.4 {
		t.Errorf("the log of paces tells a tail of %.2f of the target", tail)
	}
	reported := s.p.takeEvents().violations
	if len(reported) != 1 || reported[0].run.task.Index != 0 || reported[0].groupTailMS != 30 || reported[0].culprit != "heavy" {
		t.Fatalf("reported %+v", reported)
	}
	s.read()
	reported = s.p.takeEvents().violations
	if len(reported) != 1 || reported[0].ended.IsZero() || reported[0].readings != 2 || reported[0].hidden != 2 {
		t.Errorf("then reported %+v", reported)
	}
}

// Guards against a verdict that no log tells: why filling runs were stopped or released.
func TestRuleForPacesIsReported(t *testing.T) {
	s := newSimulation(t)
	s.tail = 300
	var rules []string
	for range 12 {
		s.read()
		for _, c := range s.p.takeEvents().commands {
			rules = append(rules, c.to.String())
		}
	}
	if want := []string{"stop all", "release all", "stop all"}; !slices.Equal(rules[:min(3, len(rules))], want) {
		t.Errorf("reported %v, want them to begin with %v", rules, want)
	}
}

// newStoppedSimulation returns a worker whose heavy render has been stopped for the sake of a watcher
// far over its target.
func newStoppedSimulation(t *testing.T) *simulation {
	t.Helper()
	s := newSimulation(t)
	s.learnCosts("heavy", "light")
	s.tail = 300
	for range 3 {
		s.read()
	}
	if s.pace["heavy"] != 0 {
		t.Fatalf("paces are %v", s.pace)
	}
	return s
}

// Guards against a pace that isn't kept without a trace: the worker carries out a call that went
// unanswered after a newer one.
func TestExceededPaceIsReported(t *testing.T) {
	s := newStoppedSimulation(t)
	if e := s.p.takeEvents().exceeded; len(e) > 0 {
		t.Fatalf("reported %+v, paces are %v", e, s.pace)
	}
	s.pace["heavy"] = fullPace
	s.read()
	if e := s.p.takeEvents().exceeded; len(e) != 1 || e[0].run.task.Job != "heavy" || e[0].percent != 0 {
		t.Errorf("reported %+v", e)
	}
}

// Guards against a run that works on at full pace for good: a pace call that went unanswered was
// carried out after a newer one.
func TestExceededPaceIsSetAgain(t *testing.T) {
	s := newStoppedSimulation(t)
	s.pace["heavy"] = fullPace
	s.read()
	if s.pace["heavy"] != 0 {
		t.Errorf("paces are %v", s.pace)
	}
}
