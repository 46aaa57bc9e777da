package runner

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// fence makes the incarnation refuse the calls of earlier sessions, and learns what they
// left there. It comes before the registration, on which the control lets what ran on the
// incarnation before run elsewhere: an order for that one may be carried out late by this
// one, until it has seen a higher token. And one that was lost for good is never registered
// again: it would be given tasks that wait there for a whole term each time.
func (s *session) fence() bool {
	if !s.takeToken() {
		return false
	}
	fresh := false // the token was made for this session
	for s.ctx.Err() == nil {
		to := s.target()
		reply, err := s.r.worker.Hold(HoldCall{Target: to})
		switch {
		case err != nil:
			s.sleep(callPause)
		case reply.Verdict == VerdictDone:
			s.reached, s.stock, s.stocked = true, reply, time.Now()
			s.r.relieve(s)
			return s.before == s.worker || s.clear()
		case reply.Verdict == VerdictFenced && !fresh:
			fresh = true
			if !s.askToken() {
				return false
			}
		case s.refused(reply.Verdict, to):
			return false
		default:
			s.sleep(callPause)
		}
	}
	return false
}

// takeToken takes the token that is kept in reserve, or a new one. With a new one the control
// tells whom it has registered, which after a session that it had lost isn't the worker that
// this agent registered last.
func (s *session) takeToken() bool {
	if token := s.r.tokens.next(); token != 0 && !s.r.disowned {
		s.setToken(token)
		s.before, s.last = s.r.registered, s.r.registered
		return true
	}
	return s.askToken()
}

func (s *session) setToken(token uint64) {
	s.token.Store(token)
	s.r.tokens.use(token)
}

// stepUp goes on with the token in reserve when the worker has closed its connections or has
// been silent for long: whoever answers next refuses what was sent before. If that is another
// incarnation it is fenced at its first answer, long before its first heartbeat is heard and
// the next session begins.
func (s *session) stepUp() {
	token := s.r.tokens.next()
	if token <= s.token.Load() {
		return
	}
	s.steppedUp.Store(true)
	s.setToken(token)
	select {
	case s.spent <- struct{}{}:
	default:
	}
}

// fenceEarly makes an incarnation refuse the calls for the one before while that one's session
// still ends, which waits for its calls to the control. The next session has the same token.
func (r *Runner) fenceEarly(worker string) {
	token := r.tokens.next()
	if token == 0 {
		return
	}
	if _, err := r.worker.Hold(HoldCall{Target: Target{worker, token}}); err != nil {
		uncertainTotal.Inc()
	}
}

// askToken asks the control for a token that is higher than all before.
func (s *session) askToken() bool {
	for s.ctx.Err() == nil {
		a, err := s.r.newToken(s.announced())
		if err == nil {
			s.setToken(a.Token)
			s.before, s.last = a.Worker, a.Last
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

// canFence reports whether the worker's next start, if a call that is sent with a token may reach
// it, can be made to refuse that call: a higher token is in reserve. Without one the next start
// could be fenced by nobody while the control is away.
func (s *session) canFence(token uint64) bool {
	return s.announced().OwnID || s.r.tokens.next() > token
}

// keepToken keeps a token in reserve.
func (s *session) keepToken() {
	for s.ctx.Err() == nil {
		pause := leaseEvery
		if waited := !s.canFence(s.token.Load()); waited || s.r.tokens.next() == 0 {
			a, err := s.r.newToken(s.announced())
			if err == nil {
				s.r.tokens.keep(a.Token)
				s.wakeRuns()
			} else {
				refusal.CountRetry(part, codeOf(err))
				if waited { // by starts
					pause = callPause
				}
			}
		}
		select {
		case <-s.ctx.Done():
		case <-s.spent:
		case <-time.After(pause):
		}
	}
}

// clear ends what orders for the incarnation before have begun on this one, and commits its
// ends as that one's: a task that is done here must not be started again.
func (s *session) clear() bool {
	for len(s.stock.Running) > 0 {
		for _, x := range s.stock.Running {
			logrus.WithFields(logrus.Fields{"worker": s.worker, "task": x.Task.String(), "run": x.Run}).
				Warn("runner: An order for the incarnation before was carried out late; the run is stopped.")
			if _, err := s.r.worker.Stop(StopCall{Target: s.target(), Task: x.Task, Run: x.Run}); err != nil {
				uncertainTotal.Inc()
			}
		}
		s.sleep(callPause)
		to := s.target()
		reply, err := s.r.worker.Hold(HoldCall{Target: to})
		switch {
		case s.ctx.Err() != nil:
			return false
		case err == nil && reply.Verdict == VerdictDone:
			s.stock = reply
		case err == nil && s.refused(reply.Verdict, to):
			return false
		}
	}
	return s.commitLateEnds()
}

// commitLateEnds commits the ends in stock as the incarnation's before, also if the control has
// lost that one meanwhile: a task that waits must not be placed on the registration.
func (s *session) commitLateEnds() bool {
	if len(s.stock.Finished) == 0 {
		return true
	}
	var batch []report
	for _, f := range s.stock.Finished {
		logrus.WithFields(logrus.Fields{"worker": s.worker, "before": s.before, "task": f.Task.String(), "run": f.Run, "how": f.How}).
			Warn("runner: A run of the incarnation before has ended on this one.")
		end := jobs.End{Task: f.Task, Run: f.Run, Outcome: f.Outcome, Checkpoint: f.Checkpoint}
		batch = append(batch, report{end: end, number: f.Number, at: time.Now()})
		s.seen = max(s.seen, f.Number)
		s.mu.Lock()
		s.markEnded(runKey{f.Task, f.Run}) // it is listed again until it is acknowledged
		s.mu.Unlock()
	}
	s.stock.Finished = nil
	a, ok := s.commit(s.before, batch)
	if ok && a.OvertakenMS > 0 && s.last != s.worker && !s.announced().OwnID {
		ok = s.awaitLapse(time.Duration(a.OvertakenMS) * time.Millisecond)
	}
	return ok
}

// awaitLapse waits until the worker's lease has lapsed, which nobody extends before it is
// registered. It runs nothing. Ends that were late starts' and whose tasks are started again may be
// acknowledged only then.
func (s *session) awaitLapse(term time.Duration) bool {
	logrus.WithFields(logrus.Fields{"worker": s.worker, "before": s.before, "term_ms": term.Milliseconds()}).
		Warn("runner: Tasks that ended late here have been started again; the worker's lease is let lapse first.")
	for end := time.Now().Add(term); time.Now().Before(end); s.sleep(holdWait) {
		to := s.target()
		reply, err := s.r.worker.Hold(HoldCall{Target: to})
		if s.ctx.Err() != nil || (err == nil && s.refused(reply.Verdict, to)) {
			return false
		}
	}
	return true
}

// takeStock takes in what the incarnation ran when it was fenced. No start of an earlier
// session can take effect any more, so what it doesn't list was certainly never started.
func (s *session) takeStock() {
	if len(s.stock.Running)+len(s.stock.Finished) > 0 {
		logrus.WithFields(logrus.Fields{"worker": s.worker, "life": s.life, "before": s.before, "running": len(s.stock.Running), "finished": len(s.stock.Finished),
			"registered": s.registered.Load(), "since_list_ms": time.Since(s.stocked).Milliseconds()}).Info("runner: Took over what the worker runs.")
	}
	for _, x := range s.stock.Running {
		s.ensure(jobs.Order{Task: x.Task, Run: x.Run}).setStarted()
	}
	s.renew(s.stock.ClockMS)
	s.list(s.stock)
	s.stock = HoldReply{}
}
