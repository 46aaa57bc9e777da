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

// fill tells in a plan that is made now since when the tasks have waited that it places for
// the first time. Repetitions are due by their own time.
func (s *starts) fill(state *jobs.State, plan *jobs.Plan, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range plan.Placements {
		p := &plan.Placements[i]
		g := state.Group(jobs.Ref{Job: p.Job, Occurrence: p.Occurrence, Step: p.Step})
		if g == nil || p.Copy || g.DueAt() > 0 {
			continue
		}
		if since := s.since(g); !since.IsZero() {
			p.SinceMS = plan.AtMS - now.Sub(since).Milliseconds()
		}
	}
}

// since returns when a group's tasks began to wait, zero if that isn't known; the caller
// holds the lock.
func (s *starts) since(g *jobs.Group) (since time.Time) {
	if len(g.Step().DependsOn) == 0 {
		return s.taken[g.Job().ID]
	}
	for _, d := range g.Step().DependsOn {
		if at := s.done[jobs.GroupKey{Job: g.Job().ID, Occurrence: g.Occurrence(), Step: d}]; at.After(since) {
			since = at
		}
	}
	return since
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
