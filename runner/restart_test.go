package runner

import (
	"testing"
	"time"
)

// Guards against a worker whose lease outlives the control's entry. The previous session's
// lists, sent while the worker restarted, are carried out late by its successor, whose clock
// is far behind the one that their lease end refers to.
func TestListsLostAtARestartDoNotExtendTheSuccessorsLease(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Minute)
		b.ctl.setNoTokens(true) // the next session has only the reserve token
		b.worker.failCalls(ErrClosed)
		time.Sleep(time.Second)
		b.worker.restart("w2")
		b.seq = 0
		b.announce("w2", false)
		time.Sleep(2 * time.Second)
		if b.ctl.known() != "w2" {
			t.Fatalf("the control knows %q", b.ctl.known())
		}
		if b.worker.carryOutLostHolds() == 0 {
			t.Fatal("the test needs an unanswered list")
		}
		if granted := time.Duration(b.ctl.termMS) * time.Millisecond; b.worker.lease() > granted {
			t.Errorf("the lease lasts for another %v, the control granted %v", b.worker.lease(), granted)
		}
		b.ctl.setNoTokens(false)
	})
}

// Guards against the same fault in a session that switched to its reserve token and found its
// worker still there: the lists that follow extend the lease, so the token can no longer serve
// as the reserve.
func TestListThatExtendsALeaseSpendsItsToken(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		time.Sleep(2 * time.Second)
		b.ctl.setNoTokens(true)
		b.worker.failCalls(errLost)
		time.Sleep(3 * time.Second)
		if !b.session().onReserveToken.Load() {
			t.Fatal("the test needs the session to switch to its reserve token")
		}
		b.worker.failCalls(nil)
		time.Sleep(2 * time.Second)
		if token := b.runner.tokens.reserved(); token != 0 {
			t.Errorf("token %d is still in reserve after lists that extend the lease were sent with it", token)
		}
		b.ctl.setNoTokens(false)
	})
}
