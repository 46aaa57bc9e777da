package runner

import (
	"errors"
	"time"

	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// leftAfter is the calls in a row whose connections a worker's address refused, after
// which a worker that said that it ends is gone: half a second.
const leftAfter = 10

// hasLeft tells the control that a worker is gone which said that it ends and at whose
// address nobody takes connections any more. What ran there ended with it; waiting for the
// lease to end would keep its tasks away for seconds more. A worker that said nothing is
// not believed to be gone that easily, nor one whose connections come to nothing or are
// reset: it may be too busy, or behind a bad link, and run on.
func (s *session) hasLeft(err error) bool {
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	if !leaving || !errors.Is(err, ErrRefused) {
		return false
	}
	if s.unreached++; s.unreached < leftAfter {
		return false
	}
	ref := s.ref()
	if err := s.r.ctl.Call(control.PathWorkerGone, controlTimeout, &ref, nil); err != nil {
		s.controlRefused("gone", err)
		s.unreached = 0
		return false
	}
	s.gone.Store(true)
	s.end("the worker has left")
	return true
}

const (
	// closedAfter is for how long a worker that closed its connections has to answer nothing
	// to be told as silent: a connection that was merely reset is replaced at once.
	closedAfter = 2 * callPause
	// unansweredAfter is the same for one whose calls go unanswered, longer than one call
	// takes whose answer was lost: the worker's wait, and the bound of the call.
	unansweredAfter = 1500 * time.Millisecond
	// silentEvery is the interval of that word.
	silentEvery = 500 * time.Millisecond
)

// tellSilence tells the control that the worker answers nothing, so that nothing new is
// placed on it for now, and fences what was sent to it. It doesn't wait for the answer.
func (s *session) tellSilence() {
	silence, silent := s.r.contact.silence(s.worker)
	now := time.Now()
	if !silent {
		return
	}
	closed := !silence.closed.IsZero() && now.Sub(silence.closed) >= closedAfter
	if !closed && now.Sub(silence.answered) < unansweredAfter {
		return
	}
	s.stepUp()
	if now.Sub(s.toldSilent) < silentEvery {
		return
	}
	s.toldSilent = now
	go func() {
		ref := s.ref()
		if err := s.r.ctl.Call(control.PathSilent, silentEvery, &ref, nil); err != nil {
			refusal.Count(part, codeOf(err))
		}
	}()
}
