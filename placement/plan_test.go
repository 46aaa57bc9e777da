package placement

import (
	"reflect"
	"testing"

	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/market"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

// known costs each job a fixed logarithm of slowdown.
type known map[string]float64

func (k known) Cost(_, _, job string, _ float64) (mean, upper float64) { return k[job], 1.5 * k[job] }

func cpu(n int64) resource.Vector { return resource.Vector{MilliCPU: n * 1000} }

func box(name string, free int64, running ...Running) Worker {
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

// seen is what a decision comes to: which task goes where, and what gives way.
type seen struct {
	placed                      map[string]string
	evicted, throttled, release []string
	aside                       []string
}

func decide(workers []Worker, waiting []*lease.Task, quota int64) seen {
	d := Learned{}.Plan(&Snapshot{Now: 1000, Workers: workers, Waiting: waiting, MaxPlacements: 100, RunTime: func(t *lease.Task) int64 { return t.RunTime },
		Quota: func(string) resource.Vector { return cpu(quota) }, TeamUse: func(string) resource.Vector { return resource.Vector{} },
		Costs: known{"noisy": 0.08, "quiet": 0.001}})
	out := seen{placed: make(map[string]string)}
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
		out.aside = append(out.aside, a.Task)
	}
	return out
}

func urgent(t *lease.Task) *lease.Task { t.Urgent = true; return t }

func due(t *lease.Task, at int64) *lease.Task { t.Deadline = at; return t }

func late(w Worker, slowdown float64) Worker {
	w.Slowdown, w.Late = slowdown, lateReports
	return w
}

func slowed(r Running) Running { r.Throttled = true; return r }

func share(w Worker, part float64) Worker { w.Preset.BatchShare = part; return w }

func leaving(w Worker) Worker { w.Open, w.Evacuate = false, true; return w }

// What the policy does in the situations that its rules are for.
func TestDecisions(t *testing.T) {
	filler := []Running{run("f1", "quiet", 2), run("f2", "quiet", 2)}
	stopping := []Running{run("f1", "quiet", 2), run("f2", "quiet", 2)}
	stopping[0].Evictable = false
	cases := []struct {
		name    string
		workers []Worker
		waiting []*lease.Task
		quota   int64
		want    seen
	}{
		{"the one that fits", []Worker{box("small", 1), box("big", 4)}, []*lease.Task{task("a", "quiet", 2)}, 0, seen{placed: map[string]string{"a": "big"}}},
		{"urgent before all", []Worker{box("w", 2)}, []*lease.Task{task("a", "quiet", 2), urgent(task("u", "quiet", 2))}, 0, seen{placed: map[string]string{"u": "w"}}},
		{"less slack first", []Worker{box("w", 2)}, []*lease.Task{due(task("a", "quiet", 2), 9_000_000), due(task("b", "quiet", 2), 2_000_000)}, 0, seen{placed: map[string]string{"b": "w"}}},
		{"a noisy pair too many", []Worker{box("w", 8, run("n", "noisy", 1))}, []*lease.Task{task("a", "noisy", 1), task("q", "quiet", 1)}, 0, seen{placed: map[string]string{"q": "w"}}},
		{"never fits anywhere", []Worker{box("w", 4)}, []*lease.Task{task("a", "quiet", 9), task("b", "quiet", 1)}, 0, seen{placed: map[string]string{"b": "w"}, aside: []string{"a"}}},
		{"over the quota", []Worker{box("w", 8)}, []*lease.Task{task("a", "quiet", 2), task("b", "quiet", 2)}, 3, seen{placed: map[string]string{"a": "w"}}},
		{"batch's share", []Worker{share(box("w", 8), 0.25)}, []*lease.Task{task("a", "quiet", 2), task("b", "quiet", 2)}, 0, seen{placed: map[string]string{"a": "w"}}},
		{"room for urgent work", []Worker{box("w", 0, filler...)}, []*lease.Task{urgent(task("u", "quiet", 2))}, 0, seen{evicted: []string{"f1"}}},
		{"room that is being freed", []Worker{box("w", 0, stopping...)}, []*lease.Task{urgent(task("u", "quiet", 2))}, 0, seen{}},
		{"a late service: slow down first", []Worker{late(box("w", 0, run("q", "quiet", 1), run("n", "noisy", 1)), 2)}, nil, 0, seen{throttled: []string{"n"}}},
		{"still late: move", []Worker{late(box("w", 0, run("q", "quiet", 1), slowed(run("n", "noisy", 1))), 2)}, nil, 0, seen{evicted: []string{"n"}}},
		{"late, but not for the tasks", []Worker{late(box("w", 0, run("q", "quiet", 1)), 2)}, nil, 0, seen{}},
		{"no longer late: let go", []Worker{box("w", 0, slowed(run("q", "quiet", 1)))}, nil, 0, seen{release: []string{"q"}}},
		{"an instance that leaves", []Worker{leaving(box("w", 0, filler...))}, nil, 0, seen{evicted: []string{"f1", "f2"}}},
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
