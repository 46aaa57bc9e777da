package quorum

import (
	"math/rand"
	"slices"
	"testing"
)

// settledNetwork returns a group of n voters and its leader.
func settledNetwork(t *testing.T, n int) (*network, *fakeReplica) {
	t.Helper()
	w := newNetwork(n, 3)
	w.settle(200)
	l := w.leader()
	if l == nil || len(l.core.Status().Config.Voters) != n {
		t.Fatalf("no settled group: %s", w.log.String())
	}
	return w, l
}

func (w *network) others(r *fakeReplica) []*fakeReplica {
	var out []*fakeReplica
	for _, o := range w.replicas {
		if o != r {
			out = append(out, o)
		}
	}
	return out
}

func (w *network) isolate(r *fakeReplica) {
	for _, o := range w.others(r) {
		w.cut[[2]uint64{r.disk.id, o.disk.id}] = true
		w.cut[[2]uint64{o.disk.id, r.disk.id}] = true
	}
}

func (w *network) fatalOnError(t *testing.T) {
	t.Helper()
	if len(w.errors) > 0 {
		t.Fatal(w.errors[0])
	}
}

// A leader is cut off without notice; the others elect a new one and accept a change. A read at the
// old leader must not return its state as current: the read needs echoes from a majority, which it
// does not get, and the leader steps down within one election timeout.
func TestCutOffLeaderConfirmsNothing(t *testing.T) {
	w, old := settledNetwork(t, 3)
	w.inFlight = nil
	w.isolate(old)
	old.core.Read(77)
	old.reads[77] = 0
	rd := old.core.Ready()
	if len(rd.Reads) != 0 {
		t.Fatal("a read was confirmed by the leader alone")
	}
	index, _, _ := old.core.Propose([]byte("lost"))
	for range 3 * ElectionTicks {
		old.core.Tick()
	}
	if st := old.core.Status(); st.Role == Leader || st.InContact || st.Commit >= index {
		t.Fatalf("the cut off leader still leads: %+v", st)
	}
}

// An entry of an older term reaches a majority only under a later leader. If it were committed by
// counting copies, a third replica with a newer log could still win and replace it: an acknowledged
// change would be lost.
func TestOlderTermIsNotCommittedByCounting(t *testing.T) {
	voters := Config{Voters: []Replica{{ID: 1}, {ID: 2}, {ID: 3}}}
	entries := []Entry{{Index: 1, Term: 1, Kind: EntryConfig, Data: encodeConfig(voters)}, {Index: 2, Term: 2, Kind: EntryCommand, Data: []byte("old")}}
	c := NewCore(1, HardState{Term: 3, Vote: 1, Commit: 1}, Snapshot{}, entries, rand.New(rand.NewSource(1)))
	c.role, c.term, c.vote = Candidate, 4, 1
	c.votes = map[uint64]bool{1: true, 2: true}
	c.becomeLeader()
	c.Ready()
	c.Step(Message{Kind: MsgAppendResp, From: 2, To: 1, Term: 4, Index: 2})
	if c.log.committed != 1 {
		t.Fatalf("committed %d by counting an older term", c.log.committed)
	}
	c.Persisted(3, 4)
	c.Step(Message{Kind: MsgAppendResp, From: 2, To: 1, Term: 4, Index: 3})
	if c.log.committed != 3 {
		t.Fatalf("committed %d, want 3 with an entry of this term", c.log.committed)
	}
}

// The leader sends its entries before its own disk is synced. One follower's response plus the
// leader's unsynced copy must not count as a majority: a crash of the leader would leave the change on
// one disk of three. The same holds for an index that was synced once but with an entry that has
// been replaced.
func TestUnsyncedCopyDoesNotCount(t *testing.T) {
	w, l := settledNetwork(t, 3)
	index, term, _ := l.core.Propose([]byte("x"))
	l.core.Ready()
	follower := w.others(l)[0].disk.id
	l.core.Step(Message{Kind: MsgAppendResp, From: follower, To: l.disk.id, Term: term, Index: index})
	if l.core.log.committed >= index {
		t.Fatal("committed on one disk")
	}
	l.core.Persisted(index, term)
	if l.core.log.committed < index {
		t.Fatal("not committed on two disks")
	}
	f := w.others(l)[1].core
	f.persisted = f.log.last()
	last := f.log.last()
	f.Step(Message{Kind: MsgAppend, From: l.disk.id, To: f.id, Term: term + 1, Index: last, LogTerm: f.log.lastTerm(), Entries: []Entry{{Index: last + 1, Term: term + 1}}})
	f.Ready()
	f.Persisted(last+1, term+1)
	f.Step(Message{Kind: MsgAppend, From: 99, To: f.id, Term: term + 2, Index: last, LogTerm: term, Entries: []Entry{{Index: last + 1, Term: term + 2}}})
	if f.persisted > last {
		t.Fatal("a replaced entry still counts as synced")
	}
}

// A single voter wins its election without receiving votes. If it sent messages before its new term is
// synced, a crash could lose the term, and it would lead the same term again with other entries at the
// same indexes: learners would diverge.
func TestNoMessageIsSentBeforeTheTermIsSynced(t *testing.T) {
	cfg := Config{Voters: []Replica{{ID: 1}}, Learners: []Replica{{ID: 2}}}
	entries := []Entry{{Index: 1, Term: 1, Kind: EntryConfig, Data: encodeConfig(cfg)}}
	c := NewCore(1, HardState{Term: 1, Vote: 1, Commit: 1}, Snapshot{}, entries, rand.New(rand.NewSource(1)))
	c.campaign(false)
	rd := c.Ready()
	if c.role != Leader || len(rd.Early) > 0 || len(rd.Messages) == 0 || rd.HardState == nil {
		t.Fatalf("early messages in an unsynced term: %+v", rd)
	}
}

// Changing two voters at once, or a second one before the first change is committed, can create two
// majorities that do not overlap, and so two leaders in one term. A repair that an operator requests
// during another one must wait.
func TestReplicaSetChangesOneStepAtATime(t *testing.T) {
	_, l := settledNetwork(t, 3)
	cfg := l.core.Status().Config
	two := cfg.WithVoter(Replica{ID: 50, Name: "x"}).WithVoter(Replica{ID: 51, Name: "y"})
	if err := l.core.ProposeConfig(two); err != ErrConfig {
		t.Fatalf("two voters at once: %v", err)
	}
	if err := l.core.ProposeConfig(cfg.WithVoter(Replica{ID: 50, Name: "x"})); err != nil {
		t.Fatal(err)
	}
	if err := l.core.ProposeConfig(cfg); err != ErrBusy {
		t.Fatalf("a second change before the first was committed: %v", err)
	}
	fresh := NewCore(1, HardState{Term: 1, Vote: 1, Commit: 1}, Snapshot{}, []Entry{{Index: 1, Term: 1, Kind: EntryConfig,
		Data: encodeConfig(Config{Voters: []Replica{{ID: 1}, {ID: 2}}})}}, rand.New(rand.NewSource(1)))
	fresh.role, fresh.term = Candidate, 2
	fresh.becomeLeader()
	if err := fresh.ProposeConfig(Config{Voters: []Replica{{ID: 1}}}); err != ErrBusy {
		t.Fatalf("a change before an entry of this term is committed: %v", err)
	}
}

// A replica loses its disk and returns empty. It must become a learner under a new identity, and a
// voter only once it responds and has caught up. Then a second replica loses its disk right after
// the repair. No acknowledged command may be lost, and no vote may be counted twice.
func TestSecondDiskLostRightAfterRepair(t *testing.T) {
	w, l := settledNetwork(t, 3)
	for range 200 {
		w.propose(l)
		w.settle(1)
	}
	for round := range 4 {
		victim := w.others(w.leader())[round%2]
		before := victim.disk.id
		w.stop(victim)
		w.wipe(victim)
		w.start(victim)
		if victim.disk.id == before {
			t.Fatal("a lost disk kept its identity")
		}
		w.joinAll()
		if w.leader().core.Status().Config.IsVoter(victim.disk.id) {
			t.Fatal("an empty replica was made a voter")
		}
		w.settle(60)
		if !w.leader().core.Status().Config.IsVoter(victim.disk.id) || w.leader().core.Status().Config.IsVoter(before) {
			t.Fatalf("round %d: not repaired: %+v", round, w.leader().core.Status().Config)
		}
	}
	w.checkAll()
	w.fatalOnError(t)
}

// The leader knows of nothing on the disk of a learner that never responded. As a voter it could cost
// the leader its majority; callers would get "no quorum" until it responds.
func TestUnresponsiveLearnerIsNotPromoted(t *testing.T) {
	st := Status{Last: 10, Match: map[uint64]uint64{1: 10}, Config: Config{Voters: []Replica{{ID: 1}}, Learners: []Replica{{ID: 2}}}}
	if st.CaughtUp(Replica{ID: 2}) {
		t.Fatal("a learner that never responded counts as caught up")
	}
	st.Match[2], st.Last = 10, 1000
	if st.CaughtUp(Replica{ID: 2}) {
		t.Fatal("a learner far behind counts as caught up")
	}
}

// A replica is down while thousands of changes are committed and the log is compacted. It must catch up
// by a snapshot in chunks, although some of them are lost.
func TestFarBehindReplicaCatchesUpBySnapshot(t *testing.T) {
	w, l := settledNetwork(t, 3)
	lagging := w.others(l)[0]
	w.stop(lagging)
	for range 3000 {
		w.propose(l)
		if len(w.inFlight) > 50 {
			w.settle(1)
		}
	}
	w.settle(5)
	w.compact(w.leader())
	w.start(lagging)
	for i := range 40 {
		w.settle(2)
		if i%3 == 0 {
			w.inFlight = nil
		}
	}
	w.settle(40)
	if len(lagging.applied) != 3000 || lagging.core.log.base == 0 {
		t.Fatalf("applied %d of 3000, base %d", len(lagging.applied), lagging.core.log.base)
	}
	w.checkAll()
	w.fatalOnError(t)
}

// The leadership is transferred when an instance shuts down: the next leader must be elected after one
// round of messages and not after an election timeout.
func TestLeadershipTransferNeedsNoElectionTimeout(t *testing.T) {
	w, l := settledNetwork(t, 3)
	to := w.others(l)[1]
	if err := l.core.Transfer(to.disk.id); err != nil {
		t.Fatal(err)
	}
	if _, _, err := l.core.Propose(nil); err != ErrBusy {
		t.Fatalf("a proposal during the transfer: %v", err)
	}
	w.process(l)
	for range 40 {
		if len(w.inFlight) > 0 {
			w.deliver(0)
		}
	}
	if to.core.role != Leader {
		t.Fatalf("%s does not lead", to.name)
	}
	w.fatalOnError(t)
}

// A follower is frozen while changes are committed. When it resumes, it rejects all queued appends. If
// the leader resent the whole missing tail for each rejection, its memory and link would fill with
// copies and callers would be delayed.
func TestQueuedRejectionsDoNotResendTheLogTail(t *testing.T) {
	w, l := settledNetwork(t, 3)
	frozen := w.others(l)[0]
	w.isolate(frozen)
	const missing = 200
	for range missing {
		if _, _, err := l.core.Propose([]byte("a change")); err != nil {
			t.Fatal(err)
		}
	}
	w.settle(3)
	term := l.core.Status().Term
	sent := 0
	count := func(rd Ready) {
		for _, m := range append(rd.Early, rd.Messages...) {
			if m.To == frozen.disk.id {
				sent += len(m.Entries)
			}
		}
	}
	has := frozen.core.Status().Last
	for i := range 50 {
		l.core.Step(Message{Kind: MsgAppendResp, From: frozen.disk.id, To: l.disk.id, Term: term, Reject: true,
			Index: has, Prev: has + missing - uint64(i)})
		count(l.core.Ready())
	}
	if sent > 0 {
		t.Fatalf("%d entries were sent before the replica accepted any place in the log", sent)
	}
	l.core.Step(Message{Kind: MsgAppendResp, From: frozen.disk.id, To: l.disk.id, Term: term, Index: has})
	count(l.core.Ready())
	if sent < missing || sent > 2*missing {
		t.Fatalf("%d entries were sent for %d missing ones", sent, missing)
	}
}

// Three replicas start with empty disks and the same seeds. A single one must not commit anything; any
// two must be able to.
func TestSeedsFormOneSetAndNoneCommitsAlone(t *testing.T) {
	set := Config{Voters: []Replica{{ID: 1}, {ID: 3}, {ID: 5}}}
	cores := make(map[uint64]*Core)
	for _, v := range set.Voters {
		c := NewCore(v.ID, HardState{}, Snapshot{}, nil, rand.New(rand.NewSource(int64(v.ID))))
		if err := c.BootstrapSet(set); err != nil {
			t.Fatal(err)
		}
		if err := c.BootstrapSet(set); err == nil {
			t.Fatal("a set was formed twice")
		}
		cores[v.ID] = c
	}
	run := func(ids ...uint64) {
		for range 6 * ElectionTicks {
			for _, id := range ids {
				c := cores[id]
				c.Tick()
				rd := c.Ready()
				if n := len(rd.Entries); n > 0 {
					c.Persisted(rd.Entries[n-1].Index, rd.Entries[n-1].Term)
				}
				for _, m := range append(rd.Early, rd.Messages...) {
					for _, to := range ids {
						if m.To == to {
							cores[to].Step(m)
						}
					}
				}
			}
		}
	}
	run(1)
	if st := cores[1].Status(); st.Role == Leader || st.Commit > 0 {
		t.Fatalf("one replica of three leads or has committed alone: %+v", st)
	}
	run(1, 3)
	leaders, committed := 0, 0
	for _, id := range []uint64{1, 3} {
		st := cores[id].Status()
		if st.Role == Leader {
			leaders++
		}
		if st.Commit > 1 {
			committed++
		}
	}
	if leaders != 1 || committed == 0 {
		t.Fatalf("%d leaders, %d of two replicas committed", leaders, committed)
	}
	outsider := NewCore(7, HardState{}, Snapshot{}, nil, rand.New(rand.NewSource(1)))
	if outsider.BootstrapSet(set) == nil {
		t.Fatal("a replica that is no seed formed a set")
	}
}

// The leader sends a snapshot because acknowledgements are late, and the follower's log holds the
// snapshot's last entry and more. If the snapshot replaced the log, entries that the follower has
// acknowledged would be lost, and an entry that the leader committed with its copy could be replaced.
func TestLateSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	cfg := Config{Voters: voterSet(1, 2, 3)}
	entries := []Entry{{Index: 1, Term: 1, Kind: EntryConfig, Data: encodeConfig(cfg)}, {Index: 2, Term: 2, Kind: EntryNoop}}
	c := NewCore(1, HardState{Term: 2, Vote: 2, Commit: 2}, Snapshot{}, entries, rand.New(rand.NewSource(1)))
	c.Step(appendFrom(2, 2, 2, 2, 2, 2))
	if rd := c.Ready(); len(rd.Entries) != 2 || !slices.Equal(acks(rd.Messages), []uint64{4}) {
		t.Fatalf("the append: %+v", rd)
	}
	c.Persisted(4, 2)
	c.Step(Message{Kind: MsgChunk, From: 2, To: 1, Term: 2, Chunk: &Chunk{Index: 3, Term: 2, Config: cfg, Size: 1, Data: []byte{1}}})
	rd := c.Ready()
	if rd.Snapshot != nil || c.log.last() != 4 || c.persisted != 4 {
		t.Fatalf("the snapshot replaces the log: last index %d, synced up to %d, %+v", c.log.last(), c.persisted, rd)
	}
	if got := acks(rd.Messages); !slices.Equal(got, []uint64{3}) || c.log.committed != 3 || c.log.applied != 3 {
		t.Fatalf("acknowledged %v, committed %d, applied %d", got, c.log.committed, c.log.applied)
	}
}

// A snapshot replaces a log whose entry at the snapshot's index is of another term: the entries
// behind it conflict with the leader's, too.
func TestSnapshotReplacesAConflictingLog(t *testing.T) {
	cfg := Config{Voters: voterSet(1, 2, 3)}
	entries := []Entry{{Index: 1, Term: 1, Kind: EntryConfig, Data: encodeConfig(cfg)}, {Index: 2, Term: 2}, {Index: 3, Term: 2}}
	c := NewCore(1, HardState{Term: 3, Commit: 1}, Snapshot{}, entries, rand.New(rand.NewSource(1)))
	c.Step(Message{Kind: MsgChunk, From: 2, To: 1, Term: 3, Chunk: &Chunk{Index: 2, Term: 3, Config: cfg, Size: 1, Data: []byte{1}}})
	if rd := c.Ready(); rd.Snapshot == nil || c.log.last() != 2 || c.log.lastTerm() != 3 {
		t.Fatalf("last index %d of term %d, %+v", c.log.last(), c.log.lastTerm(), rd)
	}
}
