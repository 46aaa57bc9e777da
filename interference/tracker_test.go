package interference

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// ownLoad is the own load of a served image: 0.22 to 0.67 of its capacity with a period of 14 s.
func ownLoad(seconds float64) float64 { return 0.45 * (1 + 0.5*math.Sin(2*math.Pi*seconds/14)) }

func known(pressure float64) func(string) Estimate {
	return func(string) Estimate { return Estimate{Mean: pressure, Var: 0.0001, Seen: 20} }
}

// A filling task that takes a fifth of the served image's capacity begins and ends while the own
// load swings. The headroom half a second ahead must be predicted.
func TestTrackerPredictsNextReading(t *testing.T) {
	var tr Tracker
	rng := rand.New(rand.NewPCG(1, 2))
	start, prior := time.Unix(0, 0), known(0.125)
	total, sum, worst := 0, 0.0, 0.0
	for i := range 240 {
		seconds := float64(i) / 2
		use := map[string]float64{"heavy": 0}
		if i%12 >= 6 {
			use["heavy"] = 8
		}
		headroom := headroomOf(ownLoad(seconds)+0.025*use["heavy"]) * (1 + 0.03*rng.NormFloat64())
		if i > 10 {
			deviation := math.Abs(tr.Expect(halfSecond, use, prior) - headroom)
			sum, worst = sum+deviation, math.Max(worst, deviation)
			total++
		}
		tr.Read(start.Add(time.Duration(seconds*float64(time.Second))), headroom, use, prior)
	}
	if worst > 0.6 {
		t.Errorf("the largest prediction error is %.2f of headroom", worst)
	}
	if mean := sum / float64(total); mean > 0.2 {
		t.Errorf("the mean prediction error is %.2f of headroom", mean)
	}
}

// The pressure of a run varies within seconds. While a run takes twice the learned pressure, the
// tracker must predict this on its worker and attribute a part of it to the run; afterwards the
// pressure must return to the learned value.
func TestTrackerFollowsBurst(t *testing.T) {
	var tr Tracker
	start, prior, use := time.Unix(0, 0), known(0.1), map[string]float64{"heavy": 8}
	at := start
	read := func(headroom float64) {
		at = at.Add(halfSecond)
		tr.Read(at, headroom, use, prior)
	}
	for range 6 {
		read(2)
	}
	for range 2 {
		read(1.2)
	}
	beside := tr.Expect(halfSecond, use, prior)
	alone := tr.Expect(halfSecond, map[string]float64{"heavy": 0}, prior)
	if beside > 1.3 {
		t.Errorf("during the burst a headroom of %.2f is expected", beside)
	}
	if alone-beside < 8*0.105 {
		t.Errorf("without the filling task %.2f more headroom is expected", alone-beside)
	}
	use = map[string]float64{"heavy": 0}
	for range 12 {
		read(2.8)
	}
	if p, _ := tr.Pressure("heavy"); math.Abs(p-0.1) > 0.03 {
		t.Errorf("long after the burst the pressure is %.3f", p)
	}
}

// An image that is no longer in use must not affect the state; it counts with its learned pressure
// again.
func TestTrackerDropsAbsentImages(t *testing.T) {
	var tr Tracker
	prior := known(0.1)
	tr.Read(time.Unix(0, 0), 2, map[string]float64{"heavy": 8}, prior)
	tr.Read(time.Unix(1, 0), 2.8, map[string]float64{}, prior)
	if _, ok := tr.Pressure("heavy"); ok {
		t.Error("the image is still tracked")
	}
	mean := tr.Expect(0, map[string]float64{"heavy": 8}, prior)
	if alone := tr.Expect(0, nil, prior); math.Abs(alone-mean-0.8) > 0.01 {
		t.Errorf("expected headroom is %.2f beside the image and %.2f alone", mean, alone)
	}
}

// Readings of any kind, in any order, with images that come and go, must keep the state finite and
// the variances non-negative, since the pace of runs is chosen by them.
func TestTrackerStateStaysFinite(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(1)
	properties := gopter.NewProperties(params)
	properties.Property("finite", prop.ForAll(func(steps []float64) bool {
		var tr Tracker
		at := time.Unix(0, 0)
		names := []string{"a", "b", "c", "d"}
		for i, v := range steps {
			at = at.Add(time.Duration(math.Abs(math.Mod(v*977, 3)) * float64(time.Second)))
			use := make(map[string]float64)
			for k, name := range names {
				if (i+int(math.Abs(v)*10))%(k+2) == 0 {
					use[name] = math.Abs(v)
				}
			}
			tr.Read(at, math.Abs(v)+0.01, use, known(0.05))
			mean := tr.Expect(halfSecond, use, known(0.05))
			if math.IsNaN(mean) || math.IsInf(mean, 0) {
				return false
			}
			for k := range tr.p {
				if tr.p[k][k] < -1e-9 {
					return false
				}
			}
		}
		return true
	}, gen.SliceOfN(60, gen.Float64Range(0, 30))))
	properties.TestingRun(t)
}

// An image never observed beside the served image must be expected to take more than one observed
// to take as much on average: nothing else is known when it begins.
func TestAnUnseenImageIsExpectedToTakeMore(t *testing.T) {
	var tr Tracker
	use := map[string]float64{"fresh": 8}
	tr.Read(time.Unix(0, 0), 2, nil, known(0))
	unseen := tr.Expect(0, use, func(string) Estimate { return PriorPressure() })
	seen := tr.Expect(0, use, func(string) Estimate { return Estimate{Mean: PriorPressure().Mean, Var: PriorPressure().Var, Seen: 3} })
	if unseen > seen-8*0.05 {
		t.Errorf("expected headroom is %.2f beside an unobserved image and %.2f beside an observed one", unseen, seen)
	}
}
