package runner

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

// Announcement is a worker's heartbeat.
type Announcement struct {
	Worker     string // incarnation
	Service    string
	DataCentre string
	Labels     []string
	Rack       string // one of the labels, "" if it is not known
	Capacity   resource.Vector
	Draining   bool
	// UniqueID says that no other start of the worker has its id, so that a call meant for
	// another start never reaches this one.
	UniqueID bool
	// Sequence increases with each heartbeat of an incarnation.
	Sequence uint64
}

// Validate reports why an announcement cannot be used, nil if it can.
func (a *Announcement) Validate() error {
	if a.Worker == "" || a.Service == "" {
		return errors.New("the announcement names no worker or service")
	}
	if a.Capacity.Negative() {
		return errors.New("the announcement has a negative capacity")
	}
	return nil
}

// ErrStale is returned for an announcement of an older incarnation, or for one that is older
// than the newest known.
var ErrStale = errors.New("a newer announcement is known")

// ErrOtherIncarnation is returned for the announcement of an incarnation that is not at the
// worker's address.
var ErrOtherIncarnation = errors.New("another incarnation stands at the worker's address")

// ErrContradictory is returned for an announcement that contradicts the newest one. It is accepted
// once the next announcement agrees with it.
var ErrContradictory = errors.New("the announcement contradicts an earlier one; send the next")

// maxSequenceGap is the largest plausible difference in sequence between two successive
// heartbeats, or between a delayed heartbeat and the newest one. With a heartbeat every 1.5 s
// it covers two and a half minutes, longer than a network partition delays a call.
const maxSequenceGap = 100

// relation tells how an announcement relates to another one of the same incarnation.
type relation uint8

const (
	follows relation = iota
	isStale
	// contradicts means that the worker cannot have sent both: an incarnation belongs to one
	// service, and its sequence increases in small steps.
	contradicts
)

func (a *Announcement) relationTo(old *Announcement) relation {
	switch {
	case a.Service != old.Service:
		return contradicts
	case a.Sequence <= old.Sequence && old.Sequence-a.Sequence <= maxSequenceGap:
		return isStale
	case a.Sequence > old.Sequence && a.Sequence-old.Sequence <= maxSequenceGap:
		return follows
	}
	return contradicts
}

// Announce handles a heartbeat. When it returns nil and the worker drains, no further run is
// started on it.
//
// A process other than the worker may send heartbeats under the worker's id. A single such
// heartbeat must not make the worker's own ones stale, by a sequence that they will not reach
// for days, nor move the worker to another service. A heartbeat that contradicts the newest
// one is therefore accepted only when the next one agrees with it.
func (r *Runner) Announce(a Announcement) error {
	if err := a.Validate(); err != nil {
		return err
	}
	r.mu.Lock()
	old := r.newest
	if old == nil || old.Worker != a.Worker {
		r.mu.Unlock()
		return r.announceNewIncarnation(a, old)
	}
	relation := a.relationTo(old)
	if relation == contradicts && !r.confirmed(&a) {
		r.mu.Unlock()
		return ErrContradictory
	}
	if relation == isStale {
		r.mu.Unlock()
		return ErrStale
	}
	a.Draining = a.Draining || (old.Draining && relation == follows)
	changed := a.Draining != old.Draining || a.Capacity != old.Capacity || a.Service != old.Service
	r.newest, r.contradicting = &a, nil
	s := r.session
	r.mu.Unlock()
	if changed && s != nil {
		s.announce(a)
	}
	return nil
}

// confirmed reports whether the last contradicting heartbeat agrees with this one. The caller
// holds the lock.
func (r *Runner) confirmed(a *Announcement) bool {
	last := r.contradicting
	r.contradicting = a
	return last != nil && last.Worker == a.Worker && a.relationTo(last) == follows
}

// announceNewIncarnation handles the heartbeat of an incarnation other than the one served.
func (r *Runner) announceNewIncarnation(a Announcement, old *Announcement) error {
	if old != nil && !r.answersAs(a.Worker) {
		return ErrStale
	}
	if old != nil {
		r.fenceEarly(a.Worker)
	}
	if old == nil && r.answersAsOther(a.Worker) {
		return ErrOtherIncarnation
	}
	r.mu.Lock()
	if r.newest == old || r.newest == nil { // the previous session may have ended meanwhile
		r.newest, r.contradicting = &a, nil
	}
	s := r.session
	r.mu.Unlock()
	if old != nil {
		r.liveness.markReplaced(old.Worker, time.Now())
	}
	logrus.WithFields(logrus.Fields{"worker": a.Worker, "service": a.Service, "draining": a.Draining}).Info("runner: A worker announced itself.")
	if s != nil {
		s.end("another incarnation announced itself")
	}
	r.signal()
	return nil
}

// answersAs reports whether the worker answers as the given incarnation. A heartbeat delayed
// by a network partition may come from an incarnation that has crashed since; accepting it
// would make the control treat the newer incarnation's runs as ended while they continue.
func (r *Runner) answersAs(worker string) bool {
	reply, err := r.worker.Hold(HoldCall{Target: Target{worker, r.tokens.current()}})
	return err == nil && reply.Verdict != VerdictOtherIncarnation
}

// answersAsOther reports whether the worker answers as another incarnation. An announced
// worker that does not answer is accepted: it may still be starting.
func (r *Runner) answersAsOther(worker string) bool {
	reply, err := r.worker.Hold(HoldCall{Target: Target{worker, r.tokens.current()}})
	return err == nil && reply.Verdict == VerdictOtherIncarnation
}
