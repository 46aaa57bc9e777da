package waitlist

import "time"

const (
	// rateBuckets is how many seconds a rate looks back: longer than the longest task of most
	// jobs, and as long as a burst.
	rateBuckets = 10
	// MinRateShare is the part of the capacity that is up below which a rate doesn't fall. A
	// service that was asked for little, or whose runs were disturbed, has completed little, but
	// can do more. A rate that is too high brings callers back too early, and they are told a new
	// time; one that is too low leaves processors idle until they return.
	MinRateShare = 0.75
)

// Rate measures the rate of completed work.
type Rate struct {
	base    time.Time // of the first record
	last    int64     // seconds from base to the latest bucket
	buckets [rateBuckets]float64
}

// Record records work that was completed, in processor-milliseconds.
func (r *Rate) Record(work float64, now time.Time) {
	if r.base.IsZero() {
		r.base = now
	}
	r.advance(now)
	r.buckets[r.last%rateBuckets] += work
}

// Processors returns the recent rate in processors: at least MinRateShare of the available ones, and
// at most all of them.
func (r *Rate) Processors(available float64, now time.Time) float64 {
	if r.base.IsZero() {
		return MinRateShare * available
	}
	r.advance(now)
	sum := 0.0
	for _, w := range r.buckets {
		sum += w
	}
	// The latest bucket is not complete.
	seconds := min(rateBuckets-1+now.Sub(r.base.Add(time.Duration(r.last)*time.Second)).Seconds(), max(now.Sub(r.base).Seconds(), 1))
	return min(max(sum/1000/seconds, MinRateShare*available), available)
}

// advance makes the present second's bucket the latest one, and clears those of the seconds between.
func (r *Rate) advance(now time.Time) {
	second := int64(now.Sub(r.base) / time.Second)
	for n := 0; r.last < second && n < rateBuckets; n++ {
		r.last++
		r.buckets[r.last%rateBuckets] = 0
	}
	r.last = max(r.last, second)
}
