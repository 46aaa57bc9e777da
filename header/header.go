// Package header defines the HTTP headers that the system adds, and which headers of callers
// and upstreams it forwards.
package header

import (
	"bytes"
	"errors"
	"net"

	"github.com/valyala/fasthttp"
)

// Headers of requests and responses between callers and an entry.
const (
	OutcomeName = "Waxwing-Outcome"
	Reason      = "Waxwing-Reason"
	// Timeout is the time that the caller allows for the request, in milliseconds.
	Timeout = "Waxwing-Timeout-Ms"
	Key     = "Idempotency-Key"
	// Replayed marks an answer that was stored for an earlier request with the same key.
	Replayed = "Waxwing-Replayed"
)

// Headers between entry, agent and upstream.
const (
	ID           = "Waxwing-Id"
	TimeLeft     = "Waxwing-Time-Left-Ms"
	Service      = "Waxwing-Service"
	Free         = "Waxwing-Free"
	RetryAfterMS = "Waxwing-Retry-After-Ms"
)

var prefix = []byte("Waxwing-")

// Outcome tells whether the upstream has run a request.
type Outcome string

// The outcomes. NotRun is used only when the upstream certainly never received the
// request.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// hopByHop lists headers that concern one connection and are never forwarded.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Connection"}

// fields is the common interface of request and response headers.
type fields interface {
	Del(key string)
	VisitAll(f func(key, value []byte))
}

// strip removes hop-by-hop headers and all of the system's own headers except keep, so
// that neither a caller nor an upstream can forge them.
func strip(h fields, keep string) {
	for _, name := range hopByHop {
		h.Del(name)
	}
	var own []string
	h.VisitAll(func(key, _ []byte) {
		if len(key) >= len(prefix) && bytes.EqualFold(key[:len(prefix)], prefix) && string(key) != keep {
			own = append(own, string(key))
		}
	})
	for _, name := range own {
		h.Del(name)
	}
}

// FromCaller strips a caller's request before the system's headers are added.
func FromCaller(h *fasthttp.RequestHeader) { strip(h, "") }

// ForUpstream strips an entry's request. The request id stays, for the upstream's
// own log.
func ForUpstream(h *fasthttp.RequestHeader) { strip(h, ID) }

// FromUpstream strips an upstream's response.
func FromUpstream(h *fasthttp.ResponseHeader) { strip(h, "") }

// NeverSent reports whether err guarantees that no byte of the request was sent.
func NeverSent(err error) bool {
	if errors.Is(err, fasthttp.ErrNoFreeConns) || errors.Is(err, fasthttp.ErrDialTimeout) {
		return true
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
