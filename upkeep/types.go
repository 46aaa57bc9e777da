// Package upkeep manages the upkeep of the machines below the workers. Operators request waves: each
// machine of a wave goes down once, within a time limit, and at most a given number of machines is
// down at a time. State is a pure state machine under the quorum's log, and Next decides from a
// snapshot without side effects. An order to a machine is committed before it is sent, so that a
// new leader knows which orders may have been carried out.
package upkeep

import (
	"slices"

	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// Wave is an operator's request for the upkeep of machines.
type Wave struct {
	Number   uint64   `msgpack:"n" json:"number"`
	Machines []string `msgpack:"m" json:"machines"`
	// DurationMS is the time limit of the wave, in milliseconds.
	DurationMS int64 `msgpack:"d" json:"duration_ms"`
	// MaxConcurrent bounds the machines that are down for the wave at the same time.
	MaxConcurrent int `msgpack:"c" json:"max_concurrent"`
}

// Bounds of one wave. MaxMachines is more than any deployment has.
const (
	MaxMachines = 100_000
	maxDuration = 30 * 24 * 3600 * 1000 // ms
)

// Validate returns an error if the wave is unusable.
func (w *Wave) Validate() error {
	bad := func(remedy, format string, args ...any) error {
		return refusal.New(refusal.Invalid, remedy, format, args...)
	}
	if len(w.Machines) > MaxMachines {
		return bad("split it", "the wave has %d machines", len(w.Machines))
	}
	if w.MaxConcurrent < 1 {
		return bad("let one machine or more be down at once", "the wave lets %d machines be down at once", w.MaxConcurrent)
	}
	if w.DurationMS < 0 || w.DurationMS > maxDuration {
		return bad("give it a time of 0 to 30 days", "the wave has the time limit %d ms", w.DurationMS)
	}
	seen := make(map[string]bool, len(w.Machines))
	for _, m := range w.Machines {
		if m == "" || seen[m] {
			return bad("name each machine once", "the machine %q has no name or is listed twice", m)
		}
		seen[m] = true
	}
	return nil
}

// Phase is the state of a machine in its wave. It never goes back.
type Phase uint8

// The phases.
const (
	Waiting  Phase = iota
	Emptying       // its worker gets no new tasks, and tasks that can be moved are moved
	Ordered        // the order may have been sent and may be carried out at any time
	Down           // the platform has confirmed the order
	Back           // a new worker has joined, or the machine no longer exists
)

var phaseNames = [...]string{"waiting", "emptying", "ordered", "down", "back"}

// String returns the phase's name.
func (p Phase) String() string {
	if int(p) >= len(phaseNames) {
		return "unknown"
	}
	return phaseNames[p]
}

// Progress is the state of one machine in a wave.
type Progress struct {
	Machine string `msgpack:"m"`
	Phase   Phase  `msgpack:"p"`
	// Worker is the id of the worker that is to be stopped, known from Emptying on.
	Worker string `msgpack:"w,omitempty"`
	// SinceMS is the time of the last mark, at which the phase began or its worker was replaced,
	// by the median of many clocks, in milliseconds since 1970.
	SinceMS int64 `msgpack:"s"`
}

// WaveProgress is a wave with its progress. It is kept after the wave has finished.
type WaveProgress struct {
	Wave      Wave       `msgpack:"w"`
	StartedMS int64      `msgpack:"s"`
	Machines  []Progress `msgpack:"m"`
}

// Completed reports whether the upkeep of every machine has begun.
func (r *WaveProgress) Completed() bool {
	for i := range r.Machines {
		if r.Machines[i].Phase < Down {
			return false
		}
	}
	return true
}

// finished reports whether every machine of the wave is back.
func (r *WaveProgress) finished() bool {
	for i := range r.Machines {
		if r.Machines[i].Phase < Back {
			return false
		}
	}
	return true
}

// active returns the number of machines that are down, may go down at any time, or are being
// emptied.
func (r *WaveProgress) active() int {
	n := 0
	for i := range r.Machines {
		if p := r.Machines[i].Phase; p > Waiting && p < Back {
			n++
		}
	}
	return n
}

func (r *WaveProgress) find(machine string) *Progress {
	i := slices.IndexFunc(r.Machines, func(p Progress) bool { return p.Machine == machine })
	if i < 0 {
		return nil
	}
	return &r.Machines[i]
}
