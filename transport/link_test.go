package transport

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/valyala/fasthttp"
)

func testKeys(tb testing.TB, dir, name string, roles ...Role) *tls.Config {
	tb.Helper()
	if err := MakeKey(dir, name, roles); err != nil {
		tb.Fatal(err)
	}
	cfg, err := LoadTLS(&Keys{filepath.Join(dir, "ca.pem"), filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key")})
	if err != nil {
		tb.Fatal(err)
	}
	return cfg
}

func authority(tb testing.TB) string {
	tb.Helper()
	dir := tb.TempDir()
	if err := MakeAuthority(dir); err != nil {
		tb.Fatal(err)
	}
	return dir
}

type echo struct {
	Text string `msgpack:"t"`
}

func serveEcho(tb testing.TB, cfg *tls.Config) string {
	tb.Helper()
	s := NewServer("test", cfg)
	s.Handle("/echo", func(b []byte) (any, error) {
		var e echo
		return e, Decode(b, &e)
	}, RoleAgent)
	ln, err := Listen("127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, ln) }()
	tb.Cleanup(func() { cancel(); <-done })
	return ln.Addr().String()
}

// A peer with a key of the right role is served. A peer whose key is from another authority, has
// another role or is missing is refused, whatever it calls.
func TestPeersWithoutAValidKeyAreRefused(t *testing.T) {
	ours, theirs := authority(t), authority(t)
	addr := serveEcho(t, testKeys(t, ours, "control", RoleControl))
	call := func(cfg *tls.Config) error {
		return NewClient(cfg, "127.0.0.1").Call(addr, "/echo", 5*time.Second, &echo{"x"}, &echo{})
	}
	if err := call(testKeys(t, ours, "agent", RoleEntry, RoleAgent)); err != nil {
		t.Errorf("the right key: %v", err)
	}
	if err := call(testKeys(t, ours, "entry", RoleEntry)); err == nil || !strings.Contains(err.Error(), "forbidden") {
		t.Errorf("the wrong role: %v", err)
	}
	if err := call(testKeys(t, theirs, "agent", RoleAgent)); err == nil || !strings.Contains(err.Error(), "no valid key") {
		t.Errorf("another authority: %v", err)
	}
	if err := call(&tls.Config{InsecureSkipVerify: true}); err == nil {
		t.Error("no key at all was answered")
	}
	if err := call(nil); err == nil {
		t.Error("a plain connection was answered")
	}
}

// Decode must read or reject any bytes that a peer sends as a message.
func FuzzDecode(f *testing.F) {
	good, err := Encode(&echo{"x"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(append(good, 1))
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		var e echo
		if Decode(b, &e) == nil {
			if _, err := Encode(&e); err != nil {
				t.Fatal(err)
			}
		}
	})
}

const (
	linkBytes   = 300
	linkCallers = 8 // per processor
)

// BenchmarkLinkTCP measures requests from entry to agent: HTTP/1.1 over TLS over TCP.
func BenchmarkLinkTCP(b *testing.B) {
	dir := authority(b)
	ln, err := Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := NewHTTPServer("test", Callers, func(ctx *fasthttp.RequestCtx) { ctx.SetBody(ctx.PostBody()) }, 1<<20)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- ServeHTTP(ctx, server, Secure("test", ln, testKeys(b, dir, "agent", RoleAgent))) }()
	defer func() { cancel(); <-done }()
	client := NewClient(testKeys(b, dir, "entry", RoleEntry), "127.0.0.1")
	host, body := client.Host(ln.Addr().String()), make([]byte, linkBytes)
	b.SetParallelism(linkCallers)
	b.RunParallel(func(pb *testing.PB) {
		q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		for pb.Next() {
			q.Header.SetMethod("POST")
			client.SetTarget(q, ln.Addr().String())
			q.SetBodyRaw(body)
			if err := host.Do(q, p); err != nil || len(p.Body()) != linkBytes {
				b.Errorf("%v, %d bytes", err, len(p.Body()))
				return
			}
		}
	})
}

// BenchmarkLinkQUIC measures the same requests over QUIC: one connection, a stream per request.
func BenchmarkLinkQUIC(b *testing.B) {
	dir := authority(b)
	serverTLS, clientTLS := testKeys(b, dir, "agent", RoleAgent), testKeys(b, dir, "entry", RoleEntry)
	serverTLS.NextProtos, clientTLS.NextProtos = []string{"w"}, []string{"w"}
	conf := &quic.Config{MaxIncomingStreams: 1 << 16}
	ln, err := quic.ListenAddr("127.0.0.1:0", serverTLS, conf)
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	go acceptQUIC(ln)
	conn, err := quic.DialAddr(context.Background(), ln.Addr().(*net.UDPAddr).String(), clientTLS, conf)
	if err != nil {
		b.Fatal(err)
	}
	body := make([]byte, linkBytes)
	b.ResetTimer()
	b.SetParallelism(linkCallers)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			s, err := conn.OpenStreamSync(context.Background())
			if err != nil {
				b.Error(err)
				return
			}
			s.Write(body)
			s.Close()
			if got, err := io.ReadAll(s); err != nil || len(got) != linkBytes {
				b.Errorf("%v, %d bytes", err, len(got))
				return
			}
		}
	})
}

func acceptQUIC(ln *quic.Listener) {
	for {
		conn, err := ln.Accept(context.Background())
		if err != nil {
			return
		}
		go func() {
			for {
				s, err := conn.AcceptStream(context.Background())
				if err != nil {
					return
				}
				go func() {
					b, err := io.ReadAll(s)
					if err == nil {
						s.Write(b)
					}
					s.Close()
				}()
			}
		}()
	}
}
