package runner

import (
	"sync"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// A run at full pace is stuck once it shows no progress for several times as long
// as it took for a hundredth so far. Progress is told in hundredths.
const (
	stuckTimes = 8
	// leastStuck is longer than a restore of saved progress, which takes up to
	// 0.6 s and shows none.
	leastStuck = 900 * time.Millisecond
	// mostStuck is enough for tasks of up to four minutes; unbegun is the bound
	// for runs that have shown nothing yet.
	mostStuck = 2500 * time.Millisecond
	unbegun   = 1500 * time.Millisecond
)

// progress notices runs that stand still though nobody slows them down. It is
// pure.
type progress struct {
	mu   sync.Mutex
	seen map[runKey]mark
}

// mark is when a run last showed progress.
type mark struct {
	percent    int
	checkpoint string
	at         time.Time // when it last showed progress
	first      time.Time // when it was first seen
	begun      int       // percent then
}

// patience is how long the run may show no progress.
func (m *mark) patience() time.Duration {
	if m.percent <= m.begun {
		return unbegun
	}
	each := m.at.Sub(m.first) / time.Duration(m.percent-m.begun)
	return min(max(stuckTimes*each, leastStuck), mostStuck)
}

func newProgress() *progress { return &progress{seen: make(map[runKey]mark)} }

// note takes in a reading. Runs that are slowed down, and those that are at work
// in full and last, count as progressing.
func (p *progress) note(now time.Time, running []RunningRun, slowed map[runKey]bool) {
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

// stuck returns the runs without progress for long.
func (p *progress) stuck(now time.Time) []jobs.Stop {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []jobs.Stop
	for key, m := range p.seen {
		if now.Sub(m.at) >= m.patience() {
			out = append(out, jobs.Stop{Task: key.task, Run: key.run})
		}
	}
	return out
}
