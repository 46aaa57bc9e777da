package dispatch

import (
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/queues"
)

// Explanation says how a job is served, and what is expected of it. Times and work are rough: they
// come from the same forecast as the order of service and the admission.
type Explanation struct {
	Class DeadlineClass
	// Age is the time since the job's acceptance, or since its present occurrence was due; it is
	// negative before that. Objective is when the job should end by the same measure.
	Age, Objective time.Duration
	// Waiting and Running count the tasks of the present occurrence that are not done.
	Waiting, Running int
	// JobsAhead and WorkAhead are the other jobs of the same service and kind that are served
	// before this one, and their remaining work in processor-milliseconds.
	JobsAhead int
	WorkAhead float64
	// Predicted says that Start and End, counted from now, are known. They aren't for standing
	// jobs, which have no end, for jobs that are over, and while the service has no processors.
	Predicted  bool
	Start, End time.Duration
}

// String returns the class's name for operators.
func (c DeadlineClass) String() string {
	switch c {
	case Started, NotStarted:
		return "in-time"
	case Late:
		return "late"
	}
	return "overdue"
}

// Explain explains one job of the input. The queue is the job's own in the configuration.
func Explain(in Input, j *jobs.Job, q *queues.Queue) Explanation {
	mine := in.currentRequest(j, q)
	e := Explanation{Age: age(j, mine.group.DueAt(), in.NowMS)}
	occurrence := mine.group.Occurrence()
	for i := range j.Spec.Steps {
		open, placed := j.Group(occurrence, i).Open()
		e.Waiting, e.Running = e.Waiting+open-placed, e.Running+placed
	}
	if in.Estimates == nil || standing(&j.Spec) {
		return e
	}
	f := in.Estimates.forecast(j, q, occurrence)
	e.Class, e.Objective = f.class(e.Age), f.deadline
	if j.Phase.Over() {
		return e
	}
	filling := fills(&j.Spec)
	for _, other := range in.Jobs.Jobs {
		if other == j || !competes(other, filling) {
			continue
		}
		k := in.Config.At(other.Host, other.Prefix)
		if k == nil || k.Service != q.Service || k.Priority > q.Priority || !before(in.currentRequest(other, k), mine) {
			continue
		}
		f := in.Estimates.forecast(other, k, 0)
		e.JobsAhead++
		e.WorkAhead += f.work
	}
	available := float64(availableCPU(in, q.Service, filling)) / 1000
	if available <= 0 {
		return e
	}
	e.Predicted, e.End = true, f.remaining
	if e.Waiting == 0 {
		return e
	}
	wait := max(ms(e.WorkAhead/available), -e.Age)
	e.End = wait + max(f.remaining, ms(f.work/available))
	if !f.started {
		e.Start = wait
	}
	return e
}

// competes reports whether a job's tasks end by themselves, and want the same processors as those
// of a new job with or without filling tasks.
func competes(j *jobs.Job, filling bool) bool {
	return !j.Phase.Over() && j.Spec.Repeat <= 0 && !standing(&j.Spec) && fills(&j.Spec) == filling
}

// currentRequest returns the request by which a job as a whole is classified and ordered.
func (in *Input) currentRequest(j *jobs.Job, q *queues.Queue) request {
	r := request{group: currentGroup(j), queue: q}
	(&planner{in: *in}).classify(&r)
	return r
}

// currentGroup returns the first step of a job's first occurrence that is not done, or of its last
// occurrence if all are.
func currentGroup(j *jobs.Job) *jobs.Group {
	steps := len(j.Spec.Steps)
	first := len(j.Groups) - steps
	for i, g := range j.Groups {
		if open, _ := g.Open(); open > 0 {
			first = i / steps * steps
			break
		}
	}
	return j.Groups[first]
}

// Backlog is what waits in a queue.
type Backlog struct {
	// Jobs counts the accepted jobs that have not ended; of standing jobs only those with a task
	// that waits. Work is what remains of the others, in processor-milliseconds.
	Jobs int
	Work float64
	// LongestWait is the highest age of a job of which nothing has started, or of a standing job
	// with a task that waits.
	LongestWait time.Duration
	// NewWait is how long a new job is expected to wait. The job is assumed to have filling tasks
	// if the queue's newest one has. Known is false while the service has no processors for it.
	NewWait time.Duration
	Known   bool
}

// Backlogs returns the backlog of each queue, in the order of the configuration.
func Backlogs(in Input) []Backlog {
	type queueKey struct{ host, prefix string }
	type kind struct {
		service  string
		filling  bool
		priority int
	}
	out := make([]Backlog, len(in.Config.Queues))
	newest, filling := make([]uint64, len(out)), make([]bool, len(out))
	byKey := make(map[queueKey]int, len(out))
	for i := range in.Config.Queues {
		byKey[queueKey{in.Config.Queues[i].Host, in.Config.Queues[i].Prefix}] = i
	}
	inTime := make(map[kind]float64) // work that a new job waits for
	for _, j := range in.Jobs.Jobs {
		i, known := byKey[queueKey{j.Host, j.Prefix}]
		if !known {
			continue
		}
		q, b, fills := &in.Config.Queues[i], &out[i], fills(&j.Spec)
		if j.Seq >= newest[i] {
			newest[i], filling[i] = j.Seq, fills
		}
		if j.Phase.Over() {
			continue
		}
		current := currentGroup(j)
		waited := age(j, current.DueAt(), in.NowMS)
		if standing(&j.Spec) || in.Estimates == nil {
			if anyWaits(j) {
				b.Jobs++
				b.LongestWait = max(b.LongestWait, waited)
			}
			continue
		}
		f := in.Estimates.forecast(j, q, current.Occurrence())
		b.Jobs++
		b.Work += f.work
		if !f.started {
			b.LongestWait = max(b.LongestWait, waited)
		}
		if competes(j, fills) && f.class(waited) <= NotStarted {
			inTime[kind{q.Service, fills, q.Priority}] += f.work
		}
	}
	available := make(map[kind]float64)
	for i := range out {
		q := &in.Config.Queues[i]
		k := kind{service: q.Service, filling: filling[i]}
		processors, computed := available[k]
		if !computed {
			processors = float64(availableCPU(in, q.Service, filling[i])) / 1000
			available[k] = processors
		}
		if processors <= 0 {
			continue
		}
		ahead := 0.0
		for other, work := range inTime {
			if other.service == q.Service && other.filling == filling[i] && other.priority <= q.Priority {
				ahead += work
			}
		}
		out[i].NewWait, out[i].Known = ms(ahead/processors), true
	}
	return out
}

// anyWaits reports whether any task of a job waits for a worker.
func anyWaits(j *jobs.Job) bool {
	for _, g := range j.Groups {
		if g.Waiting() > 0 {
			return true
		}
	}
	return false
}
