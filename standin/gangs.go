package standin

import (
	"sync"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// gangTimeout is how long a member of a gang waits for the others.
const gangTimeout = 3 * time.Second

// Gangs lets the members of gangs work together across workers: they begin when all members of a
// run are present and end as done together, and if one ends otherwise, the others end as broken.
type Gangs struct {
	mu   sync.Mutex
	runs map[gangRun]*gang
}

// gangRun identifies a run of a gang.
type gangRun struct {
	group jobs.GroupKey
	run   uint32
}

type gang struct {
	members map[jobs.Ref]*Runs
	over    bool
}

// NewGangs returns a set without gangs.
func NewGangs() *Gangs { return &Gangs{runs: make(map[gangRun]*gang)} }

// join adds a member of a gang of the given size, which works for a time and ends with an outcome.
func (g *Gangs) join(id runID, w *Runs, size int, work time.Duration, end jobs.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := gangRun{id.task.Group(), id.run}
	run := g.runs[key]
	if run == nil {
		run = &gang{members: make(map[jobs.Ref]*Runs)}
		g.runs[key] = run
		time.AfterFunc(gangTimeout, func() {
			if g.incomplete(run, size) {
				g.endAll(key, run, jobs.OutcomeLost, "alone")
			}
		})
	}
	if run.over {
		time.AfterFunc(gangTimeout, func() { w.endRunAs(id, jobs.OutcomeLost, "alone") })
		return
	}
	run.members[id.task] = w
	if len(run.members) == size {
		time.AfterFunc(work, func() { g.endAll(key, run, end, end.String()) })
	}
}

func (g *Gangs) incomplete(run *gang, size int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(run.members) < size
}

// endAll ends all members alike, but for a failure, which is one member's.
func (g *Gangs) endAll(key gangRun, run *gang, o jobs.Outcome, how string) {
	g.mu.Lock()
	if run.over {
		g.mu.Unlock()
		return
	}
	run.over = o != jobs.OutcomeFailed
	members := make(map[jobs.Ref]*Runs, len(run.members))
	for task, w := range run.members {
		members[task] = w
	}
	g.mu.Unlock()
	for task, w := range members {
		w.endRunAs(runID{task, key.run}, o, how)
		if o == jobs.OutcomeFailed {
			return
		}
	}
}

// left ends the other members of a gang after one has ended by itself.
func (g *Gangs) left(id runID) {
	key := gangRun{id.task.Group(), id.run}
	g.mu.Lock()
	defer g.mu.Unlock()
	run := g.runs[key]
	if run == nil || run.over {
		return
	}
	run.over = true
	for task, w := range run.members {
		if task != id.task {
			go w.endRunAs(runID{task, id.run}, jobs.OutcomeLost, "broken")
		}
	}
}
