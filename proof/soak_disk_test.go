package proof

import (
	"errors"
	"io/fs"
	"os"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/daemon"
	"github.com/waxwinghaven/waxwinghaven/quorum"
	"github.com/waxwinghaven/waxwinghaven/settings"
	"github.com/waxwinghaven/waxwinghaven/transport"
)

// soakDiskEnv is the environment variable with the path of the file that sets the sync delay of a
// control replica. A process of the test binary that has it set is such a replica.
const soakDiskEnv = "WAXWINGHAVEN_SOAK_DISK"

func TestMain(m *testing.M) {
	settingsPath := os.Args[len(os.Args)-1]
	if path := os.Getenv(soakDiskEnv); path != "" {
		quorum.ObserveSyncs(slowDisk(path))
		runDaemon(settingsPath)
		return
	}
	if relay := os.Getenv(soakRelayEnv); relay != "" {
		transport.SetNetwork(relayedNetwork{relay})
		runDaemon(settingsPath)
		return
	}
	os.Exit(m.Run())
}

// runDaemon runs the roles of a settings file as the released program does.
func runDaemon(path string) {
	set, err := settings.Load(path)
	if err != nil {
		logrus.Fatal(err)
	}
	daemon.SetupLog(set.Log)
	if err := daemon.Run(daemon.SignalContext(), set); err != nil {
		logrus.Errorf("daemon: %v.", err)
		daemon.FlushLog()
		os.Exit(daemon.ExitFailed)
	}
	daemon.FlushLog()
}

// slowDisk is the path of a file that holds the additional duration of each sync. Without the
// file there is no delay.
type slowDisk string

// File implements quorum.SyncObserver.
func (d slowDisk) File(string, int64) {
	b, err := os.ReadFile(string(d))
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	delay, err := time.ParseDuration(string(b))
	if err != nil {
		return // the file is being written
	}
	time.Sleep(delay)
}

// Folder implements quorum.SyncObserver.
func (d slowDisk) Folder(string) {}

// slowSomeDisks delays the syncs of some replicas for a while.
func (s *soak) slowSomeDisks() func() {
	list, d, delay := s.drawControls(1+s.rng.Intn(len(s.controls))), s.drawTime(2, 10), s.drawTime(0.01, 0.6)
	return func() {
		s.logf("syncs take %v longer for %v: %s", delay, d, namesOf(list))
		for _, p := range list {
			if err := os.WriteFile(s.diskDelayFile(p.name), []byte(delay.String()), 0o600); err != nil {
				s.t.Error(err)
			}
		}
		time.Sleep(d)
		for _, p := range list {
			if err := os.Remove(s.diskDelayFile(p.name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
				s.t.Error(err)
			}
		}
		s.logf("syncs are no longer delayed: %s", namesOf(list))
	}
}
