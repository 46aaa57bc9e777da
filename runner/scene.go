package runner

import (
	"cmp"
	"maps"
	"slices"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// crew is the served tasks of one job and image on a worker. They share their users' load,
// so their tails are the same; those of another job with the same image swing by
// themselves.
type crew struct{ image, job string }

// scene is one reading of a worker.
type scene struct {
	serving map[crew]served
	filling []RunningRun
	images  map[runKey]string  // of the filling runs
	use     map[string]float64 // processors that the filling runs used, by image
	full    map[string]float64 // processors that they use at full pace
}

// served is what a reading says of one crew.
type served struct {
	tails    []float64 // ms, by run
	targetMS int64
}

// tail is the middle one of a crew's tails, the lower of two: now and then one reading of
// one of them is half as high again, which says nothing.
func (s served) tail() float64 {
	sorted := slices.Sorted(slices.Values(s.tails))
	return sorted[(len(sorted)-1)/2]
}

// headroom is the target over the tail: below 1 the tail is too long.
func (s served) headroom() float64 { return float64(s.targetMS) / s.tail() }

func look(running []RunningRun, lookup func(jobs.Ref, uint32) (jobs.Order, bool)) scene {
	sc := scene{serving: make(map[crew]served), images: make(map[runKey]string), use: make(map[string]float64), full: make(map[string]float64)}
	for _, x := range running {
		o, ok := lookup(x.Task, x.Run)
		switch {
		case !ok:
		case o.TargetMS > 0 && x.Figure > 0:
			c := crew{o.Image, x.Task.Job}
			sc.serving[c] = served{append(sc.serving[c].tails, x.Figure), o.TargetMS}
		case o.Fills:
			sc.add(x, o)
		}
	}
	return sc
}

// add takes in a filling run.
func (sc *scene) add(x RunningRun, o jobs.Order) {
	sc.filling = append(sc.filling, x)
	sc.images[runKey{x.Task, x.Run}] = o.Image
	sc.use[o.Image] += x.Figure / milliPerProcessor
	sc.full[o.Image] += float64(o.MilliCPU) / milliPerProcessor
}

const milliPerProcessor = 1000

// worst returns the highest tail against its target, 0 where nobody serves.
func (sc *scene) worst() float64 {
	worst := 0.0
	for _, s := range sc.serving {
		worst = max(worst, 1/s.headroom())
	}
	return worst
}

// crews returns the crews in a fixed order.
func (sc *scene) crews() []crew {
	return slices.SortedFunc(maps.Keys(sc.serving), func(a, b crew) int {
		return cmp.Or(cmp.Compare(a.image, b.image), cmp.Compare(a.job, b.job))
	})
}

// repeats reports whether a reading says just what another said: a worker that is asked
// again before it has measured anew.
func (sc *scene) repeats(other *scene) bool {
	if !maps.EqualFunc(sc.serving, other.serving, func(a, b served) bool { return slices.Equal(a.tails, b.tails) }) {
		return false
	}
	return len(sc.serving) > 0 && maps.Equal(sc.use, other.use)
}
