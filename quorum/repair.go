package quorum

import "context"

// catchUpSlack is how many entries a learner may lack and still be promoted.
const catchUpSlack = 64

// Join answers a replica that asks to belong to the cluster. A replica known by
// its identity stays what it is; a new identity becomes a learner.
func (n *Node) Join(ctx context.Context, r Replica) error {
	st, err := n.Status(ctx)
	if err != nil {
		return err
	}
	if st.Role != Leader {
		return ErrNotLeader
	}
	if _, ok := st.Config.Find(r.ID); ok {
		return nil
	}
	return n.ChangeConfig(ctx, func(c Config) Config {
		for _, old := range c.Learners {
			if old.Name == r.Name || old.Address == r.Address {
				c = c.Without(old.ID)
			}
		}
		return c.WithLearner(r)
	})
}

// Repair takes the next step towards every learner being a voter, and reports
// whether it took one. Call it regularly on the leader.
//
// A learner that has caught up first removes the voter of the same name: that
// voter's disk is gone, and it would count against every majority. Only then is
// the learner promoted. Each step is committed before the next, so losing a
// second replica in between leaves a majority of one configuration or the next.
func (n *Node) Repair(ctx context.Context) (bool, error) {
	st, err := n.Status(ctx)
	if err != nil || st.Role != Leader {
		return false, err
	}
	for _, l := range st.Config.Learners {
		if !caughtUp(st, l) {
			continue
		}
		return true, n.ChangeConfig(ctx, func(c Config) Config { return repairStep(c, l, st.Silent) })
	}
	if v, ok := surplusVoter(st); ok {
		return true, n.ChangeConfig(ctx, func(c Config) Config { return c.Without(v) })
	}
	return false, nil
}

// minVoters is the size of a replica set below which a silent voter is kept:
// it may come back, and taking it out would not make the set safer.
const minVoters = 3

// surplusVoter returns a silent voter of a set with an even number of voters.
// Such a set stands any loss no better than the next smaller one does, so taking
// the silent one out only helps: after a planned replacement the set would
// otherwise lose its majority with the second loss.
func surplusVoter(st Status) (uint64, bool) {
	n := len(st.Config.Voters)
	if n <= minVoters || n%2 != 0 || len(st.Silent) == 0 {
		return 0, false
	}
	return st.Silent[0], true
}

// caughtUp reports whether a learner answers and lacks almost nothing. One that
// never answered must not become a voter: with it the leader would lose its
// majority.
func caughtUp(st Status, learner Replica) bool {
	match, answers := st.Match[learner.ID]
	return answers && match+catchUpSlack >= st.Last
}

// repairStep is the next step for a learner that has caught up. The voter that
// it replaces goes first: the one of the same name or address, whose disk is
// gone, or else one that has been silent for long.
func repairStep(c Config, learner Replica, silent []uint64) Config {
	for _, v := range c.Voters {
		if v.Name == learner.Name || v.Address == learner.Address {
			return c.Without(v.ID)
		}
	}
	for _, id := range silent {
		if c.IsVoter(id) && len(c.Voters) >= minVoters {
			return c.Without(id)
		}
	}
	return c.WithVoter(learner)
}
