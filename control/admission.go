package control

import (
	"time"

	"github.com/waxwinghaven/waxwinghaven/dispatch"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// admit refuses a job that cannot meet its deadline. A job that is already known, or whose
// submission is being committed, is never refused: its caller is retrying after a lost answer,
// and "not run" would be false.
//
// Only a refusal needs the confirmation of a majority. An accepted job is committed, which
// confirms the leadership too and saves the other callers a round trip.
func (d *dispatcher) admit(c *SubmitJob) error {
	if err := d.awaitLeadership(); err != nil {
		return err
	}
	return d.admitConfirmed(c, d.r.confirmedLeader)
}

// admitConfirmed is admit with the function that confirms the leadership.
func (d *dispatcher) admitConfirmed(c *SubmitJob, confirm func() error) error {
	running, err := d.begin(c)
	if err != nil {
		return err
	}
	c.AtMS = d.nowMS()
	d.demand.arrived(c, running)
	if running || !d.judgeAndReserve(c).Refuse {
		return nil
	}
	if err := confirm(); err != nil {
		d.submitted(c)
		return err
	}
	v := d.judgeAndReserve(c)
	if !v.Refuse || !d.withdraw(c) {
		return nil
	}
	c.refusalCode = v.Code()
	e := refusal.New(refusal.Overloaded, "hand it in again later", "%s", v.Reason())
	e.RetryAfter = d.retryAfter(c, &v)
	d.markFinal(e, c.Seen)
	return e
}

// retryAfter returns when the caller of a refused job is to return, and lists the job. Jobs that
// wait for an operator are not listed, nor those that another call has submitted meanwhile.
func (d *dispatcher) retryAfter(c *SubmitJob, v *dispatch.Verdict) time.Duration {
	if d.refused == nil || v.NoAdvisor || v.OutOfService || v.Full {
		return refusal.Jitter(v.RetryAfter)
	}
	retry := time.Duration(0)
	d.r.machine.Read(func(s *State) {
		if q, id := s.Queues.Config.Match(c.Host, c.Path); q != nil && jobs.ValidID(id) && s.Jobs.Jobs[id] == nil {
			retry = d.refused.refuse(c, q, id, v, time.Now())
		}
	})
	if retry == 0 {
		// The time until there is room may be zero, and Jitter panics then.
		return refusal.Jitter(max(v.RetryAfter, time.Second))
	}
	return retry
}

// admitted removes the listed entry of a job whose submission is committed.
func (d *dispatcher) admitted(c *SubmitJob) {
	if d.refused == nil {
		return
	}
	d.r.machine.Read(func(s *State) {
		if q, id := s.Queues.Config.Match(c.Host, c.Path); q != nil {
			d.refused.admit(c, q, id, time.Now())
		}
	})
}

// noAdvisorRetry is the retry delay for a queue that needs an advisor while none is set: an
// operator has to change the settings first.
const noAdvisorRetry = 5 * time.Second

// judgeAndReserve judges a job and, if its standing tasks are admitted, reserves the CPU that
// they need until the submission is committed. Concurrent calls are judged one after the other.
func (d *dispatcher) judgeAndReserve(c *SubmitJob) dispatch.Verdict {
	need, size := dispatch.StandingCPU(&c.Spec), c.Spec.Size()
	if need == 0 && size < reservedSize {
		return d.judge(c)
	}
	d.reserveMu.Lock()
	defer d.reserveMu.Unlock()
	v := d.judge(c)
	if !v.Refuse {
		d.reserve(c, need)
		d.reserveSize(c, size)
	}
	return v
}

const (
	// stateShare is the part of a replica's memory for the jobs that are kept: one in so many.
	stateShare = 4
	// reservedSize is the size in bytes from which a job counts while it is being committed.
	reservedSize = 64 << 10
	// fullRetry is the retry delay while the jobs that are kept take all memory for them. They are
	// kept for two minutes after their end.
	fullRetry = 5 * time.Second
)

// full reports whether a job would take more memory than there is for jobs.
func (d *dispatcher) full(s *State, spec *jobs.Spec) bool {
	limit := int64(d.r.set.Instance.MemoryMB) << 20 / stateShare
	if limit == 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return s.Jobs.Size()+d.reservedBytes+spec.Size() > limit
}

// reserveSize sets memory aside for a submission that is being committed.
func (d *dispatcher) reserveSize(c *SubmitJob, bytes int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reservedBytes += bytes - c.reservedBytes
	c.reservedBytes = bytes
}

// reserve sets CPU aside for a submission that is being committed.
func (d *dispatcher) reserve(c *SubmitJob, need int64) {
	d.r.machine.Read(func(s *State) {
		if q, id := s.Queues.Config.Match(c.Host, c.Path); q != nil && s.Jobs.Jobs[id] == nil {
			c.service, c.reserved = q.Service, need
			// What is reserved must not count as listed, too.
			d.refused.admit(c, q, id, time.Now())
		}
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reserved[c.service] += c.reserved
}

// judge decides from this replica's state, without a majority read.
func (d *dispatcher) judge(c *SubmitJob) (v dispatch.Verdict) {
	if d.refused != nil {
		d.leads() // drops the places if they are of an earlier leadership
	}
	d.r.machine.Read(func(s *State) {
		q, id := s.Queues.Config.Match(c.Host, c.Path)
		if q == nil || s.Jobs.Jobs[id] != nil {
			return
		}
		if q.Advice != nil && d.advice.advisor == nil {
			v = dispatch.Verdict{Refuse: true, NoAdvisor: true, RetryAfter: noAdvisorRetry}
			return
		}
		if d.full(s, &c.Spec) {
			v = dispatch.Verdict{Refuse: true, Full: true, RetryAfter: fullRetry}
			return
		}
		in := d.input(s)
		if d.refused != nil {
			d.refused.addInput(&in, q, id, dispatch.KindOf(&c.Spec), time.Now())
			if in.Place > 0 {
				c.AtMS = in.Place // a job's objective counts from its first submission
			}
		}
		v = dispatch.Admit(in, q, &c.Spec)
	})
	return v
}

// submitted releases what admit has recorded and reserved for the call.
func (d *dispatcher) submitted(c *SubmitJob) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.release(c)
}

// release is submitted for a caller that holds the lock.
func (d *dispatcher) release(c *SubmitJob) {
	if d.inFlight[c.key()]--; d.inFlight[c.key()] <= 0 {
		delete(d.inFlight, c.key())
	}
	if d.reserved[c.service] -= c.reserved; d.reserved[c.service] <= 0 {
		delete(d.reserved, c.service)
	}
	c.reserved = 0
	d.reservedBytes -= c.reservedBytes
	c.reservedBytes = 0
}
