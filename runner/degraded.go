package runner

import "time"

const (
	// overThreshold is the tail, as a fraction of its target, above which it is too long, and
	// recoveredThreshold the one below which a worker no longer counts as degraded.
	overThreshold      = 1.0
	recoveredThreshold = 0.9
	// stopAllAfter is how long a tail may be continuously too long before all filling runs are
	// stopped, and not only the likely culprits: one of the four seconds for which filling
	// runs may keep it too long.
	stopAllAfter = time.Second
	// degradedAfter is how long a tail must be continuously too long, without any filling run
	// at work, before the worker counts as degraded. A reading covers the last half second,
	// and a pace takes up to 0.1 s to take effect.
	degradedAfter = 1800 * time.Millisecond
	// maxReleaseTime is how long filling runs may work continuously beside a tail that is too
	// long on a degraded worker. The classification may be wrong: a pace takes effect late, or
	// its call was lost. With readings at most 0.8 s apart, the runs are stopped again after
	// 2.3 of the four seconds.
	maxReleaseTime = 1500 * time.Millisecond
)

// degradationDetector distinguishes a degraded worker, whose tails are too long whatever fills
// beside them, from one where filling runs interfere. It reads no clock: the time is passed in.
type degradationDetector struct {
	overSince  time.Time // since when a tail is continuously too long, zero if none is
	aloneSince time.Time // since when, within that time, no filling run is at work
	degraded   bool      // tails were too long without any filling run at work
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

// update processes the highest tail, as a fraction of its target.
func (d *degradationDetector) update(now time.Time, worst float64, noFilling bool) command {
	if worst <= overThreshold {
		d.overSince, d.aloneSince = time.Time{}, time.Time{}
		d.degraded = d.degraded && worst >= recoveredThreshold
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
	return d.command(now)
}

func (d *degradationDetector) command(now time.Time) command {
	over := time.Duration(0)
	if !d.overSince.IsZero() {
		over = now.Sub(d.overSince)
	}
	switch {
	case d.degraded && over < maxReleaseTime:
		return releaseAll
	case !d.degraded && over < stopAllAfter:
		return steerAll
	}
	return stopAll
}
