package control

import (
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/learned"
)

// After a loss of power everywhere, the new leader must know the costs of pairs, the served
// image's usual headroom and the error of the queue's declared durations before the first reading
// arrives. The agents have lost that knowledge too and must get it.
func TestLessonsOutliveALossOfAllPower(t *testing.T) {
	c := newCluster(t)
	c.prepareJobs(4)
	d := c.replicas[c.leader()].dispatcher
	for i, n := range []float64{0, 8, 0, 8} { // processors of the filling image in use, each half a second
		r := learned.Reading{Image: "watch", Job: "a", AtMS: int64(i) * 500, Headroom: 3 - 0.15*n, Own: 3, SpareHeadroom: 1.8, Runs: 2, Fillers: map[string]float64{"heavy": n}}
		d.costs.Observe(learned.Report{Worker: "w", Readings: []learned.Reading{r}}, time.Unix(100, 0).Add(time.Duration(i)*500*time.Millisecond))
	}
	measured := &jobs.State{Jobs: map[string]*jobs.Job{"m": {Host: "a.example", Prefix: "/watch/", Spec: jobs.Spec{Steps: []jobs.Step{{EstimateMS: 100}}}}}}
	for range 20 {
		d.durationModel.Record(measured, jobs.End{Task: jobs.Ref{Job: "m"}, WorkMS: 400})
	}
	want := d.costs.At(time.Now()).Cost("watch", "heavy")
	c.wait("the lessons are committed", func() (committed bool) {
		d.r.machine.Read(func(s *State) {
			all := s.Lessons.All()
			committed = len(all.Pairs)*len(all.Levels)*len(all.Durations) > 0
		})
		return committed
	})
	for i := range c.replicas {
		c.stop(i)
	}
	for i := range c.replicas {
		c.start(i)
	}
	c.wait("the next leader restores the lessons", func() bool {
		l := c.leader()
		return l >= 0 && c.replicas[l].dispatcher.leads() && c.replicas[l].dispatcher.costs.At(time.Now()).Cost("watch", "heavy") == want
	})
	d = c.replicas[c.leader()].dispatcher
	if ms := d.durationModel.Expect("a.example/watch/", 100); ms < 300 || ms > 500 {
		t.Errorf("a task declared at 100 ms is expected to take %.0f", ms)
	}
	if usual := d.costs.At(time.Now()).HeadroomBudget("nobody", "watch"); usual < 1.5 {
		t.Errorf("the served image's usual spare headroom is %.2f", usual)
	}
	pairs, _ := d.costs.Observe(learned.Report{Worker: "w2"}, time.Now())
	if len(pairs) != 1 || pairs[0].Cost != want {
		t.Errorf("an agent gets %+v", pairs)
	}
}
