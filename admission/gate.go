// Package admission decides which requests are passed to an upstream, and when. Gate is a pure state
// machine: it is given arrivals and ends with their times and returns what is admitted or refused.
package admission

import (
	"time"

	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// Parameters of the gate.
const (
	// queuePerSlot bounds the queue: a longer one only delays answers.
	queuePerSlot = 2
	minQueue     = 4
	// serviceTimeWeight is the weight of one request in the mean service time.
	serviceTimeWeight = 0.05
	// minRetryAfter is the least time that a refused caller is told to wait.
	minRetryAfter = 100 * time.Millisecond
)

// UnknownRunning stands for the count of an upstream that does not report its requests.
const UnknownRunning = -1

// Decision is the outcome of an arrival.
type Decision uint8

// The decisions.
const (
	Admit Decision = iota
	Queue
	Refuse
)

// Verdict is a decision; for a refusal also its reason and the time after which to retry.
type Verdict struct {
	Decision   Decision
	Code       refusal.Code
	RetryAfter time.Duration
}

// Ticket is a request that was passed to a gate.
type Ticket struct {
	Deadline time.Time
	// Ready is closed by the gate's owner when a queued ticket is admitted or refused. Verdict
	// then holds the decision.
	Ready   chan struct{}
	Verdict Verdict
}

// Gate limits the requests in progress at one upstream to its slots. It is not safe for concurrent
// use.
//
// Invariant: used + orphans <= slots for every admission. An orphan is a request that no caller
// waits for any more but that the upstream may still be running.
type Gate struct {
	slots       int
	used        int
	orphans     int
	closeCode   refusal.Code // reason for refusing everything, "" while the gate is open
	meanSeconds float64      // mean service time in seconds
	queue       []*Ticket
}

// NewGate returns a gate that refuses everything until Open is called.
func NewGate() *Gate { return &Gate{closeCode: refusal.NoUpstream} }

// Open sets the slots of an announced upstream and returns the queued tickets that this admits.
// running is the upstream's own count of requests in progress, or UnknownRunning.
//
// After a restart of the agent the upstream may still run requests that the agent does not know.
// They occupy their slots until the upstream's count is lower.
func (g *Gate) Open(slots, running int) []*Ticket {
	first := g.closeCode == refusal.NoUpstream
	g.slots, g.closeCode = slots, ""
	switch {
	case running != UnknownRunning && first:
		g.orphans = max(running-g.used, 0)
	case running != UnknownRunning:
		g.orphans = min(g.orphans, max(running-g.used, 0))
	}
	return g.admitQueued()
}

// Close refuses all queued and all further requests with this reason, and returns the queued ones.
func (g *Gate) Close(code refusal.Code) []*Ticket {
	g.closeCode = code
	out := g.queue
	g.queue = nil
	for _, t := range out {
		t.Verdict = Verdict{Refuse, code, minRetryAfter}
	}
	return out
}

// Free returns the number of slots that are neither in use nor needed for queued requests.
func (g *Gate) Free() int { return max(g.slots-g.used-g.orphans-len(g.queue), 0) }

// Used returns the number of requests in progress.
func (g *Gate) Used() int { return g.used }

// Slots returns the number of slots.
func (g *Gate) Slots() int { return g.slots }

// Arrive decides on a request immediately: a caller whose deadline cannot be met is refused now and
// not when the deadline has passed.
func (g *Gate) Arrive(t *Ticket, now time.Time) Verdict {
	left := t.Deadline.Sub(now)
	switch {
	case g.closeCode != "":
		return Verdict{Refuse, g.closeCode, minRetryAfter}
	case left <= 0:
		return Verdict{Refuse, refusal.DeadlinePassed, 0}
	case g.used+g.orphans < g.slots:
		g.used++
		return Verdict{Decision: Admit}
	case len(g.queue) >= max(g.slots*queuePerSlot, minQueue):
		return Verdict{Refuse, refusal.Overloaded, g.retryAfter()}
	case g.expectedWait()+g.meanServiceTime() > left:
		return Verdict{Refuse, refusal.DeadlineShort, g.retryAfter()}
	}
	g.queue = append(g.queue, t)
	return Verdict{Decision: Queue}
}

func (g *Gate) meanServiceTime() time.Duration {
	return time.Duration(g.meanSeconds * float64(time.Second))
}

// expectedWait estimates how long a new arrival would be queued.
func (g *Gate) expectedWait() time.Duration {
	return g.meanServiceTime() * time.Duration(len(g.queue)+1) / time.Duration(max(g.slots, 1))
}

func (g *Gate) retryAfter() time.Duration { return max(g.expectedWait(), minRetryAfter) }

// Abandon removes a ticket from the queue. It returns true if the ticket was still queued, which
// means that its request was certainly not run.
func (g *Gate) Abandon(t *Ticket) bool {
	for i, q := range g.queue {
		if q == t {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Finish frees the slot of a request with this service time and returns the queued tickets that are
// decided by it.
func (g *Gate) Finish(took time.Duration, now time.Time) []*Ticket {
	g.used--
	if g.meanSeconds == 0 {
		g.meanSeconds = took.Seconds()
	}
	g.meanSeconds += (took.Seconds() - g.meanSeconds) * serviceTimeWeight
	return g.admitQueuedAt(now)
}

// Orphan records that the caller of a request in progress has stopped waiting. The request keeps
// its slot, since the upstream may still be running it.
func (g *Gate) Orphan() {
	g.used--
	g.orphans++
}

func (g *Gate) admitQueued() []*Ticket { return g.admitQueuedAt(time.Time{}) }

func (g *Gate) admitQueuedAt(now time.Time) []*Ticket {
	var out []*Ticket
	for len(g.queue) > 0 && g.used+g.orphans < g.slots {
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
