package control

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
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
	seen        refusal.Stamp // the newest that was received
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
	return c.CallWhile(func() bool { return true }, path, timeout, req, resp)
}

// CallWhile is like Call, but makes a try only while wanted returns true: what nobody waits for any
// more must not take effect late.
func (c *Client) CallWhile(wanted func() bool, path string, timeout time.Duration, req, resp any) error {
	begun := time.Now()
	deadline := begun.Add(timeout)
	maybeTaken, stale := false, false
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		if !wanted() {
			return c.outcome(path, refusal.New(refusal.CallerGone, "", "the caller no longer waits"), maybeTaken)
		}
		addr := c.current()
		asked := time.Now()
		c.addSeen(req)
		err := c.rpc.Call(addr, path, min(time.Until(deadline), callTimeout), req, resp)
		if err == nil {
			c.observeAnswer(resp)
			return nil
		}
		e, ok := refusal.Of(err)
		if !ok {
			return err
		}
		c.observe(e.Stamp)
		maybeTaken = maybeTaken || e.Code == refusal.Unreachable || e.Code == refusal.UnknownOutcome
		pastLimit := c.retryLimit > 0 && !maybeTaken && time.Since(begun) > c.retryLimit
		if !c.switchReplica(addr, asked, e) || time.Until(deadline) < minTry || pastLimit {
			return c.outcome(path, e, maybeTaken)
		}
		refusal.CountRetry(c.part, e.Code)
		if e.Code == refusal.Stale && !stale {
			stale = true
			continue // the answer has brought the stamp that was missing
		}
		time.Sleep(refusal.Jitter(pause))
	}
}

// outcome returns and counts the outcome of a call.
func (c *Client) outcome(path string, e *refusal.Error, maybeTaken bool) error {
	all := combinedOutcome(path, e, maybeTaken)
	if all.Code == refusal.UnknownOutcome {
		metrics.GetOrCreateCounter(fmt.Sprintf(`waxwinghaven_outcomes_unknown_total{part=%q}`, c.part)).Inc()
	}
	return all
}

// combinedOutcome returns the outcome of several tries of a call, of which e was the last. A refusal
// says that its own try had no effect. It says nothing about earlier tries that may have taken effect
// or are still on their way, unless the leader says that it does.
func combinedOutcome(path string, e *refusal.Error, maybeTaken bool) *refusal.Error {
	if !maybeTaken || e.Final || e.Code == refusal.Unreachable || concernsSender(e.Code) || changesNothing(path) {
		return e
	}
	return refusal.New(refusal.UnknownOutcome, "send the same again", "an earlier try may have taken effect; the last one: %s", e.Message)
}

// concernsSender reports whether a refusal is a verdict on the sender or on its key, which holds
// whatever became of its earlier tries: a session that is not registered stays so, a service is
// unknown to the configuration, and a record under the key is another request's.
func concernsSender(code refusal.Code) bool {
	switch code {
	case refusal.NotRegistered, refusal.UnknownService, refusal.KeyMismatch, refusal.KeyExpired:
		return true
	}
	return false
}

// changesNothing reports whether the calls of a path only read: each answer is true by itself.
func changesNothing(path string) bool {
	switch path {
	case PathLookUp, PathOrders, PathReplicas, PathSync, PathGetConfig, PathGetWave, PathGetDataCentre:
		return true
	}
	return false
}

// stampedRequest is a message that carries the newest stamp that its sender has received, and
// stampedAnswer an answer that carries its own, see messageOrder.
type (
	stampedRequest interface{ setSeen(*refusal.Stamp) }
	stampedAnswer  interface{ stamp() *refusal.Stamp }
)

// addSeen adds the newest received stamp to a message, a zero one if there is none.
func (c *Client) addSeen(req any) {
	r, ok := req.(stampedRequest)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := c.seen
	r.setSeen(&seen)
}

func (c *Client) observeAnswer(resp any) {
	if a, ok := resp.(stampedAnswer); ok {
		c.observe(a.stamp())
	}
}

// observe keeps the newest stamp, which may be nil.
func (c *Client) observe(s *refusal.Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s != nil && s.After(&c.seen) {
		c.seen = *s
	}
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

// switchReplica selects another replica after a refusal if that can help, and reports whether a retry
// can.
func (c *Client) switchReplica(from string, asked time.Time, e *refusal.Error) bool {
	switch e.Code {
	case refusal.NotLeader, refusal.NoQuorum, refusal.Unreachable, refusal.SendFailed, refusal.UnknownOutcome, refusal.Stale:
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
	case e.Code == refusal.Stale && e.Stamp != nil && e.Stamp.Term >= c.seen.Term:
		// The same replica takes the message with the stamp that it sent. With a lower term it leads no
		// longer, and does not know that yet.
	case e.Code == refusal.NotLeader && e.Leader != "" && c.failed[e.Leader].Before(asked.Add(-e.SinceLeader)):
		// A replica keeps naming a partitioned leader until it notices the loss. A leader that it
		// heard from after the failure recorded here has recovered, or was only busy.
		c.currentAddr = e.Leader
	default:
		c.currentAddr = c.nextAddress(from)
	}
	return true
}
