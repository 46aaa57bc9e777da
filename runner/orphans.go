package runner

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// An orphan is a run on the worker that the control does not know there: it was made void, or
// reported as never started, and its task may be running elsewhere. It is stopped whatever its
// origin, since each renewal of the lease would keep it running. The same holds for a run that
// the control knows but will soon treat as ended, because the lease that it granted has
// expired.

var (
	orphansTotal = metrics.NewCounter(`waxwinghaven_strays_stopped_total`)
	overdueTotal = metrics.NewCounter(`waxwinghaven_overdue_stopped_total`)
)

// stopUnordered stops runs that the session has taken over and that the control's first
// orders, which name all runs known here, do not contain.
func (s *session) stopUnordered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		if !r.isOrdered() {
			s.stopOrphan(r)
		}
	}
}

// stopUnknown stops runs on the worker that the session does not know: neither its orders nor
// the worker's initial list contained them.
func (s *session) stopUnknown(running []RunningRun) {
	for _, x := range running {
		o := jobs.Order{Task: x.Task, Run: x.Run}
		if s.hasRun(o) {
			continue
		}
		r := s.runFor(o)
		r.setStarted()
		s.stopOrphan(r)
	}
}

// stopOverdue stops runs that continue after the lease granted to this session has expired.
// The worker knows of a longer lease, from a late call for an earlier start of it, whose lease
// end is a time on that start's clock. The control will soon treat these runs as ended.
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
			Warn("runner: A run continues after the granted lease has expired; stopping it.")
		r.stopNow()
	}
}

func (s *session) stopOrphan(r *run) {
	orphansTotal.Inc()
	logrus.WithFields(logrus.Fields{"worker": s.worker, "task": r.key.task.String(), "run": r.key.run}).
		Warn("runner: The worker has a run that the control does not know there; stopping it.")
	r.mu.Lock()
	r.orphan = true
	r.mu.Unlock()
	r.stopNow()
}

// removeEndedOrphans removes the orphans that a list no longer contains, neither running nor
// ended: their ends were acknowledged before this session.
func (s *session) removeEndedOrphans(reply HoldReply) {
	if reply.Truncated {
		return // they may be among the ends that are not listed yet
	}
	s.mu.Lock()
	var removed []*run
	for key, r := range s.runs {
		if r.isOrphan() && !listsRun(reply, key) {
			delete(s.runs, key)
			removed = append(removed, r)
		}
	}
	s.mu.Unlock()
	for _, r := range removed {
		r.setEnded()
	}
	if len(removed) > 0 {
		s.wakeRuns()
	}
}

// hasOrphans reports whether an orphan is left. Nothing is started beside it: the capacity
// that it occupies is unknown, and it may be a run of the same task.
func (s *session) hasOrphans() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		if r.isOrphan() {
			return true
		}
	}
	return false
}

func (r *run) isOrphan() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.orphan && !r.ended
}
