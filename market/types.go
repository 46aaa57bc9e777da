// Package market holds the configuration that operators manage: markets, their services, jobs
// and presets, and the teams with their quotas. State is a deterministic state machine that
// applies the quorum's log, so that every replica holds the same state.
package market

import (
	"maps"
	"time"
)

// Market is a set of services and jobs run under one preset at a time.
type Market struct {
	Name string `msgpack:"n" json:"name"`
}

// RetryRule defines which requests an entry may send again after a failure of unknown outcome.
type RetryRule string

// The retry rules.
const (
	// RetrySafe allows it for methods that HTTP defines as safe or idempotent.
	RetrySafe RetryRule = "safe"
	// RetryNever allows it for no request: only those that were certainly not run are
	// sent again.
	RetryNever RetryRule = "never"
)

// Service is a latency-critical application that callers reach.
type Service struct {
	Name string `msgpack:"n" json:"name"`
	// Host selects the service by the Host header; empty matches any.
	Host string `msgpack:"h,omitempty" json:"host,omitempty"`
	// PathPrefix selects the service by the start of the path.
	PathPrefix string `msgpack:"p,omitempty" json:"path_prefix,omitempty"`
	// TimeoutMS is the maximum time of a request, in milliseconds.
	TimeoutMS int64     `msgpack:"t" json:"timeout_ms"`
	Retry     RetryRule `msgpack:"r,omitempty" json:"retry,omitempty"`
	// KeyRequired refuses non-idempotent requests without an Idempotency-Key.
	KeyRequired bool `msgpack:"k,omitempty" json:"key_required,omitempty"`
	// MilliCPU and MemoryMB are reserved for each upstream of the service.
	MilliCPU int64 `msgpack:"c" json:"milli_cpu"`
	MemoryMB int64 `msgpack:"m" json:"memory_mb"`
}

// Timeout returns the maximum time of a request.
func (s Service) Timeout() time.Duration { return time.Duration(s.TimeoutMS) * time.Millisecond }

// Class defines whether a job's tasks end by themselves (batch) or are started again when they
// end, until they are cancelled (continuous).
type Class string

// The classes of jobs.
const (
	ClassBatch      Class = "batch"
	ClassContinuous Class = "continuous"
)

// Job describes a kind of task: its team, the resources of one task, and how it runs.
type Job struct {
	Name         string `msgpack:"n" json:"name"`
	Team         string `msgpack:"t" json:"team"`
	Class        Class  `msgpack:"l" json:"class"`
	MilliCPU     int64  `msgpack:"c" json:"milli_cpu"`
	MemoryMB     int64  `msgpack:"m" json:"memory_mb"`
	Accelerators int64  `msgpack:"a,omitempty" json:"accelerators,omitempty"`
	// RunTimeMS is the declared run time of one task, in milliseconds.
	RunTimeMS int64 `msgpack:"r" json:"run_time_ms"`
	// DeadlineMS counts from submission, in milliseconds; 0 means none.
	DeadlineMS int64 `msgpack:"d,omitempty" json:"deadline_ms,omitempty"`
	Urgent     bool  `msgpack:"u,omitempty" json:"urgent,omitempty"`
	// MaxFailures is the number of failed attempts after which a task is not tried again;
	// 0 means a default.
	MaxFailures int `msgpack:"f,omitempty" json:"max_failures,omitempty"`
}

// CutOffRule defines what an entry does with a market's requests when its configuration may be
// outdated.
type CutOffRule string

// The cut-off rules.
const (
	CutOffServe  CutOffRule = "serve"
	CutOffRefuse CutOffRule = "refuse"
)

// Preset describes how a market is to run.
type Preset struct {
	Name string `msgpack:"n" json:"name"`
	// TailWeight is the weight of the services' tail latency against batch
	// throughput, from 0 (only throughput) to 1 (only latency).
	TailWeight float64 `msgpack:"w" json:"tail_weight"`
	// BatchShare is the fraction of a worker's processors that batch tasks may use, from
	// 0 to 1.
	BatchShare float64 `msgpack:"b" json:"batch_share"`
	// MaxSlowdown is the service latency, relative to that without tasks beside it, above
	// which the interfering tasks are throttled, then evicted.
	MaxSlowdown float64 `msgpack:"s" json:"max_slowdown"`
	// Explore allows a task to be placed beside a service without measurements of the two
	// together: its cost is then judged by the mean estimate, not by an upper one.
	Explore bool       `msgpack:"e,omitempty" json:"explore,omitempty"`
	CutOff  CutOffRule `msgpack:"o,omitempty" json:"cut_off,omitempty"`
}

// Team owns jobs and shares the workers with other teams under a quota.
type Team struct {
	Name string `msgpack:"n" json:"name"`
	// MilliCPU and MemoryMB limit the total resources of the team's running tasks; 0 means
	// no limit.
	MilliCPU int64 `msgpack:"c,omitempty" json:"milli_cpu,omitempty"`
	MemoryMB int64 `msgpack:"m,omitempty" json:"memory_mb,omitempty"`
}

// Verb is the operation of a change.
type Verb string

// The verbs of changes.
const (
	PutMarket     Verb = "put-market"
	RetireMarket  Verb = "retire-market"
	PutService    Verb = "put-service"
	RetireService Verb = "retire-service"
	PutJob        Verb = "put-job"
	RetireJob     Verb = "retire-job"
	PutPreset     Verb = "put-preset"
	RetirePreset  Verb = "retire-preset"
	UsePreset     Verb = "use-preset"
	PutTeam       Verb = "put-team"
	RetireTeam    Verb = "retire-team"
)

// Change is a change by an operator. A change that is sent again under the same ID gets the
// first answer and does not take effect twice.
type Change struct {
	ID string `msgpack:"i" json:"id"`
	// Base is the revision of the market, or of the teams, that the change is based on. The
	// change is refused if another one was accepted since.
	Base    uint64   `msgpack:"b" json:"base"`
	Verb    Verb     `msgpack:"v" json:"verb"`
	Market  string   `msgpack:"m,omitempty" json:"market,omitempty"`
	Name    string   `msgpack:"n,omitempty" json:"name,omitempty"` // of what is retired or used
	Service *Service `msgpack:"s,omitempty" json:"service,omitempty"`
	Job     *Job     `msgpack:"j,omitempty" json:"job,omitempty"`
	Preset  *Preset  `msgpack:"p,omitempty" json:"preset,omitempty"`
	Team    *Team    `msgpack:"t,omitempty" json:"team,omitempty"`
}

// Answer is the answer to an accepted change.
type Answer struct {
	// Revision is the revision at which the change took effect.
	Revision uint64 `msgpack:"r" json:"revision"`
	// Repeated is set if the change had been accepted before.
	Repeated bool `msgpack:"-" json:"repeated,omitempty"`
}

// View is the current configuration of one market. LastChange is the id of its latest change. A
// retired market stays as a tombstone, so that its revision never restarts.
type View struct {
	Market     Market              `msgpack:"m" json:"market"`
	Revision   uint64              `msgpack:"r" json:"revision"`
	LastChange string              `msgpack:"w" json:"last_change"`
	Retired    bool                `msgpack:"x,omitempty" json:"retired,omitempty"`
	InForce    string              `msgpack:"f,omitempty" json:"in_force,omitempty"`
	Services   map[string]*Service `msgpack:"s" json:"services,omitempty"`
	Jobs       map[string]*Job     `msgpack:"j" json:"jobs,omitempty"`
	Presets    map[string]*Preset  `msgpack:"p" json:"presets,omitempty"`
}

// clone returns a copy with its own maps. Their values are shared; they are replaced, never
// modified.
func (v *View) clone() *View {
	c := *v
	c.Services, c.Jobs, c.Presets = maps.Clone(v.Services), maps.Clone(v.Jobs), maps.Clone(v.Presets)
	return &c
}

// DefaultPreset is in force until an operator chooses a preset. It favours service latency and
// lets batch tasks use half of the processors.
var DefaultPreset = Preset{Name: "default", TailWeight: 0.7, BatchShare: 0.5, MaxSlowdown: 1.2, CutOff: CutOffServe}

// Preset returns the preset in force.
func (v *View) Preset() Preset {
	if p := v.Presets[v.InForce]; p != nil {
		return *p
	}
	return DefaultPreset
}
