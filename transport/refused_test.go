package transport

import (
	"errors"
	"net"
	"testing"
	"time"
)

// Guards against treating a running worker as gone: a connection that is reset, as by a faulty
// network, must not count as refused. Only a refused connection shows that no process listens at
// the address.
func TestOnlyRefusedConnectionMeansNoListener(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
	}()
	call := func() error {
		h := NewJSONHost(ln.Addr().String(), "127.0.0.1", 1)
		VerifyConns(h, func(conn net.Conn) error {
			_, _, err := CallJSONOn(conn, JSONCall{Path: "/", Timeout: time.Second})
			return err
		})
		_, _, err := CallJSON(h, JSONCall{Path: "/", Timeout: time.Second})
		return err
	}
	if err := call(); err == nil || errors.Is(err, ErrRefused) {
		t.Errorf("a reset connection: %v", err)
	}
	ln.Close()
	if err := call(); !errors.Is(err, ErrRefused) || !errors.Is(err, ErrNotSent) || !errors.Is(err, ErrClosed) {
		t.Errorf("a refused connection: %v", err)
	}
}
