package dispatch

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/queues"
)

// simulate runs passes every 50 ms until all jobs have ended, with tasks that take as long as
// declared, and returns when each job started and ended.
func (s *harness) simulate() (started, ended map[string]time.Duration) {
	s.t.Helper()
	started, ended = make(map[string]time.Duration), make(map[string]time.Duration)
	begun := make(map[jobs.Stop]int64)
	for ; s.Live() > 0; s.in.NowMS += 50 {
		if s.in.NowMS > 600_000 {
			s.t.Fatal("the jobs do not end")
		}
		now := ms(float64(s.in.NowMS))
		for _, w := range slices.Sorted(maps.Keys(s.Workers)) {
			for _, ref := range s.RunsOn(w) {
				run := s.RunOn(ref, w)
				if s.in.NowMS-begun[run] < s.Jobs[ref.Job].Spec.Steps[ref.Step].EstimateMS {
					continue
				}
				s.index++
				s.ApplyEnd(w, jobs.End{Task: ref, Run: run.Run, Outcome: jobs.OutcomeDone}, rules, s.index)
				if s.Jobs[ref.Job].Phase.Over() {
					ended[ref.Job] = now
				}
			}
		}
		for id := range s.pass() {
			if _, known := started[id]; !known {
				started[id] = now
			}
		}
		for w := range s.Workers {
			for _, ref := range s.RunsOn(w) {
				if run := s.RunOn(ref, w); begun[run] == 0 {
					begun[run] = s.in.NowMS
				}
			}
		}
	}
	return started, ended
}

// Guards against an operator being told times that have little to do with what happens: in a
// backlog that is served within the objectives, each job must start and end within one job's time
// of what was said before anything was placed, and those said to be ahead must start first.
func TestExplainedTimesComeTrue(t *testing.T) {
	s := newHarness(t, 2) // 20 processors
	s.in.NowMS = 1000
	second := filling(4, 5000, 500, "x")
	second.DependsOn = []int{0}
	var ids []string
	for i := range 6 {
		ids = append(ids, s.submit(i+1, "/renders/", 1000+int64(i), filling(4, 5000, 2000, "x"), second))
	}
	other := s.submit(9, "/titles/", 1000, task(1, 1000, 100)) // doesn't compete with filling jobs
	told := make(map[string]Explanation)
	for n, id := range ids {
		e := Explain(s.in, s.Jobs[id], &config.Queues[1])
		if e.JobsAhead != n || !e.Predicted || e.Waiting != 8 || e.Running != 0 || e.WorkAhead != float64(n)*50_000 || e.Objective != 6*time.Second {
			t.Errorf("job %d: %+v", n, e)
		}
		told[id] = e
	}
	if e := Explain(s.in, s.Jobs[other], &config.Queues[0]); e.JobsAhead != 0 || e.Start != 0 || e.End != 100*time.Millisecond {
		t.Errorf("a job of another kind: %+v", e)
	}
	if c := told[ids[0]].Class; c.String() != "in-time" {
		t.Errorf("the first job is %v", c)
	}
	started, ended := s.simulate()
	const tolerance = 2500 * time.Millisecond // one job
	for n, id := range ids {
		start, end := started[id]-time.Second-told[id].Start, ended[id]-time.Second-told[id].End
		if start.Abs() > tolerance || end.Abs() > tolerance {
			t.Errorf("job %d was to start in %v and end in %v; that was off by %v and %v", n, told[id].Start, told[id].End, start, end)
		}
	}
	if e := Explain(s.in, s.Jobs[ids[0]], &config.Queues[1]); e.Predicted || e.JobsAhead != 0 {
		t.Errorf("a completed job: %+v", e)
	}
}

// A job's class and place must be those by which it is served: as it ages it becomes late and then
// overdue, and jobs that can still be in time go before it.
func TestExplainedClassIsTheOneServedBy(t *testing.T) {
	s := newHarness(t, 1)
	s.in.NowMS = 1000
	old := s.submit(1, "/renders/", 1000, filling(4, 2000, 1000, "x")) // objective 3 s
	for at, want := range map[int64]DeadlineClass{1000: NotStarted, 3500: Late, 9500: Overdue} {
		s.in.NowMS = at
		if e := Explain(s.in, s.Jobs[old], &config.Queues[1]); e.Class != want || e.Age != ms(float64(at-1000)) {
			t.Errorf("at %d ms: %+v", at, e)
		}
	}
	s.in.NowMS = 3500
	fresh := s.submit(2, "/renders/", 3500, filling(4, 2000, 1000, "x"))
	a, b := Explain(s.in, s.Jobs[old], &config.Queues[1]), Explain(s.in, s.Jobs[fresh], &config.Queues[1])
	if a.JobsAhead != 1 || b.JobsAhead != 0 || a.Start <= b.Start {
		t.Errorf("the late job %+v, the fresh one %+v", a, b)
	}
	repeated := jobs.Submit{ID: "00000000000000ff", Host: host, Prefix: "/renders/", Spec: jobs.Spec{Repeat: 2, StartAt: 5000, Every: 1000, Steps: []jobs.Step{filling(1, 1000, 100, "x")}}}
	if err := s.ApplySubmit(repeated, 99, 3500); err != nil {
		t.Fatal(err)
	}
	if e := Explain(s.in, s.Jobs[repeated.ID], &config.Queues[1]); e.Start < 1500*time.Millisecond || e.Age != -1500*time.Millisecond {
		t.Errorf("a job that is due in 1.5 s: %+v", e)
	}
}

// Guards against a new job's expected wait that differs from the one by which it is admitted.
func TestNewWaitIsTheOneOfAdmission(t *testing.T) {
	for seed := range int64(200) {
		rng := rand.New(rand.NewSource(seed))
		s := randomLoad(t, rng)
		s.in.NowMS = 5000
		for n := range rng.Intn(20) {
			s.submit(200+n, []string{"/titles/", "/renders/"}[rng.Intn(2)], int64(rng.Intn(5000)), filling(1+rng.Intn(9), 2000, 3000, "heavy"))
		}
		backlogs := Backlogs(s.in)
		for i := range config.Queues {
			q, b := &config.Queues[i], backlogs[i]
			step, seq := task(1, 1, 1), uint64(0)
			for _, j := range s.Jobs {
				if j.Prefix == q.Prefix && j.Seq > seq && fills(&j.Spec) {
					step, seq = filling(1, 1, 1, "heavy"), j.Seq
				} else if j.Prefix == q.Prefix && j.Seq > seq {
					step, seq = task(1, 1, 1), j.Seq
				}
			}
			v := Admit(s.in, q, &jobs.Spec{Steps: []jobs.Step{step}})
			if wait := v.Expected - time.Millisecond; b.Known && (wait-b.NewWait).Abs() > time.Millisecond {
				t.Fatalf("seed %d, queue %s: a new job is admitted for a wait of %v, told is %v", seed, q.Name, wait, b.NewWait)
			}
		}
	}
}

// The backlogs are computed every few seconds under the state's lock, and commits wait meanwhile.
func BenchmarkExplanations(b *testing.B) {
	s := newHarness(b, 60)
	cfg := config
	cfg.Queues = nil
	for i := range 150 {
		cfg.Queues = append(cfg.Queues, queues.Queue{Name: fmt.Sprint(i), Host: host, Prefix: fmt.Sprintf("/%d/", i), Service: "vault", TargetMS: 1000, Slack: 2, Priority: i % 3})
	}
	s.in.Config = &cfg
	for i := range 3000 {
		s.submit(i+1, cfg.Queues[i%150].Prefix, int64(i), filling(20, 1800, 1700, "x"), filling(20, 1800, 1700, "x"))
	}
	b.Run("all queues", func(b *testing.B) {
		for b.Loop() {
			Backlogs(s.in)
		}
	})
	b.Run("one job", func(b *testing.B) {
		j := s.Jobs[fmt.Sprintf("%016x", 2999)]
		for b.Loop() {
			Explain(s.in, j, &cfg.Queues[2998%150])
		}
	})
}
