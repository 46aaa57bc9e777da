package upkeep

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// fleet is a platform with machines, and a leader's view of it.
type fleet struct {
	t      *testing.T
	state  *State
	nowMS  int64
	listed []Machine
	back   map[string]int64 // when a machine that is down returns
	lives  int
	busy   map[string]bool // workers with something at work
	bound  map[string]bool // workers that may not be ended
	taken  map[string]int  // how often a machine went down
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, state: NewState(), nowMS: 1_000_000, back: make(map[string]int64), busy: make(map[string]bool), bound: make(map[string]bool), taken: make(map[string]int)}
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
		Empty:  func(w string) bool { return !f.busy[w] },
		Spared: func(w string) bool { return !f.bound[w] }}
}

// tick lets time pass and makes one decision. The platform carries an order out if
// carried says so; the answer is heard if heard says so.
func (f *fleet) tick(ms int64, carried, heard bool) Decision {
	f.nowMS += ms
	for i := range f.listed {
		m := &f.listed[i]
		if at, down := f.back[m.Name]; down && f.nowMS >= at {
			delete(f.back, m.Name)
			f.lives++
			m.Up, m.Worker = true, fmt.Sprintf("life-%d", f.lives)
		}
	}
	d := Next(f.input())
	f.state.ApplyMarks(d.Marks)
	for _, o := range d.Orders {
		if !carried {
			continue
		}
		phase := Down
		if !f.carryOut(o) {
			phase = Back
		}
		if heard {
			f.state.ApplyMarks([]Mark{{Wave: o.Wave, Machine: o.Machine, Phase: phase, AtMS: f.nowMS}})
		}
	}
	return d
}

// carryOut takes a machine down, once, and reports whether there is one.
func (f *fleet) carryOut(o Order) (known bool) {
	for i := range f.listed {
		m := &f.listed[i]
		p := f.state.Waves[o.Wave].find(m.Name)
		if m.Name != o.Machine {
			continue
		}
		known = true
		if f.taken[m.Name] > 0 {
			continue // done already: the platform answers the same
		}
		if m.Worker != p.Worker {
			f.t.Errorf("%s went down with %s, %s was emptied", m.Name, m.Worker, p.Worker)
		}
		m.Up, m.Worker = false, ""
		f.back[m.Name] = f.nowMS + 2000
		f.taken[m.Name]++
	}
	return known
}

// restart gives a machine that is up a new worker by itself.
func (f *fleet) restart(i int) {
	if m := &f.listed[i]; m.Up {
		f.lives++
		m.Worker = fmt.Sprintf("life-%d", f.lives)
	}
}

// A wave's machines go down one after the other, each once, none while another is down,
// and the wave is said to be completed once the last has begun.
func TestAWaveTakesEachMachineOnce(t *testing.T) {
	f := newFleet(t, 3)
	f.start(Wave{Number: 1, Machines: f.names(), DurationMS: 20_000, MaxConcurrent: 1})
	r := f.state.Waves[1]
	for range 100 {
		f.tick(200, true, true)
		if len(f.back) > 1 {
			t.Fatalf("%d machines are down at once", len(f.back))
		}
		begun := len(f.taken) == 3
		if r.Completed() != begun {
			t.Fatalf("completed is %v with %d of 3 begun", r.Completed(), len(f.taken))
		}
	}
	if !r.over() || f.state.Active() || len(f.state.Leaving()) != 0 {
		t.Fatalf("the wave is not over: %+v", r.Machines)
	}
	if f.nowMS-r.StartedMS > 20_000 {
		t.Errorf("the wave took %d ms", f.nowMS-r.StartedMS)
	}
}

// A worker that is to go down runs tasks, one of which must not be taken away now. It
// gets nothing new and time to run empty; past its patience it goes down with what it
// runs, but never with that task.
func TestAWorkerRunsEmptyFirst(t *testing.T) {
	f := newFleet(t, 2)
	f.busy["w0"], f.bound["w0"] = true, true
	f.start(Wave{Number: 1, Machines: f.names(), DurationMS: 14_000, MaxConcurrent: 1})
	f.tick(200, true, true)
	if !f.state.Leaving()["w0"] || f.state.Leaving()["w1"] {
		t.Fatalf("leaving: %v", f.state.Leaving())
	}
	for range 100 {
		if d := f.tick(200, true, true); len(d.Orders) != 0 {
			t.Fatalf("ordered %v with a task that must stay", d.Orders)
		}
	}
	f.bound["w0"] = false
	if d := f.tick(200, true, true); len(d.Orders) != 1 {
		t.Fatalf("not ordered past its patience: %v", d)
	}
	f = newFleet(t, 2)
	f.busy["w0"] = true
	f.start(Wave{Number: 1, Machines: f.names(), DurationMS: 14_000, MaxConcurrent: 1})
	f.tick(0, true, true)
	for f.nowMS < f.state.Waves[1].StartedMS+3000 {
		if d := f.tick(200, true, true); len(d.Orders) != 0 {
			t.Fatal("ordered within its patience of 4 s")
		}
	}
	f.tick(2000, true, true)
	if f.taken["m0"] != 1 {
		t.Fatal("a worker that never runs empty holds the wave up")
	}
}

// Orders are lost, or carried out without an answer, and the leader changes between any
// two steps: it decides from the committed state again. Workers crash and start anew,
// machines leave for good. No
// machine goes down twice, no more than allowed are down, the wave ends.
func TestAWaveOutlivesLostAnswers(t *testing.T) {
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
				gone := f.listed[len(f.listed)-1]
				f.listed = f.listed[:len(f.listed)-1]
				delete(f.back, gone.Name)
			}
			if len(f.back) > w.MaxConcurrent {
				t.Fatalf("seed %d: %d of %d machines are down\n%v", seed, len(f.back), w.MaxConcurrent, log)
			}
		}
		for _, m := range f.listed {
			if f.taken[m.Name] != 1 {
				t.Fatalf("seed %d: %s went down %d times\n%v", seed, m.Name, f.taken[m.Name], log)
			}
		}
	}
}

// The operator loses the answer and sends the wave again, or another under its number,
// or nonsense. Marks that a leader made before it was replaced come late.
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
		"none at once": {Machines: []string{"a"}},
		"named twice":  {Machines: []string{"a", "a"}, MaxConcurrent: 1},
		"no name":      {Machines: []string{""}, MaxConcurrent: 1},
		"backwards":    {Machines: []string{"a"}, MaxConcurrent: 1, DurationMS: -1},
	} {
		if bad.Validate() == nil {
			t.Errorf("%s was taken", name)
		}
	}
	for n := range uint64(maxWaves + 10) {
		s.ApplyStart(Wave{Number: 100 + n, MaxConcurrent: 1}, 5)
	}
	if len(s.Waves) > maxWaves || s.Waves[3] == nil {
		t.Errorf("%d waves are kept; the one at work is %v", len(s.Waves), s.Waves[3])
	}
}

// Guards against a machine that is listed under a worker of before, or now under one and now
// under the other, since two waves know two starts of it.
func TestTheWorkerNotedLastIsKnownLast(t *testing.T) {
	s := NewState()
	var want []string
	for at := range int64(10) {
		number := uint64(10 - at)
		if err := s.ApplyStart(Wave{Number: number, Machines: []string{"m0"}, DurationMS: 60_000, MaxConcurrent: 1}, 1); err != nil {
			t.Fatal(err)
		}
		want = append(want, fmt.Sprint("w", at))
		if s.ApplyMarks([]Mark{{Wave: number, Machine: "m0", Phase: Down, Worker: want[at], AtMS: 2 + at}}) != 1 {
			t.Fatalf("the mark of wave %d did not hold", number)
		}
	}
	if got := s.Workers(); !slices.Equal(got, want) {
		t.Errorf("known are %v, want %v", got, want)
	}
}
