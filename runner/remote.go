package runner

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/waxwinghaven/waxwinghaven/transport"
)

// Paths of a worker's interface for callers' tasks. The bodies are JSON: the calls and replies
// of Worker.
const (
	PathStart = "/runs/start"
	PathStop  = "/runs/stop"
	PathHold  = "/runs/hold"
	PathPace  = "/runs/pace"
)

const (
	// CallTimeout bounds a call to the worker, which runs on the same instance and answers
	// within a few milliseconds. An answer that takes longer is lost.
	CallTimeout = 500 * time.Millisecond
	// CallConns bounds the connections to the worker. Each call may take half a second when
	// answers are lost.
	CallConns = 32
)

// Remote is a client of a worker's HTTP interface. It implements Worker.
type Remote struct{ host *fasthttp.HostClient }

// NewRemote returns a client of the worker at addr; from names the calling process.
func NewRemote(addr, from string) *Remote {
	return &Remote{transport.NewJSONHost(addr, from, CallConns)}
}

// Start implements Worker.
func (r *Remote) Start(c StartCall) (reply Reply, err error) {
	return reply, r.call(PathStart, &c, 0, &reply)
}

// Stop implements Worker.
func (r *Remote) Stop(c StopCall) (reply Reply, err error) {
	return reply, r.call(PathStop, &c, 0, &reply)
}

// Hold implements Worker.
func (r *Remote) Hold(c HoldCall) (reply HoldReply, err error) {
	return reply, r.call(PathHold, &c, c.Wait, &reply)
}

// Pace implements Worker.
func (r *Remote) Pace(c PaceCall) (reply Reply, err error) {
	return reply, r.call(PathPace, &c, 0, &reply)
}

func (r *Remote) call(path string, c any, wait time.Duration, reply any) error {
	status, answer, err := transport.CallJSON(r.host, transport.JSONCall{Path: path, Body: c, Timeout: wait + CallTimeout})
	if err != nil {
		return err
	}
	if status != fasthttp.StatusOK {
		return fmt.Errorf("the worker answered with status %d", status)
	}
	return json.Unmarshal(answer, reply)
}

// ErrNoPath is returned by Serve for a path that is not part of the interface.
var ErrNoPath = errors.New("no such path")

// Serve handles an HTTP call to a worker.
func Serve(w Worker, q *fasthttp.RequestCtx) error {
	switch string(q.Path()) {
	case PathStart:
		return serve(q, w.Start)
	case PathStop:
		return serve(q, w.Stop)
	case PathHold:
		return serve(q, w.Hold)
	case PathPace:
		return serve(q, w.Pace)
	}
	return ErrNoPath
}

func serve[C, R any](q *fasthttp.RequestCtx, f func(C) (R, error)) error {
	var c C
	if err := json.Unmarshal(q.PostBody(), &c); err != nil {
		q.Error("the call cannot be read: "+err.Error(), fasthttp.StatusBadRequest)
		return nil
	}
	reply, err := f(c)
	if err != nil {
		q.Error(err.Error(), fasthttp.StatusInternalServerError)
		return nil
	}
	transport.WriteJSON(q, fasthttp.StatusOK, reply)
	return nil
}
