// Package refusal defines the typed errors that are sent to callers and operators and
// between the system's own processes. Each has a short code, used in metrics and headers,
// a message and a remedy.
package refusal

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"
)

// Class groups the errors of this package.
var Class = errs.Class("refusal")

// Code is the short, stable identifier of a reason.
type Code string

// Codes sent to operators.
const (
	NotLeader      Code = "not-leader"
	NoQuorum       Code = "no-quorum"
	DiskFull       Code = "disk-full"
	UnknownOutcome Code = "unknown-outcome"
	Conflict       Code = "conflict"
	ChangeReused   Code = "change-id-reused"
	Invalid        Code = "invalid"
	NotFound       Code = "not-found"
	Unreachable    Code = "unreachable"
	Forbidden      Code = "forbidden"
	TooLarge       Code = "too-large"
	NoConfig       Code = "no-configuration"
	NotRegistered  Code = "not-registered"
	UnknownService Code = "unknown-service"
	Behind         Code = "behind"
	Stale          Code = "stale"
	NoMemory       Code = "no-memory"
)

// Codes sent to callers.
const (
	NoRoute        Code = "no-route"
	NoUpstream     Code = "no-upstream"
	Overloaded     Code = "overloaded"
	DeadlineShort  Code = "deadline-too-short"
	DeadlinePassed Code = "deadline-passed"
	Leaving        Code = "leaving"
	CutOff         Code = "cut-off"
	SendFailed     Code = "send-failed"
	AnswerCut      Code = "answer-cut"
	AnswerMixed    Code = "answer-mixed-up"
	UpstreamBroken Code = "upstream-broken"
	KeyMismatch    Code = "key-reused"
	KeyRunning     Code = "key-still-running"
	KeyUnknown     Code = "key-outcome-unknown"
	KeyExpired     Code = "key-expired"
	KeyStoreFull   Code = "key-store-full"
	KeyRequired    Code = "key-required"
	KeyUnconfirmed Code = "key-unconfirmed"
	RetryBudget    Code = "retry-budget-spent"
	CallerGone     Code = "caller-gone"
	Accepted       Code = "accepted-before"
)

// Error describes one refusal.
type Error struct {
	Code    Code   `msgpack:"c" json:"code"`
	Message string `msgpack:"m" json:"message"`
	Remedy  string `msgpack:"r" json:"remedy"`
	// Leader is the address of the leader to ask instead, with NotLeader.
	Leader string `msgpack:"l,omitempty" json:"leader,omitempty"`
	// SinceLeader is the time since the replica that names a leader last received a message
	// from it.
	SinceLeader time.Duration `msgpack:"h,omitempty" json:"-"`
	// LastChange is the id of the last accepted change, with Conflict.
	LastChange string `msgpack:"w,omitempty" json:"winner,omitempty"`
	// Revision is the current revision, with Conflict; else the version of the configuration
	// according to which a look-up was refused.
	Revision uint64 `msgpack:"v,omitempty" json:"revision,omitempty"`
	// RetryAfter is how long to wait before a retry, 0 if a retry can't succeed.
	RetryAfter time.Duration `msgpack:"a,omitempty" json:"retry_after_ns,omitempty"`
	// Final says that no message about the same that was sent before this refusal has taken effect
	// or ever will.
	Final bool `msgpack:"f,omitempty" json:"-"`
	// Stamp is the place of this refusal among the leader's answers, nil if it has none.
	Stamp *Stamp `msgpack:"s,omitempty" json:"-"`
}

// Stamp is a place in the order of a leader's answers. Ticks increase with each stamp of a term.
type Stamp struct {
	Term uint64 `msgpack:"t"`
	Tick uint64 `msgpack:"i"`
}

// After reports whether a stamp is newer than another one, which may be nil.
func (s *Stamp) After(other *Stamp) bool {
	if other == nil || s.Term != other.Term {
		return other == nil || s.Term > other.Term
	}
	return s.Tick > other.Tick
}

// Error returns the code, the message and the remedy.
func (e *Error) Error() string {
	if e.Remedy == "" {
		return fmt.Sprintf("%s: %s", e.Code, e.Message)
	}
	return fmt.Sprintf("%s: %s; %s", e.Code, e.Message, e.Remedy)
}

// New returns a refusal with a remedy.
func New(code Code, remedy, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...), Remedy: remedy}
}

// Of returns the refusal that err is or wraps, if there is one.
func Of(err error) (*Error, bool) {
	var e *Error
	ok := errors.As(err, &e)
	return e, ok
}

// Is reports whether err is or wraps a refusal with the given code.
func Is(err error, code Code) bool {
	e, ok := Of(err)
	return ok && e.Code == code
}

// Count increments the counter of refusals by part and reason.
func Count(part string, code Code) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`waxwinghaven_refusals_total{part=%q,reason=%q}`, part, string(code))).Inc()
}

// CountRetry increments the counter of retries by part and reason.
func CountRetry(part string, code Code) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`waxwinghaven_retries_total{part=%q,reason=%q}`, part, string(code))).Inc()
}

// Jitter returns a random duration from base up to twice base, so that callers refused at
// the same time do not retry at the same time.
func Jitter(base time.Duration) time.Duration {
	return base + rand.N(base)
}
