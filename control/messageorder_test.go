package control

import (
	"fmt"
	"math/rand"
	"runtime"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// Guards against a job that runs although it was refused: no message that was sent before a refusal
// may be taken after it, at any time and however many refusals there are, and each message that its
// sender sends after it has heard of the refusal must be taken.
func TestMessagesSentBeforeARefusalAreNotTaken(t *testing.T) {
	type message struct {
		about string
		seen  *refusal.Stamp
		sent  int // number of refusals about the same job before it was sent
	}
	check := func(seed int64) error {
		rng := rand.New(rand.NewSource(seed))
		now := time.Now()
		m := newMessageOrder(7, now)
		refused := make(map[string]int)
		newest := m.next(now) // that any sender has received
		var inTransit []message
		for range 400 {
			now = now.Add(time.Duration(rng.Int63n(int64(200 * time.Millisecond))))
			about := fmt.Sprint("job ", rng.Intn(5))
			switch rng.Intn(4) {
			case 0:
				m.refuse(about, now)
				refused[about]++
				newest = m.next(now)
			case 1:
				inTransit = append(inTransit, message{about, newest, refused[about]})
			case 2:
				fresh := m.next(now)
				if err := m.check(about, fresh, now); err != nil {
					return fmt.Errorf("a message with the newest stamp is not taken: %v", err)
				}
				newest = fresh
			case 3:
				if len(inTransit) == 0 {
					continue
				}
				x := inTransit[rng.Intn(len(inTransit))]
				if err := m.check(x.about, x.seen, now); err == nil && x.sent < refused[x.about] {
					return fmt.Errorf("%+v is taken after %d refusals", x, refused[x.about])
				}
			}
		}
		return nil
	}
	properties := gopter.NewProperties(nil)
	properties.Property("refusals bind earlier messages", prop.ForAll(func(seed int64) (bool, error) {
		err := check(seed)
		return err == nil, err
	}, gen.Int64()))
	properties.TestingRun(t)
}

// Guards against refusals that fill the leader's memory, and against one that holds no longer once
// it is forgotten.
func TestForgottenRefusalsStillHold(t *testing.T) {
	now := time.Now()
	m := newMessageOrder(7, now)
	old := m.next(now)
	for i := range maxRefusals + 10 {
		m.refuse(fmt.Sprint(i), now)
	}
	if len(m.queue) > maxRefusals || len(m.since) > maxRefusals {
		t.Errorf("%d refusals are remembered", len(m.queue))
	}
	if err := m.check("0", old, now); !refusal.Is(err, refusal.Stale) {
		t.Errorf("a message from before refusals that were dropped for space: %v", err)
	}
	now = now.Add(refusalRetention + time.Second)
	if err := m.check("9", old, now); !refusal.Is(err, refusal.Stale) {
		t.Errorf("a message from before refusals whose retention has passed: %v", err)
	}
	if m.forget(now); len(m.queue)+len(m.since) != 0 {
		t.Errorf("%d refusals are remembered after their retention", len(m.queue))
	}
	e, _ := refusal.Of(m.check("9", old, now))
	if e == nil || m.check("9", e.Stamp, now) != nil {
		t.Errorf("the message sent again with the stamp of %v is not taken", e)
	}
}

// Guards against a job that runs although an earlier leader's refusal was final: a message to another
// leadership is not taken. Messages of earlier versions carry no stamp and are taken.
func TestMessagesToAnotherLeadershipAreNotTaken(t *testing.T) {
	now := time.Now()
	before, m := newMessageOrder(6, now), newMessageOrder(7, now)
	if err := m.check("x", before.next(now.Add(time.Hour)), now); !refusal.Is(err, refusal.Stale) {
		t.Errorf("a message to the leadership before: %v", err)
	}
	if err := m.check("x", &refusal.Stamp{}, now); !refusal.Is(err, refusal.Stale) {
		t.Errorf("a message of a sender that has heard from no leader: %v", err)
	}
	if err := m.check("x", nil, now); err != nil {
		t.Errorf("a message of an earlier version: %v", err)
	}
}

// The leader's cost of a refusal when 1,500 jobs a second are refused: the message's check, the refusal
// and the answer's stamp. It also reports the memory of the refusals that are remembered.
func BenchmarkRefusal(b *testing.B) {
	const perSecond = 1500
	now := time.Now()
	m := newMessageOrder(7, now)
	paths := make([]string, perSecond*int(refusalRetention.Seconds()))
	for i := range paths {
		paths[i] = fmt.Sprintf("archive.example/renders/%016x", i)
	}
	seen := m.next(now)
	refuse := func(i int) {
		now = now.Add(time.Second / perSecond)
		about := paths[i%len(paths)]
		if err := m.check(about, seen, now); err != nil {
			b.Fatal(err)
		}
		m.refuse(about, now)
		seen = m.next(now)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range paths {
		refuse(i)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	for i := 0; b.Loop(); i++ {
		refuse(i)
	}
	b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "bytes-remembered")
}
