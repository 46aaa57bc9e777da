package transport

import (
	"errors"
	"net"
	"syscall"
)

// StillOpen reports whether the other side of a connection still waits for an answer: it has
// neither closed nor reset it, as far as is known here. A request that was held up by a cut
// arrives together with the end of its connection, which its sender gave up long ago. A
// connection that can't be looked at counts as open.
func StillOpen(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false // it is closed on this side
	}
	open := true
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == nil:
			open = n > 0
		case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.Is(err, syscall.ETIMEDOUT):
			open = false
		}
		return true
	})
	return err == nil && open
}
