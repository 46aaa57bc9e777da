package jobs

import (
	"flag"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

var fuzzRuns = flag.Int("runs", 60, "number of command sequences of the stateful fuzz test")

// fuzzer applies random commands to a state and keeps an oracle that knows only what workers would
// have been sent: which run of a task is where.
type fuzzer struct {
	*fixture
	rng     *rand.Rand
	running map[Ref]map[uint32]string // runs without a committed end, by task
	done    map[Ref]bool
	log     []string
}

func (p *fuzzer) logf(format string, args ...any) {
	p.log = append(p.log, fmt.Sprintf(format, args...))
}

func (p *fuzzer) pickJob() string { return fmt.Sprintf("%016x", p.rng.Intn(6)) }

func (p *fuzzer) pickWorker() string { return fmt.Sprintf("w%d", p.rng.Intn(3)) }

func (p *fuzzer) runCommand() {
	switch p.rng.Intn(10) {
	case 0:
		p.doSubmit()
	case 1:
		if p.rng.Intn(4) == 0 {
			id := p.pickJob()
			p.logf("cancel %s", id)
			p.ApplyCancel(id, p.next())
		}
	case 2:
		if p.rng.Intn(5) == 0 {
			p.doLose()
		}
	case 3, 4, 5, 6:
		p.doPlan()
	default:
		p.doEnd()
	}
}

func (p *fuzzer) doSubmit() {
	id := p.pickJob()
	a := step(1+p.rng.Intn(4), int64(500+p.rng.Intn(2500)))
	a.Checkpointing, a.MaxPerWorker, a.Speculative = p.rng.Intn(2) == 0, p.rng.Intn(3), p.rng.Intn(2) == 0
	b := step(1+p.rng.Intn(3), int64(500+p.rng.Intn(2000)))
	b.DependsOn, b.Gang, b.Fills = []int{0}, p.rng.Intn(3) == 0, p.rng.Intn(3) == 0
	p.logf("submit %s", id)
	p.ApplySubmit(Submit{ID: id, Host: host, Prefix: prefix, Spec: Spec{Steps: []Step{a, b}}}, p.next(), 0)
}

func (p *fuzzer) doPlan() {
	g := p.group(Ref{p.pickJob(), 0, p.rng.Intn(2), 0})
	if g == nil {
		return
	}
	pl := Placement{Job: g.job.ID, Step: g.step, Copy: p.rng.Intn(3) == 0}
	for i := range g.Tasks {
		pl.Indexes = append(pl.Indexes, i)
		pl.Workers = append(pl.Workers, p.pickWorker())
	}
	before := make([]uint32, len(g.Tasks))
	for i := range g.Tasks {
		before[i] = g.Tasks[i].Run
	}
	p.ApplyPlan(Plan{Placements: []Placement{pl}}, rules, p.next())
	for i := range g.Tasks {
		for _, r := range g.Tasks[i].Runs() {
			if r.Run <= before[i] {
				continue
			}
			ref := g.ref(i)
			p.logf("placed %v run %d on %s", ref, r.Run, r.Worker)
			if p.running[ref] == nil {
				p.running[ref] = make(map[uint32]string)
			}
			p.running[ref][r.Run] = r.Worker
		}
	}
}

func (p *fuzzer) doEnd() {
	var refs []Ref
	for ref, runs := range p.running {
		if len(runs) > 0 {
			refs = append(refs, ref)
		}
	}
	if len(refs) == 0 {
		return
	}
	sortRefs(refs)
	ref := refs[p.rng.Intn(len(refs))]
	run := p.pickRun(ref)
	worker := p.running[ref][run]
	o := Outcome(1 + p.rng.Intn(5))
	p.logf("end %v run %d on %s: %v", ref, run, worker, o)
	p.end(worker, ref, run, o, "saved")
	if o == OutcomeDone {
		p.done[ref] = true
	}
	delete(p.running[ref], run)
}

func (p *fuzzer) pickRun(ref Ref) uint32 {
	runs := slices.Sorted(maps.Keys(p.running[ref]))
	return runs[p.rng.Intn(len(runs))]
}

func (p *fuzzer) doLose() {
	id := p.pickWorker()
	p.logf("lose %s", id)
	p.lose(id)
	for _, runs := range p.running {
		for run, worker := range runs {
			if worker == id {
				delete(runs, run)
			}
		}
	}
	p.register(id, "agent-"+id, fmt.Sprint(p.index))
}

// check compares the state with the oracle and checks its internal consistency.
func (p *fuzzer) check() error {
	for ref, runs := range p.running {
		if err := p.checkRuns(ref, runs); err != nil {
			return err
		}
	}
	held := make(map[string]resource.Vector)
	for _, j := range p.Jobs {
		for _, g := range j.Groups {
			for i := range g.Tasks {
				if err := p.checkTask(g, i, held); err != nil {
					return err
				}
			}
		}
	}
	for id, w := range p.Workers {
		if u := p.Use(id); u.Held != held[id] || !u.Held.Fits(w.Capacity) {
			return fmt.Errorf("%s holds %+v, its runs need %+v, it has %+v", id, u.Held, held[id], w.Capacity)
		}
	}
	return nil
}

// checkRuns checks that a task has at most one run, or two on different workers if its step allows
// copies, and that all runs of a done task have been ordered to stop.
func (p *fuzzer) checkRuns(ref Ref, runs map[uint32]string) error {
	most := 1
	if p.step(ref).Speculative {
		most = 2
	}
	on := make(map[string]bool)
	for run, worker := range runs {
		r := p.group(ref).Tasks[ref.Index].On(worker)
		if r == nil || r.Run != run {
			return fmt.Errorf("%v run %d on %s holds no capacity", ref, run, worker)
		}
		if p.done[ref] && !r.Stopping {
			return fmt.Errorf("%v is done, but run %d on %s is not stopping", ref, run, worker)
		}
		on[worker] = true
	}
	if len(runs) > most || len(on) < len(runs) {
		return fmt.Errorf("%v has the runs %v at the same time", ref, runs)
	}
	return nil
}

func (p *fuzzer) checkTask(g *Group, i int, held map[string]resource.Vector) error {
	t, ref := &g.Tasks[i], g.ref(i)
	if p.done[ref] && !t.Done {
		return fmt.Errorf("%v was reported done and is open again", ref)
	}
	if t.Placed == nil {
		if len(p.running[ref]) > 0 {
			return fmt.Errorf("%v may still run, but its capacity is free", ref)
		}
		return nil
	}
	for _, r := range t.Runs() {
		if p.running[ref][r.Run] != r.Worker {
			return fmt.Errorf("%v holds capacity for a run that no worker was sent", ref)
		}
	}
	for _, d := range g.Step().DependsOn {
		if dep := g.job.Groups[d]; dep.done < len(dep.Tasks) {
			return fmt.Errorf("%v was placed before step %d was done", ref, d)
		}
	}
	if limit := g.Step().MaxPerWorker; limit > 0 && p.countOn(g, t.Placed.Worker) > limit {
		return fmt.Errorf("%v shares its worker with too many tasks of its step, the limit is %d", ref, limit)
	}
	need, _ := heldBy(g.Step())
	for _, r := range t.Runs() {
		held[r.Worker] = held[r.Worker].Add(need)
	}
	return nil
}

// Applies submissions, arbitrary plans, ends in any order, worker losses and cancellations at
// random. At no time may a task have more runs than allowed without a reported end, a worker hold
// more than its capacity, a task start before the steps it depends on are done, or a done task be
// open again.
func TestRandomCommandsKeepEveryTaskInOnePlace(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(7)
	params.MinSuccessfulTests = *fuzzRuns
	properties := gopter.NewProperties(params)
	properties.Property("one run per task, no worker over its capacity", prop.ForAll(func(seed int64) (bool, error) {
		p := &fuzzer{fixture: newFixture(t, "w0", "w1", "w2"), rng: rand.New(rand.NewSource(seed)), running: make(map[Ref]map[uint32]string), done: make(map[Ref]bool)}
		for range 400 {
			p.runCommand()
			if err := p.check(); err != nil {
				t.Logf("seed %d:\n%v", seed, p.log)
				return false, err
			}
		}
		return true, nil
	}, gen.Int64()))
	properties.TestingRun(t)
}
