// Package lease holds the market's tasks with their attempts, and the lease table of a leader. State
// is a deterministic state machine driven by the quorum's log: which attempt of a task may run,
// where, and from which checkpoint, is committed before a worker is told.
package lease

import (
	"github.com/waxwinghaven/waxwinghaven/market"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

// Phase is the state of a task.
type Phase string

// The phases. Only Placed and Stopping tasks hold capacity on an agent.
const (
	Waiting   Phase = "waiting"
	Placed    Phase = "placed"
	Stopping  Phase = "stopping" // evicted or cancelled, until the worker confirms
	Done      Phase = "done"
	SetAside  Phase = "set-aside"
	Cancelled Phase = "cancelled"
)

// Ran tells whether any attempt of a task was ever started.
type Ran string

// The values of Ran. RanNo is reported only if every attempt was confirmed as never started.
const (
	RanNo    Ran = "not-run"
	RanMaybe Ran = "unknown"
	RanYes   Ran = "run"
)

// StopMode tells the worker how to end an attempt.
type StopMode uint8

// The stop modes.
const (
	StopNone       StopMode = iota
	StopCheckpoint          // save a checkpoint, then stop: the task resumes elsewhere
	StopCancel              // stop permanently
)

// Task is one unit of a job's work.
type Task struct {
	ID      string          `msgpack:"i" json:"id"`
	Market  string          `msgpack:"m" json:"market"`
	Job     string          `msgpack:"j" json:"job"`
	Team    string          `msgpack:"t" json:"team"`
	Class   market.Class    `msgpack:"l" json:"class"`
	Need    resource.Vector `msgpack:"n" json:"need"`
	Urgent  bool            `msgpack:"u,omitempty" json:"urgent,omitempty"`
	RunTime int64           `msgpack:"r" json:"run_time_ms"` // declared, milliseconds
	// Submitted, Deadline, PlacedAt and Ended are on the log's clock, in
	// milliseconds since 1970; 0 means none.
	Submitted   int64    `msgpack:"s" json:"submitted_ms"`
	Deadline    int64    `msgpack:"d,omitempty" json:"deadline_ms,omitempty"`
	PlacedAt    int64    `msgpack:"b,omitempty" json:"placed_ms,omitempty"`
	Ended       int64    `msgpack:"e,omitempty" json:"ended_ms,omitempty"`
	Phase       Phase    `msgpack:"p" json:"phase"`
	Attempt     uint32   `msgpack:"a" json:"attempt"`
	Rejected    uint32   `msgpack:"x,omitempty" json:"-"` // attempts confirmed as never started
	Started     bool     `msgpack:"z,omitempty" json:"-"`
	Agent       string   `msgpack:"g,omitempty" json:"agent,omitempty"`
	Boot        string   `msgpack:"o,omitempty" json:"-"`
	Stop        StopMode `msgpack:"k,omitempty" json:"-"`
	Checkpoint  string   `msgpack:"c,omitempty" json:"checkpoint,omitempty"`
	Failures    int      `msgpack:"f,omitempty" json:"failures,omitempty"`
	MaxFailures int      `msgpack:"q,omitempty" json:"-"`
	Evictions   int      `msgpack:"v,omitempty" json:"evictions,omitempty"`
	// Restarts counts the worker restarts under the task in a row, each within restartWindowMS of
	// its placement.
	Restarts int    `msgpack:"y,omitempty" json:"restarts,omitempty"`
	Reason   string `msgpack:"w,omitempty" json:"reason,omitempty"`
}

// Ran reports whether the task was ever started, as far as that is known.
func (t *Task) Ran() Ran {
	switch {
	case t.Started:
		return RanYes
	case t.Rejected == t.Attempt:
		return RanNo
	}
	return RanMaybe
}

// Holds reports whether the task holds capacity on an agent.
func (t *Task) Holds() bool { return t.Phase == Placed || t.Phase == Stopping }

// Over reports whether the task will not run again.
func (t *Task) Over() bool {
	return t.Phase == Done || t.Phase == SetAside || t.Phase == Cancelled
}

// Submit is the command that submits tasks of a job. Sent again under the same ID it gets the
// first answer.
type Submit struct {
	ID     string `msgpack:"i" json:"id"`
	Market string `msgpack:"m" json:"market"`
	Job    string `msgpack:"j" json:"job"`
	Count  int    `msgpack:"c" json:"count"`
	// IssuedMS is when the operator first made the submission, in
	// milliseconds since 1970. An old one is refused, not run again.
	IssuedMS int64 `msgpack:"s" json:"issued_ms"`
}

// Cancel is the command that cancels the named tasks and, if Job is set, all tasks of that job.
type Cancel struct {
	Market string   `msgpack:"m" json:"market"`
	Job    string   `msgpack:"j,omitempty" json:"job,omitempty"`
	Tasks  []string `msgpack:"t,omitempty" json:"tasks,omitempty"`
}

// CancelAnswer counts the tasks of a cancellation by result.
type CancelAnswer struct {
	Cancelled int `msgpack:"c" json:"cancelled"` // will certainly not start
	Stopping  int `msgpack:"s" json:"stopping"`  // placed: may have run
	Over      int `msgpack:"o" json:"already_over"`
}

// Placement assigns a waiting task to an agent.
type Placement struct {
	Task  string `msgpack:"t"`
	Agent string `msgpack:"g"`
	Boot  string `msgpack:"b"`
	// Attempt is the number that the new attempt is to have, so that a plan made from an old
	// snapshot cannot start a task twice.
	Attempt uint32 `msgpack:"a"`
}

// Eviction orders a checkpoint and stop of one attempt.
type Eviction struct {
	Task    string `msgpack:"t"`
	Attempt uint32 `msgpack:"a"`
}

// SetAsideTask removes from the queue a task that can never run.
type SetAsideTask struct {
	Task   string `msgpack:"t"`
	Reason string `msgpack:"r"`
}

// Plan holds the decisions of a scheduling pass from a snapshot.
type Plan struct {
	Placements []Placement    `msgpack:"p,omitempty"`
	Evictions  []Eviction     `msgpack:"e,omitempty"`
	SetAside   []SetAsideTask `msgpack:"s,omitempty"`
}

// PlanResult counts the decisions of a plan by result.
type PlanResult struct {
	Placed, Stale, NoRoom, Evicted, SetAside int
}

// Outcome is how an attempt ended.
type Outcome string

// The outcomes of attempts.
const (
	OutcomeDone     Outcome = "done"
	OutcomeFailed   Outcome = "failed"
	OutcomeStopped  Outcome = "stopped"  // evicted or cancelled; checkpoint saved if ordered
	OutcomeRejected Outcome = "rejected" // certainly never started
	OutcomeLost     Outcome = "lost"     // the lease ended, or the worker restarted
)

// End reports the end of one attempt.
type End struct {
	Task       string  `msgpack:"t" json:"task"`
	Attempt    uint32  `msgpack:"a" json:"attempt"`
	Outcome    Outcome `msgpack:"o" json:"outcome"`
	Checkpoint string  `msgpack:"c,omitempty" json:"checkpoint,omitempty"`
	Reason     string  `msgpack:"r,omitempty" json:"reason,omitempty"`
}

// Order tells an agent to hold or stop one attempt.
type Order struct {
	Task       string          `msgpack:"t" json:"task"`
	Attempt    uint32          `msgpack:"a" json:"attempt"`
	Market     string          `msgpack:"m" json:"market"`
	Job        string          `msgpack:"j" json:"job"`
	Need       resource.Vector `msgpack:"n" json:"need"`
	RunTime    int64           `msgpack:"r" json:"run_time_ms"`
	Checkpoint string          `msgpack:"c,omitempty" json:"checkpoint,omitempty"`
	Stop       StopMode        `msgpack:"k,omitempty" json:"stop,omitempty"`
}
