package jobs

import (
	"cmp"
	"maps"
	"slices"

	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// State is all jobs and workers. Its exported fields are the snapshot; the rest
// is derived.
type State struct {
	Jobs    map[string]*Job    `msgpack:"j"`
	Workers map[string]*Worker `msgpack:"w"` // by worker id
	// ServiceDataCentres lists, by service, the data centres in which its workers are or have been,
	// sorted. It keeps a data centre whose only worker is being restarted.
	ServiceDataCentres map[string][]string `msgpack:"s,omitempty"`
	// Tokens holds, by agent, the highest fencing token with which it has registered. Entries
	// outlive the registrations, so that delayed registrations are not taken for new ones.
	Tokens map[string]uint64 `msgpack:"t,omitempty"`
	// LastWorkers holds, by agent, the worker that it registered last, even if that was lost since.
	LastWorkers map[string]string `msgpack:"b,omitempty"`

	byAgent  map[string]*Worker
	use      map[string]*Use // by worker id
	ready    map[*Group]struct{}
	copyable map[Ref]struct{} // running tasks that may have a copy and have none
	// suspects are the tasks suspected of crashing their workers.
	suspects map[Ref]struct{}
	queued   map[string]int // jobs of which nothing was ever placed, by host and prefix
	// placed holds the live jobs that had a run and are not known to have begun, by host and prefix.
	placed  map[string]map[string]*Job
	live    int
	size    int64    // bytes, see Size
	changed []string // workers whose orders changed
}

// NewState returns the empty state.
func NewState() *State {
	s := &State{Jobs: make(map[string]*Job), Workers: make(map[string]*Worker), ServiceDataCentres: make(map[string][]string), Tokens: make(map[string]uint64), LastWorkers: make(map[string]string)}
	s.Rebuild()
	return s
}

// Rebuild computes the derived fields after a snapshot was read.
func (s *State) Rebuild() {
	if s.Jobs == nil {
		s.Jobs = make(map[string]*Job)
	}
	if s.Workers == nil {
		s.Workers = make(map[string]*Worker)
	}
	if s.ServiceDataCentres == nil {
		s.ServiceDataCentres = make(map[string][]string)
	}
	if s.Tokens == nil {
		s.Tokens = make(map[string]uint64)
	}
	if s.LastWorkers == nil {
		s.LastWorkers = make(map[string]string)
	}
	s.byAgent = make(map[string]*Worker)
	s.use = make(map[string]*Use)
	s.ready = make(map[*Group]struct{})
	s.copyable = make(map[Ref]struct{})
	s.suspects = make(map[Ref]struct{})
	s.queued = make(map[string]int)
	s.placed = make(map[string]map[string]*Job)
	s.live, s.size = 0, 0
	for _, w := range s.Workers {
		s.byAgent[w.Agent] = w
		s.recordDataCentre(w)
		s.recordToken(w) // snapshots of earlier versions have no Tokens
	}
	for _, j := range s.Jobs {
		s.derive(j)
	}
}

func (s *State) derive(j *Job) {
	j.active = 0
	s.size += j.Spec.Size()
	for i, g := range j.Groups {
		g.job, g.occurrence, g.step = j, i/len(j.Spec.Steps), i%len(j.Spec.Steps)
		g.done, g.waiting = 0, 0
		for k := range g.Tasks {
			t := &g.Tasks[k]
			if t.Done {
				g.done++
			}
			if t.waits() {
				g.waiting++
			}
			for _, r := range t.Runs() {
				j.active++
				s.reserve(g.ref(k), t, r)
			}
			s.updateCopyable(g, k)
			s.updateSuspect(g, k)
		}
	}
	if j.Phase == Queued {
		s.queued[j.Host+j.Prefix]++
	}
	j.Began = j.Began || j.hasProgress() // snapshots of earlier versions don't have it
	s.trackPlaced(j)
	if !j.Phase.Over() {
		s.live++
		for _, g := range j.Groups {
			s.updateReady(g)
		}
	}
}

func (g *Group) ref(index int) Ref { return Ref{g.job.ID, g.occurrence, g.step, index} }

// GroupKey names a group.
type GroupKey struct {
	Job              string
	Occurrence, Step int
}

// Compare orders keys by job, occurrence and step.
func (k GroupKey) Compare(o GroupKey) int {
	return cmp.Or(cmp.Compare(k.Job, o.Job), cmp.Compare(k.Occurrence, o.Occurrence), cmp.Compare(k.Step, o.Step))
}

// Group returns the key of the task's group.
func (r Ref) Group() GroupKey { return GroupKey{r.Job, r.Occurrence, r.Step} }

// Key returns the group's key.
func (g *Group) Key() GroupKey { return GroupKey{g.job.ID, g.occurrence, g.step} }

// Step returns the caller's specification of the group's step.
func (g *Group) Step() *Step { return &g.job.Spec.Steps[g.step] }

// Job returns the job that the group belongs to.
func (g *Group) Job() *Job { return g.job }

// Occurrence returns the number of the group's occurrence.
func (g *Group) Occurrence() int { return g.occurrence }

// StepIndex returns the number of the group's step.
func (g *Group) StepIndex() int { return g.step }

// Waiting returns the number of tasks that are not done and have no run.
func (g *Group) Waiting() int { return g.waiting }

// DueAt returns when the group may begin, in milliseconds since 1970, 0 for immediately.
func (g *Group) DueAt() int64 {
	if g.job.Spec.Repeat == 0 {
		return 0
	}
	return g.job.Spec.StartAt + int64(g.occurrence)*g.job.Spec.Every
}

// dependenciesDone reports whether all steps before the group are done.
func (g *Group) dependenciesDone() bool {
	base := g.occurrence * len(g.job.Spec.Steps)
	for _, d := range g.Step().DependsOn {
		dep := g.job.Groups[base+d]
		if dep.done < len(dep.Tasks) {
			return false
		}
	}
	return true
}

// updateReady adds a group to the ready set or removes it, as its state requires.
func (s *State) updateReady(g *Group) {
	if !g.job.Phase.Over() && g.waiting > 0 && g.dependenciesDone() {
		s.ready[g] = struct{}{}
		return
	}
	delete(s.ready, g)
}

// updateCopyable adds a task to the set of those that may get a copy or removes it, as its state
// requires.
func (s *State) updateCopyable(g *Group, k int) {
	if g.mayCopy(k) {
		s.copyable[g.ref(k)] = struct{}{}
		return
	}
	delete(s.copyable, g.ref(k))
}

// mayCopy reports whether a task may get a second run. Gang members only work together and
// standing tasks never end, so neither get one. Nor do suspects, since the copy could crash a
// second worker at the same time.
func (g *Group) mayCopy(k int) bool {
	st, t := g.Step(), &g.Tasks[k]
	return st.Speculative && !st.Gang && !st.Standing && !g.job.Phase.Over() && !t.Done && g.SuspicionLevel(k) == NoSuspicion &&
		t.Placed != nil && !t.Placed.Stopping && t.Copy == nil
}

// CopyCandidates returns the running tasks that may have a copy, have none, and for which test
// returns true, in order.
func (s *State) CopyCandidates(test func(Ref, *Group) bool) []Ref {
	var refs []Ref
	for ref := range s.copyable {
		if g := s.group(ref); test(ref, g) {
			refs = append(refs, ref)
		}
	}
	sortRefs(refs)
	return refs
}

// Ready returns the groups with tasks that only wait for a worker, whose dependencies are done,
// oldest job first. They must not be changed.
func (s *State) Ready() []*Group {
	out := slices.Collect(maps.Keys(s.ready))
	slices.SortFunc(out, func(a, b *Group) int {
		if a.job.Seq != b.job.Seq {
			if a.job.Seq < b.job.Seq {
				return -1
			}
			return 1
		}
		return (a.occurrence-b.occurrence)*MaxSteps + a.step - b.step
	})
	return out
}

// TakeChangedWorkers returns the workers whose orders changed since the last call, and resets the
// list.
func (s *State) TakeChangedWorkers() []string {
	t := s.changed
	s.changed = nil
	return t
}

// markChanged records a change of a run's order for its agent.
func (s *State) markChanged(r *Placed, index uint64) {
	r.Changed = index
	s.changed = append(s.changed, r.Worker)
}

// recordDataCentre records that a service has a worker in its data centre.
func (s *State) recordDataCentre(w *Worker) {
	list := s.ServiceDataCentres[w.Service]
	if i, found := slices.BinarySearch(list, w.DataCentre); !found {
		s.ServiceDataCentres[w.Service] = slices.Insert(slices.Clone(list), i, w.DataCentre)
	}
}

// MarkDataCentreChanged marks the orders of all workers in a data centre as changed.
func (s *State) MarkDataCentreChanged(name string) {
	for id, w := range s.Workers {
		if w.DataCentre == name {
			s.changed = append(s.changed, id)
		}
	}
}

// Group returns the group of one step of one occurrence, or an empty one if the job has not been
// accepted.
func (j *Job) Group(occurrence, step int) *Group {
	if i := occurrence*len(j.Spec.Steps) + step; i < len(j.Groups) {
		return j.Groups[i]
	}
	return &Group{job: j, step: step, Tasks: make([]Task, j.Spec.Steps[step].Count)}
}

// Open counts the tasks that are not done, and those of them that are placed.
func (g *Group) Open() (open, placed int) {
	for i := range g.Tasks {
		if g.Tasks[i].Done {
			continue
		}
		open++
		if g.Tasks[i].Placed != nil {
			placed++
		}
	}
	return open, placed
}

// Active returns the number of the job's runs that hold capacity.
func (j *Job) Active() int { return j.active }

// Live counts the jobs that are not over.
func (s *State) Live() int { return s.live }

// WorkerOf returns the worker registered by an agent, nil for none.
func (s *State) WorkerOf(agent string) *Worker { return s.byAgent[agent] }

// Group returns the group that a task belongs to, nil if there is none.
func (s *State) Group(ref Ref) *Group { return s.group(ref) }

func (s *State) step(ref Ref) *Step { return &s.Jobs[ref.Job].Spec.Steps[ref.Step] }

func (s *State) group(ref Ref) *Group {
	j := s.Jobs[ref.Job]
	if j == nil || ref.Step < 0 || ref.Step >= len(j.Spec.Steps) || ref.Occurrence < 0 || ref.Occurrence >= len(j.Groups) {
		return nil // a worker's list may hold any number as the occurrence
	}
	i := ref.Occurrence*len(j.Spec.Steps) + ref.Step
	if i >= len(j.Groups) || ref.Index < 0 || ref.Index >= len(j.Groups[i].Tasks) {
		return nil
	}
	return j.Groups[i]
}

// Submit is the command that submits a job.
type Submit struct {
	ID     string `msgpack:"i"`
	Host   string `msgpack:"h"`
	Prefix string `msgpack:"p"`
	Spec   Spec   `msgpack:"s"`
}

// ApplySubmit accepts a job. A job whose id is known is not accepted twice, whatever its phase:
// a caller that lost the answer, or a delayed copy of the request after a cancellation, gets the
// first answer.
func (s *State) ApplySubmit(c Submit, index uint64, now int64) error {
	if old := s.Jobs[c.ID]; old != nil {
		if old.Host != c.Host || old.Prefix != c.Prefix {
			return refusal.New(refusal.Conflict, "choose an id of its own for each job", "job %s was handed to another queue", c.ID)
		}
		return nil
	}
	j := &Job{ID: c.ID, Host: c.Host, Prefix: c.Prefix, Spec: c.Spec, Seq: index, AcceptedAt: now}
	for range max(c.Spec.Repeat, 1) {
		for i := range c.Spec.Steps {
			j.Groups = append(j.Groups, &Group{Tasks: make([]Task, c.Spec.Steps[i].Count)})
		}
	}
	s.Jobs[j.ID] = j
	s.derive(j)
	return nil
}

// ApplyCancel cancels a job, stops its runs and reports whether the job is known. A job that is
// over keeps its phase.
func (s *State) ApplyCancel(id string, index uint64) bool {
	j := s.Jobs[id]
	if j == nil {
		return false
	}
	if !j.Phase.Over() {
		s.end(j, Cancelled, index)
	}
	return true
}

// end puts a job into a final phase and orders the stop of its runs.
func (s *State) end(j *Job, p Phase, index uint64) {
	s.setPhase(j, p)
	s.live--
	for _, g := range j.Groups {
		delete(s.ready, g)
		for i := range g.Tasks {
			s.stopRuns(&g.Tasks[i], index)
			s.updateCopyable(g, i)
			s.updateSuspect(g, i)
		}
	}
}

// stopRuns orders the stop of all of a task's runs.
func (s *State) stopRuns(t *Task, index uint64) {
	for _, r := range t.Runs() {
		if !r.Stopping {
			r.Stopping = true
			s.markChanged(r, index)
		}
	}
}

func (s *State) setPhase(j *Job, p Phase) {
	if j.Phase == Queued && p != Queued {
		s.queued[j.Host+j.Prefix]--
	}
	j.Phase = p
	s.trackPlaced(j)
}

// ApplyForget removes the given jobs if they are over and hold no capacity.
func (s *State) ApplyForget(ids []string) {
	for _, id := range ids {
		if j := s.Jobs[id]; j != nil && j.Phase.Over() && j.active == 0 {
			s.size -= j.Spec.Size()
			delete(s.Jobs, id)
		}
	}
}
