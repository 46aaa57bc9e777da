package upkeep

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// fleet simulates a platform with machines, and a leader's view of it.
type fleet struct {
	t         *testing.T
	state     *State
	nowMS     int64
	listed    []Machine
	returnsAt map[string]int64 // time at which a machine that is down returns, in ms
	restarts  int
	busy      map[string]bool // workers with running tasks
	pinned    map[string]bool // workers that may not be stopped
	together  int             // number of workers that may be stopped together, 0 for any
	downs     map[string]int  // number of times that a machine went down
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, state: NewState(), nowMS: 1_000_000, returnsAt: make(map[string]int64), busy: make(map[string]bool), pinned: make(map[string]bool), downs: make(map[string]int)}
	for i := range n {
		f.listed = append(f.listed, Machine{Name: fmt.Sprintf("m%d", i), Pool: "vault", Up: true, Worker: fmt.Sprintf("w%d", i)})
	}
	return f
}

func (f *fleet) names() (out []string) {
	for _, m := range f.listed {
		out = append(out, m.Name)
	}
	return out
}

func (f *fleet) start(w Wave) {
	f.t.Helper()
	if err := w.Validate(); err != nil {
		f.t.Fatal(err)
	}
	if err := f.state.ApplyStart(w, f.nowMS); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) input() Input {
	return Input{State: f.state, Machines: f.listed, NowMS: f.nowMS, Upkeep: 2 * time.Second,
		Empty: func(w string) bool { return !f.busy[w] },
		MayStop: func(worker string, down []string) bool {
			workers := append(slices.Clone(down), worker)
			return !slices.ContainsFunc(workers, func(w string) bool { return f.pinned[w] }) && (f.together == 0 || len(workers) <= f.together)
		}}
}

// tick advances the time and makes one decision. The platform carries its orders out if executed is
// set, and the leader receives the answers if answered is set.
func (f *fleet) tick(ms int64, executed, answered bool) Decision {
	f.nowMS += ms
	for i := range f.listed {
		m := &f.listed[i]
		if at, down := f.returnsAt[m.Name]; down && f.nowMS >= at {
			delete(f.returnsAt, m.Name)
			f.restarts++
			m.Up, m.Worker = true, fmt.Sprintf("life-%d", f.restarts)
		}
	}
	d := Next(f.input())
	f.state.ApplyMarks(d.Marks)
	for _, o := range d.Orders {
		if !executed {
			continue
		}
		phase := Down
		if !f.carryOut(o) {
			phase = Back
		}
		if answered {
			f.state.ApplyMarks([]Mark{{Wave: o.Wave, Machine: o.Machine, Phase: phase, AtMS: f.nowMS}})
		}
	}
	return d
}

// carryOut takes a machine down unless this was done before, and reports whether it exists.
func (f *fleet) carryOut(o Order) (known bool) {
	for i := range f.listed {
		m := &f.listed[i]
		p := f.state.Waves[o.Wave].find(m.Name)
		if m.Name != o.Machine {
			continue
		}
		known = true
		if f.downs[m.Name] > 0 {
			continue // already done; the platform gives the same answer
		}
		if m.Worker != p.Worker {
			f.t.Errorf("%s went down with worker %s, but %s was emptied", m.Name, m.Worker, p.Worker)
		}
		m.Up, m.Worker = false, ""
		f.returnsAt[m.Name] = f.nowMS + 2000
		f.downs[m.Name]++
	}
	return known
}

// restart replaces the worker of a machine that is up.
func (f *fleet) restart(i int) {
	if m := &f.listed[i]; m.Up {
		f.restarts++
		m.Worker = fmt.Sprintf("life-%d", f.restarts)
	}
}

// The machines of a wave must go down one at a time, each once, and the wave must be completed once
// the upkeep of the last machine has begun.
func TestWaveTakesEachMachineDownOnce(t *testing.T) {
	f := newFleet(t, 3)
	f.start(Wave{Number: 1, Machines: f.names(), DurationMS: 20_000, MaxConcurrent: 1})
	r := f.state.Waves[1]
	for range 100 {
		f.tick(200, true, true)
		if len(f.returnsAt) > 1 {
			t.Fatalf("%d machines are down at once", len(f.returnsAt))
		}
		begun := len(f.downs) == 3
		if r.Completed() != begun {
			t.Fatalf("completed is %v with %d of 3 begun", r.Completed(), len(f.downs))
		}
	}
	if !r.finished() || f.state.Active() || len(f.state.Leaving()) != 0 {
		t.Fatalf("the wave is not over: %+v", r.Machines)
	}
	if f.nowMS-r.StartedMS > 20_000 {
		t.Errorf("the wave took %d ms", f.nowMS-r.StartedMS)
	}
}

// The worker of a machine in a wave has running tasks, one of which must not be stopped now. It must
// get no new tasks and time to become empty. After its drain time it goes down with what still
// runs, but never with that task.
func TestWorkerIsDrainedFirst(t *testing.T) {
	f := newFleet(t, 2)
	f.busy["w0"], f.pinned["w0"] = true, true
	f.start(Wave{Number: 1, Machines: f.names(), DurationMS: 14_000, MaxConcurrent: 1})
	f.tick(200, true, true)
	if !f.state.Leaving()["w0"] || f.state.Leaving()["w1"] {
		t.Fatalf("leaving: %v", f.state.Leaving())
	}
	for range 100 {
		if d := f.tick(200, true, true); len(d.Orders) != 0 {
			t.Fatalf("ordered %v although a task must not be stopped", d.Orders)
		}
	}
	f.pinned["w0"] = false
	if d := f.tick(200, true, true); len(d.Orders) != 1 {
		t.Fatalf("no order after the drain time: %v", d)
	}
	f = newFleet(t, 2)
	f.busy["w0"] = true
	f.start(Wave{Number: 1, Machines: f.names(), DurationMS: 14_000, MaxConcurrent: 1})
	f.tick(0, true, true)
	for f.nowMS < f.state.Waves[1].StartedMS+3000 {
		if d := f.tick(200, true, true); len(d.Orders) != 0 {
			t.Fatal("ordered within the drain time of 4 s")
		}
	}
	f.tick(2000, true, true)
	if f.downs["m0"] != 1 {
		t.Fatal("a worker that never becomes empty blocks the wave")
	}
}

// Orders are lost or carried out without an answer, and the leader may change between any two steps,
// so that each decision is made from the committed state alone. Workers crash and restart, and
// machines are removed. No machine may go down twice, the limit must hold, and the wave must end.
func TestWaveSurvivesLostAnswers(t *testing.T) {
	for seed := range int64(200) {
		rng := rand.New(rand.NewSource(seed))
		f := newFleet(t, 2+rng.Intn(6))
		w := Wave{Number: 7, Machines: f.names(), DurationMS: 30_000, MaxConcurrent: 1 + rng.Intn(3)}
		f.start(w)
		var log []string
		for step := 0; f.state.Active(); step++ {
			if step > 2000 {
				t.Fatalf("seed %d: the wave never ends: %+v\n%v", seed, f.state.Waves[7].Machines, log)
			}
			lost := rng.Intn(3) == 0
			d := f.tick(int64(rng.Intn(400)), !lost || rng.Intn(2) == 0, !lost)
			log = append(log, fmt.Sprintf("%d: %+v", f.nowMS, d))
			if rng.Intn(20) == 0 {
				f.restart(rng.Intn(len(f.listed)))
			}
			if rng.Intn(40) == 0 && len(f.listed) > 1 {
				removed := f.listed[len(f.listed)-1]
				f.listed = f.listed[:len(f.listed)-1]
				delete(f.returnsAt, removed.Name)
			}
			if len(f.returnsAt) > w.MaxConcurrent {
				t.Fatalf("seed %d: %d of %d machines are down\n%v", seed, len(f.returnsAt), w.MaxConcurrent, log)
			}
		}
		for _, m := range f.listed {
			if f.downs[m.Name] != 1 {
				t.Fatalf("seed %d: %s went down %d times\n%v", seed, m.Name, f.downs[m.Name], log)
			}
		}
	}
}

// An operator who lost the answer sends a wave again, or a different or invalid one under the same
// number. Marks of an earlier leader arrive late.
func TestStartsAndMarksAreIdempotent(t *testing.T) {
	s := NewState()
	w := Wave{Number: 3, Machines: []string{"a", "b"}, DurationMS: 1000, MaxConcurrent: 1}
	for range 2 {
		if err := s.ApplyStart(w, 5); err != nil {
			t.Fatal(err)
		}
	}
	other := w
	other.MaxConcurrent = 2
	if err := s.ApplyStart(other, 5); !refusal.Is(err, refusal.Conflict) {
		t.Errorf("other content: %v", err)
	}
	if n := s.ApplyMarks([]Mark{{Wave: 3, Machine: "a", Phase: Ordered}, {Wave: 3, Machine: "a", Phase: Emptying}, {Wave: 3, Machine: "b", Phase: Emptying},
		{Wave: 3, Machine: "x", Phase: Down}, {Wave: 9, Machine: "a", Phase: Down}}); n != 1 {
		t.Errorf("%d marks took effect: %+v", n, s.Waves[3].Machines)
	}
	for name, bad := range map[string]Wave{
		"no concurrency": {Machines: []string{"a"}},
		"listed twice":   {Machines: []string{"a", "a"}, MaxConcurrent: 1},
		"no name":        {Machines: []string{""}, MaxConcurrent: 1},
		"backwards":      {Machines: []string{"a"}, MaxConcurrent: 1, DurationMS: -1},
	} {
		if bad.Validate() == nil {
			t.Errorf("%s: the wave is valid, want an error", name)
		}
	}
	for n := range uint64(maxWaves + 10) {
		s.ApplyStart(Wave{Number: 100 + n, MaxConcurrent: 1}, 5)
	}
	if len(s.Waves) > maxWaves || s.Waves[3] == nil {
		t.Errorf("%d waves are kept; the unfinished one is %v", len(s.Waves), s.Waves[3])
	}
}

// Guards against listing a machine under an earlier worker, or under two workers in turn, when two
// waves have noted different workers for it.
func TestWorkersAreOrderedByLastMark(t *testing.T) {
	s := NewState()
	var want []string
	for at := range int64(10) {
		number := uint64(10 - at)
		if err := s.ApplyStart(Wave{Number: number, Machines: []string{"m0"}, DurationMS: 60_000, MaxConcurrent: 1}, 1); err != nil {
			t.Fatal(err)
		}
		want = append(want, fmt.Sprint("w", at))
		if s.ApplyMarks([]Mark{{Wave: number, Machine: "m0", Phase: Down, Worker: want[at], AtMS: 2 + at}}) != 1 {
			t.Fatalf("the mark of wave %d was not applied", number)
		}
	}
	if got := s.Workers(); !slices.Equal(got, want) {
		t.Errorf("workers are %v, want %v", got, want)
	}
}

// tickRecording records the machines that are ordered to go down.
func (f *fleet) tickRecording(ordered map[string]bool, executed bool) {
	for _, o := range f.tick(100, executed, false).Orders {
		ordered[o.Machine] = true
	}
}

// Guards against two machines that go down together although each runs one task of a step of which
// one may be unavailable: by one decision, or by the next one while the first order is under way.
func TestMachinesGoDownTogetherOnlyIfTheirTasksMay(t *testing.T) {
	for _, executed := range []bool{true, false} {
		f := newFleet(t, 3)
		f.together = 1
		for i := range 3 {
			f.busy[fmt.Sprintf("w%d", i)] = true
		}
		f.start(Wave{Number: 1, Machines: f.names(), DurationMS: 10_000, MaxConcurrent: 2})
		ordered := make(map[string]bool)
		for ticks := 0; ticks < 100 && len(ordered) == 0; ticks++ {
			f.tickRecording(ordered, executed)
		}
		for range 10 { // the first machine is not back by then
			f.tickRecording(ordered, false)
		}
		if len(ordered) != 1 {
			t.Errorf("executed %v: %d machines were ordered to go down together, want 1", executed, len(ordered))
		}
	}
}

// Guards against a wave that stands still: two machines were ordered down, the answers were lost, and
// both have a new worker with a task of the same step, so that each waits for the other.
func TestUnconfirmedOrdersDoNotWaitForEachOther(t *testing.T) {
	f := newFleet(t, 2)
	f.start(Wave{Number: 1, Machines: f.names(), DurationMS: 10_000, MaxConcurrent: 2})
	for range 20 {
		f.tick(500, false, false)
	}
	for i := range f.listed {
		f.listed[i].Worker += "-next"
		f.busy[f.listed[i].Worker] = true
	}
	f.together = 1
	f.tick(500, false, false)
	if d := f.tick(500, false, false); len(d.Orders) != 1 || d.Orders[0].Machine != "m0" {
		t.Errorf("orders %+v, want one for m0", d.Orders)
	}
}

// Guards against a moved worker that is forgotten before its end is noticed, or remembered though the
// platform refused its move.
func TestMovesAreRememberedUntilTheyAreRefusedOrLongOver(t *testing.T) {
	s := NewState()
	s.ApplyMove(Move{Worker: "w0", AtMS: 1000})
	s.ApplyMove(Move{Worker: "w1", AtMS: 2000})
	s.ApplyMove(Move{Worker: "w1", AtMS: 3000, Refused: true})
	if !s.Moved("w0") || s.Moved("w1") || !s.Ending(3000)["w0"] || s.Ending(3000)["w1"] {
		t.Errorf("moving: %v", s.Moving)
	}
	if s.Ending(1000 + moveMemoryMS + 1)["w0"] {
		t.Error("a worker whose move changed nothing is ending for good")
	}
	s.ApplyMove(Move{Worker: "w2", AtMS: 1000 + moveMemoryMS + 1})
	if s.Moved("w0") || !s.Moved("w2") {
		t.Errorf("moving after a minute: %v", s.Moving)
	}
}
