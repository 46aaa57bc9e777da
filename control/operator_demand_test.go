package control

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
	"github.com/waxwinghaven/waxwinghaven/demand"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/queues"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/resource"
	"github.com/waxwinghaven/waxwinghaven/settings"
)

var renderQueues = queues.Config{Version: 2, Services: []queues.Service{{Name: "vault"}}, Queues: []queues.Queue{
	{Name: "renders", Host: "a.example", Prefix: "/renders/", Service: "vault", TimeoutMS: 1000, TargetMS: 200, Slack: 1, Priority: 2, MaxAttempts: 1},
	{Name: "watch", Host: "a.example", Prefix: "/watch/", Service: "vault", TimeoutMS: 1000, TargetMS: 1000, Slack: 2}}}

// render returns a job with one filling task that needs the given number of processors.
func render(n int, processors, estimateMS int64) SubmitJob {
	return SubmitJob{Host: "a.example", Path: fmt.Sprintf("/renders/%016x", n), Spec: jobs.Spec{
		Steps: []jobs.Step{{Count: 1, Need: resource.Vector{MilliCPU: processors * 1000}, EstimateMS: estimateMS, Fills: true, Image: "x"}}}}
}

// newDemandCluster returns a cluster whose workers keep their leases for the whole test. No agent
// renews them, and on a busy machine a test outlasts the usual second.
func newDemandCluster(t testing.TB) *cluster {
	t.Helper()
	return newClusterWith(t, "20ms", func(r *Replica) { r.set.Control.Lease = settings.Duration{Duration: time.Minute} })
}

// get sends an operator call to a replica's handler and decodes the answer into out, or returns
// the status and the refusal.
func (c *cluster) get(replica int, path string, out any) (int, *refusal.Error) {
	c.t.Helper()
	var q fasthttp.RequestCtx
	q.Request.SetRequestURI("http://operator" + path)
	r := c.replicas[replica]
	r.serveOperator(r.operatorRoutes(), &q)
	if status := q.Response.StatusCode(); status != fasthttp.StatusOK {
		var e refusal.Error
		if err := json.Unmarshal(q.Response.Body(), &e); err != nil {
			c.t.Fatalf("%s: status %d, %v", path, status, err)
		}
		return status, &e
	}
	if err := json.Unmarshal(q.Response.Body(), out); err != nil {
		c.t.Fatalf("%s: %v", path, err)
	}
	return fasthttp.StatusOK, nil
}

// waitForRun waits until the only task of a job is placed, and returns the end of that run.
func (c *cluster) waitForRun(r *Replica, j SubmitJob) (e jobs.End) {
	c.t.Helper()
	e.Task.Job = j.Path[len(j.Path)-jobs.IDLength:]
	c.wait(j.Path+" runs", func() (placed bool) {
		r.machine.Read(func(s *State) {
			if g := s.Jobs.Group(e.Task); g != nil && g.Tasks[0].Placed != nil {
				placed, e.Run = true, g.Tasks[0].Placed.Run
			}
		})
		return placed
	})
	return e
}

func explainPath(jobPath string) string {
	return "/v1/jobs/explain?" + url.Values{"host": {"a.example"}, "path": {jobPath}}.Encode()
}

// An operator asks why a job was refused, why another is late, and what waits before it. Guards
// against answers that don't agree with what the caller was told, that tell of a job nothing is
// known about, and that come from a replica which doesn't lead.
func TestOperatorsLearnWhyAJobIsRefusedOrLate(t *testing.T) {
	inVirtualTime(t, explainRefusedAndLateJobs)
}

func explainRefusedAndLateJobs(t *testing.T) {
	c := newDemandCluster(t)
	c.prepareJobs(4)
	leader := c.leader()
	r := c.replicas[leader]
	if _, err := r.PutConfig(PutConfig{Config: renderQueues}); err != nil {
		t.Fatal(err)
	}
	running, waiting, refused := render(1, 4, 1000), render(2, 4, 500), render(3, 4, 100)
	running.Path = strings.Replace(running.Path, "/renders/", "/watch/", 1) // which has a higher priority
	for _, j := range []SubmitJob{running, waiting, waiting} {              // submitted again it is still one job
		if _, err := r.onSubmitJob(j); err != nil {
			t.Fatal(err)
		}
	}
	var told *refusal.Error
	for range 2 {
		_, err := r.onSubmitJob(refused) // would be done in 1.1 to 1.6 s, and has no value after 0.9 s
		e, ok := refusal.Of(err)
		if !ok || e.Code != refusal.Overloaded {
			t.Fatalf("a job beyond the capacity: %v", err)
		}
		told = e
	}

	var x JobExplanation
	if status, e := c.get(leader, explainPath(refused.Path), &x); e != nil {
		t.Fatalf("the refused job: %d %v", status, e)
	}
	if x.Phase != "refused" || x.Refused == nil || x.Refused.Reason != "overloaded" || x.Refused.Message != told.Message ||
		x.Refused.RetryAfterMS != told.RetryAfter.Milliseconds() || x.Refused.Times != 2 || x.Refused.FirstAgoMS < x.Refused.AgoMS {
		t.Errorf("told %v, after %v; explained by %+v, %+v", told, told.RetryAfter, x, x.Refused)
	}
	c.wait("a job runs, and the other is late", func() bool {
		x = JobExplanation{}
		_, e := c.get(leader, explainPath(waiting.Path), &x)
		return e == nil && x.Class == "late"
	})
	if x.Phase != "queued" || x.TasksWaiting != 1 || x.ObjectiveMS != 700 || x.AgeMS < 200 || x.StartInMS == nil || x.EndInMS == nil || *x.EndInMS < 500 {
		t.Errorf("the late job: %+v", x)
	}
	if x.JobsAhead != 1 || x.ProcessorSecondsAhead <= 0 || *x.StartInMS <= 0 || x.Refused != nil {
		t.Errorf("before the late job: %+v", x)
	}

	for _, bad := range []struct {
		path   string
		status int
		hint   string
	}{
		{explainPath("/renders/00000000000000ff"), fasthttp.StatusNotFound, "not known"},
		{explainPath("/nothing/00000000000000ff"), fasthttp.StatusNotFound, "no queue"},
		{explainPath("/renders/1"), fasthttp.StatusBadRequest, "not a job's id"},
		{"/v1/jobs/explain?host=a.example", fasthttp.StatusBadRequest, "names no job"},
	} {
		if status, e := c.get(leader, bad.path, &x); e == nil || status != bad.status || !strings.Contains(e.Message, bad.hint) || e.Remedy == "" {
			t.Errorf("%s: status %d, %v", bad.path, status, e)
		}
	}
	for _, path := range []string{explainPath(waiting.Path), explainPath(refused.Path), "/v1/queues/demand"} {
		if status, e := c.get((leader+1)%3, path, &x); e == nil || status != fasthttp.StatusMisdirectedRequest || !strings.Contains(e.Remedy, r.self.Operator) {
			t.Errorf("%s at a follower: status %d, %v, want a reference to %s", path, status, e, r.self.Operator)
		}
	}

	// What a leader has seen is lost with it, and not told again when it leads later.
	for _, to := range []int{(leader + 1) % 3, leader} {
		before := time.Now().UnixMilli()
		c.wait("the hand-over", func() bool {
			if l := c.leader(); l >= 0 && l != to {
				_ = c.replicas[l].node.Transfer(context.Background(), c.replicas[to].self.ID) // repeated if it fails
			}
			return c.leader() == to
		})
		var a DemandAnswer
		c.wait("an answer", func() bool { _, e := c.get(to, "/v1/queues/demand", &a); return e == nil })
		if a.Queues[0].Last60s.Arrived != 0 || a.SinceMS < before || a.Leader != c.replicas[to].self.Name {
			t.Errorf("after the hand-over to %s: %+v", c.replicas[to].self.Name, a)
		}
		if status, e := c.get(to, explainPath(refused.Path), &x); e == nil || status != fasthttp.StatusNotFound {
			t.Errorf("after the hand-over the refused job: %d %v", status, e)
		}
	}
}

// Guards against counts that miss what callers and workers report, or count it twice.
func TestDemandCountsWhatBecomesOfJobs(t *testing.T) {
	c := newDemandCluster(t)
	c.prepareJobs(4)
	r := c.replicas[c.leader()]
	begun := time.Now().UnixMilli()
	if _, err := r.PutConfig(PutConfig{Config: renderQueues}); err != nil {
		t.Fatal(err)
	}
	// The first job ends in time, the second fails, the third is cancelled, the fourth is late.
	list := []SubmitJob{render(1, 4, 20_000), render(2, 4, 20_000), render(3, 4, 20_000), render(4, 4, 1)}
	end := func(j SubmitJob, outcome jobs.Outcome, workMS int64) {
		t.Helper()
		ends := RunEnds{Worker: "w", Ends: []jobs.End{c.waitForRun(r, j)}}
		ends.Ends[0].Outcome, ends.Ends[0].WorkMS = outcome, workMS
		for range 2 { // the answer to the first report is lost
			if _, err := r.onEnds(ends); err != nil {
				t.Fatal(err)
			}
		}
	}
	for i, j := range list {
		for range 2 { // the answer to the first call is lost
			if _, err := r.onSubmitJob(j); err != nil {
				t.Fatal(err)
			}
		}
		switch i {
		case 0:
			end(j, jobs.OutcomeDone, 5000)
		case 1:
			end(j, jobs.OutcomeFailed, 0)
		case 2:
			c.waitForRun(r, j)
			for range 2 {
				if _, err := r.onCancelJob(CancelJob{JobCall: JobCall{j.Host, j.Path}}); err != nil {
					t.Fatal(err)
				}
			}
			end(j, jobs.OutcomeStopped, 0) // after its job, which is not counted again
		case 3:
			c.wait("its objective of 201 ms has passed", func() bool {
				var x JobExplanation
				_, e := c.get(c.leader(), explainPath(j.Path), &x)
				return e == nil && x.AgeMS > 250
			})
		}
	}
	var a DemandAnswer
	if status, e := c.get(c.leader(), "/v1/queues/demand", &a); e != nil {
		t.Fatalf("%d %v", status, e)
	}
	if len(a.Queues) != 2 || a.SinceMS > begun || a.LedMS <= 0 || a.Leader != r.self.Name {
		t.Fatalf("%+v", a)
	}
	if q := a.Queues[0]; q.Queue != "a.example/renders/" || q.BacklogJobs != 1 || q.LongestWaitMS < 0 || q.ExpectedWaitMS == nil {
		t.Errorf("the backlog: %+v", q)
	}
	end(list[3], jobs.OutcomeDone, 1)
	if status, e := c.get(c.leader(), "/v1/queues/demand", &a); e != nil {
		t.Fatalf("%d %v", status, e)
	}
	q := a.Queues[0]
	if w := q.Last60s; w.Arrived != 4 || w.Accepted != 4 || w.Refusals() != 0 || w.InTime != 1 || w.Failed != 1 || w.Cancelled != 1 || w.Late != 1 {
		t.Errorf("the last minute: %+v", w)
	}
	// A task of 5 s on 4 processors is done, and one of a millisecond.
	covered := min(60, float64(a.LedMS)/1000)
	if done := q.Last60s.Processors * max(1, covered); done < 18 || done > 22 {
		t.Errorf("%.1f processor seconds are counted in %.2f s, want 20", done, covered)
	}
	if q.BacklogJobs != 0 || q.BacklogProcessorSeconds != 0 {
		t.Errorf("the backlog after all jobs have ended: %+v", q)
	}

	exposed := func() string {
		var b strings.Builder
		r.dispatcher.demand.update()
		metrics.WritePrometheus(&b, false)
		return b.String()
	}
	const series = `waxwinghaven_queue_ends_total{queue="a.example/renders/",outcome="late"}`
	if !strings.Contains(exposed(), series) {
		t.Errorf("the metrics lack %s", series)
	}
	without := renderQueues
	without.Version, without.Queues = 3, without.Queues[1:]
	if _, err := r.PutConfig(PutConfig{Config: without}); err != nil {
		t.Fatal(err)
	}
	if strings.Contains(exposed(), "a.example/renders/") {
		t.Error("the metrics of a queue that was removed are left")
	}
}

// Guards against metrics that grow with the configuration.
func TestQueueMetricsAreBounded(t *testing.T) {
	f := newDemandFeed(nil)
	names := make(map[string]bool)
	for i := range 1000 {
		m := f.metricsOf("bounded.example", fmt.Sprintf("/%d/", i))
		for _, name := range m.names {
			names[name] = true
		}
		if i >= maxDemandQueues && m.queue != demand.Other {
			t.Fatalf("queue %d has the metrics of %q", i, m.queue)
		}
	}
	for _, m := range f.queues {
		m.unregister()
	}
	if len(names) > 151*21 {
		t.Errorf("%d metrics for 1000 queues", len(names))
	}
}

// The path of a submission has room for a few microseconds: the statistics must not allocate.
func BenchmarkDemandRecording(b *testing.B) {
	c := newCluster(b)
	c.prepareJobs(4)
	r := c.replicas[c.leader()]
	cfg := queues.Config{Version: 3, Services: renderQueues.Services}
	for i := range 150 {
		cfg.Queues = append(cfg.Queues, queues.Queue{Name: fmt.Sprint(i), Host: fmt.Sprintf("a%d.example", i), Prefix: "/renders/", Service: "vault", TimeoutMS: 1000})
	}
	if _, err := r.PutConfig(PutConfig{Config: cfg}); err != nil {
		b.Fatal(err)
	}
	calls := make([]SubmitJob, 30_000)
	for i := range calls {
		calls[i] = render(i, 1, 100)
		calls[i].Host = fmt.Sprintf("a%d.example", i%150)
	}
	feed, err := r.dispatcher.demand, refusal.New(refusal.Overloaded, "", "the job would be late")
	record := func(i int) {
		call := &calls[i%len(calls)]
		feed.arrived(call, false)
		call.refusalCode = "overloaded"
		feed.submitted(call, err)
	}
	for i := range calls {
		record(i)
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		record(n)
		n++
	}
}

// Guards against metrics of a removed queue that come back, with counts from zero, when a run ends
// that was placed before the removal.
func TestEndsOfARemovedQueueLeaveNoMetrics(t *testing.T) {
	c := newDemandCluster(t)
	c.prepareJobs(4)
	r := c.replicas[c.leader()]
	if _, err := r.PutConfig(PutConfig{Config: renderQueues}); err != nil {
		t.Fatal(err)
	}
	j := render(1, 4, 20_000)
	if _, err := r.onSubmitJob(j); err != nil {
		t.Fatal(err)
	}
	e := c.waitForRun(r, j)
	e.Outcome, e.WorkMS = jobs.OutcomeDone, 1000
	without := renderQueues
	without.Version, without.Queues = 3, without.Queues[1:]
	if _, err := r.PutConfig(PutConfig{Config: without}); err != nil {
		t.Fatal(err)
	}
	r.dispatcher.demand.update()
	if _, err := r.onEnds(RunEnds{Worker: "w", Ends: []jobs.End{e}}); err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	metrics.WritePrometheus(&b, false)
	if strings.Contains(b.String(), "a.example/renders/") {
		t.Error("the metrics of the removed queue are back")
	}
}

// Guards against a backlog that is missing from the metrics because its queues have none of their
// own, and against one that is left there once another replica leads.
func TestBacklogsOfOtherQueuesAreAddedUp(t *testing.T) {
	c := newDemandCluster(t)
	c.prepareJobs(4)
	leader := c.leader()
	r := c.replicas[leader]
	cfg := queues.Config{Version: 2, Services: renderQueues.Services}
	for i := range maxDemandQueues + 2 {
		cfg.Queues = append(cfg.Queues, queues.Queue{Name: fmt.Sprint(i), Host: fmt.Sprintf("b%d.example", i), Prefix: "/renders/", Service: "vault", TimeoutMS: 1000, TargetMS: 60_000, Slack: 2})
	}
	if _, err := r.PutConfig(PutConfig{Config: cfg}); err != nil {
		t.Fatal(err)
	}
	feed := r.dispatcher.demand
	feed.update()
	for i := range 2 {
		j := render(i, 1, 1000)
		j.Host = cfg.Queues[maxDemandQueues+i].Host
		if _, err := r.onSubmitJob(j); err != nil {
			t.Fatal(err)
		}
	}
	feed.update()
	if n, work := feed.other.jobs.Get(), feed.other.processorSeconds.Get(); n != 2 || work <= 0 || work > 2 {
		t.Errorf("the backlog of the other queues is %v jobs and %v processor seconds, want 2 and up to 2", n, work)
	}
	c.wait("another replica leads", func() bool {
		if c.leader() == leader {
			_ = r.node.Transfer(context.Background(), c.replicas[(leader+1)%3].self.ID) // repeated if it fails
		}
		return c.leader() >= 0 && c.leader() != leader
	})
	feed.update()
	if n := feed.other.jobs.Get(); n != 0 {
		t.Errorf("a replica that no longer leads shows a backlog of %v jobs", n)
	}

	// Their ends are reported also while nothing arrives in them.
	next := c.replicas[c.leader()]
	next.dispatcher.demand.update()
	c.wait("the cancellation", func() bool {
		_, err := next.onCancelJob(CancelJob{JobCall: JobCall{cfg.Queues[maxDemandQueues].Host, render(0, 1, 1000).Path}})
		return err == nil
	})
	var a DemandAnswer
	if status, e := c.get(c.leader(), "/v1/queues/demand", &a); e != nil || a.Others == nil || a.Others.Last60s.Cancelled != 1 {
		t.Errorf("after a cancellation in one of the other queues: status %d, %v, %+v", status, e, a.Others)
	}
}
