// Package runner carries out the control's orders on the worker beside an agent: it starts and
// stops runs under a lease and a fencing token, reports their ends, and slows down filling
// runs that interfere with serving ones.
package runner

import (
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/transport"
)

// Worker is the interface of a worker that runs tasks. Each call names the incarnation it is
// meant for. An error other than ErrNotSent means that the call may have been carried out, or
// may still be, seconds later.
type Worker interface {
	Start(StartCall) (Reply, error)
	Stop(StopCall) (Reply, error)
	Hold(HoldCall) (HoldReply, error)
	Pace(PaceCall) (Reply, error)
}

// ErrNotSent is the error of a call that was certainly not sent.
var ErrNotSent = transport.ErrNotSent

// ErrClosed is the error of a call whose connection was closed by the worker's side: its
// process has ended, or the connection was reset. A call may have both errors.
var ErrClosed = transport.ErrClosed

// ErrRefused is the error of a call to an address that refuses connections: no worker is
// running there. Such a call has the other two errors as well.
var ErrRefused = transport.ErrRefused

// Target names the incarnation that a call is meant for and the fencing token that authorises
// it.
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
	Ticket     string   `json:"ticket,omitempty"` // the advisor's ticket, "" for none
	// LeaseEndMS is the end of the worker's lease on the worker's own clock. It applies to
	// everything that runs there and never moves back.
	LeaseEndMS int64 `json:"lease_end_ms"`
}

// StopCall ends a run. Once it is answered, this run and lower ones of the task can no longer
// start on this incarnation.
type StopCall struct {
	Target
	Task jobs.Ref `json:"task"`
	Run  uint32   `json:"run"`
}

// HoldCall extends the lease, acknowledges ends up to Cursor, and waits up to Wait for a new
// end.
type HoldCall struct {
	Target
	LeaseEndMS int64         `json:"lease_end_ms,omitempty"` // 0 to leave the lease unchanged
	Cursor     uint64        `json:"cursor"`
	Wait       time.Duration `json:"wait_ns,omitempty"`
}

// PaceCall sets the speed of a run in percent, 0 to 100.
type PaceCall struct {
	Target
	Task    jobs.Ref `json:"task"`
	Run     uint32   `json:"run"`
	Percent int      `json:"percent"`
}

// Verdict is a worker's answer to a call.
type Verdict uint8

// The verdicts. All but VerdictDone mean that the call had no effect.
const (
	VerdictDone             Verdict = iota
	VerdictFenced                   // a higher token was seen
	VerdictOld                      // this run, or a higher one of the task, has ended or was stopped
	VerdictLate                     // the lease in the call has ended
	VerdictNoCapacity               // it does not fit
	VerdictNoTicket                 // the advisor's ticket is missing or expired
	VerdictInvalid                  // the call cannot be carried out
	VerdictBusy                     // the worker is overloaded or failing
	VerdictOtherIncarnation         // another incarnation is at this address
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
	ClockMS int64   `json:"clock_ms"` // the worker's monotonic clock, 0 if not given
}

// HoldReply lists the runs that are running and those that have ended.
type HoldReply struct {
	Reply
	Running  []RunningRun  `json:"running"` // all of them
	Finished []FinishedRun `json:"finished"`
	// Truncated says that further ends may wait until those in Finished are acknowledged. Nothing
	// follows then from the absence of a run.
	Truncated bool `json:"truncated,omitempty"`
}

// RunningRun is a run that is running.
type RunningRun struct {
	Task jobs.Ref `json:"task"`
	Run  uint32   `json:"run"`
	// Checkpoint is the newest saved progress.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Percent is how much of its work is done, and 100 for a standing run that is at work.
	Percent int `json:"percent"`
	// Measured is the tail latency of a serving run over the last half second, in ms, and for
	// any other run the processors in use, in thousandths.
	Measured float64 `json:"figure"`
}

// FinishedRun is the end of a run that is not acknowledged yet.
type FinishedRun struct {
	Number     uint64       `json:"number"` // increases by one with each end on this incarnation
	Task       jobs.Ref     `json:"task"`
	Run        uint32       `json:"run"`
	Outcome    jobs.Outcome `json:"outcome"`
	How        string       `json:"how"` // the worker's own term, for logs
	Checkpoint string       `json:"checkpoint,omitempty"`
}
