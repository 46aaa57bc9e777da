package runner

import (
	"slices"
	"testing"
	"time"
)

// Guards against a leader that waits for the longest lease long after it has expired.
func TestLongestLeaseIsClearedOnceItHasPassed(t *testing.T) {
	withPreparedBench(t, func(c *fakeControl) { c.lateLeaseMS = 10_000 }, func(t *testing.T, b *bench) {
		b.announce("w1", false)
		time.Sleep(9 * time.Second)
		lateLeases := func() []bool {
			b.ctl.mu.Lock()
			defer b.ctl.mu.Unlock()
			return slices.Clone(b.ctl.lateLeases)
		}
		if s := lateLeases(); slices.Contains(s, false) {
			t.Fatalf("cleared early: %v", s)
		}
		time.Sleep(3 * time.Second)
		if s := lateLeases(); s[len(s)-1] {
			t.Errorf("not cleared: %v", s)
		}
		b.session().end("the test ends it")
		time.Sleep(time.Second)
		if s := lateLeases(); s[len(s)-1] {
			t.Errorf("the next session with the same incarnation sets it again: %v", s)
		}
	})
}
