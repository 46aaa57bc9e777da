package waitlist

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var start = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// workAhead returns the listed work of queue q that is ahead of an id at any time.
func workAhead(l *List, id string, now time.Time) float64 {
	return l.AheadWithin([]string{"q"}, "q", id, now, Forever)
}

// step is one call of a caller: it waits, then its job is refused or admitted.
type step struct {
	id, pauseMS int
	work        float64
	expectedMS  int
	admitted    bool
}

func genSteps() gopter.Gen {
	return gen.SliceOfN(300, gopter.CombineGens(gen.IntRange(0, 30), gen.IntRange(0, 900), gen.Float64Range(1, 100), gen.IntRange(0, 40_000), gen.IntRange(0, 5)).
		Map(func(v []any) step { return step{v[0].(int), v[1].(int), v[2].(float64), v[3].(int), v[4].(int) == 0} }))
}

// Guards, over random histories, against an id that loses its place before its time, entries
// beyond the limit, a later id that has less ahead of it, capacity that is kept for callers who
// don't return, and times that the wire can't carry.
func TestPlacesAreKept(t *testing.T) {
	const limit = 12
	params := gopter.DefaultTestParametersWithSeed(11)
	params.MinSuccessfulTests = 200
	properties := gopter.NewProperties(params)
	properties.Property("places", prop.ForAll(func(steps []step) string {
		l, now := New(limit), start
		first, until := make(map[string]time.Time), make(map[string]time.Time)
		for _, s := range steps {
			now = now.Add(time.Duration(s.pauseMS) * time.Millisecond)
			for id, end := range until {
				if now.After(end) {
					delete(first, id)
					delete(until, id)
				}
			}
			id := fmt.Sprint(s.id)
			if s.admitted {
				l.Admit("q", id)
				delete(first, id)
				delete(until, id)
				continue
			}
			retry := l.Refuse("q", id, s.work, now, time.Duration(s.expectedMS)*time.Millisecond)
			if retry < time.Second || retry > MaxRetryAfter || retry%time.Second != 0 {
				return fmt.Sprintf("the caller is told %v", retry)
			}
			if _, listed := first[id]; listed || len(first) < limit {
				if !listed {
					first[id] = now
				}
				until[id] = now.Add(min(retry+grace, first[id].Add(maxAge).Sub(now)))
			}
			if fault := checkPlaces(l, first, now); fault != "" {
				return fault
			}
		}
		now = now.Add(MaxRetryAfter + grace + time.Millisecond)
		if ahead := workAhead(l, "new", now); ahead != 0 || l.Len() != 0 {
			return fmt.Sprintf("%g of work is kept for %d callers that have not returned", ahead, l.Len())
		}
		c := l.TakeCounts()
		if c.Listed != c.Admitted+c.Lapsed {
			return fmt.Sprintf("the counts don't add up: %+v", c)
		}
		return ""
	}, genSteps()))
	properties.TestingRun(t)
}

// checkPlaces compares the list with the expected times of first refusal.
func checkPlaces(l *List, first map[string]time.Time, now time.Time) string {
	if l.Len() != len(first) {
		return fmt.Sprintf("%d entries, want %d", l.Len(), len(first))
	}
	all := workAhead(l, "new", now)
	for id, at := range first {
		if got, listed := l.Since("q", id); !listed || !got.Equal(at) {
			return fmt.Sprintf("%s has the place %v %v, want %v", id, got, listed, at)
		}
		ahead := workAhead(l, id, now)
		if ahead > all+1e-9 {
			return fmt.Sprintf("%s has more ahead than a new id: %g, %g", id, ahead, all)
		}
		for other, then := range first {
			if then.Before(at) && workAhead(l, other, now) > ahead+1e-9 {
				return fmt.Sprintf("%s has more ahead than the later %s", other, id)
			}
		}
		if part := l.AheadWithin([]string{"q"}, "q", id, now, 5*time.Second); part > ahead+1e-9 {
			return fmt.Sprintf("%g of %g is back within 5 s", part, ahead)
		}
	}
	return ""
}

// Guards against a flood of new ids that evicts those that wait, takes other queues' places, or
// keeps capacity for callers that never return.
func TestFloodOfNewIDs(t *testing.T) {
	l, now := New(20), start
	l.Refuse("q", "waits", 5, now, 3*time.Second)
	for i := range 1000 {
		now = now.Add(25 * time.Millisecond)
		if i%120 == 0 {
			l.Refuse("q", "waits", 5, now, 3*time.Second)
		}
		l.Refuse("q", fmt.Sprint(i), 1, now, time.Second)
		if n := l.Len(); n > 20 {
			t.Fatalf("%d entries", n)
		}
	}
	if at, listed := l.Since("q", "waits"); !listed || !at.Equal(start) || workAhead(l, "waits", now) != 0 {
		t.Errorf("the first id has lost its place: %v %v", at, listed)
	}
	if ahead := workAhead(l, "new", now); ahead != 5 {
		t.Errorf("%g of work is ahead of a new id, want 5 and nothing for the flood", ahead)
	}
	l.Refuse("other", "a", 1, now, time.Second)
	if _, listed := l.Since("other", "a"); !listed {
		t.Error("another queue's job is not listed")
	}
	if c := l.TakeCounts(); c.Full == 0 || c.Lapsed == 0 {
		t.Errorf("counted %+v", c)
	}
	l.Retain(func(queue string) bool { return queue == "other" })
	if c := l.TakeCounts(); c.Removed != 20 || l.Len() != 1 {
		t.Errorf("a removed queue: %d entries removed, %d left", c.Removed, l.Len())
	}
}

// Guards against capacity kept until a distant time for a caller that returns at once and then
// gives up; a call that an entry sends again is not an early return.
func TestCallersThatDontWait(t *testing.T) {
	l := New(10)
	l.Refuse("q", "hasty", 5, start, 20*time.Second)
	l.Refuse("q", "hasty", 5, start.Add(600*time.Millisecond), 20*time.Second)
	l.Refuse("q", "resent", 7, start, 20*time.Second)
	l.Refuse("q", "resent", 7, start.Add(50*time.Millisecond), 20*time.Second)
	if ahead := workAhead(l, "new", start.Add(3*time.Second)); ahead != 12 {
		t.Errorf("%g is ahead of a new id at first, want 12", ahead)
	}
	if ahead := workAhead(l, "new", start.Add(4*time.Second)); ahead != 7 {
		t.Errorf("%g is ahead of a new id once a hasty caller has not returned, want 7", ahead)
	}
	if at, listed := l.Since("q", "hasty"); !listed || !at.Equal(start) {
		t.Error("the hasty caller has lost its place before its time")
	}
}

// Guards against a rate that leaves its bounds, above all one near zero after little was asked
// for, which would send callers away for long; and against one that ignores what was measured.
func TestRateStaysWithinTheCapacity(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(13)
	properties := gopter.NewProperties(params)
	properties.Property("bounds", prop.ForAll(func(work []float64, pauses []int64, available float64) bool {
		var r Rate
		now := start
		for i := range min(len(work), len(pauses)) {
			now = now.Add(time.Duration(pauses[i]) * time.Millisecond)
			r.Record(work[i], now)
			if p := r.Processors(available, now); p < MinRateShare*available || p > available {
				return false
			}
		}
		return true
	}, gen.SliceOf(gen.Float64Range(0, 1e6)), gen.SliceOf(gen.Int64Range(0, 30_000)), gen.Float64Range(0, 1000)))
	properties.TestingRun(t)
	var r Rate
	for i := range 300 {
		r.Record(8500, start.Add(time.Duration(i)*100*time.Millisecond))
	}
	if p := r.Processors(100, start.Add(30*time.Second)); p < 80 || p > 90 {
		t.Errorf("85 processors' work was completed each second, the rate is %g", p)
	}
}
