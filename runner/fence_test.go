package runner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// leaveAStartUnanswered orders a run whose start gets no answer, however often it is repeated.
func (b *bench) leaveAStartUnanswered() {
	b.worker.fail(1<<20, VerdictDone)
	b.ctl.give(startOf(runA1))
	time.Sleep(400 * time.Millisecond)
}

// restartCarryingOutLate crashes the worker while a start is unanswered, and lets its
// successor carry out the order before any other call reaches it.
func (b *bench) restartCarryingOutLate(meanwhile func()) {
	b.leaveAStartUnanswered()
	b.worker.failCalls(ErrClosed)
	b.worker.fail(0, VerdictDone)
	time.Sleep(time.Second)
	b.worker.restartCarryingOutLate("w2")
	if !b.worker.isRunning(runA1) {
		b.t.Fatal("the test needs the late start to be carried out")
	}
	meanwhile()
	b.seq = 0
	b.announce("w2", false)
	time.Sleep(2 * time.Second)
	if b.ctl.known() != "w2" {
		b.t.Fatalf("the control knows %q", b.ctl.known())
	}
}

// Guards against a task that runs twice: an unanswered start runs on the worker's successor,
// while the control treats the run as void and starts the task elsewhere.
func TestLateStartOnTheNextIncarnationIsStoppedBeforeItsRegistration(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		running := false
		b.ctl.onRegister = func() { running = running || b.worker.isRunning(runA1) }
		b.restartCarryingOutLate(func() {})
		if running {
			t.Error("the worker was registered while the late run was still running")
		}
		b.wantEnd(runA1, jobs.OutcomeStopped)
	})
}

// Guards against a completed task that is started again: its unanswered start was carried out
// by the worker's successor, and its end was not attributed to the worker it was ordered for.
func TestLateStartThatEndsOnTheNextIncarnationIsDone(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		b.restartCarryingOutLate(func() { b.worker.end(runA1, jobs.OutcomeDone) })
		b.wantEnd(runA1, jobs.OutcomeDone)
		if w := b.ctl.endsOf[runA1]; w != "w1" {
			t.Errorf("the end was reported for worker %q, the run was ordered for w1", w)
		}
		if b.worker.acknowledged() != 1 {
			t.Errorf("ends are acknowledged up to %d", b.worker.acknowledged())
		}
	})
}

// Guards against late calls to a worker's successor while the control is unreachable: only a
// token in reserve can make the successor refuse them with its first answer.
func TestNextIncarnationIsFencedWhileTheControlIsUnreachable(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		b.leaveAStartUnanswered()
		b.worker.failCalls(ErrClosed)
		b.worker.fail(0, VerdictDone)
		b.ctl.setDown(true)
		time.Sleep(time.Second)
		b.worker.restartWithSameID("w2")
		b.seq = 0
		b.announce("w2", false)
		time.Sleep(time.Second)
		b.worker.carryOutLate()
		if b.worker.isRunning(runA1) {
			t.Error("a start for the previous incarnation was carried out after the first call to this one")
		}
		b.ctl.setDown(false)
	})
}

// Guards against late starts on a worker's successor before its first heartbeat. The previous
// session must probe the address with the reserve token, and starts that are attempted
// meanwhile must not use it up.
func TestNextIncarnationIsFencedBeforeItsFirstHeartbeat(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		b.leaveAStartUnanswered()
		b.worker.failCalls(ErrClosed)
		time.Sleep(time.Second)
		b.worker.fail(0, VerdictDone)
		b.worker.restartWithSameID("w2")
		time.Sleep(2 * callPause)
		b.worker.carryOutLate()
		if b.worker.isRunning(runA1) {
			t.Error("a start for the previous incarnation was carried out after the agent's first call")
		}
	})
}

// Guards against a session that ends because of its own older token: the call was in flight
// when the session switched to the reserve token.
func TestCallWithThePreviousTokenIsRepeated(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		s := b.session()
		before := s.target()
		s.switchToReserveToken()
		if s.target().Token <= before.Token {
			t.Fatal("the test needs a token in reserve")
		}
		if s.handleRefusal(VerdictFenced, before) {
			t.Error("the session ended because of its own older token")
		}
		if !s.handleRefusal(VerdictFenced, s.target()) {
			t.Error("the session goes on though another session's token is higher")
		}
	})
}

// Guards against a late start that continues for as long as the control is unreachable, while
// its task's lease ends and the task is started elsewhere.
func TestLateStartIsStoppedWhileTheControlIsUnreachable(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		b.leaveAStartUnanswered()
		b.ctl.setDown(true)
		b.worker.failCalls(ErrClosed)
		time.Sleep(time.Second) // meanwhile the start is repeated
		b.worker.fail(0, VerdictDone)
		b.worker.restartCarryingOutLate("w2")
		b.seq = 0
		b.announce("w2", false)
		time.Sleep(2*controlTimeout + time.Second)
		if b.worker.isRunning(runA1) {
			t.Error("the late run goes on")
		}
		b.ctl.setDown(false)
		time.Sleep(2 * time.Second)
		b.wantEnd(runA1, jobs.OutcomeStopped)
	})
}

// Guards against a start sent with the token that is to fence the worker's successor: the control
// has granted another one for the reserve meanwhile, so canFence allows the start.
func TestNoStartIsSentOnTheReserveTokenToASilentWorker(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		b.worker.failCalls(errLost)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		s := b.session()
		if !s.onReserveToken.Load() || !s.canFence(s.token.Load()) {
			t.Fatal("the test needs a session on its reserve token with another one in reserve")
		}
		b.ctl.give(startOf(runA1))
		time.Sleep(400 * time.Millisecond)
		if n := b.worker.tries(); n > 0 {
			t.Errorf("%d starts were sent", n)
		}
	})
}

// Guards against starts that wait, after a connection was reset, for the worker's next end or
// for the full wait of a list.
func TestStartsGoOnSoonAfterAReset(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		b.worker.failCalls(ErrClosed)
		time.Sleep(callPause)
		b.worker.failCalls(nil)
		b.ctl.give(startOf(runA1))
		time.Sleep(5 * callPause) // less than holdWait
		if !b.worker.isRunning(runA1) {
			t.Error("the run was not started")
		}
	})
}
