package interference

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
)

// fleet is a world of served and filling images in which who disturbs whom has an order, or
// none.
type fleet struct {
	p   *Pressures
	rng *rand.Rand
	// takes is what a processor of a filling image takes of a served one's headroom.
	takes func(serving, filling int) float64
}

func newFleet(seed int64, takes func(serving, filling int) float64) *fleet {
	return &fleet{p: NewPressures(), rng: rand.New(rand.NewSource(seed)), takes: takes}
}

// kinds is an order: filling images 0 to 2 disturb served ones of one kind, 3 to 8 those of the
// other, and the rest disturb nobody much.
func kinds(serving, filling int) float64 {
	if filling < 3 && serving < 7 || filling >= 3 && filling < 9 && serving >= 7 {
		return 0.27
	}
	return 0.02
}

// see lets a run of a filling image begin and end beside a served one.
func (f *fleet) see(serving, filling int) {
	const processors = 4
	for _, sign := range []float64{1, -1} {
		change := -sign*processors*f.takes(serving, filling) + 0.05*f.rng.NormFloat64()
		f.p.Observe(fmt.Sprint("s", serving), Step{Headroom: 2, Change: change, Fillers: map[string]float64{fmt.Sprint("f", filling): sign * processors}, Over: halfSecond})
	}
}

func (f *fleet) of(serving, filling int) Estimate {
	return f.p.Of(fmt.Sprint("s", serving), fmt.Sprint("f", filling))
}

// seeAll lets every pair be seen a few times.
func (f *fleet) seeAll(times int) {
	for range times {
		for s := range 10 {
			for i := range 18 {
				f.see(s, i)
			}
		}
	}
}

// A service is new. Two filling images that disturb one kind and two that disturb the other
// have passed by; by these it is known what the other fourteen do to it, and how surely.
func TestAFewPassingsTellAServedImagesKind(t *testing.T) {
	for seed := range int64(20) {
		f := newFleet(seed, kinds)
		f.seeAll(2)
		newcomer := 10 // of the second kind
		f.p.renewKin()
		if e := f.of(newcomer, 12); e.Mean > 0.15 || e.Seen != 0 {
			t.Errorf("seed %d: before anything was seen beside it, %+v", seed, e)
		}
		for _, i := range []int{0, 1, 3, 4} {
			f.see(newcomer, i)
		}
		f.p.renewKin()
		for i := range 18 {
			e, want := f.of(newcomer, i), kinds(newcomer, i)
			if math.Abs(e.Mean-want) > 0.09 {
				t.Errorf("seed %d: filling image %d is taken for %.3f, it takes %.2f", seed, i, e.Mean, want)
			}
			if e.Seen == 0 && math.Sqrt(e.Var) > 0.13 {
				t.Errorf("seed %d: filling image %d is known to %.3f only", seed, i, math.Sqrt(e.Var))
			}
		}
		if a, b := f.p.Alike("s10", "s8"), f.p.Alike("s10", "s2"); a < 0.8 || b > 0.2 {
			t.Errorf("seed %d: its own kind is alike with %.2f, the other with %.2f", seed, a, b)
		}
	}
}

// Where who disturbs whom has no order, pairs never seen must not be taken for known: they
// are tried with care, as if nothing had been seen.
func TestWithoutAnOrderUnseenPairsStayUnknown(t *testing.T) {
	for seed := range int64(20) {
		drawn := rand.New(rand.NewSource(seed))
		takes := make(map[[2]int]float64)
		for s := range 11 {
			for i := range 18 {
				takes[[2]int{s, i}] = 0.02
				if drawn.Intn(3) == 0 {
					takes[[2]int{s, i}] = 0.27
				}
			}
		}
		f := newFleet(seed, func(s, i int) float64 { return takes[[2]int{s, i}] })
		f.seeAll(2)
		for i := range 4 {
			f.see(10, i)
		}
		f.p.renewKin()
		wrong := 0
		for i := 4; i < 18; i++ {
			if e := f.of(10, i); math.Abs(e.Mean-takes[[2]int{10, i}]) > 2.5*math.Sqrt(e.Var) {
				wrong++
			}
		}
		if wrong > 2 {
			t.Errorf("seed %d: %d of 14 pairs never seen are surely taken for something else", seed, wrong)
		}
	}
}

// What was seen often of a pair itself counts more than what its kin do.
func TestAPairsOwnStepsOutweighItsKin(t *testing.T) {
	odd := func(s, i int) float64 {
		if s == 2 && i == 0 {
			return 0.02 // its kin take 0.27
		}
		return kinds(s, i)
	}
	f := newFleet(1, odd)
	f.seeAll(2)
	for range 6 {
		f.see(2, 0)
	}
	if e := f.of(2, 0); e.Mean > 0.08 {
		t.Errorf("it is taken for %.3f", e.Mean)
	}
}

// Images come and go by the hundred. Kin are looked for among those that are seen most, and the
// others are taken for what pairs usually are.
func TestKinAreLookedForAmongTheMostSeen(t *testing.T) {
	f := newFleet(1, kinds)
	f.seeAll(3)
	for s := 100; s < 100+2*mostKin; s++ {
		f.see(s, s)
	}
	f.p.renewKin()
	if n := len(f.p.kin.expect); n > mostKin*mostKin {
		t.Errorf("%d pairs are worked out", n)
	}
	if f.p.Alike("s1", "s2") < 0.8 || f.p.Alike("s1", "s8") > 0.2 {
		t.Error("those seen often are not known any more")
	}
	if e := f.of(100+2*mostKin-1, 0); math.Sqrt(e.Var) < 0.05 {
		t.Errorf("one seen once is known as %+v", e)
	}
}

// BenchmarkRenewKin is what it takes to work out the kin of ten served images beside eighteen
// filling ones.
func BenchmarkRenewKin(b *testing.B) {
	f := newFleet(1, kinds)
	f.seeAll(3)
	for b.Loop() {
		f.p.renewKin()
	}
}
