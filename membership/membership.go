// Package membership tracks the members of the system: the agents, the workers and upstreams
// beside them, and whether each may receive work. State is a deterministic state machine under
// the quorum's log; heartbeats are not written to the log.
package membership

import (
	"net/netip"
	"sort"

	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

// Phase is the state of a member.
type Phase string

// The phases of members.
const (
	Up          Phase = "up"
	Leaving     Phase = "leaving"     // withdrew its announcement, or its agent drains
	Down        Phase = "down"        // its lease ended without a renewal
	Quarantined Phase = "quarantined" // fails far more than its peers
)

// Member is an agent with the worker and the upstream beside it.
type Member struct {
	Agent      string `msgpack:"a" json:"agent"`
	Address    string `msgpack:"d" json:"address"` // of the agent, for entries
	DataCentre string `msgpack:"c" json:"data_centre"`
	Rack       string `msgpack:"r" json:"rack"`
	// Boot changes with every start of the worker: what ran under another boot has ended.
	Boot     string          `msgpack:"b" json:"boot"`
	Capacity resource.Vector `msgpack:"v" json:"capacity"`
	Market   string          `msgpack:"m" json:"market"`
	Service  string          `msgpack:"s" json:"service"`
	Slots    int             `msgpack:"l" json:"slots"`
	// Conns bounds the connections to the upstream.
	Conns int `msgpack:"n" json:"connections"`
	// Withdrawn is set if the member is to get no more work.
	Withdrawn bool `msgpack:"w,omitempty" json:"withdrawn,omitempty"`
	// Evacuate is set if the instance itself is leaving, so that its tasks have to be saved and
	// moved. An agent that is only being restarted leaves it unset: its tasks continue under
	// their lease.
	Evacuate bool `msgpack:"u,omitempty" json:"evacuate,omitempty"`

	// Cordoned is set if the data centre is out of service: it gets no requests and no tasks.
	// The log decides it, not the announcement.
	Cordoned bool `msgpack:"x,omitempty" json:"cordoned,omitempty"`

	Phase    Phase  `msgpack:"p" json:"phase"`
	Reason   string `msgpack:"e,omitempty" json:"reason,omitempty"`
	Revision uint64 `msgpack:"i" json:"revision"` // log index of the last change
	// DownSince is in milliseconds of the log's clock; 0 if the member is not down.
	DownSince int64 `msgpack:"t,omitempty" json:"down_since_ms,omitempty"`
}

// announced returns the member with only those fields that its own announcement determines.
func (m Member) announced() Member {
	m.Phase, m.Reason, m.Revision, m.DownSince, m.Cordoned = "", "", 0, 0, false
	return m
}

// SameAnnouncement reports whether m and o agree in all fields that announcements determine.
func (m Member) SameAnnouncement(o Member) bool { return m.announced() == o.announced() }

// Validate checks an announcement. The error is a refusal of code Invalid.
func (m Member) Validate() error {
	invalid := func(format string, args ...any) error {
		return refusal.New(refusal.Invalid, "correct the agent's settings or the upstream's announcement", format, args...)
	}
	if m.Agent == "" || m.Boot == "" {
		return invalid("the announcement names no agent or no boot")
	}
	if _, err := netip.ParseAddrPort(m.Address); err != nil {
		return invalid("agent address %q is not an IP number and port", m.Address)
	}
	if m.Slots < 0 || m.Conns < 0 || m.Capacity.MilliCPU < 0 || m.Capacity.MemoryMB < 0 || m.Capacity.Accelerators < 0 {
		return invalid("the announcement has a negative capacity, slot count or connection count")
	}
	return nil
}

// Move changes the phase of a member.
type Move struct {
	Agent  string `msgpack:"a"`
	Boot   string `msgpack:"b"` // the move is void if the member has another boot
	Phase  Phase  `msgpack:"p"`
	Reason string `msgpack:"r"`
}

// State holds all members by agent.
type State struct {
	Members map[string]*Member `msgpack:"m"`
}

// NewState returns an empty state.
func NewState() *State { return &State{Members: make(map[string]*Member)} }

// ApplyAnnounce applies an announcement at a log index. It returns the boot that it replaces,
// whose tasks are lost, or "".
func (s *State) ApplyAnnounce(m Member, index uint64) (lostBoot string) {
	old := s.Members[m.Agent]
	m.Phase, m.Reason, m.Revision, m.DownSince = Up, "", index, 0
	if m.Withdrawn {
		m.Phase, m.Reason = Leaving, "the upstream withdrew"
	}
	if old != nil && old.Phase == Quarantined && old.Boot == m.Boot {
		// A repeated announcement must not end a quarantine: a worker that fails all its work
		// would be back within a second.
		m.Phase, m.Reason = old.Phase, old.Reason
	}
	s.Members[m.Agent] = &m
	if old != nil && old.Boot != m.Boot {
		return old.Boot
	}
	return ""
}

// downRetention is how long a member that is down is kept, in milliseconds of the log's clock.
// Instances are replaced under new names, 170 a day at the size designed for, so without this
// limit the list would grow without bound.
const downRetention = 24 * 3600 * 1000

// removeExpired removes the members that have been down for longer than downRetention.
func (s *State) removeExpired(now int64) {
	for agent, m := range s.Members {
		if m.Phase == Down && m.DownSince > 0 && now-m.DownSince > downRetention {
			delete(s.Members, agent)
		}
	}
}

// ApplyMove changes a member's phase and reports whether it did. A move for another boot or to
// the present phase has no effect. now is the log's clock in milliseconds.
func (s *State) ApplyMove(mv Move, index uint64, now int64) bool {
	s.removeExpired(now)
	m := s.Members[mv.Agent]
	if m == nil || m.Boot != mv.Boot || m.Phase == mv.Phase {
		return false
	}
	next := *m
	next.Phase, next.Reason, next.Revision, next.DownSince = mv.Phase, mv.Reason, index, 0
	if mv.Phase == Down {
		next.DownSince = now
	}
	s.Members[mv.Agent] = &next
	return true
}

// ApplyCordon takes the members of a data centre out of service, or returns them to it.
func (s *State) ApplyCordon(dataCentre string, cordoned bool, index uint64) {
	for agent, m := range s.Members {
		if m.DataCentre != dataCentre || m.Cordoned == cordoned {
			continue
		}
		next := *m
		next.Cordoned, next.Revision = cordoned, index
		s.Members[agent] = &next
	}
}

// Available returns what a member can offer to tasks: its boot, its capacity less what is
// reserved, and whether it accepts tasks. An unknown member gives the zero lease.AgentCapacity.
func (s *State) Available(agent string, reserved resource.Vector) lease.AgentCapacity {
	m := s.Members[agent]
	if m == nil {
		return lease.AgentCapacity{}
	}
	return lease.AgentCapacity{Boot: m.Boot, Total: m.Capacity.Sub(reserved), Schedulable: m.Phase == Up && !m.Cordoned}
}

// ChangedSince returns the members that changed after a log index, ordered by agent.
func (s *State) ChangedSince(index uint64) []*Member {
	var out []*Member
	for _, m := range s.Members {
		if m.Revision > index {
			out = append(out, m)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Agent < out[j].Agent })
	return out
}
