package standin

import (
	"fmt"
	"sync"
	"time"

	"github.com/waxwinghaven/waxwinghaven/runner"
)

// Host is an address at which incarnations of a worker succeed one another. It implements
// runner.Worker as the address beside an agent does: while no incarnation is running, calls
// return runner.ErrClosed.
type Host struct {
	name         string
	restartDelay time.Duration // from a crash until the next incarnation starts
	milliCPU     int64         // initial capacity of an incarnation, 0 for no limit

	mu           sync.Mutex
	current      *Runs // nil between two incarnations
	incarnations []*Runs
	longestLease time.Duration // the longest lease that an incarnation accepts
	maxListed    int           // ends that an incarnation lists at a time
	admits       func(runner.StartCall) bool
	gangs        *Gangs
}

// NewHost returns a host whose first incarnation is running. After a crash the next one starts
// after restartDelay. milliCPU is the initial capacity of each incarnation in thousandths of a
// processor, 0 for no limit.
func NewHost(name string, restartDelay time.Duration, milliCPU int64) *Host {
	h := &Host{name: name, restartDelay: restartDelay, milliCPU: milliCPU, longestLease: defaultLongestLease, maxListed: defaultMaxListed}
	h.Replace()
	return h
}

// SetLongestLease sets the longest lease that the current incarnation and later ones accept.
func (h *Host) SetLongestLease(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.longestLease = d
	if h.current != nil {
		h.current.SetLongestLease(d)
	}
}

// SetMaxListed sets how many ends the current incarnation and later ones list at a time.
func (h *Host) SetMaxListed(ends int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.maxListed = ends
	if h.current != nil {
		h.current.SetMaxListed(ends)
	}
}

// SetGangs sets the gangs that the runs of the current incarnation and later ones belong to.
func (h *Host) SetGangs(g *Gangs) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gangs = g
	if h.current != nil {
		h.current.setGangs(g)
	}
}

// SetAdmission makes a function decide whether the ticket of a start call is valid, for the current
// incarnation and later ones.
func (h *Host) SetAdmission(f func(runner.StartCall) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.admits = f
	if h.current != nil {
		h.current.setAdmission(f)
	}
}

// Replace ends the current incarnation, if there is one, and starts the next.
func (h *Host) Replace() *Runs {
	h.mu.Lock()
	old := h.current
	r := NewRuns(fmt.Sprintf("%s-%d", h.name, len(h.incarnations)+1))
	r.OnCrash = func() { h.crashed(r) }
	r.SetLongestLease(h.longestLease)
	r.setAdmission(h.admits)
	r.setGangs(h.gangs)
	r.SetMaxListed(h.maxListed)
	if h.milliCPU > 0 {
		r.SetCapacity(h.milliCPU)
	}
	h.current = r
	h.incarnations = append(h.incarnations, r)
	h.mu.Unlock()
	if old != nil {
		old.Crash()
	}
	return r
}

// crashed schedules the start of the next incarnation, unless r has been replaced already.
func (h *Host) crashed(r *Runs) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current != r {
		return
	}
	h.current = nil
	time.AfterFunc(h.restartDelay, func() {
		if h.Current() == nil {
			h.Replace()
		}
	})
}

// Current returns the running incarnation, nil if there is none.
func (h *Host) Current() *Runs {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// Incarnations returns all incarnations so far, oldest first.
func (h *Host) Incarnations() []*Runs {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]*Runs(nil), h.incarnations...)
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
