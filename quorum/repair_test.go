package quorum

import (
	"math/rand"
	"slices"
	"testing"
)

// voterSet returns replicas with the given IDs, each on a host of its own.
func voterSet(ids ...uint64) []Replica {
	var out []Replica
	for _, id := range ids {
		out = append(out, Replica{ID: id, Name: string(rune('a' + id)), Address: string(rune('A' + id))})
	}
	return out
}

// statusOf returns a leader's status in which all but the unresponsive replicas have caught up.
func statusOf(c Config, unresponsive ...uint64) Status {
	st := Status{ID: c.Voters[0].ID, Role: Leader, Last: 10, Config: c, Unresponsive: unresponsive, Match: make(map[uint64]uint64)}
	for _, r := range c.Members() {
		if r.ID != st.ID && !slices.Contains(unresponsive, r.ID) {
			st.Match[r.ID] = 10
		}
	}
	return st
}

// A host of the replica set is replaced by an empty one at another address, or returns with an empty
// disk. The new replica must replace the lost voter and no other. If it were added beside it, the set
// would have a voter that never responds; if the old one were removed first, the set would have one
// voter less until the next step. If no voter is lost, it stays a spare.
func TestNewReplicaReplacesLostVoterInOneStep(t *testing.T) {
	three := Config{Voters: voterSet(1, 2, 3)}
	newReplica := Replica{ID: 9, Name: "new", Address: "NEW"}
	const added, spare = 100, 101
	cases := []struct {
		name         string
		learners     []Replica
		unresponsive []uint64
		tolerance    int
		replaces     uint64 // the ID of the voter that it replaces
	}{
		{"all respond", []Replica{newReplica}, nil, 1, spare},
		{"one is lost", []Replica{newReplica}, []uint64{2}, 1, 2},
		{"one is lost, but the set is below its size", []Replica{newReplica}, []uint64{2}, 2, added},
		{"same address, empty disk", []Replica{{ID: 9, Name: "seed", Address: "D"}}, nil, 1, 3},
		{"same name, other address", []Replica{{ID: 9, Name: "b", Address: "NEW"}}, []uint64{3}, 1, 1},
		{"the successor of the unresponsive voter is still catching up", []Replica{newReplica, {ID: 8, Name: "c", Address: "C"}}, []uint64{2}, 1, 2},
		{"a successor that has caught up has priority", []Replica{newReplica, {ID: 7, Name: "c", Address: "C"}}, []uint64{3, 2}, 1, 2},
		{"the successor of a responsive voter is no spare", []Replica{{ID: 8, Name: "c", Address: "C"}}, []uint64{3}, 1, spare},
	}
	for _, c := range cases {
		cfg := three
		for _, l := range c.learners {
			cfg = cfg.WithLearner(l)
		}
		st := statusOf(cfg, c.unresponsive...)
		delete(st.Match, 8) // still catching up
		next, ok := nextStep(st, c.tolerance)
		if c.replaces == spare {
			if ok {
				t.Errorf("%s: took the step to %+v", c.name, next)
			}
			continue
		}
		if !ok || !validStep(cfg, next) {
			t.Errorf("%s: no valid step to a new voter: %+v", c.name, next)
			continue
		}
		_, stays := find(next.Voters, c.replaces)
		if c.replaces == added && (!next.IsVoter(9) || next.Joint() || len(next.Voters) != 4) {
			t.Errorf("%s: want it added, got %+v", c.name, next)
		}
		if c.replaces != added && (stays || len(next.Voters) != 3 || !slices.Equal(next.Old, three.Voters)) {
			t.Errorf("%s: want it to replace %d, got %+v", c.name, c.replaces, next)
		}
	}
}

// A set of four tolerates one loss like a set of three, but a voter that is permanently lost uses up
// that tolerance: it must be removed. It stays where the remaining set would be below the required
// tolerance, such as in a set of five with a place to fill.
func TestUnresponsiveVoterIsRemovedOnlyWithinTolerance(t *testing.T) {
	four := Config{Voters: voterSet(1, 2, 3, 4)}
	if next, ok := nextStep(statusOf(four, 3), 1); !ok || next.IsVoter(3) || len(next.Voters) != 3 || len(next.Learners) > 0 {
		t.Errorf("voter 3 was not removed: %+v", next)
	}
	cases := []struct {
		name         string
		set          Config
		unresponsive []uint64
		tolerance    int
	}{
		{"a set of three", four.Without(4), []uint64{3}, 1},
		{"a set of four that must tolerate two losses", four, []uint64{3}, 2},
		{"two of six are unresponsive", Config{Voters: voterSet(1, 2, 3, 4, 5, 6)}, []uint64{5, 6}, 2},
		{"three of seven are unresponsive", Config{Voters: voterSet(1, 2, 3, 4, 5, 6, 7)}, []uint64{5, 6, 7}, 2},
	}
	for _, c := range cases {
		if next, ok := nextStep(statusOf(c.set, c.unresponsive...), c.tolerance); ok {
			t.Errorf("%s: took the step to %+v", c.name, next)
		}
	}
}

// A set in which every replica votes, as formed by earlier versions, is reduced to its full size while
// in service, which halves the copies of each commit. No replica leaves the set, and the remaining
// voters are spread over the data centres.
func TestSetOfTooManyVotersShrinks(t *testing.T) {
	st := statusOf(Config{Voters: voterSet(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)})
	for i := range st.Config.Voters {
		st.Config.Voters[i].DataCentre = string(rune('p' + i/2))
	}
	for steps := 0; ; steps++ {
		next, ok := nextStep(st, 2)
		if st.Config.Joint() {
			next, ok = st.Config.Settled(), true
		}
		if !ok {
			break
		}
		if steps == 10 || !validStep(st.Config, next) || !overlap(st.Config, next) {
			t.Fatalf("step %d from %+v to %+v", steps, st.Config, next)
		}
		st.Config = next
	}
	if len(st.Config.Voters) != 5 || len(st.Config.Learners) != 5 || !st.Config.IsVoter(st.ID) || len(votersIn(st.Config)) != 5 {
		t.Fatalf("ends with %+v", st.Config)
	}
}

// Two voters in one data centre are lost together with it. A spare in a data centre without voters
// must replace one of them, unless a voter is unresponsive already.
func TestVotesAreSpreadOverDataCentres(t *testing.T) {
	in := func(id uint64, dc string) Replica {
		r := voterSet(id)[0]
		r.DataCentre = dc
		return r
	}
	cases := []struct {
		name         string
		voters       []Replica
		spare        Replica
		unresponsive []uint64
		moves        uint64 // 0 for none
	}{
		{"two voters in one data centre", []Replica{in(1, "x"), in(2, "y"), in(3, "y")}, in(4, "z"), nil, 2},
		{"the leader shares a data centre", []Replica{in(1, "y"), in(2, "x"), in(3, "y")}, in(4, "z"), nil, 3},
		{"already spread", []Replica{in(1, "x"), in(2, "y"), in(3, "z")}, in(4, "w"), nil, 0},
		{"no improvement", []Replica{in(1, "x"), in(2, "y"), in(3, "y")}, in(4, "x"), nil, 0},
		{"unknown data centre", []Replica{in(1, "x"), in(2, "y"), in(3, "y")}, in(4, ""), nil, 0},
		{"the spare is behind", []Replica{in(1, "x"), in(2, "y"), in(3, "y")}, in(4, "z"), []uint64{4}, 0},
	}
	for _, c := range cases {
		cfg := Config{Voters: c.voters}.WithLearner(c.spare)
		next, ok := nextStep(statusOf(cfg, c.unresponsive...), 1)
		if c.moves == 0 {
			if ok {
				t.Errorf("%s: took the step to %+v", c.name, next)
			}
			continue
		}
		_, demoted := find(next.Settled().Learners, c.moves)
		if !ok || !validStep(cfg, next) || !next.Joint() || !next.Settled().IsVoter(4) || next.Settled().IsVoter(c.moves) || !demoted {
			t.Errorf("%s: %+v", c.name, next)
		}
	}
}

// Reads are frequent, and each needs the responses of a majority. Spares do not count for it, and
// sending them the same messages would cost the leader more than the voters do.
func TestReadsContactVotersOnly(t *testing.T) {
	w := newNetwork(6, 3)
	w.spares = 3
	w.settle(200)
	l := w.leader()
	cfg := l.core.Status().Config
	if len(cfg.Voters) != 3 || len(cfg.Learners) != 3 {
		t.Fatalf("no spares: %+v", cfg)
	}
	if err := l.core.Read(1); err != nil {
		t.Fatal(err)
	}
	for _, m := range l.core.Ready().Early {
		if !cfg.IsVoter(m.To) {
			t.Errorf("%s to a spare", m.Kind)
		}
	}
}

// A spare that is permanently lost must be removed; otherwise each replaced replica leaves one more
// member to which everything is sent.
func TestExpiredSpareIsRemoved(t *testing.T) {
	w := newNetwork(4, 3)
	w.spares = 1
	w.settle(200)
	l := w.leader()
	cfg := l.core.Status().Config
	if len(cfg.Voters) != 3 || len(cfg.Learners) != 1 {
		t.Fatalf("no spare: %+v", cfg)
	}
	lostSpare := w.byID(cfg.Learners[0].ID)
	w.stop(lostSpare)
	w.settle(learnerExpiryTicks - UnresponsiveTicks)
	if got := l.core.Status().Config; len(got.Learners) != 1 {
		t.Fatalf("removed too soon: %+v", got)
	}
	w.settle(2 * UnresponsiveTicks)
	if got := l.core.Status().Config; len(got.Learners) != 0 || len(got.Voters) != 3 {
		t.Fatalf("not removed: %+v", got)
	}
	w.start(lostSpare)
	w.settle(UnresponsiveTicks)
	if got := l.core.Status().Config; len(got.Learners) != 1 {
		t.Fatalf("not added again: %+v", got)
	}
}

// Changes continue while one replica runs but receives nothing from the leader and repeatedly sends
// join requests. A second one loses its disk and returns. If the unreachable replica were replaced as
// unresponsive as well, the set would have four voters. Two more disks lost at once, which five
// replicas tolerate, would leave two of four: callers would be refused permanently, and acknowledged
// changes would be lost.
func TestSetKeepsItsSizeWhileAReplicaIsUnreachable(t *testing.T) {
	w, l := settledNetwork(t, 5)
	others := w.others(l)
	unreachable, wiped := others[0], others[1]
	w.cut[[2]uint64{l.disk.id, unreachable.disk.id}] = true
	requestJoins := func(ticks int) {
		for range ticks {
			l.core.RecordJoinRequest(unreachable.disk.id)
			w.propose(l)
			w.settle(1)
		}
	}
	requestJoins(2 * UnresponsiveTicks)
	w.stop(wiped)
	w.wipe(wiped)
	requestJoins(UnresponsiveTicks)
	w.start(wiped)
	requestJoins(3 * UnresponsiveTicks)
	cfg := l.core.Status().Config
	if len(cfg.Voters) != 5 || !cfg.IsVoter(unreachable.disk.id) || !cfg.IsVoter(wiped.disk.id) || cfg.Joint() {
		t.Fatalf("the set is not complete: %+v", cfg)
	}
	clear(w.cut)
	w.settle(3 * ElectionTicks)
	for _, r := range others[2:] {
		w.stop(r)
		w.wipe(r)
		w.start(r)
	}
	w.healAndCheck()
	w.fatalOnError(t)
	if got := w.leader().core.Status(); len(got.Config.Voters) != 5 || got.MajorityMargin() != 2 {
		t.Fatalf("the set does not return to its full size: %+v", got)
	}
}

// A voter that sends no responses but still sends join requests is alive: something keeps the leader
// from reaching it. A new replica must not replace it.
func TestVoterThatSendsJoinRequestsIsNotUnresponsive(t *testing.T) {
	w, l := settledNetwork(t, 3)
	unreachable := w.others(l)[0]
	w.isolate(unreachable)
	unresponsiveVoters := func(sendJoins bool) []uint64 {
		for range 2 * UnresponsiveTicks {
			if sendJoins {
				l.core.RecordJoinRequest(unreachable.disk.id)
			}
			w.settle(1)
		}
		return l.core.Status().Unresponsive
	}
	if got := unresponsiveVoters(true); len(got) > 0 {
		t.Errorf("unresponsive despite its join requests: %v", got)
	}
	if got := unresponsiveVoters(false); !slices.Equal(got, []uint64{unreachable.disk.id}) {
		t.Errorf("unresponsive: %v, want %d", got, unreachable.disk.id)
	}
}

// While a voter is being replaced, old and new voters both count: a majority of the new ones may be no
// majority of the old ones, and those could elect another leader or commit other entries.
func TestJointSetNeedsBothMajorities(t *testing.T) {
	joint := Config{Voters: voterSet(1, 2, 3), Learners: voterSet(9)}.Replacing(3, voterSet(9)[0])
	among := func(ids ...uint64) func(uint64) bool {
		return func(id uint64) bool { return slices.Contains(ids, id) }
	}
	cases := []struct {
		ids []uint64
		ok  bool
	}{
		{[]uint64{1, 2}, true},
		{[]uint64{1, 9}, false},
		{[]uint64{1, 3}, false},
		{[]uint64{1, 3, 9}, true},
		{[]uint64{3, 9}, false},
	}
	for _, c := range cases {
		if got := joint.majority(among(c.ids...)); got != c.ok {
			t.Errorf("%v: majority %v", c.ids, got)
		}
		votes := NewCore(1, HardState{}, Snapshot{Config: joint}, nil, rand.New(rand.NewSource(1)))
		votes.votes = make(map[uint64]bool)
		for _, id := range c.ids {
			votes.votes[id] = true
		}
		if got := votes.wonVotes(); got != c.ok {
			t.Errorf("%v: elected %v", c.ids, got)
		}
	}
	five := Config{Voters: voterSet(1, 2, 3, 4, 5)}
	two := five.Replacing(4, voterSet(8)[0])
	two.Voters = append(without(two.Voters, 5), voterSet(9)...)
	if validStep(five, two) {
		t.Error("a step that replaces two voters is accepted")
	}
	if validStep(five, Config{Voters: five.Voters, Old: voterSet(1, 2, 3)}) {
		t.Error("a joint set whose old voters are not the current ones is accepted")
	}
}

// hostState is the state of one host of a small replica set, as seen by the leader.
type hostState int

const (
	hostHealthy hostState = iota
	hostUnresponsive
	hostWipedBehind   // its voter is lost, its new identity is a learner far behind
	hostWipedCaughtUp // the same, caught up
	hostStates
)

// modelStatus builds the leader's status of a set in which each host but the leader's has a state. If
// newReplica is set, there is also a caught-up learner on another host. identities holds the IDs that
// exist: a host that does not respond may be alive.
func modelStatus(states []hostState, newReplica bool) (st Status, identities map[uint64]bool) {
	st = Status{ID: 1, Role: Leader, Last: 1000, Match: make(map[uint64]uint64)}
	identities = map[uint64]bool{1: true}
	learner := func(of Replica, match uint64) {
		of.ID += 100
		st.Config.Learners = append(st.Config.Learners, of)
		st.Match[of.ID] = match
		identities[of.ID] = true
	}
	for i := range len(states) + 1 {
		v := voterSet(uint64(i + 1))[0]
		st.Config.Voters = append(st.Config.Voters, v)
		if i == 0 {
			continue
		}
		switch states[i-1] {
		case hostHealthy:
			st.Match[v.ID] = st.Last
			identities[v.ID] = true
		case hostUnresponsive:
			st.Unresponsive = append(st.Unresponsive, v.ID)
			identities[v.ID] = true
		case hostWipedBehind, hostWipedCaughtUp:
			st.Unresponsive = append(st.Unresponsive, v.ID)
			learner(v, map[hostState]uint64{hostWipedBehind: 1, hostWipedCaughtUp: st.Last}[states[i-1]])
		}
	}
	if newReplica {
		learner(voterSet(50)[0], st.Last)
	}
	return st, identities
}

// overlap reports whether every majority of one configuration shares a member with every majority of
// the other.
func overlap(a, b Config) bool {
	var ids []uint64
	for _, r := range append(a.Members(), b.Members()...) {
		if !slices.Contains(ids, r.ID) {
			ids = append(ids, r.ID)
		}
	}
	within := func(bits int) func(uint64) bool {
		return func(id uint64) bool { return bits>>slices.Index(ids, id)&1 == 1 }
	}
	for bits := range 1 << len(ids) {
		// The complement is the largest set that has no member in common with bits.
		if a.majority(within(bits)) && b.majority(within(^bits)) {
			return false
		}
	}
	return true
}

// Covers all sets of three and five in every state of their hosts. The repair steps, one after the
// other, must keep overlapping majorities, must not lower the number of tolerated losses, and must end
// with a set of full size that has no unresponsive voter which a learner could replace.
func TestEveryRepairOfASmallSet(t *testing.T) {
	for _, n := range []int{3, 5} {
		tolerance := (n - 1) / 2
		total := 1
		for range n - 1 {
			total *= int(hostStates)
		}
		for code := range 2 * total {
			var states []hostState
			for c, i := code/2, 0; i < n-1; i++ {
				states = append(states, hostState(c%int(hostStates)))
				c /= int(hostStates)
			}
			st, identities := modelStatus(states, code%2 == 1)
			checkRepair(t, states, st, identities, tolerance)
		}
	}
}

func checkRepair(t *testing.T, states []hostState, st Status, identities map[uint64]bool, tolerance int) {
	t.Helper()
	exists := func(id uint64) bool { return identities[id] }
	const mostSteps = 10
	for step := 0; ; step++ {
		next, ok := nextStep(st, tolerance)
		if st.Config.Joint() {
			next, ok = st.Config.Settled(), true
		}
		if !ok {
			break
		}
		if step == mostSteps {
			t.Fatalf("%v: the repair does not end: %+v", states, next)
		}
		if !validStep(st.Config, next) || !overlap(st.Config, next) {
			t.Fatalf("%v: majorities may not overlap: %+v to %+v", states, st.Config, next)
		}
		before, after := st.Config.MajorityMargin(exists), next.MajorityMargin(exists)
		if after < min(before, tolerance) {
			t.Fatalf("%v: tolerated losses change from %d to %d: %+v to %+v", states, before, after, st.Config, next)
		}
		st.Config = next
		st.Unresponsive = slices.DeleteFunc(st.Unresponsive, func(id uint64) bool { return !next.IsVoter(id) })
	}
	full := len(st.Config.Voters) == VotersFor(tolerance)
	for _, l := range st.Config.Learners {
		if st.CaughtUp(l) && (!full || len(st.Unresponsive) > 0) {
			t.Errorf("%v: %d has caught up but is no voter, although %v are unresponsive: %+v", states, l.ID, st.Unresponsive, st.Config)
		}
	}
}
