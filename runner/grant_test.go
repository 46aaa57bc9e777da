package runner

import (
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/jobs"
)

func (c *fakeControl) lastRenewal() control.LeaseRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.renewal
}

// Guards against a job that counts as begun though its start goes unanswered: each renewal says up to
// which order the agent knows, and which of the runs it could not start yet.
func TestRenewalsReportRunsThatHaveNotStarted(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		b.worker.fail(1<<20, VerdictDone)
		b.ctl.give(startOf(runA1))
		time.Sleep(2 * renewInterval)
		r := b.ctl.lastRenewal()
		if len(r.Unstarted) != 1 || r.Unstarted[0] != (jobs.Stop{Task: runA1.task, Run: runA1.run}) || r.OrdersIndex == 0 {
			t.Errorf("while the start goes unanswered: orders up to %d, not started %+v", r.OrdersIndex, r.Unstarted)
		}
		b.worker.fail(0, VerdictDone)
		time.Sleep(2 * renewInterval)
		if r := b.ctl.lastRenewal(); len(r.Unstarted) != 0 || r.OrdersIndex == 0 {
			t.Errorf("after the start: orders up to %d, not started %+v", r.OrdersIndex, r.Unstarted)
		}
	})
}

// Guards against a run that counts as started while the report that it never started is not committed.
func TestRejectedRunCountsAsUnstartedUntilItsEndIsCommitted(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		b.ctl.failEnds(true)
		b.worker.fail(0, VerdictNoCapacity)
		b.ctl.give(startOf(runA1))
		time.Sleep(2 * renewInterval)
		r := b.ctl.lastRenewal()
		if len(r.Unstarted) != 1 || r.OrdersIndex == 0 || !r.ReportsStarts {
			t.Errorf("before the commit: orders up to %d, not started %+v", r.OrdersIndex, r.Unstarted)
		}
		b.ctl.failEnds(false)
		time.Sleep(2 * renewInterval)
		if r := b.ctl.lastRenewal(); len(r.Unstarted) != 0 {
			t.Errorf("after the commit: not started %+v", r.Unstarted)
		}
	})
}

// Guards against runs that count as not started though they have ended: the agent's next process does
// not know all ends yet.
func TestRenewalsSayNothingUntilAllEndsAreListed(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		keys := b.startedRuns(4 * listedEnds)
		b.restartAgent(keys, func() { b.ctl.failEnds(true) })
		time.Sleep(2 * renewInterval)
		if r := b.ctl.lastRenewal(); r.OrdersIndex != 0 || len(r.Unstarted) != 0 {
			t.Errorf("with a truncated list: orders up to %d, not started %+v", r.OrdersIndex, r.Unstarted)
		}
		b.ctl.failEnds(false)
		time.Sleep(3 * time.Second)
		if r := b.ctl.lastRenewal(); r.OrdersIndex == 0 {
			t.Error("the agent does not say which runs have started once all ends are listed")
		}
	})
}

// Guards against a standing task that counts as available though it has never got to work.
func TestRenewalsNameStandingRunsThatAreNotAtWork(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		other := runKey{jobs.Ref{Job: "00000000000000bb"}, 1}
		b.worker.mu.Lock()
		b.worker.idle = map[runKey]bool{runA1: true, other: true}
		b.worker.mu.Unlock()
		standing := startOf(runA1)
		standing.Standing = true
		b.ctl.give(standing)
		b.ctl.give(startOf(other))
		time.Sleep(3 * renewInterval)
		if got := b.ctl.lastRenewal().NotAtWork; len(got) != 1 || got[0] != (jobs.Stop{Task: runA1.task, Run: runA1.run}) {
			t.Errorf("not at work: %+v", got)
		}
		b.worker.mu.Lock()
		b.worker.idle = nil
		b.worker.mu.Unlock()
		time.Sleep(3 * renewInterval)
		if got := b.ctl.lastRenewal().NotAtWork; len(got) != 0 {
			t.Errorf("not at work, though all are: %+v", got)
		}
	})
}
