package control

import (
	"slices"
	"sync"
	"time"

	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/transport"
)

// Client calls the control replicas. It remembers the one that answered last
// and follows a replica's word of who leads.
type Client struct {
	part string
	rpc  *transport.Client
	// contacts are the addresses from the settings, learned the replicas that
	// were heard of since. Both are kept: the contacts may be gone, and so may
	// everything that was learned, after a long cut.
	contacts func() []string
	learned  []string
	near     []string             // for calls that any replica may answer, see Prefer
	failed   map[string]time.Time // when a replica last did not answer
	patience time.Duration
	mu       sync.Mutex
	at       string
	next     int
}

// NewClient returns a client for a process's part, which labels its counters.
// contacts is asked again at each need, since settings may be reloaded.
func NewClient(part string, rpc *transport.Client, contacts func() []string, start int) *Client {
	first := contacts()
	return &Client{part: part, rpc: rpc, contacts: contacts, failed: make(map[string]time.Time), at: first[start%len(first)], next: start + 1}
}

// Learn takes over the addresses of the replica set, as a replica told them.
func (c *Client) Learn(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learned = append([]string(nil), addresses...)
}

// another returns the next address to try, learned ones before contacts that
// are not among them. The caller holds the lock.
func (c *Client) another(not string) string {
	all := append([]string(nil), c.learned...)
	for _, a := range c.contacts() {
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

// SetPatience bounds how long certain refusals are tried again: a caller that
// was certainly not served is better told so, to come back by itself, than held
// until its time is up. Without it they are tried until a call's time is up.
func (c *Client) SetPatience(d time.Duration) { c.patience = d }

// Call sends a message until a replica answers it or the time is up. It sends
// again only what asks to be sent elsewhere or was certainly not taken; what
// may have been taken twice is up to the message to be idempotent, and all of
// this package's are.
//
// The outcome of all tries together is returned: once a try may have been taken,
// a later replica's word that it takes nothing does not make it "not taken".
func (c *Client) Call(path string, timeout time.Duration, req, resp any) error {
	begun := time.Now()
	deadline := begun.Add(timeout)
	unsure := false
	for pause := firstPause; ; pause = min(2*pause, longestPause) {
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
		unsure = unsure || e.Code == refusal.Unreachable || e.Code == refusal.UnknownOutcome
		impatient := c.patience > 0 && !unsure && time.Since(begun) > c.patience
		if !c.moveOn(addr, asked, e) || time.Until(deadline) < leastTry || impatient {
			return together(e, unsure)
		}
		refusal.CountRetry(c.part, e.Code)
		time.Sleep(refusal.Spread(pause))
	}
}

// together returns the outcome of several tries of which e was the last.
func together(e *refusal.Error, unsure bool) error {
	if unsure && (e.Code == refusal.NotLeader || e.Code == refusal.NoQuorum || e.Code == refusal.SendFailed) {
		return refusal.New(refusal.UnknownOutcome, "send the same again", "an earlier try may have been taken; the last one: %s", e.Message)
	}
	return e
}

const (
	// callTimeout bounds one try, so that a replica that is cut off silently
	// costs one try and not the whole time. A commit takes 10 to 30 ms, 400
	// where a disk is thirty times slower.
	callTimeout = 700 * time.Millisecond
	// The pause between tries doubles and is spread, so that thousands of
	// agents do not fall on the replicas together while they elect a leader.
	// An election takes half a second to a whole one.
	firstPause   = 20 * time.Millisecond
	longestPause = 150 * time.Millisecond
	// leastTry is the time below which another try would only time out and
	// hide the reason of the last one.
	leastTry = 200 * time.Millisecond
)

func (c *Client) current() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at
}

// moveOn chooses another replica after a refusal, and reports whether asking
// again can help.
func (c *Client) moveOn(from string, asked time.Time, e *refusal.Error) bool {
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
	case c.at != from: // somebody else has moved on already
	case e.Code == refusal.NotLeader && e.Leader != "" && c.failed[e.Leader].Before(asked.Add(-e.LeaderHeard)):
		// Word of a leader that was cut off lasts until the others notice. One that
		// was heard since it failed this client has come up, or was busy.
		c.at = e.Leader
	default:
		c.at = c.another(from)
	}
	return true
}
