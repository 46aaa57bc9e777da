package datacentre

import (
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// An operator takes a data centre out of service and brings it back. The answer to the first order
// is lost, and a copy of that order, based on a revision before the return, arrives last through
// another replica. It must not take the data centre out of service again: nothing would start there
// although no operator wants that.
func TestSupersededOrderChangesNothing(t *testing.T) {
	s := NewState()
	out, err := s.Apply(Order{Name: "hall-a", Phase: Cordoned, ID: "o-1"}, 5)
	if err != nil || out.Revision != 5 || !s.Cordoned("hall-a") || s.Draining("hall-a") {
		t.Fatalf("%+v %v", out, err)
	}
	if _, err := s.Apply(Order{Name: "hall-a", Phase: InService, ID: "o-2", Base: 5}, 6); err != nil {
		t.Fatal(err)
	}
	for _, base := range []uint64{0, 5} {
		_, err := s.Apply(Order{Name: "hall-a", Phase: Draining, Base: base}, 7)
		if e, ok := refusal.Of(err); !ok || e.Code != refusal.Conflict || e.Revision != 6 || e.LastChange != "o-2" {
			t.Errorf("an order based on revision %d: %v", base, err)
		}
	}
	again, err := s.Apply(Order{Name: "hall-a", Phase: Cordoned, ID: "o-1"}, 8)
	if err != nil || !again.Repeated || again.Revision != 5 {
		t.Errorf("the first order sent again: %+v %v", again, err)
	}
	if _, err := s.Apply(Order{Name: "hall-a", Phase: Draining, ID: "o-1", Base: 6}, 9); !refusal.Is(err, refusal.ChangeReused) {
		t.Errorf("another order under a used id: %v", err)
	}
	if s.Cordoned("hall-a") {
		t.Error("the data centre is out of service again")
	}
}

// An order that leaves the phase unchanged also raises the revision: an order that is based on the
// revision before it is out of date.
func TestOrderWithoutEffectSupersedesEarlierOnes(t *testing.T) {
	s := NewState()
	if _, err := s.Apply(Order{Name: "hall-a", Phase: InService}, 3); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Apply(Order{Name: "hall-a", Phase: Cordoned}, 4); !refusal.Is(err, refusal.Conflict) {
		t.Errorf("an order based on the revision before it: %v", err)
	}
}

// An order without an ID is sent to several replicas until one answers. Copies that arrive after the
// first one has taken effect must get the same answer.
func TestCopiesOfAnOrderWithoutAnIDAreAcknowledged(t *testing.T) {
	s := NewState()
	for i := range 3 {
		a, err := s.Apply(Order{Name: "hall-a", Phase: Cordoned}, uint64(5+i))
		if err != nil || a.Revision != 5 || a.Repeated != (i > 0) {
			t.Fatalf("copy %d: %+v %v", i, a, err)
		}
	}
}

// The orders kept are bounded, and a repetition of one no longer kept must have no effect.
func TestDroppedOrderFailsOnItsBase(t *testing.T) {
	s := NewState()
	for i := range 3 * maxApplied {
		o := Order{Name: "hall-a", Phase: Phase(i % 2), ID: fmt.Sprint(i), Base: uint64(i)}
		if _, err := s.Apply(o, uint64(i+1)); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(s.Of("hall-a").Applied); n != maxApplied {
		t.Errorf("%d orders are kept", n)
	}
	if _, err := s.Apply(Order{Name: "hall-a", Phase: Cordoned, ID: "0"}, 1000); !refusal.Is(err, refusal.Conflict) {
		t.Errorf("an order that is no longer kept: %v", err)
	}
}

// Orders of any kind, on any base, in any sequence: the phase must be that of the newest applied
// order, and the revision must never decrease.
func TestPhaseIsThatOfTheNewestOrder(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(1)
	properties := gopter.NewProperties(p)
	properties.Property("phase", prop.ForAll(func(orders []int) bool {
		s := NewState()
		phase, revision := InService, uint64(0)
		for i, n := range orders {
			o := Order{Name: "hall-a", Phase: Phase(n % 3), Base: uint64(n / 3 % 8)}
			if n/24%2 == 0 {
				o.Base = revision
			}
			if n/48%2 == 0 {
				o.ID = fmt.Sprint("o-", n/96%5)
			}
			a, err := s.Apply(o, uint64(i+1))
			if err == nil && !a.Repeated {
				phase, revision = o.Phase, uint64(i+1)
			}
			if c := s.Of("hall-a"); c.Phase != phase || c.Revision != revision {
				return false
			}
		}
		return true
	}, gen.SliceOfN(40, gen.IntRange(0, 479))))
	properties.TestingRun(t)
}
