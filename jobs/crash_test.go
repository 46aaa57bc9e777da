package jobs

import (
	"fmt"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

// crash tells that a worker crashed under runs that had been at work for so long, and
// brings its next incarnation. It returns the tasks given up.
func (w *world) crash(worker string, ageMS int64, runs ...Stop) []GivenUp {
	w.t.Helper()
	ages := make(map[Stop]int64)
	for _, r := range runs {
		ages[r] = ageMS
	}
	return w.crashAt(worker, ages)
}

// crashAt is the same with how long each run had been at work.
func (w *world) crashAt(worker string, ages map[Stop]int64) []GivenUp {
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
func (w *world) startOn(worker string, ref Ref) Stop {
	w.t.Helper()
	if w.place(ref.Job, ref.Step, ref.Index, worker) != 1 {
		w.t.Fatalf("%v was not placed on %s", ref, worker)
	}
	return Stop{Task: ref, Run: w.Jobs[ref.Job].Groups[ref.Step].Tasks[ref.Index].Run}
}

const crashID = "00000000000000c1"

func crashTask(i int) Ref { return Ref{Job: crashID, Index: i} }

// A task crashes each worker right after its start. What ran beside it the first two times
// is no longer beside it the third time, when it is given up; the others go on.
func TestTaskIsGivenUpOnWhatItDidAlone(t *testing.T) {
	w := newWorld(t, "w1", "w2", "w3")
	w.submit(crashID, step(2, 1000))
	w.submit("00000000000000c2", step(1, 1000))
	other := Ref{Job: "00000000000000c2"}
	for i, worker := range []string{"w1", "w2"} {
		runs := []Stop{w.startOn(worker, crashTask(0)), w.startOn(worker, crashTask(1)), w.startOn(worker, other)}
		if out := w.crash(worker, 10, runs...); len(out) > 0 {
			t.Fatalf("given up after %d crashes: %v", i+1, out)
		}
	}
	if g := w.Jobs[crashID].Groups[0]; g.Doubt(0) != LookAlone || g.Doubt(1) != LookAlone {
		t.Fatalf("after two crashes the tasks are in doubt as %v and %v", g.Doubt(0), g.Doubt(1))
	}
	out := w.crash("w3", 10, w.startOn("w3", crashTask(0)))
	if len(out) != 1 || out[0].Task != crashTask(0) || w.Jobs[crashID].Phase != Failed || w.Jobs[crashID].Why == "" {
		t.Fatalf("after the third crash, alone, given up %v, the job is %v: %s", out, w.Jobs[crashID].Phase, w.Jobs[crashID].Why)
	}
	if w.Jobs["00000000000000c2"].Phase != Running && w.Jobs["00000000000000c2"].Phase != Queued {
		t.Fatalf("the bystander's job is %v", w.Jobs["00000000000000c2"].Phase)
	}
	if n := len(w.Suspects()); n != 1 {
		t.Errorf("%d suspects are left, want the bystander only", n)
	}
}

// Tasks that are always together can't be told from each other. They are given up with the
// fifth crash at the latest: after the third their callers bear two starts more. One that
// crashes its worker only after a while is not started for ever either.
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
		{"after a while", step(2, 500), 1500, anywayLimit},
		{"after long", step(2, 500), 20_000, anywayLimit},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, "w1")
			w.submit(crashID, c.step)
			for n := 1; n <= c.most; n++ {
				if n == 3 && w.phase(crashID) == Failed {
					t.Fatal("given up after two crashes in company")
				}
				var runs []Stop
				for i := range c.step.Count {
					runs = append(runs, w.startOn("w1", crashTask(i)))
				}
				out := w.crash("w1", c.ageMS, runs...)
				if w.phase(crashID) == Failed {
					if len(out) == 0 || w.Use("w1").Held.MilliCPU != 0 {
						t.Fatalf("given up %v, %v still held", out, w.Use("w1").Held)
					}
					return
				}
			}
			t.Fatalf("not given up after %d crashes: %+v", c.most, *w.Jobs[crashID].Groups[0].Suspicion(0))
		})
	}
}

// accusedFourTimes lets four workers crash under a task, each beside another that is known to
// crash them.
func accusedFourTimes(w *world, ref Ref) {
	for n := range 4 {
		known := fmt.Sprintf("00000000000000d%d", n)
		w.submit(known, step(1, 500))
		for range 2 {
			w.crash("w1", 10, w.startOn("w1", Ref{Job: known}))
		}
		w.crash("w1", 10, w.startOn("w1", Ref{Job: known}), w.startOn("w1", ref))
	}
}

// Guards against a task that is given up by a crash which speaks for it: it was looked at
// alone, left its worker alone for the time of a look, and what began then crashed the worker.
func TestACrashThatSpeaksForATaskDoesNotGiveItUp(t *testing.T) {
	w := newWorld(t, "w1")
	w.submit(crashID, step(1, 500))
	w.submit(idA, step(1, 500))
	for range 4 {
		w.crash("w1", 10, w.startOn("w1", crashTask(0)), w.startOn("w1", Ref{Job: idA}))
	}
	g := w.Jobs[crashID].Groups[0]
	before := *g.Suspicion(0)
	w.crashAt("w1", map[Stop]int64{w.startOn("w1", crashTask(0)): 650, w.startOn("w1", Ref{Job: idA}): 10})
	if after := *g.Suspicion(0); w.phase(crashID) == Failed || after.Crashes != 5 || after.Odds < suspectOdds || after.Odds >= before.Odds {
		t.Errorf("the job is %v, held against it were %+v and are %+v", w.phase(crashID), before, after)
	}
	if w.phase(idA) != Failed {
		t.Errorf("the one that crashed five workers right after its start is %v", w.phase(idA))
	}
	if w.crash("w1", 10, w.startOn("w1", crashTask(0))); w.phase(crashID) != Failed {
		t.Errorf("after a crash alone the job is %v", w.phase(crashID))
	}
}

// Guards against a task that is given up by one crash in company, nothing having been held
// against it before.
func TestTheFirstSuspicionGivesNobodyUp(t *testing.T) {
	w := newWorld(t, "w1")
	w.submit(crashID, step(1, 500))
	for range 4 {
		w.crash("w1", 2000, w.startOn("w1", crashTask(0)))
	}
	w.submit(idA, step(3, 500))
	g := w.Jobs[crashID].Groups[0]
	if g.Doubt(0) != NoDoubt || g.Suspicion(0).Crashes != 4 {
		t.Fatalf("in doubt as %v: %+v", g.Doubt(0), *g.Suspicion(0))
	}
	w.crash("w1", 10, w.startOn("w1", crashTask(0)), w.startOn("w1", Ref{Job: idA}), w.startOn("w1", Ref{Job: idA, Index: 1}), w.startOn("w1", Ref{Job: idA, Index: 2}))
	if w.phase(crashID) == Failed || g.Doubt(0) != LookAlone {
		t.Errorf("the job is %v, its task in doubt as %v: %+v", w.phase(crashID), g.Doubt(0), *g.Suspicion(0))
	}
}

// Guards against a suspect that is started in company when the next crash gives it up.
func TestASuspectOfFourCrashesIsLookedAtAlone(t *testing.T) {
	w := newWorld(t, "w1")
	w.submit(crashID, step(1, 500))
	accusedFourTimes(w, crashTask(0))
	g := w.Jobs[crashID].Groups[0]
	if s := g.Suspicion(0); s.Crashes != 4 || s.Odds < suspectOdds || s.Odds >= aloneOdds {
		t.Fatalf("held against the task is %+v", *s)
	}
	if !g.OnlyAlone(0) {
		t.Errorf("the task is in doubt as %v, and may start in company", g.Doubt(0))
	}
}

// Guards against a task that is started more often than its callers bear since one of its
// starts went unanswered and crashed its worker all the same.
func TestAnUnansweredStartIsOneOfTheLast(t *testing.T) {
	w := newWorld(t, "w1")
	w.submit(crashID, step(2, 500))
	for n := 1; n <= 5; n++ {
		if w.phase(crashID) == Failed {
			t.Fatalf("given up before crash %d, always in company", n)
		}
		c := Crash{Worker: "w1", SpanMS: 10}
		for i := range 2 {
			run := w.startOn("w1", crashTask(i))
			c.Runs = append(c.Runs, CrashedRun{Task: run.Task, Run: run.Run, ToMS: 10, Unsure: n == 4})
		}
		w.register("w1'", "agent-w1", "life-2")
		w.ApplyCrash(c, "agent-w1", w.next())
		w.register("w1", "agent-w1", "life-3")
	}
	if w.phase(crashID) != Failed {
		t.Errorf("after five starts, of which one went unanswered, the job is %v: %+v", w.phase(crashID), *w.Jobs[crashID].Groups[0].Suspicion(0))
	}
}

// Guards against a task that is given up for starts that may never have taken effect: two
// workers have to have crashed under it for certain.
func TestUnansweredStartsAloneGiveNobodyUp(t *testing.T) {
	w := newWorld(t, "w1")
	w.submit(crashID, step(1, 500))
	w.crash("w1", 10, w.startOn("w1", crashTask(0)))
	for range anywayLimit {
		run := w.startOn("w1", crashTask(0))
		c := Crash{Worker: "w1", SpanMS: 10, Runs: []CrashedRun{{Task: run.Task, Run: run.Run, ToMS: 10, Unsure: true}}}
		w.register("w1'", "agent-w1", "life-2")
		w.ApplyCrash(c, "agent-w1", w.next())
		w.register("w1", "agent-w1", "life-3")
	}
	if w.phase(crashID) == Failed {
		t.Errorf("given up after one crash for certain: %+v", *w.Jobs[crashID].Groups[0].Suspicion(0))
	}
}

// A task that works for four seconds meets four crashes of workers that go down by
// themselves, at other moments each, beside tasks that have just begun. It is not given up.
func TestOrdinaryCrashesGiveNobodyUp(t *testing.T) {
	w := newWorld(t, "w1")
	w.submit(crashID, step(1, 500))
	for n, age := range []int64{900, 2600, 100, 3900} {
		begun := fmt.Sprintf("00000000000000d%d", n)
		w.submit(begun, step(2, 500))
		w.crashAt("w1", map[Stop]int64{w.startOn("w1", crashTask(0)): age, w.startOn("w1", Ref{Job: begun}): 50, w.startOn("w1", Ref{Job: begun, Index: 1}): 600})
	}
	if w.phase(crashID) == Failed || w.Jobs[crashID].Groups[0].Doubt(0) == LookAlone {
		t.Fatalf("the job is %v, with %+v", w.phase(crashID), *w.Jobs[crashID].Groups[0].Suspicion(0))
	}
}

// One that is known to crash its workers explains a crash: a bystander that has just begun
// is suspected hardly more than before.
func TestAKnownSuspectExplainsACrash(t *testing.T) {
	w := newWorld(t, "w1")
	w.submit(crashID, step(1, 500))
	w.crash("w1", 10, w.startOn("w1", crashTask(0)))
	w.crash("w1", 10, w.startOn("w1", crashTask(0)))
	w.submit(idA, step(1, 500))
	w.crash("w1", 10, w.startOn("w1", Ref{Job: idA}))
	alone := w.Jobs[idA].Groups[0].Suspicion(0).Odds
	w = newWorld(t, "w1")
	w.submit(crashID, step(1, 500))
	w.crash("w1", 10, w.startOn("w1", crashTask(0)))
	w.submit(idA, step(1, 500))
	w.crash("w1", 10, w.startOn("w1", crashTask(0)), w.startOn("w1", Ref{Job: idA}))
	if beside := w.Jobs[idA].Groups[0].Suspicion(0).Odds; beside*20 > alone {
		t.Errorf("beside a suspect a bystander has odds of %d millionths after one crash, alone %d", beside, alone)
	}
}

// The agent's word may come twice, by the same call sent again, or after the lease's end
// has made the runs void and the next ones have begun.
func TestACrashCountsOnceHoweverOftenAndLateItIsTold(t *testing.T) {
	w := newWorld(t, "w1", "w2")
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
		t.Error("the run under way was taken away")
	}
	// A run that never was, of an agent with strange books, counts nothing.
	w.ApplyCrash(Crash{Worker: "w2", Runs: []CrashedRun{{Task: crashTask(0), Run: 77}, {Task: Ref{Job: "nobody's"}, Run: 1}}}, "agent-w2", w.next())
	if s := w.Jobs[crashID].Groups[0].Suspicion(0); s.Crashes != 1 {
		t.Fatalf("a run that never was counted: %+v", *s)
	}
}

// A lapse, a stop, a rejected start and an own failure are no crash.
func TestOtherEndsAccuseNobody(t *testing.T) {
	w := newWorld(t, "w1", "w2")
	w.submit(crashID, step(1, 500))
	for range 3 {
		w.startOn("w1", crashTask(0))
		w.lose("w1")
		w.register("w1", "agent-w1", "life-1")
		w.startOn("w2", crashTask(0))
		w.register("w2'", "agent-w2", "life-1") // another incarnation, of which nobody says that it crashed
		w.register("w2", "agent-w2", "life-1")
		run := w.startOn("w1", crashTask(0))
		w.ApplyEnd("w1", End{Task: run.Task, Run: run.Run, Outcome: OutcomeRejected}, rules, w.next())
	}
	if g := w.Jobs[crashID].Groups[0]; g.Doubt(0) != NoDoubt || w.Jobs[crashID].Phase == Failed {
		t.Fatalf("in doubt as %v, the job is %v", g.Doubt(0), w.Jobs[crashID].Phase)
	}
}

// A standing task meets ordinary crashes all its life. One that was at work for long before
// the crash is cleared by that.
func TestLongWorkClearsAStandingTask(t *testing.T) {
	w := newWorld(t, "w1")
	w.submit(crashID, Step{Count: 1, Need: resource.Vector{MilliCPU: 500, MemoryMB: 10}, Standing: true})
	for range 6 {
		w.crash("w1", 10, w.startOn("w1", crashTask(0)))
		w.crash("w1", longAge+10, w.startOn("w1", crashTask(0)))
		w.crash("w1", longAge+10, w.startOn("w1", crashTask(0)))
	}
	if g := w.Jobs[crashID].Groups[0]; g.Doubt(0) != NoDoubt || w.Jobs[crashID].Phase != Running {
		t.Fatalf("in doubt as %v, the job is %v", g.Doubt(0), w.Jobs[crashID].Phase)
	}
}

// A rack with three members of a gang goes down at once: that is one crash under the gang,
// not three.
func TestOneRunOfAGangIsOneCrash(t *testing.T) {
	w := newWorld(t, "w1", "w2", "w3")
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

// Two members of a gang on one worker are one suspect: counted as two each would explain the
// crash for the other.
func TestMembersOnOneWorkerAreOneSuspect(t *testing.T) {
	w := newWorld(t, "w1")
	w.submit(crashID, Step{Count: 2, Need: resource.Vector{MilliCPU: 500, MemoryMB: 10}, Gang: true})
	p := Plan{Placements: []Placement{{Job: crashID, Indexes: []int{0, 1}, Workers: []string{"w1", "w1"}}}}
	if placed, _ := w.ApplyPlan(p, rules, w.next()); placed != 2 {
		t.Fatal("the gang was not placed")
	}
	w.crash("w1", 10, Stop{Task: crashTask(0), Run: 1}, Stop{Task: crashTask(1), Run: 1})
	w.submit(idA, step(1, 500))
	w.crash("w1", 10, w.startOn("w1", Ref{Job: idA}))
	if gang, task := w.Jobs[crashID].Groups[0].Suspicion(0).Odds, w.Jobs[idA].Groups[0].Suspicion(0).Odds; gang != task {
		t.Errorf("the gang has odds of %d millionths, a task alone %d", gang, task)
	}
}

// A suspect gets no copy: it would crash two workers at once.
func TestASuspectGetsNoCopy(t *testing.T) {
	w := newWorld(t, "w1", "w2")
	w.submit(crashID, Step{Count: 1, Need: resource.Vector{MilliCPU: 500, MemoryMB: 10}, Speculative: true})
	w.crash("w1", 10, w.startOn("w1", crashTask(0)))
	w.startOn("w2", crashTask(0))
	p := Plan{Placements: []Placement{{Job: crashID, Indexes: []int{0}, Workers: []string{"w1"}, Copy: true}}}
	if placed, _ := w.ApplyPlan(p, rules, w.next()); placed != 0 || len(w.Alone(func(Ref, *Group) bool { return true })) != 0 {
		t.Fatal("the suspect got a copy")
	}
}

// What is held against a task outlives snapshots, and a snapshot without any is read.
func TestSuspicionsAreKeptInSnapshots(t *testing.T) {
	w := newWorld(t, "w1", "w2")
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
		want Doubt
		n    int
	}{{older, NoDoubt, 0}, {newer, LookAlone, 1}} {
		s := NewState()
		if err := msgpack.Unmarshal(c.data, s); err != nil {
			t.Fatal(err)
		}
		s.Rebuild()
		if got := s.Jobs[crashID].Groups[0].Doubt(0); got != c.want || len(s.Suspects()) != c.n {
			t.Errorf("in doubt as %v with %d suspects, want %v with %d", got, len(s.Suspects()), c.want, c.n)
		}
	}
}

// A worker is lost under a task that may be one crash from its end, and its lease ends
// before the next incarnation is there. The task waits for what the agent has to tell.
func TestATaskAwaitsTheWordOfItsLostWorker(t *testing.T) {
	w := newWorld(t, "w1", "w2")
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
		t.Error("a task that nothing is held against awaits somebody")
	}
	w.crash("w1", 10, last)
	if s := g.Suspicion(0); w.phase(crashID) != Failed && s.Awaits != "" {
		t.Errorf("after its word the task still awaits: %+v", *s)
	}
}
