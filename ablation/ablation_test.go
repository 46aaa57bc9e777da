package ablation

import (
	"strings"
	"testing"

	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// If two names, or no name, disabled a mechanism, an experiment would measure something
// other than it claims. Each name must disable exactly one, and a plain build none.
func TestEachNameLeavesOutOneMechanism(t *testing.T) {
	if s := Linked(); s != (Set{}) {
		t.Fatalf("a plain build disables %+v", s)
	}
	seen := make(map[Set]string)
	for _, name := range Names() {
		s, err := Without(name)
		if err != nil || s == (Set{}) {
			t.Errorf("%s: %+v, %v", name, s, err)
		}
		if other, twice := seen[s]; twice {
			t.Errorf("%s disables the same as %s", name, other)
		}
		seen[s] = name
	}
	_, err := Without("Copes")
	if !refusal.Is(err, refusal.Invalid) || !strings.Contains(err.Error(), "Copies") {
		t.Errorf("an unknown name gets %v", err)
	}
}
