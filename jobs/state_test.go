package jobs

import (
	"fmt"
	"math"
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

const (
	host, prefix = "a.example", "/renders/"
	idA, idB     = "00000000000000aa", "00000000000000bb"
)

var rules = Rules{
	Cordoned:    func(string) bool { return false },
	Service:     func(string, string) string { return "vault" },
	MaxAttempts: func(string, string) int { return 3 },
}

// fixture is a state with a log index that rises with each command.
type fixture struct {
	*State
	t     *testing.T
	index uint64
}

func newFixture(t *testing.T, workers ...string) *fixture {
	w := &fixture{State: NewState(), t: t}
	for _, id := range workers {
		w.register(id, "agent-"+id, "life-1")
	}
	return w
}

func (w *fixture) next() uint64 { w.index++; return w.index }

func (w *fixture) register(id, agent, session string) Worker {
	return w.ApplyRegister(Worker{ID: id, Agent: agent, Session: session, Service: "vault", Labels: []string{"a", "r1"},
		Capacity: resource.Vector{MilliCPU: 4000, MemoryMB: 1000}}, w.next()).Worker
}

func (w *fixture) submit(id string, steps ...Step) {
	w.t.Helper()
	if err := w.ApplySubmit(Submit{ID: id, Host: host, Prefix: prefix, Spec: Spec{Payload: "p", Steps: steps}}, w.next(), 1000); err != nil {
		w.t.Fatal(err)
	}
}

func (w *fixture) place(job string, step int, index int, worker string) int {
	placed, _ := w.ApplyPlan(Plan{Placements: []Placement{{Job: job, Step: step, Indexes: []int{index}, Workers: []string{worker}}}}, rules, w.next())
	return placed
}

func (w *fixture) end(worker string, ref Ref, run uint32, o Outcome, checkpoint string) {
	w.ApplyEnd(worker, End{Task: ref, Run: run, Outcome: o, Checkpoint: checkpoint}, rules, w.next())
}

// lose applies the loss of a worker's newest registration.
func (w *fixture) lose(id string) {
	if x := w.Workers[id]; x != nil {
		w.ApplyLost([]Loss{{id, x.Registered}})
	}
}

func (w *fixture) phase(id string) Phase {
	w.t.Helper()
	p, err := w.Lookup(host, prefix, id)
	if err != nil {
		w.t.Fatal(err)
	}
	return p
}

func step(count int, cpu int64) Step {
	return Step{Count: count, Need: resource.Vector{MilliCPU: cpu, MemoryMB: 10}}
}

// A caller loses the answer to its submission and submits the job again, and a delayed copy arrives
// after the job was cancelled. There must be one job, and it must stay cancelled.
func TestResendAfterTheCancelStartsNothing(t *testing.T) {
	w := newFixture(t, "w1")
	w.submit(idA, step(1, 100))
	w.submit(idA, step(1, 100))
	if w.Live() != 1 || len(w.Jobs) != 1 {
		t.Fatalf("%d live of %d jobs", w.Live(), len(w.Jobs))
	}
	if !w.ApplyCancel(idA, w.next()) {
		t.Fatal("the job is not known")
	}
	w.submit(idA, step(1, 100))
	if w.phase(idA) != Cancelled || len(w.Ready()) != 0 || w.place(idA, 0, 0, "w1") != 0 {
		t.Fatalf("the job is %v, want cancelled, and no task of it may start", w.phase(idA))
	}
	if w.ApplyCancel(idB, w.next()) {
		t.Fatal("a job that was never submitted was cancelled")
	}
	other := Submit{ID: idA, Host: host, Prefix: "/titles/", Spec: Spec{Steps: []Step{step(1, 1)}}}
	if err := w.ApplySubmit(other, w.next(), 0); err == nil {
		t.Fatal("another queue's job under the same id was taken for this one")
	}
}

// A plan is made from a snapshot. By the time it is applied, a step that it depends on may not be
// done, and its worker may be full, draining or unknown.
func TestPlanIsCheckedWhenItIsApplied(t *testing.T) {
	w := newFixture(t, "w1", "w2")
	first, second := step(1, 1500), step(1, 1500)
	second.DependsOn = []int{0}
	w.submit(idA, first, second)
	w.submit(idB, step(4, 1500))
	if w.place(idA, 1, 0, "w1") != 0 {
		t.Error("a step began before the one that it depends on")
	}
	if w.place(idA, 0, 0, "w1") != 1 || w.place(idA, 0, 0, "w2") != 0 {
		t.Error("one task was placed on two workers")
	}
	if w.place(idB, 0, 0, "w1") != 1 || w.place(idB, 0, 1, "w1") != 0 {
		t.Error("a worker was given more than its capacity")
	}
	leaving := *w.Workers["w2"]
	leaving.Draining = true
	w.ApplyRegister(leaving, w.next())
	if w.place(idB, 0, 1, "w2") != 0 {
		t.Error("a draining worker was given a task")
	}
	if w.place(idB, 0, 1, "nobody") != 0 {
		t.Error("an unknown worker was given a task")
	}
	w.end("w1", Ref{idA, 0, 0, 0}, 1, OutcomeDone, "")
	if w.place(idA, 1, 0, "w1") != 1 {
		t.Error("the second step can't begin")
	}
	w.end("w1", Ref{idA, 0, 1, 0}, 1, OutcomeDone, "")
	if w.phase(idA) != Completed {
		t.Errorf("the job is %v", w.phase(idA))
	}
}

// A run that has been ordered to stop must hold its capacity until the worker reports its end.
// Freed earlier, the capacity would be given to a task that does not fit beside the run.
func TestRoomIsHeldUntilTheEnd(t *testing.T) {
	w := newFixture(t, "w1")
	w.submit(idA, step(1, 3000))
	w.submit(idB, step(1, 3000))
	w.place(idA, 0, 0, "w1")
	w.ApplyCancel(idA, w.next())
	if w.place(idB, 0, 0, "w1") != 0 {
		t.Fatal("the capacity of a run that is being stopped was reassigned")
	}
	if o := w.Orders("w1", 0); len(o) != 1 || !o[0].Stop {
		t.Fatalf("the agent's orders are %+v", o)
	}
	w.end("w1", Ref{idA, 0, 0, 0}, 1, OutcomeStopped, "")
	if w.place(idB, 0, 0, "w1") != 1 {
		t.Fatal("the capacity was not freed")
	}
	if w.phase(idA) != Cancelled {
		t.Fatalf("a cancelled job became %v", w.phase(idA))
	}
}

// lostAndPlacedAgain returns a state and a task whose run 2 was lost with w1, and which continues as
// run 3 on w2.
func lostAndPlacedAgain(t *testing.T) (*fixture, Ref) {
	t.Helper()
	w := newFixture(t, "w1", "w2")
	st := step(1, 1000)
	st.Checkpointing = true
	w.submit(idA, st)
	ref := Ref{idA, 0, 0, 0}
	w.place(idA, 0, 0, "w1")
	w.end("w1", ref, 1, OutcomeStopped, "saved")
	w.place(idA, 0, 0, "w1")
	w.lose("w1")
	if w.place(idA, 0, 0, "w2") != 1 {
		t.Fatal("the task can't be placed again")
	}
	return w, ref
}

// A worker is lost with a run on it, and the task continues elsewhere from its checkpoint under a
// higher run number. A late end of the old run must not count unless its outcome is done, nor may
// an end that names a run of another worker.
func TestLateEndOfALostRunIsIgnored(t *testing.T) {
	w, ref := lostAndPlacedAgain(t)
	w.end("w1", ref, 2, OutcomeStopped, "another")
	w.end("w1", ref, 2, OutcomeFailed, "")
	w.end("w1", ref, 2, OutcomeLost, "")
	w.end("w1", ref, 3, OutcomeDone, "") // run 3 is on w2
	if o := w.Orders("w2", 0); len(o) != 1 || o[0].Stop || o[0].Run != 3 || o[0].Checkpoint != "saved" {
		t.Fatalf("the next run is %+v", o)
	}
	if w.phase(idA) != Running || w.Use("w2").Held.MilliCPU != 1000 {
		t.Fatal("a void run's end counted")
	}
	w.end("w2", ref, 3, OutcomeDone, "")
	if w.phase(idA) != Completed {
		t.Fatalf("the job is %v", w.phase(idA))
	}
}

// Guards against starting a done task again: its run was assumed lost, then ended as done and was
// acknowledged while the task's next run was still to start.
func TestLateDoneEndStopsTheNextRun(t *testing.T) {
	w, ref := lostAndPlacedAgain(t)
	w.end("w1", ref, 2, OutcomeDone, "")
	w.end("w1", ref, 2, OutcomeDone, "") // reported again
	if o := w.Orders("w2", 0); len(o) != 1 || !o[0].Stop {
		t.Errorf("the orders for the next run's agent are %+v", o)
	}
	if w.phase(idA) != Completed || w.Use("w2").Held.MilliCPU != 1000 {
		t.Errorf("the job is %v, %d held for the run that is being stopped", w.phase(idA), w.Use("w2").Held.MilliCPU)
	}
	w.end("w2", ref, 3, OutcomeFailed, "")
	if w.phase(idA) != Completed || w.Use("w2").Held.MilliCPU != 0 || w.Live() != 0 {
		t.Errorf("in the end the job is %v, %d held, %d live", w.phase(idA), w.Use("w2").Held.MilliCPU, w.Live())
	}
}

// Guards against starting a done task again: its run was assumed lost, then ended as done and was
// acknowledged while the task waited.
func TestLateDoneEndOfATaskThatWaitsCounts(t *testing.T) {
	w := newFixture(t, "w1", "w2")
	second := step(1, 1000)
	second.DependsOn = []int{0}
	w.submit(idA, step(2, 1000), second)
	w.place(idA, 0, 0, "w1")
	w.lose("w1")
	ref := Ref{idA, 0, 0, 0}
	w.end("w9", ref, 2, OutcomeDone, "")   // never ordered
	w.end("w9", ref, 1, OutcomeFailed, "") // a late failure does not count
	if w.Ready()[0].Waiting() != 2 {
		t.Fatalf("%d tasks wait, want 2", w.Ready()[0].Waiting())
	}
	w.end("w9", ref, 1, OutcomeDone, "")
	w.end("w9", ref, 1, OutcomeDone, "") // reported again
	if w.Ready()[0].Waiting() != 1 || w.place(idA, 0, 0, "w2") != 0 {
		t.Fatal("a done task can be started again")
	}
	w.place(idA, 0, 1, "w2")
	w.end("w2", Ref{idA, 0, 0, 1}, 1, OutcomeDone, "")
	if w.place(idA, 1, 0, "w2") != 1 {
		t.Fatal("the next step can't begin")
	}
	w.end("w2", Ref{idA, 0, 1, 0}, 1, OutcomeDone, "")
	if w.phase(idA) != Completed || w.Live() != 0 {
		t.Errorf("the job is %v, %d live", w.phase(idA), w.Live())
	}
}

// If the same agent registers another incarnation of its worker, the runs of the old one have ended.
// A new session of the agent with the same incarnation takes the runs over with a higher fencing
// token.
func TestIncarnationsAndAgentRestarts(t *testing.T) {
	w := newFixture(t, "w1")
	w.submit(idA, step(2, 1000))
	w.place(idA, 0, 0, "w1")
	before := w.Workers["w1"].Token
	if same := w.register("w1", "agent-w1", "life-1"); same.Token != before {
		t.Error("the token changed within one session")
	}
	next := w.register("w1", "agent-w1", "life-2")
	if next.Token <= before || w.Use("w1").Held.MilliCPU != 1000 {
		t.Errorf("token %d after %d, %d held", next.Token, before, w.Use("w1").Held.MilliCPU)
	}
	w.register("w9", "agent-w1", "life-3")
	if w.Workers["w1"] != nil || w.Ready()[0].Waiting() != 2 {
		t.Error("the old incarnation's run still counts")
	}
}

// The leader decides that a worker's lease has ended. Before that is committed, the agent reconnects,
// registers again and is granted a new lease. If the loss were applied, the worker's runs would be
// started elsewhere while they continue.
func TestLossDecidedBeforeARegistrationIsVoid(t *testing.T) {
	w := newFixture(t, "w1")
	w.submit(idA, step(1, 1000))
	w.place(idA, 0, 0, "w1")
	decided := Loss{"w1", w.Workers["w1"].Registered}
	w.register("w1", "agent-w1", "life-1")
	w.ApplyLost([]Loss{decided})
	if w.Workers["w1"] == nil || len(w.Ready()) != 0 {
		t.Fatal("the run became void while its worker holds a lease")
	}
	w.lose("w1")
	if w.Workers["w1"] != nil || len(w.Ready()) != 1 {
		t.Fatal("a worker that was lost later is still registered")
	}
}

// Guards against starting void runs: a session whose worker was lost registers again, with an update
// or a delayed call. The registration must be refused, also by a state restored from a snapshot.
func TestSessionOfALostWorkerIsOutdated(t *testing.T) {
	w := newFixture(t)
	session := Worker{ID: "w1", Agent: "a", Session: "life-1", Service: "vault", Token: 5}
	w.ApplyRegister(session, 10)
	if err := w.Outdated(&session, true); err != nil {
		t.Fatalf("an update of the present session was refused: %v", err)
	}
	w.lose("w1")
	for _, s := range []*State{w.State, restoreSnapshot(t, w.State)} {
		if s.Outdated(&session, false) == nil {
			t.Error("the session of a lost worker can register again")
		}
		raised := session
		raised.Token = 7
		if s.Outdated(&raised, true) == nil {
			t.Error("the session of a lost worker can register again with a higher token")
		}
		next := Worker{ID: "w1", Agent: "a", Session: "life-2", Service: "vault", Token: 6}
		if err := s.Outdated(&next, false); err != nil {
			t.Errorf("the next session was refused: %v", err)
		}
	}
	w.ApplyRegister(Worker{ID: "w1", Agent: "a", Session: "life-2", Service: "vault", Token: 6}, 20)
	w.Tokens = nil // as in a snapshot of an earlier version
	if s := restoreSnapshot(t, w.State); s.Outdated(&session, false) == nil {
		t.Error("a session that was followed by another can register again")
	}
}

// Guards against a state that grows with every instance that ever existed.
func TestTokensOfLongAbsentAgentsAreForgotten(t *testing.T) {
	w := newFixture(t)
	for i := range retainedTokens + 10 {
		id := fmt.Sprint("w", i)
		w.ApplyRegister(Worker{ID: id, Agent: id, Session: "1", Service: "vault"}, uint64(i+1))
		if i > 0 {
			w.lose(id)
		}
	}
	if len(w.Tokens) != retainedTokens+10 {
		t.Fatalf("%d tokens are kept, want all of agents whose messages may still be in transit", len(w.Tokens))
	}
	w.ApplyRegister(Worker{ID: "late", Agent: "late", Session: "1", Service: "vault"}, 2*tokenRetention)
	if len(w.Tokens) != 2 || w.Tokens["w0"] == 0 {
		t.Errorf("%d tokens are kept, want 2; the token of a registered agent is %d", len(w.Tokens), w.Tokens["w0"])
	}
}

// restoreSnapshot returns the state that a replica restores from a snapshot.
func restoreSnapshot(t *testing.T, s *State) *State {
	t.Helper()
	b, err := msgpack.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	out := &State{}
	if err := msgpack.Unmarshal(b, out); err != nil {
		t.Fatal(err)
	}
	out.Rebuild()
	return out
}

func TestAttemptsAndStandingTasks(t *testing.T) {
	w := newFixture(t, "w1")
	standing := step(1, 100)
	standing.Standing = true
	w.submit(idA, step(1, 100))
	w.submit(idB, standing)
	for run := uint32(1); run <= 3; run++ {
		if w.phase(idA).Over() || w.place(idA, 0, 0, "w1") != 1 || w.place(idB, 0, 0, "w1") != 1 {
			t.Fatalf("run %d can't be placed", run)
		}
		w.end("w1", Ref{idA, 0, 0, 0}, run, OutcomeFailed, "")
		w.end("w1", Ref{idB, 0, 0, 0}, run, OutcomeFailed, "")
	}
	if w.phase(idA) != Failed {
		t.Errorf("after three failed runs the job is %v", w.phase(idA))
	}
	if w.phase(idB) != Running || len(w.Ready()) != 1 {
		t.Error("a standing task is not restarted")
	}
	w.place(idB, 0, 0, "w1")
	w.end("w1", Ref{idB, 0, 0, 0}, 4, OutcomeDone, "")
	if w.phase(idB) != Running || len(w.Ready()) != 1 {
		t.Error("a standing task that ended without an order is not restarted")
	}
}

// Runs that were rejected, stopped or lost, also through the end of another gang member, are not
// failures of the task and must not count as attempts: a job would fail without a cause.
func TestOnlyFailedRunsCountAsAttempts(t *testing.T) {
	w := newFixture(t, "w1")
	w.submit(idA, step(1, 100))
	for run := uint32(1); run <= 6; run++ {
		w.place(idA, 0, 0, "w1")
		w.end("w1", Ref{idA, 0, 0, 0}, run, []Outcome{OutcomeRejected, OutcomeLost, OutcomeStopped}[run%3], "")
	}
	if w.phase(idA) != Running {
		t.Fatalf("the job is %v", w.phase(idA))
	}
}

func TestGangIsPlacedWholeAndEndsTogether(t *testing.T) {
	w := newFixture(t, "w1", "w2")
	gang := step(3, 2000)
	gang.Gang, gang.Checkpointing = true, true
	w.submit(idA, gang)
	plan := func(workers ...string) int {
		placed, _ := w.ApplyPlan(Plan{Placements: []Placement{{Job: idA, Indexes: []int{0, 1, 2}, Workers: workers}}}, rules, w.next())
		return placed
	}
	if plan("w1", "w1", "w1") != 0 || w.Use("w1").Held.MilliCPU != 0 || w.Ready()[0].Waiting() != 3 {
		t.Fatal("a gang that does not fit was partly placed")
	}
	if w.place(idA, 0, 0, "w1") != 0 {
		t.Fatal("a member was placed alone")
	}
	if plan("w1", "w1", "w2") != 3 {
		t.Fatal("a gang that fits was not placed")
	}
	w.end("w2", Ref{idA, 0, 0, 2}, 1, OutcomeFailed, "half")
	w.end("w1", Ref{idA, 0, 0, 0}, 1, OutcomeLost, "")
	w.end("w1", Ref{idA, 0, 0, 1}, 1, OutcomeLost, "")
	if plan("w2", "w1", "w1") != 3 {
		t.Fatal("the gang can't be placed again")
	}
	for _, worker := range []string{"w1", "w2"} {
		for _, o := range w.Orders(worker, 0) {
			if o.Run != 2 || o.Checkpoint != "half" {
				t.Fatalf("a member's order is %+v", o)
			}
		}
	}
	w.end("w1", Ref{idA, 0, 0, 1}, 2, OutcomeDone, "")
	if w.phase(idA) != Completed {
		t.Fatalf("one member's end did not end the gang: %v", w.phase(idA))
	}
	w.end("w1", Ref{idA, 0, 0, 2}, 2, OutcomeDone, "")
	w.end("w2", Ref{idA, 0, 0, 0}, 2, OutcomeDone, "")
	if w.Use("w1").Held.MilliCPU != 0 || w.Use("w2").Held.MilliCPU != 0 {
		t.Fatal("capacity is still held")
	}
}

// Guards against a gang that is given up after its first run because several of its members failed
// in it, as they do together on a worker that fails all that it starts.
func TestAFailedRunOfAGangCountsOnce(t *testing.T) {
	w := newFixture(t, "w1", "w2")
	gang := step(3, 1000)
	gang.Gang = true
	w.submit(idA, gang)
	for run := uint32(1); run <= 3; run++ {
		if placed, _ := w.ApplyPlan(Plan{Placements: []Placement{{Job: idA, Indexes: []int{0, 1, 2}, Workers: []string{"w1", "w1", "w2"}}}}, rules, w.next()); placed != 3 {
			t.Fatalf("run %d: %d of 3 members were placed, the job is %v", run, placed, w.phase(idA))
		}
		for k, worker := range []string{"w1", "w1", "w2"} {
			w.end(worker, Ref{idA, 0, 0, k}, run, OutcomeFailed, "")
		}
	}
	if w.phase(idA) != Failed {
		t.Errorf("the job is %v after three failed runs, want %v", w.phase(idA), Failed)
	}
}

// A filling task takes no CPU from a worker's capacity, but its memory counts.
func TestFillingTasksTakeMemoryOnly(t *testing.T) {
	w := newFixture(t, "w1")
	fill := step(3, 4000)
	fill.Fills, fill.Need.MemoryMB = true, 400
	w.submit(idA, fill)
	for i, want := range []int{1, 1, 0} {
		if got := w.place(idA, 0, i, "w1"); got != want {
			t.Errorf("task %d: placed %d, want %d", i, got, want)
		}
	}
	if u := w.Use("w1"); u.Held.MilliCPU != 0 || u.Filling != 8000 || u.Held.MemoryMB != 800 {
		t.Errorf("held %+v, filling %d", u.Held, u.Filling)
	}
}

func TestOccurrencesAreSeparate(t *testing.T) {
	w := newFixture(t, "w1")
	err := w.ApplySubmit(Submit{ID: idA, Host: host, Prefix: prefix, Spec: Spec{Steps: []Step{step(1, 100)}, Repeat: 2, StartAt: 5000, Every: 1000}}, w.next(), 0)
	if err != nil {
		t.Fatal(err)
	}
	ready := w.Ready()
	if len(ready) != 2 || ready[0].DueAt() != 5000 || ready[1].DueAt() != 6000 {
		t.Fatalf("%d groups are ready", len(ready))
	}
	for k := range 2 {
		p := Placement{Job: idA, Occurrence: k, Indexes: []int{0}, Workers: []string{"w1"}}
		w.ApplyPlan(Plan{Placements: []Placement{p}}, rules, w.next())
		if w.phase(idA) != Running {
			t.Fatalf("before occurrence %d is done the job is %v", k, w.phase(idA))
		}
		w.end("w1", Ref{idA, k, 0, 0}, 1, OutcomeDone, "")
	}
	if w.phase(idA) != Completed {
		t.Fatalf("the job is %v", w.phase(idA))
	}
}

func TestForgetKeepsWhatStillHoldsRoom(t *testing.T) {
	w := newFixture(t, "w1")
	w.submit(idA, step(1, 100))
	w.place(idA, 0, 0, "w1")
	w.ApplyCancel(idA, w.next())
	w.ApplyForget([]string{idA})
	if w.Jobs[idA] == nil {
		t.Fatal("a job was forgotten while its run was not known to have ended")
	}
	w.end("w1", Ref{idA, 0, 0, 0}, 1, OutcomeStopped, "")
	w.ApplyForget([]string{idA})
	if w.Jobs[idA] != nil || w.Pending(host, prefix, neverBegun) != 0 {
		t.Fatal("a job that is over was not forgotten")
	}
}

// The derived state of a replica restored from a snapshot must equal that of a replica which applied
// all commands.
func TestSnapshotRestoresTheSameState(t *testing.T) {
	w := newFixture(t, "w1", "w2")
	second := step(2, 500)
	second.DependsOn = []int{0}
	w.submit(idA, step(2, 500), second)
	w.submit(idB, step(1, 100))
	w.place(idA, 0, 0, "w1")
	w.place(idA, 0, 1, "w2")
	w.end("w2", Ref{idA, 0, 0, 1}, 1, OutcomeDone, "")
	back := restoreSnapshot(t, w.State)
	if !reflect.DeepEqual(back.Use("w1").Held, w.Use("w1").Held) || back.Live() != w.Live() || back.Pending(host, prefix, neverBegun) != w.Pending(host, prefix, neverBegun) {
		t.Error("the derived state differs")
	}
	if !reflect.DeepEqual(back.Orders("w1", 0), w.Orders("w1", 0)) {
		t.Error("the orders differ")
	}
	if len(back.Ready()) != len(w.Ready()) {
		t.Errorf("%d groups are ready, %d before", len(back.Ready()), len(w.Ready()))
	}
}

func TestValidateSpec(t *testing.T) {
	good := Spec{Payload: "p", Steps: []Step{step(1, 1)}}
	if err := good.Validate(); err != nil {
		t.Fatal(err)
	}
	bad := map[string]func(*Spec){
		"no steps":        func(s *Spec) { s.Steps = nil },
		"no tasks":        func(s *Spec) { s.Steps[0].Count = 0 },
		"too many tasks":  func(s *Spec) { s.Steps[0].Count = MaxTasks + 1 },
		"too many times":  func(s *Spec) { s.Steps[0].Count, s.Repeat = 1000, 1000 },
		"overflow":        func(s *Spec) { s.Steps[0].Count, s.Repeat = 1<<62, 4 },
		"later step":      func(s *Spec) { s.Steps[0].DependsOn = []int{0} },
		"negative step":   func(s *Spec) { s.Steps[0].DependsOn = []int{-1} },
		"negative need":   func(s *Spec) { s.Steps[0].Need.MemoryMB = -1 },
		"endless need":    func(s *Spec) { s.Steps[0].Need.MilliCPU = 1<<63 - 1 },
		"negative repeat": func(s *Spec) { s.Repeat = -1 },
		"long payload":    func(s *Spec) { s.Payload = string(make([]byte, MaxPayload+1)) },
	}
	for name, change := range bad {
		s := Spec{Payload: "p", Steps: []Step{step(1, 1)}}
		change(&s)
		if s.Validate() == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	for id, want := range map[string]bool{"0123456789abcdef": true, "0123456789ABCDEF": true, "0123456789abcde": false, "0123456789abcdeg": false, "": false} {
		if ValidID(id) != want {
			t.Errorf("id %q: valid is %v", id, !want)
		}
	}
	ref := Ref{idA, 1, 2, 3}
	if back, err := ParseRef(ref.String()); err != nil || back != ref {
		t.Errorf("%v became %v (%v)", ref, back, err)
	}
}

// A slow worker takes six times as long as its peers, and a copy of its run on another worker ends
// first. The copy's end must count, the slow run must be stopped, and its end must have no effect.
func TestTheFirstOfTwoCopiesCounts(t *testing.T) {
	w := newFixture(t, "w1", "w2", "w3")
	st := step(1, 100)
	st.Speculative = true
	w.submit(idA, st, dependsOn(step(1, 100), 0))
	ref := Ref{Job: idA}
	if w.placeCopy(ref, "w2") != 0 {
		t.Fatal("a copy was placed before the task had a run")
	}
	w.place(idA, 0, 0, "w1")
	if w.placeCopy(ref, "w1") != 0 || w.placeCopy(ref, "w2") != 1 || w.placeCopy(ref, "w3") != 0 {
		t.Fatal("not exactly one copy was placed, on another worker")
	}
	orders := w.Orders("w2", 0)
	if len(orders) != 1 || orders[0].Run != 2 || orders[0].Stop {
		t.Fatalf("the copy's worker was sent %+v", orders)
	}
	w.end("w2", ref, 2, OutcomeDone, "")
	if w.place(idA, 1, 0, "w3") != 1 {
		t.Fatal("the next step does not begin after the copy's end")
	}
	if o := w.Orders("w1", 0); len(o) != 1 || !o[0].Stop || o[0].Run != 1 {
		t.Fatalf("the slow run's worker was sent %+v", o)
	}
	for range 3 {
		w.end("w1", ref, 1, OutcomeFailed, "")
	}
	w.end("w3", Ref{Job: idA, Step: 1}, 1, OutcomeDone, "")
	if w.phase(idA) != Completed || w.Jobs[idA].Active() != 0 {
		t.Fatalf("the job is %v with %d runs", w.phase(idA), w.Jobs[idA].Active())
	}
}

// The worker of the first run is lost while a copy runs. The copy must continue as the task's only
// run and may get a copy of its own; the task must not be placed again beside it.
func TestACopyOutlivesTheFirstRun(t *testing.T) {
	w := newFixture(t, "w1", "w2", "w3")
	st := step(1, 100)
	st.Speculative = true
	w.submit(idA, st)
	ref := Ref{Job: idA}
	w.place(idA, 0, 0, "w1")
	w.placeCopy(ref, "w2")
	w.lose("w1")
	if len(w.Ready()) != 0 || w.place(idA, 0, 0, "w3") != 0 {
		t.Fatal("the task waits for placement while its copy runs")
	}
	every := func(Ref, *Group) bool { return true }
	if got := w.CopyCandidates(every); len(got) != 1 || w.placeCopy(ref, "w3") != 1 {
		t.Fatalf("the copy can't have a copy: %v", got)
	}
	w.ApplyCancel(idA, w.next())
	for _, id := range []string{"w2", "w3"} {
		if o := w.Orders(id, 0); len(o) != 1 || !o[0].Stop {
			t.Fatalf("%s was sent %+v after the cancel", id, o)
		}
	}
	if len(w.CopyCandidates(every)) != 0 {
		t.Fatal("a cancelled job's task can have a copy")
	}
}

func dependsOn(st Step, step int) Step {
	st.DependsOn = []int{step}
	return st
}

func (w *fixture) placeCopy(ref Ref, worker string) int {
	p := Placement{Job: ref.Job, Step: ref.Step, Indexes: []int{ref.Index}, Workers: []string{worker}, Copy: true}
	placed, _ := w.ApplyPlan(Plan{Placements: []Placement{p}}, rules, w.next())
	return placed
}

// Guards against acknowledging done ends of runs whose tasks have been ordered again. Ends with other
// outcomes must not count as overtaken.
func TestEndsWhoseTasksWereOrderedAgainAreOvertaken(t *testing.T) {
	w, ref := lostAndPlacedAgain(t) // run 2 was w1's, run 3 is w2's
	end := func(worker string, run uint32, o Outcome) bool {
		return w.ApplyEnd(worker, End{Task: ref, Run: run, Outcome: o}, rules, w.next()).Overtaken
	}
	for _, o := range []Outcome{OutcomeStopped, OutcomeFailed, OutcomeLost} {
		if end("w1", 2, o) {
			t.Errorf("an end with outcome %v is overtaken", o)
		}
	}
	for range 2 { // reported again
		if !end("w1", 2, OutcomeDone) {
			t.Error("the end of run 2 isn't overtaken by run 3")
		}
	}
	for range 2 {
		if end("w2", 3, OutcomeDone) {
			t.Error("the last run's end is overtaken")
		}
	}
}

// Guards against acknowledging a gang member's done end although the task is started again with its
// gang: a late end of one member does not count as the end of the gang.
func TestLateDoneEndOfAGangIsOvertaken(t *testing.T) {
	w := newFixture(t, "w1", "w2")
	gang := step(2, 1000)
	gang.Gang = true
	w.submit(idA, gang)
	w.ApplyPlan(Plan{Placements: []Placement{{Job: idA, Indexes: []int{0, 1}, Workers: []string{"w1", "w2"}}}}, rules, w.next())
	w.lose("w1")
	if !w.ApplyEnd("w1", End{Task: Ref{idA, 0, 0, 0}, Run: 1, Outcome: OutcomeDone}, rules, w.next()).Overtaken {
		t.Error("the gang is started again, but the end is not overtaken")
	}
}

func neverBegun(Ref, *Placed) bool { return false }

// Guards against a queue's length that leaves out jobs which never began: they were placed on a worker
// that was lost, or that rejected them. A job of which a task has begun must not be counted again when
// its worker is lost.
func TestPendingCountsJobsUntilATaskHasBegun(t *testing.T) {
	lost := func(w *fixture) { w.lose("w1") }
	ended := func(o Outcome) func(*fixture) {
		return func(w *fixture) { w.end("w1", Ref{idA, 0, 0, 0}, 1, o, "") }
	}
	began := func(w *fixture) { w.ApplyBegan([]string{idA, "unknown"}) }
	for _, c := range []struct {
		name  string
		begun bool // by the agent's report
		after []func(*fixture)
		want  int
	}{
		{"placed", false, nil, 1},
		{"placed and started", true, nil, 0},
		{"its worker is lost", false, []func(*fixture){lost}, 1},
		{"rejected", false, []func(*fixture){ended(OutcomeRejected)}, 1},
		{"started, its worker is lost", false, []func(*fixture){began, lost}, 0},
		{"a run has lapsed", false, []func(*fixture){ended(OutcomeLost)}, 0},
		{"a run has failed", false, []func(*fixture){ended(OutcomeFailed)}, 0},
		{"its worker is lost, then a late end arrives", false, []func(*fixture){lost, ended(OutcomeStopped)}, 0},
		{"cancelled", false, []func(*fixture){func(w *fixture) { w.ApplyCancel(idA, 50) }}, 0},
	} {
		w := newFixture(t, "w1")
		w.submit(idA, step(2, 1000))
		pending := func(s *State) int {
			return s.Pending(host, prefix, func(ref Ref, r *Placed) bool { return c.begun && ref.Job == idA && r.Worker == "w1" })
		}
		if n := pending(w.State); n != 1 {
			t.Fatalf("a job that waits: %d pending", n)
		}
		w.place(idA, 0, 0, "w1")
		for _, f := range c.after {
			f(w)
		}
		if n := pending(w.State); n != c.want {
			t.Errorf("%s: %d pending, want %d", c.name, n, c.want)
		}
		w.Rebuild()
		if n := pending(w.State); n != c.want {
			t.Errorf("%s, after a snapshot: %d pending, want %d", c.name, n, c.want)
		}
	}
}

// Guards against replicas that all end when they apply the end of a run whose name holds an occurrence
// so large that its group's index overflows.
func TestEndOfAnImpossibleOccurrenceIsIgnored(t *testing.T) {
	w := newFixture(t, "w1")
	w.submit(idA, step(1, 1000), step(1, 1000))
	for _, occurrence := range []int{1, 1 << 61, 1 << 62, math.MaxInt, math.MinInt, -1} {
		e := End{Task: Ref{idA, occurrence, 0, 0}, Run: 1, Outcome: OutcomeDone}
		if ended := w.ApplyEnd("w1", e, rules, w.next()); ended != (Ended{}) {
			t.Errorf("occurrence %d: %+v", occurrence, ended)
		}
	}
}
