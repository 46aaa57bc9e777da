// Package placement decides where waiting tasks run and which running ones are throttled or
// evicted. It computes a plan from a snapshot without changing it; the quorum's log checks the
// plan's capacity again when it applies the plan.
package placement

import (
	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/market"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

// Running is an attempt that runs on a worker.
type Running struct {
	Task      string
	Attempt   uint32
	Market    string
	Job       string
	Need      resource.Vector
	Started   int64 // log clock, milliseconds
	Expected  int64 // duration of the whole run in milliseconds, as far as known
	Deadline  int64 // log clock, milliseconds; 0 means none
	Urgent    bool
	Evictable bool // placed, and not already asked to stop
	Throttled bool // runs at throttledSpeed
}

// Worker is one worker at the time of the snapshot.
type Worker struct {
	Agent, Boot      string
	DataCentre, Rack string
	Open             bool
	Evacuate         bool            // it is about to leave: all tasks on it are evicted
	Drained          bool            // its data centre is drained: tasks that fit elsewhere are evicted
	Total            resource.Vector // without the capacity reserved for the service
	Free             resource.Vector
	BatchUsed        int64 // held by batch tasks, in thousandths of a processor
	Service          string
	Preset           market.Preset
	Load             float64 // used part of the service's slots, 0 to 1
	// Slowdown is the service's last measured latency relative to its latency without other
	// tasks, 0 if not measured. Late is the number of consecutive reports in which it was above
	// the preset's bound.
	Slowdown float64
	Late     int
	Running  []Running // shared between snapshots; read-only
	// Pressure is the summed cost of Running. If it is negative, it is computed from Costs.
	Pressure float64
}

// Costs estimates how much a task slows down the service on its worker, as the natural logarithm
// of the slowdown factor that it adds.
type Costs interface {
	// Cost returns the expected cost and, for checks against a bound, a cost that is exceeded
	// only rarely.
	Cost(service, market, job string, load float64) (mean, upper float64)
}

// Snapshot is the input of a plan.
type Snapshot struct {
	Now     int64 // log clock, milliseconds
	Workers []Worker
	Waiting []*lease.Task
	Quota   func(team string) resource.Vector
	TeamUse func(team string) resource.Vector
	// RunTime returns the learned run time of a job's task in milliseconds, or the declared one.
	RunTime func(t *lease.Task) int64
	Costs   Costs
	Seed    uint64
	// MaxPlacements limits the placements of a plan, which bounds the duration of a pass.
	MaxPlacements int
}

// Decision is the result of a pass. The plan is committed to the log; throttling is not, since
// losing it with a leader does no harm.
type Decision struct {
	lease.Plan
	Throttle []Attempt // to be throttled
	Release  []Attempt // throttled, to be returned to full speed
}

// Attempt identifies a running attempt and the agent it runs under.
type Attempt struct {
	Task   string
	Number uint32
	Agent  string
}

// Policy makes plans from snapshots.
type Policy interface {
	Name() string
	Plan(s *Snapshot) Decision
}
