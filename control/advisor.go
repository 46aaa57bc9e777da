package control

import (
	"context"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/advice"
	"github.com/waxwinghaven/waxwinghaven/dispatch"
	"github.com/waxwinghaven/waxwinghaven/jobs"
)

// Advisor decides which workers may run a step. An error means that it gave no answer, or cannot
// answer now.
type Advisor interface {
	Advise(ctx context.Context, step jobs.GroupKey, workers []string) (Advice, error)
}

// Advice is an advisor's answer.
type Advice struct {
	// Tickets holds the tickets of the workers that may run the step, by worker.
	Tickets map[string]string
	// Valid is how long the tickets are valid, 0 for the queue's own setting.
	Valid time.Duration
}

var (
	adviceSeconds    = metrics.NewHistogram(`waxwinghaven_advice_seconds`)
	adviceUnanswered = metrics.NewCounter(`waxwinghaven_calls_unanswered_total{part="advisor"}`)
)

// adviceSlack is how much longer than the announced duration an answer may take.
const adviceSlack = time.Second

// adviceRequester queries the advisor for the leader, one question at a time: the advisor
// processes one per instance, and further ones would queue there for answers that may be out of
// date on arrival.
type adviceRequester struct {
	d       *dispatcher
	advisor Advisor
	wakeup  chan struct{}
	// byAge is set if the next question is about the step that was asked about least recently.
	byAge bool
	table *advice.Table // guarded by the dispatcher's lock
}

// SetAdvisor sets the advisor to query. It must be called before Run.
func (r *Replica) SetAdvisor(a Advisor) { r.dispatcher.advice.advisor = a }

func newAdviceRequester(d *dispatcher) *adviceRequester {
	return &adviceRequester{d: d, wakeup: make(chan struct{}, 1), table: advice.NewTable()}
}

func (r *adviceRequester) wake() {
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
}

// run sends the pending questions whenever it is woken, until the context ends.
func (r *adviceRequester) run(ctx context.Context) error {
	if r.advisor == nil {
		return nil
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.wakeup:
		}
		for ctx.Err() == nil && r.ask(ctx) {
		}
	}
}

// ask sends the most urgent question, and reports whether there was one.
func (r *adviceRequester) ask(ctx context.Context) bool {
	if !r.d.leads() {
		return false
	}
	q, limit, valid := r.next()
	if q == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	sent := time.Now()
	a, err := r.advisor.Advise(ctx, q.Step, q.Workers)
	if a.Valid > 0 {
		valid = a.Valid
	}
	adviceSeconds.UpdateDuration(sent)
	l := logrus.WithFields(logrus.Fields{"job": q.Step.Job, "occurrence": q.Step.Occurrence, "step": q.Step.Step, "asked": len(q.Workers), "allowed": len(a.Tickets), "unasked": q.Unasked})
	r.d.mu.Lock()
	if err != nil {
		adviceUnanswered.Inc()
		r.table.Unanswered(q, time.Now())
	} else {
		r.table.Answer(q, a.Tickets, sent, valid)
	}
	r.d.mu.Unlock()
	if err != nil {
		l.Warnf("control: The advisor did not answer: %v.", err)
		return true
	}
	l.Info("control: The advisor answered.")
	r.d.wake()
	return true
}

// next returns the most urgent question, the time limit for its answer and the default validity
// of the tickets; q is nil if there is nothing to ask. Workers that can take a task now go first,
// whichever step they are for.
func (r *adviceRequester) next() (q *advice.Question, limit, valid time.Duration) {
	now := time.Now()
	var requests []dispatch.AdviceRequest
	r.d.r.machine.Read(func(s *State) {
		if !s.Queues.Config.Advised() {
			return // after each pass of most deployments
		}
		in := r.d.passInput(s, now)
		in.Copies = true
		requests = dispatch.AdviceRequests(in)
	})
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	w, q := r.choose(requests, now)
	if q == nil {
		return nil, 0, 0
	}
	limit = time.Duration(w.Advice.AnswerMS(len(q.Workers)))*time.Millisecond + adviceSlack
	return q, limit, time.Duration(w.Advice.ValidMS) * time.Millisecond
}

// choose returns the question to ask next and the request that it is for, nil for none. Every
// second question is about the step that was asked about least recently: an urgent step that needs
// more tickets than it gets would otherwise keep all others waiting.
func (r *adviceRequester) choose(requests []dispatch.AdviceRequest, now time.Time) (*dispatch.AdviceRequest, *advice.Question) {
	if r.byAge = !r.byAge; !r.byAge {
		slices.SortStableFunc(requests, func(a, b dispatch.AdviceRequest) int {
			return r.table.LastAsked(a.Step).Compare(r.table.LastAsked(b.Step))
		})
	}
	for i := range requests {
		w := &requests[i]
		if q := r.table.Question(w.Step, w.Tasks, w.Open, now); q != nil {
			return w, q
		}
	}
	for i := range requests {
		w := &requests[i]
		if q := r.table.Prefetch(w.Step, w.Tasks, w.Open, w.Full, now); q != nil {
			return w, q
		}
	}
	return nil, nil
}

// ticket implements dispatch.Input.Ticket.
func (r *adviceRequester) ticket(step jobs.GroupKey, worker string) string {
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	return r.table.Ticket(step, worker, time.Now())
}
