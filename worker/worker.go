// Package worker is the interface of the platform's workers: how an agent
// starts, throttles, checkpoints and stops tasks, each under a lease and with an
// attempt number.
//
// The worker enforces the lease by its own clock, since a frozen agent could
// not. It keeps the highest attempt it ever heard of for each task as a fence,
// for at least FenceKept after it forgot the attempt itself.
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

// FenceKept is how long a worker refuses attempts it was told to forget. It is
// longer than any lease, and no start is valid past its lease.
const FenceKept = 10 * time.Minute

// Start asks for one attempt.
type Start struct {
	Task       string          `json:"task"`
	Attempt    uint32          `json:"attempt"`
	Market     string          `json:"market"`
	Job        string          `json:"job"`
	Need       resource.Vector `json:"need"`
	RunTimeMS  int64           `json:"run_time_ms"`
	Checkpoint string          `json:"checkpoint,omitempty"`
}

// Stop ends one attempt, after a checkpoint if asked for. A stop of an attempt
// that the worker does not know makes it certain that it never starts: the
// worker reports it as rejected from then on.
type Stop struct {
	Task       string `json:"task"`
	Attempt    uint32 `json:"attempt"`
	Checkpoint bool   `json:"checkpoint"`
}

// ThrottledSuffix marks a throttled task's job in measurements: it costs the
// service less, and is learned by itself.
const ThrottledSuffix = "~throttled"

// Ref names one attempt.
type Ref struct {
	Task    string `json:"task"`
	Attempt uint32 `json:"attempt"`
}

// Sync is everything an agent asks of its worker at one time.
type Sync struct {
	// Boot must be the worker's own, else nothing of the message is done.
	Boot string `json:"boot"`
	// UntilMS is the end of the lease on the worker's own clock. The worker
	// never shortens it, and does nothing of a message past it.
	UntilMS int64   `json:"until_ms"`
	Start   []Start `json:"start,omitempty"`
	Stop    []Stop  `json:"stop,omitempty"`
	// Throttle names the tasks that are to run at a part of their speed; all
	// others run at full speed.
	Throttle []string `json:"throttle,omitempty"`
	Forget   []Ref    `json:"forget,omitempty"`
}

// TaskReport is one attempt as the worker knows it.
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

// Report is the worker's state.
type Report struct {
	Boot     string          `json:"boot"`
	ClockMS  int64           `json:"clock_ms"` // the worker's own, monotonic
	Capacity resource.Vector `json:"capacity"`
	Tasks    []TaskReport    `json:"tasks"`
}
