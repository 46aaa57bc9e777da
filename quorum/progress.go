package quorum

// Limits on what a leader has in flight to one replica.
const (
	// windowBytes limits the entries that were sent and not acknowledged: 40 ms of a link of
	// 200 Mbit/s, several round trips between regions. Without the limit a returning replica is
	// sent everything it lacks in one burst, and whatever is lost on the way is resent from the start.
	windowBytes = 1 << 20
	// resendTicks is how long a replica in contact may leave a message unacknowledged before it
	// is sent again: two election timeouts, longer than a window takes on a link of 10 Mbit/s.
	// Usually the transport reports a loss sooner.
	resendTicks = 2 * ElectionTicks
	// pinnedBytes limits the entries that stay in memory for a replica that is being sent a
	// snapshot, in addition to the retained ones.
	pinnedBytes = 16 << 20
)

// progress is a leader's replication state for one replica. A replica is in one of three states:
// it is sent entries within a window; it is sent a snapshot in parts; or it is probed, which means
// that the index to send from is unknown and only empty appends are sent.
type progress struct {
	match           uint64 // highest index known to be on the replica's disk
	next            uint64 // next index to send
	round           uint64 // highest heartbeat round echoed
	lastContact     uint64 // tick of the last response in this term
	lastJoinRequest uint64 // tick of its last join request
	// probe is set after a rejected or lost append until the replica accepts one. A replica that
	// was frozen rejects each queued append; resending the whole log tail for each rejection took
	// a leader over 200 MB.
	probe bool
	// snapshot is the snapshot being sent, nil for none, and offset the number of its bytes that
	// were acknowledged. Only one part is in flight at a time: if every heartbeat sent a part and
	// every response the next one, they would multiply until no request completes in time.
	snapshot *Snapshot
	offset   int
	window   []inFlight
	// waitingSince is the tick of the last acknowledgement, or of the first message in the window
	// if that is later.
	waitingSince uint64
}

// inFlight is an append or a part of a snapshot that was sent and not acknowledged.
type inFlight struct {
	last  uint64 // index of the append's last entry
	bytes int
}

func (p *progress) bytesInFlight() int {
	n := 0
	for _, f := range p.window {
		n += f.bytes
	}
	return n
}

func (p *progress) sent(now, last uint64, bytes int) {
	if len(p.window) == 0 {
		p.waitingSince = now
	}
	p.window = append(p.window, inFlight{last, bytes})
}

// acknowledged removes messages up to an index from the window.
func (p *progress) acknowledged(now, index uint64) {
	p.waitingSince = now
	i := 0
	for i < len(p.window) && p.window[i].last <= index {
		i++
	}
	p.window = p.window[i:]
}

// rewind clears the window. Sending resumes after the last acknowledged entry or byte once the
// replica responds.
func (p *progress) rewind() {
	p.window = nil
	if p.snapshot == nil {
		p.probe = true
		if p.match > 0 {
			p.next = p.match + 1
		}
	}
}

// Unreachable reports to a leader that a message to a replica may have been lost.
func (c *Core) Unreachable(id uint64) {
	if p := c.peers[id]; c.role == Leader && p != nil && len(p.window) > 0 {
		p.rewind()
	}
}

// resendLost rewinds the replicas that are in contact but acknowledge nothing.
func (c *Core) resendLost() {
	for _, p := range c.peers {
		if len(p.window) > 0 && p.waitingSince+resendTicks < c.now && p.lastContact+ElectionTicks >= c.now {
			p.rewind()
		}
	}
}

func (c *Core) onFollowerResponse(m Message) {
	p := c.peers[m.From]
	if c.role != Leader || p == nil {
		return
	}
	if p.lastContact+ElectionTicks < c.now {
		p.rewind() // what it was sent while out of contact is lost
	}
	p.lastContact = c.now
	p.round = max(p.round, m.Round)
	switch {
	case m.Kind == MsgHeartbeatResp:
		c.onHeartbeatResponse(m, p)
	case m.Kind == MsgChunkResp:
		c.onChunkResponse(m, p)
	case m.Reject:
		c.onReject(m, p)
	default:
		c.onAck(m, p)
	}
	c.confirmReads()
}

// onHeartbeatResponse resumes sending to a replica with nothing in flight: the last message was
// lost, or the replica has just returned.
func (c *Core) onHeartbeatResponse(m Message, p *progress) {
	if len(p.window) > 0 {
		return
	}
	switch {
	case p.snapshot != nil:
		c.sendChunk(m.From, p)
	case p.probe:
		c.sendAppend(m.From, p)
	}
}

func (c *Core) onReject(m Message, p *progress) {
	if p.snapshot != nil || (p.probe && m.Prev != p.next-1) {
		return // responds to an append from before the snapshot or the last rejection
	}
	p.next = max(p.match, min(m.Index, p.next-1)) + 1
	p.probe, p.window = true, nil
	c.sendAppend(m.From, p)
}

func (c *Core) onChunkResponse(m Message, p *progress) {
	if p.snapshot == nil || m.Chunk == nil || m.Chunk.Index != p.snapshot.Index || m.Chunk.Offset == p.offset {
		return // duplicate of a response that was already handled
	}
	p.offset = min(m.Chunk.Offset, len(p.snapshot.Data))
	p.window = nil
	c.sendChunk(m.From, p)
}

func (c *Core) onAck(m Message, p *progress) {
	if m.Index > p.match {
		p.match = m.Index
	}
	p.next = max(p.next, p.match+1)
	p.probe = false
	if p.snapshot != nil && p.match >= p.snapshot.Index {
		p.snapshot, p.offset, p.window = nil, 0, nil
	}
	if p.snapshot == nil {
		p.acknowledged(c.now, m.Index)
	}
	c.maybeCommit()
	if c.role == Leader {
		c.maybeTransfer(m.From)
	}
}

// heartbeatScope selects the replicas to which a broadcast sends a heartbeat.
type heartbeatScope int

const (
	noHeartbeat heartbeatScope = iota
	// heartbeatVoters confirms reads: only voters count for it, and reads are frequent.
	heartbeatVoters
	heartbeatAll
)

// broadcast sends each replica the entries it lacks, within its window. If it also sends
// heartbeats, it starts a new heartbeat round.
func (c *Core) broadcast(to heartbeatScope) {
	if to != noHeartbeat {
		c.round++
	}
	cfg := c.log.config().config
	for _, r := range cfg.Members() {
		if r.ID == c.id {
			continue
		}
		p := c.peers[r.ID]
		if to == heartbeatAll || (to == heartbeatVoters && cfg.IsVoter(r.ID)) {
			c.sendHeartbeat(r.ID, p)
		}
		for p.snapshot == nil && !p.probe && p.next <= c.log.last() && p.bytesInFlight() < windowBytes {
			c.sendAppend(r.ID, p)
		}
	}
}

func (c *Core) sendHeartbeat(id uint64, p *progress) {
	c.early = append(c.early, Message{Kind: MsgHeartbeat, From: c.id, To: id, Term: c.term,
		Commit: min(p.match, c.log.committed), Index: c.clusterCommit(), Round: c.round})
}

// clusterCommit returns the highest index committed by any leader, or 0 while that is unknown:
// until an entry of this term is committed, an earlier leader may have committed more.
func (c *Core) clusterCommit() uint64 {
	if t, _ := c.log.term(c.log.committed); t != c.term {
		return 0
	}
	return c.log.committed
}

// sendAppend sends the next entries, or an empty append to a probed replica. A replica that lacks
// entries no longer in memory is sent the snapshot.
func (c *Core) sendAppend(id uint64, p *progress) {
	prevTerm, ok := c.log.term(p.next - 1)
	if !ok {
		s := c.log.snap
		p.snapshot, p.offset, p.probe, p.window = &s, 0, false, nil
		c.sendChunk(id, p)
		return
	}
	var entries []Entry
	if !p.probe {
		entries = c.log.slice(p.next, maxAppendBytes)
	}
	c.early = append(c.early, Message{Kind: MsgAppend, From: c.id, To: id, Term: c.term,
		Index: p.next - 1, LogTerm: prevTerm, Commit: c.log.committed, Entries: entries, Round: c.round})
	if len(entries) > 0 {
		p.next += uint64(len(entries))
		p.sent(c.now, p.next-1, entriesBytes(entries))
	}
}

// sendChunk sends the next part of the snapshot.
func (c *Core) sendChunk(id uint64, p *progress) {
	s := p.snapshot
	end := min(p.offset+c.chunkSize, len(s.Data))
	c.early = append(c.early, Message{Kind: MsgChunk, From: c.id, To: id, Term: c.term, Round: c.round,
		Chunk: &Chunk{Index: s.Index, Term: s.Term, Config: s.Config, Offset: p.offset, Size: len(s.Data), Data: s.Data[p.offset:end]}})
	p.sent(c.now, s.Index, end-p.offset)
}

// neededFrom returns the index after which the log must stay in memory. A snapshot that is being sent
// to a replica in contact is useless without the entries that follow it: if sending it took longer
// than the interval between the leader's snapshots, the replica would never catch up.
func (c *Core) neededFrom() uint64 {
	from := c.log.last()
	for _, p := range c.peers {
		if p.snapshot != nil && p.lastContact+UnresponsiveTicks >= c.now {
			from = min(from, p.snapshot.Index)
		}
	}
	return from
}
