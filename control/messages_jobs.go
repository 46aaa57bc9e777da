package control

import (
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/learned"
	"github.com/waxwinghaven/waxwinghaven/queues"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/upkeep"
)

// Paths of the messages about jobs. All go to the leader but for PathOrders and PathReplicas,
// which any replica answers.
const (
	PathSubmitJob  = "/jobs/submit"
	PathLookUp     = "/jobs/look-up"
	PathCancelJob  = "/jobs/cancel"
	PathPutConfig  = "/queues/put"
	PathGetConfig  = "/queues/get"
	PathFence      = "/workers/fence"
	PathRegister   = "/workers/register"
	PathLease      = "/workers/lease"
	PathOrders     = "/workers/orders"
	PathEnds       = "/workers/ends"
	PathWorkerGone = "/workers/gone"
	PathSilent     = "/workers/silent"
	PathReplicas   = "/replicas"
	PathStartWave  = "/waves/start"
	PathGetWave    = "/waves/get"

	PathMoveMachine     = "/machines/move"
	PathOrderDataCentre = "/data-centres/order"
	PathGetDataCentre   = "/data-centres/get"
)

// SubmitJob submits a job. The queue is selected by host and path when the command is applied,
// according to the configuration then in force.
type SubmitJob struct {
	Host string    `msgpack:"h"`
	Path string    `msgpack:"p"`
	Spec jobs.Spec `msgpack:"s"`
	// Seen is the newest stamp that the sender has received, nil from senders of earlier versions.
	// It is not committed.
	Seen *refusal.Stamp `msgpack:"v,omitempty"`
	// AtMS is when the leader received the call, or first refused the job if it kept its place since
	// then, in milliseconds since 1970, set by the leader.
	AtMS int64 `msgpack:"a,omitempty"`

	// term is the leadership that checked Seen, and the only one that may commit the call. It is not
	// sent.
	term uint64

	// reserved is the capacity of the service, in thousandths of a processor, that the leader
	// reserves while the call is being committed. It is not sent.
	reserved int64
	service  string
	// reservedBytes is the memory that is set aside for the job meanwhile. It is not sent.
	reservedBytes int64

	// queue, jobID and refusalCode are what demandFeed records the call by: the queue and job,
	// unset if the call isn't counted, and dispatch.Verdict's code if it is refused. They are not
	// sent.
	queue       *queueMetrics
	jobID       string
	refusalCode string
}

func (c *SubmitJob) setSeen(s *refusal.Stamp) { c.Seen = s }

// Acknowledged answers a call that was committed.
type Acknowledged struct {
	// Stamp is the place of the answer among those of the leader.
	Stamp *refusal.Stamp `msgpack:"z,omitempty" json:"-"`
}

func (a *Acknowledged) stamp() *refusal.Stamp { return a.Stamp }

// JobCall names a job, or a queue if nothing follows the prefix.
type JobCall struct {
	Host string `msgpack:"h"`
	Path string `msgpack:"p"`
}

// CancelJob cancels a job. Seen is the same as in SubmitJob.
type CancelJob struct {
	JobCall
	Seen *refusal.Stamp `msgpack:"v,omitempty"`
}

func (c *CancelJob) setSeen(s *refusal.Stamp) { c.Seen = s }

// LookUpAnswer is the phase of a job, or the length of a queue.
type LookUpAnswer struct {
	Phase jobs.Phase `msgpack:"p"`
	// IsQueue reports that the call named a queue. Pending counts its jobs of which nothing has
	// started.
	IsQueue bool `msgpack:"q,omitempty"`
	Pending int  `msgpack:"n,omitempty"`
	// Version is the version of the configuration used to find the queue.
	Version uint64 `msgpack:"v,omitempty"`
	// Stamp is the place of the answer among those of the leader.
	Stamp *refusal.Stamp `msgpack:"z,omitempty" json:"-"`
}

func (a *LookUpAnswer) stamp() *refusal.Stamp { return a.Stamp }

// PutConfig sets a version of the configuration.
type PutConfig struct {
	Config queues.Config `msgpack:"c"`
}

// GetConfigAnswer is the latest configuration as the operator sent it.
type GetConfigAnswer struct {
	Version uint64 `msgpack:"v"`
	Source  []byte `msgpack:"s"`
}

// FenceRequest asks for a fencing token higher than all earlier ones.
type FenceRequest struct {
	Agent   string `msgpack:"a"`
	Worker  string `msgpack:"w"`
	Service string `msgpack:"s"`
}

// FenceAnswer holds the token, and the worker registered for the agent, "" if there is none.
type FenceAnswer struct {
	Token  uint64 `msgpack:"t"`
	Worker string `msgpack:"w,omitempty"`
	// LastWorker is the worker that the agent registered last, even if it was lost since.
	LastWorker string `msgpack:"l,omitempty"`
}

// Registration announces a worker. Its token is one that was issued to the agent and that the
// worker has seen, or 0 for a token that the registration creates.
type Registration struct {
	jobs.Worker
	// Crash is the crash of the previous incarnation as seen by the agent, nil if it did not
	// crash or that is uncertain.
	Crash *jobs.Crash `msgpack:"x,omitempty"`
	// Update reports that this session has registered before.
	Update bool `msgpack:"u,omitempty"`
}

// Registered answers the registration of a worker.
type Registered struct {
	// Index is the log index of the registration. A replica that has not applied it does not know
	// the registration.
	Index uint64 `msgpack:"i"`
	// LateLeaseMS is how long the worker's lease may outlast what the control grants, because a late
	// call extended it before the worker was fenced; 0 if it cannot. After that time the agent
	// registers the worker without LateLease.
	LateLeaseMS int64 `msgpack:"l,omitempty"`
}

// WorkerRef identifies one session of an agent with one incarnation of a worker.
type WorkerRef struct {
	Worker  string `msgpack:"w"`
	Session string `msgpack:"l"`
}

// LeaseRequest asks for permission to keep a worker's runs going.
type LeaseRequest struct {
	WorkerRef
	// WallMS is the agent's wall clock, in milliseconds since 1970. The leader takes the median
	// of many, so that a single clock that jumps does not move due times.
	WallMS   int64             `msgpack:"c"`
	Readings []learned.Reading `msgpack:"r,omitempty"`
	// KnownPairs holds the pair costs from earlier answers. It is sent to a leader that is new to the
	// agent and has lost what the previous one learned.
	KnownPairs []learned.PairCost `msgpack:"o,omitempty"`
	// PairsSeen is the last revision of pairs received from this leader, 0 if none.
	PairsSeen uint64 `msgpack:"p,omitempty"`
	// Stalled holds filling runs that have been kept at a low pace for so long that they should
	// move to another worker.
	Stalled []jobs.Stop `msgpack:"s,omitempty"`
	// Degraded reports that tail latencies are too long even without filling work.
	Degraded bool `msgpack:"i,omitempty"`
	// Stuck holds runs that make no progress at full pace.
	Stuck []jobs.Stop `msgpack:"k,omitempty"`
	// OrdersIndex is the log index up to which the agent has received the worker's orders, and knows
	// which of the ordered runs have started. It is 0 if it does not know that of any yet, as in the
	// first renewal of a session. Unstarted holds the runs among them that are not known to have
	// started.
	OrdersIndex uint64      `msgpack:"x,omitempty"`
	Unstarted   []jobs.Stop `msgpack:"n,omitempty"`
	// NotAtWork holds the standing runs that the worker listed last as not at work yet, or no more.
	NotAtWork []jobs.Stop `msgpack:"a,omitempty"`
	// ReportsStarts is set by agents that fill in OrdersIndex and Unstarted. Earlier versions do not set
	// it.
	ReportsStarts bool `msgpack:"b,omitempty"`
}

// LeaseAnswer grants a term, which counts on the worker's own clock from a reading taken before
// the request was sent.
type LeaseAnswer struct {
	TermMS   int64    `msgpack:"t"`
	Replicas []string `msgpack:"r"`
	// Cordoned reports that the worker's data centre is out of service, confirmed by a majority
	// after the request arrived.
	Cordoned bool `msgpack:"o,omitempty"`
	// Leader identifies the leadership.
	Leader uint64 `msgpack:"l"`
	// Costs holds the pairs that changed after the requested revision, up to revision Pairs.
	Costs []learned.PairCost `msgpack:"c,omitempty"`
	Pairs uint64             `msgpack:"p,omitempty"`
	// Orders holds the replicas to ask for the worker's orders, in order of preference; empty for
	// the leader itself.
	Orders []string `msgpack:"w,omitempty"`
	// NowMS is the time used for decisions, in milliseconds since 1970.
	NowMS int64 `msgpack:"n,omitempty"`
}

// OrdersRequest waits for changes after a log index.
type OrdersRequest struct {
	WorkerRef
	Since  uint64 `msgpack:"s"`
	WaitMS int64  `msgpack:"m"`
	// Cordoned reports that the agent knows its data centre to be out of service; otherwise that
	// counts as a change too.
	Cordoned bool `msgpack:"o,omitempty"`
	// Registered is the index of the worker's registration. A replica that has not applied it
	// refuses to answer.
	Registered uint64 `msgpack:"i,omitempty"`
}

// OrdersAnswer holds the orders that changed after the requested index, up to Index.
type OrdersAnswer struct {
	Index  uint64       `msgpack:"i"`
	Orders []jobs.Order `msgpack:"o,omitempty"`
	// Cordoned reports that the worker's data centre is out of service.
	Cordoned bool `msgpack:"c,omitempty"`
}

// RunEnds reports the ends of runs on one worker.
type RunEnds struct {
	Worker string     `msgpack:"w"`
	Ends   []jobs.End `msgpack:"e"`
	// Session is the agent's session that reports the ends, "" in messages of earlier versions.
	Session string `msgpack:"l,omitempty"`
}

// EndsAnswer confirms that ends are committed.
type EndsAnswer struct {
	// MaxLeaseMS is set if a run has finished whose task has been ordered again. It is the
	// longest time that a worker's lease can continue. The agent acknowledges the end only after
	// the worker's lease has lapsed since the end; otherwise a task could be started after its
	// end.
	MaxLeaseMS int64 `msgpack:"o,omitempty"`
}

// StartWave starts a wave of upkeep; AtMS is when the leader received it.
type StartWave struct {
	Wave upkeep.Wave `msgpack:"w"`
	AtMS int64       `msgpack:"a"`
}

// WaveQuery asks for a wave.
type WaveQuery struct {
	Number uint64 `msgpack:"n"`
}

// ReplicasAnswer lists the addresses of the control replicas.
type ReplicasAnswer struct {
	Replicas []string `msgpack:"r"`
	// Limits are those of the newest configuration that the replica knows, nil before the first, and
	// Version is its version.
	Limits  *queues.Limits `msgpack:"l,omitempty"`
	Version uint64         `msgpack:"v,omitempty"`
	// Stamp is the place of the answer among those of the leader, nil from other replicas.
	Stamp *refusal.Stamp `msgpack:"z,omitempty" json:"-"`
}

func (a *ReplicasAnswer) stamp() *refusal.Stamp { return a.Stamp }
