package dispatch

import (
	"slices"
	"testing"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/queues"
)

// requireAdvice sets an advisor for the first queue, which issues the given tickets by worker.
func (s *harness) requireAdvice(tickets map[string]string) {
	c := config
	c.Queues = slices.Clone(config.Queues)
	c.Queues[0].Advice = &queues.Advice{DecisionMS: 50, PerWorkerMS: 1, ValidMS: 2000}
	s.in.Config = &c
	s.in.Ticket = func(_ jobs.GroupKey, worker string) string { return tickets[worker] }
}

// A queue's policy allows only some workers to run a step. No task of it may start before the
// advisor has answered, and then only on workers with a ticket, which is sent with the start
// order.
func TestAdvisedStepsGoOnlyWhereATicketIs(t *testing.T) {
	s := newHarness(t, 3)
	tickets := make(map[string]string)
	s.requireAdvice(tickets)
	job := s.submit(1, "/titles/", 0, task(2, 1000, 100))
	free := s.submit(2, "/renders/", 0, task(1, 1000, 100))
	if got := s.pass(); got[job] != 0 || got[free] != 1 {
		t.Fatalf("placed before the advisor answered: %v", got)
	}
	tickets["w1"] = "ticket-1"
	if got := s.pass()[job]; got != 2 {
		t.Fatalf("%d of 2 tasks were placed", got)
	}
	orders := s.Orders("w1", 0)
	for _, o := range orders {
		if o.Task.Job == job && o.Ticket != "ticket-1" {
			t.Errorf("the order has the ticket %q", o.Ticket)
		}
	}
	if s.Jobs[job].Active() != 2 || len(s.Orders("w2", 0)) != 0 {
		t.Fatal("a task was placed on a worker without a ticket")
	}
}

// The advisor takes time for each worker that it is asked about. It is asked only about those
// that could run the step, the ones with enough free capacity first.
func TestTheAdvisorIsAskedAboutWorkersThatCould(t *testing.T) {
	s := newHarness(t, 4)
	s.requireAdvice(nil)
	s.submit(1, "/renders/", 0, task(1, 9000, 100))
	s.pass() // fills w0
	st := task(3, 2000, 100)
	st.Label = "a"
	job := s.submit(2, "/titles/", 0, st)
	missing := task(1, 2000, 100)
	missing.Label = "nowhere"
	s.submit(3, "/titles/", 0, missing)
	got := AdviceRequests(s.in)
	if len(got) != 2 || got[0].Step.Job != job || got[0].Tasks != 3 {
		t.Fatalf("requests for advice: %+v", got)
	}
	if want := []string{"w1", "w2", "w3", "w0"}; !slices.Equal(got[0].Workers, want) {
		t.Errorf("asked about %v, want %v", got[0].Workers, want)
	}
	if len(got[1].Workers) != 0 {
		t.Errorf("asked about %v for a label that no worker has", got[1].Workers)
	}
}
