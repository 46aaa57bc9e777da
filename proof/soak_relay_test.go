package proof

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/transport"
)

// soakRelayEnv is the environment variable with the address of the relay through which an agent's
// process reaches the control. A process of the test binary that has it set is such an agent.
const soakRelayEnv = "WAXWINGHAVEN_SOAK_RELAY"

// relayedNetwork is the sockets, but connections to the control pass through a relay. The relay runs
// in the test's process, so it still delivers what a process sent that is gone.
type relayedNetwork struct{ relay string }

// Listen implements transport.Network.
func (relayedNetwork) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp4", address)
}

// Dial implements transport.Network.
func (n relayedNetwork) Dial(from, address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	if !strings.HasSuffix(address, soakControlPort) {
		return d.Dial("tcp4", address)
	}
	conn, err := d.Dial("tcp4", n.relay)
	if err != nil {
		return nil, err
	}
	_, err = fmt.Fprintln(conn, address)
	return conn, err
}

// soakRelay delays the messages of agents and of the entry to the control.
type soakRelay struct {
	ln     net.Listener
	delays *delays
}

func newSoakRelay(address string, d *delays) (*soakRelay, error) {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	r := &soakRelay{ln, d}
	go r.serve()
	return r, nil
}

func (r *soakRelay) serve() {
	for {
		conn, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.relay(conn.(*net.TCPConn))
	}
}

// relay connects a client with the address that it names first.
func (r *soakRelay) relay(client *net.TCPConn) {
	defer client.Close()
	requests := bufio.NewReader(client)
	target, err := requests.ReadString('\n')
	if err != nil {
		return
	}
	ip := client.RemoteAddr().(*net.TCPAddr).IP
	d := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: ip}}
	conn, err := d.Dial("tcp4", strings.TrimSpace(target))
	if err != nil {
		return
	}
	server := conn.(*net.TCPConn)
	defer server.Close()
	go func() {
		r.copy(client, server, server.RemoteAddr().(*net.TCPAddr).IP.String(), ip.String())
		client.CloseWrite()
	}()
	r.copy(server, requests, ip.String(), target)
	server.CloseWrite()
	time.Sleep(time.Second) // the server may still answer
}

// copy relays one direction of a connection, with delays, until its end.
func (r *soakRelay) copy(to net.Conn, from io.Reader, sender, receiver string) {
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		if n > 0 {
			time.Sleep(r.delays.of(sender, receiver, b[:n]))
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// relayAll makes all agents and the entry reach the control through a relay. It must be called before
// any of them is started.
func (s *soak) relayAll() {
	s.delays = newDelays(s.seed)
	address := s.address(252) + ":7109"
	relay, err := newSoakRelay(address, s.delays)
	s.must(err)
	s.t.Cleanup(func() {
		relay.ln.Close()
		transport.SetNetwork(nil)
	})
	transport.SetNetwork(relayedNetwork{address})
	program, err := os.Executable()
	s.must(err)
	for _, a := range s.agents {
		for _, p := range a.processes {
			p.program, p.env = program, []string{soakRelayEnv + "=" + address}
		}
	}
}

// relayFaults are the faults that need a relay. Most others would hide what they bring about: an agent
// that is stopped or a control that is away takes longer than a message is held up.
var relayFaults = []soakFault{
	{"restart-behind-delays", 8, (*soak).restartBehindDelays},
	{"crowd", 6, (*soak).crowd},
	{"kill-agent", 1, func(s *soak) func() { return s.killAgents(1) }},
	{"kill-leader", 1, func(s *soak) func() { d := s.drawTime(0, 2); return func() { s.restart("killed", d, s.leader()) } }},
	{"crash-workers", 1, (*soak).crashWorkers},
}

// restartBehindDelays restarts agents while their messages are held up and their workers reject all
// starts. The messages arrive when the next processes are at work.
func (s *soak) restartBehindDelays() func() {
	agents, late := s.drawAgents(1+s.rng.Intn(3)), retransmissions[2+s.rng.Intn(2)]
	wait, after := s.drawTime(0, 0.8), s.drawTime(0, 1)
	return func() {
		arrive := time.Now().Add(late)
		var list []*soakProcess
		var ips []string
		for _, a := range agents {
			ip, _, _ := net.SplitHostPort(a.announceAddresses[a.active.Load()])
			ips = append(ips, ip)
			list = append(list, a.process())
			s.recordOutage(a, wait+after+2*time.Second)
			s.delays.holdAll(ip, arrive)
			a.calls.setBusy(true)
		}
		s.logf("messages are held up for %v, workers reject starts: %s", late, namesOf(list))
		time.Sleep(wait)
		s.restart("killed", after, list)
		for i, a := range agents {
			s.delays.release(ips[i])
			a.calls.setBusy(false)
		}
	}
}

// soakCrowdCPU is what each task of a crowding job needs, one per worker, in thousandths of a
// processor: two such jobs don't fit at a time.
const soakCrowdCPU = 2700

// crowd submits two standing jobs that don't fit together. The entry's first message about the second
// one arrives late; the first one is cancelled as soon as the second is answered.
func (s *soak) crowd() func() {
	return func() {
		if !s.crowded.TryLock() {
			return // the jobs of the last one may still hold the room
		}
		defer s.crowded.Unlock()
		spec := jobs.Spec{Payload: fmt.Sprintf("lasts=1&cpu=%d", soakCrowdCPU), Steps: []jobs.Step{newStandingStep(len(s.agents), soakCrowdCPU)}}
		first := s.submitOnce(spec)
		s.delays.loseNext(s.address(250), control.PathSubmitJob)
		second := s.submitOnce(spec)
		cancelUntilAnswered(s.gateway, first, s.logf)
		time.Sleep(6 * time.Second) // longer than a message is held up
		cancelUntilAnswered(s.gateway, second, s.logf)
	}
}

// submitOnce submits a job with one call and records the answer.
func (s *soak) submitOnce(spec jobs.Spec) (id string) {
	j := &soakJob{submitted: submitted{spec: spec, standing: true}, submittedAt: time.Now()}
	s.mu.Lock()
	s.nextID++
	id = fmt.Sprintf("%016x", s.nextID)
	s.jobs[id] = j
	s.mu.Unlock()
	err := s.gateway.Submit("a.example", "/q/"+id, spec, 3*time.Second)
	s.logf("job %s: %v", id, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	j.recordAnswer(err)
	return id
}

// checkRejected reports jobs that ran although each attempt to submit them was rejected.
func (s *soak) checkRejected(record map[string][]recordedRun) (found []soakFinding) {
	rejected := 0
	for id, j := range s.jobs {
		if !j.rejectedThroughout() {
			continue
		}
		rejected++
		for task, runs := range record {
			if strings.HasPrefix(task, id+".") {
				found = append(found, soakFinding{task, errors.New("its job was rejected at each attempt and it ran"), runs})
			}
		}
	}
	s.t.Logf("%d jobs were rejected at each attempt; %d writes were held up", rejected, s.delays.held)
	return found
}

// Guards against messages that take effect after their sender has ended or has told its caller that
// they don't: reports of an agent's earlier process, and jobs that were refused.
func TestSoakWithDelayedMessages(t *testing.T) {
	isolateTest(t)
	const withoutWaitlist = 2 // more than the other soaks' first seed: a waitlist keeps the crowds' jobs out
	runSoaksWith(t, *soakSeed+withoutWaitlist, func(s *soak) {
		s.relayAll()
		s.kinds = relayFaults
	}, *soakSameID)
}
