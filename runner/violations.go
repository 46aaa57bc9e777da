package runner

import (
	"maps"
	"slices"
	"time"
)

// violation is a period in which the tail of a serving run exceeded its target.
type violation struct {
	run         runKey
	image       string
	began       time.Time
	ended       time.Time // zero while it lasts
	tailMS      float64   // at the beginning
	groupTailMS float64   // tail of the run's serving group at the beginning
	target      int64     // ms
	own         float64   // estimated headroom of the group without filling work
	culprit     string    // the image at work that takes most headroom, "" for none
	readings    int
	hidden      int // readings in which the tail of the serving group did not exceed the target
}

// updateViolations returns the violations that begin or end with a scan. They are logged, so
// that an engineer can see how long users waited and which image was the likely cause.
func (p *pacer) updateViolations(now time.Time, sc scan) []violation {
	var out []violation
	over := make(map[runKey]bool)
	for _, g := range sc.groups() {
		s := sc.serving[g]
		for _, x := range s.runs {
			if x.tailMS <= float64(s.targetMS) {
				continue
			}
			over[x.key] = true
			v, open := p.violations[x.key]
			if !open {
				v = violation{run: x.key, image: g.image, began: now, tailMS: x.tailMS, groupTailMS: s.tail(), target: s.targetMS,
					own: p.trackers[g].Own(), culprit: p.findCulprit(g, sc)}
				out = append(out, v)
			}
			v.readings++
			if s.headroom() >= 1 {
				v.hidden++
			}
			p.violations[x.key] = v
		}
	}
	for key, v := range p.violations {
		if !over[key] {
			v.ended = now
			delete(p.violations, key)
			out = append(out, v)
		}
	}
	return out
}

// findCulprit returns the image at work that takes most of a group's headroom, "" for none.
func (p *pacer) findCulprit(g servingGroup, sc scan) string {
	m := p.model(g, 0)
	most, image := 0.0, ""
	for _, filling := range slices.Sorted(maps.Keys(sc.use)) {
		if taken := sc.use[filling] * m.pressure(filling); taken > most {
			most, image = taken, filling
		}
	}
	return image
}
