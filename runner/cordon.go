package runner

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/clock"
)

var startsHeld = metrics.NewCounter(`waxwinghaven_starts_held_total{reason="no-word"}`)

// heard takes in the answer to a request for the lease: whether the data centre is out of
// service, by a majority's word later than asked.
func (s *session) heard(cordoned bool, asked clock.Instant) {
	s.mu.Lock()
	if !s.word.IsZero() && asked.Sub(s.word) < 0 {
		s.mu.Unlock()
		return // requests overlap, and a later one was answered first
	}
	changed := s.cordoned != cordoned
	s.cordoned, s.word = cordoned, asked
	if !cordoned {
		s.inService = asked
	}
	s.mu.Unlock()
	if changed {
		s.logCordon(cordoned)
	}
	if cordoned {
		s.wakeRuns()
	}
}

// cordon takes in, from the leader's orders, that the data centre is out of service. That it
// is back only a majority may say: orders are handed out without one.
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

// mayStart reports whether the control's last word that the data centre is in service is new
// enough to start something by it. An agent that is cut off goes on holding its orders and
// its lease while an operator's order is acknowledged elsewhere; it must not start them past
// the operators' bound. The next renewal of the lease brings a new word.
func (s *session) mayStart() bool {
	s.mu.Lock()
	word := s.inService
	s.mu.Unlock()
	if !word.IsZero() && clock.Since(word) <= s.r.startWord {
		return true
	}
	startsHeld.Inc()
	return false
}

// wakeRuns makes every run decide anew.
func (s *session) wakeRuns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		r.signal()
	}
}
