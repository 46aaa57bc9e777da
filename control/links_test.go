package control

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/waxwinghaven/waxwinghaven/memnet"
	"github.com/waxwinghaven/waxwinghaven/quorum"
	"github.com/waxwinghaven/waxwinghaven/transport"
)

// arrivals notes the messages that arrive at a replica.
type arrivals struct {
	mu     sync.Mutex
	append []uint64 // indexes, in the order of their arrival
	beats  int
}

func (a *arrivals) take(b QuorumBatch) (Empty, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range b.Messages {
		if m.Kind == quorum.MsgHeartbeat {
			a.beats++
			continue
		}
		a.append = append(a.append, m.Index)
	}
	return Empty{}, nil
}

// between runs f with links to a replica over a network, in virtual time.
func between(t *testing.T, link memnet.Link, f func(l *links, to quorum.Replica, a *arrivals)) {
	synctest.Test(t, func(t *testing.T) {
		transport.SetNetwork(memnet.New(link))
		defer transport.SetNetwork(nil)
		to := quorum.Replica{ID: 2, Address: "10.0.0.2:7101"}
		ln, err := transport.Listen(to.Address)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		a := &arrivals{}
		server := transport.NewServer(part, nil)
		server.Handle(PathQuorum, handle(a.take))
		var served sync.WaitGroup
		served.Go(func() { server.Serve(ctx, ln) })
		l := newLinks(quorum.Replica{ID: 1, Address: "10.0.0.1:7101"}, transport.NewClient(nil, "10.0.0.1"))
		f(l, to, a)
		l.close()
		cancel()
		served.Wait()
		time.Sleep(time.Minute) // the connections' idle times
	})
}

func appendOf(index uint64, bytes int) quorum.Message {
	return quorum.Message{Kind: quorum.MsgAppend, To: 2, Index: index, Entries: []quorum.Entry{{Index: index + 1, Data: make([]byte, bytes)}}}
}

// Small and large changes come in turns. If a large one overtook a small one on the way to
// a replica, it would be refused for what lies before it and be sent again, with a round
// trip more until callers have their answer.
func TestEntriesKeepTheirOrder(t *testing.T) {
	regions := memnet.Link{Delay: 20 * time.Millisecond, BytesPerSec: 1 << 30}
	between(t, regions, func(l *links, to quorum.Replica, a *arrivals) {
		var want []uint64
		for i := range uint64(200) {
			size := 1000
			if i%3 == 1 {
				size = 100 << 10
			}
			l.Send(to, []quorum.Message{appendOf(i, size)})
			want = append(want, i)
			time.Sleep(time.Duration(i%7) * time.Millisecond)
		}
		time.Sleep(20 * time.Second)
		a.mu.Lock()
		defer a.mu.Unlock()
		if !slices.Equal(a.append, want) {
			t.Errorf("%d of %d arrived, or in another order: %v", len(a.append), len(want), a.append)
		}
	})
}

// A snapshot is on its way over a narrow link. The contact of the leader must arrive all the
// while, or the replica takes it for gone.
func TestContactDoesNotWaitBehindBulk(t *testing.T) {
	between(t, memnet.Link{Delay: time.Millisecond, BytesPerSec: 1 << 20}, func(l *links, to quorum.Replica, a *arrivals) {
		for i := range uint64(8) {
			l.Send(to, []quorum.Message{appendOf(i, 256<<10)}) // two seconds of the link
		}
		const beats = 16
		for range beats {
			time.Sleep(100 * time.Millisecond)
			l.Send(to, []quorum.Message{{Kind: quorum.MsgHeartbeat, To: 2}})
		}
		time.Sleep(300 * time.Millisecond)
		a.mu.Lock()
		got := a.beats
		a.mu.Unlock()
		if got < beats-1 {
			t.Errorf("%d of %d heartbeats arrived", got, beats)
		}
		time.Sleep(20 * time.Second)
	})
}

// A leader that is cut off stays named by the others until they notice. Without the age of what
// they know, nobody can tell their word from that of replicas that hear it.
func TestReplicaKnowsHowLongAgoItHeardItsLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, catchUp{snapshot: 1000, every: 1 << 40, link: sharedLink})
		leader := g.leader()
		follower := g.nodes[(leader+1)%groupSize]
		const contact = 200 * time.Millisecond // more than a heartbeat's interval and its way
		g.await("the follower hears the leader", func() bool { return follower.View().Leader.ID == uint64(leader+1) })
		if heard := follower.LeaderHeard(); heard > contact {
			t.Errorf("heard %v ago from a leader in contact", heard)
		}
		g.net.Isolate(g.ip(leader), true)
		const cut = 400 * time.Millisecond // less than an election timeout
		time.Sleep(cut)
		if heard := follower.LeaderHeard(); heard < cut-contact || heard > cut+contact {
			t.Errorf("heard %v ago from a leader that was cut off %v ago", heard, cut)
		}
		g.stop()
	})
}
