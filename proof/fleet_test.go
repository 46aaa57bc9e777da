package proof

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/header"
	"github.com/waxwinghaven/waxwinghaven/load"
	"github.com/waxwinghaven/waxwinghaven/market"
	"github.com/waxwinghaven/waxwinghaven/operator"
)

// binaries builds the two programs once for all tests of this package.
var binaries = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "waxwinghaven-proof-")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir+"/", "../cmd/...").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return dir, nil
})

// fleet is a complete system of separate processes on loopback addresses: three front hosts
// (entry and control), three back hosts (agent) and three upstreams.
type fleet struct {
	t             testing.TB
	dir           string
	bin           string
	net           int
	procs         map[string]*exec.Cmd
	workTime      string // the upstreams' time for a request
	renewInterval string // the agents' renewal interval
	ops           *operator.Client
}

// fleetNet gives each fleet addresses of its own, also beside other test processes.
var fleetNet = os.Getpid() % 200

func newFleet(t testing.TB, work string) *fleet {
	t.Helper()
	return newFleetRenewing(t, work, "100ms")
}

func newFleetRenewing(t testing.TB, work, renew string) *fleet {
	t.Helper()
	bin, err := binaries()
	if err != nil {
		t.Fatal(err)
	}
	fleetNet++
	f := &fleet{t: t, dir: t.TempDir(), bin: bin, net: fleetNet, procs: make(map[string]*exec.Cmd), workTime: work, renewInterval: renew}
	t.Cleanup(f.killAll)
	for i := 1; i <= 3; i++ {
		f.startFront(i)
		f.startBack(i)
		f.startUpstream(i)
	}
	f.prepare()
	return f
}

func (f *fleet) address(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 8+os.Getpid()/200%100, f.net, i)
}

func (f *fleet) front(i int) string { return f.address(10 + i) }
func (f *fleet) back(i int) string  { return f.address(20 + i) }
func (f *fleet) entry(i int) string { return f.front(i) + ":7105" }

func (f *fleet) settings(name, ip, roles string) string {
	text := fmt.Sprintf("[instance]\nname=%q\ndata_centre=\"dc\"\nip=%q\n[peers]\ncontrol=[\"%s:7101\",\"%s:7101\",\"%s:7101\"]\n%s",
		name, ip, f.front(1), f.front(2), f.front(3), roles)
	path := filepath.Join(f.dir, name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

func (f *fleet) startFront(i int) {
	roles := fmt.Sprintf("[control]\nport=7101\noperator_port=7102\ndata_folder=\"data-%d\"\ntick=\"20ms\"\nlease=\"2s\"\n[entry]\nport=7105\nhealth_port=7106\nsync=\"100ms\"\nleave_wait=\"300ms\"\n", i)
	f.run(fmt.Sprint("front-", i), "waxwinghavend", "--settings", f.settings(fmt.Sprint("front-", i), f.front(i), roles))
}

func (f *fleet) startBack(i int) {
	roles := fmt.Sprintf("[agent]\nport=7103\nlocal_port=7104\nrenew=%q\nannounce_timeout=\"1s\"\n", f.renewInterval)
	name := fmt.Sprint("back-", i)
	f.run(name, "waxwinghavend", "--settings", f.settings(name, f.back(i), roles))
}

func (f *fleet) startUpstream(i int) {
	f.run(fmt.Sprint("upstream-", i), "waxwinghaven", "standin", "--market", "vault", "--service", "lookup", "--address", f.back(i)+":7107",
		"--worker", f.back(i)+":7108", "--agent", f.back(i)+":7104", "--work", f.workTime, "--every", "100ms", "--record", f.record(i))
}

func (f *fleet) record(i int) string { return filepath.Join(f.dir, fmt.Sprint("record-", i)) }

func (f *fleet) run(name, program string, args ...string) {
	f.t.Helper()
	cmd := exec.Command(filepath.Join(f.bin, program), args...)
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.procs[name] = cmd
}

func (f *fleet) signal(name string, s os.Signal) {
	f.t.Helper()
	if err := f.procs[name].Process.Signal(s); err != nil {
		f.t.Fatal(err)
	}
}

// end signals a process and waits until it has exited.
func (f *fleet) end(name string, s os.Signal) {
	f.t.Helper()
	f.signal(name, s)
	f.procs[name].Wait()
	delete(f.procs, name)
}

func (f *fleet) killAll() {
	for _, cmd := range f.procs {
		cmd.Process.Signal(syscall.SIGCONT)
		cmd.Process.Kill()
		cmd.Wait()
	}
}

func (f *fleet) wait(what string, ok func() bool) {
	f.t.Helper()
	for range 1500 {
		if ok() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatalf("timed out waiting for: %s", what)
}

func (f *fleet) prepare() {
	f.t.Helper()
	ops, err := operator.NewClient([]string{f.front(1) + ":7102", f.front(2) + ":7102", f.front(3) + ":7102"}, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	f.ops = ops
	f.wait("init", func() bool { return ops.Init() == nil })
	f.change(market.Change{Verb: market.PutTeam, Team: &market.Team{Name: "team"}})
	f.change(market.Change{Verb: market.PutMarket, Market: "vault"})
	f.change(market.Change{Verb: market.PutService, Market: "vault", Service: &market.Service{Name: "lookup", PathPrefix: "/vault", TimeoutMS: 5000}})
	f.change(market.Change{Verb: market.PutJob, Market: "vault", Job: &market.Job{Name: "render", Team: "team", Class: market.ClassBatch, MilliCPU: 1000, MemoryMB: 10, RunTimeMS: 4000}})
	f.wait("three voters and members", func() bool {
		statuses, _ := ops.Statuses()
		members, err := ops.Members()
		return len(statuses) == 3 && len(statuses[0].Replicas.Voters) == 3 && err == nil && len(members) == 3
	})
	f.wait("every entry serves", func() bool {
		res := f.load(load.Options{Requests: 30, Concurrency: 3, Method: "GET"})
		return res.Outcomes["done"] == 30
	})
}

func (f *fleet) change(c market.Change) {
	f.t.Helper()
	if _, err := f.ops.ChangeNow(c); err != nil {
		f.t.Fatal(err)
	}
}

// load sends requests to all entries, unless the options name addresses.
func (f *fleet) load(o load.Options) load.Result {
	f.t.Helper()
	if o.Addresses == nil {
		o.Addresses = []string{f.entry(1), f.entry(2), f.entry(3)}
	}
	if o.Path == "" {
		o.Path = "/vault/x"
	}
	o.Host = "vault.example"
	res, err := load.Run(o)
	if err != nil {
		f.t.Fatal(err)
	}
	return res
}

// runsByToken returns how often each token was run, by the upstreams' own records.
func (f *fleet) runsByToken() map[string]int {
	out := make(map[string]int)
	for i := 1; i <= 3; i++ {
		b, _ := os.ReadFile(f.record(i))
		for _, token := range strings.Fields(string(b)) {
			out[token]++
		}
	}
	return out
}

// check compares the outcomes that callers got with the upstreams' records: "done" has run, "not
// run" has not and, if atMostOnce is set, no request ran more than once.
func (f *fleet) check(res load.Result, atMostOnce bool) {
	f.t.Helper()
	runs := f.runsByToken()
	if res.NotOwn > 0 {
		f.t.Errorf("%d callers got another's answer", res.NotOwn)
	}
	for token, outcome := range res.Tokens {
		n := runs[token]
		switch {
		case outcome == header.NotRun && n > 0:
			f.t.Errorf("%s was reported as not run, but ran %d times", token, n)
		case outcome == header.Done && n == 0:
			f.t.Errorf("%s was reported as done, but never ran", token)
		case atMostOnce && n > 1:
			f.t.Errorf("%s ran %d times", token, n)
		}
	}
}

func (f *fleet) leader() int {
	for range 500 {
		statuses, _ := f.ops.Statuses()
		for _, s := range statuses {
			if s.Role == "leader" {
				return int(s.Replica[len(s.Replica)-1] - '0')
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatal("no leader")
	return 0
}
