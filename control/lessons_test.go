package control

import (
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/ablation"
	"github.com/waxwinghaven/waxwinghaven/lessons"
)

// Power is lost everywhere. Whoever leads then knows what a render takes of a watcher's
// headroom, how much the watcher has, and how far the queue's declarations are off, before a
// single reading has come; the agents, which knew it too, have lost it as well and are told.
func TestLessonsOutliveALossOfAllPower(t *testing.T) {
	c := newCluster(t)
	c.prepareJobs(4)
	d := c.replicas[c.leader()].dispatcher
	costsAfter(d.costs, "w", "heavy", 0.15, 0, 8, 0, 8)
	for range 20 {
		d.durations.durations.Note("a.example/watch/", 100, 400)
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
	c.wait("the next leader takes the lessons over", func() bool {
		l := c.leader()
		return l >= 0 && c.replicas[l].dispatcher.leads() && c.replicas[l].dispatcher.costs.at(time.Now()).Cost("watch", "heavy") == want
	})
	d = c.replicas[c.leader()].dispatcher
	if ms := d.durations.Expect("a.example/watch/", 100); ms < 300 || ms > 500 {
		t.Errorf("a task declared at 100 ms is expected to take %.0f", ms)
	}
	if usual := d.costs.usualSpare("watch"); usual < 1.5 {
		t.Errorf("the watcher is taken to have %.2f of headroom to spare", usual)
	}
	told, _ := d.costs.observe(&LeaseRequest{WorkerRef: WorkerRef{Worker: "w2"}}, time.Now())
	if len(told) != 1 || told[0].Cost != want {
		t.Errorf("an agent is told %+v", told)
	}
}

// Only what has changed is committed, and nothing over what a leader has seen itself.
func TestOnlyNewLessonsAreCommitted(t *testing.T) {
	c, l, teacher := newCosts(ablation.Set{}), newDurationModel(), newLessonWriter()
	costsAfter(c, "w", "heavy", 0.15, 0, 8, 0, 8)
	first := teacher.next(c, l)
	if len(first.Pairs) != 1 || len(first.Levels) != 1 || len(first.Durations) != 0 {
		t.Fatalf("the first lessons are %+v", first)
	}
	if again := teacher.next(c, l); !again.Empty() {
		t.Errorf("without a change: %+v", again)
	}
	before := c.at(time.Now()).Cost("watch", "heavy")
	c.restore(lessons.Update{Pairs: []lessons.Pair{{Serving: "watch", Filling: "heavy", Mean: 0.4, Var: 0.001, Seen: 9}}})
	if got := c.at(time.Now()).Cost("watch", "heavy"); got != before {
		t.Errorf("what was seen as %.3f became %.3f by an older lesson", before, got)
	}
}
