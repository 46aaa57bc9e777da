package control

import (
	"testing"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/queues"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

// Guards against registering a worker whose service is in no configuration: it would count as
// capacity and take the place of another worker on its host. A worker that is already registered
// stays when its service is removed from the configuration: its runs continue.
func TestWorkerOfAnUnknownServiceIsNotRegistered(t *testing.T) {
	c := newCluster(t)
	c.prepareJobs(4)
	l := c.replicas[c.leader()]
	unknown := jobs.Worker{ID: "x", Agent: "b", Session: "1", Service: "nobody's", Capacity: resource.Vector{MilliCPU: 1000}}
	_, err := l.onRegister(Registration{Worker: unknown})
	if e, ok := refusal.Of(err); !ok || e.Code != refusal.UnknownService {
		t.Fatalf("a worker of an unknown service: %v", err)
	}
	l.machine.Read(func(s *State) {
		if s.Jobs.Workers["x"] != nil {
			t.Error("it is registered")
		}
	})
	if _, err := l.PutConfig(PutConfig{Config: queues.Config{Version: 2, Services: []queues.Service{{Name: "other"}}}}); err != nil {
		t.Fatal(err)
	}
	known := jobs.Worker{ID: "w", Agent: "a", Session: "2", Service: "vault", Draining: true, Capacity: resource.Vector{MilliCPU: 4000}}
	if _, err := l.onRegister(Registration{Worker: known}); err != nil {
		t.Errorf("a worker whose service was taken out: %v", err)
	}
}

// Guards against a late registration from a superseded session: the worker rejects its token, so
// no agent would serve the worker.
func TestOvertakenRegistrationIsRefused(t *testing.T) {
	c := newCluster(t)
	c.prepareJobs(4)
	l := c.replicas[c.leader()]
	ask := func(service string) (FenceAnswer, error) {
		return l.onFence(FenceRequest{Agent: "a", Worker: "w#2", Service: service})
	}
	if _, err := ask("nobody's"); !refusal.Is(err, refusal.UnknownService) {
		t.Errorf("a token for a worker of an unknown service: %v", err)
	}
	first, err := ask("vault")
	second, err2 := ask("vault")
	if err != nil || err2 != nil || first.Worker != "w" || second.Token <= first.Token {
		t.Fatalf("tokens %+v and %+v (%v, %v)", first, second, err, err2)
	}
	w := jobs.Worker{ID: "w#2", Agent: "a", Session: "b", Service: "vault", Token: second.Token, Capacity: resource.Vector{MilliCPU: 4000}}
	got, err := l.onRegister(Registration{Worker: w})
	kept := l.machine.state.Jobs.Workers["w#2"]
	if err != nil || kept == nil || kept.Token != second.Token || got.Index != kept.Registered {
		t.Fatalf("registered with %+v, kept as %+v (%v)", got, kept, err)
	}
	w.ID, w.Session, w.Token = "w#1", "a", first.Token
	if _, err := l.onRegister(Registration{Worker: w}); !refusal.Is(err, refusal.NotRegistered) {
		t.Errorf("the superseded session: %v", err)
	}
	l.machine.Read(func(s *State) {
		if x := s.Jobs.WorkerOf("a"); x == nil || x.ID != "w#2" {
			t.Errorf("registered is %+v", x)
		}
	})
}
