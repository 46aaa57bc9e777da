package runner

import (
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// Guards against filling runs that are blamed for a degraded worker, whose served tails are
// far too long whatever fills there. Stopping them for good gains nothing, and readings
// attributed to them keep them off every other worker. As that classification may be wrong,
// they must not work on for as long as would be counted against them.
func TestDegradedWorkerIsNotBlamedOnFillingRuns(t *testing.T) {
	s := newSimulation(t)
	s.tail = 300
	worked, longest, row := 0, 0, 0
	for range 60 { // half a minute
		s.read()
		if s.pace["heavy"] > 0 {
			worked++
			row++
		} else {
			row = 0
		}
		longest = max(longest, row)
	}
	if !s.p.isDegraded() || worked < 20 {
		t.Errorf("the runs worked for %d of 60 readings, degraded: %v", worked, s.p.isDegraded())
	}
	if span := time.Duration(longest) * readingInterval; span > 3*time.Second {
		t.Errorf("they worked for %v without a stop while the serving task was over its target", span)
	}
	if readings, _ := s.p.report(s.now, func() map[runKey]string { return nil }); len(readings) > 0 {
		t.Errorf("%d readings of a degraded worker are reported", len(readings))
	}
	s.tail = 20
	for range 3 {
		s.read()
	}
	if s.p.isDegraded() {
		t.Error("the recovered worker still counts as degraded")
	}
}

// Guards against a worker that counts as degraded because of a delayed reading. A watcher's
// tail is briefly too long while every render is stopped. A new render starts, interferes and is
// stopped, and the next reading still covers half a second of it. Counting that as degradation
// would let all renders work for seconds while the watcher is over its target.
func TestAStoppedRendersLastReadingIsNoSignOfADegradedWorker(t *testing.T) {
	s := newSimulation(t)
	s.tail = 60
	for !s.allStopped() {
		s.read()
	}
	s.tail = 56
	for range 3 {
		s.read()
	}
	s.renders, s.pace["fresh"] = append(s.renders, "fresh"), fullPace
	s.tail = 250
	s.read()
	if s.pace["fresh"] != 0 {
		t.Fatalf("paces are %v", s.pace)
	}
	s.tail = 82
	s.read()
	if s.p.isDegraded() || !s.allStopped() {
		t.Fatalf("degraded: %v, paces are %v", s.p.isDegraded(), s.pace)
	}
}

// Readings arrive up to 0.8 s apart. At any interval, renders beside a watcher that is over
// its target must stop within three of the four seconds for which it may be over it.
func TestRendersStopInTimeAtAnyReadingInterval(t *testing.T) {
	for _, every := range []time.Duration{150, 250, 400, 600, 800} {
		every *= time.Millisecond
		s := newSimulation(t)
		s.tail = 300
		var since time.Time
		for range 200 {
			s.readAfter(every)
			if s.allStopped() {
				since = time.Time{}
				continue
			}
			if since.IsZero() {
				since = s.now
			}
			if d := s.now.Sub(since) + every; d > 3*time.Second {
				t.Fatalf("with a reading every %v they work for %v without a stop", every, d)
			}
		}
	}
}

// Guards against filling runs that stay released beside a tail over its target without an end: a
// degraded worker has nearly recovered, and its readings go to and fro over the target.
func TestReleaseEndsWhereReadingsCrossTheTarget(t *testing.T) {
	s := newSimulation(t)
	s.learnCosts("heavy", "light")
	s.own = 0.5
	for !s.p.isDegraded() {
		s.read()
	}
	s.own, s.errors, s.longest, s.since[0] = 2.63, []float64{0.05, -0.05}, 0, time.Time{}
	for range 40 {
		s.read()
	}
	if s.longest >= harmTime {
		t.Errorf("the watcher was over its target for %v on end, paces are %v", s.longest, s.pace)
	}
}

// Guards against filling runs that are released since a worker counts as degraded, while one that
// was to stop works on: its pace calls get no answer.
func TestWorkerIsNotDegradedWhileAPaceIsUnconfirmed(t *testing.T) {
	s := newSimulation(t)
	s.learnCosts("heavy", "light")
	s.tail = 300
	for range 12 {
		s.read()
		s.pace["heavy"] = fullPace
		s.p.failed(PaceCall{Task: jobs.Ref{Job: "heavy"}, Run: 1})
	}
	if s.p.isDegraded() {
		t.Error("the worker counts as degraded")
	}
}
