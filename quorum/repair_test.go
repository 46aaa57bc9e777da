package quorum

import (
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
// and with the old one taken out first one voter less until the next step.
func TestNewcomerTakesAPlaceInOneStep(t *testing.T) {
	three := Config{Voters: voterSet(1, 2, 3)}
	newcomer := Replica{ID: 9, Name: "new", Address: "NEW"}
	cases := []struct {
		name     string
		learners []Replica
		silent   []uint64
		bear     int
		replaced uint64 // 0 for none: the learner is added
	}{
		{"all answer", []Replica{newcomer}, nil, 1, 0},
		{"one is gone", []Replica{newcomer}, []uint64{2}, 1, 2},
		{"one is gone, but the set is below its size", []Replica{newcomer}, []uint64{2}, 2, 0},
		{"same address, empty disk", []Replica{{ID: 9, Name: "seed", Address: "D"}}, nil, 1, 3},
		{"same name, other address", []Replica{{ID: 9, Name: "b", Address: "NEW"}}, []uint64{3}, 1, 1},
		{"the silent one's own successor is still catching up", []Replica{newcomer, {ID: 8, Name: "c", Address: "C"}}, []uint64{2}, 1, 0},
	}
	for _, c := range cases {
		cfg := three
		for _, l := range c.learners {
			cfg = cfg.WithLearner(l)
		}
		st := statusOf(cfg, c.silent...)
		delete(st.Match, 8)
		next, ok := nextStep(st, c.bear)
		if !ok || !next.IsVoter(9) || !validStep(cfg, next) {
			t.Errorf("%s: no step to a voter: %+v", c.name, next)
			continue
		}
		_, stays := find(next.Voters, c.replaced)
		if c.replaced == 0 && (next.Joint() || len(next.Voters) != 4) {
			t.Errorf("%s: it was to be added: %+v", c.name, next)
		}
		if c.replaced != 0 && (stays || len(next.Voters) != 3 || !slices.Equal(next.Old, three.Voters)) {
			t.Errorf("%s: it was to take the place of %d: %+v", c.name, c.replaced, next)
		}
	}
}

// After a planned replacement the newcomer is the fourth voter and the old one goes
// silent for good. A set of four bears one loss like a set of three, but the silent
// one is that loss already: it must go. It stays where the rest would bear less than
// it must, as in a set of five that has a place to fill.
func TestSilentVoterGoesOnlyWhereTheRestBearsEnough(t *testing.T) {
	four := Config{Voters: voterSet(1, 2, 3, 4)}
	if next, ok := nextStep(statusOf(four, 3), 1); !ok || next.IsVoter(3) || len(next.Voters) != 3 {
		t.Errorf("voter 3 stays: %+v", next)
	}
	stays := []struct {
		name   string
		set    Config
		silent []uint64
		bear   int
	}{
		{"all answer", four, nil, 1},
		{"a set of three", four.Without(4), []uint64{3}, 1},
		{"a set of four that must bear two losses", four, []uint64{3}, 2},
		{"two of six are silent", Config{Voters: voterSet(1, 2, 3, 4, 5, 6)}, []uint64{5, 6}, 2},
		{"its host comes back as a learner", four.WithLearner(Replica{ID: 9, Name: "d"}), []uint64{3}, 1},
	}
	for _, c := range stays {
		st := statusOf(c.set, c.silent...)
		delete(st.Match, 9)
		if next, ok := nextStep(st, c.bear); ok {
			t.Errorf("%s: took the step to %+v", c.name, next)
		}
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
