// Package advice keeps what the advisor said of which workers may run a step. Some
// queues' steps may run only on some workers, and nobody but the advisor knows on
// which; a start there carries its ticket. Book is pure: the time is passed.
package advice

import (
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

const (
	// askedAtOnce is how many workers one question names at least: a call takes a
	// time of its own, whatever is asked, so a few workers at a time would be slower.
	askedAtOnce = 30
	// mostAsked bounds a question; the advisor takes a hundred.
	mostAsked = 100
	// retryAfter is the pause after a question that went unanswered or was refused.
	retryAfter = 200 * time.Millisecond
	// useBy is the part of a ticket's validity for which it is given out. The rest is
	// for the way of the order to its worker.
	useBy = 0.8
)

// Question asks which of the workers may run a step.
type Question struct {
	Step    jobs.GroupKey
	Workers []string
}

// Book is the knowledge of one leader. A new one asks anew.
type Book struct {
	steps map[jobs.GroupKey]*opinions
}

// opinions is what is known of one step.
type opinions struct {
	tickets map[string]ticket // by worker
	allowed map[string]bool   // by worker; which may run the step never changes
	asking  bool
	after   time.Time // when it may be asked again
}

// ticket lets a worker run a step's tasks.
type ticket struct {
	value string
	until time.Time
}

// NewBook returns a book that knows nothing.
func NewBook() *Book { return &Book{steps: make(map[jobs.GroupKey]*opinions)} }

func (b *Book) of(step jobs.GroupKey) *opinions {
	o := b.steps[step]
	if o == nil {
		o = &opinions{tickets: make(map[string]ticket), allowed: make(map[string]bool)}
		b.steps[step] = o
	}
	return o
}

// Ticket returns a valid ticket for a step on a worker, "" for none.
func (b *Book) Ticket(step jobs.GroupKey, worker string, now time.Time) string {
	if o := b.steps[step]; o != nil && now.Before(o.tickets[worker].until) {
		return o.tickets[worker].value
	}
	return ""
}

// Question returns what to ask for a step that needs so many more workers, of the
// candidates, the best first. Workers that may run it and have only lost their ticket
// go first. It is nil if there is nothing to ask now.
func (b *Book) Question(step jobs.GroupKey, need int, candidates []string, now time.Time) *Question {
	o := b.of(step)
	if o.asking || now.Before(o.after) {
		return nil
	}
	var expired, unknown []string
	for _, w := range candidates {
		allowed, known := o.allowed[w]
		switch {
		case b.Ticket(step, w, now) != "":
			need--
		case allowed:
			expired = append(expired, w)
		case !known:
			unknown = append(unknown, w)
		}
	}
	if need <= 0 || len(expired)+len(unknown) == 0 {
		return nil
	}
	ask := append(expired, unknown...)
	o.asking = true
	return &Question{Step: step, Workers: ask[:min(len(ask), max(askedAtOnce, need), mostAsked)]}
}

// Answer takes in the tickets of the workers that may run the step; the others that
// were asked about may not. The tickets' validity counts from when the question was
// sent, which is never later than when they were made out.
func (b *Book) Answer(q *Question, tickets map[string]string, sent time.Time, valid time.Duration) {
	o := b.of(q.Step)
	o.asking = false
	until := sent.Add(time.Duration(useBy * float64(valid)))
	for _, w := range q.Workers {
		value, allowed := tickets[w]
		o.allowed[w] = allowed
		if allowed {
			o.tickets[w] = ticket{value, until}
		}
	}
}

// Unanswered takes in that a question has no answer.
func (b *Book) Unanswered(q *Question, now time.Time) {
	o := b.of(q.Step)
	o.asking, o.after = false, now.Add(retryAfter)
}

// Rejected drops the ticket of a worker that did not start a run.
func (b *Book) Rejected(step jobs.GroupKey, worker string) {
	if o := b.steps[step]; o != nil {
		delete(o.tickets, worker)
	}
}

// Forget drops the steps that are not open any more.
func (b *Book) Forget(open func(jobs.GroupKey) bool) {
	for step := range b.steps {
		if !open(step) {
			delete(b.steps, step)
		}
	}
}
