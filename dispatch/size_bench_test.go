package dispatch

import (
	"fmt"
	"testing"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// newLoadedHarness has a fleet with serving and filling tasks and one waiting job.
func newLoadedHarness(b testing.TB, workers int, waits jobs.Step) *harness {
	b.Helper()
	s := newHarness(b, workers)
	s.submit(1, "/titles/", 0, serving(workers, 1000, "s1"))
	s.pass()
	s.submit(2, "/renders/", 0, filling(workers/2, 1000, 1000, "f1"))
	s.pass()
	s.submit(3, "/titles/", 0, waits)
	return s
}

// BenchmarkPass measures one pass that places a job, by the size of the fleet.
func BenchmarkPass(b *testing.B) {
	steps := map[string]jobs.Step{"look-up": task(13, 280, 1000), "render": filling(40, 700, 2700, "f2")}
	for name, step := range steps {
		for _, workers := range []int{11, 73, 300, 804, 2700} {
			b.Run(fmt.Sprintf("%s/workers=%d", name, workers), func(b *testing.B) {
				s := newLoadedHarness(b, workers, step)
				b.ReportAllocs()
				for b.Loop() {
					if plan := Plan(s.in); len(plan.Placements) == 0 {
						b.Fatal("nothing is placed")
					}
				}
			})
		}
	}
}

// Guards against a pass that copies something for each worker of the fleet. The number of passes
// grows with the fleet's work, so their total cost would grow with the square of its size.
func TestPassAllocatesNothingForEachWorker(t *testing.T) {
	allocated := func(workers int) float64 {
		s := newLoadedHarness(t, workers, task(13, 280, 1000))
		return testing.AllocsPerRun(10, func() { Plan(s.in) })
	}
	const few, many = 100, 500
	if each := (allocated(many) - allocated(few)) / (many - few); each > 0.1 {
		t.Errorf("each additional worker costs a pass %.2f allocations", each)
	}
}
