package daemon

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/settings"
)

const agentText = `
[instance]
name = "agent-1"
data_centre = "north"
ip = "127.0.0.1"
[peers]
seeds = ["127.0.0.1:7101"]
[agent]
port = 7201
local_port = 7202
`

// The platform sends SIGHUP when the settings file has changed. A process that
// does not catch the signal is terminated: callers' requests are cut off and its
// worker's lease lapses. The signal must instead apply the new bootstrap addresses; an
// invalid file changes nothing.
func TestHangUpReloadsAndDoesNotEndTheProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "agent.toml")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(agentText)
	set, err := settings.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	hup := HangUps()
	go func() { done <- Reload(ctx, path, set, hup) }()
	write(strings.Replace(agentText, "7101", "7999", 1))
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	waitForContact(t, set, "127.0.0.1:7999")
	write("nonsense")
	time.Sleep(2 * reloadPoll)
	waitForContact(t, set, "127.0.0.1:7999")
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

func waitForContact(t *testing.T, set *settings.Settings, want string) {
	t.Helper()
	for range 200 {
		if c := set.ControlAddresses(); len(c) == 1 && c[0] == want {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("control addresses are %v, want %s", set.ControlAddresses(), want)
}
