package entry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/queues"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/settings"
	"github.com/waxwinghaven/waxwinghaven/transport"
)

const (
	// watchReplicas is the interval at which the replica set and the limits of the configuration are
	// fetched. A configuration has to be in force within 2 s.
	watchReplicas = 1500 * time.Millisecond
	watchTimeout  = time.Second
	// replyMargin is reserved from a caller's time-out for sending the answer.
	replyMargin = 50 * time.Millisecond
	// retryFor is how long a call that was certainly not accepted is retried. Most
	// elections end within it; after it the caller gets an error with a retry time.
	retryFor = 700 * time.Millisecond
)

// Jobs is the gateway that forwards callers' jobs to the control. It caches no queues or jobs
// that could be outdated: the leader looks them up. It is safe for concurrent use.
type Jobs struct {
	ctl        *control.Client
	lastAnswer atomic.Int64 // when a replica last answered, nanoseconds since started
	started    time.Time
	order      answerOrder
	// OnLimits is called with the limits of the configuration, each time that a replica has told them.
	OnLimits      func(queues.Limits)
	limitsVersion uint64 // of the limits that were told last; used by Run only
}

// NewJobs returns a gateway that is not running yet.
func NewJobs(set *settings.Settings) (*Jobs, error) {
	tlsConfig, err := transport.LoadTLS(transport.KeysOf(set))
	if err != nil {
		return nil, err
	}
	rpc := transport.NewClient(tlsConfig, set.Instance.IP)
	ctl := control.NewClient(part, rpc, set.ControlAddresses, rand.IntN(len(set.ControlAddresses())))
	ctl.SetRetryLimit(retryFor)
	return &Jobs{ctl: ctl, started: time.Now()}, nil
}

// Run keeps the addresses of the control replicas up to date until ctx ends.
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
		logrus.Warnf("entry: Could not fetch the control replicas: %v.", err)
		return
	}
	j.ctl.SetReplicas(a.Replicas)
	// A replica that is behind tells those of an older version.
	if a.Limits != nil && a.Version >= j.limitsVersion && j.OnLimits != nil {
		j.limitsVersion = a.Version
		j.OnLimits(*a.Limits)
	}
	j.lastAnswer.Store(int64(time.Since(j.started)))
}

// readyFor is how long the gateway is ready after a replica's last answer. Three fetches in
// succession may fail.
const readyFor = 4 * watchReplicas

// Ready reports whether a control replica has answered recently.
func (j *Jobs) Ready() bool {
	at := time.Duration(j.lastAnswer.Load())
	return at > 0 && time.Since(j.started)-at < readyFor
}

// Submit submits a job and returns once it is committed. After the error UnknownOutcome or
// Unreachable the job may have been accepted; the same call may be repeated through any entry.
// The call takes at most the time within.
func (j *Jobs) Submit(host, path string, spec jobs.Spec, within time.Duration) error {
	return j.SubmitWhile(func() bool { return true }, host, path, spec, within)
}

// SubmitWhile is like Submit, but hands the job in only while waiting returns true. A process that
// was suspended finds calls in its sockets whose callers have long given up, and may have cancelled
// the job elsewhere.
func (j *Jobs) SubmitWhile(waiting func() bool, host, path string, spec jobs.Spec, within time.Duration) error {
	if err := spec.Validate(); err != nil {
		return err
	}
	c := &control.SubmitJob{Host: host, Path: path, Spec: spec}
	return j.ctl.CallWhile(waiting, control.PathSubmitJob, within-replyMargin, c, &control.Acknowledged{})
}

// LookUp returns the state of a job or the length of a queue. If the configuration version of the
// answer contradicts the answers to earlier or later calls (see answerOrder), the answer is
// withheld and the error is NoQuorum with a retry time.
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
			Info("entry: Withheld an answer: its version contradicts answers to other calls.")
		return control.LookUpAnswer{}, errWithheld()
	}
	return a, err
}

// withheldRetryAfter is the retry time for a caller whose answer was withheld. The leader answers
// calls again by then.
const withheldRetryAfter = 50 * time.Millisecond

func errWithheld() error {
	e := refusal.New(refusal.NoQuorum, "ask again", "the configuration changed while the call was waiting")
	e.RetryAfter = refusal.Jitter(withheldRetryAfter)
	return e
}

// Cancel cancels a job and returns once that is committed.
func (j *Jobs) Cancel(host, path string, within time.Duration) error {
	c := &control.CancelJob{JobCall: control.JobCall{Host: host, Path: path}}
	return j.ctl.Call(control.PathCancelJob, within-replyMargin, c, &control.Acknowledged{})
}
