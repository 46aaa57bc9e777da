package runner

import (
	"maps"
	"math"
	"time"
)

// shortfallTime is the time constant with which a task's shortfall decays: a task's own burst of
// load lasts one to three seconds.
const shortfallTime = 1400 * time.Millisecond

// taskState is what is known of one serving task beyond its serving group. The group's tracker
// follows the median of the tails, which tells best what filling work takes; but each task has
// bursts of load of its own, and the target holds for each.
type taskState struct {
	group servingGroup
	// shortfall is by how much the task's headroom is below its group's.
	shortfall float64
	detector  degradationDetector
}

// updateTasks compares the serving tasks of a scan with their groups.
func (p *pacer) updateTasks(sc scan) {
	there := make(map[runKey]bool)
	for g, s := range sc.serving {
		for _, x := range s.runs {
			there[x.key] = true
			t := p.tasks[x.key]
			if t == nil {
				t = &taskState{group: g, detector: degradationDetector{limits: taskLimits}}
				p.tasks[x.key] = t
			}
			t.shortfall = max(0, s.headroom()-float64(s.targetMS)/x.tailMS)
		}
	}
	maps.DeleteFunc(p.tasks, func(key runKey, _ *taskState) bool { return !there[key] })
}

// commandForTasks tells what to do with the filling runs for the sake of single tasks.
func (p *pacer) commandForTasks(now time.Time, sc scan, noFilling bool) command {
	out := steerAll
	for _, s := range sc.serving {
		for _, x := range s.runs {
			t := p.tasks[x.key]
			switch t.detector.update(now, x.tailMS/float64(s.targetMS), noFilling) {
			case stopAll:
				out = stopAll
			case releaseAll:
				t.shortfall = 0 // slowing filling runs down makes no difference to it
			}
		}
	}
	return out
}

// largestShortfall returns the largest shortfall of a serving group's tasks.
func (p *pacer) largestShortfall(g servingGroup) (largest float64) {
	for _, t := range p.tasks {
		if t.group == g {
			largest = max(largest, t.shortfall)
		}
	}
	return largest
}

// remainingShortfall returns what is expected to remain of a shortfall after some time.
func remainingShortfall(shortfall float64, after time.Duration) float64 {
	return shortfall * math.Exp(-after.Seconds()/shortfallTime.Seconds())
}
