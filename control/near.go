package control

import (
	"slices"
	"time"

	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// nearPause is how long a replica is passed over that could not answer a call for any: longer
// than a new leader needs until its followers are current.
const nearPause = 2 * time.Second

// Prefer takes over the replicas that calls for any of them go to, in order of preference,
// none for the leader.
func (c *Client) Prefer(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !slices.Equal(c.near, addresses) {
		c.near = slices.Clone(addresses)
	}
}

// CallAny sends a message that any replica may answer to the one that is preferred, and to the
// leader if that one can't answer now.
func (c *Client) CallAny(path string, timeout time.Duration, req, resp any) error {
	addr := c.nearest()
	if addr == "" {
		return c.Call(path, timeout, req, resp)
	}
	begun := time.Now()
	err := c.rpc.Call(addr, path, min(timeout, callTimeout), req, resp)
	if err == nil || !c.passOver(addr, err) {
		return err
	}
	return c.Call(path, timeout-time.Since(begun), req, resp)
}

// nearest returns the first of the preferred replicas that is not passed over, "" for none.
func (c *Client) nearest() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.near {
		if time.Since(c.failed[a]) > nearPause {
			return a
		}
	}
	return ""
}

// passOver reports whether another replica may answer where this one did not, and passes this
// one over for a while, unless it lacks only what was committed just now.
func (c *Client) passOver(addr string, err error) bool {
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
