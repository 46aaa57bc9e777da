// Package claim holds the records that make a request with an Idempotency-Key run at most once.
// A key is claimed in the quorum's log before the request is sent, and the answer is kept for
// repeated requests. State is a deterministic state machine: every replica applies the same
// claims and settlements with the log's clock.
package claim

import (
	"crypto/sha256"

	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// Limits of the records. Ages count from the claim.
const (
	MaxAnswerBytes = 4 << 10   // a larger answer is not kept
	AnswerMS       = 3600_000  // milliseconds for which an answer is kept
	TombstoneMS    = 86400_000 // milliseconds for which a key is kept
	MaxRecords     = 200_000   // keys with or without an answer
	MaxAnswerTotal = 64 << 20  // bytes of kept answers
)

// Key is a digest of market, service and the caller's Idempotency-Key.
type Key [16]byte

// MakeKey returns the record key of a caller's Idempotency-Key.
func MakeKey(market, service, key string) Key {
	d := digest(market, service, key)
	return Key(d[:16])
}

// digest hashes each part with its length, so that different lists of parts never give the
// same input.
func digest(parts ...string) [32]byte {
	h := sha256.New()
	for _, p := range parts {
		n := len(p)
		h.Write([]byte{byte(n), byte(n >> 8), byte(n >> 16), byte(n >> 24)})
		h.Write([]byte(p))
	}
	return [32]byte(h.Sum(nil))
}

// BodyDigest returns a digest that distinguishes a repeated request from a different one under
// the same key.
func BodyDigest(method, uri string, body []byte) uint64 {
	d := digest(method, uri, string(body))
	var n uint64
	for _, b := range d[:8] {
		n = n<<8 | uint64(b)
	}
	return n
}

// Answer is the kept answer to a request.
type Answer struct {
	Status      int    `msgpack:"s"`
	ContentType string `msgpack:"c"`
	Body        []byte `msgpack:"b"`
}

// Phase is the state of a key.
type Phase uint8

// The phases of keys.
const (
	Running  Phase = iota // the request is sent or about to be
	Finished              // the request was run
	Lost                  // the outcome is unknown for good
)

// Record is the state of one key.
type Record struct {
	Body   uint64  `msgpack:"b"`
	Token  string  `msgpack:"t"` // id of the entry's request that holds the claim
	Phase  Phase   `msgpack:"p"`
	At     int64   `msgpack:"a"` // time of the claim, milliseconds of the log clock
	Answer *Answer `msgpack:"r,omitempty"`
}

// Claim asks for the right to run a request.
type Claim struct {
	Key   Key    `msgpack:"k"`
	Body  uint64 `msgpack:"b"`
	Token string `msgpack:"t"`
}

// Result is the result of a claim: Granted, or the state of the existing record.
type Result struct {
	Granted bool    `msgpack:"g"`
	Phase   Phase   `msgpack:"p"`
	Answer  *Answer `msgpack:"a,omitempty"`
}

// Settle ends a claim: as finished with an Answer, as lost without one, or, with Release, as
// certainly not run, so that the key may be claimed again.
type Settle struct {
	Key     Key     `msgpack:"k"`
	Token   string  `msgpack:"t"`
	Release bool    `msgpack:"r,omitempty"`
	Answer  *Answer `msgpack:"a,omitempty"`
}

// State holds all records.
type State struct {
	Records map[Key]*Record `msgpack:"r"`
	Order   []claimTime     `msgpack:"o"` // claims, oldest first
	Bytes   int             `msgpack:"b"` // of kept answers
	Expired int             `msgpack:"d"` // leading items of Order whose answers have expired
}

// claimTime is a claimed key with the time of its claim.
type claimTime struct {
	Key Key   `msgpack:"k"`
	At  int64 `msgpack:"a"`
}

// NewState returns the empty state.
func NewState() *State { return &State{Records: make(map[Key]*Record)} }

// ApplyClaim grants a key to the first claim for it. now is the log clock in milliseconds.
//
// A second claim with the token of the running one is granted too: the token is unique to one
// request, so the entry is resending a claim whose answer it did not get.
func (s *State) ApplyClaim(c Claim, now int64) (Result, error) {
	s.expire(now)
	r := s.Records[c.Key]
	switch {
	case r == nil:
		return s.grant(c, now)
	case r.Body != c.Body:
		return Result{}, refusal.New(refusal.KeyMismatch, "give every new request a key of its own", "this Idempotency-Key was used for another request")
	case r.Phase == Running && r.Token == c.Token:
		return Result{Granted: true}, nil
	case r.Phase == Finished && r.Answer == nil:
		return Result{}, refusal.New(refusal.KeyExpired, "look the result up in the service", "the request was run, but its answer is no longer kept")
	}
	return Result{Phase: r.Phase, Answer: r.Answer}, nil
}

func (s *State) grant(c Claim, now int64) (Result, error) {
	if len(s.Records) >= MaxRecords {
		// Evicting a record that has not expired would let its request run twice, so
		// the new claim is refused instead.
		return Result{}, refusal.New(refusal.KeyStoreFull, "wait, or send requests that need no key without one", "the store is full with %d keys", MaxRecords)
	}
	s.Records[c.Key] = &Record{Body: c.Body, Token: c.Token, At: now}
	s.Order = append(s.Order, claimTime{c.Key, now})
	return Result{Granted: true}, nil
}

// ApplySettle ends a claim and reports whether it did. Only a settlement with the token that
// holds the running claim has an effect.
func (s *State) ApplySettle(c Settle) bool {
	r := s.Records[c.Key]
	if r == nil || r.Token != c.Token || r.Phase != Running {
		return false
	}
	switch {
	case c.Release:
		delete(s.Records, c.Key)
		s.compactOrder()
	case c.Answer == nil:
		r.Phase = Lost
	default:
		r.Phase = Finished
		s.storeAnswer(r, c.Answer)
	}
	return true
}

// minOrder is the length of Order below which it isn't worth compacting.
const minOrder = 1024

// compactOrder drops the items of Order whose claims were released, once they are more than half
// of it. Released keys leave Records at once but would stay in Order for TombstoneMS, so that
// callers that are refused and retry all day would fill the memory although MaxRecords holds.
func (s *State) compactOrder() {
	if len(s.Order) < max(minOrder, 2*len(s.Records)) {
		return
	}
	kept, expired := make([]claimTime, 0, len(s.Records)), 0
	for i, o := range s.Order {
		if r := s.Records[o.Key]; r == nil || r.At != o.At {
			continue
		}
		kept = append(kept, o)
		if i < s.Expired {
			expired++
		}
	}
	s.Order, s.Expired = kept, expired
}

// storeAnswer stores an answer in its record unless the answer or the store would be too large.
func (s *State) storeAnswer(r *Record, a *Answer) {
	if len(a.Body) > MaxAnswerBytes || s.Bytes+len(a.Body) > MaxAnswerTotal {
		return
	}
	r.Answer = a
	s.Bytes += len(a.Body)
}

func (s *State) dropAnswer(r *Record) {
	if r.Answer != nil {
		s.Bytes -= len(r.Answer.Body)
		r.Answer = nil
	}
}

// expire removes keys and answers that are older than their retention times.
func (s *State) expire(now int64) {
	for len(s.Order) > 0 && s.Order[0].At <= now-TombstoneMS {
		s.removeKey(s.Order[0])
		s.Order = s.Order[1:]
		s.Expired = max(s.Expired-1, 0)
	}
	for s.Expired < len(s.Order) && s.Order[s.Expired].At <= now-AnswerMS {
		o := s.Order[s.Expired]
		if r := s.Records[o.Key]; r != nil && r.At == o.At {
			s.dropAnswer(r)
		}
		s.Expired++
	}
}

func (s *State) removeKey(o claimTime) {
	if r := s.Records[o.Key]; r != nil && r.At == o.At {
		s.dropAnswer(r)
		delete(s.Records, o.Key)
	}
}
