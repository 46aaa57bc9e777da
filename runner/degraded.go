package runner

import "time"

// overThreshold is the tail, as a fraction of its target, above which it is too long.
const overThreshold = 1.0

// groupLimits apply to the highest of the groups' tails, by which a worker counts as degraded. A
// second is one of the four for which filling runs may keep a tail too long.
var groupLimits = &overLimits{within: overThreshold, recovered: 0.9, stopAfter: time.Second}

// taskLimits apply to a single task. Its own burst of load has often passed within 1.5 s, and its
// single readings err by a twentieth. A stop shows up to a second later, another one if its call is
// lost.
var taskLimits = &overLimits{within: 0.97, recovered: 0.97, stopAfter: 1500 * time.Millisecond}

const (
	// degradedAfter is how long a tail must be continuously too long, without any filling run
	// at work, before it counts as too long by itself. A reading covers the last half second,
	// and a pace takes up to 0.1 s to take effect.
	degradedAfter = 1800 * time.Millisecond
	// maxReleaseTime is how long filling runs may work continuously beside a tail that is too
	// long by itself. The classification may be wrong: a pace takes effect late, or
	// its call was lost. With readings at most 0.8 s apart, the runs are stopped again after
	// 2.3 of the four seconds.
	maxReleaseTime = 1500 * time.Millisecond
)

// degradationDetector distinguishes tails that are too long whatever fills beside them, since the
// worker is degraded or a task's own load is too high, from tails that filling runs make too long.
// It reads no clock: the time is passed in.
type degradationDetector struct {
	limits     *overLimits
	overSince  time.Time // since when a tail is continuously too long, zero if none is
	aloneSince time.Time // since when, within that time, no filling run is at work
	degraded   bool      // tails were too long without any filling run at work
}

// overLimits says when tails count as too long. Tails are fractions of their targets.
type overLimits struct {
	within    float64       // up to here a tail that was too long is no longer
	recovered float64       // below it the verdict that it is too long by itself ends
	stopAfter time.Duration // for which a tail may be continuously too long before all filling runs are stopped
}

// command tells what to do with the filling runs.
type command uint8

const (
	steerAll   command = iota // each gets the pace that the serving groups tolerate
	stopAll                   // none may work
	releaseAll                // all may work: stopping them makes no difference
)

// String returns the command as it is logged.
func (c command) String() string {
	switch c {
	case stopAll:
		return "stop all"
	case releaseAll:
		return "release all"
	}
	return "steer"
}

// update processes a tail as a fraction of its target.
func (d *degradationDetector) update(now time.Time, tail float64, noFilling bool) command {
	if tail <= d.limits.within {
		d.overSince, d.aloneSince = time.Time{}, time.Time{}
		d.degraded = d.degraded && tail >= d.limits.recovered
		return steerAll
	}
	if d.overSince.IsZero() && tail <= overThreshold {
		return steerAll
	}
	if d.overSince.IsZero() {
		d.overSince = now
	}
	switch {
	case !noFilling:
		d.aloneSince = time.Time{}
	case d.aloneSince.IsZero():
		d.aloneSince = now
	case now.Sub(d.aloneSince) >= degradedAfter:
		// If filling runs stayed stopped on a degraded worker, they would be moved away one
		// after the other, and its readings would be attributed to whatever filled there. They
		// therefore work again for a while.
		d.degraded, d.overSince, d.aloneSince = true, now, time.Time{}
	}
	over := now.Sub(d.overSince)
	switch {
	case d.degraded && over < maxReleaseTime:
		return releaseAll
	case !d.degraded && over < d.limits.stopAfter:
		return steerAll
	}
	return stopAll
}
