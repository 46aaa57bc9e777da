package runner

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// A worker that bears the id of the start before it carries out what was sent to that one, until
// it has seen a higher fencing token. So whenever it is in doubt who stands at the worker's
// address, the agent asks, several times at once: the call that fences may itself go unanswered.

const (
	// guardEvery separates these calls. A late call has that long to come before them.
	guardEvery = 25 * time.Millisecond
	// guardCalls is how many are under way where none is answered.
	guardCalls = int(CallTimeout / guardEvery)
	// guardFor is for how long an address is asked where nobody answers, far longer than a call
	// is held up.
	guardFor = 15 * time.Second
	// listSlack is how long after its time a list counts as unanswered, and the pause between
	// two looks at whether anything is in doubt.
	listSlack = 50 * time.Millisecond
)

// guard fences the incarnation that follows the session's. It outlives the session, which may wait
// for the control for seconds, and ends once the next incarnation is fenced, by it or by the next
// session.
func (s *session) guard(ctx context.Context) {
	defer s.relieved.Store(true)
	if s.announced().OwnID {
		return
	}
	calls := make(chan struct{}, guardCalls)
	s.heardAt.Store(s.age())
	pause := listSlack
	for !s.relieved.Load() {
		select {
		case <-ctx.Done():
		case <-s.doubt:
			go s.askWho()
			continue
		case <-time.After(pause):
		}
		if ctx.Err() != nil {
			return // what is left is the next life's
		}
		if pause = guardEvery; !s.inDoubt() {
			pause = listSlack
			s.heardAt.Store(s.age())
			continue
		}
		if s.age()-s.heardAt.Load() > int64(guardFor) {
			return
		}
		select {
		case calls <- struct{}{}:
			go func() {
				defer func() { <-calls }()
				s.askWho()
			}()
		default:
		}
	}
}

// inDoubt reports whether another incarnation may stand at the worker's address. A worker that
// leaves may be followed at any moment.
func (s *session) inDoubt() bool {
	if s.ctx.Err() != nil || !s.fenced.Load() || s.draining() {
		return true
	}
	if due := s.listDue.Load(); due != 0 && s.age() > due {
		return true
	}
	_, silent := s.r.contact.silence(s.worker)
	return silent
}

// age is for how long the session has gone on, in ns by the steady clock: the time of day jumps.
func (s *session) age() int64 { return int64(time.Since(s.began)) }

// askWho asks whoever stands at the worker's address for a list, which fences what was sent with
// lower tokens.
func (s *session) askWho() {
	if s.ctx.Err() != nil {
		s.stepUp()
	}
	to := s.target()
	if to.Token == 0 {
		return // the session hasn't begun
	}
	known := s.nextKnown.Load()
	reply, err := s.r.worker.Hold(HoldCall{Target: to})
	if err == nil {
		s.heardAt.Store(s.age())
	}
	switch {
	case errors.Is(err, ErrClosed):
		s.stepUp()
	case err != nil:
	case reply.Verdict == VerdictElsewhere:
		s.sawNext(to, known)
	case reply.Verdict == VerdictFenced && s.fenced.Load() && to.Token == s.token.Load():
		s.relieved.Store(true) // a later session has a higher token
	}
}

// sawNext takes in that another incarnation answered a call. It is fenced by a call whose token is
// higher than those of all starts, and which was made when it was known to be there: one that was
// under way to the incarnation before may have been answered without a look at its token.
func (s *session) sawNext(to Target, known bool) {
	if known && to.Token > s.r.started.Load() {
		if !s.relieved.Swap(true) {
			logrus.WithFields(logrus.Fields{"worker": s.worker, "life": s.life, "token": to.Token}).Info("runner: The incarnation after this one is fenced.")
		}
		return
	}
	s.nextKnown.Store(true)
	if s.ctx.Err() == nil {
		s.gone.Store(true)
		s.end("another incarnation stands at the worker's address")
	}
}

// askAtOnce has the guard ask without a pause.
func (s *session) askAtOnce() {
	select {
	case s.doubt <- struct{}{}:
	default:
	}
}

// relieve ends the guards of earlier sessions: this one's incarnation has seen its token.
func (r *Runner) relieve(s *session) {
	s.fenced.Store(true)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range r.guards {
		if g != s {
			g.relieved.Store(true)
		}
	}
	r.guards = []*session{s}
}

// setGuard begins the guard of a session.
func (r *Runner) setGuard(ctx context.Context, s *session) {
	r.mu.Lock()
	r.guards = append(slices.DeleteFunc(r.guards, func(g *session) bool { return g.relieved.Load() }), s)
	r.mu.Unlock()
	go s.guard(ctx)
}

// noteStarted keeps the highest token that a start was sent with.
func (r *Runner) noteStarted(token uint64) {
	for seen := r.started.Load(); seen < token && !r.started.CompareAndSwap(seen, token); seen = r.started.Load() {
	}
}
