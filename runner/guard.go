package runner

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// A worker that has the same id as its previous start carries out the calls sent to that one
// until it has seen a higher fencing token. Whenever the incarnation at the worker's address
// is in doubt, the agent therefore probes it with several calls at a time, since the fencing
// call may itself go unanswered.

const (
	// guardInterval is the time between probes, and thus the time that a late call has to
	// arrive before one of them.
	guardInterval = 25 * time.Millisecond
	// maxGuardCalls is the number of probes in flight when none is answered.
	maxGuardCalls = int(CallTimeout / guardInterval)
	// guardTimeout is how long an unresponsive address is probed, and any address after the
	// session's end: far longer than a call is delayed.
	guardTimeout = 15 * time.Second
	// listSlack is how long after its deadline a list counts as unanswered, and the interval
	// at which guard checks whether a probe is needed.
	listSlack = 50 * time.Millisecond
)

// guard fences the incarnations that follow the session's. It outlives the session, since
// ending a session may wait for the control for seconds, and returns once a later session has
// fenced its incarnation, or no call of the session can arrive any more. It goes on after it has
// fenced a successor: that one may be replaced as well before its first heartbeat begins the next
// session.
func (s *session) guard(ctx context.Context) {
	defer s.guardDone.Store(true)
	if s.announced().UniqueID {
		return
	}
	calls := make(chan struct{}, maxGuardCalls)
	s.identityKnownAt.Store(s.age())
	pause, endedAt := listSlack, int64(0)
	for !s.guardDone.Load() {
		select {
		case <-ctx.Done():
		case <-s.probeRequests:
			go s.probe()
			continue
		case <-time.After(pause):
		}
		if ctx.Err() != nil {
			return // the agent's next process takes over
		}
		if pause = guardInterval; !s.mayBeReplaced() {
			pause = listSlack
			s.identityKnownAt.Store(s.age())
			continue
		}
		if endedAt == 0 && s.ctx.Err() != nil {
			endedAt = s.age()
		}
		if age := s.age(); age-s.identityKnownAt.Load() > int64(guardTimeout) || (endedAt != 0 && age-endedAt > int64(guardTimeout)) {
			return
		}
		select {
		case calls <- struct{}{}:
			go func() {
				defer func() { <-calls }()
				s.probe()
			}()
		default:
		}
	}
}

// mayBeReplaced reports whether another incarnation may be at the worker's address. A draining
// worker may be replaced at any moment.
func (s *session) mayBeReplaced() bool {
	if s.ctx.Err() != nil || !s.fenced.Load() || s.draining() {
		return true
	}
	if due := s.listDeadline.Load(); due != 0 && s.age() > due {
		return true
	}
	_, unresponsive := s.r.liveness.outage(s.worker)
	return unresponsive
}

// age returns how long the session has lasted, in ns by the monotonic clock: the wall clock
// jumps.
func (s *session) age() int64 { return int64(time.Since(s.began)) }

// probe requests a list from the incarnation at the worker's address, which thereby refuses
// calls with lower tokens.
func (s *session) probe() {
	if s.ctx.Err() != nil {
		s.switchToReserveToken()
	}
	to := s.target()
	if to.Token == 0 {
		return // the session has not begun
	}
	known := s.successorKnown.Load()
	reply, err := s.r.worker.Hold(HoldCall{Target: to})
	if err == nil {
		s.identityKnownAt.Store(s.age())
	}
	switch {
	case errors.Is(err, ErrClosed):
		s.switchToReserveToken()
	case err != nil:
	case reply.Verdict == VerdictOtherIncarnation:
		s.successorAnswered(to, known)
	case reply.Verdict == VerdictFenced && s.fenced.Load() && to.Token == s.token.Load():
		s.guardDone.Store(true) // a later session has a higher token
	}
}

// successorAnswered handles an answer from another incarnation. known says that the call was
// made when the successor was known to be there. Only such a call fences it, and only with a
// token higher than that of every start: a call in flight to the previous incarnation may have
// been answered without regard to its token.
func (s *session) successorAnswered(to Target, known bool) {
	if known && to.Token > s.r.maxStartToken.Load() {
		if !s.successorFenced.Swap(true) {
			logrus.WithFields(logrus.Fields{"worker": s.worker, "life": s.id, "token": to.Token}).Info("runner: The successor of this incarnation is fenced.")
		}
		return
	}
	s.successorKnown.Store(true)
	if s.ctx.Err() == nil {
		s.final.Store(true)
		s.end("another incarnation is at the worker's address")
	}
}

// probeNow makes the guard probe without waiting for the next interval.
func (s *session) probeNow() {
	select {
	case s.probeRequests <- struct{}{}:
	default:
	}
}

// stopEarlierGuards ends the guards of earlier sessions, once this session's incarnation has
// seen its token.
func (r *Runner) stopEarlierGuards(s *session) {
	s.fenced.Store(true)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range r.guards {
		if g != s {
			g.guardDone.Store(true)
		}
	}
	r.guards = []*session{s}
}

// startGuard starts the guard of a session.
func (r *Runner) startGuard(ctx context.Context, s *session) {
	r.mu.Lock()
	r.guards = append(slices.DeleteFunc(r.guards, func(g *session) bool { return g.guardDone.Load() }), s)
	r.mu.Unlock()
	go s.guard(ctx)
}

// recordStartToken records the highest token that a start was sent with.
func (r *Runner) recordStartToken(token uint64) {
	for seen := r.maxStartToken.Load(); seen < token && !r.maxStartToken.CompareAndSwap(seen, token); seen = r.maxStartToken.Load() {
	}
}
