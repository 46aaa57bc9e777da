package entry

import (
	"net"
	"sync"
	"testing"

	"github.com/valyala/fasthttp"
	"github.com/waxwinghaven/waxwinghaven/header"
	"github.com/waxwinghaven/waxwinghaven/market"
	"github.com/waxwinghaven/waxwinghaven/membership"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/settings"
)

// script lists the agents' answers, one for each try, whichever agent gets it. The last is
// repeated.
type script struct {
	mu      sync.Mutex
	answers []string
	tries   int
}

func (s *script) next() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.answers[min(s.tries, len(s.answers)-1)]
	s.tries++
	return w
}

// served returns the number of tries that were answered.
func (s *script) served() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tries
}

func (s *script) serve(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.SetBytesV(header.ID, ctx.Request.Header.Peek(header.ID))
	switch s.next() {
	case "done":
		ctx.Response.Header.Set(header.OutcomeName, string(header.Done))
		ctx.SetBodyString("own")
	case "not-run":
		ctx.Response.Header.Set(header.OutcomeName, string(header.NotRun))
		ctx.Response.Header.Set(header.Reason, string(refusal.Overloaded))
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	case "mixed":
		ctx.Response.Header.Set(header.ID, "somebody-else")
		ctx.Response.Header.Set(header.OutcomeName, string(header.Done))
		ctx.SetBodyString("another's")
	case "cut":
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { c.Close() })
	}
}

// entryWith returns an entry whose service has three agents that answer by a script.
func entryWith(t *testing.T, s *script, retry market.RetryRule) *Entry {
	t.Helper()
	set, err := settings.Parse("test", "[instance]\nname=\"e\"\ndata_centre=\"dc\"\nip=\"127.0.0.1\"\n[peers]\ncontrol=[\"127.0.0.1:1\"]\n[entry]\nport=7105\nhealth_port=7106\n")
	if err != nil {
		t.Fatal(err)
	}
	e, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	var members []*membership.Member
	for _, name := range []string{"a", "b", "c"} {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		go fasthttp.Serve(ln, s.serve)
		members = append(members, &membership.Member{Agent: name, Address: ln.Addr().String(), DataCentre: "dc", Market: "m", Service: "s", Slots: 8, Phase: membership.Up, Revision: 1})
	}
	svc := &market.Service{Name: "s", PathPrefix: "/s", TimeoutMS: 5000, Retry: retry}
	e.table.Update(1, 1, []*market.View{{Market: market.Market{Name: "m"}, Revision: 1, Services: map[string]*market.Service{"s": svc}}}, members)
	return e
}

// Agents refuse, close the connection, or answer with another request's id. The outcome must be
// not-run only if no try can have run: a GET whose connection broke at one agent and that the
// next one refused may have run at the first. A POST must be sent again only after a certain
// not-run. An answer to another request must not reach the caller.
func TestRetriesAndReportedOutcome(t *testing.T) {
	cases := []struct {
		name    string
		method  string
		retry   market.RetryRule
		answers []string
		outcome header.Outcome
		tries   int
	}{
		{"a GET is retried", "GET", market.RetrySafe, []string{"cut", "done"}, header.Done, 2},
		{"refused after a try of unknown outcome", "GET", market.RetrySafe, []string{"cut", "not-run"}, header.Unknown, 3},
		{"refused by all agents", "GET", market.RetrySafe, []string{"not-run"}, header.NotRun, 3},
		{"retry rule never", "GET", market.RetryNever, []string{"cut", "done"}, header.Unknown, 1},
		{"a POST whose connection broke", "POST", market.RetrySafe, []string{"cut", "done"}, header.Unknown, 1},
		{"a POST that was refused", "POST", market.RetrySafe, []string{"not-run", "done"}, header.Done, 2},
		{"refused, then connection broken", "POST", market.RetrySafe, []string{"not-run", "cut", "done"}, header.Unknown, 2},
		{"answer to another request", "POST", market.RetrySafe, []string{"mixed", "done"}, header.Unknown, 1},
	}
	for _, c := range cases {
		s := &script{answers: c.answers}
		e := entryWith(t, s, c.retry)
		var ctx fasthttp.RequestCtx
		ctx.Request.Header.SetMethod(c.method)
		ctx.Request.SetRequestURI("/s/1")
		ctx.Request.Header.SetHost("x")
		e.serve(&ctx)
		got := header.Outcome(ctx.Response.Header.Peek(header.OutcomeName))
		if tries := s.served(); got != c.outcome || tries != c.tries {
			t.Errorf("%s: %s after %d tries, want %s after %d", c.name, got, tries, c.outcome, c.tries)
		}
		if body := string(ctx.Response.Body()); body == "another's" || (got == header.Done && body != "own") {
			t.Errorf("%s: the caller got %q", c.name, body)
		}
	}
}
