// Package clock measures durations in which the machine may have been suspended. The monotonic
// clock of the standard library stops during suspension, so by it a message that is ten seconds
// old may count as fresh.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time of this process. It cannot be compared with one of another machine.
type Instant struct {
	monotonic time.Time
	suspended time.Duration
}

// Now returns the current instant.
func Now() Instant { return Instant{time.Now(), (*suspended.Load())()} }

// IsZero reports whether i is the zero Instant.
func (i Instant) IsZero() bool { return i.monotonic.IsZero() }

// Sub returns the time from an earlier instant to this one, suspensions included.
func (i Instant) Sub(earlier Instant) time.Duration {
	return i.monotonic.Sub(earlier.monotonic) + i.suspended - earlier.suspended
}

// Since returns the time elapsed since an instant, suspensions included.
func Since(i Instant) time.Duration { return Now().Sub(i) }

// suspended returns how long the machine has been suspended in total since its boot.
var suspended atomic.Pointer[func() time.Duration]

func init() { SetSuspendedSource(kernelSuspended) }

// SetSuspendedSource replaces the source of the total suspended time since boot, for tests. restore
// puts the previous source back.
func SetSuspendedSource(total func() time.Duration) (restore func()) {
	old := suspended.Swap(&total)
	return func() { suspended.Store(old) }
}

// kernelSuspended returns the difference between the kernel's clock that includes suspensions
// and the one that does not.
func kernelSuspended() time.Duration {
	var boottime, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boottime) != nil {
		return 0 // a kernel without these clocks does not report suspensions
	}
	return time.Duration(boottime.Nano() - monotonic.Nano())
}
