package control

import (
	"sync"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// waitStarts records since when tasks have been waiting: since their job's submission, or the end
// of the steps they depend on. It is used for metrics only.
type waitStarts struct {
	mu          sync.Mutex
	submittedAt map[string]time.Time        // by job: arrival of the submission
	endedAt     map[jobs.GroupKey]time.Time // arrival of the report of a step's last end
}

func newWaitStarts() *waitStarts {
	return &waitStarts{submittedAt: make(map[string]time.Time), endedAt: make(map[jobs.GroupKey]time.Time)}
}

// submitted records when the submission of a job arrived. Repeated calls have no effect.
func (w *waitStarts) submitted(job string, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.submittedAt[job]; !ok {
		w.submittedAt[job] = at
	}
}

// ended records the steps whose last end was in a report that arrived at the given time and is
// now committed.
func (w *waitStarts) ended(state *jobs.State, ends []jobs.End, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range ends {
		g := state.Group(e.Task)
		if e.Outcome != jobs.OutcomeDone || g == nil {
			continue
		}
		if open, _ := g.Open(); open == 0 {
			w.endedAt[g.Key()] = at
		}
	}
}

// fill sets, in a plan that is made now, since when the tasks that are placed for the first time
// have waited. Repeated occurrences are excluded, since they are due at their own time.
func (w *waitStarts) fill(state *jobs.State, plan *jobs.Plan, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range plan.Placements {
		p := &plan.Placements[i]
		g := state.Group(jobs.Ref{Job: p.Job, Occurrence: p.Occurrence, Step: p.Step})
		if g == nil || p.Copy || g.DueAt() > 0 {
			continue
		}
		if since := w.since(g); !since.IsZero() {
			p.SinceMS = plan.AtMS - now.Sub(since).Milliseconds()
		}
	}
}

// since returns when a group's tasks began to wait, zero if that is unknown. The caller holds the
// lock.
func (w *waitStarts) since(g *jobs.Group) (since time.Time) {
	if len(g.Step().DependsOn) == 0 {
		return w.submittedAt[g.Job().ID]
	}
	for _, d := range g.Step().DependsOn {
		if at := w.endedAt[jobs.GroupKey{Job: g.Job().ID, Occurrence: g.Occurrence(), Step: d}]; at.After(since) {
			since = at
		}
	}
	return since
}

// forget drops the entries of jobs that are no longer known.
func (w *waitStarts) forget(known func(job string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for job := range w.submittedAt {
		if !known(job) {
			delete(w.submittedAt, job)
		}
	}
	for key := range w.endedAt {
		if !known(key.Job) {
			delete(w.endedAt, key)
		}
	}
}
