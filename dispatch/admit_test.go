package dispatch

import (
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// Guards against listed jobs that count when they should not, which refuses a job that has room,
// and against ones that don't count when they should, which gives their place away. With nothing
// listed the job would be done after 12 s; its objective is 5 s, and it is refused beyond 15 s.
func TestListedJobsAheadOfANewOne(t *testing.T) {
	const work = 40_000 // of one job, in processor-milliseconds: 2 s of the service
	spec := &jobs.Spec{Steps: []jobs.Step{filling(4, 5000, 2000, "x")}}
	listed := func(n float64, back time.Duration) func(time.Duration) float64 {
		return func(within time.Duration) float64 {
			if back > within {
				return 0
			}
			return n * work
		}
	}
	for _, c := range []struct {
		name     string
		accepted int
		listed   func(time.Duration) float64
		place    int64
		refuse   bool
	}{
		{"no list", 5, nil, 0, false},
		{"there is room behind the listed job", 5, listed(1, time.Second), 0, false},
		{"the listed jobs need the room", 5, listed(3, time.Second), 0, true},
		{"the listed jobs return after the job would be done", 5, listed(3, 13*time.Second), 0, false},
		{"nothing that was accepted is ahead", 0, listed(20, 0), 0, false},
		{"what was accepted is ahead of a new job", 8, listed(0, 0), 0, true},
		{"what was accepted after its first refusal is not", 8, listed(0, 0), 5000, false},
	} {
		s := newHarness(t, 2)
		s.in.NowMS, s.in.Listed, s.in.Place, s.in.Rate = 6000, c.listed, c.place, func(available float64) float64 { return available }
		for i := range c.accepted {
			s.submit(i, "/renders/", 6000, spec.Steps...)
		}
		if v := Admit(s.in, &config.Queues[1], spec); v.Refuse != c.refuse {
			t.Errorf("%s: %+v", c.name, v)
		}
	}
}

// Guards against a time that is longer than the one after which the job would be accepted: work
// ahead that becomes late makes room, too, and does so for all jobs alike.
func TestTimeUntilThereIsRoom(t *testing.T) {
	aging := []agingWork{{5 * time.Second, 100}, {time.Second, 100}, {2 * time.Second, 100}}
	for _, c := range []struct {
		excess, rate float64
		want         time.Duration
	}{{50, 0.1, 500 * time.Millisecond}, {50, 0.01, time.Second}, {150, 0.01, 2 * time.Second}, {400, 0.1, 4 * time.Second}} {
		if got := roomAfter(c.excess, c.rate, aging); got != c.want {
			t.Errorf("an excess of %g at a rate of %g has gone after %v, want %v", c.excess, c.rate, got, c.want)
		}
	}
}
