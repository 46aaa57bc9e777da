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
// that could run the step, the ones with enough free capacity apart from the others.
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
	if want := []string{"w1", "w2", "w3"}; !slices.Equal(got[0].Open, want) || !slices.Equal(got[0].Full, []string{"w0"}) {
		t.Errorf("open are %v, full are %v, want %v and w0", got[0].Open, got[0].Full, want)
	}
	if len(got[1].Open)+len(got[1].Full) != 0 {
		t.Errorf("asked about %v and %v for a label that no worker has", got[1].Open, got[1].Full)
	}
}

// Guards against tickets that count as room though their workers can take no task of the step: one
// already has as many as allowed, has no capacity, runs an isolated suspect, or has served tasks
// beside which the step doesn't fill.
func TestOnlyWorkersThatTakeATaskNowAreOpen(t *testing.T) {
	for name, c := range map[string]struct {
		step    jobs.Step
		prepare func(s *harness)
	}{
		"limit":        {func() jobs.Step { st := task(2, 500, 100); st.MaxPerWorker = 1; return st }(), func(s *harness) { s.place(s.advisedJob, "w0", 0) }},
		"capacity":     {task(1, 2000, 100), func(s *harness) { s.place(s.submit(2, "/renders/", 0, task(1, 9000, 100)), "w0", 0) }},
		"isolation":    {task(1, 500, 100), func(s *harness) { s.isolate("w0") }},
		"interference": {filling(1, 2000, 100, "f"), func(s *harness) { s.place(s.submit(2, "/renders/", 0, serving(1, 1000, "v")), "w0", 0) }},
	} {
		t.Run(name, func(t *testing.T) {
			s := newHarness(t, 3)
			s.requireAdvice(map[string]string{"w0": "t0"})
			s.in.Costs = costTable{{"v", "f"}: 10}
			s.advisedJob = s.submit(1, "/titles/", 0, c.step)
			c.prepare(s)
			got := AdviceRequests(s.in)
			if len(got) != 1 || !slices.Equal(got[0].Open, []string{"w1", "w2"}) || !slices.Equal(got[0].Full, []string{"w0"}) {
				t.Errorf("requests for advice: %+v", got)
			}
			if placed := s.pass()[s.advisedJob]; placed != 0 {
				t.Errorf("a pass placed %d tasks on the worker that is not open", placed)
			}
		})
	}
}

// isolate starts a strong suspect alone on a worker.
func (s *harness) isolate(worker string) {
	s.t.Helper()
	job := s.submit(99, "/renders/", s.in.NowMS, task(1, 500, 300))
	s.Jobs[job].Groups[0].Tasks[0].Suspected = &jobs.Suspicion{Crashes: 2, Odds: 200_000}
	s.Rebuild()
	s.place(job, worker, 0)
}
