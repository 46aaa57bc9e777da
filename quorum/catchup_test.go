package quorum

import (
	"strings"
	"testing"
)

// messageBytes is about what a message takes on the wire.
func messageBytes(m Message) int {
	const framing = 64
	return framing + m.PayloadBytes()
}

// narrowLink carries what the leader sends to one replica, in order and a bounded
// number of bytes a tick, as a link shared with other traffic does. Everything else
// in the group arrives within a tick.
type narrowLink struct {
	*network
	to      *fakeReplica
	perTick int // bytes
	queue   []Message
	budget  int
	sent    int // bytes that were put on the link
	silence int // longest run of ticks in which the replica heard nothing
	quiet   int
}

// tick advances the group by one tick.
func (l *narrowLink) tick() {
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
	l.carry()
}

func (l *narrowLink) carry() {
	l.quiet++
	l.budget = min(l.budget+l.perTick, max(l.perTick, l.budget))
	// What is small has a connection of its own and doesn't wait behind bulk.
	var bulk []Message
	for _, m := range l.queue {
		if len(m.Entries) > 0 || m.Chunk != nil {
			bulk = append(bulk, m)
			continue
		}
		l.hand(m)
	}
	l.queue = bulk
	for len(l.queue) > 0 && l.budget > 0 {
		l.budget -= messageBytes(l.queue[0])
		m := l.queue[0]
		l.queue = l.queue[1:]
		l.hand(m)
	}
	l.silence = max(l.silence, l.quiet)
}

func (l *narrowLink) hand(m Message) {
	if r := l.byID(m.To); r != nil {
		l.quiet = 0
		r.core.Step(m)
		l.process(r)
	}
}

// behind stops one follower, commits so many commands of a size and starts it again.
// The leader's snapshot covers all but the last few of them if compacted is set.
func behind(t *testing.T, commands, size int, compacted bool) (*narrowLink, *fakeReplica) {
	t.Helper()
	w, leader := settled(t, 5)
	away := w.others(leader)[0]
	w.stop(away)
	pad := strings.Repeat("x", size)
	for i := range commands {
		index, term, err := leader.core.Propose([]byte(pad))
		if err != nil {
			t.Fatal(err)
		}
		leader.acked[index] = term
		if i%100 == 0 {
			w.settle(1)
		}
	}
	w.settle(5)
	if compacted {
		w.compact(leader)
		forgetRetained(leader.core.log)
	}
	w.start(away)
	w.inFlight = nil
	return &narrowLink{network: w, to: away, perTick: 100 << 10}, leader
}

// A replica comes back with its disk whole and lacks more than the leader's log
// still holds, over a link that other traffic shares. The leader sends its snapshot.
// If each contact sent a part of it again, and each answer the next, the parts would
// multiply until no call ends in time: the replica hears no leader, counts as silent
// and is taken out, though it lacks half a second's worth of bytes.
func TestSnapshotIsSentOnceOverANarrowLink(t *testing.T) {
	l, leader := behind(t, 1500, 1000, true)
	size := len(leader.core.log.snap.Data)
	ticks := 0
	for ; ticks < 400 && l.to.at < leader.core.log.committed; ticks++ {
		l.tick()
	}
	if l.to.at < leader.core.log.committed {
		t.Errorf("not caught up after %d ticks", ticks)
	}
	if l.sent > size*5/4 {
		t.Errorf("%d bytes were sent to bring a snapshot of %d", l.sent, size)
	}
	if l.silence >= ElectionTicks {
		t.Errorf("the replica heard nothing for %d ticks", l.silence)
	}
}

// A replica that is slow to answer, or away, must not have the whole tail of the log put
// on the link for it: whatever is cut off there is sent again from the start, and the
// contact of the other replicas suffers.
func TestWhatIsUnderWayIsBounded(t *testing.T) {
	w, leader := settled(t, 3)
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
		t.Errorf("%d bytes are under way, at most %d may be", sent, most)
	}
}

// The leader takes snapshots faster than one of them gets to a replica on a slow link.
// Without the entries behind the snapshot that it was sent the replica would need the
// next snapshot, and again the next: it would never belong to the majority again.
func TestSnapshotOfASlowLinkIsOfUse(t *testing.T) {
	l, leader := behind(t, 1500, 1000, true)
	leader.core.log.retain = 10
	l.perTick = 20 << 10 // 75 ticks for the snapshot
	index := leader.core.log.snap.Index
	for tick := range 400 {
		if term := leader.core.Status().Term; l.to.at < index || l.to.core.log.committed < leader.core.log.committed {
			at, _, err := leader.core.Propose([]byte("more"))
			if err != nil {
				t.Fatal(err)
			}
			leader.acked[at] = term
		}
		l.tick()
		if tick%10 == 0 {
			l.compact(leader)
		}
	}
	if l.to.core.log.committed+10 < leader.core.log.committed {
		t.Errorf("it has %d of %d entries", l.to.core.log.committed, leader.core.log.committed)
	}
	if size := 1500 * 1000; l.sent > size*3/2 {
		t.Errorf("%d bytes were sent for a snapshot of %d", l.sent, size)
	}
}

// A replica was cut off, and what was sent to it meanwhile is lost. Its first answer
// tells that it is back: it must be sent what it lacks then, and not only once the
// leader has waited for an acknowledgement in vain.
func TestReplicaThatIsBackIsSentWhatItLacks(t *testing.T) {
	w, leader := settled(t, 3)
	away := w.others(leader)[0]
	w.isolate(away)
	for range 2 * ElectionTicks {
		w.settle(1)
	}
	for range 3 { // just before it is back
		w.propose(leader)
		w.settle(1)
	}
	clear(w.cut)
	w.settle(3 * HeartbeatTicks)
	if away.core.log.last() < leader.core.log.last() {
		t.Errorf("it has %d of %d entries", away.core.log.last(), leader.core.log.last())
	}
}
