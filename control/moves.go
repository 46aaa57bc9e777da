package control

import (
	"context"

	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/dispatch"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/upkeep"
)

// MachineMove asks to move a machine into another pool.
type MachineMove struct {
	Machine string `json:"machine" msgpack:"m"`
	Pool    string `json:"pool" msgpack:"p"`
}

// MoveMachine moves a machine into another pool, which ends everything on it. It is refused while
// that would end more standing tasks of a step than its caller allows. It is idempotent.
func (r *Replica) MoveMachine(m MachineMove) (Empty, error) {
	if addr := r.otherLeader(); addr != "" {
		return Empty{}, r.client.Call(addr, PathMoveMachine, forwardTimeout, &m, nil)
	}
	if m.Machine == "" || m.Pool == "" {
		return Empty{}, refusal.New(refusal.Invalid, "name a machine and a pool", "the move names no machine or pool")
	}
	return Empty{}, r.waves.move(m)
}

func (w *waves) move(m MachineMove) error {
	if w.machines == nil {
		return noMachines(refusal.NoUpstream)
	}
	token, ok := w.orderToken()
	if !ok {
		e := refusal.New(refusal.NoQuorum, "ask again in a moment", "this replica may not give orders about machines yet")
		e.RetryAfter = refusal.Jitter(w.lease)
		return e
	}
	ctx, cancel := context.WithTimeout(context.Background(), machineTimeout)
	defer cancel()
	list, err := w.list(ctx)
	if err != nil {
		return refusal.New(refusal.Unreachable, "check the platform's interface for machines", "the machines can't be listed: %v", err)
	}
	if err := w.r.confirmedLeader(); err != nil {
		return err
	}
	worker := workerOn(list, m.Machine)
	if err := w.commitMove(m, worker); err != nil {
		return err
	}
	v, err := w.machines.Move(ctx, MachineOrder{Machine: m.Machine, Pool: m.Pool, Holder: w.r.self.Name, Token: token})
	if err != nil {
		return refusal.New(refusal.UnknownOutcome, "send the same again", "the platform did not answer: %v", err)
	}
	logrus.WithFields(logrus.Fields{"machine": m.Machine, "pool": m.Pool, "token": token, "verdict": v.String()}).Info("control: The platform answered a move order.")
	if v != MachineDone && worker != "" {
		refused := upkeep.Move{Worker: worker, AtMS: w.r.dispatcher.nowMS(), Refused: true}
		if _, err := w.r.proposeJob(JobCommand{Move: &refused}); err != nil {
			logrus.WithField("machine", m.Machine).Warnf("control: Could not commit that a move was refused: %v.", err)
		}
	}
	return moveRefusal(m, v)
}

// workerOn returns the worker on a listed machine, "" for none.
func workerOn(list []upkeep.Machine, machine string) string {
	for _, x := range list {
		if x.Name == machine {
			return x.Worker
		}
	}
	return ""
}

// commitMove commits that the worker on a machine ends because of a move, unless its standing tasks
// can't be spared now.
func (w *waves) commitMove(m MachineMove, worker string) error {
	if worker == "" {
		return nil
	}
	w.r.ordering.Lock()
	defer w.r.ordering.Unlock()
	now, may := w.r.dispatcher.nowMS(), false
	w.r.machine.Read(func(s *State) {
		may = dispatch.MayStop(s.Jobs, worker, now, w.r.dispatcher.absences(s, s.Waves.Ending(now)))
	})
	if !may {
		return refusal.New(refusal.Conflict, "wait until its standing tasks are at work elsewhere", "machine %s runs standing tasks that their caller can't spare now", m.Machine)
	}
	_, err := w.r.proposeJob(JobCommand{Move: &upkeep.Move{Worker: worker, AtMS: now}})
	return err
}

// moveRefusal returns the refusal for a verdict on a move, nil if it was carried out.
func moveRefusal(m MachineMove, v MachineVerdict) error {
	switch v {
	case MachineDone:
		return nil
	case MachineUnknown:
		return refusal.New(refusal.NotFound, "see the list of machines and pools", "there is no machine %s, or no pool %s that it could join", m.Machine, m.Pool)
	case MachineBusy:
		return refusal.New(refusal.Conflict, "wait until it is up", "machine %s is not up, or about to end by itself", m.Machine)
	case MachineFenced:
		return refusal.New(refusal.NotLeader, "ask the leader", "a later leader gives orders about machines")
	}
	return refusal.New(refusal.Unreachable, "ask again in a moment", "the platform takes no move now: %s", v)
}
