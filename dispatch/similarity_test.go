package dispatch

import "testing"

// twoSimilarityGroups is a costTable in which images with the same first letter are similar and
// others are not.
type twoSimilarityGroups struct{ costTable }

func (twoSimilarityGroups) Similarity(a, b string) float64 {
	if a[0] == b[0] {
		return 1
	}
	return 0
}

// Serving tasks must be placed with similar ones or, where those workers are full, on an empty
// worker rather than with dissimilar ones: on a worker with tasks of one kind, images that
// interfere only with the other kind may fill.
func TestServedTasksColocateWithSimilarTasks(t *testing.T) {
	s := newHarness(t, 3)
	s.in.Costs = twoSimilarityGroups{costTable{}}
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
			t.Errorf("similar tasks are on %v, the tasks were placed on %v", first, got)
		}
	}
	for worker := range s.workersOf(s.jobAt(2)) {
		if got[worker] != 0 {
			t.Errorf("a task was placed with dissimilar ones on %s", worker)
		}
	}
}

// jobAt returns the id of the n-th job.
func (s *harness) jobAt(n int) string {
	for id := range s.Jobs {
		if id[len(id)-1] == byte('0'+n) {
			return id
		}
	}
	s.t.Fatalf("there is no job %d", n)
	return ""
}
