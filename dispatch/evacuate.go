package dispatch

import (
	"slices"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// maxEvacuated limits the runs that one pass moves off workers being evacuated.
const maxEvacuated = 64

// closed reports whether no new task may start on a worker: it is about to leave, or its data
// centre is out of service.
func (in *Input) closed(w *jobs.Worker) bool {
	return w.Draining || in.Leaving[w.ID] || in.DataCentres.Cordoned(w.DataCentre)
}

// Accepts reports whether new tasks may start on a worker.
func (in *Input) Accepts(w *jobs.Worker) bool { return !in.closed(w) && !in.Avoided[w.ID] }

// mustEvacuate reports whether standing tasks are to move off a worker: it is about to end, by
// itself or for maintenance of its machine, or an operator drains its data centre.
func (in *Input) mustEvacuate(w *jobs.Worker) bool {
	return w.Draining || in.Leaving[w.ID] || in.DataCentres.Draining(w.DataCentre)
}

// workersToEvacuate returns the workers that standing tasks are to move off, ordered by id.
// Workers that end by themselves come first, since they end soonest.
func (p *planner) workersToEvacuate() []string {
	var ids []string
	for id, w := range p.in.Jobs.Workers {
		if p.in.mustEvacuate(w) {
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

// evacuate moves standing tasks off workers as long as there is capacity elsewhere. Left on a
// worker that is about to leave, they would end with it, and the loss would go unnoticed for up
// to a full lease if the worker doesn't report its end. Other tasks stay: most end before the
// worker does, and moving all of them at the same time would overload the other workers.
//
// A worker that waits for maintenance of its machine, or whose data centre is drained, ends only
// by an operator's order. So no step has more unavailable standing tasks than its caller allows.
// Before maintenance, tasks that save their progress are moved too.
func (p *planner) evacuate() {
	moved := 0
	for _, id := range p.workersToEvacuate() {
		for _, ref := range p.in.Jobs.RunsOn(id) {
			if moved >= maxEvacuated {
				return
			}
			if p.move(p.in.Jobs.RunOn(ref, id), p.mustMoveOff(ref, id)) {
				p.moved[ref.Group()]++
				moved++
			}
		}
	}
}

// mustMoveOff returns a test of whether a run of the step is to be moved off a worker being
// evacuated.
func (p *planner) mustMoveOff(ref jobs.Ref, worker string) func(*jobs.Step) bool {
	if p.in.Jobs.Workers[worker].Draining {
		return func(s *jobs.Step) bool { return s.Standing }
	}
	g := p.in.Jobs.Group(ref)
	return func(s *jobs.Step) bool {
		if limitsUnavailable(s) {
			return p.otherAbsences(g, ref, worker)+p.moved[ref.Group()] < s.MaxUnavailable
		}
		return s.Standing || (s.Checkpointing && p.in.Leaving[worker])
	}
}

// otherAbsences counts the unavailable tasks of a group beside one that runs on a worker, and that one
// if it is unavailable for another reason than that its worker is ending.
func (p *planner) otherAbsences(g *jobs.Group, ref jobs.Ref, worker string) int {
	n := p.in.Absences.count(g, p.in.NowMS)
	if p.in.Absences.unavailable(g, ref.Index, p.in.NowMS) && !p.in.Absences.without(worker).unavailable(g, ref.Index, p.in.NowMS) {
		n--
	}
	return n
}
