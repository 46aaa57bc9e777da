// Package dispatch decides which waiting task starts on which worker. It computes a plan from a
// snapshot of the jobs without changing it; the replicated log checks the plan again when it is
// applied.
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

// Limits and thresholds of one pass.
const (
	// maxPlacements keeps a pass within a few milliseconds however many tasks wait.
	maxPlacements = 512
	// reclaimableServingShare is the part of the processors held by serving tasks that filling
	// tasks may use. Serving tasks use 0.45 of what they request on average, and their use varies
	// by half of that.
	reclaimableServingShare = 0.5
	// lowUtilization is the used part of a service's processors below which a job with no running
	// task is started even if its tasks interfere with serving ones: with that much free capacity
	// a caller can't be told that there is none.
	lowUtilization = 0.6
	// lowUtilizationWait is how long a job may be without a running task while utilization is
	// below lowUtilization.
	lowUtilizationWait = time.Second
	// starvationWait is the same limit at any utilization. Without it, an image that interferes
	// with every serving task would never run where all workers serve.
	starvationWait = time.Minute
	// maxOvercommit limits the filling tasks that are started after such a wait, as a multiple of
	// a worker's processors. Filling tasks that request that many slow each other down by the
	// same factor.
	maxOvercommit = 2.0
	// minStartShare is the part of a step's waiting tasks that must fit before a filling job
	// starts. When the service is overloaded, jobs that start with one task each would divide the
	// capacity between them and none would finish in time.
	minStartShare = 0.6
	// overdueCapacityShare is the part of the capacity for filling tasks that jobs of class
	// Overdue may use. The rest is kept for jobs that arrive later.
	overdueCapacityShare = 0.7
)

// Input is the snapshot that a plan is made from. Planning doesn't change it.
type Input struct {
	Jobs   *jobs.State
	Config *queues.Config
	// NowMS is the current time, which due times of occurrences are compared with, in
	// milliseconds since 1970.
	NowMS int64
	// Avoided workers get no new tasks: they rejected some recently, or fail far more often than
	// their peers.
	Avoided map[string]bool
	// Blamed are the avoided workers that respond, and are avoided only because their runs fail. The
	// runs may be at fault, so a task that can go nowhere else does not wait for them for long.
	Blamed map[string]bool
	// Leaving workers get no new tasks either: their machines are about to go down.
	Leaving map[string]bool
	// Absences tells which standing tasks are unavailable although they are placed.
	Absences Absences
	// DataCentres tells which data centres are out of service, nil for none.
	DataCentres *datacentre.State
	// Reserved is the CPU reserved, by service, for standing tasks of jobs that are being
	// accepted, in thousandths of a processor.
	Reserved map[string]int64
	// WaitTime returns how long a group has had tasks that are ready to start. Nil means zero.
	WaitTime func(*jobs.Group) time.Duration
	// WorkersUpFor returns for how long, without interruption, a service has had a worker that accepts
	// tasks. Nil means always.
	WorkersUpFor func(service string) time.Duration
	// Costs estimates how filling tasks interfere with serving ones, nil for not at all.
	Costs Costs
	// Stalled are filling runs that were throttled to a standstill.
	Stalled []jobs.Stop
	// Stuck are runs that make no progress although they are not throttled.
	Stuck []jobs.Stop
	// Estimates predicts how long tasks take. If nil, jobs are ordered by acceptance only.
	Estimates *Estimates
	// Copies enables the search for runs that take too long. It examines each run that may be
	// copied, so it isn't done in every pass.
	Copies bool
	// Regroup enables moving serving tasks away from dissimilar ones on the same worker.
	Regroup bool
	// Ticket returns the advisor's ticket for a step on a worker, "" for none. Steps of queues
	// with an advisor are placed only with a ticket.
	Ticket func(step jobs.GroupKey, worker string) string
	// Slowness returns how much longer than expected a worker's runs take, as a natural
	// logarithm. Nil means zero.
	Slowness func(worker string) float64
	// Listed returns the work of the refused jobs that are ahead of the job being admitted and are
	// expected to return within the given time: in processor-milliseconds, or in processors if the
	// job is a standing one. Nil means zero.
	Listed func(within time.Duration) float64
	// Rate returns the recent rate of completed work of the kind of the job being admitted, in
	// processors, at most the available ones. It is set if Listed is.
	Rate func(available float64) float64
	// Place is when the job being admitted was first refused, in milliseconds since 1970, 0 if it
	// was not. Jobs of its priority that were accepted later are not ahead of it.
	Place int64
	// Disabled lists the mechanisms that are switched off.
	Disabled ablation.Set
}

// Costs estimates how filling tasks interfere with serving ones. Tasks are identified by the
// image that they run; tasks of one image behave alike. Headroom is a serving task's latency
// target divided by its tail latency.
type Costs interface {
	// Cost returns the headroom that one processor of filling work is expected to take from a
	// serving task.
	Cost(serving, filling string) float64
	// HeadroomBudget returns the headroom that filling work may take from the serving tasks of an
	// image on a worker.
	HeadroomBudget(worker, serving string) float64
	// MaxCostIfUnseen reports whether the pair has never been observed, and if so the most headroom
	// that one processor may take.
	MaxCostIfUnseen(serving, filling string) (most float64, unseen bool)
	// Similarity returns the probability that the same filling images interfere with both serving
	// images.
	Similarity(a, b string) float64
	// SpareHeadroom returns the headroom that the serving tasks of an image on a worker can spare
	// at the moment.
	SpareHeadroom(worker, serving string) float64
}

// planner is the mutable state of one pass.
type planner struct {
	in           Input
	workers      map[string][]*candidate // by service
	blamed       map[string][]*candidate // the blamed ones, which are not among workers, by service
	underused    map[string]bool         // services with utilization below lowUtilization
	plan         jobs.Plan
	placed       int
	copiesPlaced int
	moved        map[jobs.GroupKey]int // standing tasks moved by this pass
	// targets are the workers on which this pass has reserved capacity for runs that it moves.
	targets map[jobs.GroupKey][]string
	// suspects are the tasks under which workers crashed.
	suspects []jobs.Ref
	// forecasts are those made in this pass. A forecast goes through all steps of a job, and is needed
	// for each of them.
	forecasts map[occurrenceKey]forecast
}

// occurrenceKey names one occurrence of a job.
type occurrenceKey struct {
	job        *jobs.Job
	occurrence int
}

// forecast predicts one occurrence of a job, once in a pass.
func (p *planner) forecast(j *jobs.Job, q *queues.Queue, occurrence int) forecast {
	key := occurrenceKey{j, occurrence}
	f, known := p.forecasts[key]
	if !known {
		f = p.in.Estimates.forecast(j, q, occurrence)
		if p.forecasts == nil {
			p.forecasts = make(map[occurrenceKey]forecast)
		}
		p.forecasts[key] = f
	}
	return f
}

// candidate is a worker that accepts tasks, with the capacity it has left in this pass.
type candidate struct {
	worker  *jobs.Worker
	free    resource.Vector
	filling int64 // requested by filling tasks, in thousandths of a processor
	// serving counts tasks, and fillers thousandths of processors, by image. The maps belong to
	// the snapshot unless owned is set, see ownCounts. servingCPU is what serving tasks hold.
	serving    map[string]int
	servingCPU int64
	fillers    map[string]int
	owned      bool
	// standingCPU is what standing tasks hold.
	standingCPU int64
	marks
}

func newCandidate(w *jobs.Worker, u jobs.Use) candidate {
	return candidate{worker: w, free: w.Capacity.Sub(u.Held), filling: u.Filling,
		serving: u.Serving, servingCPU: u.ServingCPU, fillers: u.Fillers, standingCPU: u.StandingCPU}
}

// marks are what suspects mean for other tasks on a worker.
type marks struct {
	// suspects counts the suspects started on the worker recently or in this pass.
	suspects int
	// isolated says that the worker runs, or is reserved for, a suspect that runs alone: nothing
	// else starts there.
	isolated bool
}

// Report tells operators what a pass has found.
type Report struct {
	// Isolated is the number of workers on which nothing else may start at the end of the pass,
	// because of a suspect that runs alone. Only passes with waiting tasks count it.
	Isolated int
}

// Plan returns the placements, copies and stops of one pass.
func Plan(in Input) jobs.Plan {
	plan, _ := PlanAndReport(in)
	return plan
}

// PlanAndReport is Plan with a report of the pass.
func PlanAndReport(in Input) (jobs.Plan, Report) {
	p := &planner{in: in, plan: jobs.Plan{AtMS: in.NowMS}, moved: make(map[jobs.GroupKey]int), targets: make(map[jobs.GroupKey][]string)}
	requests, overrunning := p.requests(), p.overrunning()
	if len(requests) == 0 && len(overrunning) == 0 && !in.Regroup && len(in.Stalled) == 0 && len(in.Stuck) == 0 && len(p.workersToEvacuate()) == 0 {
		return p.plan, Report{}
	}
	p.collectCandidates()
	if !in.Disabled.Leaving {
		p.evacuate()
	}
	if !in.Disabled.Moves {
		p.moveStalled()
	}
	p.regroup()
	p.placeIsolatedSuspects(requests)
	for _, r := range requests {
		if p.placed >= maxPlacements {
			break
		}
		p.place(r)
	}
	p.placeCopies(overrunning)
	return p.plan, p.report()
}

func (p *planner) report() (r Report) {
	for _, list := range p.workers {
		for _, c := range list {
			if c.isolated {
				r.Isolated++
			}
		}
	}
	return r
}

// collectCandidates lists the workers that accept tasks, with the marks of the suspects that started
// on them recently.
func (p *planner) collectCandidates() {
	p.workers, p.blamed = make(map[string][]*candidate), make(map[string][]*candidate)
	p.underused = make(map[string]bool)
	capacity, used := make(map[string]int64), make(map[string]int64)
	ids := make([]string, 0, len(p.in.Jobs.Workers))
	candidates := make([]candidate, len(p.in.Jobs.Workers))
	for id := range p.in.Jobs.Workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for i, id := range ids {
		w := p.in.Jobs.Workers[id]
		u := p.in.Jobs.Use(id)
		if p.in.Blamed[id] && !p.in.closed(w) {
			blamed := newCandidate(w, u)
			p.blamed[w.Service] = append(p.blamed[w.Service], &blamed)
		}
		if !p.in.Accepts(w) {
			continue
		}
		capacity[w.Service] += w.Capacity.MilliCPU
		used[w.Service] += u.Held.MilliCPU
		candidates[i] = newCandidate(w, u)
		p.workers[w.Service] = append(p.workers[w.Service], &candidates[i])
	}
	for service, total := range capacity {
		p.underused[service] = float64(used[service]) < lowUtilization*float64(total)
	}
	p.suspects = p.in.Jobs.Suspects()
	p.markSuspects()
}

// blamedWait is how long a task waits for a worker that is not blamed, if all that it could ever run
// on are. Standing tasks count as neglected after three seconds, and each attempt on a worker that
// does fail costs a task with limited attempts one of them.
const blamedWait = 1500 * time.Millisecond

// workersFor returns the workers that may be given the tasks of a request.
func (p *planner) workersFor(r request) []*candidate {
	all, blamed := p.workers[r.queue.Service], p.blamed[r.queue.Service]
	if r.waited < blamedWait || len(blamed) == 0 {
		return all
	}
	st := r.group.Step()
	if slices.ContainsFunc(all, func(c *candidate) bool { return c.everTakes(st) }) {
		return all
	}
	return blamed
}

// everTakes reports whether a worker could run a task of a step if nothing else ran there.
func (c *candidate) everTakes(st *jobs.Step) bool {
	return (st.Label == "" || c.worker.HasLabel(st.Label)) && st.Held().Fits(c.worker.Capacity)
}

func (p *planner) place(r request) {
	running := r.group.Job().Active() > 0
	f := p.assignByRack(r, running)
	if len(f.pl.Indexes) < p.minPlaced(r, running) {
		f.undo(r.group.Step())
		return
	}
	if len(f.pl.Indexes) > 0 {
		p.plan.Placements = append(p.plan.Placements, f.pl)
		p.placed += len(f.pl.Indexes)
	}
}

// groupAssignment assigns as many tasks of a group as fit to workers.
type groupAssignment struct {
	pl         jobs.Placement
	candidates []*candidate // by task
	before     []marks      // of the candidate, by task
}

// assign adds the k-th task of a request on a worker.
func (f *groupAssignment) assign(c *candidate, r request, k int) {
	f.candidates = append(f.candidates, c)
	f.before = append(f.before, c.marks)
	f.pl.Indexes = append(f.pl.Indexes, k)
	f.pl.Workers = append(f.pl.Workers, c.worker.ID)
	c.reserve(r.group.Step())
	c.markPlaced(r, k)
}

// undo gives back all that the assignment has taken. Marks are restored, not derived again: a
// worker may have been isolated before, for another suspect.
func (f *groupAssignment) undo(st *jobs.Step) {
	for i, c := range slices.Backward(f.candidates) {
		c.release(st)
		c.marks = f.before[i]
	}
}

// assign places the waiting tasks of a group on the workers that pass the test; a nil test
// accepts all workers.
func (p *planner) assign(r request, running bool, test func(*candidate) bool) groupAssignment {
	f := groupAssignment{pl: jobs.Placement{Job: r.group.Job().ID, Occurrence: r.group.Occurrence(), Step: r.group.StepIndex()}}
	onWorker := p.onWorker(r.group)
	identical, best := p.noneSuspected(r), &ranking{p: p, r: r, onWorker: onWorker, test: test}
	for i := range r.group.Tasks {
		if t := &r.group.Tasks[i]; t.Done || t.Placed != nil || r.needsIsolation(i) || r.awaitsCrashReport(i) {
			continue
		}
		var c *candidate
		if started := running || len(f.candidates) > 0; identical {
			c = best.next(started)
		} else {
			c = p.chooseForSuspect(r, i, onWorker, started, &f, test)
		}
		if c == nil {
			break // the tasks of a step are identical: the next would not fit either
		}
		f.assign(c, r, i)
		onWorker[c.worker.ID]++
		p.addTicket(&f.pl, r, c)
		if identical {
			best.updateBest()
		}
	}
	return f
}

// noneSuspected reports whether no task of the group is a suspect, so that all are
// interchangeable.
func (p *planner) noneSuspected(r request) bool {
	for i := range r.group.Tasks {
		if r.group.SuspicionLevel(i) != jobs.NoSuspicion {
			return false
		}
	}
	return true
}

// chooseForSuspect is choose for a group with suspects.
func (p *planner) chooseForSuspect(r request, k int, onWorker map[string]int, running bool, f *groupAssignment, test func(*candidate) bool) *candidate {
	return p.choose(r, k, onWorker, running, func(c *candidate) bool {
		// All tasks of a gang are suspects together, so they may share an isolated worker.
		return (test == nil || test(c)) && (!c.isolated || (r.group.Step().Gang && slices.Contains(f.candidates, c)))
	})
}

// onWorker counts a group's runs by worker, copies and targets of moves included.
func (p *planner) onWorker(g *jobs.Group) map[string]int {
	out := make(map[string]int)
	for _, worker := range p.targets[g.Key()] {
		out[worker]++
	}
	for i := range g.Tasks {
		for _, r := range g.Tasks[i].Runs() {
			out[r.Worker]++
		}
	}
	return out
}

// minPlaced returns how many of a group's waiting tasks must fit for any to be placed.
func (p *planner) minPlaced(r request, running bool) int {
	st := r.group.Step()
	switch {
	case st.Gang:
		return len(r.group.Tasks)
	case !st.Fills || running || p.in.Disabled.Whole || p.underused[r.queue.Service] || r.class == Started || r.waited > starvationWait:
		return 1
	}
	return int(math.Ceil(minStartShare * float64(r.group.Waiting())))
}

func (c *candidate) reserve(st *jobs.Step) { c.adjust(st, 1) }

func (c *candidate) release(st *jobs.Step) { c.adjust(st, -1) }

func (c *candidate) adjust(st *jobs.Step, n int64) {
	need := st.Held()
	c.free.MilliCPU -= n * need.MilliCPU
	c.free.MemoryMB -= n * need.MemoryMB
	c.free.Accelerators -= n * need.Accelerators
	switch {
	case st.TargetMS > 0:
		c.servingCPU += n * st.Need.MilliCPU
		c.ownCounts()
		adjustCount(c.serving, st.Image, int(n))
	case st.Fills:
		c.filling += n * st.Need.MilliCPU
		c.ownCounts()
		adjustCount(c.fillers, st.Image, int(n*st.Need.MilliCPU))
	}
}

// ownCounts copies the counts before they are first changed. A pass changes few workers; copying
// the counts of every worker of a large fleet would cost more than the rest of the pass.
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

func adjustCount(m map[string]int, key string, n int) {
	if m[key] += n; m[key] == 0 {
		delete(m, key)
	}
}

// choose returns the cheapest worker that passes the test for the k-th task of a step, or nil if
// there is none.
func (p *planner) choose(r request, k int, onWorker map[string]int, running bool, test func(*candidate) bool) *candidate {
	var suspicion *jobs.Suspicion
	if r.group.SuspicionLevel(k) != jobs.NoSuspicion {
		suspicion = r.group.Suspicion(k)
	}
	var best *candidate
	bestCost := 0.0
	for _, c := range p.workersFor(r) {
		if !test(c) || !p.takes(c, r, onWorker, running) {
			continue
		}
		if cost := p.cost(c, r.group.Step(), suspicion); best == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best
}

// takes reports whether a worker can take one more task of a step. onWorker is the number of the
// group's runs by worker.
func (p *planner) takes(c *candidate, r request, onWorker map[string]int, running bool) bool {
	_, may := p.ticketFor(r, c.worker.ID)
	return may && p.takesIfAllowed(c, r, onWorker, running)
}

// takesIfAllowed is takes for a worker that the queue's advisor allows.
func (p *planner) takesIfAllowed(c *candidate, r request, onWorker map[string]int, running bool) bool {
	st := r.group.Step()
	return p.fits(c, r, running) && (st.MaxPerWorker == 0 || onWorker[c.worker.ID] < st.MaxPerWorker)
}
