package learned

import (
	"sync"

	"github.com/waxwinghaven/waxwinghaven/dispatch"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/lessons"
)

// DurationModel is what the leader has learned about task durations. The statistics of queues are
// committed periodically; those of groups are lost when the leadership changes. It is safe for
// concurrent use.
type DurationModel struct {
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

// NewDurationModel returns a model that knows no queues or groups yet.
func NewDurationModel() *DurationModel {
	return &DurationModel{durations: dispatch.NewDurations(), groups: make(map[jobs.GroupKey]sample)}
}

// Record learns from the end of a run that ran at full pace throughout.
func (m *DurationModel) Record(s *jobs.State, e jobs.End) {
	j := s.Jobs[e.Task.Job]
	if j == nil || e.Task.Step < 0 || e.Task.Step >= len(j.Spec.Steps) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.durations.Record(j.Host+j.Prefix, j.Spec.Steps[e.Task.Step].EstimateMS, e.WorkMS)
	key := e.Task.Group()
	if len(m.groups) >= maxSamples {
		m.groups = make(map[jobs.GroupKey]sample)
	}
	g := m.groups[key]
	g.n++
	g.meanMS += (float64(e.WorkMS) - g.meanMS) / g.n
	m.groups[key] = g
}

// Lessons returns the statistics of the queues.
func (m *DurationModel) Lessons() []lessons.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.durations.Lessons()
}

// Restore adopts the statistics of earlier leaders for queues that are unknown here.
func (m *DurationModel) Restore(list []lessons.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, x := range list {
		m.durations.Restore(x)
	}
}

// Estimates returns a view for one decision.
func (m *DurationModel) Estimates() *dispatch.Estimates {
	return &dispatch.Estimates{Durations: m, Measured: m.Measured}
}

// Expect implements dispatch.Expectation.
func (m *DurationModel) Expect(queue string, estimateMS int64) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.durations.Expect(queue, estimateMS)
}

// Measured returns the mean duration of a group's finished runs in ms, 0 if there are none. The
// mean of a whole queue would be too coarse for one step.
func (m *DurationModel) Measured(key jobs.GroupKey) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.groups[key].meanMS
}
