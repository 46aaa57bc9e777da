package runner

import (
	"maps"
	"slices"
	"time"
)

// spell is a time on end in which a crew's tails were over their target.
type spell struct {
	crew   crew
	began  time.Time
	ended  time.Time // zero while it lasts
	runs   int
	tailMS float64 // when it was noticed
	target int64   // ms
	own    float64 // headroom that the crew is thought to have by itself
	beside string  // the image at work that takes most of it, "" for none
}

// noteSpells returns the spells that a reading begins or ends, for the log: whoever asks
// later why users waited finds for how long and beside what.
func (p *pacer) noteSpells(now time.Time, sc scene) []spell {
	var out []spell
	for _, c := range sc.crews() {
		_, open := p.spells[c]
		over := sc.serving[c].headroom() < 1
		switch {
		case over && !open:
			s := spell{crew: c, began: now, runs: len(sc.serving[c].tails), tailMS: sc.serving[c].tail(), target: sc.serving[c].targetMS,
				own: p.trackers[c].Own(), beside: p.beside(c, sc)}
			p.spells[c] = s
			out = append(out, s)
		case !over && open:
			out = append(out, p.endSpell(now, c))
		}
	}
	for c := range p.spells {
		if _, there := sc.serving[c]; !there {
			out = append(out, p.endSpell(now, c))
		}
	}
	return out
}

func (p *pacer) endSpell(now time.Time, c crew) spell {
	s := p.spells[c]
	s.ended = now
	delete(p.spells, c)
	return s
}

// beside returns the image at work that takes most of a crew's headroom.
func (p *pacer) beside(c crew, sc scene) string {
	g := p.guard(c)
	most, image := 0.0, ""
	for _, filling := range slices.Sorted(maps.Keys(sc.use)) {
		if took := sc.use[filling] * g.pressure(filling); took > most {
			most, image = took, filling
		}
	}
	return image
}
