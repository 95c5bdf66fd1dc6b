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

// vm is one entry VM: a process that is started again whenever it ends.
type vm struct {
	name, binary, settings, callers, ready string
	metricsPort                            int
	store                                  *Proxy
	log                                    *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	down   time.Time // not started before
	ownEnd int       // ends that no signal explains
	told   bool      // a signal that ends it was sent
}

// freePort finds a port of an address that only this soak uses.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, errors.Wrap(err, "port")
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// newVM writes a settings file whose store is behind the VM's own proxy. The VM has a
// loopback address of its own, so that its ports are free at every start.
func newVM(site *standin.Platform, binary, dir string, seed uint64, i int) (*vm, error) {
	v := &vm{name: fmt.Sprintf("vm-%d", i), binary: binary}
	ip := fmt.Sprintf("127.%d.%d.%d", 1+seed>>8&0x7f, seed&0xff, 1+i)
	ports := make([]int, 4)
	for k := range ports {
		var err error
		if ports[k], err = freePort(ip); err != nil {
			return nil, err
		}
	}
	var err error
	if v.store, err = NewProxy(site.StoreAddress); err != nil {
		return nil, err
	}
	v.callers, v.ready = fmt.Sprintf("%s:%d", ip, ports[0]), fmt.Sprintf("%s:%d", ip, ports[1])
	v.metricsPort = ports[3]
	text := strings.Replace(site.SettingsFile(v.name, ip, v.callers, v.ready, ports[2]), site.StoreAddress, v.store.Address(), 1)
	v.settings = filepath.Join(dir, v.name+".toml")
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	v.log, err = os.Create(filepath.Join(dir, v.name+".log"))
	return v, errors.Wrap(err, "log")
}

// run keeps a process alive until ctx is done.
func (v *vm) run(ctx context.Context) {
	for ctx.Err() == nil {
		v.mu.Lock()
		wait := time.Until(v.down)
		v.mu.Unlock()
		if wait > 0 {
			time.Sleep(min(wait, 20*time.Millisecond))
			continue
		}
		cmd := exec.Command(v.binary, "node", "--metrics-port", fmt.Sprint(v.metricsPort))
		cmd.Env = append(os.Environ(), platform.SettingsPathEnv+"="+v.settings)
		cmd.Stdout, cmd.Stderr = v.log, v.log
		if err := cmd.Start(); err != nil {
			fmt.Fprintln(v.log, "soak: start:", err)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		v.mu.Lock()
		v.cmd, v.told = cmd, false
		v.mu.Unlock()
		err := cmd.Wait()
		v.mu.Lock()
		if !v.told && ctx.Err() == nil {
			v.ownEnd++
			fmt.Fprintln(v.log, "soak: ended by itself:", err)
		}
		v.cmd = nil
		v.mu.Unlock()
	}
}

// signal sends a signal to the process if it runs; one that ends it may keep it down.
func (v *vm) signal(s syscall.Signal, down time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil || v.cmd.Process == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		v.told = true
		v.down = time.Now().Add(down)
	}
	_ = v.cmd.Process.Signal(s) // it may have ended just now
}

// pause stops the process for a while, as a frozen VM.
func (v *vm) pause(d time.Duration) {
	v.signal(syscall.SIGSTOP, 0)
	time.AfterFunc(d, func() { v.signal(syscall.SIGCONT, 0) })
}
