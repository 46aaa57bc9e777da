// Package worker defines the interface of the platform's workers: how an agent
// starts, throttles, checkpoints and stops tasks, each under a lease and with an
// attempt number.
//
// The worker enforces the lease by its own clock, since a suspended agent could
// not. It keeps the highest attempt that it received for each task as a fence,
// for at least FenceKept after it dropped the attempt itself.
package worker

import (
	"time"

	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

// Paths of the interface. Bodies are JSON.
const (
	PathReport = "/worker/report" // GET: Report
	PathSync   = "/worker/sync"   // POST Sync: Report
)

// FenceKept is how long a worker refuses attempts that it was told to forget. It is
// longer than any lease, and no start is valid beyond its lease.
const FenceKept = 10 * time.Minute

// Start is the command to start one attempt.
type Start struct {
	Task       string          `json:"task"`
	Attempt    uint32          `json:"attempt"`
	Market     string          `json:"market"`
	Job        string          `json:"job"`
	Need       resource.Vector `json:"need"`
	RunTimeMS  int64           `json:"run_time_ms"`
	Checkpoint string          `json:"checkpoint,omitempty"`
}

// Stop is the command to end one attempt, after a checkpoint if requested. Stopping an
// attempt that the worker does not know guarantees that it never starts: from then on the
// worker reports it as rejected.
type Stop struct {
	Task       string `json:"task"`
	Attempt    uint32 `json:"attempt"`
	Checkpoint bool   `json:"checkpoint"`
}

// ThrottledSuffix is appended to a throttled task's job in measurements. A throttled task
// slows the service less, so its effect is learned separately.
const ThrottledSuffix = "~throttled"

// Ref identifies one attempt.
type Ref struct {
	Task    string `json:"task"`
	Attempt uint32 `json:"attempt"`
}

// Sync holds all commands that an agent sends to its worker at one time.
type Sync struct {
	// Boot must be the worker's own; otherwise the worker ignores the message.
	Boot string `json:"boot"`
	// UntilMS is the end of the lease on the worker's own clock. The worker
	// never shortens its lease, and ignores a message that it gets after UntilMS.
	UntilMS int64   `json:"until_ms"`
	Start   []Start `json:"start,omitempty"`
	Stop    []Stop  `json:"stop,omitempty"`
	// Throttle names the tasks that are to run at reduced speed; all others run at
	// full speed.
	Throttle []string `json:"throttle,omitempty"`
	Forget   []Ref    `json:"forget,omitempty"`
}

// TaskReport is the state of one attempt at the worker.
type TaskReport struct {
	Task       string          `json:"task"`
	Attempt    uint32          `json:"attempt"`
	Job        string          `json:"job"` // market/job
	Need       resource.Vector `json:"need"`
	Running    bool            `json:"running"`
	Throttled  bool            `json:"throttled,omitempty"`
	Outcome    lease.Outcome   `json:"outcome,omitempty"`
	Checkpoint string          `json:"checkpoint,omitempty"`
	Reason     string          `json:"reason,omitempty"`
}

// Report is the state of a worker.
type Report struct {
	Boot     string          `json:"boot"`
	ClockMS  int64           `json:"clock_ms"` // the worker's own, monotonic
	Capacity resource.Vector `json:"capacity"`
	Tasks    []TaskReport    `json:"tasks"`
}
