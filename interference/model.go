// Package interference learns what a batch task costs the service beside it.
//
// The cost is unknown, depends on the pair and on the load, and shows up late
// in measurements of whole workers. The model keeps, for each service, job and
// load band, the logarithm of the slowdown that one task adds, and how
// uncertain that is. A measurement corrects all tasks that shared the worker
// when it was taken, the uncertain ones most (a diagonal Kalman filter).
package interference

import (
	"maps"
	"math"
	"slices"
)

// Bands is the number of load bands.
const Bands = 4

// Tuning of the filter. Variances are of logarithms of slowdowns.
const (
	priorVar = 0.09    // of a pair never seen
	noiseVar = 0.02    // of one measurement of a 99th percentile
	driftVar = 0.00002 // added at each measurement: old knowledge fades
	maxMean  = 3.0
)

// Estimate is the logarithm of the slowdown that one task adds.
type Estimate struct {
	Mean, Var float64
	// Seen counts the measurements behind it; 0 means a guess from others.
	Seen int
}

// Upper returns a bound that the slowdown stays below with the given number of
// standard deviations.
func (e Estimate) Upper(sigmas float64) float64 {
	return e.Mean + sigmas*math.Sqrt(e.Var)
}

type pair struct {
	service, job string
	band         int
}

// Model is the learned costs. It is not safe for concurrent use.
type Model struct {
	pairs map[pair]*Estimate
	kinds map[string]*mean // by job, over all services and loads
	all   mean
}

// mean is a running average that forgets slowly.
type mean struct {
	value float64
	n     float64
}

const meanMemory = 200 // measurements after which an old one has little weight

func (m *mean) add(v float64) {
	m.n = math.Min(m.n+1, meanMemory)
	m.value += (v - m.value) / m.n
}

// NewModel returns a model that knows nothing.
func NewModel() *Model {
	return &Model{pairs: make(map[pair]*Estimate), kinds: make(map[string]*mean)}
}

// Band returns the load band of a service whose slots are used to this part.
func Band(load float64) int {
	return min(max(int(load*Bands), 0), Bands-1)
}

// Predict estimates the cost of one task beside a service under a load. An
// unseen pair falls back to the next lower band, then to the job elsewhere,
// then to all jobs.
func (m *Model) Predict(service, job string, load float64) Estimate {
	for b := Band(load); b >= 0; b-- {
		if e := m.pairs[pair{service, job, b}]; e != nil {
			return extrapolate(*e, float64(Band(load)-b))
		}
	}
	if k := m.kinds[job]; k != nil {
		return Estimate{Mean: k.value, Var: priorVar / 2}
	}
	return Estimate{Mean: m.all.value, Var: priorVar}
}

// Growth of a cost from one load band to the next, as long as the higher one
// was not measured.
const (
	bandGrowth = 0.5    // of the mean
	bandVar    = 0.0002 // added to the variance besides
)

// extrapolate carries an estimate to a higher band. What costs almost nothing
// under a lower load is expected to cost little under a higher one.
func extrapolate(e Estimate, bands float64) Estimate {
	grown := e.Mean * bandGrowth * bands
	e.Mean += grown
	e.Var += grown*grown + bands*bandVar
	return e
}

// Observe takes one measurement: the service's slowdown against running alone,
// its load, and the count of each job's tasks on the worker, all at the time
// the measurement was taken.
func (m *Model) Observe(service string, load float64, jobs map[string]int, slowdown float64) {
	if len(jobs) == 0 || slowdown <= 0 {
		return
	}
	band := Band(load)
	predicted, total := 0.0, noiseVar
	names := slices.Sorted(maps.Keys(jobs)) // sums of floats depend on their order
	for _, job := range names {
		n := jobs[job]
		e := m.at(service, job, load)
		e.Var += driftVar
		predicted += float64(n) * e.Mean
		total += float64(n*n) * e.Var
	}
	miss := math.Log(slowdown) - predicted
	for _, job := range names {
		m.correct(m.pairs[pair{service, job, band}], job, float64(jobs[job]), miss, total)
	}
}

// Hint takes over an estimate that somebody else made, if the pair was not seen
// here yet.
func (m *Model) Hint(service, job string, load, mean float64) {
	key := pair{service, job, Band(load)}
	if m.pairs[key] != nil {
		return
	}
	m.pairs[key] = &Estimate{Mean: math.Min(math.Max(mean, 0), maxMean), Var: priorVar / 2, Seen: 1}
}

func (m *Model) at(service, job string, load float64) *Estimate {
	key := pair{service, job, Band(load)}
	e := m.pairs[key]
	if e == nil {
		guess := m.Predict(service, job, load)
		e = &Estimate{Mean: guess.Mean, Var: math.Max(guess.Var, priorVar/2)}
		m.pairs[key] = e
	}
	return e
}

func (m *Model) correct(e *Estimate, job string, n, miss, total float64) {
	gain := n * e.Var / total
	e.Mean = math.Min(math.Max(e.Mean+gain*miss, 0), maxMean)
	e.Var *= 1 - gain*n
	e.Seen++
	k := m.kinds[job]
	if k == nil {
		k = &mean{}
		m.kinds[job] = k
	}
	k.add(e.Mean)
	m.all.add(e.Mean)
}

// cautious is how many standard deviations the upper cost is above the mean.
const cautious = 1.0

// Cost returns what a task is expected to cost, and a bound that it exceeds
// only rarely, as the placement asks for it.
func (m *Model) Cost(service, market, job string, load float64) (mean, upper float64) {
	e := m.Predict(service, market+"/"+job, load)
	return e.Mean, e.Upper(cautious)
}
