// Package interference learns how much a batch task slows down the services beside it.
//
// The cost is unknown, depends on the pair of service and job and on the load, and shows only
// with a delay and in measurements of whole workers. Model keeps, for each service, job and load
// band, the logarithm of the slowdown that one task adds, and its variance. A measurement corrects
// the estimates of all tasks that shared the worker when it was taken, the most uncertain ones
// most (a diagonal Kalman filter).
//
// For served images, Pressures learns how much headroom each filling image takes, Tracker follows
// the headroom on one worker, and HeadroomForecast forecasts the headroom that an image would have
// alone.
package interference

import (
	"maps"
	"math"
	"slices"
)

// Bands is the number of load bands.
const Bands = 4

// Parameters of the filter. Variances are of logarithms of slowdowns.
const (
	priorVar = 0.09    // of a pair that was never measured
	noiseVar = 0.02    // of one measurement of a 99th percentile
	driftVar = 0.00002 // added with each measurement, so that old measurements lose weight
	maxMean  = 3.0
)

// Estimate is an estimated cost of one unit of work: in Model the logarithm of the slowdown that
// one task adds, in Pressures the headroom that one processor takes.
type Estimate struct {
	Mean, Var float64
	// Seen is the number of measurements behind the estimate; 0 means that it is derived from
	// other pairs.
	Seen int
}

// Upper returns the mean plus the given number of standard deviations.
func (e Estimate) Upper(sigmas float64) float64 {
	return e.Mean + sigmas*math.Sqrt(e.Var)
}

type pair struct {
	service, job string
	band         int
}

// Model holds the learned costs. It is not safe for concurrent use.
type Model struct {
	pairs map[pair]*Estimate
	byJob map[string]*mean // by job, over all services and load bands
	all   mean
}

// mean is a running average in which old values lose weight.
type mean struct {
	value float64
	n     float64
}

const meanWindow = 200 // the number of values that the average effectively covers

func (m *mean) add(v float64) {
	m.n = math.Min(m.n+1, meanWindow)
	m.value += (v - m.value) / m.n
}

// NewModel returns an empty model.
func NewModel() *Model {
	return &Model{pairs: make(map[pair]*Estimate), byJob: make(map[string]*mean)}
}

// Band returns the load band of a load, which is the used part of a service's slots.
func Band(load float64) int {
	return min(max(int(load*Bands), 0), Bands-1)
}

// Predict estimates the cost of one task of a job beside a service at a load. For a pair that was
// not measured in this band it uses the nearest lower band, then the job beside other services,
// then all jobs.
func (m *Model) Predict(service, job string, load float64) Estimate {
	for b := Band(load); b >= 0; b-- {
		if e := m.pairs[pair{service, job, b}]; e != nil {
			return extrapolate(*e, float64(Band(load)-b))
		}
	}
	if k := m.byJob[job]; k != nil {
		return Estimate{Mean: k.value, Var: priorVar / 2}
	}
	return Estimate{Mean: m.all.value, Var: priorVar}
}

// Growth of a cost from one load band to the next, used until the higher band is measured.
const (
	bandGrowth = 0.5    // of the mean
	bandVar    = 0.0002 // added to the variance for each band
)

// extrapolate carries an estimate to a higher band. The mean grows in proportion: a task that costs
// almost nothing at a lower load is expected to cost little at a higher one.
func extrapolate(e Estimate, bands float64) Estimate {
	grown := e.Mean * bandGrowth * bands
	e.Mean += grown
	e.Var += grown*grown + bands*bandVar
	return e
}

// Observe takes in one measurement: the service's slowdown relative to running alone, its load,
// and the number of tasks of each job on the worker, all at the time of the measurement.
func (m *Model) Observe(service string, load float64, jobs map[string]int, slowdown float64) {
	if len(jobs) == 0 || slowdown <= 0 {
		return
	}
	band := Band(load)
	predicted, total := 0.0, noiseVar
	names := slices.Sorted(maps.Keys(jobs)) // sums of floats depend on their order
	for _, job := range names {
		n := jobs[job]
		e := m.estimateFor(service, job, load)
		e.Var += driftVar
		predicted += float64(n) * e.Mean
		total += float64(n*n) * e.Var
	}
	residual := math.Log(slowdown) - predicted
	for _, job := range names {
		m.correct(m.pairs[pair{service, job, band}], job, float64(jobs[job]), residual, total)
	}
}

// Hint takes over an estimate made elsewhere, such as by an earlier leader, unless the pair is
// already known here.
func (m *Model) Hint(service, job string, load, mean float64) {
	key := pair{service, job, Band(load)}
	if m.pairs[key] != nil {
		return
	}
	m.pairs[key] = &Estimate{Mean: math.Min(math.Max(mean, 0), maxMean), Var: priorVar / 2, Seen: 1}
}

func (m *Model) estimateFor(service, job string, load float64) *Estimate {
	key := pair{service, job, Band(load)}
	e := m.pairs[key]
	if e == nil {
		prior := m.Predict(service, job, load)
		e = &Estimate{Mean: prior.Mean, Var: math.Max(prior.Var, priorVar/2)}
		m.pairs[key] = e
	}
	return e
}

func (m *Model) correct(e *Estimate, job string, n, residual, total float64) {
	gain := n * e.Var / total
	e.Mean = math.Min(math.Max(e.Mean+gain*residual, 0), maxMean)
	e.Var *= 1 - gain*n
	e.Seen++
	k := m.byJob[job]
	if k == nil {
		k = &mean{}
		m.byJob[job] = k
	}
	k.add(e.Mean)
	m.all.add(e.Mean)
}

// upperSigmas is the number of standard deviations between Cost's mean and its upper bound.
const upperSigmas = 1.0

// Cost returns the expected cost of a task for the placement, and an upper bound that it rarely
// exceeds.
func (m *Model) Cost(service, market, job string, load float64) (mean, upper float64) {
	e := m.Predict(service, market+"/"+job, load)
	return e.Mean, e.Upper(upperSigmas)
}
