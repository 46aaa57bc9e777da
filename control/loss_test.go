package control

import (
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/membership"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

// testTerm is the lease duration in newCluster's settings, with its margin.
const testTerm = 1050 * time.Millisecond

// goroutineDelay is longer than the interval of watches, and much shorter than the term.
const goroutineDelay = watchInterval + watchInterval/4

// registerOnly commits a registration whose handler does not continue after the commit.
func (c *cluster) registerOnly(l *Replica, w jobs.Worker) *jobs.Worker {
	c.t.Helper()
	v, err := l.proposeJob(JobCommand{Register: &Registration{Worker: w}})
	if err != nil {
		c.t.Fatal(err)
	}
	done := v.(registerResult)
	return &done.Worker
}

func isRegistered(l *Replica, worker string) (registered bool) {
	l.machine.Read(func(s *State) { registered = s.Jobs.Workers[worker] != nil })
	return registered
}

func testWorker(id, agent, session string) jobs.Worker {
	return jobs.Worker{ID: id, Agent: agent, Session: session, Service: "vault", Capacity: resource.Vector{MilliCPU: 4000}}
}

// Guards against runs that are made void although the worker has a lease: the loss was decided
// from the lease table entry of an earlier registration of that worker.
func TestRegistrationIsNotLostByAnEarlierOnesLease(t *testing.T) {
	for _, c := range []struct{ name, worker, agent string }{
		{"a worker that is new to an old leader", "new", "b"},
		{"a worker whose lease had ended", "w", "a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			cl := newCluster(t)
			cl.prepareJobs(4)
			l := cl.replicas[cl.leader()]
			cl.wait("the lease's end", func() bool { return !isRegistered(l, "w") })
			w := testWorker(c.worker, c.agent, "2")
			done := cl.registerOnly(l, w)
			time.Sleep(goroutineDelay) // simulates a delayed goroutine on a busy machine
			l.dispatcher.registered(done)
			for range 10 {
				if _, err := l.onLease(LeaseRequest{WorkerRef: WorkerRef{c.worker, "2"}}); err != nil {
					t.Fatalf("the worker's lease: %v", err)
				}
				time.Sleep(watchInterval / 2)
			}
		})
	}
}

// Guards against a lease that is granted while its expiry is being committed: runs started under
// it would be made void a moment later.
func TestNoLeaseIsGrantedBetweenALossAndItsCommit(t *testing.T) {
	c := newCluster(t)
	c.prepareJobs(4)
	l := c.replicas[c.leader()]
	d := l.dispatcher
	var w jobs.Worker
	l.machine.Read(func(s *State) { w = *s.Jobs.Workers["w"] })
	d.mu.Lock()
	closed := d.leases.Close(holderOf(&w), time.Now().Add(2*testTerm))
	d.mu.Unlock()
	if !closed {
		t.Fatal("the lease could not be closed")
	}
	d.registered(&w) // the handler of the registration that is being ended continues late
	if _, err := l.onLease(LeaseRequest{WorkerRef: WorkerRef{"w", "1"}}); !refusal.Is(err, refusal.Unreachable) {
		t.Errorf("a lease of registration %d, which is being ended: %v", w.Registered, err)
	}
}

// Guards against a session that continues after its worker was lost: its update would register
// the worker anew, and the agent would start runs that were made void.
func TestSessionOfALostWorkerCannotRegisterAgain(t *testing.T) {
	c := newCluster(t)
	c.prepareJobs(4)
	l := c.replicas[c.leader()]
	w := testWorker("x", "b", "b1")
	first, err := l.onFence(FenceRequest{Agent: "b", Worker: "x", Service: "vault"})
	if err != nil {
		t.Fatal(err)
	}
	w.Token = first.Token
	if _, err := l.onRegister(Registration{Worker: w}); err != nil {
		t.Fatal(err)
	}
	c.wait("the lease's end", func() bool { return !isRegistered(l, "x") })
	w.Draining = true
	if _, err := l.onRegister(Registration{Worker: w}); !refusal.Is(err, refusal.NotRegistered) {
		t.Errorf("an update of a session whose worker was lost: %v", err)
	}
	reserve, err := l.onFence(FenceRequest{Agent: "b", Worker: "x", Service: "vault"})
	if err != nil {
		t.Fatal(err)
	}
	w.Token = reserve.Token
	if _, err := l.onRegister(Registration{Worker: w, Update: true}); !refusal.Is(err, refusal.NotRegistered) {
		t.Errorf("an update with the token in reserve: %v", err)
	}
	next, err := l.onFence(FenceRequest{Agent: "b", Worker: "x", Service: "vault"})
	if err != nil || next.Worker != "" {
		t.Fatalf("the next session gets worker %q (%v)", next.Worker, err)
	}
	w.Token, w.Session = next.Token, "b2"
	if _, err := l.onRegister(Registration{Worker: w}); err != nil {
		t.Errorf("the next session: %v", err)
	}
}

// Guards against a loss that is committed in a later leadership of the replica that decided it:
// the workers may hold leases of the leader in between.
func TestLossIsCommittedInItsOwnLeadershipOnly(t *testing.T) {
	c := newCluster(t)
	c.prepareJobs(4)
	l := c.replicas[c.leader()]
	var w jobs.Worker
	l.machine.Read(func(s *State) { w = *s.Jobs.Workers["w"] })
	decided := loss{workers: []jobs.Loss{{Worker: "w", Registered: w.Registered}}, term: l.node.View().Term - 1}
	l.dispatcher.commitLoss(&decided)
	if !isRegistered(l, "w") {
		t.Error("a loss of an earlier leadership took effect")
	}
	decided.term++
	l.dispatcher.commitLoss(&decided)
	if isRegistered(l, "w") {
		t.Error("a loss of the present leadership took no effect")
	}
}

// Guards against a member that is marked down right after its return: its announcement is
// applied, but its handler has not recorded its lease yet.
func TestMemberThatReturnedIsNotMarkedDown(t *testing.T) {
	c := newCluster(t)
	l := c.replicas[c.leader()]
	m := membership.Member{Agent: "a", Address: "127.0.0.1:1", Boot: "b"}
	phase := func() (p membership.Phase) {
		l.machine.Read(func(s *State) { p = s.Members.Members["a"].Phase })
		return p
	}
	announce := func() {
		if _, err := l.propose(Command{Announce: &m}); err != nil {
			t.Fatal(err)
		}
	}
	announce()
	c.wait("the end of the first lease", func() bool { return phase() == membership.Down })
	time.Sleep(2 * watchInterval) // until the expiry is seen to be committed
	announce()
	time.Sleep(goroutineDelay) // simulates a delayed goroutine on a busy machine
	if p := phase(); p != membership.Up {
		t.Errorf("it is %v", p)
	}
}

// Guards against a lease that ends early: the watch read its clock, then waited for the state for
// longer than a term, and recorded a registration made meanwhile with the old time.
func TestDelayedWatchGivesAWholeTerm(t *testing.T) {
	c := newCluster(t)
	c.prepareJobs(4)
	l := c.replicas[c.leader()]
	l.machine.mu.Lock()
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		l.dispatcher.decideLoss()
	}()
	time.Sleep(testTerm + 100*time.Millisecond)
	l.machine.state.Jobs.ApplyRegister(testWorker("new", "b", "2"), l.machine.state.Index+1)
	l.machine.mu.Unlock()
	<-watched
	for _, x := range l.dispatcher.decideLoss().workers {
		if x.Worker == "new" {
			t.Error("a recent registration was declared lost")
		}
	}
}
