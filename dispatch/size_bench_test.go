package dispatch

import (
	"fmt"
	"testing"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// loaded is a fleet of which every fifth worker serves and fills, with one job that waits.
func loaded(b testing.TB, workers int, waits jobs.Step) *scene {
	b.Helper()
	s := newScene(b, workers)
	s.submit(1, "/titles/", 0, serving(workers, 1000, "s1"))
	s.pass()
	s.submit(2, "/renders/", 0, filling(workers/2, 1000, 1000, "f1"))
	s.pass()
	s.submit(3, "/titles/", 0, waits)
	return s
}

// One pass that places a job, by the size of the fleet.
func BenchmarkPass(b *testing.B) {
	steps := map[string]jobs.Step{"look-up": task(13, 280, 1000), "render": filling(40, 700, 2700, "f2")}
	for name, step := range steps {
		for _, workers := range []int{11, 73, 300, 804, 2700} {
			b.Run(fmt.Sprintf("%s/workers=%d", name, workers), func(b *testing.B) {
				s := loaded(b, workers, step)
				b.ReportAllocs()
				for b.Loop() {
					if plan := Next(s.in); len(plan.Placements) == 0 {
						b.Fatal("nothing is placed")
					}
				}
			})
		}
	}
}

// Guards against passes that copy something for each worker of the fleet: there are as many
// passes as the fleet has work, so that their cost would grow with its square.
func TestPassAllocatesNothingForEachWorker(t *testing.T) {
	allocated := func(workers int) float64 {
		s := loaded(t, workers, task(13, 280, 1000))
		return testing.AllocsPerRun(10, func() { Next(s.in) })
	}
	const few, many = 100, 500
	if each := (allocated(many) - allocated(few)) / (many - few); each > 0.1 {
		t.Errorf("each worker more costs a pass %.2f allocations", each)
	}
}
