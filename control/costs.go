package control

import (
	"fmt"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/ablation"
	"github.com/waxwinghaven/waxwinghaven/interference"
)

const (
	// leastHeadroom is what filling work leaves a served image of its usual low.
	leastHeadroom = 1.0
	// defaultHeadroom stands in until a served image was read.
	defaultHeadroom = 2.0
	// leastBound keeps a served image that is near its target by itself from
	// having no bound at all.
	leastBound = 0.1
	// stepLeast and stepMost are the times between two readings from which is learned:
	// closer they cover the same half second, further apart the served task's own load
	// has moved too much.
	stepLeast = 450 * time.Millisecond
	stepMost  = 1500 * time.Millisecond
	// crewMemory is how long what was told of a worker's served tasks counts: four
	// renewals.
	crewMemory = 3 * time.Second
	// levelMemory is the number of readings after which an older one has little weight
	// in the level of a served image's own headroom: a swing of 14 s on one worker.
	levelMemory = 30
	// lowDeviations is how far under its mean an image's usual low is. With 0.5 served
	// tasks were over their target for 124 s a day, with 1 for 93 s (standard error of
	// the difference 4.6 s, 24 paired days of a vat planner), with as many filling jobs
	// in time.
	lowDeviations = 1.0
	// unseenDeviations is how far above its mean a pair never seen is tried: seven in a
	// hundred take more.
	unseenDeviations = 1.5
)

// Reading is the state of a job's served tasks on one worker, with the filling work beside
// them. It covers half a second.
type Reading struct {
	Image string `msgpack:"i"`
	// Job is the job whose tasks they are. Others of the image have a load of their own.
	Job string `msgpack:"j"`
	// AtMS is when it was read, on the agent's steady clock.
	AtMS int64 `msgpack:"a"`
	// Headroom is the target over the tail: below 1 the tail is too long.
	Headroom float64 `msgpack:"h"`
	// Own is the headroom that they would have with nothing beside them, and Rate how
	// fast that changes, by second.
	Own  float64 `msgpack:"o"`
	Rate float64 `msgpack:"e"`
	// Bears is the headroom that filling work may take, as the agent expects it.
	Bears float64 `msgpack:"b"`
	// Runs is the number of these tasks.
	Runs int `msgpack:"n"`
	// Fillers is the processors in use, by filling image.
	Fillers map[string]float64 `msgpack:"f,omitempty"`
}

// PairCost tells an agent how much headroom one processor of filling work takes.
type PairCost struct {
	Serving string  `msgpack:"s"`
	Filling string  `msgpack:"f"`
	Cost    float64 `msgpack:"c"`
	// Var is the variance of the cost, and Seen the steps behind it.
	Var  float64 `msgpack:"v"`
	Seen int     `msgpack:"n"`
}

// costs is the leader's knowledge of which image disturbs which. It is lost with
// the leadership and learned anew within seconds.
type costs struct {
	mu        sync.Mutex
	pressures *interference.Pressures
	log       pairLog
	without   ablation.Set
	levels    map[string]*level           // of headroom with nothing beside, by served image
	crews     map[string]map[crewKey]crew // by worker
}

// crewKey is the served tasks of one job and image on a worker.
type crewKey struct{ image, job string }

// crew is what was told of them.
type crew struct {
	last Reading // the last one that a step is counted from
	told time.Time
	// bears is the headroom that filling work may take of them.
	bears float64
}

// level is the mean and spread of a headroom, and forgets.
type level struct{ mean, square, n float64 }

func (l *level) add(v float64) {
	l.n = math.Min(l.n+1, levelMemory)
	l.mean += (v - l.mean) / l.n
	l.square += (v*v - l.square) / l.n
}

// low is what it rarely falls below.
func (l *level) low() float64 {
	return l.mean - lowDeviations*math.Sqrt(math.Max(l.square-l.mean*l.mean, 0))
}

func newCosts(without ablation.Set) *costs {
	return &costs{without: without, pressures: interference.NewPressures(), log: newPairLog(),
		levels: make(map[string]*level), crews: make(map[string]map[crewKey]crew)}
}

// observe learns from what an agent sends with a renewal, and returns the pairs that have
// changed since it last asked, and the revision to ask from next.
func (c *costs) observe(req *LeaseRequest, now time.Time) ([]PairCost, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range req.Known {
		c.pressures.Hint(k.Serving, k.Filling, interference.Estimate{Mean: k.Cost, Var: k.Var, Seen: k.Seen})
		c.notePair(k.Serving, k.Filling)
	}
	for _, r := range req.Readings {
		c.learn(req.Worker, r, now)
	}
	if c.without.Sharing {
		return nil, 0
	}
	names, next := c.log.since(req.PairsSeen)
	out := make([]PairCost, 0, len(names))
	for _, n := range names {
		e := c.pressures.Of(n.serving, n.filling)
		out = append(out, PairCost{n.serving, n.filling, e.Mean, e.Var, e.Seen})
	}
	return out, next
}

func (c *costs) notePair(serving, filling string) {
	if e := c.pressures.Of(serving, filling); e.Seen > 0 {
		c.log.note(pairName{serving, filling}, e)
	}
}

func (c *costs) learn(worker string, r Reading, now time.Time) {
	crews := c.crews[worker]
	if crews == nil {
		crews = make(map[crewKey]crew)
		c.crews[worker] = crews
	}
	key := crewKey{r.Image, r.Job}
	s, seen := crews[key]
	over := time.Duration(r.AtMS-s.last.AtMS) * time.Millisecond
	if seen && s.last.Runs == r.Runs && over >= stepLeast && over <= stepMost {
		step := s.last.step(&r, over)
		c.pressures.Observe(r.Image, step)
		for filling := range step.Fillers {
			c.notePair(r.Image, filling)
		}
	}
	if !seen || over >= stepLeast || over < 0 {
		s.last = r
	}
	s.told, s.bears = now, r.Bears
	crews[key] = s
	l := c.levels[r.Image]
	if l == nil {
		l = &level{}
		c.levels[r.Image] = l
	}
	l.add(r.Own)
}

// step returns the change from one reading to a later one, without what the served tasks'
// own load was seen to do before: what is left is the neighbours' doing.
func (r *Reading) step(later *Reading, over time.Duration) interference.Step {
	change := later.Headroom - r.Headroom - r.Rate*over.Seconds()
	return interference.Step{Headroom: later.Headroom, Change: change, Fillers: difference(r.Fillers, later.Fillers), Over: over}
}

// difference returns what changed from one set of fillers to another.
func difference(before, after map[string]float64) map[string]float64 {
	out := make(map[string]float64, len(after))
	for image, n := range after {
		out[image] = n - before[image]
	}
	for image, n := range before {
		if _, still := after[image]; !still {
			out[image] = -n
		}
	}
	return out
}

// sweep drops what was told so long ago that it doesn't count any more: tasks that ended,
// and workers that are gone, however they went. Each life of a worker has a name of its own,
// so what is kept would grow with every restart.
func (c *costs) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for worker, crews := range c.crews {
		maps.DeleteFunc(crews, func(_ crewKey, s crew) bool { return now.Sub(s.told) > crewMemory })
		if len(crews) == 0 {
			delete(c.crews, worker)
		}
	}
}

// at returns what is known at a time, for one decision.
func (c *costs) at(now time.Time) costsAt { return costsAt{c, now} }

// costsAt implements dispatch.Costs.
type costsAt struct {
	*costs
	now time.Time
}

// Cost implements dispatch.Costs.
func (c costsAt) Cost(serving, filling string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pressures.Of(serving, filling).Mean
}

// Bound implements dispatch.Costs. It is the less of what the image's usual low leaves and
// of what the agent says that its tasks bear now. By the low alone two in five filling
// runs of a vat planner's day had to be slowed at their start; the agents' word gains 0.02
// of worth there (12 paired days, standard error 0.01).
func (c costsAt) Bound(worker, serving string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	bound := c.usual(serving)
	if now, told := c.agentsWord(worker, serving); told && !c.without.AgentsWord {
		bound = math.Min(bound, now)
	}
	return math.Max(leastBound, bound)
}

// usual is what the image's usual low leaves.
func (c costsAt) usual(serving string) float64 {
	if l := c.levels[serving]; l != nil {
		return l.low() - leastHeadroom
	}
	return defaultHeadroom - leastHeadroom
}

// agentsWord is what the agent says that its tasks of the image bear now.
func (c costsAt) agentsWord(worker, serving string) (bears float64, told bool) {
	bears = math.Inf(1)
	for key, s := range c.crews[worker] {
		if key.image == serving && c.now.Sub(s.told) <= crewMemory {
			bears, told = math.Min(bears, s.bears), true
		}
	}
	return bears, told
}

// Now implements dispatch.Costs.
func (c costsAt) Now(worker, serving string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	bound, told := c.agentsWord(worker, serving)
	if !told {
		bound = c.usual(serving)
	}
	return math.Max(leastBound, bound)
}

// Unseen implements dispatch.Costs.
func (c costsAt) Unseen(serving, filling string) (float64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.pressures.Of(serving, filling)
	return e.Mean + unseenDeviations*math.Sqrt(e.Var), e.Seen == 0
}

// logPairs writes what is known of pairs, at the debug level.
func (c *costs) logPairs() {
	if !logrus.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	pairs := make(map[string]string)
	c.pressures.Each(func(serving, filling string, e interference.Estimate) {
		pairs[serving+" "+filling] = fmt.Sprintf("%.3f+-%.3f(%d)", e.Mean, math.Sqrt(e.Var), e.Seen)
	})
	logrus.WithField("pairs", pairs).Debug("control: What a processor of filling work takes of headroom.")
}
