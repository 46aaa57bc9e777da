package runner

import (
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// Guards against a filling run that is slowed only by the reading after its start. A watcher's
// tail is near its target by its own load, and the worker starts an unknown render beside it
// at full pace. Until the next reading up to 0.4 s pass, so the pace must be sent with the
// start.
func TestARendersPaceIsSentWithItsStart(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
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
		paced := b.worker.paced()
		if len(paced) == 0 || paced[0].Task != taskA || paced[0].Percent > 50 {
			t.Fatalf("pace calls: %+v", paced)
		}
		if late := paced[0].at.Sub(begun); late > 50*time.Millisecond {
			t.Errorf("its pace was sent %v after its start", late)
		}
	})
}
