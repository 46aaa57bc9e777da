package runner

import (
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

// announceCapacity sends a heartbeat with a capacity.
func (b *bench) announceCapacity(milliCPU int64) {
	b.seq++
	b.runner.Announce(Announcement{Worker: "w1", Service: "vault", Capacity: resource.Vector{MilliCPU: milliCPU, MemoryMB: 1000}, Sequence: b.seq})
}

func orderHolding(job string, milliCPU int64) jobs.Order {
	return jobs.Order{Task: jobs.Ref{Job: job}, Run: 1, Payload: "p", Held: resource.Vector{MilliCPU: milliCPU, MemoryMB: 10}}
}

// Guards against starts beyond a worker's capacity, which shrank while orders decided on the
// old capacity were in flight. The worker starts whatever it is told to, so its own tasks and
// the serving tasks beside them would run out of memory or time. The agent must reject such a
// run.
func TestStartsFitTheCapacityThatTheWorkerAnnouncedLast(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		first, second, third := orderHolding("00000000000000aa", 600), orderHolding("00000000000000bb", 600), orderHolding("00000000000000cc", 300)
		b.ctl.give(first)
		time.Sleep(time.Second)
		b.announceCapacity(1000)
		b.ctl.give(second)
		b.ctl.give(third)
		time.Sleep(time.Second)
		key := func(o jobs.Order) runKey { return runKey{o.Task, o.Run} }
		if !b.worker.isRunning(key(first)) || b.worker.isRunning(key(second)) || !b.worker.isRunning(key(third)) {
			t.Fatalf("started %v", b.worker.started())
		}
		b.wantEnd(key(second), jobs.OutcomeRejected)
		// A run that is being stopped occupies its capacity until its end is listed.
		b.ctl.give(stopOf(key(first)))
		time.Sleep(time.Second)
		b.announceCapacity(700)
		again := orderHolding("00000000000000dd", 400)
		b.ctl.give(again)
		time.Sleep(time.Second)
		if !b.worker.isRunning(key(again)) {
			t.Error("nothing was started in the capacity that an ended run has freed")
		}
		// Capacity that grows again is used.
		b.announceCapacity(2000)
		large := orderHolding("00000000000000ee", 1200)
		b.ctl.give(large)
		time.Sleep(time.Second)
		if !b.worker.isRunning(key(large)) {
			t.Error("nothing was started in the capacity that has grown again")
		}
	})
}

// Guards against starts beyond the capacity of a full worker after the agent has restarted:
// runs of the earlier session count, though this session has not started them.
func TestCapacityOfRunsOfAnEarlierSessionCounts(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		first, second := orderHolding("00000000000000aa", 600), orderHolding("00000000000000bb", 600)
		b.ctl.give(first)
		time.Sleep(time.Second)
		b.stop()
		b.begin()
		b.announceCapacity(1000)
		b.ctl.give(second)
		time.Sleep(2 * time.Second)
		if b.worker.isRunning(runKey{second.Task, 1}) {
			t.Error("a run was started beyond the worker's capacity")
		}
	})
}
