package runner

import (
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// leaveAStartUnanswered orders a run whose start gets no answer however often it is tried.
func (b *bench) leaveAStartUnanswered() {
	b.worker.fail(1<<20, VerdictDone)
	b.ctl.give(startOf(runA1))
	time.Sleep(400 * time.Millisecond)
}

// startAgainWithLate crashes the worker while a start is unanswered, and lets its next start
// carry the order out before anybody has called it.
func (b *bench) startAgainWithLate(meanwhile func()) {
	b.leaveAStartUnanswered()
	b.worker.fall(ErrClosed)
	b.worker.fail(0, VerdictDone)
	time.Sleep(time.Second)
	b.worker.startAgainWithLate("w2")
	if !b.worker.isRunning(runA1) {
		b.t.Fatal("the late start is not carried out: nothing is shown")
	}
	meanwhile()
	b.seq = 0
	b.announce("w2", false)
	time.Sleep(2 * time.Second)
	if b.ctl.known() != "w2" {
		b.t.Fatalf("the control knows %q", b.ctl.known())
	}
}

// Guards against a task at two places: a start that went unanswered runs on the worker's next
// start, while the control takes its run for void and starts it elsewhere.
func TestLateStartOnTheNextIncarnationIsStoppedBeforeItsRegistration(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		running := false
		b.ctl.onRegister = func() { running = running || b.worker.isRunning(runA1) }
		b.startAgainWithLate(func() {})
		if running {
			t.Error("the control lets the run go on elsewhere while it is at work here")
		}
		b.wantEnd(runA1, jobs.OutcomeStopped)
	})
}

// Guards against a done task that is started again: its unanswered start was carried out by
// the worker's next start, and its end told as nobody's.
func TestLateStartThatEndsOnTheNextIncarnationIsDone(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		b.startAgainWithLate(func() { b.worker.end(runA1, jobs.OutcomeDone) })
		b.wantEnd(runA1, jobs.OutcomeDone)
		if w := b.ctl.endsOf[runA1]; w != "w1" {
			t.Errorf("the end was told of worker %q, the run was ordered for w1", w)
		}
		if b.worker.acknowledged() != 1 {
			t.Errorf("ends up to %d are acknowledged", b.worker.acknowledged())
		}
	})
}

// Guards against late calls on a worker's next start while the control is away: only a token
// in reserve can make it refuse them at its first answer.
func TestNextIncarnationIsFencedWhileTheControlIsAway(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		b.leaveAStartUnanswered()
		b.worker.fall(ErrClosed)
		b.worker.fail(0, VerdictDone)
		b.ctl.setDown(true)
		time.Sleep(time.Second)
		b.worker.startAgain("w2")
		b.seq = 0
		b.announce("w2", false)
		time.Sleep(time.Second)
		b.worker.carryOutLate()
		if b.worker.isRunning(runA1) {
			t.Error("a start for the incarnation before was carried out after the first call to this one")
		}
		b.ctl.setDown(false)
	})
}

// Guards against late starts on a worker's next start until its first heartbeat is heard: the
// session of the one before asks who is there, and has to do so with a token in reserve that
// starts which are tried meanwhile don't spend.
func TestNextIncarnationIsFencedBeforeItsFirstHeartbeat(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		b.leaveAStartUnanswered()
		b.worker.fall(ErrClosed)
		time.Sleep(time.Second)
		b.worker.fail(0, VerdictDone)
		b.worker.startAgain("w2")
		time.Sleep(2 * callPause)
		b.worker.carryOutLate()
		if b.worker.isRunning(runA1) {
			t.Error("a start for the incarnation before was carried out after the agent's first call")
		}
	})
}

// Guards against a session that a call with its older token ends: it was under way when the
// session went on to the token in reserve.
func TestCallWithTheTokenBeforeIsRepeated(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		s := b.session()
		before := s.target()
		s.stepUp()
		if s.target().Token <= before.Token {
			t.Fatal("there was no token in reserve: nothing is shown")
		}
		if s.refused(VerdictFenced, before) {
			t.Error("the session ended on its own older token")
		}
		if !s.refused(VerdictFenced, s.target()) {
			t.Error("the session goes on though another one's token is higher")
		}
	})
}

// Guards against a late start that goes on for as long as the control is away, while its
// task's lease ends and it is started elsewhere.
func TestLateStartIsStoppedWhileTheControlIsAway(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		b.leaveAStartUnanswered()
		b.ctl.setDown(true)
		b.worker.fall(ErrClosed)
		time.Sleep(time.Second) // meanwhile the start is tried again
		b.worker.fail(0, VerdictDone)
		b.worker.startAgainWithLate("w2")
		b.seq = 0
		b.announce("w2", false)
		time.Sleep(2*controlTimeout + time.Second)
		if b.worker.isRunning(runA1) {
			t.Error("the run goes on")
		}
		b.ctl.setDown(false)
		time.Sleep(2 * time.Second)
		b.wantEnd(runA1, jobs.OutcomeStopped)
	})
}

// Guards against starts that wait for the worker's next end, or a whole list's time, after a
// connection was reset.
func TestStartsGoOnSoonAfterAReset(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		b.worker.fall(ErrClosed)
		time.Sleep(callPause)
		b.worker.fall(nil)
		b.ctl.give(startOf(runA1))
		time.Sleep(5 * callPause) // less than holdWait
		if !b.worker.isRunning(runA1) {
			t.Error("the run was not started")
		}
	})
}
