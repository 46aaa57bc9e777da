package runner

import (
	"sync"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// A run at full pace is stuck once it shows no progress for stuckFactor times its average time
// per percent so far.
const (
	stuckFactor = 8
	// minStuckAfter is longer than the restore of a checkpoint, which takes up to 0.6 s and
	// shows no progress.
	minStuckAfter = 900 * time.Millisecond
	// maxStuckAfter is enough for tasks of up to four minutes. stuckAtStartAfter is the bound
	// for runs that have not shown any progress yet.
	maxStuckAfter     = 2500 * time.Millisecond
	stuckAtStartAfter = 1500 * time.Millisecond
)

// progress detects runs that make no progress though they are not slowed down. It reads no
// clock: the time is passed in.
type progress struct {
	mu   sync.Mutex
	seen map[runKey]mark
}

// mark is the last observed progress of a run.
type mark struct {
	percent    int
	checkpoint string
	at         time.Time // last progress
	first      time.Time // first reading
	begun      int       // percent at the first reading
}

// stuckAfter returns how long the run may show no progress.
func (m *mark) stuckAfter() time.Duration {
	if m.percent <= m.begun {
		return stuckAtStartAfter
	}
	each := m.at.Sub(m.first) / time.Duration(m.percent-m.begun)
	return min(max(stuckFactor*each, minStuckAfter), maxStuckAfter)
}

func newProgress() *progress { return &progress{seen: make(map[runKey]mark)} }

// record processes a reading. Slowed runs, and standing runs that are at work, count as
// progressing.
func (p *progress) record(now time.Time, running []RunningRun, slowed map[runKey]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := make(map[runKey]mark, len(running))
	for _, x := range running {
		key := runKey{x.Task, x.Run}
		m, known := p.seen[key]
		switch {
		case !known:
			m = mark{percent: x.Percent, checkpoint: x.Checkpoint, at: now, first: now, begun: x.Percent}
		case m.percent != x.Percent || m.checkpoint != x.Checkpoint || slowed[key] || x.Percent >= fullPace:
			m.percent, m.checkpoint, m.at = x.Percent, x.Checkpoint, now
		}
		kept[key] = m
	}
	p.seen = kept
}

// stuck returns the runs without progress for too long.
func (p *progress) stuck(now time.Time) []jobs.Stop {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []jobs.Stop
	for key, m := range p.seen {
		if now.Sub(m.at) >= m.stuckAfter() {
			out = append(out, jobs.Stop{Task: key.task, Run: key.run})
		}
	}
	return out
}
