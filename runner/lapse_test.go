package runner

import (
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// endLateRun makes the worker's successor carry out a start for the previous incarnation and
// end that run, announces the successor, and returns the time of the announcement.
func (b *bench) endLateRun(overtaken time.Duration) time.Time {
	b.ctl.mu.Lock()
	b.ctl.maxLeaseMS = overtaken.Milliseconds()
	b.ctl.mu.Unlock()
	b.leaveAStartUnanswered()
	b.worker.failCalls(ErrClosed)
	b.worker.fail(0, VerdictDone)
	time.Sleep(time.Second)
	b.worker.restartCarryingOutLate("w2")
	b.worker.end(runA1, jobs.OutcomeDone)
	b.seq = 0
	b.announce("w2", false)
	return time.Now()
}

// Guards against a task that is started after its end was acknowledged: its late start
// completed unknown to the control, which has started the task elsewhere since.
func TestOvertakenLateEndIsAcknowledgedOnlyOnceTheLeaseHasLapsed(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		const longest = 10 * time.Second
		begun := b.endLateRun(longest)
		before := b.worker.lease()
		for b.worker.acknowledged() == 0 && time.Since(begun) < 2*longest {
			if b.worker.lease() > before {
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
			t.Error("nothing is started on the worker afterwards")
		}
	})
}

// Guards against a worker that is idle for a lease term though no task was started again.
func TestLateEndIsAcknowledgedAtOnce(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		b.endLateRun(0)
		time.Sleep(time.Second)
		if b.worker.acknowledged() == 0 {
			t.Error("the end isn't acknowledged")
		}
	})
}
