// Package clock measures spans in which the machine may have been suspended. The steady
// clock that the standard library measures by stands still meanwhile, so by it a word
// that is ten seconds old may pass for fresh.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a moment of this process. It can't be compared with another machine's.
type Instant struct {
	steady    time.Time
	suspended time.Duration
}

// Now returns the present moment.
func Now() Instant { return Instant{time.Now(), (*suspended.Load())()} }

// IsZero reports whether the instant is none.
func (i Instant) IsZero() bool { return i.steady.IsZero() }

// Sub returns the time from an earlier instant to this one, suspensions included.
func (i Instant) Sub(earlier Instant) time.Duration {
	return i.steady.Sub(earlier.steady) + i.suspended - earlier.suspended
}

// Since returns the time that has passed since an instant, suspensions included.
func Since(i Instant) time.Duration { return Now().Sub(i) }

// suspended tells for how long the machine was suspended since its start.
var suspended atomic.Pointer[func() time.Duration]

func init() { Suspend(fromKernel) }

// Suspend replaces the source of how long the machine was suspended since its start, for
// tests of suspensions. It returns what puts the old one back.
func Suspend(total func() time.Duration) (restore func()) {
	old := suspended.Swap(&total)
	return func() { suspended.Store(old) }
}

// fromKernel compares the clock that counts suspensions with the one that doesn't.
func fromKernel() time.Duration {
	var all, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &all) != nil {
		return 0 // a kernel without these clocks has no suspensions to tell of either
	}
	return time.Duration(all.Nano() - steady.Nano())
}
