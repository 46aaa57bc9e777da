package transport

import (
	"net"
	"testing"
	"time"
)

// StillOpen tells a peer that waits or sends more data from one that has closed or reset the
// connection.
func TestStillOpenDetectsClosedConnections(t *testing.T) {
	cases := []struct {
		name string
		do   func(*net.TCPConn)
		want bool
		late bool // the deadline for reading is over
	}{
		{"waits", func(*net.TCPConn) {}, true, false},
		{"waits longer than for reading", func(*net.TCPConn) {}, true, true},
		{"sends more", func(c *net.TCPConn) { c.Write([]byte("x")) }, true, false},
		{"has closed its side", func(c *net.TCPConn) { c.CloseWrite() }, false, false},
		{"has closed", func(c *net.TCPConn) { c.Close() }, false, true},
		{"has reset", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, false, false},
	}
	for _, x := range cases {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		from, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		x.do(from.(*net.TCPConn))
		if x.late {
			c.SetReadDeadline(time.Now().Add(-time.Second))
		}
		got := StillOpen(c)
		for range 200 { // what the peer did takes a moment to arrive
			if got == x.want {
				break
			}
			time.Sleep(5 * time.Millisecond)
			got = StillOpen(c)
		}
		if got != x.want {
			t.Errorf("the peer %s: %v", x.name, got)
		}
		c.Close()
		from.Close()
		ln.Close()
	}
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	if !StillOpen(a) {
		t.Error("a connection without access to its socket counts as closed")
	}
}
