package control

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/interference"
	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/market"
	"github.com/waxwinghaven/waxwinghaven/membership"
	"github.com/waxwinghaven/waxwinghaven/placement"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

// Bounds of one scheduling pass.
const (
	headsPerJob   = 256
	maxPlacements = 1024
)

// scheduleIfLeading makes a plan from a snapshot and commits it. Changes since the snapshot are
// detected when the plan is applied.
func (l *leader) scheduleIfLeading() {
	if !l.leads() {
		return
	}
	snap := l.snapshot()
	if snap == nil {
		return
	}
	start := time.Now()
	l.mu.Lock() // planning queries the cost model, which renewals update
	plan := placement.Learned{}.Plan(snap)
	l.mu.Unlock()
	metrics.GetOrCreateHistogram(`waxwinghaven_plan_seconds`).UpdateDuration(start)
	l.throttle(plan)
	if len(plan.Placements)+len(plan.Evictions)+len(plan.SetAside) == 0 {
		return
	}
	v, err := l.r.propose(Command{Plan: &plan.Plan})
	if err != nil {
		logrus.Warnf("control: Could not commit a plan: %v.", err)
		return
	}
	l.countPlan(v.(lease.PlanResult))
}

// throttle records which tasks are to run slower; their agents learn of it with the next renewal.
// A worker with a newly throttled task must be late again before more of its tasks are throttled.
func (l *leader) throttle(d placement.Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range d.Throttle {
		l.throttled[a.Task] = a.Number
		delete(l.holdings, a.Agent)
		if ses := l.sessions[a.Agent]; ses != nil {
			ses.late = 0
		}
	}
	for _, a := range d.Release {
		delete(l.throttled, a.Task)
		delete(l.holdings, a.Agent)
	}
	metrics.GetOrCreateCounter(`waxwinghaven_throttles_total`).Add(len(d.Throttle))
}

// forgetThrottled drops the throttles of attempts that have ended.
func (l *leader) forgetThrottled(s *State) {
	for id, attempt := range l.throttled {
		if t := s.Tasks.Tasks[id]; t == nil || !t.Holds() || t.Attempt != attempt {
			delete(l.throttled, id)
		}
	}
}

// throttledOf returns the tasks of these orders that are to run slower.
func (l *leader) throttledOf(orders []lease.Order) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.throttled) == 0 {
		return nil
	}
	var out []string
	for _, o := range orders {
		if l.throttled[o.Task] == o.Attempt {
			out = append(out, o.Task)
		}
	}
	return out
}

func (l *leader) countPlan(res lease.PlanResult) {
	count := func(name string, n int) { metrics.GetOrCreateCounter(name).Add(n) }
	count(`waxwinghaven_placements_total{result="placed"}`, res.Placed)
	count(`waxwinghaven_placements_total{result="stale"}`, res.Stale)
	count(`waxwinghaven_placements_total{result="no-room"}`, res.NoRoom)
	count(`waxwinghaven_evictions_total`, res.Evicted)
	count(`waxwinghaven_set_aside_total`, res.SetAside)
	if res.Placed == maxPlacements {
		l.wake()
	}
}

// snapshot copies the input of a pass, or returns nil if there is nothing to do.
func (l *leader) snapshot() *placement.Snapshot {
	var snap *placement.Snapshot
	l.r.machine.Read(func(s *State) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if s.Tasks.Waiting() == 0 && !l.mayEvict(s) {
			return
		}
		snap = l.build(s)
	})
	return snap
}

// mayEvict reports whether any running task may have to be evicted.
func (l *leader) mayEvict(s *State) bool {
	for agent, m := range s.Members.Members {
		if len(s.Tasks.On(agent)) == 0 {
			continue
		}
		if ses := l.sessions[agent]; m.Evacuate || s.DataCentres.Draining(m.DataCentre) || (ses != nil && ses.slow > 0) {
			return true
		}
	}
	return false
}

func (l *leader) build(s *State) *placement.Snapshot {
	l.runtimes.Update(s.Tasks)
	l.forgetThrottled(s)
	snap := &placement.Snapshot{Now: max(s.Clock, time.Now().UnixMilli()), Waiting: s.Tasks.WaitingHeads(headsPerJob),
		Costs: l.model, Seed: s.Index, MaxPlacements: maxPlacements, RunTime: l.runtimes.Of}
	snap.Quota, snap.TeamUse = teamLimits(s, snap.Waiting)
	for _, m := range s.Members.Members {
		snap.Workers = append(snap.Workers, l.worker(s, m))
	}
	return snap
}

func (l *leader) worker(s *State, m *membership.Member) placement.Worker {
	capacity := s.capacity(m.Agent)
	w := placement.Worker{Agent: m.Agent, Boot: m.Boot, DataCentre: m.DataCentre, Rack: m.Rack, Open: capacity.Schedulable, Evacuate: m.Evacuate, Drained: s.DataCentres.Draining(m.DataCentre),
		Total: capacity.Total, Free: capacity.Total.Sub(s.Tasks.Reserved(m.Agent)), Preset: market.DefaultPreset}
	if v := s.Market.Markets[m.Market]; v != nil {
		w.Preset = v.Preset()
	}
	if m.Service != "" {
		w.Service = m.Market + "/" + m.Service
	}
	l.addMeasurement(m, &w)
	held := l.heldBy(s, m.Agent)
	w.Running, w.BatchUsed = held.running, held.batchUsed
	w.Pressure = l.pressure(held, &w)
	return w
}

// holding is the set of tasks that an agent holds, in the form used by the placement.
type holding struct {
	version   uint64
	running   []placement.Running
	batchUsed int64 // milli CPU

	pressure   float64
	band       int       // load band for which pressure was computed
	computedAt time.Time // when pressure was last computed
}

// pressureTTL is how long a worker's pressure is cached although the model keeps learning: costs
// change within minutes, while passes run ten times a second.
const pressureTTL = 5 * time.Second

func (l *leader) pressure(h *holding, w *placement.Worker) float64 {
	band := interference.Band(w.Load)
	if h.computedAt.IsZero() || h.band != band || time.Since(h.computedAt) > pressureTTL {
		h.pressure, h.band, h.computedAt = placement.Pressure(l.model, w), band, time.Now()
	}
	return h.pressure
}

// heldBy returns the tasks that an agent holds. It is cached per version: a pass looks at every
// worker, but few have changed since the last pass.
func (l *leader) heldBy(s *State, agent string) *holding {
	version := s.Tasks.Version(agent)
	if h, ok := l.holdings[agent]; ok && h.version == version {
		return h
	}
	tasks := s.Tasks.On(agent)
	h := &holding{version: version, running: make([]placement.Running, 0, len(tasks))}
	for _, t := range tasks {
		if t.Class == market.ClassBatch {
			h.batchUsed += t.Need.MilliCPU
		}
		h.running = append(h.running, placement.Running{Task: t.ID, Attempt: t.Attempt, Market: t.Market, Job: t.Job, Need: t.Need,
			Started: t.PlacedAt, Expected: l.runtimes.Of(t), Deadline: t.Deadline, Urgent: t.Urgent, Evictable: t.Phase == lease.Placed, Throttled: l.throttled[t.ID] == t.Attempt})
	}
	l.holdings[agent] = h
	return h
}

// addMeasurement adds a member's last measurement and counts how many in a row were late.
func (l *leader) addMeasurement(m *membership.Member, w *placement.Worker) {
	ses := l.sessions[m.Agent]
	if ses == nil {
		return
	}
	w.Load, w.Slowdown = ses.usage.Load, ses.slow
	if ses.countedSeq != ses.usage.Seq {
		ses.countedSeq = ses.usage.Seq
		if ses.slow > w.Preset.MaxSlowdown {
			ses.late++
		} else {
			ses.late = 0
		}
	}
	w.Late = ses.late
}

// teamLimits copies the quotas and use of the teams that have tasks waiting.
func teamLimits(s *State, waiting []*lease.Task) (quota, use func(string) resource.Vector) {
	quotas, uses := make(map[string]resource.Vector), make(map[string]resource.Vector)
	for _, t := range waiting {
		quotas[t.Team], uses[t.Team] = s.quota(t.Team), s.Tasks.TeamUse(t.Team)
	}
	return func(team string) resource.Vector { return quotas[team] }, func(team string) resource.Vector { return uses[team] }
}
