// Package memnet joins processes of one test without sockets, so that they can live in
// virtual time: hosts can be isolated, and links have a delay and a rate.
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
	mu        sync.Mutex
	listeners map[string]*listener
	cut       map[string]bool // isolated IP numbers
	uplinks   map[string]*uplink
	link      Link
	carried   map[string]int64 // bytes by the IP number that sent them
	messages  map[string]int64 // writes by the IP number that made them
}

// Link is what every host's link has. The zero value is without delay or bound.
type Link struct {
	Delay       time.Duration // one way
	BytesPerSec int           // of what a host sends, over all its connections
}

// uplink tells when a host's link has carried what was put on it so far.
type uplink struct{ free time.Time }

// New returns a network of hosts that are all joined.
func New(link Link) *Network {
	return &Network{listeners: make(map[string]*listener), cut: make(map[string]bool), uplinks: make(map[string]*uplink),
		link: link, carried: make(map[string]int64), messages: make(map[string]int64)}
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
	if n.isCut(from, host) {
		time.Sleep(timeout)
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("i/o timeout")}
	}
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errRefused}
	}
	near, far := net.Pipe()
	local := &net.TCPAddr{IP: net.ParseIP(from), Port: 1}
	select {
	case l.conns <- n.join(far, host, from, l.addr, local):
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errRefused}
	}
	return n.join(near, from, host, local, l.addr), nil
}

// Isolate cuts a host off, or joins it again. A cut link stays open and silent, as when
// a switch drops packets.
func (n *Network) Isolate(ip string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[ip] = on
}

// Carried returns how many bytes a host has sent.
func (n *Network) Carried(ip string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.carried[ip]
}

// Messages returns how many messages a host has sent: requests and answers, which are each
// written at once unless they are long.
func (n *Network) Messages(ip string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.messages[ip]
}

func (n *Network) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return a != b && (n.cut[a] || n.cut[b])
}

func (n *Network) count(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messages[ip]++
}

// reserve puts bytes on a host's link and returns when they have arrived.
func (n *Network) reserve(ip string, bytes int) (arrives time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.carried[ip] += int64(bytes)
	now := time.Now()
	if n.link.BytesPerSec == 0 {
		return now.Add(n.link.Delay)
	}
	u := n.uplinks[ip]
	if u == nil {
		u = &uplink{}
		n.uplinks[ip] = u
	}
	if u.free.Before(now) {
		u.free = now
	}
	u.free = u.free.Add(time.Duration(bytes) * time.Second / time.Duration(n.link.BytesPerSec))
	return u.free.Add(n.link.Delay)
}

// listener is a process's listener.
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

// Of a link with a delay or a rate.
const (
	pieceBytes   = 16 << 10 // is put on the link at once, so that connections share it
	windowPieces = 16       // under way on a connection before its writer waits
)

// conn is one end of a connection. It loses what is written while its link is cut, for
// good, and what is under way when it is closed.
type conn struct {
	net.Conn
	net           *Network
	from, to      string
	local, remote *net.TCPAddr
	once          sync.Once
	closed        chan struct{}
	// pieces are under way; nil on a link without delay and bound.
	pieces chan piece
	mu     sync.Mutex
	until  time.Time // deadline of writes
}

// piece is a part of a write, and when it arrives.
type piece struct {
	bytes []byte
	at    time.Time
}

func (n *Network) join(pipe net.Conn, from, to string, local, remote *net.TCPAddr) *conn {
	c := &conn{Conn: pipe, net: n, from: from, to: to, local: local, remote: remote, closed: make(chan struct{})}
	if n.link != (Link{}) {
		c.pieces = make(chan piece, windowPieces)
		go c.carry()
	}
	return c
}

// carry hands over what was written, each piece when it arrives.
func (c *conn) carry() {
	for {
		select {
		case p := <-c.pieces:
			time.Sleep(time.Until(p.at))
			if c.net.isCut(c.from, c.to) {
				continue
			}
			if _, err := c.Conn.Write(p.bytes); err != nil {
				return
			}
		case <-c.closed:
			return
		}
	}
}

func (c *conn) Write(b []byte) (int, error) {
	c.net.count(c.from)
	if c.net.isCut(c.from, c.to) {
		return len(b), nil
	}
	if c.pieces == nil {
		c.net.reserve(c.from, len(b))
		return c.Conn.Write(b)
	}
	for done := 0; done < len(b); {
		end := min(done+pieceBytes, len(b))
		if err := c.put(append([]byte(nil), b[done:end]...)); err != nil {
			return done, err
		}
		done = end
	}
	return len(b), nil
}

// put waits until there is room on the connection.
func (c *conn) put(b []byte) error {
	c.mu.Lock()
	until := c.until
	c.mu.Unlock()
	var late <-chan time.Time
	if !until.IsZero() {
		timer := time.NewTimer(time.Until(until))
		defer timer.Stop()
		late = timer.C
	}
	select {
	case c.pieces <- piece{b, c.net.reserve(c.from, len(b))}:
		return nil
	case <-c.closed:
		return net.ErrClosed
	case <-late:
		return os.ErrDeadlineExceeded
	}
}

func (c *conn) SetDeadline(t time.Time) error {
	c.setUntil(t)
	return c.Conn.SetDeadline(t)
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.setUntil(t)
	if c.pieces != nil {
		return nil // the far end may be slower than the writer's deadline
	}
	return c.Conn.SetWriteDeadline(t)
}

func (c *conn) setUntil(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = t
}

func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *conn) LocalAddr() net.Addr  { return c.local }
func (c *conn) RemoteAddr() net.Addr { return c.remote }
