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
	mu       sync.Mutex
	at       string
	next     int
}

// NewClient returns a client for a process's part, which labels its counters.
// contacts is asked again at each need, since settings may be reloaded.
func NewClient(part string, rpc *transport.Client, contacts func() []string, start int) *Client {
	first := contacts()
	return &Client{part: part, rpc: rpc, contacts: contacts, at: first[start%len(first)], next: start + 1}
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

// Call sends a message until a replica answers it or the time is up. It sends
// again only what asks to be sent elsewhere or was certainly not taken; what
// may have been taken twice is up to the message to be idempotent, and all of
// this package's are.
func (c *Client) Call(path string, timeout time.Duration, req, resp any) error {
	deadline := time.Now().Add(timeout)
	for pause := firstPause; ; pause = min(2*pause, longestPause) {
		addr := c.current()
		err := c.rpc.Call(addr, path, min(time.Until(deadline), callTimeout), req, resp)
		if err == nil {
			return nil
		}
		e, ok := refusal.Of(err)
		if !ok || !c.moveOn(addr, e) || time.Until(deadline) < leastTry {
			return err
		}
		refusal.CountRetry(c.part, e.Code)
		time.Sleep(refusal.Spread(pause))
	}
}

const (
	// callTimeout bounds one try, so that a replica that is cut off silently
	// costs one try and not the whole time.
	callTimeout = 2 * time.Second
	// The pause between tries doubles and is spread, so that thousands of
	// agents do not fall on the replicas together while they elect a leader.
	firstPause   = 20 * time.Millisecond
	longestPause = 400 * time.Millisecond
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
func (c *Client) moveOn(from string, e *refusal.Error) bool {
	switch e.Code {
	case refusal.NotLeader, refusal.NoQuorum, refusal.Unreachable, refusal.UnknownOutcome:
	default:
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.at != from: // somebody else has moved on already
	case e.Code == refusal.NotLeader && e.Leader != "":
		c.at = e.Leader
	default:
		c.at = c.another(from)
	}
	return true
}
