package runner

import (
	"testing"
	"time"
)

// A start goes unanswered and its job is cancelled. Its starter is killed before it can
// stop the run, and the worker carries the start out seconds later. Whoever takes the
// worker over must end it: its job is over, and nobody else asks about the run.
//
// The worker may carry it out before the next life's first call, which it then takes stock
// by, or after, when the next life's fencing token is the higher one.
func TestLateStartOfACancelledJobEndsWithoutItsStarter(t *testing.T) {
	for _, c := range []struct {
		name       string
		beforeNext bool
	}{{"before the next life", true}, {"after the next life began", false}} {
		t.Run(c.name, func(t *testing.T) {
			play(t, func(t *testing.T, b *bench) {
				b.worker.fail(1<<20, VerdictDone)
				b.ctl.give(startOf(runA1))
				time.Sleep(100 * time.Millisecond)
				b.stop() // long enough before the lease ends
				b.worker.fail(0, VerdictDone)
				b.ctl.give(stopOf(runA1)) // the cancel, committed while nobody is there
				if c.beforeNext {
					b.worker.carryOutLate()
					if !b.worker.isRunning(runA1) {
						t.Fatal("the late start is not carried out: nothing is shown")
					}
				}
				b.begin()
				b.announce("w1", false)
				time.Sleep(time.Second)
				if !c.beforeNext {
					b.worker.carryOutLate()
					time.Sleep(time.Second)
				}
				if b.worker.isRunning(runA1) {
					t.Error("the task of the cancelled job runs on")
				}
			})
		})
	}
}

// The cancel comes while the start is unanswered, and its starter lives. The worker carries
// the start out three seconds later: it must not run then, and the run is given back once.
func TestLateStartAfterACommittedCancelNeverRuns(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		b.worker.fail(1<<20, VerdictDone)
		b.ctl.give(startOf(runA1))
		time.Sleep(100 * time.Millisecond)
		b.ctl.give(stopOf(runA1))
		time.Sleep(3 * time.Second)
		b.worker.fail(0, VerdictDone)
		b.worker.carryOutLate()
		time.Sleep(time.Second)
		if b.worker.isRunning(runA1) {
			t.Error("the task of the cancelled job runs on")
		}
		if _, n := b.ctl.ended(runA1); n != 1 {
			t.Errorf("its end was reported %d times", n)
		}
	})
}
