package proof

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/queues"
	"github.com/waxwinghaven/waxwinghaven/runner"
)

// The times of the advisor's answers, as the queue announces them.
const (
	adviceDecision  = 20 * time.Millisecond
	advicePerWorker = time.Millisecond
	ticketValidity  = 3 * time.Second
)

// advisor is the service that knows which workers may run the steps of an advised queue. It answers
// one call at a time.
type advisor struct {
	// allows decides whether a worker may run a step, nil for all.
	allows func(step jobs.GroupKey, worker string) bool

	answering sync.Mutex
	mu        sync.Mutex
	issued    map[string]issuedTicket
}

type issuedTicket struct {
	step   jobs.GroupKey
	worker string
	until  time.Time
}

func newAdvisor() *advisor { return &advisor{issued: make(map[string]issuedTicket)} }

// Advise implements control.Advisor.
func (a *advisor) Advise(_ context.Context, step jobs.GroupKey, workers []string) (control.Advice, error) {
	a.answering.Lock()
	defer a.answering.Unlock()
	time.Sleep(adviceDecision + time.Duration(len(workers))*advicePerWorker)
	out := control.Advice{Tickets: make(map[string]string), Valid: ticketValidity}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range workers {
		if a.allows != nil && !a.allows(step, w) {
			continue
		}
		name := fmt.Sprint("ticket-", len(a.issued))
		a.issued[name] = issuedTicket{step, w, time.Now().Add(ticketValidity)}
		out.Tickets[w] = name
	}
	return out, nil
}

// admits reports whether a start call carries a valid ticket, if its step needs one.
func (a *advisor) admits(advised func(job string) bool) func(runner.StartCall) bool {
	return func(c runner.StartCall) bool {
		if !advised(c.Task.Job) {
			return c.Ticket == ""
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		t, known := a.issued[c.Ticket]
		return known && t.step == c.Task.Group() && t.worker == c.Target.Worker && time.Now().Before(t.until)
	}
}

// advisedQueue is a queue whose steps may run only where the advisor allows.
func advisedQueue() queues.Queue {
	return queues.Queue{Name: "advised", Host: "a.example", Prefix: advisedPrefix, Service: "vault", TimeoutMS: 3000, TargetMS: 60_000, Slack: 50, MaxAttempts: 3,
		Advice: &queues.Advice{DecisionMS: float64(adviceDecision.Milliseconds()), PerWorkerMS: float64(advicePerWorker.Milliseconds()), ValidMS: ticketValidity.Milliseconds()}}
}

const advisedPrefix = "/advised/"

// Guards against standing tasks of an advised queue that wait for good beside empty workers that
// were added: the advisor was asked again and again about those that can take no more of them.
func TestAddedWorkersTakeTheTasksOfAnAdvisedQueue(t *testing.T) {
	const before, added, waiting = 32, 4, 2
	oneEach := newStandingStep(before+waiting, 300)
	oneEach.MaxPerWorker = 1
	isolateTest(t)
	for name, step := range map[string]jobs.Step{
		"one task a worker":       oneEach,
		"one task fills a worker": newStandingStep(before+waiting, 7000),
		"two tasks fill a worker": newStandingStep(2*before+waiting, 4300),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				s := newSimulation(t, ctx, 1, before, true)
				s.advice = true
				defer s.end(cancel)
				s.firstConfig()
				s.sleepWithHeartbeats(3 * time.Second)
				job := s.submitAdvised(fmt.Sprintf("lasts=1&cpu=%d", step.Need.MilliCPU), step)
				s.sleepWithHeartbeats(10 * time.Second)
				if n := s.runningTasks(job); n != step.Count-waiting {
					t.Fatalf("%d tasks are running before workers are added, want %d\n%v", n, step.Count-waiting, s.log)
				}
				s.startAgents(added)
				s.sleepWithHeartbeats(idleBound)
				if n := s.runningTasks(job); n != step.Count {
					t.Errorf("%d of %d tasks are running %v after %d workers were added", n, step.Count, idleBound, added)
				}
			})
		})
	}
}

// idleBound is how long a task may wait while there is capacity for it.
const idleBound = 3 * time.Second

// submitAdvised is submitJob for the advised queue.
func (s *simulation) submitAdvised(payload string, steps ...jobs.Step) string {
	return s.submitTo(advisedPrefix, payload, steps...)
}
