// Package refusal has the typed errors that leave the system: to callers,
// operators, and between its own processes. Each has a short code that
// counters and headers carry, and a message that names the remedy.
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

// Code is the short, stable name of a reason.
type Code string

// Codes told to operators.
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
)

// Codes told to callers.
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
)

// Error is one refusal.
type Error struct {
	Code    Code   `msgpack:"c" json:"code"`
	Message string `msgpack:"m" json:"message"`
	Remedy  string `msgpack:"r" json:"remedy"`
	// Leader is the address to ask instead, with NotLeader.
	Leader string `msgpack:"l,omitempty" json:"leader,omitempty"`
	// LeaderHeard is how long ago the replica that names a leader last heard from it.
	LeaderHeard time.Duration `msgpack:"h,omitempty" json:"-"`
	// Winner is the change that was accepted first, with Conflict.
	Winner string `msgpack:"w,omitempty" json:"winner,omitempty"`
	// Revision is the present one, with Conflict, or the version of the configuration
	// that a look-up was refused by.
	Revision uint64 `msgpack:"v,omitempty" json:"revision,omitempty"`
	// RetryAfter is how long to wait before asking again, 0 if it is no use.
	RetryAfter time.Duration `msgpack:"a,omitempty" json:"retry_after_ns,omitempty"`
}

// Error returns the message and its remedy.
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

// Of returns the refusal inside err, if there is one.
func Of(err error) (*Error, bool) {
	var e *Error
	ok := errors.As(err, &e)
	return e, ok
}

// Is reports whether err is a refusal with this code.
func Is(err error, code Code) bool {
	e, ok := Of(err)
	return ok && e.Code == code
}

// Count adds one to the counter of refusals by part and reason.
func Count(part string, code Code) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`waxwinghaven_refusals_total{part=%q,reason=%q}`, part, string(code))).Inc()
}

// CountRetry adds one to the counter of retries by part and reason.
func CountRetry(part string, code Code) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`waxwinghaven_retries_total{part=%q,reason=%q}`, part, string(code))).Inc()
}

// Spread returns a time between base and twice base, so that callers refused
// together do not return together.
func Spread(base time.Duration) time.Duration {
	return base + rand.N(base)
}
