package entry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/settings"
	"github.com/waxwinghaven/waxwinghaven/transport"
)

const (
	// watchReplicas is the interval at which the replica set is asked for.
	watchReplicas = 2 * time.Second
	watchTimeout  = time.Second
	// replyMargin is kept of a caller's time for the way back.
	replyMargin = 50 * time.Millisecond
	// patience is how long a call that was certainly not taken is tried: most
	// elections end within it, and past it the caller is told when to come
	// back.
	patience = 700 * time.Millisecond
)

// Jobs passes callers' jobs on to the control. It holds no state of its own
// that could be outdated: queues and jobs are looked up by the leader.
type Jobs struct {
	ctl    *control.Client
	answer atomic.Int64 // when a replica last answered, since started
	begun  time.Time
	order  answerOrder
}

// NewJobs returns a gateway that is not yet running.
func NewJobs(set *settings.Settings) (*Jobs, error) {
	tlsConfig, err := transport.LoadTLS(transport.KeysOf(set))
	if err != nil {
		return nil, err
	}
	rpc := transport.NewClient(tlsConfig, set.Instance.IP)
	ctl := control.NewClient(part, rpc, set.Contacts, rand.IntN(len(set.Contacts())))
	ctl.SetPatience(patience)
	return &Jobs{ctl: ctl, begun: time.Now()}, nil
}

// Run keeps the addresses of the control replicas up to date until the context
// ends.
func (j *Jobs) Run(ctx context.Context) error {
	tick := time.NewTicker(watchReplicas)
	defer tick.Stop()
	for {
		j.refresh()
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (j *Jobs) refresh() {
	var a control.ReplicasAnswer
	if err := j.ctl.Call(control.PathReplicas, watchTimeout, &control.Empty{}, &a); err != nil {
		refusal.Count(part, refusal.Unreachable)
		logrus.Warnf("entry: No control replica told of the others: %v.", err)
		return
	}
	j.ctl.Learn(a.Replicas)
	j.answer.Store(int64(time.Since(j.begun)))
}

// readyFor is how long after a replica's last answer an entry calls itself
// ready: two tries may fail.
const readyFor = 3 * watchReplicas

// Ready reports whether a control replica answered lately.
func (j *Jobs) Ready() bool {
	at := time.Duration(j.answer.Load())
	return at > 0 && time.Since(j.begun)-at < readyFor
}

// Submit hands a job in and returns once it is committed. After an error that is
// UnknownOutcome or Unreachable the job may have been taken; the same call may be
// made again, through any entry.
func (j *Jobs) Submit(host, path string, spec jobs.Spec, within time.Duration) error {
	if err := spec.Validate(); err != nil {
		return err
	}
	return j.ctl.Call(control.PathSubmitJob, within-replyMargin, &control.SubmitJob{Host: host, Path: path, Spec: spec}, nil)
}

// LookUp tells where a job stands, or how long a queue is.
func (j *Jobs) LookUp(host, path string, within time.Duration) (control.LookUpAnswer, error) {
	arrived := time.Now()
	var a control.LookUpAnswer
	err := j.ctl.Call(control.PathLookUp, within-replyMargin, &control.JobCall{Host: host, Path: path}, &a)
	version := a.Version
	if e, ok := refusal.Of(err); ok {
		version = e.Revision
	}
	if !j.order.admit(arrived, version) {
		logrus.WithFields(logrus.Fields{"job": path, "version": version, "held_ms": time.Since(arrived).Milliseconds()}).
			Info("entry: Withheld an answer: later calls were answered by an older version.")
		return control.LookUpAnswer{}, outdated()
	}
	return a, err
}

// askAgain is when a caller may come back whose answer was withheld: the leader answers
// again by then.
const askAgain = 50 * time.Millisecond

func outdated() error {
	e := refusal.New(refusal.NoQuorum, "ask again", "the configuration changed while the call was held")
	e.RetryAfter = refusal.Spread(askAgain)
	return e
}

// Cancel ends a job and returns once that is committed.
func (j *Jobs) Cancel(host, path string, within time.Duration) error {
	return j.ctl.Call(control.PathCancelJob, within-replyMargin, &control.JobCall{Host: host, Path: path}, nil)
}
