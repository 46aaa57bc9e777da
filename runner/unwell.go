package runner

import "time"

const (
	// overFrom is the tail, as a part of its target, from which it counts as too long,
	// and calmUnder the one under which a worker counts as well again.
	overFrom  = 1.0
	calmUnder = 0.9
	// overTime is how long a tail may be too long on end before all filling runs
	// stop, and not only the likely culprits: one second of the four that it may be too
	// long because of them.
	overTime = time.Second
	// ailingTime is how long a tail is too long on end, with nothing that fills at
	// work all the while, until the worker itself is taken to be unwell. A reading
	// has the last half second in it, and a pace takes up to 0.1 s to take effect.
	ailingTime = 1800 * time.Millisecond
	// unwellTime is how long on end filling runs may work beside a tail that is too
	// long on a worker that seems to be unwell. The judgement may be wrong: a pace
	// takes effect late, or its call was lost. With a reading each 0.8 s at the
	// latest, they stand again after 2.3 s of the four.
	unwellTime = 1500 * time.Millisecond
)

// judgement tells a worker that is unwell, whose tails are too long whatever fills beside
// them, from one where filling runs disturb. It is pure.
type judgement struct {
	over   time.Time // since when a tail is too long on end, zero if none is
	alone  time.Time // since when, of that, nothing filling is at work
	unwell bool      // tails were too long with nothing filling at work
}

// command is what a judgement says of the filling runs.
type command uint8

const (
	steerAll command = iota // each at the pace that the tails bear
	stopAll                 // none may work
	freeAll                 // all may work: it makes no difference
)

// note takes in the worst tail as a part of its target.
func (j *judgement) note(now time.Time, worst float64, nothingFills bool) command {
	if worst <= overFrom {
		j.over, j.alone = time.Time{}, time.Time{}
		j.unwell = j.unwell && worst >= calmUnder
		return j.command(now)
	}
	if j.over.IsZero() {
		j.over = now
	}
	switch {
	case !nothingFills:
		j.alone = time.Time{}
	case j.alone.IsZero():
		j.alone = now
	case now.Sub(j.alone) >= ailingTime:
		// Held at a stand on a worker that is unwell, filling runs would be moved one
		// after the other, and its readings be taught as the doing of whatever filled
		// there. So they work again for a while.
		j.unwell, j.over, j.alone = true, now, time.Time{}
	}
	return j.command(now)
}

func (j *judgement) command(now time.Time) command {
	over := time.Duration(0)
	if !j.over.IsZero() {
		over = now.Sub(j.over)
	}
	switch {
	case j.unwell && over < unwellTime:
		return freeAll
	case !j.unwell && over < overTime:
		return steerAll
	}
	return stopAll
}
