package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/quorum"
	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// All agents of a large fleet with a call open at one leader cost it more than all else it
// does. Past those it keeps, each is sent to a follower, as many to each, and to one of its own
// data centre where there is any; a small fleet's stay with the leader.
func TestLargeFleetsAskFollowersForOrders(t *testing.T) {
	var set quorum.Config
	for i := range 5 {
		set.Voters = append(set.Voters, quorum.Replica{ID: uint64(i + 1), Address: fmt.Sprint("r", i+1), DataCentre: fmt.Sprint("dc", i+1)})
	}
	set.Learners = []quorum.Replica{{ID: 9, Address: "spare", DataCentre: "dc6"}}
	const leader, own = 1, 128
	for _, workers := range []int{11, own, 1000, 2700} {
		asked := make(map[string]int)
		for i := range workers {
			w := &jobs.Worker{ID: fmt.Sprintf("w%04d", i), DataCentre: fmt.Sprint("dc", i%6+1)}
			list := orderSources(set, leader, w, workers, own)
			if len(list) == 0 {
				asked["leader"]++
				continue
			}
			asked[list[0]]++
			if len(list) != 4 || slices.Contains(list, "r1") || slices.Contains(list, "spare") {
				t.Fatalf("%s may ask %v", w.ID, list)
			}
			if dc := w.DataCentre; dc != "dc1" && dc != "dc6" && list[0] != "r"+dc[2:] {
				t.Fatalf("%s in %s asks %s first", w.ID, dc, list[0])
			}
		}
		if n := asked["leader"]; n > own*5/4 || n < min(workers, own*3/4) {
			t.Errorf("%d of %d agents ask the leader", n, workers)
		}
		if workers <= own {
			continue
		}
		for i := 2; i <= 5; i++ {
			if n, fair := asked[fmt.Sprint("r", i)], (workers-own)/4; n < fair*3/4 || n > fair*5/4 {
				t.Errorf("%d of %d agents ask r%d, want about %d", n, workers, i, fair)
			}
		}
	}
}

// An agent has just registered, and the follower that it asks for orders has not heard of it
// yet. Told that it isn't registered, it would end its session and register again, and again.
func TestFollowerThatIsBehindEndsNoSession(t *testing.T) {
	s := NewState()
	s.Jobs.ApplyRegister(jobs.Worker{ID: "w", Agent: "a", Life: "old", Service: "vault"}, 5)
	s.Index = 7
	ref := WorkerRef{Worker: "w", Life: "new"}
	cases := []struct {
		name       string
		registered uint64
		leads      bool
		code       refusal.Code
	}{
		{"the follower lacks the registration", 8, false, refusal.Behind},
		{"an agent that doesn't tell where it was registered", 0, false, refusal.Behind},
		{"the registration is known to be replaced", 7, false, refusal.NotRegistered},
		{"the leader knows", 0, true, refusal.NotRegistered},
		{"a new leader lacks the registration", 8, true, refusal.Behind},
	}
	for _, c := range cases {
		if err := s.checkSession(&OrdersRequest{WorkerRef: ref, Registered: c.registered}, c.leads); !refusal.Is(err, c.code) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	if err := s.checkSession(&OrdersRequest{WorkerRef: WorkerRef{Worker: "w", Life: "old"}}, false); err != nil {
		t.Errorf("a registered life: %v", err)
	}
}

// The follower that an agent asks for orders is cut off from the leader, or gone. The agent
// must have its orders all the same, at once, and leave that follower alone for a while.
func TestOrdersComeFromTheLeaderWhereTheFollowerCannotAnswer(t *testing.T) {
	var asked [2]int
	answers := []error{refusal.New(refusal.NotLeader, "", "not current"), nil}
	serve(t, "127.0.8.41:7880", func() error { asked[0]++; return answers[0] })
	serve(t, "127.0.8.42:7880", func() error { asked[1]++; return answers[1] })
	c := clientOf("127.0.8.42:7880")
	c.Prefer([]string{"127.0.8.49:7880", "127.0.8.41:7880"}) // nobody listens at the first
	for range 5 {
		if err := c.CallAny(PathPutConfig, 5*time.Second, &Empty{}, nil); err != nil {
			t.Fatal(err)
		}
	}
	if asked != [2]int{1, 5} {
		t.Errorf("asked %v", asked)
	}
	answers[0] = refusal.New(refusal.Behind, "", "behind")
	clear(c.failed)
	c.Prefer([]string{"127.0.8.41:7880"})
	for range 3 {
		if err := c.CallAny(PathPutConfig, 5*time.Second, &Empty{}, nil); err != nil {
			t.Fatal(err)
		}
	}
	if asked != [2]int{4, 8} {
		t.Errorf("one that lacks a moment is to be asked again: %v", asked)
	}
	answers[0] = refusal.New(refusal.NotRegistered, "", "replaced")
	if err := c.CallAny(PathPutConfig, 5*time.Second, &Empty{}, nil); !refusal.Is(err, refusal.NotRegistered) || asked[1] != 8 {
		t.Errorf("a verdict is asked for twice: %v, %v", err, asked)
	}
}
