package quorum

// Bounds of what a leader has under way to one replica.
const (
	// windowBytes bounds the entries that were sent and not acknowledged: 40 ms of a
	// link of 200 Mbit/s, several round trips between regions. Without it a
	// replica that comes back is sent everything it lacks at once, and what is
	// cut off on the way is sent again from the start.
	windowBytes = 1 << 20
	// resendTicks is how long a replica that is in contact may leave something
	// unacknowledged before it is sent again: two election timeouts, longer than a
	// window takes on a link of 10 Mbit/s. Whoever carries the messages mostly
	// reports a loss sooner.
	resendTicks = 2 * ElectionTicks
	// pinnedBytes bounds the entries that stay in memory for a replica that is being
	// sent a snapshot, beyond those that stay anyway.
	pinnedBytes = 16 << 20
)

// progress is what a leader knows of one replica. A replica is in one of three
// states: it is sent entries within a window; it is sent a snapshot, a part at a
// time; or it is probed, which means that the place from which to send is not known
// and nothing but empty appends is sent.
type progress struct {
	match       uint64 // highest index known to be on the replica's disk
	next        uint64 // next index to send
	round       uint64 // highest contact round echoed
	lastContact uint64 // tick of the last answer in this term
	asked       uint64 // tick at which it last asked to be let in
	// probe is set after a rejected or lost append until the replica accepts one.
	// A replica that was frozen answers everything that piled up with a rejection
	// each, and the whole tail of the log sent again for each took a leader over
	// 200 MB.
	probe bool
	// snapshot is what the replica is being sent, nil for nothing, and offset how
	// many of its bytes were acknowledged. One part is under way at a time: if
	// every contact sent one, and every answer the next, they would multiply until
	// no call ends in time.
	snapshot *Snapshot
	offset   int
	window   []inFlight
	// since is the tick of the last acknowledgement, or of the first message
	// under way if that is later.
	since uint64
}

// inFlight is an append, or a part of a snapshot, that was sent and not answered.
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
		p.since = now
	}
	p.window = append(p.window, inFlight{last, bytes})
}

// acknowledged forgets what is under way up to an index.
func (p *progress) acknowledged(now, index uint64) {
	p.since = now
	i := 0
	for i < len(p.window) && p.window[i].last <= index {
		i++
	}
	p.window = p.window[i:]
}

// rewind forgets what is under way: it is sent again from the last acknowledged
// entry or byte, once the replica answers.
func (p *progress) rewind() {
	p.window = nil
	if p.snapshot == nil {
		p.probe = true
		if p.match > 0 {
			p.next = p.match + 1
		}
	}
}

// Unreachable tells a leader that something sent to a replica may not have arrived.
func (c *Core) Unreachable(id uint64) {
	if p := c.peers[id]; c.role == Leader && p != nil && len(p.window) > 0 {
		p.rewind()
	}
}

// resendLost rewinds the replicas that are in contact and yet acknowledge nothing.
func (c *Core) resendLost() {
	for _, p := range c.peers {
		if len(p.window) > 0 && p.since+resendTicks < c.now && p.lastContact+ElectionTicks >= c.now {
			p.rewind()
		}
	}
}

func (c *Core) onFollowerAnswer(m Message) {
	p := c.peers[m.From]
	if c.role != Leader || p == nil {
		return
	}
	if p.lastContact+ElectionTicks < c.now {
		p.rewind() // what it was sent while it was away is lost
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
	c.answerReads()
}

// onHeartbeatResponse goes on with a replica that nothing is under way to: what was
// sent last got lost, or it has just come back.
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
		return // answers an append from before the snapshot, or the last rejection
	}
	p.next = max(p.match, min(m.Index, p.next-1)) + 1
	p.probe, p.window = true, nil
	c.sendAppend(m.From, p)
}

func (c *Core) onChunkResponse(m Message, p *progress) {
	if p.snapshot == nil || m.Chunk == nil || m.Chunk.Index != p.snapshot.Index || m.Chunk.Offset == p.offset {
		return // a copy of an answer that was acted on
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

// contact tells to whom a broadcast sends a heartbeat.
type contact int

const (
	nobody contact = iota
	// voters confirm a read: only they count for it, and there are many reads a second.
	voters
	everybody
)

// broadcast sends every replica what it lacks, within its window. With a heartbeat to
// anybody it opens a new contact round.
func (c *Core) broadcast(to contact) {
	if to != nobody {
		c.round++
	}
	cfg := c.log.config().config
	for _, r := range cfg.Members() {
		if r.ID == c.id {
			continue
		}
		p := c.peers[r.ID]
		if to == everybody || (to == voters && cfg.IsVoter(r.ID)) {
			c.sendHeartbeat(r.ID, p)
		}
		for p.snapshot == nil && !p.probe && p.next <= c.log.last() && p.bytesInFlight() < windowBytes {
			c.sendAppend(r.ID, p)
		}
	}
}

func (c *Core) sendHeartbeat(id uint64, p *progress) {
	c.early = append(c.early, Message{Kind: MsgHeartbeat, From: c.id, To: id, Term: c.term,
		Commit: min(p.match, c.log.committed), Index: c.everCommitted(), Round: c.round})
}

// everCommitted is how far the log was committed by any leader, 0 while that isn't known:
// before an entry of its own term is committed, an earlier leader may have come further.
func (c *Core) everCommitted() uint64 {
	if t, _ := c.log.term(c.log.committed); t != c.term {
		return 0
	}
	return c.log.committed
}

// sendAppend sends the next entries, or none to a replica that is probed. A replica
// that lacks what is no longer in memory is sent the snapshot.
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
	end := min(p.offset+c.chunk, len(s.Data))
	c.early = append(c.early, Message{Kind: MsgChunk, From: c.id, To: id, Term: c.term, Round: c.round,
		Chunk: &Chunk{Index: s.Index, Term: s.Term, Config: s.Config, Offset: p.offset, Size: len(s.Data), Data: s.Data[p.offset:end]}})
	p.sent(c.now, s.Index, end-p.offset)
}

// neededFrom returns the index from which on the log must stay in memory: the
// snapshot that a replica in contact is being sent is of no use without the entries
// behind it. With a snapshot that takes longer than the leader takes to make the next
// one the replica would never catch up.
func (c *Core) neededFrom() uint64 {
	from := c.log.last()
	for _, p := range c.peers {
		if p.snapshot != nil && p.lastContact+SilentTicks >= c.now {
			from = min(from, p.snapshot.Index)
		}
	}
	return from
}
