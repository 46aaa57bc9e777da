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
			if old.Name == r.Name {
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
		return true, n.ChangeConfig(ctx, func(c Config) Config { return repairStep(c, l) })
	}
	return false, nil
}

// caughtUp reports whether a learner answers and lacks almost nothing. One that
// never answered must not become a voter: with it the leader would lose its
// majority.
func caughtUp(st Status, learner Replica) bool {
	match, answers := st.Match[learner.ID]
	return answers && match+catchUpSlack >= st.Last
}

func repairStep(c Config, learner Replica) Config {
	for _, v := range c.Voters {
		if v.Name == learner.Name {
			return c.Without(v.ID)
		}
	}
	return c.WithVoter(learner)
}
