package runner

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// A stray is a run at work on the worker that the control doesn't know there: it was made void,
// or reported as never started, and its task may be at work elsewhere. It is stopped wherever it
// came from, since each renewal of the lease would keep it at work. So is a run that the control
// knows and soon takes for ended, since the lease that it granted has.

var (
	straysTotal  = metrics.NewCounter(`waxwinghaven_strays_stopped_total`)
	overdueTotal = metrics.NewCounter(`waxwinghaven_overdue_stopped_total`)
)

// stopUnordered stops what the session has taken over and the control's first orders, which name
// all that it knows here, don't have.
func (s *session) stopUnordered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		if !r.isOrdered() {
			s.stopStray(r)
		}
	}
}

// stopUnknown stops what the worker runs and the session knows nothing of: it was listed by none
// of its orders, nor by the worker when the session began.
func (s *session) stopUnknown(running []RunningRun) {
	for _, x := range running {
		o := jobs.Order{Task: x.Task, Run: x.Run}
		if s.has(o) {
			continue
		}
		r := s.ensure(o)
		r.setStarted()
		s.stopStray(r)
	}
}

// stopOverdue stops what is at work past the lease that this session was granted: the worker knows
// of a longer one, by a call for an earlier start of it that was carried out late and named a time
// on that one's clock. The control takes these runs for ended soon.
func (s *session) stopOverdue(reply HoldReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaseEnd == 0 || reply.ClockMS <= s.leaseEnd {
		return
	}
	for _, x := range reply.Running {
		r := s.runs[runKey{x.Task, x.Run}]
		if r == nil || r.isStopping() {
			continue
		}
		overdueTotal.Inc()
		logrus.WithFields(logrus.Fields{"worker": s.worker, "task": x.Task.String(), "run": x.Run, "clock_ms": reply.ClockMS, "lease_end": s.leaseEnd}).
			Warn("runner: The worker runs this past the lease that it was granted; it is stopped.")
		r.stopNow()
	}
}

func (s *session) stopStray(r *run) {
	straysTotal.Inc()
	logrus.WithFields(logrus.Fields{"worker": s.worker, "task": r.key.task.String(), "run": r.key.run}).
		Warn("runner: The worker runs what the control doesn't know there; it is stopped.")
	r.mu.Lock()
	r.stray = true
	r.mu.Unlock()
	r.stopNow()
}

// forgetStrays drops the strays that a list doesn't have any more, neither at work nor ended: their
// ends were acknowledged before this session.
func (s *session) forgetStrays(reply HoldReply) {
	s.mu.Lock()
	var gone []*run
	for key, r := range s.runs {
		if r.isStray() && !lists(reply, key) {
			delete(s.runs, key)
			gone = append(gone, r)
		}
	}
	s.mu.Unlock()
	for _, r := range gone {
		r.setEnded()
	}
	if len(gone) > 0 {
		s.wakeRuns()
	}
}

// hasStrays reports whether a stray is still there. Nothing is started beside it: what it takes
// of the worker's room isn't known, and it may be a run of the same task.
func (s *session) hasStrays() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		if r.isStray() {
			return true
		}
	}
	return false
}

func (r *run) isStray() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stray && !r.ended
}
