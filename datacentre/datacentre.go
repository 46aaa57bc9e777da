// Package datacentre holds which data centres operators have taken out of service, so
// that they can be worked on. State is a pure state machine under the quorum's log: an
// order is acknowledged after its commit only, and outlives every leader.
package datacentre

import (
	"fmt"
	"maps"
	"slices"

	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// Phase is how far a data centre is in service.
type Phase uint8

// The phases.
const (
	InService Phase = iota
	// Cordoned: nothing new begins there. What runs goes on until it ends.
	Cordoned
	// Draining: cordoned, and standing tasks move to other data centres, as far as
	// there is room and their callers can spare them.
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

// ParsePhase reads a phase's name.
func ParsePhase(name string) (Phase, error) {
	if i := slices.Index(phaseNames[:], name); i >= 0 {
		return Phase(i), nil
	}
	return 0, refusal.New(refusal.Invalid, "use in-service, cordoned or draining", "%q is not a phase of a data centre", name)
}

// Order asks for a data centre's phase.
type Order struct {
	Name  string `msgpack:"n"`
	Phase Phase  `msgpack:"p"`
	// ID names the order: sent again under it, it is answered as the first time and
	// takes no effect twice. It is "" for an order whose sender gives it none.
	ID string `msgpack:"i,omitempty"`
	// Base is the revision of the data centre that the order builds on. One that has
	// been overtaken by another is refused, however late it comes.
	Base uint64 `msgpack:"b"`
	// AtMS is when the leader took the order, in milliseconds since 1970. It is only
	// shown.
	AtMS int64 `msgpack:"a"`
}

// Answer is what an order did.
type Answer struct {
	Revision uint64 `msgpack:"r" json:"revision"`
	// Repeated says that it had taken effect before.
	Repeated bool `msgpack:"p,omitempty" json:"repeated,omitempty"`
}

// taken is an order that is remembered.
type taken struct {
	ID       string `msgpack:"i"`
	Phase    Phase  `msgpack:"p"`
	Revision uint64 `msgpack:"r"`
}

// Centre is one data centre that some order was about.
type Centre struct {
	Phase Phase `msgpack:"p"`
	// Revision is the log index of the newest order. It rises with each, also with one
	// that leaves the phase as it is: an older order of the other kind that is still on
	// its way was meant for before it.
	Revision uint64 `msgpack:"r"`
	// Order names the order that brought the phase, "" if it had no name, and SinceMS is
	// when that was.
	Order   string  `msgpack:"o,omitempty"`
	SinceMS int64   `msgpack:"s,omitempty"`
	Taken   []taken `msgpack:"t,omitempty"` // the newest last
}

// maxTaken bounds the orders that are remembered for each data centre. An older one that
// is sent again fails on its base.
const maxTaken = 64

// State is all data centres that orders were about, by name.
type State struct {
	Centres map[string]*Centre `msgpack:"c"`
}

// NewState returns the state in which all are in service.
func NewState() *State { return &State{Centres: make(map[string]*Centre)} }

// Of returns what is known of a data centre.
func (s *State) Of(name string) Centre {
	if s != nil {
		if c := s.Centres[name]; c != nil {
			return *c
		}
	}
	return Centre{}
}

// Cordoned reports whether nothing new may begin in a data centre.
func (s *State) Cordoned(name string) bool { return s.Of(name).Phase != InService }

// Draining reports whether standing tasks are to leave a data centre.
func (s *State) Draining(name string) bool { return s.Of(name).Phase == Draining }

// Out returns the names of the data centres that are out of service, in order.
func (s *State) Out() []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(s.Centres)) {
		if s.Cordoned(name) {
			out = append(out, name)
		}
	}
	return out
}

// Apply makes an order take effect.
func (s *State) Apply(o Order, index uint64) (Answer, error) {
	c := s.Of(o.Name)
	if o.ID != "" {
		if i := slices.IndexFunc(c.Taken, func(t taken) bool { return t.ID == o.ID }); i >= 0 {
			return repeated(c.Taken[i], o)
		}
	}
	switch {
	case c.Revision == o.Base:
	case o.ID == "" && c.Phase == o.Phase:
		return Answer{Revision: c.Revision, Repeated: true}, nil
	default:
		e := refusal.New(refusal.Conflict, "read the present state and send a new order based on it",
			"the order builds on revision %d of data centre %s, but order %q made it %d", o.Base, o.Name, c.Order, c.Revision)
		e.Winner, e.Revision = c.Order, c.Revision
		return Answer{}, e
	}
	s.Centres[o.Name] = c.after(o, index)
	return Answer{Revision: index}, nil
}

// repeated answers an order that was taken before.
func repeated(t taken, o Order) (Answer, error) {
	if t.Phase != o.Phase {
		return Answer{}, refusal.New(refusal.ChangeReused, "give every new order an id of its own", "order id %q was used for another order", o.ID)
	}
	return Answer{Revision: t.Revision, Repeated: true}, nil
}

// after returns what an order makes of a data centre. Readers may still hold the old one.
func (c Centre) after(o Order, index uint64) *Centre {
	if c.Phase != o.Phase || c.Revision == 0 {
		c.Order, c.SinceMS = o.ID, o.AtMS
	}
	c.Phase, c.Revision = o.Phase, index
	if o.ID != "" {
		kept := c.Taken[max(0, len(c.Taken)+1-maxTaken):]
		c.Taken = append(slices.Clone(kept), taken{ID: o.ID, Phase: o.Phase, Revision: index})
	}
	return &c
}
