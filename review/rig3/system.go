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
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports of the processes. Each process has a loopback address of its own.
const (
	portCallers   = 8161
	portReady     = 8167
	portControl   = 8166 // operators at a control replica, the worker at an agent
	portApp       = 8200
	portCloud     = 8169
	portInternal  = 7720
	portInternal2 = 7721
)

// Bounds of a small deployment, as its sheet gives them.
const (
	heartbeat    = 1500 * time.Millisecond
	holdMax      = 6 * time.Second
	stopTime     = 100 * time.Millisecond // StopTimeoutMs is 400
	noticeTime   = 4500 * time.Millisecond
	visibleTime  = 3 * time.Second
	maintenance  = 2 * time.Second
	endsPerReply = 500
)

// rig runs the project's processes and the stand-ins of one case.
type rig struct {
	dir     string
	block   string // the first three parts of the addresses
	trouble bool
	began   time.Time
	workers atomic.Int64 // started so far

	mu     sync.Mutex
	record io.Writer
	procs  map[string]*exec.Cmd
	files  map[string]string // settings, by name
}

var errCouldNotRun = errors.New("the case could not run")

func newRig(record io.Writer, trouble bool) (*rig, error) {
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return nil, err
	}
	r := &rig{dir: dir, trouble: trouble, began: time.Now(), record: record, procs: make(map[string]*exec.Cmd), files: make(map[string]string)}
	for range 50 {
		r.block = fmt.Sprintf("127.%d.%d", 60+rand.IntN(150), 1+rand.IntN(250))
		if r.free() {
			return r, nil
		}
	}
	return nil, errCouldNotRun
}

// free reports whether the ports are free at the block's addresses.
func (r *rig) free() bool {
	for i := 1; i < 30; i++ {
		for _, port := range []int{portCallers, portReady, portControl, portApp, portCloud, portInternal, portInternal2} {
			ln, err := net.Listen("tcp4", r.addr(i, port))
			if err != nil {
				return false
			}
			ln.Close()
		}
	}
	return true
}

func (r *rig) ip(i int) string             { return fmt.Sprintf("%s.%d", r.block, i) }
func (r *rig) addr(i int, port int) string { return fmt.Sprintf("%s:%d", r.ip(i), port) }

// Numbers of the addresses: control replicas, entries, agents with their workers, the platform.
const (
	firstControl = 1
	controls     = 3
	firstEntry   = 4
	firstAgent   = 6
	cloudNumber  = 28
)

// note writes one line of the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// common is the part of the settings that all roles have, as the templates in deploy/ give it.
func (r *rig) common(name string, number, memory int) string {
	var seeds []string
	for i := range controls {
		seeds = append(seeds, fmt.Sprintf("%q", r.addr(firstControl+i, portControl)))
	}
	return fmt.Sprintf(`[instance]
name = %q
data_centre = "hall-a"
ip = %q
drain = "6s"
memory_mb = %d
%s
[limits]
files = 4096

[log]
level = "info"
format = "json"

[peers]
seeds = [%s]
seed_port = %d

`, name, r.ip(number), memory, map[bool]string{true: fmt.Sprintf("metrics_port = %d\n", portInternal2)}[number >= firstControl+controls], strings.Join(seeds, ","), portInternal)
}

func (r *rig) startControl(i int) error {
	name := fmt.Sprintf("core-%d", i+1)
	number := firstControl + i
	return r.start(name, r.common(name, number, 280)+fmt.Sprintf(`[control]
port = %d
operator_port = %d
data_folder = %q
lease = "5s"
longest_lease = "6000ms"
tick = "30ms"
snapshot_entries = 5000
bear_losses = 1
form_from_seeds = true
data_centres = ["hall-a"]
concurrent_sync = true

[platform]
operators = %q
machines = %q
advisor = ""
machine_lease = "3000ms"
upkeep_time = "2s"
`, portInternal, portInternal2, filepath.Join(r.dir, name), r.addr(number, portControl), r.addr(cloudNumber, portCloud)))
}

func (r *rig) startEntry(i int) error {
	name, number := fmt.Sprintf("frontend-%d", i+1), firstEntry+i
	return r.start(name, r.common(name, number, 284)+fmt.Sprintf("[entry]\n\n[platform]\ncallers = %q\nready = %q\n", r.addr(number, portCallers), r.addr(number, portReady)))
}

func agentName(i int) string { return fmt.Sprintf("side-%d", i+1) }

func (r *rig) startAgent(i int) error {
	number := firstAgent + i
	return r.start(agentName(i), r.common(agentName(i), number, 152)+fmt.Sprintf("[agent]\n\n[platform]\nannounce = %q\nworker = %q\n", r.addr(number, portControl), r.addr(number, portApp)))
}

// start starts a role with the command of the deploy file.
func (r *rig) start(name, settings string) error {
	path := filepath.Join(r.dir, name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	r.files[name] = path
	return r.restart(name)
}

// restart starts a process again with the settings that it had.
func (r *rig) restart(name string) error {
	out, err := os.OpenFile(filepath.Join(r.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/waxwinghavend", "--settings", r.files[name])
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	r.mu.Lock()
	r.procs[name] = cmd
	r.mu.Unlock()
	r.note("process %s started", name)
	return nil
}

// kill ends a process that this rig has started.
func (r *rig) kill(name string) {
	r.mu.Lock()
	cmd := r.procs[name]
	delete(r.procs, name)
	r.mu.Unlock()
	if cmd == nil {
		return
	}
	if err := cmd.Process.Signal(syscall.SIGKILL); err == nil {
		r.note("process %s killed", name)
	}
	_ = cmd.Wait()
}

// close ends all processes and removes the folder, or keeps it under the path in RIG3_KEEP.
func (r *rig) close() {
	r.mu.Lock()
	var names []string
	for name := range r.procs {
		names = append(names, name)
	}
	r.mu.Unlock()
	slices.Sort(names)
	for _, name := range names {
		r.kill(name)
	}
	if os.Getenv("RIG3_KEEP") == "" {
		_ = os.RemoveAll(r.dir)
		return
	}
	fmt.Println("kept", r.dir)
}

// startSystem starts three control replicas, one entry and agents, and sends the first configuration.
func (r *rig) startSystem(agents int, config map[string]any) error {
	for i := range controls {
		if err := r.startControl(i); err != nil {
			return err
		}
	}
	if err := r.startEntry(0); err != nil {
		return err
	}
	for i := range agents {
		if err := r.startAgent(i); err != nil {
			return err
		}
	}
	return r.putConfig(config)
}

// putConfig sends a configuration, as an operator does, until it is acknowledged.
func (r *rig) putConfig(config map[string]any) error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for i := range controls {
			status, _, err := call(http.MethodPut, "http://"+r.addr(firstControl+i, portControl)+"/waxwinghaven/config", "", config, time.Second, nil)
			if err == nil && status == http.StatusOK {
				r.note("operator: configuration %v acknowledged", config["Version"])
				return nil
			}
		}
	}
	return fmt.Errorf("%w: no configuration was acknowledged", errCouldNotRun)
}

// call makes one HTTP call with a JSON body.
func call(method, url, host string, body any, timeout time.Duration, headers map[string]string) (status int, answer []byte, err error) {
	var b []byte
	if body != nil {
		if b, err = json.Marshal(body); err != nil {
			return 0, nil, err
		}
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(b))
	if err != nil {
		return 0, nil, err
	}
	if host != "" {
		req.Host = host
	}
	req.Header.Set("Content-Type", "application/json")
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	client := http.Client{Timeout: timeout, CheckRedirect: func(*http.Request, []*http.Request) error { return nil }}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

const (
	callerHost  = "nony24.example"
	batchPrefix = "/lohu930/"
	watchPrefix = "/pule252/"
	service     = "huvo11a"
)

// config is a configuration with a queue for tasks that end and one for tasks that last.
func config(version int) map[string]any {
	route := func(name, prefix string, priority int) map[string]any {
		return map[string]any{"Name": name, "Host": callerHost, "PathPrefix": prefix, "Type": "unsafe", "TimeoutMs": 3000, "TargetLatencyMs": 1000,
			"Priority": priority, "Service": service, "MaxAttempts": 3, "SlackFactor": 2.0}
	}
	pool := map[string]any{"Name": service, "HealthPath": "/healthz", "MaxConnections": 64, "Protocol": "h1", "Tls": false, "RejectsOverload": true, "Standby": false}
	return map[string]any{"Version": version, "Routes": []any{route("r-batch", batchPrefix, 2), route("r-watch", watchPrefix, 0)}, "Services": []any{pool},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}
}

// newID draws a job's id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job in, as a client does, and returns nil once it is accepted.
func (r *rig) submit(prefix, id string, job map[string]any) error {
	url := "http://" + r.addr(firstEntry, portCallers) + prefix + id
	for range 20 {
		status, answer, err := call(http.MethodPost, url, callerHost, job, 3*time.Second, map[string]string{"Deadline-Ms": "3000"})
		r.note("client: POST %s%s: %d %s %v", prefix, id, status, bytes.TrimSpace(answer), err)
		if err == nil && status == http.StatusOK {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("%w: a job was not accepted", errCouldNotRun)
}

// pending asks for the number of a queue's jobs that haven't begun.
func (r *rig) pending(prefix string) (n int, err error) {
	status, answer, err := call(http.MethodGet, "http://"+r.addr(firstEntry, portCallers)+prefix, callerHost, nil, 3*time.Second, map[string]string{"Deadline-Ms": "3000"})
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, fmt.Errorf("status %d", status)
	}
	var a struct{ Pending int }
	err = json.Unmarshal(answer, &a)
	return a.Pending, err
}
