package interference

import (
	"math"
	"time"
)

// Parameters of served images' own headroom, from readings half a second apart.
const (
	// minPeriod and maxPeriod bound the periods that are distinguished: a shorter one passes
	// within a few readings, and a longer one hardly changes the headroom during a run.
	minPeriod = 6 * time.Second
	maxPeriod = 40 * time.Second
	// periodCount is the number of periods within these bounds, each a twelfth longer than the
	// previous one. The nearest one is off by at most a twenty-fourth, which the drift of the
	// forecast compensates.
	periodCount = 24
	// readingDeviation is the error of a reading of the own headroom, and driftDeviation the
	// deviation by which the mean and the amplitude change in a second.
	readingDeviation = 0.2
	driftDeviation   = 0.06
	// groupMeanDeviation is the deviation between the means of the serving groups of an image.
	groupMeanDeviation = 0.4
	// evidenceDecay is the share of the evidence for a period that remains after another
	// reading: a few hundred readings count.
	evidenceDecay = 0.995
)

// Periods is the evidence for each period, over all serving groups. The load of a service follows
// one rhythm, and a single serving group would have to be observed for two periods to find it. It
// is not safe for concurrent use.
type Periods struct{ evidence [periodCount]float64 }

// frequencies are those of the periods, in radians per second.
var frequencies = func() (out [periodCount]float64) {
	step := math.Pow(float64(maxPeriod)/float64(minPeriod), 1/float64(periodCount-1))
	for i := range out {
		out[i] = 2 * math.Pi / (minPeriod.Seconds() * math.Pow(step, float64(i)))
	}
	return out
}()

// best returns the index of the most likely period.
func (p *Periods) best() int {
	best := 0
	for i, e := range p.evidence {
		if e > p.evidence[best] {
			best = i
		}
	}
	return best
}

// HeadroomForecast forecasts the own headroom of a serving group as a mean plus one sinusoid. The
// period is shared by all serving groups, phase and amplitude belong to the group. For each period
// it keeps a Kalman filter over the mean and the coefficients of cosine and sine. Before the phase
// is known it forecasts the mean with the variance of the image.
//
// The last reading and its trend predict little of the whole duration of a run: three seconds
// ahead their error is as large as that of the mean. HeadroomForecast does no I/O and is not safe
// for concurrent use.
type HeadroomForecast struct {
	start time.Time
	last  time.Time
	fits  [periodCount]fit
}

// fit is the estimate of a mean and the coefficients of cosine and sine, with their covariance.
type fit struct {
	x [3]float64
	p [3][3]float64
}

// NewHeadroomForecast returns the forecast of a new serving group, given the mean and the variance
// of its image's own headroom over all times.
func NewHeadroomForecast(at time.Time, mean, variance float64) *HeadroomForecast {
	w := &HeadroomForecast{start: at, last: at}
	for i := range w.fits {
		w.fits[i].x[0] = mean
		w.fits[i].p[0][0] = square(groupMeanDeviation)
		w.fits[i].p[1][1], w.fits[i].p[2][2] = variance, variance
	}
	return w
}

func (w *HeadroomForecast) basis(i int, at time.Time) [3]float64 {
	s, c := math.Sincos(frequencies[i] * at.Sub(w.start).Seconds())
	return [3]float64{1, c, s}
}

// Read takes in a reading of the own headroom and updates the shared evidence for the periods.
func (w *HeadroomForecast) Read(at time.Time, own float64, shared *Periods) {
	drift := square(driftDeviation) * math.Max(0, at.Sub(w.last).Seconds())
	w.last = at
	for i := range w.fits {
		f, h := &w.fits[i], w.basis(i, at)
		for k := range f.p {
			f.p[k][k] += drift
		}
		mean, variance, ph := f.predict(h)
		total := variance + square(readingDeviation)
		residual := own - mean
		shared.evidence[i] = evidenceDecay*shared.evidence[i] - (residual*residual/total+math.Log(total))/2
		for k := range f.x {
			f.x[k] += ph[k] / total * residual
		}
		for k := range f.p {
			for l := range f.p {
				f.p[k][l] -= ph[k] * ph[l] / total
			}
		}
	}
}

// predict returns the mean and the variance in the direction h, and the covariance times h.
func (f *fit) predict(h [3]float64) (mean, variance float64, ph [3]float64) {
	for k := range h {
		mean += h[k] * f.x[k]
		for l := range h {
			ph[k] += f.p[k][l] * h[l]
		}
	}
	for k := range h {
		variance += h[k] * ph[k]
	}
	return mean, variance, ph
}

// forecastStep is the time between two points at which a forecast is evaluated.
const forecastStep = 250 * time.Millisecond

// Min returns the minimum of the forecast within a span, lowered by the given number of
// standard deviations.
func (w *HeadroomForecast) Min(from time.Time, span time.Duration, deviations float64, shared *Periods) float64 {
	i := shared.best()
	least := math.Inf(1)
	for at := time.Duration(0); at <= span; at += forecastStep {
		mean, variance, _ := w.fits[i].predict(w.basis(i, from.Add(at)))
		least = math.Min(least, mean-deviations*math.Sqrt(math.Max(variance, 0)))
	}
	return least
}
