package agent

import (
	"testing"

	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/resource"
	"github.com/waxwinghaven/waxwinghaven/worker"
)

func milliCPU(n int64) resource.Vector { return resource.Vector{MilliCPU: n} }

// The control assumes free capacity, but the worker still runs a task that is no longer
// ordered. The new task must not start before the worker reports that the old one has stopped:
// the agent's count is the last check against overcommitting the worker.
func TestStartWaitsForFreeCapacityReportedByWorker(t *testing.T) {
	l := NewLedger()
	running := worker.TaskReport{Task: "old", Attempt: 1, Need: milliCPU(1500), Running: true}
	l.SetReport(worker.Report{Boot: "b", Capacity: milliCPU(2000), Tasks: []worker.TaskReport{running}})
	l.SetOrders("b", []lease.Order{{Task: "new", Attempt: 1, Need: milliCPU(1000)}})
	s := l.Commands(100)
	if len(s.Start) != 0 || len(s.Stop) != 1 || s.Stop[0].Task != "old" {
		t.Fatalf("started before capacity was free: %+v", s)
	}
	running.Running, running.Outcome = false, lease.OutcomeStopped
	l.SetReport(worker.Report{Boot: "b", Capacity: milliCPU(2000), Tasks: []worker.TaskReport{running}})
	if s = l.Commands(100); len(s.Start) != 1 || len(s.Forget) != 1 {
		t.Fatalf("not started when capacity was free: %+v", s)
	}
}

// The worker restarts during a renewal, so that the answer's orders are for the previous boot.
// If they were applied, tasks that the control is placing elsewhere would run twice.
func TestOrdersForAnotherBootAreDropped(t *testing.T) {
	l := NewLedger()
	l.SetReport(worker.Report{Boot: "b1", Capacity: milliCPU(2000)})
	l.SetReport(worker.Report{Boot: "b2", Capacity: milliCPU(2000)})
	l.SetOrders("b1", []lease.Order{{Task: "t", Attempt: 1, Need: milliCPU(1)}})
	if s := l.Commands(100); len(s.Start) != 0 || s.Boot != "b2" {
		t.Fatalf("orders for another boot were applied: %+v", s)
	}
}

// The data centre is taken out of service while an attempt is ordered and its start command may
// be in flight. The attempt must be stopped, not started, and reported as rejected once the
// worker has confirmed that it won't run, so that it can run elsewhere. Running attempts
// continue. The rejection must not count as a failure of the worker.
func TestOrderedAttemptIsRejectedOutOfService(t *testing.T) {
	l := NewLedger()
	running := worker.TaskReport{Task: "old", Attempt: 1, Need: milliCPU(1), Running: true}
	l.SetReport(worker.Report{Boot: "b", Capacity: milliCPU(2000), Tasks: []worker.TaskReport{running}})
	l.SetOrders("b", []lease.Order{{Task: "old", Attempt: 1, Need: milliCPU(1)}, {Task: "new", Attempt: 1, Need: milliCPU(1)}})
	l.SetCordoned(true)
	s := l.Commands(100)
	if len(s.Start) != 0 || len(s.Stop) != 1 || s.Stop[0].Task != "new" {
		t.Fatalf("want only a stop of the attempt that has not started, got %+v", s)
	}
	l.SetReport(worker.Report{Boot: "b", Capacity: milliCPU(2000), Tasks: []worker.TaskReport{running, {Task: "new", Attempt: 1, Outcome: lease.OutcomeRejected}}})
	ends := l.Ends()
	if len(ends) != 1 || ends[0].Task != "new" || ends[0].Outcome != lease.OutcomeRejected {
		t.Fatalf("ends: %+v", ends)
	}
	m := newMeter()
	m.recordEnds(ends, l.Cordoned())
	if m.usage.TasksFailed != 0 {
		t.Error("the rejection counts as a failure")
	}
}

// Guards against a task that stays placed for ever on a worker that is too small for it, and against
// one that runs twice: a start command that is still in flight may begin it unless the worker has
// confirmed that it never does.
func TestTooLargeTaskIsRejectedByTheWorker(t *testing.T) {
	l := NewLedger()
	l.SetReport(worker.Report{Boot: "b", Capacity: milliCPU(2000)})
	l.SetOrders("b", []lease.Order{{Task: "t", Attempt: 1, Need: milliCPU(3000)}})
	if ends := l.Ends(); len(ends) != 0 {
		t.Fatalf("an end that the worker has not reported: %+v", ends)
	}
	s := l.Commands(1000)
	if len(s.Start) != 0 || len(s.Stop) != 1 || s.Stop[0] != (worker.Stop{Task: "t", Attempt: 1}) {
		t.Fatalf("want only a stop of the attempt, got %+v", s)
	}
	l.SetReport(worker.Report{Boot: "b", Capacity: milliCPU(2000), Tasks: []worker.TaskReport{{Task: "t", Attempt: 1, Outcome: lease.OutcomeRejected}}})
	ends := l.Ends()
	if len(ends) != 1 || ends[0].Outcome != lease.OutcomeRejected {
		t.Fatalf("ends: %+v", ends)
	}
}
