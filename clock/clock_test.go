package clock

import (
	"testing"
	"time"
)

// A machine is suspended for seconds; its steady clock stands still meanwhile.
func TestSuspensionsCount(t *testing.T) {
	total := time.Duration(0)
	defer Suspend(func() time.Duration { return total })()
	before := Now()
	total = 7 * time.Second
	if d := Since(before); d < 7*time.Second || d > 8*time.Second {
		t.Errorf("%v have passed", d)
	}
	if d := before.Sub(Now()); d > -7*time.Second {
		t.Errorf("the other way round it is %v", d)
	}
}

// Where nothing was suspended the two clocks of the kernel differ by next to nothing more
// from one reading to the next.
func TestKernelTellsOfSuspensions(t *testing.T) {
	a := fromKernel()
	time.Sleep(20 * time.Millisecond)
	if b := fromKernel(); b-a > 10*time.Millisecond || a-b > 10*time.Millisecond {
		t.Errorf("%v, then %v", a, b)
	}
}
