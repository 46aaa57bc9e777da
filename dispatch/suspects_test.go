package dispatch

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// crash makes a worker crash with all its runs, as if they had just started, and registers its
// next incarnation.
func (s *harness) crash(worker string) {
	s.t.Helper()
	w := *s.Workers[worker]
	c := jobs.Crash{Worker: worker}
	for _, ref := range s.RunsOn(worker) {
		c.Runs = append(c.Runs, jobs.CrashedRun{Task: ref, Run: s.RunOn(ref, worker).Run, ToMS: 10})
	}
	w.ID += "'"
	s.index++
	s.ApplyRegister(w, s.index)
	s.ApplyCrash(c, w.Agent, s.index)
}

// runsByWorker counts a job's runs by worker.
func (s *harness) runsByWorker(job string) map[string]int {
	out := make(map[string]int)
	for _, g := range s.Jobs[job].Groups {
		for i := range g.Tasks {
			for _, r := range g.Tasks[i].Runs() {
				out[r.Worker]++
			}
		}
	}
	return out
}

// Eight identical tasks run on one worker, which crashes and returns empty. Without spreading,
// all of them would be placed there again and crash it again with the one that causes it. Spread,
// seven of them finish elsewhere.
func TestSuspectsAreSpread(t *testing.T) {
	s := newHarness(t, 4)
	for i := range 3 {
		s.submit(100+i, "/titles/", 0, serving(1, 3000, "watch"))
	}
	s.pass()
	job := s.submit(1, "/titles/", 0, task(8, 500, 300))
	s.place(job, "w1", 0, 1, 2, 3, 4, 5, 6, 7)
	s.crash("w1")
	s.in.NowMS = 10_000
	s.pass()
	for worker, n := range s.runsByWorker(job) {
		if n > 3 {
			t.Errorf("%d of 8 suspects were placed on %s: %v", n, worker, s.runsByWorker(job))
		}
	}
	if got := len(s.runsByWorker(job)); got < 4 {
		t.Errorf("the suspects are on only %d of 4 workers", got)
	}
}

// Guards against placing suspects beside standing tasks, which each crash makes unavailable for
// seconds: the suspect goes to the worker with more load and no standing task.
func TestASuspectKeepsAwayFromStandingTasks(t *testing.T) {
	s := newHarness(t, 4)
	standing := s.submit(1, "/titles/", 0, serving(2, 3000, "watch"))
	s.place(standing, "w0", 0)
	s.place(standing, "w1", 1)
	s.place(s.submit(2, "/titles/", 0, task(1, 4000, 300)), "w2", 0)
	job := s.submit(3, "/titles/", 0, task(1, 500, 300))
	s.place(job, "w3", 0)
	s.crash("w3")
	s.in.NowMS = 10_000
	s.pass()
	if s.runsByWorker(job)["w2"] != 1 {
		t.Errorf("the suspect is on %v, want w2", s.runsByWorker(job))
	}
}

// submitCrashingTask submits a job whose only task crashes a worker right after its start.
func submitCrashingTask(s *harness, n int) string {
	job := s.submit(n, "/titles/", s.in.NowMS, task(1, 500, 300))
	s.pass()
	for worker := range s.runsByWorker(job) {
		s.crash(worker)
	}
	s.in.NowMS += 10_000
	return job
}

// A task has crashed a worker, and few other tasks could be the cause. Its next run must identify
// the cause, so nothing else may start on its worker shortly before it or during it.
func TestIsolatedRunIsAlone(t *testing.T) {
	s := newHarness(t, 3)
	job := submitCrashingTask(s, 1)
	s.submit(2, "/titles/", s.in.NowMS, task(3, 500, 300))
	s.pass()
	at := ""
	for worker := range s.runsByWorker(job) {
		at = worker
	}
	if at == "" {
		t.Fatal("the suspect was not placed although nothing started recently on any worker")
	}
	for n := 3; n < 6; n++ {
		s.submit(n, "/titles/", s.in.NowMS, task(6, 500, 300))
		s.in.NowMS += 150
		s.pass()
	}
	if runs := s.RunsOn(at); len(runs) != 1 {
		t.Fatalf("other tasks started beside the suspect: %v", runs)
	}
	s.in.NowMS += isolationTime.Milliseconds()
	late := s.submit(7, "/titles/", s.in.NowMS, task(30, 500, 300))
	s.pass()
	if s.runsByWorker(late)[at] == 0 {
		t.Error("the worker gets no tasks after the isolated run either")
	}
}

// Tasks arrive all the time, so something has always started recently on every worker. One worker
// must be kept free for the suspect.
func TestWorkerIsReservedForIsolatedRun(t *testing.T) {
	s := newHarness(t, 4)
	job := submitCrashingTask(s, 1)
	for n := 2; n < 2+7; n++ { // for 0.7 s
		other := s.submit(n, "/titles/", s.in.NowMS, task(4, 300, 300))
		if n == 2 { // on every worker
			for i, worker := range slices.Sorted(maps.Keys(s.Workers)) {
				s.place(other, worker, i)
			}
		}
		s.pass()
		s.in.NowMS += 100
	}
	if len(s.runsByWorker(job)) != 1 {
		t.Fatal("the suspect got no worker to itself within 0.7 s")
	}
	for worker := range s.runsByWorker(job) {
		if s.startedBeside(worker, job) {
			t.Errorf("another task started beside the suspect on %s", worker)
		}
	}
}

// place places tasks of a job on a worker.
func (s *harness) place(job, worker string, indexes ...int) {
	s.t.Helper()
	s.index++
	p := jobs.Placement{Job: job, Indexes: indexes, Workers: slices.Repeat([]string{worker}, len(indexes))}
	if placed, _ := s.ApplyPlan(jobs.Plan{AtMS: s.in.NowMS, Placements: []jobs.Placement{p}}, rules, s.index); placed != len(indexes) {
		s.t.Fatalf("%d of the tasks %v were placed", placed, indexes)
	}
}

// startedBeside reports whether a run of another job started on a worker after the job's run
// there, or less than isolationTime before it.
func (s *harness) startedBeside(worker, job string) bool {
	var at int64
	for ref, t := range s.Use(worker).Runs {
		if ref.Job == job {
			at = t.On(worker).AtMS
		}
	}
	for ref, t := range s.Use(worker).Runs {
		if ref.Job != job && t.On(worker).AtMS > at-isolationTime.Milliseconds() {
			return true
		}
	}
	return false
}

// Where something starts all the time and no worker can be spared, a suspect waits two seconds
// for a worker to itself and is then placed anyway: callers may not wait long while there is free
// capacity.
func TestIsolationWaitIsBounded(t *testing.T) {
	s := newHarness(t, 1)
	job := submitCrashingTask(s, 1)
	other := s.submit(2, "/titles/", s.in.NowMS, task(1, 500, 300))
	s.place(other, slices.Sorted(maps.Keys(s.Workers))[0], 0)
	s.in.NowMS += 100
	s.in.WaitTime = func(*jobs.Group) time.Duration { return isolationWait - 1 }
	s.pass()
	if len(s.runsByWorker(job)) != 0 {
		t.Fatal("the suspect was placed right after another task's start")
	}
	s.in.WaitTime = func(*jobs.Group) time.Duration { return isolationWait + 1 }
	s.pass()
	if len(s.runsByWorker(job)) != 1 {
		t.Fatal("the suspect was not placed after its wait")
	}
}

// Guards against isolated runs that take the fleet away from other tasks: they may use a third of
// it at most.
func TestIsolatedRunsLeaveMostWorkersToOthers(t *testing.T) {
	s := newHarness(t, 6)
	var suspects []string
	for n := range 5 {
		suspects = append(suspects, s.submit(1+n, "/titles/", 0, task(1, 500, 300)))
	}
	s.pass()
	for _, job := range suspects {
		for worker := range s.runsByWorker(job) {
			s.crash(worker)
		}
	}
	s.in.NowMS += 10_000
	s.pass()
	placed := 0
	for _, job := range suspects {
		placed += len(s.runsByWorker(job))
	}
	other := s.submit(50, "/titles/", s.in.NowMS, task(40, 500, 300))
	s.pass()
	if got := len(s.runsByWorker(other)); placed > 2 || got < 4 {
		t.Errorf("%d isolated runs at a time, other tasks started on %d of 6 workers", placed, got)
	}
}

// A worker crashes repeatedly by itself. The task must be placed on another worker next time, so
// that it isn't suspected again for crashes it doesn't cause.
func TestASuspectGoesElsewhere(t *testing.T) {
	s := newHarness(t, 3)
	job := s.submit(1, "/titles/", 0, task(1, 500, 300))
	s.pass()
	crashed := ""
	for worker := range s.runsByWorker(job) {
		crashed = worker
		s.crash(worker)
	}
	s.in.NowMS = 10_000
	s.pass()
	if s.runsByWorker(job)[crashed+"'"] > 0 {
		t.Error("the suspect is back on the worker that crashed under it")
	}
}

// A worker was lost under a task that may be one crash from its end. The task waits for the
// agent's report, but not forever: the worker may be lost for good.
func TestTaskWaitsForCrashReport(t *testing.T) {
	s := newHarness(t, 3)
	job := s.submit(1, "/titles/", 0, task(2, 500, 300))
	for range 3 {
		s.place(job, "w0", 0, 1)
		w := *s.Workers["w0"]
		s.crash("w0")
		s.index++
		s.ApplyRegister(w, s.index)
	}
	s.place(job, "w0", 0)
	s.index++
	s.ApplyLost([]jobs.Loss{{Worker: "w0", Registered: s.Workers["w0"].Registered}})
	s.in.NowMS = 10_000
	waited := time.Second
	s.in.WaitTime = func(*jobs.Group) time.Duration { return waited }
	s.pass()
	if s.Jobs[job].Groups[0].Tasks[0].Placed != nil {
		t.Fatal("the task was started before the lost worker's agent reported whether it crashed")
	}
	waited = crashReportWait
	s.pass()
	if s.Jobs[job].Groups[0].Tasks[0].Placed == nil {
		t.Error("the task still waits after crashReportWait")
	}
}

// Guards against a suspect that starts beside an isolated run because its own group has suspects:
// such groups choose their workers by another path than groups without.
func TestIsolatedRunIsApartFromOtherSuspects(t *testing.T) {
	s := newHarness(t, 1)
	isolated := submitCrashingTask(s, 1)
	s.pass()
	other := s.submit(2, "/titles/", s.in.NowMS, task(1, 500, 300))
	s.Jobs[other].Groups[0].Tasks[0].Suspected = &jobs.Suspicion{Odds: 20_000} // Suspect, below Isolate
	s.pass()
	if len(s.runsByWorker(isolated)) != 1 || len(s.runsByWorker(other)) != 0 {
		t.Errorf("the isolated run is on %v, the other suspect on %v", s.runsByWorker(isolated), s.runsByWorker(other))
	}
}
