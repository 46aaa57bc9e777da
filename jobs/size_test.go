package jobs

import "testing"

// Guards against a size that drifts from the jobs that are kept: replicas would refuse all, or take
// more than their memory holds.
func TestSizeFollowsTheJobs(t *testing.T) {
	s := NewState()
	spec := Spec{Payload: "x", Steps: []Step{{Count: 3}, {Count: 20}}, Repeat: 4}
	if err := s.ApplySubmit(Submit{ID: "00000000000000aa", Spec: spec}, 1, 0); err != nil {
		t.Fatal(err)
	}
	if err := s.ApplySubmit(Submit{ID: "00000000000000aa", Spec: spec}, 2, 0); err != nil {
		t.Fatal(err)
	}
	if s.Size() != spec.Size() || spec.Size() < 4*23*taskBytes {
		t.Errorf("size %d, a job has %d", s.Size(), spec.Size())
	}
	s.Rebuild()
	if s.Size() != spec.Size() {
		t.Errorf("size %d after a snapshot", s.Size())
	}
	s.ApplyCancel("00000000000000aa", 3)
	s.ApplyForget([]string{"00000000000000aa"})
	if s.Size() != 0 {
		t.Errorf("size %d without jobs", s.Size())
	}
}
