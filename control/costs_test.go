package control

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/ablation"
	"github.com/waxwinghaven/waxwinghaven/interference"
)

// tell sends a leader a renewal with one reading, and returns the pairs that it answers to
// an agent that knows none.
func tell(c *costs, worker string, now time.Time, r Reading) []PairCost {
	told, _ := c.observe(&LeaseRequest{WorkerRef: WorkerRef{Worker: worker}, Readings: []Reading{r}}, now)
	return told
}

// costsAfter feeds a leader readings of one worker, half a second apart, that each have
// these processors of a filling image in use.
func costsAfter(c *costs, worker, filling string, takes float64, processors ...float64) time.Time {
	start := time.Unix(100, 0)
	now := start
	for i, n := range processors {
		now = start.Add(time.Duration(i) * 500 * time.Millisecond)
		tell(c, worker, now, Reading{Image: "watch", Job: "a", AtMS: int64(i) * 500, Headroom: 3 - takes*n, Own: 3, Bears: 1.8, Runs: 2, Fillers: map[string]float64{filling: n}})
	}
	return now
}

// A render that takes much of a watcher's headroom begins beside it on one worker. Where
// else watchers of that image run, renders must not be put beside them any more: what one
// agent has seen counts on all workers with its next renewal.
func TestWhatOneWorkerShowedCountsOnAll(t *testing.T) {
	c := newCosts(ablation.Set{})
	now := costsAfter(c, "w1", "heavy", 0.15, 0, 8)
	if got := c.at(now).Cost("watch", "heavy"); got < 0.1 {
		t.Errorf("after one start it is taken for %.3f", got)
	}
	out := tell(c, "w2", now, Reading{Image: "watch", Job: "b", Headroom: 2, Own: 2, Fillers: map[string]float64{"heavy": 1}})
	if len(out) != 1 || out[0].Cost < 0.1 {
		t.Errorf("another agent is told %+v", out)
	}
}

// Readings of the same half second, of a time long before, or with other tasks than the
// last one had, say nothing of what a neighbour takes.
func TestOnlyStepsOfHalfASecondTeach(t *testing.T) {
	for name, next := range map[string]Reading{
		"overlapping": {AtMS: 200, Runs: 2},
		"long after":  {AtMS: 4000, Runs: 2},
		"other tasks": {AtMS: 500, Runs: 3},
	} {
		c := newCosts(ablation.Set{})
		now := time.Unix(100, 0)
		tell(c, "w1", now, Reading{Image: "watch", Job: "a", Headroom: 3, Own: 3, Runs: 2})
		next.Image, next.Job, next.Headroom, next.Own, next.Fillers = "watch", "a", 1, 3, map[string]float64{"heavy": 8}
		before := c.at(now).Cost("watch", "heavy")
		tell(c, "w1", now, next)
		if got := c.at(now).Cost("watch", "heavy"); got != before {
			t.Errorf("%s: it taught %.3f", name, got)
		}
	}
}

// A watcher's own load swings between a headroom of 1.7 and 3.9. What filling work may take
// of it is what the usual low leaves, and never more than its agent says that it bears now;
// what an agent said long ago, or of a worker that is gone, doesn't count.
//
// Without the forecast, as it is for a crew of which nothing was told yet.
func TestBoundIsTheUsualLowOrWhatTheAgentSays(t *testing.T) {
	c := newCosts(ablation.Set{Foresight: true})
	now := time.Unix(100, 0)
	for i := range 120 {
		now = now.Add(500 * time.Millisecond)
		own := 2.8 + 1.1*math.Sin(2*math.Pi*float64(i)/28)
		tell(c, "w1", now, Reading{Image: "watch", Job: "a", AtMS: int64(i) * 500, Headroom: own, Own: own, Bears: 2.5})
	}
	usual := c.at(now).Bound("w2", "watch")
	if usual < 0.7 || usual > 1.3 {
		t.Errorf("the usual low leaves %.2f", usual)
	}
	if got := c.at(now).Bound("w1", "watch"); got != usual {
		t.Errorf("an agent that says 2.5 raises it to %.2f", got)
	}
	tell(c, "w1", now, Reading{Image: "watch", Job: "b", Headroom: 1.4, Own: 1.4, Bears: 0.3})
	if got := c.at(now).Bound("w1", "watch"); got != 0.3 {
		t.Errorf("beside a job that bears 0.3 it is %.2f", got)
	}
	if got := c.at(now.Add(groupTTL+time.Second)).Bound("w1", "watch"); got < 0.7 {
		t.Errorf("what was said long ago still counts: %.2f", got)
	}
	tell(c, "w3", now, Reading{Image: "watch", Job: "c", Headroom: 1.4, Own: 1.4, Bears: 0.2})
	c.expire(now.Add(groupTTL / 2))
	if got := c.at(now).Bound("w3", "watch"); got != 0.2 {
		t.Errorf("what was just said is swept out: %.2f", got)
	}
	c.expire(now.Add(groupTTL + time.Second))
	if got := c.at(now).Bound("w3", "watch"); got < 0.7 || len(c.groups) > 0 {
		t.Errorf("a worker that is gone still counts: %.2f, %d workers are kept", got, len(c.groups))
	}
}

// A new leader knows nothing. The agents tell it what the last one had told them, and it
// plans by that at once.
func TestANewLeaderTakesOverWhatAgentsKnow(t *testing.T) {
	old := newCosts(ablation.Set{})
	now := costsAfter(old, "w1", "heavy", 0.15, 0, 8, 0, 8)
	told := tell(old, "w1", now, Reading{Image: "watch", Job: "a", AtMS: 9000, Headroom: 2, Own: 3, Fillers: map[string]float64{"heavy": 8}})
	fresh := newCosts(ablation.Set{})
	fresh.observe(&LeaseRequest{WorkerRef: WorkerRef{Worker: "w1"}, Known: told}, now)
	if got, want := fresh.at(now).Cost("watch", "heavy"), old.at(now).Cost("watch", "heavy"); got != want {
		t.Errorf("the new leader takes it for %.3f, the old one for %.3f", got, want)
	}
}

// An agent gets each pair once, again when it has changed, and never more at a time than
// fits an answer. Without that, the pairs of a large service would be sent in full every
// 0.7 s.
func TestAgentsAreToldWhatChanged(t *testing.T) {
	l := newPairLog()
	estimate := func(mean float64) interference.Estimate { return interference.Estimate{Mean: mean, Seen: 1} }
	const pairs = maxPairsPerAnswer + 30
	for i := range pairs {
		l.record(pairName{"watch", fmt.Sprint(i)}, estimate(0.1))
	}
	first, next := l.since(0)
	rest, next := l.since(next)
	if len(first) != maxPairsPerAnswer || len(rest) != pairs-maxPairsPerAnswer {
		t.Fatalf("told %d and %d of %d", len(first), len(rest), pairs)
	}
	l.record(pairName{"watch", "7"}, estimate(0.101))
	if again, _ := l.since(next); len(again) != 0 {
		t.Errorf("told again of what has not changed: %v", again)
	}
	for i := range 1000 {
		l.record(pairName{"watch", "7"}, estimate(0.2+float64(i%2)))
	}
	again, next := l.since(next)
	if len(again) != 1 || again[0].filling != "7" {
		t.Errorf("told of %v", again)
	}
	if none, _ := l.since(next); len(none) != 0 {
		t.Errorf("told twice of %v", none)
	}
	if n := len(l.changes); n > 2*pairs+maxPairsPerAnswer+1 {
		t.Errorf("%d changes are kept of %d pairs", n, pairs)
	}
}
