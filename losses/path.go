package losses

import (
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Stage is a part of the way from a call to the end of its tasks.
type Stage string

// The stages, in their order. The first is a job's, the others each first run's of a task
// but for the last two, which are every run's.
const (
	StageCommit Stage = "committed"           // from the call's arrival at the leader to its commit
	StagePlace  Stage = "first step: a place" // from the call's arrival to the decision on a first run
	StageNext   Stage = "next step: a place"  // the same from the last end of the steps before
	StageOrder  Stage = "decision committed"  // until the order leaves the leader
	StageStart  Stage = "started"             // from the order's arrival at the agent to the worker's answer
	StageWork   Stage = "worked"              // until the end is listed, of runs that were done
)

// Stages lists all stages in order.
var Stages = []Stage{StageCommit, StagePlace, StageNext, StageOrder, StageStart, StageWork}

// Path holds how long each stage took, by kind.
type Path map[Kind]map[Stage][]time.Duration

func (p Path) add(k Kind, s Stage, d time.Duration) {
	if p[k] == nil {
		p[k] = make(map[Stage][]time.Duration)
	}
	p[k][s] = append(p[k][s], d)
}

func (p Path) took(k Kind, x *line) {
	if x.TookMS != nil {
		p.add(k, StageCommit, milliseconds(*x.TookMS))
	}
}

func (p Path) started(k Kind, x *line) {
	if x.AskedMS == nil {
		return // a process of another version
	}
	p.add(k, StageStart, milliseconds(*x.AskedMS))
	if x.WaitedMS <= 0 {
		return
	}
	p.add(k, StageOrder, milliseconds(x.DecidedMS))
	stage := StagePlace
	if x.AfterStep {
		stage = StageNext
	}
	p.add(k, stage, milliseconds(max(x.WaitedMS-*x.AskedMS-x.DecidedMS, 0)))
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Quantile returns the time within which a part of a kind's calls or runs were through a
// stage, and how many there were.
func (p Path) Quantile(k Kind, s Stage, part float64) (time.Duration, int) {
	list := p[k][s]
	if len(list) == 0 {
		return 0, 0
	}
	values := make([]float64, len(list))
	for i, d := range list {
		values[i] = float64(d)
	}
	slices.Sort(values)
	return time.Duration(stat.Quantile(part, stat.Empirical, values, nil)), len(list)
}
