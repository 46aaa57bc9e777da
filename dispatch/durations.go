package dispatch

import (
	"maps"
	"math"
	"slices"

	"github.com/waxwinghaven/waxwinghaven/lessons"
)

// Durations learns how long tasks really take. What callers declare is off by
// up to nine times for some queues and by a fifth for others, so each queue's
// declarations are trusted as far as they proved right.
type Durations struct {
	queues map[string]*record
}

// record is what one queue's tasks showed, all in logarithms of milliseconds.
type record struct {
	n      float64
	actual moments // of durations
	miss   moments // of duration against estimate
}

// moments are a running mean and variance that forget slowly.
type moments struct{ mean, square float64 }

const (
	// recordMemory is the number of tasks after which an old one has little
	// weight: the tasks of some tens of jobs.
	recordMemory = 300
	// leastSeen is how many tasks are needed before anything is learned.
	leastSeen = 8
	// leastSpread keeps a queue of a few equal tasks from being certain.
	leastSpread = 0.01
)

func (m *moments) add(v, n float64) {
	m.mean += (v - m.mean) / n
	m.square += (v*v - m.square) / n
}

func (m *moments) variance() float64 { return math.Max(m.square-m.mean*m.mean, leastSpread) }

// NewDurations returns a book that knows nothing.
func NewDurations() *Durations { return &Durations{queues: make(map[string]*record)} }

// Lessons returns what is known of each queue, in order.
func (d *Durations) Lessons() []lessons.Duration {
	out := make([]lessons.Duration, 0, len(d.queues))
	for _, queue := range slices.Sorted(maps.Keys(d.queues)) {
		r := d.queues[queue]
		out = append(out, lessons.Duration{Queue: queue, N: r.n, Actual: r.actual.mean, ActualSquare: r.actual.square, Miss: r.miss.mean, MissSquare: r.miss.square})
	}
	return out
}

// Recall takes over what was known of a queue of which nothing is known here.
func (d *Durations) Recall(l lessons.Duration) {
	if d.queues[l.Queue] == nil {
		d.queues[l.Queue] = &record{n: l.N, actual: moments{l.Actual, l.ActualSquare}, miss: moments{l.Miss, l.MissSquare}}
	}
}

// Note takes in how long one task took that was declared at estimateMS.
func (d *Durations) Note(queue string, estimateMS, tookMS int64) {
	if tookMS <= 0 {
		return
	}
	r := d.queues[queue]
	if r == nil {
		r = &record{}
		d.queues[queue] = r
	}
	r.n = math.Min(r.n+1, recordMemory)
	took := math.Log(float64(tookMS))
	r.actual.add(took, r.n)
	if estimateMS > 0 {
		r.miss.add(took-math.Log(float64(estimateMS)), r.n)
	}
}

// Expect returns how long a task declared at estimateMS will take, in ms. It
// weighs the declaration, corrected by what declarations were off on average,
// against the queue's mean, each by how little it scatters.
func (d *Durations) Expect(queue string, estimateMS int64) float64 {
	r := d.queues[queue]
	if r == nil || r.n < leastSeen {
		return float64(max(estimateMS, 1))
	}
	if estimateMS <= 0 {
		return math.Exp(r.actual.mean)
	}
	declared := math.Log(float64(estimateMS)) + r.miss.mean
	trust := r.actual.variance() / (r.actual.variance() + r.miss.variance())
	return math.Exp(trust*declared + (1-trust)*r.actual.mean)
}
