package runner

import (
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// Tasks on a worker stand still though nobody slows them down, and their jobs wait
// for them for ever. They must be noticed; runs that are slowed on purpose, those
// that last and are at work, and those that do progress must not be.
func TestOnlyRunsWithoutProgressAreStuck(t *testing.T) {
	p, now := newProgress(), time.Unix(0, 0)
	ref := func(id string) jobs.Ref { return jobs.Ref{Job: id} }
	slowed := map[runKey]bool{{ref("slowed"), 1}: true}
	for i := range 10 {
		now = now.Add(stuckTime / 8)
		p.note(now, []RunningRun{
			{Task: ref("stuck"), Run: 1, Percent: 40},
			{Task: ref("working"), Run: 1, Percent: 40 + i},
			{Task: ref("saving"), Run: 1, Percent: 40, Checkpoint: string(rune('a' + i))},
			{Task: ref("slowed"), Run: 1, Percent: 40},
			{Task: ref("lasting"), Run: 1, Percent: fullPace},
		}, slowed)
		if stuck := p.stuck(now); i < 8 && len(stuck) > 0 {
			t.Fatalf("after %d readings %v is stuck", i+1, stuck)
		}
	}
	if stuck := p.stuck(now); len(stuck) != 1 || stuck[0].Task != ref("stuck") {
		t.Errorf("stuck are %v", stuck)
	}
}
