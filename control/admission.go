package control

import (
	"time"

	"github.com/waxwinghaven/waxwinghaven/dispatch"
	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// admit refuses a job that cannot meet its deadline. A job that is already known, or whose
// submission is being committed, is never refused: its caller is retrying after a lost answer,
// and "not run" would be false.
//
// Only a refusal needs the confirmation of a majority. An accepted job is committed, which
// confirms the leadership too and saves the other callers a round trip.
func (d *dispatcher) admit(c *SubmitJob) error {
	key := c.Host + c.Path
	d.mu.Lock()
	running := d.inFlight[key] > 0
	d.inFlight[key]++
	d.mu.Unlock()
	c.AtMS = d.nowMS()
	d.demand.arrived(c, running)
	if running || !d.judgeAndReserve(c).Refuse {
		return nil
	}
	if err := d.r.confirmedLeader(); err != nil {
		d.submitted(c)
		return err
	}
	v := d.judgeAndReserve(c)
	if !v.Refuse {
		return nil
	}
	d.submitted(c)
	c.refusalCode = v.Code()
	e := refusal.New(refusal.Overloaded, "hand it in again later", "%s", v.Reason())
	e.RetryAfter = refusal.Jitter(v.RetryAfter)
	return e
}

// noAdvisorRetry is the retry delay for a queue that needs an advisor while none is set: an
// operator has to change the settings first.
const noAdvisorRetry = 5 * time.Second

// judgeAndReserve judges a job and, if its standing tasks are admitted, reserves the CPU that
// they need until the submission is committed. Concurrent calls are judged one after the other.
func (d *dispatcher) judgeAndReserve(c *SubmitJob) dispatch.Verdict {
	need := dispatch.StandingCPU(&c.Spec)
	if need == 0 {
		return d.judge(c)
	}
	d.reserveMu.Lock()
	defer d.reserveMu.Unlock()
	v := d.judge(c)
	if !v.Refuse {
		d.reserve(c, need)
	}
	return v
}

// reserve sets CPU aside for a submission that is being committed.
func (d *dispatcher) reserve(c *SubmitJob, need int64) {
	d.r.machine.Read(func(s *State) {
		if q, id := s.Queues.Config.Match(c.Host, c.Path); q != nil && s.Jobs.Jobs[id] == nil {
			c.service, c.reserved = q.Service, need
		}
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reserved[c.service] += c.reserved
}

// judge decides from this replica's state, without a majority read.
func (d *dispatcher) judge(c *SubmitJob) (v dispatch.Verdict) {
	d.r.machine.Read(func(s *State) {
		q, id := s.Queues.Config.Match(c.Host, c.Path)
		if q == nil || s.Jobs.Jobs[id] != nil {
			return
		}
		if q.Advice != nil && d.advice.advisor == nil {
			v = dispatch.Verdict{Refuse: true, NoAdvisor: true, RetryAfter: noAdvisorRetry}
			return
		}
		v = dispatch.Admit(d.input(s), q, &c.Spec)
	})
	return v
}

// submitted releases what admit has recorded and reserved for the call.
func (d *dispatcher) submitted(c *SubmitJob) {
	key := c.Host + c.Path
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.inFlight[key]--; d.inFlight[key] <= 0 {
		delete(d.inFlight, key)
	}
	if d.reserved[c.service] -= c.reserved; d.reserved[c.service] <= 0 {
		delete(d.reserved, c.service)
	}
	c.reserved = 0
}
