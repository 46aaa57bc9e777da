package runner

import (
	"time"

	"github.com/sirupsen/logrus"
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
	// sent is when this life first asked for its start, zero if an earlier one did.
	sent time.Time
}

// remains returns what the session knows of its incarnation. A run whose start went
// unanswered may be at work only if it was sent before the worker fell silent.
func (s *session) remains() remains {
	silence, silent := s.r.contact.silence(s.worker)
	left := remains{worker: s.worker, leaving: s.draining()}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, r := range s.runs {
		r.mu.Lock()
		begun := r.started || (r.unsure && (!silent || r.sent.Before(silence.since)))
		if begun && !r.ended {
			left.runs = append(left.runs, atWork{key, r.sent})
		}
		r.mu.Unlock()
	}
	return left
}

// justBegun is for how long after its start a run counts as just begun in the log.
const justBegun = time.Second

// logRemains tells what ended with an incarnation that another has replaced.
func (r *Runner) logRemains(left remains) {
	s, silent := r.contact.silence(left.worker)
	if !silent || s.replaced.IsZero() {
		return
	}
	begun := 0
	for _, x := range left.runs {
		if !x.sent.IsZero() && s.answered.Sub(x.sent) < justBegun {
			begun++
		}
	}
	logrus.WithFields(logrus.Fields{"worker": left.worker, "leaving": left.leaving, "closed": s.closed, "lease_in_force": s.replaced.Before(s.held),
		"silent_ms": s.replaced.Sub(s.since).Milliseconds(), "runs": len(left.runs), "just_begun": begun}).
		Warn("runner: A worker was replaced by another incarnation; what ran on it has ended.")
}
