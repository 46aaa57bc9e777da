package interference

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
)

// fleet simulates served and filling images whose pressures follow a pattern, or none.
type fleet struct {
	p   *Pressures
	rng *rand.Rand
	// pressure is the headroom that a processor of a filling image takes from a served image.
	pressure func(serving, filling int) float64
}

func newFleet(seed int64, pressure func(serving, filling int) float64) *fleet {
	return &fleet{p: NewPressures(), rng: rand.New(rand.NewSource(seed)), pressure: pressure}
}

// groupedPressure is a pattern with two kinds of served images: filling images 0 to 2 interfere
// with the first kind, 3 to 8 with the second, and the rest with hardly any.
func groupedPressure(serving, filling int) float64 {
	if filling < 3 && serving < 7 || filling >= 3 && filling < 9 && serving >= 7 {
		return 0.27
	}
	return 0.02
}

// observe simulates a run of a filling image that begins and ends beside a served image.
func (f *fleet) observe(serving, filling int) {
	const processors = 4
	for _, sign := range []float64{1, -1} {
		change := -sign*processors*f.pressure(serving, filling) + 0.05*f.rng.NormFloat64()
		f.p.Observe(fmt.Sprint("s", serving), Step{Headroom: 2, Change: change, Fillers: map[string]float64{fmt.Sprint("f", filling): sign * processors}, Over: halfSecond})
	}
}

func (f *fleet) estimate(serving, filling int) Estimate {
	return f.p.Of(fmt.Sprint("s", serving), fmt.Sprint("f", filling))
}

// observeAll observes every pair the given number of times.
func (f *fleet) observeAll(times int) {
	for range times {
		for s := range 10 {
			for i := range 18 {
				f.observe(s, i)
			}
		}
	}
}

// A new service has been observed beside two filling images that interfere with one kind and two
// that interfere with the other. These must predict the pressure of the other fourteen, with a
// deviation that fits.
func TestFewObservationsIdentifySimilarImages(t *testing.T) {
	for seed := range int64(20) {
		f := newFleet(seed, groupedPressure)
		f.observeAll(2)
		newImage := 10 // of the second kind
		f.p.updateSimilarity()
		if e := f.estimate(newImage, 12); e.Mean > 0.15 || e.Seen != 0 {
			t.Errorf("seed %d: estimate without any observation of the new image: %+v", seed, e)
		}
		for _, i := range []int{0, 1, 3, 4} {
			f.observe(newImage, i)
		}
		f.p.updateSimilarity()
		for i := range 18 {
			e, want := f.estimate(newImage, i), groupedPressure(newImage, i)
			if math.Abs(e.Mean-want) > 0.09 {
				t.Errorf("seed %d: pressure of filling image %d is estimated as %.3f, want %.2f", seed, i, e.Mean, want)
			}
			if e.Seen == 0 && math.Sqrt(e.Var) > 0.13 {
				t.Errorf("seed %d: the estimate for filling image %d has the deviation %.3f", seed, i, math.Sqrt(e.Var))
			}
		}
		if a, b := f.p.Similarity("s10", "s8"), f.p.Similarity("s10", "s2"); a < 0.8 || b > 0.2 {
			t.Errorf("seed %d: probability of similarity %.2f to its own kind, %.2f to the other", seed, a, b)
		}
	}
}

// Guards against false confidence: where pressures follow no pattern, pairs that were never
// observed must stay as uncertain as if nothing had been observed.
func TestUnseenPairsStayUncertainWithoutSimilarity(t *testing.T) {
	for seed := range int64(20) {
		random := rand.New(rand.NewSource(seed))
		pressure := make(map[[2]int]float64)
		for s := range 11 {
			for i := range 18 {
				pressure[[2]int{s, i}] = 0.02
				if random.Intn(3) == 0 {
					pressure[[2]int{s, i}] = 0.27
				}
			}
		}
		f := newFleet(seed, func(s, i int) float64 { return pressure[[2]int{s, i}] })
		f.observeAll(2)
		for i := range 4 {
			f.observe(10, i)
		}
		f.p.updateSimilarity()
		wrong := 0
		for i := 4; i < 18; i++ {
			if e := f.estimate(10, i); math.Abs(e.Mean-pressure[[2]int{10, i}]) > 2.5*math.Sqrt(e.Var) {
				wrong++
			}
		}
		if wrong > 2 {
			t.Errorf("seed %d: %d of 14 unobserved pairs have wrong estimates with a small variance", seed, wrong)
		}
	}
}

// Many observations of a pair itself outweigh the prediction from similar images.
func TestOwnObservationsOutweighSimilarImages(t *testing.T) {
	pressure := func(s, i int) float64 {
		if s == 2 && i == 0 {
			return 0.02 // similar images take 0.27
		}
		return groupedPressure(s, i)
	}
	f := newFleet(1, pressure)
	f.observeAll(2)
	for range 6 {
		f.observe(2, 0)
	}
	if e := f.estimate(2, 0); e.Mean > 0.08 {
		t.Errorf("pressure is estimated as %.3f", e.Mean)
	}
}

// Guards against unbounded work when hundreds of images come and go: only those observed most are
// compared, and the others get the typical estimate.
func TestSimilarityCoversMostSeenImages(t *testing.T) {
	f := newFleet(1, groupedPressure)
	f.observeAll(3)
	for s := 100; s < 100+2*maxImages; s++ {
		f.observe(s, s)
	}
	f.p.updateSimilarity()
	if n := len(f.p.similarity.predicted); n > maxImages*maxImages {
		t.Errorf("%d pairs are predicted", n)
	}
	if f.p.Similarity("s1", "s2") < 0.8 || f.p.Similarity("s1", "s8") > 0.2 {
		t.Error("images observed often are no longer classified")
	}
	if e := f.estimate(100+2*maxImages-1, 0); math.Sqrt(e.Var) < 0.05 {
		t.Errorf("the estimate of an image observed once is too certain: %+v", e)
	}
}

// BenchmarkUpdateSimilarity measures an update with ten served and eighteen filling images.
func BenchmarkUpdateSimilarity(b *testing.B) {
	f := newFleet(1, groupedPressure)
	f.observeAll(3)
	for b.Loop() {
		f.p.updateSimilarity()
	}
}
