package runner

import (
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// Guards against a task that runs twice: the control has made a run void that continues under
// its lease, and the agent's next session, with a token in reserve, would let it continue.
func TestVoidRunIsStoppedBeforeTheNextRegistration(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		b.ctl.give(startOf(runA1))
		time.Sleep(2 * time.Second)
		if !b.worker.isRunning(runA1) || b.runner.tokens.reserved() == 0 {
			t.Fatal("the test needs a run and a token in reserve")
		}
		running := false
		b.ctl.onRegister = func() { running = running || b.worker.isRunning(runA1) }
		b.ctl.lose()
		time.Sleep(2 * time.Second)
		if b.ctl.registered() != 2 || running {
			t.Errorf("%d registrations, the void run was running at one of them: %v", b.ctl.registered(), running)
		}
		b.wantEnd(runA1, jobs.OutcomeStopped)
	})
}

// Guards against a task that runs twice: the control has lost the worker between the agent's
// fencing and its registration, and names none of the runs that the session took over.
func TestRunThatNoOrderNamesIsStopped(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		b.ctl.give(startOf(runA1))
		time.Sleep(2 * time.Second)
		b.ctl.forget() // the worker still counts as registered
		time.Sleep(2 * time.Second)
		if b.worker.isRunning(runA1) {
			t.Error("the run goes on")
		}
		b.wantEnd(runA1, jobs.OutcomeStopped)
	})
}

// Guards against runs that end with an agent's restart though the control still orders them.
func TestRunThatAnOrderNamesIsTakenOver(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
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

// Guards against a run that was reported as never started and runs all the same.
func TestRunThatTheSessionDoesNotKnowIsStopped(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		b.worker.addRunning(runA1)
		time.Sleep(time.Second)
		if b.worker.isRunning(runA1) {
			t.Error("the run goes on")
		}
	})
}

// Guards against a worker that is given more than its capacity: a run that is being stopped
// still occupies an unknown part of it.
func TestNothingIsStartedBesideAnOrphan(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Second)
		b.worker.setStopDelay(time.Second)
		b.worker.addRunning(runA1)
		time.Sleep(500 * time.Millisecond)
		runB1 := runKey{jobs.Ref{Job: "00000000000000bb"}, 1}
		b.ctl.give(startOf(runB1))
		time.Sleep(300 * time.Millisecond)
		if !b.worker.isRunning(runA1) || b.worker.isRunning(runB1) {
			t.Errorf("the orphan runs: %v, another run beside it: %v", b.worker.isRunning(runA1), b.worker.isRunning(runB1))
		}
		time.Sleep(3 * time.Second)
		if b.worker.isRunning(runA1) || !b.worker.isRunning(runB1) {
			t.Errorf("the orphan runs: %v, the other run: %v", b.worker.isRunning(runA1), b.worker.isRunning(runB1))
		}
	})
}

// Guards against a run that outlives its lease while its agent is cut off: a late call has
// given the worker a longer lease than the control granted, and the control starts the task
// elsewhere.
func TestRunIsStoppedPastTheLeaseThatWasGranted(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		b.ctl.give(startOf(runA1))
		time.Sleep(2 * time.Second)
		b.ctl.setDown(true)
		time.Sleep(4 * time.Second)
		if !b.worker.isRunning(runA1) {
			t.Fatal("the run ended before its lease")
		}
		time.Sleep(1500 * time.Millisecond)
		if b.worker.isRunning(runA1) {
			t.Error("the run goes on after its lease has expired")
		}
	})
}

// Guards against a session that outlives the loss of its worker: the control distinguishes its
// updates from the first registration of another session by their Update field.
func TestUpdateOfASessionIsMarkedAsOne(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
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

// Guards against a task that runs twice on one worker: the first orders start its next run
// beside the void one that the session took over, together with other runs, each in a
// goroutine of its own.
func TestFirstOrdersStartNothingBesideAnOrphan(t *testing.T) {
	for range 50 {
		withBench(t, func(t *testing.T, b *bench) {
			b.ctl.give(startOf(runA1))
			time.Sleep(2 * time.Second)
			b.worker.setStopDelay(time.Second)
			b.ctl.forget()
			for i := range 20 {
				b.ctl.give(startOf(runKey{jobs.Ref{Job: "00000000000000bb", Index: i}, 1}))
			}
			b.ctl.give(startOf(runKey{taskA, 2}))
			time.Sleep(900 * time.Millisecond)
			if n := len(b.worker.started()); !b.worker.isRunning(runA1) || n != 1 {
				t.Fatalf("%d runs were started, the void one runs: %v", n, b.worker.isRunning(runA1))
			}
			time.Sleep(3 * time.Second)
			if n := len(b.worker.started()); n != 22 {
				t.Errorf("%d of 22 runs were started", n)
			}
		})
	}
}
