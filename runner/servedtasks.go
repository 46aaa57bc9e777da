package runner

import (
	"maps"
	"math"
	"time"
)

const (
	// shortfallTime is the time constant with which a task's shortfall returns to its usual one: a
	// task's own burst of load lasts one to three seconds.
	shortfallTime = 1400 * time.Millisecond
	// usualTime is the time constant with which the usual shortfall is learned: over several
	// bursts.
	usualTime = 10 * time.Second
)

// taskState is what is known of one serving task beyond its serving group. The group's tracker
// follows the median of the tails, which tells best what filling work takes; but each task has
// bursts of load of its own, and the target holds for each.
type taskState struct {
	group servingGroup
	// shortfall is by how much the task's headroom is below its group's, negative if it is above,
	// and usual its mean.
	shortfall, usual float64
	detector         degradationDetector
}

// read takes in the shortfall in a reading, some time after the last one.
func (t *taskState) read(shortfall float64, over time.Duration) {
	t.shortfall = shortfall
	t.usual += (shortfall - t.usual) * (1 - math.Exp(-over.Seconds()/usualTime.Seconds()))
}

// expect returns the shortfall expected some time after the last reading.
func (t *taskState) expect(ahead time.Duration) float64 {
	remains := math.Exp(-ahead.Seconds() / shortfallTime.Seconds())
	return max(0, t.usual+(t.shortfall-t.usual)*remains)
}

// updateTasks compares the serving tasks of a scan, some time after the last one, with their
// groups.
func (p *pacer) updateTasks(sc scan, over time.Duration) {
	there := make(map[runKey]bool)
	for g, s := range sc.serving {
		for _, x := range s.runs {
			there[x.key] = true
			t := p.tasks[x.key]
			if t == nil {
				t = &taskState{group: g, detector: degradationDetector{limits: taskLimits}}
				p.tasks[x.key] = t
			}
			t.read(s.headroom()-float64(s.targetMS)/x.tailMS, over)
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
				t.shortfall, t.usual = 0, 0 // slowing filling runs down makes no difference to it
			}
		}
	}
	return out
}

// largestShortfall returns the largest shortfall expected of a serving group's tasks.
func (p *pacer) largestShortfall(g servingGroup, ahead time.Duration) (largest float64) {
	for _, t := range p.tasks {
		if t.group == g {
			largest = max(largest, t.expect(ahead))
		}
	}
	return largest
}
