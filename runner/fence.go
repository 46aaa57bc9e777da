package runner

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// fence makes the incarnation refuse the calls of earlier sessions, and reads what they left
// running. It precedes the registration, since a registration lets the control start the
// previous incarnation's tasks elsewhere: until this incarnation has seen a higher token, it
// may carry out a late order that was meant for the previous one. Since it needs the
// worker's answer, it also keeps a worker that is lost for good from being registered again and
// again: tasks placed on it would wait for a whole lease term each time.
func (s *session) fence() bool {
	if !s.takeToken() {
		return false
	}
	fresh := false // the token was requested for this session
	for s.ctx.Err() == nil {
		to := s.target()
		reply, err := s.r.worker.Hold(HoldCall{Target: to})
		switch {
		case err != nil:
			s.sleep(callPause)
		case reply.Verdict == VerdictDone:
			s.reached, s.initial, s.initialAt = true, reply, time.Now()
			s.r.stopEarlierGuards(s)
			return s.previous == s.worker || s.resolveLateRuns()
		case reply.Verdict == VerdictFenced && !fresh:
			fresh = true
			if !s.requestToken() {
				return false
			}
		case s.handleRefusal(reply.Verdict, to):
			return false
		default:
			s.sleep(callPause)
		}
	}
	return false
}

// takeToken takes the reserve token, or a new one. The control returns a new token together
// with the worker that it has registered. After the control has lost a session, this differs
// from the worker that the agent registered last.
func (s *session) takeToken() bool {
	if token := s.r.tokens.reserved(); token != 0 && !s.r.deregistered {
		s.setToken(token)
		s.previous, s.lastRegistered = s.r.registered, s.r.registered
		return true
	}
	return s.requestToken()
}

func (s *session) setToken(token uint64) {
	s.token.Store(token)
	s.r.tokens.setCurrent(token)
}

// switchToReserveToken makes the session use the reserve token after the worker has closed its
// connections or has not answered for long, so that the process that answers next refuses
// earlier calls. A successor is thereby fenced with its first answer, long before its first
// heartbeat arrives and the next session begins.
func (s *session) switchToReserveToken() {
	token := s.r.tokens.reserved()
	if token <= s.token.Load() {
		return
	}
	s.onReserveToken.Store(true)
	s.setToken(token)
	select {
	case s.reserveUsed <- struct{}{}:
	default:
	}
}

// fenceEarly makes a new incarnation refuse the calls for the previous one while the previous
// session, which waits for its calls to the control, is still ending. The next session uses
// the same token.
func (r *Runner) fenceEarly(worker string) {
	token := r.tokens.reserved()
	if token == 0 {
		return
	}
	if _, err := r.worker.Hold(HoldCall{Target: Target{worker, token}}); err != nil {
		uncertainTotal.Inc()
	}
}

// requestToken requests a token from the control that is higher than all earlier ones. It
// returns false if the session ends or the service is unknown.
func (s *session) requestToken() bool {
	for s.ctx.Err() == nil {
		a, err := s.r.newToken(s.announced())
		if err == nil {
			s.setToken(a.Token)
			s.previous, s.lastRegistered = a.Worker, a.LastWorker
			return true
		}
		if s.unknownService(err) {
			return false
		}
		refusal.CountRetry(part, codeOf(err))
		s.sleep(callPause)
	}
	return false
}

func (r *Runner) newToken(a Announcement) (answer control.FenceAnswer, err error) {
	req := control.FenceRequest{Agent: r.agent, Worker: a.Worker, Service: a.Service}
	err = r.ctl.Call(control.PathFence, controlTimeout, &req, &answer)
	return answer, err
}

// canFence reports whether a call with the given token, if it can reach the worker's successor
// at all, can be refused there: a higher token is in reserve. Without one, nothing could fence
// the successor while the control is unreachable.
func (s *session) canFence(token uint64) bool {
	return s.announced().UniqueID || s.r.tokens.reserved() > token
}

// maintainReserve keeps a token in reserve.
func (s *session) maintainReserve() {
	for s.ctx.Err() == nil {
		pause := renewInterval
		if waited := !s.canFence(s.token.Load()); waited || s.r.tokens.reserved() == 0 {
			a, err := s.r.newToken(s.announced())
			if err == nil {
				s.r.tokens.setReserve(a.Token)
				s.wakeRuns()
			} else {
				refusal.CountRetry(part, codeOf(err))
				if waited { // starts wait for the token
					pause = callPause
				}
			}
		}
		select {
		case <-s.ctx.Done():
		case <-s.reserveUsed:
		case <-time.After(pause):
		}
	}
}

// resolveLateRuns stops the runs that orders for the previous incarnation have started on this
// one, and commits their ends as the previous incarnation's: a task that has completed here
// must not be started again.
func (s *session) resolveLateRuns() bool {
	for {
		if !s.stopLateRuns() || !s.commitLateEnds() {
			return false
		}
		if !s.initial.Truncated {
			return true
		}
		if !s.listAgain(s.cursor.Load()) {
			return false
		}
	}
}

// stopLateRuns stops all runs in initial, and updates it until none is left.
func (s *session) stopLateRuns() bool {
	for len(s.initial.Running) > 0 {
		for _, x := range s.initial.Running {
			logrus.WithFields(logrus.Fields{"worker": s.worker, "task": x.Task.String(), "run": x.Run}).
				Warn("runner: An order for the previous incarnation was carried out late; stopping the run.")
			if _, err := s.r.worker.Stop(StopCall{Target: s.target(), Task: x.Task, Run: x.Run}); err != nil {
				uncertainTotal.Inc()
			}
		}
		s.sleep(callPause)
		if !s.listAgain(0) {
			return false
		}
	}
	return true
}

// listAgain updates initial with a list that the worker returns after ends up to cursor have been
// acknowledged. It returns false if the session ends first.
func (s *session) listAgain(cursor uint64) bool {
	for s.ctx.Err() == nil {
		to := s.target()
		reply, err := s.r.worker.Hold(HoldCall{Target: to, Cursor: cursor})
		switch {
		case err == nil && reply.Verdict == VerdictDone:
			s.initial = reply
			return s.ctx.Err() == nil
		case err == nil && s.handleRefusal(reply.Verdict, to):
			return false
		}
		s.sleep(callPause)
	}
	return false
}

// commitLateEnds commits the ends in initial as the previous incarnation's, even if the
// control has lost that one meanwhile: the registration must not let the control place tasks
// again that have ended here.
func (s *session) commitLateEnds() bool {
	if len(s.initial.Finished) == 0 {
		return true
	}
	var batch []endReport
	for _, f := range s.initial.Finished {
		if f.Number <= s.highestEnd {
			continue // committed with an earlier list
		}
		logrus.WithFields(logrus.Fields{"worker": s.worker, "before": s.previous, "task": f.Task.String(), "run": f.Run, "how": f.How}).
			Warn("runner: A run ordered for the previous incarnation has ended on this one.")
		end := jobs.End{Task: f.Task, Run: f.Run, Outcome: f.Outcome, Checkpoint: f.Checkpoint}
		batch = append(batch, endReport{end: end, number: f.Number, at: time.Now()})
		s.highestEnd = max(s.highestEnd, f.Number)
		s.mu.Lock()
		s.markEnded(runKey{f.Task, f.Run}) // listed again until it is acknowledged
		s.mu.Unlock()
	}
	s.initial.Finished = nil
	if len(batch) == 0 {
		return true
	}
	a, ok := s.commit(s.previous, batch)
	if ok && a.MaxLeaseMS > 0 && s.lastRegistered != s.worker && !s.announced().UniqueID {
		ok = s.awaitLeaseExpiry(time.Duration(a.MaxLeaseMS) * time.Millisecond)
	}
	return ok
}

// awaitLeaseExpiry waits until the worker's lease, of length term, has expired. The worker is
// not registered yet, so nothing extends the lease, and nothing runs on it. Ends of late
// starts whose tasks have been started again elsewhere may be acknowledged only then.
func (s *session) awaitLeaseExpiry(term time.Duration) bool {
	logrus.WithFields(logrus.Fields{"worker": s.worker, "before": s.previous, "term_ms": term.Milliseconds()}).
		Warn("runner: Tasks whose late runs ended here have been started again; waiting for the worker's lease to expire.")
	for end := time.Now().Add(term); time.Now().Before(end); s.sleep(holdWait) {
		to := s.target()
		reply, err := s.r.worker.Hold(HoldCall{Target: to})
		if s.ctx.Err() != nil || (err == nil && s.handleRefusal(reply.Verdict, to)) {
			return false
		}
	}
	return true
}

// adoptRuns takes over what the incarnation was running when it was fenced. No start of an
// earlier session can take effect any more. A run that was never started is neither running nor
// among the ends, of which the first list may hold only a part.
func (s *session) adoptRuns() {
	if len(s.initial.Running)+len(s.initial.Finished) > 0 {
		logrus.WithFields(logrus.Fields{"worker": s.worker, "life": s.id, "before": s.previous, "running": len(s.initial.Running), "finished": len(s.initial.Finished),
			"registered": s.registered.Load(), "since_list_ms": time.Since(s.initialAt).Milliseconds()}).Info("runner: Took over the worker's runs.")
	}
	for _, x := range s.initial.Running {
		s.runFor(jobs.Order{Task: x.Task, Run: x.Run}).setStarted()
	}
	s.renew(s.initial.ClockMS)
	s.processEnds(s.initial)
	s.recordListed(s.initial)
	s.initial = HoldReply{}
}
