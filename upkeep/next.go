package upkeep

import "time"

// Machine is a machine as the platform lists it.
type Machine struct {
	Name string `json:"name"`
	Pool string `json:"pool"` // the service whose workers the machine runs
	// Up is set if the machine is neither being moved, nor in upkeep, nor down.
	Up bool `json:"up"`
	// Worker is the id of the worker that it runs now, "" for none. It changes with each
	// restart.
	Worker string `json:"worker"`
}

// Input is what Next decides from.
type Input struct {
	State *State
	// Machines is a recent list of the platform's machines.
	Machines []Machine
	NowMS    int64
	// Upkeep is how long a machine is down for its upkeep.
	Upkeep time.Duration
	// Empty reports whether nothing runs on a worker. MayStop reports whether a worker may be down
	// beside others: it may not while this would make more standing tasks of a step unavailable
	// than its caller allows.
	Empty   func(worker string) bool
	MayStop func(worker string, down []string) bool
}

// Decision is what to commit, and the orders to send to the platform after the commit.
type Decision struct {
	Marks  []Mark
	Orders []Order
	// down are the workers whose machines were or are ordered to go down. Their runs may still count
	// as running.
	down []string
}

// Order tells the platform to take a machine down for a wave.
type Order struct {
	Wave    uint64
	Machine string
}

// Times within which Next moves a machine on.
const (
	// minDrainTime is the least time that a worker is given to become empty: most short tasks
	// end within it, and standing tasks have been moved by then.
	minDrainTime = 2 * time.Second
	// maxDrainTime bounds that time. Tasks that still run then have saved their progress or
	// never will.
	maxDrainTime = 30 * time.Second
	// handoverTime is the time between a machine's return and the next machine's order: the list
	// is read twice a second, and two marks are committed.
	handoverTime = time.Second
	// listLag is how far the platform's list may lag. A machine that is listed as up this long
	// after its upkeep has returned, even if its new worker was noted before the order was
	// confirmed.
	listLag = 3 * time.Second
)

// Next decides on the next marks and orders of every wave that has not finished.
func Next(in Input) Decision {
	d := Decision{down: in.State.Ordered()}
	listed := make(map[string]*Machine, len(in.Machines))
	for i := range in.Machines {
		listed[in.Machines[i].Name] = &in.Machines[i]
	}
	for _, n := range in.State.numbers() {
		in.planWave(in.State.Waves[n], listed, &d)
	}
	return d
}

func (in *Input) planWave(r *WaveProgress, listed map[string]*Machine, d *Decision) {
	active := r.active()
	for i := range r.Machines {
		p := &r.Machines[i]
		mark := func(phase Phase, worker string) {
			d.Marks = append(d.Marks, Mark{Wave: r.Wave.Number, Machine: p.Machine, Phase: phase, Worker: worker, AtMS: in.NowMS})
		}
		m := listed[p.Machine]
		if m == nil {
			// The machine may have been removed, or the list may lag. The platform's
			// answer to an order tells which.
			m = &Machine{Name: p.Machine, Up: true}
		}
		switch {
		case p.Phase == Waiting && m.Up && active < r.Wave.MaxConcurrent:
			active++
			mark(Emptying, m.Worker)
		case (p.Phase == Emptying || p.Phase == Ordered) && m.Worker != "" && m.Worker != p.Worker:
			// The worker has restarted. It has to be emptied of the tasks that it was
			// given since.
			mark(p.Phase, m.Worker)
		case p.Phase == Emptying && in.readyToStop(r, p, d.down):
			d.down = append(d.down, p.Worker)
			mark(Ordered, "")
			d.Orders = append(d.Orders, Order{r.Wave.Number, p.Machine})
		case p.Phase == Ordered && in.mayStop(p.Worker, in.State.orderedBefore(r, i)):
			// It is unknown whether an earlier order was carried out. Orders are
			// idempotent and can be sent again.
			d.Orders = append(d.Orders, Order{r.Wave.Number, p.Machine})
		case p.Phase == Down && m.Up && (m.Worker != p.Worker || in.timeInPhase(p) > in.Upkeep+listLag):
			mark(Back, "")
		}
	}
}

func (in *Input) timeInPhase(p *Progress) time.Duration {
	return time.Duration(in.NowMS-p.SinceMS) * time.Millisecond
}

// mayStop reports whether the order to stop a worker may be sent again.
func (in *Input) mayStop(worker string, down []string) bool {
	return worker == "" || in.Empty(worker) || in.MayStop(worker, down)
}

// readyToStop reports whether a machine that is being emptied can go down beside those that are
// ordered to.
func (in *Input) readyToStop(r *WaveProgress, p *Progress, down []string) bool {
	if p.Worker == "" || in.Empty(p.Worker) {
		return true
	}
	return in.timeInPhase(p) >= in.drainTime(r, p.SinceMS) && in.MayStop(p.Worker, down)
}

// drainTime returns how long a machine may take to become empty without delaying the wave: its share
// of the time left when it began, less the time for which it is down.
func (in *Input) drainTime(r *WaveProgress, sinceMS int64) time.Duration {
	left := 0
	for i := range r.Machines {
		if r.Machines[i].Phase < Ordered {
			left++
		}
	}
	rounds := (left + r.Wave.MaxConcurrent - 1) / r.Wave.MaxConcurrent
	if rounds == 0 {
		return minDrainTime
	}
	remaining := time.Duration(r.StartedMS+r.Wave.DurationMS-sinceMS) * time.Millisecond
	return min(max(remaining/time.Duration(rounds)-in.Upkeep-handoverTime, minDrainTime), maxDrainTime)
}
