package admission

import (
	"math/rand"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/refusal"
)

var start = time.Unix(1000, 0)

func ticket(left time.Duration) *Ticket {
	return &Ticket{Deadline: start.Add(left), Ready: make(chan struct{})}
}

// Callers arrive, wait, give up, are served, and requests are given up while the
// upstream still runs them, in any order. At no time does the upstream hold more
// than its slots, and every ticket is decided once.
func TestSlotsAreNeverExceeded(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for range 300 {
		g := NewGate()
		g.Open(1+rng.Intn(4), 0)
		now := start
		running, strays, waiting := 0, 0, []*Ticket{}
		take := func(list []*Ticket) {
			for _, tk := range list {
				if tk.Verdict.Decision == Admit {
					running++
				}
				for i, q := range waiting {
					if q == tk {
						waiting = append(waiting[:i], waiting[i+1:]...)
						break
					}
				}
			}
		}
		for range 200 {
			now = now.Add(time.Duration(rng.Intn(10)) * time.Millisecond)
			switch k := rng.Intn(10); {
			case k < 5:
				tk := &Ticket{Deadline: now.Add(time.Duration(rng.Intn(100)) * time.Millisecond)}
				switch v := g.Arrive(tk, now); v.Decision {
				case Admit:
					running++
				case Queue:
					waiting = append(waiting, tk)
				}
			case k < 8 && running > 0:
				running--
				take(g.Finish(5*time.Millisecond, now))
			case k == 8 && running > 0:
				running--
				strays++
				g.Stray()
			case k == 9:
				strays = min(strays, rng.Intn(2))
				take(g.Open(g.Slots(), running+strays))
			}
			if running+strays > g.Slots() || g.Used() != running {
				t.Fatalf("%d running and %d strays in %d slots; the gate counts %d", running, strays, g.Slots(), g.Used())
			}
		}
	}
}

// The agent was started anew while its upstream still runs three requests of
// before. They hold their slots until the upstream's own count says otherwise.
func TestRestartedAgentCountsWhatStillRuns(t *testing.T) {
	g := NewGate()
	g.Open(4, 3)
	if g.Arrive(ticket(time.Second), start).Decision != Admit {
		t.Fatal("one slot is free")
	}
	if g.Arrive(ticket(time.Second), start).Decision != Queue {
		t.Fatal("a slot was given that the upstream is still using")
	}
	if got := g.Open(4, 2); len(got) != 1 {
		t.Fatalf("%d admitted when two of the old ones ended", len(got))
	}
}

// A caller whose deadline cannot be met is refused at once and told when to come
// back; it does not find out when its time is over.
func TestHopelessArrivalIsRefusedAtOnce(t *testing.T) {
	g := NewGate()
	g.Open(1, 0)
	g.Arrive(ticket(time.Second), start)
	g.Finish(100*time.Millisecond, start)
	g.Arrive(ticket(time.Second), start)
	v := g.Arrive(ticket(50*time.Millisecond), start)
	if v.Decision != Refuse || v.Code != refusal.DeadlineShort || v.RetryAfter <= 0 {
		t.Fatalf("verdict: %+v", v)
	}
	for range minQueue {
		g.Arrive(ticket(time.Hour), start)
	}
	if v := g.Arrive(ticket(time.Hour), start); v.Decision != Refuse || v.Code != refusal.Overloaded || v.RetryAfter <= 0 {
		t.Fatalf("a full queue: %+v", v)
	}
}

// An upstream withdraws. Everything queued and everything new is refused as
// certainly not run, at once, whatever the entries know.
func TestClosedGateRefusesQueuedAndNew(t *testing.T) {
	g := NewGate()
	g.Open(1, 0)
	g.Arrive(ticket(time.Second), start)
	queued := ticket(time.Second)
	g.Arrive(queued, start)
	if out := g.Close(refusal.Leaving); len(out) != 1 || out[0] != queued || queued.Verdict.Code != refusal.Leaving {
		t.Fatalf("queued: %+v", queued.Verdict)
	}
	if v := g.Arrive(ticket(time.Second), start); v.Decision != Refuse || v.Code != refusal.Leaving {
		t.Fatalf("new: %+v", v)
	}
	g.Finish(time.Millisecond, start)
	if g.Used() != 0 {
		t.Fatal("the request in progress was not let finish")
	}
}
