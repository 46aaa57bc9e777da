package dispatch

import "testing"

// twoKinds is a table in which images of one first letter are alike and others are not.
type twoKinds struct{ table }

func (twoKinds) Alike(a, b string) float64 {
	if a[0] == b[0] {
		return 1
	}
	return 0
}

// A served task is to be placed while one worker has tasks of its like, one has others, and
// one has none. It goes to its like; where that is full, to the empty worker rather than to
// strangers: beside those of one kind, what disturbs only the other kind may fill.
func TestServedTasksGatherWithTheirLike(t *testing.T) {
	s := newScene(t, 3)
	s.in.Costs = twoKinds{table{}}
	s.submit(1, "/titles/", 0, serving(1, 4000, "a1"))
	s.pass()
	s.submit(2, "/titles/", 0, serving(1, 4000, "b1"))
	s.pass()
	like := s.submit(3, "/titles/", 0, serving(2, 5000, "a2"))
	s.pass()
	first := s.workersOf(s.jobAt(1))
	got := s.workersOf(like)
	for worker := range first {
		if got[worker] != 1 {
			t.Errorf("its like is on %v, the tasks went to %v", first, got)
		}
	}
	for worker := range s.workersOf(s.jobAt(2)) {
		if got[worker] != 0 {
			t.Errorf("a task went to strangers on %s", worker)
		}
	}
}

// jobAt is the id of the n-th job.
func (s *scene) jobAt(n int) string {
	for id := range s.Jobs {
		if id[len(id)-1] == byte('0'+n) {
			return id
		}
	}
	s.t.Fatalf("there is no job %d", n)
	return ""
}
