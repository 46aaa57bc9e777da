package quorum

import (
	"context"
	"slices"
	"time"
)

// View is a cheap copy of where a replica stands, for every request's use.
type View struct {
	Role      Role
	Term      uint64
	Leader    Replica // zero when unknown
	InContact bool    // see Status
	// Current says that the replica has applied all that was committed an election timeout
	// ago, and as a leader all that was committed before it led.
	Current bool
	Config  Config // the replica set; never changed in place
}

func (v View) same(o View) bool {
	return v.Role == o.Role && v.Term == o.Term && v.Leader == o.Leader && v.InContact == o.InContact && v.Current == o.Current &&
		slices.Equal(v.Config.Voters, o.Config.Voters) && slices.Equal(v.Config.Learners, o.Config.Learners) &&
		slices.Equal(v.Config.Old, o.Config.Old)
}

// View returns the newest view.
func (n *Node) View() View { return *n.view.Load() }

// LeaderHeard returns how long ago the leader of the view was last heard, by a replica that
// doesn't lead.
func (n *Node) LeaderHeard() time.Duration {
	return time.Since(n.begun) - time.Duration(n.heard.Load())
}

// Deliver hands over messages from another replica. It drops them when the replica
// is overloaded, and reports whether it took them, so that their sender needn't wait
// to find out.
func (n *Node) Deliver(from Replica, msgs []Message) bool {
	select {
	case n.inbox <- delivery{from, msgs}:
		return true
	default:
		return false
	}
}

// Unreachable tells that entries or a part of a snapshot sent to a replica may not
// have arrived. It never blocks; what is missed here the core notices by itself.
func (n *Node) Unreachable(id uint64) {
	select {
	case n.lost <- id:
	default:
	}
}

// AnyTerm is the term of a proposal that was not decided by what one leadership knows.
const AnyTerm = 0

// Propose commits a command and returns what the state machine made of it.
func (n *Node) Propose(ctx context.Context, data []byte) (any, error) {
	return n.ProposeIn(ctx, AnyTerm, data)
}

// ProposeIn commits a command in the leadership of one term only, else it returns ErrNotLeader.
// What a leader knows without the log, such as a book of leases, is outdated once another has
// led, also if the same replica leads again.
func (n *Node) ProposeIn(ctx context.Context, term uint64, data []byte) (any, error) {
	if n.hasStopped() {
		return nil, ErrStopped
	}
	p := proposal{data: data, onlyIn: term, at: time.Now(), done: make(chan outcome, 1)}
	select {
	case n.proposals <- p:
	case <-ctx.Done():
		return nil, ErrNotLeader // never handed over
	case <-n.stopped:
		return nil, ErrStopped
	}
	return n.wait(ctx, p.done)
}

// hasStopped tells a certain "not taken" apart from "unknown": a stopped node's
// queue may still have room, but nobody reads it.
func (n *Node) hasStopped() bool {
	select {
	case <-n.stopped:
		return true
	default:
		return false
	}
}

func (n *Node) wait(ctx context.Context, done chan outcome) (any, error) {
	select {
	case o := <-done:
		return o.result, o.err
	case <-ctx.Done():
		return nil, ErrUnknown
	case <-n.stopped:
		select {
		case o := <-done:
			return o.result, o.err
		default:
			return nil, ErrUnknown
		}
	}
}

// Barrier returns once a majority has confirmed this leader and everything
// committed before the call is applied.
func (n *Node) Barrier(ctx context.Context) error {
	done := make(chan outcome, 1)
	select {
	case n.reads <- done:
	case <-ctx.Done():
		return ErrNotLeader
	case <-n.stopped:
		return ErrStopped
	}
	_, err := n.wait(ctx, done)
	return err
}

// call runs f on the node's goroutine.
func (n *Node) call(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case n.calls <- func() { f(); close(done) }:
		<-done
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-n.stopped:
		return ErrStopped
	}
}

// Status returns the replica's view.
func (n *Node) Status(ctx context.Context) (s Status, err error) {
	err = n.call(ctx, func() { s = n.core.Status() })
	return s, err
}

// Bootstrap makes this empty replica a cluster of one.
func (n *Node) Bootstrap(ctx context.Context, self Replica) error {
	var err error
	if cerr := n.call(ctx, func() { err = n.core.Bootstrap(self) }); cerr != nil {
		return cerr
	}
	return err
}

// BootstrapSet gives this empty replica the replica set that all its members
// start with. See Core.BootstrapSet.
func (n *Node) BootstrapSet(ctx context.Context, set Config) error {
	var err error
	if cerr := n.call(ctx, func() { err = n.core.BootstrapSet(set) }); cerr != nil {
		return cerr
	}
	return err
}

// ChangeConfig proposes the next set of replicas, computed from the present one.
func (n *Node) ChangeConfig(ctx context.Context, next func(Config) Config) error {
	var err error
	if cerr := n.call(ctx, func() { err = n.core.ProposeConfig(next(n.core.log.config().config)) }); cerr != nil {
		return cerr
	}
	return err
}

// Transfer starts handing the leadership to another voter.
func (n *Node) Transfer(ctx context.Context, to uint64) error {
	var err error
	if cerr := n.call(ctx, func() { err = n.core.Transfer(to) }); cerr != nil {
		return cerr
	}
	return err
}
