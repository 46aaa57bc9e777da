package runner

import (
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// stage is a worker with one watcher and two renders of different images, whose
// tail is up to the test.
type stage struct {
	p      *pacer
	now    time.Time
	orders map[jobs.Ref]jobs.Order
	pace   map[string]int // as the worker was told, by image
	fresh  bool           // a third render of an image of its own is at work
}

func newStage() *stage {
	s := &stage{p: newPacer(), now: time.Unix(0, 0), orders: make(map[jobs.Ref]jobs.Order), pace: map[string]int{"heavy": 100, "light": 100}}
	s.orders[jobs.Ref{Job: "watch"}] = jobs.Order{TargetMS: 50, Image: "watch"}
	s.orders[jobs.Ref{Job: "heavy"}] = jobs.Order{Fills: true, Image: "heavy"}
	s.orders[jobs.Ref{Job: "light"}] = jobs.Order{Fills: true, Image: "light"}
	s.orders[jobs.Ref{Job: "fresh"}] = jobs.Order{Fills: true, Image: "fresh"}
	return s
}

func (s *stage) read(tail float64) { s.readAfter(readingSpan, tail) }

func (s *stage) readAfter(d time.Duration, tail float64) {
	s.now = s.now.Add(d)
	running := []RunningRun{{Task: jobs.Ref{Job: "watch"}, Run: 1, Figure: tail}, {Task: jobs.Ref{Job: "heavy"}, Run: 1}, {Task: jobs.Ref{Job: "light"}, Run: 1}}
	if s.fresh {
		running = append(running, RunningRun{Task: jobs.Ref{Job: "fresh"}, Run: 1})
	}
	calls := s.p.next(s.now, running, func(r jobs.Ref, _ uint32) (jobs.Order, bool) { o, ok := s.orders[r]; return o, ok })
	for _, c := range calls {
		s.pace[c.Task.Job] = c.Percent
	}
}

// A watcher's tail swings by itself up to its target. Slowing renders for that
// gained nobody anything and made them late.
func TestPaceLeavesASwingingTailAlone(t *testing.T) {
	s := newStage()
	for _, tail := range []float64{18, 30, 46, 40, 20, 45} {
		s.read(tail)
	}
	if s.pace["heavy"] != 100 || s.pace["light"] != 100 {
		t.Errorf("paces are %v", s.pace)
	}
}

// A render's image is known to disturb the watcher. When the tail is far over the
// target that image stops at once, and the other goes on.
func TestPaceStopsTheLikelyCulpritAtOnce(t *testing.T) {
	s := newStage()
	s.p.learn([]control.PairCost{{Serving: "watch", Filling: "heavy", Cost: 1.5}, {Serving: "watch", Filling: "light", Cost: 0.01}})
	s.read(300)
	if s.pace["heavy"] != 0 || s.pace["light"] != 100 {
		t.Errorf("paces are %v", s.pace)
	}
}

// Nobody knows who disturbs. The watcher may not be over its target for four
// seconds on end because of renders: two seconds before that, all must stand.
func TestPaceStopsEverythingWithinTwoSeconds(t *testing.T) {
	s := newStage()
	s.p.learn([]control.PairCost{{Serving: "watch", Filling: "light", Cost: 1.5}, {Serving: "watch", Filling: "heavy", Cost: 0.01}})
	begun := s.now
	for s.pace["heavy"] != 0 || s.pace["light"] != 0 {
		s.read(60)
		if s.now.Sub(begun) > 2*time.Second {
			t.Fatalf("after %v paces are %v", s.now.Sub(begun), s.pace)
		}
	}
}

// What disturbs comes in spurts. A render that was stopped is tried again soon,
// and later each time it has to be stopped again.
func TestPaceIsGivenBackSoonAndLaterEachTime(t *testing.T) {
	s := newStage()
	s.p.learn([]control.PairCost{{Serving: "watch", Filling: "heavy", Cost: 1.5}, {Serving: "watch", Filling: "light", Cost: 0.01}})
	back := func() time.Duration {
		s.read(300)
		from := s.now
		for s.pace["heavy"] != 100 {
			s.read(20)
			if s.now.Sub(from) > 20*time.Second {
				t.Fatal("the pace is never given back")
			}
		}
		return s.now.Sub(from)
	}
	first, second, third := back(), back(), back()
	if first > 2*time.Second || second <= first || third <= second {
		t.Errorf("given back after %v, %v, %v", first, second, third)
	}
}

// A call that sets a pace goes unanswered: it must be made again, or the render
// works on at full pace while everybody believes that it stands.
func TestUnansweredPaceIsSetAgain(t *testing.T) {
	s := newStage()
	s.read(300)
	s.pace["heavy"] = 100 // the call was lost
	s.p.failed(PaceCall{Task: jobs.Ref{Job: "heavy"}, Run: 1})
	s.read(300)
	if s.pace["heavy"] != 0 {
		t.Errorf("paces are %v", s.pace)
	}
}

func TestReportNamesReadingsAndStalledRuns(t *testing.T) {
	s := newStage()
	images := func() map[runKey]string {
		return map[runKey]string{{jobs.Ref{Job: "heavy"}, 1}: "heavy", {jobs.Ref{Job: "light"}, 1}: "light"}
	}
	s.read(20)
	readings, stalled := s.p.report(s.now, images)
	if len(readings) != 1 || readings[0].Fillers["heavy"] != 1 || readings[0].TailMS != 20 || len(stalled) != 0 {
		t.Errorf("reported %+v and %v", readings, stalled)
	}
	s.read(300) // still at full pace when it was read
	s.p.report(s.now, images)
	for range 5 {
		s.read(46) // within the target, but not calm: nothing is let go yet
	}
	readings, stalled = s.p.report(s.now, images)
	if len(stalled) != 2 {
		t.Errorf("%d runs are told to stand still", len(stalled))
	}
	for _, r := range readings {
		if len(r.Fillers) > 0 {
			t.Errorf("a reading counts runs that stand: %+v", r)
		}
	}
}

// A worker is unwell: its served tails are far too long whatever fills there. Held at
// a stand for good the filling runs gain nobody anything, and readings taught as their
// doing keep them off every other worker. But that judgement may be wrong, so they must
// not work on for as long as would be held against them.
func TestUnwellWorkerIsNotBlamedOnFillingRuns(t *testing.T) {
	s := newStage()
	worked, longest, row := 0, 0, 0
	for range 60 { // half a minute
		s.read(300)
		if s.pace["heavy"] > 0 {
			worked++
			row++
		} else {
			row = 0
		}
		longest = max(longest, row)
	}
	if !s.p.ailing() || worked < 20 {
		t.Errorf("the runs worked for %d of 60 readings, ailing %v", worked, s.p.ailing())
	}
	if span := time.Duration(longest) * readingSpan; span > 3*time.Second {
		t.Errorf("they worked on for %v while the served task was over its target", span)
	}
	if readings, _ := s.p.report(s.now, func() map[runKey]string { return nil }); len(readings) > 0 {
		t.Errorf("%d readings of an unwell worker are taught", len(readings))
	}
	for range 3 {
		s.read(20)
	}
	if s.p.ailing() {
		t.Error("it is taken to be unwell for ever")
	}
}

// A watcher's tail is too long for a moment with every render at a stand. A new render
// comes, disturbs and is stopped, and the next reading still has half a second of it in
// it. Taken for a sign that the worker is unwell, it would let everything work again for
// seconds while the watcher is over its target.
func TestAStoppedRendersLastReadingIsNoSignOfAnUnwellWorker(t *testing.T) {
	s := newStage()
	for s.pace["heavy"] != 0 || s.pace["light"] != 0 {
		s.read(60)
	}
	for range 3 {
		s.read(56)
	}
	s.fresh, s.pace["fresh"] = true, 100
	s.read(250)
	if s.pace["fresh"] != 0 {
		t.Fatalf("paces are %v", s.pace)
	}
	s.read(82)
	if s.p.ailing() || s.pace["heavy"]+s.pace["light"]+s.pace["fresh"] != 0 {
		t.Fatalf("ailing %v, paces are %v", s.p.ailing(), s.pace)
	}
}

// Readings come up to 0.8 s apart. However they come, renders beside a watcher that is
// over its target must not work on for three of the four seconds that it may be.
func TestRendersStandInTimeHoweverReadingsCome(t *testing.T) {
	for _, every := range []time.Duration{150, 250, 400, 600, 800} {
		every *= time.Millisecond
		s := newStage()
		var since time.Time
		for range 200 {
			s.readAfter(every, 300)
			if s.pace["heavy"]+s.pace["light"] == 0 {
				since = time.Time{}
				continue
			}
			if since.IsZero() {
				since = s.now
			}
			if d := s.now.Sub(since) + every; d > 3*time.Second {
				t.Fatalf("with a reading each %v they work on for %v", every, d)
			}
		}
	}
}
