package transport

import (
	"container/list"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
)

// connections bounds the connections of a server. When a client connects and none is free, the
// connection that has waited longest for a whole request of its client is closed. One whose request
// was read whole is never closed: its client gets the answer.
type connections struct {
	part         string
	writeTimeout time.Duration

	mu      sync.Mutex
	max     int
	all     int
	waiting list.List // of *conn, the longest waiting first
}

// closedReason is why a connection was closed by this side.
type closedReason string

const (
	closedForOther  closedReason = "displaced" // another client connected
	closedAllBusy   closedReason = "all-busy"  // all connections have requests that were read whole
	closedForMemory closedReason = "memory"    // bodies that are being read have taken all memory for them
	closedShutdown  closedReason = "shutdown"
)

func (p *connections) count(reason closedReason) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`waxwinghaven_connections_closed_total{part=%q,reason=%q}`, p.part, string(reason))).Inc()
}

// add takes a new connection, and closes another one if it has to. It returns nil if there is no
// place for it.
func (p *connections) add(nc net.Conn) *conn {
	c := &conn{Conn: nc, pool: p}
	p.mu.Lock()
	var displaced *conn
	full := p.all >= p.max
	if full {
		displaced = p.removeLongestWaiting()
	}
	if full && displaced == nil {
		p.mu.Unlock()
		p.count(closedAllBusy)
		return nil
	}
	p.all++
	c.place = p.waiting.PushBack(c)
	p.mu.Unlock()
	if displaced != nil {
		displaced.abort(closedForOther)
	}
	return c
}

// displaceOne closes the connection that has waited longest, and reports false if none waits.
func (p *connections) displaceOne(reason closedReason) bool {
	p.mu.Lock()
	c := p.removeLongestWaiting()
	p.mu.Unlock()
	if c != nil {
		c.abort(reason)
	}
	return c != nil
}

func (p *connections) setMax(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.max = n
}

// removeLongestWaiting returns nil if no connection waits. The caller holds the lock.
func (p *connections) removeLongestWaiting() *conn {
	front := p.waiting.Front()
	if front == nil {
		return nil
	}
	c := front.Value.(*conn)
	p.remove(c)
	return c
}

// remove gives up a connection's place. The caller holds the lock.
func (p *connections) remove(c *conn) {
	if c.removed {
		return
	}
	c.removed = true
	p.all--
	p.removeWaiting(c)
}

// removeWaiting removes a connection from those that wait. The caller holds the lock.
func (p *connections) removeWaiting(c *conn) {
	if c.place != nil {
		p.waiting.Remove(c.place)
		c.place = nil
	}
}

// closeWaiting closes all connections without a whole request.
func (p *connections) closeWaiting(reason closedReason) {
	for p.displaceOne(reason) {
	}
}

// conn is a client's connection. It waits until a request was read whole, then is busy until the
// response was written.
type conn struct {
	net.Conn
	pool *connections
	// Guarded by pool.mu.
	place   *list.Element // among those that wait, nil while busy
	removed bool
	kept    bool // is not displaced
}

// NetConn returns the connection below.
func (c *conn) NetConn() net.Conn { return c.Conn }

// setBusy reports false if the connection was displaced.
func (c *conn) setBusy() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.removed {
		return false
	}
	c.pool.removeWaiting(c)
	return true
}

func (c *conn) setWaiting() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if !c.removed && !c.kept && c.place == nil {
		c.place = c.pool.waiting.PushBack(c)
	}
}

// keepConnection keeps the connection of a request from being displaced from now on.
func keepConnection(q *fasthttp.RequestCtx) {
	c := connOf(q.Conn())
	if c == nil {
		return
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.kept = true
}

// displace closes the connection unless its request was read whole.
func (c *conn) displace(reason closedReason) {
	c.pool.mu.Lock()
	waiting := !c.removed && c.place != nil
	if waiting {
		c.pool.remove(c)
	}
	c.pool.mu.Unlock()
	if waiting {
		c.abort(reason)
	}
}

// writeStep is the part of a response in bytes that a client has to take within the write timeout.
const writeStep = 256 << 10

// Write implements net.Conn. It fails if the client doesn't read: such a client would hold its
// connection, and what is to be sent on it, for ever.
func (c *conn) Write(b []byte) (written int, err error) {
	for written < len(b) && err == nil {
		if err = c.Conn.SetWriteDeadline(time.Now().Add(c.pool.writeTimeout)); err != nil {
			return written, err
		}
		var n int
		n, err = c.Conn.Write(b[written:min(len(b), written+writeStep)])
		written += n
	}
	return written, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.pool.mu.Lock()
	c.pool.remove(c)
	c.pool.mu.Unlock()
	return c.Conn.Close()
}

// abort closes a connection that has no whole request.
func (c *conn) abort(reason closedReason) {
	c.pool.count(reason)
	closeSocket(c.Conn)
}

// closeSocket closes a connection without TLS's farewell, which waits for a client that doesn't read.
func closeSocket(c net.Conn) {
	if err := innermost(c).Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		logrus.Debugf("A connection could not be closed: %v.", err)
	}
}

// layered is a connection on top of another one.
type layered interface{ NetConn() net.Conn }

func innermost(c net.Conn) net.Conn {
	for {
		l, ok := c.(layered)
		if !ok {
			return c
		}
		c = l.NetConn()
	}
}

// handshaker is what fasthttp needs of a TLS connection.
type handshaker interface {
	Handshake() error
	ConnectionState() tls.ConnectionState
}

// secureConn is a conn above TLS.
type secureConn struct {
	*conn
	handshaker
}

// connOf returns the server's conn of a request's connection, nil if it has none.
func connOf(c net.Conn) *conn {
	switch c := c.(type) {
	case *conn:
		return c
	case *secureConn:
		return c.conn
	}
	return nil
}

// acceptPause is the wait after an Accept that failed, for descriptors or memory to become free.
const acceptPause = 20 * time.Millisecond

// boundedListener accepts connections within the bound of a server, and goes on accepting after
// failures that pass.
type boundedListener struct {
	net.Listener
	pool *connections
}

func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		switch {
		case err == nil:
			if c := l.pool.add(nc); c != nil {
				return asSecure(c), nil
			}
			nc.Close() // nothing of it was read
		case lastingAcceptError(err):
			return nil, err
		default:
			l.retry(err)
		}
	}
}

func asSecure(c *conn) net.Conn {
	if h, ok := c.Conn.(handshaker); ok {
		return &secureConn{c, h}
	}
	return c
}

func (l *boundedListener) retry(err error) {
	failures := metrics.GetOrCreateCounter(fmt.Sprintf(`waxwinghaven_accept_failures_total{part=%q}`, l.pool.part))
	failures.Inc()
	if failures.Get() == 1 {
		logrus.Warnf("%s: A connection could not be accepted, trying again: %v. Further failures are only counted.", l.pool.part, err)
	}
	if errors.Is(err, syscall.EMFILE) {
		l.pool.displaceOne(closedForOther)
	}
	time.Sleep(acceptPause)
}

// lastingAcceptError reports whether a listener will never accept again. All other errors concern
// one connection, or a lack of descriptors or memory.
func lastingAcceptError(err error) bool {
	if errors.Is(err, net.ErrClosed) || errors.Is(err, io.EOF) {
		return true
	}
	for _, lasting := range []error{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP} {
		if errors.Is(err, lasting) {
			return true
		}
	}
	return false
}
