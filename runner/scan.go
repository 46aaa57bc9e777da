package runner

import (
	"cmp"
	"maps"
	"slices"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// servingGroup identifies the serving tasks of one job and image on a worker. They share the
// load of their users, so their tails are alike; those of another job with the same image vary
// independently.
type servingGroup struct{ image, job string }

// scan is one reading of all runs on a worker.
type scan struct {
	serving map[servingGroup]served
	filling []RunningRun
	images  map[runKey]string  // of the filling runs
	need    map[runKey]int64   // thousandths of a processor that they use at full pace
	use     map[string]float64 // processors that the filling runs used, by image
	full    map[string]float64 // processors that they use at full pace, by image
}

// served is the reading of one serving group.
type served struct {
	runs     []servedRun
	targetMS int64
}

// servedRun is the reading of one serving run.
type servedRun struct {
	key    runKey
	tailMS float64
}

// tail returns the median of the group's tails, the lower one of two.
func (s served) tail() float64 {
	tails := make([]float64, 0, len(s.runs))
	for _, x := range s.runs {
		tails = append(tails, x.tailMS)
	}
	slices.Sort(tails)
	return tails[(len(tails)-1)/2]
}

// headroom returns the target divided by the tail. Below 1 the tail exceeds its target.
func (s served) headroom() float64 { return float64(s.targetMS) / s.tail() }

func newScan(running []RunningRun, lookup func(jobs.Ref, uint32) (jobs.Order, bool)) scan {
	sc := scan{serving: make(map[servingGroup]served), images: make(map[runKey]string), need: make(map[runKey]int64), use: make(map[string]float64), full: make(map[string]float64)}
	for _, x := range running {
		o, ok := lookup(x.Task, x.Run)
		switch {
		case !ok:
		case o.TargetMS > 0 && x.Measured > 0:
			g := servingGroup{o.Image, x.Task.Job}
			sc.serving[g] = served{append(sc.serving[g].runs, servedRun{runKey{x.Task, x.Run}, x.Measured}), o.TargetMS}
		case o.Fills:
			sc.add(x, o)
		}
	}
	return sc
}

// add adds a filling run.
func (sc *scan) add(x RunningRun, o jobs.Order) {
	sc.filling = append(sc.filling, x)
	sc.images[runKey{x.Task, x.Run}] = o.Image
	sc.need[runKey{x.Task, x.Run}] = o.MilliCPU
	sc.use[o.Image] += x.Measured / milliPerProcessor
	sc.full[o.Image] += float64(o.MilliCPU) / milliPerProcessor
}

const milliPerProcessor = 1000

// processors returns how many processors the filling runs used.
func (sc *scan) processors() (sum float64) {
	for _, n := range sc.use {
		sum += n
	}
	return sum
}

// worst returns the highest tail of a group as a fraction of its target, 0 without serving runs.
func (sc *scan) worst() float64 {
	worst := 0.0
	for _, s := range sc.serving {
		worst = max(worst, 1/s.headroom())
	}
	return worst
}

// worstTask returns the highest tail of a single run as a fraction of its target, 0 without serving
// runs.
func (sc *scan) worstTask() float64 {
	worst := 0.0
	for _, s := range sc.serving {
		for _, x := range s.runs {
			worst = max(worst, x.tailMS/float64(s.targetMS))
		}
	}
	return worst
}

// groups returns the serving groups in a fixed order.
func (sc *scan) groups() []servingGroup {
	return slices.SortedFunc(maps.Keys(sc.serving), func(a, b servingGroup) int {
		return cmp.Or(cmp.Compare(a.image, b.image), cmp.Compare(a.job, b.job))
	})
}

// repeats reports whether a scan equals another one: the worker was read again before it had
// new measurements.
func (sc *scan) repeats(other *scan) bool {
	if !maps.EqualFunc(sc.serving, other.serving, func(a, b served) bool { return slices.Equal(a.runs, b.runs) }) {
		return false
	}
	return len(sc.serving) > 0 && maps.Equal(sc.use, other.use)
}
