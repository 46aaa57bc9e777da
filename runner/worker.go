// Package runner carries out the control's orders on the one worker beside an
// agent: it starts and stops runs under a lease and a fencing token, reports
// their ends, and slows filling runs down that disturb serving ones.
package runner

import (
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/transport"
)

// Worker is the interface of a worker that runs tasks. Each call names the
// incarnation it is meant for. An error other than ErrNotSent means that the call
// may have been carried out, or may still be, seconds later.
type Worker interface {
	Start(StartCall) (Reply, error)
	Stop(StopCall) (Reply, error)
	Hold(HoldCall) (HoldReply, error)
	Pace(PaceCall) (Reply, error)
}

// ErrNotSent is the error of a call that certainly never left.
var ErrNotSent = transport.ErrNotSent

// ErrClosed is the error of a call whose connection the worker's side ended: its process
// is gone, or the connection was reset. A call may have both errors.
var ErrClosed = transport.ErrClosed

// ErrRefused is the error of a call to an address where nobody takes connections: no worker
// stands there. Such a call has the other two errors as well.
var ErrRefused = transport.ErrRefused

// Target names whom a call is for and with which right it is made.
type Target struct {
	Worker string `json:"worker"` // incarnation
	Token  uint64 `json:"token"`  // fencing token
}

// StartCall starts a run.
type StartCall struct {
	Target
	Task       jobs.Ref `json:"task"`
	Run        uint32   `json:"run"`
	Payload    string   `json:"payload,omitempty"`
	Checkpoint string   `json:"checkpoint,omitempty"`
	Ticket     string   `json:"ticket,omitempty"` // of the advisor, "" for none
	// LeaseEndMS is the end of the worker's lease on its own clock. It holds
	// for everything that runs there and never moves back.
	LeaseEndMS int64 `json:"lease_end_ms"`
}

// StopCall ends a run. Once it is answered, that run and lower ones of the task
// never start any more on this incarnation.
type StopCall struct {
	Target
	Task jobs.Ref `json:"task"`
	Run  uint32   `json:"run"`
}

// HoldCall extends the lease, tells which ends may be forgotten, and waits up to
// Wait for a new one.
type HoldCall struct {
	Target
	LeaseEndMS int64         `json:"lease_end_ms,omitempty"` // 0 to extend nothing
	Cursor     uint64        `json:"cursor"`
	Wait       time.Duration `json:"wait_ns,omitempty"`
}

// PaceCall lets a run work at a part of its speed, 0 to 100.
type PaceCall struct {
	Target
	Task    jobs.Ref `json:"task"`
	Run     uint32   `json:"run"`
	Percent int      `json:"percent"`
}

// Verdict is a worker's answer to a call.
type Verdict uint8

// The verdicts. All but Done mean that the call did nothing.
const (
	VerdictDone      Verdict = iota
	VerdictFenced            // a higher token was seen
	VerdictOld               // this run, or a higher one of the task, has ended or was stopped
	VerdictLate              // the lease in the call has ended
	VerdictNoRoom            // it does not fit
	VerdictNoTicket          // the advisor's ticket is missing or expired
	VerdictInvalid           // it cannot be done
	VerdictBusy              // the worker is not well
	VerdictElsewhere         // another incarnation stands here
)

var verdictNames = [...]string{"done", "fenced", "old", "late", "no-room", "no-ticket", "invalid", "busy", "elsewhere"}

// String returns the verdict's name.
func (v Verdict) String() string {
	if int(v) >= len(verdictNames) {
		return "unknown"
	}
	return verdictNames[v]
}

// Reply answers a call.
type Reply struct {
	Verdict Verdict `json:"verdict"`
	ClockMS int64   `json:"clock_ms"` // the worker's steady clock, 0 if it was not told
}

// HoldReply lists what runs and what ended.
type HoldReply struct {
	Reply
	Running  []RunningRun  `json:"running"`
	Finished []FinishedRun `json:"finished"`
}

// RunningRun is one run at work.
type RunningRun struct {
	Task jobs.Ref `json:"task"`
	Run  uint32   `json:"run"`
	// Checkpoint is the newest progress that is saved.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Percent is how much of its work is done, and 100 for a standing run that
	// is at work.
	Percent int `json:"percent"`
	// Figure is the tail latency in ms of a serving run over the last half
	// second, and the processors in use, in thousandths, of any other.
	Figure float64 `json:"figure"`
}

// FinishedRun is one end that was not forgotten yet.
type FinishedRun struct {
	Number     uint64       `json:"number"` // rises by one with each end on this incarnation
	Task       jobs.Ref     `json:"task"`
	Run        uint32       `json:"run"`
	Outcome    jobs.Outcome `json:"outcome"`
	How        string       `json:"how"` // the worker's own word, for logs
	Checkpoint string       `json:"checkpoint,omitempty"`
}
