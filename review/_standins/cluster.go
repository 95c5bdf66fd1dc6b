package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the command of the deploy file.
const program = "target/filbertcross"

const (
	queueHost      = "booking.example"
	restartedAfter = 500 * time.Millisecond // by the platform, after an exit
	longestCase    = 112 * time.Second
)

// node is an entry machine: its process is started again after each exit.
type node struct {
	name, ip, front, ready string
	settings               string
	log                    *os.File
	rec                    *recorder

	mu     sync.Mutex
	cmd    *exec.Cmd
	exits  int
	closed bool
	done   chan struct{}
}

// cluster is a platform with the processes of the system.
type cluster struct {
	*platform
	nodes []*node
	dir   string
	http  *http.Client
	turn  int
}

// loopbackBlock returns the first three bytes of loopback addresses that no process listens at.
func loopbackBlock() string {
	for {
		block := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250))
		if l, err := net.Listen("tcp", block+".1:9464"); err == nil {
			_ = l.Close()
			return block
		}
	}
}

func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// startCluster starts the processes and waits until all are ready and answer clients.
func startCluster(p *platform, nodes int) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c := &cluster{platform: p, dir: dir, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	block := loopbackBlock()
	for i := range nodes {
		n := &node{name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("%s.%d", block, i+1), rec: p.rec, done: make(chan struct{})}
		ports, err := freePorts(n.ip, 3)
		if err != nil {
			return c, err
		}
		n.front, n.ready = fmt.Sprintf("%s:%d", n.ip, ports[0]), fmt.Sprintf("%s:%d", n.ip, ports[1])
		n.settings = filepath.Join(dir, n.name+".toml")
		if err := os.WriteFile(n.settings, []byte(settings(p, n, ports[2])), 0o600); err != nil {
			return c, err
		}
		if n.log, err = os.Create(filepath.Join(dir, n.name+".log")); err != nil {
			return c, err
		}
		c.nodes = append(c.nodes, n)
	}
	for _, n := range c.nodes {
		go func() {
			runtime.LockOSThread() // the process gets a signal when the thread that started it ends
			n.keepRunning()
		}()
	}
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range c.nodes {
			if resp, err := c.http.Get("http://" + n.ready + "/readiness"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(c.nodes) {
			break
		}
		if time.Now().After(end) {
			return c, fmt.Errorf("the processes are not ready; their logs are in %s", dir)
		}
	}
	time.Sleep(2 * time.Second) // the traffic starts some seconds after the machines
	p.rec.log("%d processes are ready", len(c.nodes))
	return c, nil
}

func settings(p *platform, n *node, port int) string {
	return fmt.Sprintf(`node-name = %q
role = "node"
machine-class = "front"
serves = ["front"]
ip = %q
zone = "zone-0"
region = "region-0"
port-range = [%d,%d]
seeds = []
bootstrap = true
in-tolerance = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "rpc"
advice = %q
[listen]
front = %q
ready = %q
[limits]
cpu-share = 0.4
cpu-cores = 1
memory-mb = 284
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[bounds]
contact-ms = 3000
ack-timeout-ms = 4000
drain-ms = 2000
grace-s = 6
config-apply-ms = 2000
recovery-s = 12
max-hold-ms = 6000
stop-timeout-ms = 200
gang-timeout-ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
notice-ms = 4500
migrate-s = 1.5
maintenance-s = 2
fencing = true
lease-ms = 3000
pacing-ms = 100
harm-ms = 4000
[platform]
address = %q
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
min-ttl-ms = 1000
[cloud-api]
address = %q
rate-per-s = 60.0
duties = []
duty-per-s = 60.0
`, n.name, n.ip, port, port+1, p.adviceAddress, n.front, n.ready, p.storeAddress, p.cloudAddress)
}

func (n *node) keepRunning() {
	defer close(n.done)
	for {
		n.mu.Lock()
		if n.closed {
			n.mu.Unlock()
			return
		}
		cmd := exec.Command(program, "node")
		cmd.Env = append(os.Environ(), "FILBERTCROSS_NODE_FILE="+n.settings)
		cmd.Stdout, cmd.Stderr = n.log, n.log
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		err := cmd.Start()
		if err == nil {
			n.cmd = cmd
		}
		n.mu.Unlock()
		if err != nil {
			n.rec.log("process %s cannot be started: %v", n.name, err)
			return
		}
		n.rec.log("process %s is started", n.name)
		_ = cmd.Wait()
		n.mu.Lock()
		n.cmd, n.exits = nil, n.exits+1
		closed := n.closed
		n.mu.Unlock()
		n.rec.log("process %s has ended: %v", n.name, cmd.ProcessState)
		if !closed {
			time.Sleep(restartedAfter)
		}
	}
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		n.rec.log("process %s gets %v", n.name, s)
		_ = n.cmd.Process.Signal(s)
	}
}

// close ends all processes and stand-ins.
func (c *cluster) close() {
	for _, n := range c.nodes {
		n.mu.Lock()
		n.closed = true
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
		}
		n.mu.Unlock()
	}
	for _, n := range c.nodes {
		select {
		case <-n.done:
		case <-time.After(5 * time.Second):
		}
	}
	c.platform.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs of the processes:", c.dir)
	}
}

// endOnSignal ends everything and exits when this process is told to end, or after the time that a case may take.
func (c *cluster) endOnSignal(code int) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	select {
	case <-signals:
	case <-time.After(longestCase):
		c.rec.log("the case takes too long")
	}
	c.close()
	os.Exit(code)
}

// owner returns the node whose process last wrote to the store under a condition: its name stands in the owner's key.
func (c *cluster) owner() *node {
	value, ok := c.store.Get("fc/owner")
	if !ok {
		return nil
	}
	for _, n := range c.nodes {
		if bytes.Contains(value, []byte(n.name)) {
			return n
		}
	}
	return nil
}

// step is one step of a submission.
type step struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu"`
	Memory        int64  `json:"mem-mb"`
	EstimateMS    int64  `json:"est-runtime-ms,omitempty"`
	After         []int  `json:"after,omitempty"`
	LongRunning   bool   `json:"long-running,omitempty"`
	Image         string `json:"image,omitempty"`
	TargetMS      int64  `json:"target-ms,omitempty"`
	Fills         bool   `json:"fills,omitempty"`
	MayMiss       int    `json:"may-miss,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
}

// submit sends a submission until it is accepted, as a client does, and reports whether it was.
func (c *cluster) submit(prefix, id string, advised bool, spec string, steps ...step) bool {
	c.mu.Lock()
	c.advised[id] = advised
	c.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"spec": spec, "steps": steps})
	for range 5 {
		if status, _ := c.call(http.MethodPost, prefix+id, body); status/100 == 2 {
			return true
		} else if status == http.StatusBadRequest {
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// call sends one request of a client to the next node, and returns the status, 0 if there is none, and the body.
func (c *cluster) call(method, path string, body []byte) (int, string) {
	c.mu.Lock()
	c.turn++
	n := c.nodes[c.turn%len(c.nodes)]
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+n.front+path, bytes.NewReader(body))
	req.Host = queueHost
	req.Header.Set("Deadline-Ms", "3000")
	resp, err := c.http.Do(req)
	if err != nil {
		c.rec.log("client %s %s at %s: no answer (%v)", method, path, n.name, err)
		return 0, ""
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	c.rec.log("client %s %s at %s: %d %s", method, path, n.name, resp.StatusCode, strings.TrimSpace(string(data)))
	return resp.StatusCode, string(data)
}

// state asks for a submission's state until a node answers with 200 or 410, for up to 3 s.
func (c *cluster) state(prefix, id string) string {
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		status, text := c.call(http.MethodGet, prefix+id, nil)
		switch status {
		case http.StatusOK:
			var body struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal([]byte(text), &body)
			return body.State
		case http.StatusGone:
			return "410"
		}
	}
	return ""
}

// await calls f every 50 ms until it returns true or the time is over, and reports whether it did.
func await(d time.Duration, f func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return f()
}
