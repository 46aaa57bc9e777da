package runner

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// handleRejection handles a verdict that the worker does not start the run. After an
// unanswered start the verdict concerns only the repetition: the first start may yet take
// effect, so the run is stopped before it is reported as never started.
func (r *run) handleRejection(v Verdict) {
	r.mu.Lock()
	uncertain := r.uncertain
	r.stop = true
	r.mu.Unlock()
	if !uncertain {
		r.reportNeverStarted(v.String())
		r.setEnded()
	}
}

// sendStop stops the run, and reports whether nothing is left to do. Once the stop is answered
// the run can't start any more; whether it had started shows in the worker's next lists.
func (r *run) sendStop() bool {
	s := r.s
	to := s.target()
	reply, err := s.r.worker.Stop(StopCall{Target: to, Task: r.key.task, Run: r.key.run})
	if err != nil {
		uncertainTotal.Inc()
		r.backOff()
		return false
	}
	r.pause = 0
	countVerdict("stop", reply.Verdict)
	if reply.Verdict != VerdictDone {
		if s.handleRefusal(reply.Verdict, to) {
			return true
		}
		s.sleep(callPause)
		return false
	}
	logrus.WithFields(logrus.Fields{"task": r.key.task.String(), "run": r.key.run}).Info("runner: Stopped a run.")
	if r.hasStarted() {
		return true // the worker will list its end
	}
	r.resolveUncertainStart()
	return true
}

// resolveUncertainStart determines, after an answered stop, whether an unanswered start had
// taken effect.
func (r *run) resolveUncertainStart() {
	s := r.s
	for s.ctx.Err() == nil {
		to := s.target()
		reply, err := s.r.worker.Hold(HoldCall{Target: to})
		if err != nil || reply.Verdict != VerdictDone {
			if err == nil && s.handleRefusal(reply.Verdict, to) {
				return
			}
			s.sleep(callPause)
			continue
		}
		if r.listed(reply) {
			return
		}
		if reply.Truncated {
			r.backOff()
			continue
		}
		r.reportNeverStarted("stopped after an unanswered start")
		return
	}
}

// listsRun reports whether a worker's list contains a run, running or ended.
func listsRun(reply HoldReply, key runKey) bool {
	for _, x := range reply.Running {
		if x.Task == key.task && x.Run == key.run {
			return true
		}
	}
	for _, x := range reply.Finished {
		if x.Task == key.task && x.Run == key.run {
			return true
		}
	}
	return false
}

// listed reports whether a list, or an earlier one, contains the run.
func (r *run) listed(reply HoldReply) bool { return listsRun(reply, r.key) || r.hasEnded() }

// awaitListedAll waits until the worker has listed the ends of all runs that earlier sessions
// started, and reports whether this run is not among them. It returns false if the session ends.
func (r *run) awaitListedAll() bool {
	for {
		if r.hasEnded() {
			return false
		}
		select {
		case <-r.s.listedAll:
			return !r.hasEnded()
		case <-r.wake:
		case <-r.s.ctx.Done():
			return false
		}
	}
}

// reportNeverStarted reports to the control that the run certainly never started. An earlier session
// may have started it, and its end may not be listed yet: then there is nothing to report.
func (r *run) reportNeverStarted(reason string) {
	s := r.s
	if !r.awaitListedAll() {
		return
	}
	s.mu.Lock()
	delete(s.runs, r.key)
	s.rejected[r.key] = true
	s.markEnded(r.key)
	s.mu.Unlock()
	logrus.WithFields(logrus.Fields{"task": r.key.task.String(), "run": r.key.run, "reason": reason}).Info("runner: A run never started.")
	s.send(endReport{end: jobs.End{Task: r.key.task, Run: r.key.run, Outcome: jobs.OutcomeRejected}, at: time.Now()})
}
