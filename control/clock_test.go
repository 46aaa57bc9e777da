package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/settings"
)

// Guards against occurrences that start early or late because of wrong clocks. The clocks of two
// of five agents jump by hours, forward and back, and so does the leader's own, without any
// effect. When most clocks agree on another time, that time counts.
func TestDueTimesFollowTheMedianOfManyClocks(t *testing.T) {
	d := newDispatcher(newBareReplica(t))
	truth := time.Now().Add(-24 * time.Hour) // the leader's own clock is a day ahead
	report := func(agent int, off time.Duration) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.clock.set(fmt.Sprint(agent), truth.Add(time.Since(d.clock.started)+off).UnixMilli(), time.Now())
	}
	off := func() time.Duration {
		return time.Duration(d.nowMS()-truth.Add(time.Since(d.clock.started)).UnixMilli()) * time.Millisecond
	}
	for i := range 5 {
		report(i, time.Duration(i)*time.Millisecond)
	}
	if o := off(); o < -time.Second || o > time.Second {
		t.Fatalf("the time is off by %v", o)
	}
	report(0, 3*time.Hour)
	report(1, -5*time.Hour)
	if o := off(); o < -time.Second || o > time.Second {
		t.Fatalf("two of five clocks jumped, the time is off by %v", o)
	}
	for i := range 3 {
		report(i, 3*time.Hour)
	}
	if o := off(); o < 3*time.Hour-time.Second || o > 3*time.Hour+time.Second {
		t.Fatalf("three of five clocks say three hours later, the time is off by %v", o)
	}
}

// Guards against sorting all clocks for every agent call: with 2,700 agents the leader would sort
// 2,700 clocks each time.
func TestDueTimeCostsNoMoreInALargeFleet(t *testing.T) {
	c := newDuetime(time.Now())
	for i := range 2700 {
		c.set(fmt.Sprint(i), int64(i%97), c.started)
	}
	if n := testing.AllocsPerRun(100, func() { c.at(c.started) }); n > 0 {
		t.Errorf("%v allocations", n)
	}
	for i := range 2700 {
		c.set(fmt.Sprint(i), int64(1000+i%13), c.started)
	}
	for i := range 1500 {
		c.forget(fmt.Sprint(i))
	}
	if !slices.IsSorted(c.ordered) || len(c.ordered) != 1200 || c.at(c.started) != 1006 {
		t.Errorf("%d clocks, the median is %d", len(c.ordered), c.at(c.started))
	}
}

// Guards against forgetting ended jobs too early. The retention counts on the leader's monotonic
// clock from when it first saw the job ended, so a wall clock that jumps by a year has no effect.
func TestEndedJobsAreKnownHoweverClocksJump(t *testing.T) {
	r := newBareReplica(t)
	d := newDispatcher(r)
	const id = "00000000000000aa"
	s := r.machine.state.Jobs
	if err := s.ApplySubmit(jobs.Submit{ID: id, Spec: jobs.Spec{Steps: []jobs.Step{{Count: 1}}}}, 1, 0); err != nil {
		t.Fatal(err)
	}
	s.ApplyCancel(id, 2)
	d.clock.set("a", time.Now().AddDate(1, 0, 0).UnixMilli(), time.Now())
	if ids := d.forgettable(time.Now()); len(ids) != 0 {
		t.Fatalf("%v are forgotten when they are first seen", ids)
	}
	if ids := d.forgettable(time.Now().Add(jobRetention - time.Second)); len(ids) != 0 {
		t.Fatalf("%v are forgotten too early", ids)
	}
	if ids := d.forgettable(time.Now().Add(jobRetention + time.Second)); len(ids) != 1 {
		t.Fatalf("%v are forgotten in the end", ids)
	}
}

// newBareReplica returns a replica with an empty state and no other components.
func newBareReplica(t *testing.T) *Replica {
	t.Helper()
	return &Replica{machine: NewMachine(), set: &settings.Settings{Control: &settings.Control{}}}
}
