package runner

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// report is an end on its way to the control. number is 0 for a run that never
// started, which the worker does not list.
type report struct {
	end    jobs.End
	number uint64
	at     time.Time
}

// list takes in the ends that a reply lists.
func (s *session) list(reply HoldReply) {
	for _, f := range reply.Finished {
		key := runKey{f.Task, f.Run}
		if f.Number <= s.seen {
			s.noteSeen(key, f.Number)
			continue
		}
		s.seen = f.Number
		s.mu.Lock()
		s.markEnded(key)
		r := s.runs[key]
		delete(s.runs, key)
		s.mu.Unlock()
		end := jobs.End{Task: f.Task, Run: f.Run, Outcome: f.Outcome, Checkpoint: f.Checkpoint}
		if r != nil {
			end.WorkMS = r.workMS()
			stray := r.isStray()
			r.setEnded()
			if stray {
				s.wakeRuns() // they waited for its end
			}
		}
		logrus.WithFields(logrus.Fields{"task": f.Task.String(), "run": f.Run, "how": f.How, "n": f.Number}).Info("runner: A run ended.")
		s.send(report{end: end, number: f.Number, at: time.Now()})
	}
}

// noteSeen looks at an end whose number was seen before. The worker lists each until it is
// acknowledged; one of another run means that the numbers are not those of one start of
// the worker, and that this end is lost.
func (s *session) noteSeen(key runKey, number uint64) {
	s.mu.Lock()
	known := s.ended[key]
	s.mu.Unlock()
	if known {
		return
	}
	endsMistaken.Inc()
	logrus.WithFields(logrus.Fields{"worker": s.worker, "task": key.task.String(), "run": key.run, "n": number, "seen": s.seen}).
		Error("runner: An end was left out, its number had been seen with another run.")
}

// maxEnded bounds the memory of ends. It only has to outlast an answer with
// orders that is under way while the end is committed.
const maxEnded = 4096

// markEnded remembers an end; the caller holds the lock.
func (s *session) markEnded(key runKey) {
	s.ended[key] = true
	s.order = append(s.order, key)
	if len(s.order) > maxEnded {
		delete(s.ended, s.order[0])
		s.order = s.order[1:]
	}
}

func (s *session) send(r report) {
	select {
	case s.ends <- r:
	case <-s.ctx.Done():
	}
}

// awaitAck waits a moment for the commit of what was just reported.
func (s *session) awaitAck() {
	select {
	case <-s.acked:
	case <-time.After(ackWait):
	case <-s.ctx.Done():
	}
}

// reportLoop commits ends, several at a time.
func (s *session) reportLoop() {
	for {
		var batch []report
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

// maxEnds bounds the ends in one message.
const maxEnds = 256

// commit commits ends as a worker's, and lets the next call to this one acknowledge them.
func (s *session) commit(worker string, batch []report) (a control.EndsAnswer, ok bool) {
	req := control.RunEnds{Worker: worker}
	highest := uint64(0)
	for _, b := range batch {
		req.Ends = append(req.Ends, b.end)
		highest = max(highest, b.number)
	}
	for s.ctx.Err() == nil {
		err := s.r.ctl.Call(control.PathEnds, controlTimeout, &req, &a)
		if err != nil {
			s.controlRefused("ends", err)
			s.sleep(callPause)
			continue
		}
		for _, b := range batch {
			endSeconds.UpdateDuration(b.at)
		}
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
