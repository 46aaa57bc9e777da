package agent

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
	"github.com/waxwinghaven/waxwinghaven/admission"
	"github.com/waxwinghaven/waxwinghaven/market"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/resource"
	"github.com/waxwinghaven/waxwinghaven/transport"
)

// Announcement is the body that an upstream posts to its agent's local port, periodically, as
// a heartbeat.
type Announcement struct {
	Market  string `json:"market"`
	Service string `json:"service"`
	// Address is the upstream's IP address and port.
	Address string `json:"address"`
	Rack    string `json:"rack"`
	// Worker is the IP address and port of the worker's interface, empty without a worker.
	Worker      string          `json:"worker,omitempty"`
	Capacity    resource.Vector `json:"capacity"`
	Slots       int             `json:"slots"`
	Connections int             `json:"connections"`
	// Running is the upstream's own count of requests in progress. The agent uses it to
	// free the slots of requests that it no longer waits for.
	Running *int `json:"running,omitempty"`
	// Leaving asks for no new requests; those in progress are finished.
	Leaving bool `json:"leaving,omitempty"`
	// Runs is set if the worker accepts tasks of callers' jobs.
	Runs *RunsAnnouncement `json:"runs,omitempty"`
}

const (
	maxSlots       = 100_000
	maxConnections = 100_000
)

func (a *Announcement) validate() error {
	bad := func(remedy, format string, args ...any) error {
		return refusal.New(refusal.Invalid, remedy, format, args...)
	}
	if err := market.CheckName("market", a.Market); err != nil {
		return err
	}
	if err := market.CheckName("service", a.Service); err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return bad("give an IP number and port", "address %q cannot be dialled", a.Address)
	}
	if _, err := netip.ParseAddrPort(a.Worker); a.Worker != "" && err != nil {
		return bad("give an IP number and port, or leave it out", "worker %q cannot be dialled", a.Worker)
	}
	if a.Slots < 1 || a.Slots > maxSlots || a.Connections < 1 || a.Connections > maxConnections {
		return bad("give 1 to 100000 of each", "slots %d or connections %d are out of range", a.Slots, a.Connections)
	}
	if a.Running != nil && *a.Running < 0 {
		return bad("count the requests in progress", "running %d is negative", *a.Running)
	}
	if a.Capacity.Negative() {
		return bad("give amounts of 0 or more", "the capacity is negative")
	}
	if a.Runs != nil {
		return a.Runs.validate()
	}
	return nil
}

func (a *Announcement) running() int {
	if a.Running == nil {
		return admission.UnknownRunning
	}
	return *a.Running
}

// serveLocal serves the local port: the upstream's announcements, health checks and metrics.
func (g *Agent) serveLocal(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Method()) + " " + string(ctx.Path()) {
	case "POST /announce":
		g.postAnnounce(ctx)
	case "POST /withdraw":
		g.withdraw()
	case "GET /healthz":
		ctx.SetBodyString("ok\n")
	case "GET /readyz":
		if !g.leaseValid(time.Now()) {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	case "GET /metrics":
		metrics.WritePrometheus(ctx, true)
	default:
		localError(ctx, fasthttp.StatusNotFound, refusal.New(refusal.NotFound, "see docs/API.md for the paths", "no %s %s", ctx.Method(), ctx.Path()))
	}
}

func localError(ctx *fasthttp.RequestCtx, status int, e *refusal.Error) {
	refusal.Count("announce", e.Code)
	if transport.WriteJSON(ctx, status, e) {
		ctx.Response.AppendBodyString("\n")
	}
}

func (g *Agent) postAnnounce(ctx *fasthttp.RequestCtx) {
	var a Announcement
	d := json.NewDecoder(bytes.NewReader(ctx.PostBody()))
	d.DisallowUnknownFields()
	err := d.Decode(&a)
	if err == nil {
		err = a.validate()
	}
	if err != nil {
		e, ok := refusal.Of(err)
		if !ok {
			e = refusal.New(refusal.Invalid, "see docs/API.md for the fields", "the announcement cannot be read: %v", err)
		}
		localError(ctx, fasthttp.StatusBadRequest, e)
		return
	}
	g.handleAnnouncement(a, time.Now())
	g.runs.handleAnnouncement(a, g.leaving())
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}
