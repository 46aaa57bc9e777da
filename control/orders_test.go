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

// If all agents of a large fleet waited for orders at the leader, that would cost it more than
// all its other work. Beyond its own share each agent must be sent to a follower, evenly
// distributed and in its own data centre if possible; in a small fleet all agents stay with the
// leader.
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

// Guards against an agent in an endless loop of registrations: the follower that it asks for
// orders has not applied its registration yet and must not answer that it is not registered.
func TestFollowerThatIsBehindEndsNoSession(t *testing.T) {
	s := NewState()
	s.Jobs.ApplyRegister(jobs.Worker{ID: "w", Agent: "a", Session: "old", Service: "vault"}, 5)
	s.Index = 7
	ref := WorkerRef{Worker: "w", Session: "new"}
	cases := []struct {
		name       string
		registered uint64
		leads      bool
		code       refusal.Code
	}{
		{"the follower lacks the registration", 8, false, refusal.Behind},
		{"an agent that doesn't send the index of its registration", 0, false, refusal.Behind},
		{"the registration is known to be replaced", 7, false, refusal.NotRegistered},
		{"the leader knows", 0, true, refusal.NotRegistered},
		{"a new leader lacks the registration", 8, true, refusal.Behind},
	}
	for _, c := range cases {
		if err := s.checkSession(&OrdersRequest{WorkerRef: ref, Registered: c.registered}, c.leads); !refusal.Is(err, c.code) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	if err := s.checkSession(&OrdersRequest{WorkerRef: WorkerRef{Worker: "w", Session: "old"}}, false); err != nil {
		t.Errorf("a registered session: %v", err)
	}
}

// If the follower that an agent asks for orders is partitioned or down, the agent must get its
// orders from the leader without delay and skip that follower for a while.
func TestOrdersComeFromTheLeaderWhereTheFollowerCannotAnswer(t *testing.T) {
	var asked [2]int
	answers := []error{refusal.New(refusal.NotLeader, "", "not current"), nil}
	serve(t, "127.0.8.41:7880", func() error { asked[0]++; return answers[0] })
	serve(t, "127.0.8.42:7880", func() error { asked[1]++; return answers[1] })
	c := clientOf("127.0.8.42:7880")
	c.Prefer([]string{"127.0.8.49:7880", "127.0.8.41:7880"}) // nothing listens at the first
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
		t.Errorf("a replica that is only behind must be asked again: %v", asked)
	}
	answers[0] = refusal.New(refusal.NotRegistered, "", "replaced")
	if err := c.CallAny(PathPutConfig, 5*time.Second, &Empty{}, nil); !refusal.Is(err, refusal.NotRegistered) || asked[1] != 8 {
		t.Errorf("a final refusal was retried: %v, %v", err, asked)
	}
}
