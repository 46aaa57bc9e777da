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
			avoided, blamed := d.avoidedWorkers(now, workers)
			for id := range avoided {
				got[workers[id].Service]++
				if !blamed[id] {
					t.Errorf("%s is avoided for its failed runs and not blamed", id)
				}
			}
			if got["small"] != c.want["small"] || got["large"] != c.want["large"] {
				t.Errorf("avoided %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a worker that is given tasks which can go nowhere else though it does not answer.
func TestWorkerThatDoesNotAnswerIsNotOnlyBlamed(t *testing.T) {
	now := time.Unix(0, 0)
	d := &dispatcher{r: &Replica{}, health: dispatch.NewHealth(), avoided: map[string]time.Time{"w0": now.Add(time.Second)}}
	workers := make(map[string]*jobs.Worker)
	for i := range 5 {
		id := fmt.Sprint("w", i)
		workers[id] = &jobs.Worker{ID: id, Service: "vault"}
	}
	for range 3 {
		d.health.RecordEnd("w0", jobs.OutcomeFailed, 0, 0, now)
	}
	if avoided, blamed := d.avoidedWorkers(now, workers); !avoided["w0"] || blamed["w0"] {
		t.Errorf("avoided %v, blamed %v", avoided, blamed)
	}
}
