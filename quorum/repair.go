package quorum

import (
	"context"
	"slices"
)

// catchUpSlack is how many entries a learner may lack and still count as caught up.
const catchUpSlack = 64

// Join handles a join request at the leader. A replica with a known identity keeps its role and is
// recorded as alive; a new identity becomes a learner.
func (n *Node) Join(ctx context.Context, r Replica) error {
	var st Status
	if err := n.call(ctx, func() { n.core.RecordJoinRequest(r.ID); st = n.core.Status() }); err != nil {
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

// Joined returns the configuration with r added as a learner. It replaces a learner from the same
// host, which has lost its disk.
func (c Config) Joined(r Replica) Config {
	out := c
	for _, old := range c.Learners {
		if sameHost(old, r) {
			out = out.Without(old.ID)
		}
	}
	return out.WithLearner(r)
}

// Repair takes the next step towards a complete replica set and reports whether it took one. Call
// it periodically at the leader. tolerance is the number of replicas whose simultaneous loss the
// set must tolerate. Each step is committed before the next one starts.
func (n *Node) Repair(ctx context.Context, tolerance int) (took bool, err error) {
	cerr := n.call(ctx, func() {
		st := n.core.Status()
		if st.Role != Leader {
			return
		}
		var next Config
		if next, took = repairStep(st, n.details, tolerance); took {
			err = n.core.ProposeConfig(next)
		}
	})
	if cerr != nil {
		return false, cerr
	}
	return took, err
}

// details returns a replica's own description, zero if none was received.
func (n *Node) details(id uint64) Replica {
	if id == n.opts.Self.ID {
		return n.opts.Self
	}
	return n.senders[id]
}

// VotersFor returns the number of voters of a set that must tolerate the loss of tolerance voters.
// More voters would exceed the required tolerance, and each costs one more copy of every commit, so
// further replicas are spares.
func VotersFor(tolerance int) int { return 2*tolerance + 1 }

// repairStep records details that members have sent about themselves, or else takes the next step
// of the repair.
func repairStep(st Status, details func(id uint64) Replica, tolerance int) (Config, bool) {
	if st.Config.Joint() {
		return Config{}, false // the leader ends it by itself
	}
	if next, changed := st.Config.WithDetails(details); changed {
		return next, true
	}
	return nextStep(st, tolerance)
}

// nextStep returns the next step of the repair, if there is one. No step lowers the number of
// losses that the set tolerates: a learner that has caught up replaces an unresponsive voter in one
// committed step or is added to a set below its full size, and a voter is removed without a
// replacement only if the remaining set has the required tolerance.
func nextStep(st Status, tolerance int) (Config, bool) {
	for _, step := range []func(Status, int) (Config, bool){replacePredecessor, addVoter, replaceUnresponsive, removeSurplusVoter, spreadVoters, removeExpiredLearner} {
		if next, ok := step(st, tolerance); ok {
			return next, true
		}
	}
	return Config{}, false
}

// replacePredecessor replaces a voter with the learner that runs on the same host after the loss of
// its disk.
func replacePredecessor(st Status, _ int) (Config, bool) {
	for _, l := range st.Config.Learners {
		if v, ok := st.Config.Predecessor(l); ok && st.CaughtUp(l) {
			return st.Config.Replacing(v.ID, l), true
		}
	}
	return Config{}, false
}

// addVoter promotes the best spare while the set is below its full size.
func addVoter(st Status, tolerance int) (Config, bool) {
	l, ok := bestSpare(st)
	if !ok || len(st.Config.Voters) >= VotersFor(tolerance) {
		return Config{}, false
	}
	return st.Config.WithVoter(l), true
}

// replaceUnresponsive replaces an unresponsive voter with a spare.
func replaceUnresponsive(st Status, _ int) (Config, bool) {
	l, ok := bestSpare(st)
	if !ok {
		return Config{}, false
	}
	for _, id := range st.Unresponsive {
		if st.Config.IsVoter(id) {
			return st.Config.Replacing(id, l), true
		}
	}
	return Config{}, false
}

// removeSurplusVoter removes a voter that the set does not need: one of an even number, which
// tolerates no more losses than the next smaller set, or one beyond the full size. An unresponsive
// voter, such as the old one after a planned replacement, is removed unless its host has returned
// as a learner; a responsive one stays as a spare.
func removeSurplusVoter(st Status, tolerance int) (Config, bool) {
	n := len(st.Config.Voters)
	if n <= VotersFor(tolerance) && n%2 != 0 {
		return Config{}, false
	}
	next, ok := Config{}, false
	if id, found := unresponsiveWithoutSuccessor(st); found {
		next, ok = st.Config.Without(id), true
	} else if id := voterToDemote(st); n > VotersFor(tolerance) && id != 0 {
		next, ok = st.Config.Demoting(id), true
	}
	return next, ok && next.MajorityMargin(st.recentlyActive) >= tolerance
}

// unresponsiveWithoutSuccessor returns an unresponsive voter whose host has not returned as a learner.
func unresponsiveWithoutSuccessor(st Status) (uint64, bool) {
	for _, id := range st.Unresponsive {
		v, _ := find(st.Config.Voters, id)
		if v.ID != 0 && !slices.ContainsFunc(st.Config.Learners, func(l Replica) bool { return sameHost(v, l) }) {
			return id, true
		}
	}
	return 0, false
}

// removeExpiredLearner removes a learner that has not responded for learnerExpiryTicks. It sends a
// join request when it returns.
func removeExpiredLearner(st Status, _ int) (Config, bool) {
	if len(st.ExpiredLearners) == 0 {
		return Config{}, false
	}
	return st.Config.Without(st.ExpiredLearners[0]), true
}

// Predecessor returns the voter on the same host as a learner that lost its disk.
func (c Config) Predecessor(learner Replica) (Replica, bool) {
	for _, v := range c.Voters {
		if sameHost(v, learner) {
			return v, true
		}
	}
	return Replica{}, false
}

func sameHost(a, b Replica) bool { return a.Name == b.Name || a.Address == b.Address }

// MajorityMargin returns, at a leader, how many more voters may be lost before the responsive ones
// are no majority.
func (s Status) MajorityMargin() int { return s.Config.MajorityMargin(s.recentlyActive) }

// recentlyActive reports whether a replica responds to the leader that returned this status.
func (s Status) recentlyActive(id uint64) bool {
	_, ok := s.Match[id]
	return ok || id == s.ID
}

// CaughtUp reports whether a learner responds and lacks at most catchUpSlack entries. One that never
// responded must not become a voter: it could cost the leader its majority.
func (s Status) CaughtUp(learner Replica) bool {
	match, responded := s.Match[learner.ID]
	return responded && match+catchUpSlack >= s.Last
}
