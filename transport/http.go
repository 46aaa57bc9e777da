package transport

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/settings"
	"golang.org/x/sync/errgroup"
)

// HTTPServer is an HTTP server that bounds what its clients can make the process hold: connections,
// the bodies of their requests, and answers that they don't read. Its handler gets whole requests.
type HTTPServer struct {
	part    string
	clients Clients
	handler fasthttp.RequestHandler
	limits  Limits
	pool    *connections
	maxBody atomic.Int64
	// DecodeCost is the memory in bytes that a byte of a body takes at most while it is decoded and
	// passed on.
	DecodeCost int
	// Shed answers a request that was read whole and for which no memory is free. It must not say
	// more than this server knows. By default it closes the connection.
	Shed fasthttp.RequestHandler

	mu       sync.Mutex
	running  *errgroup.Group // of the generations, nil before Serve
	current  *generation
	header   int           // bytes of a request's head
	readTime time.Duration // for a whole request
	idle     time.Duration // between two requests
	stopped  bool
}

// NewHTTPServer returns a server. Malformed, oversized and slow requests get an error response or
// have their connection closed, and are counted.
func NewHTTPServer(part string, clients Clients, h fasthttp.RequestHandler, maxBody int) *HTTPServer {
	l := currentLimits()
	s := &HTTPServer{part: part, clients: clients, handler: h, limits: l, header: l.Header, readTime: headerReadTimeout, idle: 2 * idleTimeout,
		pool: &connections{part: part, max: l.maxConnections(clients, l.Header), writeTimeout: l.WriteTimeout}}
	s.maxBody.Store(int64(maxBody))
	s.DecodeCost = defaultDecodeCost
	s.Shed = func(q *fasthttp.RequestCtx) { closeUnanswered(q) }
	return s
}

// RequestLimits are limits of requests that may change while a server runs; 0 leaves one as it is.
type RequestLimits struct {
	Header, Body int           // bytes
	ReadTimeout  time.Duration // for a whole request
	IdleTimeout  time.Duration // between two requests on a connection
}

// SetRequestLimits changes the limits. The server takes larger heads, and waits longer, if the
// limits say so; connections made before learn it by being closed when they are idle.
func (s *HTTPServer) SetRequestLimits(l RequestLimits) {
	if l.Body > 0 {
		s.maxBody.Store(int64(l.Body))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	header, readTime, idle := max(s.header, min(l.Header, settings.MaxHeaderBytes)), max(s.readTime, l.ReadTimeout), max(s.idle, l.IdleTimeout)
	if header == s.header && readTime == s.readTime && idle == s.idle {
		return
	}
	s.header, s.readTime, s.idle = header, readTime, idle
	s.pool.setMax(s.limits.maxConnections(s.clients, header))
	if s.running == nil || s.stopped {
		return
	}
	before := s.current
	s.startGeneration()
	s.running.Go(func() error { before.shutdown(); return nil })
}

// requestLineBytes is the room for a request's first line beside its header fields.
const requestLineBytes = 4 << 10

// HeaderRoom returns the size of a head whose fields have so many bytes.
func HeaderRoom(fields int) int { return fields + requestLineBytes }

// generation serves the connections that were made while one set of limits was in force.
type generation struct {
	server *fasthttp.Server
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// startGeneration has new connections served with the limits in force. The caller holds the lock.
func (s *HTTPServer) startGeneration() {
	g := &generation{server: s.fasthttpServer(), conns: make(chan net.Conn), closed: make(chan struct{})}
	s.current = g
	s.running.Go(func() error { return g.server.Serve(g) })
}

func (s *HTTPServer) fasthttpServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler: s.serve, CloseOnShutdown: true, NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		ReadTimeout: s.readTime, IdleTimeout: s.idle, ReadBufferSize: s.header, Concurrency: maxFiles,
		// Bodies are read by this package, within the memory for them.
		StreamRequestBody: true, DisablePreParseMultipartForm: true,
		Logger: discardLogger{}, ErrorHandler: func(ctx *fasthttp.RequestCtx, err error) { badRequest(s.part, ctx, err) },
		ConnState: func(c net.Conn, state fasthttp.ConnState) {
			if c := connOf(c); c != nil && state == fasthttp.StateIdle {
				c.setWaiting()
			}
		},
	}
}

// Accept implements net.Listener.
func (g *generation) Accept() (net.Conn, error) {
	select {
	case c := <-g.conns:
		return c, nil
	case <-g.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (g *generation) Close() error {
	g.once.Do(func() { close(g.closed) })
	return nil
}

// Addr implements net.Listener. Nobody asks for it: connections know their own addresses.
func (g *generation) Addr() net.Addr { return &net.TCPAddr{} }

// shutdownTimeout bounds the wait for requests in progress at shutdown.
const shutdownTimeout = 20 * time.Second

// shutdown waits for requests in progress, and closes idle connections.
func (g *generation) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	g.Close() // also if the server hasn't begun to accept
	if err := g.server.ShutdownWithContext(ctx); err != nil {
		logrus.Debugf("Requests were still in progress at the shutdown of a server: %v.", err)
	}
}

// serve reads a request's body and passes the whole request on.
func (s *HTTPServer) serve(q *fasthttp.RequestCtx) {
	c := connOf(q.Conn())
	r := &bodyReader{conn: c, until: time.Now().Add(s.readTime)}
	body, err := r.read(&q.Request, int(s.maxBody.Load()))
	defer func() { memory.give(r.taken) }()
	if err != nil {
		s.refuseBody(q, err)
		return
	}
	if c != nil && !c.setBusy() {
		return // displaced, its client sees the connection closed
	}
	if cost := s.decodeCost(len(body)); cost > 0 {
		if !memory.take(cost, time.Now().Add(memoryWait)) {
			refusal.Count(s.part, refusal.NoMemory)
			s.Shed(q)
			return
		}
		r.taken += cost
	}
	q.Request.SetBodyRaw(body)
	s.handler(q)
	// An answer is flushed before the next request is read: while it isn't, the client waits for it.
	if err := q.SetWriteDeadline(time.Now().Add(s.limits.WriteTimeout)); err != nil {
		q.SetConnectionClose()
	}
}

func (s *HTTPServer) decodeCost(bytes int) int64 {
	if s.clients == Processes && bytes <= freeBodyBytes {
		return 0
	}
	return memory.capped(int64(s.DecodeCost) * int64(bytes))
}

// refuseBody answers a request whose body was not read whole, or closes its connection if its client
// may send the same again.
func (s *HTTPServer) refuseBody(q *fasthttp.RequestCtx, err error) {
	var timeout net.Error
	switch {
	case errors.Is(err, errNoMemory):
		refusal.Count(s.part, refusal.NoMemory)
		closeUnanswered(q)
	case errors.Is(err, net.ErrClosed), errors.Is(err, errBodyTooShort), errors.As(err, &timeout) && !timeout.Timeout():
		closeUnanswered(q) // its client has gone, or was displaced
	default:
		badRequest(s.part, q, err)
	}
}

// closeUnanswered closes a request's connection without an answer: the client can't know what became
// of the request, which is the truth for one that may have been sent before.
func closeUnanswered(q *fasthttp.RequestCtx) {
	q.SetConnectionClose()
	closeSocket(q.Conn())
}

// badRequest answers what can't be read.
func badRequest(part string, ctx *fasthttp.RequestCtx, err error) {
	code, status := refusal.Invalid, fasthttp.StatusBadRequest
	var timeout net.Error
	var head *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		code, status = refusal.TooLarge, fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &head):
		code, status = refusal.TooLarge, fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		status = fasthttp.StatusRequestTimeout
	}
	refusal.Count(part, code)
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set("Waxwing-Outcome", "not-run")
	ctx.Response.Header.Set("Waxwing-Reason", string(code))
	ctx.SetConnectionClose()
	ctx.SetBodyString(string(code) + ": the request cannot be read; send well-formed HTTP/1.1 within the size limit\n")
}

// discardLogger drops fasthttp's own log lines, since this package counts and logs errors
// itself.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// ServeHTTP accepts connections until ctx ends, then waits for requests in progress, at most
// shutdownTimeout.
func ServeHTTP(ctx context.Context, s *HTTPServer, ln net.Listener) error {
	if s.clients == Callers {
		boundReceiveBuffers(ln)
	}
	s.mu.Lock()
	s.running = new(errgroup.Group)
	s.startGeneration()
	s.mu.Unlock()
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		s.shutdown(ln)
	})
	err := s.accept(&boundedListener{ln, s.pool})
	if !stop() {
		<-done // the requests in progress have finished
		return nil
	}
	s.shutdown(ln)
	return Error.Wrap(err)
}

func (s *HTTPServer) accept(ln net.Listener) error {
	for {
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		s.handOver(c)
	}
}

// handOver passes a connection to the newest generation.
func (s *HTTPServer) handOver(c net.Conn) {
	for {
		s.mu.Lock()
		g := s.current
		s.mu.Unlock()
		select {
		case g.conns <- c:
			return
		case <-g.closed:
		}
		s.mu.Lock()
		ended := s.stopped || s.current == g
		s.mu.Unlock()
		if ended {
			c.Close() // nothing of it was read
			return
		}
	}
}

// shutdownGrace is the time that clients have at a shutdown to end a request that they have begun
// to send.
const shutdownGrace = 500 * time.Millisecond

func (s *HTTPServer) shutdown(ln net.Listener) {
	if err := ln.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		logrus.Debugf("%s: A listener could not be closed: %v.", s.part, err)
	}
	s.mu.Lock()
	s.stopped = true
	g, running := s.current, s.running
	s.mu.Unlock()
	grace := time.AfterFunc(shutdownGrace, func() { s.pool.closeWaiting(closedShutdown) })
	defer grace.Stop()
	g.shutdown()
	if err := running.Wait(); err != nil {
		logrus.Debugf("%s: A server ended: %v.", s.part, err)
	}
}

// boundReceiveBuffers bounds what the system keeps for the connections of a listener before it is
// read. It is a precaution: where it isn't possible, the bound on connections has to be enough.
func boundReceiveBuffers(ln net.Listener) {
	raw, ok := ln.(syscall.Conn)
	if !ok {
		return
	}
	rc, err := raw.SyscallConn()
	if err == nil {
		setErr := rc.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
		})
		err = errors.Join(err, setErr)
	}
	if err != nil {
		logrus.Infof("The receive buffers of callers stay as they are: %v.", err)
	}
}
