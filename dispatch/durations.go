package dispatch

import (
	"maps"
	"math"
	"slices"

	"github.com/waxwinghaven/waxwinghaven/lessons"
)

// Durations learns how long tasks really take. Declared estimates are off by up to nine times for
// some queues and by a fifth for others, so each queue's estimates are weighted by how accurate
// they have been.
type Durations struct {
	queues map[string]*durationStats
}

// durationStats are the statistics of one queue's tasks, as logarithms of milliseconds.
type durationStats struct {
	n             float64
	actual        moments // of durations
	estimateError moments // duration relative to the estimate
}

// moments are a running mean and mean square in which old samples lose weight.
type moments struct{ mean, square float64 }

const (
	// statsWindow is the number of tasks after which a sample has little weight: the tasks of a
	// few tens of jobs.
	statsWindow = 300
	// minSamples is how many tasks must be observed before the statistics are used.
	minSamples = 8
	// minVariance prevents a few equal samples from counting as certain.
	minVariance = 0.01
)

func (m *moments) add(v, n float64) {
	m.mean += (v - m.mean) / n
	m.square += (v*v - m.square) / n
}

func (m *moments) variance() float64 { return math.Max(m.square-m.mean*m.mean, minVariance) }

// NewDurations returns a Durations without samples.
func NewDurations() *Durations { return &Durations{queues: make(map[string]*durationStats)} }

// Lessons returns the statistics of each queue, ordered by queue.
func (d *Durations) Lessons() []lessons.Duration {
	out := make([]lessons.Duration, 0, len(d.queues))
	for _, queue := range slices.Sorted(maps.Keys(d.queues)) {
		r := d.queues[queue]
		out = append(out, lessons.Duration{Queue: queue, N: r.n, Actual: r.actual.mean, ActualSquare: r.actual.square, Miss: r.estimateError.mean, MissSquare: r.estimateError.square})
	}
	return out
}

// Restore restores the statistics of a queue, unless the queue already has some.
func (d *Durations) Restore(l lessons.Duration) {
	if d.queues[l.Queue] == nil {
		d.queues[l.Queue] = &durationStats{n: l.N, actual: moments{l.Actual, l.ActualSquare}, estimateError: moments{l.Miss, l.MissSquare}}
	}
}

// Record records that a task with an estimate of estimateMS took tookMS. Times of 0 or less are
// ignored.
func (d *Durations) Record(queue string, estimateMS, tookMS int64) {
	if tookMS <= 0 {
		return
	}
	r := d.queues[queue]
	if r == nil {
		r = &durationStats{}
		d.queues[queue] = r
	}
	r.n = math.Min(r.n+1, statsWindow)
	took := math.Log(float64(tookMS))
	r.actual.add(took, r.n)
	if estimateMS > 0 {
		r.estimateError.add(took-math.Log(float64(estimateMS)), r.n)
	}
}

// Expect returns the expected duration of a task with an estimate of estimateMS, in ms. It
// combines the estimate, corrected by the queue's mean error, with the queue's mean duration,
// each weighted by the inverse of its variance.
func (d *Durations) Expect(queue string, estimateMS int64) float64 {
	r := d.queues[queue]
	if r == nil || r.n < minSamples {
		return float64(max(estimateMS, 1))
	}
	if estimateMS <= 0 {
		return math.Exp(r.actual.mean)
	}
	declared := math.Log(float64(estimateMS)) + r.estimateError.mean
	trust := r.actual.variance() / (r.actual.variance() + r.estimateError.variance())
	return math.Exp(trust*declared + (1-trust)*r.actual.mean)
}
