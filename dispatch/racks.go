package dispatch

import (
	"slices"
	"time"
)

// rackWait is how long a rack-sensitive step waits for capacity on one rack. Spread over racks
// each task takes 1.5 to 3 times as long, and the shortest tasks take 0.6 s: beyond a second,
// waiting costs more than it saves.
const rackWait = time.Second

// assignByRack assigns the waiting tasks of a group. Those of a rack-sensitive step go to one
// rack: one that already runs tasks of the group, or else the first with capacity for all.
func (p *planner) assignByRack(r request, running bool) groupAssignment {
	if !r.group.Step().RackSensitive {
		return p.assign(r, running, nil)
	}
	for _, rack := range p.candidateRacks(r) {
		f := p.assign(r, running, func(c *candidate) bool { return c.worker.Rack == rack })
		if len(f.candidates) == r.group.Waiting() {
			return f
		}
		f.undo(r.group.Step())
	}
	if r.waited < rackWait {
		return groupAssignment{}
	}
	return p.assign(r, running, nil)
}

// candidateRacks returns the racks to try for a group: those that run its tasks, or all if there
// are none.
func (p *planner) candidateRacks(r request) []string {
	var occupied, all []string
	for _, c := range p.workersFor(r) {
		if !slices.Contains(all, c.worker.Rack) {
			all = append(all, c.worker.Rack)
		}
	}
	for id := range p.onWorker(r.group) {
		if w := p.in.Jobs.Workers[id]; w != nil && !slices.Contains(occupied, w.Rack) {
			occupied = append(occupied, w.Rack)
		}
	}
	if len(occupied) > 0 {
		slices.Sort(occupied)
		return occupied
	}
	return all
}
