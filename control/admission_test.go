package control

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/queues"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

var watchQueues = queues.Config{Version: 1, Services: []queues.Service{{Name: "vault"}}, Queues: []queues.Queue{
	{Name: "watch", Host: "a.example", Prefix: "/watch/", Service: "vault", TimeoutMS: 1000, TargetMS: 1000, Slack: 2}}}

// standingJob returns a job whose single standing task needs the given number of processors.
func standingJob(id string, processors int64) SubmitJob {
	return SubmitJob{Host: "a.example", Path: "/watch/" + id, Spec: jobs.Spec{
		Steps: []jobs.Step{{Count: 1, Need: resource.Vector{MilliCPU: processors * 1000}, Standing: true}}}}
}

// prepareJobs sends a configuration and registers worker "w" at the leader.
func (c *cluster) prepareJobs(processors int64) {
	c.t.Helper()
	w := jobs.Worker{ID: "w", Agent: "a", Session: "1", Service: "vault", Capacity: resource.Vector{MilliCPU: processors * 1000}}
	c.wait("the configuration and the worker", func() bool {
		l := c.leader()
		if l < 0 {
			return false
		}
		_, err := c.replicas[l].PutConfig(PutConfig{Config: watchQueues})
		if err != nil {
			return false
		}
		_, err = c.replicas[l].onRegister(Registration{Worker: w})
		return err == nil
	})
}

// Guards against a partitioned leader that refuses a job as overloaded: it may have been replaced
// by a leader that has accepted the job, so "not run" would be false. Also checks that a known
// job is never refused, however full the workers are.
func TestOnlyAConfirmedLeaderRefuses(t *testing.T) {
	c := newCluster(t)
	c.prepareJobs(4)
	old := c.leader()
	known, tooMuch := standingJob("00000000000000aa", 3), standingJob("00000000000000bb", 3)
	if _, err := c.replicas[old].onSubmitJob(known); err != nil {
		t.Fatal(err)
	}
	c.wait("the first job runs", func() bool {
		held := int64(0)
		c.replicas[old].machine.Read(func(s *State) { held = s.Jobs.Use("w").StandingCPU })
		return held == 3000
	})
	_, err := c.replicas[old].onSubmitJob(tooMuch)
	if e, ok := refusal.Of(err); !ok || e.Code != refusal.Overloaded || e.RetryAfter <= 0 {
		t.Fatalf("a job beyond the free capacity: %v", err)
	}
	if _, err := c.replicas[old].onSubmitJob(known); err != nil {
		t.Fatalf("a known job submitted again: %v", err)
	}
	c.isolate(old, true)
	if _, err := c.replicas[old].onSubmitJob(tooMuch); err == nil || refusal.Is(err, refusal.Overloaded) {
		t.Fatalf("a partitioned leader answers %v", err)
	}
	c.isolate(old, false)
}

// Guards against accepting more standing jobs than fit when they are submitted concurrently. Each
// of the six fits the share of the capacity for standing tasks on its own; judged only by what is
// already placed, all six are accepted and other tasks get no capacity for as long as they run.
func TestStandingJobsThatComeTogetherShareCapacity(t *testing.T) {
	c := newCluster(t)
	c.prepareJobs(16)
	r := c.replicas[c.leader()]
	var taken atomic.Int32
	var calls sync.WaitGroup
	for i := range 6 {
		calls.Go(func() {
			_, err := r.onSubmitJob(standingJob(fmt.Sprintf("%016x", i+1), 4))
			if err == nil {
				taken.Add(1)
			} else if !refusal.Is(err, refusal.Overloaded) {
				t.Errorf("job %d: %v", i, err)
			}
		})
	}
	calls.Wait()
	if n := taken.Load(); n != 3 {
		t.Errorf("%d of 6 jobs that need a quarter of the capacity were accepted, want 3", n)
	}
	if left := r.dispatcher.reservedCPU(); len(left) != 0 {
		t.Errorf("reserved after all calls ended: %v", left)
	}
}

// Start latencies are measured from the time that orders carry: the arrival of the job, or of the
// last end among the steps that the task depends on. It is set for a task's first placement only,
// and not for what an earlier leader received.
func TestOrdersCarryTheStartOfTheWait(t *testing.T) {
	state, s := jobs.NewState(), newWaitStarts()
	rules := jobs.Rules{Cordoned: func(string) bool { return false }, Service: func(string, string) string { return "vault" }, MaxAttempts: func(string, string) int { return 3 }}
	state.ApplyRegister(jobs.Worker{ID: "w", Agent: "a", Session: "1", Service: "vault", Capacity: resource.Vector{MilliCPU: 4000}}, 1)
	const id = "00000000000000aa"
	first, second := jobs.Step{Count: 1}, jobs.Step{Count: 1, DependsOn: []int{0}}
	if err := state.ApplySubmit(jobs.Submit{ID: id, Spec: jobs.Spec{Steps: []jobs.Step{first, second}}}, 2, 0); err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	at := func(ms int64) time.Time { return begun.Add(time.Duration(ms) * time.Millisecond) }
	place := func(s *waitStarts, step int, ms int64, index uint64) []jobs.Order {
		plan := jobs.Plan{AtMS: 1000 + ms, Placements: []jobs.Placement{{Job: id, Step: step, Indexes: []int{0}, Workers: []string{"w"}}}}
		s.fill(state, &plan, at(ms))
		state.ApplyPlan(plan, rules, index)
		return state.Orders("w", index-1)
	}
	s.submitted(id, at(5))
	s.submitted(id, at(20)) // the same job submitted again
	orders := place(s, 0, 30, 3)
	if len(orders) != 1 || orders[0].SinceMS != 1005 || orders[0].AfterStep || orders[0].AtMS != 1030 {
		t.Fatalf("the first step's order: %+v", orders)
	}
	end := jobs.End{Task: jobs.Ref{Job: id}, Run: 1, Outcome: jobs.OutcomeFailed}
	state.ApplyEnd("w", end, rules, 4)
	s.ended(state, []jobs.End{end}, at(50))
	orders = place(s, 0, 60, 5)
	if len(orders) != 1 || orders[0].SinceMS != 0 {
		t.Fatalf("a repetition's order: %+v", orders)
	}
	end.Run, end.Outcome = 2, jobs.OutcomeDone
	state.ApplyEnd("w", end, rules, 6)
	s.ended(state, []jobs.End{end}, at(100))
	orders = place(s, 1, 112, 7)
	if len(orders) != 1 || orders[0].SinceMS != 1100 || !orders[0].AfterStep {
		t.Fatalf("the second step's order: %+v", orders)
	}
	plan := jobs.Plan{AtMS: 1200, Placements: []jobs.Placement{{Job: id, Step: 1}}}
	newWaitStarts().fill(state, &plan, at(200))
	s.forget(func(string) bool { return false })
	s.fill(state, &plan, at(200))
	if plan.Placements[0].SinceMS != 0 || len(s.submittedAt)+len(s.endedAt) != 0 {
		t.Fatalf("after the job was forgotten: %+v", plan)
	}
}

// Guards against a refusal of a job that runs. A caller submits a job again while its first
// submission waits for the confirmation of a majority; the second passes, since the first is in
// flight, and is committed. The first must not be refused then, nor may the second if the first
// was refused before it arrived.
func TestSubmissionIsNotRefusedBesideOneThatPassed(t *testing.T) {
	inSite(t, func(t *testing.T, x *site) {
		x.submit(standingJob("00000000000000aa", 12))
		first := standingJob("0000000000000001", 10)
		second := first
		err := x.d.admitConfirmed(&first, func() error {
			if err := x.d.admitConfirmed(&second, func() error { return nil }); err != nil {
				t.Errorf("a submission beside one in flight is refused: %v", err)
			}
			return nil
		})
		if err != nil {
			t.Errorf("refused although another submission of the job is being committed: %v", err)
		}
		x.d.submitted(&second)
		x.d.submitted(&first)
		if n := len(x.d.inFlight); n != 0 {
			t.Errorf("%d submissions are still in flight", n)
		}
	})
}
