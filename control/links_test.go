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

// arrivals records the messages that arrive at a replica.
type arrivals struct {
	mu         sync.Mutex
	append     []uint64 // indexes in order of arrival
	heartbeats int
}

func (a *arrivals) receive(b QuorumBatch) (Empty, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range b.Messages {
		if m.Kind == quorum.MsgHeartbeat {
			a.heartbeats++
			continue
		}
		a.append = append(a.append, m.Index)
	}
	return Empty{}, nil
}

// withLinks runs f with links to a replica over a simulated network, in virtual time.
func withLinks(t *testing.T, link memnet.Link, f func(l *links, to quorum.Replica, a *arrivals)) {
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
		server.Handle(PathQuorum, handle(a.receive))
		var served sync.WaitGroup
		served.Go(func() { server.Serve(ctx, ln) })
		l := newLinks(quorum.Replica{ID: 1, Address: "10.0.0.1:7101"}, transport.NewClient(nil, "10.0.0.1"))
		f(l, to, a)
		l.close()
		cancel()
		served.Wait()
		time.Sleep(time.Minute) // lets the connections reach their idle timeout
	})
}

func appendOf(index uint64, bytes int) quorum.Message {
	return quorum.Message{Kind: quorum.MsgAppend, To: 2, Index: index, Entries: []quorum.Entry{{Index: index + 1, Data: make([]byte, bytes)}}}
}

// Guards against large entries that overtake small ones or the reverse: the receiver rejects an
// entry whose predecessor is missing, and resending costs callers another round trip.
func TestEntriesKeepTheirOrder(t *testing.T) {
	regions := memnet.Link{Delay: 20 * time.Millisecond, BytesPerSec: 1 << 30}
	withLinks(t, regions, func(l *links, to quorum.Replica, a *arrivals) {
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

// Guards against heartbeats that queue behind bulk data: while a snapshot is sent over a narrow
// link they must keep arriving, or the replica takes its leader for failed.
func TestHeartbeatsDoNotWaitBehindBulk(t *testing.T) {
	withLinks(t, memnet.Link{Delay: time.Millisecond, BytesPerSec: 1 << 20}, func(l *links, to quorum.Replica, a *arrivals) {
		for i := range uint64(8) {
			l.Send(to, []quorum.Message{appendOf(i, 256<<10)}) // two seconds of the link's capacity in total
		}
		const beats = 16
		for range beats {
			time.Sleep(100 * time.Millisecond)
			l.Send(to, []quorum.Message{{Kind: quorum.MsgHeartbeat, To: 2}})
		}
		time.Sleep(300 * time.Millisecond)
		a.mu.Lock()
		got := a.heartbeats
		a.mu.Unlock()
		if got < beats-1 {
			t.Errorf("%d of %d heartbeats arrived", got, beats)
		}
		time.Sleep(20 * time.Second)
	})
}

// The other replicas keep naming a partitioned leader until they notice its loss. Clients can
// only tell such information from a current one by its age.
func TestReplicaKnowsHowLongAgoItHeardItsLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newLogGroup(t, catchUp{snapshotBytes: 1000, snapshotEvery: 1 << 40, link: sharedLink})
		leader := g.leader()
		follower := g.nodes[(leader+1)%groupSize]
		const tolerance = 200 * time.Millisecond // more than a heartbeat interval plus the delay
		g.await("the follower hears the leader", func() bool { return follower.View().Leader.ID == uint64(leader+1) })
		if heard := follower.SinceLeaderContact(); heard > tolerance {
			t.Errorf("heard %v ago from a reachable leader", heard)
		}
		g.net.Isolate(g.ip(leader), true)
		const partition = 400 * time.Millisecond // less than an election timeout
		time.Sleep(partition)
		if heard := follower.SinceLeaderContact(); heard < partition-tolerance || heard > partition+tolerance {
			t.Errorf("heard %v ago from a leader that was partitioned %v ago", heard, partition)
		}
		g.stop()
	})
}
