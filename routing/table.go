// Package routing chooses the upstream for a request and decides whether a failed request may be
// retried. Table and Budget do no I/O and are passed the time; neither is safe for concurrent use.
package routing

import (
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/waxwinghaven/waxwinghaven/market"
	"github.com/waxwinghaven/waxwinghaven/membership"
)

// Parameters of the temporary exclusion of failing agents.
const (
	ejectAfter = 3 // consecutive failures
	minEject   = 500 * time.Millisecond
	maxEject   = 15 * time.Second
	// remotePenalty is added to the load of agents in other data centres, where 1 is an agent
	// with all slots in use: requests leave the own data centre only when it is nearly full.
	remotePenalty = 1.0
)

// Route is the service that a request is for.
type Route struct {
	Market  string
	Service market.Service
	Preset  market.Preset
}

// agent is what an entry knows of one agent. free is a hint from the agent's last answer and never
// a limit: the agent itself guards its slots.
type agent struct {
	member       *membership.Member
	inFlight     int
	free         int
	failures     int
	ejectedUntil time.Time // not chosen before this time
	ejection     time.Duration
}

// Table is an entry's copy of the configuration and of the members.
type Table struct {
	dataCentre string
	revision   uint64
	index      uint64
	markets    map[string]*market.View
	routes     []Route
	agents     map[string]*agent
	byService  map[string][]*agent
}

// NewTable returns an empty table for an entry in this data centre.
func NewTable(dataCentre string) *Table {
	return &Table{dataCentre: dataCentre, markets: make(map[string]*market.View), agents: make(map[string]*agent), byService: make(map[string][]*agent)}
}

// Revision returns the newest revision of the configuration received.
func (t *Table) Revision() uint64 { return t.revision }

// Index returns the log index up to which the members are known.
func (t *Table) Index() uint64 { return t.index }

// Update applies changes of markets and members. Anything older than what is known is ignored, by
// market and by member, whichever replica sends it and in whatever order, so that an accepted
// change is never reverted.
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
			a.failures, a.ejection, a.ejectedUntil = 0, 0, time.Time{}
		}
		a.member = m
	}
}

// buildRoutes sorts the services by decreasing specificity.
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

// Find returns the most specific service for a host and path.
func (t *Table) Find(host, path string) (Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.routes {
		if r.Service.Host != "" && !strings.EqualFold(r.Service.Host, host) {
			continue
		}
		if matchesPrefix(path, r.Service.PathPrefix) {
			return r, true
		}
	}
	return Route{}, false
}

// matchesPrefix compares whole path segments: /vault covers /vault/1, but not /vaults.
func matchesPrefix(path, prefix string) bool {
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

// Pick chooses the less loaded of two agents drawn at random, which balances load although entries
// do not coordinate. Agents in tried are left out.
func (t *Table) Pick(r Route, tried []string, now time.Time, rng *rand.Rand) (Choice, bool) {
	list := t.byService[r.Market+"/"+r.Service.Name]
	first := t.pickRandom(list, tried, now, rng)
	if first == nil {
		return Choice{}, false
	}
	best := first
	if second := t.pickRandom(list, tried, now, rng); second != nil && t.load(second) < t.load(first) {
		best = second
	}
	best.inFlight++
	return Choice{best.member.Agent, best.member.Address}, true
}

// pickRandom returns a random agent that is not excluded. If all are, it returns an excluded one:
// suspecting all agents wrongly must not lead to refusing all requests.
func (t *Table) pickRandom(list []*agent, tried []string, now time.Time, rng *rand.Rand) *agent {
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
		if now.Before(a.ejectedUntil) {
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
		load += remotePenalty
	}
	return load
}

// Report is the outcome of a request at an agent.
type Report struct {
	Free   int  // free slots afterwards, -1 if unknown
	Failed bool // the agent or its upstream failed to serve the request
	// Unavailable is set if no connection to the agent could be made or the agent is leaving. It is
	// then excluded after this one failure.
	Unavailable bool
}

// Done records the outcome of a request at a chosen agent.
func (t *Table) Done(c Choice, r Report, now time.Time) {
	a := t.agents[c.Agent]
	if a == nil {
		return
	}
	a.inFlight--
	if r.Free >= 0 {
		a.free = r.Free
	}
	if !r.Failed && !r.Unavailable {
		a.failures, a.ejection = 0, 0
		return
	}
	a.failures++
	if r.Unavailable || a.failures >= ejectAfter {
		a.ejection = min(max(a.ejection*2, minEject), maxEject)
		a.ejectedUntil = now.Add(a.ejection)
	}
}

// Budget bounds retries to a tenth of the successes, so that retries add at most that much load to
// a failing service instead of multiplying it.
type Budget struct{ tokens float64 }

// Parameters of the budget, in retries.
const (
	budgetRatio = 0.1
	maxBudget   = 20
)

// NewBudget returns a budget with half of its maximum available.
func NewBudget() *Budget { return &Budget{tokens: maxBudget / 2} }

// Success adds the share of a retry that one success allows.
func (b *Budget) Success() { b.tokens = min(b.tokens+budgetRatio, maxBudget) }

// Spend takes one retry from the budget and returns false if there is none.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
