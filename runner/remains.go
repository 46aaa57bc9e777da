package runner

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// remains is what a session knew of its incarnation when it ended.
type remains struct {
	worker  string
	leaving bool
	runs    []atWork
}

// atWork is a run that was at work, or may have been.
type atWork struct {
	key runKey
	// began is when it had begun at the latest; if its start went unanswered, at the
	// earliest.
	began  time.Time
	unsure bool
}

// remains returns what the session knows of its incarnation. A run whose start went
// unanswered may have been at work only if it was sent before the incarnation had ended.
func (s *session) remains() remains {
	silence, silent := s.r.contact.silence(s.worker)
	left := remains{worker: s.worker, leaving: s.draining()}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, r := range s.runs {
		r.mu.Lock()
		switch {
		case r.ended:
		case r.started && r.began.IsZero(): // by an earlier life of the agent
			left.runs = append(left.runs, atWork{key: key, began: s.began})
		case r.started:
			left.runs = append(left.runs, atWork{key: key, began: r.began})
		case r.unsure && (!silent || silence.ended().IsZero() || r.sent.Before(silence.ended())):
			left.runs = append(left.runs, atWork{key: key, began: r.sent, unsure: true})
		}
		r.mu.Unlock()
	}
	return left
}

// keep takes in what a session left when it ended. One that never reached its incarnation
// knows no better than the one before it. What the incarnation left is told once another
// stands in its place.
func (r *Runner) keep(s *session) {
	r.disowned = s.disowned.Load()
	if left := s.remains(); s.reached || left.worker != r.left.worker {
		r.left = left
	} else {
		r.left.leaving = r.left.leaving || left.leaving
	}
	if crash := r.crashOf(r.left); crash != nil {
		r.crash = crash
	}
}

// crashOf returns the crash of an incarnation that another has replaced, nil if it didn't
// crash or that isn't certain. One that was leaving ended as it said. One that fell silent
// may have been cut off, and its runs have lapsed before it ended: it has crashed under them
// only if it had ended, by the close of its connections or by its successor's word, while
// the lease was in force.
func (r *Runner) crashOf(left remains) *jobs.Crash {
	s, silent := r.contact.silence(left.worker)
	if !silent || s.replaced.IsZero() {
		return nil
	}
	held := s.ended().Before(s.held)
	certain := !left.leaving && held
	crash := &jobs.Crash{Worker: left.worker, SpanMS: s.ended().Sub(s.answered).Milliseconds()}
	for _, x := range left.runs {
		run := jobs.CrashedRun{Task: x.key.task, Run: x.key.run, ToMS: x.age(s.ended()).Milliseconds(), Unsure: x.unsure}
		if !x.unsure {
			run.FromMS = x.age(s.answered).Milliseconds()
		}
		crash.Runs = append(crash.Runs, run)
	}
	logrus.WithFields(logrus.Fields{"worker": left.worker, "leaving": left.leaving, "closed": !s.closed.IsZero(), "lease_in_force": held, "crash": certain,
		"silent_ms": s.replaced.Sub(s.since).Milliseconds(), "runs": len(left.runs)}).
		Warn("runner: A worker was replaced by another incarnation; what ran on it has ended.")
	if !certain || len(crash.Runs) == 0 {
		return nil
	}
	return crash
}

// age is how long the run had been at work at a time.
func (x *atWork) age(at time.Time) time.Duration { return max(at.Sub(x.began), 0) }
