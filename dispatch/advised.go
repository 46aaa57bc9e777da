package dispatch

import (
	"slices"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/queues"
)

// AdviceRequest is a step that waits for its queue's advisor to name the workers that may run it.
type AdviceRequest struct {
	Step jobs.GroupKey
	// Tasks is the number of its tasks that wait.
	Tasks int
	// Workers are those that could run the step, the best first.
	Workers []string
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
		}
		out = append(out, AdviceRequest{Step: r.group.Key(), Tasks: r.group.Waiting(), Workers: p.candidates(r), Advice: *r.queue.Advice})
	}
	return out
}

// candidates returns the workers that could run a step if the advisor allows it: those with
// enough free capacity first, then by cost.
func (p *planner) candidates(r request) []string {
	type option struct {
		id   string
		full int
		cost float64
	}
	st := r.group.Step()
	var options []option
	for _, c := range p.workers[r.queue.Service] {
		if (st.Label != "" && !c.worker.HasLabel(st.Label)) || !st.Held().Fits(c.worker.Capacity) {
			continue
		}
		o := option{id: c.worker.ID, cost: p.cost(c, st, nil)}
		if !st.Held().Fits(c.free) {
			o.full = 1
		}
		options = append(options, o)
	}
	slices.SortStableFunc(options, func(a, b option) int {
		if a.full != b.full {
			return a.full - b.full
		}
		switch {
		case a.cost < b.cost:
			return -1
		case a.cost > b.cost:
			return 1
		}
		return 0
	})
	out := make([]string, len(options))
	for i, o := range options {
		out[i] = o.id
	}
	return out
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
