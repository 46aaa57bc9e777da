package agent

import (
	"testing"

	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/resource"
	"github.com/waxwinghaven/waxwinghaven/worker"
)

func one(n int64) resource.Vector { return resource.Vector{MilliCPU: n} }

// The control believes that room is free, but the worker still runs a task that
// nobody ordered any more. The new task waits until the worker itself says that
// the old one has stopped: the agent's own count is the last check.
func TestStartWaitsForRoomOnTheWorkerItself(t *testing.T) {
	l := NewLedger()
	running := worker.TaskReport{Task: "old", Attempt: 1, Need: one(1500), Running: true}
	l.Observe(worker.Report{Boot: "b", Capacity: one(2000), Tasks: []worker.TaskReport{running}})
	l.Replace("b", []lease.Order{{Task: "new", Attempt: 1, Need: one(1000)}})
	s := l.Commands(100)
	if len(s.Start) != 0 || len(s.Stop) != 1 || s.Stop[0].Task != "old" {
		t.Fatalf("started before the room was free: %+v", s)
	}
	running.Running, running.Outcome = false, lease.OutcomeStopped
	l.Observe(worker.Report{Boot: "b", Capacity: one(2000), Tasks: []worker.TaskReport{running}})
	if s = l.Commands(100); len(s.Start) != 1 || len(s.Forget) != 1 {
		t.Fatalf("not started when the room was free: %+v", s)
	}
}

// The worker restarts while a renewal is under way. The answer's orders are for
// the boot that is gone: taken over, they would start a second run of tasks
// that the control is just giving to others.
func TestOrdersForAnotherBootAreDropped(t *testing.T) {
	l := NewLedger()
	l.Observe(worker.Report{Boot: "b1", Capacity: one(2000)})
	l.Observe(worker.Report{Boot: "b2", Capacity: one(2000)})
	l.Replace("b1", []lease.Order{{Task: "t", Attempt: 1, Need: one(1)}})
	if s := l.Commands(100); len(s.Start) != 0 || s.Boot != "b2" {
		t.Fatalf("orders of another boot were taken over: %+v", s)
	}
}

// The data centre is taken out of service while an attempt is ordered and its start may be on
// the way. It is stopped, not started, and runs elsewhere once the worker says that it never
// will here; what runs goes on. It counts as no failure of the worker.
func TestOrderedAttemptIsGivenBackOutOfService(t *testing.T) {
	l := NewLedger()
	running := worker.TaskReport{Task: "old", Attempt: 1, Need: one(1), Running: true}
	l.Observe(worker.Report{Boot: "b", Capacity: one(2000), Tasks: []worker.TaskReport{running}})
	l.Replace("b", []lease.Order{{Task: "old", Attempt: 1, Need: one(1)}, {Task: "new", Attempt: 1, Need: one(1)}})
	l.Cordon(true)
	s := l.Commands(100)
	if len(s.Start) != 0 || len(s.Stop) != 1 || s.Stop[0].Task != "new" {
		t.Fatalf("the worker is told %+v", s)
	}
	l.Observe(worker.Report{Boot: "b", Capacity: one(2000), Tasks: []worker.TaskReport{running, {Task: "new", Attempt: 1, Outcome: lease.OutcomeRejected}}})
	ends := l.Ends()
	if len(ends) != 1 || ends[0].Task != "new" || ends[0].Outcome != lease.OutcomeRejected {
		t.Fatalf("ends: %+v", ends)
	}
	m := newMeter()
	m.tasks(ends, l.Cordoned())
	if m.usage.TaskBad != 0 {
		t.Error("it counts as a failure")
	}
}

// A task that can never fit this worker is told to be certainly not started, so
// that it can run elsewhere; it does not stay placed for ever.
func TestTooLargeTaskIsRejected(t *testing.T) {
	l := NewLedger()
	l.Observe(worker.Report{Boot: "b", Capacity: one(2000)})
	l.Replace("b", []lease.Order{{Task: "t", Attempt: 1, Need: one(3000)}})
	ends := l.Ends()
	if len(ends) != 1 || ends[0].Outcome != lease.OutcomeRejected {
		t.Fatalf("ends: %+v", ends)
	}
}
