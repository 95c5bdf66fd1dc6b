package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"filbertcross/platform"
	"filbertcross/platform/standin"
)

// vm is a node that runs inside the test.
type vm struct {
	node    *Node
	callers string
	ready   string
	metrics string
	stop    context.CancelFunc
	done    chan error
}

// nextPort counts through ports below those that the kernel gives to outgoing connections: one of
// these may take a port between its choice and its use.
var nextPort = func() *atomic.Int32 {
	var p atomic.Int32
	p.Store(int32(12000 + rand.IntN(16000)))
	return &p
}()

func freePort(t *testing.T) int {
	t.Helper()
	for range 1000 {
		port := int(nextPort.Add(1))
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			_ = l.Close()
			return port
		}
	}
	t.Fatal("no free port")
	return 0
}

func startVM(t *testing.T, site *standin.Platform, name string, change ...func(*Options)) *vm {
	t.Helper()
	v := &vm{
		callers: fmt.Sprintf("127.0.0.1:%d", freePort(t)),
		ready:   fmt.Sprintf("127.0.0.1:%d", freePort(t)),
		done:    make(chan error, 1),
	}
	settings, err := platform.ParseSettings(site.SettingsFile(name, "127.0.0.1", v.callers, v.ready, freePort(t)))
	if err != nil {
		t.Fatal(err)
	}
	metricsPort := freePort(t)
	v.metrics = fmt.Sprintf("127.0.0.1:%d", metricsPort)
	n, _, metrics := Build(Settings{MetricsPort: metricsPort}, settings, logr.Discard())
	for _, c := range change {
		c(&n.opts)
		n.writes = n.breaker()
	}
	v.node = n
	ctx, cancel := context.WithCancel(context.Background())
	v.stop = cancel
	go func() { v.done <- n.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-v.done; err != nil {
			t.Errorf("VM %s ended: %v", name, err)
		}
		_ = metrics.Closer.Close()
	})
	return v
}

func eventually(t *testing.T, what string, within time.Duration, f func() bool) {
	t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("not within %v: %s", within, what)
}

type caller struct {
	t    *testing.T
	site *standin.Platform
	http standin.Client
}

func newCaller(t *testing.T, site *standin.Platform) *caller {
	return &caller{t: t, site: site, http: standin.Client{HTTP: &http.Client{Timeout: 4 * time.Second}}}
}

func (c *caller) do(method string, v *vm, path, body string) (int, string) {
	status, answer, err := c.http.Do(context.Background(), method, v.callers, path, body)
	if err != nil {
		return 0, err.Error()
	}
	return status, answer
}

func (c *caller) submit(v *vm, id, spec string) {
	c.t.Helper()
	work := standin.SingleStep(spec, 2, 1000)
	c.site.Checker.RecordSubmission(id, work)
	status, answer := c.do(http.MethodPost, v, standin.QueuePrefix+id, work.Body())
	if status != http.StatusOK {
		c.t.Fatalf("submission %s: %d %s", id, status, answer)
	}
}

func (c *caller) state(v *vm, id string) string {
	_, answer := c.do(http.MethodGet, v, standin.QueuePrefix+id, "")
	return answer
}

func id(n int) string { return fmt.Sprintf("%016x", n) }

func newSite(t *testing.T, executors int) *standin.Platform {
	t.Helper()
	site, err := standin.NewPlatform(executors, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if faults, _ := site.Checker.Violations(); len(faults) > 0 {
			t.Errorf("the judge saw: %s", strings.Join(faults, "; "))
		}
		site.Close()
	})
	return site
}

// ownerAndFollower starts two VMs and waits until one decides and the other is configured.
func ownerAndFollower(t *testing.T, site *standin.Platform) (leader, other *vm) {
	t.Helper()
	leader, other = startVM(t, site, "a"), startVM(t, site, "b")
	eventually(t, "an owner", 5*time.Second, func() bool { return leader.node.current.Load() != nil || other.node.current.Load() != nil })
	if other.node.current.Load() != nil {
		leader, other = other, leader
	}
	eventually(t, "configuration", 5*time.Second, func() bool { return other.node.Configuration() != nil })
	return leader, other
}

func TestSubmissionsRunThroughAnyVM(t *testing.T) {
	site := newSite(t, 4)
	vms := []*vm{startVM(t, site, "a"), startVM(t, site, "b"), startVM(t, site, "c")}
	c := newCaller(t, site)
	for i, v := range vms {
		eventually(t, "VM is ready", 5*time.Second, func() bool { return v.node.Configuration() != nil })
		c.submit(v, id(i), "ms=100")
	}
	for i := range vms {
		eventually(t, "completed at another VM", 8*time.Second, func() bool {
			return strings.Contains(c.state(vms[(i+1)%3], id(i)), "completed")
		})
	}
	if status, _ := c.do(http.MethodPost, vms[0], standin.QueuePrefix+id(0), standin.SingleStep("ms=100", 2, 1000).Body()); status != http.StatusOK {
		t.Fatalf("a repeated submission got %d", status)
	}
	if status, _ := c.do(http.MethodGet, vms[0], standin.QueuePrefix+id(99), ""); status != http.StatusGone {
		t.Fatalf("an unknown submission got %d, want 410", status)
	}
	if status, _ := c.do(http.MethodGet, vms[0], "/elsewhere/"+id(0), ""); status != http.StatusNotFound {
		t.Fatalf("an unknown queue got %d, want 404", status)
	}
	if status, answer := c.do(http.MethodPost, vms[0], standin.QueuePrefix+id(7), `{"steps":[{"count":0}]}`); status != http.StatusBadRequest || !strings.Contains(answer, "steps[0].count") {
		t.Fatalf("a malformed submission got %d %s", status, answer)
	}
	if _, starts := site.Checker.Violations(); starts != 6 {
		t.Fatalf("%d starts, want 6", starts)
	}
}

func TestMetricsTellAnswersAndLatencies(t *testing.T) {
	site := newSite(t, 1)
	v := startVM(t, site, "a")
	c := newCaller(t, site)
	eventually(t, "configuration", 5*time.Second, func() bool { return v.node.Configuration() != nil })
	c.submit(v, id(1), "ms=50")
	eventually(t, "completed", 8*time.Second, func() bool { return strings.Contains(c.state(v, id(1)), "completed") })
	eventually(t, "metrics", 5*time.Second, func() bool {
		_, page, err := c.http.Do(context.Background(), http.MethodGet, v.metrics, "/metrics", "")
		for _, want := range []string{`filbertcross_caller_answers{`, `method="POST",status="200"`, "filbertcross_caller_seconds_bucket", "filbertcross_hold_seconds_bucket", `event="run-placed"`} {
			if err != nil || !strings.Contains(page, want) {
				return false
			}
		}
		return true
	})
}

func TestOwnerStopsAndAnotherGoesOn(t *testing.T) {
	site := newSite(t, 4)
	leader, other := ownerAndFollower(t, site)
	c := newCaller(t, site)
	c.submit(other, id(1), "ms=1500")
	c.submit(other, id(2), "lasts")
	eventually(t, "the tasks run", 5*time.Second, func() bool { _, n := site.Checker.Violations(); return n == 4 })
	leader.stop()
	eventually(t, "the other VM decides", 4*time.Second, func() bool { return other.node.current.Load() != nil })
	eventually(t, "completed after the change", 8*time.Second, func() bool { return strings.Contains(c.state(other, id(1)), "completed") })
	if _, starts := site.Checker.Violations(); starts != 4 {
		t.Fatalf("%d starts, want 4: what ran was adopted", starts)
	}
	if status, _ := c.do(http.MethodDelete, other, standin.QueuePrefix+id(2), ""); status != http.StatusOK {
		t.Fatalf("cancel got %d", status)
	}
	eventually(t, "cancelled", 3*time.Second, func() bool { return strings.Contains(c.state(other, id(2)), "cancelled") })
}

func TestStoreOutageRefusesAtOnceAndKeepsWorkRunning(t *testing.T) {
	site := newSite(t, 2)
	v := startVM(t, site, "a")
	c := newCaller(t, site)
	eventually(t, "configuration", 5*time.Second, func() bool { return v.node.Configuration() != nil })
	c.submit(v, id(1), "lasts")
	eventually(t, "the tasks run", 5*time.Second, func() bool { _, n := site.Checker.Violations(); return n == 2 })
	site.Store.SetFaults(standin.Faults{Unresponsive: true})
	c.do(http.MethodPost, v, standin.QueuePrefix+id(2), standin.SingleStep("ms=50", 1, 1000).Body()) // opens the breaker
	site.Checker.RecordSubmission(id(3), standin.SingleStep("ms=50", 1, 1000))
	begun := time.Now()
	status, _ := c.do(http.MethodPost, v, standin.QueuePrefix+id(3), standin.SingleStep("ms=50", 1, 1000).Body())
	if took := time.Since(begun); status != http.StatusServiceUnavailable || took > time.Second {
		t.Fatalf("status %d after %v, want 503 at once", status, took)
	}
	site.Checker.RecordRejection(id(3))
	time.Sleep(2 * time.Second)
	site.Store.SetFaults(standin.Faults{})
	site.Checker.RecordSubmission(id(4), standin.SingleStep("ms=50", 1, 1000))
	eventually(t, "a submission is taken again", 3*time.Second, func() bool {
		status, _ := c.do(http.MethodPost, v, standin.QueuePrefix+id(4), standin.SingleStep("ms=50", 1, 1000).Body())
		return status == http.StatusOK
	})
	eventually(t, "and completed", 8*time.Second, func() bool { return strings.Contains(c.state(v, id(4)), "completed") })
	if _, starts := site.Checker.Violations(); starts != 3 {
		t.Fatalf("%d starts, want 3: what lasts ran through the outage", starts)
	}
}

func TestConfigurationReachesAllVMs(t *testing.T) {
	site := newSite(t, 1)
	vms := []*vm{startVM(t, site, "a"), startVM(t, site, "b"), startVM(t, site, "c")}
	for _, v := range vms {
		eventually(t, "first configuration", 5*time.Second, func() bool { return v.node.configs.version() == 1 })
	}
	site.PutConfiguration(5)
	for _, v := range vms {
		eventually(t, "the newer one", 2*time.Second, func() bool { return v.node.configs.version() == 5 })
	}
	site.PutConfiguration(4)
	time.Sleep(time.Second)
	for _, v := range vms {
		if got := v.node.configs.version(); got != 5 {
			t.Fatalf("version %d, a VM went back", got)
		}
	}
}

// Pattern: the store does writes seconds after their callers gave up (platform_lost late), and
// then the owner changes. A late write of older progress must not undo a newer one (found by
// deploy/days/contracts.toml, TWICE 220).
func TestLateWriteOfOlderProgressDoesNotUndoANewerOne(t *testing.T) {
	site := newSite(t, 4)
	leader, other := ownerAndFollower(t, site)
	c := newCaller(t, site)
	work := standin.Submission{Spec: "ms=150"}
	for i := range 12 { // tasks of one submission end one after the other
		step := standin.Step{Tasks: 1, MilliCPU: 500, MemoryMiB: 64, EstimateMS: 150}
		if i > 0 {
			step.After = []int{i - 1}
		}
		work.Steps = append(work.Steps, step)
	}
	for n := range 8 {
		site.Checker.RecordSubmission(id(n), work)
		if status, _ := c.do(http.MethodPost, other, standin.QueuePrefix+id(n), work.Body()); status != http.StatusOK {
			t.Fatalf("submission got %d", status)
		}
	}
	site.Store.SetFaults(standin.Faults{DelayWrite: 0.5})
	time.Sleep(2500 * time.Millisecond)
	site.Store.SetFaults(standin.Faults{})
	time.Sleep(3 * time.Second) // the late writes are done
	leader.stop()
	eventually(t, "the other VM decides", 6*time.Second, func() bool { return other.node.current.Load() != nil })
	for n := range 8 {
		eventually(t, "completed", 15*time.Second, func() bool { return strings.Contains(c.state(other, id(n)), "completed") })
	}
}
