// Package datacentre records which data centres operators have taken out of service for maintenance.
// State is a pure state machine under the quorum's log: an order is acknowledged only after its
// commit, and survives changes of the leader.
package datacentre

import (
	"fmt"
	"maps"
	"slices"

	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// Phase is the service state of a data centre.
type Phase uint8

// The phases.
const (
	InService Phase = iota
	// Cordoned: nothing new is started there. What runs continues until it ends.
	Cordoned
	// Draining: cordoned, and standing tasks move to other data centres as far as free capacity
	// and their callers' limits on unavailable tasks allow.
	Draining
)

var phaseNames = [...]string{"in-service", "cordoned", "draining"}

// String returns the phase's name.
func (p Phase) String() string {
	if int(p) >= len(phaseNames) {
		return fmt.Sprintf("phase-%d", uint8(p))
	}
	return phaseNames[p]
}

// ParsePhase returns the phase with this name.
func ParsePhase(name string) (Phase, error) {
	if i := slices.Index(phaseNames[:], name); i >= 0 {
		return Phase(i), nil
	}
	return 0, refusal.New(refusal.Invalid, "use in-service, cordoned or draining", "%q is not a phase of a data centre", name)
}

// Order requests a phase for a data centre.
type Order struct {
	Name  string `msgpack:"n"`
	Phase Phase  `msgpack:"p"`
	// ID identifies the order. An order sent again under its ID gets the same answer and takes
	// effect only once. It is "" if the sender gives none.
	ID string `msgpack:"i,omitempty"`
	// Base is the revision of the data centre that the order is based on. An order whose base
	// has been superseded is refused, however late it arrives.
	Base uint64 `msgpack:"b"`
	// AtMS is the time at which the leader received the order, in milliseconds since 1970. It is
	// only displayed.
	AtMS int64 `msgpack:"a"`
}

// Answer is the result of an order.
type Answer struct {
	Revision uint64 `msgpack:"r" json:"revision"`
	// Repeated is set if the order had already taken effect.
	Repeated bool `msgpack:"p,omitempty" json:"repeated,omitempty"`
}

// appliedOrder is an order that has taken effect, kept to recognise repetitions.
type appliedOrder struct {
	ID       string `msgpack:"i"`
	Phase    Phase  `msgpack:"p"`
	Revision uint64 `msgpack:"r"`
}

// Centre is one data centre that has received an order.
type Centre struct {
	Phase Phase `msgpack:"p"`
	// Revision is the log index of the newest order. It rises with every order, even one that
	// leaves the phase unchanged: an older order for another phase that arrives later was meant
	// to take effect before it.
	Revision uint64 `msgpack:"r"`
	// Order is the ID of the order that set the phase, "" if it had none, and SinceMS the time
	// of that order, in milliseconds since 1970.
	Order   string         `msgpack:"o,omitempty"`
	SinceMS int64          `msgpack:"s,omitempty"`
	Applied []appliedOrder `msgpack:"t,omitempty"` // newest last
}

// maxApplied bounds the orders kept per data centre. An older one that is sent again is refused
// because of its base.
const maxApplied = 64

// State is the service state of all data centres that have received orders, by name.
type State struct {
	Centres map[string]*Centre `msgpack:"c"`
}

// NewState returns the state in which all data centres are in service.
func NewState() *State { return &State{Centres: make(map[string]*Centre)} }

// Of returns a data centre's service state. One without orders is in service.
func (s *State) Of(name string) Centre {
	if s != nil {
		if c := s.Centres[name]; c != nil {
			return *c
		}
	}
	return Centre{}
}

// Cordoned reports whether nothing new may be started in a data centre.
func (s *State) Cordoned(name string) bool { return s.Of(name).Phase != InService }

// Draining reports whether standing tasks have to leave a data centre.
func (s *State) Draining(name string) bool { return s.Of(name).Phase == Draining }

// Out returns the names of the data centres that are out of service, in alphabetical order.
func (s *State) Out() []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(s.Centres)) {
		if s.Cordoned(name) {
			out = append(out, name)
		}
	}
	return out
}

// Apply executes an order committed at a log index. It refuses an order whose base has been
// superseded, and one whose ID was used for a different order.
func (s *State) Apply(o Order, index uint64) (Answer, error) {
	c := s.Of(o.Name)
	if o.ID != "" {
		if i := slices.IndexFunc(c.Applied, func(t appliedOrder) bool { return t.ID == o.ID }); i >= 0 {
			return answerRepeated(c.Applied[i], o)
		}
	}
	switch {
	case c.Revision == o.Base:
	case o.ID == "" && c.Phase == o.Phase:
		return Answer{Revision: c.Revision, Repeated: true}, nil
	default:
		e := refusal.New(refusal.Conflict, "read the present state and send a new order based on it",
			"the order builds on revision %d of data centre %s, but order %q made it %d", o.Base, o.Name, c.Order, c.Revision)
		e.LastChange, e.Revision = c.Order, c.Revision
		return Answer{}, e
	}
	s.Centres[o.Name] = c.withOrder(o, index)
	return Answer{Revision: index}, nil
}

// answerRepeated answers an order whose ID has already been used.
func answerRepeated(t appliedOrder, o Order) (Answer, error) {
	if t.Phase != o.Phase {
		return Answer{}, refusal.New(refusal.ChangeReused, "give every new order an id of its own", "order id %q was used for another order", o.ID)
	}
	return Answer{Revision: t.Revision, Repeated: true}, nil
}

// withOrder returns the data centre after an order, as a copy, since readers may still hold the old
// one.
func (c Centre) withOrder(o Order, index uint64) *Centre {
	if c.Phase != o.Phase || c.Revision == 0 {
		c.Order, c.SinceMS = o.ID, o.AtMS
	}
	c.Phase, c.Revision = o.Phase, index
	if o.ID != "" {
		kept := c.Applied[max(0, len(c.Applied)+1-maxApplied):]
		c.Applied = append(slices.Clone(kept), appliedOrder{ID: o.ID, Phase: o.Phase, Revision: index})
	}
	return &c
}
