package main

import (
	"sync"
	"time"
)

// gangTimeout is GangTimeoutMs: how long a member waits for the others.
const gangTimeout = 3 * time.Second

// gangKey is one run of a gang: a step, and the number that its members share.
type gangKey struct {
	step taskName
	run  uint32
}

// gangs connects the members of gangs on different workers. Members work from the moment at which
// all of one run are present, and end together.
type gangs struct {
	mu      sync.Mutex
	present map[gangKey]map[taskName]*activeRun
	failed  map[gangKey]int // members that ended failed
}

func newGangs() *gangs {
	return &gangs{present: make(map[gangKey]map[taskName]*activeRun), failed: make(map[gangKey]int)}
}

// join adds a member, and returns all members once the last one has joined, else nil.
func (g *gangs) join(r *activeRun, count int) []*activeRun {
	key := gangKey{r.name.task.group(), r.name.run}
	g.mu.Lock()
	defer g.mu.Unlock()
	members := g.present[key]
	if members == nil {
		members = make(map[taskName]*activeRun)
		g.present[key] = members
	}
	members[r.name.task] = r
	if len(members) < count {
		return nil
	}
	return g.list(key)
}

// leave removes a member that has ended, and returns the members that are left.
func (g *gangs) leave(r *activeRun) []*activeRun {
	key := gangKey{r.name.task.group(), r.name.run}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.present[key], r.name.task)
	return g.list(key)
}

// list returns the members of a run of a gang. The caller holds the lock.
func (g *gangs) list(key gangKey) (out []*activeRun) {
	for _, m := range g.present[key] {
		out = append(out, m)
	}
	return out
}

// countFailure records that a member ended failed.
func (g *gangs) countFailure(name runName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failed[gangKey{name.task.group(), name.run}]++
}

// failures returns how many runs of a job's gangs had a member that ended failed, and how many
// members did so.
func (g *gangs) failures(job string) (runs, members int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, n := range g.failed {
		if key.step.job == job {
			runs++
			members += n
		}
	}
	return runs, members
}
