package control

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/transport"
)

// serve answers PathPutConfig at an address with what f says.
func serve(t *testing.T, addr string, f func() error) {
	t.Helper()
	server := transport.NewServer("test", nil)
	server.Handle(PathPutConfig, func([]byte) (any, error) { return Empty{}, f() }, transport.RoleControl)
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

func clientOf(contacts ...string) *Client {
	return NewClient("test", transport.NewClient(nil, "127.0.8.1"), func() []string { return contacts }, 0)
}

// All replicas are down: no connection is made, so nothing was taken. A caller
// that is told "unknown" may not try again by itself, and one that is held until
// its time is up can't either. It must be told "not taken", and soon.
func TestNothingSentIsCertainAndTold(t *testing.T) {
	c := clientOf("127.0.8.11:7880", "127.0.8.12:7880")
	c.SetPatience(100 * time.Millisecond)
	begun := time.Now()
	err := c.Call(PathPutConfig, 30*time.Second, &Empty{}, nil)
	if !refusal.Is(err, refusal.SendFailed) {
		t.Errorf("got %v", err)
	}
	if time.Since(begun) > 10*time.Second {
		t.Errorf("told after %v", time.Since(begun))
	}
}

// The leader takes a job and dies before it answers; the next replica says that
// nobody leads. Taken by itself that means "not taken", but the first try may
// have been: the caller must not be told otherwise.
func TestAnEarlierTryThatMayHaveBeenTakenIsNotForgotten(t *testing.T) {
	var first atomic.Bool
	serve(t, "127.0.8.21:7880", func() error {
		if first.CompareAndSwap(false, true) {
			return refusal.New(refusal.UnknownOutcome, "", "the leader changed")
		}
		return refusal.New(refusal.NoQuorum, "", "nobody leads")
	})
	serve(t, "127.0.8.22:7880", func() error { return refusal.New(refusal.NoQuorum, "", "nobody leads") })
	c := clientOf("127.0.8.21:7880", "127.0.8.22:7880")
	c.SetPatience(50 * time.Millisecond)
	err := c.Call(PathPutConfig, time.Second, &Empty{}, nil)
	// On a busy machine the last try may itself go unanswered, which leaves the
	// outcome open as well.
	if !refusal.Is(err, refusal.UnknownOutcome) && !refusal.Is(err, refusal.Unreachable) {
		t.Errorf("got %v", err)
	}
}

// An agent starts while two of its three seeds are dead, the first one included. It finds
// the third, and stays with it.
func TestDeadSeedsAtTheStartArePassedOver(t *testing.T) {
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

// The seeds in the settings are all gone; the replicas that were heard of since
// are not.
func TestLearnedReplicasOutliveTheSeeds(t *testing.T) {
	serve(t, "127.0.8.31:7880", func() error { return nil })
	c := clientOf("127.0.8.33:7880", "127.0.8.34:7880")
	c.Learn([]string{"127.0.8.31:7880"})
	if err := c.Call(PathPutConfig, 10*time.Second, &Empty{}, nil); err != nil {
		t.Error(err)
	}
}

// After a loss of all power a client finds the coming leader not up yet, and the others name it
// a moment later. Disbelieved, callers walk past a leader that is there for a second and more.
func TestLeaderThatCameUpSinceItFailedIsGoneBackTo(t *testing.T) {
	c := clientOf("a", "b", "c")
	c.switchReplica("a", time.Now(), refusal.New(refusal.SendFailed, "", "not up yet"))
	c.switchReplica("b", time.Now().Add(time.Millisecond), named("a", 0))
	if c.current() != "a" {
		t.Errorf("asks %s next", c.current())
	}
}

// A leader was cut off a moment ago and the others have not noticed yet. Believed, their word
// sends callers back to it, for another try that nobody answers.
func TestLeaderThatWasCutOffIsNotGoneBackTo(t *testing.T) {
	c := clientOf("a", "b", "c")
	c.switchReplica("a", time.Now(), refusal.New(refusal.Unreachable, "", "no answer"))
	c.switchReplica("b", time.Now().Add(time.Millisecond), named("a", time.Second))
	if c.current() != "c" {
		t.Errorf("asks %s next, by the word of one that had not heard from a for a second", c.current())
	}
}

// named is a replica's word that another one leads, which it heard from so long ago.
func named(leader string, heard time.Duration) *refusal.Error {
	e := refusal.New(refusal.NotLeader, "", "another one leads")
	e.Leader, e.LeaderHeard = leader, heard
	return e
}
