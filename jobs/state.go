package jobs

import (
	"maps"
	"slices"

	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

// State is all jobs and workers. Its exported fields are the snapshot; the rest
// is derived.
type State struct {
	Jobs    map[string]*Job    `msgpack:"j"`
	Workers map[string]*Worker `msgpack:"w"` // by worker id
	// Stood are the data centres in which workers of a service stand or have stood, in
	// order. One that is only being restarted counts.
	Stood map[string][]string `msgpack:"s,omitempty"`
	// Tokens are the highest fencing tokens with which agents have registered, by agent. They
	// outlive the registrations: what comes late must not be taken for new.
	Tokens map[string]uint64 `msgpack:"t,omitempty"`
	// Beside are the workers that agents have registered last, by agent, lost ones too.
	Beside map[string]string `msgpack:"b,omitempty"`

	byAgent map[string]*Worker
	use     map[string]*Use // by worker id
	ready   map[*Group]struct{}
	alone   map[Ref]struct{} // tasks at work that may have a copy and have none
	// suspects are the tasks under which workers crashed
	suspects map[Ref]struct{}
	pending  map[string]int // jobs without a started task, by host and prefix
	live     int
	touched  []string // workers whose orders changed
}

// Use is what the runs on one worker hold.
type Use struct {
	// Held is the sum of the needs, without the processors of filling runs.
	Held resource.Vector
	// Filling is the processors that filling runs would use if they could.
	Filling int64
	Runs    map[Ref]*Task
	// Serving counts, by image, the runs that have a target for their tail
	// latency, and ServingCPU sums up the processors that they hold.
	Serving    map[string]int
	ServingCPU int64
	// StandingCPU is the processors that standing tasks hold.
	StandingCPU int64
	// Fillers sums up the filling runs' processors by image, in thousandths.
	Fillers map[string]int
}

// NewState returns the empty state.
func NewState() *State {
	s := &State{Jobs: make(map[string]*Job), Workers: make(map[string]*Worker), Stood: make(map[string][]string), Tokens: make(map[string]uint64), Beside: make(map[string]string)}
	s.Rebuild()
	return s
}

// Rebuild derives the indexes after a snapshot was read.
func (s *State) Rebuild() {
	if s.Jobs == nil {
		s.Jobs = make(map[string]*Job)
	}
	if s.Workers == nil {
		s.Workers = make(map[string]*Worker)
	}
	if s.Stood == nil {
		s.Stood = make(map[string][]string)
	}
	if s.Tokens == nil {
		s.Tokens = make(map[string]uint64)
	}
	if s.Beside == nil {
		s.Beside = make(map[string]string)
	}
	s.byAgent = make(map[string]*Worker)
	s.use = make(map[string]*Use)
	s.ready = make(map[*Group]struct{})
	s.alone = make(map[Ref]struct{})
	s.suspects = make(map[Ref]struct{})
	s.pending = make(map[string]int)
	s.live = 0
	for _, w := range s.Workers {
		s.byAgent[w.Agent] = w
		s.noteStood(w)
		s.noteToken(w) // a snapshot from before there were tokens has only these
	}
	for _, j := range s.Jobs {
		s.derive(j)
	}
}

func (s *State) derive(j *Job) {
	j.active = 0
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
				s.take(g.ref(k), t, r)
			}
			s.reviewCopy(g, k)
			s.reviewSuspect(g, k)
		}
	}
	if j.Phase == Queued {
		s.pending[j.Host+j.Prefix]++
	}
	if !j.Phase.Over() {
		s.live++
		for _, g := range j.Groups {
			s.review(g)
		}
	}
}

func (g *Group) ref(index int) Ref { return Ref{g.job.ID, g.occurrence, g.step, index} }

// GroupKey names a group.
type GroupKey struct {
	Job              string
	Occurrence, Step int
}

// Group names the group that a task belongs to.
func (r Ref) Group() GroupKey { return GroupKey{r.Job, r.Occurrence, r.Step} }

// Key returns the group's name.
func (g *Group) Key() GroupKey { return GroupKey{g.job.ID, g.occurrence, g.step} }

// Step returns what the caller asked for.
func (g *Group) Step() *Step { return &g.job.Spec.Steps[g.step] }

// Job returns the group's job.
func (g *Group) Job() *Job { return g.job }

// Occurrence and StepIndex tell which group of its job this is.
func (g *Group) Occurrence() int { return g.occurrence }

// StepIndex returns the number of the group's step.
func (g *Group) StepIndex() int { return g.step }

// Waiting counts the tasks without a place.
func (g *Group) Waiting() int { return g.waiting }

// DueAt returns when the group may begin, in milliseconds since 1970, 0 for at
// once.
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

// review enters a group into the ready set, or takes it out.
func (s *State) review(g *Group) {
	if !g.job.Phase.Over() && g.waiting > 0 && g.dependenciesDone() {
		s.ready[g] = struct{}{}
		return
	}
	delete(s.ready, g)
}

// reviewCopy enters a task into the set of those that may have a copy, or takes it
// out.
func (s *State) reviewCopy(g *Group, k int) {
	if g.takesCopy(k) {
		s.alone[g.ref(k)] = struct{}{}
		return
	}
	delete(s.alone, g.ref(k))
}

// takesCopy reports whether a task may have a second run. The members of a gang work
// together only, and a standing task never ends, so neither has one. Nor has a suspect:
// its copy could crash a second worker at the same time.
func (g *Group) takesCopy(k int) bool {
	st, t := g.Step(), &g.Tasks[k]
	return st.Speculative && !st.Gang && !st.Standing && !g.job.Phase.Over() && !t.Done && g.Doubt(k) == NoDoubt &&
		t.Placed != nil && !t.Placed.Stopping && t.Copy == nil
}

// Alone returns the tasks at work for which a copy is worth a thought, in order: they
// may have one, have none, and the test returns true for them.
func (s *State) Alone(test func(Ref, *Group) bool) []Ref {
	var refs []Ref
	for ref := range s.alone {
		if g := s.group(ref); test(ref, g) {
			refs = append(refs, ref)
		}
	}
	sortRefs(refs)
	return refs
}

// Ready returns the groups with tasks that wait for a place only, oldest job
// first. They must not be changed.
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

// TakeTouched returns the workers whose orders changed since the last call.
func (s *State) TakeTouched() []string {
	t := s.touched
	s.touched = nil
	return t
}

// change marks a decision on a run for its agent.
func (s *State) change(r *Placed, index uint64) {
	r.Changed = index
	s.touched = append(s.touched, r.Worker)
}

// noteStood keeps in which data centre a service has a worker.
func (s *State) noteStood(w *Worker) {
	list := s.Stood[w.Service]
	if i, found := slices.BinarySearch(list, w.DataCentre); !found {
		s.Stood[w.Service] = slices.Insert(slices.Clone(list), i, w.DataCentre)
	}
}

// TouchDataCentre marks the orders of all workers in a data centre as changed.
func (s *State) TouchDataCentre(name string) {
	for id, w := range s.Workers {
		if w.DataCentre == name {
			s.touched = append(s.touched, id)
		}
	}
}

// Group returns one step of one occurrence, or an empty group of a job that was
// not taken in.
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

// Active counts the job's runs that hold room.
func (j *Job) Active() int { return j.active }

// Live counts the jobs that are not over.
func (s *State) Live() int { return s.live }

// Pending counts a queue's jobs without a started task.
func (s *State) Pending(host, prefix string) int { return s.pending[host+prefix] }

// Use returns what is held on a worker.
func (s *State) Use(worker string) Use {
	if u := s.use[worker]; u != nil {
		return *u
	}
	return Use{}
}

// WorkerOf returns the worker that an agent stands beside, nil for none.
func (s *State) WorkerOf(agent string) *Worker { return s.byAgent[agent] }

// take and release keep the derived use of a worker equal to the sum over the
// runs that hold room there.
func (s *State) take(ref Ref, t *Task, r *Placed) {
	u := s.use[r.Worker]
	if u == nil {
		u = &Use{Runs: make(map[Ref]*Task), Serving: make(map[string]int), Fillers: make(map[string]int)}
		s.use[r.Worker] = u
	}
	st := s.step(ref)
	need, filling := heldBy(st)
	u.Held, u.Filling = u.Held.Add(need), u.Filling+filling
	u.Runs[ref] = t
	u.count(st, 1)
}

func (s *State) release(ref Ref, r *Placed) {
	u := s.use[r.Worker]
	st := s.step(ref)
	need, filling := heldBy(st)
	u.Held, u.Filling = u.Held.Sub(need), u.Filling-filling
	delete(u.Runs, ref)
	u.count(st, -1)
	if len(u.Runs) == 0 {
		delete(s.use, r.Worker)
	}
}

// count adds n to the runs of a step's kind.
func (u *Use) count(st *Step, n int) {
	var by map[string]int
	if st.Standing {
		u.StandingCPU += int64(n) * st.Need.MilliCPU
	}
	switch {
	case st.TargetMS > 0:
		by = u.Serving
		u.ServingCPU += int64(n) * st.Need.MilliCPU
	case st.Fills:
		by = u.Fillers
		n *= int(st.Need.MilliCPU)
	default:
		return
	}
	if by[st.Image] += n; by[st.Image] == 0 {
		delete(by, st.Image)
	}
}

// Held returns what a task of the step takes from a worker's room: a filling one
// takes no processors.
func (st *Step) Held() resource.Vector {
	held, _ := heldBy(st)
	return held
}

// heldBy returns what a run of a step takes from a worker's room, and the
// processors it only fills.
func heldBy(st *Step) (held resource.Vector, filling int64) {
	if st.Fills {
		n := st.Need
		n.MilliCPU = 0
		return n, st.Need.MilliCPU
	}
	return st.Need, 0
}

// Group returns the group that a task belongs to, nil if there is none.
func (s *State) Group(ref Ref) *Group { return s.group(ref) }

func (s *State) step(ref Ref) *Step { return &s.Jobs[ref.Job].Spec.Steps[ref.Step] }

func (s *State) group(ref Ref) *Group {
	j := s.Jobs[ref.Job]
	if j == nil || ref.Step < 0 || ref.Step >= len(j.Spec.Steps) || ref.Occurrence < 0 {
		return nil
	}
	i := ref.Occurrence*len(j.Spec.Steps) + ref.Step
	if i >= len(j.Groups) || ref.Index < 0 || ref.Index >= len(j.Groups[i].Tasks) {
		return nil
	}
	return j.Groups[i]
}

// Submit hands a job in.
type Submit struct {
	ID     string `msgpack:"i"`
	Host   string `msgpack:"h"`
	Prefix string `msgpack:"p"`
	Spec   Spec   `msgpack:"s"`
}

// ApplySubmit takes a job in. A job that is known is not taken twice, whatever
// became of it: the caller that lost the answer, or a delayed copy of the
// request after a cancellation, gets the first answer.
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

// ApplyCancel ends a job and reports whether it is known. What runs of it is
// stopped; a job that is over stays what it is.
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

// end makes a job over and asks for the stop of its runs.
func (s *State) end(j *Job, p Phase, index uint64) {
	s.setPhase(j, p)
	s.live--
	for _, g := range j.Groups {
		delete(s.ready, g)
		for i := range g.Tasks {
			s.stopRuns(&g.Tasks[i], index)
			s.reviewCopy(g, i)
			s.reviewSuspect(g, i)
		}
	}
}

// stopRuns asks for the stop of all of a task's runs.
func (s *State) stopRuns(t *Task, index uint64) {
	for _, r := range t.Runs() {
		if !r.Stopping {
			r.Stopping = true
			s.change(r, index)
		}
	}
}

func (s *State) setPhase(j *Job, p Phase) {
	if j.Phase == Queued && p != Queued {
		s.pending[j.Host+j.Prefix]--
	}
	j.Phase = p
}

// ApplyForget drops jobs that are over and hold no room.
func (s *State) ApplyForget(ids []string) {
	for _, id := range ids {
		if j := s.Jobs[id]; j != nil && j.Phase.Over() && j.active == 0 {
			delete(s.Jobs, id)
		}
	}
}
