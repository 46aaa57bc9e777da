package runner

import (
	"math"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

// Only a crash may be counted against the tasks that were running on a worker when another
// incarnation replaced it. A job that is given up for any other reason could have been
// completed, and its caller gets a wrong answer. If a crash is missed, a task that crashes
// every worker goes on.
func TestWhatProvesThatAWorkerCrashed(t *testing.T) {
	const lapse = 8 * time.Second // past the lease
	for _, c := range []struct {
		name  string
		event func(b *bench)
		want  bool
	}{
		{"its connections close", func(b *bench) {
			b.worker.failCalls(ErrClosed)
			time.Sleep(3 * time.Second)
		}, true},
		{"its connections close, and it is back after its lease has expired", func(b *bench) {
			b.worker.failCalls(ErrClosed)
			time.Sleep(lapse)
			b.ctl.forget()
			time.Sleep(time.Second)
		}, true},
		{"it stops answering and is back within its lease", func(b *bench) {
			b.worker.failCalls(errLost)
			time.Sleep(2 * time.Second)
		}, true},
		{"it is replaced between two calls", func(*bench) {}, true},
		{"it is cut off, its lease expires, and it is replaced during the partition", func(b *bench) {
			b.worker.failCalls(errLost)
			time.Sleep(lapse)
		}, false},
		{"the same, and the control no longer knows it", func(b *bench) {
			b.worker.failCalls(errLost)
			time.Sleep(lapse)
			b.ctl.forget()
			time.Sleep(time.Second)
		}, false},
		{"a connection is reset, and later it is cut off", func(b *bench) {
			b.worker.failCalls(ErrClosed)
			time.Sleep(200 * time.Millisecond)
			b.worker.failCalls(nil)
			time.Sleep(time.Second)
			b.worker.failCalls(errLost)
			time.Sleep(lapse)
		}, false},
		{"it announced its end", func(b *bench) {
			b.announce("w1", true)
			time.Sleep(time.Second)
			b.worker.failCalls(ErrClosed)
			time.Sleep(time.Second)
		}, false},
		{"its agent ended with it", func(b *bench) {
			b.worker.failCalls(ErrClosed)
			b.stop()
			b.begin()
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			withBench(t, func(t *testing.T, b *bench) {
				b.ctl.give(startOf(runA1))
				time.Sleep(400 * time.Millisecond)
				c.event(b)
				b.worker.replace("w2")
				b.seq = 0
				b.announce("w2", false)
				time.Sleep(3 * time.Second)
				if b.ctl.known() != "w2" {
					t.Fatalf("the control knows %q", b.ctl.known())
				}
				reported := b.ctl.reportedCrashes()
				if !c.want {
					if len(reported) > 0 {
						t.Fatalf("a crash was reported: %+v", reported)
					}
					return
				}
				if len(reported) != 1 || reported[0].Worker != "w1" || len(reported[0].Runs) != 1 || reported[0].Runs[0].Task != taskA {
					t.Fatalf("reported %+v, want the crash of w1 under one run", reported)
				}
				if r := reported[0].Runs[0]; r.FromMS > 400 || r.ToMS < r.FromMS {
					t.Errorf("the run had been running for %d to %d ms, want at most 400 at the last answer", r.FromMS, r.ToMS)
				}
			})
		})
	}
}

// Guards against a crash counted against a run that never began: the leader, not yet informed,
// sent the start to a worker that had just crashed.
func TestAStartAfterTheCrashIsNotCounted(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		b.ctl.give(startOf(runA1))
		time.Sleep(3 * time.Second)
		b.ctl.setNoTokens(true) // otherwise no start is sent to an unresponsive worker
		b.runner.tokens.spend(math.MaxUint64)
		b.worker.failCalls(ErrClosed)
		time.Sleep(time.Second)
		late := runKey{jobs.Ref{Job: "00000000000000bb"}, 1}
		b.ctl.give(startOf(late))
		time.Sleep(time.Second)
		b.ctl.setNoTokens(false)
		b.worker.replace("w2")
		b.seq = 0
		b.announce("w2", false)
		time.Sleep(2 * time.Second)
		reported := b.ctl.reportedCrashes()
		if len(reported) != 1 || len(reported[0].Runs) != 1 || reported[0].Runs[0].Task != taskA {
			t.Fatalf("reported %+v, want the crash under the first run only", reported)
		}
		if r := reported[0].Runs[0]; r.FromMS < 2000 || r.FromMS > 3000 || r.ToMS < 2990 || r.ToMS > 3100 {
			t.Errorf("the run had been running for %d to %d ms, want 3000", r.FromMS, r.ToMS)
		}
	})
}

// Guards against counting a crash under a start that was sent after it. A worker with a unique id
// is sent starts without a token in reserve.
func TestAStartAfterTheCrashOfAWorkerWithAUniqueIDIsNotCounted(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second) // until the session has begun
		a := Announcement{Worker: "w1", Service: "vault", Capacity: resource.Vector{MilliCPU: 900}, UniqueID: true, Sequence: 2}
		if err := b.runner.Announce(a); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		b.ctl.setNoTokens(true)
		b.runner.tokens.spend(math.MaxUint64)
		b.worker.failCalls(ErrClosed)
		time.Sleep(time.Second)
		b.ctl.give(startOf(runA1))
		time.Sleep(time.Second)
		b.ctl.setNoTokens(false)
		b.worker.replace("w2")
		a.Worker, a.Sequence = "w2", 1
		if err := b.runner.Announce(a); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		if reported := b.ctl.reportedCrashes(); b.worker.tries() == 0 || b.ctl.known() != "w2" || len(reported) > 0 {
			t.Errorf("%d starts were sent, the control knows %q and was told of %+v", b.worker.tries(), b.ctl.known(), reported)
		}
	})
}

// Guards against a crash that is lost, or reported twice, when the control is unreachable
// while the next incarnation arrives. It must be reported once, with the first registration
// that succeeds.
func TestACrashIsReportedWhenTheControlIsBack(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		b.ctl.give(startOf(runA1))
		time.Sleep(time.Second)
		b.ctl.setDown(true)
		b.worker.failCalls(ErrClosed)
		time.Sleep(3 * time.Second)
		b.worker.replace("w2")
		b.seq = 0
		b.announce("w2", false)
		time.Sleep(20 * time.Second)
		b.ctl.setDown(false)
		time.Sleep(5 * time.Second)
		b.announce("w2", true) // registers again
		time.Sleep(time.Second)
		if reported := b.ctl.reportedCrashes(); len(reported) != 1 || len(reported[0].Runs) != 1 {
			t.Fatalf("reported %+v, want one crash under one run", reported)
		}
	})
}
