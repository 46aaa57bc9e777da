// Package quorum keeps a command log on several replicas, each with a disk.
//
// The Core is a deterministic step machine: messages, proposals and ticks go
// in, a Ready comes out. It owns no clock, socket or disk. The Node drives it:
// it persists what a Ready asks for, then sends, then applies.
package quorum

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("quorum")

// EntryKind tells what an Entry carries.
type EntryKind uint8

// The kinds of entries.
const (
	EntryNoop    EntryKind = iota // appended by a new leader to commit what came before
	EntryCommand                  // a command for the state machine
	EntryConfig                   // an encoded Config
)

// Entry is one slot of the replicated log.
type Entry struct {
	Index uint64    `msgpack:"i"`
	Term  uint64    `msgpack:"t"`
	Kind  EntryKind `msgpack:"k"`
	Data  []byte    `msgpack:"d"`
}

// Replica names one holder of the log. ID is drawn at random when its data
// folder is made, so a replica that lost its disk returns as somebody else.
type Replica struct {
	ID       uint64 `msgpack:"i" json:"id"`
	Name     string `msgpack:"n" json:"name"`
	Address  string `msgpack:"a" json:"address"`
	Operator string `msgpack:"o" json:"operator"`
	// DataCentre is where it stands, "" for not known: the members of a first set know
	// each other by address only.
	DataCentre string `msgpack:"d,omitempty" json:"data_centre,omitempty"`
}

// HardState is what a replica must never forget: a vote given twice in one
// term would elect two leaders.
type HardState struct {
	Term   uint64 `msgpack:"t"`
	Vote   uint64 `msgpack:"v"`
	Commit uint64 `msgpack:"c"`
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index  uint64 `msgpack:"i"`
	Term   uint64 `msgpack:"t"`
	Config Config `msgpack:"c"`
	Data   []byte `msgpack:"d"`
}

// Chunk is a part of a snapshot under way to a replica that is far behind.
// Size is the length of the whole, in bytes.
type Chunk struct {
	Index  uint64 `msgpack:"i"`
	Term   uint64 `msgpack:"t"`
	Config Config `msgpack:"c"`
	Offset int    `msgpack:"o"`
	Size   int    `msgpack:"s"`
	Data   []byte `msgpack:"d"`
}

// MessageKind tells what a Message asks or answers.
type MessageKind uint8

// The kinds of messages.
const (
	MsgPreVote MessageKind = iota
	MsgPreVoteResp
	MsgVote
	MsgVoteResp
	MsgAppend
	MsgAppendResp
	MsgChunk
	MsgChunkResp
	MsgTimeoutNow
	// MsgHeartbeat is the leader's contact. It carries nothing else, so that it
	// never waits behind entries or a snapshot.
	MsgHeartbeat
	MsgHeartbeatResp
)

var messageNames = [...]string{"PreVote", "PreVoteResp", "Vote", "VoteResp", "Append", "AppendResp", "Chunk", "ChunkResp", "TimeoutNow", "Heartbeat", "HeartbeatResp"}

// String returns the kind's name, as golden files show it.
func (k MessageKind) String() string {
	if int(k) < len(messageNames) {
		return messageNames[k]
	}
	return "Unknown"
}

// Message is what one replica tells another.
type Message struct {
	Kind     MessageKind `msgpack:"k"`
	From     uint64      `msgpack:"f"`
	To       uint64      `msgpack:"o"`
	Term     uint64      `msgpack:"t"`
	Index    uint64      `msgpack:"i,omitempty"` // previous index, last index, the acknowledged one, or with a heartbeat all that was ever committed
	LogTerm  uint64      `msgpack:"l,omitempty"` // term of the entry at Index
	Commit   uint64      `msgpack:"c,omitempty"`
	Entries  []Entry     `msgpack:"e,omitempty"`
	Reject   bool        `msgpack:"r,omitempty"`
	Round    uint64      `msgpack:"n,omitempty"` // leader's contact round, echoed by the answer
	Chunk    *Chunk      `msgpack:"s,omitempty"`
	Transfer bool        `msgpack:"x,omitempty"` // a vote asked for by the old leader itself
	Prev     uint64      `msgpack:"p,omitempty"` // with a rejected append: the index it was to follow
}

// PayloadBytes is what a message carries of the log or of a snapshot, 0 for contact,
// votes and answers.
func (m Message) PayloadBytes() int {
	n := entriesBytes(m.Entries)
	if m.Chunk != nil {
		n += len(m.Chunk.Data)
	}
	return n
}

// Read is a confirmed majority read: the state applied up to Index is current.
type Read struct {
	ID    uint64
	Index uint64
}

// Ready is what the driver must do next, in this order: send Early, persist
// Snapshot, Entries and HardState, send Messages, apply Committed, answer Reads.
//
// Early holds only a leader's appends. They may leave before the leader's own
// disk is synced, because the leader counts its own copy only after Persisted.
type Ready struct {
	HardState *HardState
	Entries   []Entry
	Snapshot  *Snapshot
	Early     []Message
	Messages  []Message
	Committed []Entry
	Reads     []Read
}

// Role is a replica's part in the current term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name, as status shows it.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// ErrNotLeader is returned for proposals and reads at a replica that does not lead.
var ErrNotLeader = Error.New("this replica does not lead; ask the leader")

// ErrBusy is returned while a change of the same sort is still under way.
var ErrBusy = Error.New("an earlier change is still under way; try again in a moment")

// ErrConfig is returned for a change of the replica set that is more than one step.
var ErrConfig = Error.New("only one voter may be added, removed or replaced at a time; split the change")
