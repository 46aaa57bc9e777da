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
	for i := range 16 {
		now = now.Add(unbegun / 8)
		p.note(now, []RunningRun{
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

// A look-up of half a second stops in the middle. Its caller can't wait for as long as
// a render's could: what it showed so far tells how soon it should have gone on.
func TestQuickRunsAreStuckSooner(t *testing.T) {
	p, now := newProgress(), time.Unix(0, 0)
	ref := func(id string) jobs.Ref { return jobs.Ref{Job: id} }
	read := func(quick, slow int) {
		p.note(now, []RunningRun{{Task: ref("quick"), Run: 1, Percent: quick}, {Task: ref("slow"), Run: 1, Percent: slow}}, nil)
	}
	read(0, 0)
	now = now.Add(2 * time.Second)
	read(80, 1)
	now = now.Add(leastStuck)
	read(80, 1)
	if stuck := p.stuck(now); len(stuck) != 1 || stuck[0].Task != ref("quick") {
		t.Errorf("after %v stuck are %v", leastStuck, stuck)
	}
	now = now.Add(mostStuck)
	read(80, 1)
	if stuck := p.stuck(now); len(stuck) != 2 {
		t.Errorf("after %v stuck are %v", leastStuck+mostStuck, stuck)
	}
}
