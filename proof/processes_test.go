package proof

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/header"
	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/load"
	"github.com/waxwinghaven/waxwinghaven/market"
	"github.com/waxwinghaven/waxwinghaven/membership"
	"github.com/waxwinghaven/waxwinghaven/operator"
	"github.com/waxwinghaven/waxwinghaven/standin"
)

// Guards against bookings that run twice, and against wrong outcomes, when an upstream, an agent
// and then the leader are killed while bookings go through all entries. Callers get done, not run
// or unknown, in accordance with the upstreams' records.
func TestKilledProcessesRunNoBookingTwice(t *testing.T) {
	f := newFleet(t, "3ms")
	done := make(chan load.Result)
	go func() {
		done <- f.load(load.Options{Requests: 6000, Concurrency: 24, Method: "POST", Addresses: []string{f.entry(1), f.entry(2), f.entry(3)}})
	}()
	time.Sleep(300 * time.Millisecond)
	f.end("upstream-1", syscall.SIGKILL)
	time.Sleep(300 * time.Millisecond)
	f.end("back-2", syscall.SIGKILL)
	time.Sleep(300 * time.Millisecond)
	f.end(fmt.Sprint("front-", f.leader()), syscall.SIGKILL)
	res := <-done
	t.Logf("outcomes: %v", res.Outcomes)
	f.check(res, true)
	if res.Outcomes["done"] < 3000 {
		t.Errorf("only %d of 6000 were done with one upstream left", res.Outcomes["done"])
	}
}

// Guards against requests that fail during graceful shutdowns. Bookings continue while an agent,
// then the leader, then the entry that carries half of them shut down. The load balancer sends
// nothing to an entry that is not ready. Every request is done.
func TestGracefulShutdownsCutOffNothing(t *testing.T) {
	f := newFleet(t, "5ms")
	done := make(chan load.Result)
	leader := f.leader()
	first, second := leader%3+1, (leader+1)%3+1
	go func() {
		done <- f.load(load.Options{Requests: 20_000, Duration: 6 * time.Second, Concurrency: 12, Method: "POST",
			Addresses: []string{f.entry(first), f.entry(second)}, Ready: []string{f.front(first) + ":7106", f.front(second) + ":7106"}})
	}()
	time.Sleep(300 * time.Millisecond)
	f.end("back-1", syscall.SIGTERM)
	f.end(fmt.Sprint("front-", leader), syscall.SIGTERM)
	f.wait("a leader", func() bool { return f.leader() != 0 })
	f.end(fmt.Sprint("front-", first), syscall.SIGTERM)
	res := <-done
	t.Logf("outcomes: %v", res.Outcomes)
	if res.Outcomes["done"] != res.Requests || res.Requests < 1000 {
		t.Errorf("%d requests: %v", res.Requests, res.Outcomes)
	}
	f.check(res, true)
}

// Guards against a booking with an idempotency key that runs twice. Its upstream is killed while
// it runs, so the outcome is unknown; sent again through another entry, it is not run again. A
// booking that is repeated after it was done gets the first answer.
func TestKeyedBookingRunsOnceAcrossEntries(t *testing.T) {
	f := newFleet(t, "700ms")
	first := f.book("once", 1)
	again := f.book("once", 2)
	if first.outcome != "done" || again.outcome != "done" || !again.replayed || first.body != again.body {
		t.Fatalf("first %+v, again %+v", first, again)
	}
	if other := f.bookBody("once", 2, "another body"); other.reason != "key-reused" {
		t.Fatalf("another request under the key: %+v", other)
	}
	got := make(chan booking)
	go func() { got <- f.book("killed", 1) }()
	f.wait("the booking runs", func() bool { return f.runsByToken()["killed"] == 1 })
	for i := 1; i <= 3; i++ {
		b, _ := os.ReadFile(f.record(i))
		if strings.Contains(string(b), "killed\n") {
			f.end(fmt.Sprint("upstream-", i), syscall.SIGKILL)
		}
	}
	if b := <-got; b.outcome != "unknown" {
		t.Fatalf("a booking whose upstream died: %+v", b)
	}
	f.wait("the lost outcome is settled", func() bool { return f.book("killed", 2).reason == "key-outcome-unknown" })
	if n := f.runsByToken()["killed"]; n != 1 {
		t.Fatalf("the booking ran %d times", n)
	}
}

type booking struct {
	outcome, reason, body string
	replayed              bool
}

func (f *fleet) book(key string, entry int) booking { return f.bookBody(key, entry, "book slot 7") }

func (f *fleet) bookBody(key string, entry int, body string) booking {
	req, err := http.NewRequest(http.MethodPost, "http://"+f.entry(entry)+"/vault/book", strings.NewReader(body))
	if err != nil {
		f.t.Error(err)
	}
	req.Header.Set(header.Key, key)
	req.Header.Set(standin.TokenHeader, key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return booking{outcome: err.Error()}
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return booking{resp.Header.Get(header.OutcomeName), resp.Header.Get(header.Reason), string(b), resp.Header.Get(header.Replayed) != ""}
}

// Guards against renders that run in two places or are completed twice when an agent is frozen
// for longer than its lease, another agent is killed and restarted, and then the leader is
// frozen.
func TestFrozenProcessesRunNoRenderTwice(t *testing.T) {
	f := newFleet(t, "1ms")
	s := lease.Submit{ID: "renders", Market: "vault", Job: "render", Count: 24, IssuedMS: time.Now().UnixMilli()}
	if _, err := f.ops.Submit(s); err != nil {
		t.Fatal(err)
	}
	// The freeze affects only renders beside this agent. Under load, twelve renders had sometimes
	// started before the first one beside this agent.
	f.wait("renders run beside the agent that will be frozen", func() bool { return len(f.intervals()) >= 12 && len(f.intervalsAt(1)) > 0 })
	f.t.Logf("%d renders had started beside it", len(f.intervalsAt(1)))
	f.signal("back-1", syscall.SIGSTOP)
	f.end("back-2", syscall.SIGKILL)
	f.startBack(2)
	time.Sleep(3 * time.Second)
	leader := f.leader()
	f.signal(fmt.Sprint("front-", leader), syscall.SIGSTOP)
	time.Sleep(500 * time.Millisecond)
	f.signal("back-1", syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	f.signal(fmt.Sprint("front-", leader), syscall.SIGCONT)
	f.wait("all renders are done", func() bool {
		tasks, err := f.ops.Tasks(operator.TaskQuery{ID: s.ID, Phase: string(lease.Done), Limit: s.Count})
		return err == nil && len(tasks) == s.Count
	})
	f.checkIntervals(s.Count)
}

// intervals returns the workers' records by task.
func (f *fleet) intervals() map[string][]standin.Interval {
	out := make(map[string][]standin.Interval)
	for i := 1; i <= 3; i++ {
		for _, iv := range f.intervalsAt(i) {
			out[iv.Task] = append(out[iv.Task], iv)
		}
	}
	return out
}

func (f *fleet) intervalsAt(i int) (list []standin.Interval) {
	resp, err := http.Get("http://" + f.back(i) + ":7108/worker/intervals")
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		f.t.Fatal(err)
	}
	return list
}

func (f *fleet) checkIntervals(count int) {
	f.t.Helper()
	all := f.intervals()
	if len(all) != count {
		f.t.Errorf("%d of %d tasks are in the records", len(all), count)
	}
	moved := 0
	for id, list := range all {
		slices.SortFunc(list, func(a, b standin.Interval) int { return int(a.StartMS - b.StartMS) })
		for i := 1; i < len(list); i++ {
			moved++
			if list[i].StartMS < list[i-1].EndMS || list[i].Attempt <= list[i-1].Attempt {
				f.t.Errorf("%s ran in two places: %+v", id, list)
			}
		}
	}
	f.t.Logf("%d attempts were repeated", moved)
	if moved == 0 {
		f.t.Error("no attempt was lost: the fault had no effect")
	}
}

// Checks what an entry serves without control replicas. Lookups go on with the last known state.
// After cut_off_after the entry refuses requests of a market whose preset demands that, as not
// run and with a retry time; a booking with a key is refused immediately, since no majority can
// confirm the key. Service resumes when the replicas are back.
func TestEntryWithoutControlServesWhatItMay(t *testing.T) {
	f := newFleet(t, "1ms")
	f.run("entry-9", "waxwinghavend", "--settings", f.settings("entry-9", f.front(9), "[entry]\nport=7105\nhealth_port=7106\nsync=\"100ms\"\ncut_off_after=\"1s\"\n"))
	alone := load.Options{Requests: 50, Concurrency: 4, Method: "GET", Addresses: []string{f.entry(9)}}
	f.wait("the entry serves", func() bool { return f.load(alone).Outcomes["done"] == 50 })
	for i := 1; i <= 3; i++ {
		f.end(fmt.Sprint("front-", i), syscall.SIGKILL)
	}
	time.Sleep(1500 * time.Millisecond)
	if res := f.load(alone); res.Outcomes["done"] != 50 {
		t.Errorf("without control: %v", res.Outcomes)
	}
	if b := f.book("nobody-confirms", 9); b.outcome != "not-run" || b.reason != "key-unconfirmed" || f.runsByToken()["nobody-confirms"] != 0 {
		t.Errorf("a keyed booking without control: %+v", b)
	}
	for i := 1; i <= 3; i++ {
		f.startFront(i)
	}
	f.wait("the replicas are back", func() bool { _, err := f.ops.Markets(); return err == nil })
	f.change(market.Change{Verb: market.PutPreset, Market: "vault", Preset: &market.Preset{Name: "strict", MaxSlowdown: 2, BatchShare: 1, CutOff: market.CutOffRefuse}})
	f.change(market.Change{Verb: market.UsePreset, Market: "vault", Name: "strict"})
	f.wait("strict is in force and serves", func() bool { return f.load(alone).Outcomes["done"] == 50 && f.inForce("entry-9") })
	for i := 1; i <= 3; i++ {
		f.end(fmt.Sprint("front-", i), syscall.SIGKILL)
	}
	f.wait("the cut off entry refuses", func() bool { return f.load(alone).Outcomes["not-run cut-off"] == 50 })
}

// inForce reports whether an instance has acknowledged the newest revision.
func (f *fleet) inForce(name string) bool {
	statuses, _ := f.ops.Statuses()
	var newest uint64
	for _, s := range statuses {
		newest = max(newest, s.Revision)
	}
	for _, s := range statuses {
		for _, i := range s.Instances {
			if i.Name == name && i.Revision == newest {
				return true
			}
		}
	}
	return false
}

// Guards against requests to upstreams that are gone: one announces that it is leaving, another
// is killed during lookups. A few seconds later neither gets requests, and the tasks of their
// workers complete elsewhere.
func TestLeavingAndDeadUpstreamsGetNothing(t *testing.T) {
	f := newFleet(t, "1ms")
	s := lease.Submit{ID: "moved", Market: "vault", Job: "render", Count: 9, IssuedMS: time.Now().UnixMilli()}
	if _, err := f.ops.Submit(s); err != nil {
		t.Fatal(err)
	}
	f.wait("renders run", func() bool { return len(f.intervals()) == 9 })
	resp, err := http.Get("http://" + f.back(1) + ":7107/standin/leave")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	f.end("upstream-2", syscall.SIGKILL)
	time.Sleep(3 * time.Second)
	before := f.runsByToken()
	res := f.load(load.Options{Requests: 600, Concurrency: 6, Method: "POST"})
	if res.Outcomes["done"] != 600 {
		t.Errorf("outcomes: %v", res.Outcomes)
	}
	for _, i := range []int{1, 2} {
		b, _ := os.ReadFile(f.record(i))
		for _, token := range strings.Fields(string(b)) {
			if _, mine := res.Tokens[token]; mine && before[token] == 0 {
				t.Fatalf("upstream %d got %s", i, token)
			}
		}
	}
	f.wait("all renders are done", func() bool {
		tasks, err := f.ops.Tasks(operator.TaskQuery{ID: s.ID, Phase: string(lease.Done), Limit: s.Count})
		return err == nil && len(tasks) == s.Count
	})
}

// Guards against a worker that fails every task immediately and so attracts ever more tasks. It
// is quarantined after a few failures; the tasks complete elsewhere, and none is set aside
// because of that worker.
func TestWorkerThatFailsEverythingIsQuarantined(t *testing.T) {
	f := newFleet(t, "1ms")
	f.change(market.Change{Verb: market.PutJob, Market: "vault", Job: &market.Job{Name: "short", Team: "team", Class: market.ClassBatch, MilliCPU: 1000, MemoryMB: 10, RunTimeMS: 300, MaxFailures: 50}})
	resp, err := http.Get("http://" + f.back(1) + ":7108/worker/fail?on=true")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	s := lease.Submit{ID: "short", Market: "vault", Job: "short", Count: 60, IssuedMS: time.Now().UnixMilli()}
	if _, err := f.ops.Submit(s); err != nil {
		t.Fatal(err)
	}
	f.wait("the quarantine", func() bool {
		members, err := f.ops.Members()
		return err == nil && slices.ContainsFunc(members, func(m *membership.Member) bool {
			return m.Agent == "back-1" && m.Phase == membership.Quarantined && m.Reason != ""
		})
	})
	f.wait("all are done", func() bool {
		tasks, err := f.ops.Tasks(operator.TaskQuery{ID: s.ID, Phase: string(lease.Done), Limit: s.Count})
		return err == nil && len(tasks) == s.Count
	})
}
