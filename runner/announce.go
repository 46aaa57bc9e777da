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
	// OwnID says that no other start of the worker bears its id, so that no call for another
	// start reaches this one.
	OwnID bool
	// Sequence rises with each heartbeat of an incarnation.
	Sequence uint64
}

// Validate reports what makes an announcement unusable.
func (a *Announcement) Validate() error {
	if a.Worker == "" || a.Service == "" {
		return errors.New("the announcement names no worker or service")
	}
	if a.Capacity.Negative() {
		return errors.New("the announcement has a negative capacity")
	}
	return nil
}

// ErrStale is returned for an announcement that an older incarnation or an
// earlier moment sent.
var ErrStale = errors.New("a newer announcement is known")

// ErrNotThere is returned for the announcement of an incarnation that does not stand
// at the worker's address.
var ErrNotThere = errors.New("another incarnation stands at the worker's address")

// ErrDoubted is returned for an announcement that the one before contradicts. It counts
// once the next one agrees with it.
var ErrDoubted = errors.New("the announcement contradicts an earlier one; send the next")

// maxApart is how many heartbeats lie at most between two that follow each other, or
// between one that was held up and the newest: two and a half minutes of a heartbeat
// every 1.5 s, longer than a cut holds a call up.
const maxApart = 100

// relation is what an announcement is to another one of the same incarnation.
type relation uint8

const (
	follows relation = iota
	isStale
	// contradicts means that not both can be the worker's own: a worker is in one
	// service all its life, and its numbers rise a little at a time.
	contradicts
)

func (a *Announcement) relationTo(old *Announcement) relation {
	switch {
	case a.Service != old.Service:
		return contradicts
	case a.Sequence <= old.Sequence && old.Sequence-a.Sequence <= maxApart:
		return isStale
	case a.Sequence > old.Sequence && a.Sequence-old.Sequence <= maxApart:
		return follows
	}
	return contradicts
}

// Announce takes in a heartbeat. When it returns nil and the worker drains, no
// run is started on it any more.
//
// Something else than the worker may write here. One strange heartbeat under the
// worker's own name must not silence the true ones behind it, with a number that they
// won't reach for days, nor move the worker to another service. So a heartbeat that
// contradicts the newest counts only when the next agrees with it.
func (r *Runner) Announce(a Announcement) error {
	if err := a.Validate(); err != nil {
		return err
	}
	r.mu.Lock()
	old := r.newest
	if old == nil || old.Worker != a.Worker {
		r.mu.Unlock()
		return r.announceAnother(a, old)
	}
	relation := a.relationTo(old)
	if relation == contradicts && !r.confirmed(&a) {
		r.mu.Unlock()
		return ErrDoubted
	}
	if relation == isStale {
		r.mu.Unlock()
		return ErrStale
	}
	a.Draining = a.Draining || (old.Draining && relation == follows)
	news := a.Draining != old.Draining || a.Capacity != old.Capacity || a.Service != old.Service
	r.newest, r.doubted = &a, nil
	s := r.session
	r.mu.Unlock()
	if news && s != nil {
		s.announce(a)
	}
	return nil
}

// confirmed reports whether the last heartbeat that was doubted agrees with this one;
// the caller holds the lock.
func (r *Runner) confirmed(a *Announcement) bool {
	last := r.doubted
	r.doubted = a
	return last != nil && last.Worker == a.Worker && a.relationTo(last) == follows
}

// announceAnother takes in the heartbeat of an incarnation that is not the one served.
func (r *Runner) announceAnother(a Announcement, old *Announcement) error {
	if old != nil && !r.standsHere(a.Worker) {
		return ErrStale
	}
	if old != nil {
		r.fenceEarly(a.Worker)
	}
	if old == nil && r.standsElsewhere(a.Worker) {
		return ErrNotThere
	}
	r.mu.Lock()
	if r.newest == old || r.newest == nil { // the old one's session may have ended meanwhile
		r.newest, r.doubted = &a, nil
	}
	s := r.session
	r.mu.Unlock()
	if old != nil {
		r.contact.replace(old.Worker, time.Now())
	}
	logrus.WithFields(logrus.Fields{"worker": a.Worker, "service": a.Service, "draining": a.Draining}).Info("runner: A worker announced itself.")
	if s != nil {
		s.end("another incarnation announced itself")
	}
	r.signal()
	return nil
}

// standsHere asks whether an incarnation is the one at the worker's address. A
// heartbeat held up by a cut may come from one that has crashed since; believing
// it would end the newer one's runs in the books while they run on.
func (r *Runner) standsHere(worker string) bool {
	reply, err := r.worker.Hold(HoldCall{Target: Target{worker, r.tokens.current()}})
	return err == nil && reply.Verdict != VerdictElsewhere
}

// standsElsewhere reports whether the worker says that it is another incarnation. A
// worker that says nothing is believed: it may be busy with its start.
func (r *Runner) standsElsewhere(worker string) bool {
	reply, err := r.worker.Hold(HoldCall{Target: Target{worker, r.tokens.current()}})
	return err == nil && reply.Verdict == VerdictElsewhere
}
