package control

import (
	"github.com/waxwinghaven/waxwinghaven/interference"
	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

// cautious is how many standard deviations the upper cost is above the mean.
const cautious = 1.0

// costs lets the placement policy ask the learned model.
type costs struct{ model *interference.Model }

// Cost implements placement.Costs.
func (c costs) Cost(service, marketName, job string, load float64) (mean, upper float64) {
	e := c.model.Predict(service, marketName+"/"+job, load)
	return e.Mean, e.Upper(cautious)
}

// teamLimits copies quotas and use of the teams that have tasks waiting.
func teamLimits(s *State, waiting []*lease.Task) (quota, use func(string) resource.Vector) {
	quotas, uses := make(map[string]resource.Vector), make(map[string]resource.Vector)
	for _, t := range waiting {
		quotas[t.Team], uses[t.Team] = s.quota(t.Team), s.Tasks.TeamUse(t.Team)
	}
	return func(team string) resource.Vector { return quotas[team] }, func(team string) resource.Vector { return uses[team] }
}

// learnWeight is the weight of one finished task in a job's run time.
const learnWeight = 0.2

// runTimes learns how long a job's tasks really run. Declared times are often
// far off, in both directions.
type runTimes struct {
	byJob map[string]float64
	last  string // the newest finished task that was taken in
}

func newRunTimes() *runTimes { return &runTimes{byJob: make(map[string]float64)} }

// update takes in the tasks finished since the last call.
func (r *runTimes) update(s *State) {
	f := s.Tasks.Finished
	start := len(f)
	for start > 0 && f[start-1] != r.last {
		start--
	}
	for _, id := range f[start:] {
		r.learn(s.Tasks.Tasks[id])
	}
	if len(f) > 0 {
		r.last = f[len(f)-1]
	}
}

func (r *runTimes) learn(t *lease.Task) {
	if t == nil || t.Phase != lease.Done || t.Evictions > 0 || t.PlacedAt == 0 {
		return
	}
	key := t.Market + "/" + t.Job
	took := float64(t.Ended - t.PlacedAt)
	if old, ok := r.byJob[key]; ok {
		took = old + (took-old)*learnWeight
	}
	r.byJob[key] = took
}

// of returns the learned run time of a task in milliseconds, or the declared one.
func (r *runTimes) of(t *lease.Task) int64 {
	if v, ok := r.byJob[t.Market+"/"+t.Job]; ok {
		return int64(v)
	}
	return t.RunTime
}
