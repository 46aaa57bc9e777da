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

// defaultTimeout is the time allowed for a request whose entry sent no deadline.
const defaultTimeout = 30 * time.Second

// overrunWait is how long the agent waits for the upstream past the caller's deadline, so that
// the slot is freed when the request has actually ended.
const overrunWait = 30 * time.Second

var (
	lateAnswers      = metrics.NewCounter(`waxwinghaven_late_answers_total{part="agent"}`)
	orphanedRequests = metrics.NewCounter(`waxwinghaven_stray_requests_total{part="agent"}`)
)

// serveEntry handles a request from an entry. A request that is refused here has certainly
// not been run, even if the entry's information on this agent is outdated.
func (g *Agent) serveEntry(ctx *fasthttp.RequestCtx) {
	id := ctx.Request.Header.Peek(header.ID)
	ctx.Response.Header.SetBytesV(header.ID, id)
	if len(id) == 0 {
		g.refuse(ctx, admission.Verdict{Code: refusal.Invalid})
		return
	}
	t := &admission.Ticket{Deadline: deadlineOf(ctx), Ready: make(chan struct{})}
	if v := g.acquireSlot(t, ctx); v.Decision == admission.Refuse {
		g.refuse(ctx, v)
		return
	}
	g.forward(ctx, t.Deadline)
}

// deadlineOf returns the deadline of the entry's caller. It is in the past if the entry was
// suspended before sending; such a request must not be started.
func deadlineOf(ctx *fasthttp.RequestCtx) time.Time {
	ms, err := strconv.Atoi(string(ctx.Request.Header.Peek(header.TimeLeft)))
	if err != nil {
		return time.Now().Add(defaultTimeout)
	}
	return time.Now().Add(time.Duration(ms) * time.Millisecond)
}

// acquireSlot waits for a slot of the upstream until the ticket's deadline at most.
func (g *Agent) acquireSlot(t *admission.Ticket, ctx *fasthttp.RequestCtx) admission.Verdict {
	v := g.requestSlot(t, ctx)
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
	return t.Verdict // the gate decided just as the timer fired
}

func (g *Agent) requestSlot(t *admission.Ticket, ctx *fasthttp.RequestCtx) admission.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a := g.announce; a != nil && g.gate.Slots() > 0 {
		// An instance can change its service. An entry that has not learned of it yet
		// must not get an answer of the wrong service.
		if string(ctx.Request.Header.Peek(header.Service)) != a.Market+"/"+a.Service {
			return admission.Verdict{Decision: admission.Refuse, Code: refusal.NoUpstream}
		}
	}
	return g.gate.Arrive(t, time.Now())
}

func (g *Agent) refuse(ctx *fasthttp.RequestCtx, v admission.Verdict) {
	refusal.Count(part, v.Code)
	g.setOutcome(ctx, header.NotRun, v.Code)
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	if v.RetryAfter > 0 {
		ctx.Response.Header.Set(header.RetryAfterMS, strconv.FormatInt(v.RetryAfter.Milliseconds(), 10))
	}
}

// setOutcome sets the answer's headers for the outcome, its reason and the number of free slots.
func (g *Agent) setOutcome(ctx *fasthttp.RequestCtx, o header.Outcome, code refusal.Code) {
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

// call is one request to the upstream. It continues after the caller's deadline if the
// upstream has not answered by then.
type call struct {
	req  *fasthttp.Request
	resp *fasthttp.Response
	err  error
	done chan struct{}
}

func (c *call) release() {
	fasthttp.ReleaseRequest(c.req)
	fasthttp.ReleaseResponse(c.resp)
}

func (g *Agent) forward(ctx *fasthttp.RequestCtx, deadline time.Time) {
	c := &call{req: fasthttp.AcquireRequest(), resp: fasthttp.AcquireResponse(), done: make(chan struct{})}
	ctx.Request.CopyTo(c.req)
	header.ForUpstream(&c.req.Header)
	go g.callUpstream(c, deadline)
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-c.done:
		g.answer(ctx, c)
		c.release()
	case <-timer.C:
		refusal.Count(part, refusal.DeadlinePassed)
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
		g.setOutcome(ctx, header.Unknown, refusal.DeadlinePassed)
		go func() { // count and discard the late answer
			<-c.done
			lateAnswers.Inc()
			c.release()
		}()
	}
}

// callUpstream sends the request and frees its slot unless the upstream may still be running it.
func (g *Agent) callUpstream(c *call, deadline time.Time) {
	g.mu.Lock()
	up := g.upstream
	g.mu.Unlock()
	g.plain.SetTarget(c.req, up.Addr)
	start := time.Now()
	c.err = up.DoDeadline(c.req, c.resp, deadline.Add(overrunWait))
	if c.err == nil {
		c.err = readBody(c.resp, g.set.Agent.MaxBody)
	}
	took := time.Since(start)
	failed := c.err != nil || c.resp.StatusCode() >= fasthttp.StatusInternalServerError
	g.meter.recordRequest(took, failed)
	g.mu.Lock()
	if c.err != nil && mayStillRun(c.err) {
		orphanedRequests.Inc()
		g.gate.Orphan()
	} else {
		wakeDecided(g.gate.Finish(took, time.Now()))
	}
	g.mu.Unlock()
	close(c.done)
}

// mayStillRun reports whether the upstream may still be running a request that failed with
// err: only after a time-out, since a connection that the upstream closed ends its request.
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
	g.setOutcome(ctx, header.Done, "")
}

// answerError answers with the outcome that err allows. Only if the request was never sent is it
// certain that the upstream did not run it.
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
	g.setOutcome(ctx, outcome, code)
}
