package control

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/learned"
	"github.com/waxwinghaven/waxwinghaven/lessons"
)

// lessonsInterval is how often the leader commits lessons: a few hundred bytes a second while
// much is new, almost nothing later.
const lessonsInterval = 3 * time.Second

// restoreLessons gives a new leader the lessons of earlier ones for everything unknown to it.
func (d *dispatcher) restoreLessons() {
	var all lessons.Update
	d.r.machine.Read(func(s *State) { all = s.Lessons.All() })
	d.costs.Restore(all)
	d.durationModel.Restore(all.Durations)
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
	u := d.lessonWriter.Next(d.costs, d.durationModel)
	if u.Empty() {
		return
	}
	if _, err := d.r.propose(Command{Lessons: &u}); err != nil {
		d.lessonWriter = learned.NewLessonWriter() // everything is sent again next time
		logrus.Infof("control: Could not commit %d lessons: %v.", len(u.Pairs)+len(u.Levels)+len(u.Durations), err)
	}
}
