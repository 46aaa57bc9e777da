package runner

import (
	"fmt"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// listedEnds is the number of ends that the worker of these tests lists at a time.
const listedEnds = 3

// startedRuns starts a number of runs, of which the last is the last to end.
func (b *bench) startedRuns(n int) (keys []runKey) {
	b.worker.mu.Lock()
	b.worker.maxListed = listedEnds
	b.worker.mu.Unlock()
	for i := range n {
		key := runKey{jobs.Ref{Job: fmt.Sprintf("%016x", i+1)}, 1}
		keys = append(keys, key)
		b.ctl.give(startOf(key))
	}
	time.Sleep(time.Second)
	return keys
}

// restartAgent replaces the agent's process. The runs end done while it is away, and meanwhile is
// called before the next process begins.
func (b *bench) restartAgent(keys []runKey, meanwhile func()) {
	b.cancel()
	<-b.done
	for _, key := range keys {
		b.worker.end(key, jobs.OutcomeDone)
	}
	meanwhile()
	b.begin()
	b.seq = 0
	b.announce("w1", false)
}

// wantAllDone checks that each run was reported as done, before anything else.
func (b *bench) wantAllDone(keys []runKey) {
	b.t.Helper()
	b.ctl.mu.Lock()
	defer b.ctl.mu.Unlock()
	first := make(map[runKey]jobs.Outcome)
	for _, e := range b.ctl.ends {
		if _, known := first[runKey{e.Task, e.Run}]; !known {
			first[runKey{e.Task, e.Run}] = e.Outcome
		}
	}
	for _, key := range keys {
		if got, known := first[key]; !known || got != jobs.OutcomeDone {
			b.t.Errorf("run %v ended done, and was reported as %v (%v)", key, got, known)
		}
	}
}

// Guards against a task that runs twice: its run ended while the agent was away, beyond the ends
// that the first list holds, and its repeated start is rejected.
func TestRunThatEndedBeyondTheFirstListIsNotReportedAsNeverStarted(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		keys := b.startedRuns(4 * listedEnds)
		b.restartAgent(keys, func() {})
		time.Sleep(5 * time.Second)
		b.wantAllDone(keys)
		if n := len(b.worker.started()); n != len(keys) {
			t.Errorf("%d starts of %d runs", n, len(keys))
		}
	})
}

// Guards against the same fault when the worker's capacity has been reduced meanwhile, and the
// agent rejects the start itself.
func TestRunThatEndedBeyondTheFirstListIsNotRejectedForWantOfCapacity(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		keys := b.startedRuns(4 * listedEnds)
		b.restartAgent(keys, func() {
			for _, key := range keys {
				o := startOf(key)
				o.Held.MilliCPU = 600
				b.ctl.give(o)
			}
		})
		time.Sleep(5 * time.Second)
		b.wantAllDone(keys)
	})
}

// Guards against the same fault when the run was to be stopped meanwhile.
func TestRunThatEndedBeyondTheFirstListIsNotReportedAsStoppedBeforeItsStart(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		keys := b.startedRuns(4 * listedEnds)
		b.restartAgent(keys, func() {
			for _, key := range keys {
				b.ctl.give(stopOf(key))
			}
		})
		time.Sleep(5 * time.Second)
		b.wantAllDone(keys)
	})
}

// Guards against the same fault when the worker's data centre was taken out of service meanwhile.
func TestRunThatEndedBeyondTheFirstListIsNotReportedAsNeverStartedInACordon(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		keys := b.startedRuns(4 * listedEnds)
		b.restartAgent(keys, func() { b.ctl.cordon(true) })
		time.Sleep(5 * time.Second)
		b.wantAllDone(keys)
	})
}

// Guards against a run that is taken to have never started, as its end is beyond the ends that the
// list after its stop holds.
func TestUnansweredStartIsNotResolvedByAPartOfTheEnds(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		others := b.startedRuns(2 * listedEnds)
		b.worker.fail(1, VerdictDone)
		b.ctl.give(startOf(runA1))
		time.Sleep(10 * time.Millisecond)
		b.worker.carryOutLate()
		b.ctl.setDown(true) // nothing is acknowledged
		for _, key := range append(others, runA1) {
			b.worker.end(key, jobs.OutcomeDone)
		}
		b.session().runOf(runA1).stopNow()
		time.Sleep(time.Second)
		b.ctl.setDown(false)
		time.Sleep(5 * time.Second)
		b.wantAllDone(append(others, runA1))
	})
}

// Guards against a completed task that runs again: more late starts ended on a worker's next
// incarnation than a list holds, and the rest was not attributed to the one they were ordered for.
func TestLateRunsBeyondAListAreAttributedToThePreviousIncarnation(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		b.worker.mu.Lock()
		b.worker.maxListed = listedEnds
		b.worker.mu.Unlock()
		var keys []runKey
		b.worker.fail(1<<20, VerdictDone)
		for i := range 3 * listedEnds {
			keys = append(keys, runKey{jobs.Ref{Job: fmt.Sprintf("%016x", i+1)}, 1})
			b.ctl.give(startOf(keys[i]))
		}
		time.Sleep(400 * time.Millisecond)
		b.worker.failCalls(ErrClosed)
		b.worker.fail(0, VerdictDone)
		time.Sleep(time.Second)
		b.worker.restartCarryingOutLate("w2")
		for _, key := range keys {
			b.worker.end(key, jobs.OutcomeDone)
		}
		b.seq = 0
		b.announce("w2", false)
		time.Sleep(3 * time.Second)
		b.wantAllDone(keys)
		for _, key := range keys {
			if w := b.ctl.endsOf[key]; w != "w1" {
				t.Errorf("the end of %v was reported for worker %q, the run was ordered for w1", key, w)
			}
		}
	})
}

// Guards against a run that is never reported, since its worker ends other runs as quickly as
// their ends are acknowledged and its lists are never complete.
func TestRunIsReportedWhileTheWorkersListsStayTruncated(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		keys := b.startedRuns(4 * listedEnds)
		b.restartAgent(keys[:3*listedEnds], func() {})
		go func() { // ends one run after the other, always with a full list
			for i := range 300 {
				key := runKey{jobs.Ref{Job: fmt.Sprintf("%016x", 1000+i)}, 1}
				b.ctl.give(startOf(key))
				time.Sleep(10 * time.Millisecond)
				b.worker.endIfRunning(key, jobs.OutcomeDone)
			}
		}()
		b.worker.mu.Lock()
		b.worker.maxListed = 1
		b.worker.mu.Unlock()
		tooLarge := startOf(runA1)
		tooLarge.Held.MilliCPU = 2000
		b.ctl.give(tooLarge)
		time.Sleep(2 * time.Second)
		b.wantEnd(runA1, jobs.OutcomeRejected)
		time.Sleep(10 * time.Second)
	})
}

// runOf returns a run that the session knows.
func (s *session) runOf(key runKey) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}
