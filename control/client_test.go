package control

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/transport"
)

// serve answers PathPutConfig at an address with the result of f.
func serve(t *testing.T, addr string, f func() error) {
	t.Helper()
	serveAt(t, addr, PathPutConfig, func([]byte) (any, error) { return Empty{}, f() })
}

// serveAt answers the messages of one path at an address.
func serveAt(t *testing.T, addr, path string, h transport.Handler) {
	t.Helper()
	server := transport.NewServer("test", nil)
	server.Handle(path, h, transport.RoleControl, transport.RoleEntry)
	ln, err := transport.Listen(addr)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func clientOf(addresses ...string) *Client {
	return NewClient("test", transport.NewClient(nil, "127.0.8.1"), func() []string { return addresses }, 0)
}

// Guards against calls that end with an unknown outcome, or only at their timeout, when all
// replicas are down. No connection was made, so the caller must be told early that nothing was
// sent; otherwise it cannot retry by itself.
func TestUnsentCallFailsEarlyAsNotSent(t *testing.T) {
	c := clientOf("127.0.8.11:7880", "127.0.8.12:7880")
	c.SetRetryLimit(100 * time.Millisecond)
	begun := time.Now()
	err := c.Call(PathPutConfig, 30*time.Second, &Empty{}, nil)
	if !refusal.Is(err, refusal.SendFailed) {
		t.Errorf("got %v", err)
	}
	if time.Since(begun) > 10*time.Second {
		t.Errorf("failed after %v", time.Since(begun))
	}
}

// Guards against a first try with unknown outcome that is reported as "no effect" because a later
// replica refuses for lack of a quorum: the first try may have been committed.
func TestUnknownOutcomeOfAnEarlierTryIsKept(t *testing.T) {
	var first atomic.Bool
	serve(t, "127.0.8.21:7880", func() error {
		if first.CompareAndSwap(false, true) {
			return refusal.New(refusal.UnknownOutcome, "", "the leader changed")
		}
		return refusal.New(refusal.NoQuorum, "", "no leader")
	})
	serve(t, "127.0.8.22:7880", func() error { return refusal.New(refusal.NoQuorum, "", "no leader") })
	c := clientOf("127.0.8.21:7880", "127.0.8.22:7880")
	c.SetRetryLimit(50 * time.Millisecond)
	err := c.Call(PathPutConfig, time.Second, &Empty{}, nil)
	// On a busy machine the last try may itself time out, which leaves the outcome open as well.
	if !refusal.Is(err, refusal.UnknownOutcome) && !refusal.Is(err, refusal.Unreachable) {
		t.Errorf("got %v", err)
	}
}

// An agent starts while two of its three seeds are down, including the first. It finds the third
// and keeps using it.
func TestDeadSeedsAreSkippedAtTheStart(t *testing.T) {
	var calls atomic.Int32
	serve(t, "127.0.8.53:7880", func() error { calls.Add(1); return nil })
	c := clientOf("127.0.8.51:7880", "127.0.8.52:7880", "127.0.8.53:7880")
	for range 3 {
		if err := c.Call(PathPutConfig, 30*time.Second, &Empty{}, nil); err != nil {
			t.Fatal(err)
		}
	}
	if calls.Load() != 3 || c.current() != "127.0.8.53:7880" {
		t.Errorf("%d calls arrived, the next one goes to %s", calls.Load(), c.current())
	}
}

// All seeds in the settings are gone, but replicas learned since are reachable.
func TestLearnedReplicasAreUsedWithoutTheSeeds(t *testing.T) {
	serve(t, "127.0.8.31:7880", func() error { return nil })
	c := clientOf("127.0.8.33:7880", "127.0.8.34:7880")
	c.SetReplicas([]string{"127.0.8.31:7880"})
	if err := c.Call(PathPutConfig, 10*time.Second, &Empty{}, nil); err != nil {
		t.Error(err)
	}
}

// Guards against skipping a leader for a second or more after it has recovered: after a power
// loss a client finds the future leader not yet up, and another replica names it a moment later.
func TestLeaderThatRecoveredIsUsedAgain(t *testing.T) {
	c := clientOf("a", "b", "c")
	c.switchReplica("a", time.Now(), refusal.New(refusal.SendFailed, "", "not up yet"))
	c.switchReplica("b", time.Now().Add(time.Millisecond), notLeader("a", 0))
	if c.current() != "a" {
		t.Errorf("asks %s next", c.current())
	}
}

// Guards against returning to a leader that has just been partitioned and that the other replicas
// still name: the try would only time out.
func TestLeaderThatIsPartitionedIsNotUsedAgain(t *testing.T) {
	c := clientOf("a", "b", "c")
	c.switchReplica("a", time.Now(), refusal.New(refusal.Unreachable, "", "no answer"))
	c.switchReplica("b", time.Now().Add(time.Millisecond), notLeader("a", time.Second))
	if c.current() != "c" {
		t.Errorf("asks %s next, named by a replica that had not heard from a for a second", c.current())
	}
}

// notLeader returns a refusal that names another leader, last heard from the given time ago.
func notLeader(leader string, sinceLeader time.Duration) *refusal.Error {
	e := refusal.New(refusal.NotLeader, "", "another one leads")
	e.Leader, e.SinceLeader = leader, sinceLeader
	return e
}

// Guards against "no effect" as the answer to a call of which an earlier try may have taken effect or
// is still on its way, for each code and for codes that will be added: only a final refusal, a verdict
// on the sender, or the answer to a question says more than that the last try had no effect.
func TestRefusalSaysNothingAboutEarlierTries(t *testing.T) {
	codes := []refusal.Code{refusal.NotLeader, refusal.NoQuorum, refusal.DiskFull, refusal.UnknownOutcome, refusal.Conflict, refusal.ChangeReused,
		refusal.Invalid, refusal.NotFound, refusal.Forbidden, refusal.TooLarge, refusal.NoConfig, refusal.Behind, refusal.Stale, refusal.NoRoute,
		refusal.NoUpstream, refusal.Overloaded, refusal.SendFailed, refusal.KeyStoreFull, refusal.CallerGone, refusal.Accepted, "a-code-that-will-be-added"}
	for _, code := range codes {
		e := refusal.New(code, "", "refused")
		if err := combinedOutcome(PathSubmitJob, e, true); !refusal.Is(err, refusal.UnknownOutcome) {
			t.Errorf("%s after a try that may have been taken: %v", code, err)
		}
		if err := combinedOutcome(PathSubmitJob, e, false); !refusal.Is(err, code) {
			t.Errorf("%s of the only try: %v", code, err)
		}
		final := *e
		final.Final = true
		if err := combinedOutcome(PathSubmitJob, &final, true); !refusal.Is(err, code) {
			t.Errorf("a final %s: %v", code, err)
		}
		if err := combinedOutcome(PathLookUp, e, true); !refusal.Is(err, code) {
			t.Errorf("%s to a look-up: %v", code, err)
		}
	}
	for _, code := range []refusal.Code{refusal.NotRegistered, refusal.UnknownService, refusal.KeyMismatch, refusal.KeyExpired} {
		if err := combinedOutcome(PathRegister, refusal.New(code, "", "refused"), true); !refusal.Is(err, code) {
			t.Errorf("the verdict %s: %v", code, err)
		}
	}
}

// serveJobs answers submissions at an address with the results of f.
func serveJobs(t *testing.T, addr string, f func(*SubmitJob) (Acknowledged, error)) {
	t.Helper()
	serveAt(t, addr, PathSubmitJob, handle(func(c SubmitJob) (Acknowledged, error) { return f(&c) }))
}

// Guards against a caller that waits in vain at a leader which was replaced and does not know it yet: it
// finds the message stale, and its stamps are of an earlier term.
func TestStaleMessageIsNotSentToAFormerLeaderAgain(t *testing.T) {
	former := 0
	serveJobs(t, "127.0.8.71:7880", func(*SubmitJob) (Acknowledged, error) {
		former++
		e := refusal.New(refusal.Stale, "", "stale")
		e.Stamp = &refusal.Stamp{Term: 3, Tick: 100}
		return Acknowledged{}, e
	})
	serveJobs(t, "127.0.8.72:7880", func(c *SubmitJob) (Acknowledged, error) { return Acknowledged{}, nil })
	c := clientOf("127.0.8.71:7880", "127.0.8.72:7880")
	c.observe(&refusal.Stamp{Term: 4, Tick: 1})
	if err := c.Call(PathSubmitJob, time.Second, &SubmitJob{}, &Acknowledged{}); err != nil || former != 1 {
		t.Errorf("after %d tries at the former leader: %v", former, err)
	}
}

// Guards against a job that is refused because its entry had not heard from the leader: the message
// is sent again with the stamp of the answer, unless its caller has given up meanwhile.
func TestStaleMessageIsSentAgainWhileItsCallerWaits(t *testing.T) {
	stamp := &refusal.Stamp{Term: 3, Tick: 8}
	var seen []refusal.Stamp
	serveJobs(t, "127.0.8.61:7880", func(c *SubmitJob) (Acknowledged, error) {
		seen = append(seen, *c.Seen)
		if stamp.After(c.Seen) {
			e := refusal.New(refusal.Stale, "", "stale")
			e.Stamp = stamp
			return Acknowledged{}, e
		}
		return Acknowledged{}, nil
	})
	c := clientOf("127.0.8.61:7880")
	tries := 0
	whileFirst := func() bool { tries++; return tries == 1 }
	if err := c.CallWhile(whileFirst, PathSubmitJob, time.Second, &SubmitJob{}, &Acknowledged{}); !refusal.Is(err, refusal.CallerGone) {
		t.Errorf("after the caller gave up: %v", err)
	}
	if len(seen) != 1 || seen[0] != (refusal.Stamp{}) {
		t.Fatalf("sent with %+v", seen)
	}
	stamp = &refusal.Stamp{Term: 4, Tick: 1} // another leader
	if err := c.Call(PathSubmitJob, time.Second, &SubmitJob{}, &Acknowledged{}); err != nil {
		t.Errorf("while the caller waits: %v", err)
	}
	if len(seen) != 3 || seen[1] != (refusal.Stamp{Term: 3, Tick: 8}) || seen[2] != *stamp {
		t.Errorf("sent with %+v", seen)
	}
}
