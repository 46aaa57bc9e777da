package control

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/waxwinghaven/waxwinghaven/demand"
	"github.com/waxwinghaven/waxwinghaven/dispatch"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/queues"
	"github.com/waxwinghaven/waxwinghaven/quorum"
	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// demandFeed records what happens to callers' jobs while this replica leads. It decides nothing.
// A new leadership begins with empty statistics.
type demandFeed struct {
	r *Replica

	mu    sync.Mutex
	term  uint64
	stats *demand.Stats
	// queues holds the names and metrics of queues, by host and prefix, so that recording neither
	// formats nor allocates. It has at most maxDemandQueues entries; further queues share other.
	queues map[queueKey]*queueMetrics
	other  *queueMetrics
}

type queueKey struct{ host, prefix string }

// maxDemandQueues bounds the queues with metrics of their own, as demand.Stats bounds those that
// it counts.
const maxDemandQueues = 150

// demandReasons are the reasons of refusals with metrics of their own; all others are counted as
// demand.Other. The first four are dispatch.Verdict's codes.
var demandReasons = []string{"overloaded", "standing-share", "no-advisor", "out-of-service",
	string(refusal.Conflict), string(refusal.DiskFull), string(refusal.NotLeader), string(refusal.NoQuorum), string(refusal.UnknownOutcome), demand.Other}

// queueMetrics are the metrics of one queue.
type queueMetrics struct {
	queue             string // host and prefix
	arrived, accepted *metrics.Counter
	refused           map[string]*metrics.Counter // by reason
	ended             [4]*metrics.Counter         // by demand.Outcome
	work              *metrics.FloatCounter
	// The backlog, set regularly by the leader and zero at other replicas.
	jobs, processorSeconds, longestWait, newWait *metrics.Gauge
	names                                        []string
}

func newQueueMetrics(queue string) *queueMetrics {
	m := &queueMetrics{queue: queue, refused: make(map[string]*metrics.Counter)}
	name := func(format string, args ...any) string {
		m.names = append(m.names, fmt.Sprintf(format, append([]any{queue}, args...)...))
		return m.names[len(m.names)-1]
	}
	m.arrived = metrics.GetOrCreateCounter(name(`waxwinghaven_queue_arrivals_total{queue=%q}`))
	m.accepted = metrics.GetOrCreateCounter(name(`waxwinghaven_queue_accepted_total{queue=%q}`))
	for _, reason := range demandReasons {
		m.refused[reason] = metrics.GetOrCreateCounter(name(`waxwinghaven_queue_refusals_total{queue=%q,reason=%q}`, reason))
	}
	for i := range m.ended {
		m.ended[i] = metrics.GetOrCreateCounter(name(`waxwinghaven_queue_ends_total{queue=%q,outcome=%q}`, demand.Outcome(i).String()))
	}
	m.work = metrics.GetOrCreateFloatCounter(name(`waxwinghaven_queue_work_processor_seconds_total{queue=%q}`))
	m.jobs = metrics.GetOrCreateGauge(name(`waxwinghaven_queue_backlog_jobs{queue=%q}`), nil)
	m.processorSeconds = metrics.GetOrCreateGauge(name(`waxwinghaven_queue_backlog_processor_seconds{queue=%q}`), nil)
	m.longestWait = metrics.GetOrCreateGauge(name(`waxwinghaven_queue_longest_wait_seconds{queue=%q}`), nil)
	m.newWait = metrics.GetOrCreateGauge(name(`waxwinghaven_queue_expected_wait_seconds{queue=%q}`), nil)
	return m
}

func (m *queueMetrics) setBacklog(b dispatch.Backlog) {
	m.jobs.Set(float64(b.Jobs))
	m.processorSeconds.Set(b.Work / 1000)
	m.longestWait.Set(b.LongestWait.Seconds())
	m.newWait.Set(b.NewWait.Seconds())
}

func (m *queueMetrics) unregister() {
	for _, name := range m.names {
		metrics.UnregisterMetric(name)
	}
}

func newDemandFeed(r *Replica) *demandFeed {
	return &demandFeed{r: r, stats: demand.New(time.Now()), queues: make(map[queueKey]*queueMetrics)}
}

// lock locks the statistics of this leadership, or returns false if this replica doesn't lead.
func (f *demandFeed) lock(now time.Time) bool {
	v := f.r.node.View()
	if v.Role != quorum.Leader {
		return false
	}
	f.mu.Lock()
	if f.term < v.Term { // the view may be of an earlier leadership
		f.term, f.stats = v.Term, demand.New(now)
	}
	return true
}

// begin starts the statistics of a new leadership.
func (f *demandFeed) begin() {
	if f.lock(time.Now()) {
		f.mu.Unlock()
	}
}

// metricsOf returns a queue's metrics. The caller holds the lock.
func (f *demandFeed) metricsOf(host, prefix string) *queueMetrics {
	key := queueKey{host, prefix}
	if m := f.queues[key]; m != nil {
		return m
	}
	if len(f.queues) >= maxDemandQueues {
		if f.other == nil {
			f.other = newQueueMetrics(demand.Other)
		}
		return f.other
	}
	m := newQueueMetrics(host + prefix)
	f.queues[key] = m
	return m
}

// arrived counts a submission, unless the job is known already or another submission of it is
// being committed. It marks the counted call for submitted.
func (f *demandFeed) arrived(c *SubmitJob, inFlight bool) {
	if inFlight {
		return
	}
	var key queueKey
	var id string
	f.r.machine.Read(func(s *State) {
		q, rest := s.Queues.Config.Match(c.Host, c.Path)
		if q != nil && jobs.ValidID(rest) && s.Jobs.Jobs[rest] == nil {
			key, id = queueKey{q.Host, q.Prefix}, rest
		}
	})
	now := time.Now()
	if id == "" || !f.lock(now) {
		return
	}
	defer f.mu.Unlock()
	m := f.metricsOf(key.host, key.prefix)
	c.queue, c.jobID = m, id
	m.arrived.Inc()
	f.stats.Arrived(m.queue, now)
}

// submitted counts how a submission that arrived counted has ended.
func (f *demandFeed) submitted(c *SubmitJob, err error) {
	m := c.queue
	if m == nil {
		return
	}
	now := time.Now()
	if !f.lock(now) {
		return
	}
	defer f.mu.Unlock()
	if err == nil {
		m.accepted.Inc()
		f.stats.Accepted(m.queue, now)
		return
	}
	r, final := refusalOfSubmission(c, err)
	counter := m.refused[r.Reason]
	if counter == nil {
		counter = m.refused[demand.Other]
	}
	counter.Inc()
	id := c.jobID
	if !final {
		id = ""
	}
	f.stats.Refused(m.queue, id, r, now)
}

// refusalOfSubmission returns why a submission was not accepted, and whether that is final. It is
// not without a quorum, a leader or room on its disk, since the entry then asks again elsewhere,
// and for an unknown outcome, since the job may have been accepted.
func refusalOfSubmission(c *SubmitJob, err error) (r demand.Refusal, final bool) {
	e, ok := err.(*refusal.Error) // errors.As allocates
	if !ok {
		e, ok = refusal.Of(err)
	}
	if !ok {
		return demand.Refusal{Reason: demand.Other, Message: err.Error()}, false
	}
	r = demand.Refusal{Reason: string(e.Code), Message: e.Message, RetryAfter: e.RetryAfter}
	switch e.Code {
	case refusal.NotLeader, refusal.NoQuorum, refusal.UnknownOutcome, refusal.DiskFull:
		return r, false
	case refusal.Overloaded:
		r.Reason = c.refusalCode
	}
	return r, true
}

// whileLeading calls record with the statistics locked, if this replica leads.
func (f *demandFeed) whileLeading(record func(s *State, now time.Time)) {
	now := time.Now()
	f.r.machine.Read(func(s *State) {
		if f.lock(now) {
			defer f.mu.Unlock()
			record(s, now)
		}
	})
}

// handleEnds counts the work of committed ends, and the jobs that ended with them.
func (f *demandFeed) handleEnds(ends []jobs.End, res *endsResult) {
	if len(ends) == 0 {
		return
	}
	f.whileLeading(func(s *State, now time.Time) {
		for _, e := range ends {
			g := s.Jobs.Group(e.Task)
			if g == nil || e.Outcome != jobs.OutcomeDone || slices.Contains(res.late, e) {
				continue
			}
			if s.Queues.Config.At(g.Job().Host, g.Job().Prefix) == nil {
				continue // update would only drop the metrics again
			}
			m := f.metricsOf(g.Job().Host, g.Job().Prefix)
			work := float64(e.WorkMS) * float64(g.Step().Need.MilliCPU) / 1000
			m.work.Add(work / 1000)
			f.stats.Worked(m.queue, work, now)
		}
		for _, id := range res.over {
			f.countEnd(s, id, now)
		}
	})
}

// ended counts a job that ended otherwise than by the ends of its tasks.
func (f *demandFeed) ended(id string) {
	f.whileLeading(func(s *State, now time.Time) { f.countEnd(s, id, now) })
}

// countEnd counts a job that has just ended. The caller holds the lock.
func (f *demandFeed) countEnd(s *State, id string, now time.Time) {
	j := s.Jobs.Jobs[id]
	if j == nil {
		return
	}
	q := s.Queues.Config.At(j.Host, j.Prefix)
	if q == nil {
		return // the configuration no longer has the queue, nor its objective
	}
	outcome := demand.InTime
	switch j.Phase {
	case jobs.Failed:
		outcome = demand.Failed
	case jobs.Cancelled:
		outcome = demand.Cancelled
	default:
		if e := dispatch.Explain(f.r.dispatcher.forecastInput(s), j, q); e.Age > e.Objective {
			outcome = demand.Late
		}
	}
	m := f.metricsOf(j.Host, j.Prefix)
	m.ended[outcome].Inc()
	f.stats.Ended(m.queue, outcome, now)
}

// update sets the metrics of the backlogs, and drops what belongs to queues that are no longer
// configured. At a replica that doesn't lead the backlogs are zero.
func (f *demandFeed) update() {
	now := time.Now()
	f.r.machine.Read(func(s *State) {
		list := s.Queues.Config.Queues
		var backlogs []dispatch.Backlog
		if f.r.node.View().Role == quorum.Leader {
			// Computed before the lock is taken, since that takes milliseconds with thousands of jobs.
			backlogs = dispatch.Backlogs(f.r.dispatcher.forecastInput(s))
		}
		if !f.lock(now) {
			f.mu.Lock()
			defer f.mu.Unlock()
			for _, m := range f.queues {
				m.setBacklog(dispatch.Backlog{})
			}
			if f.other != nil {
				f.other.setBacklog(dispatch.Backlog{})
			}
			return
		}
		defer f.mu.Unlock()
		configured := make(map[string]bool, len(list))
		for i := range list {
			configured[list[i].Host+list[i].Prefix] = true
		}
		for key, m := range f.queues {
			if !configured[m.queue] {
				m.unregister()
				delete(f.queues, key)
			}
		}
		f.stats.Retain(func(queue string) bool { return configured[queue] })
		f.stats.Expire(now)
		var others dispatch.Backlog
		for i, b := range backlogs {
			if m := f.metricsOf(list[i].Host, list[i].Prefix); m != f.other {
				m.setBacklog(b)
				continue
			}
			others.Jobs += b.Jobs
			others.Work += b.Work
			others.LongestWait = max(others.LongestWait, b.LongestWait)
			others.NewWait = max(others.NewWait, b.NewWait)
		}
		if f.other != nil {
			f.other.setBacklog(others)
		}
	})
}

// summaries returns when the statistics begin, the summary of each given queue, and that of the
// queues that are not counted separately.
func (f *demandFeed) summaries(list []queues.Queue, now time.Time) (since time.Time, out []demand.Summary, others demand.Summary) {
	f.begin()
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range list {
		out = append(out, f.stats.Summary(list[i].Host+list[i].Prefix, now))
	}
	return f.stats.Since(), out, f.stats.Summary(demand.Other, now)
}

// verdict returns the last refusal of a job, and since when refusals are known.
func (f *demandFeed) verdict(host, prefix, id string, now time.Time) (since time.Time, v demand.Verdict, ok bool) {
	f.begin()
	f.mu.Lock()
	defer f.mu.Unlock()
	queue := host + prefix
	if f.queues[queueKey{host, prefix}] == nil && f.other != nil {
		queue = demand.Other
	}
	v, ok = f.stats.Verdict(queue, id, now)
	return f.stats.Since(), v, ok
}

// forecastInput returns the input for an explanation. Unlike that of a decision it has no costs,
// tickets and reservations.
func (d *dispatcher) forecastInput(s *State) dispatch.Input {
	return dispatch.Input{Jobs: s.Jobs, Config: &s.Queues.Config, DataCentres: s.DataCentres, NowMS: d.nowMS(), Estimates: d.durationModel.Estimates(), Leaving: s.Waves.Leaving(), Disabled: d.r.without}
}
