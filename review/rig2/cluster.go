package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	controls = 3
	zones    = 4
	rackSize = 3 // workers a rack
	// startTime bounds the time until the system has formed and knows its workers.
	startTime = 12 * time.Second
	graceTime = 6 * time.Second
)

// shape is what the cases' deployments differ in. Everything else is as on nmdag-vault.
type shape struct {
	workers int
	explore bool
	sameID  bool // a worker keeps its id when it starts again
	advised bool // the queue has an advisor
	kindB   int  // how many of them, the last ones, are of kind b; the others are of kind a
}

// cluster is a small deployment: three control replicas, one entry, and an agent with a worker on
// each side machine.
type cluster struct {
	rec       *record
	dir       string
	daemon    string
	prefix    string // of the loopback addresses, such as 127.40.7
	port      int    // the first of the ports; all addresses use the same ones
	processes []*exec.Cmd
	workers   []*worker
	gangs     *gangs
	machines  *machines
	client    *client
	operator  *operator
	advisor   *advisor  // nil if the queue has none
	sameID    bool      // a worker keeps its id when it starts again
	explore   *explorer // nil but for explorations
	named     map[string]*exec.Cmd
	mu        sync.Mutex
}

// Offsets of the ports from the first one.
const (
	portEntry    = iota // callers
	portReady           // the balancer's checks
	portControl         // ControlAddr: the operator at a control replica, the worker at an agent
	portInternal        // first of the internal ports
	portMetrics         // second of the internal ports
	portWorker          // the worker's own interface
	portAdvisor         // the advisor
	portMachines        // the platform's interface for machines
	portCount
)

func (c *cluster) addr(host, offset int) string {
	return fmt.Sprintf("%s.%d:%d", c.prefix, host, c.port+offset)
}

func (c *cluster) ip(host int) string { return fmt.Sprintf("%s.%d", c.prefix, host) }

// Hosts, the last number of the loopback addresses.
const (
	hostPlatform = 9
	hostControl  = 11 // and the next ones
	hostEntry    = 21
	hostSide     = 31 // and the next ones
)

func zoneName(i int) string { return fmt.Sprintf("hall-%c", 'a'+i%zones) }

// startCluster starts everything, sends the first configuration and waits until the system takes
// jobs. On an error the cluster, if there is one, still has to be stopped.
func startCluster(sh shape, daemon string, rec *record) (*cluster, error) {
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	c := &cluster{rec: rec, dir: dir, daemon: daemon, gangs: newGangs(), named: make(map[string]*exec.Cmd)}
	if sh.explore {
		c.sameID = sh.sameID || os.Getenv("SAMEID") != ""
		c.explore = newExplorer(c)
	}
	if err := c.pickAddresses(sh); err != nil {
		return c, err
	}
	c.client, c.operator = newClient(c), newOperator(c)
	if c.machines, err = newMachines(c); err != nil {
		return c, err
	}
	if sh.advised {
		c.advisor = newAdvisor(c)
	}
	for i := range controls {
		if err := c.startControl(i); err != nil {
			return c, err
		}
	}
	if err := c.startEntry(); err != nil {
		return c, err
	}
	for i := range sh.workers {
		kind := "a"
		if i >= sh.workers-sh.kindB {
			kind = "b"
		}
		if err := c.addWorker(kind); err != nil {
			return c, err
		}
	}
	if err := c.operator.sendConfig(1, startTime); err != nil {
		return c, err
	}
	return c, c.awaitWorkers()
}

// addWorker adds a side machine, with a worker and its agent.
func (c *cluster) addWorker(kind string) error {
	i := len(c.workers)
	w, err := newWorker(c, i, kind)
	if err != nil {
		return err
	}
	c.workers = append(c.workers, w)
	return c.startAgent(i)
}

// addWorkers adds empty workers. Only the case itself may use the list of workers meanwhile.
func (c *cluster) addWorkers(n int) error {
	for range n {
		if err := c.addWorker("a"); err != nil {
			return err
		}
	}
	return nil
}

// pickAddresses draws loopback addresses and ports that are free.
func (c *cluster) pickAddresses(sh shape) error {
	for range 50 {
		c.prefix = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		c.port = 20_000 + rand.IntN(10_000)
		if c.addressesFree(sh) {
			return nil
		}
	}
	return errors.New("no free addresses")
}

func (c *cluster) addressesFree(sh shape) bool {
	hosts := []int{hostPlatform, hostEntry}
	for i := range controls {
		hosts = append(hosts, hostControl+i)
	}
	for i := range sh.workers + addedWorkers {
		hosts = append(hosts, hostSide+i)
	}
	for _, h := range hosts {
		for offset := range portCount {
			ln, err := net.Listen("tcp4", c.addr(h, offset))
			if err != nil {
				return false
			}
			ln.Close()
		}
	}
	return true
}

// settings returns the tables that all roles have, as deploy/*.toml.tmpl give them.
func (c *cluster) settings(name string, zone, host, memoryMB int, metrics bool) string {
	seeds := ""
	for i := range controls {
		if i > 0 {
			seeds += ","
		}
		seeds += fmt.Sprintf("%q", c.addr(hostControl+i, portControl))
	}
	metricsPort := ""
	if metrics {
		metricsPort = fmt.Sprintf("metrics_port = %d\n", c.port+portMetrics)
	}
	return fmt.Sprintf("[instance]\nname = %q\ndata_centre = %q\nip = %q\ndrain = \"6s\"\nmemory_mb = %d\n%s[log]\nlevel = \"info\"\nformat = \"json\"\n[peers]\nseeds = [%s]\nseed_port = %d\n",
		name, zoneName(zone), c.ip(host), memoryMB, metricsPort, seeds, c.port+portInternal)
}

func (c *cluster) startControl(i int) error {
	name, host := fmt.Sprintf("core-%s-1", zoneName(i)), hostControl+i
	advisorAddr := ""
	if c.advisor != nil {
		advisorAddr = c.addr(hostPlatform, portAdvisor)
	}
	text := c.settings(name, i, host, 280, false) + fmt.Sprintf("[control]\nport = %d\noperator_port = %d\ndata_folder = %q\nlease = \"5s\"\nlongest_lease = \"6000ms\"\ntick = \"30ms\"\nsnapshot_entries = 5000\n"+
		"bear_losses = 1\nform_from_seeds = true\ndata_centres = [\"hall-a\",\"hall-b\",\"hall-c\",\"hall-d\"]\nconcurrent_sync = true\n[platform]\noperators = %q\nmachines = %q\nadvisor = %q\nmachine_lease = \"3000ms\"\nupkeep_time = \"2s\"\n",
		c.port+portInternal, c.port+portMetrics, filepath.Join(c.dir, name), c.addr(host, portControl), c.addr(hostPlatform, portMachines), advisorAddr)
	return c.start(name, text)
}

func (c *cluster) startEntry() error {
	text := c.settings("frontend-hall-a-1", 0, hostEntry, 284, true) + fmt.Sprintf("[entry]\n[platform]\ncallers = %q\nready = %q\n",
		c.addr(hostEntry, portEntry), c.addr(hostEntry, portReady))
	return c.start("frontend-hall-a-1", text)
}

func (c *cluster) startAgent(i int) error {
	name, host := fmt.Sprintf("side-%d", i+1), hostSide+i
	text := c.settings(name, i, host, 152, true) + fmt.Sprintf("[agent]\n[platform]\nannounce = %q\nworker = %q\n",
		c.addr(host, portControl), c.addr(host, portWorker))
	return c.start(name, text)
}

// start starts a daemon. It ends with this process, whatever ends that.
func (c *cluster) start(name, settings string) error {
	path := filepath.Join(c.dir, name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	return c.launch(name)
}

// launch starts a daemon with the settings that were written for it.
func (c *cluster) launch(name string) error {
	path := filepath.Join(c.dir, name+".toml")
	out, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(c.daemon, "--settings", path)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	c.mu.Lock()
	c.processes = append(c.processes, cmd)
	c.named[name] = cmd
	c.mu.Unlock()
	c.rec.log("rig", "started %s, process %d", name, cmd.Process.Pid)
	return nil
}

// awaitWorkers waits until a job of one short task has been done, with all workers announced.
func (c *cluster) awaitWorkers() error {
	time.Sleep(2 * heartbeatInterval)
	j := c.client.newJob(`{"Spec":"","Phases":[{"Count":1,"Cpu":100,"MemMb":10,"EstimatedMs":100}]}`, phase{count: 1, work: 100 * time.Millisecond})
	if err := c.client.submit(j, startTime); err != nil {
		return err
	}
	if !c.client.awaitState(j, "completed", startTime) {
		return errors.New("the first job was not completed")
	}
	return nil
}

// stop ends all processes and removes the folder. Logs are kept if RIG_KEEP is set.
func (c *cluster) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workers {
		w.close()
	}
	for _, p := range c.processes {
		p.Process.Signal(syscall.SIGTERM)
	}
	end := time.Now().Add(graceTime)
	for _, p := range c.processes {
		timer := time.AfterFunc(time.Until(end), func() { p.Process.Kill() })
		p.Wait()
		timer.Stop()
	}
	if os.Getenv("RIG_KEEP") != "" {
		fmt.Println("logs are in", c.dir)
		return
	}
	os.RemoveAll(c.dir)
}
