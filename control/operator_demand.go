package control

import (
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/waxwinghaven/waxwinghaven/demand"
	"github.com/waxwinghaven/waxwinghaven/dispatch"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// DemandAnswer is what the leader has seen of its queues' jobs. Times are in milliseconds.
type DemandAnswer struct {
	Leader string `json:"leader"`
	// SinceMS is when this replica began to lead, in milliseconds since 1970 by its own clock, and
	// LedMS for how long it has led. Counts cover no more than that.
	SinceMS int64         `json:"since_ms"`
	LedMS   int64         `json:"led_ms"`
	Queues  []QueueDemand `json:"queues"`
	// Others sums up the queues beyond the 150 that are counted separately.
	Others *demand.Summary `json:"others,omitempty"`
}

// QueueDemand is what happens to one queue's jobs.
type QueueDemand struct {
	Queue    string `json:"queue"` // host and prefix
	Name     string `json:"name"`
	Service  string `json:"service"`
	Priority int    `json:"priority"`
	demand.Summary
	BacklogJobs             int     `json:"backlog_jobs"`
	BacklogProcessorSeconds float64 `json:"backlog_processor_seconds"`
	LongestWaitMS           int64   `json:"longest_wait_ms"`
	// ExpectedWaitMS is how long a new job is expected to wait. It is absent while the service has
	// no processors.
	ExpectedWaitMS *int64 `json:"expected_wait_ms,omitempty"`
}

// JobExplanation says how a job is served, or why it was refused. Times are in milliseconds.
type JobExplanation struct {
	ID      string `json:"id"`
	Queue   string `json:"queue"` // host and prefix
	Service string `json:"service"`
	// Phase is "refused" for a job that was not accepted.
	Phase string `json:"phase"`
	// Class is in-time, late or overdue. It is absent for standing jobs, which have no end, and for
	// jobs that are over.
	Class         string `json:"class,omitempty"`
	AgeMS         int64  `json:"age_ms"` // since its acceptance, or since its present occurrence was due
	ObjectiveMS   int64  `json:"objective_ms,omitempty"`
	TasksWaiting  int    `json:"tasks_waiting"`
	TasksRunning  int    `json:"tasks_running"`
	FailureReason string `json:"why,omitempty"`
	// JobsAhead and ProcessorSecondsAhead are the jobs of the same service and kind, with or
	// without filling tasks, that are served before this one.
	JobsAhead             int     `json:"jobs_ahead"`
	ProcessorSecondsAhead float64 `json:"processor_seconds_ahead"`
	// StartInMS and EndInMS are when the job is expected to start and end, from now. They are
	// absent if that is not known.
	StartInMS *int64 `json:"start_in_ms,omitempty"`
	EndInMS   *int64 `json:"end_in_ms,omitempty"`
	// Refused is the job's last refusal within two minutes, of this leader.
	Refused *JobRefusal `json:"refused,omitempty"`
	SinceMS int64       `json:"since_ms"` // see DemandAnswer
}

// JobRefusal is the last refusal of a job.
type JobRefusal struct {
	AtMS         int64  `json:"at_ms"` // since 1970, by the leader's own clock
	AgoMS        int64  `json:"ago_ms"`
	FirstAgoMS   int64  `json:"first_ago_ms"`
	Times        int    `json:"times"`
	Reason       string `json:"reason"`
	Message      string `json:"message"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

func (r *Replica) demandRoutes(routes map[string]operatorRoute) {
	routes["GET /v1/queues/demand"] = r.getDemand
	routes["GET /v1/jobs/explain"] = r.getExplanation
}

func (r *Replica) getDemand(*fasthttp.RequestCtx) (any, error) {
	a := DemandAnswer{Leader: r.self.Name, Queues: []QueueDemand{}}
	err := r.confirmed(func(s *State) {
		now, list := time.Now(), s.Queues.Config.Queues
		since, sums, others := r.dispatcher.demand.summaries(list, now)
		a.SinceMS, a.LedMS = since.UnixMilli(), now.Sub(since).Milliseconds()
		if !others.Last60s.Empty() {
			a.Others = &others
		}
		for i, b := range dispatch.Backlogs(r.dispatcher.forecastInput(s)) {
			q := &list[i]
			d := QueueDemand{Queue: q.Host + q.Prefix, Name: q.Name, Service: q.Service, Priority: q.Priority, Summary: sums[i],
				BacklogJobs: b.Jobs, BacklogProcessorSeconds: b.Work / 1000, LongestWaitMS: b.LongestWait.Milliseconds()}
			if b.Known {
				wait := b.NewWait.Milliseconds()
				d.ExpectedWaitMS = &wait
			}
			a.Queues = append(a.Queues, d)
		}
	})
	slices.SortFunc(a.Queues, func(x, y QueueDemand) int { return strings.Compare(x.Queue, y.Queue) })
	return a, err
}

func (r *Replica) getExplanation(q *fasthttp.RequestCtx) (any, error) {
	c := JobCall{Host: string(q.QueryArgs().Peek("host")), Path: string(q.QueryArgs().Peek("path"))}
	if c.Host == "" || c.Path == "" {
		return nil, refusal.New(refusal.Invalid, "name the queue's host, and its prefix with the job's id as the path", "the request names no job")
	}
	var a JobExplanation
	var notFound error
	err := r.confirmed(func(s *State) { a, notFound = r.explain(s, c) })
	if err == nil {
		err = notFound
	}
	return a, err
}

// explain returns what is known about a job, or a refusal.
func (r *Replica) explain(s *State, c JobCall) (a JobExplanation, err error) {
	q, id := s.Queues.Config.Match(c.Host, c.Path)
	if q == nil {
		return a, refusal.New(refusal.NotFound, "check the host and path, or the configuration with 'waxwinghaven queues show'", "no queue takes %s%s", c.Host, c.Path)
	}
	if !jobs.ValidID(id) {
		return a, refusal.New(refusal.Invalid, "name the job by 16 hexadecimal digits after the queue's prefix", "%q is not a job's id", id)
	}
	now := time.Now()
	since, v, refused := r.dispatcher.demand.verdict(q.Host, q.Prefix, id, now)
	a = JobExplanation{ID: id, Queue: q.Host + q.Prefix, Service: q.Service, Phase: "refused", SinceMS: since.UnixMilli()}
	if refused {
		a.Refused = &JobRefusal{AtMS: v.At.UnixMilli(), AgoMS: now.Sub(v.At).Milliseconds(), FirstAgoMS: now.Sub(v.First).Milliseconds(), Times: v.Count,
			Reason: v.Reason, Message: v.Message, RetryAfterMS: v.RetryAfter.Milliseconds()}
	}
	j := s.Jobs.Jobs[id]
	if j != nil && (j.Host != q.Host || j.Prefix != q.Prefix) {
		j = nil // a job of another queue
	}
	if j == nil {
		if refused {
			return a, nil
		}
		return a, refusal.New(refusal.NotFound, "check the id; jobs are forgotten some minutes after their end, refusals after two minutes or with the leader",
			"job %s is not known, and was not refused by %s since %s", id, r.self.Name, later(since, now.Add(-demand.VerdictAge)).UTC().Format(time.TimeOnly))
	}
	e := dispatch.Explain(r.dispatcher.forecastInput(s), j, q)
	a.Phase, a.FailureReason, a.AgeMS, a.ObjectiveMS = j.Phase.String(), j.FailureReason, e.Age.Milliseconds(), e.Objective.Milliseconds()
	if j.Phase.Over() {
		return a, nil
	}
	a.TasksWaiting, a.TasksRunning, a.JobsAhead, a.ProcessorSecondsAhead = e.Waiting, e.Running, e.JobsAhead, e.WorkAhead/1000
	if e.Objective > 0 {
		a.Class = e.Class.String()
	}
	if e.Predicted {
		start, end := e.Start.Milliseconds(), e.End.Milliseconds()
		a.StartInMS, a.EndInMS = &start, &end
	}
	return a, nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
