// Package routing chooses the upstream for a request and decides whether a
// failed one may be sent again. Table and Budget are pure: the time is passed.
package routing

import (
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/waxwinghaven/waxwinghaven/market"
	"github.com/waxwinghaven/waxwinghaven/membership"
)

// Tuning of the ejection of agents that fail.
const (
	ejectAfter = 3 // failures in a row
	minEject   = 500 * time.Millisecond
	maxEject   = 15 * time.Second
	// farPenalty is added to the load of agents in other data centres, in
	// slots: the own one is left only when it is nearly full.
	farPenalty = 1.0
)

// Route is a service that a request was found to be for.
type Route struct {
	Market  string
	Service market.Service
	Preset  market.Preset
}

// agent is what an entry knows of one agent. Free is a hint from its last
// answer, never a limit: the agent itself guards the slots.
type agent struct {
	member   *membership.Member
	inFlight int
	free     int
	failures int
	ejected  time.Time // not chosen before
	penalty  time.Duration
}

// Table is an entry's copy of the configuration and the members.
type Table struct {
	dataCentre string
	revision   uint64
	index      uint64
	markets    map[string]*market.View
	routes     []Route
	agents     map[string]*agent
	byService  map[string][]*agent
}

// NewTable returns an empty table for an entry in a data centre.
func NewTable(dataCentre string) *Table {
	return &Table{dataCentre: dataCentre, markets: make(map[string]*market.View), agents: make(map[string]*agent), byService: make(map[string][]*agent)}
}

// Revision returns that of the configuration in force here.
func (t *Table) Revision() uint64 { return t.revision }

// Index returns the log index up to which the members are known.
func (t *Table) Index() uint64 { return t.index }

// Update takes in news. What is older than what is known is ignored, market by
// market and member by member, whichever replica sent it and in whatever order:
// an accepted change never reverts.
func (t *Table) Update(revision, index uint64, markets []*market.View, members []*membership.Member) {
	for _, v := range markets {
		if old := t.markets[v.Market.Name]; old == nil || old.Revision < v.Revision {
			t.markets[v.Market.Name] = v
		}
	}
	for _, m := range members {
		t.updateMember(m)
	}
	t.revision, t.index = max(t.revision, revision), max(t.index, index)
	if len(markets) > 0 {
		t.buildRoutes()
	}
	if len(members) > 0 {
		t.buildServices()
	}
}

func (t *Table) updateMember(m *membership.Member) {
	a := t.agents[m.Agent]
	switch {
	case a == nil:
		t.agents[m.Agent] = &agent{member: m, free: m.Slots}
	case a.member.Revision < m.Revision:
		if a.member.Phase != membership.Up && m.Phase == membership.Up {
			a.failures, a.penalty, a.ejected = 0, 0, time.Time{}
		}
		a.member = m
	}
}

// buildRoutes sorts the services so that the most specific one is met first.
func (t *Table) buildRoutes() {
	t.routes = nil
	for _, v := range t.markets {
		for _, s := range v.Services {
			t.routes = append(t.routes, Route{v.Market.Name, *s, v.Preset()})
		}
	}
	sort.Slice(t.routes, func(i, j int) bool { return moreSpecific(t.routes[i].Service, t.routes[j].Service) })
}

func moreSpecific(a, b market.Service) bool {
	if (a.Host != "") != (b.Host != "") {
		return a.Host != ""
	}
	if len(a.PathPrefix) != len(b.PathPrefix) {
		return len(a.PathPrefix) > len(b.PathPrefix)
	}
	return a.Host+a.PathPrefix < b.Host+b.PathPrefix
}

func (t *Table) buildServices() {
	t.byService = make(map[string][]*agent)
	for _, a := range t.agents {
		if a.member.Phase == membership.Up && !a.member.Cordoned && a.member.Service != "" {
			key := a.member.Market + "/" + a.member.Service
			t.byService[key] = append(t.byService[key], a)
		}
	}
}

// Find returns the service for a host and path.
func (t *Table) Find(host, path string) (Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.routes {
		if r.Service.Host != "" && !strings.EqualFold(r.Service.Host, host) {
			continue
		}
		if underPrefix(path, r.Service.PathPrefix) {
			return r, true
		}
	}
	return Route{}, false
}

// underPrefix matches whole path segments: /vault covers /vault/1, not /vaults.
func underPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || prefix == "" || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// Choice is an agent chosen for one request.
type Choice struct {
	Agent   string
	Address string
}

// Pick chooses the less loaded of two agents taken at random, which keeps load
// even without the entries talking to each other. tried are left out.
func (t *Table) Pick(r Route, tried []string, now time.Time, rng *rand.Rand) (Choice, bool) {
	list := t.byService[r.Market+"/"+r.Service.Name]
	first := t.draw(list, tried, now, rng)
	if first == nil {
		return Choice{}, false
	}
	best := first
	if second := t.draw(list, tried, now, rng); second != nil && t.load(second) < t.load(first) {
		best = second
	}
	best.inFlight++
	return Choice{best.member.Agent, best.member.Address}, true
}

// draw takes one usable agent at random. When all are ejected it takes one of
// those: a wrong suspicion of everybody must not refuse everything.
func (t *Table) draw(list []*agent, tried []string, now time.Time, rng *rand.Rand) *agent {
	if len(list) == 0 {
		return nil
	}
	start := rng.IntN(len(list))
	var fallback *agent
	for i := range list {
		a := list[(start+i)%len(list)]
		if contains(tried, a.member.Agent) {
			continue
		}
		if now.Before(a.ejected) {
			fallback = a
			continue
		}
		return a
	}
	return fallback
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

func (t *Table) load(a *agent) float64 {
	slots := float64(max(a.member.Slots, 1))
	busy := float64(a.inFlight)
	if hinted := slots - float64(a.free); hinted > busy {
		busy = (busy + hinted) / 2 // other entries use the agent too
	}
	load := busy / slots
	if a.member.DataCentre != t.dataCentre {
		load += farPenalty
	}
	return load
}

// Report is what became of a request at an agent.
type Report struct {
	Free   int  // slots free afterwards, -1 when not told
	Failed bool // the agent or its upstream did not do its work
	// Unreached tells that the agent could not even be connected to.
	Unreached bool
}

// Done takes in the report of a choice.
func (t *Table) Done(c Choice, r Report, now time.Time) {
	a := t.agents[c.Agent]
	if a == nil {
		return
	}
	a.inFlight--
	if r.Free >= 0 {
		a.free = r.Free
	}
	if !r.Failed && !r.Unreached {
		a.failures, a.penalty = 0, 0
		return
	}
	a.failures++
	if r.Unreached || a.failures >= ejectAfter {
		a.penalty = min(max(a.penalty*2, minEject), maxEject)
		a.ejected = now.Add(a.penalty)
	}
}

// Budget bounds retries to a part of the successes, so that a failing service
// gets a tenth more load from them and not a multiple.
type Budget struct{ tokens float64 }

// Tuning of the budget.
const (
	budgetPart = 0.1
	budgetMax  = 20
)

// NewBudget returns a budget that allows a few retries at once.
func NewBudget() *Budget { return &Budget{tokens: budgetMax / 2} }

// Success earns a part of a retry.
func (b *Budget) Success() { b.tokens = min(b.tokens+budgetPart, budgetMax) }

// Spend takes one retry, if there is one.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
