package dispatch

import (
	"sort"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/queues"
)

// request is a group in the order in which the pass serves it.
type request struct {
	group  *jobs.Group
	queue  *queues.Queue
	waited time.Duration
	// choosing is how much of that there was a worker that takes tasks, without a break.
	choosing time.Duration
	// outlook and due order the requests of one priority. due is when the job
	// should be done, in milliseconds since 1970.
	outlook Outlook
	due     int64
}

// requests returns what may begin, in the order of urgency.
func (p *planner) requests() []request {
	var out []request
	for _, g := range p.in.Jobs.Ready() {
		q := p.in.Config.At(g.Job().Host, g.Job().Prefix)
		if q == nil || g.DueAt() > p.in.NowMS {
			continue
		}
		r := request{group: g, queue: q}
		if p.in.Waited != nil {
			r.waited = p.in.Waited(g)
		}
		if r.choosing = r.waited; p.in.Open != nil {
			r.choosing = min(r.waited, p.in.Open(q.Service))
		}
		p.look(&r)
		out = append(out, r)
	}
	sort.SliceStable(out, func(i, k int) bool { return before(out[i], out[k]) })
	return out
}

// look judges what the job of a request can still come to. Standing tasks have no
// end, and repeated jobs count from their due time.
func (p *planner) look(r *request) {
	j := r.group.Job()
	if p.in.Estimates == nil || r.group.Step().Standing {
		r.due = j.AcceptedAt
		return
	}
	f := p.in.Estimates.forecast(j, r.queue, r.group.Occurrence())
	if !p.in.Without.Outlook {
		r.outlook = f.outlook(age(j, r.group.DueAt(), p.in.NowMS))
	}
	r.due = max(j.AcceptedAt, r.group.DueAt()) + f.deadline.Milliseconds()
}

// before orders by priority, then by what the jobs can still come to, then by when
// they should be done. A job that can still be in time goes before one that
// can't: else, past the room, each waits behind jobs that are
// late already until it is late itself.
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

// rank is the first word on the order within a priority. Standing tasks come
// after what can still be in time: where room is short, a processor earns its
// callers four times as much with short tasks, which give it back soon.
func (r *request) rank() int {
	switch {
	case r.group.Step().Standing:
		return int(Fresh)*2 + 1
	default:
		return int(r.outlook) * 2
	}
}
