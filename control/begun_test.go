package control

import (
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// queueLength returns the length of the queue of watchQueues by the leader's answer.
func queueLength(t *testing.T, r *Replica) int {
	t.Helper()
	a, err := r.onLookUp(JobCall{watchQueues.Queues[0].Host, watchQueues.Queues[0].Prefix})
	if err != nil || !a.IsQueue {
		t.Fatalf("look-up: %+v, %v", a, err)
	}
	return a.Pending
}

// placeOne submits a standing job of one task to a new cluster and waits until it is placed on worker
// "w". placedAt returns the log index of its run, 0 for none.
func placeOne(t *testing.T) (c *cluster, r *Replica, ref jobs.Ref, placedAt func() uint64) {
	c = newCluster(t)
	c.prepareJobs(4)
	r = c.replicas[c.leader()]
	if _, err := r.onSubmitJob(standingJob("00000000000000aa", 1)); err != nil {
		t.Fatal(err)
	}
	ref = jobs.Ref{Job: "00000000000000aa"}
	placedAt = func() (index uint64) {
		r.machine.Read(func(s *State) {
			if x := s.Jobs.Group(ref).Tasks[0].On("w"); x != nil {
				index = x.Changed
			}
		})
		return index
	}
	c.wait("run 1", func() bool { return placedAt() > 0 })
	return c, r, ref, placedAt
}

// Guards against a queue's length that leaves out a job which is placed and has not begun, by what its
// worker's agent reports, and against one that counts a job again whose worker was lost after it began.
func TestQueueLengthFollowsTheAgentsReports(t *testing.T) {
	c, r, ref, placedAt := placeOne(t)
	if n := queueLength(t, r); n != 0 {
		t.Errorf("%d jobs pending at a new leader, before the first reports", n)
	}
	r.dispatcher.mu.Lock()
	r.dispatcher.begunSince = time.Now().Add(-begunReportsDue)
	r.dispatcher.mu.Unlock()
	if n := queueLength(t, r); n != 1 {
		t.Errorf("%d jobs pending, the worker was silent since the job was placed", n)
	}
	for _, x := range []struct {
		name      string
		index     uint64
		unstarted []jobs.Stop
		want      int
	}{
		{"the order has not arrived", placedAt() - 1, nil, 1},
		{"the order has arrived, the run has not started", placedAt(), []jobs.Stop{{Task: ref, Run: 1}}, 1},
		{"an agent that does not say", 0, nil, 0},
		{"the run has started", placedAt(), nil, 0},
	} {
		if _, err := r.onLease(LeaseRequest{WorkerRef: WorkerRef{"w", "1"}, OrdersIndex: x.index, Unstarted: x.unstarted}); err != nil {
			t.Fatal(err)
		}
		if n := queueLength(t, r); n != x.want {
			t.Errorf("%s: %d jobs pending, want %d", x.name, n, x.want)
		}
	}
	c.wait("the worker's loss", func() bool { return !isRegistered(r, "w") })
	if n := queueLength(t, r); n != 0 {
		t.Errorf("%d jobs pending after the loss of the worker on which the job had begun", n)
	}
}

// Guards against a job that counts as begun for good though its worker was lost before it started
// anything: the first renewal of the agent's session, made before any order has arrived, says nothing.
func TestFirstRenewalOfASessionDoesNotSayThatRunsHaveStarted(t *testing.T) {
	c, r, _, _ := placeOne(t)
	if _, err := r.onLease(LeaseRequest{WorkerRef: WorkerRef{"w", "1"}, ReportsStarts: true}); err != nil {
		t.Fatal(err)
	}
	if n := queueLength(t, r); n != 1 {
		t.Errorf("%d jobs pending after the first renewal", n)
	}
	c.wait("the worker's loss", func() bool { return !isRegistered(r, "w") })
	if n := queueLength(t, r); n != 1 {
		t.Errorf("%d jobs pending after the loss of a worker that started nothing", n)
	}
}

// Guards against a job that counts as pending again though it has begun, as the agent's next process
// does not know yet what its worker runs.
func TestFirstRenewalOfASessionKeepsWhatTheEarlierOneReported(t *testing.T) {
	_, r, _, placedAt := placeOne(t)
	for _, reported := range []uint64{placedAt(), 0} {
		if _, err := r.onLease(LeaseRequest{WorkerRef: WorkerRef{"w", "1"}, OrdersIndex: reported, ReportsStarts: true}); err != nil {
			t.Fatal(err)
		}
		if n := queueLength(t, r); n != 0 {
			t.Errorf("%d jobs pending after a report up to %d", n, reported)
		}
	}
}

// Guards against a leader that takes a standing run for one at work though its agent reports otherwise.
func TestRunsReportedAsIdleAreAbsent(t *testing.T) {
	d := &dispatcher{begun: make(map[string]begunReport), notAtWork: make(map[string][]jobs.Stop)}
	ref, run := jobs.Ref{Job: "00000000000000aa"}, &jobs.Placed{Worker: "w", Run: 1}
	report := []jobs.Stop{{Task: ref, Run: 1}}
	if d.isIdle(ref, run) {
		t.Error("a run is idle without a report")
	}
	d.notAtWork["w"] = report
	if !d.isIdle(ref, run) || d.isIdle(ref, &jobs.Placed{Worker: "w", Run: 2}) {
		t.Error("the run that is not at work, and no other, must be idle")
	}
	d.notAtWork["w"] = nil
	d.recordBegun(&LeaseRequest{WorkerRef: WorkerRef{Worker: "w"}, OrdersIndex: 5, Unstarted: report, ReportsStarts: true})
	if !d.isIdle(ref, run) {
		t.Error("a run that has not started must be idle")
	}
}
