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
	case MsgAppend, MsgChunk, MsgHeartbeat:
		c.onLeaderContact(m)
	case MsgAppendResp, MsgChunkResp, MsgHeartbeatResp:
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
		if m.fromLeader() {
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
	switch {
	case m.fromLeader():
		c.messages = append(c.messages, Message{Kind: MsgAppendResp, From: c.id, To: m.From, Term: c.term, Reject: true})
	case m.Kind == MsgPreVote:
		c.messages = append(c.messages, Message{Kind: MsgPreVoteResp, From: c.id, To: m.From, Term: c.term, Reject: true})
	}
}

// fromLeader reports whether only the leader of a term sends such a message.
func (m Message) fromLeader() bool {
	return m.Kind == MsgAppend || m.Kind == MsgChunk || m.Kind == MsgHeartbeat
}

func (c *Core) onLeaderContact(m Message) {
	if c.role != Follower {
		c.becomeFollower(m.Term, m.From)
	}
	c.leader = m.From
	c.silence = 0
	switch m.Kind {
	case MsgChunk:
		c.onChunk(m)
	case MsgHeartbeat:
		c.onHeartbeat(m)
	default:
		c.messages = append(c.messages, c.handleAppend(m))
	}
}

// onHeartbeat takes the leader's commit index. The leader sends no more of it than
// it knows this replica to hold, and beside it how far it is itself.
func (c *Core) onHeartbeat(m Message) {
	c.noteApplied()
	if c.awaited.index == 0 {
		// A later word doesn't replace one that is waited for: under load none would ever
		// be reached.
		c.awaited = position{m.Index, c.now}
	}
	c.log.commitTo(m.Commit)
	c.messages = append(c.messages, Message{Kind: MsgHeartbeatResp, From: c.id, To: m.From, Term: c.term, Round: m.Round})
}

// noteApplied ends the wait for what the leader said was committed.
func (c *Core) noteApplied() {
	if c.awaited.index != 0 && c.log.applied >= c.awaited.index {
		c.currentAt, c.awaited = c.awaited.tick, position{}
	}
}

// current reports whether this replica has applied all that was committed an election
// timeout ago. One that hears the leader may still be catching up, and a new leader knows what
// was committed before it only with its own first entry.
func (c *Core) current() bool {
	if c.role == Leader {
		term, known := c.log.term(c.log.applied)
		return known && term == c.term
	}
	return c.leaderFresh() && c.currentAt > 0 && c.currentAt+ElectionTicks >= c.now
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
			c.leaveJoint()
			c.stepDownIfRemoved()
			return
		}
	}
}

func (c *Core) heldByMajority(index uint64) bool {
	return c.log.config().config.majority(func(id uint64) bool {
		if id == c.id {
			return c.persisted >= index
		}
		return c.peers[id].match >= index
	})
}

// leaveJoint ends the replacement of a voter once its joint set is committed. A
// leader that finds a joint set committed by an earlier one ends it likewise, with
// the first entry of its own term.
func (c *Core) leaveJoint() {
	cfg := c.log.config()
	if cfg.config.Joint() && cfg.index <= c.log.committed {
		c.appendOwn(EntryConfig, encodeConfig(cfg.config.Settled()))
		c.syncPeers()
	}
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
		if r.round <= c.round && c.echoed(r.round) {
			c.done = append(c.done, r.Read)
			continue
		}
		rest = append(rest, r)
	}
	c.reads = rest
}

// echoed reports whether a majority has echoed a contact round.
func (c *Core) echoed(round uint64) bool {
	return c.log.config().config.majority(func(id uint64) bool { return id == c.id || c.peers[id].round >= round })
}
