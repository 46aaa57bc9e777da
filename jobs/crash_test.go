package jobs

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

// crash reports that a worker crashed under runs of an age, and registers its next incarnation. It
// returns the tasks given up.
func (w *fixture) crash(worker string, ageMS int64, runs ...Stop) []GivenUp {
	w.t.Helper()
	ages := make(map[Stop]int64)
	for _, r := range runs {
		ages[r] = ageMS
	}
	return w.crashAt(worker, ages)
}

// crashAt is like crash with an age for each run.
func (w *fixture) crashAt(worker string, ages map[Stop]int64) []GivenUp {
	w.t.Helper()
	c := Crash{Worker: worker, SpanMS: 10}
	for r, age := range ages {
		c.Runs = append(c.Runs, CrashedRun{Task: r.Task, Run: r.Run, FromMS: age - 10, ToMS: age})
	}
	w.register(worker+"'", "agent-"+worker, "life-2")
	out := w.ApplyCrash(c, "agent-"+worker, w.next())
	w.register(worker, "agent-"+worker, "life-3")
	return out
}

// startOn places a job's task on a worker and returns the run.
func (w *fixture) startOn(worker string, ref Ref) Stop {
	w.t.Helper()
	if w.place(ref.Job, ref.Step, ref.Index, worker) != 1 {
		w.t.Fatalf("%v was not placed on %s", ref, worker)
	}
	return Stop{Task: ref, Run: w.Jobs[ref.Job].Groups[ref.Step].Tasks[ref.Index].Run}
}

const crashID = "00000000000000c1"

func crashTask(i int) Ref { return Ref{Job: crashID, Index: i} }

// A task crashes each worker right after its start. The runs beside it in the first two crashes
// are not there in the third. The task must be given up then, and the others must go on.
func TestTaskIsGivenUpAfterCrashingAlone(t *testing.T) {
	w := newFixture(t, "w1", "w2", "w3")
	w.submit(crashID, step(2, 1000))
	w.submit("00000000000000c2", step(1, 1000))
	other := Ref{Job: "00000000000000c2"}
	for i, worker := range []string{"w1", "w2"} {
		runs := []Stop{w.startOn(worker, crashTask(0)), w.startOn(worker, crashTask(1)), w.startOn(worker, other)}
		if out := w.crash(worker, 10, runs...); len(out) > 0 {
			t.Fatalf("given up after %d crashes: %v", i+1, out)
		}
	}
	if g := w.Jobs[crashID].Groups[0]; g.SuspicionLevel(0) != Isolate || g.SuspicionLevel(1) != Isolate {
		t.Fatalf("after two crashes the tasks have the suspicion levels %v and %v", g.SuspicionLevel(0), g.SuspicionLevel(1))
	}
	out := w.crash("w3", 10, w.startOn("w3", crashTask(0)))
	if len(out) != 1 || out[0].Task != crashTask(0) || w.Jobs[crashID].Phase != Failed || w.Jobs[crashID].FailureReason == "" {
		t.Fatalf("after the third crash, without other runs, given up %v, the job is %v: %s", out, w.Jobs[crashID].Phase, w.Jobs[crashID].FailureReason)
	}
	if w.Jobs["00000000000000c2"].Phase != Running && w.Jobs["00000000000000c2"].Phase != Queued {
		t.Fatalf("the job of the unrelated task is %v", w.Jobs["00000000000000c2"].Phase)
	}
	if n := len(w.Suspects()); n != 1 {
		t.Errorf("%d suspects are left, want only the unrelated task", n)
	}
}

// Tasks that always run together cannot be distinguished. They must be given up with the fifth
// crash at the latest, since callers tolerate two more starts after the third. A task that crashes
// its worker only after a while must be given up at maxCrashes.
func TestTasksAreGivenUpHoweverTheyCrash(t *testing.T) {
	for _, c := range []struct {
		name  string
		step  Step
		ageMS int64
		most  int
	}{
		{"two tasks", step(2, 500), 10, 5},
		{"standing", Step{Count: 2, Need: resource.Vector{MilliCPU: 500, MemoryMB: 10}, Standing: true}, 10, 5},
		{"saving", Step{Count: 2, Need: resource.Vector{MilliCPU: 500, MemoryMB: 10}, Checkpointing: true}, 10, 5},
		{"after a fifth of a second", step(1, 500), 200, 5},
		{"within a second", step(1, 500), 900, 5},
		{"after a while", step(2, 500), 1500, maxCrashes},
		{"after long", step(2, 500), 20_000, maxCrashes},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newFixture(t, "w1", "w2", "w3")
			w.submit(crashID, c.step)
			for n := 1; n <= c.most; n++ {
				worker := "w1"
				if c.step.Standing {
					worker = fmt.Sprint("w", 1+n%3)
				}
				if n == 3 && w.phase(crashID) == Failed {
					t.Fatal("given up after two crashes beside another task")
				}
				var runs []Stop
				for i := range c.step.Count {
					runs = append(runs, w.startOn(worker, crashTask(i)))
				}
				out := w.crash(worker, c.ageMS, runs...)
				if w.phase(crashID) == Failed {
					if len(out) == 0 || w.Use(worker).Held.MilliCPU != 0 {
						t.Fatalf("given up %v, %v still held", out, w.Use(worker).Held)
					}
					return
				}
			}
			t.Fatalf("not given up after %d crashes: %+v", c.most, *w.Jobs[crashID].Groups[0].Suspicion(0))
		})
	}
}

// crashFourTimesBesideSuspects crashes four workers under a task, each time beside a task that has
// crashed workers before.
func crashFourTimesBesideSuspects(w *fixture, ref Ref) {
	for n := range 4 {
		known := fmt.Sprintf("00000000000000d%d", n)
		w.submit(known, step(1, 500))
		for range 2 {
			w.crash("w1", 10, w.startOn("w1", Ref{Job: known}))
		}
		w.crash("w1", 10, w.startOn("w1", Ref{Job: known}), w.startOn("w1", ref))
	}
}

// Guards against giving a task up for a crash that lowers its odds: its isolated run did not crash
// the worker for the whole isolation time, and a task that began after that did.
func TestCrashThatLowersOddsGivesNoTaskUp(t *testing.T) {
	w := newFixture(t, "w1")
	w.submit(crashID, step(1, 500))
	w.submit(idA, step(1, 500))
	for range 4 {
		w.crash("w1", 10, w.startOn("w1", crashTask(0)), w.startOn("w1", Ref{Job: idA}))
	}
	g := w.Jobs[crashID].Groups[0]
	before := *g.Suspicion(0)
	w.crashAt("w1", map[Stop]int64{w.startOn("w1", crashTask(0)): 650, w.startOn("w1", Ref{Job: idA}): 10})
	if after := *g.Suspicion(0); w.phase(crashID) == Failed || after.Crashes != 5 || after.Odds < suspectOdds || after.Odds >= before.Odds {
		t.Errorf("the job is %v, its task's suspicion was %+v and is %+v", w.phase(crashID), before, after)
	}
	if w.phase(idA) != Failed {
		t.Errorf("the job whose task crashed five workers right after its start is %v", w.phase(idA))
	}
	if w.crash("w1", 10, w.startOn("w1", crashTask(0))); w.phase(crashID) != Failed {
		t.Errorf("after a crash without other runs the job is %v", w.phase(crashID))
	}
}

// Guards against giving a task up for one crash beside other tasks although it was not a suspect
// before.
func TestFirstSuspicionGivesNoTaskUp(t *testing.T) {
	w := newFixture(t, "w1")
	w.submit(crashID, step(1, 500))
	for range 4 {
		w.crash("w1", 2000, w.startOn("w1", crashTask(0)))
	}
	w.submit(idA, step(3, 500))
	g := w.Jobs[crashID].Groups[0]
	if g.SuspicionLevel(0) != NoSuspicion || g.Suspicion(0).Crashes != 4 {
		t.Fatalf("the suspicion level is %v: %+v", g.SuspicionLevel(0), *g.Suspicion(0))
	}
	w.crash("w1", 10, w.startOn("w1", crashTask(0)), w.startOn("w1", Ref{Job: idA}), w.startOn("w1", Ref{Job: idA, Index: 1}), w.startOn("w1", Ref{Job: idA, Index: 2}))
	if w.phase(crashID) == Failed || g.SuspicionLevel(0) != Isolate {
		t.Errorf("the job is %v, its task's suspicion level is %v: %+v", w.phase(crashID), g.SuspicionLevel(0), *g.Suspicion(0))
	}
}

// Guards against starting a suspect beside other tasks when the next crash gives it up.
func TestSuspectOfFourCrashesStartsIsolated(t *testing.T) {
	w := newFixture(t, "w1")
	w.submit(crashID, step(1, 500))
	crashFourTimesBesideSuspects(w, crashTask(0))
	g := w.Jobs[crashID].Groups[0]
	if s := g.Suspicion(0); s.Crashes != 4 || s.Odds < suspectOdds || s.Odds >= isolateOdds {
		t.Fatalf("the task's suspicion is %+v", *s)
	}
	if !g.MustIsolate(0) {
		t.Errorf("the task's suspicion level is %v, and it may start beside other tasks", g.SuspicionLevel(0))
	}
}

// Guards against starting a task more often than its callers tolerate because one of its starts
// was not answered although it crashed its worker.
func TestUnansweredStartCountsTowardsTheLimit(t *testing.T) {
	w := newFixture(t, "w1")
	w.submit(crashID, step(2, 500))
	for n := 1; n <= 5; n++ {
		if w.phase(crashID) == Failed {
			t.Fatalf("given up before crash %d, always beside another suspect", n)
		}
		c := Crash{Worker: "w1", SpanMS: 10}
		for i := range 2 {
			run := w.startOn("w1", crashTask(i))
			c.Runs = append(c.Runs, CrashedRun{Task: run.Task, Run: run.Run, ToMS: 10, Unanswered: n == 4})
		}
		w.register("w1'", "agent-w1", "life-2")
		w.ApplyCrash(c, "agent-w1", w.next())
		w.register("w1", "agent-w1", "life-3")
	}
	if w.phase(crashID) != Failed {
		t.Errorf("after five starts, one of them unanswered, the job is %v: %+v", w.phase(crashID), *w.Jobs[crashID].Groups[0].Suspicion(0))
	}
}

// Guards against giving a task up for starts that may never have taken effect: two workers must
// certainly have crashed under it.
func TestUnansweredStartsAloneGiveNoTaskUp(t *testing.T) {
	w := newFixture(t, "w1")
	w.submit(crashID, step(1, 500))
	w.crash("w1", 10, w.startOn("w1", crashTask(0)))
	for range maxCrashes {
		run := w.startOn("w1", crashTask(0))
		c := Crash{Worker: "w1", SpanMS: 10, Runs: []CrashedRun{{Task: run.Task, Run: run.Run, ToMS: 10, Unanswered: true}}}
		w.register("w1'", "agent-w1", "life-2")
		w.ApplyCrash(c, "agent-w1", w.next())
		w.register("w1", "agent-w1", "life-3")
	}
	if w.phase(crashID) == Failed {
		t.Errorf("given up after one certain crash: %+v", *w.Jobs[crashID].Groups[0].Suspicion(0))
	}
}

// A task that runs for four seconds sees four crashes that no task caused, each at another age and
// beside tasks that have just begun. It must not be given up.
func TestOrdinaryCrashesGiveNoTaskUp(t *testing.T) {
	w := newFixture(t, "w1")
	w.submit(crashID, step(1, 500))
	for n, age := range []int64{900, 2600, 100, 3900} {
		begun := fmt.Sprintf("00000000000000d%d", n)
		w.submit(begun, step(2, 500))
		w.crashAt("w1", map[Stop]int64{w.startOn("w1", crashTask(0)): age, w.startOn("w1", Ref{Job: begun}): 50, w.startOn("w1", Ref{Job: begun, Index: 1}): 600})
	}
	if w.phase(crashID) == Failed || w.Jobs[crashID].Groups[0].SuspicionLevel(0) == Isolate {
		t.Fatalf("the job is %v, with %+v", w.phase(crashID), *w.Jobs[crashID].Groups[0].Suspicion(0))
	}
}

// If a task with earlier crashes was on the worker, it is the likely cause: the odds of another
// task that had just begun must hardly rise.
func TestAKnownSuspectExplainsACrash(t *testing.T) {
	w := newFixture(t, "w1")
	w.submit(crashID, step(1, 500))
	w.crash("w1", 10, w.startOn("w1", crashTask(0)))
	w.crash("w1", 10, w.startOn("w1", crashTask(0)))
	w.submit(idA, step(1, 500))
	w.crash("w1", 10, w.startOn("w1", Ref{Job: idA}))
	alone := w.Jobs[idA].Groups[0].Suspicion(0).Odds
	w = newFixture(t, "w1")
	w.submit(crashID, step(1, 500))
	w.crash("w1", 10, w.startOn("w1", crashTask(0)))
	w.submit(idA, step(1, 500))
	w.crash("w1", 10, w.startOn("w1", crashTask(0)), w.startOn("w1", Ref{Job: idA}))
	if beside := w.Jobs[idA].Groups[0].Suspicion(0).Odds; beside*20 > alone {
		t.Errorf("beside a suspect a task has odds of %d millionths after one crash, without other runs %d", beside, alone)
	}
}

// An agent's crash report may arrive twice, because the call is sent again, or only after the end
// of the lease has made the runs void and the next ones have begun.
func TestACrashCountsOnceHoweverOftenAndLateItIsTold(t *testing.T) {
	w := newFixture(t, "w1", "w2")
	w.submit(crashID, step(1, 500))
	first := w.startOn("w1", crashTask(0))
	w.lose("w1")
	w.startOn("w2", crashTask(0))
	for range 3 {
		w.ApplyCrash(Crash{Worker: "w1", Runs: []CrashedRun{{Task: crashTask(0), Run: first.Run}}}, "agent-w1", w.next())
	}
	if s := w.Jobs[crashID].Groups[0].Suspicion(0); s.Crashes != 1 {
		t.Fatalf("one crash was counted as %+v", *s)
	}
	if w.Jobs[crashID].Groups[0].Tasks[0].Placed == nil {
		t.Error("the active run was removed")
	}
	// Runs that never existed, reported by an agent with wrong state, must not count.
	w.ApplyCrash(Crash{Worker: "w2", Runs: []CrashedRun{{Task: crashTask(0), Run: 77}, {Task: Ref{Job: "nobody's"}, Run: 1}}}, "agent-w2", w.next())
	if s := w.Jobs[crashID].Groups[0].Suspicion(0); s.Crashes != 1 {
		t.Fatalf("a run that never existed was counted: %+v", *s)
	}
}

// A lapsed lease, an incarnation replaced without a crash report and the ends that a worker reports
// are no crashes. They must leave no crash history, and must not add to one.
func TestOtherEndsRaiseNoSuspicion(t *testing.T) {
	reported := func(o Outcome) func(*fixture) {
		return func(w *fixture) {
			run := w.startOn("w1", crashTask(0))
			w.ApplyEnd("w1", End{Task: run.Task, Run: run.Run, Outcome: o}, rules, w.next())
		}
	}
	lapsed := func(w *fixture) {
		w.startOn("w1", crashTask(0))
		w.lose("w1")
		w.register("w1", "agent-w1", "life-1")
	}
	replaced := func(w *fixture) {
		w.startOn("w2", crashTask(0))
		w.register("w2'", "agent-w2", "life-1") // another incarnation, without a crash report
		w.register("w2", "agent-w2", "life-1")
	}
	for _, c := range []struct {
		name  string
		times int
		end   func(*fixture)
		phase Phase // afterwards
	}{
		{"lapsed lease", 3, lapsed, Running},
		{"replaced incarnation", 3, replaced, Running},
		{"rejected", 3, reported(OutcomeRejected), Running},
		{"stopped", 3, reported(OutcomeStopped), Running},
		{"lost", 3, reported(OutcomeLost), Running},
		{"failed", 2, reported(OutcomeFailed), Running},
		{"failed too often", 3, reported(OutcomeFailed), Failed},
		{"done", 1, reported(OutcomeDone), Completed},
		{"in turn", 3, func(w *fixture) { lapsed(w); replaced(w); reported(OutcomeRejected)(w) }, Running},
	} {
		for crashes := range 2 {
			t.Run(fmt.Sprintf("%s after %d crashes", c.name, crashes), func(t *testing.T) {
				w := newFixture(t, "w1", "w2")
				w.submit(crashID, step(1, 500))
				history := func() Suspicion {
					if s := w.Jobs[crashID].Groups[0].Suspicion(0); s != nil {
						return *s
					}
					return Suspicion{}
				}
				for range crashes {
					w.crash("w1", 10, w.startOn("w1", crashTask(0)))
				}
				before := history()
				if before.Crashes != crashes {
					t.Fatalf("the test needs %d crashes, not %+v", crashes, before)
				}
				for range c.times {
					c.end(w)
				}
				if after := history(); !reflect.DeepEqual(after, before) {
					t.Errorf("the crash history is %+v, before %+v", after, before)
				}
				if w.Jobs[crashID].Phase != c.phase || w.Jobs[crashID].Active() != 0 {
					t.Errorf("the job is %v with %d active runs, want %v", w.Jobs[crashID].Phase, w.Jobs[crashID].Active(), c.phase)
				}
			})
		}
	}
}

// A standing task sees ordinary crashes over its whole run time. A long run before a crash must
// clear it of suspicion.
func TestLongWorkClearsAStandingTask(t *testing.T) {
	w := newFixture(t, "w1")
	w.submit(crashID, Step{Count: 1, Need: resource.Vector{MilliCPU: 500, MemoryMB: 10}, Standing: true})
	for range 6 {
		w.crash("w1", 10, w.startOn("w1", crashTask(0)))
		w.crash("w1", clearAgeMS+10, w.startOn("w1", crashTask(0)))
		w.crash("w1", clearAgeMS+10, w.startOn("w1", crashTask(0)))
	}
	if g := w.Jobs[crashID].Groups[0]; g.SuspicionLevel(0) != NoSuspicion || w.Jobs[crashID].Phase != Running {
		t.Fatalf("the suspicion level is %v, the job is %v", g.SuspicionLevel(0), w.Jobs[crashID].Phase)
	}
}

// A rack with three members of a gang fails: the three workers must count as one crash under the
// gang.
func TestOneRunOfAGangIsOneCrash(t *testing.T) {
	w := newFixture(t, "w1", "w2", "w3")
	w.submit(crashID, Step{Count: 3, Need: resource.Vector{MilliCPU: 500, MemoryMB: 10}, Gang: true})
	p := Plan{Placements: []Placement{{Job: crashID, Indexes: []int{0, 1, 2}, Workers: []string{"w1", "w2", "w3"}}}}
	if placed, _ := w.ApplyPlan(p, rules, w.next()); placed != 3 {
		t.Fatal("the gang was not placed")
	}
	for i, worker := range []string{"w1", "w2", "w3"} {
		w.crash(worker, 10, Stop{Task: crashTask(i), Run: 1})
	}
	if s := w.Jobs[crashID].Groups[0].Suspicion(1); s.Crashes != 1 || w.Jobs[crashID].Phase == Failed {
		t.Fatalf("counted as %+v, the job is %v", *s, w.Jobs[crashID].Phase)
	}
}

// Two members of a gang on one worker must count as one candidate. As two, each would lower the
// odds of the other.
func TestMembersOnOneWorkerAreOneSuspect(t *testing.T) {
	w := newFixture(t, "w1")
	w.submit(crashID, Step{Count: 2, Need: resource.Vector{MilliCPU: 500, MemoryMB: 10}, Gang: true})
	p := Plan{Placements: []Placement{{Job: crashID, Indexes: []int{0, 1}, Workers: []string{"w1", "w1"}}}}
	if placed, _ := w.ApplyPlan(p, rules, w.next()); placed != 2 {
		t.Fatal("the gang was not placed")
	}
	w.crash("w1", 10, Stop{Task: crashTask(0), Run: 1}, Stop{Task: crashTask(1), Run: 1})
	w.submit(idA, step(1, 500))
	w.crash("w1", 10, w.startOn("w1", Ref{Job: idA}))
	if gang, task := w.Jobs[crashID].Groups[0].Suspicion(0).Odds, w.Jobs[idA].Groups[0].Suspicion(0).Odds; gang != task {
		t.Errorf("the gang has odds of %d millionths, a single task %d", gang, task)
	}
}

// A suspect must not get a copy, which could crash a second worker at the same time.
func TestASuspectGetsNoCopy(t *testing.T) {
	w := newFixture(t, "w1", "w2")
	w.submit(crashID, Step{Count: 1, Need: resource.Vector{MilliCPU: 500, MemoryMB: 10}, Speculative: true})
	w.crash("w1", 10, w.startOn("w1", crashTask(0)))
	w.startOn("w2", crashTask(0))
	p := Plan{Placements: []Placement{{Job: crashID, Indexes: []int{0}, Workers: []string{"w1"}, Copy: true}}}
	if placed, _ := w.ApplyPlan(p, rules, w.next()); placed != 0 || len(w.CopyCandidates(func(Ref, *Group) bool { return true })) != 0 {
		t.Fatal("the suspect got a copy")
	}
}

// A task's suspicion must survive a snapshot, and a snapshot without suspicions must load.
func TestSuspicionsAreKeptInSnapshots(t *testing.T) {
	w := newFixture(t, "w1", "w2")
	w.submit(crashID, step(1, 500))
	older, err := msgpack.Marshal(w.State)
	if err != nil {
		t.Fatal(err)
	}
	w.crash("w1", 10, w.startOn("w1", crashTask(0)))
	newer, err := msgpack.Marshal(w.State)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		data []byte
		want SuspicionLevel
		n    int
	}{{older, NoSuspicion, 0}, {newer, Isolate, 1}} {
		s := NewState()
		if err := msgpack.Unmarshal(c.data, s); err != nil {
			t.Fatal(err)
		}
		s.Rebuild()
		if got := s.Jobs[crashID].Groups[0].SuspicionLevel(0); got != c.want || len(s.Suspects()) != c.n {
			t.Errorf("the suspicion level is %v with %d suspects, want %v with %d", got, len(s.Suspects()), c.want, c.n)
		}
	}
}

// A worker is lost under a suspect that may be one crash from being given up, and its lease ends
// before the next incarnation registers. The task must wait for the agent's crash report.
func TestTaskAwaitsCrashReportOfItsLostWorker(t *testing.T) {
	w := newFixture(t, "w1", "w2")
	w.submit(crashID, step(2, 500))
	w.submit(idA, step(1, 500))
	for range 3 {
		w.crash("w1", 10, w.startOn("w1", crashTask(0)), w.startOn("w1", crashTask(1)))
	}
	last := w.startOn("w1", crashTask(0))
	w.startOn("w1", Ref{Job: idA})
	w.lose("w1")
	g := w.Jobs[crashID].Groups[0]
	if got := g.Suspicion(0).Awaits; got != "agent-w1" {
		t.Fatalf("the task awaits %q", got)
	}
	if w.Jobs[idA].Groups[0].Suspicion(0) != nil {
		t.Error("a task without suspicion awaits a crash report")
	}
	w.crash("w1", 10, last)
	if s := g.Suspicion(0); w.phase(crashID) != Failed && s.Awaits != "" {
		t.Errorf("after the crash report the task still awaits it: %+v", *s)
	}
}

// Guards against a standing job that is ended for good because one or two workers go down and up under
// its task, though such tasks are restarted however they end. Its runs stay isolated, so that crashes
// that it does cause harm few others.
func TestCrashesOfFewWorkersGiveNoStandingTaskUp(t *testing.T) {
	w := newFixture(t, "w1", "w2")
	st := step(1, 1000)
	st.Standing = true
	w.submit(crashID, st)
	for n := range 3 * maxCrashes {
		worker := fmt.Sprint("w", 1+n%2)
		if out := w.crash(worker, 10, w.startOn(worker, crashTask(0))); len(out) > 0 {
			t.Fatalf("given up after %d crashes: %v", n+1, out)
		}
	}
	if p := w.phase(crashID); p != Running || w.Jobs[crashID].Groups[0].SuspicionLevel(0) != Isolate {
		t.Errorf("the job is %v, the suspicion against its task %v", p, w.Jobs[crashID].Groups[0].SuspicionLevel(0))
	}
}
