package agent

import (
	"sort"
	"sync"
	"time"

	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/worker"
)

// Limits of one measurement window.
const (
	windowSamples = 512
	minSamples    = 20 // with fewer, a 99th percentile is meaningless
	windowTime    = 5 * time.Second
)

// meter measures the upstream's latency in windows. Each window records the jobs that ran
// during it; a window in which they changed is discarded, since its latency can't be
// attributed to either set of jobs.
type meter struct {
	mu          sync.Mutex
	started     time.Time
	samples     []float64 // milliseconds
	jobs        map[string]int
	jobsChanged bool // the jobs changed within the window
	usage       control.Usage
	counted     map[worker.Ref]bool // attempts whose end is counted
}

func newMeter() *meter { return &meter{started: time.Now(), counted: make(map[worker.Ref]bool)} }

// recordRequest records the time that one request took at the upstream.
func (m *meter) recordRequest(took time.Duration, failed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if failed {
		m.usage.Failed++
		return
	}
	m.usage.Done++
	if len(m.samples) < windowSamples {
		m.samples = append(m.samples, float64(took)/float64(time.Millisecond))
	}
}

// recordEnds counts ended attempts, each once. While the data centre is out of service
// (cordoned), a rejection does not count as a failure.
func (m *meter) recordEnds(ends []lease.End, cordoned bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range ends {
		ref := worker.Ref{Task: e.Task, Attempt: e.Attempt}
		if m.counted[ref] {
			continue
		}
		m.counted[ref] = true
		switch {
		case e.Outcome == lease.OutcomeDone:
			m.usage.TasksEnded++
		case e.Outcome == lease.OutcomeFailed, e.Outcome == lease.OutcomeRejected && !cordoned:
			m.usage.TasksFailed++
		}
	}
	if len(ends) == 0 {
		clear(m.counted)
	}
}

// read closes the window if it is complete and returns the latest measurement.
func (m *meter) read(now time.Time, load float64, jobs map[string]int) control.Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !sameJobs(m.jobs, jobs) {
		m.jobsChanged = true
	}
	if len(m.samples) >= windowSamples || now.Sub(m.started) >= windowTime {
		m.closeWindow(now, load, jobs)
	}
	u := m.usage
	if u.Seq == 0 {
		u.Load = load
	}
	return u
}

func (m *meter) closeWindow(now time.Time, load float64, jobs map[string]int) {
	if !m.jobsChanged && len(m.samples) >= minSamples {
		sort.Float64s(m.samples)
		m.usage.Seq++
		m.usage.P99 = m.samples[len(m.samples)*99/100]
		m.usage.Load = load
		m.usage.Jobs = jobs
	}
	m.samples, m.jobs, m.jobsChanged, m.started = m.samples[:0], jobs, false, now
}

func sameJobs(a, b map[string]int) bool {
	if len(a) != len(b) {
		return false
	}
	for k, v := range a {
		if b[k] != v {
			return false
		}
	}
	return true
}
