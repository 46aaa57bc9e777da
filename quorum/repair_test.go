package quorum

import (
	"math/rand"
	"slices"
	"testing"
)

// voterSet returns replicas with the given identities, each on a host of its own.
func voterSet(ids ...uint64) []Replica {
	var out []Replica
	for _, id := range ids {
		out = append(out, Replica{ID: id, Name: string(rune('a' + id)), Address: string(rune('A' + id))})
	}
	return out
}

// statusOf is a leader's status in which all but the silent answer and lack nothing.
func statusOf(c Config, silent ...uint64) Status {
	st := Status{ID: c.Voters[0].ID, Role: Leader, Last: 10, Config: c, Silent: silent, Match: make(map[uint64]uint64)}
	for _, r := range c.Members() {
		if r.ID != st.ID && !slices.Contains(silent, r.ID) {
			st.Match[r.ID] = 10
		}
	}
	return st
}

// A host of the replica set is replaced by an empty one at another address, or comes
// back with an empty disk. The newcomer must take the place of the one that is gone,
// and nobody else's: left beside it, the set would have a voter that never answers,
// and with the old one taken out first one voter less until the next step. Where nobody
// is gone it stays a spare.
func TestNewcomerTakesAPlaceInOneStep(t *testing.T) {
	three := Config{Voters: voterSet(1, 2, 3)}
	newcomer := Replica{ID: 9, Name: "new", Address: "NEW"}
	const added, spare = 100, 101
	cases := []struct {
		name     string
		learners []Replica
		silent   []uint64
		bear     int
		place    uint64 // whose it takes
	}{
		{"all answer", []Replica{newcomer}, nil, 1, spare},
		{"one is gone", []Replica{newcomer}, []uint64{2}, 1, 2},
		{"one is gone, but the set is below its size", []Replica{newcomer}, []uint64{2}, 2, added},
		{"same address, empty disk", []Replica{{ID: 9, Name: "seed", Address: "D"}}, nil, 1, 3},
		{"same name, other address", []Replica{{ID: 9, Name: "b", Address: "NEW"}}, []uint64{3}, 1, 1},
		{"the silent one's own successor is still catching up", []Replica{newcomer, {ID: 8, Name: "c", Address: "C"}}, []uint64{2}, 1, 2},
		{"a successor that has caught up goes first", []Replica{newcomer, {ID: 7, Name: "c", Address: "C"}}, []uint64{3, 2}, 1, 2},
		{"the successor of one that answers is no spare", []Replica{{ID: 8, Name: "c", Address: "C"}}, []uint64{3}, 1, spare},
	}
	for _, c := range cases {
		cfg := three
		for _, l := range c.learners {
			cfg = cfg.WithLearner(l)
		}
		st := statusOf(cfg, c.silent...)
		delete(st.Match, 8) // which is catching up
		next, ok := nextStep(st, c.bear)
		if c.place == spare {
			if ok {
				t.Errorf("%s: took the step to %+v", c.name, next)
			}
			continue
		}
		if !ok || !validStep(cfg, next) {
			t.Errorf("%s: no step to a voter: %+v", c.name, next)
			continue
		}
		_, stays := find(next.Voters, c.place)
		if c.place == added && (!next.IsVoter(9) || next.Joint() || len(next.Voters) != 4) {
			t.Errorf("%s: it was to be added: %+v", c.name, next)
		}
		if c.place != added && (stays || len(next.Voters) != 3 || !slices.Equal(next.Old, three.Voters)) {
			t.Errorf("%s: it was to take the place of %d: %+v", c.name, c.place, next)
		}
	}
}

// A set of four bears one loss like a set of three, but a voter that has gone silent for
// good is that loss already: it must go. It stays where the rest would bear less than
// it must, as in a set of five that has a place to fill.
func TestSilentVoterGoesOnlyWhereTheRestBearsEnough(t *testing.T) {
	four := Config{Voters: voterSet(1, 2, 3, 4)}
	if next, ok := nextStep(statusOf(four, 3), 1); !ok || next.IsVoter(3) || len(next.Voters) != 3 || len(next.Learners) > 0 {
		t.Errorf("voter 3 stays: %+v", next)
	}
	stays := []struct {
		name   string
		set    Config
		silent []uint64
		bear   int
	}{
		{"a set of three", four.Without(4), []uint64{3}, 1},
		{"a set of four that must bear two losses", four, []uint64{3}, 2},
		{"two of six are silent", Config{Voters: voterSet(1, 2, 3, 4, 5, 6)}, []uint64{5, 6}, 2},
		{"three of seven are silent", Config{Voters: voterSet(1, 2, 3, 4, 5, 6, 7)}, []uint64{5, 6, 7}, 2},
	}
	for _, c := range stays {
		if next, ok := nextStep(statusOf(c.set, c.silent...), c.bear); ok {
			t.Errorf("%s: took the step to %+v", c.name, next)
		}
	}
}

// A set of before, in which every replica votes, becomes one of its full size while it
// serves: each commit is sent to half as many. Nobody is lost by it, and the voters that
// stay are spread.
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

// Two voters in one data centre are lost with it: where a spare stands in a data centre
// without any, it takes the vote of one of them, unless a voter is missing already.
func TestVotesAreSpreadOverDataCentres(t *testing.T) {
	in := func(id uint64, dc string) Replica {
		r := voterSet(id)[0]
		r.DataCentre = dc
		return r
	}
	cases := []struct {
		name   string
		voters []Replica
		spare  Replica
		silent []uint64
		moves  uint64 // 0 for none
	}{
		{"two in one", []Replica{in(1, "x"), in(2, "y"), in(3, "y")}, in(4, "z"), nil, 2},
		{"the leader's own", []Replica{in(1, "y"), in(2, "x"), in(3, "y")}, in(4, "z"), nil, 3},
		{"already spread", []Replica{in(1, "x"), in(2, "y"), in(3, "z")}, in(4, "w"), nil, 0},
		{"no better there", []Replica{in(1, "x"), in(2, "y"), in(3, "y")}, in(4, "x"), nil, 0},
		{"not known where", []Replica{in(1, "x"), in(2, "y"), in(3, "y")}, in(4, ""), nil, 0},
		{"the spare is behind", []Replica{in(1, "x"), in(2, "y"), in(3, "y")}, in(4, "z"), []uint64{4}, 0},
	}
	for _, c := range cases {
		cfg := Config{Voters: c.voters}.WithLearner(c.spare)
		next, ok := nextStep(statusOf(cfg, c.silent...), 1)
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

// Reads come many a second, and each needs a majority's word: spares have none, and as many
// messages to each of them would cost the leader more than the voters do.
func TestReadsAskVotersOnly(t *testing.T) {
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

// A spare that is gone for good is forgotten, else each replaced replica leaves one more
// that everything is sent to.
func TestSpareThatIsGoneIsForgotten(t *testing.T) {
	w := newNetwork(4, 3)
	w.spares = 1
	w.settle(200)
	l := w.leader()
	cfg := l.core.Status().Config
	if len(cfg.Voters) != 3 || len(cfg.Learners) != 1 {
		t.Fatalf("no spare: %+v", cfg)
	}
	gone := w.byID(cfg.Learners[0].ID)
	w.stop(gone)
	w.settle(goneTicks - SilentTicks)
	if got := l.core.Status().Config; len(got.Learners) != 1 {
		t.Fatalf("forgotten too soon: %+v", got)
	}
	w.settle(2 * SilentTicks)
	if got := l.core.Status().Config; len(got.Learners) != 0 || len(got.Voters) != 3 {
		t.Fatalf("still there: %+v", got)
	}
	w.start(gone)
	w.settle(SilentTicks)
	if got := l.core.Status().Config; len(got.Learners) != 1 {
		t.Fatalf("not let in again: %+v", got)
	}
}

// Changes go on while one replica is up but hears nothing from the leader, and asks
// to be let in again and again. A second one loses its disk and comes back. If the
// newcomer took out the replica that can't hear as well, as silent, the set would
// have four voters; two more disks lost at once, which five replicas bear, would leave
// two of four: callers would be refused for good, and what was acknowledged be lost.
func TestSetKeepsItsSizeWhileAReplicaCannotHear(t *testing.T) {
	w, l := settled(t, 5)
	others := w.others(l)
	deaf, wiped := others[0], others[1]
	w.cut[[2]uint64{l.disk.id, deaf.disk.id}] = true
	ask := func(ticks int) {
		for range ticks {
			l.core.Asked(deaf.disk.id)
			w.propose(l)
			w.settle(1)
		}
	}
	ask(2 * SilentTicks)
	w.stop(wiped)
	w.wipe(wiped)
	ask(SilentTicks)
	w.start(wiped)
	ask(3 * SilentTicks)
	cfg := l.core.Status().Config
	if len(cfg.Voters) != 5 || !cfg.IsVoter(deaf.disk.id) || !cfg.IsVoter(wiped.disk.id) || cfg.Joint() {
		t.Fatalf("the set is not whole: %+v", cfg)
	}
	clear(w.cut)
	w.settle(3 * ElectionTicks)
	for _, r := range others[2:] {
		w.stop(r)
		w.wipe(r)
		w.start(r)
	}
	w.finish()
	w.fatalOnError(t)
	if got := w.leader().core.Status(); len(got.Config.Voters) != 5 || got.Spare() != 2 {
		t.Fatalf("the set does not return to its full size: %+v", got)
	}
}

// A voter that answers nothing and still asks to be let in is alive: something keeps the
// leader from reaching it. A newcomer must not take its place.
func TestVoterThatAsksIsNotSilent(t *testing.T) {
	w, l := settled(t, 3)
	deaf := w.others(l)[0]
	w.isolate(deaf)
	silent := func(asks bool) []uint64 {
		for range 2 * SilentTicks {
			if asks {
				l.core.Asked(deaf.disk.id)
			}
			w.settle(1)
		}
		return l.core.Status().Silent
	}
	if got := silent(true); len(got) > 0 {
		t.Errorf("silent though it asks: %v", got)
	}
	if got := silent(false); !slices.Equal(got, []uint64{deaf.disk.id}) {
		t.Errorf("silent: %v, want %d", got, deaf.disk.id)
	}
}

// While a voter is replaced, old and new voters both count: three of the new ones may be
// no majority of the old ones, and those could elect another leader, or commit something
// else.
func TestJointSetNeedsBothMajorities(t *testing.T) {
	joint := Config{Voters: voterSet(1, 2, 3), Learners: voterSet(9)}.Replacing(3, voterSet(9)[0])
	answers := func(ids ...uint64) func(uint64) bool {
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
		if got := joint.majority(answers(c.ids...)); got != c.ok {
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
		t.Error("two voters are replaced in one step")
	}
	if validStep(five, Config{Voters: five.Voters, Old: voterSet(1, 2, 3)}) {
		t.Error("a joint set whose old voters aren't the present ones")
	}
}

// hostState is one host of a small replica set, as the leader sees it.
type hostState int

const (
	sound hostState = iota
	unheard
	wipedBehind // its voter is gone, its new identity a learner that lacks much
	wipedReady  // the same, caught up
	hostStates
)

// modelled builds the leader's status of a set in which each host but the leader's has a
// state, and a newcomer of another host may be ready. there holds the identities that
// exist: a host that is not heard may be alive.
func modelled(states []hostState, newcomer bool) (st Status, there map[uint64]bool) {
	st = Status{ID: 1, Role: Leader, Last: 1000, Match: make(map[uint64]uint64)}
	there = map[uint64]bool{1: true}
	learner := func(of Replica, match uint64) {
		of.ID += 100
		st.Config.Learners = append(st.Config.Learners, of)
		st.Match[of.ID] = match
		there[of.ID] = true
	}
	for i := range len(states) + 1 {
		v := voterSet(uint64(i + 1))[0]
		st.Config.Voters = append(st.Config.Voters, v)
		if i == 0 {
			continue
		}
		switch states[i-1] {
		case sound:
			st.Match[v.ID] = st.Last
			there[v.ID] = true
		case unheard:
			st.Silent = append(st.Silent, v.ID)
			there[v.ID] = true
		case wipedBehind, wipedReady:
			st.Silent = append(st.Silent, v.ID)
			learner(v, map[hostState]uint64{wipedBehind: 1, wipedReady: st.Last}[states[i-1]])
		}
	}
	if newcomer {
		learner(voterSet(50)[0], st.Last)
	}
	return st, there
}

// overlap reports whether every majority of one set has a member in common with every
// majority of another.
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
		// The rest is the largest set that has nothing in common with bits.
		if a.majority(within(bits)) && b.majority(within(^bits)) {
			return false
		}
	}
	return true
}

// All small sets of three and five, in every state of their hosts: the repair's steps,
// one after the other, keep majorities that overlap, bear as many losses as before at
// each of them, and end with a set of its full size in which every voter is heard whose
// place a learner could take.
func TestEveryRepairOfASmallSet(t *testing.T) {
	for _, n := range []int{3, 5} {
		bear := (n - 1) / 2
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
			st, there := modelled(states, code%2 == 1)
			checkRepair(t, states, st, there, bear)
		}
	}
}

func checkRepair(t *testing.T, states []hostState, st Status, there map[uint64]bool, bear int) {
	t.Helper()
	exists := func(id uint64) bool { return there[id] }
	const mostSteps = 10
	for step := 0; ; step++ {
		next, ok := nextStep(st, bear)
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
		before, after := st.Config.Spare(exists), next.Spare(exists)
		if after < min(before, bear) {
			t.Fatalf("%v: from %d to %d losses borne: %+v to %+v", states, before, after, st.Config, next)
		}
		st.Config = next
		st.Silent = slices.DeleteFunc(st.Silent, func(id uint64) bool { return !next.IsVoter(id) })
	}
	full := len(st.Config.Voters) == FullSize(bear)
	for _, l := range st.Config.Learners {
		if st.CaughtUp(l) && (!full || len(st.Silent) > 0) {
			t.Errorf("%v: %d is ready and no voter, though %v are silent: %+v", states, l.ID, st.Silent, st.Config)
		}
	}
}
