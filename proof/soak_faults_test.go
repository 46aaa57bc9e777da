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

// soakFault is one kind of fault. begin draws what it does, and returns what it does beside
// the other faults, until it is mended.
type soakFault struct {
	name   string
	weight int
	begin  func(*soak) func()
}

var soakFaults = []soakFault{
	{"freeze-agent", 6, func(s *soak) func() { return s.freezing(s.draw(0.05, 8), s.someAgents(1)) }},
	{"freeze-agents", 5, func(s *soak) func() {
		return s.freezing(s.draw(0.05, 8), s.someAgents(2+s.rng.Intn(len(s.agents))))
	}},
	{"freeze-leader", 6, func(s *soak) func() { d := s.draw(0.05, 8); return func() { s.freezing(d, s.leader())() } }},
	{"freeze-control", 3, func(s *soak) func() { return s.freezing(s.draw(0.05, 8), s.someControls(1)) }},
	{"freeze-controls", 4, func(s *soak) func() { return s.freezing(s.draw(0.5, 8), s.someControls(len(s.controls))) }},
	{"freeze-both", 4, (*soak).freezeBoth},
	{"throttle-leader", 6, func(s *soak) func() {
		d, share := s.draw(2, 6), s.share()
		return func() { s.throttle(d, share, s.leader()) }
	}},
	{"throttle-controls", 3, func(s *soak) func() {
		d, share := s.draw(2, 5), s.share()
		return func() { s.throttle(d, share, s.controls) }
	}},
	{"kill-agent", 4, func(s *soak) func() { return s.killingAgents(1) }},
	{"kill-agents", 4, func(s *soak) func() { return s.killingAgents(max(2, len(s.agents)/3)) }},
	{"kill-all-agents", 2, func(s *soak) func() { return s.killingAgents(len(s.agents)) }},
	{"kill-leader", 3, func(s *soak) func() { d := s.draw(0, 6); return func() { s.restart("killed", d, s.leader()) } }},
	{"kill-controls", 2, func(s *soak) func() {
		d := s.draw(0, 6)
		return func() { s.restart("killed", d, s.controls) }
	}},
	{"end-leader", 2, func(s *soak) func() { d := s.draw(0, 2); return func() { s.terminate(d, s.leader()) } }},
	{"succeed-agents", 5, (*soak).succeedAgents},
	{"drain", 6, (*soak).drainWorkers},
	{"drain-and-freeze", 6, (*soak).drainAroundFreeze},
	{"restart-around-freeze", 6, (*soak).restartAroundFreeze},
	{"power-loss", 4, (*soak).losePowerOfSome},
	{"crash-and-freeze", 5, (*soak).crashBeforeFreeze},
	{"crash-workers", 3, (*soak).crashWorkers},
	{"slow-workers", 3, (*soak).slowWorkers},
	{slowDisksFault, 8, (*soak).slowDisks},
}

// slowDisksFault is drawn only where the replicas' disks can be slow.
const slowDisksFault = "slow-disks"

// draw returns a time between two, in seconds; short ones are as likely as long ones.
func (s *soak) draw(from, to float64) time.Duration {
	x := s.rng.Float64()
	return time.Duration((from + (to-from)*x*x) * float64(time.Second))
}

// share is the part of the time that a throttled process is stopped, in percent.
func (s *soak) share() int { return 50 + s.rng.Intn(41) }

// faultsLoop lets faults strike: some at once, some one after the other, some while others
// last.
func (s *soak) faultsLoop(until time.Time) {
	kinds := s.chosenFaults()
	for time.Now().Before(until) {
		f := kinds[s.rng.Intn(len(kinds))]
		strike := f.begin(s)
		s.faults.Go(strike)
		gap := s.draw(0.3, 4)
		if s.rng.Intn(3) == 0 {
			gap = s.draw(0, 0.2)
		}
		time.Sleep(gap)
	}
}

// chosenFaults lists the faults to draw from, each as often as it weighs.
func (s *soak) chosenFaults() (list []soakFault) {
	names := strings.Split(*soakKinds, ",")
	for _, f := range soakFaults {
		if (*soakKinds != "" && !slices.Contains(names, f.name)) || (f.name == slowDisksFault && !*soakDisks) {
			continue
		}
		for range f.weight {
			list = append(list, f)
		}
	}
	if len(list) == 0 {
		s.t.Fatalf("none of %q is a fault", *soakKinds)
	}
	return list
}

func (s *soak) someAgents(n int) (out []*soakProcess) {
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

func (s *soak) someControls(n int) (out []*soakProcess) {
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

// leader returns the control that said last that it leads, by the logs; none before the first.
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

// lastLed returns the last term in which a control led, 0 for none.
func lastLed(log string) uint64 {
	b, err := os.ReadFile(log)
	if err != nil {
		return 0 // it hasn't started yet
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
		return 0 // it is being written
	}
	return x.Term
}

func (s *soak) freezing(d time.Duration, list []*soakProcess) func() {
	return func() {
		s.note("stopped for %v: %s", d, namesOf(list))
		s.awayIfAgents(list, d)
		s.whileFrozen(list, func() { time.Sleep(d) })
		s.note("go on: %s", namesOf(list))
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

// freezeBoth stops the leader and some agents, which go on in any order.
func (s *soak) freezeBoth() func() {
	wait, d1, d2 := s.draw(0, 2), s.draw(0.5, 8), s.draw(0.5, 8)
	agents := s.someAgents(1 + s.rng.Intn(len(s.agents)))
	return func() {
		s.faults.Go(s.freezing(d1, agents))
		time.Sleep(wait)
		s.freezing(d2, s.leader())()
	}
}

// quotaPeriod is the period of a processor quota.
const quotaPeriod = 100 * time.Millisecond

// throttle stops processes for a part of each period, as a processor quota does.
func (s *soak) throttle(d time.Duration, percent int, list []*soakProcess) {
	s.note("throttled for %v, stopped %d%% of the time: %s", d, percent, namesOf(list))
	off := quotaPeriod * time.Duration(percent) / 100
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(quotaPeriod - off) {
		s.whileFrozen(list, func() { time.Sleep(off) })
	}
	s.note("no longer throttled: %s", namesOf(list))
}

// restart kills processes at once, and starts them again after a while.
func (s *soak) restart(how string, after time.Duration, list []*soakProcess) {
	s.note("%s, back after %v: %s", how, after, namesOf(list))
	for _, p := range list {
		if l := p.leave(); l != nil {
			l.kill()
		}
	}
	time.Sleep(after)
	for _, p := range list {
		if s.succeeded(p) {
			continue
		}
		if err := p.start(); err != nil {
			s.t.Errorf("%s does not start: %v", p.name, err)
		}
	}
	s.note("started again: %s", namesOf(list))
}

// succeeded reports whether a place is that of an agent which now runs at its other place.
func (s *soak) succeeded(p *soakProcess) bool {
	return slices.ContainsFunc(s.agents, func(a *soakAgent) bool { return a.places[1-a.at.Load()] == p })
}

// mend leaves one process of each agent, and lets workers carry all calls out at once.
func (s *soak) mend() {
	for _, a := range s.agents {
		a.punctual.Store(true)
		if l := a.places[1-a.at.Load()].leave(); l != nil {
			l.kill()
		}
	}
	s.note("nothing goes wrong any more")
}

func (s *soak) terminate(after time.Duration, list []*soakProcess) {
	s.note("asked to end: %s", namesOf(list))
	for _, p := range list {
		if l := p.leave(); l != nil {
			l.terminate()
		}
	}
	s.restart("ended", after, list)
}

func (s *soak) killingAgents(n int) func() {
	agents, after := s.drawAgents(n), s.draw(0, 6)
	return func() {
		var list []*soakProcess
		for _, a := range agents {
			s.away(a, after+time.Second)
			list = append(list, a.process())
		}
		s.restart("killed", after, list)
	}
}

// away keeps that an agent is not there for a while from now on.
func (s *soak) away(a *soakAgent, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.agentProcess.away = append(a.agentProcess.away, span{time.Now(), time.Now().Add(d)})
}

// awayIfAgents keeps which agents among stopped processes are not there for a while.
func (s *soak) awayIfAgents(list []*soakProcess, d time.Duration) {
	for _, a := range s.agents {
		if slices.Contains(list, a.process()) {
			s.away(a, d)
		}
	}
}

// succeedAgents starts agents' successors at their other addresses shortly before or after
// the predecessors are asked to end.
func (s *soak) succeedAgents() func() {
	agents, lead := s.drawAgents(1+s.rng.Intn(3)), s.draw(0, 2)
	before := s.rng.Intn(2) == 0
	return func() {
		for _, a := range agents {
			s.faults.Go(func() { s.succeed(a, lead, before) })
		}
	}
}

func (s *soak) succeed(a *soakAgent, lead time.Duration, before bool) {
	old := a.process()
	next := a.places[1-a.at.Load()]
	s.note("%s is succeeded by %s, which starts before: %v, %v apart", old.name, next.name, before, lead)
	s.away(a, lead+time.Second)
	end := func() {
		if l := old.leave(); l != nil {
			l.terminate()
		}
	}
	begin := func() {
		if err := next.start(); err != nil {
			s.t.Errorf("%s does not start: %v", next.name, err)
		}
		a.at.Store(1 - a.at.Load())
	}
	if before {
		begin()
		time.Sleep(lead)
		end()
	} else {
		ended := make(chan struct{})
		go func() { end(); close(ended) }()
		time.Sleep(lead)
		begin()
		<-ended
	}
	s.note("%s has ended", old.name)
}

// drainWorkers lets workers say that they leave, and puts others in their places later.
func (s *soak) drainWorkers() func() {
	agents, d := s.drawAgents(1+s.rng.Intn(max(1, len(s.agents)/2))), s.draw(0.5, 6)
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
	s.note("drain, replaced after %v: %s", d, strings.Join(names, " "))
	time.Sleep(d)
	for _, a := range agents {
		s.note("replaced by %s", a.host.Replace().Name())
	}
}

// drainAroundFreeze lets workers drain shortly before, during or after a stop of the control,
// from which some replicas go on before the others.
func (s *soak) drainAroundFreeze() func() {
	agents := s.drawAgents(2 + s.rng.Intn(len(s.agents)))
	d, stay, wait := s.draw(1, 8), s.draw(0.5, 5), s.draw(0, 1.5)
	list := s.controls
	if s.rng.Intn(2) == 0 {
		list = nil // only the leader
	}
	before := s.rng.Intn(2) == 0
	return func() {
		if list == nil {
			list = s.leader()
		}
		if before {
			s.faults.Go(func() { s.drain(agents, d+stay) })
			time.Sleep(wait)
			s.freezing(d, list)()
			return
		}
		s.faults.Go(s.freezing(d, list))
		time.Sleep(max(0, d-wait/2))
		s.drain(agents, stay)
	}
}

// restartAroundFreeze restarts agents while the control is stopped for about a lease: when it
// goes on it finds books that have ended and registrations of the same workers at once.
func (s *soak) restartAroundFreeze() func() {
	agents := s.drawAgents(2 + s.rng.Intn(len(s.agents)))
	d := time.Duration((0.8 + 0.6*s.rng.Float64()) * float64(*soakLease))
	wait, after, share := s.draw(0, 2), s.draw(0, 4), s.share()
	throttled := s.rng.Intn(2) == 0
	return func() {
		list := s.controls
		s.faults.Go(func() {
			s.freezing(d, list)()
			if throttled {
				s.throttle(2*time.Second, share, s.leader())
			}
		})
		time.Sleep(wait)
		var places []*soakProcess
		for _, a := range agents {
			s.away(a, after+time.Second)
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
				s.note("%s crashes", r.Name())
				r.Crash()
			}
		}
	}
}

// crashBeforeFreeze crashes workers and stops their agents, or the control, for longer than a
// lease, once the next incarnations are at work.
func (s *soak) crashBeforeFreeze() func() {
	agents := s.drawAgents(1 + s.rng.Intn(len(s.agents)))
	wait := soakBackAfter + s.draw(0.5, 5)
	d := time.Duration((1 + s.rng.Float64()) * float64(*soakLease))
	controls := s.rng.Intn(2) == 0
	return func() {
		list := s.controls
		for _, a := range agents {
			if r := a.host.Current(); r != nil {
				s.note("%s crashes", r.Name())
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
		s.freezing(d, list)()
	}
}

// losePowerOfSome ends some workers and their agents at one moment.
func (s *soak) losePowerOfSome() func() {
	agents, after := s.drawAgents(1+s.rng.Intn(len(s.agents))), s.draw(0, 4)
	return func() {
		var list []*soakProcess
		for _, a := range agents {
			s.away(a, after+2*time.Second)
			list = append(list, a.process())
			if r := a.host.Current(); r != nil {
				r.Crash()
			}
		}
		s.restart("without power, with their workers", after, list)
	}
}

// slowWorkers delays all answers of some workers for a while.
func (s *soak) slowWorkers() func() {
	agents, d, by := s.drawAgents(1+s.rng.Intn(3)), s.draw(1, 5), s.draw(0.05, 0.9)
	return func() {
		for _, a := range agents {
			a.slow.Store(int64(by))
		}
		s.note("workers beside %s answer %v later for %v", nameOfAgents(agents), by, d)
		time.Sleep(d)
		for _, a := range agents {
			a.slow.Store(0)
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
