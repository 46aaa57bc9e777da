// Package header has the HTTP headers that the system adds, and the rules for
// what may pass through it.
package header

import (
	"bytes"
	"errors"
	"net"

	"github.com/valyala/fasthttp"
)

// Headers told to callers.
const (
	OutcomeName = "Waxwing-Outcome"
	Reason      = "Waxwing-Reason"
	// Timeout is the caller's own deadline, in milliseconds from now.
	Timeout = "Waxwing-Timeout-Ms"
	Key     = "Idempotency-Key"
	// Replayed marks an answer that was kept from an earlier request.
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

// Outcome is what is known of a request.
type Outcome string

// The outcomes. NotRun is said only when the upstream certainly never saw the
// request.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// hopByHop headers belong to one connection and never pass through.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Connection"}

// fields is what request and response headers have in common.
type fields interface {
	Del(key string)
	VisitAll(f func(key, value []byte))
}

// strip removes hop-by-hop headers and all of this system's own but keep, so
// that neither a caller nor an upstream can speak in the system's name.
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

// FromCaller cleans a caller's request before the system's headers are added.
func FromCaller(h *fasthttp.RequestHeader) { strip(h, "") }

// ForUpstream cleans an entry's request; the identity stays, for the upstream's
// own log.
func ForUpstream(h *fasthttp.RequestHeader) { strip(h, ID) }

// FromUpstream cleans an upstream's answer.
func FromUpstream(h *fasthttp.ResponseHeader) { strip(h, "") }

// NeverSent reports whether an error excludes that any byte of the request left.
func NeverSent(err error) bool {
	if errors.Is(err, fasthttp.ErrNoFreeConns) || errors.Is(err, fasthttp.ErrDialTimeout) {
		return true
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
