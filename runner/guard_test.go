package runner

import (
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

var runB1 = runKey{jobs.Ref{Job: "00000000000000bb"}, 1}

// wantFenced carries out what was sent to the incarnation before and wants none of it at work.
func (b *bench) wantFenced() {
	b.t.Helper()
	b.worker.carryOutLate()
	if b.worker.isRunning(runA1) {
		b.t.Error("a start for the incarnation before was carried out")
	}
}

// settleAStart leaves a start unanswered and has it stopped, so that nothing more is sent of it.
func (b *bench) settleAStart() {
	b.leaveAStartUnanswered()
	b.worker.fail(0, VerdictDone)
	b.ctl.give(stopOf(runA1))
	time.Sleep(holdWait)
}

// Guards against late starts on a worker's next start after a call has told the agent that it is
// there: the session ended, and nobody fenced it before its heartbeat was heard.
func TestEachVerdictElsewhereFencesTheNextIncarnation(t *testing.T) {
	runC1 := runKey{jobs.Ref{Job: "00000000000000cc"}, 1}
	for _, c := range []struct {
		name string
		mute int // lists, so that none is answered first
		call func(*bench)
	}{
		{"a list", 0, func(*bench) { time.Sleep(callPause) }},
		{"a start", 1, func(b *bench) { b.ctl.give(startOf(runC1)) }},
		{"a stop", 1, func(b *bench) { b.ctl.give(stopOf(runB1)) }},
		{"a pace", 1, func(b *bench) { b.session().setPaces([]PaceCall{{Task: runB1.task, Run: 1, Percent: 50}}) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			play(t, func(t *testing.T, b *bench) {
				b.ctl.give(startOf(runB1))
				time.Sleep(time.Second)
				b.settleAStart()
				b.worker.mute(c.mute)
				time.Sleep(holdWait + guardEvery/2) // between two of the guard's looks
				b.worker.startAgain("w2")
				s := b.session()
				c.call(b)
				time.Sleep(time.Millisecond)
				if s.ctx.Err() == nil {
					t.Fatal("the session goes on: nothing is shown")
				}
				b.wantFenced()
			})
		})
	}
}

// Guards against late starts on a worker's next start while the only call that could tell of it is
// unanswered.
func TestWorkerIsAskedOnceAListIsOverdue(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		b.settleAStart()
		b.worker.mute(1)
		time.Sleep(holdWait)
		b.worker.startAgain("w2")
		time.Sleep(holdWait + listSlack + 2*guardEvery)
		b.wantFenced()
	})
}

// Guards against late starts on the incarnation that follows a worker which leaves, while the
// list that would tell of it is unanswered.
func TestWorkerThatLeavesIsAskedWhileAListIsUnanswered(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		b.leaveAStartUnanswered()
		b.announce("w1", true)
		time.Sleep(holdWait)
		b.worker.mute(1)
		time.Sleep(holdWait)
		b.worker.startAgain("w2")
		time.Sleep(2 * guardEvery)
		b.wantFenced()
	})
}

// Guards against late starts while the first call to a worker's next start goes unanswered.
func TestNextIncarnationIsFencedThoughACallIsLost(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		b.leaveAStartUnanswered()
		b.worker.fall(ErrClosed)
		b.worker.fail(0, VerdictDone)
		time.Sleep(time.Second)
		b.worker.startAgain("w2")
		b.worker.mute(1)
		time.Sleep(3 * guardEvery)
		b.wantFenced()
	})
}

// Guards against late starts on a worker's next start that was taken for fenced by a call to the one
// before: it answered that one without a look at its token.
func TestOnlyACallToTheNextIncarnationFencesIt(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		b.settleAStart()
		b.session().stepUp() // the next list carries a token that no start had
		b.worker.startAgain("w2")
		b.worker.mu.Lock()
		b.worker.unseen = 1
		b.worker.mu.Unlock()
		time.Sleep(holdWait + time.Millisecond)
		if s := b.session(); s != nil && s.worker == "w1" && s.ctx.Err() == nil {
			t.Fatal("the session goes on: nothing is shown")
		}
		b.wantFenced()
	})
}

// Guards against late starts while a session that has ended still waits for the control, and
// nobody calls the worker.
func TestNextIncarnationIsFencedBetweenSessions(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		b.leaveAStartUnanswered()
		b.ctl.setDown(true)
		time.Sleep(time.Second) // calls to the control are under way
		b.session().end("the test ends it")
		b.worker.fail(0, VerdictDone)
		time.Sleep(holdWait + callPause)
		b.worker.startAgain("w2")
		time.Sleep(2 * guardEvery)
		b.wantFenced()
		b.ctl.setDown(false)
	})
}

// Guards against late starts that nobody can fence while the control is away: they were sent with
// the highest token that the agent had.
func TestNothingIsStartedWithoutATokenInReserve(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		b.ctl.setNoTokens(true)
		b.worker.fall(ErrClosed) // the token in reserve is taken
		time.Sleep(callPause)
		b.worker.fall(nil)
		time.Sleep(holdWait)
		b.leaveAStartUnanswered()
		b.worker.fall(ErrClosed)
		b.worker.fail(0, VerdictDone)
		time.Sleep(time.Second)
		b.worker.startAgain("w2")
		time.Sleep(2 * guardEvery)
		b.wantFenced()
		b.ctl.setNoTokens(false)
		time.Sleep(2 * time.Second)
	})
}

// Guards against starts that wait for longer than the commit of a token after a reset.
func TestStartsGoOnWithTheNextTokenInReserve(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		b.worker.fall(ErrClosed)
		time.Sleep(callPause)
		b.worker.fall(nil)
		time.Sleep(2 * callPause)
		b.ctl.give(startOf(runA1))
		time.Sleep(time.Millisecond)
		if !b.worker.isRunning(runA1) {
			t.Error("the run was not started")
		}
	})
}
