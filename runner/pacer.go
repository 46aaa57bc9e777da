package runner

import (
	"maps"
	"sync"
	"time"

	"github.com/waxwinghaven/waxwinghaven/ablation"
	"github.com/waxwinghaven/waxwinghaven/interference"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/learned"
)

const (
	// minReadingInterval is the least time between two readings that count. Each covers half a
	// second, so closer ones mostly repeat each other.
	minReadingInterval = 250 * time.Millisecond
	// maxReadingInterval is the time after which a reading counts even if it repeats the last
	// one, since the tails may be steady.
	maxReadingInterval = 600 * time.Millisecond
	// A run whose image has had at most stallPace for stallTime is reported as stalled, so
	// that it can move to another worker. With a shorter time, runs move that would soon
	// continue; with a longer one, serving tasks stay over their target for longer.
	stallPace = 50
	stallTime = 800 * time.Millisecond
)

type imagePair struct{ serving, filling string }

// pacer decides the pace of the filling runs beside serving ones. It reads no clock: the time
// is passed in. The decision is made on the agent because a reading that went to the leader
// and back would be a second old.
type pacer struct {
	mu        sync.Mutex
	without   ablation.Set
	begun     time.Time
	lastStep  time.Time                      // when a reading last changed the pace
	pace      map[string]int                 // by filling image; full pace if missing
	slowSince map[string]time.Time           // since when an image's pace is at most stallPace
	asked     map[runKey]request             // last requested paces
	costs     map[imagePair]learned.PairCost // as the leader sent them
	trackers  map[servingGroup]*interference.Tracker
	tasks     map[runKey]*taskState // of the serving runs
	degradationDetector
	lastCommand command              // result of the last reading
	violations  map[runKey]violation // serving runs over their target
	events      events               // not yet taken, for the log
	lastScan    scan                 // the last reading, and the runs started since
	worstRatio  float64              // result of worstTask for the last reading
	readings    []learned.Reading
}

func newPacer(without ablation.Set) *pacer {
	return &pacer{without: without, begun: time.Now(), pace: make(map[string]int), slowSince: make(map[string]time.Time), asked: make(map[runKey]request),
		costs: make(map[imagePair]learned.PairCost), trackers: make(map[servingGroup]*interference.Tracker), tasks: make(map[runKey]*taskState), violations: make(map[runKey]violation),
		degradationDetector: degradationDetector{limits: groupLimits}}
}

// next processes a reading and returns the pace calls that follow from it.
func (p *pacer) next(now time.Time, running []RunningRun, lookup func(jobs.Ref, uint32) (jobs.Order, bool)) []PaceCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	sc := newScan(running, lookup)
	if now.Sub(p.lastStep) >= minReadingInterval && (!sc.repeats(&p.lastScan) || now.Sub(p.lastStep) > maxReadingInterval) {
		interval := time.Duration(0)
		if !p.lastStep.IsZero() {
			interval = now.Sub(p.lastStep)
			p.events.intervals = append(p.events.intervals, interval)
		}
		p.lastStep = now
		p.updateTrackers(now, sc)
		p.updateTasks(sc, interval)
		p.recordReadings(now, sc)
		p.events.violations = append(p.events.violations, p.updateViolations(now, sc)...)
		p.checkPaces(now, sc)
		p.step(now, sc)
	}
	p.lastScan = sc
	return p.calls(now, sc)
}

// begin adds a filling run that has just been started, and returns the pace calls that follow.
// The worker starts it at full pace, and the next reading that shows its effect is up to half
// a second away; most of the time that served tails exceed their target would fall into that
// gap.
func (p *pacer) begin(now time.Time, key runKey, o jobs.Order) []PaceCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, seen := p.lastScan.images[key]; seen || p.lastScan.images == nil {
		return nil
	}
	p.lastScan.add(RunningRun{Task: key.task, Run: key.run}, o)
	if len(p.lastScan.serving) > 0 && !p.without.PaceAtStart && !p.without.Pace {
		switch p.lastCommand {
		case steerAll:
			p.pace = steer(p.models(p.lastScan, lookAhead+now.Sub(p.lastStep)), p.pace, p.lastScan.full, 0)
		case stopAll:
			p.setAll(p.lastScan, 0)
		}
		p.updateSlow(now)
	}
	return p.calls(now, p.lastScan)
}

// updateTrackers passes a reading to the trackers.
func (p *pacer) updateTrackers(now time.Time, sc scan) {
	for g, s := range sc.serving {
		t := p.trackers[g]
		if t == nil {
			t = &interference.Tracker{}
			p.trackers[g] = t
		}
		t.Read(now, s.headroom(), sc.use, p.prior(g.image))
	}
	maps.DeleteFunc(p.trackers, func(g servingGroup, _ *interference.Tracker) bool {
		_, there := sc.serving[g]
		return !there
	})
}

// prior returns the leader's estimates of the filling images beside a serving one.
func (p *pacer) prior(serving string) func(string) interference.Estimate {
	return func(filling string) interference.Estimate {
		if c, known := p.costs[imagePair{serving, filling}]; known {
			return interference.Estimate{Mean: c.Cost, Var: c.Var, Seen: c.Seen}
		}
		return interference.PriorPressure()
	}
}

func (p *pacer) paceOf(image string) int {
	if pace, slowed := p.pace[image]; slowed {
		return pace
	}
	return fullPace
}

// step sets the pace of each filling image.
func (p *pacer) step(now time.Time, sc scan) {
	p.worstRatio = sc.worstTask()
	if p.without.Pace {
		return
	}
	wasDegraded, noFilling := p.degraded, p.noFillingAtWork(sc)
	c := p.degradationDetector.update(now, sc.worst(), noFilling)
	if forTasks := p.commandForTasks(now, sc, noFilling); c == steerAll {
		c = forTasks
	}
	if c != p.lastCommand || p.degraded != wasDegraded {
		p.events.commands = append(p.events.commands, commandChange{p.lastCommand, c, p.degraded, p.worstRatio, sc.processors()})
	}
	p.lastCommand = c
	switch c {
	case releaseAll:
		p.setAll(sc, fullPace)
		p.readings = nil
	case stopAll:
		p.setAll(sc, 0)
	case steerAll:
		p.pace = steer(p.models(sc, lookAhead), p.pace, sc.full, raiseStep)
	}
	p.updateSlow(now)
}

// models returns the models of the serving groups some time after the last reading.
func (p *pacer) models(sc scan, ahead time.Duration) []groupModel {
	var out []groupModel
	for _, g := range sc.groups() {
		if p.trackers[g] != nil {
			out = append(out, p.model(g, ahead))
		}
	}
	return out
}

// model returns the model of a serving group that has a tracker.
func (p *pacer) model(g servingGroup, ahead time.Duration) groupModel {
	return groupModel{p.trackers[g], p.prior(g.image), ahead, p.largestShortfall(g, ahead)}
}

func (p *pacer) setAll(sc scan, pace int) {
	p.pace = make(map[string]int, len(sc.full))
	for image := range sc.full {
		p.pace[image] = pace
	}
}

// noFillingAtWork reports whether no filling image has a pace above 0, and no run's pace is
// unconfirmed.
func (p *pacer) noFillingAtWork(sc scan) bool {
	for image := range sc.full {
		if p.paceOf(image) > 0 {
			return false
		}
	}
	for _, x := range sc.filling {
		if p.asked[runKey{x.Task, x.Run}].percent == unconfirmed {
			return false
		}
	}
	return true
}

// updateSlow updates since when images are held at or below stallPace.
func (p *pacer) updateSlow(now time.Time) {
	kept := make(map[string]time.Time)
	for image, pace := range p.pace {
		if pace > stallPace {
			continue
		}
		kept[image] = now
		if since, slow := p.slowSince[image]; slow {
			kept[image] = since
		}
	}
	p.slowSince = kept
}

// isDegraded reports whether the worker itself seems to be degraded.
func (p *pacer) isDegraded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.degraded
}

// request is a requested pace.
type request struct {
	percent int // or unconfirmed
	at      time.Time
}

// calls returns the calls that give each filling run the pace of its image.
func (p *pacer) calls(now time.Time, sc scan) []PaceCall {
	var calls []PaceCall
	kept := make(map[runKey]request, len(sc.filling))
	for _, x := range sc.filling {
		key := runKey{x.Task, x.Run}
		pace := p.paceOf(sc.images[key])
		last, known := p.asked[key]
		switch {
		case !known && pace == fullPace:
			last = request{pace, now}
		case !known || last.percent != pace:
			calls = append(calls, PaceCall{Task: x.Task, Run: x.Run, Percent: pace})
			last = request{pace, now}
		}
		kept[key] = last
	}
	p.asked = kept
	return calls
}

// worstTail returns the highest tail of a task in the last reading as a fraction of its target.
func (p *pacer) worstTail() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.worstRatio
}

// unconfirmed is not a valid pace, so it differs from every requested one.
const unconfirmed = -1

// failed makes the next reading request the pace of an unconfirmed call again.
func (p *pacer) failed(c PaceCall) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked[runKey{c.Task, c.Run}] = request{percent: unconfirmed}
}

// slowedRuns returns the runs whose requested pace is below full pace or unconfirmed.
func (p *pacer) slowedRuns() map[runKey]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[runKey]bool)
	for key, r := range p.asked {
		if r.percent != fullPace {
			out[key] = true
		}
	}
	return out
}
