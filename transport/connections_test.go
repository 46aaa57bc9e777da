package transport

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
)

// testWait bounds the wait for what has to happen at some time.
const testWait = 30 * time.Second

// testServer is a server whose calls of /wait are held until release is called.
type testServer struct {
	*HTTPServer
	addr    string
	waiting chan struct{} // receives a value for each call of /wait
	release func()
}

func limitTest(tb testing.TB, l Limits) {
	SetLimits(l)
	tb.Cleanup(func() { SetLimits(Limits{}) })
}

func newTestServer(tb testing.TB, c Clients, ln net.Listener, cfg *tls.Config) *testServer {
	tb.Helper()
	if ln == nil {
		var err error
		if ln, err = Listen("127.0.0.1:0"); err != nil {
			tb.Fatal(err)
		}
	}
	held := make(chan struct{})
	s := &testServer{addr: ln.Addr().String(), waiting: make(chan struct{}, 100), release: sync.OnceFunc(func() { close(held) })}
	s.HTTPServer = NewHTTPServer("test", c, func(q *fasthttp.RequestCtx) {
		switch string(q.Path()) {
		case "/wait":
			s.waiting <- struct{}{}
			<-held
		case "/keep":
			keepConnection(q)
		}
		q.SetBody(q.PostBody())
	}, 1<<20)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- ServeHTTP(ctx, s.HTTPServer, Secure("test", ln, cfg)) }()
	tb.Cleanup(func() {
		s.release()
		cancel()
		if err := <-done; err != nil {
			tb.Error(err)
		}
	})
	return s
}

// send opens a connection and writes to it.
func (s *testServer) send(tb testing.TB, data string) net.Conn {
	tb.Helper()
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { c.Close() })
	if _, err := io.WriteString(c, data); err != nil {
		tb.Fatal(err)
	}
	return c
}

// status returns the status of the answer on a connection, or an error if it is closed without one.
func status(c net.Conn) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(testWait)); err != nil {
		return 0, err
	}
	var p fasthttp.Response
	err := p.Read(bufio.NewReader(c))
	return p.StatusCode(), err
}

func waitFor(tb testing.TB, what string, ok func() bool) {
	tb.Helper()
	for end := time.Now().Add(testWait); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			tb.Fatalf("not within %v: %s", testWait, what)
		}
	}
}

// open returns the number of connections.
func (p *connections) open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.all
}

// taken returns the memory in use, in bytes.
func (b *budget) taken() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// checkStatus fails the test unless the status of the answer is as wanted, 0 for a connection that is
// closed without an answer.
func checkStatus(tb testing.TB, what string, c net.Conn, want int) {
	tb.Helper()
	got, err := status(c)
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		tb.Errorf("%s: neither answered nor closed", what)
	case err != nil && want != 0:
		tb.Errorf("%s: %v, want status %d", what, err, want)
	case err == nil && got != want:
		tb.Errorf("%s: status %d, want %d", what, got, want)
	}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// Guards against connections that send nothing and keep others out, and against requests that were
// read whole and lose their answer to a new connection.
func TestNewConnectionsDisplaceThoseThatWait(t *testing.T) {
	limitTest(t, Limits{Connections: 3})
	s := newTestServer(t, Callers, nil, nil)
	busy := s.send(t, get("/wait"))
	<-s.waiting
	idle := s.send(t, "")
	slow := s.send(t, "GET /slow")
	checkStatus(t, "a new client", s.send(t, get("/")), fasthttp.StatusOK)
	checkStatus(t, "the connection that waited longest", idle, 0)
	checkStatus(t, "another new client", s.send(t, get("/")), fasthttp.StatusOK)
	checkStatus(t, "the next one", slow, 0)
	s.release()
	checkStatus(t, "the request that was read whole", busy, fasthttp.StatusOK)
}

// Guards against more requests at once than a server has connections for: what was read is answered.
func TestNewConnectionsDisplaceNoRequests(t *testing.T) {
	limitTest(t, Limits{Connections: 3})
	s := newTestServer(t, Callers, nil, nil)
	var busy []net.Conn
	for range 3 {
		busy = append(busy, s.send(t, get("/wait")))
		<-s.waiting
	}
	checkStatus(t, "a fourth client", s.send(t, ""), 0)
	s.release()
	for _, c := range busy {
		checkStatus(t, "a request that was read whole", c, fasthttp.StatusOK)
	}
	checkStatus(t, "a client afterwards", s.send(t, get("/")), fasthttp.StatusOK)
}

// Guards against callers whose connections displace those of heartbeats and votes.
func TestKeptConnectionsAreNotDisplaced(t *testing.T) {
	limitTest(t, Limits{Files: 64})
	s := newTestServer(t, Processes, nil, nil)
	kept := s.send(t, get("/keep"))
	checkStatus(t, "the first call", kept, fasthttp.StatusOK)
	for range 2 * s.pool.max {
		s.send(t, "")
	}
	if _, err := io.WriteString(kept, get("/")); err != nil {
		t.Fatal(err)
	}
	checkStatus(t, "the second call", kept, fasthttp.StatusOK)
}

// Guards against TLS handshakes that are left half-way and keep others out.
func TestUnfinishedHandshakesKeepNobodyOut(t *testing.T) {
	limitTest(t, Limits{Connections: 3})
	dir := authority(t)
	s := newTestServer(t, Callers, nil, testKeys(t, dir, "entry", RoleEntry))
	for range 10 {
		s.send(t, "\x16\x03\x01")
	}
	c, err := tls.Dial("tcp", s.addr, testKeys(t, dir, "agent", RoleAgent))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, get("/")); err != nil {
		t.Fatal(err)
	}
	checkStatus(t, "a client with a key", c, fasthttp.StatusOK)
}

// failingListener fails a few times, as if descriptors were short.
type failingListener struct {
	net.Listener
	failures []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.failures) > 0 {
		err := l.failures[0]
		l.failures = l.failures[1:]
		return nil, &net.OpError{Op: "accept", Err: err}
	}
	return l.Listener.Accept()
}

// Guards against a server that ends because a connection could not be accepted.
func TestFailedAcceptsAreRepeated(t *testing.T) {
	ln, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	failures := []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO}
	s := newTestServer(t, Few, &failingListener{ln, failures}, nil)
	checkStatus(t, "a client", s.send(t, get("/")), fasthttp.StatusOK)
}

// Guards against a server that goes on with a listener that is broken for good.
func TestBrokenListenersEndTheServer(t *testing.T) {
	ln, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewHTTPServer("test", Few, func(*fasthttp.RequestCtx) {}, 1)
	if err := ServeHTTP(context.Background(), s, &failingListener{ln, []error{syscall.EBADF}}); err == nil {
		t.Error("the server ended without an error")
	}
}

// Guards against clients that send slowly and hold all memory for bodies, and against whole requests
// that are given up for others.
func TestArrivingBodiesGiveWay(t *testing.T) {
	limitTest(t, Limits{Bodies: 200 << 10})
	s := newTestServer(t, Callers, nil, nil)
	s.DecodeCost = 0
	half := strings.Repeat("x", 60<<10)
	unfinished := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 122880\r\n\r\n" + half
	const clients, each = 6, 64 << 10 // bytes that an unfinished body takes
	displaced := metrics.GetOrCreateCounter(`waxwinghaven_connections_closed_total{part="test",reason="memory"}`)
	before := displaced.Get()
	oldest := s.send(t, unfinished)
	waitFor(t, "the oldest holds its memory", func() bool { return memory.taken() == each })
	for range clients - 1 {
		s.send(t, unfinished)
	}
	waitFor(t, "the crowd holds the memory", func() bool {
		open := s.pool.open()
		return open+int(displaced.Get()-before) == clients && memory.taken() == int64(open)*each
	})
	checkStatus(t, "a whole request", s.send(t, post("/", half)), fasthttp.StatusOK)
	checkStatus(t, "the oldest unfinished one", oldest, 0)
}

// Guards against a body that is read whole and decoded when no memory is left for it.
func TestRequestsWithoutMemoryAreShed(t *testing.T) {
	limitTest(t, Limits{Bodies: 200 << 10})
	s := newTestServer(t, Callers, nil, nil)
	s.Shed = func(q *fasthttp.RequestCtx) { q.SetStatusCode(fasthttp.StatusGatewayTimeout) }
	s.DecodeCost = 64
	var busy []net.Conn
	for range largestPart {
		busy = append(busy, s.send(t, post("/wait", strings.Repeat("x", 4<<10))))
		<-s.waiting
	}
	checkStatus(t, "one more", s.send(t, post("/", strings.Repeat("x", 4<<10))), fasthttp.StatusGatewayTimeout)
	s.release()
	for _, c := range busy {
		checkStatus(t, "a request with memory", c, fasthttp.StatusOK)
	}
	checkStatus(t, "a request afterwards", s.send(t, post("/", strings.Repeat("x", 4<<10))), fasthttp.StatusOK)
	waitFor(t, "all memory is free", func() bool { return memory.taken() == 0 })
}

// Guards against requests that two servers in a row would split differently, and against bodies that
// are cut.
func TestAmbiguousRequestsAreRefused(t *testing.T) {
	s := newTestServer(t, Callers, nil, nil)
	for name, data := range map[string]string{
		"two lengths":              "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"a length beside chunks":   "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"a negative length":        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -3\r\n\r\n",
		"a length that overflows":  "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999\r\n\r\n",
		"a broken chunk":           "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"a body beyond the limit":  fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", 1<<20+1),
		"a head beyond the limit":  "GET / HTTP/1.1\r\nHost: a\r\nX-Note: " + strings.Repeat("x", 64<<10) + "\r\n\r\n",
		"chunks beyond the limit":  "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n", 1<<20+1) + strings.Repeat("x", 1<<20+1),
		"no sensible request line": "\x00\x01\x02\r\n\r\n",
	} {
		c, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		// The server may refuse before it has all.
		io.WriteString(c, data)
		c.(*net.TCPConn).CloseWrite()
		if got, err := status(c); err == nil && got < fasthttp.StatusBadRequest {
			t.Errorf("%s: status %d", name, got)
		}
		c.Close()
	}
	for _, sent := range []int{3, 20 << 10} {
		cut := s.send(t, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", sent))
		if err := cut.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		if got, err := status(cut); err == nil && got < fasthttp.StatusBadRequest {
			t.Errorf("a body cut after %d bytes: status %d", sent, got)
		}
	}
}

// Guards against connections that are cut when the limits grow, and against those that never learn it.
func TestGrownLimitsHoldForNewRequests(t *testing.T) {
	s := newTestServer(t, Callers, nil, nil)
	busy := s.send(t, get("/wait"))
	<-s.waiting
	long := "GET / HTTP/1.1\r\nHost: a\r\nX-Note: " + strings.Repeat("x", 40<<10) + "\r\n\r\n"
	checkStatus(t, "a long head before", s.send(t, long), fasthttp.StatusRequestHeaderFieldsTooLarge)
	s.SetRequestLimits(RequestLimits{Header: HeaderRoom(44 << 10), Body: 2 << 20})
	checkStatus(t, "a long head", s.send(t, long), fasthttp.StatusOK)
	checkStatus(t, "a long body", s.send(t, post("/", strings.Repeat("x", 2<<20))), fasthttp.StatusOK)
	s.release()
	checkStatus(t, "a request from before", busy, fasthttp.StatusOK)
}
