package runner

import (
	"sync"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// stuckTime is how long a run at full pace may show no progress. Progress is
// told in hundredths, so a task of three minutes shows some every two seconds.
const stuckTime = 2500 * time.Millisecond

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
	at         time.Time
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
		if !known || m.percent != x.Percent || m.checkpoint != x.Checkpoint || slowed[key] || x.Percent >= fullPace {
			m = mark{x.Percent, x.Checkpoint, now}
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
		if now.Sub(m.at) >= stuckTime {
			out = append(out, jobs.Stop{Task: key.task, Run: key.run})
		}
	}
	return out
}
