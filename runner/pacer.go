package runner

import (
	"maps"
	"sync"
	"time"

	"github.com/waxwinghaven/waxwinghaven/ablation"
	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/interference"
	"github.com/waxwinghaven/waxwinghaven/jobs"
)

const (
	// readingEvery is the least time between two readings that count: each covers half
	// a second, so closer ones say the same twice.
	readingEvery = 250 * time.Millisecond
	// readingMost is the time after which a reading counts that says what the last one
	// said: the tails may just be steady.
	readingMost = 600 * time.Millisecond
	// stallPace and stallTime tell a run that is held up for long: it is worth moving
	// elsewhere. Sooner, runs move that would go on in a moment; later, served tasks stay
	// over their target for longer.
	stallPace = 50
	stallTime = 800 * time.Millisecond
	// placedAhead is how far ahead the leader is told what crews bear: a renewal is up to
	// 0.7 s old when a task is placed by it, and the task starts some 30 ms later.
	placedAhead = 1000 * time.Millisecond
	// maxReadings bounds what is kept for the leader.
	maxReadings = 16
)

type imagePair struct{ serving, filling string }

// pacer decides how fast the filling runs beside serving ones may work. It is
// pure. Only the agent sees a tail in time: a reading that went to the leader and
// back would be a second old.
type pacer struct {
	mu       sync.Mutex
	without  ablation.Set
	begun    time.Time
	stepped  time.Time                      // when the pace last followed a reading
	pace     map[string]int                 // by filling image; missing means full pace
	slow     map[string]time.Time           // since when an image's pace is at most stallPace
	set      map[runKey]int                 // by what was last asked for
	costs    map[imagePair]control.PairCost // as the leader told
	trackers map[crew]*interference.Tracker
	judgement
	spells   map[crew]spell // tails that are over their target
	spelled  []spell        // began or ended with the last reading, for the log
	last     scene          // the last reading, and the runs begun since
	worst    float64        // highest tail against its target, of the last reading
	readings []control.Reading
}

func newPacer(without ablation.Set) *pacer {
	return &pacer{without: without, begun: time.Now(), pace: make(map[string]int), slow: make(map[string]time.Time), set: make(map[runKey]int),
		costs: make(map[imagePair]control.PairCost), trackers: make(map[crew]*interference.Tracker), spells: make(map[crew]spell)}
}

// next returns the calls that a reading asks for.
func (p *pacer) next(now time.Time, running []RunningRun, lookup func(jobs.Ref, uint32) (jobs.Order, bool)) []PaceCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	sc := look(running, lookup)
	if now.Sub(p.stepped) >= readingEvery && (!sc.repeats(&p.last) || now.Sub(p.stepped) > readingMost) {
		p.stepped = now
		p.follow(now, sc)
		p.note(now, sc)
		p.spelled = append(p.spelled, p.noteSpells(now, sc)...)
		p.step(now, sc)
	}
	p.last = sc
	return p.calls(sc)
}

// begin takes in that a filling run has just been started, and returns the calls that this
// asks for. The worker starts it at full pace, and the next reading that shows what it does
// is up to half a second away: most of the time that served tails were too long lay just
// there.
func (p *pacer) begin(now time.Time, key runKey, o jobs.Order) []PaceCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, seen := p.last.images[key]; seen || p.last.images == nil {
		return nil
	}
	p.last.add(RunningRun{Task: key.task, Run: key.run}, o)
	if len(p.last.serving) > 0 && p.command(now) == steerAll && !p.without.PaceAtStart && !p.without.Pace {
		p.pace = steer(p.guards(p.last), p.pace, p.last.full, 0, lookAhead+now.Sub(p.stepped))
		p.noteSlow(now)
	}
	return p.calls(p.last)
}

// note keeps a reading for the leader.
func (p *pacer) note(now time.Time, sc scene) {
	if p.unwell {
		return
	}
	fillers := maps.Clone(sc.use) // a run that begins before the readings are sent changes sc
	for c, s := range sc.serving {
		if len(sc.use) == 0 && s.headroom() < headroomKept {
			continue // the worker is unwell: taught, this would pass for how the image is by itself
		}
		t := p.trackers[c]
		p.readings = append(p.readings, control.Reading{Image: c.image, Job: c.job, AtMS: now.Sub(p.begun).Milliseconds(),
			Headroom: s.headroom(), Own: t.Own(), Rate: t.Rate(), Bears: p.bears(c, sc.full), Runs: len(s.tails), Fillers: fillers})
	}
	if n := len(p.readings); n > maxReadings {
		p.readings = p.readings[n-maxReadings:]
	}
}

// bears returns the headroom that filling work may take of a crew.
func (p *pacer) bears(c crew, full map[string]float64) float64 {
	prior := p.prior(c.image)
	out := p.trackers[c].Expect(placedAhead, full, prior) - headroomKept
	for filling, n := range full {
		out += n * prior(filling).Mean
	}
	return out
}

// follow lets the trackers take in a reading.
func (p *pacer) follow(now time.Time, sc scene) {
	for c, s := range sc.serving {
		t := p.trackers[c]
		if t == nil {
			t = &interference.Tracker{}
			p.trackers[c] = t
		}
		t.Read(now, s.headroom(), sc.use, p.prior(c.image))
	}
	maps.DeleteFunc(p.trackers, func(c crew, _ *interference.Tracker) bool {
		_, there := sc.serving[c]
		return !there
	})
}

// prior returns what the leader told of the filling images beside a served one.
func (p *pacer) prior(serving string) func(string) interference.Estimate {
	return func(filling string) interference.Estimate {
		if c, known := p.costs[imagePair{serving, filling}]; known {
			return interference.Estimate{Mean: c.Cost, Var: c.Var, Seen: c.Seen}
		}
		return interference.Unseen()
	}
}

func (p *pacer) paceOf(image string) int {
	if pace, slowed := p.pace[image]; slowed {
		return pace
	}
	return fullPace
}

// step gives each filling image its pace.
func (p *pacer) step(now time.Time, sc scene) {
	p.worst = sc.worst()
	if p.without.Pace {
		return
	}
	switch p.judgement.note(now, p.worst, p.nothingFills(sc)) {
	case freeAll:
		p.setAll(sc, fullPace)
		p.readings = nil
	case stopAll:
		p.setAll(sc, 0)
	case steerAll:
		p.pace = steer(p.guards(sc), p.pace, sc.full, raiseStep, lookAhead)
	}
	p.noteSlow(now)
}

func (p *pacer) guards(sc scene) []guard {
	var out []guard
	for _, c := range sc.crews() {
		if p.trackers[c] != nil {
			out = append(out, p.guard(c))
		}
	}
	return out
}

// guard returns the guard of a crew that has a tracker.
func (p *pacer) guard(c crew) guard { return guard{p.trackers[c], p.prior(c.image)} }

func (p *pacer) setAll(sc scene, pace int) {
	p.pace = make(map[string]int, len(sc.full))
	for image := range sc.full {
		p.pace[image] = pace
	}
}

// nothingFills reports whether no filling run is at work.
func (p *pacer) nothingFills(sc scene) bool {
	for image := range sc.full {
		if p.paceOf(image) > 0 {
			return false
		}
	}
	return true
}

// noteSlow keeps since when images are held up.
func (p *pacer) noteSlow(now time.Time) {
	kept := make(map[string]time.Time)
	for image, pace := range p.pace {
		if pace > stallPace {
			continue
		}
		kept[image] = now
		if since, slow := p.slow[image]; slow {
			kept[image] = since
		}
	}
	p.slow = kept
}

// ailing reports whether the worker itself seems to be unwell.
func (p *pacer) ailing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unwell
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

// takeSpells returns the spells that began or ended since it was last asked.
func (p *pacer) takeSpells() []spell {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.spelled
	p.spelled = nil
	return out
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
		if since, slow := p.slow[image]; slow && now.Sub(since) >= stallTime {
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
	for _, c := range p.costs {
		if c.Seen > 0 { // else it only follows from others
			out = append(out, c)
		}
	}
	return out
}

// learn takes over what the leader knows of the pairs on this worker.
func (p *pacer) learn(costs []control.PairCost) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range costs {
		p.costs[imagePair{c.Serving, c.Filling}] = c
	}
}
