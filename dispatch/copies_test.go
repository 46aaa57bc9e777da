package dispatch

import (
	"testing"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

func speculative(st jobs.Step) jobs.Step {
	st.Speculative = true
	return st
}

// copiesAt runs a pass at the given time and returns the workers that copies are placed on.
func (s *harness) copiesAt(nowMS int64) []string {
	s.t.Helper()
	s.in.NowMS, s.in.Copies = nowMS, true
	plan := Plan(s.in)
	s.index++
	if _, stale := s.ApplyPlan(plan, rules, s.index); stale > 0 {
		s.t.Fatalf("%d placements of a plan for the current state were rejected", stale)
	}
	var out []string
	for _, p := range plan.Placements {
		if p.Copy {
			out = append(out, p.Workers...)
		}
	}
	return out
}

// One of two tasks is on a worker that has become slow; the other took 700 ms. A second step of 1
// s follows, so the job's objective is 1.5 x 1.7 s + 250 ms = 2.8 s. A copy started within 1.1 s
// is in time. Started while the run may still end by itself, it would be wasted work.
func TestACopyBeginsWhileItCanStillBeInTime(t *testing.T) {
	s := newHarness(t, 3)
	next := task(1, 1000, 1000)
	next.DependsOn = []int{0}
	job := s.submit(1, "/titles/", 1000, speculative(task(2, 1000, 1000)), next)
	s.in.NowMS = 1000
	if s.pass()[job] != 2 {
		t.Fatal("the first step was not placed")
	}
	s.end(job, 0)
	s.in.Estimates.Measured = func(k jobs.GroupKey) float64 {
		if k.Step == 0 {
			return 700
		}
		return 0
	}
	if got := s.copiesAt(1900); len(got) != 0 {
		t.Fatalf("a run of 900 ms where 700 ms are expected has copies on %v", got)
	}
	at := s.Jobs[job].Group(0, 0).Tasks[1].Placed.Worker
	got := s.copiesAt(2050)
	if len(got) != 1 || got[0] == at {
		t.Fatalf("a run of 1050 ms on %s where 700 ms are expected has copies on %v", at, got)
	}
	if got := s.copiesAt(2300); len(got) != 0 {
		t.Fatalf("the copied task has more copies, on %v", got)
	}
}

// end ends one task of a job's first step.
func (s *harness) end(job string, index int) {
	r := s.Jobs[job].Group(0, 0).Tasks[index].Placed
	s.index++
	s.ApplyEnd(r.Worker, jobs.End{Task: jobs.Ref{Job: job, Index: index}, Run: r.Run, Outcome: jobs.OutcomeDone}, rules, s.index)
}

// A worker hangs: its run makes no progress, and a stop of it may never be confirmed. A step that
// allows copies gets one immediately instead of a stop. A copy never goes to a worker that is
// known to be slow.
func TestAStuckRunIsCopiedWhereThatIsAllowed(t *testing.T) {
	s := newHarness(t, 2)
	job := s.submit(1, "/titles/", 1000, speculative(task(1, 1000, 9000)))
	s.in.NowMS = 1000
	s.pass()
	r := s.Jobs[job].Group(0, 0).Tasks[0].Placed
	s.in.Stuck = []jobs.Stop{{Task: jobs.Ref{Job: job}, Run: r.Run}}
	s.in.Slowness = func(worker string) float64 {
		if worker != r.Worker {
			return 1
		}
		return 0
	}
	if got := s.copiesAt(1500); len(got) != 0 {
		t.Fatalf("a copy went to the slow worker %v", got)
	}
	s.in.Slowness = nil
	if got := s.copiesAt(1500); len(got) != 1 || got[0] == r.Worker {
		t.Fatalf("the stuck run on %s has copies on %v", r.Worker, got)
	}
	if r.Stopping {
		t.Fatal("the run was stopped although its copy may be slower")
	}
}

// A waiting task goes before a copy, which isn't placed if no capacity remains.
func TestACopyTakesNoWaitingTasksPlace(t *testing.T) {
	s := newHarness(t, 2)
	job := s.submit(1, "/titles/", 1000, speculative(task(1, 6000, 1000)))
	s.in.NowMS = 1000
	s.pass()
	r := s.Jobs[job].Group(0, 0).Tasks[0].Placed
	s.in.Stuck = []jobs.Stop{{Task: jobs.Ref{Job: job}, Run: r.Run}}
	other := s.submit(2, "/titles/", 1000, task(1, 6000, 1000))
	if got := s.copiesAt(2000); len(got) != 0 {
		t.Fatalf("a copy went to %v", got)
	}
	if s.Jobs[other].Active() != 1 {
		t.Fatal("the waiting task was not placed")
	}
}

// BenchmarkLookForCopies measures one search of 4,200 tasks that may be copied, a third of the
// look-up tasks at the size that the system is designed for.
func BenchmarkLookForCopies(b *testing.B) {
	s := newHarness(&testing.T{}, 200)
	for i := range 700 {
		s.submit(i+1, "/titles/", 1000, speculative(task(6, 100, 1000)))
	}
	s.in.NowMS = 1000
	for len(s.pass()) > 0 {
	}
	s.in.NowMS, s.in.Copies = 1100, true
	for b.Loop() {
		if plan := Plan(s.in); !plan.Empty() {
			b.Fatal("a copy was placed")
		}
	}
}
