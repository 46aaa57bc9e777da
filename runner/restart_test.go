package runner

import (
	"testing"
	"time"
)

// Guards against a worker whose lease outlives the control's book: lists of the session before,
// sent while the worker started again, are carried out late by its next start, whose clock is
// far behind the one that their lease was reckoned on.
func TestListsLostAtARestartLendTheNextStartNothing(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		time.Sleep(time.Minute)
		b.ctl.setNoTokens(true) // the next session has only the one in reserve
		b.worker.fall(ErrClosed)
		time.Sleep(time.Second)
		b.worker.restart("w2")
		b.seq = 0
		b.announce("w2", false)
		time.Sleep(2 * time.Second)
		if b.ctl.known() != "w2" {
			t.Fatalf("the control knows %q", b.ctl.known())
		}
		if b.worker.carryOutLostHolds() == 0 {
			t.Fatal("no list went unanswered: nothing is shown")
		}
		if lent := time.Duration(b.ctl.termMS) * time.Millisecond; b.worker.lease() > lent {
			t.Errorf("the lease goes on for %v, the control lent %v", b.worker.lease(), lent)
		}
		b.ctl.setNoTokens(false)
	})
}

// Guards against the same by a session that went on to its token in reserve and found its worker
// still there: the lists that follow extend the lease, so the token is no reserve any more.
func TestListThatExtendsALeaseSpendsItsToken(t *testing.T) {
	play(t, func(t *testing.T, b *bench) {
		time.Sleep(2 * time.Second)
		b.ctl.setNoTokens(true)
		b.worker.fall(errLost)
		time.Sleep(3 * time.Second)
		if !b.session().steppedUp.Load() {
			t.Fatal("the session hasn't gone on to its token in reserve: nothing is shown")
		}
		b.worker.fall(nil)
		time.Sleep(2 * time.Second)
		if token := b.runner.tokens.next(); token != 0 {
			t.Errorf("token %d is in reserve, and lists that extend the lease were sent with it", token)
		}
		b.ctl.setNoTokens(false)
	})
}
