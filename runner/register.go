package runner

import (
	"time"

	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// register commits the worker, with the token that it has seen.
func (s *session) register() bool {
	for s.ctx.Err() == nil {
		err := s.sendRegistration()
		switch {
		case err == nil:
			s.r.tokens.spend(s.token.Load())
			return true
		case s.unknownService(err):
			return false
		case codeOf(err) == refusal.NotRegistered:
			s.r.tokens.spend(s.token.Load())
			s.disowned.Store(true)
			s.end("a later session has registered, or this one's worker was lost")
			return false
		}
		refusal.CountRetry(part, codeOf(err))
		s.sleep(callPause)
	}
	return false
}

func (s *session) sendRegistration() error {
	a := s.announced()
	w := control.Registration{Crash: s.r.crash, Update: s.registered.Load() != 0, Worker: jobs.Worker{ID: a.Worker, Agent: s.r.agent, Service: a.Service, DataCentre: a.DataCentre,
		Labels: a.Labels, Rack: a.Rack, Capacity: a.Capacity, Token: s.token.Load(), Life: s.life, Draining: a.Draining,
		LentLate: !a.OwnID && !s.r.outlasted(a.Worker, time.Now())}}
	var done control.Registered
	if err := s.r.ctl.Call(control.PathRegister, controlTimeout, &w, &done); err != nil {
		return err
	}
	s.registered.Store(done.Index)
	s.r.crash, s.r.registered = nil, a.Worker // only one registration is under way at a time
	if done.LentMS > 0 {
		s.outlast(time.Duration(done.LentMS) * time.Millisecond)
	}
	return nil
}

// lent is until when calls for the start before may have lent an incarnation a lease: it was
// fenced before the time began, so none comes any more.
type lent struct {
	worker string
	until  time.Time
}

// outlasted reports whether no lease is left that a call for the start before has lent.
func (r *Runner) outlasted(worker string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lent.worker == worker && now.After(r.lent.until)
}

// outlast tells the control once a lease has passed that calls for the start before may have lent.
// Steady clocks that stand still while a process is suspended only make that later.
func (s *session) outlast(term time.Duration) {
	r, now := s.r, time.Now()
	r.mu.Lock()
	if r.lent.worker != s.worker {
		r.lent = lent{s.worker, now.Add(term)}
	}
	left := r.lent.until.Sub(now)
	r.mu.Unlock()
	if s.outlasting {
		return
	}
	s.outlasting = true
	go func() {
		s.sleep(left + time.Millisecond)
		s.changed()
	}()
}

// announced returns the worker's newest heartbeat.
func (s *session) announced() Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ann
}

// unknownService ends the session if the control refused since nobody knows the worker's
// service. The worker's next heartbeat begins anew: the service may be added in between,
// and a name that nobody knows costs no more than that.
func (s *session) unknownService(err error) bool {
	if codeOf(err) != refusal.UnknownService {
		return false
	}
	refusal.Count(part, refusal.UnknownService)
	s.gone.Store(true)
	s.end("no configuration names the worker's service")
	return true
}
