// Package jobs holds the jobs that callers hand in: graphs of steps, their tasks
// and the runs of these on workers. State is a pure state machine under the
// quorum's log: which run of a task may exist, and where, is committed before a
// worker hears of it.
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

// ParseRef reads a task's name.
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

// Step is a part of a job: tasks that are alike and may run side by side.
type Step struct {
	Count int             `msgpack:"c" json:"count,omitempty"`
	Need  resource.Vector `msgpack:"n" json:"need,omitempty"`
	// EstimateMS is the caller's rough word of a task's duration.
	EstimateMS int64 `msgpack:"e" json:"estimate_ms,omitempty"`
	// DependsOn lists earlier steps, all of whose tasks must be done first.
	DependsOn []int `msgpack:"d,omitempty" json:"depends_on,omitempty"`
	// Checkpointing tasks save their progress and resume from it.
	Checkpointing bool `msgpack:"p,omitempty" json:"checkpointing,omitempty"`
	// Gang tasks work only together: all or none are placed.
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
	// Fills says that the tasks take only processor time that others leave.
	Fills bool `msgpack:"i,omitempty" json:"fills,omitempty"`
	// MaxUnavailable bounds the standing tasks that the system itself may
	// keep away at a time.
	MaxUnavailable int `msgpack:"u,omitempty" json:"max_unavailable,omitempty"`
}

// Spec is what a caller hands in.
type Spec struct {
	Payload string `msgpack:"p" json:"payload,omitempty"`
	Steps   []Step `msgpack:"s" json:"steps,omitempty"`
	// Repeat is how often the steps run; 0 means once, at once.
	Repeat int `msgpack:"r,omitempty" json:"repeat,omitempty"`
	// StartAt and Every give the due time of each repetition, in
	// milliseconds since 1970 and between them.
	StartAt int64 `msgpack:"a,omitempty" json:"start_at_ms,omitempty"`
	Every   int64 `msgpack:"e,omitempty" json:"every_ms,omitempty"`
}

// String sums a job up for logs: each step's tasks, need and estimate.
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

// Phase is where a job stands.
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

// Over reports whether nothing of the job will start any more.
func (p Phase) Over() bool { return p >= Completed }

// Job is one job with everything that is known of its tasks.
type Job struct {
	ID string `msgpack:"i"`
	// Host and Prefix are the queue that took the job.
	Host   string `msgpack:"h"`
	Prefix string `msgpack:"p"`
	Spec   Spec   `msgpack:"s"`
	Phase  Phase  `msgpack:"f"`
	// Seq orders jobs by their acceptance: the log's index.
	Seq uint64 `msgpack:"q"`
	// AcceptedAt is when the leader took the job, by the median of many clocks,
	// in milliseconds since 1970. It only orders work.
	AcceptedAt int64    `msgpack:"a"`
	Groups     []*Group `msgpack:"g"` // by occurrence, then step
	// Why tells operators for what the job failed, "" if it did not.
	Why    string `msgpack:"w,omitempty"`
	active int    // runs that hold room
}

// Group is one step of one occurrence.
type Group struct {
	Tasks []Task `msgpack:"t"`
	// Failures counts the failed runs of a gang as a whole.
	Failures int `msgpack:"f,omitempty"`
	// Suspected is what is held against a gang as a whole, nil for nothing.
	Suspected *Suspicion `msgpack:"x,omitempty"`

	job        *Job
	occurrence int
	step       int
	done       int // tasks that are done
	waiting    int // tasks that wait for a place
}

// Task is one unit of work.
type Task struct {
	Done       bool   `msgpack:"d,omitempty"`
	Run        uint32 `msgpack:"r,omitempty"` // number of the newest run
	Failures   int    `msgpack:"f,omitempty"`
	Checkpoint string `msgpack:"c,omitempty"`
	// Placed is the run that holds room, nil for none.
	Placed *Placed `msgpack:"p,omitempty"`
	// Copy is a second run beside Placed, on another worker, of a step that
	// allows it; nil for none. The first of the two that is done counts.
	Copy *Placed `msgpack:"k,omitempty"`
	// Suspected is what is held against the task, nil for nothing.
	Suspected *Suspicion `msgpack:"x,omitempty"`
}

// Placed is a run on a worker, from the decision until its end is committed.
type Placed struct {
	Worker string `msgpack:"w"`
	Run    uint32 `msgpack:"r"`
	// Stopping is set once the run is to end.
	Stopping bool `msgpack:"s,omitempty"`
	// AtMS is when the leader decided on it, by the median of many clocks, in
	// milliseconds since 1970. It only tells runs that take long.
	AtMS int64 `msgpack:"a,omitempty"`
	// SinceMS is when its task began to wait for it, by the same clock: when the call that
	// handed the job in arrived, or when the step before ended. It is 0 if that is not known,
	// and for all but first runs. It only measures.
	SinceMS int64 `msgpack:"b,omitempty"`
	// Ticket is the advisor's word that the worker may run it, "" if none is needed.
	Ticket string `msgpack:"t,omitempty"`
	// Changed is the log index of the newest decision on the run. An agent
	// that knows everything up to an index asks for what changed after it.
	Changed uint64 `msgpack:"c"`
}

// waits reports whether a task of a live job needs a place.
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

// Runs returns the task's runs that hold room.
func (t *Task) Runs() []*Placed {
	switch {
	case t.Placed == nil:
		return nil
	case t.Copy == nil:
		return []*Placed{t.Placed}
	}
	return []*Placed{t.Placed, t.Copy}
}

// clear forgets one of the task's runs. A copy that is left takes its place.
func (t *Task) clear(r *Placed) {
	if r == t.Placed {
		t.Placed = t.Copy
	}
	t.Copy = nil
}

// Worker is one incarnation of a worker.
type Worker struct {
	ID         string          `msgpack:"i"`
	Agent      string          `msgpack:"a"` // instance of the agent beside it
	Service    string          `msgpack:"s"`
	DataCentre string          `msgpack:"z"`
	Labels     []string        `msgpack:"l"`
	Rack       string          `msgpack:"k,omitempty"` // one of the labels
	Capacity   resource.Vector `msgpack:"c"`
	// Token is the fencing token of the agent's present session. It is a log
	// index, so it rises with each.
	Token uint64 `msgpack:"t"`
	// Life tells one start of the agent from the next.
	Life string `msgpack:"f"`
	// Registered is the log index of the newest registration.
	Registered uint64 `msgpack:"r"`
	Draining   bool   `msgpack:"d,omitempty"`
	// LentLate says that calls for the worker's start before may have reached this one before
	// its agent fenced it, a moment before its first registration: its lease may be as long as
	// workers take. The agent takes it back once that time has passed.
	LentLate bool `msgpack:"n,omitempty"`
}

// Loss names a worker whose lease has ended, as it was when that was decided.
type Loss struct {
	Worker     string `msgpack:"w"`
	Registered uint64 `msgpack:"r"`
}

// HasLabel reports whether the worker carries a label.
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
	OutcomeStopped          // by an order, progress saved if it can be
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

// End is the end of one run, as its worker tells it.
type End struct {
	Task       Ref     `msgpack:"t"`
	Run        uint32  `msgpack:"r"`
	Outcome    Outcome `msgpack:"o"`
	Checkpoint string  `msgpack:"c,omitempty"`
	// WorkMS is how long the run was at work at full pace from its beginning,
	// 0 if that is not known.
	WorkMS int64 `msgpack:"w,omitempty"`
}

// Order is what an agent is to do about one run.
type Order struct {
	Task       Ref    `msgpack:"t"`
	Run        uint32 `msgpack:"r"`
	Stop       bool   `msgpack:"s,omitempty"`
	Payload    string `msgpack:"p,omitempty"`
	Checkpoint string `msgpack:"c,omitempty"`
	Ticket     string `msgpack:"k,omitempty"`
	// TargetMS and Fills tell the agent whom to slow down for whom.
	TargetMS int64  `msgpack:"l,omitempty"`
	Fills    bool   `msgpack:"f,omitempty"`
	Image    string `msgpack:"m,omitempty"`
	MilliCPU int64  `msgpack:"u,omitempty"`
	// Held is what the run takes of the worker's room.
	Held resource.Vector `msgpack:"h,omitempty"`
	// AtMS and SinceMS are when the run was decided on and since when its task has waited
	// for it, see Placed. AfterStep says that it waited for the step before.
	AtMS      int64 `msgpack:"y,omitempty"`
	SinceMS   int64 `msgpack:"z,omitempty"`
	AfterStep bool  `msgpack:"a,omitempty"`
}

// Placement gives tasks of one group to workers. A gang's placement names all
// its tasks.
type Placement struct {
	Job        string   `msgpack:"j"`
	Occurrence int      `msgpack:"k"`
	Step       int      `msgpack:"s"`
	Indexes    []int    `msgpack:"i"`
	Workers    []string `msgpack:"w"`
	// Tickets, by task, come from the advisor; there are none if it need not be asked.
	Tickets []string `msgpack:"t,omitempty"`
	// Copy places second runs of tasks that are at work already.
	Copy bool `msgpack:"c,omitempty"`
	// SinceMS is since when the group's tasks have waited for their first runs, see Placed.
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

// Stop asks for the end of one run.
type Stop struct {
	Task Ref    `msgpack:"t"`
	Run  uint32 `msgpack:"r"`
}

// Plan is what the dispatcher decided from a snapshot.
type Plan struct {
	Placements []Placement `msgpack:"p,omitempty"`
	Stops      []Stop      `msgpack:"s,omitempty"`
	// AtMS is when it was made, see Placed.
	AtMS int64 `msgpack:"a,omitempty"`
}

// Empty reports whether the plan changes nothing.
func (p *Plan) Empty() bool { return len(p.Placements) == 0 && len(p.Stops) == 0 }
