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

// RunsAnnouncement says that the worker takes tasks of callers' jobs, see package
// runner for its interface.
type RunsAnnouncement struct {
	// Address is the IP number and port of the interface.
	Address string `json:"address"`
	// Incarnation is a name that no other start of the worker has borne.
	Incarnation string `json:"incarnation"`
	// Capacity is what these tasks may use. The worker keeps it apart from the
	// capacity for the market's jobs: two books can't share one room.
	Capacity resource.Vector `json:"capacity"`
	Labels   []string        `json:"labels,omitempty"`
	// Sequence rises with each heartbeat of an incarnation.
	Sequence uint64 `json:"sequence"`
}

func (a *RunsAnnouncement) validate() error {
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return refusal.New(refusal.Invalid, "give an IP number and port", "runs.address %q cannot be dialled", a.Address)
	}
	if a.Incarnation == "" {
		return refusal.New(refusal.Invalid, "name each start of the worker anew", "runs.incarnation is missing")
	}
	if a.Capacity.Negative() {
		return refusal.New(refusal.Invalid, "give amounts of 0 or more", "runs.capacity is less than nothing")
	}
	return nil
}

// runs serves the worker's interface for callers' tasks, once it was announced.
type runs struct {
	agent *Agent

	mu      sync.Mutex
	ctx     context.Context // nil before the agent runs
	address string
	runner  *runner.Runner
	stop    context.CancelFunc
	ended   chan struct{}
}

// begin lets announcements start a runner, until the context ends.
func (r *runs) begin(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ctx = ctx
}

// announced takes in a heartbeat. A worker at another address gets a runner of its own;
// the old one ends first, since only one may speak for the agent.
func (r *runs) announced(a Announcement, leaving bool) {
	if a.Runs == nil {
		return
	}
	x := runner.Announcement{Worker: a.Runs.Incarnation, Service: a.Service, DataCentre: r.agent.set.Instance.DataCentre,
		Labels: append([]string{a.Rack}, a.Runs.Labels...), Rack: a.Rack, Capacity: a.Runs.Capacity, Draining: leaving, Sequence: a.Runs.Sequence}
	run := r.at(a.Runs.Address)
	if run == nil {
		return
	}
	if err := run.Announce(x); err != nil {
		logrus.WithField("worker", x.Worker).Debugf("agent: Ignored an announcement: %v.", err)
	}
}

// at returns the runner for an address.
func (r *runs) at(address string) *runner.Runner {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx == nil || r.ctx.Err() != nil || address == r.address {
		return r.runner
	}
	r.end()
	ctx, cancel := context.WithCancel(r.ctx)
	r.address, r.stop, r.ended = address, cancel, make(chan struct{})
	r.runner = runner.New(r.agent.set.Instance.Name, r.agent.ctl, runner.NewRemote(address, r.agent.set.Instance.IP), r.agent.set.Agent.StartWord())
	go func(run *runner.Runner, ended chan struct{}) {
		defer close(ended)
		if err := run.Run(ctx); err != nil {
			logrus.Errorf("agent: The runner ended: %v.", err)
		}
	}(r.runner, r.ended)
	return r.runner
}

// end ends the runner, if there is one. What runs goes on under its lease, for the
// agent's next life to take over.
func (r *runs) end() {
	if r.stop == nil {
		return
	}
	r.stop()
	<-r.ended
}

// wait returns once the runner has ended, after the context of begin did.
func (r *runs) wait() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.end()
}
