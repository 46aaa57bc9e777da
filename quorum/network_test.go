package quorum

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
)

// fakeDisk holds the state that survives a crash of a replica.
type fakeDisk struct {
	id      uint64
	hard    HardState
	snap    Snapshot
	entries []Entry
}

func (d *fakeDisk) save(rd Ready) {
	if rd.Snapshot != nil {
		d.snap, d.entries = *rd.Snapshot, nil
	}
	if rd.HardState != nil {
		d.hard = *rd.HardState
	}
	for _, e := range rd.Entries {
		d.entries = append(d.entries[:e.Index-d.snap.Index-1], e)
	}
}

// crashPoint is the point in the handling of its next Ready at which a replica crashes.
type crashPoint int

const (
	crashNow        crashPoint = iota
	crashBeforeSave            // early messages are sent, nothing is synced
	crashAfterSave             // synced, but no response sent and nothing applied
)

// fakeReplica drives one core in the way Node does.
type fakeReplica struct {
	name         string
	disk         *fakeDisk
	core         *Core
	applied      []string // the state machine: all commands in order
	appliedIndex uint64
	frozen       bool
	crashAt      crashPoint
	crashPending bool
	write        *Ready            // concurrent save that has not ended
	proposals    map[uint64]uint64 // own proposals: index to term
	reads        map[uint64]int    // read ID to ackedIndex at the time of the request
}

// network connects replicas in memory. The caller decides every event, so a run is deterministic for
// a given seed and sequence of operations.
type network struct {
	rng         *rand.Rand
	replicas    []*fakeReplica
	inFlight    []Message
	cut         map[[2]uint64]bool
	nextID      uint64
	nextCommand int

	committed   map[uint64]string // oracle: the entry first applied at each index
	leaders     map[uint64]uint64 // oracle: the leader of each term
	acked       []string          // oracle: commands that were acknowledged
	ackedIndex  uint64            // highest acknowledged index
	spares      int               // replicas beyond those needed for the tolerated losses
	dataCentres int               // number of data centres of the replicas, 0 if unknown
	log         strings.Builder
	noLog       bool // disables the log
	// concurrent makes the cores save concurrently. A write ends after the event that started it,
	// or, if writeRng is set, after a random number of further events.
	concurrent bool
	writeRng   *rand.Rand
	// tune adjusts a newly created core.
	tune   func(*Core)
	errors []string
}

func newNetwork(n int, seed int64) *network { return newTunedNetwork(n, seed, nil) }

func newTunedNetwork(n int, seed int64, tune func(*Core)) *network {
	w := &network{concurrent: concurrentSync, tune: tune, rng: rand.New(rand.NewSource(seed)), cut: make(map[[2]uint64]bool), committed: make(map[uint64]string), leaders: make(map[uint64]uint64)}
	if delayedSyncs {
		w.writeRng = rand.New(rand.NewSource(seed ^ 0x5eed))
	}
	for i := range n {
		w.replicas = append(w.replicas, &fakeReplica{name: fmt.Sprintf("r%d", i+1)})
		w.wipe(w.replicas[i])
		w.start(w.replicas[i])
	}
	r := w.replicas[0]
	if err := r.core.Bootstrap(Replica{ID: r.disk.id, Name: r.name, Address: r.name}); err != nil {
		w.failf("bootstrap: %v", err)
	}
	w.settle(40)
	return w
}

func (w *network) failf(format string, args ...any) {
	w.errors = append(w.errors, fmt.Sprintf(format, args...))
}

func (w *network) wipe(r *fakeReplica) {
	w.nextID++
	r.disk = &fakeDisk{id: w.nextID}
}

func (w *network) start(r *fakeReplica) {
	d := r.disk
	r.core = NewCore(d.id, d.hard, d.snap, slices.Clone(d.entries), rand.New(rand.NewSource(w.rng.Int63())))
	if w.tune != nil {
		w.tune(r.core)
	}
	if w.concurrent {
		r.core.SaveConcurrently()
	}
	r.applied, r.appliedIndex, r.frozen, r.crashPending = decodeApplied(d.snap.Data), d.snap.Index, false, false
	r.proposals, r.reads = make(map[uint64]uint64), make(map[uint64]int)
	w.process(r)
}

func decodeApplied(b []byte) []string {
	if len(b) == 0 {
		return nil
	}
	return strings.Split(string(b), ",")
}

// stop crashes a replica. A write under way is on disk or lost.
func (w *network) stop(r *fakeReplica) {
	if r.write != nil && w.writeRng != nil && w.writeRng.Intn(2) == 0 {
		r.disk.save(*r.write)
	}
	r.core, r.write = nil, nil
}

// finishWrite ends the write under way of a replica, with the crash points of a save in the loop.
func (w *network) finishWrite(r *fakeReplica) {
	rd := r.write
	if rd == nil {
		return
	}
	if r.crashPending && r.crashAt == crashBeforeSave {
		r.write = nil
		w.stop(r)
		return
	}
	r.disk.save(*rd)
	r.write = nil
	if r.crashPending && r.crashAt == crashAfterSave {
		w.stop(r)
		return
	}
	last := rd.Entries[len(rd.Entries)-1]
	r.core.Persisted(last.Index, last.Term)
}

// finishWrites ends all writes under way, also those that start meanwhile.
func (w *network) finishWrites() {
	for _, r := range w.replicas {
		for r.write != nil && !r.frozen {
			w.finishWrite(r)
			w.process(r)
		}
	}
}

// writeEnds draws whether a write under way ends after the present event at its replica.
func (w *network) writeEnds() bool { return w.writeRng == nil || w.writeRng.Intn(4) == 0 }

// process does what Node.process does, with crash points in between.
func (w *network) process(r *fakeReplica) {
	for r.core != nil && !r.frozen {
		rd := r.core.Ready()
		if rd.Wait {
			w.finishWrite(r)
			continue
		}
		w.send(rd.Early)
		if rd.Concurrent {
			w.startWrite(r, rd)
			w.handleReady(r, Ready{Messages: rd.Messages, Committed: rd.Committed, Reads: rd.Reads})
			continue
		}
		if r.write != nil && (rd.Snapshot != nil || rd.HardState != nil) {
			w.failf("%s saves in the loop while a write is under way", r.name)
		}
		if r.crashPending && r.crashAt == crashBeforeSave && len(rd.Entries) > 0 {
			w.stop(r)
			return
		}
		r.disk.save(rd)
		if r.crashPending && r.crashAt == crashAfterSave && len(rd.Entries) > 0 {
			w.stop(r)
			return
		}
		w.handleReady(r, rd)
		if len(rd.Entries) == 0 && len(rd.Committed) == 0 && rd.Snapshot == nil {
			if r.write == nil || !w.writeEnds() {
				return
			}
			w.finishWrite(r)
		}
	}
}

func (w *network) startWrite(r *fakeReplica, rd Ready) {
	if r.write != nil {
		w.failf("%s starts a write while another one is under way", r.name)
	}
	if rd.Snapshot != nil || rd.HardState.Term != r.disk.hard.Term || rd.HardState.Vote != r.disk.hard.Vote {
		w.failf("%s saves a snapshot, a term or a vote concurrently", r.name)
	}
	r.write = &rd
}

func (w *network) handleReady(r *fakeReplica, rd Ready) {
	if rd.Snapshot != nil {
		r.applied, r.appliedIndex = decodeApplied(rd.Snapshot.Data), rd.Snapshot.Index
	}
	if n := len(rd.Entries); n > 0 {
		r.core.Persisted(rd.Entries[n-1].Index, rd.Entries[n-1].Term)
	}
	w.send(rd.Messages)
	for _, e := range rd.Committed {
		w.apply(r, e)
	}
	for _, read := range rd.Reads {
		if ackedBefore := r.reads[read.ID]; read.Index < uint64(ackedBefore) {
			w.failf("%s: a confirmed read at index %d misses the acknowledged index %d", r.name, read.Index, ackedBefore)
		}
	}
	w.checkSingleLeader(r)
}

func (w *network) checkSingleLeader(r *fakeReplica) {
	if r.core.role != Leader {
		return
	}
	if other, ok := w.leaders[r.core.term]; ok && other != r.disk.id {
		w.failf("term %d has two leaders", r.core.term)
	}
	w.leaders[r.core.term] = r.disk.id
}

func (w *network) apply(r *fakeReplica, e Entry) {
	if e.Index != r.appliedIndex+1 {
		w.failf("%s applied %d after %d", r.name, e.Index, r.appliedIndex)
	}
	r.appliedIndex = e.Index
	if w.concurrent && e.Index > r.disk.snap.Index+uint64(len(r.disk.entries)) {
		w.failf("%s applied %d, which is not on its disk", r.name, e.Index)
	}
	text := fmt.Sprintf("%d/%d/%s", e.Term, e.Kind, e.Data)
	if first, ok := w.committed[e.Index]; ok && first != text {
		w.failf("%s applied %q at %d, where %q was committed", r.name, text, e.Index, first)
	}
	w.committed[e.Index] = text
	if e.Kind == EntryCommand {
		r.applied = append(r.applied, string(e.Data))
	}
	if term, own := r.proposals[e.Index]; own && term == e.Term {
		w.acked = append(w.acked, string(e.Data))
		w.ackedIndex = max(w.ackedIndex, e.Index)
	}
}

func (w *network) send(msgs []Message) {
	for _, m := range msgs {
		w.checkSynced(m)
		if !w.cut[[2]uint64{m.From, m.To}] {
			w.inFlight = append(w.inFlight, m)
		}
	}
}

// checkSynced checks that what a message promises is on the disk of its sender: its term, and the
// entries that it acknowledges.
func (w *network) checkSynced(m Message) {
	r := w.byID(m.From)
	if r == nil || m.Kind == MsgPreVote || m.Kind == MsgPreVoteResp {
		return
	}
	if m.Term > r.disk.hard.Term {
		w.failf("%s sends %s in term %d, which is not on its disk", r.name, m.Kind, m.Term)
	}
	if m.Kind != MsgAppendResp || m.Reject || m.Term < r.core.term || m.Index <= r.disk.snap.Index {
		return
	}
	at, want := m.Index-r.disk.snap.Index-1, uint64(0)
	if t, ok := r.core.log.term(m.Index); ok {
		want = t
	}
	if at >= uint64(len(r.disk.entries)) || r.disk.entries[at].Term != want {
		w.failf("%s acknowledges index %d, which is not on its disk", r.name, m.Index)
	}
}

func (w *network) byID(id uint64) *fakeReplica {
	for _, r := range w.replicas {
		if r.core != nil && r.disk.id == id {
			return r
		}
	}
	return nil
}

// deliver delivers one message. A message to a frozen replica stays in flight.
func (w *network) deliver(i int) {
	m := w.inFlight[i]
	r := w.byID(m.To)
	if r != nil && r.frozen {
		return
	}
	w.inFlight = slices.Delete(w.inFlight, i, i+1)
	if r == nil || w.cut[[2]uint64{m.From, m.To}] {
		return
	}
	w.logMessage(m)
	r.core.Step(m)
	w.process(r)
}

func (w *network) logMessage(m Message) {
	if w.noLog {
		return
	}
	fmt.Fprintf(&w.log, "%s %d->%d term=%d index=%d entries=%d commit=%d reject=%v\n", m.Kind, m.From, m.To, m.Term, m.Index, len(m.Entries), m.Commit, m.Reject)
}

func (w *network) tick() {
	for _, r := range w.replicas {
		if r.core != nil && !r.frozen {
			r.core.Tick()
			w.process(r)
		}
	}
}

// settle runs ticks and delivers all messages without faults, with joins and repairs. In the second
// half of the rounds no write takes longer than one.
func (w *network) settle(rounds int) {
	for round := range rounds {
		w.tick()
		for n := len(w.inFlight); n > 0; n-- {
			if len(w.inFlight) > 0 {
				w.deliver(0)
			}
		}
		w.joinAll()
		w.repair()
		if round >= rounds/2 {
			w.finishWrites()
		}
	}
}

func (w *network) leader() *fakeReplica {
	var best *fakeReplica
	for _, r := range w.replicas {
		if r.core != nil && !r.frozen && r.core.role == Leader && (best == nil || r.core.term > best.core.term) {
			best = r
		}
	}
	return best
}

// joinAll sends the leader a join request for each running replica outside the configuration.
func (w *network) joinAll() {
	l := w.leader()
	if l == nil {
		return
	}
	for _, r := range w.replicas {
		if l.core == nil {
			return // it crashed in the previous step
		}
		cfg := l.core.log.config().config
		if _, in := cfg.Find(r.disk.id); in || r.core == nil {
			continue
		}
		if l.core.ProposeConfig(cfg.Joined(w.replicaInfo(r))) == nil {
			w.process(l)
		}
	}
}

func (w *network) repair() {
	l := w.leader()
	if l == nil {
		return
	}
	next, ok := repairStep(l.core.Status(), w.details, w.tolerance())
	if ok && l.core.ProposeConfig(next) == nil {
		w.process(l)
	}
}

// tolerance is the number of replicas whose simultaneous loss the group must tolerate.
func (w *network) tolerance() int { return (len(w.replicas) - w.spares - 1) / 2 }

// details returns the description of the replica with an ID, zero if there is none.
func (w *network) details(id uint64) Replica {
	if r := w.byID(id); r != nil {
		return w.replicaInfo(r)
	}
	return Replica{}
}

// replicaInfo returns the description that a replica sends with a join request.
func (w *network) replicaInfo(r *fakeReplica) Replica {
	out := Replica{ID: r.disk.id, Name: r.name, Address: r.name}
	if w.dataCentres > 0 {
		out.DataCentre = fmt.Sprint("dc", slices.Index(w.replicas, r)%w.dataCentres)
	}
	return out
}

func (w *network) propose(r *fakeReplica) {
	w.nextCommand++
	data := fmt.Sprintf("c%d", w.nextCommand)
	index, term, err := r.core.Propose([]byte(data))
	if err == nil {
		r.proposals[index] = term
	}
	w.process(r)
}

func (w *network) compact(r *fakeReplica) {
	if r.appliedIndex <= r.core.log.snap.Index {
		return
	}
	if w.finishWrite(r); r.core == nil {
		return // it crashed during the write
	}
	s := r.core.SnapshotAt(r.appliedIndex)
	s.Data = []byte(strings.Join(r.applied, ","))
	r.core.Compact(s)
	r.disk.snap, r.disk.entries = s, slices.Clone(r.core.log.after(s.Index))
}

// mayWipe reports whether losing this disk leaves a majority of every configuration that may still
// be in effect, so that nothing acknowledged can be lost.
func (w *network) mayWipe(r *fakeReplica) bool {
	l := w.leader()
	if l == nil || l == r || l.core.log.config().index > l.core.log.committed {
		return false
	}
	return l.core.log.config().config.majority(func(id uint64) bool {
		o := w.byID(id)
		return o != nil && o != r && o.core.log.committed >= w.ackedIndex
	})
}
