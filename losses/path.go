package losses

import (
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Stage is a part of the time from a call to the end of its tasks.
type Stage string

// The stages in order. The first is measured for each job, the last two for each run, and the
// others for the first run of each task.
const (
	StageCommit Stage = "committed"           // from the call's arrival at the leader to its commit
	StagePlace  Stage = "first step: a place" // from the call's arrival to the placement decision
	StageNext   Stage = "next step: a place"  // from the end of the previous steps to the placement decision
	StageOrder  Stage = "decision committed"  // from the decision until the order leaves the leader
	StageStart  Stage = "started"             // from the order's arrival at the agent to the worker's answer
	StageWork   Stage = "worked"              // from the start until the end is reported, of runs that were done
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

func (p Path) addCommit(k Kind, x *line) {
	if x.TookMS != nil {
		p.add(k, StageCommit, milliseconds(*x.TookMS))
	}
}

func (p Path) addStart(k Kind, x *line) {
	if x.AskedMS == nil {
		return // logged by a version without these fields
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

// Quantile returns the quantile at part, from 0 to 1, of the latencies of a kind's calls or
// runs in a stage, and their number.
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
