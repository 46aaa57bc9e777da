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
