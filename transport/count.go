package transport

import (
	"net"

	"github.com/VictoriaMetrics/metrics"
)

var (
	linkSent     = metrics.NewCounter(`waxwinghaven_link_bytes_total{direction="sent"}`)
	linkReceived = metrics.NewCounter(`waxwinghaven_link_bytes_total{direction="received"}`)
)

// meteredConn counts the bytes on a connection between the system's own processes. It lies below
// TLS, so it counts the bytes that the network carries.
type meteredConn struct{ net.Conn }

// NetConn returns the connection below.
func (c meteredConn) NetConn() net.Conn { return c.Conn }

func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	linkReceived.Add(n)
	return n, err
}

func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	linkSent.Add(n)
	return n, err
}

// meteredListener counts the bytes on all connections that it accepts.
type meteredListener struct{ net.Listener }

func (l meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return meteredConn{c}, nil
}
