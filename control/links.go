package control

import (
	"sync"
	"time"

	"github.com/waxwinghaven/waxwinghaven/quorum"
	"github.com/waxwinghaven/waxwinghaven/transport"
)

// Bounds of the queue to one replica.
const (
	linkQueue = 128
	linkBatch = 32
	// linkTimeout gives up a connection that has gone silent before the
	// followers behind it elect another leader, after 0.8 s.
	linkTimeout = 400 * time.Millisecond
)

// links sends log messages, one goroutine and one call at a time per replica,
// so messages keep their order. A slow replica loses messages, never holds
// up the others.
type links struct {
	self   quorum.Replica
	client *transport.Client
	mu     sync.Mutex
	queues map[string]chan []quorum.Message
	closed bool
}

func newLinks(self quorum.Replica, c *transport.Client) *links {
	return &links{self: self, client: c, queues: make(map[string]chan []quorum.Message)}
}

// Send implements quorum.Sender.
func (l *links) Send(to quorum.Replica, msgs []quorum.Message) {
	if to.Address == "" {
		return // not in the configuration any more
	}
	select {
	case l.queue(to.Address) <- msgs:
	default: // the protocol sends again
	}
}

func (l *links) queue(addr string) chan []quorum.Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.queues[addr]
	if q == nil {
		q = make(chan []quorum.Message, linkQueue)
		l.queues[addr] = q
		if !l.closed {
			go l.run(addr, q)
		}
	}
	return q
}

func (l *links) run(addr string, q chan []quorum.Message) {
	for msgs := range q {
		batch := append([]quorum.Message(nil), msgs...)
		for len(batch) < linkBatch && len(q) > 0 {
			batch = append(batch, <-q...)
		}
		l.client.Call(addr, PathQuorum, linkTimeout, &QuorumBatch{l.self, batch}, nil)
	}
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for addr, q := range l.queues {
		close(q)
		delete(l.queues, addr)
	}
}
