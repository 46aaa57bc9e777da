package jobs

// Memory that the parts of a job take in a replica, in bytes: the state, what a pass derives from it,
// and the copies of it in the log and in a snapshot that is being encoded.
const (
	stepBytes  = 512
	groupBytes = 512
	taskBytes  = 128
)

// Size returns the memory in bytes that a job takes, roughly.
func (s *Spec) Size() int64 {
	tasks := int64(0)
	for i := range s.Steps {
		tasks += int64(s.Steps[i].Count)
	}
	steps, times := int64(len(s.Steps)), int64(max(s.Repeat, 1))
	return int64(len(s.Payload)) + steps*stepBytes + times*(steps*groupBytes+tasks*taskBytes)
}

// Size returns the memory in bytes that all jobs take, roughly.
func (s *State) Size() int64 { return s.size }
