// Package learned holds what the leader learns while it runs: how much headroom filling work takes
// from served images, how much headroom these have without it, and how long tasks take. Control
// passes in readings and ends, commits the lessons, and plans with the resulting estimates.
package learned

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/ablation"
	"github.com/waxwinghaven/waxwinghaven/dispatch"
	"github.com/waxwinghaven/waxwinghaven/interference"
	"github.com/waxwinghaven/waxwinghaven/lessons"
)

const (
	// minStep and maxStep bound the time between two readings used for learning: closer ones
	// cover the same half second, and over a longer time the served tasks' own load has changed
	// too much.
	minStep = 450 * time.Millisecond
	maxStep = 1500 * time.Millisecond
	// unseenDeviations is how many standard deviations above its mean an unobserved pair's cost
	// is assumed to be; 7 % of the pairs exceed that.
	unseenDeviations = 1.5
	// knownDeviation is the standard deviation below which the estimate for an unobserved pair,
	// derived from similar images, counts as known: half of the typical difference between pairs.
	knownDeviation = 0.05
)

// Reading is the state of one job's served tasks on one worker and of the filling work beside
// them, measured over half a second.
type Reading struct {
	Image string `msgpack:"i"`
	// Job is the job of the tasks. Other jobs of the same image have their own load.
	Job string `msgpack:"j"`
	// AtMS is the time of the reading in milliseconds on the agent's monotonic clock.
	AtMS int64 `msgpack:"a"`
	// Headroom is the target latency divided by the tail latency; below 1 the target is missed.
	Headroom float64 `msgpack:"h"`
	// Own is the estimated headroom without filling work beside the tasks, and Rate its change
	// per second.
	Own  float64 `msgpack:"o"`
	Rate float64 `msgpack:"e"`
	// SpareHeadroom is the headroom that filling work may take, according to the agent's forecast.
	SpareHeadroom float64 `msgpack:"b"`
	// Runs is the number of the served tasks.
	Runs int `msgpack:"n"`
	// Fillers is the number of processors in use, by filling image.
	Fillers map[string]float64 `msgpack:"f,omitempty"`
}

// PairCost is the headroom that one processor of a filling image takes from a served image.
type PairCost struct {
	Serving string  `msgpack:"s"`
	Filling string  `msgpack:"f"`
	Cost    float64 `msgpack:"c"`
	// Var is the variance of the cost, and Seen the number of steps it was learned from.
	Var  float64 `msgpack:"v"`
	Seen int     `msgpack:"n"`
}

// Report is the part of an agent's lease request that Costs learns from.
type Report struct {
	Worker   string
	Readings []Reading
	// KnownPairs holds the pair costs that the agent got from earlier answers, if the leader is new
	// to it.
	KnownPairs []PairCost
	// PairsSeen is the last revision of pairs that the agent has received from this leader, 0 if
	// none.
	PairsSeen uint64
}

// Costs is what the leader has learned about which filling image slows down which served image.
// It is safe for concurrent use. Estimates of pairs and images are committed periodically; the
// serving groups are lost when the leadership changes.
type Costs struct {
	mu        sync.Mutex
	pressures *interference.Pressures
	log       pairLog
	without   ablation.Set
	headrooms
}

// NewCosts returns a model that knows no pairs or images yet.
func NewCosts(without ablation.Set) *Costs {
	return &Costs{without: without, pressures: interference.NewPressures(), log: newPairLog(), headrooms: newHeadrooms(without)}
}

// Observe learns from the readings in a report. It returns the pairs that have changed since the
// agent's last revision, and the revision to ask from next.
func (c *Costs) Observe(report Report, now time.Time) ([]PairCost, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range report.KnownPairs {
		c.pressures.Hint(k.Serving, k.Filling, interference.Estimate{Mean: k.Cost, Var: k.Var, Seen: k.Seen})
		c.logPair(k.Serving, k.Filling)
	}
	for _, r := range report.Readings {
		c.learn(report.Worker, r, now)
	}
	if c.pressures.SimilarityUpdated() {
		c.pressures.EachPredicted(func(serving, filling string, e interference.Estimate) { c.logEstimate(serving, filling, e) })
	}
	if c.without.Sharing {
		return nil, 0
	}
	names, next := c.log.since(report.PairsSeen)
	out := make([]PairCost, 0, len(names))
	for _, n := range names {
		e := c.pressures.Of(n.serving, n.filling)
		out = append(out, PairCost{n.serving, n.filling, e.Mean, e.Var, e.Seen})
	}
	return out, next
}

// Restore adopts the lessons of earlier leaders for pairs and images that are unknown here.
func (c *Costs) Restore(u lessons.Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range u.Pairs {
		c.pressures.Hint(p.Serving, p.Filling, interference.Estimate{Mean: p.Mean, Var: p.Var, Seen: p.Seen})
		c.logPair(p.Serving, p.Filling)
	}
	for _, l := range u.Levels {
		if c.levels[l.Image] == nil {
			c.levels[l.Image] = &level{mean: l.Mean, square: l.Square, n: l.N}
		}
	}
}

func (c *Costs) logPair(serving, filling string) {
	c.logEstimate(serving, filling, c.pressures.Of(serving, filling))
}

// logEstimate records a pair's estimate for the agents, if it was observed or is known from
// similar images.
func (c *Costs) logEstimate(serving, filling string, e interference.Estimate) {
	if e.Seen > 0 || known(e) {
		c.log.record(pairName{serving, filling}, e)
	}
}

// known reports whether an estimate is reliable: observed, or derived with a small variance.
func known(e interference.Estimate) bool {
	return e.Seen > 0 || e.Var <= knownDeviation*knownDeviation
}

func (c *Costs) learn(worker string, r Reading, now time.Time) {
	last, over := c.record(worker, &r, now)
	if last == nil || last.Runs != r.Runs || over < minStep || over > maxStep {
		return
	}
	step := last.step(&r, over)
	c.pressures.Observe(r.Image, step)
	for filling := range step.Fillers {
		c.logPair(r.Image, filling)
	}
}

// step returns the change between two readings, less the change that the earlier trend of the
// served tasks' own load accounts for: the remainder is attributed to the filling work.
func (r *Reading) step(later *Reading, over time.Duration) interference.Step {
	change := later.Headroom - r.Headroom - r.Rate*over.Seconds()
	return interference.Step{Headroom: later.Headroom, Change: change, Fillers: difference(r.Fillers, later.Fillers), Over: over}
}

// difference returns the change of each image's processors between two sets of fillers.
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

// Expire drops serving groups that have not been reported recently.
func (c *Costs) Expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(now)
}

// At returns a view of the costs at the given time, for one decision.
func (c *Costs) At(now time.Time) dispatch.Costs { return costsAt{c, now, make(map[boundKey]float64)} }

// costsAt implements dispatch.Costs.
type costsAt struct {
	*Costs
	now time.Time
	// bounds caches the bounds for this decision: each is needed once per task and worker, and
	// evaluates several seconds of a forecast.
	bounds map[boundKey]float64
}

// boundKey identifies a served image on a worker.
type boundKey struct{ worker, serving string }

// Cost implements dispatch.Costs.
func (c costsAt) Cost(serving, filling string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pressures.Of(serving, filling).Mean
}

// HeadroomBudget implements dispatch.Costs.
func (c costsAt) HeadroomBudget(worker, serving string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := boundKey{worker, serving}
	bound, known := c.bounds[key]
	if !known {
		bound = c.bound(worker, serving, c.now)
		c.bounds[key] = bound
	}
	return bound
}

// SpareHeadroom implements dispatch.Costs.
func (c costsAt) SpareHeadroom(worker, serving string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.spareNow(worker, serving, c.now)
}

// MaxCostIfUnseen implements dispatch.Costs.
func (c costsAt) MaxCostIfUnseen(serving, filling string) (float64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.pressures.Of(serving, filling)
	return e.Mean + unseenDeviations*math.Sqrt(e.Var), !known(e)
}

// Similarity implements dispatch.Costs.
func (c costsAt) Similarity(a, b string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pressures.Similarity(a, b)
}

// LogPairs logs the estimates of all pairs at debug level.
func (c *Costs) LogPairs() {
	if !logrus.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	pairs := make(map[string]string)
	c.pressures.Each(func(serving, filling string, e interference.Estimate) {
		pairs[serving+" "+filling] = fmt.Sprintf("%.3f+-%.3f(%d)", e.Mean, math.Sqrt(e.Var), e.Seen)
	})
	logrus.WithField("pairs", pairs).Debug("control: Headroom that one processor of filling work takes.")
}
