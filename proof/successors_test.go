package proof

import (
	"context"
	"strings"
	"testing"
	"time"
)

const (
	// successorsTime is how long workers go down and up.
	successorsTime = 40 * time.Second
	// firstHeartbeat is the longest time from a worker's start until its first heartbeat.
	firstHeartbeat = 1500 * time.Millisecond
)

// Guards against a start that went unanswered and is carried out on a later incarnation of a worker
// that keeps its id, while those in between were replaced before their first heartbeat.
func TestSimulatedWorkersThatRestartBeforeTheirFirstHeartbeat(t *testing.T) {
	forEachSeed(t, runSuccessors)
}

func runSuccessors(t *testing.T, seed int64) {
	ctx, cancel := context.WithCancel(context.Background())
	s := newSimulation(t, ctx, seed, fuzzWorkers, false)
	for _, a := range s.agents {
		a.calls.keepsID = true
	}
	s.firstConfig()
	s.sleepWithHeartbeats(3 * time.Second)
	for begun := time.Now(); time.Since(begun) < successorsTime; {
		for range 2 {
			s.submitRandomJob()
			s.sleepWithHeartbeats(time.Duration(100+s.rng.Intn(300)) * time.Millisecond)
		}
		if s.rng.Intn(3) == 0 {
			s.restartInTurn(s.rng.Intn(fuzzWorkers))
		}
	}
	s.sleepWithHeartbeats(recoveryTime)
	s.calls.Wait()
	err := s.check()
	s.end(cancel)
	if err != nil {
		t.Fatalf("seed %d: %v\n%s", seed, err, strings.Join(s.log, "\n"))
	}
}

// restartInTurn takes a worker down and up a few times. It is up for less time than until its first
// heartbeat, but for the last time.
func (s *simulation) restartInTurn(i int) {
	a, times := s.agents[i], 2+s.rng.Intn(2)
	for range times {
		if r := a.host.Current(); r != nil {
			r.Crash()
		}
		s.sleepWithHeartbeats(time.Duration(200+s.rng.Intn(600)) * time.Millisecond)
		a.host.Replace()
		a.quietUntil = time.Now().Add(firstHeartbeat)
		s.logf("worker %d is up again", i)
		s.sleepWithHeartbeats(time.Duration(300+s.rng.Intn(900)) * time.Millisecond)
	}
}
