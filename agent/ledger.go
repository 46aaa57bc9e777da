// Package agent implements the process beside each upstream. Only the agent opens connections
// to the upstream and sends tasks to the worker, so that their limits are enforced in one
// place, however many entries and control replicas there are.
package agent

import (
	"sort"

	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/resource"
	"github.com/waxwinghaven/waxwinghaven/worker"
)

// Ledger holds the agent's view of task attempts: the orders of the control and the latest
// report of the worker. It derives the worker's commands and the ends to report. It does no
// I/O and is not safe for concurrent use.
type Ledger struct {
	boot      string
	capacity  resource.Vector
	orders    map[string]lease.Order
	report    map[worker.Ref]worker.TaskReport
	throttled []string
	// cordoned is set while the data centre is out of service: ordered attempts that have
	// not started are returned to the control.
	cordoned bool
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{orders: make(map[string]lease.Order), report: make(map[worker.Ref]worker.TaskReport)}
}

// SetReport records a worker's report. A new boot discards all orders for the previous one; the
// control learns of it from the next renewal.
func (l *Ledger) SetReport(r worker.Report) {
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

// Capacity returns the capacity that the worker reported last.
func (l *Ledger) Capacity() resource.Vector { return l.capacity }

// Digest returns a digest of the current orders.
func (l *Ledger) Digest() uint64 {
	list := make([]lease.Order, 0, len(l.orders))
	for _, o := range l.orders {
		list = append(list, o)
	}
	return lease.Digest(list)
}

// Ends returns the ended attempts that the control has not processed yet, in order of task.
// An end is reported again until the control's orders no longer contain the attempt. Only what the
// worker itself reports as ended has ended: a report may reach the control after the agent's next
// process has started an attempt that this one did not.
func (l *Ledger) Ends() []lease.End {
	var out []lease.End
	for _, o := range l.orders {
		if t, ok := l.report[refOf(o)]; ok && !t.Running {
			out = append(out, lease.End{Task: o.Task, Attempt: o.Attempt, Outcome: t.Outcome, Checkpoint: t.Checkpoint, Reason: t.Reason})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Task < out[j].Task })
	return out
}

func refOf(o lease.Order) worker.Ref { return worker.Ref{Task: o.Task, Attempt: o.Attempt} }

// SetOrders sets the control's orders. boot is the one that the renewal reported; orders for
// another boot are ignored, since they would start tasks on the wrong worker process.
func (l *Ledger) SetOrders(boot string, orders []lease.Order) {
	if boot != l.boot {
		return
	}
	l.orders = make(map[string]lease.Order, len(orders))
	for _, o := range orders {
		l.orders[o.Task] = o
	}
}

// SetCordoned sets whether the data centre is out of service.
func (l *Ledger) SetCordoned(cordoned bool) { l.cordoned = cordoned }

// Cordoned returns the value last set by SetCordoned.
func (l *Ledger) Cordoned() bool { return l.cordoned }

// SetThrottled sets the tasks to be throttled.
func (l *Ledger) SetThrottled(tasks []string) { l.throttled = tasks }

// Commands returns the commands for the worker under a lease that ends at untilMS, in
// milliseconds of the worker's clock.
//
// Free capacity is computed from the attempts that the worker reports as running, not from the
// commands sent: a task that is being stopped keeps its resources until the worker confirms
// the stop.
func (l *Ledger) Commands(untilMS int64) worker.Sync {
	s := worker.Sync{Boot: l.boot, UntilMS: untilMS, Throttle: l.throttled}
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
	case !known && (l.cordoned || !o.Need.Fits(l.capacity)):
		// An earlier start command may still be in flight. Once the worker has processed
		// the stop it reports the attempt as rejected, and the task can run elsewhere.
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

// Jobs returns the number of running attempts by job, for a measurement. Throttled attempts
// are counted under the job's name with worker.ThrottledSuffix.
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
