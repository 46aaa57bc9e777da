package upkeep

import (
	"cmp"
	"maps"
	"reflect"
	"slices"

	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// State holds all waves, by number.
type State struct {
	Waves map[uint64]*WaveProgress `msgpack:"w"`
	// Moving holds the workers whose machines were ordered to another pool, and when, in milliseconds
	// since 1970.
	Moving map[string]int64 `msgpack:"v,omitempty"`
}

// NewState returns a state without waves.
func NewState() *State { return &State{Waves: make(map[uint64]*WaveProgress)} }

// maxWaves bounds the waves that are kept. Of the finished ones those with the lowest numbers are
// dropped first.
const maxWaves = 1000

// ApplyStart adds a wave. It is idempotent: the same wave sent again changes nothing, and a
// different one under the same number is refused.
func (s *State) ApplyStart(w Wave, nowMS int64) error {
	if old := s.Waves[w.Number]; old != nil {
		if !reflect.DeepEqual(old.Wave, w) {
			return refusal.New(refusal.Conflict, "give each wave a number of its own", "wave %d was started with other content", w.Number)
		}
		return nil
	}
	r := &WaveProgress{Wave: w, StartedMS: nowMS}
	for _, m := range w.Machines {
		r.Machines = append(r.Machines, Progress{Machine: m, SinceMS: nowMS})
	}
	s.Waves[w.Number] = r
	s.evictFinished()
	return nil
}

func (s *State) evictFinished() {
	for _, n := range s.numbers() {
		if len(s.Waves) <= maxWaves {
			return
		}
		if s.Waves[n].finished() {
			delete(s.Waves, n)
		}
	}
}

func (s *State) numbers() []uint64 { return slices.Sorted(maps.Keys(s.Waves)) }

// Mark moves a machine of a wave to a later phase.
type Mark struct {
	Wave    uint64 `msgpack:"n"`
	Machine string `msgpack:"m"`
	Phase   Phase  `msgpack:"p"`
	Worker  string `msgpack:"w,omitempty"`
	AtMS    int64  `msgpack:"a"`
}

// ApplyMarks applies the marks that are still valid and returns their number. A phase never goes
// back, but a mark may name another worker for the present phase if the machine's worker has
// restarted. No more machines leave Waiting than the wave allows, since two leaders may each have
// chosen one.
func (s *State) ApplyMarks(marks []Mark) (applied int) {
	for _, m := range marks {
		r := s.Waves[m.Wave]
		if r == nil {
			continue
		}
		p := r.find(m.Machine)
		if p == nil || m.Phase < p.Phase || (m.Phase == p.Phase && (m.Worker == "" || m.Worker == p.Worker)) {
			continue
		}
		if p.Phase == Waiting && m.Phase < Back && r.active() >= r.Wave.MaxConcurrent {
			continue
		}
		p.Phase, p.SinceMS = m.Phase, m.AtMS
		if m.Worker != "" {
			p.Worker = m.Worker
		}
		applied++
	}
	return applied
}

// Active reports whether any wave has not finished.
func (s *State) Active() bool {
	for _, r := range s.Waves {
		if !r.finished() {
			return true
		}
	}
	return false
}

// Leaving returns the workers that get no new tasks because their machines are about to go down or
// are down.
func (s *State) Leaving() map[string]bool {
	out := make(map[string]bool)
	for _, r := range s.Waves {
		for i := range r.Machines {
			if p := &r.Machines[i]; p.Worker != "" && p.Phase > Waiting && p.Phase < Back {
				out[p.Worker] = true
			}
		}
	}
	return out
}

// Workers returns the workers noted in unfinished waves, ordered by the time of their machines' last
// marks.
func (s *State) Workers() (out []string) {
	var known []*Progress
	for _, n := range s.numbers() {
		r := s.Waves[n]
		for i := range r.Machines {
			if p := &r.Machines[i]; p.Worker != "" && !r.finished() {
				known = append(known, p)
			}
		}
	}
	slices.SortStableFunc(known, func(a, b *Progress) int { return cmp.Compare(a.SinceMS, b.SinceMS) })
	for _, p := range known {
		out = append(out, p.Worker)
	}
	return out
}

// Ordered returns the workers on machines that were ordered to go down and are not noted as back.
func (s *State) Ordered() (out []string) {
	for _, n := range s.numbers() {
		for i := range s.Waves[n].Machines {
			if p := &s.Waves[n].Machines[i]; p.Worker != "" && (p.Phase == Ordered || p.Phase == Down) {
				out = append(out, p.Worker)
			}
		}
	}
	return out
}

// orderedBefore returns the workers on machines that were ordered to go down and are not noted as
// back, but for those of machines whose order is unconfirmed and that follow the i-th of a wave. Two
// machines whose workers have restarted since their orders would otherwise wait for each other.
func (s *State) orderedBefore(r *WaveProgress, i int) (out []string) {
	for _, n := range s.numbers() {
		for k := range s.Waves[n].Machines {
			p := &s.Waves[n].Machines[k]
			before := n < r.Wave.Number || (n == r.Wave.Number && k < i)
			if p.Worker != "" && (p.Phase == Down || (p.Phase == Ordered && before)) {
				out = append(out, p.Worker)
			}
		}
	}
	return out
}

// Move is an order to put the machine of a worker into another pool, or, if Refused is set, the
// platform's refusal of it.
type Move struct {
	Worker  string `msgpack:"w"`
	AtMS    int64  `msgpack:"a"`
	Refused bool   `msgpack:"r,omitempty"`
}

// moveMemoryMS is how long a moved worker is remembered, in milliseconds: far longer than a move
// takes and than it takes to notice its end.
const moveMemoryMS = 60_000

// ApplyMove records an order to move a machine, before it is sent.
func (s *State) ApplyMove(m Move) {
	maps.DeleteFunc(s.Moving, func(_ string, atMS int64) bool { return m.AtMS-atMS > moveMemoryMS })
	if m.Refused {
		delete(s.Moving, m.Worker)
		return
	}
	if s.Moving == nil {
		s.Moving = make(map[string]int64)
	}
	s.Moving[m.Worker] = m.AtMS
}

// Moved reports whether a worker ends or has ended because its machine was moved.
func (s *State) Moved(worker string) bool {
	_, moved := s.Moving[worker]
	return moved
}

// Ending returns the workers that end or have ended by an order about their machine.
func (s *State) Ending(nowMS int64) map[string]bool {
	out := s.MovingAt(nowMS)
	for _, worker := range s.Ordered() {
		out[worker] = true
	}
	return out
}

// MovingAt returns the workers that end or have ended because of a move of their machine. An order that
// was not answered, or changed nothing, counts for moveMemoryMS only.
func (s *State) MovingAt(nowMS int64) map[string]bool {
	out := make(map[string]bool)
	for worker, atMS := range s.Moving {
		if nowMS-atMS <= moveMemoryMS {
			out[worker] = true
		}
	}
	return out
}

// StoppedForUpkeep reports whether a worker was stopped, or is about to be stopped, for an upkeep.
func (s *State) StoppedForUpkeep(worker string) bool {
	for _, r := range s.Waves {
		for i := range r.Machines {
			if p := &r.Machines[i]; p.Worker == worker && p.Phase >= Ordered {
				return true
			}
		}
	}
	return false
}
