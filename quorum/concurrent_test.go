package quorum

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sys/unix"
)

// concurrentFollower returns replica 1 of three, in term 2 with leader 2 and the entries 1 and 2 on
// its disk.
func concurrentFollower() *Core {
	cfg := Config{Voters: voterSet(1, 2, 3)}
	entries := []Entry{{Index: 1, Term: 1, Kind: EntryConfig, Data: encodeConfig(cfg)}, {Index: 2, Term: 2, Kind: EntryNoop}}
	c := NewCore(1, HardState{Term: 2, Vote: 2, Commit: 2}, Snapshot{}, entries, rand.New(rand.NewSource(1)))
	c.SaveConcurrently()
	return c
}

// appendFrom returns an append of one entry per term in terms, after index.
func appendFrom(leader, term, index, logTerm uint64, terms ...uint64) Message {
	m := Message{Kind: MsgAppend, From: leader, To: 1, Term: term, Index: index, LogTerm: logTerm}
	for i, t := range terms {
		m.Entries = append(m.Entries, Entry{Index: index + 1 + uint64(i), Term: t, Kind: EntryCommand})
	}
	return m
}

// acks returns the indexes that messages acknowledge.
func acks(msgs []Message) []uint64 {
	var out []uint64
	for _, m := range msgs {
		if m.Kind == MsgAppendResp && !m.Reject {
			out = append(out, m.Index)
		}
	}
	return out
}

// An acknowledgement that is sent before the sync counts towards a majority, and a crash then loses a
// committed change. Heartbeats are answered during the sync; a leader would otherwise lose contact
// with followers whose disks are slow.
func TestFollowerAcknowledgesOnlyWhatIsSynced(t *testing.T) {
	c := concurrentFollower()
	c.Step(appendFrom(2, 2, 2, 2, 2))
	rd := c.Ready()
	if !rd.Concurrent || len(rd.Entries) != 1 || len(acks(rd.Messages)) > 0 {
		t.Fatalf("the first write: %+v", rd)
	}
	c.Step(appendFrom(2, 2, 3, 2, 2, 2))
	c.Step(appendFrom(2, 2, 3, 2))
	c.Step(Message{Kind: MsgHeartbeat, From: 2, To: 1, Term: 2, Commit: 2, Index: 2, Round: 9})
	rd = c.Ready()
	if rd.Concurrent || len(rd.Entries) > 0 || len(acks(rd.Messages)) > 0 {
		t.Fatalf("during the first write: %+v", rd)
	}
	if len(rd.Messages) != 1 || rd.Messages[0].Kind != MsgHeartbeatResp {
		t.Fatalf("a heartbeat is not answered during a write: %+v", rd.Messages)
	}
	c.Persisted(3, 2)
	rd = c.Ready()
	if got := acks(rd.Messages); !rd.Concurrent || len(rd.Entries) != 2 || len(got) == 0 || slices.Max(got) != 3 {
		t.Fatalf("after the first write: acknowledged %v, %+v", got, rd)
	}
	c.Persisted(5, 2)
	if got := acks(c.Ready().Messages); !slices.Equal(got, []uint64{5}) {
		t.Fatalf("after the second write: acknowledged %v", got)
	}
}

// An entry that is applied before it is on this disk may be covered by the next snapshot while it is
// still to be handed out.
func TestFollowerAppliesOnlyWhatIsSynced(t *testing.T) {
	c := concurrentFollower()
	m := appendFrom(2, 2, 2, 2, 2)
	m.Commit = 3
	c.Step(m)
	if rd := c.Ready(); len(rd.Committed) != 2 || rd.Committed[1].Index != 2 {
		t.Fatalf("during the write, applied %+v, want the entries 1 and 2", rd.Committed)
	}
	c.Persisted(3, 2)
	if rd := c.Ready(); len(rd.Committed) != 1 || rd.Committed[0].Index != 3 {
		t.Fatalf("not applied once it is synced: %+v", rd)
	}
}

// A vote or a term that is sent while it is not on disk can elect two leaders in one term. It waits
// for the write under way and is then saved in order.
func TestVoteWaitsForTheWriteUnderWay(t *testing.T) {
	c := concurrentFollower()
	c.Step(appendFrom(2, 2, 2, 2, 2))
	c.Ready()
	c.Step(Message{Kind: MsgVote, From: 3, To: 1, Term: 3, Index: 3, LogTerm: 2, Transfer: true})
	if rd := c.Ready(); !rd.Wait || len(rd.Messages)+len(rd.Early)+len(rd.Entries) > 0 || rd.HardState != nil {
		t.Fatalf("during the write: %+v", rd)
	}
	c.Persisted(3, 2)
	rd := c.Ready()
	if rd.Wait || rd.Concurrent || rd.HardState == nil || rd.HardState.Term != 3 || rd.HardState.Vote != 3 {
		t.Fatalf("after the write: %+v", rd)
	}
	if n := len(rd.Messages); n == 0 || rd.Messages[n-1].Kind != MsgVoteResp || rd.Messages[n-1].Reject {
		t.Fatalf("the vote is not sent: %+v", rd.Messages)
	}
}

// A newer leader replaces an entry while it is being written. The end of that write must not count
// for the entry in its place, and an acknowledgement of the old one must not be sent to the new
// leader. The case in which a third leader brings the first entry back is included: the term at the
// last index is then the same again, but later writes may have replaced it on disk.
func TestEntryReplacedDuringItsWriteIsWrittenAgain(t *testing.T) {
	for _, restored := range []bool{false, true} {
		c := concurrentFollower()
		c.Step(appendFrom(2, 2, 2, 2, 2, 2))
		c.Ready()
		c.Step(appendFrom(3, 3, 2, 2, 3))
		if restored {
			c.Step(appendFrom(2, 4, 2, 2, 2, 2))
		}
		if rd := c.Ready(); !rd.Wait {
			t.Fatalf("a new term does not wait for the write: %+v", rd)
		}
		c.Persisted(4, 2)
		if c.persisted > 2 {
			t.Fatalf("restored %v: %d counts as synced", restored, c.persisted)
		}
		rd := c.Ready()
		if rd.Concurrent || len(rd.Entries) == 0 || rd.Entries[0].Index != 3 {
			t.Fatalf("restored %v: not written again: %+v", restored, rd)
		}
		for _, m := range rd.Messages {
			if m.Kind == MsgAppendResp && m.Term == 2 {
				t.Fatalf("restored %v: an acknowledgement in the replaced term: %+v", restored, m)
			}
		}
	}
}

// The same within one term: the term is on disk before the new leader's first append, so that the
// replacement itself needs no ordered save.
func TestEntryReplacedDuringItsWriteIsWrittenAgainWithinATerm(t *testing.T) {
	c := concurrentFollower()
	c.Step(appendFrom(2, 2, 2, 2, 2, 2))
	c.Ready()
	c.Persisted(4, 2)
	c.Ready()
	c.Step(appendFrom(2, 2, 4, 2, 2))
	c.Ready()
	c.Step(Message{Kind: MsgHeartbeat, From: 3, To: 1, Term: 3})
	if rd := c.Ready(); !rd.Wait {
		t.Fatalf("a new term does not wait: %+v", rd)
	}
	c.Persisted(5, 2)
	c.Ready()
	c.Step(appendFrom(3, 3, 3, 2, 3))
	rd := c.Ready()
	if !rd.Concurrent || len(rd.Entries) != 1 || rd.Entries[0].Index != 4 || len(acks(rd.Messages)) > 0 || c.persisted != 3 {
		t.Fatalf("the replaced suffix: %+v, synced up to %d", rd, c.persisted)
	}
	c.Persisted(4, 3)
	if got := acks(c.Ready().Messages); !slices.Equal(got, []uint64{4}) {
		t.Fatalf("acknowledged %v", got)
	}
}

// A snapshot from the leader replaces the log file. It must not be installed while another goroutine
// writes to that file, and is acknowledged after it is on disk.
func TestSnapshotWaitsForTheWriteUnderWay(t *testing.T) {
	c := concurrentFollower()
	c.Step(appendFrom(2, 2, 2, 2, 2))
	c.Ready()
	chunk := &Chunk{Index: 9, Term: 2, Config: Config{Voters: voterSet(1, 2, 3)}, Size: 1, Data: []byte{1}}
	c.Step(Message{Kind: MsgChunk, From: 2, To: 1, Term: 2, Chunk: chunk})
	if rd := c.Ready(); !rd.Wait || rd.Snapshot != nil || len(rd.Messages) > 0 {
		t.Fatalf("during the write: %+v", rd)
	}
	c.Persisted(3, 2)
	rd := c.Ready()
	if got := acks(rd.Messages); rd.Concurrent || rd.Snapshot == nil || len(got) == 0 || slices.Max(got) != 9 {
		t.Fatalf("after the write: %+v", rd)
	}
}

// The leader sends a snapshot because acknowledgements are late, and the follower holds more than the
// snapshot covers. If the snapshot replaced the log, an acknowledgement of the dropped entries, held
// back until their sync or sent already, would count towards a majority for entries on no disk.
func TestSnapshotDoesNotDropEntriesBehindIt(t *testing.T) {
	c := concurrentFollower()
	c.Step(appendFrom(2, 2, 2, 2, 2, 2))
	c.Ready()
	chunk := &Chunk{Index: 3, Term: 2, Config: Config{Voters: voterSet(1, 2, 3)}, Size: 1, Data: []byte{1}}
	c.Step(Message{Kind: MsgChunk, From: 2, To: 1, Term: 2, Chunk: chunk})
	if rd := c.Ready(); rd.Wait || rd.Snapshot != nil || len(acks(rd.Messages)) > 0 || c.log.last() != 4 {
		t.Fatalf("during the write: %+v, last index %d", rd, c.log.last())
	}
	c.Persisted(4, 2)
	rd := c.Ready()
	if got := acks(rd.Messages); len(got) == 0 || slices.Max(got) != 4 || c.log.applied != 3 {
		t.Fatalf("after the write: acknowledged %v, applied %d", got, c.log.applied)
	}
}

// A leader must not count its own copy before it is synced, whatever it sends and receives meanwhile.
func TestLeaderCountsItsCopyAfterTheWrite(t *testing.T) {
	w, l := settledNetwork(t, 3)
	l.core.SaveConcurrently()
	follower := w.others(l)[0].disk.id
	l.core.Propose([]byte("a"))
	rd := l.core.Ready()
	index, term, _ := l.core.Propose([]byte("b"))
	during := l.core.Ready()
	if !rd.Concurrent || len(during.Entries) > 0 || len(during.Early) != 2 {
		t.Fatalf("the second proposal is not sent during the write: %+v", during)
	}
	l.core.Step(Message{Kind: MsgAppendResp, From: follower, To: l.disk.id, Term: term, Index: index})
	if l.core.log.committed >= index-1 {
		t.Fatal("committed on one disk")
	}
	l.core.Persisted(index-1, term)
	if l.core.log.committed != index-1 {
		t.Fatalf("committed %d after the write of %d", l.core.log.committed, index-1)
	}
}

// slowDisk returns a Disk whose writes take a time.
func slowDisk(t testing.TB, dir string, id uint64, sync time.Duration) *Disk {
	t.Helper()
	d, err := OpenDiskAs(dir, id)
	if err != nil {
		t.Fatal(err)
	}
	d.write = func(f *os.File, b []byte) (int, error) {
		time.Sleep(sync)
		return f.Write(b)
	}
	return d
}

// A snapshot of the state starts a new log file. If it did so during a write, that write would go to
// the old file, which is removed, and acknowledged entries would be lost.
func TestCompactionWaitsForTheWriteUnderWay(t *testing.T) {
	synctest.Test(t, compactDuringWrites)
}

func compactDuringWrites(t *testing.T) {
	const proposals = 200
	dir := t.TempDir()
	disk := slowDisk(t, dir, 1, 0)
	var busy, overlaps, snapshots atomic.Int32
	disk.write = func(f *os.File, b []byte) (int, error) {
		if busy.Add(1) > 1 {
			overlaps.Add(1)
		}
		defer busy.Add(-1)
		if strings.Contains(f.Name(), snapPrefix) {
			snapshots.Add(1)
		}
		time.Sleep(5 * time.Millisecond)
		return f.Write(b)
	}
	n, err := NewNode(Options{Disk: disk, Machine: &counter{}, Sender: busSender{&bus{}, 0}, TickEvery: 30 * time.Millisecond,
		SnapshotEntries: 10, ConcurrentSync: true})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := runAlone(t, ctx, n, Replica{ID: 1})
	var callers sync.WaitGroup
	for range proposals {
		time.Sleep(2 * time.Millisecond)
		callers.Go(func() {
			if _, err := n.Propose(ctx, []byte("x")); err != nil {
				t.Error(err)
			}
		})
	}
	callers.Wait()
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	disk.Close()
	if overlaps.Load() > 0 || snapshots.Load() < 5 {
		t.Errorf("%d overlapping writes, %d snapshots", overlaps.Load(), snapshots.Load())
	}
	again := openDisk(t, dir)
	defer again.Close()
	// The first two entries are the configuration and the no-op of the first term.
	if st := again.Stored(); st.Snapshot.Index+uint64(len(st.Entries)) != proposals+2 {
		t.Errorf("%d entries on disk, want %d", st.Snapshot.Index+uint64(len(st.Entries)), proposals+2)
	}
}

// On shutdown the caller closes the data folder once Run has returned. The write under way must be
// complete by then, and its failure must be reported, except for a full disk.
func TestShutdownCompletesTheWriteUnderWay(t *testing.T) {
	for _, failure := range []error{nil, unix.EIO, unix.ENOSPC} {
		synctest.Test(t, func(t *testing.T) { shutDownDuringAWrite(t, failure) })
	}
}

func shutDownDuringAWrite(t *testing.T, failure error) {
	const sync = 50 * time.Millisecond
	dir := t.TempDir()
	disk := slowDisk(t, dir, 1, sync)
	n, err := NewNode(Options{Disk: disk, Machine: &counter{}, Sender: busSender{&bus{}, 0}, TickEvery: 30 * time.Millisecond,
		SnapshotEntries: 1 << 30, ConcurrentSync: true})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := runAlone(t, ctx, n, Replica{ID: 1})
	if _, err := n.Propose(ctx, []byte("kept")); err != nil {
		t.Fatal(err)
	}
	if failure != nil {
		n.call(ctx, func() {
			disk.write = func(*os.File, []byte) (int, error) { time.Sleep(sync); return 0, failure }
		})
	}
	go n.Propose(ctx, []byte("under way"))
	time.Sleep(sync / 2)
	cancel()
	err = <-ended
	disk.Close()
	if want := errors.Is(failure, unix.EIO); (err != nil) != want {
		t.Errorf("disk error %v: Run returned %v", failure, err)
	}
	again := openDisk(t, dir)
	defer again.Close()
	last := again.Stored().Entries[len(again.Stored().Entries)-1]
	if failure == nil && string(last.Data) != "under way" {
		t.Errorf("the last entry on disk is %q", last.Data)
	}
}

// delayedLinks delivers messages between nodes after a delay, in order for each pair of replicas.
type delayedLinks struct {
	delay time.Duration
	mu    sync.Mutex
	nodes map[uint64]*Node
	links map[[2]uint64]chan delayedMessages
	done  chan struct{}
	// running counts the links. Their ends must be awaited: a bubble whose main goroutine has
	// exited doesn't advance its time, and a link may be waiting for a message's due time.
	running sync.WaitGroup
}

type delayedMessages struct {
	due time.Time
	delivery
}

type delayedSender struct {
	*delayedLinks
	from uint64
}

func (s delayedSender) Send(to Replica, msgs []Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := [2]uint64{s.from, to.ID}
	link := s.links[key]
	if link == nil {
		link = make(chan delayedMessages, 10000)
		s.links[key] = link
		s.running.Go(func() { s.run(s.nodes[to.ID], link) })
	}
	link <- delayedMessages{time.Now().Add(s.delay), delivery{Replica{ID: s.from}, slices.Clone(msgs)}}
}

func (l *delayedLinks) run(to *Node, link chan delayedMessages) {
	for {
		select {
		case m := <-link:
			time.Sleep(time.Until(m.due))
			to.Deliver(m.from, m.messages)
		case <-l.done:
			return
		}
	}
}

// commitTimes measures the time of commits in milliseconds, sorted, on five replicas in virtual time
// with proposals at random times, on average perSecond.
func commitTimes(t testing.TB, concurrent bool, diskSync, delay time.Duration, perSecond, proposals int) []float64 {
	l := &delayedLinks{delay: delay, nodes: make(map[uint64]*Node), links: make(map[[2]uint64]chan delayedMessages), done: make(chan struct{})}
	set := Config{Voters: voterSet(1, 2, 3, 4, 5)}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer func() { cancel(); running.Wait(); close(l.done); l.running.Wait() }()
	for _, r := range set.Voters {
		disk := slowDisk(t, t.TempDir(), r.ID, diskSync)
		n, err := NewNode(Options{Disk: disk, Machine: &counter{}, Sender: delayedSender{l, r.ID}, TickEvery: 30 * time.Millisecond,
			SnapshotEntries: 1 << 30, Seed: int64(r.ID), ConcurrentSync: concurrent})
		if err != nil {
			t.Fatal(err)
		}
		l.nodes[r.ID] = n
		defer disk.Close()
	}
	for _, n := range l.nodes {
		running.Go(func() { n.Run(ctx) })
		if err := n.BootstrapSet(ctx, set); err != nil {
			t.Fatal(err)
		}
	}
	var leader *Node
	for leader == nil {
		time.Sleep(time.Second)
		for _, n := range l.nodes {
			if n.View().Role == Leader {
				leader = n
			}
		}
	}
	var mu sync.Mutex
	var took []float64
	var callers sync.WaitGroup
	rng := rand.New(rand.NewSource(1))
	for range proposals {
		time.Sleep(time.Duration(rng.ExpFloat64() / float64(perSecond) * float64(time.Second)))
		callers.Go(func() {
			start := time.Now()
			if _, err := leader.Propose(ctx, make([]byte, 200)); err != nil {
				t.Error(err)
			}
			mu.Lock()
			defer mu.Unlock()
			took = append(took, time.Since(start).Seconds()*1000)
		})
	}
	callers.Wait()
	sort.Float64s(took)
	return took
}

// Guards against proposals and acknowledgements that wait for the sync before their own. The bounds
// are the targets for the two deployments in docs/CONTENTION.md; with saves in the loop the times
// are only logged.
func TestCommitsDoNotWaitForTheSyncBefore(t *testing.T) {
	const perSecond, proposals = 150, 1500
	for _, c := range []struct {
		sync, delay time.Duration
		median, p95 float64 // milliseconds
	}{
		{9 * time.Millisecond, 4400 * time.Microsecond, 24, 40},
		{4 * time.Millisecond, 500 * time.Microsecond, 9, 16},
	} {
		t.Run(fmt.Sprint(c.sync), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				took := commitTimes(t, concurrentSync, c.sync, c.delay, perSecond, proposals)
				median, p95 := took[len(took)/2], took[len(took)*95/100]
				t.Logf("concurrent %v, sync %v, one way %v: commit in %.1f ms at the median, %.1f at the 95th percentile", concurrentSync, c.sync, c.delay, median, p95)
				if concurrentSync && (median > c.median || p95 > c.p95) {
					t.Errorf("the targets are %v and %v ms", c.median, c.p95)
				}
			})
		})
	}
}

// slowEncoder is a machine whose encoding of the state takes a time and calls begun first.
type slowEncoder struct {
	counter
	begun func()
}

func (m *slowEncoder) Snapshot() ([]byte, error) {
	m.begun()
	time.Sleep(10 * time.Millisecond)
	return m.counter.Snapshot()
}

// A write fails while the loop waits for it in order to save an encoded snapshot. Run must then
// return; it would otherwise wait forever for a second result of the encoding, and a replica
// with a broken disk would neither end nor answer its callers.
func TestFailedWriteBeforeACompactionEndsTheReplica(t *testing.T) {
	for _, failure := range []error{unix.EIO, unix.ENOSPC} {
		synctest.Test(t, func(t *testing.T) { failBeforeACompaction(t, failure) })
	}
}

func failBeforeACompaction(t *testing.T, failure error) {
	disk := slowDisk(t, t.TempDir(), 1, 0)
	defer disk.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var failing atomic.Bool
	write := disk.write
	disk.write = func(f *os.File, b []byte) (int, error) {
		if failing.Load() {
			time.Sleep(50 * time.Millisecond)
			return 0, failure
		}
		return write(f, b)
	}
	machine := &slowEncoder{}
	n, err := NewNode(Options{Disk: disk, Machine: machine, Sender: busSender{&bus{}, 0}, TickEvery: 30 * time.Millisecond,
		SnapshotEntries: 3, ConcurrentSync: true})
	if err != nil {
		t.Fatal(err)
	}
	machine.begun = func() {
		failing.Store(true)
		go n.Propose(ctx, []byte("under way"))
	}
	ended := runAlone(t, ctx, n, Replica{ID: 1})
	if _, err := n.Propose(ctx, []byte("first")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	cancel()
	if err := <-ended; (err != nil) != errors.Is(failure, unix.EIO) {
		t.Errorf("disk error %v: Run returned %v", failure, err)
	}
}

// A disk stalls without an error. The replica must stop sending heartbeats or answering them, as it
// does when it saves in the loop: a leader with such a disk applies nothing and a follower
// acknowledges nothing, and they are replaced only if the others lose contact with them.
func TestStalledDiskStopsAReplica(t *testing.T) {
	_, l := settledNetwork(t, 3)
	leader, follower := l.core, concurrentFollower()
	leader.SaveConcurrently()
	leader.Propose([]byte("a"))
	follower.Step(appendFrom(2, 2, 2, 2, 2))
	for _, c := range []*Core{leader, follower} {
		if rd := c.Ready(); !rd.Concurrent {
			t.Fatalf("replica %d: no concurrent write: %+v", c.id, rd)
		}
		for range maxConcurrentTicks {
			c.Tick()
			if rd := c.Ready(); rd.Wait {
				t.Fatalf("replica %d waits after %d ticks", c.id, c.now-c.writeStart)
			}
		}
		c.Tick()
		if rd := c.Ready(); !rd.Wait || len(rd.Early)+len(rd.Messages) > 0 {
			t.Fatalf("replica %d goes on during a stalled write: %+v", c.id, rd)
		}
		last := c.log.last()
		c.Persisted(last, c.log.lastTerm())
		if rd := c.Ready(); rd.Wait || c.persisted != last {
			t.Fatalf("replica %d does not go on after the write: %+v", c.id, rd)
		}
	}
}
