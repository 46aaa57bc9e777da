package runner

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// endReport is the end of a run that is to be reported to the control. number is 0 for a run
// that never started, which the worker does not list.
type endReport struct {
	end    jobs.End
	number uint64
	at     time.Time
}

// processEnds handles the ends that a reply lists.
func (s *session) processEnds(reply HoldReply) {
	for _, f := range reply.Finished {
		key := runKey{f.Task, f.Run}
		if f.Number <= s.highestEnd {
			s.checkRepeatedEnd(key, f.Number)
			continue
		}
		s.highestEnd = f.Number
		s.mu.Lock()
		s.markEnded(key)
		r := s.runs[key]
		delete(s.runs, key)
		s.mu.Unlock()
		end := jobs.End{Task: f.Task, Run: f.Run, Outcome: f.Outcome, Checkpoint: f.Checkpoint}
		if r != nil {
			if r.hasStarted() {
				s.setListedAll() // it ended after the session began, and ends are listed in their order
			}
			end.WorkMS = r.workMS()
			orphan := r.isOrphan()
			r.setEnded()
			if orphan {
				s.wakeRuns() // starts wait until no orphan is left
			}
		}
		logrus.WithFields(logrus.Fields{"task": f.Task.String(), "run": f.Run, "how": f.How, "n": f.Number}).Info("runner: A run ended.")
		s.send(endReport{end: end, number: f.Number, at: time.Now()})
	}
}

// recordListed records that a list was complete, once its ends have been processed.
func (s *session) recordListed(reply HoldReply) {
	if !reply.Truncated {
		s.setListedAll()
	}
}

// setListedAll records that the worker has listed all ends from before the session. Until then a
// run that was neither listed nor started by this session may have ended there.
func (s *session) setListedAll() {
	if !s.hasListedAll() {
		close(s.listedAll)
	}
}

func (s *session) hasListedAll() bool {
	select {
	case <-s.listedAll:
		return true
	default:
		return false
	}
}

// checkRepeatedEnd checks an end whose number was seen before. The worker lists each end until
// it is acknowledged. If the number belonged to another run, the list mixes numbers of
// different starts of the worker, and this end is lost.
func (s *session) checkRepeatedEnd(key runKey, number uint64) {
	s.mu.Lock()
	known := s.ended[key]
	s.mu.Unlock()
	if known {
		return
	}
	endNumberConflicts.Inc()
	logrus.WithFields(logrus.Fields{"worker": s.worker, "task": key.task.String(), "run": key.run, "n": number, "seen": s.highestEnd}).
		Error("runner: An end was skipped: its number belonged to another run.")
}

// maxEnded bounds the number of remembered ends. An end has to be remembered only until orders
// that were sent before its commit have arrived.
const maxEnded = 4096

// markEnded remembers an end. The caller holds the lock.
func (s *session) markEnded(key runKey) {
	s.ended[key] = true
	s.endedOrder = append(s.endedOrder, key)
	if len(s.endedOrder) > maxEnded {
		delete(s.ended, s.endedOrder[0])
		s.endedOrder = s.endedOrder[1:]
	}
}

func (s *session) send(r endReport) {
	select {
	case s.ends <- r:
	case <-s.ctx.Done():
	}
}

// awaitAck waits up to ackWait for the commit of the ends just reported.
func (s *session) awaitAck() {
	select {
	case <-s.acked:
	case <-time.After(ackWait):
	case <-s.ctx.Done():
	}
}

// reportLoop commits ends in batches.
func (s *session) reportLoop() {
	for {
		var batch []endReport
		select {
		case <-s.ctx.Done():
			return
		case first := <-s.ends:
			batch = append(batch, first)
		}
		for len(s.ends) > 0 && len(batch) < maxEnds {
			batch = append(batch, <-s.ends)
		}
		if _, ok := s.commit(s.worker, batch); !ok {
			return
		}
	}
}

// maxEnds bounds the number of ends in one message.
const maxEnds = 256

// commit commits ends as those of a worker, and lets the next call to the worker acknowledge
// them. It retries until it succeeds, and returns false if the session ends first.
func (s *session) commit(worker string, batch []endReport) (a control.EndsAnswer, ok bool) {
	req := control.RunEnds{Worker: worker, Session: s.id}
	highest := uint64(0)
	for _, b := range batch {
		req.Ends = append(req.Ends, b.end)
		highest = max(highest, b.number)
	}
	for s.ctx.Err() == nil {
		err := s.r.ctl.Call(control.PathEnds, controlTimeout, &req, &a)
		if err != nil {
			s.handleControlError("ends", err)
			s.sleep(callPause)
			continue
		}
		for _, b := range batch {
			endSeconds.UpdateDuration(b.at)
		}
		s.forgetRejected(batch)
		if highest > 0 {
			s.cursor.Store(max(s.cursor.Load(), highest))
			select {
			case s.acked <- struct{}{}:
			default:
			}
		}
		return a, true
	}
	return a, false
}

// forgetRejected forgets the runs that never started once that is committed.
func (s *session) forgetRejected(committed []endReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range committed {
		delete(s.rejected, runKey{b.end.Task, b.end.Run})
	}
}
