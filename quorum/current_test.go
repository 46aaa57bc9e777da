package quorum

import (
	"math/rand"
	"testing"
)

// A returning replica receives heartbeats immediately but lacks seconds of the log. If it counted as
// current, agents would get outdated answers from its state.
func TestReplicaThatCatchesUpIsNotCurrent(t *testing.T) {
	l, leader := startBehind(t, 1500, 1000, true)
	target := leader.core.log.committed
	for range 400 {
		l.tick()
		if l.to.core.current() && l.to.core.log.applied < target {
			t.Fatalf("current with %d of %d entries", l.to.core.log.applied, target)
		}
	}
	if !l.to.core.current() || !l.to.core.hasRecentLeader() {
		t.Fatal("not current though it has caught up")
	}
}

// A replica that is cut off must know within an election timeout that its state may be outdated.
func TestIsolatedReplicaIsNotCurrent(t *testing.T) {
	w, leader := settledNetwork(t, 5)
	isolated := w.others(leader)[0]
	if !isolated.core.current() {
		t.Fatal("a follower of an idle group is not current")
	}
	w.isolate(isolated)
	w.settle(ElectionTicks + HeartbeatTicks + 1)
	if isolated.core.current() {
		t.Error("still current an election timeout after the last heartbeat")
	}
}

// Under load the leader has always committed more than a follower has applied. The follower is still
// current: what it lacks was committed less than an election timeout ago.
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

// A new leader does not know the previous leader's commit index until an entry of its own is
// committed. A follower that lacks the rest must not become current by the new leader's heartbeats.
func TestNewLeaderReportsNoCommitIndexBeforeItsFirstCommit(t *testing.T) {
	_, leader := settledNetwork(t, 3)
	if leader.core.clusterCommit() == 0 {
		t.Fatal("the commit index is unknown in an idle group")
	}
	leader.core.term++ // as after an election, before its first commit
	if n := leader.core.clusterCommit(); n != 0 {
		t.Errorf("reported commit index %d before the first commit", n)
	}
}

// Guards against decisions and answers based on an outdated state: a replica elected right after a
// loss of all power has applied none of the previously committed entries.
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
			t.Fatal("the replica was not elected")
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
