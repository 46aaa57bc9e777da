package transport

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/waxwinghaven/waxwinghaven/header"
)

// ErrNotSent is the error of a call that certainly never left: no connection could be
// made, or none was free.
var ErrNotSent = errors.New("the call was not sent")

// JSONCall is one call of an interface that speaks JSON.
type JSONCall struct {
	Method  string // POST if empty
	Path    string
	Headers map[string]string
	Body    any // nil for none
	Timeout time.Duration
}

// CallJSON makes a call and returns the answer's status and body. Any error but
// ErrNotSent means that the call may have been carried out.
func CallJSON(h *fasthttp.HostClient, c JSONCall) (status int, answer []byte, err error) {
	q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(p)
	q.Header.SetMethod(fasthttp.MethodPost)
	if c.Method != "" {
		q.Header.SetMethod(c.Method)
	}
	q.SetRequestURI(c.Path)
	q.Header.SetHost(h.Addr)
	for k, v := range c.Headers {
		q.Header.Set(k, v)
	}
	if c.Body != nil {
		b, err := json.Marshal(c.Body)
		if err != nil {
			return 0, nil, fmt.Errorf("%w: %v", ErrNotSent, err)
		}
		q.Header.SetContentType("application/json")
		q.SetBodyRaw(b)
	}
	switch err := h.DoTimeout(q, p, c.Timeout); {
	case err != nil && header.NeverSent(err):
		return 0, nil, fmt.Errorf("%w: %v", ErrNotSent, err)
	case err != nil:
		return 0, nil, err
	}
	return p.StatusCode(), append([]byte(nil), p.Body()...), nil
}
