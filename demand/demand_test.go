package demand

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// Guards against counts that stay in a window for too long, are lost when a bucket is used again,
// or go to another queue: the sums must equal those over a plain list of the events.
func TestSummaryEqualsAPlainCount(t *testing.T) {
	type event struct {
		queue string
		kind  int
		at    time.Duration
	}
	count := func(list []event, queue string, kind int, now, window time.Duration) (n uint64) {
		oldest := now.Truncate(time.Second) - window + time.Second
		for _, e := range list {
			if e.queue == queue && e.kind == kind && e.at >= oldest {
				n++
			}
		}
		return n
	}
	check := func(seed int64) bool {
		rng := rand.New(rand.NewSource(seed))
		s, now := New(start), time.Duration(0)
		var list []event
		for range 600 {
			now += time.Duration(rng.Int63n(int64(time.Second)))
			if rng.Intn(40) == 0 {
				now += time.Duration(rng.Int63n(int64(90 * time.Second)))
			}
			e := event{fmt.Sprint("q", rng.Intn(3)), rng.Intn(6), now}
			list = append(list, e)
			switch e.kind {
			case 0:
				s.Arrived(e.queue, at(now))
			case 1:
				s.Accepted(e.queue, at(now))
			case 2:
				s.Refused(e.queue, "", Refusal{Reason: "a"}, at(now))
			case 3:
				s.Refused(e.queue, "", Refusal{Reason: "b"}, at(now))
			case 4:
				s.Ended(e.queue, Late, at(now))
			case 5:
				s.Ended(e.queue, InTime, at(now))
			}
			sum := s.Summary(e.queue, at(now))
			for window, w := range map[time.Duration]Window{10 * time.Second: sum.Last10s, time.Minute: sum.Last60s} {
				for kind, got := range []uint64{w.Arrived, w.Accepted, w.Refused["a"], w.Refused["b"], w.Late, w.InTime} {
					if want := count(list, e.queue, kind, now, window); got != want {
						t.Logf("seed %d at %v: kind %d in %v is %d, want %d", seed, now, kind, window, got, want)
						return false
					}
				}
			}
		}
		return true
	}
	p := gopter.NewProperties(nil)
	p.Property("windows", prop.ForAll(check, gen.Int64()))
	p.TestingRun(t)
}

// Guards against a rate that is wrong while a window fills, or after the work has stopped.
func TestRateOfCompletedWork(t *testing.T) {
	s := New(start)
	for i := range 1200 { // 7 processors for two minutes
		s.Worked("q", 700, at(time.Duration(i)*100*time.Millisecond))
		if i < 20 {
			continue
		}
		sum := s.Summary("q", at(time.Duration(i)*100*time.Millisecond))
		for _, p := range []float64{sum.Last10s.Processors, sum.Last60s.Processors} {
			if p < 6.6 || p > 7.5 {
				t.Fatalf("after %d tasks the rate is %.2f processors, want 7", i+1, p)
			}
		}
	}
	if sum := s.Summary("q", at(131*time.Second)); sum.Last10s.Processors != 0 || sum.Last60s.Processors < 5 || sum.Last60s.Processors > 6.5 {
		t.Errorf("11 s after the last task: %.2f and %.2f processors", sum.Last10s.Processors, sum.Last60s.Processors)
	}
}

// Guards against tables that grow without bound under a flood of queues, reasons and job ids, and
// against losing the newest refusals rather than the oldest.
func TestTablesAreBounded(t *testing.T) {
	s := New(start)
	total := uint64(0)
	for i := range 3 * maxVerdicts {
		total++
		s.Refused(fmt.Sprint("q", i%400), fmt.Sprint(i), Refusal{Reason: fmt.Sprint("r", i%40)}, at(0))
	}
	if len(s.queues) > maxQueues+1 || len(s.reasons) >= maxReasons || len(s.ring) != maxVerdicts || len(s.byJob) > maxVerdicts {
		t.Errorf("%d queues, %d reasons, %d entries and %d jobs are kept", len(s.queues), len(s.reasons), len(s.ring), len(s.byJob))
	}
	counted := uint64(0)
	for queue := range s.queues {
		w := s.Summary(queue, at(0)).Last10s
		counted += w.Refusals()
	}
	if counted != total {
		t.Errorf("%d of %d refusals are counted", counted, total)
	}
	for i, kept := range map[int]bool{2*maxVerdicts - 1: false, 2 * maxVerdicts: true, 3*maxVerdicts - 1: true} {
		if _, ok := s.Verdict(fmt.Sprint("q", i%400), fmt.Sprint(i), at(0)); ok != kept {
			t.Errorf("refusal %d of %d is kept: %v", i, 3*maxVerdicts, ok)
		}
	}
	s.Retain(func(queue string) bool { return queue == "q1" })
	if len(s.queues) != 2 || s.queues["q1"] == nil || s.queues[Other] == nil {
		t.Errorf("%d queues are left after a configuration with one", len(s.queues))
	}
	s.Expire(at(VerdictAge + time.Second))
	if len(s.byJob) != 0 || s.count != 0 {
		t.Errorf("%d refusals are left after their age", len(s.byJob))
	}
}

// Guards against a queue that is counted as Other although fewer than the bound have counts of
// their own: Other is not one of them.
func TestOtherTakesNoQueuesPlace(t *testing.T) {
	s := New(start)
	s.Arrived(Other, at(0))
	for i := range maxQueues {
		queue := fmt.Sprint("q", i)
		s.Arrived(queue, at(0))
		if n := s.Summary(queue, at(0)).Last10s.Arrived; n != 1 {
			t.Fatalf("%s, the %dth queue, has %d arrivals, want 1", queue, i+1, n)
		}
	}
}

// Guards against a verdict that is outdated, of another queue, or lost when an older one of the
// same job expires.
func TestVerdictIsOfTheLastRefusal(t *testing.T) {
	s := New(start)
	s.Refused("q", "a", Refusal{Reason: "overloaded", RetryAfter: time.Second}, at(0))
	s.Refused("q", "a", Refusal{Reason: "no-advisor", RetryAfter: 2 * time.Second}, at(100*time.Second))
	if _, ok := s.Verdict("p", "a", at(100*time.Second)); ok {
		t.Error("the refusal is told of another queue's job")
	}
	v, ok := s.Verdict("q", "a", at(101*time.Second))
	if !ok || v.Reason != "no-advisor" || v.RetryAfter != 2*time.Second || v.Count != 2 || v.First != at(0) || v.At != at(100*time.Second) {
		t.Errorf("after two refusals: %+v", v)
	}
	s.Refused("q", "b", Refusal{}, at(VerdictAge+time.Second)) // expires the first entry of "a"
	if v, ok := s.Verdict("q", "a", at(VerdictAge+time.Second)); !ok || v.Reason != "no-advisor" {
		t.Errorf("once the first refusal has expired: %+v %v", v, ok)
	}
	if _, ok := s.Verdict("q", "a", at(100*time.Second+VerdictAge+1)); ok {
		t.Error("an expired refusal is told")
	}
}

// Recording is on the path of every submission and must not allocate once the tables exist.
func TestRecordingDoesNotAllocate(t *testing.T) {
	s, next := New(start), submissions()
	for range 3 * maxVerdicts {
		next(s)
	}
	if n := testing.AllocsPerRun(20_000, func() { next(s) }); n > 0 {
		t.Errorf("%.2f allocations for each submission", n)
	}
}

// submissions returns a function that records a submission in one of 150 queues, refused or
// accepted, with 10,000 refusals kept.
func submissions() func(*Stats) {
	queues, ids := make([]string, maxQueues), make([]string, 4*maxVerdicts)
	for i := range queues {
		queues[i] = fmt.Sprintf("a%d.example/renders/", i)
	}
	for i := range ids {
		ids[i] = fmt.Sprintf("%016x", i)
	}
	n, now := 0, start
	return func(s *Stats) {
		n++
		now = now.Add(5 * time.Millisecond)
		queue := queues[n%len(queues)]
		s.Arrived(queue, now)
		if n%3 > 0 {
			s.Refused(queue, ids[n%len(ids)], Refusal{Reason: "overloaded", Message: "too late", RetryAfter: time.Second}, now)
			return
		}
		s.Accepted(queue, now)
	}
}

func BenchmarkSubmission(b *testing.B) {
	s, next := New(start), submissions()
	for range 3 * maxVerdicts {
		next(s)
	}
	b.ReportAllocs()
	for b.Loop() {
		next(s)
	}
}
