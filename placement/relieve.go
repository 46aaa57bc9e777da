package placement

import (
	"math"
	"sort"

	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

// Tuning of evictions.
const (
	// lateReports is how many reports in a row must be above the bound
	// before a task is evicted: one may be chance.
	lateReports = 2
	// moveCost is the time in milliseconds that a checkpoint, a stop and a
	// start elsewhere take. What ends sooner is not worth moving.
	moveCost = 30_000
	// hysteresis is the factor above the tolerated slowdown at which relief
	// begins, so that a worker just at it is left alone.
	hysteresis = 1.05
)

// makeRoom evicts from one worker what an urgent task needs. The task itself
// is placed by a later pass, when the worker has confirmed the stops; being
// urgent it is then the first to choose.
func (p *planner) makeRoom(t *lease.Task) {
	best, bestLoss := []Running(nil), math.Inf(1)
	bestWorker := -1
	for _, i := range p.open {
		victims, loss := p.victims(t.Need, &p.workers[i])
		if victims != nil && loss < bestLoss {
			best, bestLoss, bestWorker = victims, loss, i
		}
	}
	if bestWorker < 0 {
		return
	}
	w := &p.workers[bestWorker]
	for _, r := range best {
		p.evict(r)
	}
	// Reserve what is being freed, so that the next urgent task in this pass
	// asks for more and does not count on the same room.
	w.Free = w.Free.Sub(t.Need)
	w.Running = nil
}

// victims returns the cheapest few tasks whose room, with what is free, holds
// need. Room that is already being freed counts, so that a second pass does
// not evict more before the first stop is confirmed.
func (p *planner) victims(need resource.Vector, w *Worker) ([]Running, float64) {
	if !need.Fits(w.Total) {
		return nil, 0
	}
	room := w.Free
	var movable []Running
	for _, r := range w.Running {
		if !r.Evictable {
			room = room.Add(r.Need)
		} else if !r.Urgent {
			movable = append(movable, r)
		}
	}
	if need.Fits(room) {
		return []Running{}, 0
	}
	sort.Slice(movable, func(i, j int) bool { return lostWork(movable[i]) < lostWork(movable[j]) })
	var out []Running
	loss := 0.0
	for _, r := range movable {
		if len(out) == urgentEvictions {
			return nil, 0
		}
		out, room, loss = append(out, r), room.Add(r.Need), loss+lostWork(r)
		if need.Fits(room) {
			return out, loss
		}
	}
	return nil, 0
}

// lostWork is what evicting an attempt costs: processor time for the move.
func lostWork(r Running) float64 {
	return float64(r.Need.MilliCPU) * moveCost
}

func (p *planner) evict(r Running) {
	p.plan.Evictions = append(p.plan.Evictions, lease.Eviction{Task: r.Task, Attempt: r.Attempt})
}

// relieveAll acts where a service has been late for several reports, and lets
// throttled tasks go on where it no longer is.
func (p *planner) relieveAll() {
	for i := range p.s.Workers {
		w := &p.s.Workers[i]
		switch {
		case w.Evacuate:
			p.evacuate(w)
		case w.Drained:
			p.drain(w)
		case w.Service == "":
		case w.Late >= lateReports && p.felt(i) > w.Preset.MaxSlowdown*leeway(w.Preset)*hysteresis:
			p.relieve(w)
		case w.Late == 0:
			p.release(i)
		}
	}
}

// felt is the slowdown to act on: the measured one, which is noisy, and the one
// that the model expects of what runs there, at half weight each. Acting on the
// measurement alone evicts for noise; the model alone would never be corrected.
func (p *planner) felt(i int) float64 {
	return math.Sqrt(p.s.Workers[i].Slowdown * math.Exp(p.pressure(i)))
}

func (p *planner) evacuate(w *Worker) {
	for _, r := range w.Running {
		if r.Evictable {
			p.evict(r)
		}
	}
}

// drain moves off a worker what has room elsewhere. The worker stays as long as something
// runs there, so a task that fits nowhere else loses nothing by going on.
func (p *planner) drain(w *Worker) {
	for _, r := range w.Running {
		if r.Evictable && p.reserveElsewhere(r.Need) {
			p.evict(r)
		}
	}
}

// reserveElsewhere takes room for a task on an open worker, and reports whether there is any.
func (p *planner) reserveElsewhere(need resource.Vector) bool {
	for _, i := range p.open {
		if w := &p.workers[i]; need.Fits(w.Free) {
			w.Free = w.Free.Sub(need)
			return true
		}
	}
	return false
}

// relieve takes the next step against the task that buys most relief for the
// work lost, if the tasks are what slows the service down at all: a throttle
// first, an eviction if it is throttled already.
func (p *planner) relieve(w *Worker) {
	best, bestValue := -1, 0.0
	for i, r := range w.Running {
		if !r.Evictable {
			return // wait for the effect of the last eviction
		}
		if r.Urgent || p.needsSpeed(w, r) {
			continue
		}
		relief := costOf(p.s.Costs, w, r)
		if value := relief / (1 + lostWork(r)/1e6); relief > minRelief && value > bestValue {
			best, bestValue = i, value
		}
	}
	if best < 0 {
		return
	}
	switch r := w.Running[best]; {
	case !r.Throttled:
		p.plan.Throttle = append(p.plan.Throttle, Attempt{r.Task, r.Attempt, w.Agent})
	case p.worthMoving(r):
		p.evict(r)
	}
}

// needsSpeed reports whether a task would miss its deadline at the throttled
// speed, under a preset that does not weigh tail latency alone.
func (p *planner) needsSpeed(w *Worker, r Running) bool {
	if r.Deadline == 0 || w.Preset.TailWeight == 1 {
		return false
	}
	left := max(r.Expected-(p.s.Now-r.Started), moveCost)
	return p.s.Now+int64(float64(left)/throttledSpeed) > r.Deadline
}

// release lets one throttled task go on at full speed, if the service is
// expected to bear it or the task needs it.
func (p *planner) release(i int) {
	w := &p.s.Workers[i]
	bound := math.Log(w.Preset.MaxSlowdown * leeway(w.Preset))
	for _, r := range w.Running {
		if r.Throttled && (p.pressure(i)+costOf(p.s.Costs, w, r) <= bound || p.needsSpeed(w, r)) {
			p.plan.Release = append(p.plan.Release, Attempt{r.Task, r.Attempt, w.Agent})
			return
		}
	}
}

// throttledSpeed is the part of its speed at which a throttled task runs.
const throttledSpeed = 0.5

// minRelief is the logarithmic slowdown below which an eviction buys nothing
// that can be measured.
const minRelief = 0.02

// worthMoving excludes what ends sooner than the move pays, and what would
// miss its deadline for it.
func (p *planner) worthMoving(r Running) bool {
	left := r.Expected - (p.s.Now - r.Started)
	if r.Urgent || left < 2*moveCost {
		return false
	}
	return r.Deadline == 0 || p.s.Now+left+2*moveCost < r.Deadline
}
