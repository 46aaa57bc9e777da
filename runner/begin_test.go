package runner

import (
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// A watcher's tail is near its target by its own load, and a render that nobody has seen
// beside it is started. The worker starts it at full pace. If the agent waits for the next
// reading to slow it, up to 0.4 s pass in which the watcher's users wait: the pace has to be
// told with the start.
func TestARendersPaceIsToldWithItsStart(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		watch := runKey{jobs.Ref{Job: "00000000000000cc"}, 1}
		b.worker.mu.Lock()
		b.worker.figures = map[string]float64{watch.task.Job: 40}
		b.worker.mu.Unlock()
		o := startOf(watch)
		o.Image, o.TargetMS = "watch", 50
		b.ctl.give(o)
		time.Sleep(2 * time.Second)
		render := startOf(runA1)
		render.Image, render.Fills, render.MilliCPU = "fresh", true, 8000
		b.ctl.give(render)
		begun := time.Now()
		time.Sleep(2 * time.Second)
		told := b.worker.paced()
		if len(told) == 0 || told[0].Task != taskA || told[0].Percent > 50 {
			t.Fatalf("told %+v", told)
		}
		if late := told[0].at.Sub(begun); late > 50*time.Millisecond {
			t.Errorf("its pace was told %v after its start", late)
		}
	})
}
