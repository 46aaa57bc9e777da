// Package waitlist keeps the places of refused jobs until their callers return. It is pure: the
// time is passed in, and the owner serialises the calls.
package waitlist

import (
	"math"
	"slices"
	"time"
)

const (
	// MaxRetryAfter limits the time that a caller is told to wait, since the work ahead is known
	// only roughly. Callers retry up to 4 times, so they wait four minutes at most.
	MaxRetryAfter = time.Minute
	// Forever is a horizon for AheadWithin that leaves no entry out.
	Forever = time.Duration(math.MaxInt64)

	// grace is how long after its time a caller is still expected. It covers the delay of the
	// response and of the new call. Capacity is kept for the job until then.
	grace = 2 * time.Second
	// earlyPause is the time after which a caller that ignored the time it was told is expected
	// again: such callers return after 0.3 to 1 s.
	earlyPause = time.Second
	// earlyBy is how much before its time a call may arrive without counting as early.
	earlyBy = 500 * time.Millisecond
	// resendGap is the time within which a call for the same id is the previous one sent again, by
	// an entry that lost the answer: callers pause for 0.3 s at least.
	resendGap = 200 * time.Millisecond
	// maxAge limits how long an id keeps its place: four retries after MaxRetryAfter, with the
	// grace, and the time of as many calls.
	maxAge = 5 * time.Minute
	// shareWeight is the weight of one caller in the share of callers that return. It falls to a
	// tenth within 36 further callers, about as many as a burst refuses.
	shareWeight = 1.0 / 16
	// minShare is the share of callers that return below which those that have not returned yet
	// don't count at all. Even a small part of their work would have a job refused that fits exactly.
	minShare = 0.25
)

// Counts counts what happened to entries.
type Counts struct {
	// Listed entries were added, Admitted ones were removed because their job was admitted, Lapsed
	// ones because their callers did not return in time.
	Listed, Admitted, Lapsed int
	// Full counts refused jobs that were not listed because their queue had too many entries,
	// and Removed the entries of removed queues.
	Full, Removed int
}

// List is a table of refused jobs by queue, in the order of their first refusal.
type List struct {
	limit  int
	queues map[string]*queue
	seq    uint64    // of the last entry
	next   time.Time // no entry expires before it
	counts Counts
}

type queue struct {
	entries []*entry // by seq
	byID    map[string]*entry
	// share is the recent share of refused callers that returned. The work of callers that have not
	// returned yet is weighted by it: when callers use a new id for each call, none ever returns, and
	// capacity kept for them would stay idle.
	share float64
}

// entry is one refused job.
type entry struct {
	id   string
	seq  uint64
	work float64
	// first and last are the times of the first and the last refusal.
	first, last time.Time
	// told is when the caller was told to return, and back when it is expected to. They differ for
	// callers that don't wait.
	told, back time.Time
	returned   bool // at least once
}

// aheadUntil returns when the entry's work stops counting as ahead of later jobs.
func (e *entry) aheadUntil() time.Time { return e.back.Add(grace) }

// expiresAt returns when the entry loses its place.
func (e *entry) expiresAt() time.Time {
	if end := e.first.Add(maxAge); end.Before(e.told.Add(grace)) {
		return end
	}
	return e.told.Add(grace)
}

// New returns an empty list with a limit on the entries of each queue, so that refusals in one
// queue take no place from another's jobs.
func New(limit int) *List {
	return &List{limit: limit, queues: make(map[string]*queue)}
}

// Refuse records a refusal and returns when the caller is to return: the expected time until there
// is room, in whole seconds. An id that is listed keeps its place; its work and times are updated.
// If the queue has too many entries, a new id is not listed, so that a flood of new ids doesn't
// evict those that wait.
func (l *List) Refuse(queue, id string, work float64, now time.Time, expected time.Duration) (retryAfter time.Duration) {
	l.Expire(now)
	retryAfter = wholeSeconds(expected)
	q := l.queue(queue)
	e, early := q.byID[id], false
	switch {
	case e == nil && len(q.entries) >= l.limit:
		l.counts.Full++
		return retryAfter
	case e == nil:
		l.seq++
		e = &entry{id: id, seq: l.seq, first: now}
		q.entries, q.byID[id] = append(q.entries, e), e
		l.counts.Listed++
	case now.Sub(e.last) >= resendGap:
		early = now.Before(e.told.Add(-earlyBy))
		q.markReturned(e)
	}
	e.work, e.last, e.told = work, now, now.Add(retryAfter)
	if e.back = e.told; early && retryAfter > earlyPause {
		e.back = now.Add(earlyPause)
	}
	if l.next.IsZero() || e.expiresAt().Before(l.next) {
		l.next = e.expiresAt()
	}
	return retryAfter
}

// wholeSeconds rounds up to whole seconds, as on the wire, between one and MaxRetryAfter.
func wholeSeconds(d time.Duration) time.Duration {
	d = min(max(d, time.Second), MaxRetryAfter)
	return (d + time.Second - 1).Truncate(time.Second)
}

// AheadWithin returns the work of the listed jobs of several queues that have an earlier place than
// an id of one queue and are expected to return within the given time.
func (l *List) AheadWithin(queues []string, queue, id string, now time.Time, within time.Duration) (work float64) {
	l.Expire(now)
	place := uint64(math.MaxUint64)
	if e := l.entry(queue, id); e != nil {
		place = e.seq
	}
	for _, name := range queues {
		q := l.queues[name]
		if q == nil {
			continue
		}
		for _, e := range q.entries {
			if e.seq >= place {
				break
			}
			if now.After(e.aheadUntil()) || (within != Forever && e.back.After(now.Add(within))) {
				continue
			}
			switch {
			case e.returned:
				work += e.work
			case q.share >= minShare:
				work += e.work * q.share
			}
		}
	}
	return work
}

// Admit removes the entry of a job that was admitted.
func (l *List) Admit(queue, id string) {
	e := l.entry(queue, id)
	if e == nil {
		return
	}
	q := l.queues[queue]
	q.markReturned(e)
	q.remove(func(x *entry) bool { return x == e })
	l.counts.Admitted++
}

// Since returns the time of an id's first refusal, and whether it is listed.
func (l *List) Since(queue, id string) (time.Time, bool) {
	if e := l.entry(queue, id); e != nil {
		return e.first, true
	}
	return time.Time{}, false
}

// Expire removes the entries whose callers have not returned in time.
func (l *List) Expire(now time.Time) {
	if l.next.IsZero() || !now.After(l.next) {
		return
	}
	l.next = time.Time{}
	for _, q := range l.queues {
		l.counts.Lapsed += q.remove(func(e *entry) bool {
			expired := now.After(e.expiresAt())
			if expired && !e.returned {
				q.share -= q.share * shareWeight
			}
			return expired
		})
		for _, e := range q.entries {
			if l.next.IsZero() || e.expiresAt().Before(l.next) {
				l.next = e.expiresAt()
			}
		}
	}
}

// Retain drops the entries of the queues that are not to be kept.
func (l *List) Retain(keep func(queue string) bool) {
	for name, q := range l.queues {
		if !keep(name) {
			l.counts.Removed += len(q.entries)
			delete(l.queues, name)
		}
	}
}

// Len returns the number of entries.
func (l *List) Len() (n int) {
	for _, q := range l.queues {
		n += len(q.entries)
	}
	return n
}

// TakeCounts returns the counts since the previous call.
func (l *List) TakeCounts() Counts {
	c := l.counts
	l.counts = Counts{}
	return c
}

func (l *List) queue(name string) *queue {
	q := l.queues[name]
	if q == nil {
		q = &queue{byID: make(map[string]*entry), share: 1}
		l.queues[name] = q
	}
	return q
}

func (l *List) entry(queue, id string) *entry {
	if q := l.queues[queue]; q != nil {
		return q.byID[id]
	}
	return nil
}

// markReturned records that a caller returned, once for each entry.
func (q *queue) markReturned(e *entry) {
	if !e.returned {
		e.returned = true
		q.share += (1 - q.share) * shareWeight
	}
}

// remove removes the entries for which the function returns true, and returns their number.
func (q *queue) remove(which func(*entry) bool) (n int) {
	q.entries = slices.DeleteFunc(q.entries, func(e *entry) bool {
		if !which(e) {
			return false
		}
		delete(q.byID, e.id)
		n++
		return true
	})
	return n
}
