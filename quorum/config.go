package quorum

import "slices"

// Config is the set of replicas that hold the log. Only voters count towards a majority. Learners
// receive the log; a learner that has caught up and is not needed as a voter is a spare.
//
// While one voter is being replaced the configuration is joint: Old holds the previous voters,
// and every decision needs a majority of Voters and a majority of Old.
type Config struct {
	Voters   []Replica `msgpack:"v" json:"voters"`
	Learners []Replica `msgpack:"l" json:"learners"`
	Old      []Replica `msgpack:"w,omitempty" json:"old_voters,omitempty"`
}

func (c Config) clone() Config {
	return Config{Voters: slices.Clone(c.Voters), Learners: slices.Clone(c.Learners), Old: slices.Clone(c.Old)}
}

func find(list []Replica, id uint64) (Replica, bool) {
	for _, r := range list {
		if r.ID == id {
			return r, true
		}
	}
	return Replica{}, false
}

// Find returns the voter, learner or old voter with the given ID.
func (c Config) Find(id uint64) (Replica, bool) {
	for _, list := range [][]Replica{c.Voters, c.Learners, c.Old} {
		if r, ok := find(list, id); ok {
			return r, true
		}
	}
	return Replica{}, false
}

// IsVoter reports whether id is a voter or, in a joint configuration, an old voter.
func (c Config) IsVoter(id uint64) bool {
	_, ok := find(c.Voters, id)
	if !ok {
		_, ok = find(c.Old, id)
	}
	return ok
}

// Joint reports whether the configuration is joint, that is, a voter is being replaced.
func (c Config) Joint() bool { return len(c.Old) > 0 }

// Members returns all replicas that receive the log, without duplicates.
func (c Config) Members() []Replica {
	out := make([]Replica, 0, len(c.Voters)+len(c.Learners)+1)
	for _, list := range [][]Replica{c.Voters, c.Learners, c.Old} {
		for _, r := range list {
			if _, ok := find(out, r.ID); !ok {
				out = append(out, r)
			}
		}
	}
	return out
}

// majority reports whether more than half of the voters satisfy ok; in a joint configuration,
// more than half of the new voters and more than half of the old ones.
func (c Config) majority(ok func(id uint64) bool) bool {
	return majorityMargin(c.Voters, ok) >= 0 && (!c.Joint() || majorityMargin(c.Old, ok) >= 0)
}

// MajorityMargin returns how many of the voters that satisfy ok may be lost before the
// configuration has no majority. It is negative if there is no majority now.
func (c Config) MajorityMargin(ok func(id uint64) bool) int {
	n := majorityMargin(c.Voters, ok)
	if c.Joint() {
		n = min(n, majorityMargin(c.Old, ok))
	}
	return n
}

func majorityMargin(voters []Replica, ok func(id uint64) bool) int {
	n := 0
	for _, r := range voters {
		if ok(r.ID) {
			n++
		}
	}
	return n - (len(voters)/2 + 1)
}

func without(list []Replica, id uint64) []Replica {
	out := make([]Replica, 0, len(list))
	for _, r := range list {
		if r.ID != id {
			out = append(out, r)
		}
	}
	return out
}

// WithLearner returns the configuration with r as a learner.
func (c Config) WithLearner(r Replica) Config {
	out := c.clone()
	out.Learners = append(without(out.Learners, r.ID), r)
	return out
}

// WithVoter returns the configuration with the learner r promoted to a voter.
func (c Config) WithVoter(r Replica) Config {
	out := c.clone()
	out.Learners = without(out.Learners, r.ID)
	out.Voters = append(without(out.Voters, r.ID), r)
	return out
}

// Without returns the configuration with the replica removed.
func (c Config) Without(id uint64) Config {
	return Config{Voters: without(c.Voters, id), Learners: without(c.Learners, id), Old: c.Old}
}

// Demoting returns the configuration with the voter id demoted to a learner.
func (c Config) Demoting(id uint64) Config {
	r, _ := find(c.Voters, id)
	return c.Without(id).WithLearner(r)
}

// Swapping returns the joint configuration in which the learner r replaces the voter id, which
// becomes a learner.
func (c Config) Swapping(id uint64, r Replica) Config {
	out := c.Demoting(id).WithVoter(r)
	out.Old = slices.Clone(c.Voters)
	return out
}

// WithDetails returns the configuration with the details of members whose data centre is not
// recorded yet filled in, and whether any of them changed.
func (c Config) WithDetails(details func(id uint64) Replica) (Config, bool) {
	out, changed := c.clone(), false
	for _, list := range [][]Replica{out.Voters, out.Learners} {
		for i, r := range list {
			if k := details(r.ID); r.DataCentre == "" && k.ID == r.ID && k.DataCentre != "" {
				list[i], changed = k, true
			}
		}
	}
	return out, changed
}

// Replacing returns the joint configuration in which the learner r replaces the voter id. Once it
// is committed, the leader appends the Settled configuration by itself.
func (c Config) Replacing(id uint64, r Replica) Config {
	out := c.Without(id).WithVoter(r)
	out.Old = slices.Clone(c.Voters)
	return out
}

// Replaced returns the old voters that a joint configuration removes from the voters.
func (c Config) Replaced() []Replica {
	var out []Replica
	for _, r := range c.Old {
		if _, stays := find(c.Voters, r.ID); !stays {
			out = append(out, r)
		}
	}
	return out
}

// Settled returns the configuration that ends a joint one.
func (c Config) Settled() Config {
	out := c.clone()
	out.Old = nil
	return out
}

// voterDiff counts the voters that are in only one of two configurations.
func voterDiff(a, b Config) int {
	n := 0
	for _, r := range a.Voters {
		if _, ok := find(b.Voters, r.ID); !ok {
			n++
		}
	}
	for _, r := range b.Voters {
		if _, ok := find(a.Voters, r.ID); !ok {
			n++
		}
	}
	return n
}

// replaceDiff is the voterDiff of two configurations that differ by one replaced voter.
const replaceDiff = 2

// validStep reports whether a leader may append next after cur. When one voter is added or
// removed, every old majority overlaps with every new one. When one voter is replaced by another
// they may not overlap, so that step must go through a joint configuration.
func validStep(cur, next Config) bool {
	sameOld := len(next.Old) == len(cur.Voters) && voterDiff(cur, Config{Voters: next.Old}) == 0
	switch {
	case len(next.Voters) == 0:
		return false
	case cur.Joint() && next.Joint():
		return voterDiff(cur, next) == 0 && voterDiff(Config{Voters: cur.Old}, Config{Voters: next.Old}) == 0
	case cur.Joint():
		return voterDiff(cur, next) == 0
	case next.Joint():
		return sameOld && voterDiff(cur, next) <= replaceDiff
	}
	return voterDiff(cur, next) <= 1
}
