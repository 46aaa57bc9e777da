package upkeep

import "time"

// Machine is one as the platform lists it.
type Machine struct {
	Name string `json:"name"`
	Pool string `json:"pool"` // the service whose workers it makes
	// Up says that it is neither moving, nor in upkeep, nor down.
	Up bool `json:"up"`
	// Worker is the life that it makes now, "" for none.
	Worker string `json:"worker"`
}

// Input is what a decision is made from.
type Input struct {
	State *State
	// Machines are as they were listed a moment ago.
	Machines []Machine
	NowMS    int64
	// Upkeep is how long a machine is down.
	Upkeep time.Duration
	// Empty reports whether nothing is at work on a worker, and Spared whether it may
	// be ended now: not while that took more standing tasks of a step away than its
	// caller allows.
	Empty  func(worker string) bool
	Spared func(worker string) bool
}

// Decision is what to commit, and the machines to order down after it.
type Decision struct {
	Marks  []Mark
	Orders []Order
}

// Order tells the platform to take a machine down.
type Order struct {
	Wave    uint64
	Machine string
}

const (
	// leastPatience is how long a worker gets to run empty at least: most tasks that
	// come and go take less, and standing ones are at work elsewhere by then.
	leastPatience = 2 * time.Second
	// mostPatience bounds it. What still runs then has saved its progress or never will.
	mostPatience = 30 * time.Second
	// changeover is the time between a machine's return and the next one's order: the
	// list is read twice a second, and two marks are committed.
	changeover = time.Second
	// listLag is how far the platform's list may be behind. A machine that is up this
	// long after its upkeep has come back, also when its new worker was seen before the
	// order's answer was.
	listLag = 3 * time.Second
)

// Next decides for every wave that is not over.
func Next(in Input) Decision {
	var d Decision
	listed := make(map[string]*Machine, len(in.Machines))
	for i := range in.Machines {
		listed[in.Machines[i].Name] = &in.Machines[i]
	}
	for _, n := range in.State.numbers() {
		in.wave(in.State.Waves[n], listed, &d)
	}
	return d
}

func (in *Input) wave(r *Running, listed map[string]*Machine, d *Decision) {
	out := r.out()
	for i := range r.Machines {
		p := &r.Machines[i]
		mark := func(phase Phase, worker string) {
			d.Marks = append(d.Marks, Mark{Wave: r.Wave.Number, Machine: p.Machine, Phase: phase, Worker: worker, AtMS: in.NowMS})
		}
		m := listed[p.Machine]
		if m == nil {
			// It may be gone, or the list be late. The platform's answer to an
			// order tells.
			m = &Machine{Name: p.Machine, Up: true}
		}
		switch {
		case p.Phase == Waiting && m.Up && out < r.Wave.MaxConcurrent:
			out++
			mark(Emptying, m.Worker)
		case (p.Phase == Emptying || p.Phase == Ordered) && m.Worker != "" && m.Worker != p.Worker:
			// The worker was started anew; what it has been given since has to
			// leave it first.
			mark(p.Phase, m.Worker)
		case p.Phase == Emptying && in.ready(r, p):
			mark(Ordered, "")
			d.Orders = append(d.Orders, Order{r.Wave.Number, p.Machine})
		case p.Phase == Ordered && in.mayEnd(p.Worker):
			// Whether an earlier order was carried out is not known; it can be
			// sent again.
			d.Orders = append(d.Orders, Order{r.Wave.Number, p.Machine})
		case p.Phase == Down && m.Up && (m.Worker != p.Worker || in.since(p) > in.Upkeep+listLag):
			mark(Back, "")
		}
	}
}

func (in *Input) since(p *Progress) time.Duration {
	return time.Duration(in.NowMS-p.SinceMS) * time.Millisecond
}

// mayEnd reports whether a worker may be ended now.
func (in *Input) mayEnd(worker string) bool {
	return worker == "" || in.Empty(worker) || in.Spared(worker)
}

// ready reports whether a machine that is being emptied can go down.
func (in *Input) ready(r *Running, p *Progress) bool {
	if p.Worker == "" || in.Empty(p.Worker) {
		return true
	}
	return in.since(p) >= in.patience(r, p.SinceMS) && in.Spared(p.Worker)
}

// patience is how long a machine may take to run empty so that the whole wave is in
// time: its share of the time that was left when it began to, less what it is down for.
func (in *Input) patience(r *Running, sinceMS int64) time.Duration {
	left := 0
	for i := range r.Machines {
		if r.Machines[i].Phase < Ordered {
			left++
		}
	}
	turns := (left + r.Wave.MaxConcurrent - 1) / r.Wave.MaxConcurrent
	if turns == 0 {
		return leastPatience
	}
	rest := time.Duration(r.StartedMS+r.Wave.DurationMS-sinceMS) * time.Millisecond
	return min(max(rest/time.Duration(turns)-in.Upkeep-changeover, leastPatience), mostPatience)
}
