package proof

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/golden"
	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/market"
	"github.com/waxwinghaven/waxwinghaven/membership"
)

// session writes a transcript of commands, answers and reports.
type session struct {
	*system
	text strings.Builder
}

func (s *session) record(source string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	fmt.Fprintf(&s.text, "%7d  %-10s %s\n", s.now-1_000_000, source, b)
}

func (s *session) section(title string) { fmt.Fprintf(&s.text, "\n# %s\n", title) }

// round performs a renewal of a host and records all messages in it.
func (s *session) round(i int) {
	h := s.hosts[i]
	h.ledger.SetReport(h.worker.Report(h.clock(s.now)))
	for _, e := range h.ledger.Ends() {
		s.record(h.name, e)
	}
	s.renew(h, false)
	s.record(h.name, map[string]any{"worker": h.worker.Report(h.clock(s.now)).Tasks})
}

func (s *session) operator(c control.Command) {
	s.index++
	c.Now = s.now
	s.record("operator", firstPart(c))
	v, err := s.state.Apply(s.index, c)
	if err != nil {
		s.record("control", err)
		return
	}
	s.record("control", v)
}

// firstPart returns the field of a command that is set.
func firstPart(c control.Command) any {
	switch {
	case c.Change != nil:
		return c.Change
	case c.Submit != nil:
		return c.Submit
	case c.Cancel != nil:
		return c.Cancel
	}
	return c.Plan
}

func (s *session) recordTask(id string) {
	t := s.state.Tasks.Tasks[id]
	s.record("control", map[string]any{"task": id, "phase": t.Phase, "attempt": t.Attempt, "agent": t.Agent, "checkpoint": t.Checkpoint, "ran": t.Ran()})
}

func (s *session) placeTask(task string, host int) {
	t, h := s.state.Tasks.Tasks[task], s.hosts[host]
	boot := s.state.Members.Members[h.name].Boot
	s.operator(control.Command{Plan: &lease.Plan{Placements: []lease.Placement{{Task: task, Agent: h.name, Boot: boot, Attempt: t.Attempt + 1}}}})
}

// Checks the transcript of a session: two operators send changes based on the same revision and
// one resends; a render is placed, evicted while it runs and resumed elsewhere from its
// checkpoint; its second worker is lost and reports late; another render is cancelled before its
// start.
func TestSessionOfOperatorsAndARender(t *testing.T) {
	s := &session{system: newSystem(1)}
	s.section("two operators change the market from the same revision; one resends")
	for _, c := range []market.Change{
		{ID: "c1", Base: 3, Verb: market.PutPreset, Market: "vault", Preset: &market.Preset{Name: "peak", TailWeight: 1, BatchShare: 0.4, MaxSlowdown: 1.1}},
		{ID: "c2", Base: 3, Verb: market.RetireJob, Market: "vault", Name: "render"},
		{ID: "c1", Base: 3, Verb: market.PutPreset, Market: "vault", Preset: &market.Preset{Name: "peak", TailWeight: 1, BatchShare: 0.4, MaxSlowdown: 1.1}},
		{ID: "c3", Base: 4, Verb: market.UsePreset, Market: "vault", Name: "peak"},
	} {
		s.operator(control.Command{Change: &c})
	}
	s.section("a render is submitted, placed and started")
	s.round(0)
	s.round(1)
	submit := lease.Submit{ID: "night", Market: "vault", Job: "render", Count: 2, IssuedMS: s.now}
	s.operator(control.Command{Submit: &submit})
	s.operator(control.Command{Submit: &submit})
	s.placeTask("night/0", 0)
	s.round(0)
	s.section("it gives way after a second and saves its work")
	s.now += 1000
	s.operator(control.Command{Plan: &lease.Plan{Evictions: []lease.Eviction{{Task: "night/0", Attempt: 1}}}})
	s.round(0)
	s.now += 100
	s.round(0)
	s.recordTask("night/0")
	s.section("it resumes elsewhere; a repeated plan for it changes nothing")
	s.placeTask("night/0", 1)
	s.operator(control.Command{Plan: &lease.Plan{Placements: []lease.Placement{{Task: "night/0", Agent: "a0", Boot: s.hosts[0].worker.Boot, Attempt: 1}}}})
	s.round(1)
	s.section("its agent falls silent; the work ends there, but nobody hears of it before the lease is over")
	s.now += 1200
	s.round(0)
	s.now += 1300
	s.expire()
	s.record("control", map[string][]membership.Move{"moves": s.expired})
	s.commitExpired()
	s.recordTask("night/0")
	s.placeTask("night/0", 0)
	s.round(0)
	s.section("the silent agent comes back; its late report is void")
	s.round(1)
	s.now += 1500
	s.round(0)
	s.now += 600
	s.round(0)
	s.now += 100
	s.round(0)
	s.recordTask("night/0")
	s.section("the other render is cancelled before its start")
	s.operator(control.Command{Cancel: &lease.Cancel{Market: "vault", Tasks: []string{"night/1"}}})
	s.recordTask("night/1")
	s.check()
	if s.state.Tasks.Tasks["night/0"].Phase != lease.Done {
		t.Error("the render is not done")
	}
	if len(s.errors) > 0 {
		t.Errorf("%s", s.errors)
	}
	golden.Compare(t, "testdata/render.golden", s.text.String())
}
