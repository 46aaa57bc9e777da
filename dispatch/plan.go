// Package dispatch decides which waiting task starts on which worker. It is a
// pure function from a snapshot of the jobs to a plan; the log re-checks the
// plan when it is applied.
package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/waxwinghaven/waxwinghaven/ablation"
	"github.com/waxwinghaven/waxwinghaven/datacentre"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/queues"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

// Limits of one pass, so that a pass stays within a few milliseconds however
// much waits.
const (
	maxPlacements = 512
	// servingSlack is the part of the processors held by serving tasks that
	// filling ones may count on. Serving tasks use 0.45 of what they ask for,
	// and swing by half of that.
	servingSlack = 0.5
	// sparseUse is the part of a service's processors in use below which a
	// job with nothing at work is let in however much its tasks may disturb:
	// with that much room its caller can't be told that there is none.
	sparseUse = 0.6
	// startWait is how long a job may have nothing at work where use is
	// sparse.
	startWait = time.Second
	// starveWait is the same however much is in use. An image that disturbs
	// whoever serves would else never run where all workers do.
	starveWait = time.Minute
	// crowdFactor bounds that: filling tasks of this many times a worker's
	// processors slow each other down by as much.
	crowdFactor = 2.0
	// wholeShare is the part of a step that has to fit before a filling job
	// begins. Past the room, jobs that begin with a task each hold the room
	// between them and none ends in time.
	wholeShare = 0.6
	// overdueShare is the part of the filling room that jobs may have which
	// are worth nothing to their callers any more. The rest is kept for jobs
	// that come.
	overdueShare = 0.7
)

// Input is what a plan is made from. Nothing of it is changed.
type Input struct {
	Jobs   *jobs.State
	Config *queues.Config
	// NowMS is the time that occurrences are due by, in milliseconds since
	// 1970.
	NowMS int64
	// Shunned workers get no new tasks: they rejected some just now, or fail
	// far more than their peers.
	Shunned map[string]bool
	// Leaving workers get none either: their machines are about to go down.
	Leaving map[string]bool
	// DataCentres tells which data centres are out of service, nil for none.
	DataCentres *datacentre.State
	// Promised is what standing tasks of jobs that are just being taken in will hold, by
	// service, in thousandths of a processor.
	Promised map[string]int64
	// Waited returns how long a group has had tasks that could begin, nil for
	// no time at all.
	Waited func(*jobs.Group) time.Duration
	// Open returns for how long a service has had a worker that takes tasks, without a break, nil
	// for always.
	Open func(service string) time.Duration
	// Costs tells whom filling tasks disturb, nil for nobody.
	Costs Costs
	// Stalled are filling runs that were slowed to a stand.
	Stalled []jobs.Stop
	// Stuck are runs at full pace that make no progress.
	Stuck []jobs.Stop
	// Estimates tells how long tasks will take, nil to go by acceptance only.
	Estimates *Estimates
	// Copies says to look for runs that take too long. It takes a look at each run
	// that may have a copy, so it isn't done in every pass.
	Copies bool
	// Regroup says to look for served tasks that stand among strangers.
	Regroup bool
	// Ticket returns the advisor's ticket for a step on a worker, "" for none. Steps
	// of advised queues go nowhere without one.
	Ticket func(step jobs.GroupKey, worker string) string
	// Slowness returns how much longer a worker's runs take than expected, as
	// a logarithm, nil for not at all.
	Slowness func(worker string) float64
	// Without are the mechanisms that are left out.
	Without ablation.Set
}

// Costs is what is known of how filling tasks disturb serving ones. Images are
// what tasks run; tasks of one image behave alike.
type Costs interface {
	// Cost returns the headroom, target over tail, that one processor of filling
	// work is expected to take of a serving task.
	Cost(serving, filling string) float64
	// Bound returns the headroom that filling work may take of the serving tasks of an
	// image on a worker.
	Bound(worker, serving string) float64
	// Unseen reports whether the pair was never seen, and if so the headroom that one
	// processor takes at most.
	Unseen(serving, filling string) (most float64, unseen bool)
	// Alike returns the probability that two serving images are disturbed by the same
	// filling ones.
	Alike(a, b string) float64
	// Now returns the headroom that the serving tasks bear at the moment.
	Now(worker, serving string) float64
}

// planner is the working copy of one pass.
type planner struct {
	in      Input
	workers map[string][]*candidate // by service
	sparse  map[string]bool         // services with much room, see sparseUse
	plan    jobs.Plan
	placed  int
	copied  int
	moved   map[jobs.GroupKey]int // standing tasks that this pass moves
	// suspects are the tasks under which workers crashed.
	suspects []jobs.Ref
}

// candidate is a worker with the room it has left in this pass.
type candidate struct {
	worker  *jobs.Worker
	free    resource.Vector
	filling int64 // processors promised to filling tasks
	// serving and fillers count tasks by image; servingCPU is what serving
	// ones hold. The counts are the snapshot's unless they are owned, see ownCounts.
	serving    map[string]int
	servingCPU int64
	fillers    map[string]int
	owned      bool
	// standingCPU is what standing tasks hold.
	standingCPU int64
	// suspects began there a moment ago or in this pass; looking says that one is looked
	// at alone there, or soon will be: nothing else begins.
	suspects int
	looking  bool
}

// Next returns the placements for what waits and fits.
func Next(in Input) jobs.Plan {
	p := &planner{in: in, plan: jobs.Plan{AtMS: in.NowMS}, moved: make(map[jobs.GroupKey]int)}
	requests, overdue := p.requests(), p.overdue()
	if len(requests) == 0 && len(overdue) == 0 && !in.Regroup && len(in.Stalled) == 0 && len(in.Stuck) == 0 && len(p.emptiedWorkers()) == 0 {
		return p.plan
	}
	p.gather()
	p.suspects = in.Jobs.Suspects()
	p.noteSuspects()
	if !in.Without.Leaving {
		p.empty()
	}
	if !in.Without.Moves {
		p.relieve()
	}
	p.regroup()
	p.lookAlone(requests)
	for _, r := range requests {
		if p.placed >= maxPlacements {
			break
		}
		p.place(r)
	}
	p.copies(overdue)
	return p.plan
}

func (p *planner) gather() {
	p.workers = make(map[string][]*candidate)
	p.sparse = make(map[string]bool)
	capacity, used := make(map[string]int64), make(map[string]int64)
	ids := make([]string, 0, len(p.in.Jobs.Workers))
	candidates := make([]candidate, len(p.in.Jobs.Workers))
	for id := range p.in.Jobs.Workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for i, id := range ids {
		w := p.in.Jobs.Workers[id]
		if !p.in.Takes(w) {
			continue
		}
		u := p.in.Jobs.Use(id)
		capacity[w.Service] += w.Capacity.MilliCPU
		used[w.Service] += u.Held.MilliCPU
		candidates[i] = candidate{worker: w, free: w.Capacity.Sub(u.Held), filling: u.Filling,
			serving: u.Serving, servingCPU: u.ServingCPU, fillers: u.Fillers, standingCPU: u.StandingCPU}
		p.workers[w.Service] = append(p.workers[w.Service], &candidates[i])
	}
	for service, total := range capacity {
		p.sparse[service] = float64(used[service]) < sparseUse*float64(total)
	}
}

func (p *planner) place(r request) {
	running := r.group.Job().Active() > 0
	f := p.fillOn(r, running)
	if len(f.pl.Indexes) < p.least(r, running) {
		f.undo(r.group.Step())
		return
	}
	if len(f.pl.Indexes) > 0 {
		p.plan.Placements = append(p.plan.Placements, f.pl)
		p.placed += len(f.pl.Indexes)
	}
}

// filled is the placement of as many tasks of a group as have room.
type filled struct {
	pl    jobs.Placement
	taken []*candidate // by task
}

func (f *filled) undo(st *jobs.Step) {
	for _, c := range f.taken {
		c.giveBack(st)
	}
}

// fill places the waiting tasks of a group on the workers that pass the test, nil for
// all.
func (p *planner) fill(r request, running bool, test func(*candidate) bool) filled {
	f := filled{pl: jobs.Placement{Job: r.group.Job().ID, Occurrence: r.group.Occurrence(), Step: r.group.StepIndex()}}
	onWorker := p.onWorker(r.group)
	alike, best := p.unsuspected(r), &ranking{p: p, r: r, onWorker: onWorker, test: test}
	for i := range r.group.Tasks {
		if t := &r.group.Tasks[i]; t.Done || t.Placed != nil || r.looksAlone(i) || r.awaits(i) {
			continue
		}
		var c *candidate
		if begun := running || len(f.taken) > 0; alike {
			c = best.next(begun)
		} else {
			c = p.chooseDoubted(r, i, onWorker, begun, &f, test)
		}
		if c == nil {
			break // the tasks of a step are alike: the next would not fit either
		}
		c.take(r.group.Step())
		p.began(c, r, i)
		onWorker[c.worker.ID]++
		f.taken = append(f.taken, c)
		f.pl.Indexes = append(f.pl.Indexes, i)
		f.pl.Workers = append(f.pl.Workers, c.worker.ID)
		p.addTicket(&f.pl, r, c)
		if alike {
			best.took()
		}
	}
	return f
}

// unsuspected reports whether nothing is held against any task of a step, so that all are alike.
func (p *planner) unsuspected(r request) bool {
	for i := range r.group.Tasks {
		if r.group.Doubt(i) != jobs.NoDoubt {
			return false
		}
	}
	return true
}

// chooseDoubted is choose for a step under which workers crashed.
func (p *planner) chooseDoubted(r request, k int, onWorker map[string]int, running bool, f *filled, test func(*candidate) bool) *candidate {
	return p.choose(r, k, onWorker, running, func(c *candidate) bool {
		// A gang is suspected as a whole.
		return (test == nil || test(c)) && (!c.looking || (r.group.Step().Gang && slices.Contains(f.taken, c)))
	})
}

// onWorker counts a group's runs by worker, copies included.
func (p *planner) onWorker(g *jobs.Group) map[string]int {
	out := make(map[string]int)
	for i := range g.Tasks {
		for _, r := range g.Tasks[i].Runs() {
			out[r.Worker]++
		}
	}
	return out
}

// least is how many of a group's waiting tasks have to fit for any to be placed.
func (p *planner) least(r request, running bool) int {
	st := r.group.Step()
	switch {
	case st.Gang:
		return len(r.group.Tasks)
	case !st.Fills || running || p.in.Without.Whole || p.sparse[r.queue.Service] || r.outlook == Begun || r.waited > starveWait:
		return 1
	}
	return int(math.Ceil(wholeShare * float64(r.group.Waiting())))
}

func (c *candidate) take(st *jobs.Step) { c.add(st, 1) }

func (c *candidate) giveBack(st *jobs.Step) { c.add(st, -1) }

func (c *candidate) add(st *jobs.Step, n int64) {
	need := st.Held()
	c.free.MilliCPU -= n * need.MilliCPU
	c.free.MemoryMB -= n * need.MemoryMB
	c.free.Accelerators -= n * need.Accelerators
	switch {
	case st.TargetMS > 0:
		c.servingCPU += n * st.Need.MilliCPU
		c.ownCounts()
		change(c.serving, st.Image, int(n))
	case st.Fills:
		c.filling += n * st.Need.MilliCPU
		c.ownCounts()
		change(c.fillers, st.Image, int(n*st.Need.MilliCPU))
	}
}

// ownCounts copies the counts before the first change. A pass changes a few workers, and a copy
// for each of a large fleet would cost more than all it decides.
func (c *candidate) ownCounts() {
	if c.owned {
		return
	}
	c.serving, c.fillers, c.owned = copyCounts(c.serving), copyCounts(c.fillers), true
}

func copyCounts(m map[string]int) map[string]int {
	out := make(map[string]int, len(m)+1)
	maps.Copy(out, m)
	return out
}

func change(m map[string]int, key string, n int) {
	if m[key] += n; m[key] == 0 {
		delete(m, key)
	}
}

// choose returns the best worker for the k-th task of a step, nil for none. Only those
// count that pass the test.
func (p *planner) choose(r request, k int, onWorker map[string]int, running bool, test func(*candidate) bool) *candidate {
	var held *jobs.Suspicion
	if r.group.Doubt(k) != jobs.NoDoubt {
		held = r.group.Suspicion(k)
	}
	var best *candidate
	bestCost := 0.0
	for _, c := range p.workers[r.queue.Service] {
		if !test(c) || !p.takes(c, r, onWorker, running) {
			continue
		}
		if cost := p.cost(c, r.group.Step(), held); best == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best
}

// takes reports whether a worker may have one more task of a step, onWorker being how many
// each has.
func (p *planner) takes(c *candidate, r request, onWorker map[string]int, running bool) bool {
	st := r.group.Step()
	if _, may := p.ticketFor(r, c.worker.ID); !may || !p.fits(c, r, running) {
		return false
	}
	return st.MaxPerWorker == 0 || onWorker[c.worker.ID] < st.MaxPerWorker
}
