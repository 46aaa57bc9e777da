package entry

import (
	"context"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/transport"
)

// The leader is partitioned. A look-up that arrives at 1.553 s waits, since there is no leader.
// One that arrives at 2.003 s is answered immediately by version 3. Version 7 is committed and
// answers the first look-up at 2.241 s: in the order of sending, the instance went back from
// version 7 to 3.
func TestWaitingLookUpIsNotAnsweredByANewerVersionThanLaterCalls(t *testing.T) {
	var o answerOrder
	at := func(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }
	if !o.admit(at(1400), 3) || !o.admit(at(2003), 3) {
		t.Fatal("an answer by the current version is withheld")
	}
	if o.admit(at(1553), 7) {
		t.Error("the waiting call is answered by a newer version than a later call")
	}
	if !o.admit(at(1553), 3) {
		t.Error("an answer by the same version as the later call's is withheld")
	}
	if !o.admit(at(2250), 7) {
		t.Error("a call after the change is withheld")
	}
	if o.admit(at(2400), 3) {
		t.Error("a call after the change is answered by the previous version")
	}
}

// Calls that arrive within 100 ms of each other may have been sent in either order. A
// configuration change between them must not cause either answer to be withheld.
func TestConcurrentCallsMayBeAnsweredByEitherVersion(t *testing.T) {
	var o answerOrder
	start := time.Unix(0, 0)
	if !o.admit(start.Add(60*time.Millisecond), 3) || !o.admit(start, 7) || !o.admit(start.Add(90*time.Millisecond), 3) {
		t.Error("an answer to one of the concurrent calls is withheld")
	}
	if !o.admit(start, 0) {
		t.Error("an answer that does not depend on the configuration is withheld")
	}
}

// There are hundreds of versions a day. The record of them must stay bounded.
func TestOldVersionsAreRemoved(t *testing.T) {
	var o answerOrder
	start := time.Unix(0, 0)
	for i := range 1000 {
		o.admit(start.Add(time.Duration(i)*time.Second), uint64(i+1))
	}
	if n := len(o.spans); n > int(spanRetention/time.Second)+2 {
		t.Errorf("%d versions are kept", n)
	}
}

// The leader delays one look-up, answers a later one by version 3 and then the first by version
// 7. The gateway must tell the first caller to retry, and the next call must be answered by
// version 7. The later call is refused: a refusal for a missing queue carries a version too and
// must count like an answer.
func TestGatewayWithholdsTheAnswerOfAWaitingLookUp(t *testing.T) {
	release, held := make(chan struct{}), make(chan struct{})
	version := map[string]uint64{"/queue/held": 7, "/queue/later": 3, "/queue/again": 7}
	server := transport.NewServer("test", nil)
	server.Handle(control.PathLookUp, func(body []byte) (any, error) {
		var c control.JobCall
		if err := msgpack.Unmarshal(body, &c); err != nil {
			return nil, err
		}
		if c.Path == "/queue/held" {
			close(held)
			<-release
		}
		if c.Path == "/queue/later" {
			e := refusal.New(refusal.NoRoute, "check the path", "no queue takes it")
			e.Revision = version[c.Path]
			return nil, e
		}
		return control.LookUpAnswer{IsQueue: true, Version: version[c.Path]}, nil
	}, transport.RoleEntry)
	j := gatewayTo(t, server)
	first := make(chan error)
	go func() {
		_, err := j.LookUp("a.example", "/queue/held", 3*time.Second)
		first <- err
	}()
	<-held
	time.Sleep(reorderWindow + reorderWindow/2) // a longer sleep does not change the result
	if _, err := j.LookUp("a.example", "/queue/later", 3*time.Second); !refusal.Is(err, refusal.NoRoute) {
		t.Fatalf("the later call: %v", err)
	}
	close(release)
	err := <-first
	if e, ok := refusal.Of(err); !ok || e.Code != refusal.NoQuorum || e.RetryAfter <= 0 {
		t.Errorf("the waiting call: %v", err)
	}
	if a, err := j.LookUp("a.example", "/queue/again", 3*time.Second); err != nil || a.Version != 7 {
		t.Errorf("the call after the change: %+v, %v", a, err)
	}
}

// gatewayTo returns a gateway whose only control replica is the given server.
func gatewayTo(t *testing.T, server *transport.Server) *Jobs {
	t.Helper()
	ln, err := transport.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	addresses := []string{ln.Addr().String()}
	return &Jobs{started: time.Now(), ctl: control.NewClient(part, transport.NewClient(nil, "127.0.0.1"), func() []string { return addresses }, 0)}
}
