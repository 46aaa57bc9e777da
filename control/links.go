package control

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/waxwinghaven/waxwinghaven/quorum"
	"github.com/waxwinghaven/waxwinghaven/transport"
)

// Bounds of the queues to one replica.
const (
	linkQueue = 128
	linkBatch = 32
	// linkTimeout gives up a connection that has gone silent before the
	// followers behind it elect another leader, after 0.8 s.
	linkTimeout = 400 * time.Millisecond
	// bulkBytes is how much one call of the bulk lane carries, and smallBytes how
	// much may be in the contact's lane at a time: 3 ms of a link of 200 Mbit/s, and
	// a quarter of the time that its call has on one of 5 Mbit/s.
	bulkBytes  = 512 << 10
	smallBytes = 64 << 10
	// slowLink is the rate, in bytes a second, at which a bulk call must get on: a
	// twenty-fifth of 200 Mbit/s. A bound that doesn't follow from the size cuts off
	// each large call on a link that is shared, and what it carried is sent again
	// without end.
	slowLink = 1 << 20
)

var bulkLost = metrics.NewCounter(`waxwinghaven_replication_lost_total`)

// links sends log messages in two lanes to each replica. Contact, votes, answers and
// small appends have one, entries in bulk and snapshots the other: a leader whose
// contact waits behind bulk is taken for gone, by the very replica that it brings up.
// Each lane makes one call at a time, and entries never overtake others in the other
// lane: they would be refused for those before them, and sent again. A slow replica
// loses messages, never holds up the others.
type links struct {
	self   quorum.Replica
	client *transport.Client
	// lost is told that entries or a part of a snapshot may not have reached a
	// replica.
	lost   func(id uint64)
	mu     sync.Mutex
	peers  map[string]*peerLink
	closed bool
}

// peerLink is the two lanes to one replica.
type peerLink struct {
	contact, bulk chan []quorum.Message

	mu sync.Mutex
	// bulkBusy counts the messages of the bulk lane that are queued or under way.
	// While there are any, small appends follow them there.
	bulkBusy int
	// small is the bytes of entries in the contact's lane. The bulk lane waits until
	// there are none.
	small   int
	drained *sync.Cond // signalled when small is 0
}

func newPeerLink() *peerLink {
	p := &peerLink{contact: make(chan []quorum.Message, linkQueue), bulk: make(chan []quorum.Message, linkQueue)}
	p.drained = sync.NewCond(&p.mu)
	return p
}

func newLinks(self quorum.Replica, c *transport.Client) *links {
	return &links{self: self, client: c, lost: func(uint64) {}, peers: make(map[string]*peerLink)}
}

// Send implements quorum.Sender.
func (l *links) Send(to quorum.Replica, msgs []quorum.Message) {
	if to.Address == "" {
		return // not in the configuration any more
	}
	p := l.peer(to.Address)
	contact, bulk := p.split(msgs)
	if !offer(p.contact, contact) {
		p.sentSmall(payloadBytes(contact))
		l.dropped(contact)
	}
	if len(bulk) > 0 && !offer(p.bulk, bulk) {
		p.finished(len(bulk))
		l.dropped(bulk)
	}
}

// offer queues messages unless the queue is full, and reports whether it did.
func offer(q chan []quorum.Message, msgs []quorum.Message) bool {
	if len(msgs) == 0 {
		return true
	}
	select {
	case q <- msgs:
		return true
	default:
		return false
	}
}

// split sorts messages by lane.
func (p *peerLink) split(msgs []quorum.Message) (contact, bulk []quorum.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range msgs {
		size := m.PayloadBytes()
		if size > 0 && (p.bulkBusy > 0 || p.small+size > smallBytes) {
			bulk = append(bulk, m)
			p.bulkBusy++
			continue
		}
		contact = append(contact, m)
		p.small += size
	}
	return contact, bulk
}

// sentSmall notes that entries have left the contact's lane, whether they arrived or not.
func (p *peerLink) sentSmall(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.small -= bytes; p.small == 0 {
		p.drained.Signal()
	}
}

// awaitSmall waits until no entries are in the contact's lane: one call there, at most.
func (p *peerLink) awaitSmall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.small > 0 {
		p.drained.Wait()
	}
}

func (p *peerLink) finished(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bulkBusy -= n
}

func (l *links) peer(addr string) *peerLink {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[addr]
	if p == nil {
		p = newPeerLink()
		l.peers[addr] = p
		if !l.closed {
			go l.runContact(addr, p)
			go l.runBulk(addr, p)
		}
	}
	return p
}

func (l *links) runContact(addr string, p *peerLink) {
	for msgs := range p.contact {
		batch := append([]quorum.Message(nil), msgs...)
		for len(batch) < linkBatch && len(p.contact) > 0 {
			batch = append(batch, <-p.contact...)
		}
		err := l.call(addr, batch, linkTimeout)
		p.sentSmall(payloadBytes(batch))
		if err != nil {
			l.dropped(batch)
		}
	}
}

// runBulk sends entries and snapshots. After a call that failed it drops what is
// queued behind: the leader goes back to what was acknowledged last, and sends from
// there.
func (l *links) runBulk(addr string, p *peerLink) {
	for msgs := range p.bulk {
		batch := append([]quorum.Message(nil), msgs...)
		size := payloadBytes(batch)
		for size < bulkBytes && len(p.bulk) > 0 {
			more := <-p.bulk
			batch, size = append(batch, more...), size+payloadBytes(more)
		}
		p.awaitSmall()
		err := l.call(addr, batch, linkTimeout+time.Duration(size)*time.Second/slowLink)
		for err != nil && len(p.bulk) > 0 {
			batch = append(batch, <-p.bulk...)
		}
		p.finished(len(batch))
		if err != nil {
			l.dropped(batch)
		}
	}
}

func (l *links) call(addr string, batch []quorum.Message, timeout time.Duration) error {
	return l.client.Call(addr, PathQuorum, timeout, &QuorumBatch{l.self, batch}, nil)
}

// dropped tells of the first lost message that the leader must send again.
func (l *links) dropped(batch []quorum.Message) {
	for _, m := range batch {
		if m.PayloadBytes() > 0 {
			bulkLost.Inc()
			l.lost(m.To)
			return
		}
	}
}

func payloadBytes(msgs []quorum.Message) int {
	n := 0
	for _, m := range msgs {
		n += m.PayloadBytes()
	}
	return n
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for addr, p := range l.peers {
		close(p.contact)
		close(p.bulk)
		delete(l.peers, addr)
	}
}
