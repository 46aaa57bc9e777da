package standin

import (
	"hash/fnv"
	"math"
	"time"

	"github.com/waxwinghaven/waxwinghaven/runner"
)

// A run whose payload sets "serves" serves users and has a tail latency with that target, in ms.
// Its headroom, target divided by tail, swings around "own" without filling work; each processor
// that a filling run uses beside it takes as much as that run's "takes" says. One task of a job
// has a burst of load of its own after another, which takes burstHeadroom from it alone.
const (
	swingHeadroom = 0.9
	swingPeriod   = 14 * time.Second
	burstHeadroom = 0.6
	burstTime     = 5 * time.Second
	// burstTasks is the number of tasks that have their bursts in turn.
	burstTasks = 6
	// minTailHeadroom bounds tails, so that an overloaded task has a finite one.
	minTailHeadroom = 0.05
	// tailWindow is the period over which a reported tail and use are averaged, and tailStep the
	// granularity at which they are simulated.
	tailWindow = 500 * time.Millisecond
	tailStep   = 50 * time.Millisecond
	// paceDelay is the time until a pace takes effect.
	paceDelay = 100 * time.Millisecond
)

const fullPace = 100 // percent

// interference is the part of a run that the tails of served runs depend on.
type interference struct {
	targetMS float64 // of a served run, 0 for any other
	own      float64 // headroom of a served run without filling work
	takes    float64 // headroom that one processor of a filling run takes, 0 for any other
	pace     int     // percent
	nextPace int     // takes effect at paceAt
	paceAt   time.Time
	window   []float64 // headroom of a served run, processors of a filling run, by tailStep
	over     time.Duration
}

// processors returns what a filling run uses at its pace.
func (r *activeRun) processors() float64 {
	return float64(r.milliCPU) / 1000 * float64(r.pace) / fullPace
}

// ownHeadroom returns the headroom that a served run would have without filling work.
func (r *activeRun) ownHeadroom(id runID, sinceStart time.Duration) float64 {
	h := fnv.New32a()
	h.Write([]byte(id.task.Job))
	own := r.own + swingHeadroom*math.Sin(2*math.Pi*sinceStart.Seconds()/swingPeriod.Seconds())
	turn := int(sinceStart/burstTime) + int(h.Sum32()%burstTasks)
	if turn%burstTasks == id.task.Index%burstTasks {
		own -= burstHeadroom
	}
	return own
}

// advance simulates tails and uses up to now.
func (w *Runs) advance() {
	for ; time.Since(w.tailsUntil) >= tailStep; w.tailsUntil = w.tailsUntil.Add(tailStep) {
		w.step(w.tailsUntil)
	}
}

func (w *Runs) step(at time.Time) {
	taken := 0.0
	for _, r := range w.running {
		if r.takes == 0 {
			continue
		}
		if !at.Before(r.paceAt) {
			r.pace = r.nextPace
		}
		taken += r.takes * r.processors()
		r.record(r.processors())
	}
	for id, r := range w.running {
		if r.targetMS == 0 {
			continue
		}
		own := r.ownHeadroom(id, at.Sub(w.started))
		r.record(math.Max(own-taken, minTailHeadroom))
		if own < 1 || own-taken >= 1 {
			r.over = 0
			continue
		}
		r.over += tailStep
		w.longestOver = max(w.longestOver, r.over)
	}
}

func (r *activeRun) record(v float64) {
	r.window = append(r.window, v)
	if n := int(tailWindow / tailStep); len(r.window) > n {
		r.window = r.window[len(r.window)-n:]
	}
}

// measured returns the figure that the worker reports for the run: a tail in ms, or the use in
// thousandths of a processor.
func (r *activeRun) measured() float64 {
	if len(r.window) == 0 || r.targetMS+r.takes == 0 {
		return 0
	}
	sum := 0.0
	for _, v := range r.window {
		sum += v
	}
	mean := sum / float64(len(r.window))
	if r.targetMS > 0 {
		return math.Round(r.targetMS / mean)
	}
	return math.Round(mean * 1000)
}

// setPace sets the pace of a run.
func (w *Runs) setPace(c runner.PaceCall) {
	if r := w.running[runID{c.Task, c.Run}]; r != nil {
		r.nextPace, r.paceAt = c.Percent, time.Now().Add(paceDelay)
	}
}

// LongestOver returns the longest time for which filling work kept a served run over its target
// without interruption.
func (w *Runs) LongestOver() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return w.longestOver
}
