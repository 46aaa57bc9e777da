package runner

import (
	"time"

	"github.com/waxwinghaven/waxwinghaven/clock"
	"github.com/waxwinghaven/waxwinghaven/control"
)

// renew asks for the lease. The worker's clock was read before, so whatever is
// delayed or frozen in between only makes the lease shorter.
func (s *session) renew(clockMS int64) {
	req := control.LeaseRequest{WorkerRef: s.ref(), WallMS: time.Now().UnixMilli()}
	req.Readings, req.Stalled = s.pacer.report(time.Now(), s.fillingImages)
	req.Stuck = s.progress.stuck(time.Now())
	req.Ailing = s.pacer.ailing()
	req.PairsSeen = s.pairs.Load()
	if s.tellNext.Load() {
		req.Known = s.pacer.known()
	}
	asked := clock.Now()
	var a control.LeaseAnswer
	if err := s.r.ctl.Call(control.PathLease, controlTimeout, &req, &a); err != nil {
		s.controlRefused("lease", err)
		return
	}
	s.r.ctl.Learn(a.Replicas)
	s.r.ctl.Prefer(a.Orders)
	s.pacer.learn(a.Costs)
	fresh := s.leader.Swap(a.Leader) != a.Leader
	s.tellNext.Store(fresh)
	if fresh {
		a.Pairs = 0 // revisions are each leader's own
	}
	s.pairs.Store(a.Pairs)
	if a.NowMS > 0 {
		s.leaderMS.Store(a.NowMS - time.Since(s.began).Milliseconds())
	}
	s.heard(a.Cordoned, asked)
	s.mu.Lock()
	s.leaseEnd = max(s.leaseEnd, clockMS+a.TermMS)
	close(s.lease)
	s.lease = make(chan struct{})
	s.mu.Unlock()
}
