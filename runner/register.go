package runner

import (
	"time"

	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// register commits the worker's registration with the token that it has seen. It retries until
// it succeeds, and returns false if the session ends.
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
			s.deregistered.Store(true)
			s.end("a later session has registered, or the control has lost this one's worker")
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
		Labels: a.Labels, Rack: a.Rack, Capacity: a.Capacity, Token: s.token.Load(), Session: s.id, Draining: a.Draining,
		LateLease: !a.UniqueID && !s.r.lateLeaseExpired(a.Worker, time.Now())}}
	var done control.Registered
	if err := s.r.ctl.Call(control.PathRegister, controlTimeout, &w, &done); err != nil {
		return err
	}
	s.registered.Store(done.Index)
	s.r.crash, s.r.registered = nil, a.Worker // registrations of a session don't overlap
	if done.LateLeaseMS > 0 {
		s.awaitLateLease(time.Duration(done.LateLeaseMS) * time.Millisecond)
	}
	return nil
}

// lateLease records until when an incarnation may hold a lease that calls for its previous
// start extended. It was fenced before that period began, so no such call takes effect any
// more.
type lateLease struct {
	worker string
	until  time.Time
}

// lateLeaseExpired reports whether a lease that a call for the previous start extended has
// certainly expired.
func (r *Runner) lateLeaseExpired(worker string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lateLease.worker == worker && now.After(r.lateLease.until)
}

// awaitLateLease registers the worker again once a lease that calls for the previous start may
// have extended has expired. A monotonic clock that stops while the process is suspended only
// delays this.
func (s *session) awaitLateLease(term time.Duration) {
	r, now := s.r, time.Now()
	r.mu.Lock()
	if r.lateLease.worker != s.worker {
		r.lateLease = lateLease{s.worker, now.Add(term)}
	}
	left := r.lateLease.until.Sub(now)
	r.mu.Unlock()
	if s.awaitingLateLease {
		return
	}
	s.awaitingLateLease = true
	go func() {
		s.sleep(left + time.Millisecond)
		s.requestUpdate()
	}()
}

// announced returns the worker's newest heartbeat.
func (s *session) announced() Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ann
}

// unknownService ends the session if the control refused because no configuration names the
// worker's service. The worker's next heartbeat starts a new session: the service may be added
// in between, and a name that stays unknown costs no more than these attempts.
func (s *session) unknownService(err error) bool {
	if codeOf(err) != refusal.UnknownService {
		return false
	}
	refusal.Count(part, refusal.UnknownService)
	s.final.Store(true)
	s.end("no configuration names the worker's service")
	return true
}
