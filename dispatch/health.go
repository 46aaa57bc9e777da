package dispatch

import (
	"math"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// Health tells workers that fail or slow down what they run from their peers. A
// worker that fails everything at once is free at once and draws all work to
// itself; three failed runs end a job. It is pure: the time is passed.
type Health struct {
	workers map[string]*condition
}

// condition is what a worker's latest runs showed.
type condition struct {
	failed float64   // share, of the latest runs
	slow   float64   // logarithm of their duration against what was expected
	runs   float64   // runs behind these, up to a few
	until  time.Time // no new work until then
	pause  time.Duration
}

const (
	// healthMemory is the number of runs after which an older one has little
	// weight: a worker on which everything fails is known after three.
	healthMemory = 6
	// failedShare is the share of failed runs from which a worker is left
	// alone. Tasks' own faults are up to three in a hundred.
	failedShare = 0.5
	leastRuns   = 3
	// firstPause is how long it is left alone before it is tried again; each
	// time that goes wrong the next is twice as long.
	firstPause   = 2 * time.Second
	longestPause = 10 * time.Second
	// slowBound bounds one run's weight: a hundred times as long is not more
	// telling than ten times.
	slowBound = 2.3
	// mostShunned is the part of a service's workers that may be left alone.
	// Past it the trouble is not the workers', and the rest would be swamped.
	mostShunned = 0.4
)

// NewHealth returns a book that knows nothing.
func NewHealth() *Health { return &Health{workers: make(map[string]*condition)} }

func (h *Health) of(worker string) *condition {
	c := h.workers[worker]
	if c == nil {
		c = &condition{pause: firstPause}
		h.workers[worker] = c
	}
	return c
}

// NoteEnd takes in the end of a run. tookMS and expectedMS are 0 where they are
// not known.
func (h *Health) NoteEnd(worker string, o jobs.Outcome, tookMS int64, expectedMS float64, now time.Time) {
	if o != jobs.OutcomeDone && o != jobs.OutcomeFailed {
		return
	}
	c := h.of(worker)
	c.runs = math.Min(c.runs+1, healthMemory)
	bad := 0.0
	if o == jobs.OutcomeFailed {
		bad = 1
	}
	c.failed += (bad - c.failed) / c.runs
	if tookMS > 0 && expectedMS > 0 {
		ratio := math.Log(float64(tookMS) / expectedMS)
		c.slow += (math.Min(math.Max(ratio, -slowBound), slowBound) - c.slow) / c.runs
	}
	h.judge(c, now)
}

// NoteStuck takes in that a run on the worker makes no progress.
func (h *Health) NoteStuck(worker string, now time.Time) {
	c := h.of(worker)
	c.runs = math.Min(c.runs+1, healthMemory)
	c.failed += (1 - c.failed) / c.runs
	h.judge(c, now)
}

func (h *Health) judge(c *condition, now time.Time) {
	if c.runs < leastRuns || c.failed < failedShare || now.Before(c.until) {
		return
	}
	c.until = now.Add(c.pause)
	c.pause = min(2*c.pause, longestPause)
	c.runs, c.failed = 1, failedShare // two good runs clear it, two bad ones shun it again
}

// Slowness returns how much longer a worker's runs take than expected, as a
// logarithm, 0 if it is not known to be slow.
func (h *Health) Slowness(worker string) float64 {
	c := h.workers[worker]
	if c == nil || c.runs < leastRuns {
		return 0
	}
	return math.Max(c.slow, 0)
}

// Shunned returns the workers to be left alone now, but never too large a part
// of all.
func (h *Health) Shunned(all int, now time.Time) map[string]bool {
	out := make(map[string]bool)
	for id, c := range h.workers {
		if now.Before(c.until) {
			out[id] = true
		}
	}
	if float64(len(out)) > mostShunned*float64(all) {
		return nil
	}
	return out
}

// Forget drops a worker that is gone.
func (h *Health) Forget(worker string) { delete(h.workers, worker) }
