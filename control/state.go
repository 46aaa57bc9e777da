package control

import (
	"sync"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/waxwinghaven/waxwinghaven/claim"
	"github.com/waxwinghaven/waxwinghaven/datacentre"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/lessons"
	"github.com/waxwinghaven/waxwinghaven/market"
	"github.com/waxwinghaven/waxwinghaven/membership"
	"github.com/waxwinghaven/waxwinghaven/queues"
	"github.com/waxwinghaven/waxwinghaven/resource"
	"github.com/waxwinghaven/waxwinghaven/upkeep"
)

// Command is one log entry. Exactly one of its parts is set.
type Command struct {
	// Now is the leader's wall clock in milliseconds since 1970. The state keeps the highest
	// value seen, so its clock never runs backwards and clocks of different instances are never
	// compared.
	Now        int64              `msgpack:"n"`
	Change     *market.Change     `msgpack:"c,omitempty"`
	Submit     *lease.Submit      `msgpack:"s,omitempty"`
	Cancel     *lease.Cancel      `msgpack:"x,omitempty"`
	Plan       *lease.Plan        `msgpack:"p,omitempty"`
	Announce   *membership.Member `msgpack:"a,omitempty"`
	Moves      []membership.Move  `msgpack:"m,omitempty"`
	Ends       *Ends              `msgpack:"e,omitempty"`
	Claim      *claim.Claim       `msgpack:"k,omitempty"`
	Settle     *claim.Settle      `msgpack:"l,omitempty"`
	Jobs       *JobCommand        `msgpack:"j,omitempty"`
	DataCentre *datacentre.Order  `msgpack:"d,omitempty"`
	Lessons    *lessons.Update    `msgpack:"o,omitempty"`
}

// Ends holds the ends of attempts that an agent reports.
type Ends struct {
	Agent string      `msgpack:"a"`
	List  []lease.End `msgpack:"l"`
}

// State is the whole replicated state.
type State struct {
	Market      *market.State     `msgpack:"m"`
	Tasks       *lease.State      `msgpack:"t"`
	Members     *membership.State `msgpack:"b"`
	Claims      *claim.State      `msgpack:"c"`
	Queues      *queues.State     `msgpack:"q"`
	Jobs        *jobs.State       `msgpack:"j"`
	Waves       *upkeep.State     `msgpack:"w"`
	DataCentres *datacentre.State `msgpack:"d"`
	Lessons     *lessons.State    `msgpack:"o"`
	Clock       int64             `msgpack:"k"` // milliseconds since 1970
	Index       uint64            `msgpack:"i"` // of the last applied entry
}

// NewState returns the empty state.
func NewState() *State {
	return &State{Market: market.NewState(), Tasks: lease.NewState(), Members: membership.NewState(), Claims: claim.NewState(),
		Queues: &queues.State{}, Jobs: jobs.NewState(), Waves: upkeep.NewState(), DataCentres: datacentre.NewState(), Lessons: lessons.NewState()}
}

// applied is the result of a command as returned to the proposer.
type applied struct {
	value any
	err   error
}

// Apply applies one command. It is deterministic.
func (s *State) Apply(index uint64, c Command) (any, error) {
	s.Index = index
	s.Clock = max(s.Clock, c.Now)
	switch {
	case c.Change != nil:
		return s.Market.Apply(*c.Change)
	case c.Submit != nil:
		return s.Tasks.ApplySubmit(*c.Submit, s.job(c.Submit.Market, c.Submit.Job), s.Clock)
	case c.Cancel != nil:
		return s.Tasks.ApplyCancel(*c.Cancel, s.Clock), nil
	case c.Plan != nil:
		return s.Tasks.ApplyPlan(*c.Plan, s.limits(), s.Clock), nil
	case c.Announce != nil:
		s.announce(*c.Announce, index)
	case c.Moves != nil:
		s.move(c.Moves, index)
	case c.Ends != nil:
		for _, e := range c.Ends.List {
			s.Tasks.ApplyEnd(c.Ends.Agent, e, s.Clock)
		}
	case c.Claim != nil:
		return s.Claims.ApplyClaim(*c.Claim, s.Clock)
	case c.Settle != nil:
		return s.Claims.ApplySettle(*c.Settle), nil
	case c.Jobs != nil:
		return s.applyJobs(index, c.Jobs)
	case c.DataCentre != nil:
		return s.orderDataCentre(*c.DataCentre, index)
	case c.Lessons != nil:
		s.Lessons.Apply(*c.Lessons, index)
	}
	return nil, nil
}

// orderDataCentre changes a data centre's phase. Entries and agents learn of it in the same way
// as of changes to members and to workers' orders.
func (s *State) orderDataCentre(o datacentre.Order, index uint64) (datacentre.Answer, error) {
	a, err := s.DataCentres.Apply(o, index)
	if err != nil || a.Repeated {
		return a, err
	}
	s.Members.ApplyCordon(o.Name, s.DataCentres.Cordoned(o.Name), index)
	s.Jobs.MarkDataCentreChanged(o.Name)
	return a, nil
}

func (s *State) announce(m membership.Member, index uint64) {
	m.Cordoned = s.DataCentres.Cordoned(m.DataCentre)
	if lost := s.Members.ApplyAnnounce(m, index); lost != "" {
		// The worker was restarted, which ended everything it ran before.
		s.Tasks.ApplyWorkerRestarted(m.Agent, lost, s.Clock)
	}
}

func (s *State) move(moves []membership.Move, index uint64) {
	for _, mv := range moves {
		if s.Members.ApplyMove(mv, index, s.Clock) && mv.Phase == membership.Down {
			s.Tasks.ApplyAgentLost(mv.Agent, mv.Boot, s.Clock)
		}
	}
}

func (s *State) job(marketName, name string) *market.Job {
	if v := s.Market.Markets[marketName]; v != nil {
		return v.Jobs[name]
	}
	return nil
}

// serviceReserve returns the capacity that a member's service reserves on the worker.
func (s *State) serviceReserve(m *membership.Member) resource.Vector {
	v := s.Market.Markets[m.Market]
	if v == nil || v.Services[m.Service] == nil {
		return resource.Vector{}
	}
	svc := v.Services[m.Service]
	return resource.Vector{MilliCPU: svc.MilliCPU, MemoryMB: svc.MemoryMB}
}

func (s *State) capacity(agent string) lease.AgentCapacity {
	m := s.Members.Members[agent]
	if m == nil {
		return lease.AgentCapacity{}
	}
	return s.Members.Available(agent, s.serviceReserve(m))
}

func (s *State) quota(team string) resource.Vector {
	t := s.Market.Teams.ByName[team]
	return resource.Vector{MilliCPU: t.MilliCPU, MemoryMB: t.MemoryMB}
}

func (s *State) limits() lease.Limits {
	return lease.Limits{Capacity: s.capacity, Quota: s.quota}
}

// Machine guards the state: the quorum's node applies commands, all other code only reads.
type Machine struct {
	mu    sync.RWMutex
	state *State
	// onOrdersChanged is called with the workers whose orders a command changed.
	onOrdersChanged func(workers []string)
}

// NewMachine returns a machine with an empty state.
func NewMachine() *Machine { return &Machine{state: NewState()} }

// Apply implements quorum.StateMachine.
func (m *Machine) Apply(index uint64, command []byte) any {
	var c Command
	if err := msgpack.Unmarshal(command, &c); err != nil {
		return applied{err: err}
	}
	m.mu.Lock()
	v, err := m.state.Apply(index, c)
	changed := m.state.Jobs.TakeChangedWorkers()
	m.mu.Unlock()
	if m.onOrdersChanged != nil {
		m.onOrdersChanged(changed)
	}
	return applied{v, err}
}

// Snapshot implements quorum.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return msgpack.Marshal(m.state)
}

// Restore implements quorum.StateMachine.
func (m *Machine) Restore(data []byte) error {
	s := NewState()
	if err := msgpack.Unmarshal(data, s); err != nil {
		return err
	}
	s.Tasks.Rebuild()
	s.Jobs.Rebuild()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = s
	return nil
}

// Read calls f with the state, which f must neither modify nor retain.
func (m *Machine) Read(f func(*State)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f(m.state)
}
