package runner

import (
	"maps"
	"slices"
	"time"
)

// violation is a period in which the tails of a serving group exceeded their target.
type violation struct {
	group   servingGroup
	began   time.Time
	ended   time.Time // zero while it lasts
	runs    int
	tailMS  float64 // at the beginning
	target  int64   // ms
	own     float64 // estimated headroom of the group without filling work
	culprit string  // the image at work that takes most headroom, "" for none
}

// updateViolations returns the violations that begin or end with a scan. They are logged, so
// that an engineer can see how long users waited and which image was the likely cause.
func (p *pacer) updateViolations(now time.Time, sc scan) []violation {
	var out []violation
	for _, g := range sc.groups() {
		_, open := p.violations[g]
		over := sc.serving[g].headroom() < 1
		switch {
		case over && !open:
			v := violation{group: g, began: now, runs: len(sc.serving[g].tails), tailMS: sc.serving[g].tail(), target: sc.serving[g].targetMS,
				own: p.trackers[g].Own(), culprit: p.findCulprit(g, sc)}
			p.violations[g] = v
			out = append(out, v)
		case !over && open:
			out = append(out, p.endViolation(now, g))
		}
	}
	for g := range p.violations {
		if _, there := sc.serving[g]; !there {
			out = append(out, p.endViolation(now, g))
		}
	}
	return out
}

func (p *pacer) endViolation(now time.Time, g servingGroup) violation {
	v := p.violations[g]
	v.ended = now
	delete(p.violations, g)
	return v
}

// findCulprit returns the image at work that takes most of a group's headroom, "" for none.
func (p *pacer) findCulprit(g servingGroup, sc scan) string {
	m := p.model(g)
	most, image := 0.0, ""
	for _, filling := range slices.Sorted(maps.Keys(sc.use)) {
		if taken := sc.use[filling] * m.pressure(filling); taken > most {
			most, image = taken, filling
		}
	}
	return image
}
