package lease

import (
	"maps"
	"time"
)

// clockMargin widens a lease at the leader against a worker whose clock runs
// slower: one twentieth of the term is far more than what clocks are off.
const clockMargin = 20

// Keeper is a leader's book of leases by holder, of which each has one lease in its life. It is
// pure: the time is passed. It is lost with the leadership, and a new leader starts an empty one.
//
// The lease ends at the worker first: the worker counts the term from before
// the renewal was sent, the keeper from when it was answered, with a margin.
type Keeper[Holder comparable] struct {
	term   time.Duration
	since  time.Time
	leases map[Holder]*held
}

type held struct {
	expires time.Time
	granted time.Time // zero before the first grant under this leader
	// closing is set from the decision that the lease has ended until that
	// is committed. A renewal granted in between would let the agent believe
	// in a lease which the log then ends.
	closing bool
}

// NewKeeper returns the book of a leader that leads since now.
func NewKeeper[Holder comparable](term time.Duration, now time.Time) *Keeper[Holder] {
	return &Keeper[Holder]{term: term, since: now, leases: make(map[Holder]*held)}
}

func (k *Keeper[Holder]) full() time.Duration { return WithMargin(k.term) }

// WithMargin is a term as its lender counts it, whose holder's clock may run slower.
func WithMargin(term time.Duration) time.Duration { return term + term/clockMargin }

// Note takes a holder into the book that is new to it, and may be given a lease from now on:
// it has a whole term. Without it a holder is taken for one from before the leadership.
func (k *Keeper[Holder]) Note(holder Holder, now time.Time) { k.NoteFor(holder, now, k.term) }

// NoteFor does the same for a holder that somebody else may have lent a term of its own until now.
func (k *Keeper[Holder]) NoteFor(holder Holder, now time.Time, term time.Duration) {
	if k.leases[holder] == nil {
		k.leases[holder] = &held{expires: now.Add(WithMargin(max(term, k.term))), granted: now}
	}
}

// Grant extends a holder's lease and reports whether it did: not while the end
// of the old one is being committed.
func (k *Keeper[Holder]) Grant(holder Holder, now time.Time) bool {
	h := k.leases[holder]
	if h == nil {
		h = &held{}
		k.leases[holder] = h
	}
	if h.closing {
		return false
	}
	if now.After(h.granted) { // goroutines come late
		h.granted = now
	}
	if end := now.Add(k.full()); end.After(h.expires) {
		h.expires = end
	}
	return true
}

// Close reports whether a holder's lease has certainly ended, and if so refuses
// renewals until Reopen. A holder that never renewed under this leader may
// hold a lease from an older one, so it is given a whole term.
func (k *Keeper[Holder]) Close(holder Holder, now time.Time) bool {
	end := k.since.Add(k.full())
	h := k.leases[holder]
	if h != nil && h.expires.After(end) {
		end = h.expires
	}
	if now.Before(end) {
		return false
	}
	if h == nil {
		h = &held{}
		k.leases[holder] = h
	}
	h.closing = true
	return true
}

// Age is for how long the book's leader has led.
func (k *Keeper[Holder]) Age(now time.Time) time.Duration { return now.Sub(k.since) }

// Ungranted is how long ago this leader granted or noted a holder's lease last, or, if it never
// did, for how long it has led.
func (k *Keeper[Holder]) Ungranted(holder Holder, now time.Time) time.Duration {
	h := k.leases[holder]
	if h == nil || h.granted.IsZero() {
		return k.Age(now)
	}
	return now.Sub(h.granted)
}

// Reopen lets a holder renew again, and forgets what the book knew of it. It may be called only
// when the end of its lease is seen to be committed: as long as that is not known, it may still be,
// and a renewal granted meanwhile would be for attempts that are given away.
func (k *Keeper[Holder]) Reopen(holder Holder) { delete(k.leases, holder) }

// Retain drops the holders that don't exist any more.
func (k *Keeper[Holder]) Retain(exists func(Holder) bool) {
	maps.DeleteFunc(k.leases, func(h Holder, _ *held) bool { return !exists(h) })
}
