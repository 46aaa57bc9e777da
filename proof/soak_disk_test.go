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
)

// soakDiskEnv names the file that tells a control replica of a soak how slow its disk is. A
// process of this test's program that has it is such a replica.
const soakDiskEnv = "WAXWINGHAVEN_SOAK_DISK"

func TestMain(m *testing.M) {
	if path := os.Getenv(soakDiskEnv); path != "" {
		runWithSlowDisk(os.Args[len(os.Args)-1], path)
		return
	}
	os.Exit(m.Run())
}

// runWithSlowDisk runs the roles of a settings file as the shipped program does, on a disk whose
// syncs take as long as a file says.
func runWithSlowDisk(path, disk string) {
	set, err := settings.Load(path)
	if err != nil {
		logrus.Fatal(err)
	}
	daemon.SetupLog(set.Log)
	quorum.WatchSyncs(slowDisk(disk))
	if err := daemon.Run(daemon.SignalContext(), set); err != nil {
		logrus.Errorf("daemon: %v.", err)
		daemon.FlushLog()
		os.Exit(daemon.ExitFailed)
	}
	daemon.FlushLog()
}

// slowDisk names a file with the time that each sync takes longer; without the file it is none.
type slowDisk string

// File implements quorum.SyncWatch.
func (d slowDisk) File(string, int64) {
	b, err := os.ReadFile(string(d))
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	by, err := time.ParseDuration(string(b))
	if err != nil {
		return // it is being written
	}
	time.Sleep(by)
}

// Folder implements quorum.SyncWatch.
func (d slowDisk) Folder(string) {}

// slowDisks makes the disks of some replicas slow for a while.
func (s *soak) slowDisks() func() {
	list, d, by := s.someControls(1+s.rng.Intn(len(s.controls))), s.draw(2, 10), s.draw(0.01, 0.6)
	return func() {
		s.note("syncs take %v longer for %v: %s", by, d, namesOf(list))
		for _, p := range list {
			if err := os.WriteFile(s.diskOf(p.name), []byte(by.String()), 0o600); err != nil {
				s.t.Error(err)
			}
		}
		time.Sleep(d)
		for _, p := range list {
			if err := os.Remove(s.diskOf(p.name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
				s.t.Error(err)
			}
		}
		s.note("syncs are quick again: %s", namesOf(list))
	}
}
