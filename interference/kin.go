package interference

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Served images fall into kinds: those that lean on the same part of a machine, its caches or
// its memory's bandwidth, are disturbed by the same filling images. So what is known of a
// served image's kin tells what a pair takes that was never seen, long before each of some
// hundred pairs has been tried: a pair is tried at the cost of its served tasks' users.
const (
	// kinDeviation is how far pairs of a filling image differ between served images of a
	// kind.
	kinDeviation = 0.04
	// firstKin is the log odds that two served images are kin of which nothing is known.
	firstKin = -0.4
	// oddOne is the part of pairs that are unlike those of their kin: a filling image may have
	// been blamed for another's doing.
	oddOne = 0.1
	// poolBins is the number of steps in which the pressures of all pairs are counted.
	poolBins = 25
	// strangers is the weight of the usual pair beside that of one sure kin.
	strangers = 0.3
	// usualPairs is how many pairs the usual one is worth that is assumed at first.
	usualPairs = 12
	// kinEvery is the least number of observations after which kin are worked out anew; with
	// many pairs there are as many, so that the work for each observation stays the same.
	kinEvery = 20
	// mostKin bounds the served and the filling images among which kin are looked for, those
	// that were seen most: the work grows with the cube of their number.
	mostKin = 60
	// settledSteps is the number of steps from which on a pair's own estimate needs no kin.
	settledSteps = 24
)

// kin is what follows from all pairs together.
type kin struct {
	usual  Estimate              // of any pair
	alike  map[imagePair]float64 // by two served images: the probability that they are kin
	expect map[imagePair]Estimate
	age    int // observations since
	// renewed says that nobody was told of it yet.
	renewed bool
}

// KinRenewed reports whether kin were worked out anew since it was last asked.
func (p *Pressures) KinRenewed() bool {
	renewed := p.kin.renewed
	p.kin.renewed = false
	return renewed
}

// Alike returns the probability that two served images are disturbed by the same filling
// images: 1 for the same one.
func (p *Pressures) Alike(a, b string) float64 {
	if a == b {
		return 1
	}
	if v, known := p.kin.alike[imagePair{a, b}]; known {
		return v
	}
	return sigmoid(firstKin)
}

func sigmoid(x float64) float64 { return 1 / (1 + math.Exp(-x)) }

// expected returns what a pair is taken for by its kin alone.
func (p *Pressures) expected(serving, filling string) Estimate {
	if e, known := p.kin.expect[imagePair{serving, filling}]; known {
		return e
	}
	if p.kin.usual.Var > 0 {
		return p.kin.usual
	}
	return Unseen()
}

// Expected calls f with every pair that is expected to be something by kin, seen or not.
func (p *Pressures) Expected(f func(serving, filling string, e Estimate)) {
	for pair := range p.kin.expect {
		f(pair.serving, pair.filling, p.Of(pair.serving, pair.filling))
	}
}

// renewKin works out anew who is kin, and what pairs are expected to take by that.
func (p *Pressures) renewKin() {
	serving, filling := p.images()
	pool := p.pool()
	k := kin{usual: p.usual(), alike: make(map[imagePair]float64), expect: make(map[imagePair]Estimate)}
	for i, a := range serving {
		for _, b := range serving[:i] {
			same := sigmoid(p.kinship(a, b, filling, &pool))
			k.alike[imagePair{a, b}], k.alike[imagePair{b, a}] = same, same
		}
	}
	for _, s := range serving {
		for _, f := range filling {
			k.expect[imagePair{s, f}] = p.byKin(s, f, serving, &k)
		}
	}
	k.renewed = true
	p.kin = k
}

// images returns the images of pairs that were seen most, in order.
func (p *Pressures) images() (serving, filling []string) {
	s, f := make(map[string]int), make(map[string]int)
	for pair, e := range p.pairs {
		s[pair.serving] += e.Seen
		f[pair.filling] += e.Seen
	}
	return mostSeen(s), mostSeen(f)
}

// mostSeen returns the names with the highest counts, in order.
func mostSeen(counts map[string]int) []string {
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	names = names[:min(len(names), mostKin)]
	slices.Sort(names)
	return names
}

// usual returns the mean and spread of pairs: what is assumed at first, and what was seen.
func (p *Pressures) usual() Estimate {
	first := Unseen()
	n, sum, squares := usualPairs*1.0, usualPairs*first.Mean, usualPairs*(first.Var+square(first.Mean))
	for _, e := range p.sorted() {
		n++
		sum += e.Mean
		squares += square(e.Mean)
	}
	mean := sum / n
	return Estimate{Mean: mean, Var: math.Max(squares/n-square(mean), first.Var)}
}

// sorted returns the estimates in the order of their pairs: sums of floats depend on it.
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

// pool is how likely each pressure is of any pair, as a density.
type pool [poolBins]float64

// pool counts all pairs, and what is assumed at first, each spread out by how far pairs of kin
// differ.
func (p *Pressures) pool() (out pool) {
	first := Unseen()
	pairs := p.sorted()
	for i := range out {
		at := (float64(i) + 0.5) * mostPressure / poolBins
		out[i] = usualPairs * density(at-first.Mean, first.Var)
		for _, e := range pairs {
			out[i] += density(at-e.Mean, 2*square(kinDeviation))
		}
		out[i] /= usualPairs + float64(len(pairs))
	}
	return out
}

func (o *pool) at(pressure float64) float64 {
	i := int(pressure / mostPressure * poolBins)
	return o[min(max(i, 0), poolBins-1)]
}

// kinship returns the log odds that two served images are kin: by each filling image that was
// seen beside both, how likely what it takes of the one is if they are, and if the other tells
// nothing of it. That it takes much of both says more than that it takes little: most do.
func (p *Pressures) kinship(a, b string, filling []string, all *pool) float64 {
	odds := firstKin
	for _, f := range filling {
		x, y := p.pairs[imagePair{a, f}], p.pairs[imagePair{b, f}]
		if x == nil || y == nil {
			continue
		}
		spread := x.Var + y.Var + 2*square(kinDeviation)
		// Of the two that is the base which makes the other one the less usual.
		base := math.Min(all.at(x.Mean), all.at(y.Mean))
		odds += math.Log((1-oddOne)*density(x.Mean-y.Mean, spread)/base + oddOne)
	}
	return odds
}

// density is that of a normal distribution at a distance from its mean.
func density(distance, variance float64) float64 {
	const far = 5 * 5 // squared deviations, past which there is next to nothing
	if square(distance) > far*variance {
		return 0
	}
	return math.Exp(-square(distance)/(2*variance)) / math.Sqrt(2*math.Pi*variance)
}

// byKin returns what a pair is expected to take by what the others' pairs with the same
// filling image take, each with the weight of its kinship: their mean and spread.
func (p *Pressures) byKin(s, f string, serving []string, k *kin) Estimate {
	weight := strangers
	mean, squares := strangers*k.usual.Mean, strangers*(k.usual.Var+square(k.usual.Mean))
	for _, other := range serving {
		e := p.pairs[imagePair{other, f}]
		if other == s || e == nil {
			continue
		}
		w := k.alike[imagePair{s, other}]
		weight += w
		mean += w * e.Mean
		squares += w * (e.Var + square(e.Mean))
	}
	mean /= weight
	return Estimate{Mean: mean, Var: math.Max(squares/weight-square(mean), 0) + square(kinDeviation)}
}
