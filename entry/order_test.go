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

// The leader is cut off. A look-up that comes at 1.553 s is held, since nobody leads. One
// that comes at 2.003 is answered at once, by version 3. Version 7 is committed, and the
// first is answered at 2.241 by it: by when they were sent, the instance went back from
// version 7 to 3.
func TestAHeldLookUpIsNotAnsweredByAVersionNewerThanLaterCallsGot(t *testing.T) {
	var o answerOrder
	at := func(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }
	if !o.admit(at(1400), 3) || !o.admit(at(2003), 3) {
		t.Fatal("an answer by the version in force is withheld")
	}
	if o.admit(at(1553), 7) {
		t.Error("the held call is answered by a version that a later call was not")
	}
	if !o.admit(at(1553), 3) {
		t.Error("answered by the same version it is withheld")
	}
	if !o.admit(at(2250), 7) {
		t.Error("a call after the change is withheld")
	}
	if o.admit(at(2400), 3) {
		t.Error("a call after the change is answered by the version before it")
	}
}

// Two calls that arrive within a tenth of a second of each other have no order that
// anybody could tell: a change between them must not cost either an answer.
func TestCallsThatCrossMayBeAnsweredByEitherVersion(t *testing.T) {
	var o answerOrder
	start := time.Unix(0, 0)
	if !o.admit(start.Add(60*time.Millisecond), 3) || !o.admit(start, 7) || !o.admit(start.Add(90*time.Millisecond), 3) {
		t.Error("one of them is withheld")
	}
	if !o.admit(start, 0) {
		t.Error("an answer that says nothing of the configuration is withheld")
	}
}

// Versions come by the hundred in a day. What is remembered of them must not grow.
func TestOldVersionsAreForgotten(t *testing.T) {
	var o answerOrder
	start := time.Unix(0, 0)
	for i := range 1000 {
		o.admit(start.Add(time.Duration(i)*time.Second), uint64(i+1))
	}
	if n := len(o.spans); n > int(orderMemory/time.Second)+2 {
		t.Errorf("%d versions are remembered", n)
	}
}

// The same through a whole gateway: the leader holds the first look-up back, answers a
// later one by version 3, and then the first by version 7. The first caller is told to
// ask again, and its next call is answered by version 7. Refusals count like answers:
// that a queue is not there tells a version too.
func TestAGatewayWithholdsTheAnswerOfAHeldLookUp(t *testing.T) {
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
	time.Sleep(crossing + crossing/2) // at least: more changes nothing
	if _, err := j.LookUp("a.example", "/queue/later", 3*time.Second); !refusal.Is(err, refusal.NoRoute) {
		t.Fatalf("the later call got %v", err)
	}
	close(release)
	err := <-first
	if e, ok := refusal.Of(err); !ok || e.Code != refusal.NoQuorum || e.RetryAfter <= 0 {
		t.Errorf("the held call got %v", err)
	}
	if a, err := j.LookUp("a.example", "/queue/again", 3*time.Second); err != nil || a.Version != 7 {
		t.Errorf("the call after got %+v, %v", a, err)
	}
}

// gatewayTo returns a gateway whose only replica is a server of the test's.
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
	contacts := []string{ln.Addr().String()}
	return &Jobs{begun: time.Now(), ctl: control.NewClient(part, transport.NewClient(nil, "127.0.0.1"), func() []string { return contacts }, 0)}
}
