package runner

import (
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// Guards against a list for the previous incarnation that acknowledges a late end on its
// successor: only a list with new ends to acknowledge carries a cursor.
func TestOnlyNewEndsAreAcknowledged(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		b.ctl.give(startOf(runB1))
		time.Sleep(time.Second)
		b.worker.end(runB1, jobs.OutcomeDone)
		time.Sleep(time.Second)
		if b.worker.acknowledged() != 1 {
			t.Fatalf("ends are acknowledged up to %d", b.worker.acknowledged())
		}
		b.worker.dropHolds(1 << 20)
		time.Sleep(2 * holdWait)
		b.worker.mu.Lock()
		lost := b.worker.lostHolds
		b.worker.mu.Unlock()
		if len(lost) == 0 {
			t.Fatal("the test needs an unanswered list")
		}
		for _, c := range lost {
			if c.Cursor != 0 {
				t.Errorf("a lost list acknowledges ends up to %d", c.Cursor)
			}
		}
		b.worker.dropHolds(0)
	})
}
