package control

import (
	"math"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/dispatch"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/queues"
	"github.com/waxwinghaven/waxwinghaven/waitlist"
)

// maxListed limits the listed jobs of one queue and kind. At the design size a burst refuses a few
// hundred jobs in the time that one waits.
const maxListed = 512

var (
	waitlistListed   = metrics.NewCounter(`waxwinghaven_waitlist_listed_total`)
	waitlistAdmitted = metrics.NewCounter(`waxwinghaven_waitlist_admitted_total`)
	waitlistLapsed   = metrics.NewCounter(`waxwinghaven_waitlist_removed_total{reason="lapsed"}`)
	waitlistNoQueue  = metrics.NewCounter(`waxwinghaven_waitlist_removed_total{reason="queue_removed"}`)
	waitlistFull     = metrics.NewCounter(`waxwinghaven_waitlist_dropped_total{reason="full"}`)
)

// refusedJobs keeps the places of refused jobs while this replica leads. A new leader starts with
// none: callers then return as new ones. A nil *refusedJobs keeps nothing.
type refusedJobs struct {
	mu      sync.Mutex
	list    *waitlist.List             // by listKey
	rates   map[rateKey]*waitlist.Rate // of completed work
	version uint64                     // of the configuration that retain was last called with
}

type rateKey struct {
	service string
	kind    dispatch.Kind
}

func newRefusedJobs() *refusedJobs {
	x := &refusedJobs{}
	x.reset()
	return x
}

func (x *refusedJobs) reset() {
	if x == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.list, x.rates = waitlist.New(maxListed), make(map[rateKey]*waitlist.Rate)
	x.version = 0
}

// listKey returns the key under which the list has the jobs of a kind of a queue. Kinds don't
// compete for the same capacity.
func listKey(q *queues.Queue, kind dispatch.Kind) string {
	return q.Host + q.Prefix + " " + kind.String()
}

// addInput adds to an admission's input what the list says about the job.
func (x *refusedJobs) addInput(in *dispatch.Input, q *queues.Queue, id string, kind dispatch.Kind, now time.Time) {
	if x == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.retain(in.Config)
	x.list.Expire(now)
	key, competing := listKey(q, kind), competingKeys(in.Config, q, kind)
	if since, listed := x.list.Since(key, id); listed {
		in.Place = in.NowMS - now.Sub(since).Milliseconds()
	}
	in.Listed = func(within time.Duration) float64 {
		x.mu.Lock()
		defer x.mu.Unlock()
		return x.list.AheadWithin(competing, key, id, now, within)
	}
	in.Rate = func(available float64) float64 {
		x.mu.Lock()
		defer x.mu.Unlock()
		return x.rate(q.Service, kind).Processors(available, now)
	}
}

// competingKeys returns the list's keys of the queues whose jobs are served before those of a queue,
// or in turn with them.
func competingKeys(c *queues.Config, q *queues.Queue, kind dispatch.Kind) (keys []string) {
	for i := range c.Queues {
		if other := &c.Queues[i]; other.Service == q.Service && other.Priority <= q.Priority {
			keys = append(keys, listKey(other, kind))
		}
	}
	return keys
}

// retain drops the entries of queues, and the rates of services, that a new configuration has
// removed. The caller holds the lock.
func (x *refusedJobs) retain(c *queues.Config) {
	if x.version == c.Version {
		return
	}
	x.version = c.Version
	keep := make(map[string]bool)
	for i := range c.Queues {
		for _, kind := range []dispatch.Kind{dispatch.Finite, dispatch.Filling, dispatch.Standing} {
			keep[listKey(&c.Queues[i], kind)] = true
		}
	}
	x.list.Retain(func(key string) bool { return keep[key] })
	services := make(map[string]bool)
	for _, s := range c.Services {
		services[s.Name] = true
	}
	for key := range x.rates {
		if !services[key.service] {
			delete(x.rates, key)
		}
	}
	x.recordCounts()
}

// refuse lists a refused job, or updates its entry, and returns when its caller is to return.
func (x *refusedJobs) refuse(c *SubmitJob, q *queues.Queue, id string, v *dispatch.Verdict, now time.Time) time.Duration {
	kind := dispatch.KindOf(&c.Spec)
	key := listKey(q, kind)
	x.mu.Lock()
	defer x.mu.Unlock()
	work := v.Work
	if v.TooLarge {
		work = 0 // capacity kept for it could not be used by it
	}
	since, listed := x.list.Since(key, id)
	retry := x.list.Refuse(key, id, work, now, v.RetryAfter)
	x.recordCounts()
	l := logrus.WithFields(logrus.Fields{"queue": q.Name, "kind": kind.String(), "job": c.Path, "work": math.Round(v.Work), "ahead": math.Round(v.Ahead), "listed_ahead": math.Round(v.Listed),
		"excess": math.Round(v.Excess), "available": v.Available, "rate": v.Rate, "too_large": v.TooLarge, "expected_ms": v.RetryAfter.Milliseconds(), "retry_after_ms": retry.Milliseconds(), "entries": x.list.Len()})
	if listed {
		l.WithField("since_ms", now.Sub(since).Milliseconds()).Info("control: Refused a listed job again; it keeps its place.")
		return retry
	}
	if _, listed = x.list.Since(key, id); listed {
		l.Info("control: Listed a refused job.")
	} else {
		l.Warn("control: The waitlist is full; a refused job has no place.")
	}
	return retry
}

// rate returns the rate of completed work of a service's jobs of a kind. The caller holds the lock.
func (x *refusedJobs) rate(service string, kind dispatch.Kind) *waitlist.Rate {
	key := rateKey{service, kind}
	r := x.rates[key]
	if r == nil {
		r = &waitlist.Rate{}
		x.rates[key] = r
	}
	return r
}

// admit removes the entry of a job that was admitted.
func (x *refusedJobs) admit(c *SubmitJob, q *queues.Queue, id string, now time.Time) {
	if x == nil {
		return
	}
	kind := dispatch.KindOf(&c.Spec)
	key := listKey(q, kind)
	x.mu.Lock()
	defer x.mu.Unlock()
	since, listed := x.list.Since(key, id)
	if !listed {
		return
	}
	x.list.Admit(key, id)
	x.recordCounts()
	logrus.WithFields(logrus.Fields{"queue": q.Name, "kind": kind.String(), "job": c.Path, "since_ms": now.Sub(since).Milliseconds(), "entries": x.list.Len()}).
		Info("control: Admitted a listed job.")
}

// ended adds a finished run to the rate of completed work. measuredMS is the mean duration of its
// group's runs, for a run without a duration of its own: one that was slowed down or interrupted.
func (x *refusedJobs) ended(s *State, e jobs.End, measuredMS float64, now time.Time) {
	if x == nil || e.Outcome != jobs.OutcomeDone {
		return
	}
	j, g := s.Jobs.Jobs[e.Task.Job], s.Jobs.Group(e.Task)
	if j == nil || g == nil {
		return
	}
	q := s.Queues.Config.At(j.Host, j.Prefix)
	if q == nil {
		return
	}
	duration := float64(e.WorkMS)
	if duration <= 0 {
		duration = measuredMS
	}
	if duration <= 0 {
		duration = float64(g.Step().EstimateMS)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.rate(q.Service, dispatch.KindOf(&j.Spec)).Record(duration*float64(g.Step().Need.MilliCPU)/1000, now)
}

// expire removes entries whose callers did not return or whose queue was removed.
func (x *refusedJobs) expire(s *State, now time.Time) {
	if x == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.retain(&s.Queues.Config)
	x.list.Expire(now)
	x.recordCounts()
}

// recordCounts adds what has happened to the entries since the previous call to the metrics, and
// logs removals. The caller holds the lock.
func (x *refusedJobs) recordCounts() {
	n := x.list.TakeCounts()
	waitlistListed.Add(n.Listed)
	waitlistAdmitted.Add(n.Admitted)
	waitlistLapsed.Add(n.Lapsed)
	waitlistNoQueue.Add(n.Removed)
	waitlistFull.Add(n.Full)
	if n.Lapsed+n.Removed > 0 {
		logrus.WithFields(logrus.Fields{"lapsed": n.Lapsed, "queue_removed": n.Removed, "entries": x.list.Len(), "version": x.version}).
			Info("control: Removed entries of the waitlist.")
	}
}
