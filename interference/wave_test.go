package interference

import (
	"math"
	"math/rand"
	"testing"
	"time"
)

// ownLoad is a crew's own headroom over time.
type ownLoad func(seconds float64) float64

func sine(mean, amplitude, period, phase float64) ownLoad {
	return func(s float64) float64 { return mean + amplitude*math.Sin(2*math.Pi*s/period+phase) }
}

const (
	readingGap = 0.5 // seconds
	stay       = 3.0 // seconds
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// least is the true least headroom while a run stays.
func (f ownLoad) least(from float64) float64 {
	out := math.Inf(1)
	for s := 0.0; s <= stay; s += 0.1 {
		out = math.Min(out, f(from+s))
	}
	return out
}

// forecaster follows crews with noisy readings, as a leader does.
type forecaster struct {
	rng     *rand.Rand
	start   time.Time
	periods Periods
}

func newForecaster() *forecaster {
	return &forecaster{rng: rand.New(rand.NewSource(7)), start: time.Unix(1000, 0)}
}

// watch reads a crew from one time to another and calls f after each reading, with the
// forecast of the least headroom of the next seconds and the true one.
func (w *forecaster) watch(own ownLoad, from, to float64, f func(at, forecast, truth float64)) {
	const readingNoise = 0.15
	wave := NewWave(w.start.Add(seconds(from)), 2.5, 0.6)
	for s := from; s < to; s += readingGap {
		at := w.start.Add(seconds(s))
		wave.Read(at, own(s)+readingNoise*w.rng.NormFloat64(), &w.periods)
		f(s, wave.Least(at, seconds(stay), 0, &w.periods), own.least(s))
	}
}

func rootMean(sum float64, n int) float64 { return math.Sqrt(sum / float64(n)) }

// Crews of a service swing with one period and phases of their own. Filling work placed by
// the last reading meets the crest two seconds later, and by the mean it waits in the
// trough. A forecast of the next three seconds misses by less than half of either.
func TestForecastOfCrewsThatSwing(t *testing.T) {
	w := newForecaster()
	for _, period := range []float64{9, 14, 22} {
		w.periods = Periods{}
		var forecastMiss, lastMiss, meanMiss float64
		n := 0
		for range 12 {
			mean, amplitude, phase := 2.5+0.3*w.rng.NormFloat64(), 0.9+0.4*w.rng.Float64(), 2*math.Pi*w.rng.Float64()
			own := sine(mean, amplitude, period, phase)
			w.watch(own, 0, 40, func(at, forecast, truth float64) {
				if at < 10 {
					return
				}
				forecastMiss += square(forecast - truth)
				lastMiss += square(own(at) - truth)
				meanMiss += square(mean - truth)
				n++
			})
		}
		miss, last, mean := rootMean(forecastMiss, n), rootMean(lastMiss, n), rootMean(meanMiss, n)
		t.Logf("period %v s: forecast misses by %.2f, the last reading by %.2f, the mean by %.2f", period, miss, last, mean)
		if miss > 0.3 || miss > last/2 || miss > mean/2 {
			t.Errorf("period %v s: the forecast misses by %.2f, the last reading by %.2f, the mean by %.2f", period, miss, last, mean)
		}
	}
}

// Nothing is known of a crew but its image. What it is expected to keep is what the image
// usually does, so nothing is promised that its crest would break.
func TestForecastOfANewCrewIsTheUsualLow(t *testing.T) {
	var periods Periods
	at := time.Unix(1000, 0)
	const mean, deviation = 2.5, 0.8
	got := NewWave(at, mean, square(deviation)).Least(at, seconds(stay), 1, &periods)
	if low := mean - deviation; math.Abs(got-low) > 0.3 {
		t.Errorf("%.2f is promised, the usual low is %.2f", got, low)
	}
}

// A load that doesn't swing costs filling work nothing: what is promised of it is soon near
// what it has.
func TestForecastOfASteadyCrew(t *testing.T) {
	w := newForecaster()
	worst := 0.0
	w.watch(sine(2.2, 0, 14, 0), 0, 60, func(at, forecast, truth float64) {
		if at >= 20 {
			worst = math.Max(worst, math.Abs(forecast-truth))
		}
	})
	if worst > 0.35 {
		t.Errorf("the forecast is off by %.2f", worst)
	}
}

// What a crew does changes: its wave stops, jumps in phase, swings twice as fast, or its
// mean steps down. Until that is learned, too much is promised; after a swing of the old
// period, on average no more than a third of a headroom more than there is.
func TestForecastOfAWaveThatChanges(t *testing.T) {
	const change, learned, end = 40.0, 54.0, 90.0
	before := sine(2.5, 1.1, 14, 0)
	for name, after := range map[string]ownLoad{
		"stops":                sine(2.5, 0, 14, 0),
		"jumps in phase":       sine(2.5, 1.1, 14, math.Pi),
		"swings twice as fast": sine(2.5, 1.1, 7, 0),
		"steps down":           sine(1.9, 1.1, 14, 0),
	} {
		own := func(s float64) float64 {
			if s < change {
				return before(s)
			}
			return after(s)
		}
		w := newForecaster()
		over, n := 0.0, 0
		w.watch(own, 0, end, func(at, forecast, truth float64) {
			if at >= learned {
				over += math.Max(0, forecast-truth)
				n++
			}
		})
		t.Logf("%s: %.2f too much on average", name, over/float64(n))
		if over/float64(n) > 0.33 {
			t.Errorf("%s: %.2f too much is promised on average", name, over/float64(n))
		}
	}
}

func BenchmarkWaveRead(b *testing.B) {
	var periods Periods
	at := time.Unix(1000, 0)
	w := NewWave(at, 2.5, 0.6)
	for b.Loop() {
		at = at.Add(500 * time.Millisecond)
		w.Read(at, 2.4, &periods)
	}
}

func BenchmarkWaveLeast(b *testing.B) {
	var periods Periods
	at := time.Unix(1000, 0)
	w := NewWave(at, 2.5, 0.6)
	for b.Loop() {
		w.Least(at, seconds(stay), 0.7, &periods)
	}
}
