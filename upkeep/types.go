// Package upkeep is about the machines below the workers and the waves of upkeep that
// operators ask for: each machine of a wave goes down once, within a time, at most so
// many at once. State is a pure state machine under the quorum's log; Next is a pure
// decision from a snapshot. What a machine is ordered to do is committed first, so a
// leader that takes over knows what may have been carried out.
package upkeep

import (
	"slices"

	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// Wave asks for the upkeep of machines.
type Wave struct {
	Number   uint64   `msgpack:"n" json:"number"`
	Machines []string `msgpack:"m" json:"machines"`
	// DurationMS is how long it may take.
	DurationMS int64 `msgpack:"d" json:"duration_ms"`
	// MaxConcurrent bounds the machines that are down for it at once.
	MaxConcurrent int `msgpack:"c" json:"max_concurrent"`
}

// Bounds of one wave: more machines than any system of ours has.
const (
	MaxMachines = 100_000
	maxDuration = 30 * 24 * 3600 * 1000 // ms
)

// Validate reports what makes a wave unusable.
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
		return bad("give it a time of 0 to 30 days", "the wave has %d ms", w.DurationMS)
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

// Phase is where a machine stands in its wave. It only rises.
type Phase uint8

// The phases.
const (
	Waiting  Phase = iota
	Emptying       // its worker gets nothing new, and what can be moved is
	Ordered        // the order may have been sent, and may be carried out at any time
	Down           // the platform has confirmed the order
	Back           // a new worker has joined, or the machine is gone
)

var phaseNames = [...]string{"waiting", "emptying", "ordered", "down", "back"}

// String returns the phase's name.
func (p Phase) String() string {
	if int(p) >= len(phaseNames) {
		return "unknown"
	}
	return phaseNames[p]
}

// Progress is one machine's part of a wave.
type Progress struct {
	Machine string `msgpack:"m"`
	Phase   Phase  `msgpack:"p"`
	// Worker is the life that is to end, known from Emptying on.
	Worker string `msgpack:"w,omitempty"`
	// SinceMS is when the phase began, by the median of many clocks, in
	// milliseconds since 1970.
	SinceMS int64 `msgpack:"s"`
}

// Running is a wave with its progress.
type Running struct {
	Wave      Wave       `msgpack:"w"`
	StartedMS int64      `msgpack:"s"`
	Machines  []Progress `msgpack:"m"`
}

// Completed reports whether each machine has begun its upkeep.
func (r *Running) Completed() bool {
	for i := range r.Machines {
		if r.Machines[i].Phase < Down {
			return false
		}
	}
	return true
}

// over reports whether nothing of the wave is left to do.
func (r *Running) over() bool {
	for i := range r.Machines {
		if r.Machines[i].Phase < Back {
			return false
		}
	}
	return true
}

// out counts the machines that are down, may go down at any time, or are being emptied
// for it.
func (r *Running) out() int {
	n := 0
	for i := range r.Machines {
		if p := r.Machines[i].Phase; p > Waiting && p < Back {
			n++
		}
	}
	return n
}

func (r *Running) find(machine string) *Progress {
	i := slices.IndexFunc(r.Machines, func(p Progress) bool { return p.Machine == machine })
	if i < 0 {
		return nil
	}
	return &r.Machines[i]
}
