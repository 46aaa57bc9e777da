package control

import (
	"sync"

	"github.com/waxwinghaven/waxwinghaven/dispatch"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/lessons"
)

// durationModel is what the leader has learned about task durations. The statistics of queues are
// committed periodically; those of groups are lost when the leadership changes.
type durationModel struct {
	mu        sync.Mutex
	durations *dispatch.Durations
	groups    map[jobs.GroupKey]sample
}

// sample is the mean duration of a group's finished tasks.
type sample struct {
	meanMS float64
	n      float64
}

// maxSamples bounds the number of groups kept. When it is reached all are dropped; active groups
// are learned again from their next end.
const maxSamples = 50_000

func newDurationModel() *durationModel {
	return &durationModel{durations: dispatch.NewDurations(), groups: make(map[jobs.GroupKey]sample)}
}

// record learns from the end of a run that ran at full pace throughout.
func (l *durationModel) record(s *jobs.State, e jobs.End) {
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

// lessons returns the statistics of the queues.
func (l *durationModel) lessons() []lessons.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.durations.Lessons()
}

// restore adopts the statistics of earlier leaders for queues that are unknown here.
func (l *durationModel) restore(list []lessons.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, x := range list {
		l.durations.Recall(x)
	}
}

// estimates returns a view for one decision.
func (l *durationModel) estimates() *dispatch.Estimates {
	return &dispatch.Estimates{Durations: l, Measured: l.measured}
}

// Expect implements dispatch.Expectation.
func (l *durationModel) Expect(queue string, estimateMS int64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.durations.Expect(queue, estimateMS)
}

// measured returns the mean duration of a group's finished runs in ms, 0 if there are none. The
// mean of a whole queue would be too coarse for one step.
func (l *durationModel) measured(key jobs.GroupKey) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.groups[key].meanMS
}
