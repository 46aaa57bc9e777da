package control

import (
	"testing"

	"github.com/waxwinghaven/waxwinghaven/settings"
)

// Guards against a switch that is read from the settings and has no effect.
func TestConcurrentSyncIsPassedToTheLog(t *testing.T) {
	for _, on := range []bool{false, true} {
		r := &Replica{set: &settings.Settings{Control: &settings.Control{ConcurrentSync: on}}}
		if got := r.nodeOptions().ConcurrentSync; got != on {
			t.Errorf("concurrent_sync = %v, the log gets %v", on, got)
		}
	}
}
