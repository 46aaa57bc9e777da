package interference

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Served images fall into kinds: images that depend on the same part of a machine, such as its
// caches or its memory bandwidth, suffer from the same filling images. What is known of similar
// served images therefore predicts the pressure of a pair that was never observed, long before
// each of some hundred pairs has been tried. Trying a pair costs the users of its served tasks.
const (
	// similarDeviation is the deviation between the pressures of one filling image on similar
	// served images.
	similarDeviation = 0.04
	// priorLogOdds is the log odds that two served images are similar before any observation.
	priorLogOdds = -0.4
	// outlierShare is the share of pairs that differ from those of similar images: a filling
	// image may have been charged with the effect of another.
	outlierShare = 0.1
	// densityBins is the number of bins in the density of pressures over all pairs.
	densityBins = 25
	// typicalWeight is the weight of the typical pair; that of a certainly similar image is 1.
	typicalWeight = 0.3
	// priorPairs is the number of observed pairs that the prior over all pairs counts for.
	priorPairs = 12
	// minUpdateSteps is the least number of observations between two updates. With more pairs
	// than that, as many observations are awaited as there are pairs, so that the work per
	// observation stays the same.
	minUpdateSteps = 20
	// maxImages bounds the served and the filling images that are compared to those observed
	// most often: the work grows with the cube of their number.
	maxImages = 60
	// settledSteps is the number of observations from which on a pair's own estimate is used
	// without a prior from similar images.
	settledSteps = 24
)

// similarity is what is derived from all pairs together.
type similarity struct {
	typical   Estimate              // of any pair
	similar   map[imagePair]float64 // by two served images: the probability that they are similar
	predicted map[imagePair]Estimate
	age       int // observations since the last update
	// updated is set by an update and cleared by SimilarityUpdated.
	updated bool
}

// SimilarityUpdated reports whether the similarities were updated since its last call.
func (p *Pressures) SimilarityUpdated() bool {
	updated := p.similarity.updated
	p.similarity.updated = false
	return updated
}

// Similarity returns the probability that two served images are similar, that is, that the same
// filling images interfere with both. It is 1 for an image and itself.
func (p *Pressures) Similarity(a, b string) float64 {
	if a == b {
		return 1
	}
	if v, known := p.similarity.similar[imagePair{a, b}]; known {
		return v
	}
	return sigmoid(priorLogOdds)
}

func sigmoid(x float64) float64 { return 1 / (1 + math.Exp(-x)) }

// priorOf returns the estimate of a pair from similar images alone.
func (p *Pressures) priorOf(serving, filling string) Estimate {
	if e, known := p.similarity.predicted[imagePair{serving, filling}]; known {
		return e
	}
	if p.similarity.typical.Var > 0 {
		return p.similarity.typical
	}
	return PriorPressure()
}

// EachPredicted calls f with the estimate of every pair that similar images predict, whether it was
// observed or not.
func (p *Pressures) EachPredicted(f func(serving, filling string, e Estimate)) {
	for pair := range p.similarity.predicted {
		f(pair.serving, pair.filling, p.Of(pair.serving, pair.filling))
	}
}

// updateSimilarity recomputes which served images are similar, and the pressures of all pairs that
// follow from this.
func (p *Pressures) updateSimilarity() {
	serving, filling := p.images()
	marginal := p.marginalDensity()
	sim := similarity{typical: p.typical(), similar: make(map[imagePair]float64), predicted: make(map[imagePair]Estimate)}
	for i, a := range serving {
		for _, b := range serving[:i] {
			probability := sigmoid(p.similarityLogOdds(a, b, filling, &marginal))
			sim.similar[imagePair{a, b}], sim.similar[imagePair{b, a}] = probability, probability
		}
	}
	for _, s := range serving {
		for _, f := range filling {
			sim.predicted[imagePair{s, f}] = p.predict(s, f, serving, &sim)
		}
	}
	sim.updated = true
	p.similarity = sim
}

// images returns the served and the filling images observed most often, in alphabetical order.
func (p *Pressures) images() (serving, filling []string) {
	s, f := make(map[string]int), make(map[string]int)
	for pair, e := range p.pairs {
		s[pair.serving] += e.Seen
		f[pair.filling] += e.Seen
	}
	return mostSeen(s), mostSeen(f)
}

// mostSeen returns the maxImages names with the highest counts, in alphabetical order.
func mostSeen(counts map[string]int) []string {
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	names = names[:min(len(names), maxImages)]
	slices.Sort(names)
	return names
}

// typical returns the mean and variance over all pairs, with the prior counted as priorPairs
// pairs.
func (p *Pressures) typical() Estimate {
	first := PriorPressure()
	n, sum, squares := priorPairs*1.0, priorPairs*first.Mean, priorPairs*(first.Var+square(first.Mean))
	for _, e := range p.sorted() {
		n++
		sum += e.Mean
		squares += square(e.Mean)
	}
	mean := sum / n
	return Estimate{Mean: mean, Var: math.Max(squares/n-square(mean), first.Var)}
}

// sorted returns the estimates in a fixed order of their pairs, since sums of floats depend on
// their order.
func (p *Pressures) sorted() []*pairEstimate {
	serving, filling := p.images()
	out := make([]*pairEstimate, 0, len(p.pairs))
	for _, s := range serving {
		for _, f := range filling {
			if e := p.pairs[imagePair{s, f}]; e != nil {
				out = append(out, e)
			}
		}
	}
	return out
}

// marginalDensity is the probability density of pressures over all pairs, in bins.
type marginalDensity [densityBins]float64

// marginalDensity computes the density from all pairs and the prior. Each pair is smoothed by the
// deviation between similar images.
func (p *Pressures) marginalDensity() (out marginalDensity) {
	first := PriorPressure()
	pairs := p.sorted()
	for i := range out {
		at := (float64(i) + 0.5) * maxPressure / densityBins
		out[i] = priorPairs * normalDensity(at-first.Mean, first.Var)
		for _, e := range pairs {
			out[i] += normalDensity(at-e.Mean, 2*square(similarDeviation))
		}
		out[i] /= priorPairs + float64(len(pairs))
	}
	return out
}

func (o *marginalDensity) at(pressure float64) float64 {
	i := int(pressure / maxPressure * densityBins)
	return o[min(max(i, 0), densityBins-1)]
}

// similarityLogOdds returns the log odds that two served images are similar. Each filling image
// observed beside both contributes the likelihood ratio of their pressures: that of similar images
// against that of unrelated ones. Two high pressures are stronger evidence than two low ones,
// since most pressures are low.
func (p *Pressures) similarityLogOdds(a, b string, filling []string, marginal *marginalDensity) float64 {
	odds := priorLogOdds
	for _, f := range filling {
		x, y := p.pairs[imagePair{a, f}], p.pairs[imagePair{b, f}]
		if x == nil || y == nil {
			continue
		}
		spread := x.Var + y.Var + 2*square(similarDeviation)
		// The unconditional density of the less usual of the two pressures.
		base := math.Min(marginal.at(x.Mean), marginal.at(y.Mean))
		odds += math.Log((1-outlierShare)*normalDensity(x.Mean-y.Mean, spread)/base + outlierShare)
	}
	return odds
}

// normalDensity returns the density of a normal distribution at a distance from its mean.
func normalDensity(distance, variance float64) float64 {
	const maxSquaredSigmas = 5 * 5 // squared deviations; the density beyond is negligible
	if square(distance) > maxSquaredSigmas*variance {
		return 0
	}
	return math.Exp(-square(distance)/(2*variance)) / math.Sqrt(2*math.Pi*variance)
}

// predict returns the estimate of a pair from the pairs of other served images with the same
// filling image: their mean and variance, each weighted with the probability that its served image
// is similar.
func (p *Pressures) predict(s, f string, serving []string, sim *similarity) Estimate {
	weight := typicalWeight
	mean, squares := typicalWeight*sim.typical.Mean, typicalWeight*(sim.typical.Var+square(sim.typical.Mean))
	for _, other := range serving {
		e := p.pairs[imagePair{other, f}]
		if other == s || e == nil {
			continue
		}
		w := sim.similar[imagePair{s, other}]
		weight += w
		mean += w * e.Mean
		squares += w * (e.Var + square(e.Mean))
	}
	mean /= weight
	return Estimate{Mean: mean, Var: math.Max(squares/weight-square(mean), 0) + square(similarDeviation)}
}
