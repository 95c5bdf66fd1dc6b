package soak

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/platform"
	"filbertcross/platform/standin"
)

// vm is an entry VM: a process that is restarted whenever it exits.
type vm struct {
	name, binary, settingsPath, callerAddress, readinessAddress string
	metricsPort                                                 int
	storeProxy                                                  *Proxy
	logFile                                                     *os.File

	mu              sync.Mutex
	cmd             *exec.Cmd
	startAfter      time.Time // no start before this time
	unexpectedExits int       // exits that no signal of the soak explains
	exitRequested   bool      // SIGKILL or SIGTERM was sent to the current process
}

// freePorts returns n different free ports of a loopback address that only this soak uses.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, errors.Wrap(err, "find a free port")
		}
		defer l.Close() // only after all are chosen, so that no port is chosen twice
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// newVM writes the settings file of VM i, with the address of a new proxy to the store. Each
// VM has its own loopback address, so that its ports are free at every start.
func newVM(p *standin.Platform, binary, dir string, seed uint64, i int) (*vm, error) {
	v := &vm{name: fmt.Sprintf("vm-%d", i), binary: binary}
	ip := fmt.Sprintf("127.%d.%d.%d", 1+seed>>8&0x7f, seed&0xff, 1+i)
	ports, err := freePorts(ip, 4)
	if err != nil {
		return nil, err
	}
	if v.storeProxy, err = NewProxy(p.StoreAddress); err != nil {
		return nil, err
	}
	v.callerAddress, v.readinessAddress = fmt.Sprintf("%s:%d", ip, ports[0]), fmt.Sprintf("%s:%d", ip, ports[1])
	v.metricsPort = ports[3]
	text := strings.Replace(p.SettingsFile(v.name, ip, v.callerAddress, v.readinessAddress, ports[2]), p.StoreAddress, v.storeProxy.Address(), 1)
	v.settingsPath = filepath.Join(dir, v.name+".toml")
	if err := os.WriteFile(v.settingsPath, []byte(text), 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings file")
	}
	v.logFile, err = os.Create(filepath.Join(dir, v.name+".log"))
	return v, errors.Wrap(err, "create log file")
}

// keepRunning starts the process, and restarts it after every exit, until ctx is done.
func (v *vm) keepRunning(ctx context.Context) {
	for ctx.Err() == nil {
		v.mu.Lock()
		wait := time.Until(v.startAfter)
		v.mu.Unlock()
		if wait > 0 {
			time.Sleep(min(wait, 20*time.Millisecond))
			continue
		}
		cmd := exec.Command(v.binary, "node", "--metrics-port", fmt.Sprint(v.metricsPort))
		cmd.Env = append(os.Environ(), platform.SettingsPathEnv+"="+v.settingsPath)
		cmd.Stdout, cmd.Stderr = v.logFile, v.logFile
		if err := cmd.Start(); err != nil {
			fmt.Fprintln(v.logFile, "soak: start process:", err)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		v.mu.Lock()
		v.cmd, v.exitRequested = cmd, false
		v.mu.Unlock()
		err := cmd.Wait()
		v.mu.Lock()
		if !v.exitRequested && ctx.Err() == nil {
			v.unexpectedExits++
			fmt.Fprintln(v.logFile, "soak: process exited unexpectedly:", err)
		}
		v.cmd = nil
		v.mu.Unlock()
	}
}

// sendSignal sends a signal to the process if it runs. After SIGKILL or SIGTERM the process is
// not restarted for the time down.
func (v *vm) sendSignal(s syscall.Signal, down time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil || v.cmd.Process == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		v.exitRequested = true
		v.startAfter = time.Now().Add(down)
	}
	_ = v.cmd.Process.Signal(s) // fails if the process has just exited
}

// pause suspends the process for d, like a frozen VM.
func (v *vm) pause(d time.Duration) {
	v.sendSignal(syscall.SIGSTOP, 0)
	time.AfterFunc(d, func() { v.sendSignal(syscall.SIGCONT, 0) })
}
