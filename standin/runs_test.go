package standin

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/runner"
)

var ref = jobs.Ref{Job: "00000000000000aa", Index: 1}

func start(w *Runs, token uint64, run uint32, payload string) runner.Verdict {
	r, _ := w.Start(runner.StartCall{Target: runner.Target{Worker: "w1", Token: token}, Task: ref, Run: run, Payload: payload, LeaseEndMS: w.clock() + 60_000})
	return r.Verdict
}

// Other tests check the system against this stand-in, so it must enforce a worker's rules itself:
// calls from an older session of the agent or for another incarnation, and runs that were stopped
// before their start call arrived, start nothing; a start that arrives twice starts one run.
func TestRunsRejectInvalidCalls(t *testing.T) {
	w := NewRuns("w1")
	if got := start(w, 5, 2, "lasts=1"); got != runner.VerdictDone {
		t.Fatalf("a start: %v", got)
	}
	for name, c := range map[string]struct {
		got, want runner.Verdict
	}{
		"the same again":   {start(w, 5, 2, "lasts=1"), runner.VerdictDone},
		"an older session": {start(w, 4, 3, ""), runner.VerdictFenced},
		"an earlier run":   {stopThenStart(w, 7), runner.VerdictOld},
		"without a ticket": {withTicket(w), runner.VerdictNoTicket},
	} {
		if c.got != c.want {
			t.Errorf("%s: %v, want %v", name, c.got, c.want)
		}
	}
	if r, _ := w.Hold(runner.HoldCall{Target: runner.Target{Worker: "w2", Token: 9}}); r.Verdict != runner.VerdictOtherIncarnation {
		t.Errorf("another incarnation: %v", r.Verdict)
	}
	if running, _ := w.Count(); running != 1 || len(w.Record()) != 1 {
		t.Errorf("%d runs, record %+v", running, w.Record())
	}
}

// stopThenStart stops a run of another task before its start call arrives.
func stopThenStart(w *Runs, run uint32) runner.Verdict {
	other := jobs.Ref{Job: "00000000000000bb"}
	target := runner.Target{Worker: "w1", Token: 5}
	w.Stop(runner.StopCall{Target: target, Task: other, Run: run})
	r, _ := w.Start(runner.StartCall{Target: target, Task: other, Run: run, LeaseEndMS: w.clock() + 60_000})
	return r.Verdict
}

func withTicket(w *Runs) runner.Verdict {
	w.SetTicket("a ticket")
	defer w.SetTicket("")
	return start(w, 5, 9, "")
}

// A run fails as often as its payload says, and its end is listed until it is acknowledged. When
// the lease ends, all runs end with it.
func TestRunsEndAndAreAcknowledged(t *testing.T) {
	w := NewRuns("w1")
	start(w, 1, 1, "ms=5&fails=1")
	target := runner.Target{Worker: "w1", Token: 1}
	r, _ := w.Hold(runner.HoldCall{Target: target, Wait: 10 * time.Second})
	if len(r.Finished) != 1 || r.Finished[0].Outcome != jobs.OutcomeFailed {
		t.Fatalf("the first run's end: %+v", r.Finished)
	}
	start(w, 1, 2, "ms=5&fails=1")
	for len(r.Finished) < 2 {
		r, _ = w.Hold(runner.HoldCall{Target: target, Wait: time.Millisecond})
	}
	if r.Finished[1].Outcome != jobs.OutcomeDone || r.Finished[1].Number != 2 {
		t.Fatalf("the second run's end: %+v", r.Finished)
	}
	if r, _ = w.Hold(runner.HoldCall{Target: target, Cursor: 2}); len(r.Finished) != 0 {
		t.Fatalf("acknowledged ends are listed: %+v", r.Finished)
	}
	start(w, 1, 3, "lasts=1")
	w.mu.Lock()
	w.leaseEnd = w.clock()
	w.mu.Unlock()
	if r, _ = w.Hold(runner.HoldCall{Target: target, Cursor: 2}); len(r.Running) != 0 || len(r.Finished) != 1 || r.Finished[0].Outcome != jobs.OutcomeLost {
		t.Fatalf("after the lease: %+v", r)
	}
}

// Guards against a record in which an expired run overlaps the next one. The next run of a task
// may start in the same millisecond in which the lease ends. If the end of the expired run is
// computed without the clock's first millisecond, the runs seem to overlap and a check of the
// record reports a task that ran twice.
func TestExpiredRunIsRecordedToEndBeforeTheNextStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := NewRuns("w1")
		start := func(run uint32, lease int64) runner.Verdict {
			r, _ := w.Start(runner.StartCall{Target: runner.Target{Worker: "w1", Token: 1}, Task: ref, Run: run, Payload: "lasts=1", LeaseEndMS: lease})
			return r.Verdict
		}
		end := w.clock() + 50
		if v := start(1, end); v != runner.VerdictDone {
			t.Fatalf("the first run gets %v", v)
		}
		for w.clock() < end {
			time.Sleep(time.Millisecond)
		}
		if v := start(2, end+50); v != runner.VerdictDone {
			t.Fatalf("the next run gets %v", v)
		}
		list := w.Record()
		if len(list) != 2 || list[0].How != "lapsed" || list[0].EndMS > list[1].StartMS {
			t.Errorf("recorded %+v", list)
		}
	})
}
