package interference

import (
	"math"
	"math/rand"
	"testing"
	"time"
)

// headroomFunc is a serving group's own headroom over time, in seconds.
type headroomFunc func(seconds float64) float64

func sine(mean, amplitude, period, phase float64) headroomFunc {
	return func(s float64) float64 { return mean + amplitude*math.Sin(2*math.Pi*s/period+phase) }
}

const (
	readingGap = 0.5 // seconds
	runTime    = 3.0 // seconds
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// least returns the true minimum of the headroom during a run.
func (f headroomFunc) least(from float64) float64 {
	out := math.Inf(1)
	for s := 0.0; s <= runTime; s += 0.1 {
		out = math.Min(out, f(from+s))
	}
	return out
}

// forecaster follows serving groups with noisy readings, as a leader does.
type forecaster struct {
	rng     *rand.Rand
	start   time.Time
	periods Periods
}

func newForecaster() *forecaster {
	return &forecaster{rng: rand.New(rand.NewSource(7)), start: time.Unix(1000, 0)}
}

// follow reads a serving group from one time to another, in seconds. After each reading it calls f
// with the forecast and the true minimum of the headroom during the next run.
func (w *forecaster) follow(own headroomFunc, from, to float64, f func(at, forecast, truth float64)) {
	const readingNoise = 0.15
	forecast := NewHeadroomForecast(w.start.Add(seconds(from)), 2.5, 0.6)
	for s := from; s < to; s += readingGap {
		at := w.start.Add(seconds(s))
		forecast.Read(at, own(s)+readingNoise*w.rng.NormFloat64(), &w.periods)
		f(s, forecast.Min(at, seconds(runTime), 0, &w.periods), own.least(s))
	}
}

func rootMean(sum float64, n int) float64 { return math.Sqrt(sum / float64(n)) }

// The serving groups of a service have one period and phases of their own. Filling tasks placed by
// the last reading meet the peak of the load two seconds later, and those placed by the mean wait
// in its trough. The forecast of the next three seconds must have less than half the error of
// either.
func TestForecastOfPeriodicLoad(t *testing.T) {
	w := newForecaster()
	for _, period := range []float64{9, 14, 22} {
		w.periods = Periods{}
		var forecastSquares, lastSquares, meanSquares float64
		n := 0
		for range 12 {
			mean, amplitude, phase := 2.5+0.3*w.rng.NormFloat64(), 0.9+0.4*w.rng.Float64(), 2*math.Pi*w.rng.Float64()
			own := sine(mean, amplitude, period, phase)
			w.follow(own, 0, 40, func(at, forecast, truth float64) {
				if at < 10 {
					return
				}
				forecastSquares += square(forecast - truth)
				lastSquares += square(own(at) - truth)
				meanSquares += square(mean - truth)
				n++
			})
		}
		forecastError, last, mean := rootMean(forecastSquares, n), rootMean(lastSquares, n), rootMean(meanSquares, n)
		t.Logf("period %v s: error of the forecast %.2f, of the last reading %.2f, of the mean %.2f", period, forecastError, last, mean)
		if forecastError > 0.3 || forecastError > last/2 || forecastError > mean/2 {
			t.Errorf("period %v s: the error of the forecast is %.2f, of the last reading %.2f, of the mean %.2f", period, forecastError, last, mean)
		}
	}
}

// Nothing is known of a new serving group but its image. The forecast must be the typical low of
// the image, so that no more headroom is promised than there is at the peak of the load.
func TestForecastOfNewGroupIsTypicalLow(t *testing.T) {
	var periods Periods
	at := time.Unix(1000, 0)
	const mean, deviation = 2.5, 0.8
	got := NewHeadroomForecast(at, mean, square(deviation)).Min(at, seconds(runTime), 1, &periods)
	if low := mean - deviation; math.Abs(got-low) > 0.3 {
		t.Errorf("forecast is %.2f, the typical low is %.2f", got, low)
	}
}

// Guards against lost capacity for filling tasks beside a steady load: the forecast must soon be
// near the true headroom.
func TestForecastOfSteadyLoad(t *testing.T) {
	w := newForecaster()
	worst := 0.0
	w.follow(sine(2.2, 0, 14, 0), 0, 60, func(at, forecast, truth float64) {
		if at >= 20 {
			worst = math.Max(worst, math.Abs(forecast-truth))
		}
	})
	if worst > 0.35 {
		t.Errorf("the error of the forecast is %.2f", worst)
	}
}

// The load of a serving group changes: the oscillation stops, jumps in phase or doubles its
// frequency, or the mean drops. Until this is learned the forecast is too high; after one period
// of the old load the average excess must be at most 0.33 of headroom.
func TestForecastOfChangingLoad(t *testing.T) {
	const change, learned, end = 40.0, 54.0, 90.0
	before := sine(2.5, 1.1, 14, 0)
	for name, after := range map[string]headroomFunc{
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
		w.follow(own, 0, end, func(at, forecast, truth float64) {
			if at >= learned {
				over += math.Max(0, forecast-truth)
				n++
			}
		})
		t.Logf("%s: forecast too high by %.2f on average", name, over/float64(n))
		if over/float64(n) > 0.33 {
			t.Errorf("%s: the forecast is too high by %.2f on average", name, over/float64(n))
		}
	}
}

func BenchmarkWaveRead(b *testing.B) {
	var periods Periods
	at := time.Unix(1000, 0)
	w := NewHeadroomForecast(at, 2.5, 0.6)
	for b.Loop() {
		at = at.Add(500 * time.Millisecond)
		w.Read(at, 2.4, &periods)
	}
}

func BenchmarkWaveLeast(b *testing.B) {
	var periods Periods
	at := time.Unix(1000, 0)
	w := NewHeadroomForecast(at, 2.5, 0.6)
	for b.Loop() {
		w.Min(at, seconds(runTime), 0.7, &periods)
	}
}
