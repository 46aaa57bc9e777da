package runner

import (
	"slices"
	"testing"
	"time"
)

// Guards against a leader that waits for the longest lease long after nothing of it is left.
func TestLongestLeaseIsTakenBackOnceItHasPassed(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		b.ctl.mu.Lock()
		b.ctl.lentMS = 10_000
		b.ctl.mu.Unlock()
		b.announce("w1", false)
		time.Sleep(9 * time.Second)
		said := func() []bool {
			b.ctl.mu.Lock()
			defer b.ctl.mu.Unlock()
			return slices.Clone(b.ctl.lentLate)
		}
		if s := said(); slices.Contains(s, false) {
			t.Fatalf("taken back early: %v", s)
		}
		time.Sleep(3 * time.Second)
		if s := said(); s[len(s)-1] {
			t.Errorf("not taken back: %v", s)
		}
		b.session().end("the test ends it")
		time.Sleep(time.Second)
		if s := said(); s[len(s)-1] {
			t.Errorf("the next session beside the same worker says it again: %v", s)
		}
	})
}
