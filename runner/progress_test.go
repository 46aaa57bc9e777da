package runner

import (
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// Guards against jobs that wait forever for tasks that have stopped progressing. These must be
// detected; runs that are slowed on purpose, standing runs at work, and progressing runs must
// not be.
func TestOnlyRunsWithoutProgressAreStuck(t *testing.T) {
	p, now := newProgress(), time.Unix(0, 0)
	ref := func(id string) jobs.Ref { return jobs.Ref{Job: id} }
	slowed := map[runKey]bool{{ref("slowed"), 1}: true}
	for i := range 16 {
		now = now.Add(stuckAtStartAfter / 8)
		p.record(now, []RunningRun{
			{Task: ref("stuck"), Run: 1, Percent: 40},
			{Task: ref("working"), Run: 1, Percent: 40 + i},
			{Task: ref("saving"), Run: 1, Percent: 40, Checkpoint: string(rune('a' + i))},
			{Task: ref("slowed"), Run: 1, Percent: 40},
			{Task: ref("lasting"), Run: 1, Percent: fullPace},
		}, slowed)
		if stuck := p.stuck(now); i < 7 && len(stuck) > 0 {
			t.Fatalf("after %d readings %v is stuck", i+1, stuck)
		}
	}
	if stuck := p.stuck(now); len(stuck) != 1 || stuck[0].Task != ref("stuck") {
		t.Errorf("stuck are %v", stuck)
	}
}

// Guards against a short task, a look-up of half a second, that is given as much time to
// recover as a render. The pace of its earlier progress determines when it counts as stuck.
func TestQuickRunsAreStuckSooner(t *testing.T) {
	p, now := newProgress(), time.Unix(0, 0)
	ref := func(id string) jobs.Ref { return jobs.Ref{Job: id} }
	read := func(quick, slow int) {
		p.record(now, []RunningRun{{Task: ref("quick"), Run: 1, Percent: quick}, {Task: ref("slow"), Run: 1, Percent: slow}}, nil)
	}
	read(0, 0)
	now = now.Add(2 * time.Second)
	read(80, 1)
	now = now.Add(minStuckAfter)
	read(80, 1)
	if stuck := p.stuck(now); len(stuck) != 1 || stuck[0].Task != ref("quick") {
		t.Errorf("after %v stuck are %v", minStuckAfter, stuck)
	}
	now = now.Add(maxStuckAfter)
	read(80, 1)
	if stuck := p.stuck(now); len(stuck) != 2 {
		t.Errorf("after %v stuck are %v", minStuckAfter+maxStuckAfter, stuck)
	}
}
