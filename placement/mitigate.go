package placement

import (
	"math"
	"sort"

	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

// Parameters of mitigation and eviction.
const (
	// minLateReports is how many consecutive reports must be above the bound before a task is
	// throttled or evicted. A single one may be noise.
	minLateReports = 2
	// moveTimeMS is the time that a checkpoint, a stop and a start on another worker take
	// together. A task that ends sooner is not worth moving.
	moveTimeMS = 30_000
	// hysteresis is the factor above the tolerated slowdown at which mitigation begins, so that a
	// worker just at the limit is left unchanged.
	hysteresis = 1.05
)

// preemptFor evicts tasks from one worker to free the capacity that an urgent task needs. The
// urgent task itself is placed by a later pass, after the worker has confirmed the stops; urgent
// tasks are placed first.
func (p *planner) preemptFor(t *lease.Task) {
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
	// Reserve the capacity being freed, so that the next urgent task in this pass frees more
	// instead of counting on it as well.
	w.Free = w.Free.Sub(t.Need)
	w.Running = nil
}

// victims returns the tasks to evict from a worker, the cheapest first, until the freed capacity
// together with the free capacity holds need, and the work lost. It returns nil if that is
// impossible. Capacity that is already being freed counts, so that a second pass doesn't evict
// more before the first stop is confirmed.
func (p *planner) victims(need resource.Vector, w *Worker) ([]Running, float64) {
	if !need.Fits(w.Total) {
		return nil, 0
	}
	available := w.Free
	var movable []Running
	for _, r := range w.Running {
		if !r.Evictable {
			available = available.Add(r.Need)
		} else if !r.Urgent {
			movable = append(movable, r)
		}
	}
	if need.Fits(available) {
		return []Running{}, 0
	}
	sort.Slice(movable, func(i, j int) bool { return lostWork(movable[i]) < lostWork(movable[j]) })
	var out []Running
	loss := 0.0
	for _, r := range movable {
		if len(out) == maxUrgentEvictions {
			return nil, 0
		}
		out, available, loss = append(out, r), available.Add(r.Need), loss+lostWork(r)
		if need.Fits(available) {
			return out, loss
		}
	}
	return nil, 0
}

// lostWork returns the cost of evicting an attempt: the processor time that the move takes.
func lostWork(r Running) float64 {
	return float64(r.Need.MilliCPU) * moveTimeMS
}

func (p *planner) evict(r Running) {
	p.plan.Evictions = append(p.plan.Evictions, lease.Eviction{Task: r.Task, Attempt: r.Attempt})
}

// mitigateAll evicts tasks from workers that are leaving or drained, throttles or evicts tasks
// where the service has been late for several reports, and releases throttled tasks where it is
// late no longer.
func (p *planner) mitigateAll() {
	for i := range p.s.Workers {
		w := &p.s.Workers[i]
		switch {
		case w.Evacuate:
			p.evacuate(w)
		case w.Drained:
			p.drain(w)
		case w.Service == "":
		case w.Late >= minLateReports && p.effectiveSlowdown(i) > w.Preset.MaxSlowdown*leeway(w.Preset)*hysteresis:
			p.mitigate(w)
		case w.Late == 0:
			p.release(i)
		}
	}
}

// effectiveSlowdown returns the geometric mean of the measured slowdown, which is noisy, and the
// one that the model predicts for the running tasks. With the measurement alone, tasks would be
// evicted because of noise; with the model alone, its errors would never be corrected.
func (p *planner) effectiveSlowdown(i int) float64 {
	return math.Sqrt(p.s.Workers[i].Slowdown * math.Exp(p.pressure(i)))
}

func (p *planner) evacuate(w *Worker) {
	for _, r := range w.Running {
		if r.Evictable {
			p.evict(r)
		}
	}
}

// drain evicts the tasks on a worker that fit elsewhere. The worker stays as long as tasks run on
// it, so a task that fits nowhere else loses nothing by continuing.
func (p *planner) drain(w *Worker) {
	for _, r := range w.Running {
		if r.Evictable && p.reserveElsewhere(r.Need) {
			p.evict(r)
		}
	}
}

// reserveElsewhere reserves capacity for a task on an open worker and reports whether there is
// any.
func (p *planner) reserveElsewhere(need resource.Vector) bool {
	for _, i := range p.open {
		if w := &p.workers[i]; need.Fits(w.Free) {
			w.Free = w.Free.Sub(need)
			return true
		}
	}
	return false
}

// mitigate acts on the task whose cost is highest relative to the work lost, unless the tasks'
// costs are too small to explain the slowdown. It throttles the task or, if it is throttled
// already, evicts it.
func (p *planner) mitigate(w *Worker) {
	best, bestValue := -1, 0.0
	for i, r := range w.Running {
		if !r.Evictable {
			return // wait for the effect of the previous eviction
		}
		if r.Urgent || p.needsFullSpeed(w, r) {
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

// needsFullSpeed reports whether a task would miss its deadline at the throttled speed, under a
// preset that doesn't weigh tail latency alone.
func (p *planner) needsFullSpeed(w *Worker, r Running) bool {
	if r.Deadline == 0 || w.Preset.TailWeight == 1 {
		return false
	}
	left := max(r.Expected-(p.s.Now-r.Started), moveTimeMS)
	return p.s.Now+int64(float64(left)/throttledSpeed) > r.Deadline
}

// release returns one throttled task to full speed if the predicted slowdown stays within the
// bound or the task would otherwise miss its deadline.
func (p *planner) release(i int) {
	w := &p.s.Workers[i]
	bound := math.Log(w.Preset.MaxSlowdown * leeway(w.Preset))
	for _, r := range w.Running {
		if r.Throttled && (p.pressure(i)+costOf(p.s.Costs, w, r) <= bound || p.needsFullSpeed(w, r)) {
			p.plan.Release = append(p.plan.Release, Attempt{r.Task, r.Attempt, w.Agent})
			return
		}
	}
}

// throttledSpeed is the part of its full speed at which a throttled task runs.
const throttledSpeed = 0.5

// minRelief is the logarithmic slowdown below which the effect of throttling or evicting a task
// can't be measured.
const minRelief = 0.02

// worthMoving reports whether evicting a task pays off: it doesn't for urgent tasks, tasks that
// end within twice the time that the move takes, and tasks that would miss their deadline because
// of it.
func (p *planner) worthMoving(r Running) bool {
	left := r.Expected - (p.s.Now - r.Started)
	if r.Urgent || left < 2*moveTimeMS {
		return false
	}
	return r.Deadline == 0 || p.s.Now+left+2*moveTimeMS < r.Deadline
}
