package control

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/waxwinghaven/waxwinghaven/dispatch"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/queues"
	"github.com/waxwinghaven/waxwinghaven/quorum"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

var listQueues = queues.Config{Version: 1, Services: []queues.Service{{Name: "vault"}}, Queues: []queues.Queue{
	{Name: "renders", Host: "a.example", Prefix: "/renders/", Service: "vault", TimeoutMS: 1000, TargetMS: 1000, Slack: 2, Priority: 2},
	{Name: "watch", Host: "a.example", Prefix: "/watch/", Service: "vault", TimeoutMS: 1000, TargetMS: 1000, Slack: 2},
}}

const (
	// siteTick is how often the simulated site runs a pass.
	siteTick = 50 * time.Millisecond
	// renderMS is how long a render's tasks run. One of 20 tasks needs all processors for that time.
	renderMS = 2000
	// renderLimit is within what time a render must be done to be accepted: three times its
	// objective of twice 2 s and 1 s.
	renderLimit = 15 * time.Second
)

// site is a leader's dispatcher with a state to which commands are applied directly, two workers
// of 10 processors and callers, in virtual time.
type site struct {
	t       *testing.T
	d       *dispatcher
	index   uint64
	callers []*caller
	busy    time.Duration // with all the processors in use that overdue jobs may have, or more
}

// caller submits one job until it is accepted or its retries are spent.
type caller struct {
	id      int
	next    time.Time
	tasks   int  // of its job
	hasty   bool // returns after 0.3 to 1 s whatever it is told
	fresh   bool // a new id for each call
	retries int  // left
	calls   int
	first   time.Time
	done    bool // accepted or given up
	taken   time.Time
	ended   time.Time // its job
}

func newSite(t *testing.T) *site {
	r := newBareReplica(t)
	r.node = newIdleNode(t, r.machine)
	x := &site{t: t, d: newDispatcher(r)}
	x.d.refused = newRefusedJobs()
	x.apply(JobCommand{Put: &PutConfig{Config: listQueues}})
	for _, id := range []string{"w1", "w2"} {
		x.apply(JobCommand{Register: &Registration{Worker: jobs.Worker{ID: id, Agent: id, Session: "1", Service: "vault", Capacity: resource.Vector{MilliCPU: 10_000}}}})
	}
	return x
}

// newIdleNode returns a node that can be bootstrapped as the only voter and run. Until then it
// does not lead.
func newIdleNode(t *testing.T, m *Machine) *quorum.Node {
	t.Helper()
	disk, err := quorum.OpenDiskAs(t.TempDir(), 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { disk.Close() })
	n, err := quorum.NewNode(quorum.Options{Disk: disk, Machine: m, TickEvery: siteTick, SnapshotEntries: 1 << 30})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// lead makes the site's node the leader.
func (x *site) lead() {
	x.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- x.d.r.node.Run(ctx) }()
	x.t.Cleanup(func() {
		cancel()
		<-ended
	})
	if err := x.d.r.node.Bootstrap(ctx, quorum.Replica{ID: 1, Name: "r"}); err != nil {
		x.t.Fatal(err)
	}
	for range 200 {
		if x.d.leads() {
			return
		}
		time.Sleep(siteTick)
	}
	x.t.Fatal("the node does not lead")
}

func (x *site) apply(c JobCommand) any {
	x.t.Helper()
	x.index++
	m := x.d.r.machine
	m.mu.Lock()
	defer m.mu.Unlock()
	v, err := m.state.Apply(x.index, Command{Jobs: &c})
	if err != nil {
		x.t.Fatal(err)
	}
	return v
}

func renderJob(id, tasks int) SubmitJob {
	return SubmitJob{Host: "a.example", Path: fmt.Sprintf("/renders/%016x", id), Spec: jobs.Spec{Steps: []jobs.Step{
		{Count: tasks, Need: resource.Vector{MilliCPU: 1000}, EstimateMS: renderMS, Fills: true, Image: "x"}}}}
}

// submit returns zero if the job was accepted, else when to return.
func (x *site) submit(c SubmitJob) time.Duration {
	x.t.Helper()
	if err := x.d.admitConfirmed(&c, func() error { return nil }); err != nil {
		e, _ := refusal.Of(err)
		if e.RetryAfter <= 0 {
			x.t.Fatalf("refused without a time: %v", err)
		}
		return e.RetryAfter
	}
	x.apply(JobCommand{Submit: &c})
	x.d.submitted(&c)
	x.d.admitted(&c)
	return 0
}

// cancel cancels a standing job and ends its task.
func (x *site) cancel(id string) {
	x.apply(JobCommand{Cancel: &JobCall{"a.example", "/watch/" + id}})
	for _, w := range []string{"w1", "w2"} {
		x.apply(JobCommand{Ends: &RunEnds{Worker: w, Ends: []jobs.End{{Task: jobs.Ref{Job: id}, Run: 1, Outcome: jobs.OutcomeDone}}}})
	}
}

// tick ends the runs that have lasted long enough and places tasks.
func (x *site) tick() {
	ends := make(map[string][]jobs.End)
	var plan jobs.Plan
	x.d.r.machine.Read(func(s *State) {
		for id := range s.Jobs.Workers {
			for _, ref := range s.Jobs.RunsOn(id) {
				if r := s.Jobs.Group(ref).Tasks[ref.Index].Placed; !s.Jobs.Group(ref).Step().Standing && x.d.nowMS()-r.AtMS >= renderMS {
					ends[id] = append(ends[id], jobs.End{Task: ref, Run: r.Run, Outcome: jobs.OutcomeDone, WorkMS: renderMS})
				}
			}
		}
	})
	for id, list := range ends {
		x.apply(JobCommand{Ends: &RunEnds{Worker: id, Ends: list}})
		for _, e := range list {
			x.d.recordEnd(id, e)
		}
	}
	x.d.r.machine.Read(func(s *State) { plan = dispatch.Plan(x.d.input(s)) })
	x.apply(JobCommand{Plan: &plan})
	used := int64(0)
	x.d.r.machine.Read(func(s *State) {
		x.d.refused.expire(s, time.Now())
		for id := range s.Jobs.Workers {
			used += s.Jobs.Use(id).Filling
		}
	})
	if used >= 13_000 {
		x.busy += siteTick
	}
	time.Sleep(siteTick)
}

// refusedNow returns what the dispatcher would decide, without an effect.
func (x *site) refusedNow(id, tasks int) dispatch.Verdict {
	c := renderJob(id, tasks)
	return x.d.judge(&c)
}

// run submits until all callers are done and the work has ended, and checks each decision. A job
// that is refused must not have had room: what is accepted, what truly returns before it would be
// done, and the job itself take longer than the limit, or callers are still awaited.
func (x *site) run(limit time.Duration) {
	x.t.Helper()
	for begun := time.Now(); ; x.tick() {
		now, waiting, live := time.Now(), 0, 0
		for _, c := range x.callers {
			if !c.done {
				waiting++
				if !now.Before(c.next) {
					x.call(c, now)
				}
			}
		}
		x.d.r.machine.Read(func(s *State) {
			live = s.Jobs.Live()
			for _, c := range x.callers {
				if j := s.Jobs.Jobs[fmt.Sprintf("%016x", c.id)]; j != nil && j.Phase.Over() && c.ended.IsZero() {
					c.ended = now
				}
			}
		})
		if waiting+live == 0 {
			return
		}
		if now.Sub(begun) > limit {
			x.t.Fatalf("%d callers and %d jobs are left after %v", waiting, live, limit)
		}
	}
}

func (x *site) call(c *caller, now time.Time) {
	x.t.Helper()
	if c.first.IsZero() {
		c.first = now
	}
	id := c.id
	if c.fresh {
		id = c.id*1000 + c.calls
	}
	c.calls++
	var overtaken []*caller // earlier ones that would be refused at this moment
	for _, other := range x.callers {
		if !other.done && !other.fresh && other.calls > 0 && other.tasks <= c.tasks && other.first.Before(c.first) && x.refusedNow(other.id, other.tasks).Refuse {
			overtaken = append(overtaken, other)
		}
	}
	v := x.refusedNow(id, c.tasks)
	wait := x.submit(renderJob(id, c.tasks))
	if wait == 0 {
		c.done, c.taken = true, now
		if len(overtaken) > 0 {
			x.t.Errorf("job %d was accepted while job %d, first refused %v before, would be refused", id, overtaken[0].id, c.first.Sub(overtaken[0].first))
		}
		return
	}
	if v.Ahead == 0 {
		x.t.Errorf("job %d was refused with no accepted work ahead: %+v", id, v)
	}
	x.checkRoom(c, &v, now)
	if c.retries--; c.retries < 0 {
		if c.done = true; !c.fresh {
			x.t.Errorf("caller %d gave up after %d calls", c.id, c.calls)
		}
		return
	}
	if c.next = now.Add(wait); c.hasty {
		c.next = now.Add(time.Duration(300+c.calls*170%700) * time.Millisecond)
	}
}

// checkRoom checks a refusal by what the test knows of the callers.
func (x *site) checkRoom(c *caller, v *dispatch.Verdict, now time.Time) {
	x.t.Helper()
	ahead := v.Ahead
	for _, other := range x.callers {
		if !other.done && other.calls > 0 && (other.first.Before(c.first) || (other.first.Equal(c.first) && other.id < c.id)) && other.next.Sub(now) <= renderLimit {
			ahead += v.Work * float64(other.tasks) / float64(c.tasks)
		}
	}
	own := max(renderMS, v.Work/v.Available)
	if done := time.Duration(ahead/v.Available+own) * time.Millisecond; done <= renderLimit && !slices.ContainsFunc(x.callers, func(o *caller) bool { return o.fresh }) {
		x.t.Errorf("job %d was refused although it would be done in %v: %+v", c.id, done, v)
	}
}

// burst adds callers that arrive within two seconds.
func (x *site) burst(n int, each func(*caller)) {
	for i := range n {
		c := &caller{id: len(x.callers) + 1, next: time.Now().Add(time.Duration(i) * 2 * time.Second / time.Duration(n)), tasks: 20, retries: 4}
		each(c)
		x.callers = append(x.callers, c)
	}
}

// inSite runs a test in virtual time.
func inSite(t *testing.T, f func(*testing.T, *site)) {
	synctest.Test(t, func(t *testing.T) { f(t, newSite(t)) })
}

// A burst of three times what can be accepted: 22 renders that need 44 s, of which 15 s fit the
// limit. Guards against a caller that respects the time but spends its retries for nothing, one
// that is overtaken by a later one, and processors that are idle while callers wait.
func TestBurstWithCallersThatRespectTheTime(t *testing.T) {
	inSite(t, func(t *testing.T, x *site) {
		x.burst(22, func(*caller) {})
		begun := time.Now()
		x.run(2 * time.Minute)
		refused, calls := 0, 0
		for _, c := range x.callers {
			if c.calls > 1 {
				refused++
				calls += c.calls - 1
			}
		}
		took := time.Since(begun)
		t.Logf("%d were refused and returned %d times; all was done after %v, %v of it busy", refused, calls, took, x.busy)
		if refused < 10 || float64(calls) > 2*float64(refused) {
			t.Errorf("%d callers were refused and returned %d times", refused, calls)
		}
		// What was refused is overdue when it runs, and gets 0.7 of the processors: 29 s of work
		// take 42 s.
		if took > 60*time.Second || took-x.busy > 3*time.Second {
			t.Errorf("44 s of work took %v, %v of it busy", took, x.busy)
		}
	})
}

// Guards against large jobs that small new ones keep out: after a burst of large ones, small ones
// arrive that need nine tenths of the processors.
func TestNewSmallJobsDontKeepLargeOnesOut(t *testing.T) {
	inSite(t, func(t *testing.T, x *site) {
		x.burst(12, func(c *caller) { c.tasks = 40 })
		for i := range 200 {
			x.callers = append(x.callers, &caller{id: len(x.callers) + 1, tasks: 4, retries: 4, next: time.Now().Add(2*time.Second + time.Duration(i)*444*time.Millisecond)})
		}
		x.run(5 * time.Minute)
		refused, calls := 0, 0
		for _, c := range x.callers {
			if c.calls > 1 && c.tasks == 40 {
				refused++
				calls += c.calls - 1
			}
		}
		t.Logf("%d large jobs were refused and returned %d times; %v busy", refused, calls, x.busy)
		if refused < 4 {
			t.Errorf("%d large jobs were refused", refused)
		}
	})
}

// Guards against callers that gain by returning after 0.3 to 1 s: among callers of both kinds none
// is accepted while an earlier one would be refused (checked at each call), and those that respect
// the time still get their place.
func TestCallersThatIgnoreTheTimeGainNothing(t *testing.T) {
	inSite(t, func(t *testing.T, x *site) {
		x.burst(22, func(c *caller) {
			if c.hasty = c.id%2 == 0; c.hasty {
				c.retries = 200
			}
		})
		x.run(2 * time.Minute)
		var took [2]time.Duration
		for _, c := range x.callers {
			if c.calls > 1 {
				took[c.id%2] += c.ended.Sub(c.first)
			}
		}
		t.Logf("until their jobs ended hasty callers waited %v, the others %v", took[0], took[1])
		if took[0] < took[1]*9/10 {
			t.Errorf("until their jobs ended hasty callers waited %v, the others %v", took[0], took[1])
		}
	})
}

// Guards against a flood of fresh ids that keeps processors idle, or takes the
// place of callers that return.
func TestFloodOfFreshIDs(t *testing.T) {
	inSite(t, func(t *testing.T, x *site) {
		x.burst(20, func(c *caller) { c.fresh, c.hasty, c.retries = true, true, 40 })
		x.burst(14, func(*caller) {})
		begun := time.Now()
		x.run(3 * time.Minute)
		accepted := 0
		for _, c := range x.callers {
			if !c.taken.IsZero() {
				accepted++
			}
		}
		took := time.Since(begun)
		t.Logf("%d of %d were accepted; all was done after %v, %v of it busy", accepted, len(x.callers), took, x.busy)
		if took-x.busy > 6*time.Second {
			t.Errorf("of %v, %v were busy", took, x.busy)
		}
	})
}

// Guards against a table that grows with the refusals, and against one without room for a burst.
func TestListIsBounded(t *testing.T) {
	inSite(t, func(t *testing.T, x *site) {
		refused := 0
		for i := range maxListed + 100 {
			if x.submit(renderJob(i+1, 20)) != 0 {
				refused++
			}
		}
		if n := x.d.refused.list.Len(); refused <= maxListed || n != maxListed {
			t.Errorf("%d entries for %d refused jobs", n, refused)
		}
	})
}

// Guards against harm from a lost table: callers return as new ones, every caller is served, and
// what was refused has not run.
func TestNewLeaderHasNoList(t *testing.T) {
	inSite(t, func(t *testing.T, x *site) {
		x.burst(22, func(*caller) {})
		for range 60 {
			for _, c := range x.callers {
				if now := time.Now(); !c.done && !now.Before(c.next) {
					x.call(c, now)
				}
			}
			x.tick()
		}
		if x.d.refused.list.Len() == 0 {
			t.Fatal("nothing is listed")
		}
		x.d.mu.Lock()
		x.d.reset(2)
		x.d.mu.Unlock()
		if n := x.d.refused.list.Len(); n != 0 {
			t.Fatalf("the new leader has %d entries", n)
		}
		x.d.r.machine.Read(func(s *State) {
			for _, c := range x.callers {
				if known := s.Jobs.Jobs[fmt.Sprintf("%016x", c.id)] != nil; known != !c.taken.IsZero() {
					t.Errorf("job %d: accepted %v, known %v", c.id, !c.taken.IsZero(), known)
				}
			}
		})
		for _, c := range x.callers {
			if !c.done {
				c.first = time.Time{} // its place is lost
			}
		}
		x.run(2 * time.Minute)
	})
}

// Guards against entries that outlive their queue.
func TestRemovedQueueDropsItsEntries(t *testing.T) {
	inSite(t, func(t *testing.T, x *site) {
		for i := range 12 {
			x.submit(renderJob(i+1, 20))
		}
		before := x.d.refused.list.Len()
		next := listQueues
		next.Version, next.Queues = 2, listQueues.Queues[1:]
		x.apply(JobCommand{Put: &PutConfig{Config: next}})
		x.tick()
		if after := x.d.refused.list.Len(); before == 0 || after != 0 {
			t.Errorf("%d entries before the queue is removed, %d after", before, after)
		}
	})
}

// Guards against standing jobs that take the processors for which an earlier one waits, and
// against processors kept for one that doesn't return.
func TestStandingJobsKeepTheirPlace(t *testing.T) {
	for _, returns := range []bool{true, false} {
		inSite(t, func(t *testing.T, x *site) {
			if x.submit(standingJob("00000000000000aa", 6)) != 0 || x.submit(standingJob("00000000000000bb", 6)) != 0 {
				t.Fatal("jobs that fit were refused")
			}
			x.tick()
			first, later := standingJob("0000000000000001", 7), standingJob("0000000000000002", 7)
			wait := x.submit(first)
			begun := time.Now()
			if wait == 0 || wait > 10*time.Second {
				t.Fatalf("the first job is told %v", wait)
			}
			x.cancel("00000000000000aa")
			if x.submit(later) == 0 {
				t.Fatal("a later job took the processors")
			}
			time.Sleep(wait)
			if returns {
				if x.submit(first) != 0 {
					t.Error("the first job is refused when it returns")
				}
				x.d.r.machine.Read(func(s *State) {
					if at := s.Jobs.Jobs["0000000000000001"].AcceptedAt; at != begun.UnixMilli() {
						t.Errorf("its acceptance counts from %d ms, first refused at %d", at, begun.UnixMilli())
					}
				})
				if left := x.d.refused.list.Len(); left != 1 {
					t.Errorf("%d entries, want that of the later job", left)
				}
				return
			}
			time.Sleep(3 * time.Second)
			if x.submit(later) != 0 {
				t.Error("processors are kept for a job that has not returned")
			}
		})
	}
}

// Guards against processors that are kept for standing jobs whose callers never return. Three jobs
// fit, each runs for 6 s, and each refused caller tries again with a new id after half a second.
func TestFloodOfFreshStandingIDs(t *testing.T) {
	inSite(t, func(t *testing.T, x *site) {
		ends, accepted := make(map[string]time.Time), 0
		for i := range 240 {
			now, id := time.Now(), fmt.Sprintf("%016x", i+1)
			for old, at := range ends {
				if now.After(at) {
					x.cancel(old)
					delete(ends, old)
				}
			}
			if x.submit(standingJob(id, 5)) == 0 {
				ends[id] = now.Add(6 * time.Second)
				accepted++
			}
			for range 10 {
				x.tick()
			}
		}
		t.Logf("%d were accepted", accepted)
		if accepted < 45 { // 60 would fill 120 s
			t.Errorf("%d were accepted in 120 s", accepted)
		}
	})
}

// Guards against processors that count twice while a returned job is being committed, as reserved
// and as listed: another job would be refused although it fits.
func TestReservedProcessorsAreNotListed(t *testing.T) {
	inSite(t, func(t *testing.T, x *site) {
		x.submit(standingJob("00000000000000aa", 12))
		first, small := standingJob("0000000000000001", 10), standingJob("0000000000000002", 5)
		wait := x.submit(first)
		x.cancel("00000000000000aa")
		time.Sleep(wait)
		if err := x.d.admitConfirmed(&first, func() error { return nil }); err != nil {
			t.Fatal(err)
		}
		if x.submit(small) != 0 {
			t.Error("a job that fits is refused while another is being committed")
		}
	})
}

// Guards against a job that no capacity is enough for: it must not keep capacity from others.
func TestTooLargeJobKeepsNothing(t *testing.T) {
	inSite(t, func(t *testing.T, x *site) {
		if x.submit(standingJob("0000000000000001", 16)) == 0 {
			t.Fatal("a job beyond the share of standing tasks was accepted")
		}
		if x.submit(standingJob("0000000000000002", 10)) != 0 {
			t.Error("a job that fits was refused")
		}
	})
}

// Guards against a refusal, or a place, by a leader that may have been replaced.
func TestUnconfirmedLeaderListsNothing(t *testing.T) {
	inSite(t, func(t *testing.T, x *site) {
		x.submit(standingJob("00000000000000aa", 12))
		c, lost := standingJob("0000000000000001", 10), errors.New("lost")
		if err := x.d.admitConfirmed(&c, func() error { return lost }); !errors.Is(err, lost) || x.d.refused.list.Len() != 0 {
			t.Errorf("without a majority: %v, %d entries", err, x.d.refused.list.Len())
		}
	})
}

// Guards against a refusal for the sake of callers that an earlier leadership of the same replica
// refused: a new leader starts with no list, also if the leadership changes while a majority is
// asked to confirm it.
func TestListIsVoidOnceTheTermHasChanged(t *testing.T) {
	inSite(t, func(t *testing.T, x *site) {
		x.lead()
		x.submit(standingJob("00000000000000aa", 12))
		first, later := standingJob("0000000000000001", 10), standingJob("0000000000000002", 10)
		if x.submit(first) == 0 {
			t.Fatal("a job that has no room was accepted")
		}
		x.cancel("00000000000000aa")
		asked := false
		err := x.d.admitConfirmed(&later, func() error {
			asked = true
			x.d.mu.Lock()
			defer x.d.mu.Unlock()
			x.d.term = 0 // the list is of an earlier term than the node's
			return nil
		})
		if !asked || err != nil {
			t.Errorf("asked for a confirmation: %v; refused for an earlier leadership's list: %v", asked, err)
		}
	})
}

// Guards against a panic of the leader on a refusal with no time until there is room, when the
// call names no queue or no valid id, and against a time below one second.
func TestRefusedJobThatIsNotListedIsToldATime(t *testing.T) {
	inSite(t, func(t *testing.T, x *site) {
		for _, path := range []string{"/renders/no-id", "/none/0000000000000001"} {
			c := renderJob(1, 20)
			c.Path = path
			for _, expected := range []time.Duration{-time.Second, 0, time.Millisecond} {
				if wait := x.d.retryAfter(&c, &dispatch.Verdict{Refuse: true, RetryAfter: expected}); wait < time.Second || wait > 2*time.Second {
					t.Errorf("%s: told %v for %v", path, wait, expected)
				}
			}
		}
		if n := x.d.refused.list.Len(); n != 0 {
			t.Errorf("%d entries", n)
		}
	})
}

// Guards against a place for a job that another call submitted after it was refused: its work
// would count twice until the place lapses.
func TestKnownJobIsNotListed(t *testing.T) {
	inSite(t, func(t *testing.T, x *site) {
		c := renderJob(1, 20)
		if x.submit(c) != 0 {
			t.Fatal("a job that fits was refused")
		}
		x.d.retryAfter(&c, &dispatch.Verdict{Refuse: true, RetryAfter: time.Second})
		if n := x.d.refused.list.Len(); n != 0 {
			t.Errorf("%d entries", n)
		}
	})
}

// Guards against a list that exists although its switch is off.
func TestWaitlistIsOffByDefault(t *testing.T) {
	r := newBareReplica(t)
	if newDispatcher(r).refused != nil {
		t.Error("the list exists without its switch")
	}
	r.set.Control.Contention.Waitlist = true
	if newDispatcher(r).refused == nil {
		t.Error("the switch has no effect")
	}
}
