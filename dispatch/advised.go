package dispatch

import (
	"cmp"
	"slices"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/queues"
)

// AdviceRequest is a step that waits for its queue's advisor to name the workers that may run it.
type AdviceRequest struct {
	Step jobs.GroupKey
	// Tasks is the number of its tasks that wait.
	Tasks int
	// Open are the workers that can take a task now if the advisor allows it, by the same rules as in
	// a pass. Full are those that could if they had more capacity. Both have the best first.
	Open, Full []string
	// Advice holds the times that the queue's advisor takes to answer and that its answers are
	// valid for.
	Advice queues.Advice
}

// AdviceRequests returns the steps of advised queues that have waiting tasks, the most urgent
// first. It is called after each pass, so it returns early if no queue is advised.
func AdviceRequests(in Input) []AdviceRequest {
	if !in.Config.Advised() {
		return nil
	}
	p := &planner{in: in}
	var out []AdviceRequest
	for _, r := range p.requests() {
		if r.queue.Advice == nil {
			continue
		}
		if p.workers == nil {
			p.collectCandidates()
			p.suspects = in.Jobs.Suspects()
			p.markSuspects()
		}
		a := AdviceRequest{Step: r.group.Key(), Tasks: r.group.Waiting(), Advice: *r.queue.Advice}
		a.Open, a.Full = p.candidates(r)
		out = append(out, a)
	}
	return out
}

// candidates returns the workers that can take a task of a step now if the advisor allows it, and
// those that could at another time, each by cost.
func (p *planner) candidates(r request) (open, full []string) {
	st := r.group.Step()
	onWorker, running := p.onWorker(r.group), r.group.Job().Active() > 0
	costs := make(map[string]float64)
	for _, c := range p.workers[r.queue.Service] {
		if (st.Label != "" && !c.worker.HasLabel(st.Label)) || !st.Held().Fits(c.worker.Capacity) {
			continue
		}
		costs[c.worker.ID] = p.cost(c, st, nil)
		if !c.isolated && p.takesIfAllowed(c, r, onWorker, running) {
			open = append(open, c.worker.ID)
		} else {
			full = append(full, c.worker.ID)
		}
	}
	byCost := func(a, b string) int { return cmp.Compare(costs[a], costs[b]) }
	slices.SortStableFunc(open, byCost)
	slices.SortStableFunc(full, byCost)
	return open, full
}

// ticketFor returns the ticket of a worker for a step, and whether the worker may run the step.
// Without an advisor it always may.
func (p *planner) ticketFor(r request, worker string) (ticket string, may bool) {
	if r.queue.Advice == nil {
		return "", true
	}
	if p.in.Ticket == nil {
		return "", false
	}
	ticket = p.in.Ticket(r.group.Key(), worker)
	return ticket, ticket != ""
}

// addTicket appends the ticket for the worker that was added to the placement last.
func (p *planner) addTicket(pl *jobs.Placement, r request, c *candidate) {
	if ticket, _ := p.ticketFor(r, c.worker.ID); ticket != "" {
		pl.Tickets = append(pl.Tickets, ticket)
	}
}
