package control

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/learned"
	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/quorum"
	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// onFence gives an agent a fencing token, by which its worker distinguishes subsequent calls from
// those of earlier sessions. The token is a log index, since agents store nothing.
func (r *Replica) onFence(req FenceRequest) (FenceAnswer, error) {
	if req.Agent == "" || req.Worker == "" {
		return FenceAnswer{}, refusal.New(refusal.Invalid, "run the same version on both sides", "the request for a token names no agent or worker")
	}
	if err := r.checkService(&jobs.Worker{ID: req.Worker, Service: req.Service}); err != nil {
		return FenceAnswer{}, err
	}
	v, err := r.proposeJob(JobCommand{Fence: &req})
	if err != nil {
		return FenceAnswer{}, err
	}
	return v.(FenceAnswer), nil
}

func (r *Replica) onRegister(w Registration) (Registered, error) {
	if w.ID == "" || w.Agent == "" || w.Session == "" {
		return Registered{}, refusal.New(refusal.Invalid, "run the same version on both sides", "the registration names no worker, agent or session")
	}
	if err := r.checkService(&w.Worker); err != nil {
		return Registered{}, err
	}
	r.dispatcher.commitBegun(r.replacedBy(&w))
	v, err := r.proposeJob(JobCommand{Register: &w})
	if err != nil {
		return Registered{}, err
	}
	done := v.(registerResult)
	r.dispatcher.registered(&done.Worker)
	r.logRegistration(&w, &done)
	for _, g := range done.GivenUp {
		r.dispatcher.demand.ended(g.Task.Job)
	}
	answer := Registered{Index: done.Worker.Registered}
	if done.Worker.LateLease {
		answer.LateLeaseMS = r.longestLease().Milliseconds()
	}
	return answer, nil
}

// replacedBy returns the worker that a registration replaces by another incarnation, none if there is
// none.
func (r *Replica) replacedBy(w *Registration) (replaced []string) {
	r.machine.Read(func(s *State) {
		if old := s.Jobs.WorkerOf(w.Agent); old != nil && old.ID != w.ID {
			replaced = append(replaced, old.ID)
		}
	})
	return replaced
}

func (r *Replica) logRegistration(w *Registration, done *registerResult) {
	l := logrus.WithFields(logrus.Fields{"agent": w.Agent, "worker": w.ID, "service": w.Service, "token": done.Worker.Token, "draining": w.Draining})
	l.Info("control: Registered a worker.")
	if done.Replaced != "" {
		voidReplaced.Add(done.VoidRuns)
		l.WithFields(logrus.Fields{"replaced": done.Replaced, "runs": done.VoidRuns}).Warn("control: The worker took the place of another incarnation, whose runs are void.")
	}
	if w.Crash != nil {
		workerCrashes.Inc()
		l.WithFields(logrus.Fields{"crashed": w.Crash.Worker, "counted": done.CrashedRuns}).Warn("control: The incarnation before crashed under its runs.")
	}
	for _, g := range done.GivenUp {
		jobsGivenUp.Inc()
		logrus.WithFields(logrus.Fields{"task": g.Task.String(), "crashes": g.Crashes, "odds_millionths": g.Odds}).Warn("control: Gave a task up that crashes its workers; its job has failed.")
	}
}

// checkService refuses, on the leader, a service that is not in the configuration in force:
// nothing can run there, and the worker may not belong to this system. Before the first
// configuration every service is accepted, since workers may start earlier. A registered worker
// stays when its service is removed: its runs continue.
func (r *Replica) checkService(w *jobs.Worker) (err error) {
	if r.node.View().Role != quorum.Leader {
		return nil // the proposal's refusal names the leader
	}
	r.machine.Read(func(s *State) {
		if s.Jobs.Workers[w.ID] == nil && !s.Queues.HasService(w.Service) {
			err = refusal.New(refusal.UnknownService, "add the service to the configuration, or correct the worker", "no service %q is configured", w.Service)
		}
	})
	return err
}

// onLease grants a worker's lease. The majority read comes first, so that a leader that was
// suspended or partitioned, and has been replaced, grants nothing.
func (r *Replica) onLease(req LeaseRequest) (LeaseAnswer, error) {
	if err := r.confirmedLeader(); err != nil {
		return LeaseAnswer{}, err
	}
	if err := r.dispatcher.grant(&req); err != nil {
		return LeaseAnswer{}, err
	}
	r.dispatcher.recordGrant(&req)
	costs, pairs := r.dispatcher.costs.Observe(learned.Report{Worker: req.Worker, Readings: req.Readings, KnownPairs: req.KnownPairs, PairsSeen: req.PairsSeen}, time.Now())
	view := r.node.View()
	a := LeaseAnswer{TermMS: r.set.Control.Lease.Milliseconds(), Replicas: r.replicaAddresses(),
		Costs: costs, Pairs: pairs, Leader: view.Term, NowMS: r.dispatcher.nowMS()}
	r.machine.Read(func(s *State) {
		a.Cordoned = s.workerCordoned(req.Worker)
		if w := s.Jobs.Workers[req.Worker]; w != nil {
			a.Orders = orderSources(view.Config, r.self.ID, w, len(s.Jobs.Workers), *r.set.Control.OwnAgents)
		}
	})
	return a, nil
}

func (s *State) workerCordoned(worker string) bool {
	w := s.Jobs.Workers[worker]
	return w != nil && s.DataCentres.Cordoned(w.DataCentre)
}

// onEnds commits ends. Only after that may the agent let the worker forget them.
func (r *Replica) onEnds(req RunEnds) (a EndsAnswer, err error) {
	arrived := time.Now()
	v, err := r.proposeJob(JobCommand{Ends: &req})
	if err != nil {
		return a, err
	}
	res := v.(endsResult)
	req.logOutdated(res.outdated)
	req.Ends = slices.DeleteFunc(req.Ends, func(e jobs.End) bool { return slices.Contains(res.outdated, e) })
	logLateEnds(req.Worker, res.late)
	r.dispatcher.handleEnds(req, arrived)
	r.dispatcher.demand.handleEnds(req.Ends, &res)
	if res.overtaken > 0 {
		a.MaxLeaseMS = r.longestLease().Milliseconds()
	}
	return a, nil
}

// longestLease returns the longest time that a worker's lease can continue without renewal,
// safety margin included.
func (r *Replica) longestLease() time.Duration {
	return lease.WithMargin(r.set.Control.LongestLease.Duration)
}

// logOutdated logs reports that a run never started which came from a session that is no longer
// registered.
func (req *RunEnds) logOutdated(ends []jobs.End) {
	for _, e := range ends {
		outdatedEnds.Inc()
		logrus.WithFields(logrus.Fields{"worker": req.Worker, "session": req.Session, "task": e.Task.String(), "run": e.Run}).
			Warn("control: Ignored a report that a run never started: its session is no longer registered.")
	}
}

// logLateEnds logs runs that no longer held capacity and ended by themselves rather than with
// their worker or its lease: runs that ended before they were made void or while a successor ran,
// or ends that were reported again.
func logLateEnds(worker string, ends []jobs.End) {
	for _, e := range ends {
		if e.Outcome != jobs.OutcomeDone && e.Outcome != jobs.OutcomeFailed {
			continue
		}
		voidEnds.Inc()
		logrus.WithFields(logrus.Fields{"worker": worker, "task": e.Task.String(), "run": e.Run, "outcome": e.Outcome.String(), "work_ms": e.WorkMS}).
			Warn("control: A run that no longer held capacity ended by itself.")
	}
}

// registrationOf returns the registration for which this session of an agent may speak, or a
// refusal.
func (r *Replica) registrationOf(ref WorkerRef) (registered uint64, err error) {
	r.machine.Read(func(s *State) {
		w, refused := s.registration(ref)
		if err = refused; err == nil {
			registered = w.Registered
		}
	})
	return registered, err
}

// onWorkerGone drops a worker that its agent has found to be gone.
func (r *Replica) onWorkerGone(ref WorkerRef) (Empty, error) {
	registered, err := r.registrationOf(ref)
	if err != nil {
		return Empty{}, err
	}
	r.dispatcher.commitBegun([]string{ref.Worker})
	v, err := r.proposeJob(JobCommand{Lost: []jobs.Loss{{Worker: ref.Worker, Registered: registered}}})
	if err == nil {
		voidGone.Add(v.(int))
		logrus.WithFields(logrus.Fields{"worker": ref.Worker, "runs": v}).Info("control: An agent reported that its worker is gone; its runs are void.")
		r.dispatcher.wake()
	}
	return Empty{}, err
}

// onUnresponsive handles an agent's report that its worker does not answer. The worker may recover
// at any moment, so nothing is committed, but nothing new is placed there for now.
func (r *Replica) onUnresponsive(ref WorkerRef) (Empty, error) {
	if r.node.View().Role != quorum.Leader {
		return Empty{}, r.refusalOf(quorum.ErrNotLeader)
	}
	if _, err := r.registrationOf(ref); err != nil {
		return Empty{}, err
	}
	r.dispatcher.markUnresponsive(ref.Worker)
	return Empty{}, nil
}

func (r *Replica) onReplicas(Empty) (ReplicasAnswer, error) {
	a := ReplicasAnswer{Replicas: r.replicaAddresses(), Stamp: r.dispatcher.stamp()}
	r.machine.Read(func(s *State) {
		if c := &s.Queues.Config; c.Version > 0 {
			limits := c.Limits
			a.Limits, a.Version = &limits, c.Version
		}
	})
	return a, nil
}

func (r *Replica) replicaAddresses() []string {
	members := r.node.View().Config.Members()
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.Address)
	}
	return out
}
