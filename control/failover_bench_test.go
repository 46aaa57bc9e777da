package control

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/market"
)

// Measures how long no change is accepted after the leader is silently partitioned, with the
// default tick of 50 ms.
func BenchmarkFailover(b *testing.B) {
	c := newClusterAt(b, "50ms")
	var took []float64
	n := 0
	for b.Loop() {
		old := c.leader()
		c.isolate(old, true)
		start := time.Now()
		if _, err := c.change(market.Change{ID: fmt.Sprint("f", n), Base: uint64(n), Verb: market.PutTeam, Team: &market.Team{Name: "t"}}); err != nil {
			b.Fatal(err)
		}
		took = append(took, time.Since(start).Seconds())
		n++
		c.isolate(old, false)
		c.waitRevision(uint64(n))
	}
	sort.Float64s(took)
	b.ReportMetric(took[len(took)/2], "s-median")
	b.ReportMetric(took[len(took)-1], "s-longest")
}

// Measures how long a stopped replica takes after its start to apply what it missed. Snapshots
// are taken every 100 entries here.
func BenchmarkCatchUp(b *testing.B) {
	for _, missed := range []int{100, 1000, 4000} {
		b.Run(fmt.Sprint("changes=", missed), func(b *testing.B) {
			c := newClusterAt(b, "50ms")
			n := 0
			var took []float64
			for b.Loop() {
				away := (c.leader() + 1) % 3
				c.stop(away)
				for range missed {
					if _, err := c.change(market.Change{ID: fmt.Sprint("u", n), Base: uint64(n), Verb: market.PutTeam, Team: &market.Team{Name: fmt.Sprint("t", n%50)}}); err != nil {
						b.Fatal(err)
					}
					n++
				}
				start := time.Now()
				c.start(away)
				c.waitRevision(uint64(n))
				took = append(took, time.Since(start).Seconds())
			}
			sort.Float64s(took)
			b.ReportMetric(took[len(took)/2], "s-median")
		})
	}
}
