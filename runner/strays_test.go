package runner

import (
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// Guards against a task at two places: the control has made a run void that is at work under a
// lease, and the agent's next session, with a token in reserve, would keep it at work.
func TestVoidRunIsStoppedBeforeTheNextRegistration(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		b.ctl.give(startOf(runA1))
		time.Sleep(2 * time.Second)
		if !b.worker.isRunning(runA1) || b.runner.tokens.next() == 0 {
			t.Fatal("nothing runs, or no token is in reserve: nothing is shown")
		}
		running := false
		b.ctl.onRegister = func() { running = running || b.worker.isRunning(runA1) }
		b.ctl.lose()
		time.Sleep(2 * time.Second)
		if b.ctl.registered() != 2 || running {
			t.Errorf("%d registrations, and at one the void run is at work: %v", b.ctl.registered(), running)
		}
		b.wantEnd(runA1, jobs.OutcomeStopped)
	})
}

// Guards against a task at two places: the control has lost the worker between the agent's fence
// and its registration, and names none of the runs that the session took over.
func TestRunThatNoOrderNamesIsStopped(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		b.ctl.give(startOf(runA1))
		time.Sleep(2 * time.Second)
		b.ctl.forget() // the worker is still told as registered
		time.Sleep(2 * time.Second)
		if b.worker.isRunning(runA1) {
			t.Error("the run goes on")
		}
		b.wantEnd(runA1, jobs.OutcomeStopped)
	})
}

// Guards against runs that an agent's restart ends: the control still has them ordered.
func TestRunThatAnOrderNamesIsTakenOver(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		b.ctl.give(startOf(runA1))
		time.Sleep(2 * time.Second)
		b.stop()
		b.begin()
		b.announce("w1", false)
		time.Sleep(2 * time.Second)
		if !b.worker.isRunning(runA1) {
			t.Error("the run was stopped")
		}
		b.wantNoEnd(runA1)
	})
}

// Guards against a run that was reported as never started and is at work all the same.
func TestRunThatTheSessionDoesNotKnowIsStopped(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		b.worker.begin(runA1)
		time.Sleep(time.Second)
		if b.worker.isRunning(runA1) {
			t.Error("the run goes on")
		}
	})
}

// Guards against a worker that is given more than it has: a run that is being stopped holds room,
// and nobody told how much.
func TestNothingIsStartedBesideAStray(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		b.worker.setStopping(time.Second)
		b.worker.begin(runA1)
		time.Sleep(500 * time.Millisecond)
		runB1 := runKey{jobs.Ref{Job: "00000000000000bb"}, 1}
		b.ctl.give(startOf(runB1))
		time.Sleep(300 * time.Millisecond)
		if !b.worker.isRunning(runA1) || b.worker.isRunning(runB1) {
			t.Errorf("the stray is there: %v, another run beside it: %v", b.worker.isRunning(runA1), b.worker.isRunning(runB1))
		}
		time.Sleep(3 * time.Second)
		if b.worker.isRunning(runA1) || !b.worker.isRunning(runB1) {
			t.Errorf("the stray is there: %v, the other run: %v", b.worker.isRunning(runA1), b.worker.isRunning(runB1))
		}
	})
}

// Guards against a run that outlives its lease while its agent is cut off: a late call has given
// the worker a longer one than the control lent, and lets its task run elsewhere.
func TestRunIsStoppedPastTheLeaseThatWasGranted(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		b.ctl.give(startOf(runA1))
		time.Sleep(2 * time.Second)
		b.ctl.setDown(true)
		time.Sleep(4 * time.Second)
		if !b.worker.isRunning(runA1) {
			t.Fatal("the run ended before its lease: nothing is shown")
		}
		time.Sleep(1500 * time.Millisecond)
		if b.worker.isRunning(runA1) {
			t.Error("the run goes on past its lease")
		}
	})
}

// Guards against a session that outlives the loss of its worker: the control tells its updates from
// the first registration of another one by their own word.
func TestUpdateOfASessionSaysThatItIsOne(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		if b.ctl.registered() != 1 || b.ctl.updates != 0 {
			t.Fatalf("%d registrations, %d of them updates", b.ctl.registered(), b.ctl.updates)
		}
		b.announce("w1", true)
		time.Sleep(time.Second)
		if b.ctl.registered() != 2 || b.ctl.updates != 1 {
			t.Errorf("%d registrations, %d of them updates", b.ctl.registered(), b.ctl.updates)
		}
	})
}

// Guards against a task at two places on one worker: the first orders place its next run beside the
// void one that the session took over, with others, and each is started by a goroutine of its own.
func TestFirstOrdersStartNothingBesideAStray(t *testing.T) {
	for range 50 {
		play(t, func(t *testing.T, b *bench) {
			b.ctl.give(startOf(runA1))
			time.Sleep(2 * time.Second)
			b.worker.setStopping(time.Second)
			b.ctl.forget()
			for i := range 20 {
				b.ctl.give(startOf(runKey{jobs.Ref{Job: "00000000000000bb", Index: i}, 1}))
			}
			b.ctl.give(startOf(runKey{taskA, 2}))
			time.Sleep(900 * time.Millisecond)
			if n := len(b.worker.started()); !b.worker.isRunning(runA1) || n != 1 {
				t.Fatalf("%d runs were started, the void one is there: %v", n, b.worker.isRunning(runA1))
			}
			time.Sleep(3 * time.Second)
			if n := len(b.worker.started()); n != 22 {
				t.Errorf("%d of 22 runs were started", n)
			}
		})
	}
}
