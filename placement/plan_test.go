package placement

import (
	"reflect"
	"testing"

	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/market"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

// fixedCosts gives each job a fixed cost, a logarithm of slowdown.
type fixedCosts map[string]float64

func (k fixedCosts) Cost(_, _, job string, _ float64) (mean, upper float64) {
	return k[job], 1.5 * k[job]
}

func cpu(n int64) resource.Vector { return resource.Vector{MilliCPU: n * 1000} }

func newWorker(name string, free int64, running ...Running) Worker {
	used := int64(0)
	for _, r := range running {
		used += r.Need.MilliCPU
	}
	return Worker{Agent: name, Boot: "b", Open: true, Total: cpu(free).Add(resource.Vector{MilliCPU: used}), Free: cpu(free), BatchUsed: used,
		Service: "m/s", Preset: market.Preset{TailWeight: 1, BatchShare: 1, MaxSlowdown: 1.1}, Running: running, Pressure: -1}
}

func task(id, job string, need int64) *lease.Task {
	return &lease.Task{ID: id, Market: "m", Job: job, Team: "t", Class: market.ClassBatch, Need: cpu(need), RunTime: 600_000}
}

func run(id, job string, need int64) Running {
	return Running{Task: id, Attempt: 1, Market: "m", Job: job, Need: cpu(need), Expected: 600_000, Evictable: true}
}

// outcome lists the effects of a decision by task.
type outcome struct {
	placed                      map[string]string
	evicted, throttled, release []string
	setAside                    []string
}

func decide(workers []Worker, waiting []*lease.Task, quota int64) outcome {
	d := Learned{}.Plan(&Snapshot{Now: 1000, Workers: workers, Waiting: waiting, MaxPlacements: 100, RunTime: func(t *lease.Task) int64 { return t.RunTime },
		Quota: func(string) resource.Vector { return cpu(quota) }, TeamUse: func(string) resource.Vector { return resource.Vector{} },
		Costs: fixedCosts{"noisy": 0.08, "quiet": 0.001}})
	out := outcome{placed: make(map[string]string)}
	for _, p := range d.Placements {
		out.placed[p.Task] = p.Agent
	}
	for _, e := range d.Evictions {
		out.evicted = append(out.evicted, e.Task)
	}
	for _, a := range d.Throttle {
		out.throttled = append(out.throttled, a.Task)
	}
	for _, a := range d.Release {
		out.release = append(out.release, a.Task)
	}
	for _, a := range d.SetAside {
		out.setAside = append(out.setAside, a.Task)
	}
	return out
}

func urgent(t *lease.Task) *lease.Task { t.Urgent = true; return t }

func withDeadline(t *lease.Task, at int64) *lease.Task { t.Deadline = at; return t }

func late(w Worker, slowdown float64) Worker {
	w.Slowdown, w.Late = slowdown, minLateReports
	return w
}

func throttled(r Running) Running { r.Throttled = true; return r }

func withBatchShare(w Worker, part float64) Worker { w.Preset.BatchShare = part; return w }

func evacuating(w Worker) Worker { w.Open, w.Evacuate = false, true; return w }

// Checks the policy's decision in the situations that each of its rules covers.
func TestDecisions(t *testing.T) {
	filler := []Running{run("f1", "quiet", 2), run("f2", "quiet", 2)}
	stopping := []Running{run("f1", "quiet", 2), run("f2", "quiet", 2)}
	stopping[0].Evictable = false
	cases := []struct {
		name    string
		workers []Worker
		waiting []*lease.Task
		quota   int64
		want    outcome
	}{
		{"only one worker fits", []Worker{newWorker("small", 1), newWorker("big", 4)}, []*lease.Task{task("a", "quiet", 2)}, 0, outcome{placed: map[string]string{"a": "big"}}},
		{"urgent tasks first", []Worker{newWorker("w", 2)}, []*lease.Task{task("a", "quiet", 2), urgent(task("u", "quiet", 2))}, 0, outcome{placed: map[string]string{"u": "w"}}},
		{"less slack first", []Worker{newWorker("w", 2)}, []*lease.Task{withDeadline(task("a", "quiet", 2), 9_000_000), withDeadline(task("b", "quiet", 2), 2_000_000)}, 0, outcome{placed: map[string]string{"b": "w"}}},
		{"a second noisy task exceeds the bound", []Worker{newWorker("w", 8, run("n", "noisy", 1))}, []*lease.Task{task("a", "noisy", 1), task("q", "quiet", 1)}, 0, outcome{placed: map[string]string{"q": "w"}}},
		{"larger than any worker", []Worker{newWorker("w", 4)}, []*lease.Task{task("a", "quiet", 9), task("b", "quiet", 1)}, 0, outcome{placed: map[string]string{"b": "w"}, setAside: []string{"a"}}},
		{"over the quota", []Worker{newWorker("w", 8)}, []*lease.Task{task("a", "quiet", 2), task("b", "quiet", 2)}, 3, outcome{placed: map[string]string{"a": "w"}}},
		{"batch's share", []Worker{withBatchShare(newWorker("w", 8), 0.25)}, []*lease.Task{task("a", "quiet", 2), task("b", "quiet", 2)}, 0, outcome{placed: map[string]string{"a": "w"}}},
		{"preemption for an urgent task", []Worker{newWorker("w", 0, filler...)}, []*lease.Task{urgent(task("u", "quiet", 2))}, 0, outcome{evicted: []string{"f1"}}},
		{"capacity that is already being freed", []Worker{newWorker("w", 0, stopping...)}, []*lease.Task{urgent(task("u", "quiet", 2))}, 0, outcome{}},
		{"late service: throttle first", []Worker{late(newWorker("w", 0, run("q", "quiet", 1), run("n", "noisy", 1)), 2)}, nil, 0, outcome{throttled: []string{"n"}}},
		{"still late: evict", []Worker{late(newWorker("w", 0, run("q", "quiet", 1), throttled(run("n", "noisy", 1))), 2)}, nil, 0, outcome{evicted: []string{"n"}}},
		{"late, but not because of the tasks", []Worker{late(newWorker("w", 0, run("q", "quiet", 1)), 2)}, nil, 0, outcome{}},
		{"no longer late: release", []Worker{newWorker("w", 0, throttled(run("q", "quiet", 1)))}, nil, 0, outcome{release: []string{"q"}}},
		{"an instance that is leaving", []Worker{evacuating(newWorker("w", 0, filler...))}, nil, 0, outcome{evicted: []string{"f1", "f2"}}},
	}
	for _, c := range cases {
		if c.want.placed == nil {
			c.want.placed = map[string]string{}
		}
		if got := decide(c.workers, c.waiting, c.quota); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s:\n got %+v\nwant %+v", c.name, got, c.want)
		}
	}
}
