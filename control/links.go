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
	// linkTimeout gives up on a connection that no longer answers before the followers behind it
	// elect another leader, after 0.8 s.
	linkTimeout = 400 * time.Millisecond
	// maxBulkBytes is the payload of one call in the bulk lane, and maxSmallBytes the payload
	// that may be in the priority lane at a time: 3 ms of a 200 Mbit/s link, and a quarter of the
	// call's timeout on a 5 Mbit/s link.
	maxBulkBytes  = 512 << 10
	maxSmallBytes = 64 << 10
	// minLinkRate is the rate, in bytes per second, at which a bulk call must progress: a
	// twenty-fifth of 200 Mbit/s. A timeout independent of the size would abort each large call
	// on a shared link, and its content would be resent forever.
	minLinkRate = 1 << 20
)

var bulkLost = metrics.NewCounter(`waxwinghaven_replication_lost_total`)

// links sends log messages to each replica in two lanes. Heartbeats, votes, answers and small
// appends use the priority lane, large appends and snapshots the bulk lane: if heartbeats queued
// behind bulk data, the replica that is catching up would take its leader for failed. Each lane
// makes one call at a time. Entries never overtake others in the other lane, since the receiver
// would reject them for the missing ones and they would be resent. Messages to a slow replica are
// dropped and never delay the others.
type links struct {
	self   quorum.Replica
	client *transport.Client
	// onLost is called when entries or a part of a snapshot may not have reached a replica.
	onLost func(id uint64)
	mu     sync.Mutex
	peers  map[string]*peerLink
	closed bool
}

// peerLink holds the two lanes to one replica.
type peerLink struct {
	priority, bulk chan []quorum.Message

	mu sync.Mutex
	// bulkBusy counts the messages in the bulk lane that are queued or in flight. While there are
	// any, small appends follow them there.
	bulkBusy int
	// small is the size in bytes of the entries in the priority lane. The bulk lane waits until
	// it is 0.
	small   int
	drained *sync.Cond // signalled when small reaches 0
}

func newPeerLink() *peerLink {
	p := &peerLink{priority: make(chan []quorum.Message, linkQueue), bulk: make(chan []quorum.Message, linkQueue)}
	p.drained = sync.NewCond(&p.mu)
	return p
}

func newLinks(self quorum.Replica, c *transport.Client) *links {
	return &links{self: self, client: c, onLost: func(uint64) {}, peers: make(map[string]*peerLink)}
}

// Send implements quorum.Sender.
func (l *links) Send(to quorum.Replica, msgs []quorum.Message) {
	if to.Address == "" {
		return // no longer in the configuration
	}
	p := l.peer(to.Address)
	priority, bulk := p.split(msgs)
	if !offer(p.priority, priority) {
		p.releaseSmall(payloadBytes(priority))
		l.reportLost(priority)
	}
	if len(bulk) > 0 && !offer(p.bulk, bulk) {
		p.bulkDone(len(bulk))
		l.reportLost(bulk)
	}
}

// offer queues messages unless the queue is full, and reports whether it did so.
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

// split assigns messages to the lanes.
func (p *peerLink) split(msgs []quorum.Message) (priority, bulk []quorum.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range msgs {
		size := m.PayloadBytes()
		if size > 0 && (p.bulkBusy > 0 || p.small+size > maxSmallBytes) {
			bulk = append(bulk, m)
			p.bulkBusy++
			continue
		}
		priority = append(priority, m)
		p.small += size
	}
	return priority, bulk
}

// releaseSmall subtracts entries that have left the priority lane, delivered or not.
func (p *peerLink) releaseSmall(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.small -= bytes; p.small == 0 {
		p.drained.Signal()
	}
}

// awaitSmall waits until the priority lane holds no entries, which takes at most one call.
func (p *peerLink) awaitSmall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.small > 0 {
		p.drained.Wait()
	}
}

func (p *peerLink) bulkDone(n int) {
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
			go l.runPriority(addr, p)
			go l.runBulk(addr, p)
		}
	}
	return p
}

func (l *links) runPriority(addr string, p *peerLink) {
	for msgs := range p.priority {
		batch := append([]quorum.Message(nil), msgs...)
		for len(batch) < linkBatch && len(p.priority) > 0 {
			batch = append(batch, <-p.priority...)
		}
		err := l.call(addr, batch, linkTimeout)
		p.releaseSmall(payloadBytes(batch))
		if err != nil {
			l.reportLost(batch)
		}
	}
}

// runBulk sends entries and snapshots. When a call fails it drops what is queued: the leader goes
// back to the last acknowledged entry and sends from there.
func (l *links) runBulk(addr string, p *peerLink) {
	for msgs := range p.bulk {
		batch := append([]quorum.Message(nil), msgs...)
		size := payloadBytes(batch)
		for size < maxBulkBytes && len(p.bulk) > 0 {
			more := <-p.bulk
			batch, size = append(batch, more...), size+payloadBytes(more)
		}
		p.awaitSmall()
		err := l.call(addr, batch, linkTimeout+time.Duration(size)*time.Second/minLinkRate)
		for err != nil && len(p.bulk) > 0 {
			batch = append(batch, <-p.bulk...)
		}
		p.bulkDone(len(batch))
		if err != nil {
			l.reportLost(batch)
		}
	}
}

func (l *links) call(addr string, batch []quorum.Message, timeout time.Duration) error {
	return l.client.Call(addr, PathQuorum, timeout, &QuorumBatch{l.self, batch}, nil)
}

// reportLost reports the first lost message that the leader must resend.
func (l *links) reportLost(batch []quorum.Message) {
	for _, m := range batch {
		if m.PayloadBytes() > 0 {
			bulkLost.Inc()
			l.onLost(m.To)
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
		close(p.priority)
		close(p.bulk)
		delete(l.peers, addr)
	}
}
