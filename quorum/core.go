package quorum

import "math/rand"

// Limits of the step machine. Ticks are the driver's unit of time.
const (
	// HeartbeatTicks is the leader's interval between contacts.
	HeartbeatTicks = 4
	// ElectionTicks is the shortest silence after which a replica campaigns;
	// the longest is twice that. A leader that hears no majority for this
	// long steps down.
	ElectionTicks = 16

	// startTicks is the shortest silence after which a replica that has just
	// started campaigns; the longest is twice that. A leader that is there is
	// heard within HeartbeatTicks, and one that is not heard by this replica
	// alone is safe through the pre-vote. After all replicas were killed at
	// once callers wait half a second less.
	startTicks = 6
	// SilentTicks is the silence after which a voter may be replaced by a
	// learner that has caught up: longer than an election and a restart, and
	// short enough that a replacement votes within four seconds of its start.
	SilentTicks = 40
	// goneTicks is the silence after which a spare is forgotten: longer than a restart
	// or a short cut, so that it isn't let in again and again.
	goneTicks = 10 * SilentTicks

	// maxAppendBytes bounds one append, and chunkBytes one part of a snapshot: 10 ms
	// of a link of 200 Mbit/s, and still under half a second of one of 5 Mbit/s.
	maxAppendBytes = 256 << 10
	chunkBytes     = 256 << 10
)

// pendingRead waits until a majority has echoed its round.
type pendingRead struct {
	Read
	round uint64
}

// Core is the replicated log's step machine. It is not safe for concurrent use.
type Core struct {
	id      uint64
	rng     *rand.Rand
	log     *memLog
	role    Role
	term    uint64
	vote    uint64
	leader  uint64
	now     uint64 // ticks since the start
	silence uint64 // ticks since the last contact with a leader
	timeout uint64 // silence after which to campaign

	votes     map[uint64]bool
	peers     map[uint64]*progress
	round     uint64
	persisted uint64
	reads     []pendingRead
	held      bool   // nothing is handed out to be applied: the state is being encoded
	transfer  uint64 // replica being handed the leadership, 0 for none
	transferT uint64 // tick at which the hand-over began
	// awaited is how far the leader said that the log is committed, until that is applied
	// here, and currentAt the tick of the last such word that was.
	awaited   position
	currentAt uint64
	partial   *Snapshot
	partSize  int
	chunk     int // bytes of one part of a snapshot

	saved    HardState
	snapshot *Snapshot
	early    []Message
	messages []Message
	done     []Read
}

// position is an index of the log at a tick.
type position struct{ index, tick uint64 }

// NewCore returns a core that starts from what its disk holds. The generator
// only spreads election timeouts.
func NewCore(id uint64, hs HardState, snap Snapshot, entries []Entry, rng *rand.Rand) *Core {
	c := &Core{id: id, rng: rng, term: hs.Term, vote: hs.Vote, saved: hs, chunk: chunkBytes}
	c.log = newMemLog(snap, entries, hs.Commit)
	c.persisted = c.log.last()
	c.resetTimeout()
	c.timeout = startTicks + uint64(rng.Intn(startTicks))
	return c
}

// Bootstrap turns an empty replica into a cluster of one. The others join it
// as learners. It must be called once in the life of a cluster.
func (c *Core) Bootstrap(self Replica) error {
	if c.log.last() != 0 || c.term != 0 {
		return Error.New("this replica already belongs to a cluster; do not initialise it again")
	}
	c.term = 1
	c.log.append([]Entry{{Index: 1, Term: 1, Kind: EntryConfig, Data: encodeConfig(Config{Voters: []Replica{self}})}})
	c.campaign(false)
	return nil
}

// BootstrapSet starts an empty replica with the set of voters that every member
// of the set starts with. All begin with the same first entry, so whichever
// majority elects a leader holds it, and nothing is ever committed on fewer than
// a majority of the set. It must be called only at the very first start: a
// replica that lost its disk has forgotten its votes and must join instead.
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

// Status is a view of the core for operators and tests.
type Status struct {
	ID, Term, Leader, Commit, Applied, Last uint64
	Role                                    Role
	Config                                  Config
	// Match is, at a leader, how far the replicas that answered lately have
	// the log on their disks.
	Match map[uint64]uint64
	// Silent lists, at a leader, the voters that have neither answered nor asked
	// to be let in for SilentTicks.
	Silent []uint64
	// Gone lists, at a leader, the learners that have done neither for goneTicks.
	Gone []uint64
	// InContact tells whether the replica heard from a majority's leader
	// within the election timeout. What it has applied is stale otherwise.
	InContact bool
}

// Status returns the current view.
func (c *Core) Status() Status {
	s := Status{ID: c.id, Term: c.term, Leader: c.leader, Commit: c.log.committed, Applied: c.log.applied,
		Last: c.log.last(), Role: c.role, Config: c.log.config().config, InContact: c.leaderFresh()}
	if c.role == Leader {
		s.Match = make(map[uint64]uint64, len(c.peers))
		for id, p := range c.peers {
			if p.match > 0 && p.lastContact+ElectionTicks >= c.now {
				s.Match[id] = p.match
			}
		}
		for _, v := range s.Config.Voters {
			if v.ID != c.id && c.silent(c.peers[v.ID], SilentTicks) {
				s.Silent = append(s.Silent, v.ID)
			}
		}
		for _, l := range s.Config.Learners {
			if l.ID != c.id && c.silent(c.peers[l.ID], goneTicks) {
				s.Gone = append(s.Gone, l.ID)
			}
		}
	}
	return s
}

// answers reports, at a leader, whether a replica has answered lately.
func (c *Core) answers(id uint64) bool {
	p := c.peers[id]
	return id == c.id || (p != nil && p.lastContact+ElectionTicks >= c.now)
}

// silent reports whether a replica has neither answered nor asked to be let in for so
// many ticks. A voter that asks is alive, whatever keeps it from answering: taken out,
// the set would stand one loss less, and its copy of the log would count for nothing.
func (c *Core) silent(p *progress, ticks uint64) bool {
	return p.lastContact+ticks < c.now && p.asked+ticks < c.now
}

// Asked notes, at a leader, that a replica of the set asks to be let in: it hears no
// leader, but it is alive.
func (c *Core) Asked(id uint64) {
	if p := c.peers[id]; c.role == Leader && p != nil {
		p.asked = c.now
	}
}

// Tick advances time by one unit.
func (c *Core) Tick() {
	c.now++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	c.silence++
	if c.silence >= c.timeout && c.log.config().config.IsVoter(c.id) {
		c.campaign(true)
	}
}

func (c *Core) tickLeader() {
	if !c.log.config().config.majority(c.answers) {
		// Cut off from the majority: another leader may be elected soon.
		// Symptom without this: two leaders, one of which accepts changes
		// that are never committed. Stepping down within one election
		// timeout bounds how long anybody can take this one for current.
		c.becomeFollower(c.term, 0)
		return
	}
	if c.transfer != 0 && c.now-c.transferT > ElectionTicks {
		c.transfer = 0
	}
	if c.now%HeartbeatTicks == 0 {
		c.resendLost()
		c.broadcast(everybody)
	}
}

// leaderFresh reports whether a leader was heard within the shortest timeout.
func (c *Core) leaderFresh() bool {
	return c.role == Leader || (c.leader != 0 && c.silence < ElectionTicks)
}

func (c *Core) resetTimeout() {
	c.silence = 0
	c.timeout = ElectionTicks + uint64(c.rng.Intn(ElectionTicks))
}

func (c *Core) becomeFollower(term, leader uint64) {
	if term > c.term {
		c.term, c.vote = term, 0
	}
	c.role, c.leader = Follower, leader
	c.peers, c.votes, c.reads, c.transfer = nil, nil, nil, 0
	c.awaited, c.currentAt = position{}, 0
	c.resetTimeout()
}

// Propose appends a command and returns its place. It is committed when an
// entry with the same index and term is handed out in Ready.Committed.
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

// ProposeConfig appends a new set of replicas, one step from the present one (see
// validStep). An earlier step must be committed first, and so must an entry of this
// term, else two leaders could each commit under sets that do not overlap.
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
	c.broadcast(nobody)
	return nil
}

func (c *Core) appendOwn(kind EntryKind, data []byte) uint64 {
	e := Entry{Index: c.log.last() + 1, Term: c.term, Kind: kind, Data: data}
	c.log.append([]Entry{e})
	return e.Index
}

// Persisted tells the core that its own disk holds the log up to index.
func (c *Core) Persisted(index, term uint64) {
	if t, ok := c.log.term(index); !ok || t != term {
		return // overwritten since
	}
	c.persisted = max(c.persisted, index)
	if c.role == Leader {
		c.maybeCommit()
	}
}

// Read asks for a majority-confirmed read. It is answered in Ready.Reads, or
// dropped when the leadership ends first.
func (c *Core) Read(id uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	// Before an entry of its own term is committed a leader does not know
	// how far the log is committed. The no-op's index is past anything an
	// earlier leader acknowledged.
	index := c.log.committed
	if t, _ := c.log.term(index); t != c.term {
		index = c.log.last()
	}
	c.reads = append(c.reads, pendingRead{Read{id, index}, c.round + 1})
	return nil
}

// Transfer hands the leadership to another voter that has caught up.
func (c *Core) Transfer(to uint64) error {
	if c.role != Leader || !c.log.config().config.IsVoter(to) || to == c.id {
		return ErrNotLeader
	}
	c.transfer, c.transferT = to, c.now
	c.maybeTransfer(to)
	return nil
}

func (c *Core) maybeTransfer(to uint64) {
	if c.transfer == to && c.peers[to] != nil && c.peers[to].match == c.log.last() {
		c.messages = append(c.messages, Message{Kind: MsgTimeoutNow, From: c.id, To: to, Term: c.term})
	}
}

// Compact replaces the log up to s.Index, which must have been applied.
func (c *Core) Compact(s Snapshot) { c.log.compact(s, c.neededFrom()) }

// SnapshotAt returns the header of a snapshot at an applied index.
func (c *Core) SnapshotAt(index uint64) Snapshot {
	t, _ := c.log.term(index)
	return Snapshot{Index: index, Term: t, Config: c.log.configUpTo(index)}
}

// Ready returns what is to be done and forgets it.
func (c *Core) Ready() Ready {
	if c.role == Leader {
		c.flushLeader()
	}
	rd := Ready{Snapshot: c.snapshot, Early: c.early, Messages: c.messages, Reads: c.done}
	c.snapshot, c.early, c.messages, c.done = nil, nil, nil, nil
	if c.term != c.saved.Term {
		// A lone voter wins without anybody's vote, so its term may not be on
		// disk yet. Sent early and then forgotten in a crash, the same term
		// would be led twice, with different entries.
		rd.Messages, rd.Early = append(rd.Early, rd.Messages...), nil
	}
	if c.log.handed < c.log.last() {
		rd.Entries = c.log.slice(c.log.handed+1, int(^uint(0)>>1))
		c.log.handed = c.log.last()
	}
	if c.log.applied < c.log.committed && !c.held {
		lo := c.log.applied - c.log.base
		rd.Committed = c.log.entries[lo : c.log.committed-c.log.base]
		c.log.applied = c.log.committed
	}
	if hs := (HardState{c.term, c.vote, c.log.committed}); hs.Term != c.saved.Term || hs.Vote != c.saved.Vote || len(rd.Entries) > 0 {
		c.saved = hs
		rd.HardState = &hs
	}
	return rd
}

// flushLeader sends what was proposed or asked since the last Ready in one round.
func (c *Core) flushLeader() {
	to := nobody
	for _, r := range c.reads {
		if r.round > c.round {
			to = voters
		}
	}
	c.broadcast(to)
	c.answerReads()
}
