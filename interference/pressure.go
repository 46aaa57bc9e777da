package interference

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Pressures learns how much of a served image's headroom one processor of filling work
// takes, by pair of images. Headroom is the target over the tail: 1 is a tail at its
// target. The tail of a queue is its unloaded latency over the share of its capacity that
// is free, so headroom falls in a straight line with what is added, its own load and each
// neighbour's alike. A logarithm of the slowdown, by contrast, makes the same neighbour
// count three times as much at the height of the task's own load as in its trough.
//
// It learns from changes: from one reading to the next half a second later the task's own
// load hardly moves, while a neighbour that begins or ends moves by all of its work. It is
// pure and not safe for concurrent use.
type Pressures struct {
	pairs map[imagePair]*pairEstimate
	kin   kin
}

// pairEstimate is what is known of a pair: what its kin told when it was first seen, and the
// steps since.
type pairEstimate struct {
	Estimate
	prior Estimate
	// whole says that kin add nothing: somebody else's estimate has them in it.
	whole bool
}

// settled reports whether the estimate needs no kin.
func (e *pairEstimate) settled() bool { return e.whole || e.Seen >= settledSteps }

// with returns the estimate with another prior in place of its own.
func (e *pairEstimate) with(prior Estimate) Estimate {
	own := 1/e.Var - 1/e.prior.Var // precision of the steps alone
	if own <= 0 {
		return Estimate{Mean: prior.Mean, Var: prior.Var, Seen: e.Seen}
	}
	told := e.Mean/e.Var - e.prior.Mean/e.prior.Var
	variance := 1 / (own + 1/prior.Var)
	return Estimate{Mean: math.Min(math.Max(variance*(told+prior.Mean/prior.Var), 0), mostPressure), Var: variance, Seen: e.Seen}
}

type imagePair struct{ serving, filling string }

// Step is the change from one reading of a served image to the next on the same worker.
type Step struct {
	Headroom float64            // of the later reading
	Change   float64            // of the headroom
	Fillers  map[string]float64 // change of the processors in use, by filling image
	Over     time.Duration      // between the readings
}

// Figures of readings on workers of 64 processors, tails of 10 to 50 ms and targets of 50.
const (
	// readingError is the relative error of a tail in one reading.
	readingError = 0.05
	// stepError and stepRate are the same for a step: the middle of several tails, and
	// what is left of the own load's change once its trend is taken off.
	stepError = 0.035
	stepRate  = 0.2
	// ownRate is how fast headroom changes by the task's own load, by second: a swing
	// between 1.7 and 3.9 over 14 s.
	ownRate = 0.35
	// firstMean and firstDeviation are of a pair never seen: three in four take 0.01 to
	// 0.03 of headroom a processor, the others 0.07 to 0.22.
	firstMean      = 0.05
	firstDeviation = 0.07
	// leastDeviation keeps a pair open to change: what a run takes goes up and down by
	// half within a second or two.
	leastDeviation = 0.008
	// wildMiss is the number of deviations past which a reading counts no further: a
	// worker that turns slow must not be taught as a neighbour's doing.
	wildMiss = 3
	// leastStep is the change of a filler's processors that teaches anything.
	leastStep = 0.5
	// mostPressure bounds an estimate: ten processors of it take any headroom seen.
	mostPressure = 0.5
)

// Unseen is what a processor of a pair never seen is taken for.
func Unseen() Estimate { return Estimate{Mean: firstMean, Var: square(firstDeviation)} }

// NewPressures returns a model that knows nothing.
func NewPressures() *Pressures {
	return &Pressures{pairs: make(map[imagePair]*pairEstimate)}
}

// Of returns what one processor of a filling image takes of a served image's headroom.
func (p *Pressures) Of(serving, filling string) Estimate {
	e := p.pairs[imagePair{serving, filling}]
	switch {
	case e == nil:
		return p.expected(serving, filling)
	case e.settled():
		return e.Estimate
	}
	return e.with(p.expected(serving, filling))
}

// Each calls f with every pair that was seen.
func (p *Pressures) Each(f func(serving, filling string, e Estimate)) {
	for pair, e := range p.pairs {
		f(pair.serving, pair.filling, e.Estimate)
	}
}

// Observe takes in a step of a served image.
func (p *Pressures) Observe(serving string, s Step) {
	noise := 2 * square(stepError*s.Headroom)
	noise += square(stepRate * s.Over.Seconds())
	expected, total := 0.0, noise
	var moved []string
	for _, filling := range slices.Sorted(maps.Keys(s.Fillers)) { // sums of floats depend on their order
		change := s.Fillers[filling]
		if math.Abs(change) < leastStep {
			continue
		}
		e := p.at(serving, filling)
		expected -= change * e.Mean
		total += square(change) * e.Var
		moved = append(moved, filling)
	}
	miss := s.Change - expected
	bound := wildMiss * math.Sqrt(total)
	miss = math.Min(math.Max(miss, -bound), bound)
	for _, filling := range moved {
		e := p.at(serving, filling)
		gain := -s.Fillers[filling] * e.Var / total
		e.Mean = math.Min(math.Max(e.Mean+gain*miss, 0), mostPressure)
		e.Var = math.Max(e.Var*(1+gain*s.Fillers[filling]), square(leastDeviation))
		e.Seen++
	}
	if p.kin.age++; p.kin.age >= max(kinEvery, len(p.pairs)) || p.kin.expect == nil {
		p.renewKin()
	}
}

// Hint takes over an estimate that somebody else made of a pair not seen here yet.
func (p *Pressures) Hint(serving, filling string, e Estimate) {
	if key := (imagePair{serving, filling}); p.pairs[key] == nil {
		e.Seen = max(e.Seen, 1)
		p.pairs[key] = &pairEstimate{Estimate: e, whole: true}
	}
}

// at returns a pair's estimate to be corrected, with what its kin tell now as its prior.
func (p *Pressures) at(serving, filling string) *pairEstimate {
	key := imagePair{serving, filling}
	prior := p.expected(serving, filling)
	e := p.pairs[key]
	switch {
	case e == nil:
		e = &pairEstimate{Estimate: Estimate{Mean: prior.Mean, Var: prior.Var}, prior: prior}
		p.pairs[key] = e
	case !e.settled():
		e.Estimate, e.prior = e.with(prior), prior
	}
	return e
}

func square(x float64) float64 { return x * x }
