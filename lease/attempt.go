package lease

import (
	"fmt"
	"hash/fnv"
	"sort"

	"github.com/waxwinghaven/waxwinghaven/market"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

// AgentCapacity is the capacity of an agent, as membership knows it when a plan is applied.
type AgentCapacity struct {
	Boot        string          // of the worker that the agent has now
	Total       resource.Vector // without the part that its service reserves
	Schedulable bool            // neither down, leaving, quarantined nor in a data centre out of service
}

// Limits looks up capacities and quotas while a plan is applied.
type Limits struct {
	Capacity func(agent string) AgentCapacity
	Quota    func(team string) resource.Vector // zero means unbounded
}

// ApplyPlan applies the parts of a plan that are still valid. The plan was made optimistically, from
// a snapshot; capacity, attempt numbers and boots are checked again here, so two plans, even of two
// leaders, never use the same capacity.
func (s *State) ApplyPlan(p Plan, l Limits, now int64) PlanResult {
	var r PlanResult
	for _, a := range p.SetAside {
		if t := s.Tasks[a.Task]; t != nil && t.Phase == Waiting {
			s.finish(t, SetAside, a.Reason, now)
			r.SetAside++
		}
	}
	for _, e := range p.Evictions {
		if t := s.Tasks[e.Task]; t != nil && t.Phase == Placed && t.Attempt == e.Attempt {
			s.setPhase(t, Stopping)
			t.Stop = StopCheckpoint
			r.Evicted++
		}
	}
	for _, place := range p.Placements {
		s.applyPlacement(place, l, now, &r)
	}
	return r
}

func (s *State) applyPlacement(p Placement, l Limits, now int64, r *PlanResult) {
	t := s.Tasks[p.Task]
	capacity := l.Capacity(p.Agent)
	if t == nil || t.Phase != Waiting || t.Attempt+1 != p.Attempt || !capacity.Schedulable || capacity.Boot != p.Boot {
		r.Stale++
		return
	}
	if !s.reserved[p.Agent].Add(t.Need).Fits(capacity.Total) || !s.withinQuota(t, l.Quota(t.Team)) {
		r.NoRoom++
		return
	}
	s.unindex(t)
	t.Phase, t.Attempt, t.Agent, t.Boot, t.PlacedAt = Placed, p.Attempt, p.Agent, p.Boot, now
	t.Stop, t.Reason = StopNone, ""
	s.index(t)
	r.Placed++
}

func (s *State) withinQuota(t *Task, quota resource.Vector) bool {
	after := s.byTeam[t.Team].Add(t.Need)
	cpu := quota.MilliCPU == 0 || after.MilliCPU <= quota.MilliCPU
	memory := quota.MemoryMB == 0 || after.MemoryMB <= quota.MemoryMB
	return cpu && memory
}

// ApplyEnd applies one report of an attempt's end and reports whether it took effect. A report of
// any attempt but the current one is stale and changes nothing, so repeated, late or lost
// confirmations are harmless.
func (s *State) ApplyEnd(agent string, e End, now int64) bool {
	t := s.Tasks[e.Task]
	if t == nil || !t.Holds() || t.Attempt != e.Attempt || t.Agent != agent {
		return false
	}
	if e.Outcome == OutcomeRejected {
		t.Rejected++
	}
	if e.Outcome == OutcomeDone || e.Outcome == OutcomeFailed || e.Outcome == OutcomeStopped {
		t.Started = true
	}
	switch {
	case e.Outcome == OutcomeDone && t.Class == market.ClassContinuous && t.Stop != StopCancel:
		s.requeue(t, End{Reason: "it ended by itself, but is to run continuously"})
	case e.Outcome == OutcomeDone:
		// A completion that races an eviction or a cancellation wins: the work is done and must
		// not be repeated.
		s.finish(t, Done, "", now)
	case t.Stop == StopCancel:
		s.finish(t, Cancelled, "cancelled by an operator", now)
	case e.Outcome == OutcomeFailed:
		s.fail(t, e, now)
	default:
		s.requeue(t, e)
	}
	return true
}

func (s *State) fail(t *Task, e End, now int64) {
	t.Failures++
	if t.Failures >= t.MaxFailures {
		s.finish(t, SetAside, "failed too often: "+e.Reason, now)
		return
	}
	s.requeue(t, e)
}

// requeue makes a task wait again. Its next attempt gets a higher number and starts from the
// newest confirmed checkpoint.
func (s *State) requeue(t *Task, e End) {
	s.unindex(t)
	if e.Outcome == OutcomeStopped {
		t.Evictions++
	}
	if e.Checkpoint != "" {
		t.Checkpoint = e.Checkpoint
	}
	t.Phase, t.Agent, t.Boot, t.Stop, t.Reason = Waiting, "", "", StopNone, e.Reason
	s.index(t)
}

const (
	// maxRestarts is how many worker restarts in a row a task may see. A worker that crashes
	// reports no failure, so a task that crashes each worker would be started again without end
	// and take the worker's other tasks down each time. Tasks that only happen to run on a
	// restarting worker see far fewer.
	maxRestarts = 10
	// restartWindowMS is the age of an attempt from which a worker restart no longer counts against
	// its task and resets the count.
	restartWindowMS = 60_000
)

// ApplyWorkerRestarted requeues the tasks of a worker that has restarted and returns how many there
// were. It sets aside tasks under which workers restarted too often.
func (s *State) ApplyWorkerRestarted(agent, boot string, now int64) int {
	var crashing []*Task
	for _, id := range sortedIDs(s.byAgent[agent]) {
		t := s.Tasks[id]
		switch {
		case t.Boot != boot:
			continue
		case now-t.PlacedAt >= restartWindowMS:
			t.Restarts = 0
		default:
			t.Restarts++
		}
		if t.Restarts >= maxRestarts {
			crashing = append(crashing, t)
		}
	}
	n := s.ApplyAgentLost(agent, boot, now)
	for _, t := range crashing {
		if t.Phase == Waiting {
			s.finish(t, SetAside, fmt.Sprintf("its worker was started anew under it %d times in a row", t.Restarts), now)
		}
	}
	return n
}

// ApplyAgentLost requeues the tasks of an agent's worker under one boot and returns how many there
// were. It may be committed only after the agent's lease has certainly ended at the worker.
func (s *State) ApplyAgentLost(agent, boot string, now int64) int {
	n := 0
	for _, id := range sortedIDs(s.byAgent[agent]) {
		t := s.Tasks[id]
		if t.Boot != boot {
			continue
		}
		s.ApplyEnd(agent, End{Task: id, Attempt: t.Attempt, Outcome: OutcomeLost, Reason: "the instance was lost"}, now)
		n++
	}
	return n
}

// Orders returns the attempts that an agent is to hold, sorted by task id.
func (s *State) Orders(agent string) []Order {
	held := s.byAgent[agent]
	out := make([]Order, 0, len(held))
	for _, id := range sortedIDs(held) {
		t := held[id]
		out = append(out, Order{Task: t.ID, Attempt: t.Attempt, Market: t.Market, Job: t.Job, Need: t.Need,
			RunTime: t.RunTime, Checkpoint: t.Checkpoint, Stop: t.Stop})
	}
	return out
}

// Digest returns a hash of a set of orders, independent of their sequence. An agent and a control
// replica with equal digests need not exchange the orders.
func Digest(orders []Order) uint64 {
	var sum uint64
	for _, o := range orders {
		sum += o.digest()
	}
	return sum
}

func (o Order) digest() uint64 {
	h := fnv.New64a()
	h.Write([]byte(o.Task))
	h.Write([]byte{byte(o.Attempt), byte(o.Attempt >> 8), byte(o.Attempt >> 16), byte(o.Attempt >> 24), byte(o.Stop)})
	return h.Sum64()
}

func sortedIDs(m map[string]*Task) []string {
	ids := make([]string, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

func (s *State) idsOfJob(marketName, job string) []string {
	var ids []string
	for id, t := range s.Tasks {
		if t.Market == marketName && t.Job == job && !t.Over() {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}
