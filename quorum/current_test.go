package quorum

import (
	"math/rand"
	"testing"
)

// A replica that comes back hears the leader at once and lacks seconds of the log. Answering
// from its own copy meanwhile, it would tell agents what was in force long ago.
func TestReplicaThatCatchesUpIsNotCurrent(t *testing.T) {
	l, leader := behind(t, 1500, 1000, true)
	begun := leader.core.log.committed
	for range 400 {
		l.tick()
		if l.to.core.current() && l.to.core.log.applied < begun {
			t.Fatalf("current with %d of %d entries", l.to.core.log.applied, begun)
		}
	}
	if !l.to.core.current() || !l.to.core.leaderFresh() {
		t.Fatal("not current though it has caught up")
	}
}

// A replica that is cut off knows within an election timeout that it may be outdated.
func TestReplicaThatHearsNobodyIsNotCurrent(t *testing.T) {
	w, leader := settled(t, 5)
	cut := w.others(leader)[0]
	if !cut.core.current() {
		t.Fatal("not current in a group at rest")
	}
	w.isolate(cut)
	w.settle(ElectionTicks + HeartbeatTicks + 1)
	if cut.core.current() {
		t.Error("current without a word for an election timeout")
	}
}

// Under load the leader has always committed more than a follower has applied. The follower is
// current all the same: what it lacks is younger than an election timeout.
func TestReplicaIsCurrentUnderLoad(t *testing.T) {
	const behind, ticks = ElectionTicks / 4, 10 * ElectionTicks
	set := Config{Voters: voterSet(1, 2, 3)}
	c := NewCore(1, HardState{Term: 1}, Snapshot{Config: set}, nil, rand.New(rand.NewSource(1)))
	var entries []Entry
	for i := range uint64(ticks + behind) {
		entries = append(entries, Entry{Index: i + 1, Term: 1, Kind: EntryCommand})
	}
	c.Step(Message{Kind: MsgAppend, From: 2, To: 1, Term: 1, Entries: entries})
	for i := range uint64(ticks) {
		c.Tick()
		c.Step(Message{Kind: MsgHeartbeat, From: 2, To: 1, Term: 1, Commit: i, Index: i + behind})
		c.Ready()
		if i > 2*behind && !c.current() {
			t.Fatalf("not current after %d ticks", i)
		}
	}
}

// A new leader doesn't know how far the one before it had come until an entry of its own is
// committed. A follower that lacks the rest must not pass for current by its word.
func TestNewLeaderSaysNothingOfWhatItDoesNotKnow(t *testing.T) {
	_, leader := settled(t, 3)
	if leader.core.everCommitted() == 0 {
		t.Fatal("nothing is known at rest")
	}
	leader.core.term++ // as after an election, before its first commit
	if n := leader.core.everCommitted(); n != 0 {
		t.Errorf("tells %d", n)
	}
}

// Guards against decisions and answers on a state of long ago: a replica that has just been elected,
// after all power was lost, has applied none of what was committed before.
func TestNewLeaderIsCurrentOnlyOnceItHasAppliedWhatWasCommittedBefore(t *testing.T) {
	var log []Entry
	for i := range uint64(10) {
		log = append(log, Entry{Index: i + 1, Term: 1, Kind: EntryCommand})
	}
	set := Config{Voters: voterSet(1, 2, 3)}
	c := NewCore(1, HardState{Term: 1}, Snapshot{Config: set}, log, rand.New(rand.NewSource(1)))
	for c.role != Leader {
		c.Tick()
		for _, m := range c.Ready().Messages {
			switch m.Kind {
			case MsgPreVote:
				c.Step(Message{Kind: MsgPreVoteResp, From: m.To, To: 1, Term: m.Term})
			case MsgVote:
				c.Step(Message{Kind: MsgVoteResp, From: m.To, To: 1, Term: m.Term})
			}
		}
		if c.now > 100*ElectionTicks {
			t.Fatal("it is never elected")
		}
	}
	if c.current() {
		t.Fatalf("current with %d of %d entries applied", c.log.applied, len(log))
	}
	c.Ready()
	c.Persisted(c.log.last(), c.term)
	c.Step(Message{Kind: MsgAppendResp, From: 2, To: 1, Term: c.term, Index: c.log.last()})
	c.Ready()
	if !c.current() || c.log.applied < uint64(len(log)) {
		t.Errorf("current %v with %d entries applied", c.current(), c.log.applied)
	}
}
