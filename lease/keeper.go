package lease

import "time"

// clockMargin widens a lease at the leader against a worker whose clock runs
// slower: one twentieth of the term is far more than what clocks are off.
const clockMargin = 20

// Keeper is a leader's book of the agents' leases. It is pure: the time is
// passed. It is lost with the leadership, and a new leader starts an empty one.
//
// The lease ends at the worker first: the worker counts the term from before
// the renewal was sent, the keeper from when it was answered, with a margin.
type Keeper struct {
	term   time.Duration
	since  time.Time
	leases map[string]*held
}

type held struct {
	expires time.Time
	// closing is set from the decision that the lease has ended until that
	// is committed. A renewal granted in between would let the agent believe
	// in a lease which the log then ends.
	closing bool
}

// NewKeeper returns the book of a leader that leads since now.
func NewKeeper(term time.Duration, now time.Time) *Keeper {
	return &Keeper{term: term, since: now, leases: make(map[string]*held)}
}

func (k *Keeper) full() time.Duration { return k.term + k.term/clockMargin }

// Grant extends an agent's lease and reports whether it did: not while the end
// of the old one is being committed.
func (k *Keeper) Grant(agent string, now time.Time) bool {
	h := k.leases[agent]
	if h == nil {
		h = &held{}
		k.leases[agent] = h
	}
	if h.closing {
		return false
	}
	h.expires = now.Add(k.full())
	return true
}

// Close reports whether an agent's lease has certainly ended, and if so refuses
// renewals until Reopen. An agent that never renewed under this leader may
// hold a lease from an older one, so it is given a whole term.
func (k *Keeper) Close(agent string, now time.Time) bool {
	end := k.since.Add(k.full())
	h := k.leases[agent]
	if h != nil && h.expires.After(end) {
		end = h.expires
	}
	if now.Before(end) {
		return false
	}
	if h == nil {
		h = &held{}
		k.leases[agent] = h
	}
	h.closing = true
	return true
}

// Age is for how long the book's leader has led.
func (k *Keeper) Age(now time.Time) time.Duration { return now.Sub(k.since) }

// Ungranted is how long ago this leader granted an agent's lease last, or, if it never did,
// for how long it has led.
func (k *Keeper) Ungranted(agent string, now time.Time) time.Duration {
	h := k.leases[agent]
	if h == nil || h.expires.IsZero() {
		return k.Age(now)
	}
	return now.Sub(h.expires) + k.full()
}

// Reopen lets an agent renew again. It may be called only when the end of its
// lease is seen to be committed: as long as that is not known, it may still be,
// and a renewal granted meanwhile would be for attempts that are given away.
func (k *Keeper) Reopen(agent string) {
	if h := k.leases[agent]; h != nil {
		h.closing = false
	}
}
