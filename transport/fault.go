package transport

import (
	"net"
	"sync/atomic"
	"time"
)

// Fault reports whether the link from one IP number to another is cut.
type Fault func(from, to string) bool

// fault is set by tests only. A cut link stays open without delivering anything, as when a
// switch drops packets: neither side gets an error.
var fault atomic.Pointer[Fault]

// SetFault installs a hook that cuts links without an error on either side, or removes it if f
// is nil. It is for tests that run several processes' code in one process; in production it
// costs one pointer load per dial.
func SetFault(f Fault) {
	if f == nil {
		fault.Store(nil)
		return
	}
	fault.Store(&f)
}

func wrapFault(c net.Conn) net.Conn {
	if fault.Load() == nil {
		return c
	}
	from, _, _ := net.SplitHostPort(c.LocalAddr().String())
	to, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	return &faultyConn{Conn: c, from: from, to: to}
}

// faultyConn drops writes and delivers no reads while its link is cut. A connection that has
// lost bytes never delivers again.
type faultyConn struct {
	net.Conn
	from, to string
	lost     atomic.Bool
}

func (c *faultyConn) cut() bool {
	f := fault.Load()
	return f != nil && ((*f)(c.from, c.to) || (*f)(c.to, c.from))
}

func (c *faultyConn) Write(b []byte) (int, error) {
	if c.cut() {
		c.lost.Store(true)
	}
	if c.lost.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *faultyConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || (!c.cut() && !c.lost.Load()) {
			return n, err
		}
		c.lost.Store(true)
		time.Sleep(time.Millisecond)
	}
}
