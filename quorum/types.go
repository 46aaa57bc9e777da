// Package quorum replicates a command log over several replicas, each with its own disk, by a
// Raft-style protocol with pre-votes, learners and joint configurations.
//
// Core is the deterministic protocol state machine: messages, proposals and ticks are its input
// and a Ready is its output. It uses no clock, socket or disk. Node drives a Core: it persists
// what a Ready contains, then sends the messages, then applies the committed entries.
package quorum

import "github.com/zeebo/errs"

// Error is the error class of this package.
var Error = errs.Class("quorum")

// EntryKind is the type of an Entry's payload.
type EntryKind uint8

// The kinds of entries.
const (
	EntryNoop    EntryKind = iota // appended by a new leader to commit the entries of earlier terms
	EntryCommand                  // a command for the state machine
	EntryConfig                   // an encoded Config
)

// Entry is one entry of the replicated log. Index starts at 1 and has no gaps.
type Entry struct {
	Index uint64    `msgpack:"i"`
	Term  uint64    `msgpack:"t"`
	Kind  EntryKind `msgpack:"k"`
	Data  []byte    `msgpack:"d"`
}

// Replica identifies one holder of the log. ID is drawn at random when the data folder is
// created, so a replica that lost its disk rejoins under a new identity.
type Replica struct {
	ID       uint64 `msgpack:"i" json:"id"`
	Name     string `msgpack:"n" json:"name"`
	Address  string `msgpack:"a" json:"address"`
	Operator string `msgpack:"o" json:"operator"`
	// DataCentre is the replica's data centre, "" if unknown: the members of a first set know
	// only each other's addresses.
	DataCentre string `msgpack:"d,omitempty" json:"data_centre,omitempty"`
}

// HardState is the state that must survive a restart. Two votes by one replica in the same
// term could elect two leaders.
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

// Chunk is a part of a snapshot that is sent to a replica far behind. Offset is the position of
// Data in the snapshot and Size the length of the whole snapshot, both in bytes.
type Chunk struct {
	Index  uint64 `msgpack:"i"`
	Term   uint64 `msgpack:"t"`
	Config Config `msgpack:"c"`
	Offset int    `msgpack:"o"`
	Size   int    `msgpack:"s"`
	Data   []byte `msgpack:"d"`
}

// MessageKind is the type of a Message.
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
	// MsgHeartbeat is the leader's heartbeat. It carries no entries, so that it is never queued
	// behind entries or a snapshot.
	MsgHeartbeat
	MsgHeartbeatResp
)

var messageNames = [...]string{"PreVote", "PreVoteResp", "Vote", "VoteResp", "Append", "AppendResp", "Chunk", "ChunkResp", "TimeoutNow", "Heartbeat", "HeartbeatResp"}

// String returns the kind's name, as used in golden files.
func (k MessageKind) String() string {
	if int(k) < len(messageNames) {
		return messageNames[k]
	}
	return "Unknown"
}

// Message is a message from one replica to another.
type Message struct {
	Kind     MessageKind `msgpack:"k"`
	From     uint64      `msgpack:"f"`
	To       uint64      `msgpack:"o"`
	Term     uint64      `msgpack:"t"`
	Index    uint64      `msgpack:"i,omitempty"` // previous, last or acknowledged index; in a heartbeat the cluster's commit index
	LogTerm  uint64      `msgpack:"l,omitempty"` // term of the entry at Index
	Commit   uint64      `msgpack:"c,omitempty"`
	Entries  []Entry     `msgpack:"e,omitempty"`
	Reject   bool        `msgpack:"r,omitempty"`
	Round    uint64      `msgpack:"n,omitempty"` // leader's heartbeat round, echoed in the response
	Chunk    *Chunk      `msgpack:"s,omitempty"`
	Transfer bool        `msgpack:"x,omitempty"` // in a vote request: the leader has transferred the leadership to the sender
	Prev     uint64      `msgpack:"p,omitempty"` // in a rejected append: the Index of that append
}

// PayloadBytes returns the size of the log entries and snapshot data in a message. It is 0 for
// heartbeats, votes and responses.
func (m Message) PayloadBytes() int {
	n := entriesBytes(m.Entries)
	if m.Chunk != nil {
		n += len(m.Chunk.Data)
	}
	return n
}

// Read is a read confirmed by a majority: a state that has applied Index may answer it.
type Read struct {
	ID    uint64
	Index uint64
}

// Ready is the driver's next work, in this order: send Early, persist Snapshot, Entries and
// HardState, send Messages, apply Committed, answer Reads.
//
// Early contains only messages of a leader: appends, heartbeats and snapshot chunks. They may be
// sent before the leader's disk is synced, because the leader counts its own copy only after Persisted.
//
// Concurrent and Wait are set only after Core.SaveConcurrently. With Concurrent, the driver starts
// to persist Entries and HardState and goes on at once; it calls Persisted when they are synced.
// None of the Messages depends on that write: acknowledgements that do are in a Ready after
// Persisted. With Wait, the Ready contains nothing else, and the driver must let the write under
// way end and call Persisted before it asks for the next Ready.
type Ready struct {
	Wait       bool
	Concurrent bool

	HardState *HardState
	Entries   []Entry
	Snapshot  *Snapshot
	Early     []Message
	Messages  []Message
	Committed []Entry
	Reads     []Read
}

// Role is a replica's role in the current term.
type Role uint8

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name, as shown in the status.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// ErrNotLeader is returned for proposals and reads at a replica that is not the leader.
var ErrNotLeader = Error.New("this replica does not lead; ask the leader")

// ErrBusy is returned while an earlier configuration change or leadership transfer is pending.
var ErrBusy = Error.New("an earlier change is still under way; try again in a moment")

// ErrConfig is returned for a configuration change of more than one step.
var ErrConfig = Error.New("only one voter may be added, removed or replaced at a time; split the change")
