package proof

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Addresses of the system that crowds of clients connect to.
const (
	crowdCallers   = "127.9.65.1:7801"
	crowdReady     = "127.9.65.1:7802"
	crowdMetrics   = "127.9.65.1:7803"
	crowdAnnounce  = "127.9.65.21:7804"
	crowdWorker    = "127.9.65.21:7805"
	crowdMessages  = 7810
	crowdOperators = 7811
	crowdOperator  = 7812
	crowdHost      = "a.example"
	crowdPrefix    = "/renders/"
)

const crowdSeeds = `"127.9.65.11:7810", "127.9.65.12:7810", "127.9.65.13:7810"`

// crowdConfig has the limits of the users' pages.
const crowdConfig = `{"Version":%d,"Routes":[{"Name":"q","Host":"a.example","PathPrefix":"/renders/","Type":"unsafe","TimeoutMs":3000,` +
	`"TargetLatencyMs":250,"Service":"vault","MaxAttempts":3,"SlackFactor":2.0}],"Services":[{"Name":"vault","RejectsOverload":true}],` +
	`"Limits":{"MaxHeaderBytes":%d,"MaxBodyBytes":%d,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`

// crowdLimits are the limits of a process, 0 for none.
type crowdLimits struct {
	descriptors int
	memoryMB    int
}

// crowdSystem is three control replicas, an entry and an agent, each a process with limits of its own.
type crowdSystem struct {
	t         *testing.T
	dir       string
	processes map[string]*soakProcess
	limits    map[string]crowdLimits
	version   int
}

// newCrowdSystem starts a system with a configuration. It ends with the test, and all its processes
// are gone then.
func newCrowdSystem(t *testing.T, entry, control crowdLimits) *crowdSystem {
	t.Helper()
	isolateTest(t)
	dir, err := os.MkdirTemp("", "crowd-")
	if err != nil {
		t.Fatal(err)
	}
	s := &crowdSystem{t: t, dir: dir, processes: make(map[string]*soakProcess), limits: make(map[string]crowdLimits)}
	t.Cleanup(s.end)
	for i := 1; i <= 3; i++ {
		ip := fmt.Sprint("127.9.65.1", i)
		s.add(fmt.Sprint("control-", i), ip, control, fmt.Sprintf(
			"[control]\nport = %d\noperator_port = %d\ndata_folder = %q\nform_from_seeds = true\nsnapshot_entries = 20\n[platform]\noperators = \"%s:%d\"\n",
			crowdMessages, crowdOperator, filepath.Join(dir, fmt.Sprint("data-", i)), ip, crowdOperators))
	}
	s.add("entry", "127.9.65.1", entry, fmt.Sprintf("[entry]\nleave_wait = \"10ms\"\n[platform]\ncallers = %q\nready = %q\n", crowdCallers, crowdReady))
	s.configure(16384, 262144)
	s.ordinaryCall()
	return s
}

func (s *crowdSystem) add(name, ip string, l crowdLimits, roles string) {
	s.t.Helper()
	own := fmt.Sprintf("drain = \"2s\"\nmemory_mb = %d\n", l.memoryMB)
	if name == "entry" {
		own += "metrics_port = 7803\n"
	}
	s.start(name, l, strings.Replace(soakSettings(name, ip, crowdSeeds, roles), "drain = \"2s\"\n", own, 1))
}

// start starts a process with limits and the text of its settings.
func (s *crowdSystem) start(name string, l crowdLimits, text string) {
	s.t.Helper()
	bin, err := binaries()
	if err != nil {
		s.t.Fatal(err)
	}
	p, err := newSoakProcess(bin, s.dir, name, text)
	if err != nil {
		s.t.Fatal(err)
	}
	p.descriptors = l.descriptors
	s.processes[name], s.limits[name] = p, l
	if err := p.start(); err != nil {
		s.t.Fatal(err)
	}
}

func (s *crowdSystem) end() {
	for _, p := range s.processes {
		p.killAll()
	}
	if s.t.Failed() {
		s.t.Logf("the logs are in %s", s.dir)
		return
	}
	os.RemoveAll(s.dir)
}

// configure has the operator put the next version of the configuration.
func (s *crowdSystem) configure(maxHeader, maxBody int) {
	s.t.Helper()
	s.version++
	body := fmt.Sprintf(crowdConfig, s.version, maxHeader, maxBody)
	s.eventually("a configuration is accepted", func() error {
		var err error
		for i := 1; i <= 3; i++ {
			var status int
			status, err = crowdCall(http.MethodPut, fmt.Sprintf("http://127.9.65.1%d:%d/waxwinghaven/config", i, crowdOperators), nil, body)
			if err == nil && status == http.StatusOK {
				return nil
			}
			if err == nil {
				err = fmt.Errorf("status %d", status)
			}
		}
		return err
	})
}

// crowdWait bounds the wait for what has to happen at some time. It is long, so that no verdict
// depends on the speed of the machine.
const crowdWait = 90 * time.Second

// eventually tries until there is no error.
func (s *crowdSystem) eventually(what string, try func() error) {
	s.t.Helper()
	var err error
	for end := time.Now().Add(crowdWait); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if err = try(); err == nil {
			return
		}
		s.checkAlive()
	}
	s.t.Fatalf("not within %v: %s: %v", crowdWait, what, err)
}

// crowdCall makes a call on a connection of its own.
func crowdCall(method, url string, headers map[string]string, body string) (int, error) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Host = crowdHost
	req.Close = true
	req.Header.Set("Deadline-Ms", "3000")
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

var crowdIDs struct {
	sync.Mutex
	last int
}

func crowdID() string {
	crowdIDs.Lock()
	defer crowdIDs.Unlock()
	crowdIDs.last++
	return fmt.Sprintf("%016x", crowdIDs.last)
}

// crowdJob is a job of so many steps of one task.
func crowdJob(steps int) string {
	step := `{"Count":1,"Cpu":500,"MemMb":256,"EstimatedMs":900}`
	return `{"Spec":"render","Phases":[` + step + strings.Repeat(","+step, steps-1) + `]}`
}

func submitURL() string { return "http://" + crowdCallers + crowdPrefix + crowdID() }

// ordinaryCall submits a job as an ordinary client does, which repeats a call that isn't answered.
func (s *crowdSystem) ordinaryCall() {
	s.t.Helper()
	url := submitURL()
	s.eventually("an ordinary call is answered", func() error {
		status, err := crowdCall(http.MethodPost, url, nil, crowdJob(1))
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("status %d", status)
		}
		return err
	})
}

// checkAlive fails the test if a process has ended.
func (s *crowdSystem) checkAlive() {
	s.t.Helper()
	for name, p := range s.processes {
		select {
		case <-p.current().ended:
			log, _ := os.ReadFile(p.log)
			s.t.Fatalf("%s has ended by itself: %s", name, lastLine(log))
		default:
		}
	}
}

func lastLine(log []byte) []byte {
	lines := bytes.Split(bytes.TrimSpace(log), []byte("\n"))
	return lines[len(lines)-1]
}

// check fails the test if a process has ended, or has used more memory or descriptors than its limits.
func (s *crowdSystem) check() {
	s.t.Helper()
	s.checkAlive()
	for name, p := range s.processes {
		l := s.limits[name]
		pid := p.current().cmd.Process.Pid
		if peak := peakMemoryKB(s.t, pid); l.memoryMB > 0 && peak > l.memoryMB<<10 {
			s.t.Errorf("%s used %d kB of memory at its peak, its limit is %d MB", name, peak, l.memoryMB)
		}
		// A process keeps some descriptors free for what it opens next.
		if open := openDescriptors(s.t, pid); l.descriptors > 0 && open >= l.descriptors {
			s.t.Errorf("%s has %d descriptors open, its limit is %d", name, open, l.descriptors)
		}
	}
}

// peakMemoryKB returns the largest resident set that a process has had.
func peakMemoryKB(t *testing.T, pid int) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			if err != nil {
				t.Fatal(err)
			}
			return kb
		}
	}
	t.Fatalf("no VmHWM of process %d", pid)
	return 0
}

func openDescriptors(t *testing.T, pid int) int {
	t.Helper()
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(list)
}

// crowd is connections of clients that hold on until the test ends.
type crowd struct {
	t     *testing.T
	addr  string
	conns []net.Conn
}

// connect opens count connections and writes the same on each. A connection that is refused or
// closed stays so.
func connectCrowd(t *testing.T, addr string, count int, write string) *crowd {
	t.Helper()
	c := &crowd{t: t, addr: addr}
	t.Cleanup(c.close)
	// Answers that nobody reads stay at the sender, instead of in large buffers here.
	dialer := net.Dialer{Timeout: 10 * time.Second, Control: func(_, _ string, rc syscall.RawConn) (err error) {
		return errors.Join(rc.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) }), err)
	}}
	for range count {
		conn, err := dialer.Dial("tcp", addr)
		if err != nil {
			continue
		}
		c.conns = append(c.conns, conn)
		conn.SetWriteDeadline(time.Now().Add(10 * time.Second))
		conn.Write([]byte(write))
	}
	return c
}

// writeAll writes the same on each connection, at the same time; a connection that takes no more
// for a second is left.
func (c *crowd) writeAll(data string) {
	var all sync.WaitGroup
	for _, conn := range c.conns {
		all.Go(func() {
			conn.SetWriteDeadline(time.Now().Add(time.Second))
			conn.Write([]byte(data))
		})
	}
	all.Wait()
}

func (c *crowd) close() {
	for _, conn := range c.conns {
		conn.Close()
	}
}

// awaitEnds waits until the other side has answered or closed each connection.
func (c *crowd) awaitEnds() (open int) {
	var all sync.WaitGroup
	var mu sync.Mutex
	for _, conn := range c.conns {
		all.Go(func() {
			conn.SetReadDeadline(time.Now().Add(crowdWait))
			_, err := conn.Read(make([]byte, 1))
			if e, ok := err.(net.Error); ok && e.Timeout() {
				mu.Lock()
				open++
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return open
}
