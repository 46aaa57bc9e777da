package control

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/advice"
	"github.com/waxwinghaven/waxwinghaven/dispatch"
	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// Advisor tells which workers may run a step. An error means that it did not answer, or
// not now.
type Advisor interface {
	Advise(ctx context.Context, step jobs.GroupKey, workers []string) (Advice, error)
}

// Advice is an advisor's answer.
type Advice struct {
	// Tickets, by worker, are those of the workers that may run the step.
	Tickets map[string]string
	// Valid is how long the tickets hold, 0 for as long as the queue says.
	Valid time.Duration
}

var (
	adviceSeconds    = metrics.NewHistogram(`waxwinghaven_advice_seconds`)
	adviceUnanswered = metrics.NewCounter(`waxwinghaven_calls_unanswered_total{part="advisor"}`)
)

// adviceSlack is how much longer than announced an answer may take.
const adviceSlack = time.Second

// consultation asks the advisor for the leader, one question at a time: the advisor
// takes one at a time from each instance, and more would only wait there for answers
// that may be out of date when they come.
type consultation struct {
	d       *dispatcher
	advisor Advisor
	kick    chan struct{}
	book    *advice.Book // guarded by the dispatcher's lock
}

// SetAdvisor makes the replica ask an advisor. It is called before Run.
func (r *Replica) SetAdvisor(a Advisor) { r.dispatcher.consult.advisor = a }

func newConsultation(d *dispatcher) *consultation {
	return &consultation{d: d, kick: make(chan struct{}, 1), book: advice.NewBook()}
}

func (c *consultation) wake() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// run asks whatever there is to ask until the context ends.
func (c *consultation) run(ctx context.Context) error {
	if c.advisor == nil {
		return nil
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.kick:
		}
		for ctx.Err() == nil && c.ask(ctx) {
		}
	}
}

// ask asks the most urgent question, and reports whether there was one.
func (c *consultation) ask(ctx context.Context) bool {
	if !c.d.leads() {
		return false
	}
	q, limit, valid := c.next()
	if q == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	sent := time.Now()
	a, err := c.advisor.Advise(ctx, q.Step, q.Workers)
	if a.Valid > 0 {
		valid = a.Valid
	}
	adviceSeconds.UpdateDuration(sent)
	l := logrus.WithFields(logrus.Fields{"job": q.Step.Job, "occurrence": q.Step.Occurrence, "step": q.Step.Step, "asked": len(q.Workers), "allowed": len(a.Tickets)})
	c.d.mu.Lock()
	if err != nil {
		adviceUnanswered.Inc()
		c.book.Unanswered(q, time.Now())
	} else {
		c.book.Answer(q, a.Tickets, sent, valid)
	}
	c.d.mu.Unlock()
	if err != nil {
		l.Warnf("control: The advisor did not answer: %v.", err)
		return true
	}
	l.Info("control: The advisor answered.")
	c.d.wake()
	return true
}

// next chooses the question.
func (c *consultation) next() (q *advice.Question, limit, valid time.Duration) {
	now := time.Now()
	var wanted []dispatch.Wanted
	c.d.r.machine.Read(func(s *State) {
		wanted = dispatch.Advised(c.d.input(s))
	})
	c.d.mu.Lock()
	defer c.d.mu.Unlock()
	for i := range wanted {
		w := &wanted[i]
		if q = c.book.Question(w.Step, w.Tasks, w.Workers, now); q != nil {
			limit = time.Duration(w.Advice.TookMS(len(q.Workers)))*time.Millisecond + adviceSlack
			return q, limit, time.Duration(w.Advice.ValidMS) * time.Millisecond
		}
	}
	return nil, 0, 0
}

// ticket implements dispatch.Input's.
func (c *consultation) ticket(step jobs.GroupKey, worker string) string {
	c.d.mu.Lock()
	defer c.d.mu.Unlock()
	return c.book.Ticket(step, worker, time.Now())
}
