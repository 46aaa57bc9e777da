package runner

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/clock"
)

var startsHeld = metrics.NewCounter(`waxwinghaven_starts_held_total{reason="no-word"}`)

// setCordonStatus applies the answer to a lease request that was sent at asked: whether the
// data centre is out of service, as a majority of the replicas confirmed after that time.
func (s *session) setCordonStatus(cordoned bool, asked clock.Instant) {
	s.mu.Lock()
	if !s.cordonAsOf.IsZero() && asked.Sub(s.cordonAsOf) < 0 {
		s.mu.Unlock()
		return // requests overlap, and a later one was answered first
	}
	changed := s.cordoned != cordoned
	s.cordoned, s.cordonAsOf = cordoned, asked
	if !cordoned {
		s.inServiceAsOf = asked
	}
	s.mu.Unlock()
	if changed {
		s.logCordon(cordoned)
	}
	if cordoned {
		s.wakeRuns()
	}
}

// cordon applies the leader's orders when they say that the data centre is out of service.
// Orders are handed out without a majority's confirmation, so they never bring it back into
// service.
func (s *session) cordon() {
	s.mu.Lock()
	changed := !s.cordoned
	s.cordoned = true
	s.mu.Unlock()
	if changed {
		s.logCordon(true)
		s.wakeRuns()
	}
}

func (s *session) logCordon(cordoned bool) {
	l := logrus.WithField("worker", s.worker)
	if cordoned {
		l.Info("runner: The data centre is out of service; nothing new is started.")
		return
	}
	l.Info("runner: The data centre is in service again.")
}

func (s *session) isCordoned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cordoned
}

// mayStart reports whether the last confirmation that the data centre is in service is recent
// enough to start a run. An agent that is cut off keeps its orders and its lease while the
// control acknowledges an operator's cordon; it must not start them after the bound that
// operators rely on. The next renewal of the lease brings a new confirmation.
func (s *session) mayStart() bool {
	s.mu.Lock()
	confirmed := s.inServiceAsOf
	s.mu.Unlock()
	if !confirmed.IsZero() && clock.Since(confirmed) <= s.r.maxConfirmationAge {
		return true
	}
	startsHeld.Inc()
	return false
}

// wakeRuns makes every run decide again what to do.
func (s *session) wakeRuns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		r.signal()
	}
}
