// Package operator implements the client of the control replicas' operator interface.
package operator

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/datacentre"
	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/market"
	"github.com/waxwinghaven/waxwinghaven/membership"
	"github.com/waxwinghaven/waxwinghaven/queues"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/transport"
	"github.com/waxwinghaven/waxwinghaven/upkeep"
)

const (
	tryTimeout = 6 * time.Second
	retryPause = 200 * time.Millisecond
)

// Client sends calls to the replicas and finds the leader among them.
type Client struct {
	http   *http.Client
	scheme string
	addrs  []string
	// RetryTimeout bounds how long a call is retried while no leader is known.
	RetryTimeout time.Duration
}

// NewClient returns a client for the replicas' operator addresses.
func NewClient(addrs []string, keys *transport.Keys) (*Client, error) {
	tlsConfig, err := transport.LoadTLS(keys)
	if err != nil {
		return nil, err
	}
	c := &Client{scheme: "http", addrs: addrs, RetryTimeout: 10 * time.Second,
		http: &http.Client{Timeout: tryTimeout, Transport: &http.Transport{TLSClientConfig: tlsConfig, MaxIdleConnsPerHost: 8}}}
	if tlsConfig != nil {
		c.scheme = "https"
	}
	return c, nil
}

// NewID returns a random id for a change or submission.
func NewID() string {
	b := make([]byte, 8)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// call tries the replicas in turn until one answers or RetryTimeout has passed.
// Changes and submissions carry an id, so retrying them is safe.
func (c *Client) call(method, path string, body, out any) error {
	deadline := time.Now().Add(c.RetryTimeout)
	var last error
	for {
		for _, addr := range c.addrs {
			err := c.callOnce(addr, method, path, body, out)
			if err == nil || !retryable(err) {
				return err
			}
			last = err
		}
		if time.Now().After(deadline) {
			return last
		}
		time.Sleep(retryPause)
	}
}

// retryable reports whether a call that failed with err may be sent to another replica.
func retryable(err error) bool {
	e, ok := refusal.Of(err)
	if !ok {
		return true
	}
	switch e.Code {
	case refusal.NotLeader, refusal.NoQuorum, refusal.UnknownOutcome, refusal.Unreachable:
		return true
	}
	return false
}

func (c *Client) callOnce(addr, method, path string, body, out any) error {
	var r io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return err
		}
		r = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, c.scheme+"://"+addr+path, r)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return refusal.New(refusal.Unreachable, "check --to and that the replica runs", "%s cannot be reached: %v", addr, err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return refusal.New(refusal.Unreachable, "send the same again", "the answer of %s was cut: %v", addr, err)
	}
	if resp.StatusCode != http.StatusOK {
		return readError(resp.StatusCode, b)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(b, out)
}

func readError(status int, b []byte) error {
	var e refusal.Error
	if err := json.Unmarshal(b, &e); err != nil || e.Code == "" {
		return refusal.New(refusal.Invalid, "check that --to names an operator address", "answered with status %d", status)
	}
	return &e
}

// Change sends a change.
func (c *Client) Change(ch market.Change) (market.Answer, error) {
	var a market.Answer
	return a, c.call(http.MethodPost, "/v1/changes", &ch, &a)
}

// ChangeNow sends a new change based on the present revision.
func (c *Client) ChangeNow(ch market.Change) (market.Answer, error) {
	base, err := c.Base(ch.Market)
	if err != nil {
		return market.Answer{}, err
	}
	ch.ID, ch.Base = NewID(), base
	return c.Change(ch)
}

// Base returns the present revision of a market, on which a change to it is based. An empty
// name stands for the teams.
func (c *Client) Base(marketName string) (uint64, error) {
	if marketName == "" {
		teams, err := c.Teams()
		return teams.Revision, err
	}
	views, err := c.Markets()
	if err != nil {
		return 0, err
	}
	for _, v := range views {
		if v.Market.Name == marketName {
			return v.Revision, nil
		}
	}
	return 0, nil
}

// Markets returns all markets.
func (c *Client) Markets() ([]*market.View, error) {
	var out []*market.View
	return out, c.call(http.MethodGet, "/v1/markets", nil, &out)
}

// Teams returns all teams.
func (c *Client) Teams() (market.Teams, error) {
	var out market.Teams
	return out, c.call(http.MethodGet, "/v1/teams", nil, &out)
}

// Members returns all members.
func (c *Client) Members() ([]*membership.Member, error) {
	var out []*membership.Member
	return out, c.call(http.MethodGet, "/v1/members", nil, &out)
}

// Submit submits tasks of a job.
func (c *Client) Submit(s lease.Submit) (control.SubmitAnswer, error) {
	var a control.SubmitAnswer
	return a, c.call(http.MethodPost, "/v1/submissions", &s, &a)
}

// Cancel cancels all tasks of a job, or those named.
func (c *Client) Cancel(x lease.Cancel) (lease.CancelAnswer, error) {
	var a lease.CancelAnswer
	return a, c.call(http.MethodPost, "/v1/cancellations", &x, &a)
}

// TaskQuery selects tasks; empty fields match all.
type TaskQuery struct {
	ID, Market, Job, Phase string
	Limit                  int
}

// Tasks lists tasks.
func (c *Client) Tasks(q TaskQuery) ([]control.TaskView, error) {
	v := url.Values{"id": {q.ID}, "market": {q.Market}, "job": {q.Job}, "phase": {q.Phase}, "limit": {fmt.Sprint(q.Limit)}}
	var out []control.TaskView
	return out, c.call(http.MethodGet, "/v1/tasks?"+v.Encode(), nil, &out)
}

// PutQueues sends a version of the queues' configuration.
func (c *Client) PutQueues(q queues.Config) error { return c.call("POST", "/v1/queues", q, nil) }

// Queues returns the queues' configuration in force.
func (c *Client) Queues() (q queues.Config, err error) {
	err = c.call("GET", "/v1/queues", nil, &q)
	return q, err
}

// SubmitJob submits a job. It is idempotent by the request's path.
func (c *Client) SubmitJob(j control.JobRequest) error { return c.call("POST", "/v1/jobs", j, nil) }

// CancelJob cancels a job.
func (c *Client) CancelJob(j control.JobRequest) error {
	return c.call("POST", "/v1/job-cancellations", j, nil)
}

// Jobs lists jobs, the newest first; an empty id asks for all.
func (c *Client) Jobs(id string, limit int) (out []control.JobView, err error) {
	err = c.call("GET", fmt.Sprintf("/v1/jobs?id=%s&limit=%d", url.QueryEscape(id), limit), nil, &out)
	return out, err
}

// Demand returns what happens to the jobs of each queue.
func (c *Client) Demand() (out control.DemandAnswer, err error) {
	err = c.call("GET", "/v1/queues/demand", nil, &out)
	return out, err
}

// ExplainJob returns how a job is served, or why it was refused.
func (c *Client) ExplainJob(host, path string) (out control.JobExplanation, err error) {
	v := url.Values{"host": {host}, "path": {path}}
	err = c.call("GET", "/v1/jobs/explain?"+v.Encode(), nil, &out)
	return out, err
}

// Workers lists the workers of callers' jobs.
func (c *Client) Workers() (out []control.WorkerView, err error) {
	err = c.call("GET", "/v1/workers", nil, &out)
	return out, err
}

// Machines lists the machines that host the workers.
func (c *Client) Machines() (out []upkeep.Machine, err error) {
	err = c.call("GET", "/v1/machines", nil, &out)
	return out, err
}

// MoveMachine moves a machine to another pool.
func (c *Client) MoveMachine(m control.MachineMove) error {
	return c.call("POST", "/v1/machine-moves", m, nil)
}

// StartWave starts a wave of upkeep of machines. It is idempotent by the wave's number.
func (c *Client) StartWave(w upkeep.Wave) error { return c.call("POST", "/v1/waves", w, nil) }

// Waves lists the waves of upkeep, the highest number first.
func (c *Client) Waves() (out []control.WaveView, err error) {
	err = c.call("GET", "/v1/waves", nil, &out)
	return out, err
}

// DataCentres lists the data centres with the work that is still in each.
func (c *Client) DataCentres() (out []control.DataCentreView, err error) {
	err = c.call("GET", "/v1/data-centres", nil, &out)
	return out, err
}

// OrderDataCentre takes a data centre out of service, or returns it to service. It is
// idempotent by the order's id.
func (c *Client) OrderDataCentre(o control.DataCentreRequest) (a datacentre.Answer, err error) {
	err = c.call("POST", "/v1/data-centres", o, &a)
	return a, err
}

// Init creates a new cluster at the first address.
func (c *Client) Init() error {
	var out map[string]uint64
	return c.callOnce(c.addrs[0], http.MethodPost, "/v1/init", nil, &out)
}

// HandOver transfers leadership to another replica and returns the new leader.
func (c *Client) HandOver() (string, error) {
	var out map[string]string
	err := c.call(http.MethodPost, "/v1/hand-over", nil, &out)
	return out["leader"], err
}

// Statuses returns the status of each replica as it sees it, and the errors of the replicas
// that did not answer by address.
func (c *Client) Statuses() ([]control.StatusAnswer, map[string]error) {
	var out []control.StatusAnswer
	failed := make(map[string]error)
	for _, addr := range c.addrs {
		var a control.StatusAnswer
		if err := c.callOnce(addr, http.MethodGet, "/v1/status", nil, &a); err != nil {
			failed[addr] = err
			continue
		}
		out = append(out, a)
	}
	return out, failed
}
