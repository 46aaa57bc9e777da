package quorum

import (
	"context"
	"errors"
	"math/rand"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Sender carries messages to other replicas. Send must not block; messages to
// one replica should keep their order, and any may be lost.
type Sender interface {
	Send(to Replica, msgs []Message)
}

// StateMachine is what the log's commands are applied to, in order. One call is made at a
// time, but not always by the same goroutine.
type StateMachine interface {
	Apply(index uint64, command []byte) any
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Options are a node's settings.
type Options struct {
	Disk    *Disk
	Machine StateMachine
	Sender  Sender
	// Self is how the replica introduces itself to the others.
	Self Replica
	// TickEvery is the real time of one tick.
	TickEvery time.Duration
	// SnapshotEntries is the number of applied entries after which a
	// snapshot replaces them.
	SnapshotEntries uint64
	Seed            int64
}

var (
	commitSeconds   = metrics.NewHistogram(`waxwinghaven_commit_seconds`)
	syncSeconds     = metrics.NewHistogram(`waxwinghaven_log_sync_seconds`)
	snapshotSeconds = metrics.NewHistogram(`waxwinghaven_snapshot_seconds`)
	snapshotBytes   = metrics.NewGauge(`waxwinghaven_snapshot_bytes`, nil)
)

// fullTicks is the interval at which the room on the disk is looked up.
const fullTicks = 20

// maxBatch bounds the proposals that share one sync of the disk.
const maxBatch = 512

// maxLost bounds the reports of lost messages that wait to be taken.
const maxLost = 64

// proposal is a command on its way to being applied.
type proposal struct {
	data   []byte
	onlyIn uint64    // the term that it may be proposed in, AnyTerm for all
	term   uint64    // the term that it was proposed in
	at     time.Time // when it was handed over
	done   chan outcome
}

// encodedSnapshot is the outcome of encoding the state.
type encodedSnapshot struct {
	Snapshot
	err error
}

// delivery is messages with who sent them.
type delivery struct {
	from     Replica
	messages []Message
}

type outcome struct {
	result any
	err    error
}

// ErrUnknown is returned when the leadership ended before the command was
// committed. It may or may not take effect.
var ErrUnknown = Error.New("the outcome is unknown because the leader changed; send the same change again")

// ErrDiskFull is returned when the leader's disk has no room for a change.
var ErrDiskFull = Error.New("the data folder's disk is full; free room on it")

// ErrStopped is returned by a node that has stopped.
var ErrStopped = Error.New("this replica is stopping; ask another one")

// Node drives a Core with a clock, a disk and a network.
type Node struct {
	opts      Options
	core      *Core
	inbox     chan delivery
	proposals chan proposal
	calls     chan func()
	reads     chan chan outcome
	lost      chan uint64 // replicas that something sent may not have reached
	stopped   chan struct{}
	ending    <-chan struct{} // closed when Run is to end

	waiting map[uint64]proposal // by log index
	readers map[uint64][]chan outcome
	pending []pendingApply
	readID  uint64
	applied uint64
	// encoded brings a snapshot that was encoded beside the loop. Until then the core holds what is
	// committed back, but contact, votes and the log go on however large the state is.
	encoded  chan encodedSnapshot
	fullSeen bool
	known    map[uint64]Replica // who sent messages, by identity
	view     atomic.Pointer[View]
	begun    time.Time
	heard    atomic.Int64 // when the leader was last heard, since begun
}

func (n *Node) publish() {
	n.core.noteApplied()
	v := View{Role: n.core.role, Term: n.core.term, InContact: n.core.leaderFresh(), Current: n.core.current()}
	v.Config = n.core.log.config().config
	v.Leader, _ = v.Config.Find(n.core.leader)
	if old := n.view.Load(); old == nil || !old.same(v) {
		n.view.Store(&v)
	}
}

// pendingApply is a confirmed read that waits for its index to be applied.
type pendingApply struct {
	index uint64
	done  []chan outcome
}

// NewNode returns a node that starts from what its disk holds.
func NewNode(opts Options) (*Node, error) {
	st := opts.Disk.Stored()
	n := &Node{
		opts:      opts,
		core:      NewCore(st.ID, st.Hard, st.Snapshot, st.Entries, rand.New(rand.NewSource(opts.Seed^int64(st.ID)))),
		inbox:     make(chan delivery, 256),
		known:     make(map[uint64]Replica),
		proposals: make(chan proposal, maxBatch),
		calls:     make(chan func()),
		reads:     make(chan chan outcome, maxBatch),
		lost:      make(chan uint64, maxLost),
		encoded:   make(chan encodedSnapshot, 1),
		stopped:   make(chan struct{}),
		waiting:   make(map[uint64]proposal),
		readers:   make(map[uint64][]chan outcome),
		applied:   st.Snapshot.Index,
		begun:     time.Now(),
	}
	if len(st.Snapshot.Data) > 0 {
		if err := opts.Machine.Restore(st.Snapshot.Data); err != nil {
			return nil, Error.New("the snapshot cannot be read by this version (%v); start the version that wrote it", err)
		}
	}
	n.publish()
	return n, nil
}

// Run drives the replica until the context ends or the disk fails.
func (n *Node) Run(ctx context.Context) error {
	defer n.failAll()
	defer n.endEncoding()
	n.ending = ctx.Done()
	tick := time.NewTicker(n.opts.TickEvery)
	defer tick.Stop()
	for {
		if err := n.process(); err != nil {
			if ctx.Err() != nil && errors.Is(err, ErrDiskFull) {
				return nil // asked to end while it waited for room
			}
			return err
		}
		n.publish()
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
			if err := n.takeSnapshot(s); err != nil {
				return err
			}
		}
		n.drain()
	}
}

func (n *Node) onTick() {
	n.core.Tick()
	if n.core.now%fullTicks == 0 {
		n.fullSeen = n.opts.Disk.Full()
	}
}

// drain takes what else has already arrived, so that it shares one sync.
func (n *Node) drain() {
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
	n.known[d.from.ID] = d.from
	for _, m := range d.messages {
		if n.fullSeen && len(m.Entries) > 0 {
			continue // no room to persist it; the leader sends it again
		}
		n.core.Step(m)
		if m.fromLeader() && m.From == n.core.leader {
			n.heard.Store(int64(time.Since(n.begun)))
		}
	}
}

func (n *Node) propose(p proposal) {
	if n.fullSeen {
		p.done <- outcome{err: ErrDiskFull}
		return
	}
	if p.onlyIn != AnyTerm && p.onlyIn != n.core.term {
		p.done <- outcome{err: ErrNotLeader}
		return
	}
	index, term, err := n.core.Propose(p.data)
	if err != nil {
		p.done <- outcome{err: err}
		return
	}
	p.term = term
	n.waiting[index] = p
}

func (n *Node) read(done chan outcome) {
	n.readID++
	if err := n.core.Read(n.readID); err != nil {
		done <- outcome{err: err}
		return
	}
	n.readers[n.readID] = append(n.readers[n.readID], done)
}

// process does what the core asks for, in the order that Ready documents.
func (n *Node) process() error {
	for {
		rd := n.core.Ready()
		n.send(rd.Early)
		if err := n.persist(rd); err != nil {
			return err
		}
		n.send(rd.Messages)
		n.apply(rd.Committed)
		n.confirm(rd.Reads)
		n.dropLost()
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
			// A replica that is just joining knows no configuration yet; it
			// must still answer the leader that brings it.
			r = n.known[id]
		}
		n.opts.Sender.Send(r, list)
	}
}

// persist saves what a Ready asks for. On a disk without room it waits for some:
// ending the process would not make any, and what was promised is on the disk. It
// leads nobody meanwhile, so the others elect another leader.
func (n *Node) persist(rd Ready) error {
	for {
		err := n.persistOnce(rd)
		if !errors.Is(err, ErrDiskFull) || !n.awaitRoom() {
			return err
		}
	}
}

// roomPause separates tries to save on a disk without room.
const roomPause = 100 * time.Millisecond

// awaitRoom pauses, and reports whether the node is to go on.
func (n *Node) awaitRoom() bool {
	n.fullSeen = true
	n.view.Store(&View{Role: Follower, Term: n.core.term, Config: n.core.log.config().config})
	select {
	case <-n.ending:
		return false
	case <-time.After(roomPause):
		return true
	}
}

func (n *Node) persistOnce(rd Ready) error {
	var err error
	if rd.Snapshot != nil {
		err = n.installSnapshot(rd)
	} else {
		err = n.save(rd)
	}
	if err == nil && len(rd.Entries) > 0 {
		last := rd.Entries[len(rd.Entries)-1]
		n.core.Persisted(last.Index, last.Term)
	}
	return err
}

func (n *Node) save(rd Ready) error {
	if len(rd.Entries) > 0 {
		defer syncSeconds.UpdateDuration(time.Now())
	}
	return n.opts.Disk.Save(rd.HardState, rd.Entries)
}

func (n *Node) installSnapshot(rd Ready) error {
	n.endEncoding() // what it encodes is behind the leader's snapshot
	if err := n.opts.Disk.SaveSnapshot(*rd.Snapshot, n.hardState(), rd.Entries); err != nil {
		return err
	}
	if err := n.opts.Machine.Restore(rd.Snapshot.Data); err != nil {
		return Error.New("the leader's snapshot cannot be read by this version (%v); upgrade this replica", err)
	}
	n.applied = rd.Snapshot.Index
	return nil
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.core.term, Vote: n.core.vote, Commit: n.core.log.committed}
}

func (n *Node) apply(entries []Entry) {
	for _, e := range entries {
		var result any
		if e.Kind == EntryCommand {
			result = n.opts.Machine.Apply(e.Index, e.Data)
		}
		n.applied = e.Index
		p, ok := n.waiting[e.Index]
		if !ok {
			continue
		}
		delete(n.waiting, e.Index)
		if p.term != e.Term {
			p.done <- outcome{err: ErrUnknown}
			continue
		}
		commitSeconds.UpdateDuration(p.at)
		p.done <- outcome{result: result}
	}
	n.releaseReads()
}

func (n *Node) confirm(reads []Read) {
	for _, r := range reads {
		n.pending = append(n.pending, pendingApply{r.Index, n.readers[r.ID]})
		delete(n.readers, r.ID)
	}
	n.releaseReads()
}

func (n *Node) releaseReads() {
	rest := n.pending[:0]
	for _, p := range n.pending {
		if p.index > n.applied {
			rest = append(rest, p)
			continue
		}
		for _, done := range p.done {
			done <- outcome{}
		}
	}
	n.pending = rest
}

// dropLost answers those who wait on a leadership that has ended. Without it
// an isolated leader's callers would wait until their own timeouts.
func (n *Node) dropLost() {
	if n.core.role == Leader {
		return
	}
	for index, p := range n.waiting {
		p.done <- outcome{err: ErrUnknown}
		delete(n.waiting, index)
	}
	for id, list := range n.readers {
		for _, done := range list {
			done <- outcome{err: ErrNotLeader}
		}
		delete(n.readers, id)
	}
}

// maybeCompact begins a snapshot once enough was applied since the last.
func (n *Node) maybeCompact() {
	if n.core.held || n.applied < n.core.log.snap.Index+n.opts.SnapshotEntries || n.fullSeen {
		return
	}
	n.core.held = true
	s := encodedSnapshot{Snapshot: n.core.SnapshotAt(n.applied)}
	go func() {
		defer snapshotSeconds.UpdateDuration(time.Now())
		s.Data, s.err = n.opts.Machine.Snapshot()
		n.encoded <- s
	}()
}

// takeSnapshot replaces the log by a snapshot.
func (n *Node) takeSnapshot(s encodedSnapshot) error {
	n.core.held = false
	if s.err != nil {
		return Error.Wrap(s.err)
	}
	snapshotBytes.Set(float64(len(s.Data)))
	n.core.Compact(s.Snapshot)
	err := n.opts.Disk.SaveSnapshot(s.Snapshot, n.hardState(), n.core.log.after(s.Index))
	if errors.Is(err, ErrDiskFull) {
		// The old log is still there and in use; the next snapshot replaces it.
		n.fullSeen = true
		return nil
	}
	return err
}

// endEncoding waits for a snapshot that is being encoded, and drops it.
func (n *Node) endEncoding() {
	if n.core.held {
		<-n.encoded
		n.core.held = false
	}
}

func (n *Node) failAll() {
	close(n.stopped)
	for _, p := range n.waiting {
		p.done <- outcome{err: ErrUnknown}
	}
	for _, list := range n.readers {
		for _, done := range list {
			done <- outcome{err: ErrStopped}
		}
	}
}
