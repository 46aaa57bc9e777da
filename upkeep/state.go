package upkeep

import (
	"cmp"
	"maps"
	"reflect"
	"slices"

	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// State is all waves, by number.
type State struct {
	Waves map[uint64]*Running `msgpack:"w"`
}

// NewState returns the empty state.
func NewState() *State { return &State{Waves: make(map[uint64]*Running)} }

// maxWaves bounds the waves that are remembered; the lowest numbers that are over go
// first.
const maxWaves = 1000

// ApplyStart takes a wave in. It is idempotent: the same wave sent again changes
// nothing, another one under its number is refused.
func (s *State) ApplyStart(w Wave, nowMS int64) error {
	if old := s.Waves[w.Number]; old != nil {
		if !reflect.DeepEqual(old.Wave, w) {
			return refusal.New(refusal.Conflict, "give each wave a number of its own", "wave %d was started with other content", w.Number)
		}
		return nil
	}
	r := &Running{Wave: w, StartedMS: nowMS}
	for _, m := range w.Machines {
		r.Machines = append(r.Machines, Progress{Machine: m, SinceMS: nowMS})
	}
	s.Waves[w.Number] = r
	s.forget()
	return nil
}

func (s *State) forget() {
	for _, n := range s.numbers() {
		if len(s.Waves) <= maxWaves {
			return
		}
		if s.Waves[n].over() {
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

// ApplyMarks takes marks over that still hold, and returns how many did. A phase never
// goes back, but names another worker if the machine's was started anew; and no more
// machines leave Waiting than the wave allows: two leaders may each have chosen one.
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
		if p.Phase == Waiting && m.Phase < Back && r.out() >= r.Wave.MaxConcurrent {
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

// Active reports whether any wave has something left to do.
func (s *State) Active() bool {
	for _, r := range s.Waves {
		if !r.over() {
			return true
		}
	}
	return false
}

// Leaving returns the workers that get nothing new, since their machines are about to
// go down.
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

// Workers returns the workers that waves with something left to do know, the one that was
// noted last at the end.
func (s *State) Workers() (out []string) {
	var known []*Progress
	for _, n := range s.numbers() {
		r := s.Waves[n]
		for i := range r.Machines {
			if p := &r.Machines[i]; p.Worker != "" && !r.over() {
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

// TookDown reports whether a worker was, or is to be, ended for an upkeep.
func (s *State) TookDown(worker string) bool {
	for _, r := range s.Waves {
		for i := range r.Machines {
			if p := &r.Machines[i]; p.Worker == worker && p.Phase >= Ordered {
				return true
			}
		}
	}
	return false
}
