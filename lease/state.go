package lease

import (
	"fmt"

	"github.com/waxwinghaven/waxwinghaven/market"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

// Bounds of the state.
const (
	MaxCount       = 10_000    // tasks in one submission
	MaxTasks       = 400_000   // tasks not yet over
	MaxFinished    = 20_000    // finished tasks that can still be looked up
	MaxSubmissions = 200_000   // submissions remembered for deduplication
	Retention      = 86400_000 // milliseconds a submission is remembered
	clockSlack     = 600_000   // milliseconds by which clocks may differ

	defaultMaxFailures = 3
)

// State is all tasks. Its exported fields are the snapshot; the rest is derived.
type State struct {
	Tasks       map[string]*Task     `msgpack:"t"`
	Finished    []string             `msgpack:"f"` // oldest first
	Submissions map[string]submitted `msgpack:"s"`
	SubmitOrder []string             `msgpack:"o"`

	byAgent  map[string]map[string]*Task
	reserved map[string]resource.Vector
	byTeam   map[string]resource.Vector
	waiting  *queues
	versions map[string]uint64
}

type submitted struct {
	What Submit `msgpack:"w"`
	At   int64  `msgpack:"a"` // log clock, milliseconds
}

// NewState returns the empty state.
func NewState() *State {
	s := &State{Tasks: make(map[string]*Task), Submissions: make(map[string]submitted)}
	s.Rebuild()
	return s
}

// Rebuild computes the derived fields after a snapshot was read.
func (s *State) Rebuild() {
	if s.Tasks == nil {
		s.Tasks = make(map[string]*Task)
	}
	if s.Submissions == nil {
		s.Submissions = make(map[string]submitted)
	}
	s.byAgent = make(map[string]map[string]*Task)
	s.reserved = make(map[string]resource.Vector)
	s.byTeam = make(map[string]resource.Vector)
	s.waiting = newQueues()
	s.versions = make(map[string]uint64)
	for _, t := range s.Tasks {
		s.index(t)
	}
}

// index adds a task to the derived maps, unindex removes it. Every change of Phase or Agent happens
// between unindex and index, so the reserved capacity of an agent always equals the sum over the
// attempts that hold it.
func (s *State) index(t *Task) {
	switch {
	case t.Holds():
		if s.byAgent[t.Agent] == nil {
			s.byAgent[t.Agent] = make(map[string]*Task)
		}
		s.byAgent[t.Agent][t.ID] = t
		s.reserved[t.Agent] = s.reserved[t.Agent].Add(t.Need)
		s.byTeam[t.Team] = s.byTeam[t.Team].Add(t.Need)
		s.versions[t.Agent]++
	case t.Phase == Waiting:
		s.waiting.add(t)
	}
}

func (s *State) unindex(t *Task) {
	switch {
	case t.Holds():
		delete(s.byAgent[t.Agent], t.ID)
		s.reserved[t.Agent] = s.reserved[t.Agent].Sub(t.Need)
		s.byTeam[t.Team] = s.byTeam[t.Team].Sub(t.Need)
		s.versions[t.Agent]++
		if len(s.byAgent[t.Agent]) == 0 {
			delete(s.byAgent, t.Agent)
			delete(s.reserved, t.Agent)
		}
	case t.Phase == Waiting:
		s.waiting.remove(t)
	}
}

// Reserved returns the capacity that attempts hold on an agent.
func (s *State) Reserved(agent string) resource.Vector { return s.reserved[agent] }

// TeamUse returns the capacity that a team's attempts hold.
func (s *State) TeamUse(team string) resource.Vector { return s.byTeam[team] }

// Waiting returns the number of tasks that wait for placement.
func (s *State) Waiting() int { return s.waiting.count }

// WaitingHeads returns copies of the oldest n waiting tasks of each job.
func (s *State) WaitingHeads(n int) []*Task { return s.waiting.heads(n) }

// Version returns a number that changes whenever the tasks on an agent change.
func (s *State) Version(agent string) uint64 { return s.versions[agent] }

// On returns the tasks that hold capacity on an agent. The map must not be changed.
func (s *State) On(agent string) map[string]*Task { return s.byAgent[agent] }

// ApplySubmit creates the tasks of a submission and returns the id of the first. job is the job's
// definition in force, nil if there is none. A repeated submission gets the first answer again.
func (s *State) ApplySubmit(c Submit, job *market.Job, now int64) (first string, err error) {
	if old, ok := s.Submissions[c.ID]; ok {
		if old.What != c {
			return "", refusal.New(refusal.ChangeReused, "give every new submission an id of its own", "submission id %q was used for another one", c.ID)
		}
		return taskID(c.ID, 0), nil
	}
	if err := s.checkSubmit(c, job, now); err != nil {
		return "", err
	}
	s.forgetSubmissions(now)
	s.Submissions[c.ID] = submitted{c, now}
	s.SubmitOrder = append(s.SubmitOrder, c.ID)
	for i := range c.Count {
		s.add(newTask(taskID(c.ID, i), c.Market, job, now))
	}
	return taskID(c.ID, 0), nil
}

func (s *State) checkSubmit(c Submit, job *market.Job, now int64) error {
	switch {
	case c.ID == "" || len(c.ID) > market.MaxIDLength:
		return refusal.New(refusal.Invalid, "send an id of 1 to 128 bytes, and the same one when sending again", "the submission has no usable id")
	case c.Count < 1 || c.Count > MaxCount:
		return refusal.New(refusal.Invalid, "submit 1 to 10000 tasks at a time", "count %d is out of range", c.Count)
	case job == nil:
		return refusal.New(refusal.NotFound, "make the job first, or check the spelling", "job %s/%s does not exist", c.Market, c.Job)
	case c.IssuedMS < now-Retention+clockSlack || c.IssuedMS > now+clockSlack:
		// A submission older than Retention may have run already and been forgotten. Refusing it
		// keeps it from running twice.
		return refusal.New(refusal.Invalid, "check the clock, look whether its tasks ran, and submit anew under a new id", "the submission was issued too long ago or in the future")
	case len(s.Submissions) >= MaxSubmissions && s.Submissions[s.SubmitOrder[0]].At > now-Retention:
		return refusal.New(refusal.Overloaded, "submit more tasks at a time, or wait", "%d submissions were made within a day", MaxSubmissions)
	case len(s.Tasks)-len(s.Finished)+c.Count > MaxTasks:
		return refusal.New(refusal.Overloaded, "wait until tasks are done, or cancel some", "more than %d tasks would be waiting or running", MaxTasks)
	}
	return nil
}

func (s *State) forgetSubmissions(now int64) {
	for len(s.SubmitOrder) > 0 && s.Submissions[s.SubmitOrder[0]].At <= now-Retention {
		delete(s.Submissions, s.SubmitOrder[0])
		s.SubmitOrder = s.SubmitOrder[1:]
	}
}

func taskID(submission string, n int) string { return fmt.Sprintf("%s/%d", submission, n) }

func newTask(id, marketName string, job *market.Job, now int64) *Task {
	t := &Task{ID: id, Market: marketName, Job: job.Name, Team: job.Team, Class: job.Class, Urgent: job.Urgent,
		Need:    resource.Vector{MilliCPU: job.MilliCPU, MemoryMB: job.MemoryMB, Accelerators: job.Accelerators},
		RunTime: job.RunTimeMS, Submitted: now, Phase: Waiting, MaxFailures: job.MaxFailures}
	if job.DeadlineMS > 0 {
		t.Deadline = now + job.DeadlineMS
	}
	if t.MaxFailures == 0 {
		t.MaxFailures = defaultMaxFailures
	}
	return t
}

func (s *State) add(t *Task) {
	s.Tasks[t.ID] = t
	s.index(t)
}

// ApplyCancel cancels waiting tasks immediately and orders the stop of placed ones.
func (s *State) ApplyCancel(c Cancel, now int64) CancelAnswer {
	var a CancelAnswer
	for _, id := range c.Tasks {
		if t := s.Tasks[id]; t != nil && t.Market == c.Market {
			s.cancel(t, now, &a)
		}
	}
	if c.Job == "" {
		return a
	}
	for _, id := range s.idsOfJob(c.Market, c.Job) {
		s.cancel(s.Tasks[id], now, &a)
	}
	return a
}

func (s *State) cancel(t *Task, now int64, a *CancelAnswer) {
	switch {
	case t.Over():
		a.Over++
	case t.Phase == Waiting:
		s.finish(t, Cancelled, "cancelled by an operator", now)
		a.Cancelled++
	default:
		s.setPhase(t, Stopping)
		t.Stop = StopCancel
		a.Stopping++
	}
}

func (s *State) setPhase(t *Task, p Phase) {
	s.unindex(t)
	t.Phase = p
	s.index(t)
}

func (s *State) finish(t *Task, p Phase, reason string, now int64) {
	s.unindex(t)
	t.Phase, t.Reason, t.Ended = p, reason, now
	t.Agent, t.Boot, t.Stop = "", "", StopNone
	s.Finished = append(s.Finished, t.ID)
	if len(s.Finished) > MaxFinished {
		delete(s.Tasks, s.Finished[0])
		s.Finished = s.Finished[1:]
	}
}
