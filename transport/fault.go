package transport

import (
	"net"
	"sync/atomic"
	"time"
)

// Fault tells whether the link from one IP number to another is cut.
type Fault func(from, to string) bool

// fault is set by tests only. A cut link stays open and silent, as when a
// switch drops packets: nothing tells either side.
var fault atomic.Pointer[Fault]

// SetFault installs a hook that cuts links silently, or removes it with nil.
// It is for proofs within one process and costs a shipped process one load of a
// pointer per dial.
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

// faultyConn loses what is written, and delivers nothing, while its link is cut.
// A connection that lost bytes never delivers again.
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
