package control

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/quorum"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/transport"
)

// noConfigRetry is the retry delay for calls before the first configuration, which arrives within
// seconds of the start.
const noConfigRetry = 500 * time.Millisecond

func (r *Replica) jobRoutes() {
	entry, agent, control := transport.RoleEntry, transport.RoleAgent, transport.RoleControl
	r.server.Handle(PathSubmitJob, handle(r.onSubmitJob), entry)
	r.server.Handle(PathLookUp, handle(r.onLookUp), entry)
	r.server.Handle(PathCancelJob, handle(r.onCancelJob), entry)
	r.server.Handle(PathPutConfig, handle(r.PutConfig), control)
	r.server.Handle(PathGetConfig, handle(r.onGetConfig), control)
	r.server.Handle(PathStartWave, handle(r.StartWave), control)
	r.server.Handle(PathGetWave, handle(r.GetWave), control)
	r.server.Handle(PathMoveMachine, handle(r.MoveMachine), control)
	r.server.Handle(PathOrderDataCentre, handle(r.onOrderDataCentre), control)
	r.server.Handle(PathGetDataCentre, handle(r.onGetDataCentre), control)
	r.server.Handle(PathFence, handle(r.onFence), agent)
	r.server.Handle(PathRegister, handle(r.onRegister), agent)
	r.server.Handle(PathLease, handle(r.onLease), agent)
	r.server.Handle(PathOrders, handle(r.onOrders), agent)
	r.server.Handle(PathEnds, handle(r.onEnds), agent)
	r.server.Handle(PathWorkerGone, handle(r.onWorkerGone), agent)
	r.server.Handle(PathSilent, handle(r.onUnresponsive), agent)
	r.server.Handle(PathReplicas, handle(r.onReplicas), entry, agent, control)
}

// confirmedLeader returns once a majority has confirmed that this replica leads and everything
// committed before the call is applied. A subsequent read is at least as recent as any answer
// given before the call.
func (r *Replica) confirmedLeader() error {
	if r.node.View().Role != quorum.Leader {
		return r.refusalOf(quorum.ErrNotLeader)
	}
	return r.shared.wait()
}

func (r *Replica) proposeJob(c JobCommand) (any, error) {
	return r.proposeJobIn(quorum.AnyTerm, c)
}

// proposeJobIn is like proposeJob, but only commits in the given term.
func (r *Replica) proposeJobIn(term uint64, c JobCommand) (any, error) {
	if r.node.View().Role != quorum.Leader {
		return nil, r.refusalOf(quorum.ErrNotLeader)
	}
	return r.proposeIn(term, Command{Jobs: &c})
}

func (r *Replica) onSubmitJob(c SubmitJob) (Acknowledged, error) {
	arrived := time.Now()
	if err := c.Spec.Validate(); err != nil {
		return Acknowledged{}, err
	}
	if err := r.dispatcher.admit(&c); err != nil {
		r.dispatcher.demand.submitted(&c, err)
		r.logCall("submit", JobCall{c.Host, c.Path}, err)
		return Acknowledged{}, err
	}
	seen := c.Seen
	c.Seen = nil // not committed
	_, err := r.proposeJobIn(c.term, JobCommand{Submit: &c})
	err = r.dispatcher.conclude(&c, seen, err)
	r.dispatcher.demand.submitted(&c, err)
	r.logCall("submit", JobCall{c.Host, c.Path}, err)
	if err == nil {
		r.dispatcher.admitted(&c)
		// An accepted path ends with the job's id.
		r.dispatcher.waits.submitted(c.Path[len(c.Path)-jobs.IDLength:], arrived)
		logrus.WithFields(logrus.Fields{"job": c.Path, "steps": c.Spec.String(), "took_ms": time.Since(arrived).Milliseconds()}).Info("control: Took a job in.")
		r.dispatcher.wake()
	}
	return Acknowledged{r.dispatcher.stamp()}, err
}

func (r *Replica) onCancelJob(c CancelJob) (Acknowledged, error) {
	term, err := r.dispatcher.beginCancel(&c)
	if err != nil {
		return Acknowledged{}, err
	}
	v, err := r.proposeJobIn(term, JobCommand{Cancel: &c.JobCall})
	if err != nil {
		err = r.dispatcher.concludeCancel(&c, err)
	}
	r.logCall("cancel", c.JobCall, err)
	if err == nil {
		if id := v.(string); id != "" {
			r.dispatcher.demand.ended(id)
		}
		r.dispatcher.wake()
	}
	return Acknowledged{r.dispatcher.stamp()}, err
}

func (r *Replica) logCall(call string, c JobCall, err error) {
	l := logrus.WithFields(logrus.Fields{"call": call, "host": c.Host, "job": c.Path})
	if err != nil {
		l.Infof("control: Refused a call: %v.", err)
		return
	}
	l.Info("control: Committed a call.")
}

func (r *Replica) onLookUp(c JobCall) (a LookUpAnswer, err error) {
	if err := r.confirmedLeader(); err != nil {
		return a, err
	}
	begun := r.dispatcher.begunTest(r.dispatcher.awaitsBegunReports())
	r.machine.Read(func(s *State) {
		a, err = s.lookUp(c, begun)
		a.Version = s.Queues.Config.Version
	})
	if e, ok := refusal.Of(err); ok {
		e.Revision = a.Version
	}
	a.Stamp = r.dispatcher.stamp()
	return a, err
}

// lookUp returns the phase of a job, or the length of a queue. begun reports whether a run is known to
// have started.
func (s *State) lookUp(c JobCall, begun func(jobs.Ref, *jobs.Placed) bool) (a LookUpAnswer, err error) {
	host, prefix, id, err := s.findQueue(c)
	if err != nil {
		return a, err
	}
	if id == "" {
		return LookUpAnswer{IsQueue: true, Pending: s.Jobs.Pending(host, prefix, begun)}, nil
	}
	a.Phase, err = s.Jobs.Lookup(host, prefix, id)
	return a, err
}

// PutConfig commits a version of the configuration. A version that is not above the current one
// is acknowledged without effect. A replica that does not lead forwards it, so operators may call
// any replica.
func (r *Replica) PutConfig(c PutConfig) (Empty, error) {
	if err := c.Config.Validate(); err != nil {
		logrus.WithField("version", c.Config.Version).Infof("control: Refused a configuration: %v.", err)
		return Empty{}, err
	}
	if addr := r.otherLeader(); addr != "" {
		return Empty{}, r.client.Call(addr, PathPutConfig, forwardTimeout, &c, nil)
	}
	v, err := r.proposeJob(JobCommand{Put: &c})
	if err != nil {
		logrus.WithField("version", c.Config.Version).Warnf("control: Could not commit a configuration: %v.", err)
		return Empty{}, err
	}
	logrus.WithFields(logrus.Fields{"version": c.Config.Version, "in_force": v}).Info("control: Acknowledged a configuration.")
	r.dispatcher.wake()
	return Empty{}, nil
}

// forwardTimeout bounds a call that this replica forwards to the leader. Operators try another
// replica after one second.
const forwardTimeout = 900 * time.Millisecond

// otherLeader returns the address of the leader if it is another replica, "" if this one leads or
// no leader is known.
func (r *Replica) otherLeader() string {
	v := r.node.View()
	if v.Role == quorum.Leader || v.Leader.ID == r.self.ID {
		return ""
	}
	return v.Leader.Address
}

// GetConfig returns the latest configuration, confirmed by a majority.
func (r *Replica) GetConfig() (a GetConfigAnswer, err error) {
	if addr := r.otherLeader(); addr != "" {
		err = r.client.Call(addr, PathGetConfig, forwardTimeout, &Empty{}, &a)
		return a, err
	}
	return r.onGetConfig(Empty{})
}

func (r *Replica) onGetConfig(Empty) (a GetConfigAnswer, err error) {
	if err := r.confirmedLeader(); err != nil {
		return a, err
	}
	r.machine.Read(func(s *State) { a.Version, a.Source = s.Queues.Config.Version, s.Queues.Config.Source })
	return a, nil
}
