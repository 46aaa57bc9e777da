package runner

import (
	"fmt"
	"math"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// pace slows down filling runs that interfere with serving ones.
func (s *session) pace(running []RunningRun) {
	s.logReading(running)
	s.setPaces(s.pacer.next(time.Now(), running, s.lookup))
	s.logEvents(s.pacer.takeEvents())
}

// setPaces sends pace calls to the worker without waiting for the answers.
func (s *session) setPaces(calls []PaceCall) {
	for _, c := range calls {
		s.markSlowed(c)
		if s.paces.put(c) {
			go s.sendPaces(runKey{c.Task, c.Run})
		}
	}
}

// sendPaces sends the pace calls that are queued for a run until none is left.
func (s *session) sendPaces(key runKey) {
	for {
		c, ok := s.paces.next(key)
		if !ok {
			return
		}
		c.Target = s.target()
		reply, err := s.r.worker.Pace(c)
		l := logrus.WithFields(logrus.Fields{"task": c.Task.String(), "run": c.Run, "percent": c.Percent, "tail_of_target": round(s.pacer.worstTail())})
		if err != nil || reply.Verdict != VerdictDone {
			s.pacer.failed(c)
			if err == nil {
				s.handleRefusal(reply.Verdict, c.Target)
			}
			l.Warnf("runner: Could not set a run's pace: %v %v.", reply.Verdict, err)
			continue
		}
		l.Info("runner: Set a run's pace.")
	}
}

// logReading logs the worker's readings of its runs. It logs at the debug level only, since
// readings come several times a second.
func (s *session) logReading(running []RunningRun) {
	if !logrus.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	rows := make([]string, 0, len(running))
	for _, x := range running {
		if o, ok := s.lookup(x.Task, x.Run); ok {
			rows = append(rows, fmt.Sprintf("%s image=%s target=%d percent=%d figure=%.0f fills=%v need=%d", x.Task, o.Image, o.TargetMS, x.Percent, x.Measured, o.Fills, o.MilliCPU))
		}
	}
	logrus.WithField("runs", rows).Debug("runner: Read the worker's runs.")
}

// round rounds a logged figure to hundredths.
func round(x float64) float64 { return math.Round(x*100) / 100 }

// markSlowed excludes a slowed run from the statistics of how long similar runs take.
func (s *session) markSlowed(c PaceCall) {
	s.mu.Lock()
	r := s.runs[runKey{c.Task, c.Run}]
	s.mu.Unlock()
	if r != nil {
		r.setSlowed()
	}
}

// fillingImages returns the images of the filling runs, by run.
func (s *session) fillingImages() map[runKey]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[runKey]string)
	for key, r := range s.runs {
		if o := r.current(); o.Fills {
			out[key] = o.Image
		}
	}
	return out
}

// lookup returns the order behind a run that the worker lists.
func (s *session) lookup(task jobs.Ref, run uint32) (jobs.Order, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.runs[runKey{task, run}]
	if r == nil {
		return jobs.Order{}, false
	}
	return r.current(), true
}
