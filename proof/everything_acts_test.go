package proof

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"sync"
	"time"

	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/queues"
	"github.com/waxwinghaven/waxwinghaven/resource"
	"github.com/waxwinghaven/waxwinghaven/runner"
	"github.com/waxwinghaven/waxwinghaven/standin"
	"github.com/waxwinghaven/waxwinghaven/transport"
)

func (e *everything) putConfig() {
	e.mu.Lock()
	e.version += uint64(1 + e.rng.Intn(3))
	v := e.version
	e.mu.Unlock()
	c := queues.Config{Version: v, Source: []byte(fmt.Sprint(v)), Services: []queues.Service{{Name: "vault"}},
		Queues: []queues.Queue{{Name: "q", Host: "a.example", Prefix: "/q/", Service: "vault", TimeoutMS: 3000, TargetMS: 60_000, Slack: 50, MaxAttempts: 3}}}
	ctl := control.NewClient("operator", transport.NewClient(nil, "10.0.3.1"), contacts, e.rng.Intn(fuzzReplicas))
	e.call(func() {
		err := ctl.Call(control.PathPutConfig, 2*time.Second, &control.PutConfig{Config: c}, nil)
		e.note("configuration %d: %v", v, err)
		if err == nil {
			e.mu.Lock()
			e.confirmed = max(e.confirmed, v)
			e.mu.Unlock()
		}
	})
}

// firstConfig sends configurations until one is acknowledged, as operators do before any
// caller comes.
func (e *everything) firstConfig() {
	for acknowledged := false; !acknowledged; {
		e.putConfig()
		e.calls.Wait()
		e.mu.Lock()
		acknowledged = e.confirmed > 0
		e.mu.Unlock()
	}
}

// maxCrashing bounds the jobs of a play with a task that crashes its workers. Each takes a
// worker down three to five times for 3.5 s, and there are three workers.
const maxCrashing = 4

// maxLasting bounds the standing jobs of a play: with all of them a worker still has room.
const maxLasting = 3

// submit hands a job in: two steps, of which the first may have copies, and one task of
// it fails at first.
func (e *everything) submit() {
	id := fmt.Sprintf("%016x", len(e.jobs)+1)
	need := resource.Vector{MilliCPU: int64(300 + e.rng.Intn(1500)), MemoryMB: 10}
	first := jobs.Step{Count: 1 + e.rng.Intn(4), Need: need, EstimateMS: 300, Speculative: e.rng.Intn(2) == 0, Checkpointing: e.rng.Intn(2) == 0}
	second := jobs.Step{Count: 1 + e.rng.Intn(3), Need: need, EstimateMS: 300, DependsOn: []int{0}}
	work := 50 + e.rng.Intn(1500)
	if e.rng.Intn(4) == 0 {
		work += 4000 // its worker is cut off while it runs
	}
	spec := jobs.Spec{Payload: fmt.Sprintf("ms=%d&fails=%d&cpu=%d", work, e.rng.Intn(2), need.MilliCPU), Steps: []jobs.Step{first, second}}
	crashes := ""
	if e.rng.Intn(40) == 0 && e.crashing < maxCrashing {
		e.crashing++
		at := e.rng.Intn(first.Count)
		crashes = jobs.Ref{Job: id, Index: at}.String()
		spec.Payload += fmt.Sprintf("&crash=0.%d", at)
		e.note("task %s crashes its workers", crashes)
	}
	lasts := e.rng.Intn(12) == 0 && crashes == "" && e.lasting < maxLasting
	if lasts {
		e.lasting++
		st := standingStep(2, 300)
		spec = jobs.Spec{Payload: "lasts=1&cpu=300", Steps: []jobs.Step{st}}
	}
	e.mu.Lock()
	e.jobs[id] = &submitted{spec: spec, crashes: crashes, lasts: lasts}
	e.mu.Unlock()
	again := time.Duration(e.rng.Intn(20)) * time.Second
	e.call(func() {
		e.handIn(id, spec)
		if again < 8*time.Second {
			time.Sleep(again) // a copy of the call that was held up somewhere
			e.handIn(id, spec)
		}
	})
}

// handIn sends a job until a clear answer comes, as callers do.
func (e *everything) handIn(id string, spec jobs.Spec) {
	for try := range 4 {
		err := e.gateway.Submit("a.example", "/q/"+id, spec, 3*time.Second)
		e.note("job %s, try %d: %v", id, try, err)
		if err == nil {
			e.mu.Lock()
			e.jobs[id].taken = true
			e.mu.Unlock()
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (e *everything) cancel() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.jobs) == 0 {
		return
	}
	id := fmt.Sprintf("%016x", 1+e.rng.Intn(len(e.jobs)))
	e.jobs[id].cancelled = true
	e.call(func() {
		err := e.gateway.Cancel("a.example", "/q/"+id, 3*time.Second)
		e.note("cancelled %s: %v", id, err)
	})
}

// act lets one thing happen. Only one replica at a time is away or has lost its disk:
// more than that is not to be borne.
func (e *everything) act(hurt *hurtReplica) {
	switch n := e.rng.Intn(21); {
	case n < 9:
		e.submit()
	case n < 10:
		e.cancel()
	case n < 11:
		e.putConfig()
	case n < 13:
		hurt.strike(e)
	case n < 15:
		i := e.rng.Intn(fuzzWorkers)
		e.note("agent %d starts anew", i)
		e.endAgent(i)
		e.startAgent(i)
		e.announce(i)
	case n < 16 && e.rng.Intn(2) == 0:
		e.crashWorker(e.rng.Intn(fuzzWorkers))
	case n < 16:
		i := e.rng.Intn(fuzzWorkers)
		e.note("worker %d crashes by itself", i)
		if r := e.agents[i].host.Current(); r != nil {
			r.Crash()
		}
	case n < 17 && e.rng.Intn(3) == 0:
		e.blackout(hurt)
	case n == 20:
		i, room := e.rng.Intn(fuzzWorkers), int64(3000+e.rng.Intn(fullRoom-3000))
		if r := e.agents[i].host.Current(); r != nil {
			e.note("worker %d has %d processors from now on, in thousandths", i, room)
			r.SetRoom(room)
		}
	case n == 19:
		e.orderDataCentre()
	case n < 19:
		i := e.rng.Intn(fuzzWorkers)
		on := e.rng.Intn(2) == 0
		e.note("agent %d cut off: %v", i, on)
		e.cutAgent(i, on)
	}
}

func (e *everything) endAgent(i int) {
	a := e.agents[i]
	a.away = append(a.away, span{time.Now(), time.Now()})
	a.end()
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (e *everything) cutAgent(i int, on bool) {
	a := e.agents[i]
	switch {
	case on && !a.cut:
		a.away = append(a.away, span{time.Now(), time.Now().Add(fuzzTime + healTime)})
	case !on && a.cut:
		for k := range a.away {
			a.away[k].to = minTime(a.away[k].to, time.Now())
		}
	}
	a.cut = on
	e.net.Isolate(agentIP(i), on)
}

// crashWorker ends a worker with everything that runs on it, and its agent, as a loss of
// their instance does.
func (e *everything) crashWorker(i int) {
	e.note("worker %d crashes", i)
	e.endAgent(i)
	e.agents[i].host.Replace()
	e.startAgent(i)
	e.announce(i)
}

// loseAllButDisks takes the disk of a replica and the power of everything else at one moment:
// of what agents and workers knew nothing is left.
func (e *everything) loseAllButDisks(wiped int) {
	e.note("the disk of replica %d is lost, all else is without power", wiped)
	var others []int
	for i := range fuzzReplicas {
		if i != wiped {
			others = append(others, i)
		}
	}
	for i := range e.agents {
		e.net.Isolate(agentIP(i), true)
	}
	e.net.Isolate(replicaIP(wiped), true)
	e.losePower(others...)
	e.replicas[wiped].end()
	e.net.Isolate(replicaIP(wiped), false)
	if err := os.RemoveAll(e.disk(wiped)); err != nil {
		e.t.Error(err)
	}
	for i, a := range e.agents {
		e.endAgent(i)
		a.host.Replace()
		e.net.Isolate(agentIP(i), a.cut)
		e.startAgent(i)
	}
}

// hurtReplica is the one replica that is not well.
type hurtReplica struct {
	which int
	how   int // 0 for none
	until time.Time
}

const (
	hurtNone = iota
	hurtCut
	hurtDown
	hurtWiped
	hurtPower
)

// strike hurts a replica if all are well.
func (h *hurtReplica) strike(e *everything) {
	if h.how != hurtNone {
		return
	}
	h.which, h.how = e.rng.Intn(fuzzReplicas), 1+e.rng.Intn(4)
	h.until = time.Now().Add(time.Duration(500+e.rng.Intn(6000)) * time.Millisecond)
	e.note("replica %d: %s", h.which, [...]string{"", "cut off", "down", "down, its disk lost", "without power"}[h.how])
	if h.how == hurtCut {
		e.net.Isolate(replicaIP(h.which), true)
		return
	}
	if h.how == hurtPower {
		e.losePower(h.which)
		return
	}
	e.replicas[h.which].end()
	if h.how == hurtWiped {
		if err := os.RemoveAll(e.disk(h.which)); err != nil {
			e.t.Error(err)
		}
	}
}

// losePower ends replicas at one moment, with what their disks had not synced by then.
// What they write or say after that moment is as if it had never been.
func (e *everything) losePower(which ...int) {
	left := make(map[int]map[string][]byte)
	for _, i := range which {
		e.net.Isolate(replicaIP(i), true)
	}
	for _, i := range which {
		left[i] = e.power.left(e.disk(i))
	}
	for _, i := range which {
		e.replicas[i].end()
		e.power.restore(e.disk(i), left[i])
		e.net.Isolate(replicaIP(i), false)
	}
}

// blackout takes the power of all replicas at once, and gives it back.
func (e *everything) blackout(h *hurtReplica) {
	if h.how != hurtNone {
		return
	}
	if e.rng.Intn(2) == 0 {
		e.note("all replicas are without power")
		e.losePower(0, 1, 2)
	} else {
		e.loseAllButDisks(e.rng.Intn(fuzzReplicas))
	}
	time.Sleep(time.Duration(e.rng.Intn(3000)) * time.Millisecond)
	e.note("the power is back")
	for i := range e.replicas {
		e.startReplica(i)
	}
	h.how, h.which, h.until = hurtDown, -1, time.Now()
}

// heal brings the replica back when its time is over. Another may be hurt once it has
// had the time to catch up.
func (h *hurtReplica) heal(e *everything, now time.Time) {
	switch {
	case h.how == hurtNone:
	case now.After(h.until.Add(catchUp)):
		h.how = hurtNone
	case now.After(h.until) && h.which >= 0:
		e.note("replica %d is back", h.which)
		if h.how == hurtCut {
			e.net.Isolate(replicaIP(h.which), false)
		} else {
			e.startReplica(h.which)
		}
		h.which = -1
	}
}

// catchUp is what a replica is given to become a voter again.
const catchUp = 6 * time.Second

// tokenSeen is when a call came with a token.
type tokenSeen struct {
	token uint64
	at    time.Time
}

// lateWorker leaves one start or stop in eight, and one list in 300, without an answer and
// carries it out up to four seconds later, when newer ones have long been.
type lateWorker struct {
	*standin.Host
	// keepsID says that the worker starts again under its id: the next incarnation carries
	// out what was sent to the one before.
	keepsID bool
	// lists says that one list in so many is carried out late, 0 for lateLists.
	lists int

	mu    sync.Mutex
	rng   *rand.Rand
	asked map[string][]tokenSeen // the calls that reached an incarnation at once
	sent  map[string]tokenSeen   // starts that were carried out late, by task and run
}

var errNoAnswer = errors.New("no answer")

// late draws how much later one call in so many is carried out, 0 for at once.
func (w *lateWorker) late(oneIn int) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.rng.Intn(oneIn) > 0 {
		return 0
	}
	return time.Duration(1+w.rng.Intn(4000)) * time.Millisecond
}

// target is whom a call for a worker reaches when it is carried out late.
func (w *lateWorker) target(t runner.Target) runner.Target {
	if r := w.Current(); r != nil && w.keepsID {
		t.Worker = r.Name()
	}
	return t
}

const (
	lateOrders = 8
	lateLists  = 300
)

// greet makes a call's connection, which is to the incarnation that it names: another one
// that keeps the id is asked for a list with the call's token, and nothing else.
func (w *lateWorker) greet(t runner.Target) (v runner.Verdict, err error) {
	r := w.Current()
	if !w.keepsID || r == nil || r.Name() == t.Worker {
		return runner.VerdictDone, nil
	}
	w.noteAsked(t.Token)
	reply, err := r.Hold(runner.HoldCall{Target: runner.Target{Worker: r.Name(), Token: t.Token}})
	if err == nil && reply.Verdict == runner.VerdictDone {
		return runner.VerdictElsewhere, nil
	}
	return reply.Verdict, err
}

// noteAsked keeps that a call with a token reaches the present incarnation at once.
func (w *lateWorker) noteAsked(token uint64) {
	r := w.Current()
	if r == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if l := w.asked[r.Name()]; len(l) == 0 || l[len(l)-1].token < token {
		w.asked[r.Name()] = append(l, tokenSeen{token, time.Now()})
	}
}

// lose draws whether a call goes unanswered and is carried out late.
func (w *lateWorker) lose(oneIn int, t *runner.Target, carryOut func()) bool {
	d := w.late(oneIn)
	if d == 0 {
		w.noteAsked(t.Token)
		return false
	}
	time.AfterFunc(d, func() {
		*t = w.target(*t)
		carryOut()
	})
	return true
}

func (w *lateWorker) Start(c runner.StartCall) (runner.Reply, error) {
	if v, err := w.greet(c.Target); v != runner.VerdictDone || err != nil {
		return runner.Reply{Verdict: v}, err
	}
	sent := tokenSeen{c.Token, time.Now()} // the call's target may change once it is lost
	if w.lose(lateOrders, &c.Target, func() { w.Host.Start(c) }) {
		w.mu.Lock()
		w.sent[startName(c.Task.String(), c.Run)] = sent
		w.mu.Unlock()
		return runner.Reply{}, errNoAnswer
	}
	return w.Host.Start(c)
}

func (w *lateWorker) Stop(c runner.StopCall) (runner.Reply, error) {
	if v, err := w.greet(c.Target); v != runner.VerdictDone || err != nil {
		return runner.Reply{Verdict: v}, err
	}
	if w.lose(lateOrders, &c.Target, func() { w.Host.Stop(c) }) {
		return runner.Reply{}, errNoAnswer
	}
	return w.Host.Stop(c)
}

func (w *lateWorker) Hold(c runner.HoldCall) (runner.HoldReply, error) {
	if v, err := w.greet(c.Target); v != runner.VerdictDone || err != nil {
		return runner.HoldReply{Reply: runner.Reply{Verdict: v}}, err
	}
	if w.lose(cmp.Or(w.lists, lateLists), &c.Target, func() { w.Host.Hold(c) }) {
		return runner.HoldReply{}, errNoAnswer
	}
	return w.Host.Hold(c)
}
