package lease

// learnWeight is the weight of the newest finished task in a job's moving average of run times.
const learnWeight = 0.2

// RunTimes estimates the run times of jobs' tasks from finished ones, since declared times are
// often far off in both directions.
type RunTimes struct {
	byJob map[jobKey]float64
	last  string // the newest finished task that Update has seen
}

// NewRunTimes returns estimates without any observations.
func NewRunTimes() *RunTimes { return &RunTimes{byJob: make(map[jobKey]float64)} }

// Update learns from the tasks that finished since the last call.
func (r *RunTimes) Update(s *State) {
	f := s.Finished
	start := len(f)
	for start > 0 && f[start-1] != r.last {
		start--
	}
	for _, id := range f[start:] {
		r.learn(s.Tasks[id])
	}
	if len(f) > 0 {
		r.last = f[len(f)-1]
	}
}

// learn updates the estimate from a task that was never evicted. An evicted task ran in several
// parts, so the time from its last placement to its end says nothing about a whole run.
func (r *RunTimes) learn(t *Task) {
	if t == nil || t.Phase != Done || t.Evictions > 0 || t.PlacedAt == 0 {
		return
	}
	key := jobKey{t.Market, t.Job}
	took := float64(t.Ended - t.PlacedAt)
	if old, ok := r.byJob[key]; ok {
		took = old + (took-old)*learnWeight
	}
	r.byJob[key] = took
}

// Of returns the learned run time of a task in milliseconds, or the declared one.
func (r *RunTimes) Of(t *Task) int64 {
	if v, ok := r.byJob[jobKey{t.Market, t.Job}]; ok {
		return int64(v)
	}
	return t.RunTime
}
