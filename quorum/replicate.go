package quorum

// Step takes one message from another replica.
func (c *Core) Step(m Message) {
	if m.To != c.id || !c.admitTerm(m) {
		return
	}
	switch m.Kind {
	case MsgPreVote, MsgVote:
		c.onVoteRequest(m)
	case MsgPreVoteResp:
		if m.Term == c.term+1 || m.Reject {
			c.onVoteResponse(m, PreCandidate)
		}
	case MsgVoteResp:
		c.onVoteResponse(m, Candidate)
	case MsgAppend, MsgChunk:
		c.onLeaderContact(m)
	case MsgAppendResp, MsgChunkResp:
		c.onFollowerAnswer(m)
	case MsgTimeoutNow:
		c.onTimeoutNow()
	}
}

// admitTerm compares terms and tells whether the message is to be handled.
func (c *Core) admitTerm(m Message) bool {
	vote := m.Kind == MsgVote || m.Kind == MsgPreVote
	if vote && !m.Transfer && c.leaderFresh() && m.From != c.leader {
		// A replica that merely lost its own link to the leader must not
		// depose it. Symptom: elections without end under a one-way cut.
		return false
	}
	switch {
	case m.Term > c.term:
		if m.Kind == MsgPreVote || (m.Kind == MsgPreVoteResp && !m.Reject) {
			return true
		}
		leader := uint64(0)
		if m.Kind == MsgAppend || m.Kind == MsgChunk {
			leader = m.From
		}
		c.becomeFollower(m.Term, leader)
		return true
	case m.Term < c.term:
		c.answerStale(m)
		return false
	}
	return true
}

// answerStale tells a sender of an older term about the newer one. Without it
// a leader of an older term never learns that this replica moved on.
func (c *Core) answerStale(m Message) {
	switch m.Kind {
	case MsgAppend, MsgChunk:
		c.messages = append(c.messages, Message{Kind: MsgAppendResp, From: c.id, To: m.From, Term: c.term, Reject: true})
	case MsgPreVote:
		c.messages = append(c.messages, Message{Kind: MsgPreVoteResp, From: c.id, To: m.From, Term: c.term, Reject: true})
	}
}

func (c *Core) onLeaderContact(m Message) {
	if c.role != Follower {
		c.becomeFollower(m.Term, m.From)
	}
	c.leader = m.From
	c.silence = 0
	if m.Kind == MsgChunk {
		c.onChunk(m)
		return
	}
	c.messages = append(c.messages, c.handleAppend(m))
}

func (c *Core) handleAppend(m Message) Message {
	resp := Message{Kind: MsgAppendResp, From: c.id, To: m.From, Term: c.term, Round: m.Round}
	if m.Index < c.log.committed {
		// A late copy. The committed prefix equals the leader's.
		resp.Index = c.log.committed
		return resp
	}
	if t, ok := c.log.term(m.Index); !ok || t != m.LogTerm {
		resp.Reject, resp.Prev = true, m.Index
		resp.Index = c.conflictHint(m.Index)
		return resp
	}
	c.log.merge(m.Entries)
	c.persisted = min(c.persisted, c.log.handed) // a replaced suffix is not on disk yet
	last := m.Index + uint64(len(m.Entries))
	c.log.commitTo(min(m.Commit, last))
	resp.Index = last
	return resp
}

// conflictHint returns the highest index at which the two logs may agree: it
// steps over the whole term that disagrees, so that catching up takes one
// message a term and not one an entry.
func (c *Core) conflictHint(prev uint64) uint64 {
	if prev > c.log.last() {
		return c.log.last()
	}
	bad, _ := c.log.term(prev)
	i := prev
	for i > c.log.committed {
		if t, _ := c.log.term(i); t != bad {
			break
		}
		i--
	}
	return i
}

func (c *Core) onChunk(m Message) {
	ch := m.Chunk
	if ch == nil {
		return
	}
	resp := Message{Kind: MsgChunkResp, From: c.id, To: m.From, Term: c.term, Round: m.Round}
	if ch.Index <= c.log.committed {
		resp.Kind, resp.Index = MsgAppendResp, c.log.committed
		c.messages = append(c.messages, resp)
		return
	}
	if c.partial == nil || c.partial.Index != ch.Index || c.partial.Term != ch.Term || c.partSize != ch.Size {
		c.partial = &Snapshot{Index: ch.Index, Term: ch.Term, Config: ch.Config}
		c.partSize = ch.Size
	}
	if ch.Offset == len(c.partial.Data) {
		c.partial.Data = append(c.partial.Data, ch.Data...)
	}
	if len(c.partial.Data) == ch.Size {
		c.installPartial()
		resp.Kind, resp.Index = MsgAppendResp, ch.Index
	} else {
		resp.Chunk = &Chunk{Index: ch.Index, Term: ch.Term, Offset: len(c.partial.Data)}
	}
	c.messages = append(c.messages, resp)
}

func (c *Core) installPartial() {
	s := *c.partial
	c.partial = nil
	c.log.restore(s)
	c.persisted = s.Index
	c.snapshot = &s
}

func (c *Core) onFollowerAnswer(m Message) {
	p := c.peers[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.lastContact = c.now
	p.round = max(p.round, m.Round)
	switch {
	case m.Kind == MsgChunkResp:
		c.onChunkResponse(m, p)
	case m.Reject:
		if p.probe && m.Prev != p.next-1 {
			break // answers an append from before the last rejection
		}
		p.next = max(p.match, min(m.Index, p.next-1)) + 1
		p.probe = true
		c.sendAppend(m.From, p, false)
	default:
		c.onAck(m, p)
	}
	c.answerReads()
}

func (c *Core) onChunkResponse(m Message, p *progress) {
	if p.snapshot == nil || m.Chunk == nil || m.Chunk.Index != p.snapshot.Index {
		return
	}
	p.offset = min(m.Chunk.Offset, len(p.snapshot.Data))
	c.sendChunk(m.From, p)
}

func (c *Core) onAck(m Message, p *progress) {
	if m.Index > p.match {
		p.match = m.Index
	}
	p.next = max(p.next, p.match+1)
	p.probe = false
	if p.snapshot != nil && p.match >= p.snapshot.Index {
		p.snapshot, p.offset = nil, 0
	}
	c.maybeCommit()
	if c.role == Leader {
		c.maybeTransfer(m.From)
	}
}

// majority reports whether more than half of the voters satisfy ok. The leader
// counts itself as in contact with itself.
func (c *Core) majority(ok func(*progress) bool) bool {
	voters := c.log.config().config.Voters
	n := 0
	for _, r := range voters {
		if r.ID == c.id || ok(c.peers[r.ID]) {
			n++
		}
	}
	return n*2 > len(voters)
}

// maybeCommit commits the highest entry of this term that a majority holds.
// An entry of an older term is never committed by counting: a later leader
// could still replace it.
func (c *Core) maybeCommit() {
	for i := c.log.last(); i > c.log.committed; i-- {
		if t, _ := c.log.term(i); t != c.term {
			return
		}
		if c.heldByMajority(i) {
			c.log.commitTo(i)
			c.stepDownIfRemoved()
			return
		}
	}
}

func (c *Core) heldByMajority(index uint64) bool {
	voters := c.log.config().config.Voters
	n := 0
	for _, r := range voters {
		match := c.persisted
		if r.ID != c.id {
			match = c.peers[r.ID].match
		}
		if match >= index {
			n++
		}
	}
	return n*2 > len(voters)
}

func (c *Core) stepDownIfRemoved() {
	cfg := c.log.config()
	if cfg.index <= c.log.committed && !cfg.config.IsVoter(c.id) {
		c.becomeFollower(c.term, 0)
	}
}

func (c *Core) answerReads() {
	rest := c.reads[:0]
	for _, r := range c.reads {
		if r.round <= c.round && c.majority(func(p *progress) bool { return p.round >= r.round }) {
			c.done = append(c.done, r.Read)
			continue
		}
		rest = append(rest, r)
	}
	c.reads = rest
}

// broadcast sends every replica what it lacks. With contact set it also sends
// to those that lack nothing, and opens a new contact round.
func (c *Core) broadcast(contact bool) {
	if contact {
		c.round++
	}
	cfg := c.log.config().config
	for _, list := range [][]Replica{cfg.Voters, cfg.Learners} {
		for _, r := range list {
			if r.ID != c.id {
				c.sendIfNeeded(r.ID, c.peers[r.ID], contact)
			}
		}
	}
}

func (c *Core) sendIfNeeded(id uint64, p *progress, contact bool) {
	if p.snapshot != nil {
		if contact {
			c.sendChunk(id, p)
		}
		return
	}
	if contact || (!p.probe && p.next <= c.log.last()) {
		c.sendAppend(id, p, contact)
	}
}

func (c *Core) sendAppend(id uint64, p *progress, contact bool) {
	prevTerm, ok := c.log.term(p.next - 1)
	if !ok {
		s := c.log.snap
		p.snapshot, p.offset = &s, 0
		c.sendChunk(id, p)
		return
	}
	var entries []Entry
	if !p.probe {
		entries = c.log.slice(p.next, maxAppendBytes)
	}
	c.early = append(c.early, Message{Kind: MsgAppend, From: c.id, To: id, Term: c.term,
		Index: p.next - 1, LogTerm: prevTerm, Commit: c.log.committed, Entries: entries, Round: c.round})
	p.next += uint64(len(entries))
}

func (c *Core) sendChunk(id uint64, p *progress) {
	s := p.snapshot
	end := min(p.offset+chunkBytes, len(s.Data))
	c.early = append(c.early, Message{Kind: MsgChunk, From: c.id, To: id, Term: c.term, Round: c.round,
		Chunk: &Chunk{Index: s.Index, Term: s.Term, Config: s.Config, Offset: p.offset, Size: len(s.Data), Data: s.Data[p.offset:end]}})
}
