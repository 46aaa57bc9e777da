package runner

import (
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// Guards against a late end on a worker's next start that a list for the one before acknowledges:
// only a list that has news to acknowledge carries a cursor.
func TestOnlyNewEndsAreAcknowledged(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		b.ctl.give(startOf(runB1))
		time.Sleep(time.Second)
		b.worker.end(runB1, jobs.OutcomeDone)
		time.Sleep(time.Second)
		if b.worker.acknowledged() != 1 {
			t.Fatalf("acknowledged up to %d", b.worker.acknowledged())
		}
		b.worker.mute(1 << 20)
		time.Sleep(2 * holdWait)
		b.worker.mu.Lock()
		lost := b.worker.lostHolds
		b.worker.mu.Unlock()
		if len(lost) == 0 {
			t.Fatal("no list went unanswered: nothing is shown")
		}
		for _, c := range lost {
			if c.Cursor != 0 {
				t.Errorf("a list that was lost acknowledges up to %d", c.Cursor)
			}
		}
		b.worker.mute(0)
	})
}
