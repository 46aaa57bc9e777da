package lease

import (
	"testing"
	"time"
)

const testTerm = 10 * time.Second

var epoch = time.Unix(1000, 0)

// A new leader knows no renewals. An agent may hold a lease from the old one, so
// it is taken for gone only after a whole term and the margin for its clock.
func TestNewLeaderWaitsOutATerm(t *testing.T) {
	k := NewKeeper[string](testTerm, epoch)
	if k.Close("a", epoch.Add(testTerm)) {
		t.Fatal("taken for gone while a lease of the old leader may run")
	}
	if !k.Close("a", epoch.Add(testTerm+testTerm/clockMargin)) {
		t.Fatal("never taken for gone")
	}
}

// The end of a lease is decided, but not yet committed, when the agent's renewal
// comes after all. It must be refused: the log is about to give its attempts away.
// When the end is seen committed the agent may renew again, without them.
func TestRenewalIsRefusedWhileItsEndIsCommitted(t *testing.T) {
	k := NewKeeper[string](testTerm, epoch)
	now := epoch.Add(2 * testTerm)
	if !k.Grant("a", now) || k.Close("a", now.Add(testTerm)) {
		t.Fatal("a renewed lease was ended early")
	}
	now = now.Add(testTerm + testTerm/clockMargin)
	if !k.Close("a", now) || k.Grant("a", now) {
		t.Fatal("a renewal was granted while its end was being committed")
	}
	if !k.Close("a", now) {
		t.Fatal("the end cannot be proposed a second time")
	}
	k.Reopen("a")
	if !k.Grant("a", now) || k.Close("a", now) {
		t.Fatal("the agent cannot renew any more")
	}
}

// Guards against a holder that is taken for gone as soon as it is there: the leader is older than
// a term, and its book doesn't know it yet.
func TestHolderThatIsNewToTheBookHasAWholeTerm(t *testing.T) {
	k := NewKeeper[string](testTerm, epoch)
	now := epoch.Add(10 * testTerm)
	k.Note("a", now)
	k.Note("a", now.Add(testTerm)) // known already
	if k.Close("a", now.Add(testTerm)) {
		t.Fatal("taken for gone while it may have been given a lease")
	}
	if !k.Close("a", now.Add(testTerm+testTerm/clockMargin)) {
		t.Fatal("never taken for gone")
	}
	k.Note("a", now.Add(2*testTerm))
	if k.Grant("a", now.Add(2*testTerm)) {
		t.Error("a holder that is noted again is let in while its end is being committed")
	}
	k.Retain(func(string) bool { return false })
	k.Note("a", now.Add(2*testTerm))
	if !k.Grant("a", now.Add(2*testTerm)) {
		t.Error("a holder that was dropped is still closed")
	}
}

// Guards against a lease that is ended early: a grant that was read off an earlier clock is entered
// after a later one.
func TestGrantThatComesLateShortensNothing(t *testing.T) {
	k := NewKeeper[string](testTerm, epoch)
	later := epoch.Add(2 * testTerm)
	if !k.Grant("a", later) || !k.Grant("a", later.Add(-testTerm/2)) {
		t.Fatal("a renewal was refused")
	}
	if k.Close("a", later.Add(testTerm)) {
		t.Error("the later grant's lease was ended early")
	}
}
