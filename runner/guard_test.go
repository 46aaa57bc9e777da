package runner

import (
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

var runB1 = runKey{jobs.Ref{Job: "00000000000000bb"}, 1}

// wantFenced carries out the calls sent to the previous incarnation and expects that none of
// their runs starts.
func (b *bench) wantFenced() {
	b.t.Helper()
	b.worker.carryOutLate()
	if b.worker.isRunning(runA1) {
		b.t.Error("a start for the previous incarnation was carried out")
	}
}

// stopUnansweredStart leaves a start unanswered and stops its run, so that nothing more is
// sent for it.
func (b *bench) stopUnansweredStart() {
	b.leaveAStartUnanswered()
	b.worker.fail(0, VerdictDone)
	b.ctl.give(stopOf(runA1))
	time.Sleep(holdWait)
}

// Guards against late starts on a worker's successor after an answer has revealed it: the
// session ended, and the successor was not fenced before its heartbeat arrived.
func TestEachVerdictElsewhereFencesTheNextIncarnation(t *testing.T) {
	runC1 := runKey{jobs.Ref{Job: "00000000000000cc"}, 1}
	for _, c := range []struct {
		name      string
		dropHolds int // lists to drop, so that none is answered first
		call      func(*bench)
	}{
		{"a list", 0, func(*bench) { time.Sleep(callPause) }},
		{"a start", 1, func(b *bench) { b.ctl.give(startOf(runC1)) }},
		{"a stop", 1, func(b *bench) { b.ctl.give(stopOf(runB1)) }},
		{"a pace", 1, func(b *bench) { b.session().setPaces([]PaceCall{{Task: runB1.task, Run: 1, Percent: 50}}) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			withBench(t, func(t *testing.T, b *bench) {
				b.ctl.give(startOf(runB1))
				time.Sleep(time.Second)
				b.stopUnansweredStart()
				b.worker.dropHolds(c.dropHolds)
				time.Sleep(holdWait + guardInterval/2) // between two checks of the guard
				b.worker.restartWithSameID("w2")
				s := b.session()
				c.call(b)
				time.Sleep(time.Millisecond)
				if s.ctx.Err() == nil {
					t.Fatal("the test needs the session to end")
				}
				b.wantFenced()
			})
		})
	}
}

// Guards against late starts on a worker's successor while the only call that could reveal it
// is unanswered.
func TestWorkerIsProbedOnceAListIsOverdue(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		b.stopUnansweredStart()
		b.worker.dropHolds(1)
		time.Sleep(holdWait)
		b.worker.restartWithSameID("w2")
		time.Sleep(holdWait + listSlack + 2*guardInterval)
		b.wantFenced()
	})
}

// Guards against late starts on the successor of a draining worker, while the list that would
// reveal it is unanswered.
func TestDrainingWorkerIsProbedWhileAListIsUnanswered(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		b.leaveAStartUnanswered()
		b.announce("w1", true)
		time.Sleep(holdWait)
		b.worker.dropHolds(1)
		time.Sleep(holdWait)
		b.worker.restartWithSameID("w2")
		time.Sleep(2 * guardInterval)
		b.wantFenced()
	})
}

// Guards against late starts while the first call to a worker's successor goes unanswered.
func TestNextIncarnationIsFencedThoughACallIsLost(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		b.leaveAStartUnanswered()
		b.worker.failCalls(ErrClosed)
		b.worker.fail(0, VerdictDone)
		time.Sleep(time.Second)
		b.worker.restartWithSameID("w2")
		b.worker.dropHolds(1)
		time.Sleep(3 * guardInterval)
		b.wantFenced()
	})
}

// Guards against late starts on a successor that counts as fenced by a call to the previous
// incarnation, which was answered without regard to its token.
func TestOnlyACallToTheNextIncarnationFencesIt(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		b.stopUnansweredStart()
		b.session().switchToReserveToken() // the next list carries a token that no start had
		b.worker.restartWithSameID("w2")
		b.worker.mu.Lock()
		b.worker.tokensToIgnore = 1
		b.worker.mu.Unlock()
		time.Sleep(holdWait + time.Millisecond)
		if s := b.session(); s != nil && s.worker == "w1" && s.ctx.Err() == nil {
			t.Fatal("the test needs the session to end")
		}
		b.wantFenced()
	})
}

// Guards against late starts while a session that has ended still waits for the control, and
// no call reaches the worker.
func TestNextIncarnationIsFencedBetweenSessions(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		b.leaveAStartUnanswered()
		b.ctl.setDown(true)
		time.Sleep(time.Second) // calls to the control are in flight
		b.session().end("the test ends it")
		b.worker.fail(0, VerdictDone)
		time.Sleep(holdWait + callPause)
		b.worker.restartWithSameID("w2")
		time.Sleep(2 * guardInterval)
		b.wantFenced()
		b.ctl.setDown(false)
	})
}

// Guards against late starts on the second successor of a worker: the first one was fenced, and was
// replaced before its first heartbeat began a session that would fence the next.
func TestEachIncarnationIsFencedUntilOneHasASession(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		b.stopUnansweredStart()
		for _, name := range []string{"w2", "w3", "w4"} {
			b.worker.failCalls(ErrClosed)
			time.Sleep(200 * time.Millisecond)
			b.worker.restartWithSameID(name)
			time.Sleep(300 * time.Millisecond)
		}
		b.wantFenced()
	})
}

// Guards against a guard that goes on probing when no call of its session can arrive any more.
func TestGuardEndsWithTheCallsOfItsSession(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		s := b.session()
		b.worker.restartWithSameID("w2")
		time.Sleep(guardTimeout + time.Second)
		before := b.worker.holdCount()
		time.Sleep(time.Second)
		if n := b.worker.holdCount() - before; !s.guardDone.Load() || n > 0 {
			t.Errorf("%d probes in a second, long after the session's end", n)
		}
	})
}

// Guards against late starts that cannot be fenced while the control is unreachable, because
// they were sent with the highest token that the agent had.
func TestNothingIsStartedWithoutATokenInReserve(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		b.ctl.setNoTokens(true)
		b.worker.failCalls(ErrClosed) // takes the token in reserve
		time.Sleep(callPause)
		b.worker.failCalls(nil)
		time.Sleep(holdWait)
		b.leaveAStartUnanswered()
		b.worker.failCalls(ErrClosed)
		b.worker.fail(0, VerdictDone)
		time.Sleep(time.Second)
		b.worker.restartWithSameID("w2")
		time.Sleep(2 * guardInterval)
		b.wantFenced()
		b.ctl.setNoTokens(false)
		time.Sleep(2 * time.Second)
	})
}

// Guards against starts that wait for longer than the commit of a token after a connection was
// reset.
func TestStartsGoOnWithTheNextTokenInReserve(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		b.worker.failCalls(ErrClosed)
		time.Sleep(callPause)
		b.worker.failCalls(nil)
		time.Sleep(2 * callPause)
		b.ctl.give(startOf(runA1))
		time.Sleep(time.Millisecond)
		if !b.worker.isRunning(runA1) {
			t.Error("the run was not started")
		}
	})
}
