// Package admission decides which requests an upstream is given, and when. The
// Gate is a pure step machine: arrivals and ends go in with the time, and what
// is admitted or refused comes out.
package admission

import (
	"time"

	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// Tuning of the gate.
const (
	// queuePerSlot bounds the queue: a longer one only makes answers late.
	queuePerSlot = 2
	minQueue     = 4
	// tookWeight is the weight of one request in the mean service time.
	tookWeight = 0.05
	// minRetryAfter is the least time a refused caller is told to wait.
	minRetryAfter = 100 * time.Millisecond
)

// UnknownRunning stands for an upstream that does not count its requests.
const UnknownRunning = -1

// Decision is what becomes of an arrival.
type Decision uint8

// The decisions.
const (
	Admit Decision = iota
	Queue
	Refuse
)

// Verdict is a decision with its reason.
type Verdict struct {
	Decision   Decision
	Code       refusal.Code
	RetryAfter time.Duration
}

// Ticket is a request in the gate's hands.
type Ticket struct {
	Deadline time.Time
	// Ready is closed by the shell when a queued ticket is admitted or
	// refused; Verdict then tells which.
	Ready   chan struct{}
	Verdict Verdict
}

// Gate guards one upstream's slots.
//
// Invariant: used + strays <= slots for every admission. A stray is a request
// that nobody waits for any more but that the upstream may still be running.
type Gate struct {
	slots  int
	used   int
	strays int
	closed refusal.Code // not "" when nothing more is admitted
	took   float64      // mean service time in seconds
	queue  []*Ticket
}

// NewGate returns a gate that refuses everything until it is opened.
func NewGate() *Gate { return &Gate{closed: refusal.NoUpstream} }

// Open sets the slots of an announced upstream. running is the upstream's own
// count of requests in progress, or UnknownRunning.
//
// After the agent was started anew, the upstream may still run requests that
// the agent knows nothing of. They hold their slots until the count is lower.
func (g *Gate) Open(slots, running int) []*Ticket {
	first := g.closed == refusal.NoUpstream
	g.slots, g.closed = slots, ""
	switch {
	case running != UnknownRunning && first:
		g.strays = max(running-g.used, 0)
	case running != UnknownRunning:
		g.strays = min(g.strays, max(running-g.used, 0))
	}
	return g.admitQueued()
}

// Close refuses all that is queued and all that comes, with this reason.
func (g *Gate) Close(code refusal.Code) []*Ticket {
	g.closed = code
	out := g.queue
	g.queue = nil
	for _, t := range out {
		t.Verdict = Verdict{Refuse, code, minRetryAfter}
	}
	return out
}

// Free returns the slots that could be used at once.
func (g *Gate) Free() int { return max(g.slots-g.used-g.strays-len(g.queue), 0) }

// Used returns the requests in progress.
func (g *Gate) Used() int { return g.used }

// Slots returns the number of slots.
func (g *Gate) Slots() int { return g.slots }

// Arrive decides on a request at once: a caller whose deadline cannot be met
// learns it now, not when it has passed.
func (g *Gate) Arrive(t *Ticket, now time.Time) Verdict {
	left := t.Deadline.Sub(now)
	switch {
	case g.closed != "":
		return Verdict{Refuse, g.closed, minRetryAfter}
	case left <= 0:
		return Verdict{Refuse, refusal.DeadlinePassed, 0}
	case g.used+g.strays < g.slots:
		g.used++
		return Verdict{Decision: Admit}
	case len(g.queue) >= max(g.slots*queuePerSlot, minQueue):
		return Verdict{Refuse, refusal.Overloaded, g.drainTime()}
	case g.wait()+g.mean() > left:
		return Verdict{Refuse, refusal.DeadlineShort, g.drainTime()}
	}
	g.queue = append(g.queue, t)
	return Verdict{Decision: Queue}
}

func (g *Gate) mean() time.Duration { return time.Duration(g.took * float64(time.Second)) }

// wait estimates how long a new arrival would be queued.
func (g *Gate) wait() time.Duration {
	return g.mean() * time.Duration(len(g.queue)+1) / time.Duration(max(g.slots, 1))
}

func (g *Gate) drainTime() time.Duration { return max(g.wait(), minRetryAfter) }

// Abandon takes a queued ticket out and reports whether it was still queued:
// it then was certainly not run.
func (g *Gate) Abandon(t *Ticket) bool {
	for i, q := range g.queue {
		if q == t {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Finish frees the slot of a request that took so long, and returns the queued
// tickets that are now decided.
func (g *Gate) Finish(took time.Duration, now time.Time) []*Ticket {
	g.used--
	if g.took == 0 {
		g.took = took.Seconds()
	}
	g.took += (took.Seconds() - g.took) * tookWeight
	return g.admitQueuedAt(now)
}

// Stray gives up waiting for a request without freeing its slot.
func (g *Gate) Stray() {
	g.used--
	g.strays++
}

func (g *Gate) admitQueued() []*Ticket { return g.admitQueuedAt(time.Time{}) }

func (g *Gate) admitQueuedAt(now time.Time) []*Ticket {
	var out []*Ticket
	for len(g.queue) > 0 && g.used+g.strays < g.slots {
		t := g.queue[0]
		g.queue = g.queue[1:]
		if !now.IsZero() && !t.Deadline.After(now) {
			t.Verdict = Verdict{Refuse, refusal.DeadlinePassed, 0}
		} else {
			g.used++
			t.Verdict = Verdict{Decision: Admit}
		}
		out = append(out, t)
	}
	return out
}
