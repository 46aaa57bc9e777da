package runner

import (
	"sync"
	"time"

	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// Thresholds of the pacer. Tails are parts of the served run's target. The bound
// on a run that is over its target because of filling ones is four seconds on
// end; readings count every half second, and after overLimit of them nothing
// fills any more, which leaves two seconds for readings that come late.
const (
	slowAbove  = 0.85
	hurryUnder = 0.6
	// farOver is a tail at which the suspects stop at once.
	farOver = 2.0
	// overLimit is the readings in a row with a tail too long after which all
	// filling runs stop, and not only the likely culprits.
	overLimit = 4
	// hurryStep is what filling runs get back with each calm reading, in
	// percent: from 0 to 100 in 2.5 s.
	hurryStep = 20
	// lowestPace is the share below which filling runs stand still.
	lowestPace = 12
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
	stallPace = 25
	stallTime = time.Second
	// maxReadings bounds what is kept for the leader.
	maxReadings = 16
)

type imagePair struct{ serving, filling string }

// pacer decides how fast the filling runs beside serving ones may work. It is
// pure. Only the agent sees a tail in time: a reading that went to the leader and
// back would be a second old.
type pacer struct {
	mu       sync.Mutex
	pace     map[string]int       // by filling image; missing means full
	slowed   map[string]time.Time // since when an image is at stallPace or below
	set      map[runKey]int       // by what was last asked for
	costs    map[imagePair]float64
	stepped  time.Time // when the pace last followed a reading
	over     int       // readings in a row with a tail too long
	worst    float64   // highest tail against its target, of the last reading
	readings []control.Reading
}

func newPacer() *pacer {
	return &pacer{pace: make(map[string]int), slowed: make(map[string]time.Time), set: make(map[runKey]int), costs: make(map[imagePair]float64)}
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
	count   map[string]int    // of the filling runs
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
			sc.count[o.Image]++
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
		p.readings = append(p.readings, control.Reading{Image: image, TailMS: s.tail, TargetMS: s.targetMS, Fillers: fillers})
	}
	if n := len(p.readings); n > maxReadings {
		p.readings = p.readings[n-maxReadings:]
	}
}

func (p *pacer) paceOf(image string) int {
	if pace, ok := p.pace[image]; ok {
		return pace
	}
	return fullPace
}

// step slows the likely culprits down fast and lets go slowly.
func (p *pacer) step(now time.Time, sc scene) {
	p.worst = 0
	for _, s := range sc.serving {
		p.worst = max(p.worst, s.tail/float64(s.targetMS))
	}
	switch {
	case p.worst > slowAbove:
		p.over++
		p.slow(sc)
	case p.worst < hurryUnder:
		p.over = 0
		for image, pace := range p.pace {
			if pace += hurryStep; pace >= fullPace {
				delete(p.pace, image)
			} else {
				p.pace[image] = pace
			}
		}
	default:
		p.over = 0
	}
	for image := range sc.count {
		if p.paceOf(image) > stallPace {
			delete(p.slowed, image)
		} else if p.slowed[image].IsZero() {
			p.slowed[image] = now
		}
	}
}

func (p *pacer) slow(sc scene) {
	if p.over >= overLimit {
		for image := range sc.count {
			p.pace[image] = 0
		}
		return
	}
	for _, image := range p.suspects(sc) {
		pace := p.paceOf(image) / 2
		if pace < lowestPace || p.worst > farOver {
			pace = 0
		}
		p.pace[image] = pace
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
		if since, slow := p.slowed[image]; slow && now.Sub(since) >= stallTime && p.paceOf(image) <= stallPace {
			stalled = append(stalled, jobs.Stop{Task: key.task, Run: key.run})
		}
	}
	return readings, stalled
}

// learn takes over what the leader knows of the pairs on this worker.
func (p *pacer) learn(costs []control.PairCost) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range costs {
		p.costs[imagePair{c.Serving, c.Filling}] = c.Cost
	}
}
