package clock

import (
	"testing"
	"time"
)

// Suspensions count as elapsed time, although the monotonic clock stops during them.
func TestSuspensionsCount(t *testing.T) {
	total := time.Duration(0)
	defer SetSuspendedSource(func() time.Duration { return total })()
	before := Now()
	total = 7 * time.Second
	if d := Since(before); d < 7*time.Second || d > 8*time.Second {
		t.Errorf("%v have elapsed", d)
	}
	if d := before.Sub(Now()); d > -7*time.Second {
		t.Errorf("the reverse difference is %v", d)
	}
}

// Without a suspension, the difference between the two clocks of the kernel must stay nearly the
// same from one reading to the next.
func TestKernelSuspendedTimeIsStable(t *testing.T) {
	a := kernelSuspended()
	time.Sleep(20 * time.Millisecond)
	if b := kernelSuspended(); b-a > 10*time.Millisecond || a-b > 10*time.Millisecond {
		t.Errorf("%v, then %v", a, b)
	}
}
