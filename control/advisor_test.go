package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/waxwinghaven/waxwinghaven/advice"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/queues"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

var advisedQueues = queues.Config{Version: 1, Services: []queues.Service{{Name: "vault"}}, Queues: []queues.Queue{
	{Name: "advised", Host: "a.example", Prefix: "/advised/", Service: "vault", TimeoutMS: 1000, TargetMS: 1000, Slack: 2,
		Advice: &queues.Advice{DecisionMS: 20, PerWorkerMS: 1, ValidMS: 3000}}}}

// advisedSite is a dispatcher that doesn't run, with workers and the advised queue.
type advisedSite struct {
	*site
}

func newAdvisedSite(t *testing.T, workers ...string) *advisedSite {
	r := newBareReplica(t)
	r.node = newIdleNode(t, r.machine)
	x := &advisedSite{&site{t: t, d: newDispatcher(r)}}
	x.apply(JobCommand{Put: &PutConfig{Config: advisedQueues}})
	for _, id := range workers {
		x.register(id)
	}
	return x
}

func (x *advisedSite) register(id string) {
	x.apply(JobCommand{Register: &Registration{Worker: jobs.Worker{ID: id, Agent: id, Session: "1", Service: "vault", Capacity: resource.Vector{MilliCPU: 10_000}}}})
}

// submit accepts a job of the advised queue and returns its first step.
func (x *advisedSite) submit(id int, step jobs.Step) jobs.GroupKey {
	job := fmt.Sprintf("%016x", id)
	x.apply(JobCommand{Submit: &SubmitJob{Host: "a.example", Path: "/advised/" + job, Spec: jobs.Spec{Steps: []jobs.Step{step}}}})
	return jobs.GroupKey{Job: job}
}

// answer answers the next question with tickets for all of its workers, and returns it.
func (x *advisedSite) answer() *advice.Question {
	q, _, valid := x.d.advice.next()
	if q == nil {
		return nil
	}
	tickets := make(map[string]string)
	for _, w := range q.Workers {
		tickets[w] = "t"
	}
	x.d.advice.table.Answer(q, tickets, time.Now(), valid)
	return q
}

// Guards against tickets of workers that get no new tasks because they rejected one or don't answer:
// they counted as capacity, so a worker that was added was not asked about.
func TestTicketsOfAvoidedWorkersDoNotCount(t *testing.T) {
	x := newAdvisedSite(t, "w1")
	x.submit(1, jobs.Step{Count: 1, Need: resource.Vector{MilliCPU: 1000}})
	if q := x.answer(); q == nil || q.Workers[0] != "w1" {
		t.Fatalf("the first question: %+v", q)
	}
	x.d.markUnresponsive("w1")
	x.register("w2")
	if q := x.answer(); q == nil || q.Workers[0] != "w2" {
		t.Fatalf("the question when the only worker with a ticket does not answer: %+v", q)
	}
}

// Guards against an urgent step that always has one more question, since the tickets that it gets
// are of no use to it, and keeps the advisor from all other steps.
func TestEachStepHasItsTurnAtTheAdvisor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var workers []string
		for i := range 300 {
			workers = append(workers, fmt.Sprintf("w%03d", i))
		}
		x := newAdvisedSite(t, workers...)
		// Wider than what the tickets are valid for at a time: they run out before the last is issued.
		x.submit(1, jobs.Step{Count: 301, Need: resource.Vector{MilliCPU: 10_000}, Gang: true})
		late := x.submit(2, jobs.Step{Count: 1, Need: resource.Vector{MilliCPU: 1000}})
		for range 4 {
			q := x.answer()
			if q == nil {
				t.Fatal("nothing is asked")
			}
			if q.Step == late {
				return
			}
			time.Sleep(time.Second)
		}
		t.Error("the second step was not asked about within four questions")
	})
}
