// Package lease holds the tasks and their attempts. State is a pure state
// machine under the quorum's log: which attempt of a task may run, where, and
// from which checkpoint, is committed before a worker hears of it.
package lease

import (
	"github.com/waxwinghaven/waxwinghaven/market"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

// Phase is where a task stands.
type Phase string

// The phases. Only Placed and Stopping hold room on an agent.
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

// What is known of a task's starts. RanNo is said only when every attempt was
// certified as never started.
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
	StopCheckpoint          // save, then stop: the task resumes elsewhere
	StopCancel              // stop for good
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
	Rejected    uint32   `msgpack:"x,omitempty" json:"-"` // attempts certified as never started
	Started     bool     `msgpack:"z,omitempty" json:"-"`
	Agent       string   `msgpack:"g,omitempty" json:"agent,omitempty"`
	Boot        string   `msgpack:"o,omitempty" json:"-"`
	Stop        StopMode `msgpack:"k,omitempty" json:"-"`
	Checkpoint  string   `msgpack:"c,omitempty" json:"checkpoint,omitempty"`
	Failures    int      `msgpack:"f,omitempty" json:"failures,omitempty"`
	MaxFailures int      `msgpack:"q,omitempty" json:"-"`
	Evictions   int      `msgpack:"v,omitempty" json:"evictions,omitempty"`
	// Restarts counts the workers that were started anew under the task in a row, each
	// within restartAge of the task's start.
	Restarts int    `msgpack:"y,omitempty" json:"restarts,omitempty"`
	Reason   string `msgpack:"w,omitempty" json:"reason,omitempty"`
}

// Ran tells whether the task was ever started.
func (t *Task) Ran() Ran {
	switch {
	case t.Started:
		return RanYes
	case t.Rejected == t.Attempt:
		return RanNo
	}
	return RanMaybe
}

// Holds reports whether the task holds room on an agent.
func (t *Task) Holds() bool { return t.Phase == Placed || t.Phase == Stopping }

// Over reports whether the task will not run again.
func (t *Task) Over() bool {
	return t.Phase == Done || t.Phase == SetAside || t.Phase == Cancelled
}

// Submit asks for tasks of a job. Sent again under the same ID it gets the
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

// Cancel ends all tasks of a job, or the ones named.
type Cancel struct {
	Market string   `msgpack:"m" json:"market"`
	Job    string   `msgpack:"j,omitempty" json:"job,omitempty"`
	Tasks  []string `msgpack:"t,omitempty" json:"tasks,omitempty"`
}

// CancelAnswer counts what a cancellation found.
type CancelAnswer struct {
	Cancelled int `msgpack:"c" json:"cancelled"` // will certainly not start
	Stopping  int `msgpack:"s" json:"stopping"`  // placed: may have run
	Over      int `msgpack:"o" json:"already_over"`
}

// Placement gives a waiting task to an agent.
type Placement struct {
	Task  string `msgpack:"t"`
	Agent string `msgpack:"g"`
	Boot  string `msgpack:"b"`
	// Attempt is the one that the plan was made for, so that a plan made
	// from an old snapshot cannot start a task twice.
	Attempt uint32 `msgpack:"a"`
}

// Eviction asks for a checkpoint and stop of one attempt.
type Eviction struct {
	Task    string `msgpack:"t"`
	Attempt uint32 `msgpack:"a"`
}

// SetAsideTask takes a task that can never run out of the queue.
type SetAsideTask struct {
	Task   string `msgpack:"t"`
	Reason string `msgpack:"r"`
}

// Plan is what a scheduling pass decided from a snapshot.
type Plan struct {
	Placements []Placement    `msgpack:"p,omitempty"`
	Evictions  []Eviction     `msgpack:"e,omitempty"`
	SetAside   []SetAsideTask `msgpack:"s,omitempty"`
}

// PlanResult counts what of a plan took effect.
type PlanResult struct {
	Placed, Stale, NoRoom, Evicted, SetAside int
}

// Outcome is how an attempt ended.
type Outcome string

// The outcomes of attempts.
const (
	OutcomeDone     Outcome = "done"
	OutcomeFailed   Outcome = "failed"
	OutcomeStopped  Outcome = "stopped"  // evicted or cancelled; checkpoint saved if asked for
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

// Order is what an agent is to do with one attempt.
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
