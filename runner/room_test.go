package runner

import (
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

// announceRoom is a heartbeat with a capacity.
func (b *bench) announceRoom(milliCPU int64) {
	b.seq++
	b.runner.Announce(Announcement{Worker: "w1", Service: "vault", Capacity: resource.Vector{MilliCPU: milliCPU, MemoryMB: 1000}, Sequence: b.seq})
}

func holding(job string, milliCPU int64) jobs.Order {
	return jobs.Order{Task: jobs.Ref{Job: job}, Run: 1, Payload: "p", Held: resource.Vector{MilliCPU: milliCPU, MemoryMB: 10}}
}

// A worker's room shrinks while orders are under way that were decided on the old one. The
// worker starts whatever it is told to, and would be over its room: its own tasks and those
// that serve beside them run out of memory or time. The agent gives such a run back.
func TestStartsKeepToTheRoomThatTheWorkerAnnouncedLast(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		first, second, third := holding("00000000000000aa", 600), holding("00000000000000bb", 600), holding("00000000000000cc", 300)
		b.ctl.give(first)
		time.Sleep(time.Second)
		b.announceRoom(1000)
		b.ctl.give(second)
		b.ctl.give(third)
		time.Sleep(time.Second)
		key := func(o jobs.Order) runKey { return runKey{o.Task, o.Run} }
		if !b.worker.isRunning(key(first)) || b.worker.isRunning(key(second)) || !b.worker.isRunning(key(third)) {
			t.Fatalf("started %v", b.worker.started())
		}
		b.wantEnd(key(second), jobs.OutcomeRejected)
		// What is being stopped holds its room until its end is listed.
		b.ctl.give(stopOf(key(first)))
		time.Sleep(time.Second)
		b.announceRoom(700)
		again := holding("00000000000000dd", 400)
		b.ctl.give(again)
		time.Sleep(time.Second)
		if !b.worker.isRunning(key(again)) {
			t.Error("nothing was started in the room that an ended run left")
		}
		// Room that grows again is used.
		b.announceRoom(2000)
		large := holding("00000000000000ee", 1200)
		b.ctl.give(large)
		time.Sleep(time.Second)
		if !b.worker.isRunning(key(large)) {
			t.Error("nothing was started in the room that has grown again")
		}
	})
}

// An agent starts anew beside a worker that is full. What it finds there counts, though it
// has not started it itself.
func TestRoomOfRunsOfAnEarlierLifeCounts(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		first, second := holding("00000000000000aa", 600), holding("00000000000000bb", 600)
		b.ctl.give(first)
		time.Sleep(time.Second)
		b.stop()
		b.begin()
		b.announceRoom(1000)
		b.ctl.give(second)
		time.Sleep(2 * time.Second)
		if b.worker.isRunning(runKey{second.Task, 1}) {
			t.Error("a run was started over the worker's room")
		}
	})
}
