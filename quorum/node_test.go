package quorum

import (
	"context"
	"errors"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sys/unix"
)

// singleNode runs a cluster of one replica with a real disk.
func singleNode(t *testing.T) (*Node, *Disk, chan error) {
	t.Helper()
	disk, err := OpenDisk(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	n, err := NewNode(Options{Disk: disk, Machine: &counter{}, Sender: busSender{&bus{}, 0}, TickEvery: 5 * time.Millisecond, SnapshotEntries: 1 << 30, ConcurrentSync: concurrentSync})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return n, disk, runAlone(t, ctx, n, Replica{ID: disk.Stored().ID, Name: "r"})
}

// runAlone runs a node as the only replica of a set. Its result is sent on the channel.
func runAlone(t *testing.T, ctx context.Context, n *Node, r Replica) chan error {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	if err := n.Bootstrap(ctx, r); err != nil {
		t.Fatal(err)
	}
	return ended
}

// A write to the disk fails. The replica must end with an error, and the caller is told that the
// outcome is unknown. Continuing would acknowledge changes that are lost at the next restart.
func TestFailingDiskEndsTheReplica(t *testing.T) {
	n, disk, ended := singleNode(t)
	if _, err := n.Propose(context.Background(), []byte("kept")); err != nil {
		t.Fatal(err)
	}
	n.call(context.Background(), func() { disk.wal.Close() })
	if _, err := n.Propose(context.Background(), []byte("lost")); !errors.Is(err, ErrUnknown) {
		t.Fatalf("the change: %v", err)
	}
	if err := <-ended; err == nil {
		t.Fatal("the replica ended without an error")
	}
	if _, err := n.Propose(context.Background(), nil); !errors.Is(err, ErrStopped) {
		t.Fatalf("afterwards: %v", err)
	}
}

// The disk is nearly full. Changes are refused with an error that names the remedy, reads continue,
// and changes are accepted again once there is space.
func TestFullDiskRefusesChangesOnly(t *testing.T) {
	n, _, _ := singleNode(t)
	ctx := context.Background()
	n.call(ctx, func() { n.diskFull = true; n.core.now = 1 })
	if _, err := n.Propose(ctx, []byte("x")); !errors.Is(err, ErrDiskFull) {
		t.Fatalf("on a full disk: %v", err)
	}
	if err := n.Barrier(ctx); err != nil {
		t.Fatalf("a read on a full disk: %v", err)
	}
	for range 400 { // the free space is checked again every few ticks
		if _, err := n.Propose(ctx, []byte("x")); err == nil {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("changes are still refused although the disk has space")
}

// The disk accepts no more bytes, and a write is incomplete. A replica that ends because of this is
// restarted and ends again as long as there is no space. It must wait instead, not act as leader
// meanwhile, and continue with a log that contains no incomplete record.
func TestReplicaWaitsForDiskSpace(t *testing.T) {
	n, disk, ended := singleNode(t)
	ctx := context.Background()
	if _, err := n.Propose(ctx, []byte("kept")); err != nil {
		t.Fatal(err)
	}
	refused := make(chan struct{}, 1000)
	spaceFreed := make(chan struct{})
	n.call(ctx, func() {
		disk.write = func(f *os.File, b []byte) (int, error) {
			select {
			case <-spaceFreed:
				return f.Write(b)
			default:
			}
			f.Write(b[:len(b)/2])
			refused <- struct{}{}
			return len(b) / 2, unix.ENOSPC
		}
	})
	done := make(chan error, 1)
	go func() {
		_, err := n.Propose(ctx, []byte("waits"))
		done <- err
	}()
	<-refused
	<-refused // tried again, so the view was published
	if v := n.View(); v.Role == Leader {
		t.Error("a replica that cannot save acts as leader")
	}
	close(spaceFreed)
	if err := <-done; err != nil {
		t.Errorf("the change that waited: %v", err)
	}
	select {
	case err := <-ended:
		t.Fatalf("the replica ended: %v", err)
	default:
	}
	b, err := os.ReadFile(disk.wal.Name())
	if err != nil {
		t.Fatal(err)
	}
	for len(b) > 0 {
		_, size := parseRecord(b)
		if size == 0 {
			t.Fatalf("%d bytes at the end of the log are not a valid record", len(b))
		}
		b = b[size:]
	}
}

// slowSnapshot is a state machine whose first snapshot is encoded until the test resumes it. It
// records whether a command was applied meanwhile.
type slowSnapshot struct {
	counter
	first                sync.Once
	begun, resume        chan struct{}
	encoding             atomic.Bool
	appliedWhileEncoding atomic.Bool
}

func (s *slowSnapshot) Apply(index uint64, command []byte) any {
	if s.encoding.Load() {
		s.appliedWhileEncoding.Store(true)
	}
	return s.counter.Apply(index, command)
}

func (s *slowSnapshot) Snapshot() ([]byte, error) {
	s.encoding.Store(true)
	defer s.encoding.Store(false)
	s.first.Do(func() {
		close(s.begun)
		<-s.resume
	})
	return []byte{1}, nil
}

// Encoding the state of a large fleet takes as long as the election timeout. A leader that sends no
// heartbeats meanwhile is replaced each time it takes a snapshot.
func TestLeaderSendsHeartbeatsWhileItEncodesItsState(t *testing.T) {
	synctest.Test(t, leaderThatEncodes)
}

func leaderThatEncodes(t *testing.T) {
	machine := &slowSnapshot{begun: make(chan struct{}), resume: make(chan struct{})}
	_, nodes := startNodesOf(t, 3, 50, func(i int) StateMachine {
		if i == 0 {
			return machine
		}
		return &counter{}
	})
	resume := sync.OnceFunc(func() { close(machine.resume) })
	defer resume()
	ctx := context.Background()
	before, err := nodes[0].Status(ctx)
	if err != nil || before.Role != Leader {
		t.Fatalf("%+v, %v", before, err)
	}
	var changes sync.WaitGroup
	var failed atomic.Int32
	change := func(n int) {
		for range n {
			changes.Go(func() {
				if _, err := nodes[0].Propose(ctx, []byte("x")); err != nil {
					failed.Add(1)
				}
			})
		}
	}
	change(100)
	<-machine.begun
	change(100)
	time.Sleep(4 * ElectionTicks * nodes[0].opts.TickEvery)
	for _, n := range nodes[1:] {
		if st, err := n.Status(ctx); err != nil || st.Term != before.Term || st.Leader != before.ID {
			t.Fatalf("during the encoding the leader became %d in term %d, was %d in term %d (%v)", st.Leader, st.Term, before.ID, before.Term, err)
		}
	}
	resume()
	changes.Wait()
	machine.mu.Lock()
	defer machine.mu.Unlock()
	if failed.Load() > 0 || machine.n != 200 {
		t.Errorf("%d changes failed, %d were applied, want 200", failed.Load(), machine.n)
	}
	if machine.appliedWhileEncoding.Load() {
		t.Error("a command was applied to the state while it was being encoded")
	}
}
