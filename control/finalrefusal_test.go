package control

import (
	"testing"

	"github.com/waxwinghaven/waxwinghaven/queues"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/transport"
)

// delayedJob is a job whose first message is still on its way, with the stamp that its sender had
// received when it sent the message.
type delayedJob struct {
	r       *Replica
	job     SubmitJob
	delayed SubmitJob
}

func delayJob(c *cluster, job SubmitJob) *delayedJob {
	r := c.replicas[c.leader()]
	c.wait("a stamp", func() bool { return r.dispatcher.stamp() != nil })
	x := &delayedJob{r, job, job}
	x.delayed.Seen = r.dispatcher.stamp()
	return x
}

// try sends the job again, with the newest stamp.
func (x *delayedJob) try() error {
	again := x.job
	again.Seen = x.r.dispatcher.stamp()
	_, err := x.r.onSubmitJob(again)
	return err
}

// arrive lets the delayed message arrive.
func (x *delayedJob) arrive() error {
	_, err := x.r.onSubmitJob(x.delayed)
	return err
}

func wantFinal(t *testing.T, err error, code refusal.Code) {
	t.Helper()
	if e, ok := refusal.Of(err); !ok || e.Code != code || !e.Final {
		t.Errorf("want a final refusal %q, got %+v", code, err)
	}
}

func wantStale(t *testing.T, err error) {
	t.Helper()
	if !refusal.Is(err, refusal.Stale) {
		t.Errorf("a message from before the refusal is taken: %v", err)
	}
}

// Guards against a job that runs although its caller was told that it was refused for lack of room:
// an earlier message about it arrives when there is room.
func TestDelayedMessageOfARefusedJobIsNotTaken(t *testing.T) {
	c := newCluster(t)
	c.prepareJobs(4)
	x := delayJob(c, standingJob("00000000000000bb", 3))
	full := standingJob("00000000000000aa", 3)
	if _, err := x.r.onSubmitJob(full); err != nil {
		t.Fatal(err)
	}
	wantFinal(t, x.try(), refusal.Overloaded)
	if _, err := x.r.onRegister(Registration{Worker: testWorker("w2", "b", "1")}); err != nil {
		t.Fatal(err) // there is room now
	}
	wantStale(t, x.arrive())
	if x.r.dispatcher.hasJob(x.job.Host, x.job.Path) {
		t.Error("the refused job was accepted")
	}
	if err := x.try(); err != nil {
		t.Errorf("the same job, handed in again when there is room: %v", err)
	}
}

// Guards against a job that runs although its caller was told that no such queue exists: an earlier
// message about it arrives after the queue was added.
func TestDelayedMessageIsNotTakenOnceItsQueueExists(t *testing.T) {
	c := newCluster(t)
	c.prepareJobs(4)
	without := watchQueues
	without.Version, without.Queues = watchQueues.Version+1, []queues.Queue{{Name: "other", Host: "b.example", Prefix: "/x/", Service: "vault", TimeoutMS: 1000}}
	x := delayJob(c, standingJob("00000000000000bb", 3))
	if _, err := x.r.PutConfig(PutConfig{Config: without}); err != nil {
		t.Fatal(err)
	}
	wantFinal(t, x.try(), refusal.NoRoute)
	with := watchQueues
	with.Version = without.Version + 1
	if _, err := x.r.PutConfig(PutConfig{Config: with}); err != nil {
		t.Fatal(err)
	}
	wantStale(t, x.arrive())
	if err := x.try(); err != nil {
		t.Errorf("the same job, handed in again: %v", err)
	}
}

// acceptInRemovedQueue returns a job that was accepted, and whose queue was removed since.
func acceptInRemovedQueue(t *testing.T) *delayedJob {
	t.Helper()
	c := newCluster(t)
	c.prepareJobs(4)
	x := delayJob(c, standingJob("00000000000000bb", 3))
	if err := x.arrive(); err != nil {
		t.Fatal(err)
	}
	without := watchQueues
	without.Version, without.Queues = watchQueues.Version+1, nil
	if _, err := x.r.PutConfig(PutConfig{Config: without}); err != nil {
		t.Fatal(err)
	}
	return x
}

// Guards against a caller that is told that its queue does not exist while its job, accepted before
// the queue was removed, may run.
func TestAcceptedJobOfARemovedQueueIsNotRefused(t *testing.T) {
	x := acceptInRemovedQueue(t)
	if err := x.try(); !refusal.Is(err, refusal.Accepted) {
		t.Errorf("the job that was accepted, handed in again: %v", err)
	}
}

// Guards against a caller that waits in vain for the answer to the cancellation of a job whose queue was
// removed: sent again, it finds the same.
func TestCancellationInARemovedQueueIsAnswered(t *testing.T) {
	x := acceptInRemovedQueue(t)
	_, err := x.r.onCancelJob(CancelJob{JobCall{x.job.Host, x.job.Path}, x.r.dispatcher.stamp()})
	if e, ok := refusal.Of(err); !ok || e.Code != refusal.NoRoute || e.Final {
		t.Errorf("got %+v", err)
	}
}

// Guards against a job that runs after its caller was told that there is none to cancel: its
// submission was still on its way.
func TestDelayedMessageOfACancelledJobIsNotTaken(t *testing.T) {
	c := newCluster(t)
	c.prepareJobs(4)
	x := delayJob(c, standingJob("00000000000000bb", 3))
	cancel := CancelJob{JobCall{x.job.Host, x.job.Path}, x.r.dispatcher.stamp()}
	delayedCancel := cancel
	_, err := x.r.onCancelJob(cancel)
	wantFinal(t, err, refusal.NotFound)
	wantStale(t, x.arrive())
	if err := x.try(); err != nil {
		t.Errorf("the same job, handed in again: %v", err)
	}
	_, err = x.r.onCancelJob(delayedCancel)
	wantStale(t, err) // it would cancel the job that was handed in since
}

// Guards against a refusal while an earlier submission of the job may yet be committed, because its
// commit had not been confirmed in time.
func TestJobWhoseCommitIsUncertainIsNotRefused(t *testing.T) {
	inSite(t, func(t *testing.T, x *site) {
		x.submit(standingJob("00000000000000aa", 12))
		c := standingJob("0000000000000001", 10)
		if _, err := x.d.begin(&c); err != nil {
			t.Fatal(err)
		}
		unknown := refusal.New(refusal.UnknownOutcome, "", "not committed in time")
		if err := x.d.conclude(&c, nil, unknown); !refusal.Is(err, refusal.UnknownOutcome) {
			t.Fatal(err)
		}
		if x.submit(c) != 0 {
			t.Error("the same job is refused")
		}
		if other := standingJob("0000000000000002", 10); x.submit(other) == 0 {
			t.Error("another job that has no room is accepted")
		}
	})
}

// Guards against replicas and entries of two versions that don't understand each other's messages.
func TestMessagesOfEarlierVersionsAreUnderstood(t *testing.T) {
	type oldCall struct {
		Host string `msgpack:"h"`
		Path string `msgpack:"p"`
	}
	for _, pair := range [][2]any{
		{&oldCall{"h", "p"}, &CancelJob{}},
		{&CancelJob{JobCall{"h", "p"}, &refusal.Stamp{Term: 3, Tick: 4}}, &JobCall{}},
		{&Empty{}, &Acknowledged{}},
		{&Acknowledged{&refusal.Stamp{Term: 3}}, &Empty{}},
	} {
		b, err := transport.Encode(pair[0])
		if err == nil {
			err = transport.Decode(b, pair[1])
		}
		if err != nil {
			t.Errorf("%T read as %T: %v", pair[0], pair[1], err)
		}
		switch got := pair[1].(type) {
		case *CancelJob:
			if got.JobCall != (JobCall{"h", "p"}) || got.Seen != nil {
				t.Errorf("read %+v", got)
			}
		case *JobCall:
			if *got != (JobCall{"h", "p"}) {
				t.Errorf("read %+v", got)
			}
		}
	}
}
