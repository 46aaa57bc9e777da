package advice

import (
	"fmt"
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
