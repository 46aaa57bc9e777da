package agent

import (
	"context"
	"net/netip"
	"sync"

	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/resource"
	"github.com/waxwinghaven/waxwinghaven/runner"
)

// RunsAnnouncement announces that the worker accepts tasks of callers' jobs. Package runner
// describes the interface.
type RunsAnnouncement struct {
	// Address is the IP address and port of the interface.
	Address string `json:"address"`
	// Incarnation identifies one start of the worker; no other start may use the same name.
	Incarnation string `json:"incarnation"`
	// Capacity is what these tasks may use. It is separate from the capacity for the
	// market's jobs, because the two are accounted for independently.
	Capacity resource.Vector `json:"capacity"`
	Labels   []string        `json:"labels,omitempty"`
	// Sequence increases with each heartbeat of an incarnation.
	Sequence uint64 `json:"sequence"`
}

func (a *RunsAnnouncement) validate() error {
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return refusal.New(refusal.Invalid, "give an IP number and port", "runs.address %q cannot be dialled", a.Address)
	}
	if a.Incarnation == "" {
		return refusal.New(refusal.Invalid, "give each start of the worker a new name", "runs.incarnation is missing")
	}
	if a.Capacity.Negative() {
		return refusal.New(refusal.Invalid, "give amounts of 0 or more", "runs.capacity is negative")
	}
	return nil
}

// runs manages the runner of callers' tasks. The runner starts when the worker's interface is
// announced.
type runs struct {
	agent *Agent

	mu      sync.Mutex
	ctx     context.Context // nil before the agent runs
	address string
	runner  *runner.Runner
	stop    context.CancelFunc
	ended   chan struct{}
}

// enable allows announcements to start a runner until ctx ends.
func (r *runs) enable(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ctx = ctx
}

// handleAnnouncement passes a heartbeat to the runner. A worker at another address gets a new
// runner; the old one ends first, since only one runner may act under the agent's name.
func (r *runs) handleAnnouncement(a Announcement, leaving bool) {
	if a.Runs == nil {
		return
	}
	x := runner.Announcement{Worker: a.Runs.Incarnation, Service: a.Service, DataCentre: r.agent.set.Instance.DataCentre,
		Labels: append([]string{a.Rack}, a.Runs.Labels...), Rack: a.Rack, Capacity: a.Runs.Capacity, Draining: leaving, Sequence: a.Runs.Sequence}
	run := r.runnerAt(a.Runs.Address)
	if run == nil {
		return
	}
	if err := run.Announce(x); err != nil {
		logrus.WithField("worker", x.Worker).Debugf("agent: Ignored an announcement: %v.", err)
	}
}

// runnerAt returns the runner for an address and starts it if necessary. It returns nil, or the
// current runner, if no runner may be started.
func (r *runs) runnerAt(address string) *runner.Runner {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx == nil || r.ctx.Err() != nil || address == r.address {
		return r.runner
	}
	r.stopRunner()
	ctx, cancel := context.WithCancel(r.ctx)
	r.address, r.stop, r.ended = address, cancel, make(chan struct{})
	r.runner = runner.New(r.agent.set.Instance.Name, r.agent.ctl, runner.NewRemote(address, r.agent.set.Instance.IP), r.agent.set.Agent.MaxConfirmationAge())
	go func(run *runner.Runner, ended chan struct{}) {
		defer close(ended)
		if err := run.Run(ctx); err != nil {
			logrus.Errorf("agent: The runner ended: %v.", err)
		}
	}(r.runner, r.ended)
	return r.runner
}

// stopRunner stops the runner, if any. Its runs continue under their leases, and the agent's next
// session takes them over. The caller holds r.mu.
func (r *runs) stopRunner() {
	if r.stop == nil {
		return
	}
	r.stop()
	<-r.ended
}

// shutdown stops the runner and returns once it has ended. It must be called after the context of
// enable has ended, or else an announcement may start a new runner.
func (r *runs) shutdown() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopRunner()
}
