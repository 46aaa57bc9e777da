package advice

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
)

var step = jobs.GroupKey{Job: "00000000000000aa", Step: 1}

func workers(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("w%02d", i))
	}
	return out
}

// A step may run on only a few of many workers. The advisor must be asked about each worker
// once, in batches of thirty, and not while an answer is outstanding.
func TestEachWorkerIsAskedAboutOnce(t *testing.T) {
	b, now := NewTable(), time.Now()
	all := workers(40)
	q := b.Question(step, 2, all, now)
	if q == nil || len(q.Workers) != minAsked {
		t.Fatalf("the first question: %+v", q)
	}
	if b.Question(step, 2, all, now) != nil {
		t.Fatal("a second question while the first is outstanding")
	}
	b.Answer(q, map[string]string{"w03": "t3"}, now, time.Second)
	if b.Ticket(step, "w03", now) != "t3" || b.Ticket(step, "w04", now) != "" {
		t.Fatal("the tickets are not those of the answer")
	}
	q = b.Question(step, 2, all, now)
	if q == nil || len(q.Workers) != 10 || q.Workers[0] != "w30" {
		t.Fatalf("the second question: %+v", q)
	}
	b.Answer(q, nil, now, time.Second)
	if q := b.Question(step, 2, all, now); q != nil {
		t.Fatalf("asked again about workers with a known answer: %+v", q)
	}
	if q := b.Question(step, 200, workers(300), now); q == nil || len(q.Workers) != maxAsked {
		t.Fatalf("a question for a wide step: %+v", q)
	}
}

// A ticket expires while its step waits, or a worker rejects it. It must be requested again,
// only for workers that may run the step, and not be used shortly before it expires.
func TestATicketIsRenewed(t *testing.T) {
	b, now := NewTable(), time.Now()
	all := workers(3)
	q := b.Question(step, 1, all, now)
	b.Answer(q, map[string]string{"w01": "t1", "w02": "t2"}, now, time.Second)
	later := now.Add(900 * time.Millisecond)
	if b.Ticket(step, "w01", later) != "" {
		t.Fatal("a ticket with a tenth of its validity left was handed out")
	}
	q = b.Question(step, 1, all, later)
	if q == nil || len(q.Workers) != 2 || q.Workers[0] != "w01" {
		t.Fatalf("the question after the tickets expired: %+v", q)
	}
	b.Unanswered(q, later)
	if b.Question(step, 1, all, later) != nil {
		t.Fatal("asked again without a pause after no answer")
	}
	later = later.Add(retryAfter)
	q = b.Question(step, 1, all, later)
	b.Answer(q, map[string]string{"w01": "t3"}, later, time.Second)
	b.Rejected(step, "w01")
	if b.Ticket(step, "w01", later) != "" || b.Question(step, 1, all, later) == nil {
		t.Fatal("a rejected ticket is kept")
	}
	b.Forget(func(jobs.GroupKey) bool { return false })
	if len(b.steps) != 0 {
		t.Fatal("a closed step is kept")
	}
}

// allowAll answers all questions about workers with tickets that are valid for a second, and returns
// these.
func allowAll(b *Table, need int, workers []string, now time.Time) map[string]string {
	tickets := make(map[string]string)
	for _, w := range workers {
		tickets[w] = "t"
	}
	for q := b.Question(step, need, workers, now); q != nil; q = b.Question(step, need, workers, now) {
		b.Answer(q, tickets, now, time.Second)
	}
	return tickets
}

// Guards against workers that can take no task of a step and fill the questions as soon as their
// tickets have run out, so that one that is added is never asked about.
func TestAnAddedWorkerIsAskedAboutWhereTheOthersAreFull(t *testing.T) {
	b, now := NewTable(), time.Now()
	all := workers(40)
	allowAll(b, 42, all, now)
	for _, later := range []time.Time{now, now.Add(2 * time.Second)} { // tickets valid, and expired
		q := b.Question(step, 2, []string{"added"}, later)
		if q == nil || len(q.Workers) != 1 || q.Workers[0] != "added" {
			t.Fatalf("the question for a step that all other workers are full for: %+v", q)
		}
		b.Unanswered(q, later)
		b.adviceFor(step).retryAt = later
	}
}

// Guards against known workers that fill each question: whatever becomes of them, every unknown
// worker must have its turn.
func TestEachUnknownWorkerHasItsTurn(t *testing.T) {
	b, now := NewTable(), time.Now()
	known := workers(60)
	tickets := allowAll(b, 60, known, now)
	open := append(slices.Clone(known), "x1", "x2", "x3")
	for range 5 { // the tickets run out before each question, and are of no use
		now = now.Add(2 * time.Second)
		q := b.Question(step, 2, open, now)
		b.Answer(q, tickets, now, time.Second)
	}
	for _, w := range []string{"x1", "x2", "x3"} {
		if _, asked := b.adviceFor(step).allowed[w]; !asked {
			t.Errorf("the advisor was never asked about %s", w)
		}
	}
}

// Tickets for workers without capacity are requested before one of them has some, but not more than
// the step needs.
func TestTicketsOfFullWorkersAreFetchedAhead(t *testing.T) {
	b, now := NewTable(), time.Now()
	open, full := []string{"w00"}, workers(40)[1:]
	q := b.Question(step, 2, open, now)
	b.Answer(q, map[string]string{"w00": "t"}, now, time.Second)
	if q := b.Question(step, 2, open, now); q != nil {
		t.Fatalf("a worker without capacity counts as open: %+v", q)
	}
	q = b.Prefetch(step, 2, open, full, now)
	if q == nil || len(q.Workers) != minAsked {
		t.Fatalf("tickets fetched ahead: %+v", q)
	}
	b.Answer(q, map[string]string{"w01": "t"}, now, time.Second)
	if q := b.Prefetch(step, 2, open, full, now); q != nil {
		t.Fatalf("tickets are fetched beyond the need: %+v", q)
	}
}
