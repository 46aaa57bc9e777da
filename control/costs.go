package control

import (
	"math"
	"sync"

	"github.com/waxwinghaven/waxwinghaven/interference"
)

const (
	// readingNoise is the variance of the logarithm of a tail that swings with
	// the served task's own load: readings of tasks running alone went from 10
	// to 46 ms around a median of 18.
	readingNoise = 0.25
	// targetShare is the part of a target up to which tails are planned.
	targetShare = 0.8
	// defaultBound stands in until a served task was seen alone: its tail may
	// double.
	defaultBound = 0.7
	// unseenShare is the part of the bound that a unit of work of a pair never
	// seen is taken for: one task at a time is tried, and the next when the tail
	// has told.
	unseenShare = 0.4
	// leastBound keeps a served task that is near its target by itself from
	// having no bound at all.
	leastBound = 0.1
)

// Reading is a served task's tail with the filling tasks beside it at that time.
type Reading struct {
	Image    string         `msgpack:"i"`
	TailMS   float64        `msgpack:"l"`
	TargetMS int64          `msgpack:"t"`
	Fillers  map[string]int `msgpack:"f,omitempty"` // units of work near full pace, by image
}

// PairCost tells an agent how much one unit of filling work lengthens a served
// task's tail, as a logarithm.
type PairCost struct {
	Serving string  `msgpack:"s"`
	Filling string  `msgpack:"f"`
	Cost    float64 `msgpack:"c"`
}

// costs is the leader's knowledge of which image disturbs which. It is lost with
// the leadership and learned anew within seconds.
type costs struct {
	mu       sync.Mutex
	model    *interference.Model
	baseline *interference.Baseline
	targets  map[string]int64 // ms, by served image
}

func newCosts() *costs {
	return &costs{model: interference.NewNoisyModel(readingNoise), baseline: interference.NewBaseline(), targets: make(map[string]int64)}
}

// observe learns from readings and returns what concerns their sender. known is what
// the sender was told by an earlier leader.
func (c *costs) observe(known []PairCost, readings []Reading) []PairCost {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range known {
		c.model.Hint(k.Serving, k.Filling, 0, k.Cost)
	}
	var out []PairCost
	for _, r := range readings {
		c.targets[r.Image] = r.TargetMS
		if slow := c.baseline.Slowdown(r.Image, 0, r.TailMS, len(r.Fillers) == 0); slow > 0 {
			c.model.Observe(r.Image, 0, r.Fillers, slow)
		}
		for filler := range r.Fillers {
			out = append(out, PairCost{r.Image, filler, c.model.Predict(r.Image, filler, 0).Mean})
		}
	}
	return out
}

// Cost implements dispatch.Costs.
func (c *costs) Cost(serving, filling string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.model.Predict(serving, filling, 0)
	if e.Seen == 0 {
		return math.Max(e.Mean, unseenShare*c.bound(serving))
	}
	return e.Mean
}

// Bound implements dispatch.Costs.
func (c *costs) Bound(serving string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bound(serving)
}

func (c *costs) bound(serving string) float64 {
	alone := c.baseline.Alone(serving, 0)
	if alone <= 0 || c.targets[serving] == 0 {
		return defaultBound
	}
	return math.Max(leastBound, math.Log(targetShare*float64(c.targets[serving])/alone))
}
