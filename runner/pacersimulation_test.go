package runner

import (
	"math"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/ablation"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/learned"
)

// readingInterval is the time that one reading covers.
const readingInterval = 500 * time.Millisecond

// simulation is a worker with watchers, the serving tasks of one job, and renders of different
// images, which are filling tasks. A watcher's tail is that of a queue: its headroom, target
// divided by tail, decreases linearly with its own load and with what each render takes.
type simulation struct {
	t        *testing.T
	p        *pacer
	now      time.Time
	orders   map[jobs.Ref]jobs.Order
	renders  []string
	pace     map[string]int     // as the worker was told, by image
	own      float64            // headroom of the watchers without renders
	lower    []float64          // by how much each watcher's own headroom is lower than that; one entry for each
	since    []time.Time        // since when each watcher has been over its target, zero if it isn't
	longest  time.Duration      // for which a watcher was over its target on end
	pressure map[string]float64 // headroom taken by each processor in use, by image
	tail     float64            // ms; if above 0, the tail is fixed at this value
	errors   []float64          // of the readings of tails, relative, in turn
	reads    int
	over     time.Duration // how long the first watcher was over its target
}

const renderProcessors = 8 // of each render

func newSimulation(t *testing.T) *simulation {
	s := &simulation{t: t, p: newPacer(ablation.Set{}), now: time.Unix(0, 0), orders: make(map[jobs.Ref]jobs.Order), pace: make(map[string]int),
		own: 3, lower: []float64{0}, since: []time.Time{{}}, pressure: map[string]float64{"heavy": 0.2, "light": 0.005, "fresh": 0.2}}
	s.orders[jobs.Ref{Job: "watch"}] = jobs.Order{TargetMS: 50, Image: "watch"}
	for _, image := range []string{"heavy", "light", "fresh"} {
		s.orders[jobs.Ref{Job: image}] = jobs.Order{Fills: true, Image: image, MilliCPU: renderProcessors * 1000}
	}
	s.renders = []string{"heavy", "light"}
	s.pace["heavy"], s.pace["light"] = fullPace, fullPace
	return s
}

// learnCosts gives the pacer well-measured costs of the images, as a leader does.
func (s *simulation) learnCosts(images ...string) {
	for _, image := range images {
		s.p.learn([]learned.PairCost{{Serving: "watch", Filling: image, Cost: s.pressure[image], Var: 0.0001, Seen: 30}})
	}
}

// headroom returns the first watcher's headroom at the current paces.
func (s *simulation) headroom() float64 { return s.headroomOf(0) }

func (s *simulation) headroomOf(watcher int) float64 {
	h := s.own - s.lower[watcher]
	for _, image := range s.renders {
		h -= s.pressure[image] * s.use(image)
	}
	return math.Max(h, 0.05)
}

func (s *simulation) use(image string) float64 {
	return renderProcessors * float64(s.pace[image]) / fullPace
}

func (s *simulation) lookup(r jobs.Ref, _ uint32) (jobs.Order, bool) {
	o, ok := s.orders[jobs.Ref{Job: r.Job}]
	return o, ok
}

func (s *simulation) read() { s.readAfter(readingInterval) }

// readAfter lets time pass at the current paces, and then passes a reading to the pacer.
func (s *simulation) readAfter(d time.Duration) {
	var running []RunningRun
	for i := range s.lower {
		tail := s.tail
		if tail == 0 {
			tail = 50 / s.headroomOf(i)
		}
		s.count(i, tail > 50, d)
		if len(s.errors) > 0 {
			tail *= 1 + s.errors[s.reads%len(s.errors)]
		}
		running = append(running, RunningRun{Task: jobs.Ref{Job: "watch", Index: i}, Run: 1, Measured: tail})
	}
	s.now, s.reads = s.now.Add(d), s.reads+1
	for _, image := range s.renders {
		running = append(running, RunningRun{Task: jobs.Ref{Job: image}, Run: 1, Measured: s.use(image) * milliPerProcessor})
	}
	s.apply(s.p.next(s.now, running, s.lookup))
}

// count adds a period in which a watcher was over its target, or was not.
func (s *simulation) count(watcher int, over bool, d time.Duration) {
	switch {
	case !over:
		s.since[watcher] = time.Time{}
		return
	case s.since[watcher].IsZero():
		s.since[watcher] = s.now
	}
	s.longest = max(s.longest, s.now.Add(d).Sub(s.since[watcher]))
	if watcher == 0 {
		s.over += d
	}
}

// addWatcher adds a watcher of the same job.
func (s *simulation) addWatcher(lower float64) {
	s.lower, s.since = append(s.lower, lower), append(s.since, time.Time{})
}

func (s *simulation) apply(calls []PaceCall) {
	for _, c := range calls {
		s.pace[c.Task.Job] = c.Percent
	}
}

// begin starts a render between two readings.
func (s *simulation) begin(image string) {
	s.renders, s.pace[image] = append(s.renders, image), fullPace
	key := runKey{jobs.Ref{Job: image}, 1}
	s.apply(s.p.begin(s.now, key, s.orders[key.task]))
}

// allStopped reports whether every render has stopped.
func (s *simulation) allStopped() bool {
	for _, image := range s.renders {
		if s.pace[image] > 0 {
			return false
		}
	}
	return true
}
