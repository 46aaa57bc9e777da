package lease

import (
	"maps"
	"time"
)

// clockMargin is the divisor for the margin that the leader adds to a term against a worker whose
// clock runs slower. One twentieth of the term is far more than clocks differ.
const clockMargin = 20

// Table is a leader's lease table, with one entry per holder; a holder has one lease over its
// lifetime. It reads no clock: callers pass the time. It is lost with the leadership, and a new
// leader starts with an empty one.
//
// A lease ends at the worker before it ends here: the worker counts the term from before the
// renewal was sent, the table from when it was answered, plus a margin.
type Table[Holder comparable] struct {
	term   time.Duration
	since  time.Time
	leases map[Holder]*leaseEntry
}

type leaseEntry struct {
	expires time.Time
	granted time.Time // zero before the first grant under this leader
	// closing is set from the decision that the lease has ended until that is committed. A
	// renewal granted in between would give the agent a lease that the log then ends.
	closing bool
}

// NewTable returns the lease table of a leader whose leadership begins at now.
func NewTable[Holder comparable](term time.Duration, now time.Time) *Table[Holder] {
	return &Table[Holder]{term: term, since: now, leases: make(map[Holder]*leaseEntry)}
}

func (t *Table[Holder]) termWithMargin() time.Duration { return WithMargin(t.term) }

// WithMargin returns a term as the grantor counts it: with a margin for a holder whose clock runs
// slower.
func WithMargin(term time.Duration) time.Duration { return term + term/clockMargin }

// Add adds a new holder, which may be granted a lease from now on, with a whole term. A holder
// that was not added is treated as one from before the leadership.
func (t *Table[Holder]) Add(holder Holder, now time.Time) { t.AddWithTerm(holder, now, t.term) }

// AddWithTerm is like Add for a holder that may have been granted another term elsewhere until now.
// The longer of the two terms counts.
func (t *Table[Holder]) AddWithTerm(holder Holder, now time.Time, term time.Duration) {
	if t.leases[holder] == nil {
		t.leases[holder] = &leaseEntry{expires: now.Add(WithMargin(max(term, t.term))), granted: now}
	}
}

// Grant extends a holder's lease and reports whether it did. It refuses while the end of the
// holder's lease is being committed.
func (t *Table[Holder]) Grant(holder Holder, now time.Time) bool {
	h := t.leases[holder]
	if h == nil {
		h = &leaseEntry{}
		t.leases[holder] = h
	}
	if h.closing {
		return false
	}
	if now.After(h.granted) { // concurrent grants may be recorded out of order
		h.granted = now
	}
	if end := now.Add(t.termWithMargin()); end.After(h.expires) {
		h.expires = end
	}
	return true
}

// Close reports whether a holder's lease has certainly ended, and if so refuses renewals until
// Reopen. A holder that has not renewed under this leader may hold a lease from an older one, so its
// lease counts as running for a whole term from the start of the leadership.
func (t *Table[Holder]) Close(holder Holder, now time.Time) bool {
	end := t.since.Add(t.termWithMargin())
	h := t.leases[holder]
	if h != nil && h.expires.After(end) {
		end = h.expires
	}
	if now.Before(end) {
		return false
	}
	if h == nil {
		h = &leaseEntry{}
		t.leases[holder] = h
	}
	h.closing = true
	return true
}

// Age returns how long the leader has led.
func (t *Table[Holder]) Age(now time.Time) time.Duration { return now.Sub(t.since) }

// SinceGrant returns the time since this leader last granted a holder's lease or added the holder,
// or, if it never did, how long it has led.
func (t *Table[Holder]) SinceGrant(holder Holder, now time.Time) time.Duration {
	h := t.leases[holder]
	if h == nil || h.granted.IsZero() {
		return t.Age(now)
	}
	return now.Sub(h.granted)
}

// Reopen lets a holder renew again, and discards its entry. It may be called only once the end of
// the holder's lease is known to be committed. Until then the commit may still happen, and a renewal
// granted meanwhile would be for attempts that are reassigned.
func (t *Table[Holder]) Reopen(holder Holder) { delete(t.leases, holder) }

// Retain removes the holders for which exists returns false.
func (t *Table[Holder]) Retain(exists func(Holder) bool) {
	maps.DeleteFunc(t.leases, func(h Holder, _ *leaseEntry) bool { return !exists(h) })
}
