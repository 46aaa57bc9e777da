package dispatch

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// crash lets a worker crash under all that runs there, as if it had just begun, and brings
// its next incarnation.
func (s *scene) crash(worker string) {
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

// on counts a job's runs by worker.
func (s *scene) on(job string) map[string]int {
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

// Eight tasks alike run on one worker, which crashes. It comes back empty: placed as if
// nothing had happened all of them go there again, and crash it again with whichever of
// them did it. Spread, seven are done elsewhere.
func TestSuspectsAreSpread(t *testing.T) {
	s := newScene(t, 4)
	for i := range 3 {
		s.submit(100+i, "/titles/", 0, serving(1, 3000, "watch"))
	}
	s.pass()
	job := s.submit(1, "/titles/", 0, task(8, 500, 300))
	s.place(job, "w1", 0, 1, 2, 3, 4, 5, 6, 7)
	s.crash("w1")
	s.in.NowMS = 10_000
	s.pass()
	for worker, n := range s.on(job) {
		if n > 3 {
			t.Errorf("%d of 8 suspects were placed on %s: %v", n, worker, s.on(job))
		}
	}
	if got := len(s.on(job)); got < 4 {
		t.Errorf("the suspects are on %d of 4 workers", got)
	}
}

// A standing task meets a suspect as seldom as can be, since each crash keeps it away for
// seconds: the suspect goes to the worker with more load and no standing task.
func TestASuspectKeepsAwayFromStandingTasks(t *testing.T) {
	s := newScene(t, 4)
	standing := s.submit(1, "/titles/", 0, serving(2, 3000, "watch"))
	s.place(standing, "w0", 0)
	s.place(standing, "w1", 1)
	s.place(s.submit(2, "/titles/", 0, task(1, 4000, 300)), "w2", 0)
	job := s.submit(3, "/titles/", 0, task(1, 500, 300))
	s.place(job, "w3", 0)
	s.crash("w3")
	s.in.NowMS = 10_000
	s.pass()
	if s.on(job)["w2"] != 1 {
		t.Errorf("the suspect is on %v, want w2", s.on(job))
	}
}

// crashAlone makes a job's only task one that crashed a worker right after its start.
func crashAlone(s *scene, n int) string {
	job := s.submit(n, "/titles/", s.in.NowMS, task(1, 500, 300))
	s.pass()
	for worker := range s.on(job) {
		s.crash(worker)
	}
	s.in.NowMS += 10_000
	return job
}

// A task has crashed a worker, with little else to blame. The next start is to tell for
// certain whether it is the one: nothing else begins on its worker before and meanwhile.
func TestALookAloneIsAlone(t *testing.T) {
	s := newScene(t, 3)
	job := crashAlone(s, 1)
	s.submit(2, "/titles/", s.in.NowMS, task(3, 500, 300))
	s.pass()
	at := ""
	for worker := range s.on(job) {
		at = worker
	}
	if at == "" {
		t.Fatal("the suspect was not placed though all workers are quiet")
	}
	for n := 3; n < 6; n++ {
		s.submit(n, "/titles/", s.in.NowMS, task(6, 500, 300))
		s.in.NowMS += 150
		s.pass()
	}
	if runs := s.RunsOn(at); len(runs) != 1 {
		t.Fatalf("beside the suspect began %v", runs)
	}
	s.in.NowMS += lookTime.Milliseconds()
	late := s.submit(7, "/titles/", s.in.NowMS, task(30, 500, 300))
	s.pass()
	if s.on(late)[at] == 0 {
		t.Error("the worker gets nothing after the look either")
	}
}

// Work comes all the time, and no worker is ever quiet by itself. One is kept free until the
// suspect can have it.
func TestAWorkerIsKeptForALook(t *testing.T) {
	s := newScene(t, 4)
	job := crashAlone(s, 1)
	for n := 2; n < 2+7; n++ { // 0.7 s of it
		other := s.submit(n, "/titles/", s.in.NowMS, task(4, 300, 300))
		if n == 2 { // on every worker
			for i, worker := range slices.Sorted(maps.Keys(s.Workers)) {
				s.place(other, worker, i)
			}
		}
		s.pass()
		s.in.NowMS += 100
	}
	if len(s.on(job)) != 1 {
		t.Fatal("the suspect found no worker of its own within 0.7 s")
	}
	for worker := range s.on(job) {
		if s.begunBeside(worker, job) {
			t.Errorf("something began beside the suspect on %s", worker)
		}
	}
}

// place puts tasks of a job on a worker.
func (s *scene) place(job, worker string, indexes ...int) {
	s.t.Helper()
	s.index++
	p := jobs.Placement{Job: job, Indexes: indexes, Workers: slices.Repeat([]string{worker}, len(indexes))}
	if placed, _ := s.ApplyPlan(jobs.Plan{AtMS: s.in.NowMS, Placements: []jobs.Placement{p}}, rules, s.index); placed != len(indexes) {
		s.t.Fatalf("%d of the tasks %v were placed", placed, indexes)
	}
}

// begunBeside reports whether a run of another job began on a worker within the time of a
// look before the job's run there, or after it.
func (s *scene) begunBeside(worker, job string) bool {
	var at int64
	for ref, t := range s.Use(worker).Runs {
		if ref.Job == job {
			at = t.On(worker).AtMS
		}
	}
	for ref, t := range s.Use(worker).Runs {
		if ref.Job != job && t.On(worker).AtMS > at-lookTime.Milliseconds() {
			return true
		}
	}
	return false
}

// On a fleet that is never quiet, nor has a worker to spare, a suspect waits two seconds for
// a worker of its own: callers may not wait long while there is room.
func TestALookIsNotWaitedForLong(t *testing.T) {
	s := newScene(t, 1)
	job := crashAlone(s, 1)
	other := s.submit(2, "/titles/", s.in.NowMS, task(1, 500, 300))
	s.place(other, slices.Sorted(maps.Keys(s.Workers))[0], 0)
	s.in.NowMS += 100
	s.in.Waited = func(*jobs.Group) time.Duration { return lookWait - 1 }
	s.pass()
	if len(s.on(job)) != 0 {
		t.Fatal("the suspect was placed right after another task's start")
	}
	s.in.Waited = func(*jobs.Group) time.Duration { return lookWait + 1 }
	s.pass()
	if len(s.on(job)) != 1 {
		t.Fatal("the suspect was not placed after its wait")
	}
}

// Looks don't take the fleet away from everybody else: a third of it at most.
func TestLooksLeaveMostWorkersToOthers(t *testing.T) {
	s := newScene(t, 6)
	var suspects []string
	for n := range 5 {
		suspects = append(suspects, s.submit(1+n, "/titles/", 0, task(1, 500, 300)))
	}
	s.pass()
	for _, job := range suspects {
		for worker := range s.on(job) {
			s.crash(worker)
		}
	}
	s.in.NowMS += 10_000
	s.pass()
	placed := 0
	for _, job := range suspects {
		placed += len(s.on(job))
	}
	other := s.submit(50, "/titles/", s.in.NowMS, task(40, 500, 300))
	s.pass()
	if got := len(s.on(other)); placed > 2 || got < 4 {
		t.Errorf("%d looks at a time, others begin on %d of 6 workers", placed, got)
	}
}

// A flapping worker: the task goes elsewhere the next time, so that it isn't accused again
// for what the worker does by itself.
func TestASuspectGoesElsewhere(t *testing.T) {
	s := newScene(t, 3)
	job := s.submit(1, "/titles/", 0, task(1, 500, 300))
	s.pass()
	crashed := ""
	for worker := range s.on(job) {
		crashed = worker
		s.crash(worker)
	}
	s.in.NowMS = 10_000
	s.pass()
	if s.on(job)[crashed+"'"] > 0 {
		t.Error("the suspect is back on the worker that crashed under it")
	}
}

// A worker was lost under a task that may be one crash from its end. The task waits for
// the word of the agent, but not for ever: the worker may be lost for good.
func TestATaskWaitsForItsWitness(t *testing.T) {
	s := newScene(t, 3)
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
	s.in.Waited = func(*jobs.Group) time.Duration { return waited }
	s.pass()
	if s.Jobs[job].Groups[0].Tasks[0].Placed != nil {
		t.Fatal("the task was started before its lost worker's agent had told what became of it")
	}
	waited = witnessWait
	s.pass()
	if s.Jobs[job].Groups[0].Tasks[0].Placed == nil {
		t.Error("the task waits for ever")
	}
}
