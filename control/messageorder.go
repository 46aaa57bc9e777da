package control

import (
	"time"

	"github.com/waxwinghaven/waxwinghaven/refusal"
)

const (
	// refusalRetention is how long a refusal is remembered. A message whose sender had heard nothing
	// from this leader for that long is not taken: it may have been sent before any of the refusals
	// that are forgotten. Entries hear from the leader at least every two seconds.
	refusalRetention = 5 * time.Second
	// maxRefusals bounds the remembered refusals: eight times what is refused within the retention
	// at 1,500 submissions per second.
	maxRefusals = 1 << 16
)

// messageOrder keeps a refusal true for messages that are still on their way. A message about a job
// may be delayed by the network while its sender tries again, and arrive after the second try was
// refused and the caller was told that the job never runs. By then there may be room for it.
//
// Each answer of the leader carries a stamp, and each message the newest stamp that its sender had
// received when it sent it. A message whose stamp is older than the last refusal about its job may
// have been sent before that refusal, so it is not taken. Its sender, if it still waits, sends it
// again with the stamp of that answer. Stamps count this leader's own answers: the order holds
// whatever the network, the clocks and the suspensions of either side do. Messages to other
// leaders carry another term.
//
// It is not safe for concurrent use.
type messageOrder struct {
	term  uint64
	begun time.Time
	last  uint64            // the newest stamp's tick, in microseconds since begun
	floor uint64            // messages with an older tick are not taken
	since map[string]uint64 // the tick of the last refusal, by what the message is about
	queue []refusalMark     // the same, oldest first
}

// refusalMark is a remembered refusal.
type refusalMark struct {
	about string
	tick  uint64
}

func newMessageOrder(term uint64, now time.Time) *messageOrder {
	return &messageOrder{term: term, begun: now, since: make(map[string]uint64)}
}

// next returns a stamp that is newer than all earlier ones.
func (m *messageOrder) next(now time.Time) *refusal.Stamp {
	m.last = max(m.last+1, m.tick(now))
	return &refusal.Stamp{Term: m.term, Tick: m.last}
}

func (m *messageOrder) tick(now time.Time) uint64 {
	return uint64(max(now.Sub(m.begun), 0).Microseconds())
}

// check returns a refusal unless a message was certainly sent after the last refusal about the same
// job. seen is the newest stamp that its sender had received, nil from senders of earlier versions,
// whose messages are taken.
func (m *messageOrder) check(about string, seen *refusal.Stamp, now time.Time) error {
	if seen == nil {
		return nil
	}
	m.forget(now)
	if seen.Term == m.term && seen.Tick >= m.floor && seen.Tick >= m.since[about] {
		return nil
	}
	e := refusal.New(refusal.Stale, "send it again if its caller still waits", "the message may have been sent before an answer about the same job")
	e.Stamp = m.next(now)
	return e
}

// refuse remembers a refusal. Messages about the same job that were sent before are not taken any
// more, wherever they are.
func (m *messageOrder) refuse(about string, now time.Time) {
	if len(m.queue) >= maxRefusals {
		m.floor = m.next(now).Tick
		m.since, m.queue = make(map[string]uint64), nil
	}
	tick := m.next(now).Tick
	m.since[about] = tick
	m.queue = append(m.queue, refusalMark{about, tick})
}

// forget drops the refusals whose retention has passed. Messages that may have been sent before
// them are not taken.
func (m *messageOrder) forget(now time.Time) {
	bound := m.tick(now)
	if bound <= uint64(refusalRetention.Microseconds()) {
		return
	}
	m.floor = max(m.floor, bound-uint64(refusalRetention.Microseconds()))
	n := 0
	for n < len(m.queue) && m.queue[n].tick <= m.floor {
		if x := m.queue[n]; m.since[x.about] == x.tick {
			delete(m.since, x.about)
		}
		n++
	}
	m.queue = m.queue[n:]
}
