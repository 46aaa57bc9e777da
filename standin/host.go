package standin

import (
	"fmt"
	"sync"
	"time"

	"github.com/waxwinghaven/waxwinghaven/runner"
)

// Host is the place where one incarnation of a worker stands after the other. It
// implements runner.Worker as the address beside an agent does: calls are closed while
// nobody stands there.
type Host struct {
	name string
	back time.Duration // from a crash until the next incarnation stands there
	room int64         // of each incarnation at first, in thousandths of a processor, 0 for no bound

	mu      sync.Mutex
	now     *Runs // nil while nobody stands there
	lives   []*Runs
	longest time.Duration // the longest lease that each incarnation takes
}

// NewHost returns a host on which an incarnation stands already.
func NewHost(name string, back time.Duration, room int64) *Host {
	h := &Host{name: name, back: back, room: room, longest: longestLease}
	h.Replace()
	return h
}

// SetLongestLease changes the longest lease that the present incarnation and later ones take.
func (h *Host) SetLongestLease(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.longest = d
	if h.now != nil {
		h.now.SetLongestLease(d)
	}
}

// Replace ends the present incarnation, if there is one, and begins the next.
func (h *Host) Replace() *Runs {
	h.mu.Lock()
	old := h.now
	r := NewRuns(fmt.Sprintf("%s-%d", h.name, len(h.lives)+1))
	r.OnCrash = func() { h.crashed(r) }
	r.SetLongestLease(h.longest)
	if h.room > 0 {
		r.SetRoom(h.room)
	}
	h.now = r
	h.lives = append(h.lives, r)
	h.mu.Unlock()
	if old != nil {
		old.Crash()
	}
	return r
}

// crashed lets the next incarnation come after a while, unless one has.
func (h *Host) crashed(r *Runs) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.now != r {
		return
	}
	h.now = nil
	time.AfterFunc(h.back, func() {
		if h.Current() == nil {
			h.Replace()
		}
	})
}

// Current returns the incarnation that stands there, nil for none.
func (h *Host) Current() *Runs {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.now
}

// Lives returns all incarnations so far, oldest first.
func (h *Host) Lives() []*Runs {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]*Runs(nil), h.lives...)
}

// Start implements runner.Worker.
func (h *Host) Start(c runner.StartCall) (runner.Reply, error) {
	if r := h.Current(); r != nil {
		return r.Start(c)
	}
	return runner.Reply{}, runner.ErrClosed
}

// Stop implements runner.Worker.
func (h *Host) Stop(c runner.StopCall) (runner.Reply, error) {
	if r := h.Current(); r != nil {
		return r.Stop(c)
	}
	return runner.Reply{}, runner.ErrClosed
}

// Pace implements runner.Worker.
func (h *Host) Pace(c runner.PaceCall) (runner.Reply, error) {
	if r := h.Current(); r != nil {
		return r.Pace(c)
	}
	return runner.Reply{}, runner.ErrClosed
}

// Hold implements runner.Worker.
func (h *Host) Hold(c runner.HoldCall) (runner.HoldReply, error) {
	if r := h.Current(); r != nil {
		return r.Hold(c)
	}
	return runner.HoldReply{}, runner.ErrClosed
}
