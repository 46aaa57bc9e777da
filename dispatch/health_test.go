package dispatch

import (
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// A worker fails everything that it starts, at once, and so is always the one
// with the most room. Without the rest of the story it would be given every task,
// and three failed runs end a job.
func TestWorkerThatFailsEverythingIsLeftAlone(t *testing.T) {
	h, now := NewHealth(), time.Unix(0, 0)
	for range 3 {
		h.NoteEnd("bad", jobs.OutcomeFailed, 0, 0, now)
		h.NoteEnd("good", jobs.OutcomeDone, 100, 100, now)
	}
	if s := h.Shunned(5, now); !s["bad"] || s["good"] {
		t.Fatalf("left alone: %v", s)
	}
	if s := h.Shunned(5, now.Add(firstPause)); s["bad"] {
		t.Error("it is never tried again")
	}
	now = now.Add(firstPause)
	h.NoteEnd("bad", jobs.OutcomeFailed, 0, 0, now)
	h.NoteEnd("bad", jobs.OutcomeFailed, 0, 0, now)
	if s := h.Shunned(5, now.Add(firstPause)); !s["bad"] {
		t.Error("the second time it is left alone no longer than the first")
	}
}

// Tasks fail by their own fault now and then, and all at once when a queue's jobs
// are bad. Leaving most workers alone for that would swamp the others.
func TestOwnFaultsAndCommonTroubleShunNobody(t *testing.T) {
	h, now := NewHealth(), time.Unix(0, 0)
	for i := range 200 {
		o := jobs.OutcomeDone
		if i%30 == 0 {
			o = jobs.OutcomeFailed
		}
		h.NoteEnd("w", o, 100, 100, now)
		if len(h.Shunned(5, now)) > 0 {
			t.Fatalf("left alone after run %d", i)
		}
	}
	for _, w := range []string{"a", "b", "c"} {
		for range 3 {
			h.NoteEnd(w, jobs.OutcomeFailed, 0, 0, now)
		}
	}
	if s := h.Shunned(5, now); len(s) > 0 {
		t.Errorf("%d of 5 workers are left alone", len(s))
	}
	h.NoteEnd("lost", jobs.OutcomeLost, 0, 0, now)
	h.NoteEnd("lost", jobs.OutcomeRejected, 0, 0, now)
	if h.workers["lost"] != nil {
		t.Error("lost and rejected runs count")
	}
}

func TestSlowWorkersAreKnown(t *testing.T) {
	h, now := NewHealth(), time.Unix(0, 0)
	for range 4 {
		h.NoteEnd("slow", jobs.OutcomeDone, 4000, 1000, now)
		h.NoteEnd("fast", jobs.OutcomeDone, 700, 1000, now)
	}
	if s := h.Slowness("slow"); s < 1 || s > 2 {
		t.Errorf("slowness %v of a worker that takes four times as long", s)
	}
	if h.Slowness("fast") != 0 || h.Slowness("unknown") != 0 {
		t.Error("others are slow too")
	}
}
