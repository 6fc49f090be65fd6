package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// program is the program of the deploy file. Cases are played in the root of the repository.
const program = "target/anvilgate"

// restartDelay is the time after which the platform starts a process again that was killed.
const restartDelay = 500 * time.Millisecond

// process is one instance, which runs as a process of its own.
type process struct {
	rig     *rig
	role    string
	address string
	dir     string
	log     string

	mu      sync.Mutex
	command *exec.Cmd // nil while it is down
	over    bool      // the case is over, and the process isn't started again
}

// startProcess starts an instance for the first time.
func (r *rig) startProcess(role, address string) (*process, error) {
	p := &process{rig: r, role: role, address: address, dir: filepath.Join(r.dir, role+"-"+address)}
	p.log = filepath.Join(p.dir, "log")
	if err := os.MkdirAll(p.dir, 0o750); err != nil {
		return nil, err
	}
	return p, p.start(true)
}

// start starts the process. The argument first says that the whole deployment starts for the first time.
func (p *process) start(first bool) error {
	settings, err := p.rig.writeSettings(p.role, p.address, p.dir, first)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(program, p.role)
	command.Env = []string{"ANVILSHUNT_SETTINGS=" + settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = log, log
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.over {
		return nil
	}
	if err := command.Start(); err != nil {
		return err
	}
	p.command = command
	p.rig.recordf("start %s %s", p.role, p.address)
	return nil
}

// end ends the process for good.
func (p *process) end() {
	p.mu.Lock()
	p.over = true
	p.mu.Unlock()
	p.kill()
}

// kill ends the process at once.
func (p *process) kill() {
	p.mu.Lock()
	command := p.command
	p.command = nil
	p.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGCONT) // it may be stopped
	_ = command.Process.Kill()
	_ = command.Wait() // it returns an error because a signal ended the process
}
