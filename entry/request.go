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
	// maxTries is the greatest number of agents that one request is sent to.
	maxTries = 3
	// minRetryTime is the least time left with which a request is sent again.
	minRetryTime = 2 * time.Millisecond
	// answerGrace is how long past the deadline the entry waits for the agent to report
	// that the deadline has passed.
	answerGrace = 50 * time.Millisecond
)

var outcomes = map[header.Outcome]*metrics.Counter{
	header.Done:    metrics.NewCounter(`waxwinghaven_requests_total{outcome="done"}`),
	header.NotRun:  metrics.NewCounter(`waxwinghaven_requests_total{outcome="not-run"}`),
	header.Unknown: metrics.NewCounter(`waxwinghaven_requests_total{outcome="unknown"}`),
}

// exchange is a caller's request in progress.
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

// verdict is the result of a try or of a whole request.
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

// handle runs one request and returns its verdict.
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

// prepare sets the route and the deadline, or returns false and the reason for a refusal.
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
		return 0, refusal.New(refusal.Invalid, "give milliseconds above 0", "%s %q is not a valid time-out", header.Timeout, raw)
	}
	return min(time.Duration(ms)*time.Millisecond, s.Timeout()), nil
}

// isReadOnly reports whether the method is safe as HTTP defines it.
func isReadOnly(ctx *fasthttp.RequestCtx) bool {
	return ctx.IsGet() || ctx.IsHead() || ctx.IsOptions()
}

// isIdempotent reports whether the method is idempotent as HTTP defines it.
func isIdempotent(ctx *fasthttp.RequestCtx) bool {
	return isReadOnly(ctx) || ctx.IsPut() || ctx.IsDelete()
}

// send tries agents until one has done the request, no more tries are allowed, or the deadline
// has passed.
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

// overall returns the verdict over all tries. Even if the last try was certainly not run, the
// outcome is unknown if that of an earlier try is: the request may have run there.
func (x *exchange) overall(last verdict) verdict {
	if x.mayHaveRun {
		last.outcome = header.Unknown
	}
	return last
}

// mayRetry reports whether a request may be sent again: if it was certainly not run, or if it
// may safely run twice. A non-idempotent request of unknown outcome is never sent again, since
// it may have run. A retry is charged to the service's retry budget.
func (e *Entry) mayRetry(x *exchange, v verdict) bool {
	repeatable := isIdempotent(x.ctx) && !x.keyed && x.route.Service.Retry != market.RetryNever
	if v.outcome == header.Unknown && !repeatable {
		return false
	}
	if v.code == refusal.DeadlinePassed || len(x.tried) == 0 || len(x.tried) >= maxTries || time.Until(x.deadline) < minRetryTime {
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
	e.buildRequest(req, x, choice)
	err := e.rpc.Host(choice.Address).DoDeadline(req, x.resp, x.deadline.Add(answerGrace))
	if err != nil {
		return callFailed(err)
	}
	return e.readAnswer(x)
}

// buildRequest builds the request to the agent.
func (e *Entry) buildRequest(req *fasthttp.Request, x *exchange, choice routing.Choice) {
	x.ctx.Request.CopyTo(req)
	header.FromCaller(&req.Header)
	req.Header.Set(header.ID, x.id)
	req.Header.Set(header.Service, x.route.Market+"/"+x.route.Service.Name)
	req.Header.Set(header.TimeLeft, strconv.FormatInt(time.Until(x.deadline).Milliseconds(), 10))
	e.rpc.SetTarget(req, choice.Address)
}

// callFailed returns the verdict and the report for an error of the call to the agent.
func callFailed(err error) (verdict, routing.Report) {
	if header.NeverSent(err) {
		return verdict{outcome: header.NotRun, code: refusal.SendFailed}, routing.Report{Free: -1, Unavailable: err != fasthttp.ErrNoFreeConns}
	}
	code := refusal.AnswerCut
	if err == fasthttp.ErrTimeout {
		code = refusal.DeadlinePassed
	}
	return verdict{outcome: header.Unknown, code: code}, routing.Report{Free: -1, Failed: true}
}

// readAnswer evaluates an agent's answer. It rejects an answer that carries another request's id.
func (e *Entry) readAnswer(x *exchange) (verdict, routing.Report) {
	h := &x.resp.Header
	if !bytes.Equal(h.Peek(header.ID), []byte(x.id)) {
		// The answer belongs to another request and must not reach this caller.
		return verdict{outcome: header.Unknown, code: refusal.AnswerMixed}, routing.Report{Free: -1, Failed: true}
	}
	report := routing.Report{Free: intOr(h.Peek(header.Free), -1)}
	v := verdict{outcome: header.Outcome(h.Peek(header.OutcomeName)), code: refusal.Code(h.Peek(header.Reason))}
	v.retryAfter = time.Duration(intOr(h.Peek(header.RetryAfterMS), 0)) * time.Millisecond
	switch v.outcome {
	case header.Done:
		report.Failed = x.resp.StatusCode() >= fasthttp.StatusInternalServerError
		v.code = ""
		x.copyAnswer()
	case header.NotRun:
		report.Failed = v.code == refusal.NoUpstream || v.code == refusal.Leaving
		report.Unavailable = v.code == refusal.Leaving
	default:
		v.outcome, report.Failed = header.Unknown, v.code != refusal.DeadlinePassed
		if v.code == "" {
			v.code = refusal.UpstreamBroken
		}
	}
	return v, report
}

// copyAnswer copies the upstream's answer to the caller's response.
func (x *exchange) copyAnswer() {
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

// statusOf returns the HTTP status for a verdict that is not done.
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

// writeRefusal immediately answers a caller whose request was not done and sets the retry time. The
// time is randomised, so that callers that were refused together do not retry together.
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
		wait := refusal.Jitter(v.retryAfter)
		seconds := (wait + time.Second - 1) / time.Second
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(seconds)))
		ctx.Response.Header.Set(header.RetryAfterMS, strconv.FormatInt(wait.Milliseconds(), 10))
	}
	ctx.SetBodyString(string(v.outcome) + ": " + string(v.code) + "\n")
}
