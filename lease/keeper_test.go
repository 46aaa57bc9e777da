package lease

import (
	"testing"
	"time"
)

const testTerm = 10 * time.Second

var epoch = time.Unix(1000, 0)

// A new leader knows no renewals. An agent may hold a lease from the old leader, so its lease must
// count as ended only after a whole term and the clock margin.
func TestNewLeaderWaitsOutATerm(t *testing.T) {
	k := NewKeeper[string](testTerm, epoch)
	if k.Close("a", epoch.Add(testTerm)) {
		t.Fatal("the lease was ended while one of the old leader may run")
	}
	if !k.Close("a", epoch.Add(testTerm+testTerm/clockMargin)) {
		t.Fatal("the lease is never ended")
	}
}

// An agent's renewal arrives when the end of its lease has been decided but not committed. It must
// be refused, since the log is about to reassign the agent's attempts. Once the end is known to be
// committed the agent may renew again, without those attempts.
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
		t.Fatal("the agent cannot renew after Reopen")
	}
}

// Guards against ending the lease of a new holder immediately: the leadership is older than a term,
// and the lease table has no entry for the holder yet.
func TestNewHolderHasAWholeTerm(t *testing.T) {
	k := NewKeeper[string](testTerm, epoch)
	now := epoch.Add(10 * testTerm)
	k.Add("a", now)
	k.Add("a", now.Add(testTerm)) // known already
	if k.Close("a", now.Add(testTerm)) {
		t.Fatal("the lease was ended while it may have been granted")
	}
	if !k.Close("a", now.Add(testTerm+testTerm/clockMargin)) {
		t.Fatal("the lease is never ended")
	}
	k.Add("a", now.Add(2*testTerm))
	if k.Grant("a", now.Add(2*testTerm)) {
		t.Error("a holder that is noted again is granted a lease while the end of its lease is being committed")
	}
	k.Retain(func(string) bool { return false })
	k.Add("a", now.Add(2*testTerm))
	if !k.Grant("a", now.Add(2*testTerm)) {
		t.Error("a holder that was dropped is still closed")
	}
}

// Guards against ending a lease early: a grant with an earlier time is recorded after a later one.
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
