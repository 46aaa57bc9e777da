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
	table := NewTable[string](testTerm, epoch)
	if table.Close("a", epoch.Add(testTerm)) {
		t.Fatal("the lease was ended while one of the old leader may run")
	}
	if !table.Close("a", epoch.Add(testTerm+testTerm/clockMargin)) {
		t.Fatal("the lease is never ended")
	}
}

// An agent's renewal arrives when the end of its lease has been decided but not committed. It must
// be refused, since the log is about to reassign the agent's attempts. Once the end is known to be
// committed the agent may renew again, without those attempts.
func TestRenewalIsRefusedWhileItsEndIsCommitted(t *testing.T) {
	table := NewTable[string](testTerm, epoch)
	now := epoch.Add(2 * testTerm)
	if !table.Grant("a", now) || table.Close("a", now.Add(testTerm)) {
		t.Fatal("a renewed lease was ended early")
	}
	now = now.Add(testTerm + testTerm/clockMargin)
	if !table.Close("a", now) || table.Grant("a", now) {
		t.Fatal("a renewal was granted while its end was being committed")
	}
	if !table.Close("a", now) {
		t.Fatal("the end cannot be proposed a second time")
	}
	table.Reopen("a")
	if !table.Grant("a", now) || table.Close("a", now) {
		t.Fatal("the agent cannot renew after Reopen")
	}
}

// Guards against ending the lease of a new holder immediately: the leadership is older than a term,
// and the lease table has no entry for the holder yet.
func TestNewHolderHasAWholeTerm(t *testing.T) {
	table := NewTable[string](testTerm, epoch)
	now := epoch.Add(10 * testTerm)
	table.Add("a", now)
	table.Add("a", now.Add(testTerm)) // known already
	if table.Close("a", now.Add(testTerm)) {
		t.Fatal("the lease was ended while it may have been granted")
	}
	if !table.Close("a", now.Add(testTerm+testTerm/clockMargin)) {
		t.Fatal("the lease is never ended")
	}
	table.Add("a", now.Add(2*testTerm))
	if table.Grant("a", now.Add(2*testTerm)) {
		t.Error("a holder that is noted again is granted a lease while the end of its lease is being committed")
	}
	table.Retain(func(string) bool { return false })
	table.Add("a", now.Add(2*testTerm))
	if !table.Grant("a", now.Add(2*testTerm)) {
		t.Error("a holder that was dropped is still closed")
	}
}

// Guards against ending a lease early: a grant with an earlier time is recorded after a later one.
func TestGrantThatComesLateShortensNothing(t *testing.T) {
	table := NewTable[string](testTerm, epoch)
	later := epoch.Add(2 * testTerm)
	if !table.Grant("a", later) || !table.Grant("a", later.Add(-testTerm/2)) {
		t.Fatal("a renewal was refused")
	}
	if table.Close("a", later.Add(testTerm)) {
		t.Error("the later grant's lease was ended early")
	}
}
