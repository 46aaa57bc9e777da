package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/waxwinghaven/waxwinghaven/agent"
	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/membership"
	"github.com/waxwinghaven/waxwinghaven/resource"
	"github.com/waxwinghaven/waxwinghaven/transport"
)

// AgentsOptions configures a number of lightweight agents that run in one process, to measure the
// load that each agent puts on the control.
type AgentsOptions struct {
	Count    int
	Controls []string
	Keys     *transport.Keys
	Market   string
	Service  string
	Renew    time.Duration
	Capacity resource.Vector
}

// Agents is a set of agents, each with its own session, ledger and worker, but without an
// upstream.
type Agents struct {
	o        AgentsOptions
	Renewals atomic.Int64
	Failed   atomic.Int64
	Started  atomic.Int64 // attempts that the agents ordered their workers to start
	Revision []atomic.Uint64
}

// NewAgents returns agents that are not running yet.
func NewAgents(o AgentsOptions) *Agents {
	return &Agents{o: o, Revision: make([]atomic.Uint64, o.Count)}
}

// Run renews the agents' sessions until the context ends.
func (a *Agents) Run(ctx context.Context) error {
	tlsConfig, err := transport.LoadTLS(a.o.Keys)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	for i := range a.o.Count {
		wg.Add(1)
		client := control.NewClient("sessions", transport.NewClient(tlsConfig, "127.0.0.1"), func() []string { return a.o.Controls }, i)
		go func() {
			defer wg.Done()
			a.runAgent(ctx, i, client)
		}()
	}
	wg.Wait()
	return nil
}

func (a *Agents) runAgent(ctx context.Context, i int, client *control.Client) {
	time.Sleep(rand.N(a.o.Renew)) // spread the agents over the renewal interval
	w, l := NewWorker(a.o.Capacity), agent.NewLedger()
	started := time.Now()
	tick := time.NewTicker(a.o.Renew)
	defer tick.Stop()
	for ctx.Err() == nil {
		a.renew(i, client, w, l, started)
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

func (a *Agents) renew(i int, client *control.Client, w *Worker, l *agent.Ledger, started time.Time) {
	now := time.Since(started).Milliseconds()
	l.SetReport(w.Report(now))
	req := control.Renew{Member: membership.Member{Agent: fmt.Sprintf("session-%04d", i), Address: "127.0.0.1:9", DataCentre: fmt.Sprint("dc", i%8),
		Rack: fmt.Sprint("rack-", i/20), Boot: w.Boot, Capacity: w.Capacity, Market: a.o.Market, Service: a.o.Service, Slots: 8, Conns: 64},
		Digest: l.Digest(), Ends: l.Ends(), Revision: a.Revision[i].Load()}
	var ans control.RenewAnswer
	if err := client.Call(control.PathRenew, 5*time.Second, &req, &ans); err != nil {
		a.Failed.Add(1)
		return
	}
	a.Renewals.Add(1)
	a.Revision[i].Store(max(a.Revision[i].Load(), ans.Revision))
	if ans.Changed {
		l.SetOrders(w.Boot, ans.Orders)
	}
	cmd := l.Commands(now + ans.LeaseMS)
	a.Started.Add(int64(len(cmd.Start)))
	w.Sync(cmd, time.Since(started).Milliseconds())
}

// CountBehind returns the number of agents that have not received the revision yet.
func (a *Agents) CountBehind(revision uint64) int {
	n := 0
	for i := range a.Revision {
		if a.Revision[i].Load() < revision {
			n++
		}
	}
	return n
}
