package interference

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Pressures learns the pressure of each pair of images: how much of a served image's headroom one
// processor of a filling image takes. Headroom is the latency target divided by the tail latency;
// it is 1 when the tail is at its target. The tail of a queue is its unloaded latency divided by
// the free share of its capacity, so headroom falls linearly with every added load, the image's
// own as well as each neighbour's. The logarithm of the slowdown is not linear: the same neighbour
// would count three times as much at the peak of the image's own load as in its trough.
//
// It learns from changes: between two readings half a second apart the own load hardly changes,
// while a neighbour that begins or ends changes by all of its processors. It does no I/O and is
// not safe for concurrent use.
type Pressures struct {
	pairs      map[imagePair]*pairEstimate
	similarity similarity
}

// pairEstimate is what is known of a pair: the prior from similar images, and the estimate that
// follows from it and the steps observed.
type pairEstimate struct {
	Estimate
	prior Estimate
	// complete is set for an estimate that was taken over from elsewhere: it already includes
	// what is known of similar images.
	complete bool
}

// settled reports whether the estimate is used without a prior from similar images.
func (e *pairEstimate) settled() bool { return e.complete || e.Seen >= settledSteps }

// with returns the estimate with its prior replaced by another one.
func (e *pairEstimate) with(prior Estimate) Estimate {
	own := 1/e.Var - 1/e.prior.Var // precision of the steps alone
	if own <= 0 {
		return Estimate{Mean: prior.Mean, Var: prior.Var, Seen: e.Seen}
	}
	weighted := e.Mean/e.Var - e.prior.Mean/e.prior.Var
	variance := 1 / (own + 1/prior.Var)
	return Estimate{Mean: math.Min(math.Max(variance*(weighted+prior.Mean/prior.Var), 0), maxPressure), Var: variance, Seen: e.Seen}
}

type imagePair struct{ serving, filling string }

// Step is the change between two consecutive readings of a served image on one worker.
type Step struct {
	Headroom float64            // of the later reading
	Change   float64            // of the headroom
	Fillers  map[string]float64 // change of the processors in use, by filling image
	Over     time.Duration      // time between the readings
}

// Parameters from readings on workers with 64 processors, tails of 10 to 50 ms and targets of
// 50 ms.
const (
	// readingError is the relative error of the tail in one reading.
	readingError = 0.05
	// stepError is the relative error of the headroom in a step, which is the median of several
	// tails. stepRate is the change of the own load per second that remains after its trend is
	// subtracted.
	stepError = 0.035
	stepRate  = 0.2
	// ownRate is the deviation of the rate, per second, at which the own load changes the
	// headroom: in the readings it oscillated between 1.7 and 3.9 with a period of 14 s.
	ownRate = 0.35
	// priorMean and priorDeviation are those of a pair that was never observed: three in four
	// pairs take 0.01 to 0.03 of headroom per processor, the others 0.07 to 0.22.
	priorMean      = 0.05
	priorDeviation = 0.07
	// minDeviation keeps an estimate open to change: the pressure of a run varies by half
	// within a second or two.
	minDeviation = 0.008
	// maxResidualSigmas is the number of deviations to which the residual of a step is clipped,
	// so that a worker that turns slow is not attributed to a neighbour.
	maxResidualSigmas = 3
	// minStep is the least change of a filling image's processors that is learned from.
	minStep = 0.5
	// maxPressure bounds an estimate: at this pressure ten processors use up any headroom
	// observed.
	maxPressure = 0.5
)

// PriorPressure returns the prior estimate of a pair about which nothing is known.
func PriorPressure() Estimate { return Estimate{Mean: priorMean, Var: square(priorDeviation)} }

// NewPressures returns an empty model.
func NewPressures() *Pressures {
	return &Pressures{pairs: make(map[imagePair]*pairEstimate)}
}

// Of returns the estimated headroom that one processor of a filling image takes from a served
// image.
func (p *Pressures) Of(serving, filling string) Estimate {
	e := p.pairs[imagePair{serving, filling}]
	switch {
	case e == nil:
		return p.priorOf(serving, filling)
	case e.settled():
		return e.Estimate
	}
	return e.with(p.priorOf(serving, filling))
}

// Each calls f with every pair that was observed or taken over by Hint, in no particular order.
func (p *Pressures) Each(f func(serving, filling string, e Estimate)) {
	for pair, e := range p.pairs {
		f(pair.serving, pair.filling, e.Estimate)
	}
}

// Observe learns from one step of a served image.
func (p *Pressures) Observe(serving string, s Step) {
	noise := 2 * square(stepError*s.Headroom)
	noise += square(stepRate * s.Over.Seconds())
	expected, total := 0.0, noise
	var changed []string
	for _, filling := range slices.Sorted(maps.Keys(s.Fillers)) { // sums of floats depend on their order
		change := s.Fillers[filling]
		if math.Abs(change) < minStep {
			continue
		}
		e := p.estimateFor(serving, filling)
		expected -= change * e.Mean
		total += square(change) * e.Var
		changed = append(changed, filling)
	}
	residual := s.Change - expected
	bound := maxResidualSigmas * math.Sqrt(total)
	residual = math.Min(math.Max(residual, -bound), bound)
	for _, filling := range changed {
		e := p.estimateFor(serving, filling)
		gain := -s.Fillers[filling] * e.Var / total
		e.Mean = math.Min(math.Max(e.Mean+gain*residual, 0), maxPressure)
		e.Var = math.Max(e.Var*(1+gain*s.Fillers[filling]), square(minDeviation))
		e.Seen++
	}
	if p.similarity.age++; p.similarity.age >= max(minUpdateSteps, len(p.pairs)) || p.similarity.predicted == nil {
		p.updateSimilarity()
	}
}

// Hint takes over an estimate made elsewhere, such as by an earlier leader, unless the pair is
// already known here.
func (p *Pressures) Hint(serving, filling string, e Estimate) {
	if key := (imagePair{serving, filling}); p.pairs[key] == nil {
		e.Seen = max(e.Seen, 1)
		p.pairs[key] = &pairEstimate{Estimate: e, complete: true}
	}
}

// estimateFor returns the estimate of a pair for correction, with the present prediction from
// similar images as its prior. It creates the estimate if there is none.
func (p *Pressures) estimateFor(serving, filling string) *pairEstimate {
	key := imagePair{serving, filling}
	prior := p.priorOf(serving, filling)
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
