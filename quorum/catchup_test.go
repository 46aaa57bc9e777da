package quorum

import (
	"strings"
	"testing"
)

// messageBytes returns the approximate size of a message on the wire.
func messageBytes(m Message) int {
	const framing = 64
	return framing + m.PayloadBytes()
}

// slowLink delivers the leader's messages to one replica in order and with a limited number of
// bytes per tick, like a link shared with other traffic. All other messages in the group arrive
// within a tick.
type slowLink struct {
	*network
	to             *fakeReplica
	perTick        int // bytes
	queue          []Message
	budget         int
	sent           int // bytes that were queued on the link
	maxSilentTicks int // longest run of ticks in which the replica received nothing
	silentTicks    int
}

// tick advances the group by one tick.
func (l *slowLink) tick() {
	l.network.tick()
	for range 40 {
		if len(l.inFlight) == 0 {
			break
		}
		for n := len(l.inFlight); n > 0 && len(l.inFlight) > 0; n-- {
			if m := l.inFlight[0]; m.To == l.to.disk.id {
				l.inFlight = l.inFlight[1:]
				l.queue = append(l.queue, m)
				l.sent += messageBytes(m)
				continue
			}
			l.deliver(0)
		}
	}
	l.transmit()
}

func (l *slowLink) transmit() {
	l.silentTicks++
	l.budget = min(l.budget+l.perTick, max(l.perTick, l.budget))
	// Small messages have a connection of their own and are not queued behind bulk data.
	var bulk []Message
	for _, m := range l.queue {
		if len(m.Entries) > 0 || m.Chunk != nil {
			bulk = append(bulk, m)
			continue
		}
		l.deliverMessage(m)
	}
	l.queue = bulk
	for len(l.queue) > 0 && l.budget > 0 {
		l.budget -= messageBytes(l.queue[0])
		m := l.queue[0]
		l.queue = l.queue[1:]
		l.deliverMessage(m)
	}
	l.maxSilentTicks = max(l.maxSilentTicks, l.silentTicks)
}

func (l *slowLink) deliverMessage(m Message) {
	if r := l.byID(m.To); r != nil {
		l.silentTicks = 0
		r.core.Step(m)
		l.process(r)
	}
}

// startBehind stops one follower, commits a number of commands of a size and starts it again. If
// compacted is set, the leader first takes a snapshot of all that it has applied and drops the
// entries that it covers.
func startBehind(t *testing.T, commands, size int, compacted bool) (*slowLink, *fakeReplica) {
	t.Helper()
	w, leader := settledNetwork(t, 5)
	stopped := w.others(leader)[0]
	w.stop(stopped)
	pad := strings.Repeat("x", size)
	for i := range commands {
		index, term, err := leader.core.Propose([]byte(pad))
		if err != nil {
			t.Fatal(err)
		}
		leader.proposals[index] = term
		if i%100 == 0 {
			w.settle(1)
		}
	}
	w.settle(5)
	if compacted {
		w.compact(leader)
		dropRetained(leader.core.log)
	}
	w.start(stopped)
	w.inFlight = nil
	return &slowLink{network: w, to: stopped, perTick: 100 << 10}, leader
}

// A replica returns with its disk intact and lacks more than the leader's log still holds, over a
// link shared with other traffic, so the leader sends its snapshot. If each heartbeat sent a part
// again and each response the next one, the parts would multiply until no request completes in
// time: the replica receives no heartbeats, counts as unresponsive and is removed, although it lacks
// only half a second's worth of bytes.
func TestSnapshotIsSentOnceOverASlowLink(t *testing.T) {
	l, leader := startBehind(t, 1500, 1000, true)
	size := len(leader.core.log.snap.Data)
	ticks := 0
	for ; ticks < 400 && l.to.appliedIndex < leader.core.log.committed; ticks++ {
		l.tick()
	}
	if l.to.appliedIndex < leader.core.log.committed {
		t.Errorf("not caught up after %d ticks", ticks)
	}
	if l.sent > size*5/4 {
		t.Errorf("%d bytes were sent for a snapshot of %d", l.sent, size)
	}
	if l.maxSilentTicks >= ElectionTicks {
		t.Errorf("the replica received nothing for %d ticks", l.maxSilentTicks)
	}
}

// Guards against queueing the whole log tail for a replica that is slow or unreachable: whatever is
// lost on the way is resent from the start, and heartbeats to the other replicas are delayed.
func TestBytesInFlightAreBounded(t *testing.T) {
	w, leader := settledNetwork(t, 3)
	slow := w.others(leader)[0]
	pad := make([]byte, 64<<10)
	sent := 0
	for range 100 {
		if _, _, err := leader.core.Propose(pad); err != nil {
			t.Fatal(err)
		}
		rd := leader.core.Ready()
		for _, m := range append(rd.Early, rd.Messages...) {
			if m.To == slow.disk.id {
				sent += m.PayloadBytes()
			}
		}
	}
	if most := windowBytes + maxAppendBytes; sent > most {
		t.Errorf("%d bytes are in flight, want at most %d", sent, most)
	}
}

// The leader takes snapshots faster than one reaches a replica on a slow link. If the entries after
// the snapshot being sent were dropped, the replica would need the next snapshot, and then the next:
// it would never count towards the majority again.
func TestReplicaOnASlowLinkCatchesUpBySnapshot(t *testing.T) {
	l, leader := startBehind(t, 1500, 1000, true)
	leader.core.log.retain = 10
	l.perTick = 20 << 10 // 75 ticks for the snapshot
	index := leader.core.log.snap.Index
	for tick := range 400 {
		if term := leader.core.Status().Term; l.to.appliedIndex < index || l.to.core.log.committed < leader.core.log.committed {
			at, _, err := leader.core.Propose([]byte("more"))
			if err != nil {
				t.Fatal(err)
			}
			leader.proposals[at] = term
		}
		l.tick()
		if tick%10 == 0 {
			l.compact(leader)
		}
	}
	if l.to.core.log.committed+10 < leader.core.log.committed {
		t.Errorf("the replica has %d of %d entries", l.to.core.log.committed, leader.core.log.committed)
	}
	if size := 1500 * 1000; l.sent > size*3/2 {
		t.Errorf("%d bytes were sent for a snapshot of %d", l.sent, size)
	}
}

// A replica was cut off, and the messages sent to it meanwhile are lost. Once it responds again, it
// must be sent what it lacks, without waiting for the leader's resend timer.
func TestReturningReplicaIsSentMissingEntries(t *testing.T) {
	w, leader := settledNetwork(t, 3)
	isolated := w.others(leader)[0]
	w.isolate(isolated)
	for range 2 * ElectionTicks {
		w.settle(1)
	}
	for range 3 { // just before the cut heals
		w.propose(leader)
		w.settle(1)
	}
	clear(w.cut)
	w.settle(3 * HeartbeatTicks)
	if isolated.core.log.last() < leader.core.log.last() {
		t.Errorf("the replica has %d of %d entries", isolated.core.log.last(), leader.core.log.last())
	}
}
