package crowd

import (
	"context"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"filbertcross/platform"
	"filbertcross/platform/standin"
)

// The machine of the VM under test.
const (
	memoryMB       = 80
	maxDescriptors = 500
	fileReserve    = 200 // descriptors that the platform reserves for files
	mebibyte       = 1 << 20
)

// Timing of the tests. None of them is a bound on the VM's speed.
const (
	sampleInterval = 10 * time.Millisecond
	answerTimeout  = 90 * time.Second // of all attempts of an ordinary request
	callTimeout    = 3200 * time.Millisecond
)

// program is the path of the program, built without the race detector.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "filbertcross")
	build := exec.Command("go", "build", "-o", program, "filbertcross/cmd/filbertcross")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// vm is the process under test. It is the only entry VM, so it is the owner too.
type vm struct {
	t                           *testing.T
	front, readiness            string // addresses
	metrics, peers              string
	pid                         int
	exited                      chan struct{} // closed when the process has ended
	peakMemory, peakDescriptors atomic.Int64  // bytes, sockets
	logPath                     string
}

// startVM starts a platform and the process, waits until it serves, and measures it until the test
// ends. The cleanup checks that it lived and stayed within the limits of its machine.
func startVM(t *testing.T) *vm {
	t.Helper()
	p, err := standin.NewPlatform(4, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	const ip = "127.9.0.1"
	ports := freePorts(t, ip, 4)
	v := &vm{t: t, exited: make(chan struct{}), logPath: filepath.Join(t.TempDir(), "log"),
		front: address(ip, ports[0]), readiness: address(ip, ports[1]), metrics: address(ip, ports[2]), peers: address(ip, ports[3])}
	settings := strings.Replace(p.SettingsFile("vm-0", ip, v.front, v.readiness, ports[3]),
		"memory-mb = 284", fmt.Sprintf("memory-mb = %d\nmax-fds = %d", memoryMB, maxDescriptors), 1)
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(v.logPath)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = log.Close() })
	cmd := exec.Command(program, "node", "--metrics-port", strconv.Itoa(ports[2]))
	cmd.Env = append(os.Environ(), platform.SettingsPathEnv+"="+path)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	v.pid = cmd.Process.Pid
	go func() {
		_ = cmd.Wait() // its cause is in the log
		close(v.exited)
	}()
	v.requireAnswer("before the crowd")
	stop := make(chan struct{})
	go v.measure(stop)
	t.Cleanup(func() {
		close(stop)
		v.check()
		_ = cmd.Process.Kill()
		<-v.exited
	})
	return v
}

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// freePorts returns n different free ports.
func freePorts(t *testing.T, ip string, n int) []int {
	t.Helper()
	var ports []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

// check fails the test unless the process lives and has stayed within the limits of its machine.
func (v *vm) check() {
	v.t.Helper()
	memory, descriptors := v.peakMemory.Load(), v.peakDescriptors.Load()
	v.t.Logf("peak: %d MB with what was received and not read, %d sockets", memory/mebibyte, descriptors)
	select {
	case <-v.exited:
		v.t.Errorf("the process has ended; its log is %s", v.logPath)
	default:
	}
	if memory > memoryMB*mebibyte {
		v.t.Errorf("%d MB were used, %d MB are allowed", memory/mebibyte, memoryMB)
	}
	if descriptors > maxDescriptors-fileReserve {
		v.t.Errorf("%d sockets were open, %d are allowed", descriptors, maxDescriptors-fileReserve)
	}
}

// measure samples the process until stop is closed.
func (v *vm) measure(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(sampleInterval):
		}
		v.peakMemory.Store(max(v.peakMemory.Load(), residentBytes(v.pid)+v.unreadBytes()))
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", v.pid)); err == nil {
			v.peakDescriptors.Store(max(v.peakDescriptors.Load(), sockets(v.pid, entries)))
		}
	}
}

// sockets counts the descriptors that the platform does not count as files.
func sockets(pid int, entries []os.DirEntry) int64 {
	n := int64(0)
	for _, e := range entries {
		target, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", pid, e.Name()))
		if err == nil && (strings.HasPrefix(target, "socket:") || strings.HasPrefix(target, "pipe:")) {
			n++
		}
	}
	return n
}

// residentBytes returns the resident memory of a process, 0 if it has ended.
func residentBytes(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// unreadBytes returns what the VM's connections have received and the process has not read.
func (v *vm) unreadBytes() int64 {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	local := map[string]bool{socketAddress(v.front): true, socketAddress(v.readiness): true, socketAddress(v.metrics): true, socketAddress(v.peers): true}
	const localField, stateField, queuesField, listening = 1, 3, 4, "0A"
	total := int64(0)
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) <= queuesField || !local[fields[localField]] || fields[stateField] == listening {
			continue
		}
		_, received, _ := strings.Cut(fields[queuesField], ":")
		n, _ := strconv.ParseInt(received, 16, 64)
		total += n
	}
	return total
}

// socketAddress returns an IPv4 address and port as the kernel's table writes them.
func socketAddress(address string) string {
	host, port, _ := net.SplitHostPort(address)
	ip := net.ParseIP(host).To4()
	n, _ := strconv.Atoi(port)
	return strings.ToUpper(hex.EncodeToString([]byte{ip[3], ip[2], ip[1], ip[0]})) + fmt.Sprintf(":%04X", n)
}

var submissions atomic.Uint64

// newID returns an ID that no other submission of the tests has.
func newID() string { return fmt.Sprintf("%016x", submissions.Add(1)) }

// requireAnswer fails the test unless an ordinary submission is accepted and its state is returned.
func (v *vm) requireAnswer(when string) {
	v.t.Helper()
	path := standin.QueuePrefix + newID()
	v.requireStatus(when, http.MethodPost, path, standin.SingleStep("ms=50", 1, 1000).Body())
	v.requireStatus(when, http.MethodGet, path, "")
}

func (v *vm) requireStatus(when, method, path, body string) {
	v.t.Helper()
	// Every attempt is a new connection, as those of ordinary callers from elsewhere are.
	client := standin.Client{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	status, cause := 0, error(nil)
	for end := time.Now().Add(answerTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		status, _, cause = client.Do(ctx, method, v.front, path, body)
		cancel()
		if status == http.StatusOK {
			return
		}
		select {
		case <-v.exited:
			v.t.Fatalf("%s: the process has ended; its log is %s", when, v.logPath)
		default:
		}
	}
	v.t.Fatalf("%s: no answer to %s: status %d, %v", when, method, status, cause)
}

// requireReady fails the test unless the readiness check succeeds.
func (v *vm) requireReady(when string) {
	v.t.Helper()
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	var cause error
	for end := time.Now().Add(answerTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		response, err := client.Get("http://" + v.readiness + platform.ReadinessPath)
		if cause = err; err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	v.t.Fatalf("%s: not ready: %v", when, cause)
}
