package quorum

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// register is a state machine whose state is the latest command.
type register struct {
	value     atomic.Pointer[[]byte]
	snapshots atomic.Int32
}

func (r *register) Apply(_ uint64, command []byte) any { r.value.Store(&command); return nil }

func (r *register) Snapshot() ([]byte, error) {
	r.snapshots.Add(1)
	if v := r.value.Load(); v != nil {
		return *v, nil
	}
	return nil, nil
}

func (r *register) Restore(data []byte) error { r.value.Store(&data); return nil }

// smallDisks simulates disks of a size in bytes. Others than the replicas use *occupied bytes of each.
func smallDisks(t *testing.T, size int64) (occupied *atomic.Int64) {
	t.Helper()
	occupied = &atomic.Int64{}
	OverrideSpace(func(dir string) (int64, int64) {
		return max(0, size-occupied.Load()-folderBytes(dir)), size
	})
	t.Cleanup(func() { OverrideSpace(nil) })
	return occupied
}

func folderBytes(dir string) (sum int64) {
	files, _ := filepath.Glob(filepath.Join(dir, "*"))
	for _, f := range files {
		if st, err := os.Stat(f); err == nil {
			sum += st.Size()
		}
	}
	return sum
}

// failWithoutSpace makes the writes of a disk fail once its simulated space is used up.
func failWithoutSpace(d *Disk) {
	write := d.write
	d.write = func(f *os.File, b []byte) (int, error) {
		if free, _, _ := d.Space(); free < int64(len(b)) {
			return 0, unix.ENOSPC
		}
		return write(f, b)
	}
}

// runRegister runs a replica on a folder as the only one of its set.
func runRegister(t *testing.T, dir string) (*Node, *register, *Disk) {
	t.Helper()
	disk, err := OpenDisk(dir)
	if err != nil {
		t.Fatal(err)
	}
	failWithoutSpace(disk)
	machine := &register{}
	n, err := NewNode(Options{Disk: disk, Machine: machine, Sender: busSender{&bus{}, 0}, TickEvery: 5 * time.Millisecond,
		SnapshotEntries: 1 << 30, ConcurrentSync: concurrentSync})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		disk.Close()
	})
	return n, machine, disk
}

func proposeEventually(t *testing.T, n *Node, data []byte) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var err error
	for ; ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		if _, err = n.Propose(ctx, data); err == nil {
			return
		}
	}
	t.Fatalf("no change is accepted: %v", err)
}

// Guards against a log of few but large entries that fills the disk before a snapshot is due.
func TestLogOfLargeEntriesLeavesSpaceOnTheDisk(t *testing.T) {
	const size, entry = 32 << 20, 512 << 10
	smallDisks(t, size)
	_, nodes := startNodesOf(t, 3, 1<<30, func(int) StateMachine { return &register{} })
	for i := range 4 * size / entry {
		data := bytes.Repeat([]byte{byte(i)}, entry)
		if _, err := nodes[0].Propose(context.Background(), data); err != nil {
			t.Fatalf("change %d: %v", i, err)
		}
	}
	for i, n := range nodes {
		if sizes := n.opts.Disk.Sizes(); sizes.Log > size/2 {
			t.Errorf("replica %d: %+v", i, sizes)
		}
	}
}

// Guards against a replica that starts on a disk that its own log has filled, and refuses all
// changes for good as no snapshot is made on a full disk.
func TestReplicaFreesADiskFullOfItsLog(t *testing.T) {
	const size = 32 << 20
	dir := t.TempDir()
	d := openDisk(t, dir)
	self := Config{Voters: []Replica{{ID: d.Stored().ID}}}
	entries := []Entry{{Index: 1, Term: 1, Kind: EntryConfig, Data: encodeConfig(self)}}
	for i := range uint64(56) {
		entries = append(entries, Entry{Index: i + 2, Term: 1, Kind: EntryCommand, Data: make([]byte, 512<<10)})
	}
	if err := d.Save(&HardState{Term: 1, Commit: 57}, entries); err != nil {
		t.Fatal(err)
	}
	d.Close()
	smallDisks(t, size)
	n, _, disk := runRegister(t, dir)
	proposeEventually(t, n, []byte("x"))
	if sizes := disk.Sizes(); sizes.Log > size/2 {
		t.Errorf("%+v", sizes)
	}
}

// Guards against a write that waits for space which only a snapshot frees.
func TestWriteWithoutSpaceReplacesTheLog(t *testing.T) {
	occupied := smallDisks(t, 32<<20)
	n, _, disk := runRegister(t, t.TempDir())
	if err := n.Bootstrap(context.Background(), Replica{ID: disk.Stored().ID}); err != nil {
		t.Fatal(err)
	}
	for range 6 {
		proposeEventually(t, n, make([]byte, 512<<10))
	}
	free, _, _ := disk.Space()
	occupied.Store(free - 600<<10) // fits the state and nothing else
	proposeEventually(t, n, make([]byte, 768<<10))
}

// Guards against a disk filled by others on which a replica encodes its state again and again for
// little space, or does not accept changes once there is space.
func TestDiskFilledByOthersRefusesChangesUntilItIsFree(t *testing.T) {
	occupied := smallDisks(t, 32<<20)
	n, machine, disk := runRegister(t, t.TempDir())
	ctx := context.Background()
	if err := n.Bootstrap(ctx, Replica{ID: disk.Stored().ID}); err != nil {
		t.Fatal(err)
	}
	proposeEventually(t, n, make([]byte, 2<<20))
	occupied.Store(32 << 20)
	time.Sleep(time.Second)
	if _, err := n.Propose(ctx, []byte("x")); !errors.Is(err, ErrDiskFull) {
		t.Errorf("on a full disk: %v", err)
	}
	if err := n.Barrier(ctx); err != nil {
		t.Errorf("a read on a full disk: %v", err)
	}
	if s := machine.snapshots.Load(); s > 2 {
		t.Errorf("%d snapshots in a second", s)
	}
	occupied.Store(0)
	proposeEventually(t, n, []byte("x"))
}

// Guards against a leader that keeps a thousand entries of any size in memory.
func TestRetainedEntriesAreLimitedInBytes(t *testing.T) {
	const entry = 512 << 10
	l := newMemLog(Snapshot{}, nil, 0)
	for i := uint64(1); i <= 100; i++ {
		l.append([]Entry{{Index: i, Term: 1, Data: make([]byte, entry)}})
	}
	l.commitTo(100)
	l.applied = 100
	l.compact(Snapshot{Index: 90, Term: 1}, 100)
	if l.base >= 90 || entriesBytes(l.entries) > retainedBytes+10*(entry+entryOverhead) {
		t.Errorf("%d entries after %d are kept", len(l.entries), l.base)
	}
	if term, ok := l.term(l.base); !ok || term != 1 {
		t.Errorf("term %d, %v", term, ok)
	}
}

// Guards against replicas that answer no reads after a change of leader, as the followers' disks are
// full and the new leader's first entry is dropped.
func TestNewLeaderAnswersReadsOnFullDisks(t *testing.T) {
	occupied := smallDisks(t, 32<<20)
	_, nodes := startNodesOf(t, 3, 1<<30, func(int) StateMachine { return &register{} })
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	proposeEventually(t, nodes[0], []byte("x"))
	occupied.Store(32 << 20)
	time.Sleep(time.Second)
	if err := nodes[0].Transfer(ctx, nodes[1].core.id); err != nil {
		t.Fatal(err)
	}
	for nodes[1].View().Role != Leader && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	if err := nodes[1].Barrier(ctx); err != nil {
		t.Errorf("a read at the new leader: %v", err)
	}
	if _, err := nodes[1].Propose(ctx, []byte("y")); !errors.Is(err, ErrDiskFull) {
		t.Errorf("a change on a full disk: %v", err)
	}
}
