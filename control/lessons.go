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
	// lessonsEvery is the interval at which the leader commits what it has learned: a few
	// hundred bytes a second while much is new, next to nothing later.
	lessonsEvery = 3 * time.Second
	// moved is how far a level or a duration moves until it is committed anew, as a part
	// of its spread.
	moved = 0.25
)

// teacher knows which lessons this leader has committed.
type teacher struct {
	pairs     pairLog
	revision  uint64 // of pairs, up to which they are committed
	levels    map[string]lessons.Level
	durations map[string]lessons.Duration
}

func newTeacher() *teacher {
	return &teacher{pairs: newPairLog(), levels: make(map[string]lessons.Level), durations: make(map[string]lessons.Duration)}
}

// recall gives a new leader what earlier ones have learned, where it knows nothing itself.
func (d *dispatcher) recall() {
	var all lessons.Update
	d.r.machine.Read(func(s *State) { all = s.Lessons.All() })
	d.costs.recall(all)
	d.learned.recall(all.Durations)
	if !all.Empty() {
		logrus.WithFields(logrus.Fields{"pairs": len(all.Pairs), "levels": len(all.Levels), "durations": len(all.Durations)}).Info("control: Took over what earlier leaders had learned.")
	}
}

// teaching commits lessons while this replica leads. Passes don't wait for it.
func (d *dispatcher) teaching(ctx context.Context) error {
	tick := time.NewTicker(lessonsEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			if d.leads() {
				d.teach()
			}
		}
	}
}

// teach commits what was learned since the last time.
func (d *dispatcher) teach() {
	if d.r.without.Lessons {
		return
	}
	u := d.teacher.next(d.costs, d.learned)
	if u.Empty() {
		return
	}
	if _, err := d.r.propose(Command{Lessons: &u}); err != nil {
		d.teacher = newTeacher() // all of it is sent again with the next
		logrus.Infof("control: Could not commit %d lessons: %v.", len(u.Pairs)+len(u.Levels)+len(u.Durations), err)
	}
}

// next returns what has changed enough to be committed.
func (t *teacher) next(c *costs, l *learned) (u lessons.Update) {
	c.mu.Lock()
	c.pressures.Each(func(serving, filling string, e interference.Estimate) {
		if e.Seen > 0 {
			t.pairs.note(pairName{serving, filling}, e)
		}
	})
	names, next := t.pairs.since(t.revision)
	t.revision = next
	for _, n := range names {
		e := c.pressures.Of(n.serving, n.filling)
		u.Pairs = append(u.Pairs, lessons.Pair{Serving: n.serving, Filling: n.filling, Mean: e.Mean, Var: e.Var, Seen: e.Seen})
	}
	for image, x := range c.levels {
		now := lessons.Level{Image: image, Mean: x.mean, Square: x.square, N: x.n}
		if old, known := t.levels[image]; !known || differs(old.Mean, x.mean, x.variance()) {
			t.levels[image] = now
			u.Levels = append(u.Levels, now)
		}
	}
	c.mu.Unlock()
	for _, now := range l.lessons() {
		old, known := t.durations[now.Queue]
		if !known || differs(old.Actual, now.Actual, now.ActualSquare-now.Actual*now.Actual) || differs(old.Miss, now.Miss, now.MissSquare-now.Miss*now.Miss) {
			t.durations[now.Queue] = now
			u.Durations = append(u.Durations, now)
		}
	}
	return u
}

// differs reports whether a mean has moved by much, against its spread.
func differs(old, now, variance float64) bool {
	return math.Abs(now-old) > moved*math.Sqrt(math.Max(variance, 0))
}
