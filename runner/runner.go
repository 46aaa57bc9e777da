package runner

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/ablation"
	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// part is the prefix of this package's log lines and the part label of its counters.
const part = "runner"

// Control is the interface to the control replicas that the runner uses. control.Client
// implements it.
type Control interface {
	Call(path string, timeout time.Duration, req, resp any) error
	CallAny(path string, timeout time.Duration, req, resp any) error
	SetReplicas(addresses []string)
	Prefer(addresses []string)
}

// Runner serves one incarnation of the worker after the other, as they announce themselves.
type Runner struct {
	agent  string // the instance's name
	ctl    Control
	worker Worker // records its answers in liveness
	// liveness tracks whether the incarnation that is served still exists.
	liveness *liveness
	// maxConfirmationAge is the greatest age of the control's confirmation that the data
	// centre is in service at which a run may be started.
	maxConfirmationAge time.Duration
	// without lists the mechanisms of the policy that are disabled.
	without ablation.Set

	// lastState is the state of the last incarnation that was reached, and crash its crash
	// until that is committed with the next registration. registered is the incarnation
	// registered last. Only Run and its session use them.
	lastState  sessionState
	crash      *jobs.Crash
	registered string
	lateLease  lateLease // guarded by mu
	// deregistered says that the control no longer knew the last session.
	deregistered bool

	tokens        tokens
	maxStartToken atomic.Uint64 // highest token that a start was sent with

	mu            sync.Mutex
	newest        *Announcement // of the incarnation that is, or is to be, served
	contradicting *Announcement // the last announcement that contradicted newest
	session       *session
	guards        []*session    // whose guards may still be running
	changed       chan struct{} // signalled when newest changes
}

// New returns a runner for the worker behind w. It starts nothing when the control's last
// confirmation that the data centre is in service is older than maxConfirmationAge.
func New(agent string, ctl Control, w Worker, maxConfirmationAge time.Duration) *Runner {
	c := &liveness{}
	return &Runner{agent: agent, maxConfirmationAge: maxConfirmationAge, ctl: ctl, worker: observedWorker{w, c}, liveness: c, without: ablation.Linked(), changed: make(chan struct{}, 1)}
}

// WorkerEnding handles a worker's announcement that it is ending.
func (r *Runner) WorkerEnding(worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.newest == nil || r.newest.Worker != worker {
		return
	}
	logrus.WithField("worker", worker).Info("runner: The worker announced that it is ending.")
	r.newest.Draining = true
	if r.session != nil {
		r.session.leave()
	}
}

// Newest returns the newest announcement of the incarnation that is, or is to be, served, an
// empty one if there is none.
func (r *Runner) Newest() Announcement {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.newest == nil {
		return Announcement{}
	}
	return *r.newest
}

func (r *Runner) signal() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// Run serves workers until the context ends. Running tasks continue under their lease, for the
// agent's next process to take over.
func (r *Runner) Run(ctx context.Context) error {
	for {
		a := r.next(ctx)
		if a == nil {
			return nil
		}
		r.liveness.track(a.Worker)
		s := newSession(ctx, r, *a)
		r.mu.Lock()
		r.session = s
		r.mu.Unlock()
		r.startGuard(ctx, s)
		again := s.run()
		r.saveState(s)
		r.mu.Lock()
		r.session = nil
		if !again && r.newest != nil && r.newest.Worker == a.Worker {
			r.newest = nil // a successor announces itself
		}
		r.mu.Unlock()
		if ctx.Err() != nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(sessionPause):
		}
	}
}

// sessionPause is the pause between sessions. It prevents a busy loop when sessions end
// immediately.
const sessionPause = 50 * time.Millisecond

// next waits for an announced worker. It returns nil when the context ends.
func (r *Runner) next(ctx context.Context) *Announcement {
	for {
		r.mu.Lock()
		a := r.newest
		r.mu.Unlock()
		if a != nil {
			return a
		}
		select {
		case <-ctx.Done():
			return nil
		case <-r.changed:
		}
	}
}

// newSessionID returns a random id for a session.
func newSessionID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

var (
	startSeconds       = metrics.NewHistogram(`waxwinghaven_run_start_seconds`)
	submitSeconds      = metrics.NewHistogram(`waxwinghaven_submit_to_start_seconds`)
	stepSeconds        = metrics.NewHistogram(`waxwinghaven_step_end_to_start_seconds`)
	endSeconds         = metrics.NewHistogram(`waxwinghaven_run_end_commit_seconds`)
	startsTotal        = metrics.NewCounter(`waxwinghaven_runs_started_total`)
	clockRegressions   = metrics.NewCounter(`waxwinghaven_worker_clock_falls_total`)
	endNumberConflicts = metrics.NewCounter(`waxwinghaven_ends_mistaken_total`)
	uncertainTotal     = metrics.NewCounter(`waxwinghaven_calls_unanswered_total{part="runner"}`)
)
