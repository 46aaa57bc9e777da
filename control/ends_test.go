package control

import (
	"testing"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

// endsState returns a state in which run 1 of a task is placed on worker "w", whose agent has
// registered with one session after the other.
func endsState(t *testing.T, sessions ...string) (*State, jobs.Ref) {
	t.Helper()
	s := NewState()
	s.Queues.Config = watchQueues
	index := uint64(1)
	apply := func(c JobCommand) {
		t.Helper()
		if _, err := s.applyJobs(index, &c); err != nil {
			t.Fatal(err)
		}
		index++
	}
	w := testWorker("w", "a", sessions[0])
	apply(JobCommand{Register: &Registration{Worker: w}})
	job := standingJob("00000000000000aa", 1)
	job.Spec.Steps[0] = jobs.Step{Count: 1, Need: resource.Vector{MilliCPU: 1000}, Checkpointing: true}
	apply(JobCommand{Submit: &job})
	ref := jobs.Ref{Job: "00000000000000aa"}
	apply(JobCommand{Plan: &jobs.Plan{Placements: []jobs.Placement{{Job: ref.Job, Indexes: []int{0}, Workers: []string{"w"}}}}})
	for _, session := range sessions[1:] {
		w.Session = session
		apply(JobCommand{Register: &Registration{Worker: w}})
	}
	if s.Jobs.RunOn(ref, "w").Run != 1 {
		t.Fatal("run 1 is not placed")
	}
	return s, ref
}

// Guards against a task that runs on two workers: a delayed report of an earlier session says that
// a run never started, which the next session has started since.
func TestEarlierSessionCannotFreeARun(t *testing.T) {
	for _, c := range []struct {
		name     string
		sessions []string
		reporter string
		freed    bool
	}{
		{"the registered session", []string{"1"}, "1", true},
		{"a session that registered again", []string{"1", "1"}, "1", true},
		{"the session before", []string{"1", "2"}, "1", false},
		{"a session that has not registered", []string{"1"}, "2", false},
		{"an agent that does not name its session", []string{"1", "2"}, "", true},
	} {
		s, ref := endsState(t, c.sessions...)
		rejected := jobs.End{Task: ref, Run: 1, Outcome: jobs.OutcomeRejected}
		res := s.applyEnds(&RunEnds{Worker: "w", Session: c.reporter, Ends: []jobs.End{rejected}}, 10)
		if freed := s.Jobs.RunOn(ref, "w").Run == 0; freed != c.freed || (len(res.outdated) == 0) != c.freed {
			t.Errorf("%s: the run is freed: %v, %+v", c.name, freed, res)
		}
	}
}

// Guards against work that is done twice or lost: what a worker listed as ended has ended, however
// late an earlier session's report of it arrives.
func TestEarlierSessionsReportOfAnEndCounts(t *testing.T) {
	for _, outcome := range []jobs.Outcome{jobs.OutcomeDone, jobs.OutcomeFailed, jobs.OutcomeStopped, jobs.OutcomeLost} {
		s, ref := endsState(t, "1", "2")
		e := jobs.End{Task: ref, Run: 1, Outcome: outcome, Checkpoint: "saved"}
		res := s.applyEnds(&RunEnds{Worker: "w", Session: "1", Ends: []jobs.End{e}}, 10)
		task := s.Jobs.Group(ref).Tasks[0]
		if len(res.outdated) != 0 || task.Placed != nil || task.Checkpoint != "saved" || task.Done != (outcome == jobs.OutcomeDone) {
			t.Errorf("%v: %+v, the task is %+v", outcome, res, task)
		}
	}
}

// Guards against a worker that gets nothing new for a while, and a ticket that is withdrawn,
// because of a report that was ignored.
func TestIgnoredRejectionDoesNotCountAgainstItsWorker(t *testing.T) {
	c := newCluster(t)
	c.prepareJobs(4)
	r := c.replicas[c.leader()]
	if _, err := r.onSubmitJob(standingJob("00000000000000aa", 1)); err != nil {
		t.Fatal(err)
	}
	ref := jobs.Ref{Job: "00000000000000aa"}
	placed := func() (run uint32) {
		r.machine.Read(func(s *State) { run = s.Jobs.RunOn(ref, "w").Run })
		return run
	}
	c.wait("run 1", func() bool { return placed() == 1 })
	report := RunEnds{Worker: "w", Session: "0", Ends: []jobs.End{{Task: ref, Run: 1, Outcome: jobs.OutcomeRejected}}}
	if _, err := r.onEnds(report); err != nil {
		t.Fatal(err)
	}
	r.dispatcher.mu.Lock()
	_, avoided := r.dispatcher.avoided["w"]
	r.dispatcher.mu.Unlock()
	if avoided || placed() != 1 {
		t.Errorf("the worker is avoided: %v, run %d is placed", avoided, placed())
	}
}
