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

// Processes manages the child processes of one command; it signals no other processes.
// Safe for concurrent use.
type Processes struct {
	LogDir string // directory of the log files

	mu       sync.Mutex
	children map[string]*childProcess
}

type childProcess struct {
	cmd    *exec.Cmd
	exited chan struct{} // closed when the process has exited
}

// NewProcesses returns an empty set of processes that log to a new temporary directory.
func NewProcesses() (*Processes, error) {
	dir, err := os.MkdirTemp("", "filbertcross-run-")
	return &Processes{LogDir: dir, children: map[string]*childProcess{}}, err
}

// Start starts a binary under a name; its output goes to the log file NAME.log. The
// kernel kills the child when the parent exits.
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

// Signal sends a signal to the process that was started under the name.
func (p *Processes) Signal(name string, sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.children[name].cmd.Process.Signal(sig)
}

// Wait waits for the process to exit. It returns the exit code, and false when the
// process has not exited within the timeout.
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

// KillAll kills all processes and waits until they have exited.
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

// RunningCount returns the number of processes that have not exited.
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

// loopbackHost returns an address in 127.0.0.0/8 derived from the process ID, so that
// neither another run nor an outgoing connection, whose source is 127.0.0.1, takes its
// ports. It falls back to 127.0.0.1 on hosts that have no other loopback address.
var loopbackHost = sync.OnceValue(func() string {
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.1", 1+pid>>8&0x7f, pid&0xff)
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "127.0.0.1"
	}
	listener.Close()
	return host
})

const portBase = 20_000

var lastPortOffset atomic.Int64

// FreeAddresses returns loopback addresses on which nothing listened when they were
// checked. It returns no address twice, as the process that got an address may not
// listen on it yet. Safe for concurrent use.
func FreeAddresses(count int) ([]string, error) {
	var addresses []string
	for len(addresses) < count {
		port := portBase + lastPortOffset.Add(1)
		if port > math.MaxUint16 {
			return nil, errors.New("no free loopback port left")
		}
		address := net.JoinHostPort(loopbackHost(), strconv.FormatInt(port, 10))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue // in use by another process
		}
		listener.Close()
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// GrepLogs returns the log lines that contain any of the texts, each after its file name.
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
