package control

import (
	"context"
	"crypto/tls"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/waxwinghaven/waxwinghaven/ablation"
	"github.com/waxwinghaven/waxwinghaven/claim"
	"github.com/waxwinghaven/waxwinghaven/quorum"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/rollout"
	"github.com/waxwinghaven/waxwinghaven/settings"
	"github.com/waxwinghaven/waxwinghaven/transport"
	"golang.org/x/sync/errgroup"
)

// part prefixes the log lines of this process and labels its counters.
const part = "control"

// commitTimeout bounds the wait for a commit, after which its outcome is unknown.
const commitTimeout = 5 * time.Second

// Replica is one control replica.
type Replica struct {
	set     *settings.Settings
	tls     *tls.Config // nil for plain links
	self    quorum.Replica
	disk    *quorum.Disk
	node    *quorum.Node
	machine *Machine
	client  *transport.Client
	server  *transport.Server
	rollout *rollout.Table
	leader  *leader
	// dispatcher places callers' jobs while this replica leads.
	dispatcher *dispatcher
	waves      *waves
	// ordering is held from a decision to end standing tasks until its commit. Two decisions made
	// from the same state could together end more tasks of a step than its caller allows.
	ordering   sync.Mutex
	links      *links
	setMonitor replicaSetMonitor
	shared     *sharedBarrier
	stalls     stallDetector
	without    ablation.Set // disabled mechanisms of the policy
}

// New opens the data folder and returns a replica that is not yet running.
func New(set *settings.Settings) (*Replica, error) {
	keys, err := transport.LoadTLS(transport.KeysOf(set))
	if err != nil {
		return nil, err
	}
	disk, err := quorum.OpenDiskAs(set.Control.DataFolder, firstIdentity(set))
	if err != nil {
		return nil, err
	}
	r := &Replica{set: set, without: ablation.Linked(), tls: keys, disk: disk, machine: NewMachine(), rollout: rollout.NewTable(),
		client: transport.NewClient(keys, set.Instance.IP), server: transport.NewServer(part, keys)}
	r.self = quorum.Replica{ID: disk.Stored().ID, Name: set.Instance.Name, DataCentre: set.Instance.DataCentre,
		Address: set.Address(set.Control.Port), Operator: set.Address(set.Control.OperatorPort)}
	r.links = newLinks(r.self, r.client)
	r.node, err = quorum.NewNode(r.nodeOptions())
	if err != nil {
		return nil, errors.Join(err, disk.Close())
	}
	r.links.onLost = r.node.Unreachable
	r.shared = &sharedBarrier{confirm: r.barrier}
	r.leader = newLeader(r)
	r.dispatcher = newDispatcher(r)
	r.waves = &waves{r: r}
	r.machine.onOrdersChanged = r.dispatcher.notifyChanged
	r.routes()
	return r, nil
}

func (r *Replica) nodeOptions() quorum.Options {
	c := r.set.Control
	return quorum.Options{Disk: r.disk, Machine: r.machine, Sender: r.links, Self: r.self, TickEvery: c.Tick.Duration,
		SnapshotEntries: c.SnapshotEntries, Seed: time.Now().UnixNano(), ConcurrentSync: c.ConcurrentSync}
}

func (r *Replica) routes() {
	control := transport.RoleControl
	r.server.Handle(PathQuorum, handle(r.onQuorum), control)
	r.server.Handle(PathJoin, handle(r.onJoin), control)
	r.server.Handle(PathRenew, handle(r.onRenew), transport.RoleAgent)
	r.server.Handle(PathSync, handle(r.onSync), transport.RoleEntry)
	r.server.Handle(PathClaim, handle(r.onClaim), transport.RoleEntry)
	r.server.Handle(PathSettle, handle(r.onSettle), transport.RoleEntry)
	r.jobRoutes()
}

// handle decodes a message of type T for a typed handler.
func handle[T, A any](f func(T) (A, error)) transport.Handler {
	return func(body []byte) (any, error) {
		var req T
		if err := transport.Decode(body, &req); err != nil {
			return nil, err
		}
		return f(req)
	}
}

// Run serves until the context ends, after handing over the leadership.
func (r *Replica) Run(ctx context.Context) error {
	r.logStart()
	ln, err := transport.Listen(r.self.Address)
	if err != nil {
		return err
	}
	operators, err := transport.Listen(r.self.Operator)
	if err != nil {
		return errors.Join(err, ln.Close())
	}
	nodeCtx, stopNode := context.WithCancel(context.Background())
	defer stopNode()
	// A failing component stops the others: a partly running replica would look healthy.
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.node.Run(nodeCtx) })
	g.Go(func() error { return r.form(nodeCtx) })
	// The servers run until the leadership is handed over, since the other replicas' answers
	// arrive through them.
	g.Go(func() error { return r.server.Serve(nodeCtx, ln) })
	g.Go(func() error { return r.serveOperators(nodeCtx, operators) })
	g.Go(func() error { return r.leader.run(ctx) })
	g.Go(func() error { return r.dispatcher.run(ctx) })
	g.Go(func() error { return r.dispatcher.advice.run(ctx) })
	g.Go(func() error { return r.dispatcher.runLessons(ctx) })
	g.Go(func() error { return r.waves.run(ctx) })
	g.Go(func() error { return r.stalls.run(ctx) })
	g.Go(func() error { return r.join(ctx) })
	g.Go(func() error {
		<-ctx.Done()
		r.handOver()
		stopNode()
		return nil
	})
	err = g.Wait()
	r.links.close()
	return errors.Join(err, r.disk.Close())
}

func (r *Replica) logStart() {
	st := r.disk.Stored()
	if st.TornBytes > 0 {
		logrus.Warnf("control: Truncated a torn log tail of %d bytes that was never acknowledged.", st.TornBytes)
	}
	logrus.WithFields(logrus.Fields{"id": st.ID, "address": r.self.Address, "snapshot": st.Snapshot.Index, "entries": len(st.Entries)}).
		Info("control: Replica started.")
}

// handOverWait bounds the wait for another replica to lead.
const handOverWait = 2 * time.Second

// handOver transfers the leadership to the most up-to-date replica, so that a restart costs one
// round trip instead of an election timeout.
func (r *Replica) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverWait)
	defer cancel()
	st, err := r.node.Status(ctx)
	if err != nil || st.Role != quorum.Leader {
		return
	}
	var best quorum.Replica
	for _, v := range st.Config.Voters {
		if v.ID != r.self.ID && st.Match[v.ID] >= st.Match[best.ID] {
			best = v
		}
	}
	if best.ID == 0 || r.node.Transfer(ctx, best.ID) != nil {
		return
	}
	for ctx.Err() == nil && r.node.View().Role == quorum.Leader {
		time.Sleep(r.set.Control.Tick.Duration)
	}
	logrus.WithField("to", best.Name).Info("control: Handed the leadership over.")
}

// propose commits a command and returns its result.
func (r *Replica) propose(c Command) (any, error) { return r.proposeIn(quorum.AnyTerm, c) }

// proposeIn is like propose, but only commits in the given term.
func (r *Replica) proposeIn(term uint64, c Command) (any, error) {
	c.Now = time.Now().UnixMilli()
	b, err := msgpack.Marshal(&c)
	if err != nil {
		return nil, quorum.Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	v, err := r.node.ProposeIn(ctx, term, b)
	if err != nil {
		return nil, r.refusalOf(err)
	}
	a := v.(applied)
	return a.value, a.err
}

// barrier returns once this replica is confirmed as the leader by a majority.
func (r *Replica) barrier() error {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	if err := r.node.Barrier(ctx); err != nil {
		return r.refusalOf(err)
	}
	return nil
}

// refusalOf converts an error of the quorum into a refusal for a peer or operator.
func (r *Replica) refusalOf(err error) error {
	switch {
	case errors.Is(err, quorum.ErrUnknown):
		return refusal.New(refusal.UnknownOutcome, "send the same change again under the same id", "the leader changed before the change was committed")
	case errors.Is(err, quorum.ErrDiskFull):
		return refusal.New(refusal.DiskFull, "free space on the control replica's disk", "the data folder of %s is full", r.self.Name)
	}
	view := r.node.View()
	if view.Leader.ID != 0 && view.Leader.ID != r.self.ID {
		e := refusal.New(refusal.NotLeader, "ask the leader "+view.Leader.Operator, "%s does not lead", r.self.Name)
		e.Leader, e.SinceLeader = view.Leader.Address, r.node.SinceLeaderContact()
		return e
	}
	e := refusal.New(refusal.NoQuorum, "wait for a majority of the control replicas, or check their network", "no leader is known to %s", r.self.Name)
	e.RetryAfter = refusal.Jitter(500 * time.Millisecond)
	return e
}

func (r *Replica) onQuorum(b QuorumBatch) (Empty, error) {
	if !r.node.Deliver(b.From, b.Messages) {
		return Empty{}, refusal.New(refusal.Overloaded, "send it again", "%s takes no more messages now", r.self.Name)
	}
	return Empty{}, nil
}

func (r *Replica) onClaim(c claim.Claim) (ClaimAnswer, error) {
	v, err := r.propose(Command{Claim: &c})
	if err != nil {
		return ClaimAnswer{}, err
	}
	return ClaimAnswer{v.(claim.Result)}, nil
}

func (r *Replica) onSettle(c claim.Settle) (Empty, error) {
	_, err := r.propose(Command{Settle: &c})
	return Empty{}, err
}

// onSync answers an entry from this replica's own state. A replica that has lost contact with the
// majority refuses, since its state may be long outdated.
func (r *Replica) onSync(req Sync) (SyncAnswer, error) {
	if !r.node.View().InContact {
		return SyncAnswer{}, r.refusalOf(quorum.ErrNotLeader)
	}
	r.rollout.Acknowledge("entry", req.Instance, req.Revision)
	var a SyncAnswer
	r.machine.Read(func(s *State) {
		a.Revision, a.Index = s.Market.Revision, s.Index
		a.Markets = s.Market.Since(req.Revision)
		a.Members = s.Members.ChangedSince(req.Index) // members are replaced, never modified
	})
	return a, nil
}
