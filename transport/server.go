package transport

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// headerReadTimeout is the time in which a client has to send a request, unless more is allowed.
const headerReadTimeout = 10 * time.Second

// Handler handles one message and returns the response. body is still encoded; see Decode.
type Handler func(body []byte) (any, error)

type route struct {
	handle Handler
	roles  []Role
	kept   bool
	calls  *metrics.Counter
}

// Server serves typed messages over HTTP.
type Server struct {
	part   string
	tls    *tls.Config
	routes map[string]route
	raw    map[string]fasthttp.RequestHandler
	server *HTTPServer
}

// NewServer returns a server; part is its name in logs and metrics. A nil tlsConfig gives plain
// connections, on which roles are not checked.
func NewServer(part string, tlsConfig *tls.Config) *Server {
	s := &Server{part: part, tls: tlsConfig, routes: make(map[string]route), raw: make(map[string]fasthttp.RequestHandler)}
	s.server = NewHTTPServer(part, Processes, s.serve, maxBodyBytes)
	s.server.Shed = func(ctx *fasthttp.RequestCtx) {
		s.refuse(ctx, refusal.New(refusal.UnknownOutcome, "send the same again", "no memory is free for the message"))
	}
	return s
}

// Handle registers a handler for messages at path from peers whose key has one of the roles.
func (s *Server) Handle(path string, h Handler, roles ...Role) {
	calls := metrics.GetOrCreateCounter(fmt.Sprintf(`waxwinghaven_calls_served_total{part=%q,path=%q}`, s.part, path))
	s.routes[path] = route{h, roles, !slices.Contains(roles, RoleEntry), calls}
}

// Raw registers a handler that gets requests without decoding or role checks.
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
	if r.kept {
		// What callers cause through entries must not displace heartbeats and votes.
		keepConnection(ctx)
	}
	resp, err := r.handle(ctx.PostBody())
	if err != nil {
		s.refuse(ctx, err)
		return
	}
	s.respond(ctx, fasthttp.StatusOK, resp)
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
	s.respond(ctx, fasthttp.StatusConflict, e)
}

func (s *Server) respond(ctx *fasthttp.RequestCtx, status int, v any) {
	b, err := Encode(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.Response.SetBodyRaw(b)
}

// Serve accepts connections until ctx ends, then waits for requests in progress, at most
// shutdownTimeout.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	return ServeHTTP(ctx, s.server, Secure(s.part, meteredListener{ln}, s.tls))
}

// Secure wraps a listener in TLS, and counts and logs the peers whose key is refused. A nil cfg
// returns the listener itself.
func Secure(part string, ln net.Listener, cfg *tls.Config) net.Listener {
	if cfg == nil {
		return ln
	}
	clone := cfg.Clone()
	clone.VerifyConnection = nil
	return &secureListener{Listener: ln, part: part, cfg: clone}
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

// countedConn limits the duration of the TLS handshake and counts failed ones.
type countedConn struct {
	*tls.Conn
	part string
	once sync.Once
	err  error
}

// Handshake performs the TLS handshake once; the server calls it before it reads the first
// request.
func (c *countedConn) Handshake() error {
	c.once.Do(func() {
		c.SetDeadline(time.Now().Add(headerReadTimeout))
		if c.err = c.Conn.Handshake(); c.err != nil {
			c.countRefusal()
		}
		c.SetDeadline(time.Time{})
	})
	return c.err
}

func (c *countedConn) countRefusal() {
	metrics.GetOrCreateCounter(fmt.Sprintf(`waxwinghaven_handshakes_refused_total{part=%q}`, c.part)).Inc()
	logrus.WithField("peer", c.RemoteAddr().String()).Warnf("%s: Refused a peer without a valid key: %v.", c.part, c.err)
}

func (c *countedConn) Read(b []byte) (int, error) {
	if err := c.Handshake(); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// Listen opens a listener on an address from the settings.
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
