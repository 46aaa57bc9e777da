package runner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/waxwinghaven/waxwinghaven/interference"
)

const (
	// fullPace is the pace of a run that is not slowed down, in percent.
	fullPace = 100
	// paceStep is the granularity of paces, and raiseStep the largest increase from one
	// reading to the next: what a run takes may have changed while it was slowed.
	paceStep  = 10
	raiseStep = 30
	// minHeadroom is the predicted headroom that serving tasks are to keep: a tail of 0.95 of
	// the target, which allows for the error of one reading. With a margin of one standard
	// deviation they were over their target for 52 s instead of 89 s a day, but only 0.58
	// instead of 0.65 of a vat planner's filling jobs were in time (24 days each), and on 73
	// workers with 180 pairs of images filling jobs earned 0.46 instead of 0.76 of their
	// worth.
	minHeadroom = 1.05
	// lookAhead is the time from the middle of one reading to the middle of the period in
	// which the pace chosen from it holds: 0.25 s, plus 0.1 s until it takes effect, plus half
	// of the 0.4 s until the next reading.
	lookAhead = 550 * time.Millisecond
)

// groupModel predicts the headroom of a serving group beside filling work some time after the
// last reading.
type groupModel struct {
	tracker   *interference.Tracker
	prior     func(filling string) interference.Estimate
	ahead     time.Duration
	shortfall float64 // the largest that is then expected of the group's tasks
}

// expect returns the headroom that the group's worst task will have with these processors in use.
func (m groupModel) expect(use map[string]float64) float64 {
	return m.tracker.Expect(m.ahead, use, m.prior) - m.shortfall
}

// keepsHeadroom reports whether all tasks of the group keep minHeadroom.
func (m groupModel) keepsHeadroom(use map[string]float64) bool { return m.expect(use) >= minHeadroom }

func (m groupModel) pressure(filling string) float64 {
	if v, ok := m.tracker.Pressure(filling); ok {
		return v
	}
	return m.prior(filling).Mean
}

// steer returns the pace of each filling image, as high as each serving group is expected to
// tolerate. The images that take most headroom per processor are slowed first, so that the
// least work is lost. paces are the current paces, full the processors in use at full pace, and
// raise the largest increase of a pace.
func steer(models []groupModel, paces map[string]int, full map[string]float64, raise int) map[string]int {
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
	for _, m := range models {
		for _, image := range m.byPressure(full) {
			for out[image] > 0 && !m.keepsHeadroom(use) {
				out[image] = max(0, (out[image]-1)/paceStep*paceStep)
				use[image] = full[image] * float64(out[image]) / fullPace
			}
		}
	}
	return out
}

// byPressure returns the filling images, those that take most headroom per processor first.
func (m groupModel) byPressure(full map[string]float64) []string {
	images := slices.Sorted(maps.Keys(full))
	slices.SortStableFunc(images, func(a, b string) int { return cmp.Compare(m.pressure(b), m.pressure(a)) })
	return images
}
