package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/dispatch"
	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// Guards against a limit on avoided workers that is shared by all services. All workers of a small
// service could be avoided, and failing ones of one service could end the avoidance of another's.
func TestAvoidedWorkersAreLimitedPerService(t *testing.T) {
	for _, c := range []struct {
		name    string
		failing map[string]int // of 3 workers of small and 10 of large
		want    map[string]int
	}{
		{"all of a small service", map[string]int{"small": 3}, map[string]int{}},
		{"all of a small service and some of a large one", map[string]int{"small": 3, "large": 4}, map[string]int{"large": 4}},
		{"most of a large service and one of a small one", map[string]int{"small": 1, "large": 5}, map[string]int{"small": 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, now := &dispatcher{r: &Replica{}, health: dispatch.NewHealth()}, time.Unix(0, 0)
			workers := make(map[string]*jobs.Worker)
			for service, n := range map[string]int{"small": 3, "large": 10} {
				for i := range n {
					id := fmt.Sprint(service, i)
					workers[id] = &jobs.Worker{ID: id, Service: service}
					for range 3 {
						if i < c.failing[service] {
							d.health.RecordEnd(id, jobs.OutcomeFailed, 0, 0, now)
						}
					}
				}
			}
			got := make(map[string]int)
			for id := range d.avoidedWorkers(now, workers) {
				got[workers[id].Service]++
			}
			if got["small"] != c.want["small"] || got["large"] != c.want["large"] {
				t.Errorf("avoided %v, want %v", got, c.want)
			}
		})
	}
}
