// Package agent is the process beside each upstream. It alone opens connections
// to the upstream and gives tasks to the worker, so what they can hold is
// guarded in one place, however many entries and control replicas there are.
package agent

import (
	"sort"

	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/resource"
	"github.com/waxwinghaven/waxwinghaven/worker"
)

// Ledger is the agent's pure book of task attempts: the control's orders on one
// side, the worker's report on the other, and what follows from the two.
type Ledger struct {
	boot     string
	capacity resource.Vector
	orders   map[string]lease.Order
	report   map[worker.Ref]worker.TaskReport
	throttle []string
	// cordoned says that the data centre is out of service: what was ordered and has not
	// begun is given back.
	cordoned bool
}

// NewLedger returns an empty book.
func NewLedger() *Ledger {
	return &Ledger{orders: make(map[string]lease.Order), report: make(map[worker.Ref]worker.TaskReport)}
}

// Observe takes in a worker's report. A new boot ends all that was ordered
// under the old one: the control learns it from the next announcement.
func (l *Ledger) Observe(r worker.Report) {
	if r.Boot != l.boot {
		l.boot = r.Boot
		l.orders = make(map[string]lease.Order)
	}
	l.capacity = r.Capacity
	l.report = make(map[worker.Ref]worker.TaskReport, len(r.Tasks))
	for _, t := range r.Tasks {
		l.report[worker.Ref{Task: t.Task, Attempt: t.Attempt}] = t
	}
}

// Boot returns the worker's boot, "" before the first report.
func (l *Ledger) Boot() string { return l.boot }

// Capacity returns the worker's own word of what it can hold.
func (l *Ledger) Capacity() resource.Vector { return l.capacity }

// Digest sums up the orders held.
func (l *Ledger) Digest() uint64 {
	list := make([]lease.Order, 0, len(l.orders))
	for _, o := range l.orders {
		list = append(list, o)
	}
	return lease.Digest(list)
}

// Ends returns the ends that the control has not taken in yet. They are told
// again until the control's orders no longer name the attempt.
func (l *Ledger) Ends() []lease.End {
	var out []lease.End
	for _, o := range l.orders {
		t, ok := l.report[refOf(o)]
		switch {
		case ok && !t.Running:
			out = append(out, lease.End{Task: o.Task, Attempt: o.Attempt, Outcome: t.Outcome, Checkpoint: t.Checkpoint, Reason: t.Reason})
		case !ok && o.Stop == lease.StopNone && !o.Need.Fits(l.capacity):
			out = append(out, lease.End{Task: o.Task, Attempt: o.Attempt, Outcome: lease.OutcomeRejected, Reason: "the worker is too small"})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Task < out[j].Task })
	return out
}

func refOf(o lease.Order) worker.Ref { return worker.Ref{Task: o.Task, Attempt: o.Attempt} }

// Replace takes over the control's orders. boot is the one that the renewal
// named; orders for another boot would start tasks on the wrong worker.
func (l *Ledger) Replace(boot string, orders []lease.Order) {
	if boot != l.boot {
		return
	}
	l.orders = make(map[string]lease.Order, len(orders))
	for _, o := range orders {
		l.orders[o.Task] = o
	}
}

// Cordon takes in whether the data centre is out of service.
func (l *Ledger) Cordon(cordoned bool) { l.cordoned = cordoned }

// Cordoned returns what Cordon took in last.
func (l *Ledger) Cordoned() bool { return l.cordoned }

// Throttle sets the tasks that are to run slower.
func (l *Ledger) Throttle(tasks []string) { l.throttle = tasks }

// Commands returns what the worker is to be told under a lease that ends at
// untilMS of the worker's clock.
//
// Room is counted from what the worker says it runs, not from what was sent:
// a task that is being stopped holds its room until the worker confirms it.
func (l *Ledger) Commands(untilMS int64) worker.Sync {
	s := worker.Sync{Boot: l.boot, UntilMS: untilMS, Throttle: l.throttle}
	free := l.capacity
	for ref, t := range l.report {
		if t.Running {
			free = free.Sub(t.Need)
		}
		if o, ok := l.orders[ref.Task]; ok && o.Attempt == ref.Attempt {
			continue
		}
		if t.Running {
			s.Stop = append(s.Stop, worker.Stop{Task: ref.Task, Attempt: ref.Attempt})
		} else {
			s.Forget = append(s.Forget, ref)
		}
	}
	for _, o := range l.sortedOrders() {
		l.command(&s, o, &free)
	}
	return s
}

func (l *Ledger) command(s *worker.Sync, o lease.Order, free *resource.Vector) {
	t, known := l.report[refOf(o)]
	switch {
	case known && !t.Running:
	case !known && l.cordoned:
		// An earlier start of it may still be on its way. Once the stop is answered the
		// worker reports the attempt as rejected, and it runs elsewhere.
		s.Stop = append(s.Stop, worker.Stop{Task: o.Task, Attempt: o.Attempt})
	case o.Stop != lease.StopNone:
		s.Stop = append(s.Stop, worker.Stop{Task: o.Task, Attempt: o.Attempt, Checkpoint: o.Stop == lease.StopCheckpoint})
	case !known && o.Need.Fits(*free):
		*free = free.Sub(o.Need)
		s.Start = append(s.Start, worker.Start{Task: o.Task, Attempt: o.Attempt, Market: o.Market, Job: o.Job,
			Need: o.Need, RunTimeMS: o.RunTime, Checkpoint: o.Checkpoint})
	}
}

func (l *Ledger) sortedOrders() []lease.Order {
	out := make([]lease.Order, 0, len(l.orders))
	for _, o := range l.orders {
		out = append(out, o)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Task < out[j].Task })
	return out
}

// Jobs counts the running attempts by job, for a measurement.
func (l *Ledger) Jobs() map[string]int {
	out := make(map[string]int)
	for _, t := range l.report {
		if !t.Running {
			continue
		}
		job := t.Job
		if t.Throttled {
			job += worker.ThrottledSuffix
		}
		out[job]++
	}
	return out
}
