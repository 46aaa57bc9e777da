package runner

import (
	"errors"
	"time"

	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// maxRefusedConns is the number of consecutive refused connections after which a worker that
// announced its end counts as ended: half a second, with one attempt per callPause.
const maxRefusedConns = 10

// reportLeft reports to the control that a worker has ended, if it had announced that and its
// address refuses connections. Its runs ended with it, and waiting for the lease to end would
// delay their tasks by seconds. A worker that announced nothing is not reported, nor one whose
// connections fail otherwise or are reset: it may be overloaded or behind a bad link, and
// still running.
func (s *session) reportLeft(err error) bool {
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	if !leaving || !errors.Is(err, ErrRefused) {
		return false
	}
	if s.refusedConns++; s.refusedConns < maxRefusedConns {
		return false
	}
	ref := s.ref()
	if err := s.r.ctl.Call(control.PathWorkerGone, controlTimeout, &ref, nil); err != nil {
		s.handleControlError("gone", err)
		s.refusedConns = 0
		return false
	}
	s.final.Store(true)
	s.end("the worker has ended")
	return true
}

const (
	// closedAfter is how long a worker that closed its connections must be unresponsive before
	// it is reported. A connection that was merely reset is replaced immediately.
	closedAfter = 2 * callPause
	// unansweredAfter is the same for a worker that does not answer calls. It is longer than a
	// call whose answer was lost: the wait of the call and its time-out.
	unansweredAfter = 1500 * time.Millisecond
	// unresponsiveInterval is the interval between these reports.
	unresponsiveInterval = 500 * time.Millisecond
)

// reportUnresponsive reports an unresponsive worker to the control, so that nothing new is
// placed on it for now, and fences earlier calls to it. It does not wait for the answer.
func (s *session) reportUnresponsive() {
	outage, unresponsive := s.r.liveness.outage(s.worker)
	now := time.Now()
	if !unresponsive {
		return
	}
	closed := !outage.closed.IsZero() && now.Sub(outage.closed) >= closedAfter
	if !closed && now.Sub(outage.answered) < unansweredAfter {
		return
	}
	s.switchToReserveToken()
	if now.Sub(s.outageReportedAt) < unresponsiveInterval {
		return
	}
	s.outageReportedAt = now
	go func() {
		ref := s.ref()
		if err := s.r.ctl.Call(control.PathSilent, unresponsiveInterval, &ref, nil); err != nil {
			refusal.Count(part, codeOf(err))
		}
	}()
}
