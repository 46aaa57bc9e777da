package jobs

import (
	"fmt"
	"maps"
	"slices"
	"sort"

	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

// Rules looks up the configuration in force while a command is applied.
type Rules struct {
	// Service returns the service that a queue's jobs run on, "" for none.
	Service func(host, prefix string) string
	// Cordoned reports whether no new run may begin in a data centre.
	Cordoned func(dataCentre string) bool
	// MaxAttempts returns how often a queue's task may fail, 0 for no limit.
	MaxAttempts func(host, prefix string) int
}

// RunsOn returns the tasks with a run on a worker, in order.
func (s *State) RunsOn(worker string) []Ref {
	if u := s.use[worker]; u != nil {
		return sortedRefs(u.Runs)
	}
	return nil
}

// RunOn identifies the run that a task has on a worker, with the number 0 for none.
func (s *State) RunOn(ref Ref, worker string) Stop {
	st := Stop{Task: ref}
	if r := s.group(ref).Tasks[ref.Index].On(worker); r != nil {
		st.Run = r.Run
	}
	return st
}

func sortedRefs[V any](m map[Ref]V) []Ref {
	refs := slices.Collect(maps.Keys(m))
	sortRefs(refs)
	return refs
}

func sortRefs(refs []Ref) {
	sort.Slice(refs, func(i, k int) bool { return refs[i].less(refs[k]) })
}

func (r Ref) less(o Ref) bool {
	switch {
	case r.Job != o.Job:
		return r.Job < o.Job
	case r.Occurrence != o.Occurrence:
		return r.Occurrence < o.Occurrence
	case r.Step != o.Step:
		return r.Step < o.Step
	}
	return r.Index < o.Index
}

// removeRun removes a task's run on a worker, which has certainly ended, and frees its capacity.
func (s *State) removeRun(ref Ref, t *Task, worker string) {
	g, r := s.group(ref), t.On(worker)
	s.release(ref, r)
	t.clear(r)
	g.job.active--
	if t.waits() {
		g.waiting++
	}
	s.updateCopyable(g, ref.Index)
	s.updateReady(g)
}

// ApplyPlan applies the parts of a plan that are still valid and returns how many tasks it
// placed and how many it skipped. The plan was made from a snapshot; only the checks made here,
// on the state at the plan's index in the log, keep workers from being overcommitted.
func (s *State) ApplyPlan(p Plan, rules Rules, index uint64) (placed, stale int) {
	for _, st := range p.Stops {
		s.applyStop(st, index)
	}
	for i := range p.Placements {
		n := s.applyPlacement(&p.Placements[i], rules, index, p.AtMS)
		placed += n
		stale += len(p.Placements[i].Indexes) - n
	}
	return placed, stale
}

func (s *State) applyStop(st Stop, index uint64) {
	g := s.group(st.Task)
	if g == nil {
		return
	}
	for _, r := range g.Tasks[st.Task.Index].Runs() {
		if r.Run == st.Run && !r.Stopping {
			r.Stopping = true
			s.markChanged(r, index)
			s.updateCopyable(g, st.Task.Index)
		}
	}
}

func (s *State) applyPlacement(p *Placement, rules Rules, index uint64, atMS int64) int {
	g := s.group(Ref{p.Job, p.Occurrence, p.Step, 0})
	if g == nil || g.job.Phase.Over() || !g.dependenciesDone() || len(p.Indexes) != len(p.Workers) {
		return 0
	}
	service := rules.Service(g.job.Host, g.job.Prefix)
	if g.Step().Gang {
		if slices.ContainsFunc(p.Workers, func(worker string) bool { return s.cordoned(worker, rules) }) {
			return 0
		}
		return s.placeGang(g, p, service, index, atMS)
	}
	placed := 0
	for i, k := range p.Indexes {
		if k < 0 || k >= len(g.Tasks) || !s.mayStart(g, k, p.Workers[i], p.Copy) || s.cordoned(p.Workers[i], rules) || !s.Admits(g, p.Workers[i], service) {
			continue
		}
		s.place(g, k, p.run(i, g.Tasks[k].Run+1, atMS), index)
		placed++
	}
	return placed
}

// cordoned reports whether a worker is in a data centre that is cordoned.
func (s *State) cordoned(worker string, rules Rules) bool {
	w := s.Workers[worker]
	return w != nil && rules.Cordoned(w.DataCentre)
}

// mayStart reports whether a task needs a run or, with copied set, may have a copy on a worker.
func (s *State) mayStart(g *Group, k int, worker string, copied bool) bool {
	if !copied {
		return g.Tasks[k].waits()
	}
	return g.mayCopy(k) && g.Tasks[k].Placed.Worker != worker
}

// placeGang places all tasks of a gang under one run number, or none.
func (s *State) placeGang(g *Group, p *Placement, service string, index uint64, atMS int64) int {
	if len(p.Indexes) != len(g.Tasks) || g.waiting != len(g.Tasks) {
		return 0
	}
	run := uint32(0)
	for k := range g.Tasks {
		run = max(run, g.Tasks[k].Run)
	}
	if !s.gangFits(g, p, service) {
		return 0
	}
	for i, k := range p.Indexes {
		s.place(g, k, p.run(i, run+1, atMS), index)
	}
	return len(p.Indexes)
}

// gangFits reports whether the workers can hold all members of a gang together. It must be checked
// before any member is placed.
func (s *State) gangFits(g *Group, p *Placement, service string) bool {
	need, _ := heldBy(g.Step())
	members := make(map[string]int64)
	seen := make(map[int]bool)
	for i, k := range p.Indexes {
		if k < 0 || k >= len(g.Tasks) || seen[k] || !s.Admits(g, p.Workers[i], service) {
			return false
		}
		seen[k] = true
		members[p.Workers[i]]++
	}
	for worker, n := range members {
		u := s.Use(worker)
		all := resource.Vector{MilliCPU: n * need.MilliCPU, MemoryMB: n * need.MemoryMB, Accelerators: n * need.Accelerators}
		if !all.Add(u.Held).Fits(s.Workers[worker].Capacity) {
			return false
		}
		if limit := g.Step().MaxPerWorker; limit > 0 && n > int64(limit) {
			return false
		}
	}
	return true
}

// Admits reports whether a worker may take one more task of a group.
func (s *State) Admits(g *Group, worker, service string) bool {
	w := s.Workers[worker]
	st := g.Step()
	if w == nil || w.Draining || service == "" || w.Service != service || (st.Label != "" && !w.HasLabel(st.Label)) {
		return false
	}
	u := s.Use(worker)
	need, _ := heldBy(st)
	if !need.Add(u.Held).Fits(w.Capacity) {
		return false
	}
	return st.MaxPerWorker == 0 || s.countOn(g, worker) < st.MaxPerWorker
}

// countOn counts a group's runs on a worker, also those that are being stopped.
func (s *State) countOn(g *Group, worker string) int {
	n := 0
	for i := range g.Tasks {
		if g.Tasks[i].On(worker) != nil {
			n++
		}
	}
	return n
}

// place gives a task a run, or a copy if it already has a run.
func (s *State) place(g *Group, k int, r Placed, index uint64) {
	t := &g.Tasks[k]
	t.Run = r.Run
	if t.waits() {
		t.Placed = &r
		g.waiting--
	} else {
		t.Copy = &r
	}
	s.markChanged(&r, index)
	s.reserve(g.ref(k), t, &r)
	s.updateCopyable(g, k)
	g.job.active++
	if g.job.Phase == Queued {
		s.setPhase(g.job, Running)
	}
	s.updateReady(g)
}

// Ended is the result of applying the end of a run.
type Ended struct {
	// Late is set if the run held no capacity any more: it had been made void, or the end is
	// reported again. Such an end changes nothing, except for the cases of applyLateDone.
	Late bool
	// Overtaken is set if the run is done although a later run of its task has been ordered or
	// will be.
	Overtaken bool
}

// ApplyEnd applies the end of a run.
func (s *State) ApplyEnd(worker string, e End, rules Rules, index uint64) Ended {
	g := s.group(e.Task)
	if g == nil {
		return Ended{}
	}
	if e.Outcome != OutcomeRejected {
		s.setBegan(g.job)
	}
	t := &g.Tasks[e.Task.Index]
	if r := t.On(worker); r == nil || r.Run != e.Run {
		s.applyLateDone(g, e, index)
		return Ended{Late: true, Overtaken: g.overtaken(e)}
	}
	if e.Checkpoint != "" && g.Step().Checkpointing {
		s.saveCheckpoint(g, t, e.Checkpoint)
	}
	if e.Outcome == OutcomeDone && !g.Step().Standing {
		s.markDone(g, e.Task.Index)
	}
	s.removeRun(e.Task, t, worker)
	if g.job.Phase.Over() {
		return Ended{}
	}
	if t.Done {
		s.stopRuns(t, index) // the task's other run is redundant
	}
	switch {
	case e.Outcome == OutcomeDone:
		s.advanceJob(g)
	case e.Outcome == OutcomeFailed && !g.Step().Standing && !t.Done:
		s.countFailure(g, t, e.Run, rules, index)
	}
	return Ended{}
}

// overtaken reports whether a run ended as done although its task has a later run or will get one.
// A gang is started again if a late end of one member does not count as done.
func (g *Group) overtaken(e End) bool {
	st, t := g.Step(), &g.Tasks[e.Task.Index]
	if e.Outcome != OutcomeDone || st.Standing || st.Speculative {
		return false
	}
	return t.Run > e.Run || (st.Gang && !t.Done)
}

// applyLateDone handles a done end of a run that was assumed lost, because its worker reported
// nothing for a whole lease or restarted, or whose order was assumed lost and took effect late. The
// end is acknowledged to the worker, so the task must not be started again: if it has been placed
// again, its newer runs are stopped, and a start that is still in transit never begins.
func (s *State) applyLateDone(g *Group, e End, index uint64) {
	st, t := g.Step(), &g.Tasks[e.Task.Index]
	if e.Outcome != OutcomeDone || st.Standing || st.Gang || t.Done || g.job.Phase.Over() {
		return
	}
	switch {
	case t.waits() && e.Run <= t.Run:
		g.waiting--
	case t.Placed != nil && e.Run < t.Placed.Run:
		s.stopRuns(t, index)
	default:
		return // such a run was never ordered
	}
	s.markDone(g, e.Task.Index)
	s.updateCopyable(g, e.Task.Index)
	s.updateReady(g)
	s.advanceJob(g)
}

// saveCheckpoint stores a task's checkpoint. A gang's members must all resume from the same
// point, and any member's checkpoint is valid for all.
func (s *State) saveCheckpoint(g *Group, t *Task, checkpoint string) {
	if !g.Step().Gang {
		t.Checkpoint = checkpoint
		return
	}
	for k := range g.Tasks {
		g.Tasks[k].Checkpoint = checkpoint
	}
}

// markDone marks a task done. A gang ends together, so the end of one member marks all.
func (s *State) markDone(g *Group, k int) {
	if !g.Step().Gang {
		if t := &g.Tasks[k]; !t.Done {
			t.Done = true
			g.done++
			s.updateSuspect(g, k)
		}
		return
	}
	for k := range g.Tasks {
		if m := &g.Tasks[k]; !m.Done {
			if m.waits() {
				g.waiting--
			}
			m.Done = true
			g.done++
			s.updateSuspect(g, k)
		}
	}
}

// advanceJob updates which groups are ready after a group has finished, and completes the job after
// the last one.
func (s *State) advanceJob(g *Group) {
	if g.done < len(g.Tasks) {
		return
	}
	j := g.job
	remaining := 0
	for _, other := range j.Groups {
		if other.done < len(other.Tasks) {
			remaining++
		}
		s.updateReady(other)
	}
	if remaining == 0 && !j.Phase.Over() {
		s.setPhase(j, Completed)
		s.live--
	}
}

// countFailure counts a failed run and fails the job at the limit. A run of a gang counts once,
// however many of its members fail.
func (s *State) countFailure(g *Group, t *Task, run uint32, rules Rules, index uint64) {
	n := 0
	if g.Step().Gang {
		if run <= g.FailedRun {
			return
		}
		g.FailedRun = run
		g.Failures++
		n = g.Failures
	} else {
		t.Failures++
		n = t.Failures
	}
	if limit := rules.MaxAttempts(g.job.Host, g.job.Prefix); limit > 0 && n >= limit {
		g.job.FailureReason = fmt.Sprintf("a task of step %d of occurrence %d failed %d times", g.step, g.occurrence, n)
		s.end(g.job, Failed, index)
	}
}

// Orders returns the orders for a worker that changed after a log index, sorted by task.
func (s *State) Orders(worker string, since uint64) []Order {
	u := s.use[worker]
	if u == nil {
		return nil
	}
	var out []Order
	for _, ref := range sortedRefs(u.Runs) {
		t := u.Runs[ref]
		r := t.On(worker)
		if r.Changed <= since {
			continue
		}
		j := s.Jobs[ref.Job]
		st := &j.Spec.Steps[ref.Step]
		o := Order{Task: ref, Run: r.Run, Stop: r.Stopping, Held: st.Held()}
		if !o.Stop {
			o.Payload, o.Checkpoint, o.Ticket, o.TargetMS, o.Fills = j.Spec.Payload, t.Checkpoint, r.Ticket, st.TargetMS, st.Fills
			o.Image, o.MilliCPU, o.Standing = st.Image, st.Need.MilliCPU, st.Standing
			o.AtMS, o.SinceMS, o.AfterStep = r.AtMS, r.SinceMS, len(st.DependsOn) > 0
		}
		out = append(out, o)
	}
	return out
}

// Lookup returns the phase of a queue's job, or a refusal if the queue has no such job.
func (s *State) Lookup(host, prefix, id string) (Phase, error) {
	j := s.Jobs[id]
	if j == nil || j.Host != host || j.Prefix != prefix {
		return 0, refusal.New(refusal.NotFound, "check the id; jobs that ended are forgotten after a while", "job %s is not known", id)
	}
	return j.Phase, nil
}
