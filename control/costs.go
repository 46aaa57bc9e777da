package control

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/ablation"
	"github.com/waxwinghaven/waxwinghaven/interference"
	"github.com/waxwinghaven/waxwinghaven/lessons"
)

const (
	// stepLeast and stepMost are the times between two readings from which is learned:
	// closer they cover the same half second, further apart the served task's own load
	// has moved too much.
	stepLeast = 450 * time.Millisecond
	stepMost  = 1500 * time.Millisecond
	// unseenDeviations is how far above its mean a pair never seen is tried: seven in a
	// hundred take more.
	unseenDeviations = 1.5
	// knownDeviation is how well a pair never seen is known by its kin for it to count as
	// seen: half of how far any two pairs differ.
	knownDeviation = 0.05
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

// costs is the leader's knowledge of which image disturbs which. What it has learned of pairs
// and images is committed now and then; the crews of the moment are lost with the leadership.
type costs struct {
	mu        sync.Mutex
	pressures *interference.Pressures
	log       pairLog
	without   ablation.Set
	headrooms
}

func newCosts(without ablation.Set) *costs {
	return &costs{without: without, pressures: interference.NewPressures(), log: newPairLog(), headrooms: newHeadrooms(without)}
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
	if c.pressures.KinRenewed() {
		c.pressures.Expected(func(serving, filling string, e interference.Estimate) { c.noteEstimate(serving, filling, e) })
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

// recall takes over what earlier leaders have learned of what is not known here.
func (c *costs) recall(u lessons.Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range u.Pairs {
		c.pressures.Hint(p.Serving, p.Filling, interference.Estimate{Mean: p.Mean, Var: p.Var, Seen: p.Seen})
		c.notePair(p.Serving, p.Filling)
	}
	for _, l := range u.Levels {
		if c.levels[l.Image] == nil {
			c.levels[l.Image] = &level{mean: l.Mean, square: l.Square, n: l.N}
		}
	}
}

func (c *costs) notePair(serving, filling string) {
	c.noteEstimate(serving, filling, c.pressures.Of(serving, filling))
}

// noteEstimate notes a pair for the agents, unless it is neither seen nor known by its kin.
func (c *costs) noteEstimate(serving, filling string, e interference.Estimate) {
	if e.Seen > 0 || known(e) {
		c.log.note(pairName{serving, filling}, e)
	}
}

// known reports whether a pair is known well enough to go by, seen or not.
func known(e interference.Estimate) bool {
	return e.Seen > 0 || e.Var <= knownDeviation*knownDeviation
}

func (c *costs) learn(worker string, r Reading, now time.Time) {
	last, over := c.note(worker, &r, now)
	if last == nil || last.Runs != r.Runs || over < stepLeast || over > stepMost {
		return
	}
	step := last.step(&r, over)
	c.pressures.Observe(r.Image, step)
	for filling := range step.Fillers {
		c.notePair(r.Image, filling)
	}
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

// sweep drops what was told so long ago that it doesn't count any more.
func (c *costs) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(now)
}

// at returns what is known at a time, for one decision.
func (c *costs) at(now time.Time) costsAt { return costsAt{c, now, make(map[place]float64)} }

// costsAt implements dispatch.Costs.
type costsAt struct {
	*costs
	now time.Time
	// bounds are those worked out for this decision: each is asked for once a task and
	// worker, and takes a look at several seconds of a forecast.
	bounds map[place]float64
}

// place is a served image on a worker.
type place struct{ worker, serving string }

// Cost implements dispatch.Costs.
func (c costsAt) Cost(serving, filling string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pressures.Of(serving, filling).Mean
}

// Bound implements dispatch.Costs.
func (c costsAt) Bound(worker, serving string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := place{worker, serving}
	bound, known := c.bounds[key]
	if !known {
		bound = c.bound(worker, serving, c.now)
		c.bounds[key] = bound
	}
	return bound
}

// Now implements dispatch.Costs.
func (c costsAt) Now(worker, serving string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bearsNow(worker, serving, c.now)
}

// Unseen implements dispatch.Costs.
func (c costsAt) Unseen(serving, filling string) (float64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.pressures.Of(serving, filling)
	return e.Mean + unseenDeviations*math.Sqrt(e.Var), !known(e)
}

// Alike implements dispatch.Costs.
func (c costsAt) Alike(a, b string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pressures.Alike(a, b)
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
