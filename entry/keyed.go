package entry

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"github.com/waxwinghaven/waxwinghaven/claim"
	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/header"
	"github.com/waxwinghaven/waxwinghaven/refusal"
)

const (
	maxKey        = 256 // bytes
	settleTimeout = 10 * time.Second
	// runningPoll is the interval at which a repeated request checks whether the first
	// one has been answered.
	runningPoll = 100 * time.Millisecond
	// keyRetryAfter is the retry time for a caller while the first request still runs.
	keyRetryAfter = time.Second
)

// handleKeyed runs a request with an Idempotency-Key at most once by claiming the key in the
// quorum first. If the key is already claimed, the caller gets the answer of the first request
// or the outcome unknown.
func (e *Entry) handleKeyed(x *exchange, key string) verdict {
	if len(key) > maxKey {
		return verdict{outcome: header.NotRun, code: refusal.Invalid}
	}
	c := claim.Claim{Key: claim.MakeKey(x.route.Market, x.route.Service.Name, key), Token: x.id,
		Body: claim.BodyDigest(string(x.ctx.Method()), string(x.ctx.RequestURI()), x.ctx.PostBody())}
	for {
		result, err := e.claim(c, x.deadline)
		if err != nil {
			return e.claimFailed(c, err)
		}
		if result.Granted {
			return e.runClaimed(x, c)
		}
		if v, ok := x.replay(result); ok {
			return v
		}
		if time.Until(x.deadline) < 2*runningPoll {
			return verdict{header.Unknown, refusal.KeyRunning, keyRetryAfter}
		}
		time.Sleep(runningPoll)
	}
}

func (e *Entry) claim(c claim.Claim, deadline time.Time) (claim.Result, error) {
	var a control.ClaimAnswer
	err := e.ctl.Call(control.PathClaim, time.Until(deadline), &c, &a)
	return a.Result, err
}

// claimFailed returns the verdict for a claim that was refused or not confirmed. The request was
// not sent and no other request has this token, so it won't run. An unconfirmed claim may still
// be committed; it is released so that the key does not stay blocked.
func (e *Entry) claimFailed(c claim.Claim, err error) verdict {
	if r, ok := refusal.Of(err); ok {
		switch r.Code {
		case refusal.KeyMismatch, refusal.KeyStoreFull:
			return verdict{outcome: header.NotRun, code: r.Code, retryAfter: r.RetryAfter}
		case refusal.KeyExpired:
			return verdict{outcome: header.Unknown, code: r.Code}
		}
	}
	e.settle(claim.Settle{Key: c.Key, Token: c.Token, Release: true})
	return verdict{header.NotRun, refusal.KeyUnconfirmed, time.Second}
}

// replay answers from the record of the first request. It returns false while that request
// still runs.
func (x *exchange) replay(r claim.Result) (verdict, bool) {
	switch {
	case r.Phase == claim.Lost:
		return verdict{outcome: header.Unknown, code: refusal.KeyUnknown}, true
	case r.Phase == claim.Finished && r.Answer != nil:
		x.ctx.SetStatusCode(r.Answer.Status)
		x.ctx.SetContentType(r.Answer.ContentType)
		x.ctx.Response.Header.Set(header.Replayed, "true")
		x.ctx.SetBody(r.Answer.Body)
		return verdict{outcome: header.Done}, true
	}
	return verdict{}, false
}

func (e *Entry) runClaimed(x *exchange, c claim.Claim) verdict {
	v := e.send(x)
	s := claim.Settle{Key: c.Key, Token: c.Token}
	switch v.outcome {
	case header.NotRun:
		s.Release = true
	case header.Done:
		r := &x.ctx.Response
		s.Answer = &claim.Answer{Status: r.StatusCode(), ContentType: string(r.Header.ContentType()), Body: bodyToStore(r)}
	}
	e.settle(s)
	return v
}

// bodyToStore returns a copy of the body to store in the quorum. A larger body is cut to one byte
// over the limit: the claim state then stores no answer, only that the request was run.
func bodyToStore(r *fasthttp.Response) []byte {
	body := r.Body()
	return append([]byte(nil), body[:min(len(body), claim.MaxAnswerBytes+1)]...)
}

// settle ends a claim in the background, so that the caller's answer does not wait for it. If
// the call fails, the key stays claimed and a repeated request gets the outcome unknown.
func (e *Entry) settle(s claim.Settle) {
	e.pendingSettles.Add(1)
	go func() {
		defer e.pendingSettles.Done()
		if err := e.ctl.Call(control.PathSettle, settleTimeout, &s, nil); err != nil {
			logrus.Warnf("entry: Could not settle a claim: %v.", err)
		}
	}()
}
