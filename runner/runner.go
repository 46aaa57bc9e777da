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

// part prefixes this part's log lines and labels its counters.
const part = "runner"

// Control is what the runner asks of the control replicas. control.Client
// implements it.
type Control interface {
	Call(path string, timeout time.Duration, req, resp any) error
	CallAny(path string, timeout time.Duration, req, resp any) error
	Learn(addresses []string)
	Prefer(addresses []string)
}

// Runner serves one worker after the other, as they announce themselves.
type Runner struct {
	agent  string // the instance's name
	ctl    Control
	worker Worker // whose answers contact notes
	// contact tells whether the incarnation that is served is still there.
	contact *contact
	// startWord is how old the control's word that the data centre is in service may be
	// for a run to be started by it.
	startWord time.Duration
	// without are the mechanisms of the policy that are left out.
	without ablation.Set

	// left is what the last incarnation that was reached left, and crash its crash until
	// that is committed with the next one's registration; registered is the last one that
	// was. Only Run and its session use them.
	left       remains
	crash      *jobs.Crash
	registered string
	lent       lent // guarded by mu
	// disowned says that the control didn't know the last session any more.
	disowned bool

	tokens  tokens
	started atomic.Uint64 // highest token that a start was sent with

	mu      sync.Mutex
	newest  *Announcement // of the incarnation that is served or to be served
	doubted *Announcement // the last one that contradicted newest
	session *session
	guards  []*session    // whose guards may still be at work
	changed chan struct{} // signalled when newest changes
}

// New returns a runner for the worker behind w. It starts nothing by a word of the control
// that is older than startWord.
func New(agent string, ctl Control, w Worker, startWord time.Duration) *Runner {
	c := &contact{}
	return &Runner{agent: agent, startWord: startWord, ctl: ctl, worker: observed{w, c}, contact: c, without: ablation.Linked(), changed: make(chan struct{}, 1)}
}

// Left takes in a worker's word that it ends.
func (r *Runner) Left(worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.newest == nil || r.newest.Worker != worker {
		return
	}
	logrus.WithField("worker", worker).Info("runner: The worker left.")
	r.newest.Draining = true
	if r.session != nil {
		r.session.leave()
	}
}

// Newest returns the newest announcement of the worker that is served or is to be served,
// an empty one for none.
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

// Run serves workers until the context ends. What runs then goes on under its
// lease, for the agent's next life to take over.
func (r *Runner) Run(ctx context.Context) error {
	for {
		a := r.next(ctx)
		if a == nil {
			return nil
		}
		r.contact.follow(a.Worker)
		s := newSession(ctx, r, *a)
		r.mu.Lock()
		r.session = s
		r.mu.Unlock()
		r.setGuard(ctx, s)
		again := s.run()
		r.keep(s)
		r.mu.Lock()
		r.session = nil
		if !again && r.newest != nil && r.newest.Worker == a.Worker {
			r.newest = nil // gone; the next one announces itself
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

// sessionPause keeps a session that ends at once from being begun anew without
// a break.
const sessionPause = 50 * time.Millisecond

// next waits for an announced worker.
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

// newLife returns a name for one session, which nothing else ever bears.
func newLife() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

var (
	startSeconds   = metrics.NewHistogram(`waxwinghaven_run_start_seconds`)
	submitSeconds  = metrics.NewHistogram(`waxwinghaven_submit_to_start_seconds`)
	stepSeconds    = metrics.NewHistogram(`waxwinghaven_step_end_to_start_seconds`)
	endSeconds     = metrics.NewHistogram(`waxwinghaven_run_end_commit_seconds`)
	startsTotal    = metrics.NewCounter(`waxwinghaven_runs_started_total`)
	clockFalls     = metrics.NewCounter(`waxwinghaven_worker_clock_falls_total`)
	endsMistaken   = metrics.NewCounter(`waxwinghaven_ends_mistaken_total`)
	uncertainTotal = metrics.NewCounter(`waxwinghaven_calls_unanswered_total{part="runner"}`)
)
