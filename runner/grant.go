package runner

import (
	"time"

	"github.com/waxwinghaven/waxwinghaven/clock"
	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// renew requests a lease. clockMS is the worker's clock as it was read before the request, so
// a delay or suspension in between only makes the lease shorter.
func (s *session) renew(clockMS int64) {
	req := control.LeaseRequest{WorkerRef: s.ref(), WallMS: time.Now().UnixMilli()}
	req.Readings, req.Stalled = s.pacer.report(time.Now(), s.fillingImages)
	req.Stuck = s.progress.stuck(time.Now())
	req.Degraded = s.pacer.isDegraded()
	req.PairsSeen = s.pairsRevision.Load()
	req.OrdersIndex, req.Unstarted = s.unstarted()
	req.ReportsStarts = true
	req.NotAtWork = s.idleRuns()
	if s.sendKnown.Load() {
		req.KnownPairs = s.pacer.known()
	}
	asked := clock.Now()
	var a control.LeaseAnswer
	if err := s.r.ctl.Call(control.PathLease, controlTimeout, &req, &a); err != nil {
		s.handleControlError("lease", err)
		return
	}
	s.r.ctl.SetReplicas(a.Replicas)
	s.r.ctl.Prefer(a.Orders)
	s.pacer.learn(a.Costs)
	newLeader := s.leader.Swap(a.Leader) != a.Leader
	s.sendKnown.Store(newLeader)
	if newLeader {
		a.Pairs = 0 // revisions are counted by each leader separately
	}
	s.pairsRevision.Store(a.Pairs)
	if a.NowMS > 0 {
		s.leaderStartMS.Store(a.NowMS - time.Since(s.began).Milliseconds())
	}
	s.setCordonStatus(a.Cordoned, asked)
	s.mu.Lock()
	s.leaseEnd = max(s.leaseEnd, clockMS+a.TermMS)
	close(s.lease)
	s.lease = make(chan struct{})
	s.mu.Unlock()
}

// unstarted returns the log index up to which orders have been received, and the runs among them that
// are not known to have started. The index is 0 as long as the worker may not have listed all runs
// that ended before the session began.
func (s *session) unstarted() (index uint64, list []jobs.Stop) {
	if !s.hasListedAll() {
		return 0, nil
	}
	index = s.ordersIndex.Load() // before the runs are listed
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.rejected {
		list = append(list, jobs.Stop{Task: key.task, Run: key.run})
	}
	for key, r := range s.runs {
		r.mu.Lock()
		if r.ordered && !r.started && !r.ended {
			list = append(list, jobs.Stop{Task: key.task, Run: key.run})
		}
		r.mu.Unlock()
	}
	return index, list
}

// recordAtWork records which standing runs of a list are not at work.
func (s *session) recordAtWork(running []RunningRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notAtWork = nil
	for _, x := range running {
		if r := s.runs[runKey{x.Task, x.Run}]; r != nil && x.Percent < fullPace && r.current().Standing {
			s.notAtWork = append(s.notAtWork, jobs.Stop{Task: x.Task, Run: x.Run})
		}
	}
}

func (s *session) idleRuns() []jobs.Stop {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.notAtWork
}
