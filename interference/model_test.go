package interference

import (
	"math"
	"math/rand/v2"
	"testing"
)

// Three jobs share workers in varying combinations, and only the noisy sum of their costs is
// measured. The model must still separate them, or the wrong task would be moved, and it must
// follow a job whose cost changes.
func TestJobCostsAreSeparatedAndTracked(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	truth := map[string]float64{"noisy": 0.10, "quiet": 0.002, "middling": 0.03}
	m := NewModel()
	learn := func(n int) {
		for range n {
			jobs, sum := map[string]int{}, 0.0
			for _, name := range []string{"middling", "noisy", "quiet"} {
				if k := rng.IntN(4); k > 0 {
					jobs[name], sum = k, sum+float64(k)*truth[name]
				}
			}
			m.Observe("s", 0.6, jobs, math.Exp(sum+0.08*rng.NormFloat64()))
		}
	}
	check := func(when string) {
		t.Helper()
		for name, cost := range truth {
			if e := m.Predict("s", name, 0.6); math.Abs(e.Mean-cost) > 0.02 || e.Var > priorVar/4 {
				t.Errorf("%s: %s costs %.3f, learned %.3f with variance %.4f", when, name, cost, e.Mean, e.Var)
			}
		}
	}
	learn(400)
	check("at first")
	truth["quiet"] = 0.08
	learn(800)
	check("after a change")
}

// A job never measured beside a service is estimated from its cost elsewhere, an unknown job from
// the other jobs, and an unknown load from the next lower band, each with a larger variance than a
// measured pair.
func TestUnseenPairsFallBack(t *testing.T) {
	m := NewModel()
	for range 100 {
		m.Observe("s1", 0.3, map[string]int{"noisy": 1}, math.Exp(0.1))
	}
	seen, elsewhere := m.Predict("s1", "noisy", 0.3), m.Predict("s2", "noisy", 0.3)
	if math.Abs(elsewhere.Mean-seen.Mean) > 0.03 || elsewhere.Var <= seen.Var || elsewhere.Seen != 0 {
		t.Errorf("beside another service %+v, measured %+v", elsewhere, seen)
	}
	if never := m.Predict("s1", "other", 0.3); never.Var <= elsewhere.Var {
		t.Errorf("unknown job %+v", never)
	}
	if higher := m.Predict("s1", "noisy", 0.9); higher.Mean <= seen.Mean || higher.Var <= seen.Var {
		t.Errorf("at a higher load %+v, measured %+v", higher, seen)
	}
}

// The reference is the service alone at the same load. Until that has been measured, the lowest
// latency is the reference, and a first measurement yields no slowdown.
func TestSlowdownIsAgainstRunningAlone(t *testing.T) {
	b := NewBaseline()
	if got := b.Slowdown("s", 0.3, 10, false); got != 0 {
		t.Errorf("slowdown of the first measurement: %v", got)
	}
	if got := b.Slowdown("s", 0.3, 20, false); got < 1.9 || got > 2 {
		t.Errorf("against the lowest latency: %v", got)
	}
	for range minAloneSamples {
		b.Slowdown("s", 0.3, 8, true)
	}
	if got := b.Slowdown("s", 0.3, 16, false); got != 2 {
		t.Errorf("against alone: %v", got)
	}
}

// A new leader starts with an empty model and gets the previous leader's estimates from the agents.
// They must not replace what it has measured itself since.
func TestHintFillsOnlyWhatWasNotSeen(t *testing.T) {
	m := NewModel()
	m.Hint("title", "render", 0, 1.2)
	if e := m.Predict("title", "render", 0); e.Mean != 1.2 || e.Seen == 0 {
		t.Errorf("after a hint: %+v", e)
	}
	for range 50 {
		m.Observe("lookup", 0, map[string]int{"render": 1}, 1.0)
	}
	seen := m.Predict("lookup", "render", 0).Mean
	m.Hint("lookup", "render", 0, 2)
	if got := m.Predict("lookup", "render", 0).Mean; got != seen {
		t.Errorf("a hint changed %v to %v", seen, got)
	}
}
