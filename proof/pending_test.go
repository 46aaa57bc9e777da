package proof

import (
	"context"
	"math/rand"
	"sync/atomic"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/runner"
	"github.com/waxwinghaven/waxwinghaven/standin"
)

// crashingHost is a host whose first worker crashes as its n-th start arrives, which it does not carry
// out.
type crashingHost struct {
	*standin.Host
	crashAt int64
	starts  atomic.Int64
}

// Start implements runner.Worker.
func (h *crashingHost) Start(c runner.StartCall) (runner.Reply, error) {
	if r := h.Current(); h.starts.Add(1) == h.crashAt && r != nil {
		r.Crash()
		return runner.Reply{}, runner.ErrClosed
	}
	return h.Host.Start(c)
}

const (
	waitingJobs  = 4
	waitingTasks = 2
	// beginSlack is the time that a change takes to show in the queue's length: a renewal.
	beginSlack = 1500 * time.Millisecond
)

// Guards against jobs that are not counted as pending though none of their tasks has begun: the only
// worker that can run them crashes at one of its first starts, beside restarts of its agent.
func TestSimulatedQueueCountsJobsThatHaveNotBegun(t *testing.T) {
	forEachSeed(t, runFirstOrders)
}

func runFirstOrders(t *testing.T, seed int64) {
	ctx, cancel := context.WithCancel(context.Background())
	s := newSimulation(t, ctx, seed, fuzzWorkers, true)
	defer s.end(cancel)
	rng := rand.New(rand.NewSource(seed))
	s.firstConfig()
	s.sleepWithHeartbeats(3 * time.Second)
	st := jobs.Step{Count: waitingTasks, EstimateMS: 60_000, Label: "b"}
	st.Need.MilliCPU = 1000
	for range waitingJobs {
		s.submitJob("ms=60000&cpu=1000", st)
	}
	s.sleepWithHeartbeats(5 * time.Second)
	if n := s.pending(); n != waitingJobs {
		t.Fatalf("%d jobs are pending while no worker can run them", n)
	}
	i := len(s.agents)
	host := &crashingHost{Host: standin.NewHost("b", restartDelay, fullCapacity), crashAt: int64(1 + rng.Intn(2*waitingJobs))}
	s.agents = append(s.agents, &agentProcess{host: host.Host, reached: host, label: "b"})
	host.SetMaxListed(fuzzMaxListed)
	s.startAgent(i)
	restartAt := time.Now().Add(time.Duration(rng.Intn(4000)) * time.Millisecond)
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); s.sleepWithHeartbeats(400 * time.Millisecond) {
		if rng.Intn(2) == 0 && time.Now().After(restartAt) {
			restartAt = end
			s.logf("agent %d restarts", i)
			s.endAgent(i)
			s.startAgent(i)
		}
		asked, n := time.Now(), s.pending()
		if unbegun := waitingJobs - s.begunBy(asked.Add(beginSlack)); 2*n < unbegun && !s.beginsSoon(unbegun) {
			t.Fatalf("%d jobs are pending, %d have not begun\n%v", n, unbegun, s.log)
		}
	}
}

// pending returns the length of the plain queue.
func (s *simulation) pending() int {
	a, err := s.gateway.LookUp("a.example", plainPrefix, time.Second)
	if err != nil {
		s.t.Errorf("the queue's length: %v", err)
	}
	return a.Pending
}

// beginsSoon reports whether fewer jobs have not begun a little later.
func (s *simulation) beginsSoon(unbegun int) bool {
	s.sleepWithHeartbeats(beginSlack)
	return waitingJobs-s.begunBy(time.Now()) < unbegun
}

// begunBy returns the number of jobs of which a task had begun by a time.
func (s *simulation) begunBy(at time.Time) int {
	begun := make(map[string]bool)
	for _, host := range s.hosts() {
		for _, r := range host.Incarnations() {
			for _, x := range r.Record() {
				if x.StartMS <= at.UnixMilli() {
					begun[x.Task[:jobs.IDLength]] = true
				}
			}
		}
	}
	return len(begun)
}
