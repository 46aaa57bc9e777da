package control

import (
	"slices"
	"time"
)

// duetime is the time that occurrences are due by: the median of the agents' clocks.
// One clock that jumps, the leader's own included, does not move it. It is asked for with
// each call of an agent, so the clocks are kept in order: sorting them at each call would
// cost a large fleet the square of its agents. It is not safe for concurrent use.
type duetime struct {
	started time.Time
	offsets map[string]time.Duration // of a worker's agent's clock, against started
	ordered []time.Duration
}

func newDuetime(started time.Time) *duetime {
	return &duetime{started: started, offsets: make(map[string]time.Duration)}
}

// note takes in an agent's time of day.
func (t *duetime) note(worker string, wallMS int64, now time.Time) {
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

// at returns the time in milliseconds since 1970, by this instance's own clock while no
// agent has told one.
func (t *duetime) at(now time.Time) int64 {
	if len(t.ordered) == 0 {
		return now.UnixMilli()
	}
	return (now.Sub(t.started) + t.ordered[len(t.ordered)/2]).Milliseconds()
}
