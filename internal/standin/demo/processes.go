package main

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// processes are the children of the demo; it signals no others.
type processes struct {
	dir string // of the log files

	mu    sync.Mutex
	procs map[string]*process
}

type process struct {
	cmd  *exec.Cmd
	done chan struct{} // closed when it has ended
}

func newProcesses() (*processes, error) {
	dir, err := os.MkdirTemp("", "filbertcross-demo-")
	return &processes{dir: dir, procs: map[string]*process{}}, err
}

// start runs a binary whose output goes to a log file named after it.
func (p *processes) start(name, binary string, args ...string) error {
	log, err := os.Create(filepath.Join(p.dir, name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(binary, args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", name)
	}
	started := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(started.done)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.procs[name] = started
	return nil
}

func (p *processes) signal(name string, sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.procs[name].cmd.Process.Signal(sig)
}

// wait reports whether the process ended by itself, with its exit code.
func (p *processes) wait(name string, timeout time.Duration) (int, bool) {
	p.mu.Lock()
	proc := p.procs[name]
	p.mu.Unlock()
	select {
	case <-proc.done:
		return proc.cmd.ProcessState.ExitCode(), true
	case <-time.After(timeout):
		return 0, false
	}
}

func (p *processes) killAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, proc := range p.procs {
		_ = proc.cmd.Process.Kill()
	}
	for _, proc := range p.procs {
		<-proc.done
	}
}

func (p *processes) alive() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, proc := range p.procs {
		select {
		case <-proc.done:
		default:
			count++
		}
	}
	return count
}

// freeAddresses returns loopback addresses that were free a moment ago.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}
