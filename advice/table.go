// Package advice caches the advisor's answers on which workers may run a step. Steps of some
// queues may run only on certain workers, which only the advisor knows; a start on one of them
// carries a ticket from the advisor. Table does no I/O and takes the time as an argument.
package advice

import (
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

const (
	// minAsked is the minimum number of workers in a question, if there are as many: a call
	// has a fixed latency whatever it asks, so asking about a few at a time would be slower.
	minAsked = 30
	// maxAsked bounds the workers in a question; the advisor accepts a hundred.
	maxAsked = 100
	// unknownShare is the part of a question that is kept for workers that the advisor was not asked
	// about yet, as long as there are any: whatever becomes of the known ones, each worker is asked
	// about after a bounded number of questions.
	unknownShare = 1.0 / 3
	// retryAfter is the pause after a question that was not answered or was refused.
	retryAfter = 200 * time.Millisecond
	// usableShare is the part of a ticket's validity during which it is handed out. The rest
	// allows for the transit of the order to the worker.
	usableShare = 0.8
)

// Question asks the advisor which of the workers may run a step.
type Question struct {
	Step    jobs.GroupKey
	Workers []string
	// Unasked is the number of candidates that the advisor has not been asked about, neither before
	// nor by this question.
	Unasked int
}

// Table is the advice table of one leader. It is not replicated: a new leader starts empty.
type Table struct {
	steps map[jobs.GroupKey]*stepAdvice
}

// stepAdvice is the advice on one step.
type stepAdvice struct {
	tickets map[string]ticket // by worker
	allowed map[string]bool   // by worker; whether it may run the step never changes
	pending bool
	retryAt time.Time // when it may be asked again
	askedAt time.Time // of the newest question
}

// ticket permits a worker to run a step's tasks.
type ticket struct {
	value string
	until time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{steps: make(map[jobs.GroupKey]*stepAdvice)} }

func (b *Table) adviceFor(step jobs.GroupKey) *stepAdvice {
	o := b.steps[step]
	if o == nil {
		o = &stepAdvice{tickets: make(map[string]ticket), allowed: make(map[string]bool)}
		b.steps[step] = o
	}
	return o
}

// Ticket returns a valid ticket for a step on a worker, "" if there is none.
func (b *Table) Ticket(step jobs.GroupKey, worker string, now time.Time) string {
	if o := b.steps[step]; o != nil && now.Before(o.tickets[worker].until) {
		return o.tickets[worker].value
	}
	return ""
}

// Question returns the next question for a step that needs the given number of workers, nil if
// there is nothing to ask now. Open are the workers that can take a task now if the advisor allows
// it, the best first; only a valid ticket of one of them counts towards the need. Those that are
// known to be allowed go before unknown ones, up to the unknowns' share.
func (b *Table) Question(step jobs.GroupKey, need int, open []string, now time.Time) *Question {
	return b.question(step, need-b.valid(step, open, now), open, now)
}

// LastAsked returns when the newest question about a step was made, zero if there was none.
func (b *Table) LastAsked(step jobs.GroupKey) time.Time {
	if o := b.steps[step]; o != nil {
		return o.askedAt
	}
	return time.Time{}
}

// Prefetch is like Question, but asks about workers without capacity, so that a ticket is there
// when one of them has some again.
func (b *Table) Prefetch(step jobs.GroupKey, need int, open, full []string, now time.Time) *Question {
	return b.question(step, need-b.valid(step, open, now)-b.valid(step, full, now), full, now)
}

// valid counts the workers with a valid ticket for a step.
func (b *Table) valid(step jobs.GroupKey, workers []string, now time.Time) (n int) {
	for _, w := range workers {
		if b.Ticket(step, w, now) != "" {
			n++
		}
	}
	return n
}

// question returns a question about the candidates without a valid ticket, unless the step is being
// asked about or needs no more tickets.
func (b *Table) question(step jobs.GroupKey, need int, candidates []string, now time.Time) *Question {
	o := b.adviceFor(step)
	if o.pending || now.Before(o.retryAt) || need <= 0 {
		return nil
	}
	var expired, unknown []string
	for _, w := range candidates {
		allowed, known := o.allowed[w]
		switch {
		case !known:
			unknown = append(unknown, w)
		case allowed && b.Ticket(step, w, now) == "":
			expired = append(expired, w)
		}
	}
	size := min(max(minAsked, need), maxAsked)
	kept := min(len(unknown), int(unknownShare*float64(size)))
	ask := append(expired[:min(len(expired), size-kept)], unknown...)
	if len(ask) == 0 {
		return nil
	}
	o.pending, o.askedAt = true, now
	n := min(len(ask), size)
	return &Question{Step: step, Workers: ask[:n], Unasked: min(len(ask)-n, len(unknown))}
}

// Answer records the tickets of the workers that may run the step; the others in the
// question may not. The tickets' validity counts from when the question was sent, which is
// never later than when they were issued.
func (b *Table) Answer(q *Question, tickets map[string]string, sent time.Time, valid time.Duration) {
	o := b.adviceFor(q.Step)
	o.pending = false
	until := sent.Add(time.Duration(usableShare * float64(valid)))
	for _, w := range q.Workers {
		value, allowed := tickets[w]
		o.allowed[w] = allowed
		if allowed {
			o.tickets[w] = ticket{value, until}
		}
	}
}

// Unanswered records that a question was not answered.
func (b *Table) Unanswered(q *Question, now time.Time) {
	o := b.adviceFor(q.Step)
	o.pending, o.retryAt = false, now.Add(retryAfter)
}

// Rejected drops the ticket of a worker that rejected the start of a run.
func (b *Table) Rejected(step jobs.GroupKey, worker string) {
	if o := b.steps[step]; o != nil {
		delete(o.tickets, worker)
	}
}

// Forget drops the steps for which open returns false.
func (b *Table) Forget(open func(jobs.GroupKey) bool) {
	for step := range b.steps {
		if !open(step) {
			delete(b.steps, step)
		}
	}
}
