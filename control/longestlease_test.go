package control

import (
	"testing"
	"time"
)

// Guards against runs that are made void while active: a late call for the worker's previous
// start extended its lease to the platform's longest one, while the lease table assumes the
// control's term.
func TestWorkerThatLateCallsMayHaveReachedIsLostOnlyAfterTheLongestLease(t *testing.T) {
	c := newCluster(t)
	c.prepareJobs(4)
	l := c.replicas[c.leader()]
	longest := l.set.Control.LongestLease.Duration
	if longest < testTerm+4*watchInterval {
		t.Fatalf("the longest lease of %v is too short for this test", longest)
	}
	first := testWorker("x-1", "b", "b1")
	first.Token = c.token(l, "b")
	if done, err := l.onRegister(Registration{Worker: first}); err != nil || done.LateLeaseMS != 0 {
		t.Fatalf("the agent's first worker: %+v, %v", done, err)
	}
	next := testWorker("x-2", "b", "b2")
	next.Token, next.LateLease = c.token(l, "b"), true
	begun := time.Now()
	done, err := l.onRegister(Registration{Worker: next})
	if err != nil || done.LateLeaseMS <= longest.Milliseconds() {
		t.Fatalf("the agent gets %+v, %v", done, err)
	}
	c.wait("the lease's end", func() bool { return !isRegistered(l, "x-2") })
	if took := time.Since(begun); took < longest {
		t.Errorf("the worker is lost after %v; a late call may have extended its lease to %v", took, longest)
	}
}

// Guards against waiting for the longest lease although it has already passed, and against a
// later session that claims it again.
func TestLongestLeaseIsCleared(t *testing.T) {
	c := newCluster(t)
	c.prepareJobs(4)
	l := c.replicas[c.leader()]
	w := testWorker("x-1", "b", "b1")
	w.Token = c.token(l, "b")
	if _, err := l.onRegister(Registration{Worker: w}); err != nil {
		t.Fatal(err)
	}
	w = testWorker("x-2", "b", "b2")
	w.Token, w.LateLease = c.token(l, "b"), true
	if _, err := l.onRegister(Registration{Worker: w}); err != nil {
		t.Fatal(err)
	}
	w.LateLease = false
	if done, err := l.onRegister(Registration{Worker: w, Update: true}); err != nil || done.LateLeaseMS != 0 {
		t.Fatalf("after the update: %+v, %v", done, err)
	}
	w.Session, w.LateLease, w.Token = "b3", true, c.token(l, "b")
	if done, err := l.onRegister(Registration{Worker: w}); err != nil || done.LateLeaseMS != 0 {
		t.Errorf("a later session with the same incarnation: %+v, %v", done, err)
	}
}

// token returns a fencing token for an agent.
func (c *cluster) token(l *Replica, agent string) uint64 {
	c.t.Helper()
	a, err := l.onFence(FenceRequest{Agent: agent, Worker: "x", Service: "vault"})
	if err != nil {
		c.t.Fatal(err)
	}
	return a.Token
}
