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
	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/quorum"
)

const (
	// duePoll is how often occurrences are looked at that wait for their time.
	duePoll = 100 * time.Millisecond
	// forgetAfter is how long a job that ended can be asked for. Callers may
	// ask for two minutes.
	forgetAfter = 180 * time.Second
	forgetEvery = 5 * time.Second
	// shunTime is how long a worker that rejected a start gets no new task.
	// Longer, and a worker that only disagreed about its room for a moment
	// stands idle; shorter, and each rejection is followed by the next.
	shunTime = 300 * time.Millisecond
)

var (
	dispatchSeconds = metrics.NewHistogram(`waxwinghaven_dispatch_pass_seconds`)
	placedTotal     = metrics.NewCounter(`waxwinghaven_tasks_placed_total`)
	staleTotal      = metrics.NewCounter(`waxwinghaven_placements_stale_total`)
	copiesTotal     = metrics.NewCounter(`waxwinghaven_copies_placed_total`)
	workersLost     = metrics.NewCounter(`waxwinghaven_workers_lost_total`)
	silentReports   = metrics.NewCounter(`waxwinghaven_workers_silent_reports_total`)
	workerCrashes   = metrics.NewCounter(`waxwinghaven_worker_crashes_total`)
	jobsGivenUp     = metrics.NewCounter(`waxwinghaven_jobs_given_up_total{reason="crashes"}`)
	voidReplaced    = metrics.NewCounter(`waxwinghaven_runs_void_total{reason="replaced"}`)
	voidLapsed      = metrics.NewCounter(`waxwinghaven_runs_void_total{reason="lapsed"}`)
	voidEnds        = metrics.NewCounter(`waxwinghaven_ends_of_void_runs_total`)
	voidGone        = metrics.NewCounter(`waxwinghaven_runs_void_total{reason="gone"}`)
)

// dispatcher is the part of a replica that, while it leads, gives waiting tasks
// to workers and watches the workers' leases. Events drive it: a job, an end, a
// worker or a configuration each wake it.
type dispatcher struct {
	r    *Replica
	kick chan struct{}

	mu       sync.Mutex
	term     uint64
	keeper   *lease.Keeper[holder]
	watchers map[string]chan struct{} // by worker id
	shunned  map[string]time.Time     // until when nothing new goes there, by worker id
	clock    *duetime
	over     map[string]time.Time        // when a job was first seen to be over
	waiting  map[jobs.GroupKey]time.Time // since when
	open     map[string]time.Time        // since when a service has had a worker that takes tasks
	stalled  map[jobs.Stop]time.Time     // when last reported
	stuck    map[jobs.Stop]time.Time     // when last reported
	costs    *costs
	learned  *learned
	teacher  *teacher
	health   *dispatch.Health
	starts   *starts
	consult  *consultation
	looked   time.Time      // for runs that need a copy, last
	grouped  time.Time      // served tasks with their like, last
	inFlight map[string]int // submissions being committed, by host and path
	// promised is what their standing tasks will hold, by service, and promising keeps
	// calls from being judged by the same room.
	promised  map[string]int64
	promising sync.Mutex
}

func newDispatcher(r *Replica) *dispatcher {
	d := &dispatcher{r: r, kick: make(chan struct{}, 1), watchers: make(map[string]chan struct{}), costs: newCosts(r.without), learned: newLearned(), teacher: newTeacher(), health: dispatch.NewHealth(), starts: newStarts(), inFlight: make(map[string]int), promised: make(map[string]int64)}
	d.consult = newConsultation(d)
	d.reset(0)
	return d
}

func (d *dispatcher) reset(term uint64) {
	d.term, d.keeper = term, lease.NewKeeper[holder](d.r.set.Control.Lease.Duration, time.Now())
	d.shunned = make(map[string]time.Time)
	d.clock = newDuetime(time.Now())
	d.over = make(map[string]time.Time)
	d.waiting = make(map[jobs.GroupKey]time.Time)
	d.open = nil
	d.stalled = make(map[jobs.Stop]time.Time)
	d.stuck = make(map[jobs.Stop]time.Time)
	d.consult.book = advice.NewBook()
}

// leads notices a new leadership. What an older one knew of leases is void: the
// new book gives every worker a whole term. Before this replica has applied what was committed
// before it led, it decides nothing: its state may be of long ago.
func (d *dispatcher) leads() bool {
	v := d.r.node.View()
	if v.Role != quorum.Leader || !v.Current {
		return false
	}
	d.mu.Lock()
	fresh := d.term < v.Term // the view may be an older leadership's
	if fresh {
		d.reset(v.Term)
	}
	d.mu.Unlock()
	if fresh {
		d.noteHolders()
		d.recall()
	}
	return true
}

func (d *dispatcher) wake() {
	select {
	case d.kick <- struct{}{}:
	default:
	}
}

func (d *dispatcher) run(ctx context.Context) error {
	leases := time.NewTicker(watchEvery)
	defer leases.Stop()
	due := time.NewTicker(duePoll)
	defer due.Stop()
	survey := time.NewTicker(surveyEvery)
	defer survey.Stop()
	forget := time.NewTicker(forgetEvery)
	defer forget.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-leases.C:
			if d.leads() {
				d.expire()
			}
		case <-survey.C:
			if d.leads() {
				d.survey()
			}
		case <-forget.C:
			if d.leads() {
				d.forget()
			}
		case <-due.C:
			d.dispatch()
		case <-d.kick:
			d.dispatch()
		}
	}
}

// dispatch makes one plan and commits it.
func (d *dispatcher) dispatch() {
	if !d.leads() {
		return
	}
	begun := time.Now()
	var plan jobs.Plan
	d.r.machine.Read(func(s *State) {
		waiting := d.noteWaiting(s.Jobs.Ready(), begun)
		in := d.input(s)
		in.Shunned, in.Stalled = d.shunnedNow(begun, len(s.Jobs.Workers)), d.recent(&d.stalled, begun)
		in.Stuck = d.recent(&d.stuck, begun)
		in.Copies = d.copiesDue(begun)
		in.Regroup = d.regroupDue(begun)
		in.Slowness = d.slowness
		in.Waited = func(g *jobs.Group) time.Duration { return begun.Sub(waiting[g.Key()]) }
		open := d.noteOpen(&in, len(waiting) > 0, begun)
		in.Open = func(service string) time.Duration {
			if since, is := open[service]; is {
				return begun.Sub(since)
			}
			return 0
		}
		plan = dispatch.Next(in)
		d.starts.fill(s.Jobs, &plan, begun)
	})
	dispatchSeconds.UpdateDuration(begun)
	d.consult.wake()
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

// copiesEvery is the least time between two looks for runs that need a copy: a few in
// a hundred of the shortest duration that one is worth something for.
const copiesEvery = 50 * time.Millisecond

func (d *dispatcher) copiesDue(now time.Time) bool {
	if now.Sub(d.looked) < copiesEvery {
		return false
	}
	d.looked = now
	return true
}

// regroupEvery is the least time between two looks for served tasks that stand among
// strangers: they stand for minutes.
const regroupEvery = 500 * time.Millisecond

func (d *dispatcher) regroupDue(now time.Time) bool {
	if now.Sub(d.grouped) < regroupEvery {
		return false
	}
	d.grouped = now
	return true
}

// input is what every decision is made from.
func (d *dispatcher) input(s *State) dispatch.Input {
	return dispatch.Input{Jobs: s.Jobs, Config: &s.Queues.Config, DataCentres: s.DataCentres, NowMS: d.nowMS(), Costs: d.costs.at(time.Now()), Estimates: d.learned.estimates(),
		Ticket: d.consult.ticket, Leaving: s.Waves.Leaving(), Promised: d.promisedNow(), Without: d.r.without}
}

func (d *dispatcher) promisedNow() map[string]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.promised)
}

// noteWaiting keeps since when each group has had tasks that could begin. It is
// this leader's own word: a new one counts anew.
func (d *dispatcher) noteWaiting(ready []*jobs.Group, now time.Time) map[jobs.GroupKey]time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := make(map[jobs.GroupKey]time.Time, len(ready))
	for _, g := range ready {
		since, ok := d.waiting[g.Key()]
		if !ok {
			since = now
		}
		kept[g.Key()] = since
	}
	d.waiting = kept
	return kept // never changed: the next pass makes another
}

// noteOpen keeps since when each service has had a worker that takes tasks, while anything waits.
func (d *dispatcher) noteOpen(in *dispatch.Input, waiting bool, now time.Time) map[string]time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := make(map[string]time.Time)
	if waiting {
		for _, w := range in.Jobs.Workers {
			if _, seen := kept[w.Service]; seen || !in.Takes(w) {
				continue
			}
			since, open := d.open[w.Service]
			if !open {
				since = now
			}
			kept[w.Service] = since
		}
	}
	d.open = kept
	return kept // never changed: the next pass makes another
}

// nowMS is the time that occurrences are due by, in milliseconds since 1970.
func (d *dispatcher) nowMS() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.clock.at(time.Now())
}

// forget drops jobs that were over for long. The time is measured on this
// leader's steady clock from when it first saw them so: a jump of the time of
// day can't make it forget early, a new leader only remembers longer.
func (d *dispatcher) forget() {
	ids := d.forgettable(time.Now())
	d.r.machine.Read(func(s *State) {
		d.starts.forget(func(job string) bool { return s.Jobs.Jobs[job] != nil })
		d.mu.Lock()
		defer d.mu.Unlock()
		d.consult.book.Forget(func(step jobs.GroupKey) bool {
			j := s.Jobs.Jobs[step.Job]
			return j != nil && !j.Phase.Over()
		})
	})
	if len(ids) == 0 {
		return
	}
	if _, err := d.r.proposeJob(JobCommand{Forget: ids}); err != nil {
		logrus.Warnf("control: Could not commit the forgetting of %d jobs: %v.", len(ids), err)
	}
}

// forgettable returns the jobs that were over for long.
func (d *dispatcher) forgettable(now time.Time) (ids []string) {
	d.r.machine.Read(func(s *State) {
		d.mu.Lock()
		defer d.mu.Unlock()
		for id, j := range s.Jobs.Jobs {
			if !j.Phase.Over() {
				continue
			}
			if d.over[id].IsZero() {
				d.over[id] = now
			} else if now.Sub(d.over[id]) > forgetAfter {
				ids = append(ids, id)
				delete(d.over, id)
			}
		}
	})
	slices.Sort(ids)
	return ids
}
