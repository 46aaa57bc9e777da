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

// soakProcess is one place for a process that can be stopped, killed and started again. Its
// log goes on in one file.
type soakProcess struct {
	name     string
	program  string
	settings string // the file's path
	log      string // the file's path
	env      []string

	mu    sync.Mutex
	now   *processLife // nil while it is down
	lives []*processLife
}

// processLife is one start of a process.
type processLife struct {
	cmd   *exec.Cmd
	ended chan struct{}

	mu    sync.Mutex
	stops int // faults that keep it stopped
}

// start begins the next life, unless one is there.
func (p *soakProcess) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.now != nil {
		return nil
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.program, "--settings", p.settings)
	cmd.Env = append(os.Environ(), p.env...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // nothing outlives a test that is killed
	if err := cmd.Start(); err != nil {
		return err
	}
	l := &processLife{cmd: cmd, ended: make(chan struct{})}
	p.now, p.lives = l, append(p.lives, l)
	go func() {
		cmd.Wait() // a fault ended it, or its log tells why it ended
		close(l.ended)
	}()
	return nil
}

func (p *soakProcess) current() *processLife {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now
}

// leave takes the present life out of its place and returns it, nil for none.
func (p *soakProcess) leave() *processLife {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.now
	p.now = nil
	return l
}

// freeze stops the present life until the returned function is called.
func (p *soakProcess) freeze() (thaw func()) {
	l := p.current()
	if l == nil {
		return func() {}
	}
	l.hold(1)
	return func() { l.hold(-1) }
}

// hold adds to the faults that keep a process stopped.
func (l *processLife) hold(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.stops
	l.stops += n
	switch {
	case before == 0 && l.stops > 0:
		l.signal(syscall.SIGSTOP)
	case before > 0 && l.stops == 0:
		l.signal(syscall.SIGCONT)
	}
}

func (l *processLife) signal(s syscall.Signal) {
	if err := l.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		panic(err) // a process that this test started takes its signals
	}
}

// kill ends a process at once, also one that is stopped.
func (l *processLife) kill() {
	l.signal(syscall.SIGKILL)
	<-l.ended
}

// terminateBound ends a shutdown that is not over by then.
const terminateBound = 8 * time.Second

// terminate asks a process to end, and kills it if it doesn't.
func (l *processLife) terminate() {
	l.signal(syscall.SIGTERM)
	select {
	case <-l.ended:
	case <-time.After(terminateBound):
		l.kill()
	}
}

// killAll ends all lives that are still there.
func (p *soakProcess) killAll() {
	p.leave()
	p.mu.Lock()
	lives := p.lives
	p.mu.Unlock()
	for _, l := range lives {
		l.kill()
	}
}

// newSoakProcess writes a process's settings.
func newSoakProcess(bin, dir, name, settings string) (*soakProcess, error) {
	p := &soakProcess{name: name, program: filepath.Join(bin, "waxwinghavend"), settings: filepath.Join(dir, name+".toml"), log: filepath.Join(dir, name+".log")}
	return p, os.WriteFile(p.settings, []byte(settings), 0o600)
}

func soakSettings(name, ip, seeds, roles string) string {
	return fmt.Sprintf("[instance]\nname = %q\ndata_centre = \"dc\"\nip = %q\ndrain = \"2s\"\n[log]\nformat = \"json\"\n[peers]\nseeds = [%s]\n%s", name, ip, seeds, roles)
}
