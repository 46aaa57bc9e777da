package transport

import (
	"net"
	"sync/atomic"
	"time"
)

// Network replaces the sockets. Tests in virtual time need it, since a real socket waits in real
// time.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(from, address string, timeout time.Duration) (net.Conn, error)
}

// network is set by tests only.
var network atomic.Pointer[Network]

// SetNetwork installs a network in place of the sockets, or removes it if n is nil. In
// production it costs one pointer load per listener and dial.
func SetNetwork(n Network) {
	if n == nil {
		network.Store(nil)
		return
	}
	network.Store(&n)
}
