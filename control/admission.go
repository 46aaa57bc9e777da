package control

import (
	"time"

	"github.com/waxwinghaven/waxwinghaven/dispatch"
	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// admit refuses a job that can't be in time. A job that is known, or may be in a
// moment, is never refused: its caller lost an answer, and being told "not run"
// now would be a lie.
//
// A majority has to confirm only a refusal: a job that is taken in is committed, which
// confirms as much. That saves every other caller a round trip.
func (d *dispatcher) admit(c *SubmitJob) error {
	key := c.Host + c.Path
	d.mu.Lock()
	running := d.inFlight[key] > 0
	d.inFlight[key]++
	d.mu.Unlock()
	c.AtMS = d.nowMS()
	if running || !d.judgeAndPromise(c).Refuse {
		return nil
	}
	if err := d.r.confirmedLeader(); err != nil {
		d.submitted(c)
		return err
	}
	v := d.judgeAndPromise(c)
	if !v.Refuse {
		return nil
	}
	d.submitted(c)
	e := refusal.New(refusal.Overloaded, "hand it in again later", "%s", v.Reason())
	e.RetryAfter = refusal.Spread(v.After)
	return e
}

// unadvisedAfter is when a caller may ask again whose queue needs an advisor that is not
// set: an operator has to change something first.
const unadvisedAfter = 5 * time.Second

// judgeAndPromise judges a job and, if its standing tasks are let in, counts what they will
// hold until it is committed: calls that come together are judged one after the other.
func (d *dispatcher) judgeAndPromise(c *SubmitJob) dispatch.Verdict {
	need := dispatch.StandingCPU(&c.Spec)
	if need == 0 {
		return d.judge(c)
	}
	d.promising.Lock()
	defer d.promising.Unlock()
	v := d.judge(c)
	if !v.Refuse {
		d.promise(c, need)
	}
	return v
}

// promise keeps room for a call under way.
func (d *dispatcher) promise(c *SubmitJob, need int64) {
	d.r.machine.Read(func(s *State) {
		if q, id := s.Queues.Config.Match(c.Host, c.Path); q != nil && s.Jobs.Jobs[id] == nil {
			c.service, c.promised = q.Service, need
		}
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.promised[c.service] += c.promised
}

// judge decides by what this replica knows.
func (d *dispatcher) judge(c *SubmitJob) (v dispatch.Verdict) {
	d.r.machine.Read(func(s *State) {
		q, id := s.Queues.Config.Match(c.Host, c.Path)
		if q == nil || s.Jobs.Jobs[id] != nil {
			return
		}
		if q.Advice != nil && d.consult.advisor == nil {
			v = dispatch.Verdict{Refuse: true, Unadvised: true, After: unadvisedAfter}
			return
		}
		v = dispatch.Admit(d.input(s), q, &c.Spec)
	})
	return v
}

// submitted ends what admit began.
func (d *dispatcher) submitted(c *SubmitJob) {
	key := c.Host + c.Path
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.inFlight[key]--; d.inFlight[key] <= 0 {
		delete(d.inFlight, key)
	}
	if d.promised[c.service] -= c.promised; d.promised[c.service] <= 0 {
		delete(d.promised, c.service)
	}
	c.promised = 0
}
