package control

import (
	"context"
	"sync"
	"time"

	"github.com/waxwinghaven/waxwinghaven/clock"
)

const (
	// stallCheckInterval is how often the process records that it is running.
	stallCheckInterval = 100 * time.Millisecond
	// stallThreshold is the time between two checks above which the process may have been
	// stalled. A busy processor delays a check by some tens of milliseconds.
	stallThreshold = 500 * time.Millisecond
)

// stallDetector measures how long this process has run without a stall. What a stalled process
// finds in its sockets looks new and may be long out of date.
type stallDetector struct {
	mu      sync.Mutex
	last    clock.Instant // the latest check, zero before the first
	resumed clock.Instant // when the process last resumed after a stall, or started
}

// observe records that the process is running now.
func (d *stallDetector) observe(now clock.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.last.IsZero() || now.Sub(d.last) >= stallThreshold {
		d.resumed = now
	}
	d.last = now
}

// runningFor returns how long the process has run without a stall. It checks for one first, since
// the ticker need not have fired since the process resumed.
func (d *stallDetector) runningFor(now clock.Instant) time.Duration {
	d.observe(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.resumed)
}

// run checks periodically until the context ends.
func (d *stallDetector) run(ctx context.Context) error {
	tick := time.NewTicker(stallCheckInterval)
	defer tick.Stop()
	for {
		d.observe(clock.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}
