package proof

import (
	"bytes"
	"context"
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/entry"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// retransmissions are the times after which a segment that was lost arrives, by the number of times
// that it was lost: the retransmission timer starts at 250 ms and doubles.
var retransmissions = []time.Duration{250 * time.Millisecond, 750 * time.Millisecond, 1750 * time.Millisecond, 3750 * time.Millisecond}

// lossOdds is the number of writes of which one is lost.
const lossOdds = 400

// delays holds up messages, which then arrive late and possibly after their sender has ended.
type delays struct {
	mu    sync.Mutex
	rng   *rand.Rand
	until map[string]time.Time // when what a host writes arrives, by IP number
	next  map[string]string    // the text of a host's next message to lose, by IP number
	held  int                  // number of writes that were held up
}

func newDelays(seed int64) *delays {
	return &delays{rng: rand.New(rand.NewSource(seed)), until: make(map[string]time.Time), next: make(map[string]string)}
}

// holdAll makes all that a host writes until release arrive at one time.
func (d *delays) holdAll(ip string, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.until[ip] = until
}

func (d *delays) release(ip string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.until, ip)
}

// loseNext makes the next message of a host that contains a text arrive late.
func (d *delays) loseNext(ip, text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.next[ip] = text
}

// of implements memnet.DelayFunc.
func (d *delays) of(from, to string, b []byte) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	delay := time.Duration(0)
	switch text := d.next[from]; {
	case !d.until[from].IsZero():
		delay = max(time.Until(d.until[from]), 0)
	case text != "" && bytes.Contains(b, []byte(text)):
		delete(d.next, from)
		delay = retransmissions[1+d.rng.Intn(3)]
	case d.rng.Intn(lossOdds) == 0:
		delay = retransmissions[d.rng.Intn(len(retransmissions))]
	}
	if delay > 0 {
		d.held++
	}
	return delay
}

// injectDelay draws an event in which messages are delayed.
func (s *simulation) injectDelay() {
	switch n := s.rng.Intn(20); {
	case n < 2:
		s.restartBehindDelays(s.rng.Intn(fuzzWorkers))
	case n < 4:
		s.crowd()
	}
}

// restartBehindDelays restarts an agent whose messages are held up and whose worker rejects all
// starts meanwhile. They arrive when its next process is at work.
func (s *simulation) restartBehindDelays(i int) {
	a := s.agents[i]
	arrive := time.Now().Add(retransmissions[2+s.rng.Intn(2)])
	s.logf("agent %d: its messages arrive after %v; it restarts, its worker rejects starts", i, time.Until(arrive))
	a.calls.setBusy(true)
	s.delays.holdAll(agentIP(i), arrive)
	time.Sleep(time.Duration(s.rng.Intn(600)) * time.Millisecond)
	s.endAgent(i)
	s.delays.release(agentIP(i))
	a.calls.setBusy(false)
	s.startAgent(i)
	s.announce(i)
}

// crowdCPU is what each of the two standing tasks of a crowding job needs, in thousandths of a
// processor: two such jobs don't fit at a time.
const crowdCPU = 10_000

// crowd submits two jobs that don't fit together. The entry's first message about the second one
// arrives late. The first job is cancelled as soon as the second is answered.
func (s *simulation) crowd() {
	newJob := func() (id string, spec jobs.Spec) {
		id = fmt.Sprintf("%016x", len(s.jobs)+1)
		spec = jobs.Spec{Payload: fmt.Sprintf("lasts=1&cpu=%d", crowdCPU), Steps: []jobs.Step{newStandingStep(2, crowdCPU)}}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.jobs[id] = &submitted{spec: spec, standing: true, cancelled: true}
		return id, spec
	}
	first, spec := newJob()
	second, _ := newJob()
	s.goCall(func() {
		s.submitOnce(first, spec)
		s.delays.loseNext(gatewayIP, control.PathSubmitJob)
		s.submitOnce(second, spec)
		cancelUntilAnswered(s.gateway, first, s.logf)
		time.Sleep(6 * time.Second) // longer than a message is held up
		cancelUntilAnswered(s.gateway, second, s.logf)
	})
}

// submitOnce submits a job with one call.
func (s *simulation) submitOnce(id string, spec jobs.Spec) {
	err := s.gateway.Submit("a.example", s.path(id), spec, 3*time.Second)
	s.logf("job %s: %v", id, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs[id].recordAnswer(err)
}

// recordAnswer records what a caller was told about its job. All but an acceptance and an unknown
// outcome tell it that the job never runs.
func (j *submitted) recordAnswer(err error) {
	j.attempts++
	j.accepted = j.accepted || err == nil
	if err != nil && !refusal.Is(err, refusal.UnknownOutcome) && !refusal.Is(err, refusal.Unreachable) {
		j.rejected++
	}
}

// rejectedThroughout reports whether each attempt to submit the job was rejected.
func (j *submitted) rejectedThroughout() bool { return j.attempts > 0 && j.rejected == j.attempts }

// cancelUntilAnswered cancels a job, with retries until the caller knows that it is over or unknown.
func cancelUntilAnswered(gateway *entry.Jobs, id string, logf func(string, ...any)) {
	for range 20 {
		err := gateway.Cancel("a.example", "/q/"+id, 3*time.Second)
		logf("cancelled %s: %v", id, err)
		if err == nil || refusal.Is(err, refusal.NotFound) {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// checkRejected reports jobs that ran although each attempt to submit them was rejected.
func (s *simulation) checkRejected() error {
	rejected := 0
	for id, j := range s.jobs {
		if !j.rejectedThroughout() {
			continue
		}
		rejected++
		if runs := s.runsOf(id); len(runs) > 0 {
			return fmt.Errorf("job %s was rejected at each of %d attempts and ran: %+v", id, j.attempts, runs)
		}
	}
	s.t.Logf("%d jobs were rejected at each attempt; %d writes were held up", rejected, s.delays.held)
	return nil
}

// seedsOfDelays are seeds with which TestSimulatedSystemWithDelayedMessages has failed: tasks ran on two
// workers (4, 21, 33), rejected jobs ran (22, 27, 39, 45, 54, 56).
var seedsOfDelays = []int64{4, 21, 33, 22, 27, 39, 45, 54, 56}

// Checks the system's guarantees while messages are held up in the network: those of an agent over its
// restart, the first one about a job until there is room for it, and single ones of all processes.
// What arrives late must neither start a task twice nor accept a job whose caller was told that it
// never runs.
func TestSimulatedSystemWithDelayedMessages(t *testing.T) {
	isolateTest(t)
	seeds := slices.Clone(seedsOfDelays)
	for seed := range int64(*simulationSeeds) {
		if !slices.Contains(seeds, seed) {
			seeds = append(seeds, seed)
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runDelayedSimulation(t, seed) })
		})
	}
}

func runDelayedSimulation(t *testing.T, seed int64) {
	ctx, cancel := context.WithCancel(context.Background())
	s := newSimulation(t, ctx, seed, fuzzWorkers, false)
	s.delays = newDelays(seed)
	s.net.SetDelay(s.delays.of)
	s.run()
	err := s.check()
	if err == nil {
		err = s.checkRejected()
	}
	s.end(cancel)
	if err != nil {
		t.Fatalf("seed %d: %v\n%s", seed, err, strings.Join(s.log, "\n"))
	}
}
