package runner

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// sessionState is what a session knew of its incarnation when it ended.
type sessionState struct {
	worker  string
	leaving bool
	runs    []activeRun
}

// activeRun is a run that was running, or may have been.
type activeRun struct {
	key runKey
	// startedAt is the latest time at which the run had started, or the earliest if its start
	// went unanswered.
	startedAt time.Time
	uncertain bool
}

// state returns what the session knows of its incarnation. A run whose start went unanswered
// counts unless the start was sent after the incarnation had ended.
func (s *session) state() sessionState {
	outage, unresponsive := s.r.liveness.outage(s.worker)
	state := sessionState{worker: s.worker, leaving: s.draining()}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, r := range s.runs {
		r.mu.Lock()
		switch {
		case r.ended:
		case r.started && r.startedAt.IsZero(): // by an earlier session
			state.runs = append(state.runs, activeRun{key: key, startedAt: s.began})
		case r.started:
			state.runs = append(state.runs, activeRun{key: key, startedAt: r.startedAt})
		case r.uncertain && (!unresponsive || outage.ended().IsZero() || r.sentAt.Before(outage.ended())):
			state.runs = append(state.runs, activeRun{key: key, startedAt: r.sentAt, uncertain: true})
		}
		r.mu.Unlock()
	}
	return state
}

// saveState saves the state of a session that has ended. A session that never reached its
// incarnation knows no more than the one before it. A crash is reported once another
// incarnation has taken the place.
func (r *Runner) saveState(s *session) {
	r.deregistered = s.deregistered.Load()
	if state := s.state(); s.reached || state.worker != r.lastState.worker {
		r.lastState = state
	} else {
		r.lastState.leaving = r.lastState.leaving || state.leaving
	}
	if crash := r.crashOf(r.lastState); crash != nil {
		r.crash = crash
	}
}

// crashOf returns the crash of an incarnation that was replaced by another, nil if it did not
// crash or that is uncertain. A draining one ended as announced. One that stopped answering
// may have been cut off, with its runs ended by their lease before it ended itself. It crashed
// under its runs only if it had ended while the lease was in force, as its closed connections
// or its successor's answer show.
func (r *Runner) crashOf(state sessionState) *jobs.Crash {
	outage, unresponsive := r.liveness.outage(state.worker)
	if !unresponsive || outage.replaced.IsZero() {
		return nil
	}
	leaseInForce := outage.ended().Before(outage.leaseEnd)
	certain := !state.leaving && leaseInForce
	crash := &jobs.Crash{Worker: state.worker, SpanMS: outage.ended().Sub(outage.answered).Milliseconds()}
	for _, x := range state.runs {
		run := jobs.CrashedRun{Task: x.key.task, Run: x.key.run, ToMS: x.age(outage.ended()).Milliseconds(), Unanswered: x.uncertain}
		if !x.uncertain {
			run.FromMS = x.age(outage.answered).Milliseconds()
		}
		crash.Runs = append(crash.Runs, run)
	}
	logrus.WithFields(logrus.Fields{"worker": state.worker, "leaving": state.leaving, "closed": !outage.closed.IsZero(), "lease_in_force": leaseInForce, "crash": certain,
		"silent_ms": outage.replaced.Sub(outage.since).Milliseconds(), "runs": len(state.runs)}).
		Warn("runner: A worker was replaced by another incarnation; what ran on it has ended.")
	if !certain || len(crash.Runs) == 0 {
		return nil
	}
	return crash
}

// age returns how long the run had been running at a time.
func (x *activeRun) age(at time.Time) time.Duration { return max(at.Sub(x.startedAt), 0) }
