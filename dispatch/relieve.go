package dispatch

import "github.com/waxwinghaven/waxwinghaven/jobs"

// maxMoves bounds the stalled runs that one pass moves. More at once would all
// be promised the same room.
const maxMoves = 8

// relieve stops stalled runs that have somewhere better to go, so that they go on
// there from their saved progress. A stalled run holds up its whole job. A run that
// saves nothing loses what it did, which at a stand is not much: it was slowed
// soon after its start, or its neighbours would not have put up with it.
//
// Runs that make no progress go first, whether they save any or not: their job waits
// for them for ever. Standing tasks have no progress to tell by, and where copies are
// allowed one is placed instead: it begins before the stop would be answered.
func (p *planner) relieve() {
	moved := 0
	for _, st := range p.in.Stuck {
		if moved < maxMoves && p.move(st, func(s *jobs.Step) bool { return !s.Standing && !s.Speculative }) {
			moved++
		}
	}
	for _, st := range p.in.Stalled {
		if moved < maxMoves && p.move(st, func(s *jobs.Step) bool { return s.Checkpointing }) {
			moved++
		}
	}
}

// move stops one run that has somewhere better to go, if its step is movable, and
// reports whether it did. A gang's member is not: the others would end with it.
func (p *planner) move(st jobs.Stop, movable func(*jobs.Step) bool) bool {
	g := p.in.Jobs.Group(st.Task)
	if g == nil || g.Job().Phase.Over() || g.Step().Gang || !movable(g.Step()) {
		return false
	}
	placed := g.Tasks[st.Task.Index].Placed
	if placed == nil || placed.Run != st.Run || placed.Stopping || !p.refuge(g, placed.Worker) {
		return false
	}
	p.plan.Stops = append(p.plan.Stops, st)
	return true
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
