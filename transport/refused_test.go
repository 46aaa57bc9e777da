package transport

import (
	"errors"
	"net"
	"testing"
	"time"
)

// Guards against a worker that is taken for gone while it runs on: connections to it are reset, as
// by a bad link, and only a refused one tells that nobody stands there.
func TestOnlyARefusedConnectionTellsThatNobodyIsThere(t *testing.T) {
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
		Greet(h, func(conn net.Conn) error {
			_, _, err := CallJSONOn(conn, JSONCall{Path: "/", Timeout: time.Second})
			return err
		})
		_, _, err := CallJSON(h, JSONCall{Path: "/", Timeout: time.Second})
		return err
	}
	if err := call(); err == nil || errors.Is(err, ErrRefused) {
		t.Errorf("a connection that is reset: %v", err)
	}
	ln.Close()
	if err := call(); !errors.Is(err, ErrRefused) || !errors.Is(err, ErrNotSent) || !errors.Is(err, ErrClosed) {
		t.Errorf("a connection that is refused: %v", err)
	}
}
