package control

import (
	"context"
	"sync"
	"time"

	"github.com/waxwinghaven/waxwinghaven/clock"
)

const (
	// pulseEvery is the interval of a process's own pulse.
	pulseEvery = 100 * time.Millisecond
	// pulseGap is the time between two beats from which on the process may have stood
	// still. A busy processor delays a beat by some tens of milliseconds.
	pulseGap = 500 * time.Millisecond
)

// pulse tells whether this process has run without a break lately. What a process that
// stood still finds in its sockets looks new and may be long out of date.
type pulse struct {
	mu      sync.Mutex
	beat    clock.Instant // the newest, zero before the first
	resumed clock.Instant // when the process last went on after a break, or began
}

// note takes in that the process runs now.
func (p *pulse) note(now clock.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.beat.IsZero() || now.Sub(p.beat) >= pulseGap {
		p.resumed = now
	}
	p.beat = now
}

// steady returns for how long the process has run without a break. The first to ask after
// one notes it: no beat need have come in between.
func (p *pulse) steady(now clock.Instant) time.Duration {
	p.note(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.resumed)
}

// run beats until the context ends.
func (p *pulse) run(ctx context.Context) error {
	tick := time.NewTicker(pulseEvery)
	defer tick.Stop()
	for {
		p.note(clock.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}
