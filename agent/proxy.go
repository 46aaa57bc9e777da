package agent

import (
	"errors"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
	"github.com/waxwinghaven/waxwinghaven/admission"
	"github.com/waxwinghaven/waxwinghaven/header"
	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// defaultTime bounds a request whose entry sent no deadline.
const defaultTime = 30 * time.Second

// strayTime is how long past its caller's deadline a request to the upstream is
// still waited for, so that its slot is freed when it really ends.
const strayTime = 30 * time.Second

var (
	lateAnswers = metrics.NewCounter(`waxwinghaven_late_answers_total{part="agent"}`)
	strays      = metrics.NewCounter(`waxwinghaven_stray_requests_total{part="agent"}`)
)

// serveEntry answers an entry's request. Whatever is refused here certainly
// was not run, whatever the entries know of this agent.
func (g *Agent) serveEntry(ctx *fasthttp.RequestCtx) {
	id := ctx.Request.Header.Peek(header.ID)
	ctx.Response.Header.SetBytesV(header.ID, id)
	if len(id) == 0 {
		g.refuse(ctx, admission.Verdict{Code: refusal.Invalid})
		return
	}
	t := &admission.Ticket{Deadline: deadlineOf(ctx), Ready: make(chan struct{})}
	if v := g.enter(t, ctx); v.Decision == admission.Refuse {
		g.refuse(ctx, v)
		return
	}
	g.forward(ctx, t.Deadline)
}

// deadlineOf returns when the entry's caller gives up. An entry that was frozen
// sends a time that has passed already, and such a request must not be begun.
func deadlineOf(ctx *fasthttp.RequestCtx) time.Time {
	ms, err := strconv.Atoi(string(ctx.Request.Header.Peek(header.TimeLeft)))
	if err != nil {
		return time.Now().Add(defaultTime)
	}
	return time.Now().Add(time.Duration(ms) * time.Millisecond)
}

// enter waits for a slot, at most until the deadline.
func (g *Agent) enter(t *admission.Ticket, ctx *fasthttp.RequestCtx) admission.Verdict {
	v := g.arrive(t, ctx)
	if v.Decision != admission.Queue {
		return v
	}
	timer := time.NewTimer(time.Until(t.Deadline))
	defer timer.Stop()
	select {
	case <-t.Ready:
		return t.Verdict
	case <-timer.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.gate.Abandon(t) {
		return admission.Verdict{Decision: admission.Refuse, Code: refusal.DeadlinePassed}
	}
	return t.Verdict // decided while the timer fired
}

func (g *Agent) arrive(t *admission.Ticket, ctx *fasthttp.RequestCtx) admission.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a := g.announce; a != nil && g.gate.Slots() > 0 {
		// An instance can change its service; an entry that does not know
		// yet must not get another service's answer.
		if string(ctx.Request.Header.Peek(header.Service)) != a.Market+"/"+a.Service {
			return admission.Verdict{Decision: admission.Refuse, Code: refusal.NoUpstream}
		}
	}
	return g.gate.Arrive(t, time.Now())
}

func (g *Agent) refuse(ctx *fasthttp.RequestCtx, v admission.Verdict) {
	refusal.Count(part, v.Code)
	g.mark(ctx, header.NotRun, v.Code)
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	if v.RetryAfter > 0 {
		ctx.Response.Header.Set(header.RetryAfterMS, strconv.FormatInt(v.RetryAfter.Milliseconds(), 10))
	}
}

// mark tells the entry the outcome and how many slots are free.
func (g *Agent) mark(ctx *fasthttp.RequestCtx, o header.Outcome, code refusal.Code) {
	g.mu.Lock()
	free := g.gate.Free()
	g.mu.Unlock()
	h := &ctx.Response.Header
	h.Set(header.OutcomeName, string(o))
	h.Set(header.Free, strconv.Itoa(free))
	if code != "" {
		h.Set(header.Reason, string(code))
	}
}

// call is one request at the upstream. It outlives its caller when the caller's
// deadline passes first.
type call struct {
	req  *fasthttp.Request
	resp *fasthttp.Response
	err  error
	done chan struct{}
}

func (c *call) free() {
	fasthttp.ReleaseRequest(c.req)
	fasthttp.ReleaseResponse(c.resp)
}

func (g *Agent) forward(ctx *fasthttp.RequestCtx, deadline time.Time) {
	c := &call{req: fasthttp.AcquireRequest(), resp: fasthttp.AcquireResponse(), done: make(chan struct{})}
	ctx.Request.CopyTo(c.req)
	header.ForUpstream(&c.req.Header)
	go g.run(c, deadline)
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-c.done:
		g.answer(ctx, c)
		c.free()
	case <-timer.C:
		refusal.Count(part, refusal.DeadlinePassed)
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
		g.mark(ctx, header.Unknown, refusal.DeadlinePassed)
		go func() { // the late answer reaches nobody
			<-c.done
			lateAnswers.Inc()
			c.free()
		}()
	}
}

// run sends the request and frees its slot when the upstream has ended it.
func (g *Agent) run(c *call, deadline time.Time) {
	g.mu.Lock()
	up := g.upstream
	g.mu.Unlock()
	g.plain.Address(c.req, up.Addr)
	start := time.Now()
	c.err = up.DoDeadline(c.req, c.resp, deadline.Add(strayTime))
	if c.err == nil {
		c.err = readWhole(c.resp, g.set.Agent.MaxBody)
	}
	took := time.Since(start)
	failed := c.err != nil || c.resp.StatusCode() >= fasthttp.StatusInternalServerError
	g.meter.request(took, failed)
	g.mu.Lock()
	if c.err != nil && mayStillRun(c.err) {
		strays.Inc()
		g.gate.Stray()
	} else {
		release(g.gate.Finish(took, time.Now()))
	}
	g.mu.Unlock()
	close(c.done)
}

// mayStillRun reports whether the upstream may go on with a request that ended
// here with this error. A connection that the upstream closed has ended.
func mayStillRun(err error) bool {
	var timeout net.Error
	return !header.NeverSent(err) && (err == fasthttp.ErrTimeout || (errors.As(err, &timeout) && timeout.Timeout()))
}

func (g *Agent) answer(ctx *fasthttp.RequestCtx, c *call) {
	if c.err != nil {
		g.answerError(ctx, c.err)
		return
	}
	id := append([]byte(nil), ctx.Response.Header.Peek(header.ID)...)
	header.FromUpstream(&c.resp.Header)
	c.resp.CopyTo(&ctx.Response)
	ctx.Response.Header.SetBytesV(header.ID, id)
	g.mark(ctx, header.Done, "")
}

// answerError tells what is known: only a connection that was never made
// excludes that the upstream saw the request.
func (g *Agent) answerError(ctx *fasthttp.RequestCtx, err error) {
	outcome, code := header.Unknown, refusal.UpstreamBroken
	switch {
	case header.NeverSent(err):
		outcome, code = header.NotRun, refusal.NoUpstream
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		code = refusal.TooLarge
	case errors.Is(err, errUnframed) || errors.Is(err, io.ErrUnexpectedEOF):
		code = refusal.AnswerCut
	}
	refusal.Count(part, code)
	ctx.SetStatusCode(fasthttp.StatusBadGateway)
	g.mark(ctx, outcome, code)
}
