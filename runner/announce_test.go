package runner

import (
	"errors"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

func (b *bench) beat(service string, sequence uint64, draining bool) error {
	return b.runner.Announce(Announcement{Worker: "w1", Service: service, Capacity: resource.Vector{MilliCPU: 1000, MemoryMB: 1000}, Draining: draining, Sequence: sequence})
}

// Something else writes one heartbeat under the worker's own name, with a number far
// ahead, or for another service. Were it taken, the worker's true heartbeats would be
// stale for days: its leaving would be acknowledged and not known, and tasks be started
// on it until it is gone.
func TestStrangeHeartbeatDoesNotSilenceTheWorker(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		if err := b.beat("vault", 1<<40, false); !errors.Is(err, ErrDoubted) {
			t.Errorf("a number far ahead got %v", err)
		}
		if err := b.beat("elsewhere", b.seq+1, true); !errors.Is(err, ErrDoubted) {
			t.Errorf("another service got %v", err)
		}
		b.ctl.give(startOf(runA1))
		time.Sleep(time.Second)
		if !b.worker.isRunning(runA1) {
			t.Error("a strange heartbeat kept a run from its start")
		}
		if err := b.announce("w1", true); err != nil {
			t.Errorf("the worker's own heartbeat got %v", err)
		}
		runB1 := runKey{jobs.Ref{Job: "00000000000000bb"}, 1}
		b.ctl.give(startOf(runB1))
		time.Sleep(time.Second)
		if b.worker.isRunning(runB1) {
			t.Error("a run was started on a worker that leaves")
		}
	})
}

// The very first heartbeat was the strange one, or the worker's numbers did jump. Two
// that agree with each other are the worker's own: it must not be shut out for good.
func TestTwoHeartbeatsThatAgreeAreBelieved(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		for i, want := range []error{ErrDoubted, nil, nil} {
			if err := b.beat("vault", 1<<40+uint64(i), i == 2); !errors.Is(err, want) {
				t.Errorf("heartbeat %d after the jump got %v", i, err)
			}
		}
		if err := b.beat("vault", 1<<40+1, false); !errors.Is(err, ErrStale) {
			t.Errorf("a late heartbeat got %v", err)
		}
	})
}

// Something announces a worker that doesn't stand here, before the true one does. It must
// not be registered: tasks would be placed on a worker that nobody ever reaches.
func TestWorkerThatIsNotThereIsNotRegistered(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		b.stop()
		b.begin()
		if err := b.runner.Announce(Announcement{Worker: "nobody", Service: "vault", Sequence: 1}); !errors.Is(err, ErrNotThere) {
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

// goneMeanwhile is a worker whose incarnation of before is taken for gone while the next one
// is asked whether it stands there.
type goneMeanwhile struct {
	Worker
	runner *Runner
}

func (w *goneMeanwhile) Hold(HoldCall) (HoldReply, error) {
	w.runner.mu.Lock()
	defer w.runner.mu.Unlock()
	w.runner.newest = nil
	return HoldReply{Reply: Reply{Verdict: VerdictDone}}, nil
}

// Guards against a worker that isn't served until its next heartbeat, since the session with
// the incarnation before ended while the first one was looked at.
func TestAHeartbeatCountsThoughTheOldSessionEndsMeanwhile(t *testing.T) {
	w := &goneMeanwhile{}
	w.runner = New("a", nil, w, time.Second)
	w.runner.newest = &Announcement{Worker: "w1", Service: "vault", Sequence: 7}
	if err := w.runner.Announce(Announcement{Worker: "w2", Service: "vault", Sequence: 1}); err != nil {
		t.Fatal(err)
	}
	if got := w.runner.Newest().Worker; got != "w2" {
		t.Errorf("the newest worker is %q, want w2", got)
	}
}
