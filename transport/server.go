package transport

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// Bounds on what a peer may make a server hold.
const (
	headerReadTimeout = 10 * time.Second
	readBufferBytes   = 8 << 10
	maxConcurrency    = 16 << 10
)

// Handler answers one decoded message.
type Handler func(body []byte) (any, error)

type route struct {
	handle Handler
	roles  []Role
	calls  *metrics.Counter
}

// Server answers typed messages.
type Server struct {
	part   string
	tls    *tls.Config
	routes map[string]route
	raw    map[string]fasthttp.RequestHandler
	server *fasthttp.Server
}

// NewServer returns a server; part names it in logs and counters.
func NewServer(part string, tlsConfig *tls.Config) *Server {
	s := &Server{part: part, tls: tlsConfig, routes: make(map[string]route), raw: make(map[string]fasthttp.RequestHandler)}
	s.server = NewHTTPServer(part, s.serve, maxBodyBytes)
	return s
}

// NewHTTPServer returns a fasthttp server with this system's bounds. A peer that
// sends garbage, too much or too slowly is answered or cut, and counted.
func NewHTTPServer(part string, h fasthttp.RequestHandler, maxBody int) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: h, CloseOnShutdown: true, NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		ReadTimeout: headerReadTimeout, IdleTimeout: 2 * idleTimeout, ReadBufferSize: readBufferBytes,
		MaxRequestBodySize: maxBody, Concurrency: maxConcurrency, DisablePreParseMultipartForm: true,
		Logger: quiet{}, ErrorHandler: func(ctx *fasthttp.RequestCtx, err error) { badRequest(part, ctx, err) },
	}
}

// quiet drops fasthttp's own lines; this system counts and logs by itself.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

func badRequest(part string, ctx *fasthttp.RequestCtx, err error) {
	code, status := refusal.Invalid, fasthttp.StatusBadRequest
	if err == fasthttp.ErrBodyTooLarge {
		code, status = refusal.TooLarge, fasthttp.StatusRequestEntityTooLarge
	}
	refusal.Count(part, code)
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set("Waxwing-Outcome", "not-run")
	ctx.Response.Header.Set("Waxwing-Reason", string(code))
	ctx.SetConnectionClose()
	ctx.SetBodyString(string(code) + ": the request cannot be read; send well-formed HTTP/1.1 within the size limit\n")
}

// Handle answers messages at path from peers whose key has one of the roles.
func (s *Server) Handle(path string, h Handler, roles ...Role) {
	calls := metrics.GetOrCreateCounter(fmt.Sprintf(`waxwinghaven_calls_served_total{part=%q,path=%q}`, s.part, path))
	s.routes[path] = route{h, roles, calls}
}

// Raw serves a path without decoding.
func (s *Server) Raw(path string, h fasthttp.RequestHandler) { s.raw[path] = h }

func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if h, ok := s.raw[path]; ok {
		h(ctx)
		return
	}
	r, ok := s.routes[path]
	if !ok {
		s.refuse(ctx, refusal.New(refusal.NotFound, "run the same version on both sides", "no handler at %s", path))
		return
	}
	if !s.allowed(ctx, r) {
		s.refuse(ctx, refusal.New(refusal.Forbidden, "use a key made for the right role", "this key may not call %s", path))
		return
	}
	r.calls.Inc()
	resp, err := r.handle(ctx.PostBody())
	if err != nil {
		s.refuse(ctx, err)
		return
	}
	s.answer(ctx, fasthttp.StatusOK, resp)
}

func (s *Server) allowed(ctx *fasthttp.RequestCtx, r route) bool {
	return s.tls == nil || HasRole(ctx, r.roles...)
}

func (s *Server) refuse(ctx *fasthttp.RequestCtx, err error) {
	e, ok := refusal.Of(err)
	if !ok {
		e = refusal.New(refusal.Invalid, "see the log of the process that answered", "%v", err)
	}
	refusal.Count(s.part, e.Code)
	s.answer(ctx, fasthttp.StatusConflict, e)
}

func (s *Server) answer(ctx *fasthttp.RequestCtx, status int, v any) {
	b, err := Encode(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.Response.SetBodyRaw(b)
}

// Serve answers on a listener until the context ends, then lets requests in
// progress finish.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	return ServeHTTP(ctx, s.server, Secure(s.part, meteredListener{ln}, s.tls))
}

// ServeHTTP runs a server until the context ends, then shuts it down.
func ServeHTTP(ctx context.Context, server *fasthttp.Server, ln net.Listener) error {
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(ended)
		shutdown(server)
	})
	err := server.Serve(ln)
	if !stop() {
		<-ended // the requests in progress have finished
		return nil
	}
	return Error.Wrap(err)
}

// shutdownBound ends a shutdown whose requests do not end.
const shutdownBound = 20 * time.Second

func shutdown(server *fasthttp.Server) {
	bound, cancel := context.WithTimeout(context.Background(), shutdownBound)
	defer cancel()
	server.ShutdownWithContext(bound)
}

// Secure wraps a listener in TLS and counts the peers whose key is refused.
func Secure(part string, ln net.Listener, cfg *tls.Config) net.Listener {
	if cfg == nil {
		return ln
	}
	counted := cfg.Clone()
	counted.VerifyConnection = nil
	return &secureListener{Listener: ln, part: part, cfg: counted}
}

type secureListener struct {
	net.Listener
	part string
	cfg  *tls.Config
}

func (l *secureListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: tls.Server(c, l.cfg), part: l.part}, nil
}

// countedConn bounds the handshake in time and counts a failed one.
type countedConn struct {
	*tls.Conn
	part string
	once sync.Once
	err  error
}

// Handshake is called by the server before it reads the first request.
func (c *countedConn) Handshake() error {
	c.once.Do(func() {
		c.SetDeadline(time.Now().Add(headerReadTimeout))
		if c.err = c.Conn.Handshake(); c.err != nil {
			c.refused()
		}
		c.SetDeadline(time.Time{})
	})
	return c.err
}

func (c *countedConn) refused() {
	metrics.GetOrCreateCounter(fmt.Sprintf(`waxwinghaven_handshakes_refused_total{part=%q}`, c.part)).Inc()
	logrus.WithField("peer", c.RemoteAddr().String()).Warnf("%s: Refused a peer without a valid key: %v.", c.part, c.err)
}

func (c *countedConn) Read(b []byte) (int, error) {
	if err := c.Handshake(); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// Listen opens a listener on an address from settings.
func Listen(address string) (net.Listener, error) {
	if n := network.Load(); n != nil {
		return (*n).Listen(address)
	}
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, Error.New("cannot listen on %s (%v); check that the address belongs to this instance and is free", address, err)
	}
	return ln, nil
}
