package transport

import (
	"errors"
	"net"
	"syscall"
)

// StillOpen reports whether the peer of a connection still waits for a response: as far as this
// host knows, it has neither closed nor reset the connection. A request that a network partition
// delayed arrives together with the end of its connection, since its sender has given up long
// before. A connection that gives no access to its socket counts as open.
func StillOpen(c net.Conn) bool {
	raw, ok := innermost(c).(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false // closed on this side
	}
	open := true
	// Control works whatever the deadline for reading, which is over when a call takes long.
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == nil:
			open = n > 0
		case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.Is(err, syscall.ETIMEDOUT):
			open = false
		}
	})
	return err == nil && open
}
