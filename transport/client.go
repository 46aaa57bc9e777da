package transport

import (
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/waxwinghaven/waxwinghaven/header"
	"github.com/waxwinghaven/waxwinghaven/refusal"
)

const (
	// dialTimeout is far above a round trip between regions, and short enough that a dial to an
	// instance without power costs one attempt and not the whole time of a caller.
	dialTimeout  = 400 * time.Millisecond
	idleTimeout  = 30 * time.Second
	maxConns     = 256
	maxBodyBytes = 64 << 20
)

// Client calls other processes. It dials from a fixed local address, so that peers can identify
// a process, and tests can cut it off, by its address.
type Client struct {
	tls   *tls.Config
	local net.IP
	mu    sync.Mutex
	hosts map[string]*fasthttp.HostClient
}

// NewClient returns a client that dials from the given IP number. A nil tlsConfig gives plain
// connections.
func NewClient(tlsConfig *tls.Config, from string) *Client {
	return &Client{tls: tlsConfig, local: net.ParseIP(from), hosts: make(map[string]*fasthttp.HostClient)}
}

// Dialer returns a dial function bound to the local address.
func (c *Client) Dialer() fasthttp.DialFunc {
	return func(addr string) (net.Conn, error) {
		if n := network.Load(); n != nil {
			return (*n).Dial(c.local.String(), addr, dialTimeout)
		}
		d := net.Dialer{Timeout: dialTimeout}
		if c.local != nil {
			d.LocalAddr = &net.TCPAddr{IP: c.local}
		}
		conn, err := d.Dial("tcp", addr)
		if err != nil {
			return nil, err
		}
		return meteredConn{wrapFault(conn)}, nil
	}
}

// NewHost returns a connection pool that sends each request once. By default fasthttp repeats
// some requests after a broken connection; whether a request may be repeated is for the caller
// to decide, which knows what it does.
func NewHost(addr string, dial fasthttp.DialFunc, conns int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: addr, Dial: dial, MaxConns: conns, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// Host returns the connection pool of one address.
func (c *Client) Host(addr string) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[addr]
	if h == nil {
		h = NewHost(addr, c.Dialer(), currentLimits().connectionsTo())
		h.IsTLS, h.TLSConfig = c.tls != nil, c.tls
		h.MaxIdleConnDuration, h.MaxResponseBodySize, h.DisablePathNormalizing = idleTimeout, maxBodyBytes, true
		c.hosts[addr] = h
	}
	return h
}

// SetTarget directs a request to addr, with the scheme that matches the client's TLS settings. A
// Host header that is already set stays.
func (c *Client) SetTarget(q *fasthttp.Request, addr string) {
	q.UseHostHeader = len(q.Header.Host()) > 0
	q.URI().SetHost(addr)
	q.URI().SetScheme("http")
	if c.tls != nil {
		q.URI().SetScheme("https")
	}
}

// Call sends a message and decodes the response into resp, unless that is nil. Except for
// messages that cannot be encoded or decoded, the error is a *refusal.Error: the peer's own,
// Forbidden if the peer has no valid key, SendFailed if nothing was sent, or Unreachable if the
// peer may have processed the message.
func (c *Client) Call(addr, path string, timeout time.Duration, req, resp any) error {
	body, err := Encode(req)
	if err != nil {
		return err
	}
	q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(p)
	q.Header.SetMethod(fasthttp.MethodPost)
	q.SetRequestURI(path)
	c.SetTarget(q, addr)
	q.SetBodyRaw(body)
	if err := c.Host(addr).DoTimeout(q, p, timeout); err != nil {
		return callError(addr, err)
	}
	return readResponse(p, resp)
}

// readResponse decodes a response of status 200 into resp, and any other as a *refusal.Error.
func readResponse(p *fasthttp.Response, resp any) error {
	if p.StatusCode() == fasthttp.StatusOK {
		if resp == nil {
			return nil
		}
		return Decode(p.Body(), resp)
	}
	var e refusal.Error
	if err := Decode(p.Body(), &e); err != nil {
		return refusal.New(refusal.Unreachable, "check that the address belongs to this system", "answered with status %d", p.StatusCode())
	}
	return &e
}

// callError maps the error of a failed request to the refusal that Call returns.
func callError(addr string, err error) error {
	var cert *tls.CertificateVerificationError
	if errors.As(err, &cert) {
		return refusal.New(refusal.Forbidden, "make its key with this system's authority", "%s has no valid key: %v", addr, err)
	}
	if header.NeverSent(err) {
		return refusal.New(refusal.SendFailed, "check that the process runs and the network reaches it", "%s cannot be reached, nothing was sent: %v", addr, err)
	}
	return refusal.New(refusal.Unreachable, "check that the process runs and the network reaches it", "%s cannot be reached: %v", addr, err)
}
