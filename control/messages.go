// Package control implements the control replica: the replicated state of markets, jobs, tasks,
// members and claims, the leader's leases and scheduling, and the interfaces for operators,
// entries and agents.
package control

import (
	"github.com/waxwinghaven/waxwinghaven/claim"
	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/market"
	"github.com/waxwinghaven/waxwinghaven/membership"
	"github.com/waxwinghaven/waxwinghaven/quorum"
)

// Paths of the messages between processes.
const (
	PathQuorum = "/quorum"
	PathJoin   = "/join"
	PathRenew  = "/renew"
	PathSync   = "/sync"
	PathClaim  = "/claim"
	PathSettle = "/settle"
)

// QuorumBatch carries log messages between replicas, with the sender's address for the answers.
type QuorumBatch struct {
	From     quorum.Replica   `msgpack:"f"`
	Messages []quorum.Message `msgpack:"m"`
}

// Join asks to be admitted to the cluster.
type Join struct {
	Replica quorum.Replica `msgpack:"r"`
}

// Empty is an answer without content.
type Empty struct{}

// Renew is an agent's periodic renewal: one message for all its leases.
type Renew struct {
	Member membership.Member `msgpack:"m"`
	// Digest is a hash of the orders that the agent holds.
	Digest uint64      `msgpack:"d"`
	Ends   []lease.End `msgpack:"e,omitempty"`
	Usage  Usage       `msgpack:"u"`
	// Revision is the revision of the configuration that the agent uses.
	Revision uint64 `msgpack:"r"`
}

// Usage is a measurement of one worker, with the jobs that shared it at that time.
type Usage struct {
	Seq         uint64         `msgpack:"q"` // increases with each new measurement
	Load        float64        `msgpack:"l"` // fraction of the slots in use
	P99         float64        `msgpack:"p"` // milliseconds, 0 when not measured
	Jobs        map[string]int `msgpack:"j,omitempty"`
	Done        uint64         `msgpack:"o"` // requests since the agent's start
	Failed      uint64         `msgpack:"f"`
	TasksEnded  uint64         `msgpack:"t"` // attempts ended since the agent's start
	TasksFailed uint64         `msgpack:"b"`
}

// RenewAnswer grants the lease. Its term counts, on the agent's clock, from before the renewal
// was sent.
type RenewAnswer struct {
	LeaseMS int64 `msgpack:"l"`
	// Orders replace the agent's orders if Changed is set.
	Changed  bool           `msgpack:"c,omitempty"`
	Orders   []lease.Order  `msgpack:"o,omitempty"`
	Throttle []string       `msgpack:"t,omitempty"` // tasks to slow down
	Markets  []*market.View `msgpack:"m,omitempty"`
	Revision uint64         `msgpack:"r"`
	// Cordoned reports that the data centre is out of service: nothing new may be started.
	Cordoned bool `msgpack:"k,omitempty"`
}

// Sync asks for the changes since the state that an entry has.
type Sync struct {
	Instance string `msgpack:"n"`
	Revision uint64 `msgpack:"r"` // of the configuration
	Index    uint64 `msgpack:"i"` // of the members
}

// SyncAnswer holds the changes. It never lowers a revision or index.
type SyncAnswer struct {
	Revision uint64               `msgpack:"r"`
	Index    uint64               `msgpack:"i"`
	Markets  []*market.View       `msgpack:"m,omitempty"`
	Members  []*membership.Member `msgpack:"b,omitempty"`
}

// ClaimAnswer is the outcome of claiming a key.
type ClaimAnswer struct {
	Result claim.Result `msgpack:"r"`
}
