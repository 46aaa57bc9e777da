package runner

import (
	"errors"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

func (b *bench) heartbeat(service string, sequence uint64, draining bool) error {
	return b.runner.Announce(Announcement{Worker: "w1", Service: service, Capacity: resource.Vector{MilliCPU: 1000, MemoryMB: 1000}, Draining: draining, Sequence: sequence})
}

// Guards against a foreign heartbeat under the worker's id, with a sequence far ahead or for
// another service. If it were accepted, the worker's own heartbeats would be stale for days:
// its drain would be acknowledged but not applied, and tasks would be started on it until it
// ends.
func TestForeignHeartbeatDoesNotMakeTheWorkersOwnStale(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		if err := b.heartbeat("vault", 1<<40, false); !errors.Is(err, ErrContradictory) {
			t.Errorf("a number far ahead got %v", err)
		}
		if err := b.heartbeat("elsewhere", b.seq+1, true); !errors.Is(err, ErrContradictory) {
			t.Errorf("another service got %v", err)
		}
		b.ctl.give(startOf(runA1))
		time.Sleep(time.Second)
		if !b.worker.isRunning(runA1) {
			t.Error("a foreign heartbeat prevented a start")
		}
		if err := b.announce("w1", true); err != nil {
			t.Errorf("the worker's own heartbeat got %v", err)
		}
		runB1 := runKey{jobs.Ref{Job: "00000000000000bb"}, 1}
		b.ctl.give(startOf(runB1))
		time.Sleep(time.Second)
		if b.worker.isRunning(runB1) {
			t.Error("a run was started on a draining worker")
		}
	})
}

// Guards against a worker that is shut out for good, because its first heartbeat was a foreign
// one or its own sequence jumped. Two heartbeats that agree with each other are the worker's
// own.
func TestTwoHeartbeatsThatAgreeAreAccepted(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		for i, want := range []error{ErrContradictory, nil, nil} {
			if err := b.heartbeat("vault", 1<<40+uint64(i), i == 2); !errors.Is(err, want) {
				t.Errorf("heartbeat %d after the jump got %v", i, err)
			}
		}
		if err := b.heartbeat("vault", 1<<40+1, false); !errors.Is(err, ErrStale) {
			t.Errorf("a late heartbeat got %v", err)
		}
	})
}

// Guards against the registration of a worker that was announced by another process and is not
// at the worker's address: tasks would be placed on a worker that cannot be reached.
func TestWorkerThatIsNotThereIsNotRegistered(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		b.stop()
		b.begin()
		if err := b.runner.Announce(Announcement{Worker: "nobody", Service: "vault", Sequence: 1}); !errors.Is(err, ErrOtherIncarnation) {
			t.Errorf("a worker that isn't there got %v", err)
		}
		if err := b.announce("w1", false); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Second)
		if b.ctl.known() != "w1" {
			t.Errorf("the control knows %s", b.ctl.known())
		}
	})
}

// endingWorker is a worker whose previous session ends while the new incarnation is asked for
// its identity.
type endingWorker struct {
	Worker
	runner *Runner
}

func (w *endingWorker) Hold(HoldCall) (HoldReply, error) {
	w.runner.mu.Lock()
	defer w.runner.mu.Unlock()
	w.runner.newest = nil
	return HoldReply{Reply: Reply{Verdict: VerdictDone}}, nil
}

// Guards against a worker that is not served until its second heartbeat, because the previous
// incarnation's session ended while the first one was being checked.
func TestAHeartbeatCountsThoughTheOldSessionEndsMeanwhile(t *testing.T) {
	w := &endingWorker{}
	w.runner = New("a", nil, w, time.Second)
	w.runner.newest = &Announcement{Worker: "w1", Service: "vault", Sequence: 7}
	if err := w.runner.Announce(Announcement{Worker: "w2", Service: "vault", Sequence: 1}); err != nil {
		t.Fatal(err)
	}
	if got := w.runner.Newest().Worker; got != "w2" {
		t.Errorf("the newest worker is %q, want w2", got)
	}
}
