package control

import (
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/upkeep"
)

// JobCommand is the part of a Command about jobs and their workers. Exactly one
// of its parts is set.
type JobCommand struct {
	Put      *PutConfig    `msgpack:"c,omitempty"`
	Submit   *SubmitJob    `msgpack:"s,omitempty"`
	Cancel   *JobCall      `msgpack:"x,omitempty"`
	Plan     *jobs.Plan    `msgpack:"p,omitempty"`
	Register *Registration `msgpack:"r,omitempty"`
	Fence    *FenceRequest `msgpack:"n,omitempty"`
	Lost     []jobs.Loss   `msgpack:"l,omitempty"`
	Ends     *RunEnds      `msgpack:"e,omitempty"`
	Forget   []string      `msgpack:"f,omitempty"` // job ids
	Began    []string      `msgpack:"b,omitempty"` // ids of jobs of which a task has started
	Wave     *StartWave    `msgpack:"w,omitempty"`
	Marks    []upkeep.Mark `msgpack:"m,omitempty"`
	Move     *upkeep.Move  `msgpack:"v,omitempty"`
}

// planResult counts a plan's placements that took effect and those that were stale.
type planResult struct{ placed, stale int }

func (s *State) applyJobs(index uint64, c *JobCommand) (any, error) {
	switch {
	case c.Put != nil:
		return s.Queues.Apply(c.Put.Config), nil
	case c.Submit != nil:
		return nil, s.submitJob(c.Submit, index)
	case c.Cancel != nil:
		return s.cancelJob(c.Cancel, index)
	case c.Plan != nil:
		placed, stale := s.Jobs.ApplyPlan(*c.Plan, s.jobRules(), index)
		return planResult{placed, stale}, nil
	case c.Register != nil:
		return s.register(c.Register, index)
	case c.Fence != nil:
		a := FenceAnswer{Token: index, LastWorker: s.Jobs.LastWorkers[c.Fence.Agent]}
		if w := s.Jobs.WorkerOf(c.Fence.Agent); w != nil {
			a.Worker = w.ID
		}
		return a, nil
	case c.Lost != nil:
		return s.Jobs.ApplyLost(c.Lost), nil
	case c.Ends != nil:
		return s.applyEnds(c.Ends, index), nil
	case c.Wave != nil:
		return nil, s.Waves.ApplyStart(c.Wave.Wave, c.Wave.AtMS)
	case c.Marks != nil:
		s.Waves.ApplyMarks(c.Marks)
	case c.Move != nil:
		s.Waves.ApplyMove(*c.Move)
	case c.Forget != nil:
		s.Jobs.ApplyForget(c.Forget)
	case c.Began != nil:
		s.Jobs.ApplyBegan(c.Began)
	}
	return nil, nil
}

// endsResult is the effect of applying ends.
type endsResult struct {
	outdated  []jobs.End // rejections that were ignored, see mayReject
	late      []jobs.End // of runs that no longer held capacity
	overtaken int        // late ends whose task has been ordered again, see jobs.Ended
	over      []string   // jobs that ended with them
}

func (s *State) applyEnds(c *RunEnds, index uint64) (res endsResult) {
	for _, e := range c.Ends {
		if e.Outcome == jobs.OutcomeRejected && !s.mayReject(c) {
			res.outdated = append(res.outdated, e)
			continue
		}
		live := s.jobIsLive(e.Task.Job)
		ended := s.Jobs.ApplyEnd(c.Worker, e, s.jobRules(), index)
		if ended.Late {
			res.late = append(res.late, e)
		}
		if ended.Overtaken {
			res.overtaken++
		}
		if live && !s.jobIsLive(e.Task.Job) {
			res.over = append(res.over, e.Task.Job)
		}
	}
	return res
}

// mayReject reports whether a session may say that a run never started. The worker lists all other
// ends, so they are true whoever reports them and however late. But that a run never started is
// known only to the session that did not start it. A later session gets the same order and starts
// the run, and a report that was delayed until then would free a run that is running.
func (s *State) mayReject(c *RunEnds) bool {
	if c.Session == "" {
		return true // from an agent of an earlier version, which does not name its session
	}
	_, err := s.registration(WorkerRef{Worker: c.Worker, Session: c.Session})
	return err == nil
}

// jobIsLive reports whether a job is known and not over.
func (s *State) jobIsLive(id string) bool {
	j := s.Jobs.Jobs[id]
	return j != nil && !j.Phase.Over()
}

// registerResult is the effect of a registration.
type registerResult struct {
	jobs.Registered
	// CrashedRuns is the number of runs that were active when the previous incarnation crashed,
	// GivenUp the tasks that thereby exceeded their caller's limit of crashes.
	CrashedRuns int
	GivenUp     []jobs.GivenUp
}

// register applies the registration of a worker and the crash of the previous incarnation. The
// end of a worker that was draining, or that an upkeep wave or a move of its machine took down, does
// not count as a crash of its tasks.
func (s *State) register(r *Registration, index uint64) (registerResult, error) {
	if err := s.Jobs.Outdated(&r.Worker, r.Update); err != nil {
		return registerResult{}, err
	}
	crash := r.Crash
	if crash != nil {
		old := s.Jobs.Workers[crash.Worker]
		if (old != nil && old.Draining) || s.Waves.StoppedForUpkeep(crash.Worker) || s.Waves.Moved(crash.Worker) {
			crash = nil
		}
	}
	done := registerResult{Registered: s.Jobs.ApplyRegister(r.Worker, index)}
	if crash != nil {
		done.CrashedRuns = len(crash.Runs)
		done.GivenUp = s.Jobs.ApplyCrash(*crash, r.Agent, index)
	}
	return done, nil
}

func (s *State) jobRules() jobs.Rules {
	return jobs.Rules{
		Cordoned: s.DataCentres.Cordoned,
		Service: func(host, prefix string) string {
			if q := s.Queues.Config.At(host, prefix); q != nil {
				return q.Service
			}
			return ""
		},
		MaxAttempts: func(host, prefix string) int {
			if q := s.Queues.Config.At(host, prefix); q != nil {
				return q.MaxAttempts
			}
			return 0
		},
	}
}

// findQueue returns the queue for a call according to the configuration in force, and the job's
// id.
func (s *State) findQueue(c JobCall) (host, prefix, id string, err error) {
	if s.Queues.Config.Version == 0 {
		e := refusal.New(refusal.NoConfig, "ask again once the operator has sent one", "no configuration is in force yet")
		e.RetryAfter = refusal.Jitter(noConfigRetry)
		return "", "", "", e
	}
	q, rest := s.Queues.Config.Match(c.Host, c.Path)
	if q == nil {
		return "", "", "", refusal.New(refusal.NoRoute, "check the host and path", "no queue takes %s%s", c.Host, c.Path)
	}
	return q.Host, q.Prefix, rest, nil
}

func (s *State) submitJob(c *SubmitJob, index uint64) error {
	host, prefix, id, err := s.findQueue(JobCall{c.Host, c.Path})
	if err != nil {
		return err
	}
	if !jobs.ValidID(id) {
		return refusal.New(refusal.Invalid, "name the job by 16 hexadecimal digits", "%q is not a job's id", id)
	}
	return s.Jobs.ApplySubmit(jobs.Submit{ID: id, Host: host, Prefix: prefix, Spec: c.Spec}, index, c.AtMS)
}

// cancelJob cancels a job and returns its id, or "" if it had ended before.
func (s *State) cancelJob(c *JobCall, index uint64) (ended string, err error) {
	host, prefix, id, err := s.findQueue(*c)
	if err != nil {
		return "", err
	}
	if _, err := s.Jobs.Lookup(host, prefix, id); err != nil {
		return "", err
	}
	if s.jobIsLive(id) {
		ended = id
	}
	s.Jobs.ApplyCancel(id, index)
	return ended, nil
}
