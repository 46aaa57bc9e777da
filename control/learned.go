package control

import (
	"sync"

	"github.com/waxwinghaven/waxwinghaven/dispatch"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/lessons"
)

// learned is the leader's knowledge of how long tasks take. What is known of queues is
// committed now and then; what is known of groups is lost with the leadership.
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
	key := e.Task.Group()
	if len(l.groups) >= maxSamples {
		l.groups = make(map[jobs.GroupKey]sample)
	}
	g := l.groups[key]
	g.n++
	g.meanMS += (float64(e.WorkMS) - g.meanMS) / g.n
	l.groups[key] = g
}

// lessons returns what is known of queues.
func (l *learned) lessons() []lessons.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.durations.Lessons()
}

// recall takes over what earlier leaders have learned of queues that are not known here.
func (l *learned) recall(list []lessons.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, x := range list {
		l.durations.Recall(x)
	}
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

// measured returns the mean of a group's runs that are done, in ms, 0 for none. A
// queue's mean would say too little of one step.
func (l *learned) measured(key jobs.GroupKey) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.groups[key].meanMS
}
