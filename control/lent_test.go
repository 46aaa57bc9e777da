package control

import (
	"testing"
	"time"
)

// Guards against runs that are made void while they are at work: a late call for the start of the
// worker before lent this one the platform's longest lease, and the book counts on the control's.
func TestWorkerThatLateCallsMayHaveReachedIsLostOnlyAfterTheLongestLease(t *testing.T) {
	c := newCluster(t)
	c.prepareJobs(4)
	l := c.replicas[c.leader()]
	longest := l.set.Control.LongestLease.Duration
	if longest < testTerm+4*watchInterval {
		t.Fatalf("the longest lease is %v: nothing is shown", longest)
	}
	first := testWorker("x-1", "b", "b1")
	first.Token = c.token(l, "b")
	if done, err := l.onRegister(Registration{Worker: first}); err != nil || done.LentMS != 0 {
		t.Fatalf("the agent's first worker: %+v, %v", done, err)
	}
	next := testWorker("x-2", "b", "b2")
	next.Token, next.LentLate = c.token(l, "b"), true
	begun := time.Now()
	done, err := l.onRegister(Registration{Worker: next})
	if err != nil || done.LentMS <= longest.Milliseconds() {
		t.Fatalf("the agent is told %+v, %v", done, err)
	}
	c.wait("the lease's end", func() bool { return !isRegistered(l, "x-2") })
	if took := time.Since(begun); took < longest {
		t.Errorf("the worker is taken for lost after %v; a late call may have lent it %v", took, longest)
	}
}

// Guards against a wait for the longest lease long after it has passed, and against a session that
// claims it anew.
func TestLongestLeaseIsTakenBack(t *testing.T) {
	c := newCluster(t)
	c.prepareJobs(4)
	l := c.replicas[c.leader()]
	w := testWorker("x-1", "b", "b1")
	w.Token = c.token(l, "b")
	if _, err := l.onRegister(Registration{Worker: w}); err != nil {
		t.Fatal(err)
	}
	w = testWorker("x-2", "b", "b2")
	w.Token, w.LentLate = c.token(l, "b"), true
	if _, err := l.onRegister(Registration{Worker: w}); err != nil {
		t.Fatal(err)
	}
	w.LentLate = false
	if done, err := l.onRegister(Registration{Worker: w, Update: true}); err != nil || done.LentMS != 0 {
		t.Fatalf("taken back: %+v, %v", done, err)
	}
	w.Life, w.LentLate, w.Token = "b3", true, c.token(l, "b")
	if done, err := l.onRegister(Registration{Worker: w}); err != nil || done.LentMS != 0 {
		t.Errorf("a later session beside the same start: %+v, %v", done, err)
	}
}

// token is a fencing token for an agent.
func (c *cluster) token(l *Replica, agent string) uint64 {
	c.t.Helper()
	a, err := l.onFence(FenceRequest{Agent: agent, Worker: "x", Service: "vault"})
	if err != nil {
		c.t.Fatal(err)
	}
	return a.Token
}
