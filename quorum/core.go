package quorum

import "math/rand"

// Timing and size limits of the protocol. A tick is the driver's unit of time.
const (
	// HeartbeatTicks is the interval between the leader's heartbeats.
	HeartbeatTicks = 4
	// ElectionTicks is the minimum election timeout; the maximum is twice that. A leader that
	// receives no responses from a majority for this long steps down.
	ElectionTicks = 16

	// initialElectionTicks is the minimum first election timeout after a start; the maximum is
	// twice that. It may be shorter than ElectionTicks: a running leader is heard within
	// HeartbeatTicks, and if only this replica cannot hear it, the pre-vote protects that leader.
	// It saves callers half a second after all replicas were killed at the same time.
	initialElectionTicks = 6
	// UnresponsiveTicks is the time without a response or join request after which a voter may be
	// replaced by a learner that has caught up. It is longer than an election and a restart, and
	// short enough that a replacement votes within four seconds of its start.
	UnresponsiveTicks = 40
	// learnerExpiryTicks is the time without a response or join request after which a learner is
	// removed. It is longer than a restart or a short network cut, so that a learner is not
	// removed and added again repeatedly.
	learnerExpiryTicks = 10 * UnresponsiveTicks
	// maxConcurrentTicks limits how long messages are handled during a write; then the core waits for
	// its end. A disk that neither completes nor fails a write makes a leader apply nothing and a
	// follower acknowledge nothing. If they went on exchanging heartbeats, neither would be replaced.
	maxConcurrentTicks = ElectionTicks

	// maxAppendBytes limits one append and chunkBytes one part of a snapshot. 256 KiB takes 10 ms
	// on a link of 200 Mbit/s and less than half a second on one of 5 Mbit/s.
	maxAppendBytes = 256 << 10
	chunkBytes     = 256 << 10
)

// pendingRead is a read that waits until a majority has echoed its heartbeat round.
type pendingRead struct {
	Read
	round uint64
}

// Core is the protocol state machine of one replica. It is not safe for concurrent use.
type Core struct {
	id              uint64
	rng             *rand.Rand
	log             *memLog
	role            Role
	term            uint64
	vote            uint64
	leader          uint64
	now             uint64 // ticks since the start
	electionElapsed uint64 // ticks since a leader's message, a new term, a granted vote or a campaign's start
	electionTimeout uint64 // value of electionElapsed at which to campaign

	votes         map[uint64]bool
	peers         map[uint64]*progress
	round         uint64
	persisted     uint64
	reads         []pendingRead
	applyPaused   bool   // committed entries are withheld while the state is being encoded
	transfer      uint64 // target of a leadership transfer, 0 for none
	transferStart uint64 // tick at which the transfer began
	// awaitedCommit is a commit index announced by the leader that is not yet applied here.
	// currentAsOf is the tick of the latest announcement that has been applied.
	awaitedCommit indexAtTick
	currentAsOf   uint64
	partial       *Snapshot
	partialSize   int
	chunkSize     int // maximum bytes of one part of a snapshot

	saved          HardState
	concurrent     bool      // see SaveConcurrently
	writing        bool      // a Ready with Concurrent was returned and Persisted not called yet
	writeStart     uint64    // tick at which that Ready was returned
	unsynced       []Message // acknowledgements of entries that are not on disk yet
	snapshot       *Snapshot
	early          []Message
	messages       []Message
	confirmedReads []Read
}

// indexAtTick is a log index announced at a tick.
type indexAtTick struct{ index, tick uint64 }

// NewCore returns a core that starts from the state read from disk. rng randomises the election
// timeouts only.
func NewCore(id uint64, hs HardState, snap Snapshot, entries []Entry, rng *rand.Rand) *Core {
	c := &Core{id: id, rng: rng, term: hs.Term, vote: hs.Vote, saved: hs, chunkSize: chunkBytes}
	c.log = newMemLog(snap, entries, hs.Commit)
	c.persisted = c.log.last()
	c.resetTimeout()
	c.electionTimeout = initialElectionTicks + uint64(rng.Intn(initialElectionTicks))
	return c
}

// Bootstrap makes an empty replica the only voter of a new cluster. The others join as learners.
// It must be called at most once per cluster.
func (c *Core) Bootstrap(self Replica) error {
	if c.log.last() != 0 || c.term != 0 {
		return Error.New("this replica already belongs to a cluster; do not initialise it again")
	}
	c.term = 1
	c.log.append([]Entry{{Index: 1, Term: 1, Kind: EntryConfig, Data: encodeConfig(Config{Voters: []Replica{self}})}})
	c.campaign(false)
	return nil
}

// BootstrapSet starts an empty replica with the first set of voters, the same at every member.
// All members start with the same first entry, so every majority that elects a leader holds it,
// and nothing is committed on fewer than a majority of the set. It must be called only at the very
// first start: a replica that lost its disk has lost its votes and must join instead.
func (c *Core) BootstrapSet(set Config) error {
	if c.log.last() != 0 || c.term != 0 {
		return Error.New("this replica already holds a log; start it without forming a set")
	}
	if !set.IsVoter(c.id) {
		return Error.New("this replica is not in the first set; let it join")
	}
	c.term = 1
	c.log.append([]Entry{{Index: 1, Term: 1, Kind: EntryConfig, Data: encodeConfig(set)}})
	return nil
}

// SaveConcurrently makes the core hand out new entries in a Ready with Concurrent, one at a time. It
// must be called before the first Ready.
func (c *Core) SaveConcurrently() { c.concurrent = true }

// Status is a copy of the core's state for operators and tests.
type Status struct {
	ID, Term, Leader, Commit, Applied, Last uint64
	Role                                    Role
	Config                                  Config
	// Match holds, at a leader, the highest index known to be on the disk of each replica that
	// responded within ElectionTicks.
	Match map[uint64]uint64
	// Unresponsive lists, at a leader, the voters that have sent neither a response nor a join
	// request for UnresponsiveTicks.
	Unresponsive []uint64
	// ExpiredLearners lists, at a leader, the learners that have sent neither for learnerExpiryTicks.
	ExpiredLearners []uint64
	// InContact reports whether the replica leads or has received a message from the leader
	// within ElectionTicks. Otherwise its applied state may be stale.
	InContact bool
}

// Status returns a copy of the core's state.
func (c *Core) Status() Status {
	s := Status{ID: c.id, Term: c.term, Leader: c.leader, Commit: c.log.committed, Applied: c.log.applied,
		Last: c.log.last(), Role: c.role, Config: c.log.config().config, InContact: c.hasRecentLeader()}
	if c.role == Leader {
		s.Match = make(map[uint64]uint64, len(c.peers))
		for id, p := range c.peers {
			if p.match > 0 && p.lastContact+ElectionTicks >= c.now {
				s.Match[id] = p.match
			}
		}
		for _, v := range s.Config.Voters {
			if v.ID != c.id && c.unresponsive(c.peers[v.ID], UnresponsiveTicks) {
				s.Unresponsive = append(s.Unresponsive, v.ID)
			}
		}
		for _, l := range s.Config.Learners {
			if l.ID != c.id && c.unresponsive(c.peers[l.ID], learnerExpiryTicks) {
				s.ExpiredLearners = append(s.ExpiredLearners, l.ID)
			}
		}
	}
	return s
}

// recentlyActive reports, at a leader, whether a replica has responded within ElectionTicks.
func (c *Core) recentlyActive(id uint64) bool {
	p := c.peers[id]
	return id == c.id || (p != nil && p.lastContact+ElectionTicks >= c.now)
}

// unresponsive reports whether a replica has sent neither a response nor a join request for the
// given number of ticks. A voter that sends join requests is alive, whatever keeps it from
// responding: removing it would lower the number of tolerated losses by one, and its copy of the
// log would no longer count.
func (c *Core) unresponsive(p *progress, ticks uint64) bool {
	return p.lastContact+ticks < c.now && p.lastJoinRequest+ticks < c.now
}

// RecordJoinRequest records, at a leader, that a member sent a join request: it receives no
// messages from the leader, but it is alive.
func (c *Core) RecordJoinRequest(id uint64) {
	if p := c.peers[id]; c.role == Leader && p != nil {
		p.lastJoinRequest = c.now
	}
}

// Tick advances the core's time by one tick.
func (c *Core) Tick() {
	c.now++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	c.electionElapsed++
	if c.electionElapsed >= c.electionTimeout && c.log.config().config.IsVoter(c.id) {
		c.campaign(true)
	}
}

func (c *Core) tickLeader() {
	if !c.log.config().config.majority(c.recentlyActive) {
		// The leader has lost contact with the majority, and another may be elected soon. Without
		// this check there are two leaders, one of which accepts changes that are never committed.
		// Stepping down within one election timeout limits how long callers can take this one for
		// the current leader.
		c.becomeFollower(c.term, 0)
		return
	}
	if c.transfer != 0 && c.now-c.transferStart > ElectionTicks {
		c.transfer = 0
	}
	if c.now%HeartbeatTicks == 0 {
		c.resendLost()
		c.broadcast(heartbeatAll)
	}
}

// hasRecentLeader reports whether this replica leads or has received a message from the leader
// within the minimum election timeout.
func (c *Core) hasRecentLeader() bool {
	return c.role == Leader || (c.leader != 0 && c.electionElapsed < ElectionTicks)
}

func (c *Core) resetTimeout() {
	c.electionElapsed = 0
	c.electionTimeout = ElectionTicks + uint64(c.rng.Intn(ElectionTicks))
}

func (c *Core) becomeFollower(term, leader uint64) {
	if term > c.term {
		c.term, c.vote = term, 0
	}
	c.role, c.leader = Follower, leader
	c.peers, c.votes, c.reads, c.transfer = nil, nil, nil, 0
	c.awaitedCommit, c.currentAsOf = indexAtTick{}, 0
	c.resetTimeout()
}

// Propose appends a command and returns its index and term. The command is committed once an
// entry with the same index and term appears in Ready.Committed.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if c.transfer != 0 {
		return 0, 0, ErrBusy
	}
	index = c.appendOwn(EntryCommand, data)
	return index, c.term, nil
}

// ProposeConfig appends a new configuration that is one step from the current one (see validStep).
// It returns ErrBusy until the previous configuration and an entry of this term are committed;
// otherwise two leaders could commit under configurations whose majorities do not overlap.
func (c *Core) ProposeConfig(next Config) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	cur := c.log.config()
	if t, _ := c.log.term(c.log.committed); cur.index > c.log.committed || t != c.term {
		return ErrBusy
	}
	if !validStep(cur.config, next) {
		return ErrConfig
	}
	c.appendOwn(EntryConfig, encodeConfig(next))
	c.syncPeers()
	c.broadcast(noHeartbeat)
	return nil
}

func (c *Core) appendOwn(kind EntryKind, data []byte) uint64 {
	e := Entry{Index: c.log.last() + 1, Term: c.term, Kind: kind, Data: data}
	c.log.append([]Entry{e})
	return e.Index
}

// Persisted reports that this replica's disk holds the log up to index.
func (c *Core) Persisted(index, term uint64) {
	c.writing = false
	if t, ok := c.log.term(index); !ok || t != term || index > c.log.handedOut {
		return // replaced in the meantime, so it is handed out again
	}
	c.persisted = max(c.persisted, index)
	if c.role == Leader {
		c.maybeCommit()
	}
}

// Read requests a read that is confirmed by a majority. It is returned in Ready.Reads, or dropped
// if the leadership ends first.
func (c *Core) Read(id uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	// A leader does not know the cluster's commit index before an entry of its own term is
	// committed. The index of its no-op is higher than any index that an earlier leader
	// acknowledged.
	index := c.log.committed
	if t, _ := c.log.term(index); t != c.term {
		index = c.log.last()
	}
	c.reads = append(c.reads, pendingRead{Read{id, index}, c.round + 1})
	return nil
}

// Transfer starts a transfer of the leadership to another voter. It completes once that voter has
// the whole log.
func (c *Core) Transfer(to uint64) error {
	if c.role != Leader || !c.log.config().config.IsVoter(to) || to == c.id {
		return ErrNotLeader
	}
	c.transfer, c.transferStart = to, c.now
	c.maybeTransfer(to)
	return nil
}

func (c *Core) maybeTransfer(to uint64) {
	if c.transfer == to && c.peers[to] != nil && c.peers[to].match == c.log.last() {
		c.messages = append(c.messages, Message{Kind: MsgTimeoutNow, From: c.id, To: to, Term: c.term})
	}
}

// Compact replaces the log up to s.Index, which must be applied, with the snapshot s.
func (c *Core) Compact(s Snapshot) { c.log.compact(s, c.neededFrom()) }

// SnapshotAt returns a snapshot without data at an applied index.
func (c *Core) SnapshotAt(index uint64) Snapshot {
	t, _ := c.log.term(index)
	return Snapshot{Index: index, Term: t, Config: c.log.configUpTo(index)}
}

// Ready returns the driver's next work. Each item is returned once.
func (c *Core) Ready() Ready {
	if c.writing && (c.needsOrderedSave() || c.now-c.writeStart > maxConcurrentTicks) {
		return Ready{Wait: true}
	}
	if c.role == Leader {
		c.flushLeader()
	}
	rd := Ready{Snapshot: c.snapshot, Early: c.early, Messages: c.messages, Reads: c.confirmedReads}
	c.snapshot, c.early, c.messages, c.confirmedReads = nil, nil, nil, nil
	if c.term != c.saved.Term {
		// A single voter wins its election without receiving votes, so its term may not be on disk
		// yet. If messages were sent before the sync and the term then lost in a crash, the same
		// term would be led twice, with different entries.
		rd.Messages, rd.Early = append(rd.Early, rd.Messages...), nil
	}
	if c.concurrent {
		c.holdUnsynced(&rd)
	}
	if c.log.handedOut < c.log.last() && !c.writing {
		rd.Entries = c.log.slice(c.log.handedOut+1, int(^uint(0)>>1))
		c.log.handedOut = c.log.last()
		rd.Concurrent = c.concurrent && rd.Snapshot == nil && !c.needsOrderedSave()
		c.writing, c.writeStart = rd.Concurrent, c.now
	}
	if to := c.applicable(); c.log.applied < to && !c.applyPaused {
		lo := c.log.applied - c.log.base
		rd.Committed = c.log.entries[lo : to-c.log.base]
		c.log.applied = to
	}
	if hs := (HardState{c.term, c.vote, c.log.committed}); hs.Term != c.saved.Term || hs.Vote != c.saved.Vote || len(rd.Entries) > 0 {
		c.saved = hs
		rd.HardState = &hs
	}
	return rd
}

// needsOrderedSave reports whether the next save must neither overlap with another one nor with
// messages: a term or vote that is sent before it is synced can elect two leaders, and a snapshot
// replaces the log that a write under way belongs to.
func (c *Core) needsOrderedSave() bool {
	return c.snapshot != nil || c.term != c.saved.Term || c.vote != c.saved.Vote
}

// holdUnsynced keeps back the acknowledgements of entries that are not on disk yet and adds to
// rd.Messages those that were kept back earlier and may be sent now. If rd is saved in order, all
// entries are on disk before its messages are sent.
func (c *Core) holdUnsynced(rd *Ready) {
	ordered := rd.Snapshot != nil || c.needsOrderedSave()
	all := append(c.unsynced, rd.Messages...)
	c.unsynced, rd.Messages = nil, nil
	for _, m := range all {
		switch ack := m.Kind == MsgAppendResp && !m.Reject; {
		case !ack:
			rd.Messages = append(rd.Messages, m)
		case m.Term != c.term:
			// The entries may have been replaced since. The leader of that term sends them again.
		case ordered || m.Index <= c.persisted:
			rd.Messages = append(rd.Messages, m)
		default:
			c.addUnsynced(m)
		}
	}
}

// addUnsynced keeps an acknowledgement back. One that covers no more than the one before is merged
// into it, so that there is at most one for each unsynced entry.
func (c *Core) addUnsynced(m Message) {
	if n := len(c.unsynced); n > 0 && c.unsynced[n-1].To == m.To && m.Index <= c.unsynced[n-1].Index {
		c.unsynced[n-1].Round = max(c.unsynced[n-1].Round, m.Round)
		return
	}
	c.unsynced = append(c.unsynced, m)
}

// applicable returns the index up to which entries may be applied. A core that saves concurrently
// applies only what is on its own disk: a snapshot of the applied state must not cover entries
// that are still to be handed out.
func (c *Core) applicable() uint64 {
	if c.concurrent {
		return min(c.log.committed, c.persisted)
	}
	return c.log.committed
}

// flushLeader sends what was proposed or requested since the last Ready in one heartbeat round.
func (c *Core) flushLeader() {
	to := noHeartbeat
	for _, r := range c.reads {
		if r.round > c.round {
			to = heartbeatVoters
		}
	}
	c.broadcast(to)
	c.confirmReads()
}
