package dispatch

import "github.com/waxwinghaven/waxwinghaven/jobs"

// maxMoves bounds the stalled runs that one pass moves. More at once would all
// be promised the same room.
const maxMoves = 8

// relieve stops stalled runs that have somewhere better to go, so that they go on
// there from their saved progress. A stalled run holds up its whole job: without
// this the last task of a step took 12 to 31 s where its peers took 2. A run that
// saves nothing loses what it did, which at a stand is not much: it was slowed
// soon after its start, or its neighbours would not have put up with it.
func (p *planner) relieve() {
	moved := p.unstick()
	for _, st := range p.in.Stalled {
		if moved >= maxMoves {
			return
		}
		g := p.in.Jobs.Group(st.Task)
		if g == nil || g.Job().Phase.Over() {
			continue
		}
		placed := g.Tasks[st.Task.Index].Placed
		if placed == nil || placed.Run != st.Run || placed.Stopping || !g.Step().Checkpointing || g.Step().Gang {
			continue
		}
		if p.refuge(g, placed.Worker) {
			p.plan.Stops = append(p.plan.Stops, st)
			moved++
		}
	}
}

// unstick stops runs that make no progress, whether they save any or not: their
// job waits for them for ever. Standing tasks have no
// progress to tell by.
func (p *planner) unstick() (moved int) {
	for _, st := range p.in.Stuck {
		if moved >= maxMoves {
			break
		}
		g := p.in.Jobs.Group(st.Task)
		if g == nil || g.Job().Phase.Over() || g.Step().Gang || g.Step().Standing {
			continue
		}
		placed := g.Tasks[st.Task.Index].Placed
		if placed == nil || placed.Run != st.Run || placed.Stopping {
			continue
		}
		if p.refuge(g, placed.Worker) {
			p.plan.Stops = append(p.plan.Stops, st)
			moved++
		}
	}
	return moved
}

// refuge takes room for a moved run on a worker where it disturbs nobody much.
func (p *planner) refuge(g *jobs.Group, from string) bool {
	q := p.in.Config.At(g.Job().Host, g.Job().Prefix)
	if q == nil {
		return false
	}
	for _, c := range p.workers[q.Service] {
		if c.worker.ID != from && p.fits(c, request{group: g, queue: q}, true) {
			c.take(g.Step())
			return true
		}
	}
	return false
}
