package dispatch

import (
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

var fiveWorkers = map[string]*jobs.Worker{"bad": {}, "good": {}, "a": {}, "b": {}, "c": {}}

// A worker fails every task right after its start, so it always has the most free capacity.
// Unless it is avoided it gets every task, and three failed runs end a job.
func TestFailingWorkerIsAvoided(t *testing.T) {
	h, now := NewHealth(), time.Unix(0, 0)
	for range 3 {
		h.RecordEnd("bad", jobs.OutcomeFailed, 0, 0, now)
		h.RecordEnd("good", jobs.OutcomeDone, 100, 100, now)
	}
	if s := h.Avoided(fiveWorkers, now); !s["bad"] || s["good"] {
		t.Fatalf("avoided workers: %v", s)
	}
	if s := h.Avoided(fiveWorkers, now.Add(firstPause)); s["bad"] {
		t.Error("the worker is not tried again after the pause")
	}
	now = now.Add(firstPause)
	h.RecordEnd("bad", jobs.OutcomeFailed, 0, 0, now)
	h.RecordEnd("bad", jobs.OutcomeFailed, 0, 0, now)
	if s := h.Avoided(fiveWorkers, now.Add(firstPause)); !s["bad"] {
		t.Error("the second pause is no longer than the first")
	}
}

// Tasks sometimes fail by their own fault, and on all workers if a queue's jobs are faulty.
// Avoiding most workers for that would overload the others.
func TestNoWorkerIsAvoidedForTaskFaultsOrWidespreadFailures(t *testing.T) {
	h, now := NewHealth(), time.Unix(0, 0)
	for i := range 200 {
		o := jobs.OutcomeDone
		if i%30 == 0 {
			o = jobs.OutcomeFailed
		}
		h.RecordEnd("good", o, 100, 100, now)
		if len(h.Avoided(fiveWorkers, now)) > 0 {
			t.Fatalf("avoided after run %d", i)
		}
	}
	for _, w := range []string{"a", "b", "c"} {
		for range 3 {
			h.RecordEnd(w, jobs.OutcomeFailed, 0, 0, now)
		}
	}
	if s := h.Avoided(fiveWorkers, now); len(s) > 0 {
		t.Errorf("%d of 5 workers are avoided", len(s))
	}
	h.RecordEnd("lost", jobs.OutcomeLost, 0, 0, now)
	h.RecordEnd("lost", jobs.OutcomeRejected, 0, 0, now)
	if h.workers["lost"] != nil {
		t.Error("lost and rejected runs are counted")
	}
}

func TestSlowWorkersAreKnown(t *testing.T) {
	h, now := NewHealth(), time.Unix(0, 0)
	for range 4 {
		h.RecordEnd("slow", jobs.OutcomeDone, 4000, 1000, now)
		h.RecordEnd("fast", jobs.OutcomeDone, 700, 1000, now)
	}
	if s := h.Slowness("slow"); s < 1 || s > 2 {
		t.Errorf("slowness %v of a worker that takes four times as long", s)
	}
	if h.Slowness("fast") != 0 || h.Slowness("unknown") != 0 {
		t.Error("workers that aren't slow have a slowness")
	}
}

// Guards against a task that waits beside idle workers: all that it can run on are blamed for runs that
// failed, though the runs were at fault. Workers that reject starts or do not answer get nothing, and
// nothing goes to a blamed worker if another could run it.
func TestTaskThatFitsOnlyBlamedWorkersWaitsShortly(t *testing.T) {
	for _, x := range []struct {
		name   string
		label  string
		blamed bool
		waited time.Duration
		placed bool
	}{
		{"at once", "r0", true, 0, false},
		{"after a wait", "r0", true, blamedWait, true},
		{"on a worker that does not answer", "r0", false, time.Minute, false},
		{"with others that are full", "a", true, time.Minute, false},
	} {
		s := newHarness(t, 2)
		full := serving(1, 10_000, "full")
		full.Label = "r1"
		s.submit(1, "/titles/", 0, full)
		s.pass()
		st := serving(1, 1000, "watch")
		st.Label = x.label
		job := s.submit(2, "/titles/", 0, st)
		s.in.Avoided = map[string]bool{"w0": true}
		if x.blamed {
			s.in.Blamed = s.in.Avoided
		}
		s.in.WaitTime = func(*jobs.Group) time.Duration { return x.waited }
		s.pass()
		if placed := s.Jobs[job].Group(0, 0).Tasks[0].Placed != nil; placed != x.placed {
			t.Errorf("%s: placed %v, want %v", x.name, placed, x.placed)
		}
	}
}
