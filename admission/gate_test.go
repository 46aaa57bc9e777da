package admission

import (
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/refusal"
)

var start = time.Unix(1000, 0)

func ticket(left time.Duration) *Ticket {
	return &Ticket{Deadline: start.Add(left), Ready: make(chan struct{})}
}

// Callers arrive, wait, give up and are served, callers stop waiting for requests that the upstream
// still runs, and the upstream changes its slots, in any order, after a start of the agent beside
// earlier requests. Nothing may be admitted while the upstream holds as many requests as it has
// slots, and every ticket must be decided once.
func TestSlotsAreNeverExceeded(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for range 300 {
		g := NewGate()
		running, orphans, waiting := 0, rng.Intn(4), []*Ticket{}
		g.Open(1+rng.Intn(4), orphans)
		now := start
		admit := func() {
			if running++; running+orphans > g.Slots() {
				t.Fatalf("admitted beside %d running and %d orphaned requests in %d slots", running-1, orphans, g.Slots())
			}
		}
		settle := func(list []*Ticket) {
			for _, tk := range list {
				i := slices.Index(waiting, tk)
				if i < 0 {
					t.Fatalf("a ticket that was not queued, or was decided before, got %+v", tk.Verdict)
				}
				waiting = slices.Delete(waiting, i, i+1)
				switch tk.Verdict.Decision {
				case Admit:
					admit()
				case Queue:
					t.Fatal("a ticket left the queue undecided")
				}
			}
		}
		for range 200 {
			now = now.Add(time.Duration(rng.Intn(10)) * time.Millisecond)
			switch k := rng.Intn(12); {
			case k < 5:
				tk := &Ticket{Deadline: now.Add(time.Duration(rng.Intn(100)) * time.Millisecond)}
				switch v := g.Arrive(tk, now); v.Decision {
				case Admit:
					admit()
				case Queue:
					waiting = append(waiting, tk)
				}
			case k < 8 && running > 0:
				running--
				settle(g.Finish(5*time.Millisecond, now))
			case k == 8 && running > 0:
				running--
				orphans++
				g.Orphan()
			case k == 9:
				orphans = min(orphans, rng.Intn(2))
				settle(g.Open(g.Slots(), running+orphans))
			case k == 10 && len(waiting) > 0:
				i := rng.Intn(len(waiting))
				tk := waiting[i]
				waiting = slices.Delete(waiting, i, i+1)
				if !g.Abandon(tk) || g.Abandon(tk) {
					t.Fatal("a queued ticket can't be abandoned, or can be twice")
				}
			case k == 11:
				settle(g.Open(1+rng.Intn(4), UnknownRunning))
			}
			if g.Used() != running {
				t.Fatalf("%d requests are running; the gate counts %d", running, g.Used())
			}
		}
		for range 2 { // the second call finds nothing queued
			settle(g.Close(refusal.NoUpstream))
		}
		if len(waiting) > 0 {
			t.Fatalf("%d tickets are still undecided when the gate is closed", len(waiting))
		}
	}
}

// Guards against overload after a restart of the agent: three requests from before are still
// running at the upstream and must occupy their slots until the upstream's own count is lower.
func TestRestartedAgentCountsWhatStillRuns(t *testing.T) {
	g := NewGate()
	g.Open(4, 3)
	if g.Arrive(ticket(time.Second), start).Decision != Admit {
		t.Fatal("refused although one slot is free")
	}
	if g.Arrive(ticket(time.Second), start).Decision != Queue {
		t.Fatal("admitted to a slot that the upstream is still using")
	}
	if got := g.Open(4, 2); len(got) != 1 {
		t.Fatalf("%d admitted after two of the earlier requests ended, want 1", len(got))
	}
}

// A caller whose deadline cannot be met, and one that meets a full queue, must be refused
// immediately and told when to retry, instead of at its deadline.
func TestUnservableArrivalIsRefusedImmediately(t *testing.T) {
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
		t.Fatalf("verdict at a full queue: %+v", v)
	}
}

// An upstream withdraws. Everything queued and everything new must be refused immediately as not
// run, even if the entries have not learned of it yet.
func TestClosedGateRefusesQueuedAndNew(t *testing.T) {
	g := NewGate()
	g.Open(1, 0)
	g.Arrive(ticket(time.Second), start)
	queued := ticket(time.Second)
	g.Arrive(queued, start)
	if out := g.Close(refusal.Leaving); len(out) != 1 || out[0] != queued || queued.Verdict.Code != refusal.Leaving {
		t.Fatalf("verdict on the queued request: %+v", queued.Verdict)
	}
	if v := g.Arrive(ticket(time.Second), start); v.Decision != Refuse || v.Code != refusal.Leaving {
		t.Fatalf("verdict on a new request: %+v", v)
	}
	g.Finish(time.Millisecond, start)
	if g.Used() != 0 {
		t.Fatal("the request in progress still holds its slot after it finished")
	}
}
