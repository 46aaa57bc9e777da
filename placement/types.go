// Package placement decides where waiting tasks run and which running ones
// give way. It is a pure function from a snapshot to a plan; the plan's
// capacity is checked again when the quorum's log applies it.
package placement

import (
	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/market"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

// Running is an attempt on a worker.
type Running struct {
	Task      string
	Attempt   uint32
	Market    string
	Job       string
	Need      resource.Vector
	Started   int64 // log clock, milliseconds
	Expected  int64 // milliseconds of the whole run, as far as known
	Deadline  int64 // log clock, milliseconds; 0 means none
	Urgent    bool
	Evictable bool // placed, and not already asked to stop
	Throttled bool // runs at a part of its speed
}

// Worker is one worker at the time of the snapshot.
type Worker struct {
	Agent, Boot      string
	DataCentre, Rack string
	Open             bool
	Evacuate         bool            // it is about to leave: everything on it is to move away
	Drained          bool            // its data centre is: what fits elsewhere is to move away
	Total            resource.Vector // without what the service keeps
	Free             resource.Vector
	BatchUsed        int64 // milli CPU held by batch tasks
	Service          string
	Preset           market.Preset
	Load             float64 // used part of the service's slots
	// Slowdown is the service's last measured latency against running alone;
	// 0 means not measured. Late tells since how many reports it has been
	// above the preset's bound.
	Slowdown float64
	Late     int
	Running  []Running // shared between snapshots; not to be changed
	// Pressure is the summed cost of Running, or negative when it is to be
	// asked of Costs.
	Pressure float64
}

// Costs estimates what a task costs the service beside it, as the logarithm of
// the slowdown it adds.
type Costs interface {
	// Cost returns the expected cost and, for a bound, the cost that is
	// exceeded only rarely.
	Cost(service, market, job string, load float64) (mean, upper float64)
}

// Snapshot is everything a plan is made from.
type Snapshot struct {
	Now     int64 // log clock, milliseconds
	Workers []Worker
	Waiting []*lease.Task
	Quota   func(team string) resource.Vector
	TeamUse func(team string) resource.Vector
	// RunTime returns the learned run time of a job's task in milliseconds,
	// or the declared one.
	RunTime func(t *lease.Task) int64
	Costs   Costs
	Seed    uint64
	// MaxPlacements bounds a plan, so that a pass stays short.
	MaxPlacements int
}

// Decision is what a pass decided. The plan is committed; throttling is not,
// since losing it with a leader harms nothing.
type Decision struct {
	lease.Plan
	Throttle []Attempt // to slow down
	Release  []Attempt // throttled, to run at full speed again
}

// Attempt names a running attempt and where it runs.
type Attempt struct {
	Task   string
	Number uint32
	Agent  string
}

// Policy decides from a snapshot.
type Policy interface {
	Name() string
	Plan(s *Snapshot) Decision
}
