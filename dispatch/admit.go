package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/queues"
)

// Verdict is the decision whether to accept a job.
type Verdict struct {
	Refuse bool
	// NoAdvisor says that the job could never start: its queue needs an advisor and none is
	// configured.
	NoAdvisor bool
	// OutOfService says that the job can't start at present: operators have taken every data
	// centre with a worker for it out of service.
	OutOfService bool
	// Full says that the jobs that are kept take all memory for them.
	Full bool
	// RetryAfter is how long the caller should wait before it submits the job again.
	RetryAfter time.Duration
	// Expected is when the job is expected to end, Objective when it should, both counted from
	// its acceptance.
	Expected, Objective time.Duration
	// Work is the job's own work, Ahead that of the accepted jobs ahead of it, and Listed that of
	// the refused jobs with an earlier place: in processor-milliseconds, or for standing jobs the
	// processors that they hold. They are not set for every verdict.
	Work, Ahead, Listed float64
	// Excess is how much of what is ahead has to end before there is room for a refused job, in the
	// unit of Ahead.
	Excess float64
	// Available is the number of processors that jobs of its kind can use.
	Available float64
	// Rate is the rate of completed work on which RetryAfter is based, in processors, or for
	// standing jobs the rate at which they release processors, in processors per second.
	Rate float64
	// TooLarge says that the job would be refused with nothing ahead of it.
	TooLarge bool
}

// Kind tells which jobs of a service compete with each other.
type Kind uint8

// The kinds of jobs.
const (
	Finite Kind = iota
	Filling
	Standing
)

// String returns the kind's name.
func (k Kind) String() string { return [...]string{"finite", "filling", "standing"}[k] }

// KindOf returns the kind of a job.
func KindOf(spec *jobs.Spec) Kind {
	switch {
	case standing(spec):
		return Standing
	case fills(spec):
		return Filling
	}
	return Finite
}

// Code returns a short code for why the job is refused.
func (v *Verdict) Code() string {
	switch {
	case v.NoAdvisor:
		return "no-advisor"
	case v.OutOfService:
		return "out-of-service"
	case v.Full:
		return "state-full"
	case v.Objective == 0:
		return "standing-share"
	}
	return "overloaded"
}

// Reason returns why the job is refused.
func (v *Verdict) Reason() string {
	if v.NoAdvisor {
		return "the queue needs an advisor, and the control's settings name none"
	}
	if v.OutOfService {
		return "every data centre with a worker for the queue is out of service"
	}
	if v.Full {
		return "the jobs that are kept take all memory for them"
	}
	if v.Objective == 0 && v.Listed > 0 {
		return "standing tasks, and refused jobs with an earlier place, need the full share of the service's processors"
	}
	if v.Objective == 0 {
		return "standing tasks already hold their full share of the service's processors"
	}
	return fmt.Sprintf("the job would be done in %v, its objective is %v", v.Expected.Round(time.Millisecond), v.Objective.Round(time.Millisecond))
}

const (
	// admitFactor is how many times its objective a job may be expected to take and still be
	// accepted: as long as the result has value to its caller. A lower factor refuses more jobs
	// that would have been in time than it spares callers a wait, since the work ahead is known
	// only roughly.
	admitFactor = lateFactor
	// maxRetryAfter limits Verdict.RetryAfter, since the work ahead changes.
	maxRetryAfter = 5 * time.Second
)

// Admit decides whether a job can still meet its objective behind the work already accepted. It
// sheds load in a burst beyond the capacity: if every job were accepted, each would wait too long
// and none would be in time.
//
// Only jobs that can still be in time count as work ahead; the others are served after them.
func Admit(in Input, q *queues.Queue, spec *jobs.Spec) Verdict {
	if in.outOfService(q.Service) {
		return Verdict{Refuse: true, OutOfService: true, RetryAfter: outOfServiceRetryAfter}
	}
	if in.Disabled.Admission {
		return Verdict{}
	}
	if standing(spec) {
		return admitStanding(in, q, spec)
	}
	if in.Estimates == nil || spec.Repeat > 0 {
		return Verdict{}
	}
	ahead := 0.0
	var aging []agingWork
	filling := fills(spec)
	for _, j := range in.Jobs.Jobs {
		if !competes(j, filling) {
			continue
		}
		other := in.Config.At(j.Host, j.Prefix)
		if other == nil || other.Service != q.Service || other.Priority > q.Priority {
			continue
		}
		if in.Place > 0 && other.Priority == q.Priority && j.AcceptedAt > in.Place {
			continue
		}
		f := in.Estimates.forecast(j, other, 0)
		if waited := age(j, 0, in.NowMS); f.class(waited) <= NotStarted {
			ahead += f.work
			if in.Listed != nil {
				aging = append(aging, agingWork{f.deadline - f.remaining - waited, f.work})
			}
		}
	}
	available := float64(availableCPU(in, q.Service, filling)) / 1000
	if available <= 0 {
		return Verdict{}
	}
	fresh := &jobs.Job{Host: q.Host, Prefix: q.Prefix, Spec: *spec}
	f := in.Estimates.forecast(fresh, q, 0)
	wait := ms(ahead / available)
	own := max(f.remaining, ms(f.work/available))
	v := Verdict{Expected: wait + own, Objective: f.deadline, Work: f.work, Ahead: ahead, Available: available}
	limit := ms(admitFactor * float64(f.deadline) / float64(time.Millisecond))
	in.addListed(&v, limit)
	if v.Expected > limit {
		v.Refuse = true
		v.RetryAfter = min(v.Expected-v.Objective, maxRetryAfter)
		v.TooLarge = own > limit
		v.Excess = max(0, ahead+v.Listed-float64(limit-own)/float64(time.Millisecond)*available)
		if in.Listed != nil && !v.TooLarge {
			v.Rate = in.Rate(available)
			v.RetryAfter = roomAfter(v.Excess, v.Rate, aging)
		}
	}
	return v
}

// agingWork is work ahead that can no longer be in time after a while. It is then served after work
// that can, and doesn't count as ahead any more.
type agingWork struct {
	lateAfter time.Duration
	work      float64
}

// roomAfter returns the time until the excess of the work ahead is done or has become late, whichever
// is earlier. Work is done in about the order in which it would become late, so the two don't add up.
func roomAfter(excess, rate float64, aging []agingWork) time.Duration {
	slices.SortFunc(aging, func(a, b agingWork) int { return cmp.Compare(a.lateAfter, b.lateAfter) })
	first := ms(excess / rate)
	for _, w := range aging {
		excess = max(0, excess-w.work)
		first = min(first, w.lateAfter+ms(excess/rate))
	}
	return first
}

// addListed adds the refused jobs with an earlier place to the work ahead of a job. Only those
// count that are expected back before the job would be done: later ones lose nothing if it runs
// first, and the processors would be idle until they return. While no accepted work is ahead, none counts, so
// that a job is never refused for the sake of callers that may not return. Either way a returning
// job keeps its place, since work that was accepted after its first refusal isn't ahead of it.
func (in *Input) addListed(v *Verdict, limit time.Duration) {
	if in.Listed == nil {
		return
	}
	v.Listed = in.Listed(math.MaxInt64)
	if v.Ahead == 0 {
		return
	}
	// Each round adds at least one listed job, or is the last.
	without := v.Expected
	for v.Expected <= limit {
		expected := without + ms(in.Listed(v.Expected)/v.Available)
		if expected <= v.Expected {
			return
		}
		v.Expected = expected
	}
}

const (
	// standingShare is the part of a service's processors that standing tasks may hold. They hold
	// it for good. The rest is for tasks that end, which are worth several times as much to their
	// callers per processor and would otherwise find no capacity.
	standingShare = 0.75
	// standingRetryAfter is when a refused standing job may be submitted again. Standing tasks
	// usually run for about a minute.
	standingRetryAfter = 5 * time.Second
	// standingTime is how long standing tasks usually run.
	standingTime = time.Minute
	// maxStandingRetry limits the time that the caller of a standing job is told when its place is
	// kept. When standing tasks end is not known, and processors kept for a listed job are idle.
	maxStandingRetry = 10 * time.Second
)

// outOfServiceRetryAfter is when a job that no data centre in service can run may be submitted
// again. Maintenance of a data centre takes minutes, but the caller has no alternative.
const outOfServiceRetryAfter = 5 * time.Second

// outOfService reports whether every data centre that has hosted a worker of the service is out
// of service. If one is in service but has no worker, its workers may only be restarting.
func (in *Input) outOfService(service string) bool {
	hosting := in.Jobs.ServiceDataCentres[service]
	return len(hosting) > 0 && !slices.ContainsFunc(hosting, func(name string) bool { return !in.DataCentres.Cordoned(name) })
}

// admitStanding accepts a job of standing tasks as long as enough processors remain for tasks
// that end. Accepted tasks that are not placed yet count as well: jobs arrive together, above all
// at the start of a day, and each would otherwise count the capacity that the others are about to
// hold.
func admitStanding(in Input, q *queues.Queue, spec *jobs.Spec) Verdict {
	total, held := int64(0), in.Reserved[q.Service]
	for id, w := range in.Jobs.Workers {
		if w.Service == q.Service && !in.closed(w) {
			total += w.Capacity.MilliCPU
			held += in.Jobs.Use(id).StandingCPU
		}
	}
	for _, g := range in.Jobs.Ready() {
		if st := g.Step(); st.Standing {
			if other := in.Config.At(g.Job().Host, g.Job().Prefix); other != nil && other.Service == q.Service {
				held += int64(g.Waiting()) * st.Need.MilliCPU
			}
		}
	}
	need, share := StandingCPU(spec), standingShare*float64(total)
	listed := 0.0
	if in.Listed != nil {
		listed = 1000 * in.Listed(math.MaxInt64)
	}
	if total == 0 || float64(held+need)+listed <= share {
		return Verdict{}
	}
	v := Verdict{Refuse: true, RetryAfter: standingRetryAfter, Work: float64(need) / 1000, Ahead: float64(held) / 1000, Listed: listed / 1000,
		Excess: (float64(held+need) + listed - share) / 1000, Available: share / 1000, TooLarge: float64(need) > share}
	if v.Rate = v.Ahead / standingTime.Seconds(); in.Listed != nil && !v.TooLarge && v.Rate > 0 {
		v.RetryAfter = time.Duration(min(v.Excess/v.Rate, maxStandingRetry.Seconds()) * float64(time.Second))
	}
	return v
}

// StandingCPU returns the processors that a job's standing tasks hold once all are placed, in
// thousandths.
func StandingCPU(spec *jobs.Spec) (sum int64) {
	for i := range spec.Steps {
		if st := &spec.Steps[i]; st.Standing {
			sum += int64(st.Count) * st.Need.MilliCPU
		}
	}
	return sum
}

// standing reports whether a job has standing tasks.
func standing(s *jobs.Spec) bool {
	for i := range s.Steps {
		if s.Steps[i].Standing {
			return true
		}
	}
	return false
}

// fills reports whether a job has filling tasks.
func fills(s *jobs.Spec) bool {
	for i := range s.Steps {
		if s.Steps[i].Fills {
			return true
		}
	}
	return false
}

// age returns the time since a job was accepted, or since it was due if that is later.
func age(j *jobs.Job, dueMS, nowMS int64) time.Duration {
	return time.Duration(nowMS-max(j.AcceptedAt, dueMS)) * time.Millisecond
}

// availableCPU returns the processors of a service, in thousandths, that jobs of a kind can use:
// for filling jobs those not held by other tasks, plus the reclaimable part of those held by
// serving tasks; for other jobs those not held by serving tasks.
func availableCPU(in Input, service string, filling bool) int64 {
	total := int64(0)
	for id, w := range in.Jobs.Workers {
		if w.Service != service || in.closed(w) {
			continue
		}
		u := in.Jobs.Use(id)
		if filling {
			total += w.Capacity.MilliCPU - u.Held.MilliCPU + int64(reclaimableServingShare*float64(u.ServingCPU))
		} else {
			total += w.Capacity.MilliCPU - u.ServingCPU
		}
	}
	return total
}
