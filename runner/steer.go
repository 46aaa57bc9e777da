package runner

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/waxwinghaven/waxwinghaven/interference"
)

const (
	// fullPace is the pace of a run that nobody slows down, in hundredths.
	fullPace = 100
	// paceStep is by how much paces differ, and raiseStep by how much one rises from
	// one reading to the next: what a run takes may have changed while it was slowed.
	paceStep  = 10
	raiseStep = 30
	// headroomKept is the headroom that served tasks are to keep, and cautious the
	// deviations of what is expected by which it is kept.
	headroomKept = 1.0
	cautious     = 1.0
	// lookAhead is the time from the middle of one reading to the middle of the span in
	// which the pace chosen by it holds: 0.25 s, 0.1 s until it takes effect, and half
	// of the 0.4 s to the next.
	lookAhead = 550 * time.Millisecond
)

// guard is a served image that filling work must leave headroom.
type guard struct {
	tracker *interference.Tracker
	prior   func(filling string) interference.Estimate
}

// bears reports whether the image keeps its headroom with these processors in use, some
// time after the last reading.
func (g guard) bears(ahead time.Duration, use map[string]float64) bool {
	mean, deviation := g.tracker.Expect(ahead, use, g.prior)
	return mean-cautious*deviation >= headroomKept
}

func (g guard) pressure(filling string) float64 {
	if v, ok := g.tracker.Pressure(filling); ok {
		return v
	}
	return g.prior(filling).Mean
}

// steer returns the pace of each filling image: as much as each served image is expected
// to bear. What takes most of a served image's headroom with a processor is slowed first,
// so the least work is lost. paces are those that hold now, full the processors in use at
// full pace, raise is by how much a pace may rise, ahead the time since the last reading.
func steer(guards []guard, paces map[string]int, full map[string]float64, raise int, ahead time.Duration) map[string]int {
	out := make(map[string]int, len(full))
	use := make(map[string]float64, len(full))
	for image, n := range full {
		pace, known := paces[image]
		if !known {
			pace = fullPace
		}
		out[image] = min(fullPace, pace+raise)
		use[image] = n * float64(out[image]) / fullPace
	}
	for _, g := range guards {
		for _, image := range g.byPressure(full) {
			for out[image] > 0 && !g.bears(ahead, use) {
				out[image] = max(0, (out[image]-1)/paceStep*paceStep)
				use[image] = full[image] * float64(out[image]) / fullPace
			}
		}
	}
	return out
}

// byPressure returns filling images, those that take most with a processor first.
func (g guard) byPressure(full map[string]float64) []string {
	images := slices.Sorted(maps.Keys(full))
	slices.SortStableFunc(images, func(a, b string) int {
		return int(math.Copysign(1, g.pressure(b)-g.pressure(a)))
	})
	return images
}
