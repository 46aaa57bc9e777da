package dispatch

import (
	"slices"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// maxLeaving bounds the runs that one pass moves off leaving workers.
const maxLeaving = 64

// closed reports whether nothing new may begin on a worker: it is about to leave, or its
// data centre is out of service.
func (in *Input) closed(w *jobs.Worker) bool {
	return w.Draining || in.Leaving[w.ID] || in.DataCentres.Cordoned(w.DataCentre)
}

// Takes reports whether something new may begin on a worker.
func (in *Input) Takes(w *jobs.Worker) bool { return !in.closed(w) && !in.Shunned[w.ID] }

// emptied reports whether standing tasks are to leave a worker: it is about to end, by
// itself or for an upkeep, or an operator drains its data centre.
func (in *Input) emptied(w *jobs.Worker) bool {
	return w.Draining || in.Leaving[w.ID] || in.DataCentres.Draining(w.DataCentre)
}

// emptiedWorkers returns the workers that standing tasks are to leave, in order. Those
// that end soonest by themselves come first.
func (p *planner) emptiedWorkers() []string {
	var ids []string
	for id, w := range p.in.Jobs.Workers {
		if p.in.emptied(w) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		if da, db := p.in.Jobs.Workers[a].Draining, p.in.Jobs.Workers[b].Draining; da != db {
			if da {
				return -1
			}
			return 1
		}
		if a < b {
			return -1
		}
		return 1
	})
	return ids
}

// empty moves standing tasks off workers that are to be emptied, as long as there is room
// elsewhere. Left on a worker that is about to leave they end with it, and are missed until
// somebody notices: for up to a whole lease where the worker says no word at its end. The
// other tasks stay: most end before the worker does, and moved all at once they crowd the
// other workers. A worker that waits for its machine's upkeep, or stands in a data centre
// that is drained, ends only by an operator's order, so no step loses more standing tasks at
// a time than its caller allows; and before an upkeep, tasks that save their progress leave
// too.
func (p *planner) empty() {
	moved := 0
	for _, id := range p.emptiedWorkers() {
		for _, ref := range p.in.Jobs.RunsOn(id) {
			if moved >= maxLeaving {
				return
			}
			if p.move(p.in.Jobs.RunOn(ref, id), p.leaves(ref, id)) {
				p.moved[ref.Group()]++
				moved++
			}
		}
	}
}

// leaves returns the test for a run to be moved off a worker that is to be emptied.
func (p *planner) leaves(ref jobs.Ref, worker string) func(*jobs.Step) bool {
	if p.in.Jobs.Workers[worker].Draining {
		return func(s *jobs.Step) bool { return s.Standing }
	}
	g := p.in.Jobs.Group(ref)
	return func(s *jobs.Step) bool {
		if bounded(s) {
			return away(g, p.in.NowMS, "")+p.moved[ref.Group()] < s.MaxUnavailable
		}
		return s.Standing || (s.Checkpointing && p.in.Leaving[worker])
	}
}
