package dispatch

import (
	"sort"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/queues"
)

// request is a group with waiting tasks, and what its order within a pass depends on.
type request struct {
	group  *jobs.Group
	queue  *queues.Queue
	waited time.Duration
	// placeableFor is the part of waited during which, without interruption, there was a worker
	// that accepts tasks.
	placeableFor time.Duration
	// class and due order the requests of one priority. due is when the job should be done, in
	// milliseconds since 1970.
	class DeadlineClass
	due   int64
}

// requests returns the groups whose tasks may start, the most urgent first.
func (p *planner) requests() []request {
	var out []request
	for _, g := range p.in.Jobs.Ready() {
		q := p.in.Config.At(g.Job().Host, g.Job().Prefix)
		if q == nil || g.DueAt() > p.in.NowMS {
			continue
		}
		r := request{group: g, queue: q}
		if p.in.WaitTime != nil {
			r.waited = p.in.WaitTime(g)
		}
		if r.placeableFor = r.waited; p.in.WorkersUpFor != nil {
			r.placeableFor = min(r.waited, p.in.WorkersUpFor(q.Service))
		}
		p.classify(&r)
		out = append(out, r)
	}
	sort.SliceStable(out, func(i, k int) bool { return before(out[i], out[k]) })
	return out
}

// classify sets the class and the due time of a request. Standing tasks have no end, so they
// count from acceptance; repeated jobs count from their due time.
func (p *planner) classify(r *request) {
	j := r.group.Job()
	if p.in.Estimates == nil || r.group.Step().Standing {
		r.due = j.AcceptedAt
		return
	}
	f := p.forecast(j, r.queue, r.group.Occurrence())
	if !p.in.Disabled.Outlook {
		r.class = f.class(age(j, r.group.DueAt(), p.in.NowMS))
	}
	r.due = max(j.AcceptedAt, r.group.DueAt()) + f.deadline.Milliseconds()
}

// before orders requests by priority, then by rank, then by due time. A job that can still be in
// time goes before one that can't: otherwise, under overload, each job would wait behind late
// ones until it is late itself.
func before(a, b request) bool {
	if a.queue.Priority != b.queue.Priority {
		return a.queue.Priority < b.queue.Priority
	}
	if ra, rb := a.rank(), b.rank(); ra != rb {
		return ra < rb
	}
	if a.due != b.due {
		return a.due < b.due
	}
	return a.group.Job().Seq < b.group.Job().Seq
}

// rank orders requests of one priority. Standing tasks come after jobs that can still be in time:
// where capacity is short, a processor is worth four times as much to callers with short tasks,
// which release it soon.
func (r *request) rank() int {
	switch {
	case r.group.Step().Standing:
		return int(NotStarted)*2 + 1
	default:
		return int(r.class) * 2
	}
}
