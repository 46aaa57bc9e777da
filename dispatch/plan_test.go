package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/queues"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

const host = "a.example"

var config = queues.Config{Version: 1, Services: []queues.Service{{Name: "vault"}}, Queues: []queues.Queue{
	{Name: "titles", Host: host, Prefix: "/titles/", Service: "vault", TimeoutMS: 1, TargetMS: 250, Slack: 1.5, Priority: 0, MaxAttempts: 3},
	{Name: "renders", Host: host, Prefix: "/renders/", Service: "vault", TimeoutMS: 1, TargetMS: 1000, Slack: 2, Priority: 2, MaxAttempts: 3},
}}

var rules = jobs.Rules{Cordoned: func(string) bool { return false }, Service: func(string, string) string { return "vault" }, MaxAttempts: func(string, string) int { return 3 }}

// declaredDurations expects tasks to take as long as declared.
type declaredDurations struct{}

func (declaredDurations) Expect(_ string, estimateMS int64) float64 { return float64(estimateMS) }

// costTable maps pairs of a serving and a filling image to costs.
type costTable map[[2]string]float64

func (t costTable) Cost(serving, filling string) float64  { return t[[2]string{serving, filling}] }
func (t costTable) HeadroomBudget(string, string) float64 { return 1 }
func (t costTable) SpareHeadroom(string, string) float64  { return 1 }
func (t costTable) Similarity(a, b string) float64 {
	if a == b {
		return 1
	}
	return 0.5
}

func (t costTable) MaxCostIfUnseen(string, string) (float64, bool) { return 0, false }

// harness is a job state with helpers that change it and run passes.
type harness struct {
	*jobs.State
	t     testing.TB
	index uint64
	in    Input
	// advisedJob is the job under test of a queue with an advisor.
	advisedJob string
}

func newHarness(t testing.TB, workers int) *harness {
	s := &harness{State: jobs.NewState(), t: t}
	for i := range workers {
		s.index++
		s.ApplyRegister(jobs.Worker{ID: fmt.Sprintf("w%d", i), Agent: fmt.Sprint(i), Session: "1", Service: "vault",
			Labels: []string{"a", fmt.Sprintf("r%d", i)}, Rack: fmt.Sprintf("r%d", i/2), Capacity: resource.Vector{MilliCPU: 10_000, MemoryMB: 10_000}}, s.index)
	}
	s.in = Input{Jobs: s.State, Config: &config, Estimates: &Estimates{Durations: declaredDurations{}}}
	return s
}

func (s *harness) submit(n int, prefix string, atMS int64, steps ...jobs.Step) string {
	s.t.Helper()
	s.index++
	id := fmt.Sprintf("%016x", n)
	if err := s.ApplySubmit(jobs.Submit{ID: id, Host: host, Prefix: prefix, Spec: jobs.Spec{Steps: steps}}, s.index, atMS); err != nil {
		s.t.Fatal(err)
	}
	return id
}

// pass computes and applies one plan, and returns the number of tasks placed by job.
func (s *harness) pass() map[string]int {
	s.t.Helper()
	plan := Plan(s.in)
	s.index++
	_, stale := s.ApplyPlan(plan, rules, s.index)
	if stale > 0 {
		s.t.Fatalf("%d placements of a plan for the current state were rejected", stale)
	}
	out := make(map[string]int)
	for _, p := range plan.Placements {
		out[p.Job] += len(p.Indexes)
	}
	return out
}

func (s *harness) endAll(job string, step int) {
	for i := range s.Jobs[job].Group(0, step).Tasks {
		ref := jobs.Ref{Job: job, Step: step, Index: i}
		if r := s.Jobs[job].Group(0, step).Tasks[i].Placed; r != nil {
			s.index++
			s.ApplyEnd(r.Worker, jobs.End{Task: ref, Run: r.Run, Outcome: jobs.OutcomeDone}, rules, s.index)
		}
	}
}

func task(count int, cpu, estimateMS int64) jobs.Step {
	return jobs.Step{Count: count, Need: resource.Vector{MilliCPU: cpu, MemoryMB: 10}, EstimateMS: estimateMS}
}

func filling(count int, cpu, estimateMS int64, image string) jobs.Step {
	st := task(count, cpu, estimateMS)
	st.Fills, st.Image, st.Checkpointing = true, image, true
	return st
}

func serving(count int, cpu int64, image string) jobs.Step {
	st := task(count, cpu, 0)
	st.Standing, st.TargetMS, st.Image = true, 50, image
	return st
}

func TestPriorityGoesFirst(t *testing.T) {
	s := newHarness(t, 1)
	render := s.submit(1, "/renders/", 0, task(1, 8000, 1000))
	title := s.submit(2, "/titles/", 1, task(1, 8000, 1000))
	if got := s.pass(); got[title] != 1 || got[render] != 0 {
		t.Fatalf("placed %v", got)
	}
}

func TestLabelsRacksAndBoundsPerWorker(t *testing.T) {
	s := newHarness(t, 3)
	labelled := task(1, 1000, 100)
	labelled.Label = "r1"
	preferring := task(1, 1000, 100)
	preferring.PreferredRack = "r2"
	spread := task(4, 100, 100)
	spread.MaxPerWorker = 1
	a, b, c := s.submit(1, "/titles/", 0, labelled), s.submit(2, "/titles/", 0, preferring), s.submit(3, "/titles/", 0, spread)
	got := s.pass()
	if s.Jobs[a].Group(0, 0).Tasks[0].Placed.Worker != "w1" || s.Jobs[b].Group(0, 0).Tasks[0].Placed.Worker != "w2" {
		t.Error("a label or preferred rack was ignored")
	}
	if got[c] != 3 {
		t.Errorf("%d of 4 tasks were placed on 3 workers with at most one on each", got[c])
	}
}

// Guards against placing a filling task beside a serving task that it interferes with, because
// that worker has the most free capacity: users wait, and the agent stops the filling task. It
// must go where it interferes with nothing, and wait if there is no such worker.
func TestFillingTaskAvoidsServicesItDisturbs(t *testing.T) {
	s := newHarness(t, 2)
	s.in.Costs = costTable{{"watch", "heavy"}: 2, {"watch", "light"}: 0.01}
	s.submit(1, "/titles/", 0, serving(1, 1000, "watch"))
	s.pass()
	watched := s.Jobs[fmt.Sprintf("%016x", 1)].Group(0, 0).Tasks[0].Placed.Worker
	heavy := s.submit(2, "/renders/", 0, filling(3, 5000, 1000, "heavy"))
	if got := s.pass(); got[heavy] != 2 {
		t.Fatalf("%d of 3 heavy tasks were placed, want the 2 that fit apart from the serving task", got[heavy])
	}
	for i, task := range s.Jobs[heavy].Group(0, 0).Tasks {
		if task.Placed != nil && task.Placed.Worker == watched {
			t.Errorf("heavy task %d was placed beside the serving task", i)
		}
	}
	light := s.submit(3, "/renders/", 0, filling(1, 3000, 1000, "light"))
	if got := s.pass(); got[light] != 1 {
		t.Error("a task that interferes with nothing was not placed")
	}
}

// Guards against late jobs delaying jobs that can still be in time when jobs arrive faster than
// they can be run, and against starting new jobs before started ones are finished.
func TestDeadlineClassOrdersJobs(t *testing.T) {
	s := newHarness(t, 1)
	s.in.NowMS = 60_000
	overdue := s.submit(1, "/renders/", 0, filling(2, 5000, 1000, "x"))
	late := s.submit(2, "/renders/", 55_500, filling(2, 5000, 1000, "x"))
	notStarted := s.submit(3, "/renders/", 59_000, filling(2, 5000, 1000, "x"))
	two := filling(2, 5000, 1000, "x")
	two.DependsOn = []int{0}
	started := s.submit(4, "/renders/", 59_900, filling(1, 5000, 1000, "x"), two)
	s.in.Jobs.ApplyPlan(jobs.Plan{Placements: []jobs.Placement{{Job: started, Indexes: []int{0}, Workers: []string{"w0"}}}}, rules, 100)
	s.endAll(started, 0)
	for _, want := range []string{started, notStarted, late, overdue} {
		got := s.pass()
		if len(got) != 1 || got[want] == 0 {
			t.Fatalf("placed %v, want %s next", got, want)
		}
		for i := range s.Jobs[want].Groups {
			s.endAll(want, i)
		}
		if want == overdue {
			break
		}
	}
}

// Ten filling jobs arrive together where three fit. Started with one task each, they share the
// capacity and all end late. Started with most of their tasks, three end in time.
func TestJobsStartWithMostOfTheirTasks(t *testing.T) {
	s := newHarness(t, 3)
	// Other tasks hold capacity, so that utilization is not below lowUtilization.
	s.submit(99, "/titles/", 0, task(3, 6500, 0))
	s.pass()
	for i := range 10 {
		s.submit(i, "/renders/", int64(i), filling(3, 1100, 1000, "x"))
	}
	got := s.pass()
	for id, n := range got {
		if n < 2 {
			t.Errorf("job %s started with %d of 3 tasks", id, n)
		}
	}
	if len(got) > 4 {
		t.Errorf("%d jobs started with capacity for 9 tasks", len(got))
	}
}

// The workers are half empty, but each runs a serving task that the last job's tasks interfere
// with. Its caller would see no progress for seconds although there is free capacity. One of its
// tasks must start.
func TestWaitingJobStartsAtLowUtilization(t *testing.T) {
	s := newHarness(t, 1)
	s.in.Costs = costTable{{"watch", "heavy"}: 5}
	s.submit(1, "/titles/", 0, serving(1, 1000, "watch"))
	s.pass()
	heavy := s.submit(2, "/renders/", 0, filling(3, 1000, 1000, "heavy"))
	if got := s.pass(); got[heavy] != 0 {
		t.Fatal("it was started without waiting")
	}
	s.in.WaitTime = func(*jobs.Group) time.Duration { return 2 * lowUtilizationWait }
	if got := s.pass(); got[heavy] != 1 {
		t.Fatalf("%d tasks were started after the wait", got[heavy])
	}
}

// All workers run serving tasks and are well used, and an image interferes with every serving
// task. Without starvationWait its jobs would never run.
func TestStarvedJobStartsEventually(t *testing.T) {
	s := newHarness(t, 1)
	s.in.Costs = costTable{{"watch", "heavy"}: 5}
	s.submit(1, "/titles/", 0, serving(1, 8000, "watch"))
	s.pass()
	heavy := s.submit(2, "/renders/", 0, filling(3, 1000, 1000, "heavy"))
	for _, c := range []struct {
		waited time.Duration
		want   int
	}{{2 * lowUtilizationWait, 0}, {starvationWait + time.Second, 1}} {
		s.in.WaitTime = func(*jobs.Group) time.Duration { return c.waited }
		if got := s.pass()[heavy]; got != c.want {
			t.Errorf("after %v %d tasks were started, want %d", c.waited, got, c.want)
		}
	}
}

// A filling run is throttled to a standstill beside a serving task and delays its job. It is
// moved to a worker where it interferes with nothing, and stays if there is none.
func TestStalledRunIsMoved(t *testing.T) {
	for _, workers := range []int{1, 2} {
		s := newHarness(t, workers)
		s.in.Costs = costTable{{"watch", "heavy"}: 5}
		render := s.submit(2, "/renders/", 0, filling(1, 1000, 1000, "heavy"))
		s.pass()
		at := s.Jobs[render].Group(0, 0).Tasks[0].Placed
		s.index++
		s.submit(1, "/titles/", 0, serving(1, 1000, "watch"))
		s.ApplyPlan(jobs.Plan{Placements: []jobs.Placement{{Job: fmt.Sprintf("%016x", 1), Indexes: []int{0}, Workers: []string{at.Worker}}}}, rules, s.index)
		s.in.Stalled = []jobs.Stop{{Task: jobs.Ref{Job: render}, Run: at.Run}}
		plan := Plan(s.in)
		if got, want := len(plan.Stops), workers-1; got != want {
			t.Errorf("%d workers: %d runs were stopped, want %d", workers, got, want)
		}
	}
}

// A worker announces that it will leave. Its standing tasks must be moved while that is possible;
// the others may end there. Without capacity elsewhere all of them stay.
func TestStandingTaskLeavesAWorkerThatDrains(t *testing.T) {
	for _, workers := range []int{1, 2} {
		s := newHarness(t, workers)
		watch := s.submit(1, "/titles/", 0, serving(1, 1000, "watch"))
		render := s.submit(2, "/renders/", 0, filling(1, 1000, 1000, "light"))
		title := s.submit(3, "/titles/", 0, task(1, 1000, 1000))
		for _, id := range []string{watch, render, title} {
			s.index++
			s.ApplyPlan(jobs.Plan{Placements: []jobs.Placement{{Job: id, Indexes: []int{0}, Workers: []string{"w0"}}}}, rules, s.index)
		}
		leaving := *s.Workers["w0"]
		leaving.Draining = true
		s.index++
		s.ApplyRegister(leaving, s.index)
		stopped := make(map[string]bool)
		for _, st := range Plan(s.in).Stops {
			stopped[st.Task.Job] = true
		}
		hasCapacity := workers > 1
		if stopped[watch] != hasCapacity || stopped[render] || stopped[title] {
			t.Errorf("%d workers: stopped tasks: %v", workers, stopped)
		}
	}
}

func TestDueTasksWaitForTheirTime(t *testing.T) {
	s := newHarness(t, 1)
	s.index++
	spec := jobs.Spec{Steps: []jobs.Step{task(1, 100, 10)}, Repeat: 2, StartAt: 5000, Every: 1000}
	if err := s.ApplySubmit(jobs.Submit{ID: "00000000000000aa", Host: host, Prefix: "/titles/", Spec: spec}, s.index, 0); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		now  int64
		want int
	}{{4999, 0}, {5000, 1}, {5999, 0}, {6000, 1}} {
		s.in.NowMS = c.now
		if got := s.pass()["00000000000000aa"]; got != c.want {
			t.Errorf("at %d: %d tasks started, want %d", c.now, got, c.want)
		}
	}
}

func TestDurationsWeighDeclarationsByAccuracy(t *testing.T) {
	d := NewDurations()
	if got := d.Expect("new", 700); got != 700 {
		t.Errorf("an unknown queue: %v", got)
	}
	for i := range 100 {
		// The first queue's estimates are off by up to eight times in both directions;
		// its tasks all take 2 s. The second's are exact, and its durations vary.
		d.Record("wild", 250<<(i%6), 2000)
		d.Record("good", int64(100*(1+i%9)), int64(100*(1+i%9)))
	}
	if got := d.Expect("wild", 16_000); got < 1800 || got > 2600 {
		t.Errorf("an inaccurate estimate of 16 s where all tasks take 2 s: %.0f ms", got)
	}
	if got := d.Expect("good", 800); got < 700 || got > 900 {
		t.Errorf("an accurate estimate of 800 ms: %.0f ms", got)
	}
}

// A burst of filling jobs arrives, ten times what the workers can do in time. Jobs that can't
// keep any of their value are refused at submission with a time to retry; the others are
// accepted, and none is refused while little work is accepted.
func TestAdmissionUnderABurst(t *testing.T) {
	s := newHarness(t, 2)
	q := &config.Queues[1]
	spec := &jobs.Spec{Steps: []jobs.Step{filling(4, 5000, 2000, "x")}}
	taken, refused := 0, 0
	for i := range 60 {
		v := Admit(s.in, q, spec)
		if v.Refuse {
			refused++
			if v.RetryAfter <= 0 || v.RetryAfter > maxRetryAfter || v.Expected <= v.Objective {
				t.Fatalf("refused with the verdict %+v", v)
			}
			continue
		}
		if refused > 0 {
			t.Fatal("a job was accepted after one was refused with the same work ahead")
		}
		taken++
		s.submit(i, "/renders/", 0, spec.Steps...)
	}
	// 20 processors run one such job of 40 core-seconds in 2 s; the objective
	// is 5 s, and a job keeps some value until 15 s.
	if taken < 3 || taken > 12 {
		t.Errorf("%d jobs were accepted, %d refused", taken, refused)
	}
	watchers := &jobs.Spec{Steps: []jobs.Step{serving(1, 1000, "watch")}}
	if Admit(s.in, q, watchers).Refuse {
		t.Error("standing tasks were refused because of the work ahead")
	}
}

// Guards against accepting too many standing jobs: those that were accepted but are not placed
// yet hold capacity for the next one's admission.
func TestStandingTasksWithoutAPlaceCountAsHeld(t *testing.T) {
	s := newHarness(t, 2) // 20 processors, 15 of which standing tasks may hold
	q := &config.Queues[0]
	spec := &jobs.Spec{Steps: []jobs.Step{serving(2, 4000, "watch")}}
	if v := Admit(s.in, q, spec); v.Refuse {
		t.Fatalf("the first job is refused: %s", v.Reason())
	}
	s.submit(1, "/titles/", 0, spec.Steps...)
	if v := Admit(s.in, q, spec); !v.Refuse {
		t.Error("the second job is accepted too")
	}
	small := &jobs.Spec{Steps: []jobs.Step{serving(1, 4000, "watch")}}
	s.in.Reserved = map[string]int64{"vault": 4000}
	if v := Admit(s.in, q, small); !v.Refuse {
		t.Error("CPU reserved for a submission in progress is given to another job")
	}
	s.in.Reserved = nil
	if v := Admit(s.in, q, small); v.Refuse {
		t.Errorf("a job that fits is refused: %s", v.Reason())
	}
}

// The tasks of a step communicate with each other, and each takes longer if they are on two
// racks. They go to a rack that has capacity for all of them, wait briefly for one, and spread if
// none becomes available.
func TestRackSensitiveTasksGoToOneRack(t *testing.T) {
	s := newHarness(t, 4) // two racks of two workers with 10 processors each
	s.submit(1, "/titles/", 1000, task(1, 6000, 1000))
	s.pass()
	st := task(4, 5000, 1000)
	st.RackSensitive = true
	job := s.submit(2, "/titles/", 1000, st)
	if got := s.pass()[job]; got != 4 {
		t.Fatalf("%d of 4 tasks were placed", got)
	}
	for _, x := range s.Jobs[job].Group(0, 0).Tasks {
		if rack := s.Workers[x.Placed.Worker].Rack; rack != "r1" {
			t.Fatalf("a task was placed on %s of rack %s", x.Placed.Worker, rack)
		}
	}
	waits := s.submit(3, "/titles/", 1000, st)
	if got := s.pass()[waits]; got != 0 {
		t.Fatalf("%d tasks were placed without waiting although no rack has capacity for all", got)
	}
	s.in.WaitTime = func(*jobs.Group) time.Duration { return 2 * rackWait }
	if got := s.pass()[waits]; got != 2 {
		t.Fatalf("%d tasks were placed after the wait, there is capacity for 2", got)
	}
}

// unseenCosts are the costs where no pair has been observed: one processor takes at most 0.2 of
// headroom. It maps workers to the headroom that their serving tasks can spare at the moment.
type unseenCosts map[string]float64

func (u unseenCosts) Cost(string, string) float64           { return 0.05 }
func (u unseenCosts) HeadroomBudget(string, string) float64 { return 1 }
func (u unseenCosts) Similarity(a, b string) float64        { return 0.5 }

func (u unseenCosts) SpareHeadroom(worker, _ string) float64         { return u[worker] }
func (u unseenCosts) MaxCostIfUnseen(string, string) (float64, bool) { return 0.2, true }

// A filling image was never observed beside a serving one and may take all its headroom: tried at
// peak load, users would wait half a second over target before that is detected. One task is
// tried where the serving task has headroom for the worst case, and the others wait for the
// measurement.
func TestAnUnseenPairIsTriedWhereItIsHarmless(t *testing.T) {
	s := newHarness(t, 2)
	s.submit(1, "/titles/", 0, serving(2, 6000, "watch"))
	s.pass()
	s.in.Costs = unseenCosts{"w1": 0.4, "w2": 2}
	for _, task := range s.Jobs[fmt.Sprintf("%016x", 1)].Group(0, 0).Tasks {
		if task.Placed == nil {
			t.Fatal("the serving tasks are not placed")
		}
	}
	fresh := s.submit(2, "/renders/", 0, filling(3, 5000, 1000, "fresh"))
	s.pass()
	for i, task := range s.Jobs[fresh].Group(0, 0).Tasks {
		if task.Placed != nil && task.Placed.Worker == "w1" {
			t.Errorf("task %d is tried beside the serving task that can spare only 0.4", i)
		}
	}
	s.in.Costs = unseenCosts{"w1": 0.4, "w2": 0.4}
	other := s.submit(3, "/renders/", 0, filling(1, 5000, 1000, "other"))
	if got := s.pass(); got[other] != 0 {
		t.Error("it is tried although no serving task has enough headroom")
	}
}
