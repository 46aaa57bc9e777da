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

// blob is a state machine whose snapshot has a fixed size.
type blob struct{ size int }

func (b blob) Apply(uint64, []byte) any  { return nil }
func (b blob) Snapshot() ([]byte, error) { return make([]byte, b.size), nil }
func (b blob) Restore([]byte) error      { return nil }

// group is five replicas of a log, with their real links and disks, over a network in
// virtual time.
type group struct {
	tb    testing.TB
	net   *memnet.Network
	plan  catchUp
	nodes [groupSize]*quorum.Node
	links [groupSize]*links
	stops [groupSize]func()
	disks [groupSize]string
	load  sync.WaitGroup
}

const groupSize = 5

// catchUp is what a replica that comes back lacks, and what goes on meanwhile. The
// figures are of a fleet of 300 instances: 700 entries a second of 1,400 bytes, and
// snapshots of up to 840 KB.
type catchUp struct {
	missed    int // entries while it was away
	entry     int // bytes
	snapshot  int // bytes
	every     uint64
	perSecond int // entries that are committed meanwhile
	link      memnet.Link
}

// sharedLink is a link of 200 Mbit/s of which half is left beside agents and entries.
var sharedLink = memnet.Link{Delay: 1400 * time.Microsecond, BytesPerSec: 12_500_000}

// narrowShare is what is left of such a link at the height of a burst.
var narrowShare = memnet.Link{Delay: 1400 * time.Microsecond, BytesPerSec: 2_500_000}

func (g *group) ip(i int) string      { return fmt.Sprintf("10.0.0.%d", i+1) }
func (g *group) address(i int) string { return g.ip(i) + ":7101" }

func newGroup(tb testing.TB, plan catchUp) *group {
	g := &group{tb: tb, net: memnet.New(plan.link), plan: plan}
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
		if err := g.nodes[i].BootstrapSet(context.Background(), set); err != nil {
			tb.Fatal(err)
		}
	}
	g.await("a leader", func() bool { return g.leader() >= 0 })
	return g
}

func (g *group) start(i int) {
	disk, err := quorum.OpenDiskAs(g.disks[i], uint64(i+1))
	if err != nil {
		g.tb.Fatal(err)
	}
	l := newLinks(quorum.Replica{ID: uint64(i + 1), Name: g.ip(i), Address: g.address(i)}, transport.NewClient(nil, g.ip(i)))
	n, err := quorum.NewNode(quorum.Options{Disk: disk, Machine: blob{g.plan.snapshot}, Sender: l, TickEvery: 30 * time.Millisecond,
		SnapshotEntries: g.plan.every, Seed: int64(i)})
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
	g.nodes[i], g.links[i] = n, l
	g.stops[i] = func() { cancel(); ended.Wait(); l.close(); disk.Close() }
}

func (g *group) leader() int {
	for i, n := range g.nodes {
		if n.View().Role == quorum.Leader {
			return i
		}
	}
	return -1
}

func (g *group) status(i int) quorum.Status {
	st, err := g.nodes[i].Status(context.Background())
	if err != nil {
		g.tb.Fatal(err)
	}
	return st
}

// await polls in virtual time.
func (g *group) await(what string, f func() bool) time.Duration {
	g.tb.Helper()
	begun := time.Now()
	for range 60_000 {
		if f() {
			return time.Since(begun)
		}
		time.Sleep(time.Millisecond)
	}
	g.tb.Errorf("never: %s", what)
	return time.Since(begun)
}

func (g *group) propose(n int) {
	for range n {
		leader := g.leader()
		if leader < 0 {
			g.tb.Error("nobody leads")
			return
		}
		if _, err := g.nodes[leader].Propose(context.Background(), make([]byte, g.plan.entry)); err != nil {
			g.tb.Error(err)
			return
		}
	}
}

// caughtUp is what bringing a replica up took.
type caughtUp struct {
	took    time.Duration
	bytes   int64         // that the leader sent to it, beyond the load
	silence time.Duration // longest time for which it heard no leader
}

// run stops a replica, lets it miss what the plan says, starts it again beside the
// load, and measures until it holds what was committed when it started.
func (g *group) run() caughtUp {
	leader := g.leader()
	away := (leader + 1) % groupSize
	g.stops[away]()
	var missing sync.WaitGroup
	const callers = 50
	for range callers {
		missing.Go(func() { g.propose(g.plan.missed / callers) })
	}
	missing.Wait()
	goal := g.status(leader).Commit
	stop := make(chan struct{})
	g.load.Go(func() { g.keepProposing(stop) })
	g.start(away)
	sent := g.net.Carried(g.ip(leader))
	begun, heard := time.Now(), time.Now()
	var r caughtUp
	g.await("the replica catches up", func() bool {
		st := g.status(away)
		if st.InContact {
			heard = time.Now()
		}
		r.silence = max(r.silence, time.Since(heard))
		return st.Commit >= goal && st.Applied >= goal
	})
	r.took = time.Since(begun)
	r.bytes = g.net.Carried(g.ip(leader)) - sent - int64(r.took.Seconds()*float64(g.plan.perSecond*g.plan.entry*(groupSize-1)))
	close(stop)
	g.load.Wait()
	return r
}

func (g *group) keepProposing(stop chan struct{}) {
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

func (g *group) stop() {
	for _, f := range g.stops {
		f()
	}
	time.Sleep(time.Minute) // the connections' idle times
}

// catchUps are the cases, with the bounds that each must keep.
var catchUps = []struct {
	name string
	plan catchUp
	// most is what the leader may send beyond the load: what is missing once, and
	// the framing.
	most int64
}{
	{"1500 entries", catchUp{missed: 1500, entry: 1400, snapshot: 840_000, every: 1 << 40, perSecond: 700, link: sharedLink}, 1500 * 1400 * 3 / 2},
	{"20000 entries", catchUp{missed: 20_000, entry: 1400, snapshot: 840_000, every: 1 << 40, perSecond: 700, link: sharedLink}, 20_000 * 1400 * 3 / 2},
	{"snapshot", catchUp{missed: 20_000, entry: 1400, snapshot: 840_000, every: 5000, perSecond: 700, link: sharedLink}, 8_000_000},
	{"snapshot of 8 MB", catchUp{missed: 20_000, entry: 1400, snapshot: 8_000_000, every: 5000, perSecond: 700, link: sharedLink}, 24_000_000},
	{"snapshot over a narrow link", catchUp{missed: 6000, entry: 1400, snapshot: 840_000, every: 5000, perSecond: 200, link: narrowShare}, 4_000_000},
}

// A replica comes back beside a fleet's load, over links that are shared. It must hold
// what it missed within the time that the next loss may come in, hear its leader all
// the while, and cost what it lacks, once. If contact waited behind bulk, and a call
// that took too long were sent again from its start, it would hear nothing for many
// seconds and be taken out of the set as silent.
func TestReplicaCatchesUpBesideTheLoad(t *testing.T) {
	for _, c := range catchUps {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, c.plan)
				r := g.run()
				g.stop()
				t.Logf("%v, %.1f MB, heard no leader for %v", r.took, float64(r.bytes)/1e6, r.silence)
				if r.took > 4*time.Second {
					t.Errorf("it took %v", r.took)
				}
				if r.bytes > c.most {
					t.Errorf("the leader sent %d bytes", r.bytes)
				}
				if r.silence > time.Second {
					t.Errorf("the replica heard no leader for %v", r.silence)
				}
			})
		})
	}
}
