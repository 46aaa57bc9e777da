package control

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/market"
	"github.com/waxwinghaven/waxwinghaven/membership"
	"github.com/waxwinghaven/waxwinghaven/quorum"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/rollout"
	"github.com/waxwinghaven/waxwinghaven/transport"
)

const (
	maxOperatorBody = 4 << 20
	defaultTasks    = 100 // listed without a limit
)

// operatorRoute handles one operator path and returns a JSON value.
type operatorRoute func(ctx *fasthttp.RequestCtx) (any, error)

func (r *Replica) operatorRoutes() map[string]operatorRoute {
	routes := map[string]operatorRoute{
		"GET /v1/status":         r.getStatus,
		"GET /v1/markets":        r.getMarkets,
		"GET /v1/teams":          r.getTeams,
		"GET /v1/tasks":          r.getTasks,
		"GET /v1/members":        r.getMembers,
		"POST /v1/changes":       r.postChange,
		"POST /v1/submissions":   r.postSubmission,
		"POST /v1/cancellations": r.postCancellation,
		"POST /v1/init":          r.postInit,
		"POST /v1/hand-over":     r.postHandOver,
		"GET /v1/data-centres":   r.getDataCentres,
		"POST /v1/data-centres":  r.postDataCentre,
	}
	r.jobOperatorRoutes(routes)
	return routes
}

func (r *Replica) serveOperators(ctx context.Context, ln net.Listener) error {
	routes := r.operatorRoutes()
	server := transport.NewHTTPServer("operator", transport.Few, func(q *fasthttp.RequestCtx) { r.serveOperator(routes, q) }, maxOperatorBody)
	return transport.ServeHTTP(ctx, server, transport.Secure("operator", ln, r.tls))
}

func (r *Replica) serveOperator(routes map[string]operatorRoute, q *fasthttp.RequestCtx) {
	switch string(q.Path()) {
	case "/healthz":
		q.SetBodyString("ok\n")
		return
	case "/readyz":
		if !r.node.View().InContact {
			q.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
		return
	case "/metrics":
		metrics.WritePrometheus(q, true)
		return
	}
	if r.tls != nil && !transport.HasRole(q, transport.RoleOperator) {
		writeError(q, refusal.New(refusal.Forbidden, "use a key made with --role operator", "this key may not operate the system"))
		return
	}
	route := routes[string(q.Method())+" "+string(q.Path())]
	if route == nil {
		writeError(q, refusal.New(refusal.NotFound, "see docs/API.md for the paths", "no %s %s", q.Method(), q.Path()))
		return
	}
	v, err := route(q)
	if err != nil {
		writeError(q, err)
		return
	}
	writeJSON(q, fasthttp.StatusOK, v)
}

func writeJSON(q *fasthttp.RequestCtx, status int, v any) {
	if transport.WriteJSON(q, status, v) {
		q.Response.AppendBodyString("\n") // for readability in a terminal
	}
}

// statusOf returns the HTTP status for a refusal.
func statusOf(code refusal.Code) int {
	switch code {
	case refusal.Invalid, refusal.ChangeReused:
		return fasthttp.StatusBadRequest
	case refusal.NotFound:
		return fasthttp.StatusNotFound
	case refusal.Conflict:
		return fasthttp.StatusConflict
	case refusal.NotLeader:
		return fasthttp.StatusMisdirectedRequest
	case refusal.Forbidden:
		return fasthttp.StatusForbidden
	}
	return fasthttp.StatusServiceUnavailable
}

func writeError(q *fasthttp.RequestCtx, err error) {
	e, ok := refusal.Of(err)
	if !ok {
		e = refusal.New(refusal.Invalid, "see the replica's log", "%v", err)
	}
	refusal.Count("operator", e.Code)
	if e.RetryAfter > 0 {
		q.Response.Header.Set("Retry-After", strconv.Itoa(int(e.RetryAfter/time.Second)+1))
	}
	writeJSON(q, statusOf(e.Code), e)
}

// readJSON decodes a body strictly, so that a misspelt field is not silently ignored.
func readJSON(q *fasthttp.RequestCtx, v any) error {
	d := json.NewDecoder(bytes.NewReader(q.PostBody()))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return refusal.New(refusal.Invalid, "see docs/API.md for the fields", "the body cannot be read: %v", err)
	}
	return nil
}

func (r *Replica) postChange(q *fasthttp.RequestCtx) (any, error) {
	var c market.Change
	if err := readJSON(q, &c); err != nil {
		return nil, err
	}
	if err := c.Validate(); err != nil {
		return nil, err
	}
	v, err := r.propose(Command{Change: &c})
	if err != nil {
		return nil, err
	}
	logrus.WithFields(logrus.Fields{"change": c.ID, "verb": c.Verb, "market": c.Market}).Info("control: Accepted a change.")
	return v, nil
}

// SubmitAnswer holds the id of the first task of a submission; the others are numbered
// consecutively.
type SubmitAnswer struct {
	First string `json:"first"`
	Count int    `json:"count"`
}

func (r *Replica) postSubmission(q *fasthttp.RequestCtx) (any, error) {
	var c lease.Submit
	if err := readJSON(q, &c); err != nil {
		return nil, err
	}
	v, err := r.propose(Command{Submit: &c})
	if err != nil {
		return nil, err
	}
	r.leader.wake()
	return SubmitAnswer{v.(string), c.Count}, nil
}

func (r *Replica) postCancellation(q *fasthttp.RequestCtx) (any, error) {
	var c lease.Cancel
	if err := readJSON(q, &c); err != nil {
		return nil, err
	}
	if c.Market == "" || (c.Job == "" && len(c.Tasks) == 0) {
		return nil, refusal.New(refusal.Invalid, "name a market, and a job or tasks", "the cancellation names nothing to cancel")
	}
	return r.propose(Command{Cancel: &c})
}

func (r *Replica) postInit(*fasthttp.RequestCtx) (any, error) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	if err := r.node.Bootstrap(ctx, r.self); err != nil {
		return nil, refusal.New(refusal.Invalid, "initialise a cluster once, at one replica", "%v", err)
	}
	logrus.Info("control: Made a new cluster.")
	return map[string]uint64{"id": r.self.ID}, nil
}

func (r *Replica) postHandOver(*fasthttp.RequestCtx) (any, error) {
	if r.node.View().Role != quorum.Leader {
		return nil, r.refusalOf(quorum.ErrNotLeader)
	}
	r.handOver()
	return map[string]string{"leader": r.node.View().Leader.Name}, nil
}

// StatusAnswer is the view of one replica. Only the leader's view is confirmed.
type StatusAnswer struct {
	Replica   string `json:"replica"`
	Role      string `json:"role"`
	Term      uint64 `json:"term"`
	Leader    string `json:"leader"`
	LeaderAt  string `json:"leader_operator_address"`
	InContact bool   `json:"in_contact"`
	// Votes distinguishes voters from spares and replicas that are catching up.
	Votes    bool          `json:"votes"`
	Commit   uint64        `json:"commit"`
	Revision uint64        `json:"revision"`
	Replicas quorum.Config `json:"replicas"`
	// Short is set by the leader only, and absent while the replica set is complete.
	Short      *Shortage          `json:"short,omitempty"`
	Instances  []rollout.Instance `json:"instances"`
	Waiting    int                `json:"tasks_waiting"`
	Tasks      int                `json:"tasks_kept"`
	ClaimsKept int                `json:"claims_kept"`
	// Workers counts the registered workers, and Leased those to which this replica has granted a
	// lease since it leads.
	Workers int `json:"workers"`
	Leased  int `json:"workers_leased"`
}

func (r *Replica) getStatus(*fasthttp.RequestCtx) (any, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return r.Status(ctx)
}

// Status returns this replica's view. Only the leader's is up to date.
func (r *Replica) Status(ctx context.Context) (StatusAnswer, error) {
	st, err := r.node.Status(ctx)
	if err != nil {
		return StatusAnswer{}, r.refusalOf(err)
	}
	a := StatusAnswer{Replica: r.self.Name, Role: st.Role.String(), Term: st.Term, InContact: st.InContact, Votes: st.Config.IsVoter(r.self.ID), Leased: r.dispatcher.leased(),
		Commit: st.Commit, Replicas: st.Config, Short: r.setMonitor.current(), Instances: r.rollout.List()}
	if l, ok := st.Config.Find(st.Leader); ok {
		a.Leader, a.LeaderAt = l.Name, l.Operator
	}
	r.machine.Read(func(s *State) {
		a.Workers = len(s.Jobs.Workers)
		a.Revision, a.Waiting, a.Tasks, a.ClaimsKept = s.Market.Revision, s.Tasks.Waiting(), len(s.Tasks.Tasks), len(s.Claims.Records)
	})
	return a, nil
}

// confirmed calls f with the state after a majority has confirmed this leader.
func (r *Replica) confirmed(f func(*State)) error {
	if err := r.barrier(); err != nil {
		return err
	}
	r.machine.Read(f)
	return nil
}

func (r *Replica) getMarkets(q *fasthttp.RequestCtx) (any, error) {
	var out []*market.View
	err := r.confirmed(func(s *State) { out = s.Market.Since(0) })
	name := string(q.QueryArgs().Peek("name"))
	if err != nil || name == "" {
		return out, err
	}
	for _, v := range out {
		if v.Market.Name == name {
			return []*market.View{v}, nil
		}
	}
	return nil, refusal.New(refusal.NotFound, "make it first, or check the spelling", "market %q does not exist", name)
}

func (r *Replica) getTeams(*fasthttp.RequestCtx) (any, error) {
	out := market.Teams{ByName: make(map[string]market.Team)}
	err := r.confirmed(func(s *State) {
		out.Revision, out.LastChange = s.Market.Teams.Revision, s.Market.Teams.LastChange
		for name, t := range s.Market.Teams.ByName {
			out.ByName[name] = t
		}
	})
	return out, err
}

func (r *Replica) getMembers(*fasthttp.RequestCtx) (any, error) {
	var out []*membership.Member
	err := r.confirmed(func(s *State) { out = s.Members.ChangedSince(0) })
	return out, err
}

// TaskView is a task as operators see it.
type TaskView struct {
	lease.Task
	Ran lease.Ran `json:"ran"`
}

func (r *Replica) getTasks(q *fasthttp.RequestCtx) (any, error) {
	args := q.QueryArgs()
	limit := args.GetUintOrZero("limit")
	if limit == 0 {
		limit = defaultTasks
	}
	want := taskFilter{id: string(args.Peek("id")), market: string(args.Peek("market")), job: string(args.Peek("job")), phase: string(args.Peek("phase"))}
	out := []TaskView{}
	err := r.confirmed(func(s *State) {
		for _, t := range s.Tasks.Tasks {
			if want.match(t) {
				out = append(out, TaskView{*t, t.Ran()})
			}
		}
	})
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out[:min(limit, len(out))], err
}

type taskFilter struct{ id, market, job, phase string }

func (f taskFilter) match(t *lease.Task) bool {
	return (f.id == "" || t.ID == f.id || strings.HasPrefix(t.ID, f.id+"/")) &&
		(f.market == "" || t.Market == f.market) && (f.job == "" || t.Job == f.job) &&
		(f.phase == "" || string(t.Phase) == f.phase)
}
