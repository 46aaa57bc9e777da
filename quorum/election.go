package quorum

// campaign asks for votes. A pre-vote changes no term: a replica that was cut
// off for long would otherwise come back with a high term and depose a healthy
// leader.
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
		c.win()
		return
	}
	c.askVotes(pre, false)
}

func (c *Core) askVotes(pre, transfer bool) {
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

func (c *Core) win() {
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
		p.probe = false // most lack nothing but what comes next
	}
	c.appendOwn(EntryNoop, nil)
	c.broadcast(everybody)
}

// syncPeers makes the set of followed replicas equal to the configuration. What a
// newcomer holds is not known.
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

// upToDate reports whether a candidate's log holds everything committed here.
func (c *Core) upToDate(m Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.last()
}

func (c *Core) onVoteRequest(m Message) {
	pre := m.Kind == MsgPreVote
	free := c.vote == m.From || (c.vote == 0 && c.leader == 0) || (pre && m.Term > c.term)
	grant := free && c.upToDate(m) && !(pre && c.goesFirst(m))
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

// campaignStart is how long after the start of its own campaign a replica takes another's
// for one of the same moment: a round trip between regions and a tick.
const campaignStart = HeartbeatTicks

// goesFirst reports whether this replica has just begun to campaign with as good a log as
// the one that asks, and goes first by its name. Granting each other's pre-vote both would
// go on, vote for themselves and refuse each other; the callers then wait for another
// election timeout. It holds for the first moment only: a replica whose campaigns get
// nowhere must not keep one from leading that more of the others hear.
func (c *Core) goesFirst(m Message) bool {
	return c.role == PreCandidate && c.silence < campaignStart && c.id > m.From &&
		m.LogTerm == c.log.lastTerm() && m.Index == c.log.last()
}

func (c *Core) onVoteResponse(m Message, want Role) {
	if c.role != want || m.Reject {
		return
	}
	c.votes[m.From] = true
	if c.wonVotes() {
		c.win()
	}
}

// onTimeoutNow campaigns at once: the old leader asked for it and stopped
// accepting proposals, so no pre-vote is needed.
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
		c.win()
		return
	}
	c.askVotes(false, true)
}
