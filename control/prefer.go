package control

import (
	"slices"
	"time"

	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// preferredPause is how long a replica that failed to answer is skipped: longer than the
// followers of a new leader need to become current.
const preferredPause = 2 * time.Second

// Prefer sets the replicas for CallAny, in order of preference; none stands for the leader.
func (c *Client) Prefer(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !slices.Equal(c.preferred, addresses) {
		c.preferred = slices.Clone(addresses)
	}
}

// CallAny sends a message that any replica can answer to the preferred one, and to the leader if
// that one cannot answer at the moment.
func (c *Client) CallAny(path string, timeout time.Duration, req, resp any) error {
	addr := c.firstPreferred()
	if addr == "" {
		return c.Call(path, timeout, req, resp)
	}
	begun := time.Now()
	err := c.rpc.Call(addr, path, min(timeout, callTimeout), req, resp)
	if err == nil || !c.skip(addr, err) {
		return err
	}
	return c.Call(path, timeout-time.Since(begun), req, resp)
}

// firstPreferred returns the first preferred replica that is not being skipped, "" for none.
func (c *Client) firstPreferred() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.preferred {
		if time.Since(c.failed[a]) > preferredPause {
			return a
		}
	}
	return ""
}

// skip reports whether another replica may be able to answer instead of this one. Unless this one
// only lags behind the latest commits, it is skipped for a while.
func (c *Client) skip(addr string, err error) bool {
	e, ok := refusal.Of(err)
	if !ok {
		return false
	}
	switch e.Code {
	case refusal.Behind:
	case refusal.NotLeader, refusal.NoQuorum, refusal.Unreachable, refusal.SendFailed:
		c.mu.Lock()
		c.failed[addr] = time.Now()
		c.mu.Unlock()
	default:
		return false
	}
	refusal.CountRetry(c.part, e.Code)
	return true
}
