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

// bench is a runner between a fake control and a fake worker, in a bubble of
// virtual time.
type bench struct {
	t      *testing.T
	ctl    *fakeControl
	worker *fakeWorker
	runner *Runner
	cancel context.CancelFunc
	done   chan error
	seq    uint64
}

func play(t *testing.T, f func(*testing.T, *bench)) {
	synctest.Test(t, func(t *testing.T) {
		b := &bench{t: t, ctl: newFakeControl(), worker: newFakeWorker("w1")}
		b.begin()
		b.announce("w1", false)
		defer b.stop() // also when f ends the test
		f(t, b)
	})
}

// testStartWord is how old the control's word may be for a start.
const testStartWord = 3500 * time.Millisecond

// begin starts a life of the agent.
func (b *bench) begin() {
	b.runner = New("agent-1", b.ctl, b.worker, testStartWord)
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
	time.Sleep(2 * controlTimeout) // calls under way end by themselves
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
	play(t, func(t *testing.T, b *bench) {
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
			t.Errorf("the worker may forget ends up to %d", b.worker.acknowledged())
		}
	})
}

// The leader is away when a run ends. The worker must go on listing the end until
// it is committed: told to forget it before, the task would be run again.
func TestEndIsAcknowledgedOnlyAfterItsCommit(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		b.ctl.give(startOf(runA1))
		time.Sleep(time.Second)
		b.ctl.setDown(true)
		b.worker.end(runA1, jobs.OutcomeDone)
		time.Sleep(10 * time.Second)
		if n := b.worker.acknowledged(); n != 0 {
			t.Fatalf("the end was acknowledged up to %d while nobody had committed it", n)
		}
		b.ctl.setDown(false)
		time.Sleep(5 * time.Second)
		b.wantEnd(runA1, jobs.OutcomeDone)
		if b.worker.acknowledged() != 1 {
			t.Error("the end was not acknowledged after its commit")
		}
	})
}

// A worker resets every start for seconds. Tried every 50 ms, each run there costs it 20
// connections a second and as many log lines; tried less and less often it starts soon after
// the worker is well again.
func TestStartsThatAreResetAreTriedLessOften(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		b.worker.fail(1<<20, VerdictDone)
		b.ctl.give(startOf(runA1))
		time.Sleep(4 * time.Second)
		if n := b.worker.tries(); n < 5 || n > 20 {
			t.Errorf("it was tried %d times in four seconds", n)
		}
		b.worker.fail(0, VerdictDone)
		time.Sleep(500 * time.Millisecond)
		if !b.worker.isRunning(runA1) {
			t.Error("it does not start once the worker is well")
		}
	})
}

// A start goes unanswered, and the repetition is rejected for want of room. The
// first may take effect seconds later. Were the run given back now, the task
// would be started elsewhere and run twice.
func TestUnansweredStartIsStoppedBeforeItIsGivenBack(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		b.worker.fail(1, VerdictNoRoom)
		b.ctl.give(startOf(runA1))
		time.Sleep(time.Second)
		b.wantEnd(runA1, jobs.OutcomeRejected)
		b.worker.carryOutLate()
		if b.worker.isRunning(runA1) {
			t.Fatal("a run that was reported as never started runs")
		}
	})
}

// Many calls hang at a worker that does not answer, and no connection is free for
// the next start. That start never left, so it may be given back at once: stopping
// it first would need the worker that does not answer.
func TestStartThatNeverLeftNeedsNoStop(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
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
			t.Error("a run that was never asked for was stopped")
		}
	})
}

// The same, but the unanswered start had taken effect before the stop: the worker
// lists the run's end, and only that may be reported.
func TestUnansweredStartThatTookEffectIsNotReportedAsRejected(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
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

// A job is cancelled before its run was ever sent to the worker: nothing may be
// started, and the room is given back at once.
func TestStopBeforeStart(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		b.ctl.give(stopOf(runA1))
		time.Sleep(time.Second)
		b.wantEnd(runA1, jobs.OutcomeRejected)
		if len(b.worker.started()) > 0 {
			t.Error("the run was started")
		}
	})
}

// The agent is killed and started again. What its earlier life left under way
// must not take effect any more, and what runs must go on, neither started again
// nor lost.
func TestNextLifeTakesOver(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
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
			t.Error("an order of the earlier life took effect")
		}
		if !b.worker.isRunning(runA1) || !b.worker.isRunning(runB1) {
			t.Error("the new life did not take the runs over")
		}
		starts := 0
		for _, s := range b.worker.started() {
			if s.Task == taskA {
				starts++
			}
		}
		if starts != 1 {
			t.Errorf("a run that was at work was started %d times", starts)
		}
		b.wantNoEnd(runA1)
	})
}

// The worker says that it leaves. From the answer on nothing may be started on
// it, even if the control does not know yet.
func TestNothingStartsOnALeavingWorker(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
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
			t.Error("a run was started on a leaving worker")
		}
		b.wantEnd(runA1, jobs.OutcomeRejected)
	})
}

// A worker says that it ends, and ends. Its standing tasks are missed until the
// control knows; waiting for the lease costs their users five seconds. One that takes
// no connections but said nothing may only be cut off, and one whose connections come
// to nothing may only be slow, and run on: the lease decides.
func TestWorkerThatLeftIsReportedAtOnce(t *testing.T) {
	reset := fmt.Errorf("%w: %w", ErrNotSent, ErrClosed)
	refused := fmt.Errorf("%w: %w", ErrRefused, reset)
	for _, c := range []struct {
		said bool
		away error
		want bool
	}{{true, refused, true}, {false, refused, false}, {true, ErrNotSent, false}, {true, reset, false}} {
		play(t, func(t *testing.T, b *bench) {
			time.Sleep(time.Second)
			if c.said {
				b.runner.Left("w1")
			}
			b.worker.mu.Lock()
			b.worker.away = c.away
			b.worker.mu.Unlock()
			time.Sleep(2 * time.Second)
			if got := b.ctl.reportedGone(); (got > 0) != c.want {
				t.Errorf("the worker said so: %v, connecting: %v; it was reported %d times", c.said, c.away, got)
			}
		})
	}
}

// The worker crashes and comes back as another incarnation. A heartbeat of the
// old one, held up by a cut, comes after the new one's. Believing it would void
// the new one's runs in the books while they go on.
func TestLateHeartbeatOfACrashedWorkerIsIgnored(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
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

// The control is away for longer than a lease. Nothing new may start on the old
// lease: the control may have given the tasks to others by then.
func TestNothingStartsAfterTheLease(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
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

// A worker is lost for good: it answers nothing and no other comes. When its lease has ended
// the control forgets it, and the agent registers it again for another term, without an end:
// each time the leader gives it tasks, which wait there for the whole term while their
// callers do. One that doesn't answer is not registered.
func TestSilentWorkerIsNotRegisteredAgain(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		b.worker.fall(errLost)
		time.Sleep(6 * time.Second)
		before := b.ctl.registered()
		for range 5 {
			b.ctl.forget()
			time.Sleep(6 * time.Second)
		}
		if n := b.ctl.registered() - before; n > 0 {
			t.Fatalf("the silent worker was registered %d times more", n)
		}
		b.worker.fall(nil)
		time.Sleep(2 * time.Second)
		b.ctl.give(startOf(runA1))
		time.Sleep(time.Second)
		if !b.worker.isRunning(runA1) {
			t.Error("the worker answers again and gets nothing")
		}
	})
}

// A worker has crashed and is back after some seconds. Until then nobody tells the leader,
// which gives it a share of all tasks; they wait there while other workers have room. The
// agent says so at once; a call that is merely late, or a connection that is reset, is none.
func TestSilentWorkerIsTold(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		b.worker.fall(errLost)
		time.Sleep(time.Second)
		b.worker.fall(nil)
		time.Sleep(time.Second)
		b.worker.fall(ErrClosed)
		time.Sleep(callPause)
		b.worker.fall(nil)
		time.Sleep(time.Second)
		if n := b.ctl.toldSilent(); n > 0 {
			t.Fatalf("a worker that answers was told as silent %d times", n)
		}
		b.worker.fall(ErrClosed)
		time.Sleep(300 * time.Millisecond)
		if b.ctl.toldSilent() == 0 {
			t.Error("the control wasn't told within 0.3 s")
		}
		time.Sleep(2 * time.Second)
		if n := b.ctl.toldSilent(); n < 3 || n > 6 {
			t.Errorf("told %d times in 2.3 s", n)
		}
	})
}
