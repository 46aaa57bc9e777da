package control

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/resource"
	"github.com/waxwinghaven/waxwinghaven/upkeep"
)

// platformMachines simulates the platform shared by all replicas. Like the real one it refuses
// lower tokens than the highest one used.
type platformMachines struct {
	mu          sync.Mutex
	list        []upkeep.Machine
	token       uint64
	holder      string
	downs       map[string]int
	dropAnswers int // number of answers to drop
	shared      int // orders of two holders under the same token
}

func (p *platformMachines) ListedAs(worker string) string {
	id, _, _ := strings.Cut(worker, "#")
	return id
}

func (p *platformMachines) List(context.Context) ([]upkeep.Machine, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]upkeep.Machine(nil), p.list...), nil
}

func (p *platformMachines) Upkeep(_ context.Context, o MachineOrder) (MachineVerdict, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o.Token < p.token {
		return MachineFenced, nil
	}
	if o.Token == p.token && o.Holder != p.holder {
		p.shared++
	}
	p.token, p.holder = o.Token, o.Holder
	if p.downs[o.Machine] == 0 {
		p.downs[o.Machine]++
		for i := range p.list {
			if p.list[i].Name == o.Machine {
				p.list[i].Worker += "-next" // goes down and comes back immediately
			}
		}
	}
	if p.dropAnswers > 0 {
		p.dropAnswers--
		return 0, errors.New("no answer")
	}
	return MachineDone, nil
}

// count returns the number of machines that went down.
func (p *platformMachines) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.downs)
}

// highestToken returns the highest token that was used.
func (p *platformMachines) highestToken() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.token
}

func (p *platformMachines) Move(_ context.Context, o MachineOrder) (MachineVerdict, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.list {
		if p.list[i].Name == o.Machine {
			p.list[i].Pool = o.Pool
			return MachineDone, nil
		}
	}
	return MachineUnknown, nil
}

// Guards against a machine move, requested at any replica, that ends a caller's standing tasks
// beyond the allowed number. The move must be refused until the tasks are gone, and always for an
// unknown machine.
func TestMoveIsRefusedWhileItsStandingTasksRun(t *testing.T) {
	inVirtualTime(t, moveBesideStandingTasks)
}

func moveBesideStandingTasks(t *testing.T) {
	p := &platformMachines{downs: make(map[string]int), list: []upkeep.Machine{{Name: "m0", Pool: "vault", Up: true, Worker: "w"}}}
	c := newClusterWith(t, "20ms", func(r *Replica) { r.SetMachines(p, 10*time.Millisecond) })
	c.prepareJobs(4)
	job := standingJob("00000000000000aa", 2)
	job.Spec.Steps[0].Count, job.Spec.Steps[0].Need.MilliCPU, job.Spec.Steps[0].MaxUnavailable = 2, 1000, 1
	if err := c.untilAnswered(func(l int) error { _, err := c.replicas[l].onSubmitJob(job); return err }); err != nil {
		t.Fatal(err)
	}
	c.wait("its tasks are placed", func() bool {
		runs := 0
		c.replicas[0].machine.Read(func(s *State) { runs = len(s.Jobs.RunsOn("w")) })
		return runs == 2
	})
	moveTo := func(pool, machine string) error {
		return c.untilAnswered(func(l int) error {
			_, err := c.replicas[(l+1)%3].MoveMachine(MachineMove{Machine: machine, Pool: pool})
			return err
		})
	}
	if err := moveTo("other", "m0"); !refusal.Is(err, refusal.Conflict) {
		t.Fatalf("with standing tasks on it: %v", err)
	}
	cancel := CancelJob{JobCall: JobCall{job.Host, job.Path}}
	if err := c.untilAnswered(func(l int) error { _, err := c.replicas[l].onCancelJob(cancel); return err }); err != nil {
		t.Fatal(err)
	}
	c.wait("the move is accepted", func() bool { return moveTo("other", "m0") == nil })
	if list, _ := p.List(context.Background()); list[0].Pool != "other" {
		t.Errorf("the machines are %+v", list)
	}
	if err := moveTo("other", "m9"); !refusal.Is(err, refusal.NotFound) {
		t.Errorf("an unknown machine: %v", err)
	}
}

// untilAnswered makes a call, which must be idempotent, again as callers do while the outcome is
// unknown or there is no leader that may answer, and returns its answer.
func (c *cluster) untilAnswered(call func(leader int) error) (err error) {
	c.wait("a clear answer", func() bool {
		l := c.leader()
		if l < 0 {
			return false
		}
		err = call(l)
		for _, code := range []refusal.Code{refusal.UnknownOutcome, refusal.NotLeader, refusal.NoQuorum, refusal.Unreachable} {
			if refusal.Is(err, code) {
				return false
			}
		}
		return true
	})
	return err
}

// Guards against a wave that stalls or repeats work when its leader is partitioned, the answers
// to two orders are lost and another replica leads. Every machine must go down exactly once, no
// token may be used by two leaders, and the wave must be reported as completed only then, at any
// replica.
func TestAWaveOutlivesItsLeader(t *testing.T) {
	p := &platformMachines{downs: make(map[string]int), dropAnswers: 2}
	c := newClusterWith(t, "20ms", func(r *Replica) { r.SetMachines(p, 10*time.Millisecond) })
	wave := upkeep.Wave{Number: 5, DurationMS: 60_000, MaxConcurrent: 2}
	p.mu.Lock()
	for i := range 6 {
		name := fmt.Sprintf("m%d", i)
		p.list = append(p.list, upkeep.Machine{Name: name, Up: true, Worker: "w-" + name})
		wave.Machines = append(wave.Machines, name)
	}
	p.mu.Unlock()
	first := c.leader()
	if _, err := c.replicas[(first+1)%3].StartWave(wave); err != nil {
		t.Fatalf("a wave at a replica that does not lead: %v", err)
	}
	c.wait("the first machine goes down", func() bool { return p.count() > 0 })
	if v, err := c.replicas[(first+2)%3].GetWave(WaveQuery{5}); err != nil || v.Completed {
		t.Fatalf("the wave after its first machine: %+v %v", v, err)
	}
	c.isolate(first, true)
	c.wait("a new leader", func() bool { return c.leader() >= 0 })
	c.replicas[first].waves.sendOrder(context.Background(), upkeep.Order{Wave: 5, Machine: "m5"}, 1_000_000)
	if p.highestToken() == 1_000_000 {
		t.Fatal("a partitioned leader gave an order")
	}
	c.wait("the wave is completed", func() bool {
		l := c.leader()
		if l < 0 {
			return false
		}
		v, err := c.replicas[l].GetWave(WaveQuery{5})
		return err == nil && v.Completed
	})
	c.isolate(first, false)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range wave.Machines {
		if p.downs[m] != 1 {
			t.Errorf("%s went down %d times", m, p.downs[m])
		}
	}
	if p.shared != 0 {
		t.Errorf("%d orders under another holder's token", p.shared)
	}
}

// Guards against a machine that counts as back, so that the next one may go down, while the list
// still names its worker by an id that the next incarnation will also have.
func TestListedWorkersAreNamedAsTheyAreRegistered(t *testing.T) {
	p := &platformMachines{downs: make(map[string]int), list: []upkeep.Machine{{Name: "m0", Up: true, Worker: "w"}, {Name: "m1", Up: true, Worker: "x"}}}
	c := newClusterWith(t, "20ms", func(r *Replica) { r.SetMachines(p, 10*time.Millisecond) })
	c.prepareJobs(4)
	l := c.replicas[c.leader()]
	want := func(name string) {
		t.Helper()
		list, err := l.waves.list(t.Context())
		if err != nil || list[0].Worker != name || list[1].Worker != "x" {
			t.Fatalf("the machines are %+v (%v), want worker %s", list, err, name)
		}
	}
	register := func(w jobs.Worker) {
		t.Helper()
		w.Agent, w.Service, w.Capacity.MilliCPU = "a", "vault", 4000
		if _, err := l.onRegister(Registration{Worker: w}); err != nil {
			t.Fatal(err)
		}
	}
	want("w")
	register(jobs.Worker{ID: "w#7", Session: "2"})
	want("w#7")
	wave := upkeep.Wave{Number: 5, Machines: []string{"m0"}, DurationMS: 60_000, MaxConcurrent: 1}
	if _, err := l.proposeJob(JobCommand{Wave: &StartWave{Wave: wave, AtMS: 1}}); err != nil {
		t.Fatal(err)
	}
	mark := upkeep.Mark{Wave: 5, Machine: "m0", Phase: upkeep.Down, Worker: "w#7", AtMS: 2}
	if _, err := l.proposeJob(JobCommand{Marks: []upkeep.Mark{mark}}); err != nil {
		t.Fatal(err)
	}
	if _, err := l.onWorkerGone(WorkerRef{Worker: "w#7", Session: "2"}); err != nil {
		t.Fatal(err)
	}
	want("w#7") // the machine is down, no worker is registered there
	register(jobs.Worker{ID: "w#3", Session: "3"})
	want("w#3")
}

// Guards against a second move of a machine that ends a standing task while those of the first machine
// are away, though its worker is still registered.
func TestMoveCountsTheTasksOfMachinesThatWereJustMoved(t *testing.T) {
	inVirtualTime(t, moveTwoMachines)
}

func moveTwoMachines(t *testing.T) {
	p := &platformMachines{downs: make(map[string]int), list: []upkeep.Machine{
		{Name: "m0", Pool: "vault", Up: true, Worker: "w"}, {Name: "m1", Pool: "vault", Up: true, Worker: "w1"}}}
	c := newClusterWith(t, "20ms", func(r *Replica) { r.SetMachines(p, 10*time.Millisecond) })
	c.prepareJobs(4)
	second := Registration{Worker: jobs.Worker{ID: "w1", Agent: "a1", Session: "1", Service: "vault", Capacity: resource.Vector{MilliCPU: 4000}}}
	if err := c.untilAnswered(func(l int) error { _, err := c.replicas[l].onRegister(second); return err }); err != nil {
		t.Fatal(err)
	}
	renew := func() {
		if l := c.leader(); l >= 0 {
			for worker, session := range map[string]string{"w": "1", "w1": "1"} {
				c.replicas[l].onLease(LeaseRequest{WorkerRef: WorkerRef{worker, session}, WallMS: time.Now().UnixMilli(), ReportsStarts: true})
			}
		}
	}
	job := standingJob("00000000000000aa", 3)
	job.Spec.Steps[0].Count, job.Spec.Steps[0].MaxUnavailable = 2, 1
	if err := c.untilAnswered(func(l int) error { renew(); _, err := c.replicas[l].onSubmitJob(job); return err }); err != nil {
		t.Fatal(err)
	}
	move := func(machine string) error {
		return c.untilAnswered(func(l int) error {
			renew()
			_, err := c.replicas[l].MoveMachine(MachineMove{Machine: machine, Pool: "other"})
			return err
		})
	}
	c.wait("the first move is accepted", func() bool { time.Sleep(50 * time.Millisecond); return move("m0") == nil })
	if err := move("m1"); !refusal.Is(err, refusal.Conflict) {
		t.Errorf("a second move while the tasks of the first machine are away: %v", err)
	}
}
