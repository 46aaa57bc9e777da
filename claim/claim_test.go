package claim

import (
	"fmt"
	"testing"

	"github.com/waxwinghaven/waxwinghaven/refusal"
)

func applyClaim(t *testing.T, s *State, key string, body uint64, token string, now int64) (Result, error) {
	t.Helper()
	return s.ApplyClaim(Claim{Key: MakeKey("m", "s", key), Body: body, Token: token}, now)
}

// A caller does not get its answer and repeats the request through another entry. Only the
// first claim may be granted; the second finds it running and later gets its answer.
func TestKeyRunsOnceAndReplays(t *testing.T) {
	s := NewState()
	if r, err := applyClaim(t, s, "k", 1, "e1", 0); err != nil || !r.Granted {
		t.Fatalf("first: %+v %v", r, err)
	}
	if r, _ := applyClaim(t, s, "k", 1, "e1", 1); !r.Granted {
		t.Fatal("a claim resent by the same entry was not granted")
	}
	if r, _ := applyClaim(t, s, "k", 1, "e2", 2); r.Granted || r.Phase != Running {
		t.Fatalf("another entry's claim while the first runs: %+v", r)
	}
	if _, err := applyClaim(t, s, "k", 2, "e2", 2); !refusal.Is(err, refusal.KeyMismatch) {
		t.Fatalf("another body under the same key: %v", err)
	}
	if s.ApplySettle(Settle{Key: MakeKey("m", "s", "k"), Token: "e2", Release: true}) {
		t.Fatal("a token that does not hold the claim released it")
	}
	s.ApplySettle(Settle{Key: MakeKey("m", "s", "k"), Token: "e1", Answer: &Answer{Status: 201, Body: []byte("slot 7")}})
	if r, _ := applyClaim(t, s, "k", 1, "e2", 3); r.Granted || r.Answer == nil || string(r.Answer.Body) != "slot 7" {
		t.Fatalf("replay: %+v", r)
	}
}

// A request whose outcome is unknown must never run again under its key; one that was certainly
// not run may.
func TestUnknownStaysUnknownAndNotRunIsFreed(t *testing.T) {
	s := NewState()
	applyClaim(t, s, "lost", 1, "e1", 0)
	s.ApplySettle(Settle{Key: MakeKey("m", "s", "lost"), Token: "e1"})
	if r, _ := applyClaim(t, s, "lost", 1, "e2", 1); r.Granted || r.Phase != Lost {
		t.Fatalf("a key settled as lost: %+v", r)
	}
	applyClaim(t, s, "free", 1, "e1", 0)
	s.ApplySettle(Settle{Key: MakeKey("m", "s", "free"), Token: "e1", Release: true})
	if r, _ := applyClaim(t, s, "free", 1, "e2", 1); !r.Granted {
		t.Fatalf("a released key: %+v", r)
	}
}

// Answers are kept for an hour and keys for a day. In between, a repeated request must be
// refused with the reason that it was run, and must not run again.
func TestOldKeyIsRefusedNotRunAgain(t *testing.T) {
	s := NewState()
	applyClaim(t, s, "k", 1, "e1", 0)
	s.ApplySettle(Settle{Key: MakeKey("m", "s", "k"), Token: "e1", Answer: &Answer{Body: []byte("x")}})
	if _, err := applyClaim(t, s, "k", 1, "e2", AnswerMS+1); !refusal.Is(err, refusal.KeyExpired) || s.Bytes != 0 {
		t.Fatalf("after an hour: %v, %d bytes kept", err, s.Bytes)
	}
	if r, _ := applyClaim(t, s, "k", 1, "e2", TombstoneMS+1); !r.Granted {
		t.Fatal("after a day the key can't be claimed again")
	}
}

// A full store must refuse new keys: evicting a record that has not expired would let its
// request run twice.
func TestFullStoreRefusesNewKeys(t *testing.T) {
	s := NewState()
	for i := range MaxRecords {
		applyClaim(t, s, fmt.Sprint(i), 1, "e", 0)
	}
	if _, err := applyClaim(t, s, "more", 1, "e", 1); !refusal.Is(err, refusal.KeyStoreFull) {
		t.Fatalf("a new key in a full store: %v", err)
	}
	if r, _ := applyClaim(t, s, "7", 1, "other", 1); r.Granted {
		t.Fatal("a claimed key was granted again in a full store")
	}
	big := make([]byte, MaxAnswerBytes+1)
	s.ApplySettle(Settle{Key: MakeKey("m", "s", "1"), Token: "e", Answer: &Answer{Body: big}})
	if _, err := applyClaim(t, s, "1", 1, "other", 2); !refusal.Is(err, refusal.KeyExpired) {
		t.Fatalf("after an answer too large to keep: %v", err)
	}
}

// Guards against memory that grows with every claim that is released, although few keys are held:
// a caller that is refused and retries claims and releases its key again and again.
func TestReleasedClaimsLeaveTheOrder(t *testing.T) {
	s := NewState()
	applyClaim(t, s, "held", 1, "e1", 0)
	s.ApplySettle(Settle{Key: MakeKey("m", "s", "held"), Token: "e1", Answer: &Answer{Status: 200, Body: []byte("a")}})
	for i := range 20 * minOrder {
		applyClaim(t, s, "retried", 1, "e1", int64(AnswerMS+i))
		s.ApplySettle(Settle{Key: MakeKey("m", "s", "retried"), Token: "e1", Release: true})
		if len(s.Order) > minOrder {
			t.Fatalf("%d claims in the order after %d releases, %d keys held", len(s.Order), i+1, len(s.Records))
		}
	}
	if s.Expired > len(s.Order) || s.Bytes != 0 {
		t.Errorf("%d expired of %d, %d bytes of answers", s.Expired, len(s.Order), s.Bytes)
	}
	applyClaim(t, s, "later", 1, "e1", TombstoneMS+1)
	if r := s.Records[MakeKey("m", "s", "held")]; r != nil {
		t.Error("a key outlived its tombstone after the order was compacted")
	}
}
