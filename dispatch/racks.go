package dispatch

import (
	"slices"
	"time"
)

// rackWait is how long a step whose tasks belong on one rack waits for room there.
// Spread over racks every task of it takes 1.5 to 3 times as long, and the shortest
// that were seen take 0.6 s: past a second the wait costs more than it saves.
const rackWait = time.Second

// fillOn places the waiting tasks of a group, those that belong together on one rack:
// the one that has tasks of the group already, else the first that takes all.
func (p *planner) fillOn(r request, running bool) filled {
	if !r.group.Step().RackSensitive {
		return p.fill(r, running, nil)
	}
	for _, rack := range p.racksOf(r) {
		f := p.fill(r, running, func(c *candidate) bool { return c.worker.Rack == rack })
		if len(f.taken) == r.group.Waiting() {
			return f
		}
		f.undo(r.group.Step())
	}
	if r.waited < rackWait {
		return filled{}
	}
	return p.fill(r, running, nil)
}

// racksOf returns the racks to try for a group, those with its tasks only if there are
// any.
func (p *planner) racksOf(r request) []string {
	var held, all []string
	for _, c := range p.workers[r.queue.Service] {
		if !slices.Contains(all, c.worker.Rack) {
			all = append(all, c.worker.Rack)
		}
	}
	for id := range p.onWorker(r.group) {
		if w := p.in.Jobs.Workers[id]; w != nil && !slices.Contains(held, w.Rack) {
			held = append(held, w.Rack)
		}
	}
	if len(held) > 0 {
		slices.Sort(held)
		return held
	}
	return all
}
