package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/queues"
)

// Verdict is whether a job should be taken in.
type Verdict struct {
	Refuse bool
	// Unadvised says that the job could never start: nobody can be asked which
	// workers may run it.
	Unadvised bool
	// OutOfService says that nothing starts now: operators have taken every data centre
	// with a worker for the job out of service.
	OutOfService bool
	// After is when it is worth asking again.
	After time.Duration
	// Expected is when the job would be done, and Objective when it should.
	Expected, Objective time.Duration
}

// Reason tells why a job is refused.
func (v *Verdict) Reason() string {
	if v.Unadvised {
		return "the queue needs an advisor, and the control's settings name none"
	}
	if v.OutOfService {
		return "every data centre with a worker for the queue is out of service"
	}
	if v.Objective == 0 {
		return "standing tasks hold all the room that they may have"
	}
	return fmt.Sprintf("the job would be done in %v, its objective is %v", v.Expected.Round(time.Millisecond), v.Objective.Round(time.Millisecond))
}

const (
	// admitFactor is how far past its objective a job may be expected to end
	// and still be taken: as long as it is worth anything to its caller.
	// Refused sooner, callers are refused for nothing more often than they are spared a
	// wait: the work ahead is known only roughly.
	admitFactor = lateFactor
	// longestAfter bounds the time to come back: the work ahead changes.
	longestAfter = 5 * time.Second
)

// Admit tells whether a job can still meet its objective behind the work that is
// accepted already. It answers the load of a burst beyond the room: taken all
// in, every job waits longer than it may and none is in time.
//
// Only jobs that can still be in time count as ahead; the others give way.
func Admit(in Input, q *queues.Queue, spec *jobs.Spec) Verdict {
	if in.outOfService(q.Service) {
		return Verdict{Refuse: true, OutOfService: true, After: outAfter}
	}
	if in.Without.Admission {
		return Verdict{}
	}
	if standing(spec) {
		return admitStanding(in, q, spec)
	}
	if in.Estimates == nil || spec.Repeat > 0 {
		return Verdict{}
	}
	ahead := 0.0
	filling := fills(spec)
	for _, j := range in.Jobs.Jobs {
		if j.Phase.Over() || j.Spec.Repeat > 0 || standing(&j.Spec) || fills(&j.Spec) != filling {
			continue
		}
		other := in.Config.At(j.Host, j.Prefix)
		if other == nil || other.Service != q.Service || other.Priority > q.Priority {
			continue
		}
		f := in.Estimates.forecast(j, other, 0)
		if f.outlook(age(j, 0, in.NowMS)) <= Fresh {
			ahead += f.work
		}
	}
	room := float64(roomFor(in, q.Service, filling)) / 1000
	if room <= 0 {
		return Verdict{}
	}
	fresh := &jobs.Job{Host: q.Host, Prefix: q.Prefix, Spec: *spec}
	f := in.Estimates.forecast(fresh, q, 0)
	wait := ms(ahead / room)
	v := Verdict{Expected: wait + max(f.remaining, ms(f.work/room)), Objective: f.deadline}
	if v.Expected > ms(admitFactor*float64(f.deadline)/float64(time.Millisecond)) {
		v.Refuse = true
		v.After = min(v.Expected-v.Objective, longestAfter)
	}
	return v
}

const (
	// standingShare is the part of a service's processors that standing tasks
	// may hold. What they hold they hold for good: the rest is for tasks that
	// come and go, which earn their callers several times as much with a
	// processor, and else find none.
	standingShare = 0.75
	// standingAfter is when a standing job may ask again; they stay for a
	// minute or so.
	standingAfter = 5 * time.Second
)

// outAfter is when a caller may ask again whose job could start nowhere. Work on a data
// centre takes minutes, but the caller has nowhere else to go.
const outAfter = 5 * time.Second

// outOfService reports whether every data centre in which a service has had a worker is out
// of service. Where one is left, its workers may only be restarting.
func (in *Input) outOfService(service string) bool {
	stood := in.Jobs.Stood[service]
	return len(stood) > 0 && !slices.ContainsFunc(stood, func(name string) bool { return !in.DataCentres.Cordoned(name) })
}

// admitStanding takes a job of standing tasks in as long as they leave room for
// the tasks that come and go. What was taken in and has no place yet counts as well: jobs
// come together, at the start of a day above all, and each would else find the room that the
// others are about to hold.
func admitStanding(in Input, q *queues.Queue, spec *jobs.Spec) Verdict {
	total, held := int64(0), in.Promised[q.Service]
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
	if total == 0 || float64(held+StandingCPU(spec)) <= standingShare*float64(total) {
		return Verdict{}
	}
	return Verdict{Refuse: true, After: standingAfter}
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

func standing(s *jobs.Spec) bool {
	for i := range s.Steps {
		if s.Steps[i].Standing {
			return true
		}
	}
	return false
}

func fills(s *jobs.Spec) bool {
	for i := range s.Steps {
		if s.Steps[i].Fills {
			return true
		}
	}
	return false
}

// age is the time since a job was accepted, or was due if that was later.
func age(j *jobs.Job, dueMS, nowMS int64) time.Duration {
	return time.Duration(nowMS-max(j.AcceptedAt, dueMS)) * time.Millisecond
}

// roomFor returns the processors of a service, in thousandths, that jobs of a
// kind can have: filling ones get what is not held, the others what is not held
// by standing tasks.
func roomFor(in Input, service string, filling bool) int64 {
	total := int64(0)
	for id, w := range in.Jobs.Workers {
		if w.Service != service || in.closed(w) {
			continue
		}
		u := in.Jobs.Use(id)
		if filling {
			total += w.Capacity.MilliCPU - u.Held.MilliCPU + int64(servingSlack*float64(u.ServingCPU))
		} else {
			total += w.Capacity.MilliCPU - u.ServingCPU
		}
	}
	return total
}
