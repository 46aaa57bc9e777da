package learned

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/ablation"
	"github.com/waxwinghaven/waxwinghaven/interference"
)

// report passes in a report with one reading, and returns the pairs in the answer to an agent
// that has none yet.
func report(c *Costs, worker string, now time.Time, r Reading) []PairCost {
	pairs, _ := c.Observe(Report{Worker: worker, Readings: []Reading{r}}, now)
	return pairs
}

// reportFillers sends readings of one worker, half a second apart, each with the given number of
// processors of a filling image in use. It returns the time of the last one.
func reportFillers(c *Costs, worker, filling string, cost float64, processors ...float64) time.Time {
	start := time.Unix(100, 0)
	now := start
	for i, n := range processors {
		now = start.Add(time.Duration(i) * 500 * time.Millisecond)
		report(c, worker, now, Reading{Image: "watch", Job: "a", AtMS: int64(i) * 500, Headroom: 3 - cost*n, Own: 3, SpareHeadroom: 1.8, Runs: 2, Fillers: map[string]float64{filling: n}})
	}
	return now
}

// Guards against repeating a costly pairing on other workers: what one agent's readings show
// about two images must apply to all workers from its next renewal on.
func TestCostsLearnedOnOneWorkerApplyToAll(t *testing.T) {
	c := NewCosts(ablation.Set{})
	now := reportFillers(c, "w1", "heavy", 0.15, 0, 8)
	if got := c.At(now).Cost("watch", "heavy"); got < 0.1 {
		t.Errorf("after one start its cost is %.3f", got)
	}
	out := report(c, "w2", now, Reading{Image: "watch", Job: "b", Headroom: 2, Own: 2, Fillers: map[string]float64{"heavy": 1}})
	if len(out) != 1 || out[0].Cost < 0.1 {
		t.Errorf("another agent gets %+v", out)
	}
}

// Readings that overlap, that are too far apart, or that cover a different number of tasks say
// nothing about the cost of filling work and must not be learned from.
func TestOnlyHalfSecondStepsAreLearnedFrom(t *testing.T) {
	for name, next := range map[string]Reading{
		"overlapping": {AtMS: 200, Runs: 2},
		"long after":  {AtMS: 4000, Runs: 2},
		"other tasks": {AtMS: 500, Runs: 3},
	} {
		c := NewCosts(ablation.Set{})
		now := time.Unix(100, 0)
		report(c, "w1", now, Reading{Image: "watch", Job: "a", Headroom: 3, Own: 3, Runs: 2})
		next.Image, next.Job, next.Headroom, next.Own, next.Fillers = "watch", "a", 1, 3, map[string]float64{"heavy": 8}
		before := c.At(now).Cost("watch", "heavy")
		report(c, "w1", now, next)
		if got := c.At(now).Cost("watch", "heavy"); got != before {
			t.Errorf("%s: it changed the cost to %.3f", name, got)
		}
	}
}

// A served image's own headroom swings between 1.7 and 3.9. The bound for filling work is what
// the usual low leaves, but never more than the spare headroom that the agent reports now; old
// reports, and those about workers that are gone, must not count. The forecast is disabled, as
// for a serving group without readings.
func TestBoundIsTheUsualLowOrTheReportedSpare(t *testing.T) {
	c := NewCosts(ablation.Set{Foresight: true})
	now := time.Unix(100, 0)
	for i := range 120 {
		now = now.Add(500 * time.Millisecond)
		own := 2.8 + 1.1*math.Sin(2*math.Pi*float64(i)/28)
		report(c, "w1", now, Reading{Image: "watch", Job: "a", AtMS: int64(i) * 500, Headroom: own, Own: own, SpareHeadroom: 2.5})
	}
	usual := c.At(now).HeadroomBudget("w2", "watch")
	if usual < 0.7 || usual > 1.3 {
		t.Errorf("the usual low leaves %.2f", usual)
	}
	if got := c.At(now).HeadroomBudget("w1", "watch"); got != usual {
		t.Errorf("an agent that reports 2.5 raises it to %.2f", got)
	}
	report(c, "w1", now, Reading{Image: "watch", Job: "b", Headroom: 1.4, Own: 1.4, SpareHeadroom: 0.3})
	if got := c.At(now).HeadroomBudget("w1", "watch"); got != 0.3 {
		t.Errorf("beside a job with a spare headroom of 0.3 it is %.2f", got)
	}
	if got := c.At(now.Add(groupTTL+time.Second)).HeadroomBudget("w1", "watch"); got < 0.7 {
		t.Errorf("an old report still counts: %.2f", got)
	}
	report(c, "w3", now, Reading{Image: "watch", Job: "c", Headroom: 1.4, Own: 1.4, SpareHeadroom: 0.2})
	c.Expire(now.Add(groupTTL / 2))
	if got := c.At(now).HeadroomBudget("w3", "watch"); got != 0.2 {
		t.Errorf("a recent report was dropped: %.2f", got)
	}
	c.Expire(now.Add(groupTTL + time.Second))
	if got := c.At(now).HeadroomBudget("w3", "watch"); got < 0.7 || len(c.groups) > 0 {
		t.Errorf("a worker that is gone still counts: %.2f, %d workers are kept", got, len(c.groups))
	}
}

// A new leader knows no costs. It must plan with those that the agents received from its
// predecessor as soon as they send them.
func TestNewLeaderLearnsPairsFromAgents(t *testing.T) {
	old := NewCosts(ablation.Set{})
	now := reportFillers(old, "w1", "heavy", 0.15, 0, 8, 0, 8)
	pairs := report(old, "w1", now, Reading{Image: "watch", Job: "a", AtMS: 9000, Headroom: 2, Own: 3, Fillers: map[string]float64{"heavy": 8}})
	fresh := NewCosts(ablation.Set{})
	fresh.Observe(Report{Worker: "w1", KnownPairs: pairs}, now)
	if got, want := fresh.At(now).Cost("watch", "heavy"), old.At(now).Cost("watch", "heavy"); got != want {
		t.Errorf("the new leader assumes %.3f, the old one %.3f", got, want)
	}
}

// An agent gets each pair once and again after a change, in answers of bounded size. Otherwise
// all pairs of a large service would be sent every 0.7 s.
func TestAgentsGetOnlyChangedPairs(t *testing.T) {
	l := newPairLog()
	estimate := func(mean float64) interference.Estimate { return interference.Estimate{Mean: mean, Seen: 1} }
	const pairs = maxPairsPerAnswer + 30
	for i := range pairs {
		l.record(pairName{"watch", fmt.Sprint(i)}, estimate(0.1))
	}
	first, next := l.since(0)
	rest, next := l.since(next)
	if len(first) != maxPairsPerAnswer || len(rest) != pairs-maxPairsPerAnswer {
		t.Fatalf("sent %d and %d of %d", len(first), len(rest), pairs)
	}
	l.record(pairName{"watch", "7"}, estimate(0.101))
	if again, _ := l.since(next); len(again) != 0 {
		t.Errorf("unchanged pairs were sent again: %v", again)
	}
	for i := range 1000 {
		l.record(pairName{"watch", "7"}, estimate(0.2+float64(i%2)))
	}
	again, next := l.since(next)
	if len(again) != 1 || again[0].filling != "7" {
		t.Errorf("sent %v", again)
	}
	if none, _ := l.since(next); len(none) != 0 {
		t.Errorf("sent twice: %v", none)
	}
	if n := len(l.changes); n > 2*pairs+maxPairsPerAnswer+1 {
		t.Errorf("%d changes are kept of %d pairs", n, pairs)
	}
}
