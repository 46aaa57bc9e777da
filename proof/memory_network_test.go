package proof

import (
	"errors"
	"net"
	"sync"
	"time"
)

// memoryNetwork joins processes of one test without sockets, so that they can live in
// virtual time. A cut link stays open and silent, as when a switch drops packets.
type memoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	cut       map[string]bool // isolated IP numbers
}

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{listeners: make(map[string]*memoryListener), cut: make(map[string]bool)}
}

var errRefused = errors.New("connection refused")

// Listen implements transport.Network.
func (n *memoryNetwork) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, errors.New("address in use")
	}
	addr, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &memoryListener{net: n, addr: addr, conns: make(chan net.Conn, 64), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dial implements transport.Network.
func (n *memoryNetwork) Dial(from, address string, timeout time.Duration) (net.Conn, error) {
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
	case l.conns <- &memoryConn{far, n, host, from, l.addr, local}:
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errRefused}
	}
	return &memoryConn{near, n, from, host, local, l.addr}, nil
}

func (n *memoryNetwork) isolate(ip string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[ip] = on
}

func (n *memoryNetwork) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return a != b && (n.cut[a] || n.cut[b])
}

// memoryListener is a process's listener.
type memoryListener struct {
	net    *memoryNetwork
	addr   *net.TCPAddr
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
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

func (l *memoryListener) Addr() net.Addr { return l.addr }

// memoryConn loses what is written while its link is cut, for good.
type memoryConn struct {
	net.Conn
	net           *memoryNetwork
	from, to      string
	local, remote *net.TCPAddr
}

func (c *memoryConn) Write(b []byte) (int, error) {
	if c.net.isCut(c.from, c.to) {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *memoryConn) LocalAddr() net.Addr  { return c.local }
func (c *memoryConn) RemoteAddr() net.Addr { return c.remote }
