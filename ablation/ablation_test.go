package ablation

import (
	"strings"
	"testing"

	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// A program that says it was built without a mechanism but has it would measure nothing.
func TestEachNameLeavesOutOneMechanism(t *testing.T) {
	if s := Linked(); s != (Set{}) {
		t.Fatalf("a plain build leaves out %+v", s)
	}
	seen := make(map[Set]string)
	for _, name := range Names() {
		s, err := Without(name)
		if err != nil || s == (Set{}) {
			t.Errorf("%s: %+v, %v", name, s, err)
		}
		if other, twice := seen[s]; twice {
			t.Errorf("%s leaves out the same as %s", name, other)
		}
		seen[s] = name
	}
	_, err := Without("Copes")
	if !refusal.Is(err, refusal.Invalid) || !strings.Contains(err.Error(), "Copies") {
		t.Errorf("a wrong name gets %v", err)
	}
}
