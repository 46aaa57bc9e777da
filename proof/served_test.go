package proof

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/standin"
)

var (
	servedSeeds   = flag.Int("served", 3, "number of seeds of the simulation of served tasks with late calls")
	soakServedFor = flag.Duration("soak-served-for", 20*time.Second, "how long filling jobs are submitted in the soak of served tasks")
)

const (
	// servedTestTime is how long filling jobs are submitted.
	servedTestTime = 60 * time.Second
	// maxTimeOver is how long filling work may keep a served task over its target.
	maxTimeOver = 4 * time.Second
	// minFilled is the least number of filling tasks that must be done: one in two seconds.
	minFilled = 30
)

func servedSpec(ownHeadroom float64) (payload string, step jobs.Step) {
	step = newStandingStep(6, 100)
	step.Image, step.TargetMS = "watch", 50
	return fmt.Sprintf("lasts=1&cpu=100&serves=50&own=%.1f", ownHeadroom), step
}

func fillingSpec(count int, milliCPU int64) (payload string, step jobs.Step) {
	step = newStep(count, milliCPU)
	step.Image, step.Fills, step.Checkpointing = "render", true, true
	return fmt.Sprintf("ms=2500&cpu=%d&takes=%.2f", milliCPU, 160/float64(milliCPU)), step
}

// checkServed checks how long filling work kept served tasks over their target, and that it was
// done.
func checkServed(t *testing.T, what string, hosts []*standin.Host) {
	t.Helper()
	filled := 0
	for i, h := range hosts {
		for _, w := range h.Incarnations() {
			if d := w.LongestOver(); d >= maxTimeOver {
				t.Errorf("%s: on worker %d a served task was over its target for %v", what, i, d)
			}
			for _, r := range w.Record() {
				if r.How == jobs.OutcomeDone.String() {
					filled++
				}
			}
		}
	}
	if filled < minFilled {
		t.Errorf("%s: only %d filling tasks were done", what, filled)
	}
}

func (s *simulation) hosts() (out []*standin.Host) {
	for _, a := range s.agents {
		out = append(out, a.host)
	}
	return out
}

// simulateServed plays filling jobs beside two served jobs on one worker.
func simulateServed(t *testing.T, seed int64, ownHeadroom float64, noDelays bool) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := newSimulation(t, ctx, seed, 1, noDelays)
		defer s.end(cancel)
		s.firstConfig()
		s.sleepWithHeartbeats(3 * time.Second)
		for range 2 {
			s.submitJob(servedSpec(ownHeadroom))
		}
		s.sleepWithHeartbeats(5 * time.Second)
		for time.Since(s.started) < servedTestTime {
			s.submitJob(fillingSpec(6, 4000))
			s.sleepWithHeartbeats(time.Second)
		}
		s.calls.Wait()
		checkServed(t, fmt.Sprintf("seed %d, own headroom %.1f", seed, ownHeadroom), s.hosts())
	})
}

// Guards against a served task that filling work keeps over its target for seconds while the
// other tasks of its job on the worker are within it.
func TestFillingWorkYieldsToEachServedTask(t *testing.T) {
	isolateTest(t)
	for seed, own := range []float64{2.4, 2.6, 2.8, 3.0} {
		simulateServed(t, int64(seed), own, true)
	}
}

// Guards against filling work that goes on beside a served task over its target, since a pace
// call was carried out after a newer one, or a list of runs is late.
func TestFillingWorkYieldsThoughCallsAreLate(t *testing.T) {
	isolateTest(t)
	for seed := range int64(*servedSeeds) {
		simulateServed(t, seed, 2.6, false)
	}
}

// Guards against the same on separate processes and in real time, with answers that are lost or
// late and calls that are carried out late.
func TestSoakOfServedTasks(t *testing.T) {
	isolateTest(t)
	for k := range int64(*soakRuns) {
		seed := *soakSeed + k
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soakServed(t, seed) })
	}
}

func soakServed(t *testing.T, seed int64) {
	s := newSoak(t, seed, false)
	defer s.end()
	s.prepare()
	time.Sleep(soakSettle)
	for range len(s.agents) {
		payload, step := servedSpec(2.6)
		step.MaxPerWorker = 2
		s.submit(newSpec(payload, step))
	}
	time.Sleep(soakSettle)
	for begun := time.Now(); time.Since(begun) < *soakServedFor; time.Sleep(time.Second) {
		for range s.agents {
			s.submit(newSpec(fillingSpec(4, 1200)))
		}
	}
	s.calls.Wait()
	var hosts []*standin.Host
	for _, a := range s.agents {
		hosts = append(hosts, a.host)
	}
	checkServed(t, fmt.Sprint("seed ", seed), hosts)
}

func newSpec(payload string, step jobs.Step) jobs.Spec {
	return jobs.Spec{Payload: payload, Steps: []jobs.Step{step}}
}
