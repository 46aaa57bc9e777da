package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports, the same on all machines, as on the users' platform.
const (
	portInternal = 7720
	portOperator = 7721
	portCallers  = 8161
	portReady    = 8167
	portControl  = 8166
	portApp      = 8165
)

const (
	daemon  = "target/waxwinghavend" // as the deploy file starts it
	host    = "nony24.example"
	service = "huvo11a"
	prefix  = "/lohu930/"
	route   = "r-3hwrr6x"
	zone    = "hall-a"

	maxStart = 25 * time.Second // of the system until it serves
	restart  = time.Second      // after which the platform starts a killed process again
)

// machine is one machine with one of the project's processes.
type machine struct {
	name, ip, settings string
	cmd                *exec.Cmd
}

// stage is a small deployment.
type stage struct {
	rec      *record
	trouble  bool
	folder   string
	net      string // the first three numbers of all addresses
	core     []*machine
	started  []*machine
	workers  []*worker
	proxies  []*proxy
	leaderIP string

	mu    sync.Mutex
	needs map[string]int64 // Cpu of a task, by job
	http  *http.Client
}

func newStage(rec *record, trouble bool) (*stage, error) {
	folder, err := os.MkdirTemp("", "stage")
	if err != nil {
		return nil, err
	}
	s := &stage{rec: rec, trouble: trouble, folder: folder, needs: make(map[string]int64), http: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	for range 50 {
		s.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		if s.isFree() {
			return s, nil
		}
	}
	return nil, errors.New("no free addresses")
}

// isFree reports whether nothing listens at the first addresses of the stage.
func (s *stage) isFree() bool {
	for n := 1; n < 4; n++ {
		ln, err := net.Listen("tcp4", s.address(n, portInternal))
		if err != nil {
			return false
		}
		ln.Close()
	}
	return true
}

func (s *stage) ip(n int) string            { return fmt.Sprintf("%s.%d", s.net, n) }
func (s *stage) address(n, port int) string { return fmt.Sprintf("%s:%d", s.ip(n), port) }

// close ends all processes that the stage started.
func (s *stage) close() {
	for _, m := range s.started {
		m.kill()
	}
	for _, w := range s.workers {
		w.close()
	}
	for _, p := range s.proxies {
		p.close()
	}
	os.RemoveAll(s.folder)
}

func (m *machine) kill() {
	if m.cmd == nil || m.cmd.Process == nil {
		return
	}
	m.cmd.Process.Signal(syscall.SIGCONT)
	m.cmd.Process.Kill()
	m.cmd.Wait()
	m.cmd = nil
}

// machine starts a process with the settings that the deploy file's template makes.
func (s *stage) machine(name string, n int, seeds []string, role string) (*machine, error) {
	list, _ := json.Marshal(seeds)
	text := fmt.Sprintf("[instance]\nname = %q\ndata_centre = %q\nip = %q\ndrain = \"6s\"\nmemory_mb = 280\n", name, zone, s.ip(n))
	if role != "control" {
		text += fmt.Sprintf("metrics_port = %d\n", portOperator)
	}
	text += fmt.Sprintf("\n[log]\nlevel = \"info\"\nformat = \"json\"\n\n[peers]\nseeds = %s\nseed_port = %d\n\n", list, portInternal)
	switch role {
	case "control":
		text += fmt.Sprintf("[control]\nport = %d\noperator_port = %d\ndata_folder = %q\nlease = \"5s\"\nlongest_lease = \"6000ms\"\ntick = \"30ms\"\nsnapshot_entries = 5000\nbear_losses = 1\nform_from_seeds = true\ndata_centres = [%q]\nconcurrent_sync = true\n\n[platform]\noperators = %q\n",
			portInternal, portOperator, filepath.Join(s.folder, name), zone, s.address(n, portControl))
	case "entry":
		text += fmt.Sprintf("[entry]\n\n[platform]\ncallers = %q\nready = %q\n", s.address(n, portCallers), s.address(n, portReady))
	case "agent":
		text += fmt.Sprintf("[agent]\n\n[platform]\nannounce = %q\nworker = %q\n", s.address(n, portControl), s.address(n, portApp))
	}
	m := &machine{name: name, ip: s.ip(n), settings: filepath.Join(s.folder, name+".toml")}
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	s.started = append(s.started, m)
	return m, s.run(m)
}

// run starts the process of a machine. Its log goes into the temporary folder.
func (s *stage) run(m *machine) error {
	log, err := os.OpenFile(filepath.Join(s.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.cmd = exec.Command(daemon, "--settings", m.settings)
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return m.cmd.Start()
}

// startCore starts three core machines and waits for a leader and the configuration.
func (s *stage) startCore() error {
	seeds := []string{s.address(1, portControl), s.address(2, portControl), s.address(3, portControl)}
	for n := 1; n <= 3; n++ {
		m, err := s.machine(fmt.Sprintf("core-%d", n), n, seeds, "control")
		if err != nil {
			return err
		}
		s.core = append(s.core, m)
	}
	if err := s.until("the configuration is acknowledged", func() bool { return s.putConfig() == http.StatusOK }); err != nil {
		return err
	}
	return s.until("a leader is known", func() bool { return s.findLeader() })
}

func (s *stage) putConfig() int {
	body := map[string]any{"Version": 1,
		"Routes":   []any{map[string]any{"Name": route, "Host": host, "PathPrefix": prefix, "Type": "unsafe", "TimeoutMs": 3000, "TargetLatencyMs": 250, "Priority": 0, "Service": service, "MaxAttempts": 3, "SlackFactor": 1.5}},
		"Services": []any{map[string]any{"Name": service, "HealthPath": "/healthz", "MaxConnections": 64, "Protocol": "h1", "Tls": false, "RejectsOverload": true, "Standby": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}
	status, _ := s.send(http.MethodPut, "http://"+s.address(1, portControl)+"/waxwinghaven/config", "", body)
	return status
}

func (s *stage) findLeader() bool {
	for n := 1; n <= 3; n++ {
		_, body := s.send(http.MethodGet, "http://"+s.address(n, portOperator)+"/v1/status", "", nil)
		if body["role"] == "leader" {
			s.leaderIP = s.ip(n)
			s.rec.printf("core-%d leads", n)
			return true
		}
	}
	return false
}

// startEntry starts a frontend machine and waits until it is ready.
func (s *stage) startEntry(n int, seeds []string) error {
	if _, err := s.machine("frontend-1", n, seeds, "entry"); err != nil {
		return err
	}
	return s.until("the frontend is ready", func() bool {
		status, _ := s.send(http.MethodGet, "http://"+s.address(n, portReady)+"/waxwinghaven/readyz", "", nil)
		return status == http.StatusOK
	})
}

// startSide starts a side machine with its worker and waits until the worker is registered.
func (s *stage) startSide(name string, n int, seeds []string, cpu int64, labels ...string) (*machine, *worker, error) {
	m, err := s.machine("side-"+name, n, seeds, "agent")
	if err != nil {
		return nil, nil, err
	}
	w, err := newWorker(s.rec, name, s.address(n, portApp), s.address(n, portControl), cpu, labels, s.need)
	if err != nil {
		return nil, nil, err
	}
	s.workers = append(s.workers, w)
	return m, w, s.until("worker "+name+" is called", func() bool { return w.called() })
}

// proxy starts a proxy from address n to the leader and returns the seeds that name it.
func (s *stage) proxy(n int) (*proxy, []string, error) {
	p, err := newProxy(s.rec, s.address(n, portInternal), fmt.Sprintf("%s:%d", s.leaderIP, portInternal))
	if err != nil {
		return nil, nil, err
	}
	s.proxies = append(s.proxies, p)
	return p, []string{s.address(n, portControl)}, nil
}

func (s *stage) coreSeeds() []string {
	return []string{s.address(1, portControl), s.address(2, portControl), s.address(3, portControl)}
}

// until waits for a condition while the system starts.
func (s *stage) until(what string, met func() bool) error {
	for deadline := time.Now().Add(maxStart); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if met() {
			return nil
		}
	}
	return fmt.Errorf("waited in vain until %s", what)
}

// send makes one call, and returns status 0 if no answer came.
func (s *stage) send(method, url, hostName string, body any) (int, map[string]any) {
	var r io.Reader
	if body != nil {
		b, _ := json.Marshal(body)
		r = bytes.NewReader(b)
	}
	q, err := http.NewRequest(method, url, r)
	if err != nil {
		return 0, nil
	}
	q.Header.Set("Content-Type", "application/json")
	if hostName != "" {
		q.Host = hostName
		q.Header.Set("Deadline-Ms", "3000")
	}
	a, err := s.http.Do(q)
	if err != nil {
		return 0, nil
	}
	defer a.Body.Close()
	var out map[string]any
	json.NewDecoder(a.Body).Decode(&out)
	return a.StatusCode, out
}

// task describes the only task or the equal tasks of a job's only step.
type task struct {
	Count         int
	Cpu           int64
	MemMb         int64
	EstimatedMs   int64  `json:",omitempty"`
	LongRunning   bool   `json:",omitempty"`
	RequiredLabel string `json:",omitempty"`
}

// submit hands a job in at the frontend machine n and returns the status.
func (s *stage) submit(n int, id string, t task) int {
	s.mu.Lock()
	s.needs[id] = t.Cpu
	s.mu.Unlock()
	s.rec.printf("client: POST %s%s", prefix, id)
	status, _ := s.send(http.MethodPost, "http://"+s.address(n, portCallers)+prefix+id, host, map[string]any{"Spec": "x", "Phases": []task{t}})
	s.rec.printf("client: POST %s%s -> %d", prefix, id, status)
	return status
}

// ask makes a GET or DELETE of a job, or of the queue if id is empty.
func (s *stage) ask(method string, n int, id string) (int, map[string]any) {
	status, body := s.send(method, "http://"+s.address(n, portCallers)+prefix+id, host, nil)
	s.rec.printf("client: %s %s%s -> %d %v", method, prefix, id, status, body)
	return status, body
}

// need returns the Cpu of a task by its name.
func (s *stage) need(name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.needs[name[:16]]
}

// ran returns the runs of a job's tasks on all workers.
func (s *stage) ran(id string) (out []interval) {
	for _, w := range s.workers {
		out = append(out, w.ran(id)...)
	}
	return out
}
