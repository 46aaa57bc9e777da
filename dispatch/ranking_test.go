package dispatch

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// randomLoad submits serving, filling and other tasks to a few workers.
func randomLoad(t *testing.T, rng *rand.Rand) *harness {
	s := newHarness(t, 2+rng.Intn(12))
	s.in.Costs = costTable{{"watch", "heavy"}: 0.4, {"watch", "light"}: 0.01, {"guard", "heavy"}: 0.1}
	slow := rng.Intn(3)
	s.in.Slowness = func(worker string) float64 {
		if worker == fmt.Sprint("w", slow) {
			return 0.7
		}
		return 0
	}
	for n := range rng.Intn(6) {
		s.submit(n+1, "/titles/", 0, randomStep(rng))
		s.pass()
	}
	return s
}

func randomStep(rng *rand.Rand) jobs.Step {
	count, cpu := 1+rng.Intn(12), int64(100+100*rng.Intn(30))
	var st jobs.Step
	switch rng.Intn(3) {
	case 0:
		st = task(count, cpu, 1000)
	case 1:
		st = filling(count, cpu, 1000, []string{"heavy", "light"}[rng.Intn(2)])
	case 2:
		st = serving(count, cpu, []string{"watch", "guard"}[rng.Intn(2)])
	}
	st.MaxPerWorker = rng.Intn(4)
	if rng.Intn(3) == 0 {
		st.PreferredRack = fmt.Sprint("r", rng.Intn(4))
	}
	return st
}

// Guards against a ranking that is out of date: it must name the same worker as a scan of all
// workers.
func TestRankingMatchesFullScan(t *testing.T) {
	for seed := range int64(400) {
		rng := rand.New(rand.NewSource(seed))
		s := randomLoad(t, rng)
		job := s.submit(100, []string{"/titles/", "/renders/"}[rng.Intn(2)], 0, randomStep(rng))
		p := &planner{in: s.in, moved: make(map[jobs.GroupKey]int)}
		p.collectCandidates()
		g := s.Jobs[job].Group(0, 0)
		r := request{group: g, queue: s.in.Config.At(g.Job().Host, g.Job().Prefix), waited: time.Duration(rng.Intn(4)) * time.Second}
		onWorker := p.onWorker(g)
		best := &ranking{p: p, r: r, onWorker: onWorker}
		for k := range g.Tasks {
			want := p.choose(r, k, onWorker, k > 0, func(c *candidate) bool { return !c.isolated })
			got := best.next(k > 0)
			if got != want {
				t.Fatalf("seed %d, task %d: the ranking names %v, a full scan %v", seed, k, name(got), name(want))
			}
			if got == nil {
				break
			}
			got.reserve(g.Step())
			onWorker[got.worker.ID]++
			best.updateBest()
		}
	}
}

func name(c *candidate) string {
	if c == nil {
		return "nobody"
	}
	return c.worker.ID
}

// Guards against scanning all workers for each task: a step of forty tasks must cost at most
// three times as much as a step of ten, counted in evaluations of workers.
func TestTasksOfAStepShareOneWorkerScan(t *testing.T) {
	scans := func(tasks int) int {
		s := newLoadedHarness(t, 300, task(tasks, 280, 1000))
		n := 0
		s.in.Slowness = func(string) float64 { n++; return 0 }
		Plan(s.in)
		return n
	}
	if ten, forty := scans(10), scans(40); forty > 3*ten {
		t.Errorf("10 tasks evaluate workers %d times, 40 tasks %d times", ten, forty)
	}
}
