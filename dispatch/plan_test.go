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

// declared believes what callers declare.
type declared struct{}

func (declared) Expect(_ string, estimateMS int64) float64 { return float64(estimateMS) }

// table is what is known of who disturbs whom.
type table map[[2]string]float64

func (t table) Cost(serving, filling string) float64 { return t[[2]string{serving, filling}] }
func (t table) Bound(string, string) float64         { return 1 }
func (t table) Now(string, string) float64           { return 1 }
func (t table) Alike(a, b string) float64 {
	if a == b {
		return 1
	}
	return 0.5
}

func (t table) Unseen(string, string) (float64, bool) { return 0, false }

// scene is a state with helpers to fill it.
type scene struct {
	*jobs.State
	t     testing.TB
	index uint64
	in    Input
}

func newScene(t testing.TB, workers int) *scene {
	s := &scene{State: jobs.NewState(), t: t}
	for i := range workers {
		s.index++
		s.ApplyRegister(jobs.Worker{ID: fmt.Sprintf("w%d", i), Agent: fmt.Sprint(i), Life: "1", Service: "vault",
			Labels: []string{"a", fmt.Sprintf("r%d", i)}, Rack: fmt.Sprintf("r%d", i/2), Capacity: resource.Vector{MilliCPU: 10_000, MemoryMB: 10_000}}, s.index)
	}
	s.in = Input{Jobs: s.State, Config: &config, Estimates: &Estimates{Durations: declared{}}}
	return s
}

func (s *scene) submit(n int, prefix string, atMS int64, steps ...jobs.Step) string {
	s.t.Helper()
	s.index++
	id := fmt.Sprintf("%016x", n)
	if err := s.ApplySubmit(jobs.Submit{ID: id, Host: host, Prefix: prefix, Spec: jobs.Spec{Steps: steps}}, s.index, atMS); err != nil {
		s.t.Fatal(err)
	}
	return id
}

// pass plans and applies once, and returns the tasks placed of each job.
func (s *scene) pass() map[string]int {
	s.t.Helper()
	plan := Next(s.in)
	s.index++
	_, stale := s.ApplyPlan(plan, rules, s.index)
	if stale > 0 {
		s.t.Fatalf("%d placements of a plan for this very state did not hold", stale)
	}
	out := make(map[string]int)
	for _, p := range plan.Placements {
		out[p.Job] += len(p.Indexes)
	}
	return out
}

func (s *scene) endAll(job string, step int) {
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
	s := newScene(t, 1)
	render := s.submit(1, "/renders/", 0, task(1, 8000, 1000))
	title := s.submit(2, "/titles/", 1, task(1, 8000, 1000))
	if got := s.pass(); got[title] != 1 || got[render] != 0 {
		t.Fatalf("placed %v", got)
	}
}

func TestLabelsRacksAndBoundsPerWorker(t *testing.T) {
	s := newScene(t, 3)
	labelled := task(1, 1000, 100)
	labelled.Label = "r1"
	near := task(1, 1000, 100)
	near.PreferredRack = "r2"
	apart := task(4, 100, 100)
	apart.MaxPerWorker = 1
	a, b, c := s.submit(1, "/titles/", 0, labelled), s.submit(2, "/titles/", 0, near), s.submit(3, "/titles/", 0, apart)
	got := s.pass()
	if s.Jobs[a].Group(0, 0).Tasks[0].Placed.Worker != "w1" || s.Jobs[b].Group(0, 0).Tasks[0].Placed.Worker != "w2" {
		t.Error("a label or rack was not kept to")
	}
	if got[c] != 3 {
		t.Errorf("%d of 4 tasks were placed one a worker on 3", got[c])
	}
}

// A render that disturbs a watcher is placed beside it because its worker has the
// most room; the watcher's users wait, and the agent stops the render. It must
// go where it disturbs nobody, and wait if there is no such place.
func TestFillingTaskKeepsAwayFromThoseItDisturbs(t *testing.T) {
	s := newScene(t, 2)
	s.in.Costs = table{{"watch", "heavy"}: 2, {"watch", "light"}: 0.01}
	s.submit(1, "/titles/", 0, serving(1, 1000, "watch"))
	s.pass()
	watched := s.Jobs[fmt.Sprintf("%016x", 1)].Group(0, 0).Tasks[0].Placed.Worker
	heavy := s.submit(2, "/renders/", 0, filling(3, 5000, 1000, "heavy"))
	if got := s.pass(); got[heavy] != 2 {
		t.Fatalf("%d of 3 heavy tasks were placed where there is room for 2 apart", got[heavy])
	}
	for i, task := range s.Jobs[heavy].Group(0, 0).Tasks {
		if task.Placed != nil && task.Placed.Worker == watched {
			t.Errorf("heavy task %d was placed beside the watcher", i)
		}
	}
	light := s.submit(3, "/renders/", 0, filling(1, 3000, 1000, "light"))
	if got := s.pass(); got[light] != 1 {
		t.Error("a task that disturbs nobody was kept out")
	}
}

// Past the room jobs come faster than they can be done. Those that are late
// already must not hold up the ones that can still be in time, and what has begun
// is finished before anything new begins.
func TestOutlookOrdersJobs(t *testing.T) {
	s := newScene(t, 1)
	s.in.NowMS = 60_000
	overdue := s.submit(1, "/renders/", 0, filling(2, 5000, 1000, "x"))
	late := s.submit(2, "/renders/", 55_500, filling(2, 5000, 1000, "x"))
	fresh := s.submit(3, "/renders/", 59_000, filling(2, 5000, 1000, "x"))
	two := filling(2, 5000, 1000, "x")
	two.DependsOn = []int{0}
	begun := s.submit(4, "/renders/", 59_900, filling(1, 5000, 1000, "x"), two)
	s.in.Jobs.ApplyPlan(jobs.Plan{Placements: []jobs.Placement{{Job: begun, Indexes: []int{0}, Workers: []string{"w0"}}}}, rules, 100)
	s.endAll(begun, 0)
	for _, want := range []string{begun, fresh, late, overdue} {
		got := s.pass()
		if len(got) != 1 || got[want] == 0 {
			t.Fatalf("placed %v, %s was next", got, want)
		}
		for i := range s.Jobs[want].Groups {
			s.endAll(want, i)
		}
		if want == overdue {
			break
		}
	}
}

// Ten renders come at once where three fit. Begun with a task each they hold the
// room between them and end together, late. Begun whole, three end in time.
func TestJobsBeginWhole(t *testing.T) {
	s := newScene(t, 3)
	// Held by others, so that use is not sparse.
	s.submit(99, "/titles/", 0, task(3, 6500, 0))
	s.pass()
	for i := range 10 {
		s.submit(i, "/renders/", int64(i), filling(3, 1100, 1000, "x"))
	}
	got := s.pass()
	for id, n := range got {
		if n < 2 {
			t.Errorf("job %s began with %d of 3 tasks", id, n)
		}
	}
	if len(got) > 4 {
		t.Errorf("%d jobs began in room for 9 tasks", len(got))
	}
}

// The workers are half empty, but every one serves somebody whom the last job's
// tasks would disturb. Its caller sees nothing happen for seconds while there is
// room. One task of it must get in.
func TestWaitingJobGetsInWhereUseIsSparse(t *testing.T) {
	s := newScene(t, 1)
	s.in.Costs = table{{"watch", "heavy"}: 5}
	s.submit(1, "/titles/", 0, serving(1, 1000, "watch"))
	s.pass()
	heavy := s.submit(2, "/renders/", 0, filling(3, 1000, 1000, "heavy"))
	if got := s.pass(); got[heavy] != 0 {
		t.Fatal("it was let in at once")
	}
	s.in.Waited = func(*jobs.Group) time.Duration { return 2 * startWait }
	if got := s.pass(); got[heavy] != 1 {
		t.Fatalf("%d tasks were let in after the wait", got[heavy])
	}
}

// All workers serve, are well used, and an image disturbs whoever serves. Its jobs
// would wait for ever: late they are, but never is worse.
func TestNobodyStarvesForGood(t *testing.T) {
	s := newScene(t, 1)
	s.in.Costs = table{{"watch", "heavy"}: 5}
	s.submit(1, "/titles/", 0, serving(1, 8000, "watch"))
	s.pass()
	heavy := s.submit(2, "/renders/", 0, filling(3, 1000, 1000, "heavy"))
	for _, c := range []struct {
		waited time.Duration
		want   int
	}{{2 * startWait, 0}, {starveWait + time.Second, 1}} {
		s.in.Waited = func(*jobs.Group) time.Duration { return c.waited }
		if got := s.pass()[heavy]; got != c.want {
			t.Errorf("after %v %d tasks were let in, want %d", c.waited, got, c.want)
		}
	}
}

// A render is slowed to a stand beside a watcher and holds its job up. It is
// moved where it disturbs nobody, but stays if there is no such place.
func TestStalledRunIsMoved(t *testing.T) {
	for _, workers := range []int{1, 2} {
		s := newScene(t, workers)
		s.in.Costs = table{{"watch", "heavy"}: 5}
		render := s.submit(2, "/renders/", 0, filling(1, 1000, 1000, "heavy"))
		s.pass()
		at := s.Jobs[render].Group(0, 0).Tasks[0].Placed
		s.index++
		s.submit(1, "/titles/", 0, serving(1, 1000, "watch"))
		s.ApplyPlan(jobs.Plan{Placements: []jobs.Placement{{Job: fmt.Sprintf("%016x", 1), Indexes: []int{0}, Workers: []string{at.Worker}}}}, rules, s.index)
		s.in.Stalled = []jobs.Stop{{Task: jobs.Ref{Job: render}, Run: at.Run}}
		plan := Next(s.in)
		if got, want := len(plan.Stops), workers-1; got != want {
			t.Errorf("%d workers: %d runs are stopped, want %d", workers, got, want)
		}
	}
}

// A worker says that it leaves. What lasts must be moved while it can be, the rest may
// end there; with no room elsewhere all of it stays.
func TestStandingTaskLeavesAWorkerThatDrains(t *testing.T) {
	for _, workers := range []int{1, 2} {
		s := newScene(t, workers)
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
		for _, st := range Next(s.in).Stops {
			stopped[st.Task.Job] = true
		}
		room := workers > 1
		if stopped[watch] != room || stopped[render] || stopped[title] {
			t.Errorf("%d workers: stopped are %v", workers, stopped)
		}
	}
}

func TestDueTasksWaitForTheirTime(t *testing.T) {
	s := newScene(t, 1)
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
			t.Errorf("at %d: %d tasks begin, want %d", c.now, got, c.want)
		}
	}
}

func TestDurationsTrustWhatProvedRight(t *testing.T) {
	d := NewDurations()
	if got := d.Expect("new", 700); got != 700 {
		t.Errorf("a queue never seen: %v", got)
	}
	for i := range 100 {
		// One queue's declarations are off by up to eight times, both ways;
		// its tasks all take 2 s. The other's are right, its tasks differ.
		d.Note("wild", 250<<(i%6), 2000)
		d.Note("good", int64(100*(1+i%9)), int64(100*(1+i%9)))
	}
	if got := d.Expect("wild", 16_000); got < 1800 || got > 2600 {
		t.Errorf("a wild declaration of 16 s where all take 2 s: %.0f ms", got)
	}
	if got := d.Expect("good", 800); got < 700 || got > 900 {
		t.Errorf("a good declaration of 800 ms: %.0f ms", got)
	}
}

// A burst of renders comes, ten times what the workers can do in the time that
// callers give them. Those that can't be in time even for a part are refused at
// once with a time to come back, those that can are taken; none is refused while
// little is accepted.
func TestAdmissionUnderABurst(t *testing.T) {
	s := newScene(t, 2)
	q := &config.Queues[1]
	spec := &jobs.Spec{Steps: []jobs.Step{filling(4, 5000, 2000, "x")}}
	taken, refused := 0, 0
	for i := range 60 {
		v := Admit(s.in, q, spec)
		if v.Refuse {
			refused++
			if v.After <= 0 || v.After > longestAfter || v.Expected <= v.Objective {
				t.Fatalf("refused with %+v", v)
			}
			continue
		}
		if refused > 0 {
			t.Fatal("a job was taken behind one that was refused, with the same work ahead")
		}
		taken++
		s.submit(i, "/renders/", 0, spec.Steps...)
	}
	// 20 processors do one such job of 40 core-seconds in 2 s; the objective
	// is 5 s, and a job is worth something until 15 s.
	if taken < 3 || taken > 12 {
		t.Errorf("%d jobs were taken, %d refused", taken, refused)
	}
	watchers := &jobs.Spec{Steps: []jobs.Step{serving(1, 1000, "watch")}}
	if Admit(s.in, q, watchers).Refuse {
		t.Error("standing tasks were refused for the work ahead")
	}
}

// Standing jobs were taken in and have no place yet: a pass is about to place them. The next one
// must find the room that they leave, not that of empty workers.
func TestStandingTasksWithoutAPlaceCountAsHeld(t *testing.T) {
	s := newScene(t, 2) // 20 processors, of which standing tasks may hold 15
	q := &config.Queues[0]
	spec := &jobs.Spec{Steps: []jobs.Step{serving(2, 4000, "watch")}}
	if v := Admit(s.in, q, spec); v.Refuse {
		t.Fatalf("the first is refused: %s", v.Reason())
	}
	s.submit(1, "/titles/", 0, spec.Steps...)
	if v := Admit(s.in, q, spec); !v.Refuse {
		t.Error("the second is taken too")
	}
	small := &jobs.Spec{Steps: []jobs.Step{serving(1, 4000, "watch")}}
	s.in.Promised = map[string]int64{"vault": 4000}
	if v := Admit(s.in, q, small); !v.Refuse {
		t.Error("what is promised to a call under way is given away")
	}
	s.in.Promised = nil
	if v := Admit(s.in, q, small); v.Refuse {
		t.Errorf("what fits is refused: %s", v.Reason())
	}
}

// The tasks of a step talk to each other, and on two racks each takes longer. They go
// to the rack that takes all of them, wait a moment for one, and spread if none comes.
func TestTasksThatBelongTogetherGoToOneRack(t *testing.T) {
	s := newScene(t, 4) // two racks of two workers with 10 processors each
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
			t.Fatalf("a task went to %s of rack %s", x.Placed.Worker, rack)
		}
	}
	waits := s.submit(3, "/titles/", 1000, st)
	if got := s.pass()[waits]; got != 0 {
		t.Fatalf("%d tasks were placed at once where no rack has room for all", got)
	}
	s.in.Waited = func(*jobs.Group) time.Duration { return 2 * rackWait }
	if got := s.pass()[waits]; got != 2 {
		t.Fatalf("%d tasks were placed after the wait, there is room for 2", got)
	}
}

// untried is what is known where nothing is: one processor may take 0.2 of headroom, and
// the watcher on each worker bears something else at the moment.
type untried map[string]float64

func (u untried) Cost(string, string) float64  { return 0.05 }
func (u untried) Bound(string, string) float64 { return 1 }
func (u untried) Alike(a, b string) float64    { return 0.5 }

func (u untried) Now(worker, _ string) float64          { return u[worker] }
func (u untried) Unseen(string, string) (float64, bool) { return 0.2, true }

// A render's image was never seen beside a watcher. It may take all that the watcher has:
// tried beside one at the height of its load it costs that one's users half a second over
// target before anybody knows. One task is tried where the watcher bears the worst at this
// moment, and the next ones wait until that has told.
func TestAnUnseenPairIsTriedWhereItIsHarmless(t *testing.T) {
	s := newScene(t, 2)
	s.submit(1, "/titles/", 0, serving(2, 6000, "watch"))
	s.pass()
	s.in.Costs = untried{"w1": 0.4, "w2": 2}
	for _, task := range s.Jobs[fmt.Sprintf("%016x", 1)].Group(0, 0).Tasks {
		if task.Placed == nil {
			t.Fatal("the watchers are not placed")
		}
	}
	fresh := s.submit(2, "/renders/", 0, filling(3, 5000, 1000, "fresh"))
	s.pass()
	for i, task := range s.Jobs[fresh].Group(0, 0).Tasks {
		if task.Placed != nil && task.Placed.Worker == "w1" {
			t.Errorf("task %d is tried beside the watcher that bears 0.4", i)
		}
	}
	s.in.Costs = untried{"w1": 0.4, "w2": 0.4}
	other := s.submit(3, "/renders/", 0, filling(1, 5000, 1000, "other"))
	if got := s.pass(); got[other] != 0 {
		t.Error("it is tried though no watcher bears it")
	}
}
