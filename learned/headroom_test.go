package learned

import (
	"math"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/ablation"
)

// reportSwing sends one minute of readings of a serving group whose headroom swings, and returns
// the time of the last reading.
func reportSwing(c *Costs, worker string, phase float64) time.Time {
	now := time.Unix(100, 0)
	for i := range 120 {
		now = now.Add(500 * time.Millisecond)
		own := 2.8 + 1.1*math.Sin(2*math.Pi*float64(i)/28+phase)
		report(c, worker, now, Reading{Image: "watch", Job: worker, AtMS: int64(i) * 500, Headroom: own, Own: own, SpareHeadroom: own - 1.05})
	}
	return now
}

// Guards against placing by the current headroom alone. Two workers have the same headroom now,
// but the load is about to rise on one and to fall on the other: a run placed on the first is
// slowed to zero a second later and moved, while on the second it fits for its whole duration.
func TestRunsGoWhereTheLoadIsAboutToFall(t *testing.T) {
	const toRise, toFall = math.Pi - 0.3, 0.3 // phases of falling and rising sines at the end of the minute
	c := NewCosts(ablation.Set{})
	turns := 2 * math.Pi * 119 / 28
	reportSwing(c, "w1", toRise-turns)
	now := reportSwing(c, "w2", toFall-turns)
	before, after := c.At(now).HeadroomBudget("w1", "watch"), c.At(now).HeadroomBudget("w2", "watch")
	if before > 0.9 || after < 1.6 {
		t.Errorf("%.2f may be taken before the load rises, %.2f before it falls", before, after)
	}
	blind := NewCosts(ablation.Set{Foresight: true})
	reportSwing(blind, "w1", toRise-turns)
	reportSwing(blind, "w2", toFall-turns)
	if a, b := blind.At(now).HeadroomBudget("w1", "watch"), blind.At(now).HeadroomBudget("w2", "watch"); math.Abs(a-b) > 0.1 {
		t.Errorf("without the forecast they differ by %.2f and %.2f", a, b)
	}
}

// After an agent's restart its clock starts over, so earlier readings cannot be related to new
// ones. The forecast must restart from the image's usual level.
func TestAgentRestartResetsTheForecast(t *testing.T) {
	c := NewCosts(ablation.Set{})
	now := reportSwing(c, "w1", 0)
	usual := c.At(now).HeadroomBudget("nobody", "watch")
	const mean = 2.8 - minHeadroom
	report(c, "w1", now, Reading{Image: "watch", Job: "w1", AtMS: 10, Headroom: 2.8, Own: 2.8, SpareHeadroom: 5})
	for at := range 3 {
		later := now.Add(time.Duration(at) * time.Second)
		if got := c.At(later).HeadroomBudget("w1", "watch"); got < usual-0.1 || got > mean {
			t.Errorf("%d s later: %.2f may be taken after the agent's start, usually %.2f, on average %.2f", at, got, usual, mean)
		}
	}
}
