package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/queues"
)

// AdviceRequest is a step that waits for its queue's advisor to name the workers that may run it.
type AdviceRequest struct {
	Step jobs.GroupKey
	// Tasks is the number of its tasks that wait for a worker, or run and need another one.
	Tasks int
	// Open are the workers that can take a task now if the advisor allows it, by the same rules as in
	// a pass. Full are those that could if they had more capacity. Both have the best first.
	Open, Full []string
	// Advice holds the times that the queue's advisor takes to answer and that its answers are
	// valid for.
	Advice queues.Advice
}

// AdviceRequests returns the steps of advised queues that need workers, the most urgent of those
// with waiting tasks first. It is called after each pass, so it returns early if no queue is
// advised.
func AdviceRequests(in Input) []AdviceRequest {
	if !in.Config.Advised() {
		return nil
	}
	p := &planner{in: in}
	var out []AdviceRequest
	elsewhere := p.elsewhere()
	for _, r := range p.requests() {
		if r.queue.Advice == nil {
			continue
		}
		out = append(out, p.adviceRequest(r, r.group.Waiting(), elsewhere[r.group.Key()]))
		delete(elsewhere, r.group.Key())
	}
	for _, key := range slices.SortedFunc(maps.Keys(elsewhere), jobs.GroupKey.Compare) {
		g := in.Jobs.Group(jobs.Ref{Job: key.Job, Occurrence: key.Occurrence, Step: key.Step})
		out = append(out, p.adviceRequest(request{group: g, queue: p.advisedQueue(g)}, 0, elsewhere[key]))
	}
	return out
}

// adviceRequest is the request for advice on a step with a number of waiting tasks, and with runs
// that need another worker than the given ones.
func (p *planner) adviceRequest(r request, waiting int, from []string) AdviceRequest {
	if p.workers == nil {
		p.collectCandidates()
	}
	a := AdviceRequest{Step: r.group.Key(), Tasks: waiting + len(from), Advice: *r.queue.Advice}
	a.Open, a.Full = p.candidates(r)
	if waiting == 0 {
		isOrigin := func(worker string) bool { return slices.Contains(from, worker) }
		a.Open, a.Full = slices.DeleteFunc(a.Open, isOrigin), slices.DeleteFunc(a.Full, isOrigin)
	}
	return a
}

// elsewhere returns the workers of the runs that are to go on, or to be copied, on another worker,
// by step. Tickets of the first start have mostly run out by then.
func (p *planner) elsewhere() map[jobs.GroupKey][]string {
	out := make(map[jobs.GroupKey][]string)
	add := func(ref jobs.Ref, worker string) {
		if g := p.in.Jobs.Group(ref); g != nil && !g.Job().Phase.Over() && !g.Step().Gang && p.advisedQueue(g) != nil {
			out[ref.Group()] = append(out[ref.Group()], worker)
		}
	}
	for _, id := range p.workersToEvacuate() {
		for _, ref := range p.in.Jobs.RunsOn(id) {
			if r := p.in.Jobs.Group(ref).Tasks[ref.Index].On(id); !r.Stopping && p.mustMoveOff(ref, id)(p.in.Jobs.Group(ref).Step()) {
				add(ref, id)
			}
		}
	}
	for _, st := range slices.Concat(p.in.Stuck, p.in.Stalled) {
		if g := p.in.Jobs.Group(st.Task); g != nil && g.Tasks[st.Task.Index].Placed != nil {
			add(st.Task, g.Tasks[st.Task.Index].Placed.Worker)
		}
	}
	for _, ref := range p.overrunning() {
		add(ref, p.in.Jobs.Group(ref).Tasks[ref.Index].Placed.Worker)
	}
	return out
}

// advisedQueue returns the queue of a group's job, nil if it has no advisor.
func (p *planner) advisedQueue(g *jobs.Group) *queues.Queue {
	q := p.in.Config.At(g.Job().Host, g.Job().Prefix)
	if q == nil || q.Advice == nil {
		return nil
	}
	return q
}

// candidates returns the workers that can take a task of a step now if the advisor allows it, and
// those that could at another time, each by cost.
func (p *planner) candidates(r request) (open, full []string) {
	st := r.group.Step()
	onWorker, running := p.onWorker(r.group), r.group.Job().Active() > 0
	costs := make(map[string]float64)
	for _, c := range p.workersFor(r) {
		if !c.everTakes(st) {
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
