package quorum

// campaign requests pre-votes or votes. A pre-vote does not change the term: otherwise a replica
// that was cut off for long would return with a high term and depose a working leader.
func (c *Core) campaign(pre bool) {
	c.resetTimeout()
	c.leader = 0
	c.votes = map[uint64]bool{c.id: true}
	if pre {
		c.role = PreCandidate
	} else {
		c.role = Candidate
		c.term++
		c.vote = c.id
	}
	if c.wonVotes() {
		c.onElectionWon()
		return
	}
	c.requestVotes(pre, false)
}

func (c *Core) requestVotes(pre, transfer bool) {
	kind, term := MsgVote, c.term
	if pre {
		kind, term = MsgPreVote, c.term+1
	}
	for _, r := range c.log.config().config.Members() {
		if r.ID != c.id && c.log.config().config.IsVoter(r.ID) {
			c.messages = append(c.messages, Message{Kind: kind, From: c.id, To: r.ID, Term: term,
				Index: c.log.last(), LogTerm: c.log.lastTerm(), Transfer: transfer})
		}
	}
}

func (c *Core) wonVotes() bool {
	return c.log.config().config.majority(func(id uint64) bool { return c.votes[id] })
}

func (c *Core) onElectionWon() {
	if c.role == PreCandidate {
		c.campaign(false)
		return
	}
	c.becomeLeader()
}

func (c *Core) becomeLeader() {
	c.role, c.leader, c.votes = Leader, c.id, nil
	c.peers = make(map[uint64]*progress)
	c.syncPeers()
	for _, p := range c.peers {
		p.probe = false // most replicas lack only the new entries
	}
	c.appendOwn(EntryNoop, nil)
	c.broadcast(heartbeatAll)
}

// syncPeers makes the set of tracked replicas equal to the configuration's members. The log
// position of a new one is unknown, so it is probed.
func (c *Core) syncPeers() {
	cfg := c.log.config().config
	for _, r := range cfg.Members() {
		if c.peers[r.ID] == nil {
			c.peers[r.ID] = &progress{next: c.log.last() + 1, lastContact: c.now, probe: true}
		}
	}
	for id := range c.peers {
		if _, ok := cfg.Find(id); !ok {
			delete(c.peers, id)
		}
	}
}

// upToDate reports whether a candidate's log is at least as up to date as this replica's, so that a
// candidate elected by a majority holds every committed entry.
func (c *Core) upToDate(m Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.last()
}

func (c *Core) onVoteRequest(m Message) {
	pre := m.Kind == MsgPreVote
	mayVote := c.vote == m.From || (c.vote == 0 && c.leader == 0) || (pre && m.Term > c.term)
	grant := mayVote && c.upToDate(m) && !(pre && c.hasPriority(m))
	resp := Message{Kind: MsgVoteResp, From: c.id, To: m.From, Term: m.Term, Reject: !grant}
	if pre {
		resp.Kind = MsgPreVoteResp
		if !grant {
			resp.Term = c.term
		}
	} else if grant {
		c.vote = m.From
		c.resetTimeout()
	}
	c.messages = append(c.messages, resp)
}

// tieBreakTicks is how long after the start of its own campaign a replica treats another's
// campaign as simultaneous: a round trip between regions plus one tick.
const tieBreakTicks = HeartbeatTicks

// hasPriority reports whether this replica has just started a campaign with a log equal to the
// candidate's and wins the tie by its higher ID. If both granted each other's pre-vote, both would
// go on, vote for themselves and reject each other, and callers would wait for another election
// timeout. The priority ends after tieBreakTicks: a replica whose campaigns fail must not block
// one that can reach more of the others.
func (c *Core) hasPriority(m Message) bool {
	return c.role == PreCandidate && c.electionElapsed < tieBreakTicks && c.id > m.From &&
		m.LogTerm == c.log.lastTerm() && m.Index == c.log.last()
}

func (c *Core) onVoteResponse(m Message, want Role) {
	if c.role != want || m.Reject {
		return
	}
	c.votes[m.From] = true
	if c.wonVotes() {
		c.onElectionWon()
	}
}

// onTimeoutNow campaigns immediately. No pre-vote is needed, because the old leader requested the
// election and has stopped accepting proposals.
func (c *Core) onTimeoutNow() {
	if !c.log.config().config.IsVoter(c.id) {
		return
	}
	c.role = Candidate
	c.term++
	c.vote, c.leader = c.id, 0
	c.votes = map[uint64]bool{c.id: true}
	c.resetTimeout()
	if c.wonVotes() {
		c.onElectionWon()
		return
	}
	c.requestVotes(false, true)
}
