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

// standingJob asks for a number of processors for good.
func standingJob(id string, processors int64) SubmitJob {
	return SubmitJob{Host: "a.example", Path: "/watch/" + id, Spec: jobs.Spec{
		Steps: []jobs.Step{{Count: 1, Need: resource.Vector{MilliCPU: processors * 1000}, Standing: true}}}}
}

// prepareJobs sends a configuration and a worker to whoever leads.
func (c *cluster) prepareJobs(processors int64) {
	c.t.Helper()
	w := jobs.Worker{ID: "w", Agent: "a", Life: "1", Service: "vault", Capacity: resource.Vector{MilliCPU: processors * 1000}}
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

// A caller hands a job in that the leader has no room for and is told to come back
// later. A leader that was cut off, and may have been replaced by one that has taken
// the job, must not say so: "not run" would be a lie. A job that is known is never
// refused, however full the workers are.
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
		t.Fatalf("a job beyond the room: %v", err)
	}
	if _, err := c.replicas[old].onSubmitJob(known); err != nil {
		t.Fatalf("a known job handed in again: %v", err)
	}
	c.isolate(old, true)
	if _, err := c.replicas[old].onSubmitJob(tooMuch); err == nil || refusal.Is(err, refusal.Overloaded) {
		t.Fatalf("a cut off leader answers %v", err)
	}
	c.isolate(old, false)
}

// Six callers hand in standing jobs at the same moment, each of which would fit the share of
// the room that standing tasks may hold. Judged by what is placed, all six are taken, and the
// tasks that come and go find no room for as long as they last.
func TestStandingJobsThatComeTogetherShareTheRoom(t *testing.T) {
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
		t.Errorf("%d of 6 jobs that want a quarter of the room were taken, want 3", n)
	}
	if left := r.dispatcher.reservedCPU(); len(left) != 0 {
		t.Errorf("promised after all calls ended: %v", left)
	}
}

// An operator asks why starts take long. The leader tells with each plan since when the tasks
// have waited that it places for the first time: since their job's arrival, or the end of the
// last step that theirs depends on; never of a repetition, or of what an older leader knew.
func TestOrdersTellSinceWhenTheirTaskHasWaited(t *testing.T) {
	state, s := jobs.NewState(), newWaitStarts()
	rules := jobs.Rules{Cordoned: func(string) bool { return false }, Service: func(string, string) string { return "vault" }, MaxAttempts: func(string, string) int { return 3 }}
	state.ApplyRegister(jobs.Worker{ID: "w", Agent: "a", Life: "1", Service: "vault", Capacity: resource.Vector{MilliCPU: 4000}}, 1)
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
	s.submitted(id, at(20)) // the same job handed in again
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
		t.Fatalf("after it was forgotten: %+v", plan)
	}
}
