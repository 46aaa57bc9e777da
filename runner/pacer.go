package runner

import (
	"sync"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// Thresholds of the pacer, as parts of a serving run's target. The bound on a
// disturbed run is four seconds on end; readings come every 0.4 s and cover half
// a second, so halving from 100 down to 0 takes under 3 s.
const (
	slowAbove  = 0.75
	hurryUnder = 0.5
	// hurryStep is what filling runs get back with each calm reading, in
	// percent: from 0 to 100 in 4 s.
	hurryStep = 10
	// lowestPace is the share below which filling runs stand still.
	lowestPace = 12
	fullPace   = 100
	// readingSpan is the time that a reading covers. Following readings that
	// overlap would count the same disturbance several times.
	readingSpan = 500 * time.Millisecond
)

// pacer decides how fast the filling runs beside serving ones may work. It is
// pure. Only the agent sees a tail in time: a reading that went to the leader and
// back would be a second old.
type pacer struct {
	pace int
	// stepped is when the pace last followed a reading.
	stepped time.Time
	worst   float64 // highest tail against its target, of the last reading
	mu      sync.Mutex
	set     map[runKey]int // by what was last asked for
}

func newPacer() *pacer { return &pacer{pace: fullPace, set: make(map[runKey]int)} }

// next returns the calls that a reading asks for.
func (p *pacer) next(now time.Time, running []RunningRun, lookup func(jobs.Ref, uint32) (jobs.Order, bool)) []PaceCall {
	worst := 0.0
	var filling []RunningRun
	for _, x := range running {
		o, ok := lookup(x.Task, x.Run)
		switch {
		case !ok:
		case o.TargetMS > 0:
			worst = max(worst, x.Figure/float64(o.TargetMS))
		case o.Fills:
			filling = append(filling, x)
		}
	}
	p.worst = worst
	if now.Sub(p.stepped) >= readingSpan {
		p.stepped = now
		p.step(worst)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var calls []PaceCall
	kept := make(map[runKey]int, len(filling))
	for _, x := range filling {
		key := runKey{x.Task, x.Run}
		last, known := p.set[key]
		if (known && last != p.pace) || (!known && p.pace != fullPace) {
			calls = append(calls, PaceCall{Task: x.Task, Run: x.Run, Percent: p.pace})
		}
		kept[key] = p.pace
	}
	p.set = kept
	return calls
}

// failed makes the next reading ask again for a pace that was not confirmed.
func (p *pacer) failed(c PaceCall) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.set[runKey{c.Task, c.Run}] = unconfirmed
}

// unconfirmed is no pace at all, so it differs from every one asked for.
const unconfirmed = -1

// step slows down fast and lets go slowly.
func (p *pacer) step(worst float64) {
	switch {
	case worst > slowAbove:
		p.pace /= 2
		if p.pace < lowestPace {
			p.pace = 0
		}
	case worst < hurryUnder:
		p.pace = min(p.pace+hurryStep, fullPace)
	}
}
