package daemon

import (
	"runtime"
	"testing"

	"github.com/waxwinghaven/waxwinghaven/settings"
)

// With GOMAXPROCS=1 a leader sends no heartbeats and answers no agents while it syncs its disk.
// A control replica must raise it to at least two.
func TestControlServesWhileItsDiskSyncs(t *testing.T) {
	previous := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(previous) })
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
