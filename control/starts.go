package control

import (
	"sync"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// starts is the leader's memory of what tasks have waited for since when: a call that
// handed their job in, or the end of the step before theirs. It only measures.
type starts struct {
	mu    sync.Mutex
	taken map[string]time.Time        // by job: when the call arrived
	done  map[jobs.GroupKey]time.Time // when the report of a step's last end arrived
}

func newStarts() *starts {
	return &starts{taken: make(map[string]time.Time), done: make(map[jobs.GroupKey]time.Time)}
}

// submitted notes when the call for a job arrived. A resent call changes nothing.
func (s *starts) submitted(job string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.taken[job]; !ok {
		s.taken[job] = at
	}
}

// ended notes the steps whose last end was in a report that arrived at a time and is
// committed now.
func (s *starts) ended(state *jobs.State, ends []jobs.End, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range ends {
		g := state.Group(e.Task)
		if e.Outcome != jobs.OutcomeDone || g == nil {
			continue
		}
		if open, _ := g.Open(); open == 0 {
			s.done[g.Key()] = at
		}
	}
}

// fill tells in each order for a start how long before the run was decided on, by the clock
// that decides (see dispatcher.nowMS), and for a task's first run how long it has waited.
func (s *starts) fill(state *jobs.State, orders []jobs.Order, now time.Time, nowMS int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range orders {
		o := &orders[i]
		g := state.Group(o.Task)
		if g != nil && !o.Stop {
			o.Decided = decidedBefore(&g.Tasks[o.Task.Index], o.Run, nowMS)
		}
		if o.Run != 1 || o.Stop || g == nil || g.DueAt() > 0 {
			continue
		}
		var since time.Time
		o.AfterStep = len(g.Step().DependsOn) > 0
		if !o.AfterStep {
			since = s.taken[o.Task.Job]
		}
		for _, d := range g.Step().DependsOn {
			if at := s.done[jobs.GroupKey{Job: o.Task.Job, Occurrence: o.Task.Occurrence, Step: d}]; at.After(since) {
				since = at
			}
		}
		if !since.IsZero() {
			o.Waited = now.Sub(since)
		}
	}
}

// decidedBefore is how long ago a task's run was decided on, 0 if that isn't known.
func decidedBefore(t *jobs.Task, run uint32, nowMS int64) time.Duration {
	for _, r := range t.Runs() {
		if r.Run == run && r.AtMS > 0 {
			return time.Duration(max(nowMS-r.AtMS, 0)) * time.Millisecond
		}
	}
	return 0
}

// forget drops what concerns jobs that are not known any more.
func (s *starts) forget(known func(job string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for job := range s.taken {
		if !known(job) {
			delete(s.taken, job)
		}
	}
	for key := range s.done {
		if !known(key.Job) {
			delete(s.done, key)
		}
	}
}
