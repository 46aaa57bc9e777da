package quorum

// Step handles one message from another replica.
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
		c.onLeaderMessage(m)
	case MsgAppendResp, MsgChunkResp, MsgHeartbeatResp:
		c.onFollowerResponse(m)
	case MsgTimeoutNow:
		c.onTimeoutNow()
	}
}

// admitTerm compares terms and reports whether the message is to be handled.
func (c *Core) admitTerm(m Message) bool {
	vote := m.Kind == MsgVote || m.Kind == MsgPreVote
	if vote && !m.Transfer && c.hasRecentLeader() && m.From != c.leader {
		// A replica that lost only its own link to the leader must not depose it. Without this
		// check a one-way cut causes endless elections.
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
		c.rejectStale(m)
		return false
	}
	return true
}

// rejectStale tells the sender of an older term about the newer one. Without it a leader of an
// older term never learns that this replica has moved on.
func (c *Core) rejectStale(m Message) {
	switch {
	case m.fromLeader():
		c.messages = append(c.messages, Message{Kind: MsgAppendResp, From: c.id, To: m.From, Term: c.term, Reject: true})
	case m.Kind == MsgPreVote:
		c.messages = append(c.messages, Message{Kind: MsgPreVoteResp, From: c.id, To: m.From, Term: c.term, Reject: true})
	}
}

// fromLeader reports whether such a message is sent only by the leader of a term.
func (m Message) fromLeader() bool {
	return m.Kind == MsgAppend || m.Kind == MsgChunk || m.Kind == MsgHeartbeat
}

func (c *Core) onLeaderMessage(m Message) {
	if c.role != Follower {
		c.becomeFollower(m.Term, m.From)
	}
	c.leader = m.From
	c.electionElapsed = 0
	switch m.Kind {
	case MsgChunk:
		c.onChunk(m)
	case MsgHeartbeat:
		c.onHeartbeat(m)
	default:
		c.messages = append(c.messages, c.handleAppend(m))
	}
}

// onHeartbeat takes over the leader's commit index. m.Commit is limited to what the leader knows
// this replica to hold; m.Index is the commit index of the whole cluster, 0 if unknown.
func (c *Core) onHeartbeat(m Message) {
	c.updateCurrent()
	if c.awaitedCommit.index == 0 {
		// An awaited index is not replaced by a later one: under load none would ever be reached.
		c.awaitedCommit = indexAtTick{m.Index, c.now}
	}
	c.log.commitTo(m.Commit)
	c.messages = append(c.messages, Message{Kind: MsgHeartbeatResp, From: c.id, To: m.From, Term: c.term, Round: m.Round})
}

// updateCurrent records that the awaited commit index has been applied.
func (c *Core) updateCurrent() {
	if c.awaitedCommit.index != 0 && c.log.applied >= c.awaitedCommit.index {
		c.currentAsOf, c.awaitedCommit = c.awaitedCommit.tick, indexAtTick{}
	}
}

// current reports whether this replica has applied everything that was committed one election
// timeout ago. A follower that receives heartbeats may still be catching up, and a new leader has
// applied everything committed before its term only with its own first entry.
func (c *Core) current() bool {
	if c.role == Leader {
		term, known := c.log.term(c.log.applied)
		return known && term == c.term
	}
	return c.hasRecentLeader() && c.currentAsOf > 0 && c.currentAsOf+ElectionTicks >= c.now
}

func (c *Core) handleAppend(m Message) Message {
	resp := Message{Kind: MsgAppendResp, From: c.id, To: m.From, Term: c.term, Round: m.Round}
	if m.Index < c.log.committed {
		// A delayed duplicate. The committed prefix equals the leader's.
		resp.Index = c.log.committed
		return resp
	}
	if t, ok := c.log.term(m.Index); !ok || t != m.LogTerm {
		resp.Reject, resp.Prev = true, m.Index
		resp.Index = c.conflictHint(m.Index)
		return resp
	}
	c.log.merge(m.Entries)
	c.persisted = min(c.persisted, c.log.handedOut) // a replaced suffix is not on disk yet
	last := m.Index + uint64(len(m.Entries))
	c.log.commitTo(min(m.Commit, last))
	resp.Index = last
	return resp
}

// conflictHint returns the highest index at which the two logs may agree. It skips the whole
// conflicting term, so that catching up takes one message per term and not one per entry.
func (c *Core) conflictHint(prev uint64) uint64 {
	if prev > c.log.last() {
		return c.log.last()
	}
	conflicting, _ := c.log.term(prev)
	i := prev
	for i > c.log.committed {
		if t, _ := c.log.term(i); t != conflicting {
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
	if c.partial == nil || c.partial.Index != ch.Index || c.partial.Term != ch.Term || c.partialSize != ch.Size {
		c.partial = &Snapshot{Index: ch.Index, Term: ch.Term, Config: ch.Config}
		c.partialSize = ch.Size
	}
	if ch.Offset == len(c.partial.Data) {
		c.partial.Data = append(c.partial.Data, ch.Data...)
	}
	if len(c.partial.Data) == ch.Size {
		if t, ok := c.log.term(ch.Index); ok && t == ch.Term {
			// The log already holds what the snapshot covers. Replacing it would drop later entries
			// that this replica has acknowledged or, when it saves concurrently, is still writing.
			c.partial = nil
			c.log.commitTo(ch.Index)
		} else {
			c.installPartial()
		}
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

// maybeCommit commits the highest entry of this term that a majority holds. An entry of an older
// term is never committed by counting copies: a later leader could still replace it.
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

// leaveJoint ends the replacement of a voter once its joint configuration is committed. A leader
// that finds one committed by an earlier leader ends it with the first committed entry of its own
// term.
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

func (c *Core) confirmReads() {
	unconfirmed := c.reads[:0]
	for _, r := range c.reads {
		if r.round <= c.round && c.echoed(r.round) {
			c.confirmedReads = append(c.confirmedReads, r.Read)
			continue
		}
		unconfirmed = append(unconfirmed, r)
	}
	c.reads = unconfirmed
}

// echoed reports whether a majority has echoed a heartbeat round.
func (c *Core) echoed(round uint64) bool {
	return c.log.config().config.majority(func(id uint64) bool { return id == c.id || c.peers[id].round >= round })
}
