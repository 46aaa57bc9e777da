package runner

import (
	"maps"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/learned"
)

// The part of the pacer that speaks with the leader: it reports readings and stalled runs, and
// gets the costs of pairs of images.

const (
	// placementLookAhead is how far ahead the spare headroom of serving groups is predicted
	// for the leader. A renewal is up to 0.7 s old when a task is placed by it, and the task
	// starts about 30 ms later.
	placementLookAhead = 1000 * time.Millisecond
	// maxReadings bounds the number of readings kept for the leader.
	maxReadings = 16
)

// recordReadings keeps a reading for the leader.
func (p *pacer) recordReadings(now time.Time, sc scan) {
	if p.degraded {
		return
	}
	fillers := maps.Clone(sc.use) // begin changes sc before the readings are sent
	for g, s := range sc.serving {
		if len(sc.use) == 0 && s.headroom() < minHeadroom {
			continue // the worker is degraded; the leader would learn this as the image's own headroom
		}
		t := p.trackers[g]
		p.readings = append(p.readings, learned.Reading{Image: g.image, Job: g.job, AtMS: now.Sub(p.begun).Milliseconds(),
			Headroom: s.headroom(), Own: t.Own(), Rate: t.Rate(), SpareHeadroom: p.spareHeadroom(g, sc.full), Runs: len(s.runs), Fillers: fillers})
	}
	if n := len(p.readings); n > maxReadings {
		p.readings = p.readings[n-maxReadings:]
	}
}

// spareHeadroom returns the headroom of a serving group that filling work may take.
func (p *pacer) spareHeadroom(g servingGroup, full map[string]float64) float64 {
	prior := p.prior(g.image)
	out := p.model(g, placementLookAhead).expect(full) - minHeadroom
	for filling, n := range full {
		out += n * prior(filling).Mean
	}
	return out
}

// report returns the readings since the last report and the runs that are stalled, for the
// leader.
func (p *pacer) report(now time.Time, images func() map[runKey]string) ([]learned.Reading, []jobs.Stop) {
	p.mu.Lock()
	defer p.mu.Unlock()
	readings := p.readings
	p.readings = nil
	var stalled []jobs.Stop
	for key, image := range images() {
		if since, slow := p.slowSince[image]; slow && now.Sub(since) >= stallTime {
			stalled = append(stalled, jobs.Stop{Task: key.task, Run: key.run})
		}
	}
	return readings, stalled
}

// known returns the measured costs of pairs of images.
func (p *pacer) known() []learned.PairCost {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]learned.PairCost, 0, len(p.costs))
	for _, c := range p.costs {
		if c.Seen > 0 { // otherwise it is derived from other pairs
			out = append(out, c)
		}
	}
	return out
}

// learn stores the costs of pairs of images that the leader has sent.
func (p *pacer) learn(costs []learned.PairCost) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range costs {
		p.costs[imagePair{c.Serving, c.Filling}] = c
	}
}
