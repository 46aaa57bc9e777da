package daemon

import (
	"runtime"
	"testing"

	"github.com/waxwinghaven/waxwinghaven/settings"
)

// On an instance with one processor, agents and followers hear nothing of a leader that syncs its
// disk: it must have a second one to schedule on.
func TestControlServesWhileItsDiskSyncs(t *testing.T) {
	had := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(had) })
	set, err := settings.Parse("test", `
[instance]
name = "control-1"
data_centre = "north"
ip = "127.0.0.1"
[peers]
seeds = ["127.0.0.1:7301"]
[control]
port = 7301
operator_port = 7302
data_folder = "`+t.TempDir()+`"
`)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := controlRole(set); err != nil {
		t.Fatal(err)
	}
	if n := runtime.GOMAXPROCS(0); n < 2 {
		t.Errorf("%d processors", n)
	}
}
