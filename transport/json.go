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

// ErrNotSent is the error of a call that certainly never left: no connection could be
// made, or none was free.
var ErrNotSent = errors.New("the call was not sent")

// ErrClosed is the error of a call whose connection the other side closed, reset or
// refused. One that is merely not answered is not closed.
var ErrClosed = errors.New("the other side closed the connection")

// ErrRefused is the error of a call to an address where nobody takes connections. It was not
// sent, either.
var ErrRefused = errors.New("nobody takes connections there")

// ContentJSON is the content type of JSON bodies.
const ContentJSON = "application/json"

// jsonIdle closes the connections to an interface that speaks JSON before its server
// does.
const jsonIdle = 5 * time.Second

// NewJSONHost returns a connection pool for an interface that speaks JSON. Paths are
// sent as they are.
func NewJSONHost(addr, from string, conns int) *fasthttp.HostClient {
	h := NewHost(addr, NewClient(nil, from).Dialer(), conns)
	h.MaxIdleConnDuration, h.DisablePathNormalizing = jsonIdle, true
	return h
}

// WriteJSON answers with a JSON value, and reports whether it could be written as such.
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

// JSONCall is one call of an interface that speaks JSON.
type JSONCall struct {
	Method  string // POST if empty
	Path    string
	Headers map[string]string
	Body    any // nil for none
	Timeout time.Duration
}

// fill makes the request of a call to a host.
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

// CallJSON makes a call and returns the answer's status and body. Any error but
// ErrNotSent means that the call may have been carried out. ErrClosed is told besides.
func CallJSON(h *fasthttp.HostClient, c JSONCall) (status int, answer []byte, err error) {
	return c.exchange(h.Addr, func(q *fasthttp.Request, p *fasthttp.Response) error {
		err := h.DoTimeout(q, p, c.Timeout)
		if err != nil && (header.NeverSent(err) || errors.Is(err, errNotGreeted)) {
			return fmt.Errorf("%w: %w", ErrNotSent, noteClosed(err))
		}
		return noteClosed(err)
	})
}

// exchange makes the call's request to a host, lets do carry it out, and returns the answer's
// status and body.
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

// errNotGreeted is the error of a connection whose greeting failed. The error of the
// greeting comes with it.
var errNotGreeted = errors.New("the greeting on a new connection failed")

// Greet makes a pool carry calls only on connections whose greeting has succeeded. A process
// that starts anew has none of the connections of the one before, so a greeting that asks who
// is there holds for all calls that follow on its connection.
func Greet(h *fasthttp.HostClient, greet func(net.Conn) error) {
	dial := h.Dial
	h.Dial = func(addr string) (net.Conn, error) {
		conn, err := dial(addr)
		if err != nil {
			return nil, err
		}
		if err := greet(conn); err != nil {
			conn.Close()
			return nil, fmt.Errorf("%w: %w", errNotGreeted, err)
		}
		return conn, nil
	}
}

// CallJSONOn makes a call on a connection that carries no other meanwhile.
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

// noteClosed marks the error of a connection that the other side ended, or refused.
func noteClosed(err error) error {
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
