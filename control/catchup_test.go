package control

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/waxwinghaven/waxwinghaven/memnet"
	"github.com/waxwinghaven/waxwinghaven/quorum"
	"github.com/waxwinghaven/waxwinghaven/transport"
)

// blob is a state machine with a snapshot of fixed size.
type blob struct{ size int }

func (b blob) Apply(uint64, []byte) any  { return nil }
func (b blob) Snapshot() ([]byte, error) { return make([]byte, b.size), nil }
func (b blob) Restore([]byte) error      { return nil }

// logGroup is five replicas of a log, with their real links and disks, on a simulated network in
// virtual time.
type logGroup struct {
	tb    testing.TB
	net   *memnet.Network
	plan  catchUp
	mu    sync.Mutex // guards nodes: callers propose while a replica is started again
	nodes [groupSize]*quorum.Node
	links [groupSize]*links
	stops [groupSize]func()
	disks [groupSize]string
	load  sync.WaitGroup
}

const groupSize = 5

// catchUp describes what a returning replica has missed, and the load meanwhile. The figures are
// those of a fleet of 300 instances: 700 entries per second of 1,400 bytes, and snapshots of up
// to 840 KB.
type catchUp struct {
	missedEntries int // while the replica was down
	entryBytes    int // bytes
	snapshotBytes int // bytes
	snapshotEvery uint64
	perSecond     int // load while it catches up
	link          memnet.Link
}

// sharedLink is a 200 Mbit/s link of which half is available; agents and entries use the rest.
var sharedLink = memnet.Link{Delay: 1400 * time.Microsecond, BytesPerSec: 12_500_000}

// narrowLink is what remains of such a link during a burst.
var narrowLink = memnet.Link{Delay: 1400 * time.Microsecond, BytesPerSec: 2_500_000}

func (g *logGroup) ip(i int) string      { return fmt.Sprintf("10.0.0.%d", i+1) }
func (g *logGroup) address(i int) string { return g.ip(i) + ":7101" }

func newLogGroup(tb testing.TB, plan catchUp) *logGroup {
	g := &logGroup{tb: tb, net: memnet.New(plan.link), plan: plan}
	transport.SetNetwork(g.net)
	tb.Cleanup(func() { transport.SetNetwork(nil) })
	var set quorum.Config
	for i := range groupSize {
		g.disks[i] = tb.TempDir()
		set.Voters = append(set.Voters, quorum.Replica{ID: uint64(i + 1), Name: g.ip(i), Address: g.address(i)})
	}
	for i := range groupSize {
		g.start(i)
	}
	for i := range groupSize {
		if err := g.node(i).BootstrapSet(context.Background(), set); err != nil {
			tb.Fatal(err)
		}
	}
	g.await("a leader", func() bool { return g.leader() >= 0 })
	return g
}

func (g *logGroup) start(i int) {
	disk, err := quorum.OpenDiskAs(g.disks[i], uint64(i+1))
	if err != nil {
		g.tb.Fatal(err)
	}
	l := newLinks(quorum.Replica{ID: uint64(i + 1), Name: g.ip(i), Address: g.address(i)}, transport.NewClient(nil, g.ip(i)))
	n, err := quorum.NewNode(quorum.Options{Disk: disk, Machine: blob{g.plan.snapshotBytes}, Sender: l, TickEvery: 30 * time.Millisecond,
		SnapshotEntries: g.plan.snapshotEvery, Seed: int64(i)})
	if err != nil {
		g.tb.Fatal(err)
	}
	l.onLost = n.Unreachable
	server := transport.NewServer(part, nil)
	server.Handle(PathQuorum, handle(func(b QuorumBatch) (Empty, error) {
		n.Deliver(b.From, b.Messages)
		return Empty{}, nil
	}))
	ln, err := transport.Listen(g.address(i))
	if err != nil {
		g.tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	ended.Go(func() { server.Serve(ctx, ln) })
	ended.Go(func() { n.Run(ctx) })
	g.mu.Lock()
	g.nodes[i] = n
	g.mu.Unlock()
	g.links[i] = l
	g.stops[i] = func() { cancel(); ended.Wait(); l.close(); disk.Close() }
}

func (g *logGroup) node(i int) *quorum.Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.nodes[i]
}

func (g *logGroup) leader() int {
	for i := range groupSize {
		if g.node(i).View().Role == quorum.Leader {
			return i
		}
	}
	return -1
}

func (g *logGroup) status(i int) quorum.Status {
	st, err := g.node(i).Status(context.Background())
	if err != nil {
		g.tb.Fatal(err)
	}
	return st
}

// await polls a condition in virtual time and returns how long it took.
func (g *logGroup) await(what string, f func() bool) time.Duration {
	g.tb.Helper()
	begun := time.Now()
	for range 60_000 {
		if f() {
			return time.Since(begun)
		}
		time.Sleep(time.Millisecond)
	}
	g.tb.Errorf("timed out: %s", what)
	return time.Since(begun)
}

func (g *logGroup) propose(n int) {
	for range n {
		leader := g.leader()
		if leader < 0 {
			g.tb.Error("there is no leader")
			return
		}
		if _, err := g.node(leader).Propose(context.Background(), make([]byte, g.plan.entryBytes)); err != nil {
			g.tb.Error(err)
			return
		}
	}
}

// catchUpResult is the cost of bringing a replica up to date.
type catchUpResult struct {
	took    time.Duration
	bytes   int64         // sent to it by the leader beyond the load
	silence time.Duration // longest time without contact to a leader
}

// run stops a replica, commits entries as the plan says, restarts it under load, and measures
// until it has applied everything that was committed at its restart.
func (g *logGroup) run() catchUpResult {
	leader := g.leader()
	away := (leader + 1) % groupSize
	g.stops[away]()
	var missing sync.WaitGroup
	const callers = 50
	for range callers {
		missing.Go(func() { g.propose(g.plan.missedEntries / callers) })
	}
	missing.Wait()
	goal := g.status(leader).Commit
	stop := make(chan struct{})
	g.load.Go(func() { g.keepProposing(stop) })
	g.start(away)
	sent := g.net.BytesSent(g.ip(leader))
	begun, heard := time.Now(), time.Now()
	var r catchUpResult
	g.await("the replica catches up", func() bool {
		st := g.status(away)
		if st.InContact {
			heard = time.Now()
		}
		r.silence = max(r.silence, time.Since(heard))
		return st.Commit >= goal && st.Applied >= goal
	})
	r.took = time.Since(begun)
	r.bytes = g.net.BytesSent(g.ip(leader)) - sent - int64(r.took.Seconds()*float64(g.plan.perSecond*g.plan.entryBytes*(groupSize-1)))
	close(stop)
	g.load.Wait()
	return r
}

func (g *logGroup) keepProposing(stop chan struct{}) {
	var calls sync.WaitGroup
	defer calls.Wait()
	if g.plan.perSecond == 0 {
		return
	}
	tick := time.NewTicker(time.Second / time.Duration(g.plan.perSecond))
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
			calls.Go(func() { g.propose(1) })
		}
	}
}

func (g *logGroup) stop() {
	for _, f := range g.stops {
		f()
	}
	time.Sleep(time.Minute) // lets the connections reach their idle timeout
}

// catchUps are the cases and their limits.
var catchUps = []struct {
	name string
	plan catchUp
	// maxBytes bounds what the leader may send beyond the load: the missing data once, plus
	// framing.
	maxBytes int64
}{
	{"1500 entries", catchUp{missedEntries: 1500, entryBytes: 1400, snapshotBytes: 840_000, snapshotEvery: 1 << 40, perSecond: 700, link: sharedLink}, 1500 * 1400 * 3 / 2},
	{"20000 entries", catchUp{missedEntries: 20_000, entryBytes: 1400, snapshotBytes: 840_000, snapshotEvery: 1 << 40, perSecond: 700, link: sharedLink}, 20_000 * 1400 * 3 / 2},
	{"snapshot", catchUp{missedEntries: 20_000, entryBytes: 1400, snapshotBytes: 840_000, snapshotEvery: 5000, perSecond: 700, link: sharedLink}, 8_000_000},
	{"snapshot of 8 MB", catchUp{missedEntries: 20_000, entryBytes: 1400, snapshotBytes: 8_000_000, snapshotEvery: 5000, perSecond: 700, link: sharedLink}, 24_000_000},
	{"snapshot over a narrow link", catchUp{missedEntries: 6000, entryBytes: 1400, snapshotBytes: 840_000, snapshotEvery: 5000, perSecond: 200, link: narrowLink}, 4_000_000},
}

// Guards against a replica that cannot catch up under load on shared links. It must apply what it
// missed before the next loss may occur, keep contact to its leader throughout, and receive the
// missing data only once. If heartbeats queued behind bulk data, or calls that time out were
// resent from the start, it would have no contact for many seconds and be removed from the set.
func TestReplicaCatchesUpBesideTheLoad(t *testing.T) {
	for _, c := range catchUps {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newLogGroup(t, c.plan)
				r := g.run()
				g.stop()
				t.Logf("%v, %.1f MB, heard no leader for %v", r.took, float64(r.bytes)/1e6, r.silence)
				if r.took > 4*time.Second {
					t.Errorf("it took %v", r.took)
				}
				if r.bytes > c.maxBytes {
					t.Errorf("the leader sent %d bytes", r.bytes)
				}
				if r.silence > time.Second {
					t.Errorf("the replica heard no leader for %v", r.silence)
				}
			})
		})
	}
}
