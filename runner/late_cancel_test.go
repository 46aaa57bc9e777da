package runner

import (
	"testing"
	"time"
)

// Guards against a run of a cancelled job that continues: its start went unanswered, the agent
// was killed before it could stop the run, and the worker carries out the start seconds later.
// The agent's next process must end it, since the control no longer asks about the run.
//
// The worker may carry out the start before the next process's first call, which then lists
// the run, or later, when the next process's higher fencing token must prevent it.
func TestLateStartOfACancelledJobEndsWithoutItsStarter(t *testing.T) {
	for _, c := range []struct {
		name       string
		beforeNext bool
	}{{"before the next process", true}, {"after the next process has started", false}} {
		t.Run(c.name, func(t *testing.T) {
			withBench(t, func(t *testing.T, b *bench) {
				b.worker.fail(1<<20, VerdictDone)
				b.ctl.give(startOf(runA1))
				time.Sleep(100 * time.Millisecond)
				b.stop() // long before the lease ends
				b.worker.fail(0, VerdictDone)
				b.ctl.give(stopOf(runA1)) // the cancel, committed while no agent is running
				if c.beforeNext {
					b.worker.carryOutLate()
					if !b.worker.isRunning(runA1) {
						t.Fatal("the test needs the late start to be carried out")
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
					t.Error("the task of the cancelled job still runs")
				}
			})
		})
	}
}

// Guards against an unanswered start that takes effect after its job was cancelled, while the
// agent continues. The worker carries it out three seconds later: the run must not start, and
// it must be reported exactly once.
func TestLateStartAfterACommittedCancelNeverRuns(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		b.worker.fail(1<<20, VerdictDone)
		b.ctl.give(startOf(runA1))
		time.Sleep(100 * time.Millisecond)
		b.ctl.give(stopOf(runA1))
		time.Sleep(3 * time.Second)
		b.worker.fail(0, VerdictDone)
		b.worker.carryOutLate()
		time.Sleep(time.Second)
		if b.worker.isRunning(runA1) {
			t.Error("the task of the cancelled job still runs")
		}
		if _, n := b.ctl.ended(runA1); n != 1 {
			t.Errorf("its end was reported %d times", n)
		}
	})
}
