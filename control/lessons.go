package control

import (
	"context"
	"math"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/interference"
	"github.com/waxwinghaven/waxwinghaven/lessons"
)

const (
	// lessonsInterval is how often the leader commits lessons: a few hundred bytes a second while
	// much is new, almost nothing later.
	lessonsInterval = 3 * time.Second
	// minLessonChange is the change of a level or duration that is committed, as a fraction of
	// its standard deviation.
	minLessonChange = 0.25
)

// lessonWriter tracks the lessons that this leader has committed.
type lessonWriter struct {
	pairs     pairLog
	revision  uint64 // of pairs, up to which they are committed
	levels    map[string]lessons.Level
	durations map[string]lessons.Duration
}

func newLessonWriter() *lessonWriter {
	return &lessonWriter{pairs: newPairLog(), levels: make(map[string]lessons.Level), durations: make(map[string]lessons.Duration)}
}

// restoreLessons gives a new leader the lessons of earlier ones for everything unknown to it.
func (d *dispatcher) restoreLessons() {
	var all lessons.Update
	d.r.machine.Read(func(s *State) { all = s.Lessons.All() })
	d.costs.restore(all)
	d.durationModel.restore(all.Durations)
	if !all.Empty() {
		logrus.WithFields(logrus.Fields{"pairs": len(all.Pairs), "levels": len(all.Levels), "durations": len(all.Durations)}).Info("control: Restored the lessons of earlier leaders.")
	}
}

// runLessons commits lessons periodically while this replica leads, without delaying dispatch.
func (d *dispatcher) runLessons(ctx context.Context) error {
	tick := time.NewTicker(lessonsInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			if d.leads() {
				d.commitLessons()
			}
		}
	}
}

// commitLessons commits the lessons that have changed since the last commit.
func (d *dispatcher) commitLessons() {
	if d.r.without.Lessons {
		return
	}
	u := d.lessonWriter.next(d.costs, d.durationModel)
	if u.Empty() {
		return
	}
	if _, err := d.r.propose(Command{Lessons: &u}); err != nil {
		d.lessonWriter = newLessonWriter() // everything is sent again next time
		logrus.Infof("control: Could not commit %d lessons: %v.", len(u.Pairs)+len(u.Levels)+len(u.Durations), err)
	}
}

// next returns the lessons that have changed enough to be committed.
func (w *lessonWriter) next(c *costs, l *durationModel) (u lessons.Update) {
	c.mu.Lock()
	c.pressures.Each(func(serving, filling string, e interference.Estimate) {
		if e.Seen > 0 {
			w.pairs.record(pairName{serving, filling}, e)
		}
	})
	names, next := w.pairs.since(w.revision)
	w.revision = next
	for _, n := range names {
		e := c.pressures.Of(n.serving, n.filling)
		u.Pairs = append(u.Pairs, lessons.Pair{Serving: n.serving, Filling: n.filling, Mean: e.Mean, Var: e.Var, Seen: e.Seen})
	}
	for image, x := range c.levels {
		now := lessons.Level{Image: image, Mean: x.mean, Square: x.square, N: x.n}
		if old, known := w.levels[image]; !known || differs(old.Mean, x.mean, x.variance()) {
			w.levels[image] = now
			u.Levels = append(u.Levels, now)
		}
	}
	c.mu.Unlock()
	for _, now := range l.lessons() {
		old, known := w.durations[now.Queue]
		if !known || differs(old.Actual, now.Actual, now.ActualSquare-now.Actual*now.Actual) || differs(old.Miss, now.Miss, now.MissSquare-now.Miss*now.Miss) {
			w.durations[now.Queue] = now
			u.Durations = append(u.Durations, now)
		}
	}
	return u
}

// differs reports whether a mean has changed considerably relative to its standard deviation.
func differs(old, now, variance float64) bool {
	return math.Abs(now-old) > minLessonChange*math.Sqrt(math.Max(variance, 0))
}
