package runner

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/clock"
	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// A start goes unanswered again and again when an operator takes the data centre out of
// service. It must not be repeated any more: the run is stopped, so that an earlier start
// can't take effect, and given back to be placed elsewhere. What runs goes on.
func TestUnansweredStartIsGivenBackOutOfService(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
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
			t.Fatalf("the scene needs a start that is repeated, it was sent %d times", sent)
		}
		time.Sleep(3 * time.Second)
		if n := b.worker.tries(); n != sent {
			t.Errorf("the start was sent %d times more", n-sent)
		}
		b.wantEnd(runA1, jobs.OutcomeRejected)
		b.worker.carryOutLate()
		if b.worker.isRunning(runA1) {
			t.Error("a run that was given back runs")
		}
		if !b.worker.isRunning(other) {
			t.Error("what ran there was ended")
		}
	})
}

// Orders come while the data centre is out of service, from a leader that does not know yet.
// They are given back. Once it is back, runs start again.
func TestOrdersOutOfServiceAreGivenBack(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
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
			t.Error("nothing starts once the data centre is back")
		}
	})
}

// An agent takes an order, is cut off, and gets the start through only seconds later, under
// a lease that is still good. Meanwhile an operator was told that nothing starts there any
// more. The agent can't know that; it knows that it has heard nothing.
func TestNothingStartsByAnOldWord(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		b.ctl.lendFor(20 * time.Second)
		time.Sleep(time.Second)
		b.worker.fail(1<<20, VerdictDone)
		b.ctl.give(startOf(runA1))
		time.Sleep(100 * time.Millisecond)
		b.ctl.setDown(true)
		time.Sleep(testStartWord)
		sent := b.worker.tries()
		b.worker.fail(0, VerdictDone)
		time.Sleep(3 * time.Second)
		if n := b.worker.tries(); n != sent {
			t.Errorf("%d starts were sent by an old word", n-sent)
		}
		b.ctl.setDown(false)
		time.Sleep(3 * time.Second)
		if !b.worker.isRunning(runA1) {
			t.Error("the run does not start by a new word")
		}
	})
}

// The agent's machine is suspended for ten seconds. Its steady clock says that the word is
// fresh; the order that takes the data centre out of service was acknowledged meanwhile, and
// the answer with orders that was on its way comes from before.
func TestASuspensionAgesTheWord(t *testing.T) {
	for _, lasted := range []time.Duration{0, 10 * time.Second} {
		play(t, func(t *testing.T, b *bench) {
			var suspended atomic.Int64
			defer clock.Suspend(func() time.Duration { return time.Duration(suspended.Load()) })()
			b.ctl.lendFor(time.Minute)
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

// Two requests for the lease overlap, and the older one, which was answered before the order
// took effect, comes last. It must not bring the data centre back.
func TestAnOlderAnswerDoesNotBringTheDataCentreBack(t *testing.T) {
	s := &session{r: &Runner{startWord: testStartWord}, runs: make(map[runKey]*run)}
	first := clock.Now()
	time.Sleep(time.Millisecond)
	second := clock.Now()
	s.heard(true, second)
	s.heard(false, first)
	if !s.isCordoned() || s.mayStart() {
		t.Error("the data centre is in service again by an older word")
	}
}
