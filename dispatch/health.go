package dispatch

import (
	"maps"
	"math"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// Health detects workers that fail or slow down their runs more than their peers. A worker that
// fails every run right after its start is always idle and attracts all work, and three failed
// runs end a job. Health has no clock: the time is passed in.
type Health struct {
	workers map[string]*workerHealth
}

// workerHealth summarises a worker's latest runs.
type workerHealth struct {
	failedShare  float64   // of the latest runs
	slowness     float64   // logarithm of actual over expected duration
	runs         float64   // number of runs averaged, at most healthWindow
	avoidedUntil time.Time // gets no new tasks until then
	nextPause    time.Duration
}

const (
	// healthWindow is the number of runs after which an older one has little weight. With it, a
	// worker that fails every run is detected after three.
	healthWindow = 6
	// maxFailedShare is the share of failed runs from which on a worker is avoided. Tasks fail by
	// their own fault in up to 3 % of runs.
	maxFailedShare = 0.5
	minRuns        = 3
	// firstPause is how long a worker is avoided before it is tried again. Each time it fails
	// again the next pause is twice as long, up to maxPause.
	firstPause = 2 * time.Second
	maxPause   = 10 * time.Second
	// maxSlowness limits the weight of one run: 100 times the expected duration tells no more
	// than 10 times.
	maxSlowness = 2.3
	// maxAvoidedShare is the largest part of a service's workers that may be avoided. If more fail,
	// the workers are probably not the cause, and the others would be overloaded.
	maxAvoidedShare = 0.4
)

// NewHealth returns a Health without observations.
func NewHealth() *Health { return &Health{workers: make(map[string]*workerHealth)} }

func (h *Health) healthOf(worker string) *workerHealth {
	c := h.workers[worker]
	if c == nil {
		c = &workerHealth{nextPause: firstPause}
		h.workers[worker] = c
	}
	return c
}

// RecordEnd records the end of a run. tookMS and expectedMS are 0 if they are not known. Outcomes
// other than done and failed are ignored.
func (h *Health) RecordEnd(worker string, o jobs.Outcome, tookMS int64, expectedMS float64, now time.Time) {
	if o != jobs.OutcomeDone && o != jobs.OutcomeFailed {
		return
	}
	c := h.healthOf(worker)
	c.runs = math.Min(c.runs+1, healthWindow)
	failure := 0.0
	if o == jobs.OutcomeFailed {
		failure = 1
	}
	c.failedShare += (failure - c.failedShare) / c.runs
	if tookMS > 0 && expectedMS > 0 {
		ratio := math.Log(float64(tookMS) / expectedMS)
		c.slowness += (math.Min(math.Max(ratio, -maxSlowness), maxSlowness) - c.slowness) / c.runs
	}
	h.evaluate(c, now)
}

// RecordStuck records that a run on the worker makes no progress.
func (h *Health) RecordStuck(worker string, now time.Time) {
	c := h.healthOf(worker)
	c.runs = math.Min(c.runs+1, healthWindow)
	c.failedShare += (1 - c.failedShare) / c.runs
	h.evaluate(c, now)
}

func (h *Health) evaluate(c *workerHealth, now time.Time) {
	if c.runs < minRuns || c.failedShare < maxFailedShare || now.Before(c.avoidedUntil) {
		return
	}
	c.avoidedUntil = now.Add(c.nextPause)
	c.nextPause = min(2*c.nextPause, maxPause)
	c.runs, c.failedShare = 1, maxFailedShare // two successful runs clear the worker, two failed ones pause it again
}

// Slowness returns how much longer than expected a worker's runs take, as a natural logarithm. It
// is 0 if the worker isn't slow or has too few runs.
func (h *Health) Slowness(worker string) float64 {
	c := h.workers[worker]
	if c == nil || c.runs < minRuns {
		return 0
	}
	return math.Max(c.slowness, 0)
}

// Avoided returns those of the given workers that are to be avoided now. Of a service of which
// more than maxAvoidedShare fail it returns none; tasks can't move to another service's workers.
func (h *Health) Avoided(workers map[string]*jobs.Worker, now time.Time) map[string]bool {
	out := make(map[string]bool)
	failing := make(map[string]int) // by service
	for id, c := range h.workers {
		if w := workers[id]; w != nil && now.Before(c.avoidedUntil) {
			out[id] = true
			failing[w.Service]++
		}
	}
	if len(out) == 0 {
		return out
	}
	all := make(map[string]int) // by service
	for _, w := range workers {
		all[w.Service]++
	}
	maps.DeleteFunc(out, func(id string, _ bool) bool {
		service := workers[id].Service
		return float64(failing[service]) > maxAvoidedShare*float64(all[service])
	})
	return out
}

// Forget removes a worker that no longer exists.
func (h *Health) Forget(worker string) { delete(h.workers, worker) }
