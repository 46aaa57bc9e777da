package interference

import (
	"math"
	"slices"
	"time"
)

// Tracker follows one served image on one worker: its own headroom, that is, the headroom it would
// have alone, the rate at which this changes, and the present pressure of each filling image beside
// it. It is a Kalman filter over these, updated with one reading at a time; the present pressure of
// an image returns to the learned pressure of the pair. It does no I/O and is not safe for
// concurrent use.
type Tracker struct {
	lastRead time.Time
	filling  []string // images, in the order of their states after own headroom and rate
	prior    []Estimate
	x        []float64
	p        [][]float64 // covariance
}

// Indices into the state.
const (
	stateOwn     = 0
	stateRate    = 1
	stateFilling = 2
)

// Parameters from the same readings as those of Pressures.
const (
	// initialDeviation is the deviation of the own headroom before the first reading.
	initialDeviation = 1.0
	// ownNoise and rateNoise are the deviations by which the own headroom and its rate change
	// in a second beyond what the rate predicts.
	ownNoise  = 0.1
	rateNoise = 0.2
	// minHeadroomError is the least error of the headroom in a reading.
	minHeadroomError = 0.03
	// burstDeviation is the deviation of a run's pressure, relative to its mean, and burstTime
	// the time constant with which it decays.
	burstDeviation = 0.4
	burstTime      = 2 * time.Second
	// maxGap is the time between two readings beyond which the earlier one has no predictive
	// value: half of the shortest period of the own load observed.
	maxGap = 7 * time.Second
)

// Read takes in a reading: the headroom, and the processors in use by filling image. prior returns
// the learned pressure of a filling image on this one.
func (t *Tracker) Read(at time.Time, headroom float64, use map[string]float64, prior func(filling string) Estimate) {
	gap := at.Sub(t.lastRead)
	if t.x == nil || gap > maxGap {
		t.reset(headroom, use, prior)
	} else {
		t.predict(gap)
	}
	t.lastRead = at
	for image := range use {
		t.addImage(image, prior(image))
	}
	t.removeAbsent(use)
	t.correct(headroom, use)
}

// reset starts from one reading: the own headroom is the headroom read plus what the filling images
// are expected to take.
func (t *Tracker) reset(headroom float64, use map[string]float64, prior func(string) Estimate) {
	own := headroom
	for image, n := range use {
		own += n * prior(image).Mean
	}
	t.filling, t.prior = nil, nil
	t.x = []float64{own, 0}
	t.p = [][]float64{{square(initialDeviation), 0}, {0, square(ownRate)}}
}

// predict advances the state and its covariance by the time since the last reading.
func (t *Tracker) predict(gap time.Duration) {
	dt := gap.Seconds()
	t.x[stateOwn] += dt * t.x[stateRate]
	for i := range t.p {
		t.p[stateOwn][i] += dt * t.p[stateRate][i]
	}
	for i := range t.p {
		t.p[i][stateOwn] += dt * t.p[i][stateRate]
	}
	t.p[stateOwn][stateOwn] += square(ownNoise) * dt
	t.p[stateRate][stateRate] = math.Min(t.p[stateRate][stateRate]+square(rateNoise)*dt, square(ownRate))
	keep := math.Exp(-dt / burstTime.Seconds())
	for i := stateFilling; i < len(t.x); i++ {
		prior := t.prior[i-stateFilling]
		t.x[i] = prior.Mean + keep*(t.x[i]-prior.Mean)
		for k := range t.x {
			t.p[i][k] *= keep
			t.p[k][i] *= keep
		}
		t.p[i][i] += (1 - keep*keep) * runVariance(prior)
	}
}

// runVariance returns the variance of the present pressure of a run.
func runVariance(e Estimate) float64 { return e.Var + square(burstDeviation*e.Mean) }

// addImage adds a filling image to the state, or updates its prior.
func (t *Tracker) addImage(image string, prior Estimate) {
	if i := slices.Index(t.filling, image); i >= 0 {
		t.prior[i] = prior
		return
	}
	t.filling, t.prior = append(t.filling, image), append(t.prior, prior)
	t.x = append(t.x, prior.Mean)
	for i := range t.p {
		t.p[i] = append(t.p[i], 0)
	}
	row := make([]float64, len(t.x))
	row[len(row)-1] = runVariance(prior)
	t.p = append(t.p, row)
}

// removeAbsent removes the filling images that are not in use.
func (t *Tracker) removeAbsent(use map[string]float64) {
	for i := len(t.filling) - 1; i >= 0; i-- {
		if _, there := use[t.filling[i]]; there {
			continue
		}
		at := i + stateFilling
		t.filling, t.prior, t.x = slices.Delete(t.filling, i, i+1), slices.Delete(t.prior, i, i+1), slices.Delete(t.x, at, at+1)
		t.p = slices.Delete(t.p, at, at+1)
		for k := range t.p {
			t.p[k] = slices.Delete(t.p[k], at, at+1)
		}
	}
}

// weights returns the coefficient of each state in the headroom some time ahead.
func (t *Tracker) weights(ahead time.Duration, use map[string]float64) []float64 {
	h := make([]float64, len(t.x))
	h[stateOwn], h[stateRate] = 1, ahead.Seconds()
	for i, image := range t.filling {
		h[i+stateFilling] = -use[image]
	}
	return h
}

// apply returns the covariance times h, and the variance in the direction of h.
func (t *Tracker) apply(h []float64) (ph []float64, variance float64) {
	ph = make([]float64, len(h))
	for i := range ph {
		for k, w := range h {
			ph[i] += t.p[i][k] * w
		}
		variance += h[i] * ph[i]
	}
	return ph, variance
}

func (t *Tracker) correct(headroom float64, use map[string]float64) {
	h := t.weights(0, use)
	residual := headroom
	for i := range h {
		residual -= h[i] * t.x[i]
	}
	ph, variance := t.apply(h)
	total := variance + square(readingError*headroom) + square(minHeadroomError)
	for i := range t.x {
		t.x[i] += ph[i] / total * residual
	}
	for i := range t.p {
		for k := range t.p {
			t.p[i][k] -= ph[i] * ph[k] / total
		}
	}
	for i := stateFilling; i < len(t.x); i++ {
		t.x[i] = math.Max(t.x[i], 0)
	}
}

// Expect returns the headroom expected some time after the last reading with these processors in
// use. Images that the last reading did not include count with their learned pressure, and those
// never observed beside this one with one deviation more: they rarely take more than that, and the
// first half second of a run shows what they take.
func (t *Tracker) Expect(ahead time.Duration, use map[string]float64, prior func(filling string) Estimate) float64 {
	mean := 0.0
	for i, w := range t.weights(ahead, use) {
		mean += w * t.x[i]
	}
	for image, n := range use {
		if slices.Contains(t.filling, image) {
			continue
		}
		e := prior(image)
		if e.Seen == 0 {
			mean -= n * e.Upper(1)
			continue
		}
		mean -= n * e.Mean
	}
	return mean
}

// Pressure returns the present pressure of a filling image, in headroom per processor. It returns
// false if the last reading did not include the image.
func (t *Tracker) Pressure(image string) (float64, bool) {
	i := slices.Index(t.filling, image)
	if i < 0 {
		return 0, false
	}
	return t.x[i+stateFilling], true
}

// Own returns the headroom that the served image would have alone.
func (t *Tracker) Own() float64 { return t.x[stateOwn] }

// Rate returns the change of the own headroom per second.
func (t *Tracker) Rate() float64 { return t.x[stateRate] }
