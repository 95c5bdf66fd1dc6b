package cluster

import (
	"fmt"
	"math"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Processes are the children of a run; it signals no others. Safe for concurrent use.
type Processes struct {
	LogDir string // of the log files

	mu       sync.Mutex
	children map[string]*childProcess
}

type childProcess struct {
	cmd    *exec.Cmd
	exited chan struct{} // closed when it has ended
}

// NewProcesses returns no processes yet; their logs go to a new directory.
func NewProcesses() (*Processes, error) {
	dir, err := os.MkdirTemp("", "filbertcross-run-")
	return &Processes{LogDir: dir, children: map[string]*childProcess{}}, err
}

// Start runs a binary whose output goes to a log file named after it.
func (p *Processes) Start(name, binary string, args ...string) error {
	log, err := os.Create(filepath.Join(p.LogDir, name+".log"))
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
	child := &childProcess{cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(child.exited)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.children[name] = child
	return nil
}

// Signal sends a signal to a process started before.
func (p *Processes) Signal(name string, sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.children[name].cmd.Process.Signal(sig)
}

// Wait reports whether the process ended by itself, with its exit code.
func (p *Processes) Wait(name string, timeout time.Duration) (int, bool) {
	p.mu.Lock()
	child := p.children[name]
	p.mu.Unlock()
	select {
	case <-child.exited:
		return child.cmd.ProcessState.ExitCode(), true
	case <-time.After(timeout):
		return 0, false
	}
}

// KillAll kills every process and waits for its end.
func (p *Processes) KillAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, child := range p.children {
		_ = child.cmd.Process.Kill()
	}
	for _, child := range p.children {
		<-child.exited
	}
}

// Alive counts the processes that have not ended.
func (p *Processes) RunningCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, child := range p.children {
		select {
		case <-child.exited:
		default:
			count++
		}
	}
	return count
}

// loopback is an address of this process's own in 127.0.0.0/8: neither another run
// nor an outgoing connection, which leaves from 127.0.0.1, can take its ports. Where
// only 127.0.0.1 exists it is used.
var loopbackHost = sync.OnceValue(func() string {
	pid := os.Getpid()
	own := fmt.Sprintf("127.%d.%d.1", 1+pid>>8&0x7f, pid&0xff)
	listener, err := net.Listen("tcp", own+":0")
	if err != nil {
		return "127.0.0.1"
	}
	listener.Close()
	return own
})

const portBase = 20_000

var lastPortOffset atomic.Int64

// FreeAddresses returns loopback addresses that were free a moment ago. No address
// is returned twice, since its process may not listen on it yet.
func FreeAddresses(count int) ([]string, error) {
	var addresses []string
	for len(addresses) < count {
		port := portBase + lastPortOffset.Add(1)
		if port > math.MaxUint16 {
			return nil, errors.New("no port is left")
		}
		address := net.JoinHostPort(loopbackHost(), strconv.FormatInt(port, 10))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue // somebody else's
		}
		listener.Close()
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// Grep returns the lines of the logs that contain one of the texts.
func (p *Processes) GrepLogs(texts ...string) ([]string, error) {
	logs, err := filepath.Glob(filepath.Join(p.LogDir, "*.log"))
	if err != nil {
		return nil, err
	}
	var found []string
	for _, name := range logs {
		content, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		for line := range strings.Lines(string(content)) {
			if slices.ContainsFunc(texts, func(text string) bool { return strings.Contains(line, text) }) {
				found = append(found, filepath.Base(name)+": "+line)
			}
		}
	}
	return found, nil
}
