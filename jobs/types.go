// Package jobs holds the jobs that callers submit: graphs of steps, their tasks and the runs of
// these tasks on workers. State is a deterministic state machine driven by the quorum's log: which
// run of a task may exist, and where, is committed before a worker is told.
package jobs

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/waxwinghaven/waxwinghaven/resource"
)

// Ref names a task: the job's id, the occurrence (0 for a job that runs once),
// the step and the task's index in it.
type Ref struct {
	Job        string `msgpack:"j"`
	Occurrence int    `msgpack:"k"`
	Step       int    `msgpack:"s"`
	Index      int    `msgpack:"i"`
}

// String returns the task's name, JOB.OCCURRENCE.STEP.INDEX.
func (r Ref) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", r.Job, r.Occurrence, r.Step, r.Index)
}

// ParseRef parses a task's name as String returns it.
func ParseRef(name string) (Ref, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return Ref{}, fmt.Errorf("task name %q does not have four parts", name)
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil {
			return Ref{}, fmt.Errorf("task name %q: %v", name, err)
		}
		n[i] = v
	}
	return Ref{parts[0], n[0], n[1], n[2]}, nil
}

// Step is a part of a job: identical tasks that may run in parallel.
type Step struct {
	Count int             `msgpack:"c" json:"count,omitempty"`
	Need  resource.Vector `msgpack:"n" json:"need,omitempty"`
	// EstimateMS is the caller's rough estimate of a task's duration.
	EstimateMS int64 `msgpack:"e" json:"estimate_ms,omitempty"`
	// DependsOn lists earlier steps, all of whose tasks must be done first.
	DependsOn []int `msgpack:"d,omitempty" json:"depends_on,omitempty"`
	// Checkpointing tasks save their progress and resume from it.
	Checkpointing bool `msgpack:"p,omitempty" json:"checkpointing,omitempty"`
	// Gang tasks only work together: all or none are placed.
	Gang bool `msgpack:"g,omitempty" json:"gang,omitempty"`
	// RackSensitive tasks are slower when spread over racks.
	RackSensitive bool   `msgpack:"r,omitempty" json:"rack_sensitive,omitempty"`
	Label         string `msgpack:"l,omitempty" json:"label,omitempty"`          // that the worker must have
	PreferredRack string `msgpack:"f,omitempty" json:"preferred_rack,omitempty"` // where the data is
	// MaxPerWorker bounds a step's tasks on one worker, 0 for no bound.
	MaxPerWorker int  `msgpack:"a,omitempty" json:"max_per_worker,omitempty"`
	Speculative  bool `msgpack:"v,omitempty" json:"speculative,omitempty"`
	// Standing tasks run until the job is cancelled.
	Standing bool   `msgpack:"o,omitempty" json:"standing,omitempty"`
	Image    string `msgpack:"m,omitempty" json:"image,omitempty"`
	// TargetMS is the bound on the tail latency of a standing task that
	// serves users of its own, 0 for none.
	TargetMS int64 `msgpack:"t,omitempty" json:"target_ms,omitempty"`
	// Fills marks tasks that use only CPU time left over by others.
	Fills bool `msgpack:"i,omitempty" json:"fills,omitempty"`
	// MaxUnavailable bounds the standing tasks that the scheduler itself may make unavailable at a
	// time.
	MaxUnavailable int `msgpack:"u,omitempty" json:"max_unavailable,omitempty"`
}

// Spec is a job as its caller specifies it.
type Spec struct {
	Payload string `msgpack:"p" json:"payload,omitempty"`
	Steps   []Step `msgpack:"s" json:"steps,omitempty"`
	// Repeat is how often the steps run; 0 means once, immediately.
	Repeat int `msgpack:"r,omitempty" json:"repeat,omitempty"`
	// StartAt is the due time of the first occurrence, in milliseconds since 1970, and Every the
	// interval between occurrences, in milliseconds.
	StartAt int64 `msgpack:"a,omitempty" json:"start_at_ms,omitempty"`
	Every   int64 `msgpack:"e,omitempty" json:"every_ms,omitempty"`
}

// String summarises a job for logs: each step's tasks, need and estimate.
func (s *Spec) String() string {
	var b strings.Builder
	for i := range s.Steps {
		st := &s.Steps[i]
		if i > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "%dx%dm/%dMB~%dms", st.Count, st.Need.MilliCPU, st.Need.MemoryMB, st.EstimateMS)
		for _, f := range []struct {
			on   bool
			name string
		}{{st.Fills, "fills"}, {st.Standing, "standing"}, {st.Gang, "gang"}, {st.Checkpointing, "saves"}, {st.Speculative, "copies"}} {
			if f.on {
				b.WriteString(" " + f.name)
			}
		}
		if st.Image != "" {
			b.WriteString(" image=" + st.Image)
		}
		if st.TargetMS > 0 {
			fmt.Fprintf(&b, " target=%dms", st.TargetMS)
		}
		if st.MaxPerWorker > 0 {
			fmt.Fprintf(&b, " per-worker=%d", st.MaxPerWorker)
		}
		if st.MaxUnavailable > 0 {
			fmt.Fprintf(&b, " away=%d", st.MaxUnavailable)
		}
		if len(st.DependsOn) > 0 {
			fmt.Fprintf(&b, " after%v", st.DependsOn)
		}
	}
	return b.String()
}

// Phase is the state of a job.
type Phase uint8

// The phases of a job.
const (
	Queued Phase = iota
	Running
	Completed
	Failed
	Cancelled
)

// String returns the phase's name.
func (p Phase) String() string {
	return [...]string{"queued", "running", "completed", "failed", "cancelled"}[p]
}

// Over reports whether the phase is final: no task of the job will start any more.
func (p Phase) Over() bool { return p >= Completed }

// Job is one job with the state of its tasks.
type Job struct {
	ID string `msgpack:"i"`
	// Host and Prefix identify the queue that accepted the job.
	Host   string `msgpack:"h"`
	Prefix string `msgpack:"p"`
	Spec   Spec   `msgpack:"s"`
	Phase  Phase  `msgpack:"f"`
	// Seq is the log index of the job's acceptance. It orders jobs.
	Seq uint64 `msgpack:"q"`
	// AcceptedAt is when the leader accepted the job, or when it first refused a job that kept its
	// place until it was accepted, by the median of many clocks, in milliseconds since 1970. It is
	// used only to admit, classify and order work, and may be earlier than that of a job with a
	// lower Seq.
	AcceptedAt int64    `msgpack:"a"`
	Groups     []*Group `msgpack:"g"` // by occurrence, then step
	// Began is set once it is committed that a task of the job has started. A run of a job without it
	// may have started all the same.
	Began bool `msgpack:"b,omitempty"`
	// FailureReason is the reason of the failure for operators, "" if the job did not fail.
	FailureReason string `msgpack:"w,omitempty"`
	active        int    // runs that hold capacity
}

// Group is one step of one occurrence.
type Group struct {
	Tasks []Task `msgpack:"t"`
	// Failures counts the failed runs of a gang as a whole, and FailedRun is the newest one that was
	// counted: several members of one run may fail.
	Failures  int    `msgpack:"f,omitempty"`
	FailedRun uint32 `msgpack:"n,omitempty"`
	// Suspected is the crash history of a gang as a whole, nil for none.
	Suspected *Suspicion `msgpack:"x,omitempty"`

	job        *Job
	occurrence int
	step       int
	done       int // tasks that are done
	waiting    int // tasks that are not done and have no run
}

// Task is one unit of work.
type Task struct {
	Done       bool   `msgpack:"d,omitempty"`
	Run        uint32 `msgpack:"r,omitempty"` // number of the newest run
	Failures   int    `msgpack:"f,omitempty"`
	Checkpoint string `msgpack:"c,omitempty"`
	// Placed is the run that holds capacity, nil for none.
	Placed *Placed `msgpack:"p,omitempty"`
	// Copy is a second run on another worker, nil for none. Only speculative steps have copies,
	// and the first of the two runs that is done counts.
	Copy *Placed `msgpack:"k,omitempty"`
	// Suspected is the task's crash history, nil for none.
	Suspected *Suspicion `msgpack:"x,omitempty"`
}

// Placed is a run on a worker, from the placement decision until its end is committed.
type Placed struct {
	Worker string `msgpack:"w"`
	Run    uint32 `msgpack:"r"`
	// Stopping is set once the run has been ordered to stop.
	Stopping bool `msgpack:"s,omitempty"`
	// AtMS is when the leader placed the run, by the median of many clocks, in milliseconds since
	// 1970. It is used only to detect slow runs.
	AtMS int64 `msgpack:"a,omitempty"`
	// SinceMS is when the task began to wait for this run, by the same clock: when the call that
	// submitted the job arrived, or when the step before ended. It is 0 if that is not known, and
	// for all but first runs. It is used only for measurements.
	SinceMS int64 `msgpack:"b,omitempty"`
	// Ticket is the advisor's permission to run the task on the worker, "" if none is needed.
	Ticket string `msgpack:"t,omitempty"`
	// Changed is the log index of the newest decision on the run. An agent that knows all orders
	// up to an index asks for those that changed after it.
	Changed uint64 `msgpack:"c"`
}

// waits reports whether a task of a live job needs a run.
func (t *Task) waits() bool { return !t.Done && t.Placed == nil }

// On returns the task's run on a worker, nil for none.
func (t *Task) On(worker string) *Placed {
	for _, r := range t.Runs() {
		if r.Worker == worker {
			return r
		}
	}
	return nil
}

// Runs returns the task's runs that hold capacity.
func (t *Task) Runs() []*Placed {
	switch {
	case t.Placed == nil:
		return nil
	case t.Copy == nil:
		return []*Placed{t.Placed}
	}
	return []*Placed{t.Placed, t.Copy}
}

// clear removes one of the task's runs. A remaining copy becomes the task's main run.
func (t *Task) clear(r *Placed) {
	if r == t.Placed {
		t.Placed = t.Copy
	}
	t.Copy = nil
}

// Worker is one incarnation of a worker.
type Worker struct {
	ID         string          `msgpack:"i"`
	Agent      string          `msgpack:"a"` // instance of the worker's agent
	Service    string          `msgpack:"s"`
	DataCentre string          `msgpack:"z"`
	Labels     []string        `msgpack:"l"`
	Rack       string          `msgpack:"k,omitempty"` // one of the labels
	Capacity   resource.Vector `msgpack:"c"`
	// Token is the fencing token of the agent's present session. It is a log index, so it rises
	// with each session.
	Token uint64 `msgpack:"t"`
	// Session identifies the agent's session: one process lifetime of the agent.
	Session string `msgpack:"f"`
	// Registered is the log index of the newest registration.
	Registered uint64 `msgpack:"r"`
	Draining   bool   `msgpack:"d,omitempty"`
	// LateLease is set if calls for the previous incarnation may have reached this one and extended
	// its lease, before the agent fenced it just ahead of its first registration. The lease may
	// then be as long as the longest that workers accept. The agent clears the flag once that time
	// has passed.
	LateLease bool `msgpack:"n,omitempty"`
}

// Loss identifies a worker whose lease has ended, by its registration when that was decided.
type Loss struct {
	Worker     string `msgpack:"w"`
	Registered uint64 `msgpack:"r"`
}

// HasLabel reports whether the worker has a label.
func (w *Worker) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Outcome is how a run ended.
type Outcome uint8

// The outcomes of runs.
const (
	OutcomeDone     Outcome = iota + 1
	OutcomeFailed           // through its own fault or the worker's
	OutcomeStopped          // by an order, with a checkpoint if the task supports it
	OutcomeLost             // the lease lapsed, or the rest of its gang ended
	OutcomeRejected         // certainly never started
)

// String returns the outcome's name.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}

var outcomeNames = [...]string{"none", "done", "failed", "stopped", "lost", "rejected"}

// End is the end of one run, as its worker reports it.
type End struct {
	Task       Ref     `msgpack:"t"`
	Run        uint32  `msgpack:"r"`
	Outcome    Outcome `msgpack:"o"`
	Checkpoint string  `msgpack:"c,omitempty"`
	// WorkMS is how long the run worked at full pace from its beginning, in milliseconds, 0 if that
	// is not known.
	WorkMS int64 `msgpack:"w,omitempty"`
}

// Order tells an agent to start or stop one run.
type Order struct {
	Task       Ref    `msgpack:"t"`
	Run        uint32 `msgpack:"r"`
	Stop       bool   `msgpack:"s,omitempty"`
	Payload    string `msgpack:"p,omitempty"`
	Checkpoint string `msgpack:"c,omitempty"`
	Ticket     string `msgpack:"k,omitempty"`
	// TargetMS and Fills tell the agent which runs to slow down in favour of which others.
	TargetMS int64  `msgpack:"l,omitempty"`
	Fills    bool   `msgpack:"f,omitempty"`
	Image    string `msgpack:"m,omitempty"`
	MilliCPU int64  `msgpack:"u,omitempty"`
	// Standing is set for a run that goes on until it is stopped.
	Standing bool `msgpack:"g,omitempty"`
	// Held is the part of the worker's capacity that the run takes.
	Held resource.Vector `msgpack:"h,omitempty"`
	// AtMS and SinceMS are when the run was placed and since when its task had waited for it, see
	// Placed. AfterStep is set if the task depended on earlier steps.
	AtMS      int64 `msgpack:"y,omitempty"`
	SinceMS   int64 `msgpack:"z,omitempty"`
	AfterStep bool  `msgpack:"a,omitempty"`
}

// Placement assigns tasks of one group to workers. A gang's placement names all its tasks.
type Placement struct {
	Job        string   `msgpack:"j"`
	Occurrence int      `msgpack:"k"`
	Step       int      `msgpack:"s"`
	Indexes    []int    `msgpack:"i"`
	Workers    []string `msgpack:"w"`
	// Tickets holds the advisor's tickets, in the order of Indexes. It is empty if the advisor
	// need not be asked.
	Tickets []string `msgpack:"t,omitempty"`
	// Copy places second runs of tasks that are running already.
	Copy bool `msgpack:"c,omitempty"`
	// SinceMS is when the group's tasks began to wait for their first runs, see Placed.
	SinceMS int64 `msgpack:"b,omitempty"`
}

// run returns the run that the placement gives its i-th task.
func (p *Placement) run(i int, number uint32, atMS int64) Placed {
	r := Placed{Worker: p.Workers[i], Run: number, AtMS: atMS}
	if i < len(p.Tickets) {
		r.Ticket = p.Tickets[i]
	}
	if number == 1 {
		r.SinceMS = p.SinceMS
	}
	return r
}

// Stop orders the end of one run.
type Stop struct {
	Task Ref    `msgpack:"t"`
	Run  uint32 `msgpack:"r"`
}

// Plan holds the dispatcher's decisions from a snapshot.
type Plan struct {
	Placements []Placement `msgpack:"p,omitempty"`
	Stops      []Stop      `msgpack:"s,omitempty"`
	// AtMS is when the plan was made, see Placed.
	AtMS int64 `msgpack:"a,omitempty"`
}

// Empty reports whether the plan changes nothing.
func (p *Plan) Empty() bool { return len(p.Placements) == 0 && len(p.Stops) == 0 }
