package entry

import (
	"bytes"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
	"github.com/waxwinghaven/waxwinghaven/header"
	"github.com/waxwinghaven/waxwinghaven/market"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/routing"
)

const (
	// maxTries bounds the agents that one request is sent to.
	maxTries = 3
	// minTry is the least time left for which a request is sent at all.
	minTry = 2 * time.Millisecond
	// answerGrace is how long past the deadline an agent's own word that it
	// has passed is waited for.
	answerGrace = 50 * time.Millisecond
)

var outcomes = map[header.Outcome]*metrics.Counter{
	header.Done:    metrics.NewCounter(`waxwinghaven_requests_total{outcome="done"}`),
	header.NotRun:  metrics.NewCounter(`waxwinghaven_requests_total{outcome="not-run"}`),
	header.Unknown: metrics.NewCounter(`waxwinghaven_requests_total{outcome="unknown"}`),
}

// exchange is one caller's request on its way.
type exchange struct {
	ctx        *fasthttp.RequestCtx
	route      routing.Route
	deadline   time.Time
	id         string
	tried      []string
	resp       *fasthttp.Response // the last agent's answer, if any
	keyed      bool               // runs under an Idempotency-Key
	mayHaveRun bool               // an earlier try's outcome is unknown
}

// verdict is what is known of a request after a try.
type verdict struct {
	outcome    header.Outcome
	code       refusal.Code
	retryAfter time.Duration
}

func (e *Entry) serve(ctx *fasthttp.RequestCtx) {
	e.requests.Add(1)
	defer e.requests.Add(-1)
	if e.draining.Load() {
		ctx.SetConnectionClose()
	}
	x := &exchange{ctx: ctx, id: e.ids.make()}
	v := e.handle(x)
	outcomes[v.outcome].Inc()
	if v.code != "" {
		refusal.Count(part, v.code)
		writeRefusal(ctx, v)
	}
	ctx.Response.Header.Set(header.OutcomeName, string(v.outcome))
	if x.resp != nil {
		fasthttp.ReleaseResponse(x.resp)
	}
}

func (e *Entry) handle(x *exchange) verdict {
	if v, ok := e.prepare(x); !ok {
		return v
	}
	if key := x.ctx.Request.Header.Peek(header.Key); len(key) > 0 && !isReadOnly(x.ctx) {
		x.keyed = true
		return e.handleKeyed(x, string(key))
	}
	if x.route.Service.KeyRequired && !isIdempotent(x.ctx) {
		return verdict{outcome: header.NotRun, code: refusal.KeyRequired}
	}
	return e.send(x)
}

// prepare finds the service and the deadline, or says why there is none.
func (e *Entry) prepare(x *exchange) (verdict, bool) {
	e.mu.Lock()
	route, ok := e.table.Find(string(x.ctx.Host()), string(x.ctx.Path()))
	e.mu.Unlock()
	if !ok {
		return verdict{outcome: header.NotRun, code: refusal.NoRoute}, false
	}
	x.route = route
	timeout, err := timeoutOf(x.ctx, route.Service)
	if err != nil {
		return verdict{outcome: header.NotRun, code: refusal.Invalid}, false
	}
	x.deadline = time.Now().Add(timeout)
	if route.Preset.CutOff == market.CutOffRefuse && e.cutOff() {
		return verdict{header.NotRun, refusal.CutOff, time.Second}, false
	}
	return verdict{}, true
}

func timeoutOf(ctx *fasthttp.RequestCtx, s market.Service) (time.Duration, error) {
	raw := ctx.Request.Header.Peek(header.Timeout)
	if len(raw) == 0 {
		return s.Timeout(), nil
	}
	ms, err := strconv.ParseInt(string(raw), 10, 32)
	if err != nil || ms <= 0 {
		return 0, refusal.New(refusal.Invalid, "give milliseconds above 0", "%s %q is not a time", header.Timeout, raw)
	}
	return min(time.Duration(ms)*time.Millisecond, s.Timeout()), nil
}

// isReadOnly reports whether HTTP calls the method safe.
func isReadOnly(ctx *fasthttp.RequestCtx) bool {
	return ctx.IsGet() || ctx.IsHead() || ctx.IsOptions()
}

// isIdempotent reports whether HTTP calls the method idempotent.
func isIdempotent(ctx *fasthttp.RequestCtx) bool {
	return isReadOnly(ctx) || ctx.IsPut() || ctx.IsDelete()
}

// send tries agents until one has done the request, nothing more may be tried,
// or the time is up.
func (e *Entry) send(x *exchange) verdict {
	if time.Until(x.deadline) <= 0 {
		return verdict{outcome: header.NotRun, code: refusal.DeadlinePassed}
	}
	for {
		v := e.try(x)
		if v.outcome == header.Done {
			e.mu.Lock()
			e.budget(x.route).Success()
			e.mu.Unlock()
			return v
		}
		x.mayHaveRun = x.mayHaveRun || v.outcome == header.Unknown
		if !e.mayRetry(x, v) {
			return x.overall(v)
		}
		refusal.CountRetry(part, v.code)
	}
}

// overall is what is known of all tries together. The last may certainly not have
// run, but if an earlier one broke off, the request may have run there: "not run"
// would be a lie.
func (x *exchange) overall(last verdict) verdict {
	if x.mayHaveRun {
		last.outcome = header.Unknown
	}
	return last
}

// mayRetry allows a second try of what certainly was not run, and of what may
// be run twice without harm. A non-idempotent request of unknown outcome is
// never sent again: it may have been run.
func (e *Entry) mayRetry(x *exchange, v verdict) bool {
	repeatable := isIdempotent(x.ctx) && !x.keyed && x.route.Service.Retry != market.RetryNever
	if v.outcome == header.Unknown && !repeatable {
		return false
	}
	if v.code == refusal.DeadlinePassed || len(x.tried) == 0 || len(x.tried) >= maxTries || time.Until(x.deadline) < minTry {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.budget(x.route).Spend() {
		refusal.Count(part, refusal.RetryBudget)
		return false
	}
	return true
}

// try sends the request to one agent.
func (e *Entry) try(x *exchange) verdict {
	now := time.Now()
	e.mu.Lock()
	choice, ok := e.table.Pick(x.route, x.tried, now, e.rng)
	e.mu.Unlock()
	if !ok {
		return verdict{header.NotRun, refusal.NoUpstream, time.Second}
	}
	x.tried = append(x.tried, choice.Agent)
	v, report := e.forward(x, choice)
	e.mu.Lock()
	e.table.Done(choice, report, time.Now())
	e.mu.Unlock()
	return v
}

func (e *Entry) forward(x *exchange, choice routing.Choice) (verdict, routing.Report) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	if x.resp == nil {
		x.resp = fasthttp.AcquireResponse()
	}
	x.resp.Reset()
	x.resp.SkipBody = x.ctx.IsHead()
	e.fill(req, x, choice)
	err := e.rpc.Host(choice.Address).DoDeadline(req, x.resp, x.deadline.Add(answerGrace))
	if err != nil {
		return failed(err)
	}
	return e.read(x)
}

func (e *Entry) fill(req *fasthttp.Request, x *exchange, choice routing.Choice) {
	x.ctx.Request.CopyTo(req)
	header.FromCaller(&req.Header)
	req.Header.Set(header.ID, x.id)
	req.Header.Set(header.Service, x.route.Market+"/"+x.route.Service.Name)
	req.Header.Set(header.TimeLeft, strconv.FormatInt(time.Until(x.deadline).Milliseconds(), 10))
	e.rpc.Address(req, choice.Address)
}

// failed reads what an error on the way to the agent leaves open.
func failed(err error) (verdict, routing.Report) {
	if header.NeverSent(err) {
		return verdict{outcome: header.NotRun, code: refusal.SendFailed}, routing.Report{Free: -1, Unreached: err != fasthttp.ErrNoFreeConns}
	}
	code := refusal.AnswerCut
	if err == fasthttp.ErrTimeout {
		code = refusal.DeadlinePassed
	}
	return verdict{outcome: header.Unknown, code: code}, routing.Report{Free: -1, Failed: true}
}

// read takes an agent's answer, but only one that names this very request.
func (e *Entry) read(x *exchange) (verdict, routing.Report) {
	h := &x.resp.Header
	if !bytes.Equal(h.Peek(header.ID), []byte(x.id)) {
		// An answer to another request must never reach this caller.
		return verdict{outcome: header.Unknown, code: refusal.AnswerMixed}, routing.Report{Free: -1, Failed: true}
	}
	report := routing.Report{Free: intOr(h.Peek(header.Free), -1)}
	v := verdict{outcome: header.Outcome(h.Peek(header.OutcomeName)), code: refusal.Code(h.Peek(header.Reason))}
	v.retryAfter = time.Duration(intOr(h.Peek(header.RetryAfterMS), 0)) * time.Millisecond
	switch v.outcome {
	case header.Done:
		report.Failed = x.resp.StatusCode() >= fasthttp.StatusInternalServerError
		v.code = ""
		x.pass()
	case header.NotRun:
		report.Failed = v.code == refusal.NoUpstream || v.code == refusal.Leaving
		report.Unreached = v.code == refusal.Leaving
	default:
		v.outcome, report.Failed = header.Unknown, v.code != refusal.DeadlinePassed
		if v.code == "" {
			v.code = refusal.UpstreamBroken
		}
	}
	return v, report
}

// pass hands the upstream's answer to the caller.
func (x *exchange) pass() {
	closing := x.ctx.Response.ConnectionClose()
	header.FromUpstream(&x.resp.Header)
	x.resp.CopyTo(&x.ctx.Response)
	if closing {
		x.ctx.SetConnectionClose()
	}
}

func intOr(b []byte, fallback int) int {
	n, err := strconv.Atoi(string(b))
	if err != nil {
		return fallback
	}
	return n
}

// statusOf maps a verdict to the status a caller's HTTP library understands.
func statusOf(v verdict) int {
	switch v.code {
	case refusal.NoRoute:
		return fasthttp.StatusNotFound
	case refusal.Invalid, refusal.KeyRequired:
		return fasthttp.StatusBadRequest
	case refusal.KeyMismatch:
		return fasthttp.StatusUnprocessableEntity
	case refusal.KeyRunning, refusal.KeyUnknown, refusal.KeyExpired:
		return fasthttp.StatusConflict
	case refusal.DeadlinePassed:
		return fasthttp.StatusGatewayTimeout
	case refusal.Overloaded, refusal.DeadlineShort:
		return fasthttp.StatusTooManyRequests
	}
	if v.outcome == header.Unknown {
		return fasthttp.StatusBadGateway
	}
	return fasthttp.StatusServiceUnavailable
}

// writeRefusal answers a caller whose request was not done, at once, and tells
// when to come back. The time is spread, so that callers who were refused
// together do not come back together.
func writeRefusal(ctx *fasthttp.RequestCtx, v verdict) {
	closing := ctx.Response.ConnectionClose()
	ctx.Response.Reset()
	if closing {
		ctx.SetConnectionClose()
	}
	ctx.SetStatusCode(statusOf(v))
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.Response.Header.Set(header.Reason, string(v.code))
	if v.retryAfter > 0 {
		wait := refusal.Spread(v.retryAfter)
		seconds := (wait + time.Second - 1) / time.Second
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(seconds)))
		ctx.Response.Header.Set(header.RetryAfterMS, strconv.FormatInt(wait.Milliseconds(), 10))
	}
	ctx.SetBodyString(string(v.outcome) + ": " + string(v.code) + "\n")
}
