package runner

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/clock"
	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// Guards against an unanswered start that is repeated after an operator has taken the data
// centre out of service. The run must be stopped, so that an earlier start can't take effect,
// and reported as never started, so that it is placed elsewhere. Other runs continue.
func TestUnansweredStartIsRejectedOutOfService(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		other := runKey{jobs.Ref{Job: "00000000000000bb"}, 1}
		b.ctl.give(startOf(other))
		time.Sleep(time.Second)
		b.worker.fail(1<<20, VerdictDone)
		b.ctl.give(startOf(runA1))
		time.Sleep(300 * time.Millisecond)
		b.ctl.cordon(true)
		time.Sleep(200 * time.Millisecond)
		sent := b.worker.tries()
		if sent < 3 {
			t.Fatalf("the test needs a repeated start, it was sent %d times", sent)
		}
		time.Sleep(3 * time.Second)
		if n := b.worker.tries(); n != sent {
			t.Errorf("the start was sent %d more times", n-sent)
		}
		b.wantEnd(runA1, jobs.OutcomeRejected)
		b.worker.carryOutLate()
		if b.worker.isRunning(runA1) {
			t.Error("a run that was reported as never started runs")
		}
		if !b.worker.isRunning(other) {
			t.Error("another run on the worker was ended")
		}
	})
}

// Orders that arrive while the data centre is out of service, from a leader that does not know
// that yet, must be rejected. Once it is back in service, runs start again.
func TestOrdersOutOfServiceAreRejected(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		b.ctl.cordon(true)
		time.Sleep(100 * time.Millisecond)
		b.ctl.give(startOf(runA1))
		time.Sleep(time.Second)
		b.wantEnd(runA1, jobs.OutcomeRejected)
		b.ctl.cordon(false)
		time.Sleep(time.Second)
		second := runKey{taskA, 2}
		b.ctl.give(startOf(second))
		time.Sleep(time.Second)
		if !b.worker.isRunning(second) {
			t.Error("nothing starts once the data centre is back in service")
		}
	})
}

// Guards against a start by an agent that is cut off. It has an order and a valid lease, but
// the start succeeds only seconds later, after an operator's cordon was acknowledged. The
// agent can't know of the cordon, but it knows the age of its last confirmation.
func TestNothingStartsOnAnOldConfirmation(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		b.ctl.setTerm(20 * time.Second)
		time.Sleep(time.Second)
		b.worker.fail(1<<20, VerdictDone)
		b.ctl.give(startOf(runA1))
		time.Sleep(100 * time.Millisecond)
		b.ctl.setDown(true)
		time.Sleep(testConfirmationAge)
		sent := b.worker.tries()
		b.worker.fail(0, VerdictDone)
		time.Sleep(3 * time.Second)
		if n := b.worker.tries(); n != sent {
			t.Errorf("%d starts were sent on an old confirmation", n-sent)
		}
		b.ctl.setDown(false)
		time.Sleep(3 * time.Second)
		if !b.worker.isRunning(runA1) {
			t.Error("the run does not start on a new confirmation")
		}
	})
}

// Guards against a confirmation that looks recent because the agent's machine was suspended
// for ten seconds and its monotonic clock stopped. The cordon was acknowledged meanwhile, and
// the orders that arrive afterwards were sent before it.
func TestASuspensionAgesTheConfirmation(t *testing.T) {
	for _, lasted := range []time.Duration{0, 10 * time.Second} {
		withBench(t, func(t *testing.T, b *bench) {
			var suspended atomic.Int64
			defer clock.SetSuspendedSource(func() time.Duration { return time.Duration(suspended.Load()) })()
			b.ctl.setTerm(time.Minute)
			time.Sleep(time.Second)
			b.ctl.setDown(true)
			suspended.Store(int64(lasted))
			b.ctl.give(startOf(runA1))
			time.Sleep(400 * time.Millisecond)
			if n := len(b.worker.started()); (n > 0) != (lasted == 0) {
				t.Errorf("after a suspension of %v %d runs were started", lasted, n)
			}
		})
	}
}

// Guards against an older answer that brings the data centre back into service: two lease
// requests overlap, and the answer to the older one, sent before the cordon took effect,
// arrives last.
func TestAnOlderAnswerDoesNotBringTheDataCentreBack(t *testing.T) {
	s := &session{r: &Runner{maxConfirmationAge: testConfirmationAge}, runs: make(map[runKey]*run)}
	first := clock.Now()
	time.Sleep(time.Millisecond)
	second := clock.Now()
	s.setCordonStatus(true, second)
	s.setCordonStatus(false, first)
	if !s.isCordoned() || s.mayStart() {
		t.Error("an older answer brought the data centre back into service")
	}
}
