package control

import (
	"slices"
	"sync"
	"time"

	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/transport"
)

// Client calls the control replicas. It keeps to the replica that answered last and follows the
// leader that a replica names. It is safe for concurrent use.
type Client struct {
	part string
	rpc  *transport.Client
	// configured returns the addresses from the settings, learned are those of the replica set as
	// last reported. Both are kept: after a long network partition either list may be out of
	// date.
	configured  func() []string
	learned     []string
	preferred   []string             // for calls that any replica can answer, see Prefer
	failed      map[string]time.Time // when a replica last failed to answer
	retryLimit  time.Duration
	mu          sync.Mutex
	currentAddr string
	next        int
}

// NewClient returns a client whose counters are labelled with part. It calls configured whenever
// it needs the addresses, since settings may be reloaded, and begins with address number start.
func NewClient(part string, rpc *transport.Client, configured func() []string, start int) *Client {
	first := configured()
	return &Client{part: part, rpc: rpc, configured: configured, failed: make(map[string]time.Time), currentAddr: first[start%len(first)], next: start + 1}
}

// SetReplicas sets the addresses of the replica set, as reported by a replica.
func (c *Client) SetReplicas(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learned = append([]string(nil), addresses...)
}

// nextAddress returns the next address to try other than not: the learned ones, then the
// configured ones that are not among them. The caller holds the lock.
func (c *Client) nextAddress(not string) string {
	all := append([]string(nil), c.learned...)
	for _, a := range c.configured() {
		if !slices.Contains(all, a) {
			all = append(all, a)
		}
	}
	for range all {
		a := all[c.next%len(all)]
		c.next++
		if a != not {
			return a
		}
	}
	return not
}

// SetRetryLimit bounds how long refusals that certainly had no effect are retried, so that the
// caller gets a definite answer early and can retry itself. By default they are retried until the
// call's timeout.
func (c *Client) SetRetryLimit(d time.Duration) { c.retryLimit = d }

// Call sends a message until a replica answers it or the timeout has passed. It retries
// only refusals that another replica or a later try may resolve. A message may be applied twice
// and must be idempotent, as all of this package's are.
//
// The error covers all tries: if any of them may have taken effect, a later refusal does not turn
// the outcome into "no effect".
func (c *Client) Call(path string, timeout time.Duration, req, resp any) error {
	begun := time.Now()
	deadline := begun.Add(timeout)
	maybeTaken := false
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		addr := c.current()
		asked := time.Now()
		err := c.rpc.Call(addr, path, min(time.Until(deadline), callTimeout), req, resp)
		if err == nil {
			return nil
		}
		e, ok := refusal.Of(err)
		if !ok {
			return err
		}
		maybeTaken = maybeTaken || e.Code == refusal.Unreachable || e.Code == refusal.UnknownOutcome
		pastLimit := c.retryLimit > 0 && !maybeTaken && time.Since(begun) > c.retryLimit
		if !c.switchReplica(addr, asked, e) || time.Until(deadline) < minTry || pastLimit {
			return combinedOutcome(e, maybeTaken)
		}
		refusal.CountRetry(c.part, e.Code)
		time.Sleep(refusal.Jitter(pause))
	}
}

// combinedOutcome returns the outcome of several tries, of which e was the last.
func combinedOutcome(e *refusal.Error, maybeTaken bool) error {
	if maybeTaken && (e.Code == refusal.NotLeader || e.Code == refusal.NoQuorum || e.Code == refusal.SendFailed) {
		return refusal.New(refusal.UnknownOutcome, "send the same again", "an earlier try may have taken effect; the last one: %s", e.Message)
	}
	return e
}

const (
	// callTimeout bounds one try, so that a replica that is silently partitioned costs one try
	// and not the whole timeout. A commit takes 10 to 30 ms, or 400 ms on a disk that is thirty
	// times slower.
	callTimeout = 700 * time.Millisecond
	// The pause between tries doubles and is jittered, so that thousands of agents do not retry
	// in step during a leader election, which takes 0.5 to 1 s.
	minPause = 20 * time.Millisecond
	maxPause = 150 * time.Millisecond
	// minTry is the remaining time below which another try would only time out and hide the
	// reason of the last failure.
	minTry = 200 * time.Millisecond
)

func (c *Client) current() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.currentAddr
}

// switchReplica selects another replica after a refusal, and reports whether a retry can help.
func (c *Client) switchReplica(from string, asked time.Time, e *refusal.Error) bool {
	switch e.Code {
	case refusal.NotLeader, refusal.NoQuorum, refusal.Unreachable, refusal.SendFailed, refusal.UnknownOutcome:
	default:
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Code == refusal.Unreachable || e.Code == refusal.SendFailed {
		c.failed[from] = time.Now()
	}
	switch {
	case c.currentAddr != from: // a concurrent call has already switched
	case e.Code == refusal.NotLeader && e.Leader != "" && c.failed[e.Leader].Before(asked.Add(-e.SinceLeader)):
		// A replica keeps naming a partitioned leader until it notices the loss. A leader that it
		// heard from after the failure recorded here has recovered, or was only busy.
		c.currentAddr = e.Leader
	default:
		c.currentAddr = c.nextAddress(from)
	}
	return true
}
