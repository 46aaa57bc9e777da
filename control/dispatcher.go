package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/advice"
	"github.com/waxwinghaven/waxwinghaven/dispatch"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/learned"
	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/quorum"
)

const (
	// duePollInterval is how often scheduled occurrences are checked for being due.
	duePollInterval = 100 * time.Millisecond
	// jobRetention is how long an ended job can be looked up. Callers may ask for two minutes.
	jobRetention   = 180 * time.Second
	forgetInterval = 5 * time.Second
	// avoidAfterReject is how long a worker that rejected a start gets no new task. A longer time
	// leaves a worker idle whose free capacity was misjudged only for a moment; with a shorter
	// one each rejection is followed by the next.
	avoidAfterReject = 300 * time.Millisecond
)

var (
	dispatchSeconds     = metrics.NewHistogram(`waxwinghaven_dispatch_pass_seconds`)
	placedTotal         = metrics.NewCounter(`waxwinghaven_tasks_placed_total`)
	workersIsolated     = metrics.NewGauge(`waxwinghaven_workers_isolated`, nil)
	staleTotal          = metrics.NewCounter(`waxwinghaven_placements_stale_total`)
	copiesTotal         = metrics.NewCounter(`waxwinghaven_copies_placed_total`)
	workersLost         = metrics.NewCounter(`waxwinghaven_workers_lost_total`)
	unresponsiveReports = metrics.NewCounter(`waxwinghaven_workers_silent_reports_total`)
	workerCrashes       = metrics.NewCounter(`waxwinghaven_worker_crashes_total`)
	jobsGivenUp         = metrics.NewCounter(`waxwinghaven_jobs_given_up_total{reason="crashes"}`)
	voidReplaced        = metrics.NewCounter(`waxwinghaven_runs_void_total{reason="replaced"}`)
	voidLapsed          = metrics.NewCounter(`waxwinghaven_runs_void_total{reason="lapsed"}`)
	voidEnds            = metrics.NewCounter(`waxwinghaven_ends_of_void_runs_total`)
	outdatedEnds        = metrics.NewCounter(`waxwinghaven_ends_outdated_total`)
	voidGone            = metrics.NewCounter(`waxwinghaven_runs_void_total{reason="gone"}`)
)

// dispatcher assigns waiting tasks to workers and watches the workers' leases while its replica
// leads. Events wake it: a submitted job, an ended run, a worker or a configuration.
type dispatcher struct {
	r      *Replica
	wakeup chan struct{}

	mu            sync.Mutex
	term          uint64
	leases        *lease.Table[holder]
	watchers      map[string]chan struct{} // by worker id
	avoided       map[string]time.Time     // until when a worker gets no new tasks, by worker id
	clock         *duetime
	overSince     map[string]time.Time        // when a job was first seen to have ended
	waitingSince  map[jobs.GroupKey]time.Time // since when a group has had startable tasks
	openSince     map[string]time.Time        // since when a service has had a worker that accepts tasks
	stalledAt     map[jobs.Stop]time.Time     // when last reported
	stuckAt       map[jobs.Stop]time.Time     // when last reported
	costs         *learned.Costs
	durationModel *learned.DurationModel
	lessonWriter  *learned.LessonWriter
	health        *dispatch.Health
	begun         map[string]begunReport // by worker
	notAtWork     map[string][]jobs.Stop // standing runs that are not at work, by worker, as last reported
	begunSince    time.Time              // when begun was empty
	waits         *waitStarts
	advice        *adviceRequester
	demand        *demandFeed
	lastCopies    time.Time       // last check for runs that need a copy
	lastRegroup   time.Time       // last regrouping of served tasks
	inFlight      map[string]int  // submissions being committed, by host and path
	uncertain     map[string]bool // submissions whose commit is unknown, by host and path
	messages      *messageOrder
	// reserved is the CPU, in thousandths, that standing tasks of submissions being committed
	// will hold, by service. reserveMu serialises the calls that reserve from it.
	reserved map[string]int64
	// reservedBytes is the memory that large jobs will take whose submissions are being committed.
	reservedBytes int64
	reserveMu     sync.Mutex
	// refused has the places of refused jobs, nil if they are not kept.
	refused *refusedJobs
}

func newDispatcher(r *Replica) *dispatcher {
	d := &dispatcher{r: r, wakeup: make(chan struct{}, 1), watchers: make(map[string]chan struct{}), costs: learned.NewCosts(r.without), durationModel: learned.NewDurationModel(), lessonWriter: learned.NewLessonWriter(), health: dispatch.NewHealth(), waits: newWaitStarts(), inFlight: make(map[string]int), reserved: make(map[string]int64)}
	d.advice = newAdviceRequester(d)
	if r.set.Control.Contention.Waitlist {
		d.refused = newRefusedJobs()
	}
	d.demand = newDemandFeed(r)
	d.reset(0)
	return d
}

func (d *dispatcher) reset(term uint64) {
	d.term, d.leases = term, lease.NewTable[holder](d.r.set.Control.Lease.Duration, time.Now())
	d.avoided = make(map[string]time.Time)
	d.clock = newDuetime(time.Now())
	d.overSince = make(map[string]time.Time)
	d.waitingSince = make(map[jobs.GroupKey]time.Time)
	d.openSince = nil
	d.stalledAt = make(map[jobs.Stop]time.Time)
	d.stuckAt = make(map[jobs.Stop]time.Time)
	d.advice.table = advice.NewTable()
	d.begun, d.begunSince = make(map[string]begunReport), time.Now()
	d.notAtWork = make(map[string][]jobs.Stop)
	d.messages, d.uncertain = newMessageOrder(term, time.Now()), make(map[string]bool)
	d.refused.reset()
}

// leads reports whether this replica leads, and resets the dispatcher for a new leadership: the
// lease table of an earlier one is void, and the new one gives every worker a full term. A leader
// decides nothing until it has applied everything committed before its term, since its state may
// be far behind.
func (d *dispatcher) leads() bool {
	v := d.r.node.View()
	if v.Role != quorum.Leader || !v.Current {
		return false
	}
	d.mu.Lock()
	fresh := d.term < v.Term // the view may be of an earlier leadership
	if fresh {
		d.reset(v.Term)
	}
	d.mu.Unlock()
	if fresh {
		d.trackHolders()
		d.restoreLessons()
		d.demand.begin()
	}
	return true
}

func (d *dispatcher) wake() {
	select {
	case d.wakeup <- struct{}{}:
	default:
	}
}

func (d *dispatcher) run(ctx context.Context) error {
	leases := time.NewTicker(watchInterval)
	defer leases.Stop()
	due := time.NewTicker(duePollInterval)
	defer due.Stop()
	utilisation := time.NewTicker(utilisationInterval)
	defer utilisation.Stop()
	forget := time.NewTicker(forgetInterval)
	defer forget.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-leases.C:
			if d.leads() {
				d.expire()
			}
		case <-utilisation.C:
			if d.leads() {
				d.logUtilisation()
			}
		case <-forget.C:
			if d.leads() {
				d.forget()
			}
			d.demand.update()
		case <-due.C:
			d.dispatch()
		case <-d.wakeup:
			d.dispatch()
		}
	}
}

// dispatch makes a plan and commits it.
func (d *dispatcher) dispatch() {
	if !d.leads() {
		workersIsolated.Set(0)
		return
	}
	d.r.ordering.Lock()
	defer d.r.ordering.Unlock()
	begun := time.Now()
	var plan jobs.Plan
	var report dispatch.Report
	d.r.machine.Read(func(s *State) {
		d.trackWaiting(s.Jobs.Ready(), begun)
		in := d.passInput(s, begun)
		d.trackOpen(&in, begun)
		in.Copies = d.copiesDue(begun)
		in.Regroup = d.regroupDue(begun)
		plan, report = dispatch.PlanAndReport(in)
		d.waits.fill(s.Jobs, &plan, begun)
	})
	dispatchSeconds.UpdateDuration(begun)
	workersIsolated.Set(float64(report.Isolated))
	d.advice.wake()
	if plan.Empty() {
		return
	}
	v, err := d.r.proposeJob(JobCommand{Plan: &plan})
	if err != nil {
		logrus.Warnf("control: Could not commit a plan of %d placements: %v.", len(plan.Placements), err)
		return
	}
	res := v.(planResult)
	placedTotal.Add(res.placed)
	staleTotal.Add(res.stale)
	for i := range plan.Placements {
		if p := &plan.Placements[i]; p.Copy {
			copiesTotal.Inc()
			logrus.WithFields(logrus.Fields{"job": p.Job, "step": p.Step, "task": p.Indexes, "worker": p.Workers}).Info("control: Placed a copy of a run that takes long.")
		}
	}
	if res.stale > 0 {
		d.wake()
	}
}

// copiesInterval is the least time between two checks for runs that need a copy: a few percent of
// the shortest run for which a copy is worthwhile.
const copiesInterval = 50 * time.Millisecond

func (d *dispatcher) copiesDue(now time.Time) bool {
	if now.Sub(d.lastCopies) < copiesInterval {
		return false
	}
	d.lastCopies = now
	return true
}

// regroupInterval is the least time between two checks for served tasks that are placed with
// dissimilar ones; their placements last for minutes.
const regroupInterval = 500 * time.Millisecond

func (d *dispatcher) regroupDue(now time.Time) bool {
	if now.Sub(d.lastRegroup) < regroupInterval {
		return false
	}
	d.lastRegroup = now
	return true
}

// input returns the input of a dispatch decision.
func (d *dispatcher) input(s *State) dispatch.Input {
	return dispatch.Input{Jobs: s.Jobs, Config: &s.Queues.Config, DataCentres: s.DataCentres, NowMS: d.nowMS(), Costs: d.costs.At(time.Now()), Estimates: d.durationModel.Estimates(),
		Ticket: d.advice.ticket, Leaving: s.Waves.Leaving(), Reserved: d.reservedCPU(), Disabled: d.r.without}
}

// passInput is input for a pass and for what must agree with it on the workers that can take a task.
func (d *dispatcher) passInput(s *State, now time.Time) dispatch.Input {
	in := d.input(s)
	in.Absences = d.absences(s, s.Waves.Ending(in.NowMS))
	in.Avoided, in.Blamed = d.avoidedWorkers(now, s.Jobs.Workers)
	in.Stalled, in.Stuck = d.recent(&d.stalledAt, now), d.recent(&d.stuckAt, now)
	in.Slowness = d.slowness
	in.WaitTime = func(g *jobs.Group) time.Duration {
		d.mu.Lock()
		defer d.mu.Unlock()
		return timeSince(d.waitingSince, g.Key(), now)
	}
	in.WorkersUpFor = func(service string) time.Duration {
		d.mu.Lock()
		defer d.mu.Unlock()
		return timeSince(d.openSince, service, now)
	}
	return in
}

// timeSince returns the time since a recorded start, 0 if there is none.
func timeSince[K comparable](starts map[K]time.Time, key K, now time.Time) time.Duration {
	if since, known := starts[key]; known {
		return now.Sub(since)
	}
	return 0
}

func (d *dispatcher) reservedCPU() map[string]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.reserved)
}

// trackWaiting records since when each group has had startable tasks. The times are local to this
// leader: a new leader starts over.
func (d *dispatcher) trackWaiting(ready []*jobs.Group, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := make(map[jobs.GroupKey]time.Time, len(ready))
	for _, g := range ready {
		since, ok := d.waitingSince[g.Key()]
		if !ok {
			since = now
		}
		kept[g.Key()] = since
	}
	d.waitingSince = kept
}

// trackOpen records since when each service has had a worker that accepts tasks, while any task
// waits.
func (d *dispatcher) trackOpen(in *dispatch.Input, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := make(map[string]time.Time)
	if len(d.waitingSince) > 0 {
		for _, w := range in.Jobs.Workers {
			if _, seen := kept[w.Service]; seen || !in.Accepts(w) {
				continue
			}
			since, open := d.openSince[w.Service]
			if !open {
				since = now
			}
			kept[w.Service] = since
		}
	}
	d.openSince = kept
}

// nowMS returns the time against which occurrences are due, in milliseconds since 1970.
func (d *dispatcher) nowMS() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.clock.at(time.Now())
}

// forget drops jobs that ended long ago. The retention counts on this leader's monotonic clock
// from when it first saw a job ended: a wall clock step cannot shorten it, and a change of leader
// only prolongs it.
func (d *dispatcher) forget() {
	ids := d.forgettable(time.Now())
	d.r.machine.Read(func(s *State) {
		d.refused.expire(s, time.Now())
		d.waits.forget(func(job string) bool { return s.Jobs.Jobs[job] != nil })
		d.mu.Lock()
		defer d.mu.Unlock()
		maps.DeleteFunc(d.begun, func(worker string, _ begunReport) bool { return s.Jobs.Workers[worker] == nil })
		maps.DeleteFunc(d.notAtWork, func(worker string, _ []jobs.Stop) bool { return s.Jobs.Workers[worker] == nil })
		d.advice.table.Forget(func(step jobs.GroupKey) bool {
			j := s.Jobs.Jobs[step.Job]
			return j != nil && !j.Phase.Over()
		})
	})
	if len(ids) == 0 {
		return
	}
	if _, err := d.r.proposeJob(JobCommand{Forget: ids}); err != nil {
		logrus.Warnf("control: Could not commit the removal of %d ended jobs: %v.", len(ids), err)
	}
}

// forgettable returns the ids of the jobs whose retention has passed, sorted.
func (d *dispatcher) forgettable(now time.Time) (ids []string) {
	d.r.machine.Read(func(s *State) {
		d.mu.Lock()
		defer d.mu.Unlock()
		for id, j := range s.Jobs.Jobs {
			if !j.Phase.Over() {
				continue
			}
			if d.overSince[id].IsZero() {
				d.overSince[id] = now
			} else if now.Sub(d.overSince[id]) > jobRetention {
				ids = append(ids, id)
				delete(d.overSince, id)
			}
		}
	})
	slices.Sort(ids)
	return ids
}
