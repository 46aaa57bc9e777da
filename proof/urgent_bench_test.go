package proof

import (
	"fmt"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/load"
	"github.com/waxwinghaven/waxwinghaven/market"
)

// Measures the time from the submission of an urgent task until it runs on its worker, with
// separate processes, when workers have free capacity and when they are full of other tasks that
// must be evicted first. Agents renew every 0.5 s, the default.
func BenchmarkUrgentStart(b *testing.B) {
	f := newFleetRenewing(b, "1ms", "500ms")
	f.change(market.Change{Verb: market.PutJob, Market: "vault", Job: &market.Job{Name: "urgent", Team: "team", Class: market.ClassBatch,
		MilliCPU: 2000, MemoryMB: 10, RunTimeMS: 200, Urgent: true}})
	f.change(market.Change{Verb: market.PutJob, Market: "vault", Job: &market.Job{Name: "filler", Team: "team", Class: market.ClassContinuous,
		MilliCPU: 1000, MemoryMB: 10, RunTimeMS: 3600_000}})
	n := 0
	start := func() float64 {
		n++
		id := fmt.Sprint("urgent-", n)
		at := time.Now()
		if _, err := f.ops.Submit(lease.Submit{ID: id, Market: "vault", Job: "urgent", Count: 1, IssuedMS: at.UnixMilli()}); err != nil {
			b.Fatal(err)
		}
		f.wait("the urgent task runs", func() bool { return len(f.intervals()[id+"/0"]) > 0 })
		return float64(f.intervals()[id+"/0"][0].StartMS-at.UnixMilli()) / 1000
	}
	for _, full := range []bool{false, true} {
		if full {
			if _, err := f.ops.Submit(lease.Submit{ID: "fill", Market: "vault", Job: "filler", Count: 192, IssuedMS: time.Now().UnixMilli()}); err != nil {
				b.Fatal(err)
			}
			f.wait("the workers are full", func() bool { return len(f.intervals()) >= 192 })
		}
		b.Run(fmt.Sprint("full=", full), func(b *testing.B) {
			var took []float64
			for b.Loop() {
				took = append(took, start())
			}
			b.ReportMetric(load.Quantile(took, 0.5), "s-median")
			b.ReportMetric(load.Quantile(took, 1), "s-longest")
		})
	}
}
