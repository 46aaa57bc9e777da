package control

import (
	"slices"
	"time"
)

// duetime is the median of the agents' wall clocks, against which occurrences are due. A single
// clock that jumps, including the leader's own, does not move it. It is read on every agent call,
// so the offsets are kept sorted: sorting on each call would take time quadratic in the number of
// agents. It is not safe for concurrent use.
type duetime struct {
	started time.Time
	offsets map[string]time.Duration // of each worker's agent's clock, relative to started
	ordered []time.Duration
}

func newDuetime(started time.Time) *duetime {
	return &duetime{started: started, offsets: make(map[string]time.Duration)}
}

// set records an agent's wall clock reading.
func (t *duetime) set(worker string, wallMS int64, now time.Time) {
	t.forget(worker)
	offset := time.Duration(wallMS)*time.Millisecond - now.Sub(t.started)
	t.offsets[worker] = offset
	i, _ := slices.BinarySearch(t.ordered, offset)
	t.ordered = slices.Insert(t.ordered, i, offset)
}

// forget drops the clock of a worker's agent.
func (t *duetime) forget(worker string) {
	offset, known := t.offsets[worker]
	if !known {
		return
	}
	delete(t.offsets, worker)
	i, _ := slices.BinarySearch(t.ordered, offset)
	t.ordered = slices.Delete(t.ordered, i, i+1)
}

// at returns the due time in milliseconds since 1970; it is this process's own clock until an
// agent has reported one.
func (t *duetime) at(now time.Time) int64 {
	if len(t.ordered) == 0 {
		return now.UnixMilli()
	}
	return (now.Sub(t.started) + t.ordered[len(t.ordered)/2]).Milliseconds()
}
