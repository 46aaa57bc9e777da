package control

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/market"
	"github.com/waxwinghaven/waxwinghaven/membership"
	"github.com/waxwinghaven/waxwinghaven/memnet"
	"github.com/waxwinghaven/waxwinghaven/quorum"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/settings"
	"github.com/waxwinghaven/waxwinghaven/transport"
)

// cluster is three replicas in this process, each on its own loopback address, with real sockets
// and disks.
type cluster struct {
	t         testing.TB
	tick      string
	dir       string
	net       int
	replicas  [3]*Replica
	cancel    [3]context.CancelFunc
	done      [3]chan error
	mu        sync.Mutex
	cut       map[string]bool // isolated IP addresses
	configure func(*Replica)  // called before a replica runs
}

var nextNet = os.Getpid() % 200

// inVirtualTime runs a test with connections in memory and a clock that stands still while anything is
// at work, so that the time between two calls does not depend on the machine.
func inVirtualTime(t *testing.T, f func(*testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		transport.SetNetwork(memnet.New(memnet.Link{}))
		t.Cleanup(func() {
			time.Sleep(time.Minute) // idle connections are closed by then, and their goroutines end
			transport.SetNetwork(nil)
		})
		f(t)
	})
}

func newCluster(t testing.TB) *cluster {
	t.Helper()
	return newClusterAt(t, "20ms")
}

func newClusterAt(t testing.TB, tick string) *cluster {
	t.Helper()
	return newClusterWith(t, tick, func(*Replica) {})
}

func newClusterWith(t testing.TB, tick string, configure func(*Replica)) *cluster {
	t.Helper()
	logrus.SetOutput(io.Discard)
	nextNet++
	c := &cluster{t: t, tick: tick, dir: t.TempDir(), net: nextNet, cut: make(map[string]bool), configure: configure}
	transport.SetFault(c.isCut)
	for i := range c.replicas {
		c.start(i)
	}
	t.Cleanup(func() {
		transport.SetFault(nil)
		for i := range c.replicas {
			c.stop(i)
		}
	})
	if err := c.replicas[0].node.Bootstrap(context.Background(), c.replicas[0].self); err != nil {
		t.Fatal(err)
	}
	c.wait("three voters", func() bool { return c.voters() == 3 })
	return c
}

func (c *cluster) ip(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 110+os.Getpid()/200%100, c.net, i+1)
}

// isCut isolates replicas from each other, but not from the test.
func (c *cluster) isCut(from, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return from != to && (c.cut[from] || c.cut[to])
}

func (c *cluster) isolate(i int, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[c.ip(i)] = on
}

func (c *cluster) start(i int) {
	c.t.Helper()
	text := fmt.Sprintf("[instance]\nname=\"r%d\"\ndata_centre=\"dc\"\nip=%q\n[peers]\ncontrol=[\"%s:7101\",\"%s:7101\",\"%s:7101\"]\n[control]\nport=7101\noperator_port=7102\ndata_folder=%q\ntick=%q\nlease=\"1s\"\nsnapshot_entries=100\n",
		i, c.ip(i), c.ip(0), c.ip(1), c.ip(2), filepath.Join(c.dir, fmt.Sprint(i)), c.tick)
	set, err := settings.Parse("test", text)
	if err != nil {
		c.t.Fatal(err)
	}
	r, err := New(set)
	if err != nil {
		c.t.Fatal(err)
	}
	c.configure(r)
	ctx, cancel := context.WithCancel(context.Background())
	c.replicas[i], c.cancel[i], c.done[i] = r, cancel, make(chan error, 1)
	go func() { c.done[i] <- r.Run(ctx) }()
}

func (c *cluster) stop(i int) {
	if c.cancel[i] == nil {
		return
	}
	c.cancel[i]()
	<-c.done[i]
	c.cancel[i] = nil
}

// wait polls a condition; the limit only ends a wait that cannot succeed.
func (c *cluster) wait(what string, f func() bool) {
	c.t.Helper()
	for range 3000 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatalf("timed out: %s", what)
}

func (c *cluster) leader() int {
	for i, r := range c.replicas {
		if c.cancel[i] != nil && r.node.View().Role == quorum.Leader && !c.isCut(c.ip(i), "") {
			return i
		}
	}
	return -1
}

func (c *cluster) voters() int {
	l := c.leader()
	if l < 0 {
		return 0
	}
	st, err := c.replicas[l].node.Status(context.Background())
	if err != nil {
		return 0
	}
	return len(st.Config.Voters)
}

// change sends a change to the leader until it is answered.
func (c *cluster) change(ch market.Change) (market.Answer, error) {
	for {
		if l := c.leader(); l >= 0 {
			v, err := c.replicas[l].propose(Command{Change: &ch})
			if err == nil {
				return v.(market.Answer), nil
			}
			if e, ok := refusal.Of(err); ok && e.Code != refusal.NotLeader && e.Code != refusal.UnknownOutcome && e.Code != refusal.NoQuorum {
				return market.Answer{}, err
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (c *cluster) revision(i int) (rev uint64) {
	c.replicas[i].machine.Read(func(s *State) { rev = s.Market.Revision })
	return rev
}

func (c *cluster) waitRevision(want uint64) {
	c.t.Helper()
	c.wait(fmt.Sprint("revision ", want, " everywhere"), func() bool {
		for i := range c.replicas {
			if c.cancel[i] == nil || c.revision(i) < want {
				return false
			}
		}
		return true
	})
}

func team(n int) market.Change {
	return market.Change{ID: fmt.Sprint("team-", n), Base: uint64(n), Verb: market.PutTeam, Team: &market.Team{Name: fmt.Sprint("t", n)}}
}

// Guards against stale answers of a leader that is silently partitioned while changes continue.
// The majority accepts a change; the partitioned leader must not serve reads, renewals or syncs
// as current, and a change proposed to it must never be accepted. After the partition heals it
// applies what was accepted, and nothing is undone.
func TestIsolatedLeaderServesNothingAsCurrent(t *testing.T) {
	c := newCluster(t)
	if _, err := c.change(team(0)); err != nil {
		t.Fatal(err)
	}
	c.waitRevision(1)
	old := c.leader()
	renewal := Renew{Member: membership.Member{Agent: "a", Address: "127.0.0.1:1", Boot: "b"}}
	if _, err := c.replicas[old].onRenew(renewal); err != nil {
		t.Fatalf("a renewal before the partition: %v", err)
	}
	c.isolate(old, true)
	lost := market.Change{ID: "lost", Base: 1, Verb: market.PutTeam, Team: &market.Team{Name: "lost"}}
	if _, err := c.replicas[old].propose(Command{Change: &lost}); err == nil {
		t.Fatal("a partitioned leader accepted a change")
	}
	c.wait("a new leader", func() bool { return c.leader() >= 0 })
	if a, err := c.change(team(1)); err != nil || a.Revision != 2 {
		t.Fatalf("the majority's change: %+v %v", a, err)
	}
	if err := c.replicas[old].barrier(); err == nil {
		t.Fatal("the partitioned leader confirmed a read")
	}
	if _, err := c.replicas[old].onSync(Sync{}); err == nil {
		t.Fatal("the partitioned leader served a sync as current")
	}
	if _, err := c.replicas[old].onRenew(renewal); err == nil {
		t.Fatal("the partitioned leader granted a lease")
	}
	c.isolate(old, false)
	c.waitRevision(2)
	for i := range c.replicas {
		c.replicas[i].machine.Read(func(s *State) {
			if _, ok := s.Market.Teams.ByName["lost"]; ok {
				t.Errorf("replica %d applied a change that was refused", i)
			}
		})
	}
}

// Guards against a change that is applied twice: an operator loses the answer and resends the
// change through another replica, after snapshots, and after a restart of all replicas. It must
// always get the first answer.
func TestResentChangeGetsItsFirstAnswer(t *testing.T) {
	c := newCluster(t)
	first, err := c.change(team(0))
	if err != nil {
		t.Fatal(err)
	}
	for i := 1; i < 250; i++ { // more than two snapshots
		if _, err := c.change(team(i)); err != nil {
			t.Fatal(err)
		}
	}
	resend := func(when string) {
		t.Helper()
		a, err := c.change(team(0))
		if err != nil || a.Revision != first.Revision || !a.Repeated {
			t.Fatalf("%s: %+v %v, want revision %d", when, a, err, first.Revision)
		}
	}
	resend("after 250 changes")
	c.replicas[c.leader()].handOver()
	resend("through another replica")
	for i := range c.replicas {
		c.stop(i)
	}
	for i := range c.replicas {
		c.start(i)
	}
	resend("after a restart of all")
	c.waitRevision(250)
}

// A replica misses 500 changes and catches up. Then another loses its disk and rejoins under a
// new identity, and right after that repair a second disk is lost. Every accepted change must
// survive.
func TestLostDisksLoseNoChange(t *testing.T) {
	c := newCluster(t)
	away := (c.leader() + 1) % 3
	c.stop(away)
	for i := range 500 {
		if _, err := c.change(team(i)); err != nil {
			t.Fatal(err)
		}
	}
	c.start(away)
	c.waitRevision(500)
	for round, victim := range []int{(c.leader() + 1) % 3, (c.leader() + 2) % 3} {
		id := c.replicas[victim].self.ID
		c.stop(victim)
		if err := os.RemoveAll(filepath.Join(c.dir, fmt.Sprint(victim))); err != nil {
			t.Fatal(err)
		}
		c.start(victim)
		if c.replicas[victim].self.ID == id {
			t.Fatal("a lost disk kept its identity")
		}
		c.wait("the repair", func() bool {
			l := c.leader()
			if l < 0 {
				return false
			}
			st, err := c.replicas[l].node.Status(context.Background())
			return err == nil && len(st.Config.Voters) == 3 && st.Config.IsVoter(c.replicas[victim].self.ID)
		})
		if a, err := c.change(team(500 + round)); err != nil || a.Revision != uint64(501+round) {
			t.Fatalf("a change after repair %d: %+v %v", round, a, err)
		}
	}
	c.waitRevision(502)
	c.replicas[0].machine.Read(func(s *State) {
		if len(s.Market.Teams.ByName) != 502 {
			t.Errorf("%d of 502 teams", len(s.Market.Teams.ByName))
		}
	})
}

// A follower's refusal that names the leader must carry the age of that information; without it
// clients return to a leader that is gone.
func TestRefusalReportsHowLongAgoTheLeaderWasHeard(t *testing.T) {
	c := newCluster(t)
	other := c.replicas[(c.leader()+1)%len(c.replicas)]
	c.wait("the leader is known", func() bool { return other.node.View().Leader.ID != 0 })
	if e, ok := refusal.Of(other.refusalOf(quorum.ErrNotLeader)); !ok || e.Leader == "" || e.SinceLeader <= 0 {
		t.Errorf("the refusal is %+v", e)
	}
}
