package control

import (
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/queues"
	"github.com/waxwinghaven/waxwinghaven/upkeep"
)

// Paths of the messages about jobs. All go to the leader.
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

// SubmitJob hands in a job. The queue is chosen by host and path when the
// command takes effect, so that the configuration in force decides.
type SubmitJob struct {
	Host string    `msgpack:"h"`
	Path string    `msgpack:"p"`
	Spec jobs.Spec `msgpack:"s"`
	// AtMS is when the leader took the call, set by the leader.
	AtMS int64 `msgpack:"a,omitempty"`

	// promised is what the leader keeps of a service's room, in thousandths of a processor,
	// while the call is under way. It isn't sent.
	promised int64
	service  string
}

// JobCall names a job, or with nothing after the prefix a queue.
type JobCall struct {
	Host string `msgpack:"h"`
	Path string `msgpack:"p"`
}

// LookUpAnswer is where a job stands, or how long a queue is.
type LookUpAnswer struct {
	Phase jobs.Phase `msgpack:"p"`
	// IsQueue says that the call named a queue. Pending counts its jobs of
	// which nothing has started.
	IsQueue bool `msgpack:"q,omitempty"`
	Pending int  `msgpack:"n,omitempty"`
	// Version is the configuration by which the queue was found.
	Version uint64 `msgpack:"v,omitempty"`
}

// PutConfig brings a version of the configuration.
type PutConfig struct {
	Config queues.Config `msgpack:"c"`
}

// GetConfigAnswer is the newest configuration as its operator sent it.
type GetConfigAnswer struct {
	Version uint64 `msgpack:"v"`
	Source  []byte `msgpack:"s"`
}

// FenceRequest asks for a fencing token that is higher than all before.
type FenceRequest struct {
	Agent   string `msgpack:"a"`
	Worker  string `msgpack:"w"`
	Service string `msgpack:"s"`
}

// FenceAnswer brings the token, and the worker that is registered beside the agent, "" for
// none.
type FenceAnswer struct {
	Token  uint64 `msgpack:"t"`
	Worker string `msgpack:"w,omitempty"`
	// Last is the worker that the agent has registered last, also if it was lost since.
	Last string `msgpack:"l,omitempty"`
}

// Registration announces a worker. Its token is one that the agent was given and that the
// worker has seen, or 0 for one that the registration brings.
type Registration struct {
	jobs.Worker
	// Crash is the end of the incarnation before, as the agent saw it, nil if it did not
	// crash or that isn't certain.
	Crash *jobs.Crash `msgpack:"x,omitempty"`
	// Update says that this session has registered before.
	Update bool `msgpack:"u,omitempty"`
}

// Registered answers the registration of a worker.
type Registered struct {
	// Index is the log index of the registration. A replica that has not come so far does not
	// know of it.
	Index uint64 `msgpack:"i"`
	// LentMS is for how long the worker's lease may outlast what the control lends, since a
	// late call lent it that much before it was fenced, 0 for not at all. The agent registers
	// the worker without LentLate once that has passed.
	LentMS int64 `msgpack:"l,omitempty"`
}

// WorkerRef names one life of an agent beside one incarnation of a worker.
type WorkerRef struct {
	Worker string `msgpack:"w"`
	Life   string `msgpack:"l"`
}

// LeaseRequest asks for the right to keep a worker's runs going.
type LeaseRequest struct {
	WorkerRef
	// WallMS is the agent's time of day, in milliseconds since 1970. The
	// leader takes the median of many, so no jumped clock moves due times.
	WallMS   int64     `msgpack:"c"`
	Readings []Reading `msgpack:"r,omitempty"`
	// Known is what earlier answers told of pairs, sent to a leader that is new
	// to the agent and has lost what the last one learned.
	Known []PairCost `msgpack:"o,omitempty"`
	// PairsSeen is the revision of pairs that this leader told last, 0 for none.
	PairsSeen uint64 `msgpack:"p,omitempty"`
	// Stalled are filling runs that were slowed to a stand for long.
	Stalled []jobs.Stop `msgpack:"s,omitempty"`
	// Ailing says that served tails are too long with nothing beside them.
	Ailing bool `msgpack:"i,omitempty"`
	// Stuck are runs at full pace that make no progress.
	Stuck []jobs.Stop `msgpack:"k,omitempty"`
}

// LeaseAnswer grants a term. It counts, on the worker's own clock, from a
// reading taken before the request was sent.
type LeaseAnswer struct {
	TermMS   int64    `msgpack:"t"`
	Replicas []string `msgpack:"r"`
	// Cordoned says that the worker's data centre is out of service, by a majority's word
	// after the request arrived.
	Cordoned bool `msgpack:"o,omitempty"`
	// Leader tells one leadership from the next.
	Leader uint64 `msgpack:"l"`
	// Costs are the pairs that changed after the revision asked for, up to Pairs.
	Costs []PairCost `msgpack:"c,omitempty"`
	Pairs uint64     `msgpack:"p,omitempty"`
	// Orders are replicas to ask for the worker's orders, in order of preference, none for
	// the leader itself.
	Orders []string `msgpack:"w,omitempty"`
	// NowMS is the time that decisions are made by, in milliseconds since 1970.
	NowMS int64 `msgpack:"n,omitempty"`
}

// OrdersRequest waits for what changed after a log index.
type OrdersRequest struct {
	WorkerRef
	Since  uint64 `msgpack:"s"`
	WaitMS int64  `msgpack:"m"`
	// Cordoned says that the agent knows that its data centre is out of service; else
	// that is news too.
	Cordoned bool `msgpack:"o,omitempty"`
	// Registered is the index of the worker's registration. A replica that lacks it refuses
	// to answer.
	Registered uint64 `msgpack:"i,omitempty"`
}

// OrdersAnswer has the orders that changed after the index asked for, up to
// Index.
type OrdersAnswer struct {
	Index  uint64       `msgpack:"i"`
	Orders []jobs.Order `msgpack:"o,omitempty"`
	// Cordoned says that the worker's data centre is out of service.
	Cordoned bool `msgpack:"c,omitempty"`
}

// RunEnds reports the ends of runs on one worker.
type RunEnds struct {
	Worker string     `msgpack:"w"`
	Ends   []jobs.End `msgpack:"e"`
}

// EndsAnswer says that ends are committed.
type EndsAnswer struct {
	// OvertakenMS is set if a run is done whose task has been ordered again. It is how long the
	// longest lease of a worker goes on. Unless the worker's lease has lapsed since the end, the
	// agent lets it lapse before it acknowledges: else a task was started after its end.
	OvertakenMS int64 `msgpack:"o,omitempty"`
}

// StartWave brings a wave of upkeep; AtMS is when the leader took it.
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
}
