package quorum

import "context"

// catchUpSlack is how many entries a learner may lack and still be promoted.
const catchUpSlack = 64

// Join answers a replica that asks to belong to the cluster. A replica known by
// its identity stays what it is, and counts as alive; a new identity becomes a
// learner.
func (n *Node) Join(ctx context.Context, r Replica) error {
	var st Status
	if err := n.call(ctx, func() { n.core.Asked(r.ID); st = n.core.Status() }); err != nil {
		return err
	}
	if st.Role != Leader {
		return ErrNotLeader
	}
	if _, ok := st.Config.Find(r.ID); ok {
		return nil
	}
	return n.ChangeConfig(ctx, func(c Config) Config { return c.Joined(r) })
}

// Joined returns the configuration with r added as a learner, in place of a learner
// from the same host whose disk is gone.
func (c Config) Joined(r Replica) Config {
	out := c
	for _, old := range c.Learners {
		if sameHost(old, r) {
			out = out.Without(old.ID)
		}
	}
	return out.WithLearner(r)
}

// Repair takes the next step towards a whole replica set, and reports whether it
// took one. Call it regularly on the leader. bear is the number of replicas that may
// be lost at once. Each step is committed before the next begins.
func (n *Node) Repair(ctx context.Context, bear int) (took bool, err error) {
	cerr := n.call(ctx, func() {
		st := n.core.Status()
		if st.Role != Leader {
			return
		}
		var next Config
		if next, took = nextStep(st, bear); took {
			err = n.core.ProposeConfig(next)
		}
	})
	if cerr != nil {
		return false, cerr
	}
	return took, err
}

// nextStep returns the next step of the repair, if there is one to take. No step
// lowers the number of losses that the set bears: a learner that has caught up takes
// the place of a voter that is gone in one committed step, or is added; and a silent
// voter goes without a successor only if the rest bears what it must.
func nextStep(st Status, bear int) (Config, bool) {
	if st.Config.Joint() {
		return Config{}, false // its leader ends it by itself
	}
	for _, l := range st.Config.Learners {
		if !caughtUp(st, l) {
			continue
		}
		if id, ok := replacedBy(st, l, bear); ok {
			return st.Config.Replacing(id, l), true
		}
		return st.Config.WithVoter(l), true
	}
	if id, ok := surplusVoter(st, bear); ok {
		return st.Config.Without(id), true
	}
	return Config{}, false
}

// replacedBy returns the voter whose place a learner takes. That is the one of the
// same host, whose disk is gone: no other, since each learner of a wiped host comes
// for its own predecessor. A learner of another host takes the place of a silent
// voter that nobody else comes for, once the set has its full size; below it, the
// learner makes the set larger.
func replacedBy(st Status, learner Replica, bear int) (uint64, bool) {
	for _, v := range st.Config.Voters {
		if sameHost(v, learner) {
			return v.ID, true
		}
	}
	if len(st.Config.Voters) < FullSize(bear) {
		return 0, false
	}
	return awaitedByNobody(st)
}

// FullSize is the number of voters of which so many may be lost.
func FullSize(bear int) int { return 2*bear + 1 }

// awaitedByNobody returns a silent voter whose host has not come back as a learner.
func awaitedByNobody(st Status) (uint64, bool) {
	for _, id := range st.Silent {
		v, _ := find(st.Config.Voters, id)
		if v.ID != 0 && !hasSuccessor(st.Config, v) {
			return id, true
		}
	}
	return 0, false
}

func hasSuccessor(c Config, voter Replica) bool {
	for _, l := range c.Learners {
		if sameHost(voter, l) {
			return true
		}
	}
	return false
}

func sameHost(a, b Replica) bool { return a.Name == b.Name || a.Address == b.Address }

// surplusVoter returns a silent voter of a set with an even number of voters. Such a
// set bears no more losses than the next smaller one, so after a planned replacement
// the old voter, which will never answer again, would count as a loss for good. It
// stays unless those that answer bear bear losses without it: a set below its size
// must not become smaller, whatever keeps a voter from answering.
func surplusVoter(st Status, bear int) (uint64, bool) {
	if len(st.Config.Voters)%2 != 0 {
		return 0, false
	}
	id, ok := awaitedByNobody(st)
	if !ok || st.Config.Without(id).Spare(st.answers) < bear {
		return 0, false
	}
	return id, true
}

// Spare returns, at a leader, how many more voters may be lost before those that
// answer are no majority.
func (s Status) Spare() int { return s.Config.Spare(s.answers) }

// answers reports whether a replica answers the leader, whose status this is.
func (s Status) answers(id uint64) bool {
	_, ok := s.Match[id]
	return ok || id == s.ID
}

// caughtUp reports whether a learner answers and lacks almost nothing. One that
// never answered must not become a voter: with it the leader would lose its
// majority.
func caughtUp(st Status, learner Replica) bool {
	match, answers := st.Match[learner.ID]
	return answers && match+catchUpSlack >= st.Last
}
