package runner

import (
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// Two watchers of one image but of different jobs have different loads and tails. The one near
// its target must be kept below it, whatever the median of both is.
func TestWatchersOfOneImageAreProtectedSeparately(t *testing.T) {
	s := newSimulation(t)
	s.learnCosts("heavy", "light")
	s.orders[jobs.Ref{Job: "other"}] = jobs.Order{TargetMS: 50, Image: "watch"}
	for range 4 {
		s.now = s.now.Add(readingInterval)
		s.apply(s.p.next(s.now, []RunningRun{
			{Task: jobs.Ref{Job: "watch"}, Run: 1, Measured: 15}, {Task: jobs.Ref{Job: "watch", Index: 1}, Run: 1, Measured: 15},
			{Task: jobs.Ref{Job: "other"}, Run: 1, Measured: 70}, {Task: jobs.Ref{Job: "heavy"}, Run: 1, Measured: s.use("heavy") * milliPerProcessor}}, s.lookup))
	}
	if s.pace["heavy"] > 0 {
		t.Errorf("its pace is %d", s.pace["heavy"])
	}
}

// harmTime is how long filling work may keep a served task over its target.
const harmTime = 4 * time.Second

// newUnevenSimulation returns a worker with two watchers, the second with less headroom of its own.
func newUnevenSimulation(t *testing.T, lower float64) *simulation {
	s := newSimulation(t)
	s.learnCosts("heavy", "light")
	s.own = 2.6
	s.addWatcher(lower)
	return s
}

// Guards against a served task that is over its target for as long as its neighbour isn't. The
// second of two watchers has a higher load of its own.
func TestTaskIsProtectedWhateverItsNeighbourReads(t *testing.T) {
	for _, lower := range []float64{0.3, 0.6, 1.2} {
		s := newUnevenSimulation(t, lower)
		for range 20 {
			s.read()
		}
		if s.longest >= harmTime {
			t.Errorf("with %.1f less headroom the second watcher was over its target for %v on end, paces are %v", lower, s.longest, s.pace)
		}
	}
}

// Guards against a served task over its target for seconds since others of its job aren't. One
// of six watchers after the other has a burst of load for five seconds, while the load of all is
// such that the renders are just slowed.
func TestBurstsOfSingleTasksAreSeen(t *testing.T) {
	s := newSimulation(t)
	s.learnCosts("heavy", "light")
	s.own = 2.4
	for range 5 {
		s.addWatcher(0)
	}
	for i := range 120 { // a minute
		clear(s.lower)
		s.lower[i/10%6] = 0.9
		s.read()
		for k, since := range s.since {
			if d := s.now.Sub(since); !since.IsZero() && d >= harmTime {
				t.Fatalf("reading %d: watcher %d has been over its target for %v", i, k, d)
			}
		}
	}
}

// Guards against filling runs that the leader places beside a served task which can't bear them,
// since the agent reports what its neighbour can spare.
func TestLeaderIsToldTheSpareHeadroomOfTheWorstTask(t *testing.T) {
	spare := func(lower float64) float64 {
		s := newSimulation(t)
		s.learnCosts("light")
		s.renders = []string{"light"}
		s.addWatcher(lower)
		for range 4 {
			s.read()
		}
		readings, _ := s.p.report(s.now, func() map[runKey]string { return nil })
		return readings[len(readings)-1].SpareHeadroom
	}
	if alike, worse := spare(0), spare(1.2); worse > alike-0.3 {
		t.Errorf("the spare headroom beside two tasks that are alike is %.2f, with one that has 1.2 less it is %.2f", alike, worse)
	}
}

// Guards against a served task that is over its target again and again, until everything is
// stopped for it: its own load is higher than that of the others of its job for good.
func TestLastinglySlowerTaskIsSteered(t *testing.T) {
	for _, lower := range []float64{0.3, 0.6, 1.2} {
		s := newUnevenSimulation(t, lower)
		for range 80 {
			s.read()
		}
		s.longest = 0
		for range 40 {
			s.read()
		}
		if s.longest > 0 {
			t.Errorf("with %.1f less headroom the second watcher was still over its target after 40 s, for %v", lower, s.longest)
		}
		if s.pace["heavy"] == 0 || s.pace["light"] != fullPace {
			t.Errorf("with %.1f less headroom paces are %v", lower, s.pace)
		}
	}
}
