package quorum

import (
	"context"
	"errors"
	"math/rand"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Sender sends messages to other replicas. Send must not block. Messages to one replica should
// keep their order; any of them may be lost.
type Sender interface {
	Send(to Replica, msgs []Message)
}

// StateMachine is the application state to which committed commands are applied in log order.
// Calls never overlap, but they may come from different goroutines.
type StateMachine interface {
	// Apply executes a committed command and returns the result for its proposer.
	Apply(index uint64, command []byte) any
	// Snapshot encodes the state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with an encoded one.
	Restore(data []byte) error
}

// Options are the settings of a Node.
type Options struct {
	Disk    *Disk
	Machine StateMachine
	Sender  Sender
	// Self is this replica's description as sent to the others.
	Self Replica
	// TickEvery is the duration of one tick.
	TickEvery time.Duration
	// SnapshotEntries is the number of applied entries after which a snapshot replaces them.
	SnapshotEntries uint64
	// Seed, combined with the replica's ID, seeds the election timeouts.
	Seed int64
	// ConcurrentSync lets the replica handle messages and proposals while new entries are being
	// saved and synced.
	ConcurrentSync bool
}

var (
	commitSeconds   = metrics.NewHistogram(`waxwinghaven_commit_seconds`)
	syncSeconds     = metrics.NewHistogram(`waxwinghaven_log_sync_seconds`)
	snapshotSeconds = metrics.NewHistogram(`waxwinghaven_snapshot_seconds`)
	snapshotBytes   = metrics.NewGauge(`waxwinghaven_snapshot_bytes`, nil)
	logBytes        = metrics.NewGauge(`waxwinghaven_log_bytes`, nil)
	diskFullGauge   = metrics.NewGauge(`waxwinghaven_disk_full`, nil)
)

// The free disk space is checked after diskCheckTicks, and after diskCheckBytes were written.
const (
	diskCheckTicks = 20
	diskCheckBytes = 1 << 20
)

// compactRetryInterval is the pause after an attempt to save a snapshot on a full disk.
const compactRetryInterval = 2 * time.Second

// maxBatch limits the proposals that share one sync of the disk.
const maxBatch = 512

// maxLostReports limits the queue of reports about lost messages.
const maxLostReports = 64

// proposal is a command that is waiting to be applied.
type proposal struct {
	data         []byte
	requiredTerm uint64    // the only term in which it may be proposed, or AnyTerm
	term         uint64    // the term in which it was proposed
	submitted    time.Time // when it was submitted
	done         chan outcome
}

// encodedSnapshot is the result of encoding the state.
type encodedSnapshot struct {
	Snapshot
	err error
}

// delivery is a batch of messages and their sender.
type delivery struct {
	from     Replica
	messages []Message
}

// write is a save that runs concurrently with the main loop.
type write struct {
	hard    *HardState
	entries []Entry
	err     error
}

type outcome struct {
	result any
	err    error
}

// ErrUnknown is returned if the leadership ended before the command was committed. The command may
// or may not take effect.
var ErrUnknown = Error.New("the outcome is unknown because the leader changed; send the same change again")

// ErrDiskFull is returned if the leader's disk has no space for a change.
var ErrDiskFull = Error.New("the data folder's disk is full; free room on it")

// ErrStopped is returned by a node that is not running any more.
var ErrStopped = Error.New("this replica is stopping; ask another one")

// Node drives a Core with a clock, a disk and a network.
type Node struct {
	opts      Options
	core      *Core
	inbox     chan delivery
	proposals chan proposal
	calls     chan func()
	reads     chan chan outcome
	lost      chan uint64 // IDs of replicas to which a message may have been lost
	stopped   chan struct{}
	runDone   <-chan struct{} // closed when Run must return

	pendingProposals map[uint64]proposal // by log index
	unconfirmedReads map[uint64][]chan outcome
	confirmedReads   []confirmedRead
	readID           uint64
	applied          uint64
	// encoded receives a snapshot that was encoded concurrently with the main loop. Until then the
	// core withholds committed entries, but heartbeats, votes and log replication continue
	// however large the state is.
	encoded chan encodedSnapshot
	// writes passes the save under way to the writer goroutine, and written returns it. There is
	// at most one; the disk is not used by the main loop until it has returned.
	writes        chan write
	written       chan write
	diskFull      bool
	diskSize      int64              // in bytes
	checkedSize   int64              // size of the log file at the last check of the free space, in bytes
	compactAfter  time.Time          // no snapshot is made before, as the last one did not fit
	senders       map[uint64]Replica // senders of messages, by ID
	view          atomic.Pointer[View]
	startedAt     time.Time
	leaderHeardAt atomic.Int64 // time of the last message from the leader, since startedAt
}

func (n *Node) publishView() {
	n.core.updateCurrent()
	v := View{Role: n.core.role, Term: n.core.term, InContact: n.core.hasRecentLeader(), Current: n.core.current()}
	v.Config = n.core.log.config().config
	v.Leader, _ = v.Config.Find(n.core.leader)
	if old := n.view.Load(); old == nil || !old.equal(v) {
		n.view.Store(&v)
	}
}

// confirmedRead is a confirmed read that waits until its index is applied.
type confirmedRead struct {
	index uint64
	done  []chan outcome
}

// NewNode returns a node that starts from the content of its disk.
func NewNode(opts Options) (*Node, error) {
	st := opts.Disk.Stored()
	n := &Node{
		opts:             opts,
		core:             NewCore(st.ID, st.Hard, st.Snapshot, st.Entries, rand.New(rand.NewSource(opts.Seed^int64(st.ID)))),
		inbox:            make(chan delivery, 256),
		senders:          make(map[uint64]Replica),
		proposals:        make(chan proposal, maxBatch),
		calls:            make(chan func()),
		reads:            make(chan chan outcome, maxBatch),
		lost:             make(chan uint64, maxLostReports),
		encoded:          make(chan encodedSnapshot, 1),
		writes:           make(chan write, 1),
		written:          make(chan write, 1),
		stopped:          make(chan struct{}),
		pendingProposals: make(map[uint64]proposal),
		unconfirmedReads: make(map[uint64][]chan outcome),
		applied:          st.Snapshot.Index,
		startedAt:        time.Now(),
	}
	if opts.ConcurrentSync {
		n.core.SaveConcurrently()
	}
	if len(st.Snapshot.Data) > 0 {
		if err := opts.Machine.Restore(st.Snapshot.Data); err != nil {
			return nil, Error.New("the snapshot cannot be read by this version (%v); start the version that wrote it", err)
		}
	}
	n.checkDisk()
	n.publishView()
	return n, nil
}

// Run drives the replica until ctx is cancelled or the disk fails.
func (n *Node) Run(ctx context.Context) (err error) {
	defer n.failAll()
	defer n.discardEncoding()
	if n.opts.ConcurrentSync {
		go n.runWriter()
		defer func() {
			if werr := n.stopWriter(); err == nil {
				err = werr
			}
		}()
	}
	n.runDone = ctx.Done()
	tick := time.NewTicker(n.opts.TickEvery)
	defer tick.Stop()
	for {
		if err := n.process(); err != nil {
			return ignoreFullWhenCancelled(ctx, err)
		}
		n.publishView()
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			n.onTick()
		case d := <-n.inbox:
			n.step(d)
		case p := <-n.proposals:
			n.propose(p)
		case r := <-n.reads:
			n.read(r)
		case id := <-n.lost:
			n.core.Unreachable(id)
		case f := <-n.calls:
			f()
		case s := <-n.encoded:
			if err := n.finishSnapshot(s); err != nil {
				return ignoreFullWhenCancelled(ctx, err)
			}
		case w := <-n.written:
			if err := n.finishWrite(w); err != nil {
				return ignoreFullWhenCancelled(ctx, err)
			}
		}
		n.drainQueues()
	}
}

// ignoreFullWhenCancelled returns err, or nil if Run was cancelled while it waited for disk space.
func ignoreFullWhenCancelled(ctx context.Context, err error) error {
	if ctx.Err() != nil && errors.Is(err, ErrDiskFull) {
		return nil
	}
	return err
}

func (n *Node) onTick() {
	n.core.Tick()
	if n.core.now%diskCheckTicks == 0 {
		n.checkDisk()
	}
}

// drainQueues takes further queued items without blocking, so that they share one sync.
func (n *Node) drainQueues() {
	for range maxBatch {
		select {
		case d := <-n.inbox:
			n.step(d)
		case p := <-n.proposals:
			n.propose(p)
		case r := <-n.reads:
			n.read(r)
		default:
			return
		}
	}
}

func (n *Node) step(d delivery) {
	n.senders[d.from.ID] = d.from
	for _, m := range d.messages {
		if n.diskFull && hasCommand(m.Entries) {
			continue // no space to persist it; the leader resends it
		}
		n.core.Step(m)
		if m.fromLeader() && m.From == n.core.leader {
			n.leaderHeardAt.Store(int64(time.Since(n.startedAt)))
		}
	}
}

// hasCommand reports whether any entry is a command. Others are small, and a new leader that can't
// commit its first entry can't answer reads either.
func hasCommand(entries []Entry) bool {
	return slices.ContainsFunc(entries, func(e Entry) bool { return e.Kind == EntryCommand })
}

func (n *Node) propose(p proposal) {
	if n.diskFull {
		p.done <- outcome{err: ErrDiskFull}
		return
	}
	if p.requiredTerm != AnyTerm && p.requiredTerm != n.core.term {
		p.done <- outcome{err: ErrNotLeader}
		return
	}
	index, term, err := n.core.Propose(p.data)
	if err != nil {
		p.done <- outcome{err: err}
		return
	}
	p.term = term
	n.pendingProposals[index] = p
}

func (n *Node) read(done chan outcome) {
	n.readID++
	if err := n.core.Read(n.readID); err != nil {
		done <- outcome{err: err}
		return
	}
	n.unconfirmedReads[n.readID] = append(n.unconfirmedReads[n.readID], done)
}

// process executes what the core requests, in the order that Ready documents.
func (n *Node) process() error {
	for {
		rd := n.core.Ready()
		if rd.Wait {
			if err := n.awaitWrite(); err != nil {
				return err
			}
			continue
		}
		n.send(rd.Early)
		if rd.Concurrent {
			n.writes <- write{hard: rd.HardState, entries: rd.Entries}
		} else if err := n.persist(rd); err != nil {
			return err
		}
		n.send(rd.Messages)
		n.apply(rd.Committed)
		n.confirm(rd.Reads)
		n.failPending()
		if len(rd.Entries) == 0 && len(rd.Committed) == 0 && rd.Snapshot == nil {
			n.maybeCompact()
			return nil
		}
	}
}

func (n *Node) send(msgs []Message) {
	if len(msgs) == 0 {
		return
	}
	cfg := n.core.log.config().config
	byPeer := make(map[uint64][]Message)
	for _, m := range msgs {
		byPeer[m.To] = append(byPeer[m.To], m)
	}
	for id, list := range byPeer {
		r, ok := cfg.Find(id)
		if !ok {
			// A replica that is just joining has no configuration yet, but must respond to
			// the leader that adds it.
			r = n.senders[id]
		}
		n.opts.Sender.Send(r, list)
	}
}

func (n *Node) apply(entries []Entry) {
	for _, e := range entries {
		var result any
		if e.Kind == EntryCommand {
			result = n.opts.Machine.Apply(e.Index, e.Data)
		}
		n.applied = e.Index
		p, ok := n.pendingProposals[e.Index]
		if !ok {
			continue
		}
		delete(n.pendingProposals, e.Index)
		if p.term != e.Term {
			p.done <- outcome{err: ErrUnknown}
			continue
		}
		commitSeconds.UpdateDuration(p.submitted)
		p.done <- outcome{result: result}
	}
	n.releaseReads()
}

func (n *Node) confirm(reads []Read) {
	for _, r := range reads {
		n.confirmedReads = append(n.confirmedReads, confirmedRead{r.Index, n.unconfirmedReads[r.ID]})
		delete(n.unconfirmedReads, r.ID)
	}
	n.releaseReads()
}

func (n *Node) releaseReads() {
	unapplied := n.confirmedReads[:0]
	for _, p := range n.confirmedReads {
		if p.index > n.applied {
			unapplied = append(unapplied, p)
			continue
		}
		for _, done := range p.done {
			done <- outcome{}
		}
	}
	n.confirmedReads = unapplied
}

// failPending answers callers that wait on a leadership that has ended. Without it the callers of
// an isolated leader would wait until their own timeouts.
func (n *Node) failPending() {
	if n.core.role == Leader {
		return
	}
	for index, p := range n.pendingProposals {
		p.done <- outcome{err: ErrUnknown}
		delete(n.pendingProposals, index)
	}
	for id, list := range n.unconfirmedReads {
		for _, done := range list {
			done <- outcome{err: ErrNotLeader}
		}
		delete(n.unconfirmedReads, id)
	}
}

func (n *Node) failAll() {
	close(n.stopped)
	for _, p := range n.pendingProposals {
		p.done <- outcome{err: ErrUnknown}
	}
	for _, list := range n.unconfirmedReads {
		for _, done := range list {
			done <- outcome{err: ErrStopped}
		}
	}
}
