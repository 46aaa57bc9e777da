package control

import (
	"fmt"
	"testing"

	"github.com/waxwinghaven/waxwinghaven/interference"
	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/market"
	"github.com/waxwinghaven/waxwinghaven/membership"
	"github.com/waxwinghaven/waxwinghaven/placement"
	"github.com/waxwinghaven/waxwinghaven/resource"
	"github.com/waxwinghaven/waxwinghaven/settings"
)

// Design size of the system.
const (
	benchWorkers = 2700
	benchTasks   = 79_000
	benchTeams   = 150
	benchJobs    = 600
)

// newLoadedLeader returns a leader and a state with the given numbers of workers and running
// tasks.
func newLoadedLeader(tb testing.TB, workers, tasks int) (*leader, *State) {
	tb.Helper()
	s := NewState()
	index := uint64(0)
	commit := func(c Command) {
		index++
		c.Now = 1_000_000
		if _, err := s.Apply(index, c); err != nil {
			tb.Fatal(err)
		}
	}
	for i := range benchTeams {
		commit(Command{Change: &market.Change{ID: fmt.Sprint("t", i), Base: s.Market.Teams.Revision, Verb: market.PutTeam, Team: &market.Team{Name: fmt.Sprint("t", i), MilliCPU: 200_000_000}}})
	}
	commit(Command{Change: &market.Change{ID: "m", Verb: market.PutMarket, Market: "m"}})
	for i := range benchJobs {
		commit(Command{Change: &market.Change{ID: fmt.Sprint("j", i), Base: s.Market.Markets["m"].Revision, Verb: market.PutJob, Market: "m",
			Job: &market.Job{Name: fmt.Sprint("j", i), Team: fmt.Sprint("t", i%benchTeams), Class: market.ClassBatch, MilliCPU: 1000, MemoryMB: 500, RunTimeMS: 60_000}}})
	}
	for i := range workers {
		commit(Command{Announce: &membership.Member{Agent: fmt.Sprintf("a%04d", i), Address: "127.0.0.1:1", Boot: "b", DataCentre: fmt.Sprint("dc", i%8),
			Rack: fmt.Sprint("r", i/20), Capacity: resource.Vector{MilliCPU: 64_000, MemoryMB: 250_000}, Market: "m", Service: fmt.Sprint("s", i%40)}})
	}
	l := &leader{r: &Replica{set: &settings.Settings{Control: &settings.Control{}}, machine: &Machine{state: s}}, runtimes: lease.NewRunTimes()}
	l.reset(1)
	observeAllPairs(l.model)
	for done := 0; done < tasks; done += 1000 {
		submit(tb, s, &index, min(1000, tasks-done))
		for s.Tasks.Waiting() > 0 {
			pass(l, s, &index)
		}
	}
	return l, s
}

// observeAllPairs gives the model observations of all pairs, so that its maps have a realistic
// size.
func observeAllPairs(m *interference.Model) {
	for service := range 40 {
		for job := range benchJobs {
			m.Observe(fmt.Sprint("m/s", service), 0.1, map[string]int{fmt.Sprint("m/j", job): 1}, 1.001)
		}
	}
}

var benchSubmissions int

func submit(tb testing.TB, s *State, index *uint64, n int) {
	tb.Helper()
	for range n {
		benchSubmissions++
		*index++
		c := Command{Now: 1_000_000, Submit: &lease.Submit{ID: fmt.Sprint("s", benchSubmissions), Market: "m", Job: fmt.Sprint("j", benchSubmissions%benchJobs), Count: 1, IssuedMS: 1_000_000}}
		if _, err := s.Apply(*index, c); err != nil {
			tb.Fatal(err)
		}
	}
}

// pass runs a scheduling pass (snapshot, plan, application of the plan) and returns the number of
// placements.
func pass(l *leader, s *State, index *uint64) int {
	plan := placement.Learned{}.Plan(l.build(s))
	*index++
	v, _ := s.Apply(*index, Command{Now: 1_000_000, Plan: &plan.Plan})
	return v.(lease.PlanResult).Placed
}

// Measures the leader's CPU work per task except for network and disk: a submission, its share of
// a pass with 150 tasks waiting (a tenth of a second's starts), the application of the plan, and
// the report of its end.
func benchmarkStarts(b *testing.B, workers, tasks int) {
	l, s := newLoadedLeader(b, workers, tasks)
	index := uint64(1 << 20)
	const batch = 150
	b.ReportAllocs()
	b.ResetTimer()
	for n := 0; n < b.N; n += batch {
		submit(b, s, &index, batch)
		if placed := pass(l, s, &index); placed != batch {
			b.Fatalf("%d of %d placed", placed, batch)
		}
		endTasks(s, &index, batch)
	}
}

// endTasks reports the ends of n tasks, spread over the agents.
func endTasks(s *State, index *uint64, n int) {
	for agent := range s.Members.Members {
		for _, t := range s.Tasks.On(agent) {
			*index++
			s.Apply(*index, Command{Now: 1_000_000, Ends: &Ends{agent, []lease.End{{Task: t.ID, Attempt: t.Attempt, Outcome: lease.OutcomeDone}}}})
			if n--; n == 0 {
				return
			}
			break
		}
	}
}

func BenchmarkStarts(b *testing.B) {
	for _, c := range []struct{ workers, tasks int }{
		{675, 19_750}, {1350, 19_750}, {2700, 19_750}, {2700, 39_500}, {benchWorkers, benchTasks},
	} {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", c.workers, c.tasks), func(b *testing.B) { benchmarkStarts(b, c.workers, c.tasks) })
	}
}

// Measures encoding a snapshot of the whole state, which blocks the leader meanwhile.
func BenchmarkSnapshot(b *testing.B) {
	for _, tasks := range []int{19_750, benchTasks} {
		b.Run(fmt.Sprint("tasks=", tasks), func(b *testing.B) {
			_, s := newLoadedLeader(b, benchWorkers, tasks)
			m := &Machine{state: s}
			size := 0
			for b.Loop() {
				data, err := m.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size)/1e6, "MB")
		})
	}
}

// Measures the work of one renewal on the state without the network: the member's look-up and the
// comparison of its orders.
func BenchmarkRenewAnswer(b *testing.B) {
	l, s := newLoadedLeader(b, benchWorkers, benchTasks)
	r := l.r
	r.leader = l
	r.set.Control.Lease = settings.Duration{Duration: settings.DefaultLease}
	orders := s.Tasks.Orders("a0001")
	req := &Renew{Member: *s.Members.Members["a0001"], Digest: lease.Digest(orders), Revision: s.Market.Revision}
	for b.Loop() {
		if a := r.answerRenew(req); a.Changed {
			b.Fatal("the orders differ")
		}
	}
	b.ReportMetric(float64(len(orders)), "orders")
}
