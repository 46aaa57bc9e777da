// Package memnet connects the processes of one test in memory instead of by sockets, so that
// they can run in virtual time. Hosts can be isolated, and links have a delay and a bandwidth.
package memnet

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// Network is a network in memory. It implements transport.Network.
type Network struct {
	mu           sync.Mutex
	listeners    map[string]*listener
	isolated     map[string]bool // by IP number
	uplinks      map[string]*uplink
	link         Link
	delay        DelayFunc
	bytesSent    map[string]int64 // by the sender's IP number
	messagesSent map[string]int64 // writes, by the sender's IP number
}

// Link describes the link of every host. The zero value has no delay and unlimited bandwidth.
type Link struct {
	Delay       time.Duration // one way
	BytesPerSec int           // sending rate of a host over all its connections; 0 is unlimited
}

// uplink records until when a host's link is busy with what was written so far.
type uplink struct{ busyUntil time.Time }

// New returns a network whose hosts are all connected.
func New(link Link) *Network {
	return &Network{listeners: make(map[string]*listener), isolated: make(map[string]bool), uplinks: make(map[string]*uplink),
		link: link, bytesSent: make(map[string]int64), messagesSent: make(map[string]int64)}
}

var errRefused = errors.New("connection refused")

// Listen implements transport.Network.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, errors.New("address in use")
	}
	addr, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &listener{net: n, addr: addr, conns: make(chan net.Conn, 64), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dial implements transport.Network.
func (n *Network) Dial(from, address string, timeout time.Duration) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	if n.isBlocked(from, host) {
		time.Sleep(timeout)
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("i/o timeout")}
	}
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errRefused}
	}
	clientEnd, serverEnd := net.Pipe()
	local := &net.TCPAddr{IP: net.ParseIP(from), Port: 1}
	select {
	case l.conns <- n.newConn(serverEnd, host, from, l.addr, local):
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errRefused}
	}
	return n.newConn(clientEnd, from, host, local, l.addr), nil
}

// Isolate cuts a host off, or reconnects it. The connections of an isolated host stay open
// without delivering anything, as when a switch drops packets.
func (n *Network) Isolate(ip string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[ip] = on
}

// DelayFunc returns for how long the network holds up a write, 0 for not at all. The addresses are IP
// numbers.
type DelayFunc func(from, to string, b []byte) time.Duration

// SetDelay sets the function that decides which writes are held up, nil for none. What is written to
// the connection afterwards arrives behind the bytes that are held up, also the end of the connection,
// as when a lost segment is sent again after a timeout: a message may arrive long after its sender has
// given up or ended. It only applies to links without delay and bandwidth limit.
func (n *Network) SetDelay(delay DelayFunc) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

func (n *Network) delayOf(from, to string, b []byte) time.Duration {
	n.mu.Lock()
	delay := n.delay
	n.mu.Unlock()
	if delay == nil {
		return 0
	}
	return delay(from, to, b)
}

// BytesSent returns the number of bytes that a host has sent.
func (n *Network) BytesSent(ip string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytesSent[ip]
}

// MessagesSent returns the number of messages, requests and responses, that a host has sent. It
// counts writes: each message is a single write unless it is long.
func (n *Network) MessagesSent(ip string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.messagesSent[ip]
}

func (n *Network) isBlocked(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return a != b && (n.isolated[a] || n.isolated[b])
}

func (n *Network) count(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messagesSent[ip]++
}

// reserve accounts for bytes on a host's link and returns when they arrive.
func (n *Network) reserve(ip string, bytes int) (arrives time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytesSent[ip] += int64(bytes)
	now := time.Now()
	if n.link.BytesPerSec == 0 {
		return now.Add(n.link.Delay)
	}
	u := n.uplinks[ip]
	if u == nil {
		u = &uplink{}
		n.uplinks[ip] = u
	}
	if u.busyUntil.Before(now) {
		u.busyUntil = now
	}
	u.busyUntil = u.busyUntil.Add(time.Duration(bytes) * time.Second / time.Duration(n.link.BytesPerSec))
	return u.busyUntil.Add(n.link.Delay)
}

type listener struct {
	net    *Network
	addr   *net.TCPAddr
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mu.Lock()
		delete(l.net.listeners, l.addr.String())
		l.net.mu.Unlock()
		for {
			select {
			case c := <-l.conns:
				c.Close()
			default:
				return
			}
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return l.addr }

// Parameters of links with a delay or a bandwidth.
const (
	segmentBytes   = 16 << 10 // unit of sending, so that connections share the link
	windowSegments = 16       // in flight on a connection before its writer waits
)

// conn is one end of a connection. What is written while its link is cut is lost for good, and
// so is what is in flight when it is closed.
type conn struct {
	net.Conn
	net           *Network
	from, to      string
	local, remote *net.TCPAddr
	once          sync.Once
	closed        chan struct{}
	// segments holds what is in flight; nil on a link without delay and bandwidth limit.
	segments      chan segment
	mu            sync.Mutex
	writeDeadline time.Time
	held          []segment // writes that are held up, oldest first
	delivering    bool      // deliverHeld is running
	ending        bool      // closed while writes were held up
}

// segment is a part of a write, with the time at which it arrives.
type segment struct {
	bytes []byte
	at    time.Time
}

func (n *Network) newConn(pipe net.Conn, from, to string, local, remote *net.TCPAddr) *conn {
	c := &conn{Conn: pipe, net: n, from: from, to: to, local: local, remote: remote, closed: make(chan struct{})}
	if n.link != (Link{}) {
		c.segments = make(chan segment, windowSegments)
		go c.deliver()
	}
	return c
}

// deliver passes each segment to the other end at its time of arrival.
func (c *conn) deliver() {
	for {
		select {
		case seg := <-c.segments:
			time.Sleep(time.Until(seg.at))
			if c.net.isBlocked(c.from, c.to) {
				continue
			}
			if _, err := c.Conn.Write(seg.bytes); err != nil {
				return
			}
		case <-c.closed:
			return
		}
	}
}

func (c *conn) Write(b []byte) (int, error) {
	c.net.count(c.from)
	if c.net.isBlocked(c.from, c.to) {
		return len(b), nil
	}
	if c.segments == nil {
		c.net.reserve(c.from, len(b))
		if c.hold(b) {
			return len(b), nil
		}
		return c.Conn.Write(b)
	}
	for done := 0; done < len(b); {
		end := min(done+segmentBytes, len(b))
		if err := c.enqueue(append([]byte(nil), b[done:end]...)); err != nil {
			return done, err
		}
		done = end
	}
	return len(b), nil
}

// hold reports whether a write is held up: by itself, or behind earlier ones.
func (c *conn) hold(b []byte) bool {
	d := c.net.delayOf(c.from, c.to, b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if d == 0 && !c.delivering {
		return false
	}
	c.held = append(c.held, segment{append([]byte(nil), b...), time.Now().Add(d)})
	if !c.delivering {
		c.delivering = true
		go c.deliverHeld()
	}
	return true
}

// deliverHeld passes the writes that are held up to the other end, in order.
func (c *conn) deliverHeld() {
	for {
		seg, ok := c.nextHeld()
		if !ok {
			return
		}
		time.Sleep(time.Until(seg.at))
		if c.net.isBlocked(c.from, c.to) {
			continue
		}
		c.Conn.SetWriteDeadline(time.Time{}) // the sender may have given up meanwhile
		c.Conn.Write(seg.bytes)              // fails if the other end has closed the connection
	}
}

// nextHeld takes the oldest write that is held up. After the last one it ends the connection if it
// was closed meanwhile.
func (c *conn) nextHeld() (seg segment, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.held) > 0 {
		seg, c.held = c.held[0], c.held[1:]
		return seg, true
	}
	c.delivering = false
	if c.ending {
		c.Conn.Close()
	}
	return seg, false
}

// enqueue puts a segment on the link; it waits for space in the connection's window until the
// write deadline.
func (c *conn) enqueue(b []byte) error {
	c.mu.Lock()
	deadline := c.writeDeadline
	c.mu.Unlock()
	var expired <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case c.segments <- segment{b, c.net.reserve(c.from, len(b))}:
		return nil
	case <-c.closed:
		return net.ErrClosed
	case <-expired:
		return os.ErrDeadlineExceeded
	}
}

func (c *conn) SetDeadline(t time.Time) error {
	c.storeWriteDeadline(t)
	return c.Conn.SetDeadline(t)
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.storeWriteDeadline(t)
	if c.segments != nil {
		return nil // the other end may read later than the writer's deadline
	}
	return c.Conn.SetWriteDeadline(t)
}

func (c *conn) storeWriteDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
}

func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.delivering {
		c.ending = true
		return c.Conn.SetReadDeadline(time.Now())
	}
	return c.Conn.Close()
}

func (c *conn) LocalAddr() net.Addr  { return c.local }
func (c *conn) RemoteAddr() net.Addr { return c.remote }
