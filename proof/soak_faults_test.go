package proof

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"
)

// soakFault is a kind of fault. begin draws its parameters and returns a function that causes the
// fault, runs concurrently with other faults and returns when this one is over.
type soakFault struct {
	name   string
	weight int
	begin  func(*soak) func()
}

var soakFaults = []soakFault{
	{"freeze-agent", 6, func(s *soak) func() { return s.freezeFor(s.drawTime(0.05, 8), s.drawAgentProcesses(1)) }},
	{"freeze-agents", 5, func(s *soak) func() {
		return s.freezeFor(s.drawTime(0.05, 8), s.drawAgentProcesses(2+s.rng.Intn(len(s.agents))))
	}},
	{"freeze-leader", 6, func(s *soak) func() { d := s.drawTime(0.05, 8); return func() { s.freezeFor(d, s.leader())() } }},
	{"freeze-control", 3, func(s *soak) func() { return s.freezeFor(s.drawTime(0.05, 8), s.drawControls(1)) }},
	{"freeze-controls", 4, func(s *soak) func() { return s.freezeFor(s.drawTime(0.5, 8), s.drawControls(len(s.controls))) }},
	{"freeze-both", 4, (*soak).freezeBoth},
	{"throttle-leader", 6, func(s *soak) func() {
		d, share := s.drawTime(2, 6), s.drawPercent()
		return func() { s.throttle(d, share, s.leader()) }
	}},
	{"throttle-controls", 3, func(s *soak) func() {
		d, share := s.drawTime(2, 5), s.drawPercent()
		return func() { s.throttle(d, share, s.controls) }
	}},
	{"kill-agent", 4, func(s *soak) func() { return s.killAgents(1) }},
	{"kill-agents", 4, func(s *soak) func() { return s.killAgents(max(2, len(s.agents)/3)) }},
	{"kill-all-agents", 2, func(s *soak) func() { return s.killAgents(len(s.agents)) }},
	{"kill-leader", 3, func(s *soak) func() { d := s.drawTime(0, 6); return func() { s.restart("killed", d, s.leader()) } }},
	{"kill-controls", 2, func(s *soak) func() {
		d := s.drawTime(0, 6)
		return func() { s.restart("killed", d, s.controls) }
	}},
	{"end-leader", 2, func(s *soak) func() { d := s.drawTime(0, 2); return func() { s.terminate(d, s.leader()) } }},
	{"succeed-agents", 5, (*soak).replaceAgents},
	{"drain", 6, (*soak).drainWorkers},
	{"drain-and-freeze", 6, (*soak).drainAroundFreeze},
	{"restart-around-freeze", 6, (*soak).restartAroundFreeze},
	{"power-loss", 4, (*soak).loseSomePower},
	{"crash-and-freeze", 5, (*soak).crashBeforeFreeze},
	{"crash-workers", 3, (*soak).crashWorkers},
	{"slow-workers", 3, (*soak).slowWorkers},
	{slowDisksFault, 8, (*soak).slowSomeDisks},
}

// slowDisksFault is only used if the replicas run with a sync delay file.
const slowDisksFault = "slow-disks"

// drawTime returns a duration between two numbers of seconds. Short ones are more likely.
func (s *soak) drawTime(from, to float64) time.Duration {
	x := s.rng.Float64()
	return time.Duration((from + (to-from)*x*x) * float64(time.Second))
}

// drawPercent returns the percentage of time that a throttled process is stopped.
func (s *soak) drawPercent() int { return 50 + s.rng.Intn(41) }

// faultsLoop starts faults until the given time: some at nearly the same time, some one after the
// other, some while others last.
func (s *soak) faultsLoop(until time.Time) {
	kinds := s.chosenFaults()
	for time.Now().Before(until) {
		f := kinds[s.rng.Intn(len(kinds))]
		run := f.begin(s)
		s.faults.Go(run)
		gap := s.drawTime(0.3, 4)
		if s.rng.Intn(3) == 0 {
			gap = s.drawTime(0, 0.2)
		}
		time.Sleep(gap)
	}
}

// chosenFaults returns the faults to draw from, each as often as its weight.
func (s *soak) chosenFaults() (list []soakFault) {
	names := strings.Split(*soakFaultNames, ",")
	for _, f := range s.kinds {
		if (*soakFaultNames != "" && !slices.Contains(names, f.name)) || (f.name == slowDisksFault && !*soakSlowDisks) {
			continue
		}
		for range f.weight {
			list = append(list, f)
		}
	}
	if len(list) == 0 {
		s.t.Fatalf("%q names no fault", *soakFaultNames)
	}
	return list
}

func (s *soak) drawAgentProcesses(n int) (out []*soakProcess) {
	for _, a := range s.drawAgents(n) {
		out = append(out, a.process())
	}
	return out
}

func (s *soak) drawAgents(n int) (out []*soakAgent) {
	for _, i := range s.rng.Perm(len(s.agents))[:min(n, len(s.agents))] {
		out = append(out, s.agents[i])
	}
	return out
}

func (s *soak) drawControls(n int) (out []*soakProcess) {
	for _, i := range s.rng.Perm(len(s.controls))[:n] {
		out = append(out, s.controls[i])
	}
	return out
}

func namesOf(list []*soakProcess) string {
	var names []string
	for _, p := range list {
		names = append(names, p.name)
	}
	return strings.Join(names, " ")
}

// leader returns the control with the newest term as leader by the logs; none before the first
// election.
func (s *soak) leader() []*soakProcess {
	var leader []*soakProcess
	newest := uint64(0)
	for _, p := range s.controls {
		if term := lastLed(p.log); term > newest {
			newest, leader = term, []*soakProcess{p}
		}
	}
	return leader
}

// lastLed returns the last term in which a control led according to its log, 0 for none.
func lastLed(log string) uint64 {
	b, err := os.ReadFile(log)
	if err != nil {
		return 0 // not started yet
	}
	at := bytes.LastIndex(b, []byte("This replica leads"))
	if at < 0 {
		return 0
	}
	line := b[bytes.LastIndexByte(b[:at], '\n')+1:]
	if end := bytes.IndexByte(line, '\n'); end >= 0 {
		line = line[:end]
	}
	var x struct {
		Term uint64 `json:"term"`
	}
	if err := json.Unmarshal(line, &x); err != nil {
		return 0 // the line is being written
	}
	return x.Term
}

func (s *soak) freezeFor(d time.Duration, list []*soakProcess) func() {
	return func() {
		s.logf("stopped for %v: %s", d, namesOf(list))
		s.recordOutages(list, d)
		s.whileFrozen(list, func() { time.Sleep(d) })
		s.logf("resumed: %s", namesOf(list))
	}
}

func (s *soak) whileFrozen(list []*soakProcess, f func()) {
	var thaws []func()
	for _, p := range list {
		thaws = append(thaws, p.freeze())
	}
	f()
	for _, thaw := range thaws {
		thaw()
	}
}

// freezeBoth stops the leader and some agents, which resume in any order.
func (s *soak) freezeBoth() func() {
	wait, d1, d2 := s.drawTime(0, 2), s.drawTime(0.5, 8), s.drawTime(0.5, 8)
	agents := s.drawAgentProcesses(1 + s.rng.Intn(len(s.agents)))
	return func() {
		s.faults.Go(s.freezeFor(d1, agents))
		time.Sleep(wait)
		s.freezeFor(d2, s.leader())()
	}
}

// quotaPeriod is the period of a CPU quota.
const quotaPeriod = 100 * time.Millisecond

// throttle stops processes for a part of each period, as a CPU quota does.
func (s *soak) throttle(d time.Duration, percent int, list []*soakProcess) {
	s.logf("throttled for %v, stopped %d%% of the time: %s", d, percent, namesOf(list))
	off := quotaPeriod * time.Duration(percent) / 100
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(quotaPeriod - off) {
		s.whileFrozen(list, func() { time.Sleep(off) })
	}
	s.logf("no longer throttled: %s", namesOf(list))
}

// restart kills processes and starts them again after a while.
func (s *soak) restart(how string, after time.Duration, list []*soakProcess) {
	s.logf("%s, restart after %v: %s", how, after, namesOf(list))
	for _, p := range list {
		if l := p.detach(); l != nil {
			l.kill()
		}
	}
	time.Sleep(after)
	for _, p := range list {
		if s.isReplaced(p) {
			continue
		}
		if err := p.start(); err != nil {
			s.t.Errorf("%s does not start: %v", p.name, err)
		}
	}
	s.logf("started again: %s", namesOf(list))
}

// isReplaced reports whether a process belongs to an agent that now runs as its other process.
func (s *soak) isReplaced(p *soakProcess) bool {
	return slices.ContainsFunc(s.agents, func(a *soakAgent) bool { return a.processes[1-a.active.Load()] == p })
}

// endFaults leaves one process of each agent running, and disables the delays of workers.
func (s *soak) endFaults() {
	for _, a := range s.agents {
		a.noDelays.Store(true)
		if l := a.processes[1-a.active.Load()].detach(); l != nil {
			l.kill()
		}
	}
	s.logf("all faults have ended")
}

func (s *soak) terminate(after time.Duration, list []*soakProcess) {
	s.logf("asked to end: %s", namesOf(list))
	for _, p := range list {
		if l := p.detach(); l != nil {
			l.terminate()
		}
	}
	s.restart("ended", after, list)
}

func (s *soak) killAgents(n int) func() {
	agents, after := s.drawAgents(n), s.drawTime(0, 6)
	return func() {
		var list []*soakProcess
		for _, a := range agents {
			s.recordOutage(a, after+time.Second)
			list = append(list, a.process())
		}
		s.restart("killed", after, list)
	}
}

// recordOutage records that an agent is unreachable from now on for the given time.
func (s *soak) recordOutage(a *soakAgent, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.agentProcess.outages = append(a.agentProcess.outages, span{time.Now(), time.Now().Add(d)})
}

// recordOutages records an outage of each agent whose process is in the list.
func (s *soak) recordOutages(list []*soakProcess, d time.Duration) {
	for _, a := range s.agents {
		if slices.Contains(list, a.process()) {
			s.recordOutage(a, d)
		}
	}
}

// replaceAgents starts agents' successors at their other addresses shortly before or after the
// predecessors are asked to end.
func (s *soak) replaceAgents() func() {
	agents, lead := s.drawAgents(1+s.rng.Intn(3)), s.drawTime(0, 2)
	before := s.rng.Intn(2) == 0
	return func() {
		for _, a := range agents {
			s.faults.Go(func() { s.replaceAgent(a, lead, before) })
		}
	}
}

func (s *soak) replaceAgent(a *soakAgent, lead time.Duration, before bool) {
	old := a.process()
	next := a.processes[1-a.active.Load()]
	s.logf("%s is replaced by %s, which starts first: %v, %v apart", old.name, next.name, before, lead)
	s.recordOutage(a, lead+time.Second)
	end := func() {
		if l := old.detach(); l != nil {
			l.terminate()
		}
	}
	start := func() {
		if err := next.start(); err != nil {
			s.t.Errorf("%s does not start: %v", next.name, err)
		}
		a.active.Store(1 - a.active.Load())
	}
	if before {
		start()
		time.Sleep(lead)
		end()
	} else {
		ended := make(chan struct{})
		go func() { end(); close(ended) }()
		time.Sleep(lead)
		start()
		<-ended
	}
	s.logf("%s has ended", old.name)
}

// drainWorkers makes workers announce that they are leaving, and replaces them later.
func (s *soak) drainWorkers() func() {
	agents, d := s.drawAgents(1+s.rng.Intn(max(1, len(s.agents)/2))), s.drawTime(0.5, 6)
	return func() { s.drain(agents, d) }
}

func (s *soak) drain(agents []*soakAgent, d time.Duration) {
	var names []string
	for _, a := range agents {
		if r := a.host.Current(); r != nil {
			name := r.Name()
			a.leaving.Store(&name)
			names = append(names, name)
		}
	}
	s.logf("drain, replaced after %v: %s", d, strings.Join(names, " "))
	time.Sleep(d)
	for _, a := range agents {
		s.logf("replaced by %s", a.host.Replace().Name())
	}
}

// drainAroundFreeze drains workers shortly before, during or after a stop of the control or of
// its leader. Stopped replicas resume one after the other.
func (s *soak) drainAroundFreeze() func() {
	agents := s.drawAgents(2 + s.rng.Intn(len(s.agents)))
	d, drainTime, wait := s.drawTime(1, 8), s.drawTime(0.5, 5), s.drawTime(0, 1.5)
	list := s.controls
	if s.rng.Intn(2) == 0 {
		list = nil // the leader only
	}
	before := s.rng.Intn(2) == 0
	return func() {
		if list == nil {
			list = s.leader()
		}
		if before {
			s.faults.Go(func() { s.drain(agents, d+drainTime) })
			time.Sleep(wait)
			s.freezeFor(d, list)()
			return
		}
		s.faults.Go(s.freezeFor(d, list))
		time.Sleep(max(0, d-wait/2))
		s.drain(agents, drainTime)
	}
}

// restartAroundFreeze restarts agents while the control is stopped for about a lease. When it
// resumes, it finds expired lease tables and new registrations of the same workers at the same
// time.
func (s *soak) restartAroundFreeze() func() {
	agents := s.drawAgents(2 + s.rng.Intn(len(s.agents)))
	d := time.Duration((0.8 + 0.6*s.rng.Float64()) * float64(*soakLease))
	wait, after, share := s.drawTime(0, 2), s.drawTime(0, 4), s.drawPercent()
	throttled := s.rng.Intn(2) == 0
	return func() {
		list := s.controls
		s.faults.Go(func() {
			s.freezeFor(d, list)()
			if throttled {
				s.throttle(2*time.Second, share, s.leader())
			}
		})
		time.Sleep(wait)
		var places []*soakProcess
		for _, a := range agents {
			s.recordOutage(a, after+time.Second)
			places = append(places, a.process())
		}
		s.restart("killed", after, places)
	}
}

func (s *soak) crashWorkers() func() {
	agents := s.drawAgents(1 + s.rng.Intn(max(1, len(s.agents)/3)))
	return func() {
		for _, a := range agents {
			if r := a.host.Current(); r != nil {
				s.logf("%s crashes", r.Name())
				r.Crash()
			}
		}
	}
}

// crashBeforeFreeze crashes workers and, once the next incarnations are running, stops their
// agents or the control for longer than a lease.
func (s *soak) crashBeforeFreeze() func() {
	agents := s.drawAgents(1 + s.rng.Intn(len(s.agents)))
	wait := soakRestartDelay + s.drawTime(0.5, 5)
	d := time.Duration((1 + s.rng.Float64()) * float64(*soakLease))
	controls := s.rng.Intn(2) == 0
	return func() {
		list := s.controls
		for _, a := range agents {
			if r := a.host.Current(); r != nil {
				s.logf("%s crashes", r.Name())
				r.Crash()
			}
		}
		time.Sleep(wait)
		if !controls {
			list = nil
			for _, a := range agents {
				list = append(list, a.process())
			}
		}
		s.freezeFor(d, list)()
	}
}

// loseSomePower ends some workers and their agents at the same moment.
func (s *soak) loseSomePower() func() {
	agents, after := s.drawAgents(1+s.rng.Intn(len(s.agents))), s.drawTime(0, 4)
	return func() {
		var list []*soakProcess
		for _, a := range agents {
			s.recordOutage(a, after+2*time.Second)
			list = append(list, a.process())
			if r := a.host.Current(); r != nil {
				r.Crash()
			}
		}
		s.restart("power lost, with their workers", after, list)
	}
}

// slowWorkers delays all answers of some workers for a while.
func (s *soak) slowWorkers() func() {
	agents, d, delay := s.drawAgents(1+s.rng.Intn(3)), s.drawTime(1, 5), s.drawTime(0.05, 0.9)
	return func() {
		for _, a := range agents {
			a.answerDelay.Store(int64(delay))
		}
		s.logf("workers beside %s answer with a delay of %v for %v", nameOfAgents(agents), delay, d)
		time.Sleep(d)
		for _, a := range agents {
			a.answerDelay.Store(0)
		}
	}
}

func nameOfAgents(agents []*soakAgent) string {
	var names []string
	for _, a := range agents {
		names = append(names, a.name)
	}
	return fmt.Sprint(names)
}
