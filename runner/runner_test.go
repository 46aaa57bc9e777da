package runner

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

// bench connects a runner to a fake control and a fake worker, with synctest's virtual time.
type bench struct {
	t      *testing.T
	ctl    *fakeControl
	worker *fakeWorker
	runner *Runner
	cancel context.CancelFunc
	done   chan error
	seq    uint64
}

func withBench(t *testing.T, f func(*testing.T, *bench)) {
	withPreparedBench(t, func(*fakeControl) {}, f)
}

// withPreparedBench calls prepare before the agent starts, for behaviour of the fake control that
// must be in place when the worker registers for the first time.
func withPreparedBench(t *testing.T, prepare func(*fakeControl), f func(*testing.T, *bench)) {
	synctest.Test(t, func(t *testing.T) {
		b := &bench{t: t, ctl: newFakeControl(), worker: newFakeWorker("w1")}
		prepare(b.ctl)
		b.begin()
		b.announce("w1", false)
		defer b.stop() // also when f ends the test
		f(t, b)
	})
}

// testConfirmationAge is the greatest age of a confirmation at which a run may start.
const testConfirmationAge = 3500 * time.Millisecond

// begin starts a process of the agent.
func (b *bench) begin() {
	b.runner = New("agent-1", b.ctl, b.worker, testConfirmationAge)
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel, b.done = cancel, make(chan error, 1)
	go func() { b.done <- b.runner.Run(ctx) }()
}

func (b *bench) stop() {
	b.cancel()
	b.ctl.setDown(false)
	if err := <-b.done; err != nil {
		b.t.Error(err)
	}
	time.Sleep(2 * controlTimeout) // calls in flight end by themselves
}

func (b *bench) session() *session {
	b.runner.mu.Lock()
	defer b.runner.mu.Unlock()
	return b.runner.session
}

func (b *bench) announce(worker string, draining bool) error {
	b.seq++
	return b.runner.Announce(Announcement{Worker: worker, Service: "vault", Capacity: resource.Vector{MilliCPU: 1000, MemoryMB: 1000}, Draining: draining, Sequence: b.seq})
}

var (
	taskA = jobs.Ref{Job: "00000000000000aa"}
	runA1 = runKey{taskA, 1}
)

func startOf(key runKey) jobs.Order {
	return jobs.Order{Task: key.task, Run: key.run, Payload: "p"}
}

func stopOf(key runKey) jobs.Order { return jobs.Order{Task: key.task, Run: key.run, Stop: true} }

func (b *bench) wantEnd(key runKey, want jobs.Outcome) {
	b.t.Helper()
	if got, n := b.ctl.ended(key); got != want || n == 0 {
		b.t.Errorf("run %v was reported as %v (%d times), want %v", key, got, n, want)
	}
}

func (b *bench) wantNoEnd(key runKey) {
	b.t.Helper()
	if got, n := b.ctl.ended(key); n > 0 {
		b.t.Errorf("run %v was reported as %v", key, got)
	}
}

func TestStartsReportsAndAcknowledges(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		b.ctl.give(startOf(runA1))
		time.Sleep(time.Second)
		if !b.worker.isRunning(runA1) {
			t.Fatal("the run was not started")
		}
		if got := b.worker.started()[0]; got.Payload != "p" || got.LeaseEndMS <= 0 {
			t.Errorf("started with %+v", got)
		}
		b.worker.end(runA1, jobs.OutcomeDone)
		time.Sleep(time.Second)
		b.wantEnd(runA1, jobs.OutcomeDone)
		if b.worker.acknowledged() != 1 {
			t.Errorf("ends are acknowledged up to %d", b.worker.acknowledged())
		}
	})
}

// Guards against an end that is acknowledged before its commit, while the leader is
// unreachable: the worker would no longer list it, and the task would run again.
func TestEndIsAcknowledgedOnlyAfterItsCommit(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		b.ctl.give(startOf(runA1))
		time.Sleep(time.Second)
		b.ctl.setDown(true)
		b.worker.end(runA1, jobs.OutcomeDone)
		time.Sleep(10 * time.Second)
		if n := b.worker.acknowledged(); n != 0 {
			t.Fatalf("ends were acknowledged up to %d before their commit", n)
		}
		b.ctl.setDown(false)
		time.Sleep(5 * time.Second)
		b.wantEnd(runA1, jobs.OutcomeDone)
		if b.worker.acknowledged() != 1 {
			t.Error("the end was not acknowledged after its commit")
		}
	})
}

// Guards against a worker that resets every start for seconds and gets 20 connections a
// second, and as many log lines, from each run that is attempted every 50 ms. With increasing
// pauses a run must still start soon after the worker has recovered.
func TestStartsThatAreResetAreTriedLessOften(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		b.worker.fail(1<<20, VerdictDone)
		b.ctl.give(startOf(runA1))
		time.Sleep(4 * time.Second)
		if n := b.worker.tries(); n < 5 || n > 20 {
			t.Errorf("the start was attempted %d times in four seconds", n)
		}
		b.worker.fail(0, VerdictDone)
		time.Sleep(500 * time.Millisecond)
		if !b.worker.isRunning(runA1) {
			t.Error("the run does not start once the worker has recovered")
		}
	})
}

// Guards against a task that runs twice: a start goes unanswered, its repetition is rejected
// for lack of capacity, and the first start takes effect seconds later. The run must be
// stopped before it is reported as never started.
func TestUnansweredStartIsStoppedBeforeItIsRejected(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		b.worker.fail(1, VerdictNoCapacity)
		b.ctl.give(startOf(runA1))
		time.Sleep(time.Second)
		b.wantEnd(runA1, jobs.OutcomeRejected)
		b.worker.carryOutLate()
		if b.worker.isRunning(runA1) {
			t.Fatal("a run that was reported as never started runs")
		}
	})
}

// Guards against a run that waits for the stop of a start that was never sent, since no
// connection to the unresponsive worker was free. Such a run can be reported as never started
// immediately.
func TestStartThatWasNeverSentNeedsNoStop(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		b.worker.mu.Lock()
		b.worker.notSent = 1 << 20
		b.worker.mu.Unlock()
		b.ctl.give(startOf(runA1))
		time.Sleep(time.Second)
		b.ctl.give(stopOf(runA1))
		time.Sleep(time.Second)
		b.wantEnd(runA1, jobs.OutcomeRejected)
		b.worker.mu.Lock()
		defer b.worker.mu.Unlock()
		if b.worker.fences[taskA] != 0 {
			t.Error("a run whose start was never sent was stopped")
		}
	})
}

// Guards against an unanswered start that is reported as rejected though it had taken effect
// before the stop: the worker lists the run's end, and only that may be reported.
func TestUnansweredStartThatTookEffectIsNotReportedAsRejected(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		b.worker.fail(1, VerdictDone)
		b.ctl.give(startOf(runA1))
		time.Sleep(10 * time.Millisecond)
		b.worker.carryOutLate()
		time.Sleep(time.Second)
		b.wantNoEnd(runA1)
		b.ctl.give(stopOf(runA1))
		time.Sleep(time.Second)
		b.wantEnd(runA1, jobs.OutcomeStopped)
	})
}

// A run whose job is cancelled before its start was sent must not start, and must be reported
// immediately, so that its capacity is free again.
func TestStopBeforeStart(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		b.ctl.give(stopOf(runA1))
		time.Sleep(time.Second)
		b.wantEnd(runA1, jobs.OutcomeRejected)
		if len(b.worker.started()) > 0 {
			t.Error("the run was started")
		}
	})
}

// The agent is killed and started again. Calls of its earlier process that are still in flight
// must not take effect any more, and its runs must continue, neither started again nor lost.
func TestNextSessionTakesOver(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		runB1 := runKey{jobs.Ref{Job: "00000000000000bb"}, 1}
		b.ctl.give(startOf(runA1))
		time.Sleep(time.Second)
		b.worker.fail(1<<20, VerdictDone)
		b.ctl.give(startOf(runB1))
		time.Sleep(100 * time.Millisecond)
		b.stop()
		b.worker.fail(0, VerdictDone)
		b.begin()
		b.announce("w1", false)
		time.Sleep(time.Second)
		before := len(b.worker.started())
		b.worker.carryOutLate()
		if len(b.worker.started()) != before {
			t.Error("a call of the earlier process took effect")
		}
		if !b.worker.isRunning(runA1) || !b.worker.isRunning(runB1) {
			t.Error("the new process did not take over the runs")
		}
		starts := 0
		for _, s := range b.worker.started() {
			if s.Task == taskA {
				starts++
			}
		}
		if starts != 1 {
			t.Errorf("a running run was started %d times", starts)
		}
		b.wantNoEnd(runA1)
	})
}

// Once a draining worker's announcement is answered, no run may be started on it, even if the
// control does not know yet.
func TestNothingStartsOnADrainingWorker(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		b.ctl.setDown(true)
		time.Sleep(3 * time.Second)
		if err := b.announce("w1", true); err != nil {
			t.Fatal(err)
		}
		b.ctl.setDown(false)
		b.ctl.give(startOf(runA1))
		time.Sleep(5 * time.Second)
		if len(b.worker.started()) > 0 {
			t.Error("a run was started on a draining worker")
		}
		b.wantEnd(runA1, jobs.OutcomeRejected)
	})
}

// Guards against standing tasks that are missing until the lease of a worker that has ended
// expires after five seconds. A worker that announced its end and refuses connections is
// reported. One that refuses connections without an announcement may only be cut off, and one
// whose connections fail otherwise may only be slow; both may still run, so the lease decides.
func TestWorkerThatLeftIsReportedAtOnce(t *testing.T) {
	reset := fmt.Errorf("%w: %w", ErrNotSent, ErrClosed)
	refused := fmt.Errorf("%w: %w", ErrRefused, reset)
	for _, c := range []struct {
		announced  bool
		connectErr error
		want       bool
	}{{true, refused, true}, {false, refused, false}, {true, ErrNotSent, false}, {true, reset, false}} {
		withBench(t, func(t *testing.T, b *bench) {
			time.Sleep(time.Second)
			if c.announced {
				b.runner.WorkerEnding("w1")
			}
			b.worker.mu.Lock()
			b.worker.connectErr = c.connectErr
			b.worker.mu.Unlock()
			time.Sleep(2 * time.Second)
			if got := b.ctl.endReports(); (got > 0) != c.want {
				t.Errorf("announced its end: %v, connecting: %v; reported %d times", c.announced, c.connectErr, got)
			}
		})
	}
}

// Guards against a late heartbeat of a crashed incarnation, delayed by a network partition
// until after the new one's. If it were accepted, the control would treat the new
// incarnation's runs as void while they continue.
func TestLateHeartbeatOfACrashedWorkerIsIgnored(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		b.worker.mu.Lock()
		b.worker.id, b.worker.token = "w2", 0
		b.worker.mu.Unlock()
		if err := b.announce("w2", false); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if err := b.announce("w1", false); !errors.Is(err, ErrStale) {
			t.Errorf("the late heartbeat got %v", err)
		}
		b.ctl.give(startOf(runA1))
		time.Sleep(time.Second)
		if b.ctl.known() != "w2" || !b.worker.isRunning(runA1) {
			t.Errorf("the control knows %s", b.ctl.known())
		}
		if err := b.runner.Announce(Announcement{Worker: "w2", Service: "vault", Sequence: 1}); !errors.Is(err, ErrStale) {
			t.Errorf("an older heartbeat of the same incarnation got %v", err)
		}
	})
}

// Guards against starts under an expired lease while the control is unreachable: it may have
// given the tasks to other workers by then.
func TestNothingStartsAfterTheLease(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		b.worker.fail(1<<20, VerdictDone)
		b.ctl.give(startOf(runA1))
		time.Sleep(100 * time.Millisecond)
		b.ctl.setDown(true)
		time.Sleep(8 * time.Second)
		b.worker.fail(0, VerdictDone)
		time.Sleep(2 * time.Second)
		b.worker.carryOutLate()
		if b.worker.isRunning(runA1) {
			t.Error("a run started after the lease had ended")
		}
	})
}

// Guards against a worker that is lost for good and registered again whenever its lease has
// ended: each time the leader places tasks on it, which wait there for the whole lease term.
// An unresponsive worker must not be registered.
func TestUnresponsiveWorkerIsNotRegisteredAgain(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		b.worker.failCalls(errLost)
		time.Sleep(6 * time.Second)
		before := b.ctl.registered()
		for range 5 {
			b.ctl.forget()
			time.Sleep(6 * time.Second)
		}
		if n := b.ctl.registered() - before; n > 0 {
			t.Fatalf("the unresponsive worker was registered %d more times", n)
		}
		b.worker.failCalls(nil)
		time.Sleep(2 * time.Second)
		b.ctl.give(startOf(runA1))
		time.Sleep(time.Second)
		if !b.worker.isRunning(runA1) {
			t.Error("the worker answers again and no run is started on it")
		}
	})
}

// Guards against tasks that wait on a crashed worker, which the leader still counts on, while
// other workers have free capacity. The agent must report the outage soon; a call that is
// merely late, or a connection that is reset, is no outage.
func TestUnresponsiveWorkerIsReported(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		b.worker.failCalls(errLost)
		time.Sleep(time.Second)
		b.worker.failCalls(nil)
		time.Sleep(time.Second)
		b.worker.failCalls(ErrClosed)
		time.Sleep(callPause)
		b.worker.failCalls(nil)
		time.Sleep(time.Second)
		if n := b.ctl.unresponsiveReports(); n > 0 {
			t.Fatalf("a worker that answers was reported as unresponsive %d times", n)
		}
		b.worker.failCalls(ErrClosed)
		time.Sleep(300 * time.Millisecond)
		if b.ctl.unresponsiveReports() == 0 {
			t.Error("the outage wasn't reported within 0.3 s")
		}
		time.Sleep(2 * time.Second)
		if n := b.ctl.unresponsiveReports(); n < 3 || n > 6 {
			t.Errorf("reported %d times in 2.3 s", n)
		}
	})
}
