package runner

import (
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// lateEnd lets the worker's next start carry out a start for the one before, which ends there, and
// returns when that start was announced.
func (b *bench) lateEnd(overtaken time.Duration) time.Time {
	b.ctl.mu.Lock()
	b.ctl.overtakenMS = overtaken.Milliseconds()
	b.ctl.mu.Unlock()
	b.leaveAStartUnanswered()
	b.worker.fall(ErrClosed)
	b.worker.fail(0, VerdictDone)
	time.Sleep(time.Second)
	b.worker.startAgainWithLate("w2")
	b.worker.end(runA1, jobs.OutcomeDone)
	b.seq = 0
	b.announce("w2", false)
	return time.Now()
}

// Guards against a task that is started after an acknowledged end: its late start ended as done
// where nobody knew of it, and it has been started elsewhere since.
func TestOvertakenLateEndIsAcknowledgedOnlyOnceTheLeaseHasLapsed(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		const longest = 10 * time.Second
		begun := b.lateEnd(longest)
		lent := b.worker.lease()
		for b.worker.acknowledged() == 0 && time.Since(begun) < 2*longest {
			if b.worker.lease() > lent {
				t.Fatal("the lease was extended")
			}
			time.Sleep(50 * time.Millisecond)
		}
		if took := time.Since(begun); took < longest || b.worker.acknowledged() == 0 {
			t.Errorf("acknowledged after %v", took)
		}
		b.wantEnd(runA1, jobs.OutcomeDone)
		time.Sleep(time.Second)
		b.ctl.give(startOf(runB1))
		time.Sleep(time.Second)
		if !b.worker.isRunning(runB1) {
			t.Error("the worker isn't used afterwards")
		}
	})
}

// Guards against a worker that stands idle for a lease though no task was started again.
func TestLateEndIsAcknowledgedAtOnce(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		b.lateEnd(0)
		time.Sleep(time.Second)
		if b.worker.acknowledged() == 0 {
			t.Error("the end isn't acknowledged")
		}
	})
}
