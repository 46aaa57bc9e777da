package dispatch

import (
	"testing"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

func copied(st jobs.Step) jobs.Step {
	st.Speculative = true
	return st
}

// copiesAt makes a pass at a time and returns where copies of a job's tasks go.
func (s *scene) copiesAt(nowMS int64) []string {
	s.t.Helper()
	s.in.NowMS, s.in.Copies = nowMS, true
	plan := Next(s.in)
	s.index++
	if _, stale := s.ApplyPlan(plan, rules, s.index); stale > 0 {
		s.t.Fatalf("%d placements of a plan for this very state did not hold", stale)
	}
	var out []string
	for _, p := range plan.Placements {
		if p.Copy {
			out = append(out, p.Workers...)
		}
	}
	return out
}

// One of two tasks is on a worker that has become slow; the other took 700 ms. A second
// step of 1 s follows, so the caller's objective is 1.5 x 1.7 s + 250 ms = 2.8 s. A copy
// that begins within 1.1 s makes it; one begun while the run may still end by itself
// would be work for nothing.
func TestACopyBeginsWhileItCanStillBeInTime(t *testing.T) {
	s := newScene(t, 3)
	next := task(1, 1000, 1000)
	next.DependsOn = []int{0}
	job := s.submit(1, "/titles/", 1000, copied(task(2, 1000, 1000)), next)
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
		t.Fatalf("a run of 900 ms where 700 were expected has copies on %v", got)
	}
	at := s.Jobs[job].Group(0, 0).Tasks[1].Placed.Worker
	got := s.copiesAt(2050)
	if len(got) != 1 || got[0] == at {
		t.Fatalf("a run of 1050 ms on %s where 700 were expected has copies on %v", at, got)
	}
	if got := s.copiesAt(2300); len(got) != 0 {
		t.Fatalf("the copied task has more copies, on %v", got)
	}
}

// end ends one task of a job's first step.
func (s *scene) end(job string, index int) {
	r := s.Jobs[job].Group(0, 0).Tasks[index].Placed
	s.index++
	s.ApplyEnd(r.Worker, jobs.End{Task: jobs.Ref{Job: job, Index: index}, Run: r.Run, Outcome: jobs.OutcomeDone}, rules, s.index)
}

// A worker hangs: its run shows no progress, and no stop of it may ever be answered. A
// step that allows copies gets one at once, one that doesn't is moved by a stop; a copy
// never goes to a worker that is known to be slow itself.
func TestAStuckRunIsCopiedWhereThatIsAllowed(t *testing.T) {
	s := newScene(t, 2)
	job := s.submit(1, "/titles/", 1000, copied(task(1, 1000, 9000)))
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
		t.Fatal("the run was stopped though its copy may be the slower one")
	}
}

// Where all workers are full a copy has no place, and a task that waits goes first.
func TestACopyTakesNoWaitingTasksPlace(t *testing.T) {
	s := newScene(t, 2)
	job := s.submit(1, "/titles/", 1000, copied(task(1, 6000, 1000)))
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

// BenchmarkLookForCopies is one look at 4,200 tasks that may have a copy: a third of the
// look-ups of the size designed for.
func BenchmarkLookForCopies(b *testing.B) {
	s := newScene(&testing.T{}, 200)
	for i := range 700 {
		s.submit(i+1, "/titles/", 1000, copied(task(6, 100, 1000)))
	}
	s.in.NowMS = 1000
	for len(s.pass()) > 0 {
	}
	s.in.NowMS, s.in.Copies = 1100, true
	for b.Loop() {
		if plan := Next(s.in); !plan.Empty() {
			b.Fatal("a copy was placed")
		}
	}
}
