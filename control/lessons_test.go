package control

import (
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/ablation"
	"github.com/waxwinghaven/waxwinghaven/lessons"
)

// After a loss of power everywhere, the new leader must know the costs of pairs, the served
// image's usual headroom and the error of the queue's declared durations before the first reading
// arrives. The agents have lost that knowledge too and must get it.
func TestLessonsOutliveALossOfAllPower(t *testing.T) {
	c := newCluster(t)
	c.prepareJobs(4)
	d := c.replicas[c.leader()].dispatcher
	reportFillers(d.costs, "w", "heavy", 0.15, 0, 8, 0, 8)
	for range 20 {
		d.durationModel.durations.Record("a.example/watch/", 100, 400)
	}
	want := d.costs.at(time.Now()).Cost("watch", "heavy")
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
		return l >= 0 && c.replicas[l].dispatcher.leads() && c.replicas[l].dispatcher.costs.at(time.Now()).Cost("watch", "heavy") == want
	})
	d = c.replicas[c.leader()].dispatcher
	if ms := d.durationModel.Expect("a.example/watch/", 100); ms < 300 || ms > 500 {
		t.Errorf("a task declared at 100 ms is expected to take %.0f", ms)
	}
	if usual := d.costs.usualSpare("watch"); usual < 1.5 {
		t.Errorf("the served image's usual spare headroom is %.2f", usual)
	}
	pairs, _ := d.costs.observe(&LeaseRequest{WorkerRef: WorkerRef{Worker: "w2"}}, time.Now())
	if len(pairs) != 1 || pairs[0].Cost != want {
		t.Errorf("an agent gets %+v", pairs)
	}
}

// Only changed lessons are committed, and restored ones never replace what a leader has observed
// itself.
func TestOnlyNewLessonsAreCommitted(t *testing.T) {
	c, l, writer := newCosts(ablation.Set{}), newDurationModel(), newLessonWriter()
	reportFillers(c, "w", "heavy", 0.15, 0, 8, 0, 8)
	first := writer.next(c, l)
	if len(first.Pairs) != 1 || len(first.Levels) != 1 || len(first.Durations) != 0 {
		t.Fatalf("the first lessons are %+v", first)
	}
	if again := writer.next(c, l); !again.Empty() {
		t.Errorf("without a change: %+v", again)
	}
	before := c.at(time.Now()).Cost("watch", "heavy")
	c.restore(lessons.Update{Pairs: []lessons.Pair{{Serving: "watch", Filling: "heavy", Mean: 0.4, Var: 0.001, Seen: 9}}})
	if got := c.at(time.Now()).Cost("watch", "heavy"); got != before {
		t.Errorf("an observed cost of %.3f became %.3f by an older lesson", before, got)
	}
}
