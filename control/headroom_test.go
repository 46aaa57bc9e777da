package control

import (
	"math"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/ablation"
)

// swingOf tells a leader for a minute of a crew whose headroom swings, and returns the time
// of the last reading.
func swingOf(c *costs, worker string, phase float64) time.Time {
	now := time.Unix(100, 0)
	for i := range 120 {
		now = now.Add(500 * time.Millisecond)
		own := 2.8 + 1.1*math.Sin(2*math.Pi*float64(i)/28+phase)
		tell(c, worker, now, Reading{Image: "watch", Job: worker, AtMS: int64(i) * 500, Headroom: own, Own: own, Bears: own - 1.05})
	}
	return now
}

// Two workers serve alike at this moment. On one the load is about to rise, on the other to
// fall: a run that comes to the first is slowed to nothing a second later and moved, on the
// second it has room for all of its stay. Placing must know the difference.
func TestRunsGoWhereTheLoadIsAboutToFall(t *testing.T) {
	const toRise, toFall = math.Pi - 0.3, 0.3 // at the end of the minute, of sines that fall and rise
	c := newCosts(ablation.Set{})
	turns := 2 * math.Pi * 119 / 28
	swingOf(c, "w1", toRise-turns)
	now := swingOf(c, "w2", toFall-turns)
	before, after := c.at(now).Bound("w1", "watch"), c.at(now).Bound("w2", "watch")
	if before > 0.9 || after < 1.6 {
		t.Errorf("%.2f may be taken before the load rises, %.2f before it falls", before, after)
	}
	blind := newCosts(ablation.Set{Foresight: true})
	swingOf(blind, "w1", toRise-turns)
	swingOf(blind, "w2", toFall-turns)
	if a, b := blind.at(now).Bound("w1", "watch"), blind.at(now).Bound("w2", "watch"); math.Abs(a-b) > 0.1 {
		t.Errorf("without the forecast they differ by %.2f and %.2f", a, b)
	}
}

// The agent starts again, and its clock with it. What its crews did before can't be told in
// the new clock's times; the forecast begins anew with what the image usually does.
func TestAnotherLifeOfTheAgentBeginsTheForecastAnew(t *testing.T) {
	c := newCosts(ablation.Set{})
	now := swingOf(c, "w1", 0)
	usual := c.at(now).Bound("nobody", "watch")
	const mean = 2.8 - minHeadroom
	tell(c, "w1", now, Reading{Image: "watch", Job: "w1", AtMS: 10, Headroom: 2.8, Own: 2.8, Bears: 5})
	for at := range 3 {
		later := now.Add(time.Duration(at) * time.Second)
		if got := c.at(later).Bound("w1", "watch"); got < usual-0.1 || got > mean {
			t.Errorf("%d s later: %.2f may be taken after the agent's start, usually %.2f, on average %.2f", at, got, usual, mean)
		}
	}
}
