package control

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/dispatch"
	"github.com/waxwinghaven/waxwinghaven/quorum"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/upkeep"
)

// Machines is the platform's interface for the machines that host the workers. After an error a
// call may have been carried out.
type Machines interface {
	// ListedAs returns the name of a worker in the list. Two incarnations may have the same name
	// there.
	ListedAs(worker string) string
	// List returns all machines, or an error, but never a part of them.
	List(ctx context.Context) ([]upkeep.Machine, error)
	// Upkeep takes a machine down, along with everything that runs on it.
	Upkeep(ctx context.Context, o MachineOrder) (MachineVerdict, error)
	// Move puts a machine into another pool, which ends everything that runs on it.
	Move(ctx context.Context, o MachineOrder) (MachineVerdict, error)
}

// MachineOrder is an order about one machine, with the token that authorises it.
type MachineOrder struct {
	Machine string
	Wave    uint64 // for Upkeep
	Pool    string // for Move
	// Holder is the replica that gives the order, and Token its term: a later leader has a higher
	// token, after which the platform refuses lower ones.
	Holder string
	Token  uint64
}

// MachineVerdict is the platform's answer to an order.
type MachineVerdict uint8

// Verdicts of the platform. All but MachineDone mean that the order had no effect.
const (
	MachineDone     MachineVerdict = iota // carried out, now or before
	MachineFenced                         // a later leader has given orders
	MachineBusy                           // not up, or about to go down by itself
	MachineNotAsked                       // not a machine of that wave
	MachineUnknown                        // there is no such machine
	MachineRetry                          // too many calls, or the platform is temporarily unavailable
)

var machineVerdicts = [...]string{"done", "fenced", "busy", "not-asked", "unknown", "later"}

// String returns the verdict's name.
func (v MachineVerdict) String() string { return machineVerdicts[v] }

const (
	// waveInterval is the interval of decisions while a wave is active. With maxOrders it keeps
	// orders to ten per second; the platform accepts some tens of calls per second.
	waveInterval = 500 * time.Millisecond
	// machineTimeout bounds one call to the platform.
	machineTimeout = 2 * time.Second
	// maxOrders bounds the orders of one step.
	maxOrders = 5
)

// waves carries out the operators' upkeep waves while this replica leads.
type waves struct {
	r        *Replica
	machines Machines // nil for none
	lease    time.Duration

	mu     sync.Mutex
	term   uint64
	since  time.Time // when this leadership was noticed
	fenced bool      // a later leader has given orders
}

// SetMachines sets the platform's interface for machines. A new leader gives no orders for the
// duration of the lease, so that orders of two leaders never interleave. It must be called before
// Run.
func (r *Replica) SetMachines(m Machines, lease time.Duration) {
	r.waves.machines, r.waves.lease = m, lease
}

func (w *waves) run(ctx context.Context) error {
	if w.machines == nil {
		return nil
	}
	tick := time.NewTicker(waveInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			w.step(ctx)
		}
	}
}

// orderToken returns the term of the leadership and whether it may give orders now.
func (w *waves) orderToken() (token uint64, ok bool) {
	v := w.r.node.View()
	if v.Role != quorum.Leader {
		return 0, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if v.Term < w.term {
		return 0, false // the view is of an earlier leadership
	}
	if w.term < v.Term {
		w.term, w.since, w.fenced = v.Term, time.Now(), false
	}
	return v.Term, !w.fenced && time.Since(w.since) >= w.lease
}

// step lists the machines, decides, commits the decision and gives the orders.
func (w *waves) step(ctx context.Context) {
	token, ok := w.orderToken()
	active := false
	w.r.machine.Read(func(s *State) { active = s.Waves.Active() })
	if !ok || !active {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, machineTimeout)
	defer cancel()
	list, err := w.list(ctx)
	if err != nil {
		refusal.Count("machines", refusal.Unreachable)
		logrus.Warnf("control: The platform did not list its machines: %v.", err)
		return
	}
	d, err := w.decideAndCommit(list)
	if err != nil {
		logrus.Warnf("control: Could not commit a wave's progress: %v.", err)
		return
	}
	if len(d.Marks) > 0 {
		for _, m := range d.Marks {
			logrus.WithFields(logrus.Fields{"wave": m.Wave, "machine": m.Machine, "phase": m.Phase.String(), "worker": m.Worker}).Info("control: A wave goes on.")
		}
		w.r.dispatcher.wake()
	}
	for i, o := range d.Orders {
		if i >= maxOrders {
			return
		}
		w.sendOrder(ctx, o, token)
	}
}

// list returns the platform's machines, with the ids of their registered workers. A worker that
// is not registered gets the id that a wave last saw on that machine: its next incarnation may be
// listed under the same name, and the machine counts as back once that one registers.
func (w *waves) list(ctx context.Context) ([]upkeep.Machine, error) {
	list, err := w.machines.List(ctx)
	if err != nil {
		return nil, err
	}
	names := make(map[string]string)
	w.r.machine.Read(func(s *State) {
		for _, worker := range s.Waves.Workers() {
			names[w.machines.ListedAs(worker)] = worker
		}
		for worker := range s.Jobs.Workers {
			names[w.machines.ListedAs(worker)] = worker
		}
	})
	for i := range list {
		if name := names[list[i].Worker]; name != "" {
			list[i].Worker = name
		}
	}
	return list, nil
}

// decideAndCommit makes a decision and commits its marks.
func (w *waves) decideAndCommit(list []upkeep.Machine) (d upkeep.Decision, err error) {
	w.r.ordering.Lock()
	defer w.r.ordering.Unlock()
	d = w.decide(list)
	if len(d.Marks) > 0 {
		_, err = w.r.proposeJob(JobCommand{Marks: d.Marks})
	}
	return d, err
}

// decide makes the decision from the current state, without side effects.
func (w *waves) decide(list []upkeep.Machine) (d upkeep.Decision) {
	now := w.r.dispatcher.nowMS()
	w.r.machine.Read(func(s *State) {
		d = upkeep.Next(upkeep.Input{State: s.Waves, Machines: list, NowMS: now, Upkeep: w.upkeepTime(),
			Empty: func(worker string) bool { return len(s.Jobs.RunsOn(worker)) == 0 },
			MayStop: func(worker string, down []string) bool {
				ending := s.Waves.MovingAt(now)
				for _, other := range down {
					ending[other] = true
				}
				return dispatch.MayStop(s.Jobs, worker, now, w.r.dispatcher.absences(s, ending))
			}})
	})
	return d
}

func (w *waves) upkeepTime() time.Duration {
	if p := w.r.set.Platform; p != nil {
		return p.UpkeepTime.Duration
	}
	return 0
}

// sendOrder gives one order after a majority has confirmed that this replica still leads: a
// replica that was suspended since the decision may have been replaced, and the worker may have
// got new runs.
func (w *waves) sendOrder(ctx context.Context, o upkeep.Order, token uint64) {
	if w.r.confirmedLeader() != nil {
		return
	}
	v, err := w.machines.Upkeep(ctx, MachineOrder{Machine: o.Machine, Wave: o.Wave, Holder: w.r.self.Name, Token: token})
	l := logrus.WithFields(logrus.Fields{"wave": o.Wave, "machine": o.Machine, "token": token})
	if err != nil {
		refusal.Count("machines", refusal.Unreachable)
		l.Warnf("control: An upkeep order was not answered and will be sent again: %v.", err)
		return
	}
	metrics.GetOrCreateCounter(`waxwinghaven_machine_orders_total{verdict="` + v.String() + `"}`).Inc()
	l.WithField("verdict", v.String()).Info("control: The platform answered an upkeep order.")
	m := upkeep.Mark{Wave: o.Wave, Machine: o.Machine, AtMS: w.r.dispatcher.nowMS()}
	switch v {
	case MachineDone:
		m.Phase = upkeep.Down
	case MachineUnknown, MachineNotAsked:
		m.Phase = upkeep.Back // no upkeep is due for it
	case MachineFenced:
		w.mu.Lock()
		w.fenced = w.fenced || w.term == token
		w.mu.Unlock()
		return
	default:
		return // retried in the next step
	}
	if _, err := w.r.proposeJob(JobCommand{Marks: []upkeep.Mark{m}}); err != nil {
		l.Warnf("control: Could not commit a machine's upkeep: %v.", err)
	}
}

// StartWave commits a wave. A replica that does not lead forwards it, so operators may call any
// replica.
func (r *Replica) StartWave(w upkeep.Wave) (Empty, error) {
	if err := w.Validate(); err != nil {
		return Empty{}, err
	}
	if addr := r.otherLeader(); addr != "" {
		return Empty{}, r.client.Call(addr, PathStartWave, forwardTimeout, &w, nil)
	}
	if r.waves.machines == nil {
		return Empty{}, noMachines(refusal.NoUpstream)
	}
	_, err := r.proposeJob(JobCommand{Wave: &StartWave{w, r.dispatcher.nowMS()}})
	if err == nil {
		logrus.WithFields(logrus.Fields{"wave": w.Number, "machines": len(w.Machines), "at_once": w.MaxConcurrent, "ms": w.DurationMS}).Info("control: Accepted an upkeep wave.")
	}
	return Empty{}, err
}

func noMachines(code refusal.Code) error {
	return refusal.New(code, "name the platform's interface for machines in the control's settings", "no interface for machines is set")
}

// WaveView is a wave as operators see it.
type WaveView struct {
	upkeep.Wave
	Completed bool `json:"completed" msgpack:"k"`
	// Phases counts the machines by phase.
	Phases map[string]int `json:"phases" msgpack:"p"`
}

// GetWave returns a wave, confirmed by a majority.
func (r *Replica) GetWave(q WaveQuery) (v WaveView, err error) {
	if addr := r.otherLeader(); addr != "" {
		err = r.client.Call(addr, PathGetWave, forwardTimeout, &q, &v)
		return v, err
	}
	if err := r.confirmedLeader(); err != nil {
		return v, err
	}
	err = refusal.New(refusal.NotFound, "check the number", "wave %d is not known", q.Number)
	r.machine.Read(func(s *State) {
		if x := s.Waves.Waves[q.Number]; x != nil {
			v, err = viewWave(x), nil
		}
	})
	return v, err
}

func viewWave(x *upkeep.WaveProgress) WaveView {
	v := WaveView{Wave: x.Wave, Completed: x.Completed(), Phases: make(map[string]int)}
	for i := range x.Machines {
		v.Phases[x.Machines[i].Phase.String()]++
	}
	return v
}
