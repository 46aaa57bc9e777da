package transport

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/waxwinghaven/waxwinghaven/header"
)

// ErrNotSent is the error of a call that was certainly not sent: no connection could be made, or
// none was free.
var ErrNotSent = errors.New("the call was not sent")

// ErrClosed is the error of a call whose connection the peer closed, reset or refused. A
// connection on which the response is merely missing is not closed.
var ErrClosed = errors.New("the other side closed the connection")

// ErrRefused is the error of a call to an address where no process accepts connections. Such a
// call was not sent, either.
var ErrRefused = errors.New("nothing accepts connections at the address")

// ContentJSON is the content type of JSON bodies.
const ContentJSON = "application/json"

// jsonIdle is how long connections to a JSON interface may be idle. The client has to close them
// before the server does.
const jsonIdle = 5 * time.Second

// maxJSONAnswer bounds an answer in bytes. The longest, a list of 500 ended tasks, has a hundredth.
const maxJSONAnswer = 8 << 20

// NewJSONHost returns a connection pool for a JSON interface. Paths are sent unchanged.
func NewJSONHost(addr, from string, conns int) *fasthttp.HostClient {
	h := NewHost(addr, NewClient(nil, from).Dialer(), conns)
	h.MaxIdleConnDuration, h.DisablePathNormalizing, h.MaxResponseBodySize = jsonIdle, true, maxJSONAnswer
	return h
}

// WriteJSON responds with v as JSON, and reports whether v could be encoded. If not, the status
// is 500.
func WriteJSON(q *fasthttp.RequestCtx, status int, v any) bool {
	b, err := json.Marshal(v)
	if err != nil {
		q.SetStatusCode(fasthttp.StatusInternalServerError)
		return false
	}
	q.SetStatusCode(status)
	q.SetContentType(ContentJSON)
	q.SetBody(b)
	return true
}

// JSONCall is one call of a JSON interface.
type JSONCall struct {
	Method  string // POST if empty
	Path    string
	Headers map[string]string
	Body    any // nil for none
	Timeout time.Duration
}

// fill builds the call's request to a host.
func (c *JSONCall) fill(q *fasthttp.Request, host string) error {
	q.Header.SetMethod(fasthttp.MethodPost)
	if c.Method != "" {
		q.Header.SetMethod(c.Method)
	}
	q.SetRequestURI(c.Path)
	q.Header.SetHost(host)
	for k, v := range c.Headers {
		q.Header.Set(k, v)
	}
	if c.Body == nil {
		return nil
	}
	b, err := json.Marshal(c.Body)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrNotSent, err)
	}
	q.Header.SetContentType(ContentJSON)
	q.SetBodyRaw(b)
	return nil
}

// CallJSON makes a call and returns the status and body of the response. Any error but
// ErrNotSent means that the peer may have carried the call out. An error also wraps ErrClosed if
// the peer closed the connection.
func CallJSON(h *fasthttp.HostClient, c JSONCall) (status int, answer []byte, err error) {
	return c.exchange(h.Addr, func(q *fasthttp.Request, p *fasthttp.Response) error {
		err := h.DoTimeout(q, p, c.Timeout)
		if err != nil && (header.NeverSent(err) || errors.Is(err, errNotVerified)) {
			return fmt.Errorf("%w: %w", ErrNotSent, markClosed(err))
		}
		return markClosed(err)
	})
}

// exchange builds the call's request to a host, passes it to do, and returns the status and body
// of the response.
func (c *JSONCall) exchange(host string, do func(*fasthttp.Request, *fasthttp.Response) error) (status int, answer []byte, err error) {
	q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(p)
	if err := c.fill(q, host); err != nil {
		return 0, nil, err
	}
	if err := do(q, p); err != nil {
		return 0, nil, err
	}
	return p.StatusCode(), append([]byte(nil), p.Body()...), nil
}

// errNotVerified is the error of a connection that VerifyConns rejected; it is wrapped together
// with the cause.
var errNotVerified = errors.New("the check of a new connection failed")

// VerifyConns makes a pool use only connections on which verify has succeeded. A process that
// restarts keeps none of its predecessor's connections, so if verify checks which process is at
// the other end, the result holds for all later calls on the connection.
func VerifyConns(h *fasthttp.HostClient, verify func(net.Conn) error) {
	dial := h.Dial
	h.Dial = func(addr string) (net.Conn, error) {
		conn, err := dial(addr)
		if err != nil {
			return nil, err
		}
		if err := verify(conn); err != nil {
			conn.Close()
			return nil, fmt.Errorf("%w: %w", errNotVerified, err)
		}
		return conn, nil
	}
}

// CallJSONOn makes a call on a connection that carries no other call at the same time. If the
// peer closes the connection instead of responding, the error wraps
// fasthttp.ErrConnectionClosed.
func CallJSONOn(conn net.Conn, c JSONCall) (status int, answer []byte, err error) {
	return c.exchange(conn.RemoteAddr().String(), func(q *fasthttp.Request, p *fasthttp.Response) error {
		if err := conn.SetDeadline(time.Now().Add(c.Timeout)); err != nil {
			return err
		}
		w := bufio.NewWriter(conn)
		if err := q.Write(w); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
		if err := p.Read(bufio.NewReader(conn)); err != nil {
			if nothing := (fasthttp.ErrNothingRead{}); errors.As(err, &nothing) {
				err = fmt.Errorf("%w: %w", fasthttp.ErrConnectionClosed, err)
			}
			return err
		}
		return conn.SetDeadline(time.Time{})
	})
}

// markClosed wraps the error of a connection that the peer closed or refused in ErrClosed or
// ErrRefused.
func markClosed(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: %w: %w", ErrRefused, ErrClosed, err)
	}
	for _, closed := range []error{fasthttp.ErrConnectionClosed, io.EOF, syscall.ECONNRESET, syscall.ECONNREFUSED, syscall.EPIPE} {
		if errors.Is(err, closed) {
			return fmt.Errorf("%w: %w", ErrClosed, err)
		}
	}
	return err
}
