package dispatch

import "github.com/waxwinghaven/waxwinghaven/jobs"

// maxMoves limits the stalled runs that one pass moves. More at the same time would count on the
// same free capacity.
const maxMoves = 8

// moveStalled stops stalled runs that fit on another worker, so that they continue there from
// their saved progress. A stalled run delays its whole job. Only runs of steps with checkpoints
// are moved for being stalled. One that has saved nothing yet loses little: it was throttled soon
// after its start, since its neighbours would not have tolerated it for longer.
//
// Runs that make no progress at full pace go first, with or without checkpoints: their job would
// wait for them forever. Standing tasks report no progress. Where copies are allowed a copy is
// placed instead, which starts sooner than a stop is confirmed.
func (p *planner) moveStalled() {
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

// move stops a run if its step is movable and another worker has capacity for it, and reports
// whether it did. Members of a gang are not moved, because the other members would end with them.
func (p *planner) move(st jobs.Stop, movable func(*jobs.Step) bool) bool {
	g := p.in.Jobs.Group(st.Task)
	if g == nil || g.Job().Phase.Over() || g.Step().Gang || !movable(g.Step()) {
		return false
	}
	placed := g.Tasks[st.Task.Index].Placed
	if placed == nil || placed.Run != st.Run || placed.Stopping || !p.reserveTarget(g, placed.Worker) {
		return false
	}
	p.plan.Stops = append(p.plan.Stops, st)
	return true
}

// reserveTarget reserves capacity for a run on another worker that takes it, and reports whether
// there is one.
func (p *planner) reserveTarget(g *jobs.Group, from string) bool {
	q := p.in.Config.At(g.Job().Host, g.Job().Prefix)
	if q == nil {
		return false
	}
	onWorker := p.onWorker(g)
	for _, c := range p.workers[q.Service] {
		if c.worker.ID != from && !c.isolated && p.takes(c, request{group: g, queue: q}, onWorker, true) {
			c.reserve(g.Step())
			p.targets[g.Key()] = append(p.targets[g.Key()], c.worker.ID)
			return true
		}
	}
	return false
}
