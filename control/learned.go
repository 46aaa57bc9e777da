package control

import (
	"sync"

	"github.com/waxwinghaven/waxwinghaven/dispatch"
	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// learned is the leader's knowledge of how long tasks take. It is lost with the
// leadership and learned anew within some seconds.
type learned struct {
	mu        sync.Mutex
	durations *dispatch.Durations
	groups    map[jobs.GroupKey]sample
}

// sample is the mean of a group's tasks that are done.
type sample struct {
	meanMS float64
	n      float64
}

// maxSamples bounds the groups that are remembered. Past it all are forgotten;
// those at work are learned again with their next end.
const maxSamples = 50_000

func newLearned() *learned {
	return &learned{durations: dispatch.NewDurations(), groups: make(map[jobs.GroupKey]sample)}
}

// note takes in the end of a run that worked at full pace from its beginning.
func (l *learned) note(s *jobs.State, e jobs.End) {
	j := s.Jobs[e.Task.Job]
	if j == nil || e.Task.Step < 0 || e.Task.Step >= len(j.Spec.Steps) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.durations.Note(j.Host+j.Prefix, j.Spec.Steps[e.Task.Step].EstimateMS, e.WorkMS)
	key := jobs.GroupKey{Job: e.Task.Job, Occurrence: e.Task.Occurrence, Step: e.Task.Step}
	if len(l.groups) >= maxSamples {
		l.groups = make(map[jobs.GroupKey]sample)
	}
	g := l.groups[key]
	g.n++
	g.meanMS += (float64(e.WorkMS) - g.meanMS) / g.n
	l.groups[key] = g
}

// expected returns how long a run was expected to take, in ms, by the other runs
// of its step, or by its queue if there are too few.
func (l *learned) expected(s *jobs.State, ref jobs.Ref) float64 {
	j := s.Jobs[ref.Job]
	if j == nil || ref.Step < 0 || ref.Step >= len(j.Spec.Steps) {
		return 0
	}
	if ms := l.measured(jobs.GroupKey{Job: ref.Job, Occurrence: ref.Occurrence, Step: ref.Step}); ms > 0 {
		return ms
	}
	return 0 // a queue's mean says too little of one step
}

// estimates returns a view for one decision.
func (l *learned) estimates() *dispatch.Estimates {
	return &dispatch.Estimates{Durations: l, Measured: l.measured}
}

// Expect implements dispatch.Expectation.
func (l *learned) Expect(queue string, estimateMS int64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.durations.Expect(queue, estimateMS)
}

func (l *learned) measured(key jobs.GroupKey) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.groups[key].meanMS
}
