package interference

import (
	"math"
	"time"
)

// Figures of served images' own headroom, in readings of half a second.
const (
	// shortestPeriod and longestPeriod bound the periods that are told apart: a shorter
	// swing is over within a few readings, a longer one hardly moves while a run stays.
	shortestPeriod = 6 * time.Second
	longestPeriod  = 40 * time.Second
	// periodSteps is the number of periods in between, each a twelfth longer than the
	// one before. The nearest is off by a twenty-fourth at most, which the drift of a
	// wave follows.
	periodSteps = 24
	// waveReading is the error of a reading of the own headroom, and waveDrift the
	// deviation by which a wave's mean and swing move in a second.
	waveReading = 0.2
	waveDrift   = 0.06
	// meanSpread is the deviation between the means of one image's crews.
	meanSpread = 0.4
	// evidenceKept is the share of the evidence for a period that is left a reading
	// later: some hundred readings count.
	evidenceKept = 0.995
)

// Periods are the evidence for each period, over all crews: the users of a service come and
// go in one rhythm, and one crew alone would have to be watched for two of its swings. It is
// not safe for concurrent use.
type Periods struct{ evidence [periodSteps]float64 }

// frequencies are those of the periods, in radians a second.
var frequencies = func() (out [periodSteps]float64) {
	step := math.Pow(float64(longestPeriod)/float64(shortestPeriod), 1/float64(periodSteps-1))
	for i := range out {
		out[i] = 2 * math.Pi / (shortestPeriod.Seconds() * math.Pow(step, float64(i)))
	}
	return out
}()

// best returns the most likely period.
func (p *Periods) best() int {
	best := 0
	for i, e := range p.evidence {
		if e > p.evidence[best] {
			best = i
		}
	}
	return best
}

// Wave forecasts a crew's own headroom as a mean and one wave, whose period is shared and
// whose phase and height are the crew's own: a Kalman filter over these three for each
// period. Before a phase is known it forecasts the mean with the spread that its image has.
//
// The last reading and its trend say little of a run's whole stay: three seconds ahead they
// miss by as much as the mean does. It is pure and not safe for concurrent use.
type Wave struct {
	begun time.Time
	last  time.Time
	fits  [periodSteps]fit
}

// fit is what is known of a mean, a cosine and a sine: estimates and their covariance.
type fit struct {
	x [3]float64
	p [3][3]float64
}

// NewWave returns the wave of a crew whose image has a mean and a variance over all times.
func NewWave(at time.Time, mean, variance float64) *Wave {
	w := &Wave{begun: at, last: at}
	for i := range w.fits {
		w.fits[i].x[0] = mean
		w.fits[i].p[0][0] = square(meanSpread)
		w.fits[i].p[1][1], w.fits[i].p[2][2] = variance, variance
	}
	return w
}

func (w *Wave) basis(i int, at time.Time) [3]float64 {
	s, c := math.Sincos(frequencies[i] * at.Sub(w.begun).Seconds())
	return [3]float64{1, c, s}
}

// Read takes in a reading of the own headroom.
func (w *Wave) Read(at time.Time, own float64, shared *Periods) {
	drift := square(waveDrift) * math.Max(0, at.Sub(w.last).Seconds())
	w.last = at
	for i := range w.fits {
		f, h := &w.fits[i], w.basis(i, at)
		for k := range f.p {
			f.p[k][k] += drift
		}
		mean, variance, ph := f.look(h)
		total := variance + square(waveReading)
		miss := own - mean
		shared.evidence[i] = evidenceKept*shared.evidence[i] - (miss*miss/total+math.Log(total))/2
		for k := range f.x {
			f.x[k] += ph[k] / total * miss
		}
		for k := range f.p {
			for l := range f.p {
				f.p[k][l] -= ph[k] * ph[l] / total
			}
		}
	}
}

// look returns what is expected in the direction h, its variance, and the covariance times
// h.
func (f *fit) look(h [3]float64) (mean, variance float64, ph [3]float64) {
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

// lookStep is the time between two looks at a forecast.
const lookStep = 250 * time.Millisecond

// Least returns the least that the forecast is expected to be within a span, less its
// deviation so many times.
func (w *Wave) Least(from time.Time, span time.Duration, deviations float64, shared *Periods) float64 {
	i := shared.best()
	least := math.Inf(1)
	for at := time.Duration(0); at <= span; at += lookStep {
		mean, variance, _ := w.fits[i].look(w.basis(i, from.Add(at)))
		least = math.Min(least, mean-deviations*math.Sqrt(math.Max(variance, 0)))
	}
	return least
}
