package control

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/dispatch"
	"github.com/waxwinghaven/waxwinghaven/quorum"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/upkeep"
)

// Machines is the platform's interface for the machines below the workers. An error
// means that a call may have been carried out.
type Machines interface {
	// ListedAs returns how the list names a worker. Two incarnations may be listed alike.
	ListedAs(worker string) string
	// List returns all machines, or an error: never a part of them.
	List(ctx context.Context) ([]upkeep.Machine, error)
	// Upkeep takes a machine down, with everything that runs on it.
	Upkeep(ctx context.Context, o MachineOrder) (MachineVerdict, error)
	// Move puts a machine into another pool, with the end of everything on it.
	Move(ctx context.Context, o MachineOrder) (MachineVerdict, error)
}

// MachineOrder is an order about one machine with the right by which it is given.
type MachineOrder struct {
	Machine string
	Wave    uint64 // of an upkeep
	Pool    string // of a move
	// Holder is the replica that orders, and Token its leadership: a later one has a
	// higher token, and the platform refuses lower ones from then on.
	Holder string
	Token  uint64
}

// MachineVerdict is the platform's answer to an order.
type MachineVerdict uint8

// The verdicts. All but MachineDone mean that the order did nothing.
const (
	MachineDone     MachineVerdict = iota // carried out, now or before
	MachineFenced                         // a later leader has given orders
	MachineBusy                           // not up, or about to end by itself
	MachineNotAsked                       // not a machine of that wave
	MachineUnknown                        // there is no such machine
	MachineLater                          // too many calls, or the platform is not well
)

var machineVerdicts = [...]string{"done", "fenced", "busy", "not-asked", "unknown", "later"}

// String returns the verdict's name.
func (v MachineVerdict) String() string { return machineVerdicts[v] }

const (
	// waveEvery is the interval of decisions while a wave is at work. The platform
	// takes some tens of calls a second; this is at most ten for each wave's turn.
	waveEvery = 500 * time.Millisecond
	// machineTimeout bounds one call to the platform.
	machineTimeout = 2 * time.Second
	// maxOrders bounds the orders of one turn.
	maxOrders = 5
)

// waves carries the operators' waves of upkeep out while this replica leads.
type waves struct {
	r        *Replica
	machines Machines // nil for none
	lease    time.Duration

	mu     sync.Mutex
	term   uint64
	since  time.Time // when this leadership was noticed
	fenced bool      // a later leader gives orders
	// ended are the workers whose machines this leader moved, and when: what ran there
	// ended by order, not by a crash.
	ended map[string]time.Time
}

// movedFor is how long a moved worker is remembered: far longer than a move takes.
const movedFor = time.Minute

// noteMoved takes in that the worker of a listed machine ends by an order to move it.
func (w *waves) noteMoved(list []upkeep.Machine, machine string) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended == nil {
		w.ended = make(map[string]time.Time)
	}
	maps.DeleteFunc(w.ended, func(_ string, at time.Time) bool { return now.Sub(at) > movedFor })
	for _, x := range list {
		if x.Name == machine && x.Worker != "" {
			w.ended[x.Worker] = now
		}
	}
}

// moved reports whether a worker ended by an order to move its machine.
func (w *waves) moved(worker string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ended := w.ended[worker]
	return ended
}

// SetMachines gives the replica the platform's machines. A new leader gives no order for
// the lease's time, so that orders of two leaders never take turns. It is called before
// Run.
func (r *Replica) SetMachines(m Machines, lease time.Duration) {
	r.waves.machines, r.waves.lease = m, lease
}

func (w *waves) run(ctx context.Context) error {
	if w.machines == nil {
		return nil
	}
	tick := time.NewTicker(waveEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			w.turn(ctx)
		}
	}
}

// right returns the leadership by which orders may be given now.
func (w *waves) right() (token uint64, ok bool) {
	v := w.r.node.View()
	if v.Role != quorum.Leader {
		return 0, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if v.Term < w.term {
		return 0, false // the view is an older leadership's
	}
	if w.term < v.Term {
		w.term, w.since, w.fenced = v.Term, time.Now(), false
	}
	return v.Term, !w.fenced && time.Since(w.since) >= w.lease
}

// turn reads the list, decides, commits what was decided, and gives the orders.
func (w *waves) turn(ctx context.Context) {
	token, ok := w.right()
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
	d := w.decide(list)
	if len(d.Marks) > 0 {
		if _, err := w.r.proposeJob(JobCommand{Marks: d.Marks}); err != nil {
			logrus.Warnf("control: Could not commit a wave's progress: %v.", err)
			return
		}
		for _, m := range d.Marks {
			logrus.WithFields(logrus.Fields{"wave": m.Wave, "machine": m.Machine, "phase": m.Phase.String(), "worker": m.Worker}).Info("control: A wave goes on.")
		}
		w.r.dispatcher.wake()
	}
	for i, o := range d.Orders {
		if i >= maxOrders {
			return
		}
		w.order(ctx, o, token)
	}
}

// list returns the platform's machines, with their workers named as they are registered. One
// that isn't is named as the one that a wave knew there last: its next incarnation may be
// listed alike, and a machine is back once that one registers.
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

// decide makes the pure decision from what is known now.
func (w *waves) decide(list []upkeep.Machine) (d upkeep.Decision) {
	now := w.r.dispatcher.nowMS()
	w.r.machine.Read(func(s *State) {
		d = upkeep.Next(upkeep.Input{State: s.Waves, Machines: list, NowMS: now, Upkeep: w.upkeepTime(),
			Empty:  func(worker string) bool { return len(s.Jobs.RunsOn(worker)) == 0 },
			Spared: func(worker string) bool { return dispatch.Spared(s.Jobs, worker, now) }})
	})
	return d
}

func (w *waves) upkeepTime() time.Duration {
	if p := w.r.set.Platform; p != nil {
		return p.UpkeepTime.Duration
	}
	return 0
}

// order gives one order. A majority confirms first that this replica still leads: one
// that was frozen since it decided may have been replaced, and the worker filled again.
func (w *waves) order(ctx context.Context, o upkeep.Order, token uint64) {
	if w.r.confirmedLeader() != nil {
		return
	}
	v, err := w.machines.Upkeep(ctx, MachineOrder{Machine: o.Machine, Wave: o.Wave, Holder: w.r.self.Name, Token: token})
	l := logrus.WithFields(logrus.Fields{"wave": o.Wave, "machine": o.Machine, "token": token})
	if err != nil {
		refusal.Count("machines", refusal.Unreachable)
		l.Warnf("control: An upkeep's order went unanswered and is sent again: %v.", err)
		return
	}
	metrics.GetOrCreateCounter(`waxwinghaven_machine_orders_total{verdict="` + v.String() + `"}`).Inc()
	l.WithField("verdict", v.String()).Info("control: The platform answered an upkeep's order.")
	m := upkeep.Mark{Wave: o.Wave, Machine: o.Machine, AtMS: w.r.dispatcher.nowMS()}
	switch v {
	case MachineDone:
		m.Phase = upkeep.Down
	case MachineUnknown, MachineNotAsked:
		m.Phase = upkeep.Back // nothing is owed for it
	case MachineFenced:
		w.mu.Lock()
		w.fenced = w.fenced || w.term == token
		w.mu.Unlock()
		return
	default:
		return // it is tried again in the next turn
	}
	if _, err := w.r.proposeJob(JobCommand{Marks: []upkeep.Mark{m}}); err != nil {
		l.Warnf("control: Could not commit a machine's upkeep: %v.", err)
	}
}

// StartWave commits a wave. A replica that does not lead passes it on, so that operators
// may reach any.
func (r *Replica) StartWave(w upkeep.Wave) (Empty, error) {
	if err := w.Validate(); err != nil {
		return Empty{}, err
	}
	if addr := r.leaderElsewhere(); addr != "" {
		return Empty{}, r.client.Call(addr, PathStartWave, passOnTimeout, &w, nil)
	}
	if r.waves.machines == nil {
		return Empty{}, noMachines(refusal.NoUpstream)
	}
	_, err := r.proposeJob(JobCommand{Wave: &StartWave{w, r.dispatcher.nowMS()}})
	if err == nil {
		logrus.WithFields(logrus.Fields{"wave": w.Number, "machines": len(w.Machines), "at_once": w.MaxConcurrent, "ms": w.DurationMS}).Info("control: Took a wave of upkeep in.")
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
	// Phases counts its machines by what has become of them.
	Phases map[string]int `json:"phases" msgpack:"p"`
}

// GetWave returns a wave, confirmed by a majority.
func (r *Replica) GetWave(q WaveQuery) (v WaveView, err error) {
	if addr := r.leaderElsewhere(); addr != "" {
		err = r.client.Call(addr, PathGetWave, passOnTimeout, &q, &v)
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

func viewWave(x *upkeep.Running) WaveView {
	v := WaveView{Wave: x.Wave, Completed: x.Completed(), Phases: make(map[string]int)}
	for i := range x.Machines {
		v.Phases[x.Machines[i].Phase.String()]++
	}
	return v
}

// MachineMove asks for a machine in another pool.
type MachineMove struct {
	Machine string `json:"machine" msgpack:"m"`
	Pool    string `json:"pool" msgpack:"p"`
}

// MoveMachine moves a machine into another pool; everything on it ends. It is refused
// while that took more standing tasks of a step away than its caller allows. Sent again
// it does no more.
func (r *Replica) MoveMachine(m MachineMove) (Empty, error) {
	if addr := r.leaderElsewhere(); addr != "" {
		return Empty{}, r.client.Call(addr, PathMoveMachine, passOnTimeout, &m, nil)
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
	token, ok := w.right()
	if !ok {
		e := refusal.New(refusal.NoQuorum, "ask again in a moment", "this replica may not give orders about machines yet")
		e.RetryAfter = refusal.Spread(w.lease)
		return e
	}
	ctx, cancel := context.WithTimeout(context.Background(), machineTimeout)
	defer cancel()
	list, err := w.list(ctx)
	if err != nil {
		return refusal.New(refusal.Unreachable, "check the platform's interface for machines", "the machines can't be listed: %v", err)
	}
	if !w.mayEnd(list, m.Machine) {
		return refusal.New(refusal.Conflict, "wait until its standing tasks are at work elsewhere", "machine %s runs standing tasks that their caller can't spare now", m.Machine)
	}
	if err := w.r.confirmedLeader(); err != nil {
		return err
	}
	w.noteMoved(list, m.Machine)
	v, err := w.machines.Move(ctx, MachineOrder{Machine: m.Machine, Pool: m.Pool, Holder: w.r.self.Name, Token: token})
	if err != nil {
		return refusal.New(refusal.UnknownOutcome, "send the same again", "the platform did not answer: %v", err)
	}
	logrus.WithFields(logrus.Fields{"machine": m.Machine, "pool": m.Pool, "token": token, "verdict": v.String()}).Info("control: The platform answered a move's order.")
	return moveRefusal(m, v)
}

// mayEnd reports whether a listed machine's worker may be ended now.
func (w *waves) mayEnd(list []upkeep.Machine, machine string) (may bool) {
	now := w.r.dispatcher.nowMS()
	may = true
	for _, x := range list {
		if x.Name == machine && x.Worker != "" {
			w.r.machine.Read(func(s *State) { may = dispatch.Spared(s.Jobs, x.Worker, now) })
		}
	}
	return may
}

// moveRefusal tells an operator what became of a move.
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
