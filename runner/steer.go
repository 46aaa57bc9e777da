package runner

import (
	"cmp"
	"maps"
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
	// headroomKept is the headroom that served tasks are to keep by what is expected: a
	// tail of 0.95 of the target, by the error of one reading. With a margin of one
	// deviation they were over their target for 52 s a day in place of 89, but of a vat
	// planner's filling jobs 0.58 were in time in place of 0.65 (24 days each), and on 73
	// workers with 180 pairs of images they earned 0.46 of their worth in place of 0.76.
	headroomKept = 1.05
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
	return g.tracker.Expect(ahead, use, g.prior) >= headroomKept
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
	slices.SortStableFunc(images, func(a, b string) int { return cmp.Compare(g.pressure(b), g.pressure(a)) })
	return images
}
