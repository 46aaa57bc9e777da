package learned

import (
	"math"

	"github.com/waxwinghaven/waxwinghaven/interference"
	"github.com/waxwinghaven/waxwinghaven/lessons"
)

// minLessonChange is the change of a level or duration that is committed, as a fraction of
// its standard deviation.
const minLessonChange = 0.25

// LessonWriter tracks the lessons that this leader has committed. It is not safe for concurrent use.
type LessonWriter struct {
	pairs     pairLog
	revision  uint64 // of pairs, up to which they are committed
	levels    map[string]lessons.Level
	durations map[string]lessons.Duration
}

// NewLessonWriter returns a writer for which nothing has been committed yet.
func NewLessonWriter() *LessonWriter {
	return &LessonWriter{pairs: newPairLog(), levels: make(map[string]lessons.Level), durations: make(map[string]lessons.Duration)}
}

// Next returns the lessons that have changed enough to be committed, and counts them as committed.
func (w *LessonWriter) Next(c *Costs, l *DurationModel) (u lessons.Update) {
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
	for _, now := range l.Lessons() {
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
