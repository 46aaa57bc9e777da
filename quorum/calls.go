package quorum

import (
	"context"
	"slices"
	"time"
)

// View is a copy of a replica's state that is cheap enough to read on every request.
type View struct {
	Role      Role
	Term      uint64
	Leader    Replica // zero if unknown
	InContact bool    // see Status
	// Current reports that the replica has applied everything that was committed one election
	// timeout ago and, as a leader, everything that was committed before its term.
	Current bool
	Config  Config // the configuration; never modified in place
}

func (v View) equal(o View) bool {
	return v.Role == o.Role && v.Term == o.Term && v.Leader == o.Leader && v.InContact == o.InContact && v.Current == o.Current &&
		slices.Equal(v.Config.Voters, o.Config.Voters) && slices.Equal(v.Config.Learners, o.Config.Learners) &&
		slices.Equal(v.Config.Old, o.Config.Old)
}

// View returns the latest view.
func (n *Node) View() View { return *n.view.Load() }

// SinceLeaderContact returns the time since the last message from the leader of the view, at a
// replica that does not lead.
func (n *Node) SinceLeaderContact() time.Duration {
	return time.Since(n.startedAt) - time.Duration(n.leaderHeardAt.Load())
}

// Deliver queues messages from another replica. It drops them if the queue is full, and reports
// whether it accepted them, so that the sender does not have to wait for a timeout.
func (n *Node) Deliver(from Replica, msgs []Message) bool {
	select {
	case n.inbox <- delivery{from, msgs}:
		return true
	default:
		return false
	}
}

// Unreachable reports that entries or a part of a snapshot sent to a replica may have been lost.
// It never blocks. Reports that are dropped are covered by the core's own resend timer.
func (n *Node) Unreachable(id uint64) {
	select {
	case n.lost <- id:
	default:
	}
}

// AnyTerm is the term of a proposal that is valid in any leadership.
const AnyTerm = 0

// Propose commits a command and returns the state machine's result.
func (n *Node) Propose(ctx context.Context, data []byte) (any, error) {
	return n.ProposeIn(ctx, AnyTerm, data)
}

// ProposeIn commits a command if this replica leads in the given term, otherwise it returns
// ErrNotLeader. State that a leader keeps outside the log, such as a lease table, is outdated once
// another replica has led, even if the same replica leads again.
func (n *Node) ProposeIn(ctx context.Context, term uint64, data []byte) (any, error) {
	if n.hasStopped() {
		return nil, ErrStopped
	}
	p := proposal{data: data, requiredTerm: term, submitted: time.Now(), done: make(chan outcome, 1)}
	select {
	case n.proposals <- p:
	case <-ctx.Done():
		return nil, ErrNotLeader // never queued
	case <-n.stopped:
		return nil, ErrStopped
	}
	return n.wait(ctx, p.done)
}

// hasStopped tells a proposal that was certainly not accepted from one with an unknown outcome: the
// queue of a stopped node may still have space, but is no longer read.
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

// Barrier returns once a majority has confirmed this leader and everything committed before the
// call is applied.
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

// call runs f on the node's goroutine and waits for it.
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

// Status returns the core's status.
func (n *Node) Status(ctx context.Context) (s Status, err error) {
	err = n.call(ctx, func() { s = n.core.Status() })
	return s, err
}

// Bootstrap makes this empty replica the only voter of a new cluster. See Core.Bootstrap.
func (n *Node) Bootstrap(ctx context.Context, self Replica) error {
	var err error
	if cerr := n.call(ctx, func() { err = n.core.Bootstrap(self) }); cerr != nil {
		return cerr
	}
	return err
}

// BootstrapSet starts this empty replica with the first replica set. See Core.BootstrapSet.
func (n *Node) BootstrapSet(ctx context.Context, set Config) error {
	var err error
	if cerr := n.call(ctx, func() { err = n.core.BootstrapSet(set) }); cerr != nil {
		return cerr
	}
	return err
}

// ChangeConfig proposes the configuration that next returns for the current one.
func (n *Node) ChangeConfig(ctx context.Context, next func(Config) Config) error {
	var err error
	if cerr := n.call(ctx, func() { err = n.core.ProposeConfig(next(n.core.log.config().config)) }); cerr != nil {
		return cerr
	}
	return err
}

// Transfer starts a transfer of the leadership to another voter. See Core.Transfer.
func (n *Node) Transfer(ctx context.Context, to uint64) error {
	var err error
	if cerr := n.call(ctx, func() { err = n.core.Transfer(to) }); cerr != nil {
		return cerr
	}
	return err
}
