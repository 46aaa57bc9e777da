package proof

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// soakProcess is a process that can be stopped, killed and restarted. All its instances append to
// the same log file.
type soakProcess struct {
	name     string
	program  string
	settings string // path of the file
	log      string // path of the file
	env      []string
	// descriptors limits the open files of the process, 0 for the limit of the test.
	descriptors int

	mu        sync.Mutex
	instance  *processInstance // the running one, nil while it is down
	instances []*processInstance
}

// processInstance is one operating system process.
type processInstance struct {
	cmd   *exec.Cmd
	ended chan struct{}

	mu    sync.Mutex
	stops int // number of faults that currently keep it stopped
}

// start starts the next instance, unless one is running.
func (p *soakProcess) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.instance != nil {
		return nil
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := p.command()
	cmd.Env = append(os.Environ(), p.env...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no process survives a test that is killed
	if err := cmd.Start(); err != nil {
		return err
	}
	i := &processInstance{cmd: cmd, ended: make(chan struct{})}
	p.instance, p.instances = i, append(p.instances, i)
	go func() {
		cmd.Wait() // it was ended by a fault, or its log says why
		close(i.ended)
	}()
	return nil
}

func (p *soakProcess) command() *exec.Cmd {
	if p.descriptors == 0 {
		return exec.Command(p.program, "--settings", p.settings)
	}
	const limited = `ulimit -n "$1" && exec "$2" --settings "$3"`
	return exec.Command("sh", "-c", limited, "sh", fmt.Sprint(p.descriptors), p.program, p.settings)
}

func (p *soakProcess) current() *processInstance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.instance
}

// detach returns the running instance, nil for none, and marks the process as down.
func (p *soakProcess) detach() *processInstance {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := p.instance
	p.instance = nil
	return i
}

// freeze stops the running instance until thaw is called.
func (p *soakProcess) freeze() (thaw func()) {
	i := p.current()
	if i == nil {
		return func() {}
	}
	i.addStops(1)
	return func() { i.addStops(-1) }
}

// addStops changes the number of faults that keep the instance stopped.
func (i *processInstance) addStops(n int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	before := i.stops
	i.stops += n
	switch {
	case before == 0 && i.stops > 0:
		i.signal(syscall.SIGSTOP)
	case before > 0 && i.stops == 0:
		i.signal(syscall.SIGCONT)
	}
}

func (i *processInstance) signal(s syscall.Signal) {
	if err := i.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		panic(err) // signals to a child process must succeed
	}
}

// kill ends the instance immediately, even if it is stopped.
func (i *processInstance) kill() {
	i.signal(syscall.SIGKILL)
	<-i.ended
}

// terminateTimeout is the time after which a shutdown is aborted.
const terminateTimeout = 8 * time.Second

// terminate asks the instance to shut down, and kills it after terminateTimeout.
func (i *processInstance) terminate() {
	i.signal(syscall.SIGTERM)
	select {
	case <-i.ended:
	case <-time.After(terminateTimeout):
		i.kill()
	}
}

// killAll kills all instances that are still running.
func (p *soakProcess) killAll() {
	p.detach()
	p.mu.Lock()
	instances := p.instances
	p.mu.Unlock()
	for _, i := range instances {
		i.kill()
	}
}

// newSoakProcess returns a process that is not running, and writes its settings file.
func newSoakProcess(bin, dir, name, settings string) (*soakProcess, error) {
	p := &soakProcess{name: name, program: filepath.Join(bin, "waxwinghavend"), settings: filepath.Join(dir, name+".toml"), log: filepath.Join(dir, name+".log")}
	return p, os.WriteFile(p.settings, []byte(settings), 0o600)
}

func soakSettings(name, ip, seeds, roles string) string {
	return fmt.Sprintf("[instance]\nname = %q\ndata_centre = \"dc\"\nip = %q\ndrain = \"2s\"\n[log]\nformat = \"json\"\n[peers]\nseeds = [%s]\n%s", name, ip, seeds, roles)
}
