package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/market"
	"github.com/waxwinghaven/waxwinghaven/membership"
)

func member(name, dc string, rev uint64, phase membership.Phase) *membership.Member {
	return &membership.Member{Agent: name, Address: name, DataCentre: dc, Market: "m", Service: "s", Slots: 8, Phase: phase, Revision: rev}
}

func table(members ...*membership.Member) (*Table, Route) {
	t := NewTable("dc1")
	v := &market.View{Market: market.Market{Name: "m"}, Revision: 1, Services: map[string]*market.Service{"s": {Name: "s", PathPrefix: "/s", TimeoutMS: 1}}}
	t.Update(1, 1, []*market.View{v}, members)
	r, _ := t.Find("any", "/s/1")
	return t, r
}

var now = time.Unix(1000, 0)

// An entry asks one replica and then another one that lags. Neither its configuration nor its
// members may be replaced by older ones.
func TestStaleUpdatesAreIgnored(t *testing.T) {
	tb, r := table(member("a", "dc1", 5, membership.Leaving))
	tb.Update(9, 9, []*market.View{{Market: market.Market{Name: "m"}, Revision: 9, InForce: "peak"}}, nil)
	tb.Update(3, 3, []*market.View{{Market: market.Market{Name: "m"}, Revision: 3, InForce: "night"}}, []*membership.Member{member("a", "dc1", 4, membership.Up)})
	if tb.Revision() != 9 || tb.Index() != 9 || tb.markets["m"].InForce != "peak" {
		t.Fatalf("replaced by an older state: revision %d, index %d, preset %s", tb.Revision(), tb.Index(), tb.markets["m"].InForce)
	}
	if _, ok := tb.Pick(r, nil, now, rand.New(rand.NewPCG(1, 1))); ok {
		t.Fatal("a leaving upstream was picked after a stale update")
	}
}

// An operator takes the entry's own data centre out of service. Requests must go to the other one
// although it is remote. With both out of service none is sent, and an update alone brings requests
// back.
func TestRequestsAvoidADataCentreOutOfService(t *testing.T) {
	near, far := member("a", "dc1", 1, membership.Up), member("b", "dc2", 1, membership.Up)
	tb, r := table(near, far)
	rng := rand.New(rand.NewPCG(1, 1))
	change := func(m *membership.Member, cordoned bool) {
		next := *tb.agents[m.Agent].member
		next.Cordoned, next.Revision = cordoned, next.Revision+1
		tb.Update(0, 0, nil, []*membership.Member{&next})
	}
	change(near, true)
	for range 20 {
		c, ok := tb.Pick(r, nil, now, rng)
		if !ok || c.Agent != "b" {
			t.Fatalf("picked %+v", c)
		}
		tb.Done(c, Report{Free: 8}, now)
	}
	change(far, true)
	if c, ok := tb.Pick(r, nil, now, rng); ok {
		t.Errorf("with both out of service %+v was picked", c)
	}
	change(near, false)
	if c, ok := tb.Pick(r, nil, now, rng); !ok || c.Agent != "a" {
		t.Errorf("after the return to service %+v was picked", c)
	}
}

// An agent that cannot be reached must be excluded immediately, and one that fails after three
// failures; both are tried again later. When all are excluded, requests are still sent.
func TestFailingAgentsAreAvoided(t *testing.T) {
	tb, r := table(member("a", "dc1", 1, membership.Up), member("b", "dc1", 1, membership.Up))
	rng := rand.New(rand.NewPCG(1, 1))
	tb.Done(Choice{Agent: "a"}, Report{Free: -1, Unavailable: true}, now)
	for range 20 {
		c, _ := tb.Pick(r, nil, now, rng)
		if c.Agent != "b" {
			t.Fatalf("picked %s", c.Agent)
		}
		tb.Done(c, Report{Free: 8}, now)
	}
	for range ejectAfter {
		tb.Done(Choice{Agent: "b"}, Report{Free: 8, Failed: true}, now)
	}
	if _, ok := tb.Pick(r, nil, now, rng); !ok {
		t.Fatal("no agent was picked when all were excluded")
	}
	seen := map[string]bool{}
	for range 40 {
		c, _ := tb.Pick(r, nil, now.Add(minEject+1), rng)
		seen[c.Agent] = true
		tb.Done(c, Report{Free: 8}, now)
	}
	if !seen["a"] || !seen["b"] {
		t.Fatalf("picked after the exclusion: %v", seen)
	}
}

// Requests must stay in the entry's own data centre until its agents are nearly full.
func TestOwnDataCentreFirst(t *testing.T) {
	tb, r := table(member("near", "dc1", 1, membership.Up), member("far", "dc2", 1, membership.Up))
	rng := rand.New(rand.NewPCG(1, 1))
	count := map[string]int{}
	for range 20 {
		c, _ := tb.Pick(r, nil, now, rng)
		count[c.Agent]++
	}
	if count["near"] < 8 || count["far"] == 0 {
		t.Fatalf("picked %v of 8 near slots and 20 requests", count)
	}
}

// Retries must be at most a tenth of the successes once the initial budget is spent.
func TestBudgetBoundsRetries(t *testing.T) {
	b := NewBudget()
	spent := 0
	for i := range 10_000 {
		if i%2 == 0 {
			b.Success()
		}
		if b.Spend() {
			spent++
		}
	}
	if spent < 500 || spent > 515 {
		t.Fatalf("%d retries for 5000 successes", spent)
	}
}

// Paths match whole segments, and the most specific service is chosen.
func TestMostSpecificServiceIsFound(t *testing.T) {
	tb := NewTable("dc1")
	svc := map[string]*market.Service{}
	for i, s := range []market.Service{{PathPrefix: "/a"}, {PathPrefix: "/a/b"}, {Host: "x.example", PathPrefix: "/"}, {PathPrefix: "/"}} {
		s.Name = fmt.Sprint("s", i)
		svc[s.Name] = &s
	}
	tb.Update(1, 1, []*market.View{{Market: market.Market{Name: "m"}, Revision: 1, Services: svc}}, nil)
	for _, c := range []struct{ host, path, want string }{
		{"h", "/a/b/c", "s1"}, {"h", "/a/bc", "s0"}, {"h", "/ab", "s3"}, {"X.Example:80", "/a", "s2"},
	} {
		if r, ok := tb.Find(c.host, c.path); !ok || r.Service.Name != c.want {
			t.Errorf("%s %s: got %q, want %q", c.host, c.path, r.Service.Name, c.want)
		}
	}
}
