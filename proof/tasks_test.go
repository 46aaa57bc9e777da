// Package proof checks the guarantees of the system as a whole: by random tests of the combined
// cores of several parts, by simulations, and with real processes. The reference is the record
// that stand-in workers keep.
package proof

import (
	"flag"
	"fmt"
	"math/rand"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/waxwinghaven/waxwinghaven/agent"
	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/market"
	"github.com/waxwinghaven/waxwinghaven/membership"
	"github.com/waxwinghaven/waxwinghaven/resource"
	"github.com/waxwinghaven/waxwinghaven/standin"
	"github.com/waxwinghaven/waxwinghaven/worker"
)

var runs = flag.Int("runs", 150, "operation sequences in each stateful fuzz")

const (
	term    = 2000 * time.Millisecond
	stepMS  = 100
	workMS  = 3000
	hosts   = 3
	taskCPU = 1000 // milli CPU
)

// host is an instance: an agent's ledger and its worker.
type host struct {
	name    string
	ledger  *agent.Ledger
	worker  *standin.Worker
	earlier []*standin.Worker // earlier boots, for their records
	bootAt  int64
	frozen  bool
	cut     bool
	delayed []func() // messages to the worker that are still on the network
}

// system is the committed state, the leader's lease table, and the hosts.
type system struct {
	now          int64 // in milliseconds
	index        uint64
	state        *control.State
	leases       *lease.Table[string]
	hosts        []*host
	expired      []membership.Move // expired leases whose end is decided but not committed
	rng          *rand.Rand
	errors       []string
	submits      int
	lostAttempts map[worker.Ref]bool // attempts that were committed as lost
	sent         []control.Command   // reports and plans that may be committed again
}

func newSystem(seed int64) *system {
	s := &system{now: 1_000_000, state: control.NewState(), rng: rand.New(rand.NewSource(seed)), lostAttempts: make(map[worker.Ref]bool)}
	s.leases = lease.NewTable[string](term, s.time())
	s.commit(control.Command{Change: &market.Change{ID: "t", Verb: market.PutTeam, Team: &market.Team{Name: "team"}}})
	s.commit(control.Command{Change: &market.Change{ID: "m", Verb: market.PutMarket, Market: "vault"}})
	s.commit(control.Command{Change: &market.Change{ID: "j", Base: 2, Verb: market.PutJob, Market: "vault", Job: &market.Job{
		Name: "render", Team: "team", Class: market.ClassBatch, MilliCPU: taskCPU, MemoryMB: 1, RunTimeMS: workMS}}})
	for i := range hosts {
		h := &host{name: fmt.Sprintf("a%d", i), ledger: agent.NewLedger()}
		h.boot(s.now)
		s.hosts = append(s.hosts, h)
	}
	return s
}

func (s *system) time() time.Time { return time.UnixMilli(s.now) }

func (h *host) boot(now int64) {
	if h.worker != nil {
		h.worker.Die(h.clock(now))
		h.earlier = append(h.earlier, h.worker)
	}
	h.worker, h.bootAt = standin.NewWorker(resource.Vector{MilliCPU: 2 * taskCPU, MemoryMB: 100}), now
	h.worker.Boot = fmt.Sprintf("%s-%d", h.name, now)
}

func (h *host) clock(now int64) int64 { return now - h.bootAt }

func (s *system) commit(c control.Command) any {
	s.index++
	c.Now = s.now
	s.recordLost(c)
	if c.Ends != nil || c.Plan != nil {
		s.sent = append(s.sent, c)
	}
	v, err := s.state.Apply(s.index, c)
	if err != nil {
		s.errors = append(s.errors, err.Error())
	}
	return v
}

// recordLost records the attempts that a command ends as lost with their worker.
func (s *system) recordLost(c control.Command) {
	boots := make(map[string]string)
	for _, mv := range c.Moves {
		boots[mv.Agent] = mv.Boot
	}
	if c.Announce != nil {
		if old := s.state.Members.Members[c.Announce.Agent]; old != nil && old.Boot != c.Announce.Boot {
			boots[old.Agent] = old.Boot
		}
	}
	for name, boot := range boots {
		for id, t := range s.state.Tasks.On(name) {
			if t.Boot == boot {
				s.lostAttempts[worker.Ref{Task: id, Attempt: t.Attempt}] = true
			}
		}
	}
}

// renew performs a renewal of an agent. As in the real one, the worker's clock is read first and
// the commands reach the worker later; with delay set they stay on the network.
func (s *system) renew(h *host, delay bool) {
	if h.frozen || h.cut {
		return
	}
	h.ledger.SetReport(h.worker.Report(h.clock(s.now)))
	until := h.clock(s.now) + term.Milliseconds()
	m := membership.Member{Agent: h.name, Address: "127.0.0.1:1", Boot: h.ledger.Boot(), Capacity: h.ledger.Capacity()}
	known := s.state.Members.Members[h.name]
	if known == nil || !known.SameAnnouncement(m) || known.Phase == membership.Down {
		s.commit(control.Command{Announce: &m})
	}
	if ends := h.ledger.Ends(); len(ends) > 0 {
		s.commit(control.Command{Ends: &control.Ends{Agent: h.name, List: ends}})
	}
	if !s.leases.Grant(h.name, s.time()) {
		return
	}
	orders := s.state.Tasks.Orders(h.name)
	if lease.Digest(orders) != h.ledger.Digest() {
		h.ledger.SetOrders(m.Boot, orders)
	}
	cmd := h.ledger.Commands(until)
	w := h.worker
	deliver := func() {
		if h.worker == w { // messages to an earlier boot are lost
			w.Sync(cmd, h.clock(s.now))
		}
	}
	if delay {
		h.delayed = append(h.delayed, deliver)
		return
	}
	deliver()
	h.ledger.SetReport(h.worker.Report(h.clock(s.now)))
}

// expire decides which leases have ended. commitExpired commits that, possibly much later and
// after other commands.
func (s *system) expire() {
	for _, h := range s.hosts {
		m := s.state.Members.Members[h.name]
		if m != nil && m.Phase != membership.Down && s.leases.Close(h.name, s.time()) {
			s.expired = append(s.expired, membership.Move{Agent: h.name, Boot: m.Boot, Phase: membership.Down})
		}
	}
}

func (s *system) commitExpired() {
	if len(s.expired) == 0 {
		return
	}
	s.commit(control.Command{Moves: s.expired})
	for _, mv := range s.expired {
		s.leases.Reopen(mv.Agent)
	}
	s.expired = nil
}

// place commits placements as a scheduler plans them, from a snapshot that may be outdated.
func (s *system) place() {
	var p lease.Plan
	for i, t := range s.state.Tasks.WaitingHeads(10) {
		h := s.hosts[(i+s.rng.Intn(hosts))%hosts]
		if m := s.state.Members.Members[h.name]; m != nil {
			p.Placements = append(p.Placements, lease.Placement{Task: t.ID, Agent: h.name, Boot: m.Boot, Attempt: t.Attempt + 1})
		}
	}
	s.commit(control.Command{Plan: &p})
	if s.rng.Intn(3) == 0 {
		s.commit(control.Command{Plan: &p}) // the same plan again, from another leader
	}
}

func (s *system) evict(n int) {
	h := s.hosts[n%hosts]
	for _, o := range s.state.Tasks.Orders(h.name) {
		s.commit(control.Command{Plan: &lease.Plan{Evictions: []lease.Eviction{{Task: o.Task, Attempt: o.Attempt}}}})
		return
	}
}

type op struct{ Kind, A int }

const (
	opStep = iota
	opRenew
	opRenewDelayed
	opDeliverDelayed
	opSubmit
	opPlace
	opEvict
	opCancel
	opFreeze
	opCut
	opBoot
	opAgentRestart
	opNewLeader
	opExpire
	opCommitExpired
	opSnapshot
	opRepeat
	opThrottle
	opKinds
)

var weights = [opKinds]int{opStep: 30, opRenew: 25, opRenewDelayed: 5, opDeliverDelayed: 4, opSubmit: 4, opPlace: 10, opEvict: 4, opCancel: 1,
	opFreeze: 2, opCut: 2, opBoot: 1, opAgentRestart: 2, opNewLeader: 1, opExpire: 8, opCommitExpired: 6, opSnapshot: 1, opRepeat: 8, opThrottle: 3}

func genOp() gopter.Gen {
	var kinds []any
	for k, n := range weights {
		for range n {
			kinds = append(kinds, k)
		}
	}
	return gen.Struct(reflect.TypeOf(op{}), map[string]gopter.Gen{"Kind": gen.OneConstOf(kinds...), "A": gen.IntRange(0, 29)})
}

func (s *system) apply(o op) {
	h := s.hosts[o.A%hosts]
	switch o.Kind {
	case opStep:
		s.now += stepMS * int64(1+o.A%4)
	case opRenew:
		s.renew(h, false)
	case opRenewDelayed:
		s.renew(h, true)
	case opDeliverDelayed:
		s.deliverDelayed(h)
	case opSubmit:
		s.submits++
		s.commit(control.Command{Submit: &lease.Submit{ID: fmt.Sprint("s", s.submits), Market: "vault", Job: "render", Count: 1 + o.A%3, IssuedMS: s.now}})
	case opPlace:
		s.place()
	case opEvict:
		s.evict(o.A)
	case opCancel:
		s.commit(control.Command{Cancel: &lease.Cancel{Market: "vault", Tasks: []string{fmt.Sprintf("s%d/0", 1+o.A)}}})
	default:
		s.applyFault(o, h)
	}
}

func (s *system) applyFault(o op, h *host) {
	switch o.Kind {
	case opFreeze:
		h.frozen = !h.frozen
	case opCut:
		h.cut = !h.cut
	case opBoot:
		h.boot(s.now)
	case opAgentRestart:
		h.ledger = agent.NewLedger()
	case opNewLeader:
		s.leases, s.expired = lease.NewTable[string](term, s.time()), nil
	case opExpire:
		s.expire()
	case opCommitExpired:
		s.commitExpired()
	case opSnapshot:
		s.state.Tasks.Rebuild()
	case opThrottle:
		s.throttle(h, o.A)
	case opRepeat:
		s.commitAgain()
	}
}

func (s *system) deliverDelayed(h *host) {
	if len(h.delayed) == 0 {
		return
	}
	i := s.rng.Intn(len(h.delayed))
	deliver := h.delayed[i]
	if s.rng.Intn(2) == 0 { // otherwise it is delivered again later
		h.delayed = slices.Delete(h.delayed, i, i+1)
	}
	deliver()
}

// throttle slows down one of a host's tasks, or returns all to full speed.
func (s *system) throttle(h *host, n int) {
	orders := s.state.Tasks.Orders(h.name)
	if n%2 == 0 || len(orders) == 0 {
		h.ledger.SetThrottled(nil)
		return
	}
	h.ledger.SetThrottled([]string{orders[n%len(orders)].Task})
}

// commitAgain commits an earlier report or plan again, as after a lost answer.
func (s *system) commitAgain() {
	if len(s.sent) > 0 {
		c := s.sent[len(s.sent)-1-s.rng.Intn(min(len(s.sent), 12))]
		s.commit(control.Command{Ends: c.Ends, Plan: c.Plan})
	}
}

// finish ends all faults and gives the system time to complete all tasks.
func (s *system) finish() {
	for _, h := range s.hosts {
		h.frozen, h.cut = false, false
		h.ledger.SetThrottled(nil)
	}
	for range 3000 {
		s.now += stepMS
		s.expire()
		s.commitExpired()
		s.place()
		for _, h := range s.hosts {
			s.renew(h, false)
		}
		if s.allOver() {
			return
		}
	}
	s.errors = append(s.errors, "not all tasks were over at the end")
}

func (s *system) allOver() bool {
	for _, t := range s.state.Tasks.Tasks {
		if !t.Over() {
			return false
		}
	}
	return true
}

// hostInterval is the record of one attempt on a host, on the common clock.
type hostInterval struct {
	standin.Interval
	host string
}

func (s *system) intervals() map[string][]hostInterval {
	out := make(map[string][]hostInterval)
	add := func(h *host, w *standin.Worker, bootAt int64) {
		for _, iv := range w.Intervals {
			iv.StartMS, iv.EndMS = iv.StartMS+bootAt, iv.EndMS+bootAt
			out[iv.Task] = append(out[iv.Task], hostInterval{iv, h.name})
		}
	}
	for _, h := range s.hosts {
		for _, w := range h.earlier {
			bootAt, _ := strconv.ParseInt(w.Boot[strings.IndexByte(w.Boot, '-')+1:], 10, 64)
			add(h, w, bootAt)
		}
		add(h, h.worker, h.bootAt)
	}
	return out
}

// check checks the guarantees against the workers' own records.
func (s *system) check() {
	intervals := s.intervals()
	for id, list := range intervals {
		slices.SortFunc(list, func(a, b hostInterval) int { return int(a.StartMS - b.StartMS) })
		for i := 1; i < len(list); i++ {
			if list[i].StartMS < list[i-1].EndMS {
				s.errors = append(s.errors, fmt.Sprintf("%s ran in two places: %+v and %+v", id, list[i-1], list[i]))
			}
			if list[i].Attempt <= list[i-1].Attempt {
				s.errors = append(s.errors, fmt.Sprintf("%s: attempt %d ran after attempt %d", id, list[i].Attempt, list[i-1].Attempt))
			}
		}
	}
	for id, t := range s.state.Tasks.Tasks {
		s.checkTask(id, t, intervals[id])
	}
	for _, h := range s.hosts {
		for _, w := range append(h.earlier, h.worker) {
			if w.Overcommits > 0 {
				s.errors = append(s.errors, h.name+" exceeded its capacity")
			}
		}
	}
}

// checkTask checks that the work of a done task was completed once, by the attempt that was
// committed as done, and that a task reported as not run has not run. An attempt that ended on a
// worker which was lost before it could report is void: its end was never committed, and the next
// attempt does the work.
func (s *system) checkTask(id string, t *lease.Task, list []hostInterval) {
	ended := 0
	for _, iv := range list {
		void := iv.Attempt != t.Attempt && s.lostAttempts[worker.Ref{Task: id, Attempt: iv.Attempt}]
		if iv.To == workMS && !void {
			ended++
		}
	}
	switch {
	case t.Phase == lease.Done && ended != 1:
		s.errors = append(s.errors, fmt.Sprintf("%s is done, but its work was completed %d times: %+v", id, ended, list))
	case t.Ran() == lease.RanNo && len(list) > 0:
		s.errors = append(s.errors, fmt.Sprintf("%s is reported as not run, but ran: %+v", id, list))
	case t.Ran() == lease.RanYes && len(list) == 0:
		s.errors = append(s.errors, fmt.Sprintf("%s is reported as run, but did not run", id))
	}
}

// Guards against tasks that run in two places or are completed twice. Agents freeze, restart and
// are isolated, workers restart, messages to them are delayed and duplicated, leaders change
// between any two steps, plans are applied twice, and tasks are evicted and cancelled while they
// end. The workers' own records show each task in one place at a time, its work completed once,
// no worker over its capacity, and no run of a task reported as not run.
func TestTasksRunInOnePlaceAndEndOnce(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(11)
	params.MinSuccessfulTests = *runs
	props := gopter.NewProperties(params)
	props.Property("tasks", prop.ForAll(func(ops []op) (string, error) {
		s := newSystem(5)
		for _, o := range ops {
			s.apply(o)
		}
		s.finish()
		s.check()
		if len(s.errors) > 0 {
			return fmt.Sprint(s.errors[0], " after ", ops), nil
		}
		return "", nil
	}, gen.SliceOfN(250, genOp())))
	props.TestingRun(t)
}
