package quorum

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// counter is a minimal state machine that counts commands.
type counter struct {
	mu sync.Mutex
	n  int
}

func (c *counter) Apply(uint64, []byte) any  { c.mu.Lock(); c.n++; c.mu.Unlock(); return nil }
func (c *counter) Snapshot() ([]byte, error) { return nil, nil }
func (c *counter) Restore([]byte) error      { return nil }

// bus delivers messages between nodes of one process.
type bus struct {
	mu    sync.Mutex
	nodes map[uint64]*Node
	self  map[uint64]Replica
}

type busSender struct {
	bus  *bus
	from uint64
}

func (e busSender) Send(to Replica, msgs []Message) {
	e.bus.mu.Lock()
	n, from := e.bus.nodes[to.ID], e.bus.self[e.from]
	e.bus.mu.Unlock()
	if n != nil {
		n.Deliver(from, append([]Message(nil), msgs...))
	}
}

// startNodes runs n nodes with real disks, all voters.
func startNodes(tb testing.TB, n int) (*bus, []*Node) {
	return startNodesOf(tb, n, 1<<30, func(int) StateMachine { return &counter{} })
}

// startNodesOf is startNodes with a state machine for each node and a snapshot after
// snapshotEntries applied entries.
func startNodesOf(tb testing.TB, n int, snapshotEntries uint64, machine func(i int) StateMachine) (*bus, []*Node) {
	tb.Helper()
	b := &bus{nodes: make(map[uint64]*Node), self: make(map[uint64]Replica)}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var nodes []*Node
	for i := range n {
		disk, err := OpenDisk(filepath.Join(tb.TempDir(), fmt.Sprint(i)))
		if err != nil {
			tb.Fatal(err)
		}
		id := disk.Stored().ID
		node, err := NewNode(Options{Disk: disk, Machine: machine(i), Sender: busSender{b, id}, TickEvery: 10 * time.Millisecond, SnapshotEntries: snapshotEntries, Seed: int64(i), ConcurrentSync: concurrentSync})
		if err != nil {
			tb.Fatal(err)
		}
		b.mu.Lock()
		b.nodes[id], b.self[id] = node, Replica{ID: id, Name: fmt.Sprint("r", i), Address: fmt.Sprint(i)}
		b.mu.Unlock()
		nodes = append(nodes, node)
		wg.Add(1)
		go func() { defer wg.Done(); node.Run(ctx); disk.Close() }()
	}
	tb.Cleanup(func() { cancel(); wg.Wait() })
	first := b.self[nodes[0].core.id]
	if err := nodes[0].Bootstrap(ctx, first); err != nil {
		tb.Fatal(err)
	}
	for joined := 1; joined < n; {
		for _, r := range b.self {
			nodes[0].Join(ctx, r)
			nodes[0].Repair(ctx, (n-1)/2)
		}
		time.Sleep(time.Millisecond)
		st, err := nodes[0].Status(ctx)
		if err != nil {
			tb.Fatal(err)
		}
		joined = len(st.Config.Voters)
	}
	return b, nodes
}

// BenchmarkCommit measures commits by 64 concurrent callers on a machine of 8 CPUs. The lower bound
// is BenchmarkBareSync.
func BenchmarkCommit(b *testing.B) {
	for _, n := range []int{1, 3, 5} {
		b.Run(fmt.Sprint("replicas=", n), func(b *testing.B) {
			_, nodes := startNodes(b, n)
			before := processorTime(b)
			benchmarkCommits(b, nodes[0])
			b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

// BenchmarkSingleCommit measures the commits of one caller on one replica, that is, one sync per
// commit, with the processor time that the process uses for each.
func BenchmarkSingleCommit(b *testing.B) {
	_, nodes := startNodes(b, 1)
	data := make([]byte, 200)
	before := processorTime(b)
	for b.Loop() {
		if _, err := nodes[0].Propose(context.Background(), data); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
}

// processorTime returns the user and system time of the process.
func processorTime(b *testing.B) time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func benchmarkCommits(b *testing.B, node *Node) {
	var mu sync.Mutex
	var took []float64
	b.SetParallelism(8)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		var mine []float64
		data := make([]byte, 200)
		for pb.Next() {
			start := time.Now()
			if _, err := node.Propose(context.Background(), data); err != nil {
				b.Error(err)
				return
			}
			mine = append(mine, time.Since(start).Seconds()*1000)
		}
		mu.Lock()
		took = append(took, mine...)
		mu.Unlock()
	})
	sort.Float64s(took)
	if len(took) > 0 {
		b.ReportMetric(took[len(took)*99/100], "p99-ms")
		b.ReportMetric(took[len(took)/2], "p50-ms")
	}
}

// BenchmarkBareSync measures sequential writes of one record with a sync each: the disk's own limit.
func BenchmarkBareSync(b *testing.B) {
	f, err := os.Create(filepath.Join(b.TempDir(), "f"))
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	data := make([]byte, 300)
	for b.Loop() {
		f.Write(data)
		if err := unix.Fdatasync(int(f.Fd())); err != nil {
			b.Fatal(err)
		}
	}
}
