package jobs

import "github.com/waxwinghaven/waxwinghaven/refusal"

// Bounds of one job. The widest step observed has 36 tasks and the longest chain 5 steps; the
// bounds allow hundreds of times that. Each step has a task at least, so tasks bound the steps too.
const (
	MaxPayload = 4000 // bytes
	MaxSteps   = MaxTasks
	MaxTasks   = 20_000 // over all steps and occurrences
	IDLength   = 16     // hexadecimal digits
	// maxAmount bounds a task's need of each resource: far more than any worker has, and small
	// enough that sums don't overflow.
	maxAmount = 1 << 40
)

// ValidID reports whether a job's id is well-formed.
func ValidID(id string) bool {
	if len(id) != IDLength {
		return false
	}
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// Validate returns an error that says what is wrong with the job, nil if it is valid.
func (s *Spec) Validate() error {
	if len(s.Payload) > MaxPayload {
		return invalid("shorten it to 4000 bytes", "the payload has %d bytes", len(s.Payload))
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return invalid("hand in 1 to 20000 steps", "the job has %d steps", len(s.Steps))
	}
	if s.Repeat < 0 || (s.Repeat > 0 && s.Every < 0) {
		return invalid("repeat a job 0 or more times, at times that do not run backwards", "repeat %d every %d ms", s.Repeat, s.Every)
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].Check(i); err != nil {
			return err
		}
		tasks += s.Steps[i].Count
		if tasks > MaxTasks {
			break // before a multiplication could overflow
		}
	}
	if tasks > MaxTasks || s.Repeat > MaxTasks || tasks*max(s.Repeat, 1) > MaxTasks {
		return invalid("split it into jobs of at most 20000 tasks", "the job has too many tasks")
	}
	return nil
}

// Check returns an error that says what is wrong with a job's step number i, nil if it is valid.
func (st *Step) Check(i int) error {
	switch {
	case len(st.DependsOn) > MaxSteps:
		return invalid("name each earlier step once", "step %d names %d earlier steps", i, len(st.DependsOn))
	case st.Count < 1:
		return invalid("give each step one task or more", "step %d has %d tasks", i, st.Count)
	case st.Need.Negative():
		return invalid("ask for amounts of 0 or more", "step %d asks for a negative amount", i)
	case st.Need.MilliCPU > maxAmount || st.Need.MemoryMB > maxAmount || st.Need.Accelerators > maxAmount:
		return invalid("ask for what a worker can have", "step %d asks for more than any worker has", i)
	case st.MaxPerWorker < 0 || st.MaxUnavailable < 0 || st.TargetMS < 0 || st.EstimateMS < 0:
		return invalid("use bounds and times of 0 or more", "step %d has a negative bound", i)
	}
	for _, d := range st.DependsOn {
		if d < 0 || d >= i {
			return invalid("depend on earlier steps only", "step %d depends on step %d", i, d)
		}
	}
	return nil
}

func invalid(remedy, format string, args ...any) error {
	return refusal.New(refusal.Invalid, remedy, format, args...)
}
