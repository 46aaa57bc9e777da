package runner

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// Thresholds of the pacer. Tails are parts of the served run's target. A tail
// swings by itself up to the target (readings without filling runs: median 0.4,
// one in ten above 0.6 to 1.0), and most filling runs leave it as it is; what
// disturbs comes in spurts of a second or two, to ten times the target. So
// nothing is slowed before a tail is too long, then it is slowed at once, and
// tried again soon. The bound on a run that is over its target because of
// filling ones is four seconds on end.
const (
	slowAbove = 0.95
	calmUnder = 0.9
	// farOver is a tail at which the suspects stop at once.
	farOver = 1.5
	// overTime is how long a tail may be too long on end before all filling runs
	// stop, and not only the likely culprits: one second of the four.
	overTime = time.Second
	// firstHold is how long a slowed image stays slowed. Each time it has to
	// be slowed again soon after, the next one is twice as long.
	firstHold   = 700 * time.Millisecond
	longestHold = 4 * time.Second
	soonAfter   = 4 * time.Second
	// lowestPace is the share below which filling runs stand still.
	lowestPace = 30
	fullPace   = 100
	// readingSpan is the time that a reading covers. Following readings that
	// overlap would count the same disturbance several times.
	readingSpan = 500 * time.Millisecond
	// suspectShare is the part of the likeliest culprit's cost from which an
	// image is a culprit too.
	suspectShare = 0.5
	// unknownCost is the cost of an image of which nothing is known: less
	// than that of one that was seen to disturb, more than that of one that
	// was not.
	unknownCost = 0.15
	// stallPace and stallTime tell a run that is held up for long: it is
	// worth moving elsewhere.
	stallPace = 50
	stallTime = 1500 * time.Millisecond
	// ailingTime is how long a tail is too long on end, with nothing that fills at
	// work all the while, until the worker itself is taken to be unwell. A reading
	// has the last half second in it, and a pace takes up to 0.1 s to take effect.
	ailingTime = 1800 * time.Millisecond
	// unwellTime is how long on end filling runs may work beside a tail that is too
	// long on a worker that seems to be unwell. The judgement may be wrong: a pace
	// takes effect late, or its call was lost. With a reading each 0.8 s at the
	// latest, they stand again after 2.3 s of the four.
	unwellTime = 1500 * time.Millisecond
	// maxReadings bounds what is kept for the leader.
	maxReadings = 16
)

type imagePair struct{ serving, filling string }

// slowdown is what is remembered of a filling image that disturbed.
type slowdown struct {
	pace  int
	since time.Time // when it was first slowed, of this row
	until time.Time // when it is tried again
	hold  time.Duration
}

// pacer decides how fast the filling runs beside serving ones may work. It is
// pure. Only the agent sees a tail in time: a reading that went to the leader and
// back would be a second old.
type pacer struct {
	mu       sync.Mutex
	slowed   map[string]*slowdown // by filling image; missing means full pace
	set      map[runKey]int       // by what was last asked for
	costs    map[imagePair]float64
	stepped  time.Time // when the pace last followed a reading
	over     time.Time // since when a tail is too long on end, zero if none is
	alone    time.Time // since when, of that, nothing filling is at work
	unwell   bool      // tails were too long with nothing filling at work
	worst    float64   // highest tail against its target, of the last reading
	readings []control.Reading
}

func newPacer() *pacer {
	return &pacer{slowed: make(map[string]*slowdown), set: make(map[runKey]int), costs: make(map[imagePair]float64)}
}

// served is what a reading says of one served image: its worst tail.
type served struct {
	tail     float64 // ms
	targetMS int64
}

// scene is one reading of a worker, by image.
type scene struct {
	serving map[string]served
	filling []RunningRun
	images  map[runKey]string // of the filling runs
	count   map[string]int    // units of work of the filling runs
}

func look(running []RunningRun, lookup func(jobs.Ref, uint32) (jobs.Order, bool)) scene {
	sc := scene{serving: make(map[string]served), images: make(map[runKey]string), count: make(map[string]int)}
	for _, x := range running {
		o, ok := lookup(x.Task, x.Run)
		switch {
		case !ok:
		case o.TargetMS > 0 && x.Figure > 0:
			if old := sc.serving[o.Image]; x.Figure > old.tail {
				sc.serving[o.Image] = served{x.Figure, o.TargetMS}
			}
		case o.Fills:
			sc.filling = append(sc.filling, x)
			sc.images[runKey{x.Task, x.Run}] = o.Image
			sc.count[o.Image] += jobs.FillUnits(o.MilliCPU)
		}
	}
	return sc
}

// next returns the calls that a reading asks for.
func (p *pacer) next(now time.Time, running []RunningRun, lookup func(jobs.Ref, uint32) (jobs.Order, bool)) []PaceCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	sc := look(running, lookup)
	if now.Sub(p.stepped) >= readingSpan {
		p.stepped = now
		p.note(sc)
		p.step(now, sc)
	}
	return p.calls(sc)
}

// note keeps a reading for the leader. Images that are slowed down disturb less
// and would teach it wrong, so they count only at half their pace or more.
func (p *pacer) note(sc scene) {
	if p.unwell {
		return
	}
	fillers := make(map[string]int)
	for image, n := range sc.count {
		switch pace := p.paceOf(image); {
		case pace >= fullPace/2:
			fillers[image] = n
		case pace > 0:
			return // neither there nor away
		}
	}
	for image, s := range sc.serving {
		if len(fillers) == 0 && s.tail > float64(s.targetMS) {
			continue // the worker is unwell: taught, this would pass for how the image is by itself
		}
		p.readings = append(p.readings, control.Reading{Image: image, TailMS: s.tail, TargetMS: s.targetMS, Fillers: fillers})
	}
	if n := len(p.readings); n > maxReadings {
		p.readings = p.readings[n-maxReadings:]
	}
}

func (p *pacer) paceOf(image string) int {
	if d := p.slowed[image]; d != nil {
		return d.pace
	}
	return fullPace
}

// step slows the likely culprits down at once and tries them again soon.
func (p *pacer) step(now time.Time, sc scene) {
	p.worst = 0
	for _, s := range sc.serving {
		p.worst = max(p.worst, s.tail/float64(s.targetMS))
	}
	if p.worst <= slowAbove {
		p.over, p.alone = time.Time{}, time.Time{}
		if p.worst < calmUnder {
			p.unwell = false
			p.letGo(now)
		}
		return
	}
	if p.over.IsZero() {
		p.over = now
	}
	switch {
	case !p.nothingFills(sc):
		p.alone = time.Time{}
		if !p.unwell || now.Sub(p.over) >= unwellTime {
			p.slow(now, sc)
		}
	case p.alone.IsZero():
		p.alone = now
	case now.Sub(p.alone) >= ailingTime:
		p.giveUp(now)
	}
}

// nothingFills reports whether no filling run is at work.
func (p *pacer) nothingFills(sc scene) bool {
	for image := range sc.count {
		if p.paceOf(image) > 0 {
			return false
		}
	}
	return true
}

// giveUp lets everything work again for a while: the tails are too long without it
// too. A
// worker that is unwell would else be held at a stand, its runs moved one after the
// other, and its readings taught as the doing of whatever filled there.
func (p *pacer) giveUp(now time.Time) {
	p.unwell = true
	p.over, p.alone = now, time.Time{}
	p.slowed = make(map[string]*slowdown)
	p.readings = nil
}

// ailing reports whether the worker itself seems to be unwell.
func (p *pacer) ailing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unwell
}

func (p *pacer) slow(now time.Time, sc scene) {
	images := p.suspects(sc)
	long := now.Sub(p.over) >= overTime
	if long {
		images = slices.Collect(maps.Keys(sc.count))
	}
	for _, image := range images {
		pace := p.paceOf(image) / 2
		if pace < lowestPace || p.worst > farOver || long {
			pace = 0
		}
		d := p.slowed[image]
		switch {
		case d == nil:
			d = &slowdown{since: now, hold: firstHold}
			p.slowed[image] = d
		case d.pace == fullPace:
			d.hold = min(2*d.hold, longestHold)
			d.since = now
		}
		d.pace, d.until = pace, now.Add(d.hold)
	}
}

// letGo gives the images whose hold is over half of their pace back, then all of
// it, and forgets those that went on well.
func (p *pacer) letGo(now time.Time) {
	for image, d := range p.slowed {
		switch {
		case now.Before(d.until):
		case d.pace < fullPace/2:
			d.pace = fullPace / 2
			d.until = now.Add(readingSpan)
		case d.pace < fullPace:
			d.pace = fullPace
			d.until = now.Add(soonAfter)
		default:
			delete(p.slowed, image)
		}
	}
}

// suspects returns the images that most likely lengthen the tails that are too
// long, of those that still work.
func (p *pacer) suspects(sc scene) []string {
	share := make(map[string]float64)
	highest := 0.0
	for image, n := range sc.count {
		if p.paceOf(image) == 0 {
			continue
		}
		for serving, s := range sc.serving {
			if s.tail <= slowAbove*float64(s.targetMS) {
				continue
			}
			cost, known := p.costs[imagePair{serving, image}]
			if !known {
				cost = unknownCost
			}
			share[image] = max(share[image], float64(n)*cost)
		}
		highest = max(highest, share[image])
	}
	var out []string
	for image, v := range share {
		if v >= suspectShare*highest {
			out = append(out, image)
		}
	}
	return out
}

// calls returns what has to be said to the worker so that each filling run has
// its image's pace.
func (p *pacer) calls(sc scene) []PaceCall {
	var calls []PaceCall
	kept := make(map[runKey]int, len(sc.filling))
	for _, x := range sc.filling {
		key := runKey{x.Task, x.Run}
		pace := p.paceOf(sc.images[key])
		last, known := p.set[key]
		if (known && last != pace) || (!known && pace != fullPace) {
			calls = append(calls, PaceCall{Task: x.Task, Run: x.Run, Percent: pace})
		}
		kept[key] = pace
	}
	p.set = kept
	return calls
}

// worstTail returns the highest tail of the last reading against its target.
func (p *pacer) worstTail() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.worst
}

// unconfirmed is no pace at all, so it differs from every one asked for.
const unconfirmed = -1

// failed makes the next reading ask again for a pace that was not confirmed.
func (p *pacer) failed(c PaceCall) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.set[runKey{c.Task, c.Run}] = unconfirmed
}

// report returns, for the leader, the readings since the last report and the
// runs that stand still for long.
func (p *pacer) report(now time.Time, images func() map[runKey]string) ([]control.Reading, []jobs.Stop) {
	p.mu.Lock()
	defer p.mu.Unlock()
	readings := p.readings
	p.readings = nil
	var stalled []jobs.Stop
	for key, image := range images() {
		if d := p.slowed[image]; d != nil && d.pace <= stallPace && now.Sub(d.since) >= stallTime {
			stalled = append(stalled, jobs.Stop{Task: key.task, Run: key.run})
		}
	}
	return readings, stalled
}

// slowedRuns returns the runs that were told to work at less than full pace.
func (p *pacer) slowedRuns() map[runKey]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[runKey]bool)
	for key, pace := range p.set {
		if pace != fullPace {
			out[key] = true
		}
	}
	return out
}

// known returns what was learned of pairs.
func (p *pacer) known() []control.PairCost {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]control.PairCost, 0, len(p.costs))
	for pair, cost := range p.costs {
		out = append(out, control.PairCost{Serving: pair.serving, Filling: pair.filling, Cost: cost})
	}
	return out
}

// learn takes over what the leader knows of the pairs on this worker.
func (p *pacer) learn(costs []control.PairCost) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range costs {
		p.costs[imagePair{c.Serving, c.Filling}] = c.Cost
	}
}
