package agent

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/waxwinghaven/waxwinghaven/admission"
	"github.com/waxwinghaven/waxwinghaven/header"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/settings"
)

func testAgent(t *testing.T) *Agent {
	t.Helper()
	set, err := settings.Parse("test", "[instance]\nname=\"a\"\ndata_centre=\"dc\"\nip=\"127.0.0.1\"\n[peers]\ncontrol=[\"127.0.0.1:7101\"]\n[agent]\nport=7103\nlocal_port=7104\n")
	if err != nil {
		t.Fatal(err)
	}
	g, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	return g
}

func (g *Agent) requestSlotNow(t *testing.T) admission.Verdict {
	t.Helper()
	return g.gate.Arrive(&admission.Ticket{Deadline: time.Now().Add(time.Second), Ready: make(chan struct{})}, time.Now())
}

// Requests reach an upstream that announced it is leaving, because the entries have not
// learned of it yet. The agent must refuse them as not run from that announcement on. It also
// refuses when the heartbeats stop, until the next one; a draining agent refuses regardless
// of heartbeats.
func TestAgentRefusesRequestsAfterUpstreamLeaves(t *testing.T) {
	g := testAgent(t)
	a := Announcement{Market: "m", Service: "s", Address: "127.0.0.1:9", Slots: 2, Connections: 2}
	now := time.Now()
	if v := g.requestSlotNow(t); v.Code != refusal.NoUpstream {
		t.Errorf("before the first announcement: %+v", v)
	}
	g.handleAnnouncement(a, now)
	if v := g.requestSlotNow(t); v.Decision != admission.Admit {
		t.Errorf("announced: %+v", v)
	}
	leaving := a
	leaving.Leaving = true
	g.handleAnnouncement(leaving, now)
	if v := g.requestSlotNow(t); v.Decision != admission.Refuse || v.Code != refusal.Leaving {
		t.Errorf("leaving: %+v", v)
	}
	g.handleAnnouncement(a, now)
	g.expireUpstream(now.Add(settings.DefaultAnnounceTimeout + 1))
	if v := g.requestSlotNow(t); v.Code != refusal.NoUpstream {
		t.Errorf("heartbeats stopped: %+v", v)
	}
	g.handleAnnouncement(a, now)
	g.withdraw()
	g.handleAnnouncement(a, now)
	if v := g.requestSlotNow(t); v.Code != refusal.Leaving {
		t.Errorf("draining: %+v", v)
	}
}

// An entry is suspended between receiving a request and sending it on, so that no time is left
// when the agent gets it. If it were started, it would run after its caller was told "unknown"
// and, if its idempotency key has expired meanwhile, a second time.
func TestRequestWithoutTimeLeftIsNotStarted(t *testing.T) {
	g := testAgent(t)
	g.handleAnnouncement(Announcement{Market: "m", Service: "s", Address: "127.0.0.1:9", Slots: 2, Connections: 2}, time.Now())
	for _, left := range []string{"0", "-90000000"} {
		var ctx fasthttp.RequestCtx
		ctx.Request.Header.Set(header.ID, "x")
		ctx.Request.Header.Set(header.Service, "m/s")
		ctx.Request.Header.Set(header.TimeLeft, left)
		g.serveEntry(&ctx)
		h := &ctx.Response.Header
		if string(h.Peek(header.OutcomeName)) != string(header.NotRun) || string(h.Peek(header.Reason)) != string(refusal.DeadlinePassed) {
			t.Errorf("%s ms left: %s %s", left, h.Peek(header.OutcomeName), h.Peek(header.Reason))
		}
	}
}

// Announcements with invalid fields are refused as invalid.
func TestBadAnnouncementsAreRefused(t *testing.T) {
	good := Announcement{Market: "m", Service: "s", Address: "127.0.0.1:9", Slots: 1, Connections: 1}
	if err := good.validate(); err != nil {
		t.Fatal(err)
	}
	negative := -1
	for name, invalidate := range map[string]func(*Announcement){
		"market": func(a *Announcement) { a.Market = "" }, "service": func(a *Announcement) { a.Service = "A b" },
		"address": func(a *Announcement) { a.Address = "host:80" }, "worker": func(a *Announcement) { a.Worker = "x" },
		"slots": func(a *Announcement) { a.Slots = 0 }, "connections": func(a *Announcement) { a.Connections = 1 << 30 },
		"running": func(a *Announcement) { a.Running = &negative }, "capacity": func(a *Announcement) { a.Capacity.MemoryMB = -5 },
	} {
		a := good
		invalidate(&a)
		if err := a.validate(); !refusal.Is(err, refusal.Invalid) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
