package control

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/interference"
	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/membership"
	"github.com/waxwinghaven/waxwinghaven/quorum"
	"github.com/waxwinghaven/waxwinghaven/refusal"
)

const watchInterval = 200 * time.Millisecond

// session is the leader's volatile state of one agent. A new leader has none and waits a full
// term before it declares an agent lost.
type session struct {
	usage  Usage
	slow   float64 // service latency relative to running alone, 0 if unknown
	late   int     // consecutive measurements above the preset's bound
	health membership.Health

	countedSeq uint64 // the last measurement counted in late
}

// leader is the part of a replica that is active only while it leads.
type leader struct {
	r      *Replica
	wakeup chan struct{}

	mu       sync.Mutex
	term     uint64
	leases   *lease.Table[string] // by agent
	sessions map[string]*session
	model    *interference.Model
	baseline *interference.Baseline
	runtimes *lease.RunTimes
	holdings map[string]*holding // by agent
	// throttled tasks run slower until they are released or end. The set is not committed: a new
	// leader starts with none and throttles again if needed.
	throttled map[string]uint32 // task to attempt
}

func newLeader(r *Replica) *leader {
	l := &leader{r: r, wakeup: make(chan struct{}, 1), runtimes: lease.NewRunTimes()}
	l.reset(0)
	return l
}

func (l *leader) reset(term uint64) {
	l.term, l.leases = term, lease.NewTable[string](l.r.set.Control.Lease.Duration, time.Now())
	l.sessions = make(map[string]*session)
	l.holdings = make(map[string]*holding)
	l.throttled = make(map[string]uint32)
	if l.model == nil {
		l.model, l.baseline = interference.NewModel(), interference.NewBaseline()
	}
}

// run watches the leases and schedules while this replica leads.
func (l *leader) run(ctx context.Context) error {
	watch := time.NewTicker(watchInterval)
	defer watch.Stop()
	schedule := time.NewTicker(l.r.set.Control.Schedule.Duration)
	defer schedule.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-watch.C:
			if l.leads() {
				l.watch(ctx)
			}
		case <-schedule.C:
			l.scheduleIfLeading()
		case <-l.wakeup:
			l.scheduleIfLeading()
		}
	}
}

// leads reports whether this replica leads, and drops the sessions of an earlier leadership.
func (l *leader) leads() bool {
	v := l.r.node.View()
	if v.Role != quorum.Leader || !v.Current {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term < v.Term { // the view may be of an earlier leadership
		l.reset(v.Term)
		logrus.WithField("term", v.Term).Info("control: This replica leads.")
	}
	return true
}

// wake requests a scheduling pass.
func (l *leader) wake() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// watch repairs the replica set, marks members down whose lease has certainly expired, and
// updates the quarantine.
func (l *leader) watch(ctx context.Context) {
	l.r.repair(ctx)
	var moves []membership.Move
	var term uint64 // of the lease table that the moves are based on
	l.r.machine.Read(func(s *State) {
		l.mu.Lock()
		defer l.mu.Unlock()
		term = l.term
		for _, m := range s.Members.Members {
			if m.Phase == membership.Down {
				l.leases.Reopen(m.Agent) // the expiry is committed
			} else if mv, ok := l.expired(m); ok {
				moves = append(moves, mv)
			}
		}
		moves = append(moves, s.Members.Quarantine(l.health)...)
	})
	if len(moves) == 0 {
		return
	}
	for _, mv := range moves {
		logrus.WithFields(logrus.Fields{"agent": mv.Agent, "phase": mv.Phase, "reason": mv.Reason}).Warn("control: A member changes its phase.")
	}
	if _, err := l.r.proposeIn(term, Command{Moves: moves}); err != nil {
		// The outcome may be unknown: the moves can still be committed. So the leases stay
		// closed, and the next watch proposes them again.
		logrus.Warnf("control: Could not commit %d membership moves: %v.", len(moves), err)
		return
	}
	l.wake()
}

// health returns the failure statistics of a member, nil if there are none.
func (l *leader) health(agent string) *membership.Health {
	if s := l.sessions[agent]; s != nil {
		return &s.health
	}
	return nil
}

func (l *leader) expired(m *membership.Member) (membership.Move, bool) {
	now := time.Now()
	l.leases.Add(m.Agent, now) // the member may be in the state before its handler has recorded the lease
	if !l.leases.Close(m.Agent, now) {
		return membership.Move{}, false
	}
	return membership.Move{Agent: m.Agent, Boot: m.Boot, Phase: membership.Down, Reason: "its lease ended without a renewal"}, true
}

// grant extends the lease of an agent, or refuses while its expiry is being committed.
func (l *leader) grant(req *Renew) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leases.Grant(req.Member.Agent, time.Now()) {
		e := refusal.New(refusal.Unreachable, "renew again in a moment", "the lease of %s is just being ended", req.Member.Agent)
		e.RetryAfter = watchInterval
		return e
	}
	s := l.sessions[req.Member.Agent]
	if s == nil {
		s = &session{}
		l.sessions[req.Member.Agent] = s
	}
	l.observe(s, req)
	return nil
}

// observe feeds a new measurement to the cost model, together with the jobs that shared the
// worker when it was taken rather than those that share it now.
func (l *leader) observe(s *session, req *Renew) {
	u := req.Usage
	s.health.Record(u.Done+u.TasksEnded, u.Failed+u.TasksFailed)
	if u.Seq <= s.usage.Seq && s.usage.Seq != 0 {
		s.usage.Load = u.Load
		return
	}
	service := req.Member.Market + "/" + req.Member.Service
	s.slow = l.baseline.Slowdown(service, u.Load, u.P99, len(u.Jobs) == 0)
	s.usage = u
	if s.slow > 0 && len(u.Jobs) > 0 {
		l.model.Observe(service, u.Load, u.Jobs, s.slow)
	}
}

// onRenew handles an agent's heartbeat: its announcement, the ends of attempts and its
// measurements. The answer carries its lease and orders.
//
// The order of the steps makes the lease safe. The majority read comes first, so that a leader
// that was suspended or partitioned, and has been replaced, grants nothing. The ends are
// committed before the answer, so the agent may then forget them.
func (r *Replica) onRenew(req Renew) (RenewAnswer, error) {
	if err := r.shared.wait(); err != nil {
		return RenewAnswer{}, err
	}
	r.leader.leads()
	if err := r.admit(&req); err != nil {
		return RenewAnswer{}, err
	}
	if len(req.Ends) > 0 {
		if _, err := r.propose(Command{Ends: &Ends{req.Member.Agent, req.Ends}}); err != nil {
			return RenewAnswer{}, err
		}
		r.leader.wake()
	}
	if err := r.leader.grant(&req); err != nil {
		return RenewAnswer{}, err
	}
	r.rollout.Acknowledge("agent", req.Member.Agent, req.Revision)
	return r.answerRenew(&req), nil
}

// admit commits an announcement that differs from the known member.
func (r *Replica) admit(req *Renew) error {
	if err := req.Member.Validate(); err != nil {
		return err
	}
	known := false
	r.machine.Read(func(s *State) {
		m := s.Members.Members[req.Member.Agent]
		known = m != nil && m.SameAnnouncement(req.Member) && m.Phase != membership.Down
	})
	if known {
		return nil
	}
	_, err := r.propose(Command{Announce: &req.Member})
	if err == nil {
		logrus.WithFields(logrus.Fields{"agent": req.Member.Agent, "service": req.Member.Service, "withdrawn": req.Member.Withdrawn}).
			Info("control: Accepted an announcement.")
		r.leader.wake()
	}
	return err
}

func (r *Replica) answerRenew(req *Renew) RenewAnswer {
	a := RenewAnswer{LeaseMS: r.set.Control.Lease.Milliseconds()}
	r.machine.Read(func(s *State) {
		a.Revision = s.Market.Revision
		if req.Revision < a.Revision {
			a.Markets = s.Market.Since(req.Revision)
		}
		a.Cordoned = s.DataCentres.Cordoned(req.Member.DataCentre)
		orders := s.Tasks.Orders(req.Member.Agent)
		a.Throttle = r.leader.throttledOf(orders)
		if lease.Digest(orders) != req.Digest {
			a.Changed, a.Orders = true, orders
		}
	})
	return a
}
