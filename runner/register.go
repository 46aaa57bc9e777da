package runner

import (
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
		Labels: a.Labels, Rack: a.Rack, Capacity: a.Capacity, Token: s.token.Load(), Life: s.life, Draining: a.Draining}}
	var done control.Registered
	if err := s.r.ctl.Call(control.PathRegister, controlTimeout, &w, &done); err != nil {
		return err
	}
	s.registered.Store(done.Index)
	s.r.crash, s.r.registered = nil, a.Worker // only one registration is under way at a time
	return nil
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
