package control

import (
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/quorum"
)

func replicaNamed(id uint64, name string) quorum.Replica {
	return quorum.Replica{ID: id, Name: name, Address: name}
}

// One of three replicas stops answering, returns without its disk and is replaced. Meanwhile the
// status must show since when and why the set tolerates no loss, and nothing once it is complete.
func TestShortageReportsSinceWhenAndWhy(t *testing.T) {
	a, b, c, again := replicaNamed(1, "a"), replicaNamed(2, "b"), replicaNamed(3, "c"), replicaNamed(9, "c")
	complete := quorum.Config{Voters: []quorum.Replica{a, b, c}}
	status := func(cfg quorum.Config, match map[uint64]uint64) quorum.Status {
		return quorum.Status{ID: 1, Role: quorum.Leader, Last: 100, Config: cfg, Match: match}
	}
	begun := time.Date(2030, 1, 1, 8, 0, 0, 0, time.UTC)
	w := &replicaSetMonitor{}
	steps := []struct {
		name      string
		st        quorum.Status
		tolerated int
		why       string // empty for no shortage
	}{
		{"all answer", status(complete, map[uint64]uint64{2: 100, 3: 100}), 1, ""},
		{"c stops answering", status(complete, map[uint64]uint64{2: 100}), 0, "c does not answer"},
		{"c is back empty", status(complete.WithLearner(again), map[uint64]uint64{2: 100, 9: 40}), 0, "c does not answer; c has 40 of 100 entries"},
		{"c is being replaced", status(complete.WithLearner(again).Replacing(3, again), map[uint64]uint64{2: 100, 9: 100}), 0, "c is being replaced"},
		{"c is replaced", status(complete.WithLearner(again).Replacing(3, again).Settled(), map[uint64]uint64{2: 100, 9: 100}), 1, ""},
		{"a set of two", status(complete.Without(3), map[uint64]uint64{2: 100}), 0, "2 voters of 3"},
	}
	for i, s := range steps {
		counted := shortages.Get()
		w.observe(s.st, 1, begun.Add(time.Duration(i)*time.Second))
		got := w.current()
		switch {
		case s.why == "" && got != nil:
			t.Errorf("%s: short: %v", s.name, got)
		case s.why != "" && (got == nil || got.Why != s.why || got.Tolerated != s.tolerated):
			t.Errorf("%s: %+v", s.name, got)
		}
		if i == 3 && !got.Since.Equal(begun.Add(time.Second)) {
			t.Errorf("since %v, want the time when c stopped answering", got.Since)
		}
		if begins := i == 1 || i == 5; (shortages.Get() > counted) != begins {
			t.Errorf("%s: counted %v", s.name, shortages.Get()-counted)
		}
	}
	w.observe(quorum.Status{Role: quorum.Follower}, 1, begun)
	if w.current() != nil {
		t.Error("a replica that doesn't lead reports a shortage")
	}
}
