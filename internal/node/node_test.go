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

// testVM is a node that runs in the test process.
type testVM struct {
	node           *Node
	callerAddress  string
	readyAddress   string
	metricsAddress string
	stop           context.CancelFunc
	done           chan error
}

// nextPort counts through ports below the kernel's ephemeral range: an outgoing connection may take
// a port of that range between its choice and its use.
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

func startVM(t *testing.T, site *standin.Platform, name string, change ...func(*Options)) *testVM {
	t.Helper()
	v := &testVM{
		callerAddress: fmt.Sprintf("127.0.0.1:%d", freePort(t)),
		readyAddress:  fmt.Sprintf("127.0.0.1:%d", freePort(t)),
		done:          make(chan error, 1),
	}
	settings, err := platform.ParseSettings(site.SettingsFile(name, "127.0.0.1", v.callerAddress, v.readyAddress, freePort(t)))
	if err != nil {
		t.Fatal(err)
	}
	metricsPort := freePort(t)
	v.metricsAddress = fmt.Sprintf("127.0.0.1:%d", metricsPort)
	n, _, metrics := Build(Settings{MetricsPort: metricsPort}, settings, logr.Discard())
	for _, c := range change {
		c(&n.opts)
		n.breaker = n.newBreaker()
	}
	v.node = n
	ctx, cancel := context.WithCancel(context.Background())
	v.stop = cancel
	go func() { v.done <- n.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-v.done; err != nil {
			t.Errorf("VM %s stopped with an error: %v", name, err)
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
	t.Fatalf("condition not met within %v: %s", within, what)
}

type testCaller struct {
	t    *testing.T
	site *standin.Platform
	http standin.Client
}

func newTestCaller(t *testing.T, site *standin.Platform) *testCaller {
	return &testCaller{t: t, site: site, http: standin.Client{HTTP: &http.Client{Timeout: 4 * time.Second}}}
}

func (c *testCaller) do(method string, v *testVM, path, body string) (int, string) {
	status, answer, err := c.http.Do(context.Background(), method, v.callerAddress, path, body)
	if err != nil {
		return 0, err.Error()
	}
	return status, answer
}

func (c *testCaller) submit(v *testVM, id, spec string) {
	c.t.Helper()
	work := standin.SingleStep(spec, 2, 1000)
	c.site.Checker.RecordSubmission(id, work)
	status, answer := c.do(http.MethodPost, v, standin.QueuePrefix+id, work.Body())
	if status != http.StatusOK {
		c.t.Fatalf("submission %s: %d %s", id, status, answer)
	}
}

func (c *testCaller) state(v *testVM, id string) string {
	_, answer := c.do(http.MethodGet, v, standin.QueuePrefix+id, "")
	return answer
}

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

func newTestSite(t *testing.T, executors int) *standin.Platform {
	t.Helper()
	site, err := standin.NewPlatform(executors, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if faults, _ := site.Checker.Violations(); len(faults) > 0 {
			t.Errorf("faults found by the checker: %s", strings.Join(faults, "; "))
		}
		site.Close()
	})
	return site
}

// ownerAndFollower starts two VMs and waits until one is the owner and the other has a
// configuration.
func ownerAndFollower(t *testing.T, site *standin.Platform) (owner, follower *testVM) {
	t.Helper()
	owner, follower = startVM(t, site, "a"), startVM(t, site, "b")
	eventually(t, "an owner", 5*time.Second, func() bool { return owner.node.currentOwner.Load() != nil || follower.node.currentOwner.Load() != nil })
	if follower.node.currentOwner.Load() != nil {
		owner, follower = follower, owner
	}
	eventually(t, "configuration", 5*time.Second, func() bool { return follower.node.Configuration() != nil })
	return owner, follower
}

func TestSubmissionsRunThroughAnyVM(t *testing.T) {
	site := newTestSite(t, 4)
	vms := []*testVM{startVM(t, site, "a"), startVM(t, site, "b"), startVM(t, site, "c")}
	c := newTestCaller(t, site)
	for i, v := range vms {
		eventually(t, "VM is ready", 5*time.Second, func() bool { return v.node.Configuration() != nil })
		c.submit(v, jobID(i), "ms=100")
	}
	for i := range vms {
		eventually(t, "completed at another VM", 8*time.Second, func() bool {
			return strings.Contains(c.state(vms[(i+1)%3], jobID(i)), "completed")
		})
	}
	if status, _ := c.do(http.MethodPost, vms[0], standin.QueuePrefix+jobID(0), standin.SingleStep("ms=100", 2, 1000).Body()); status != http.StatusOK {
		t.Fatalf("a repeated submission got %d, want 200", status)
	}
	if status, _ := c.do(http.MethodGet, vms[0], standin.QueuePrefix+jobID(99), ""); status != http.StatusGone {
		t.Fatalf("an unknown submission got %d, want 410", status)
	}
	if status, _ := c.do(http.MethodGet, vms[0], "/elsewhere/"+jobID(0), ""); status != http.StatusNotFound {
		t.Fatalf("an unknown queue got %d, want 404", status)
	}
	if status, answer := c.do(http.MethodPost, vms[0], standin.QueuePrefix+jobID(7), `{"steps":[{"count":0}]}`); status != http.StatusBadRequest || !strings.Contains(answer, "steps[0].count") {
		t.Fatalf("a malformed submission got %d %s, want 400 naming steps[0].count", status, answer)
	}
	if _, starts := site.Checker.Violations(); starts != 6 {
		t.Fatalf("%d starts, want 6", starts)
	}
}

func TestMetricsContainResponseCountsAndLatencies(t *testing.T) {
	site := newTestSite(t, 1)
	v := startVM(t, site, "a")
	c := newTestCaller(t, site)
	eventually(t, "configuration", 5*time.Second, func() bool { return v.node.Configuration() != nil })
	c.submit(v, jobID(1), "ms=50")
	eventually(t, "completed", 8*time.Second, func() bool { return strings.Contains(c.state(v, jobID(1)), "completed") })
	eventually(t, "metrics", 5*time.Second, func() bool {
		_, page, err := c.http.Do(context.Background(), http.MethodGet, v.metricsAddress, "/metrics", "")
		for _, want := range []string{`filbertcross_caller_answers{`, `method="POST",status="200"`, "filbertcross_caller_seconds_bucket", "filbertcross_hold_seconds_bucket", `event="run-placed"`} {
			if err != nil || !strings.Contains(page, want) {
				return false
			}
		}
		return true
	})
}

func TestFollowerTakesOverRunsOfStoppedOwner(t *testing.T) {
	site := newTestSite(t, 4)
	owner, follower := ownerAndFollower(t, site)
	c := newTestCaller(t, site)
	c.submit(follower, jobID(1), "ms=1500")
	c.submit(follower, jobID(2), "lasts")
	eventually(t, "the tasks run", 5*time.Second, func() bool { _, n := site.Checker.Violations(); return n == 4 })
	owner.stop()
	eventually(t, "the follower is the owner", 4*time.Second, func() bool { return follower.node.currentOwner.Load() != nil })
	eventually(t, "completed after the change of owner", 8*time.Second, func() bool { return strings.Contains(c.state(follower, jobID(1)), "completed") })
	if _, starts := site.Checker.Violations(); starts != 4 {
		t.Fatalf("%d starts, want 4: running tasks must be taken over", starts)
	}
	if status, _ := c.do(http.MethodDelete, follower, standin.QueuePrefix+jobID(2), ""); status != http.StatusOK {
		t.Fatalf("cancel got %d, want 200", status)
	}
	eventually(t, "cancelled", 3*time.Second, func() bool { return strings.Contains(c.state(follower, jobID(2)), "cancelled") })
}

func TestStoreOutageRejectsSubmissionsAtOnceAndKeepsTasksRunning(t *testing.T) {
	site := newTestSite(t, 2)
	v := startVM(t, site, "a")
	c := newTestCaller(t, site)
	eventually(t, "configuration", 5*time.Second, func() bool { return v.node.Configuration() != nil })
	c.submit(v, jobID(1), "lasts")
	eventually(t, "the tasks run", 5*time.Second, func() bool { _, n := site.Checker.Violations(); return n == 2 })
	site.Store.SetFaults(standin.Faults{Unresponsive: true})
	c.do(http.MethodPost, v, standin.QueuePrefix+jobID(2), standin.SingleStep("ms=50", 1, 1000).Body()) // opens the breaker
	site.Checker.RecordSubmission(jobID(3), standin.SingleStep("ms=50", 1, 1000))
	start := time.Now()
	status, _ := c.do(http.MethodPost, v, standin.QueuePrefix+jobID(3), standin.SingleStep("ms=50", 1, 1000).Body())
	if took := time.Since(start); status != http.StatusServiceUnavailable || took > time.Second {
		t.Fatalf("status %d after %v, want 503 at once", status, took)
	}
	site.Checker.RecordRejection(jobID(3))
	time.Sleep(2 * time.Second)
	site.Store.SetFaults(standin.Faults{})
	site.Checker.RecordSubmission(jobID(4), standin.SingleStep("ms=50", 1, 1000))
	eventually(t, "a submission is accepted again", 3*time.Second, func() bool {
		status, _ := c.do(http.MethodPost, v, standin.QueuePrefix+jobID(4), standin.SingleStep("ms=50", 1, 1000).Body())
		return status == http.StatusOK
	})
	eventually(t, "the submission is completed", 8*time.Second, func() bool { return strings.Contains(c.state(v, jobID(4)), "completed") })
	if _, starts := site.Checker.Violations(); starts != 3 {
		t.Fatalf("%d starts, want 3: long-running tasks must survive the outage", starts)
	}
}

func TestConfigurationReachesAllVMs(t *testing.T) {
	site := newTestSite(t, 1)
	vms := []*testVM{startVM(t, site, "a"), startVM(t, site, "b"), startVM(t, site, "c")}
	for _, v := range vms {
		eventually(t, "first configuration", 5*time.Second, func() bool { return v.node.configurations.version() == 1 })
	}
	site.PutConfiguration(5)
	for _, v := range vms {
		eventually(t, "newer configuration", 2*time.Second, func() bool { return v.node.configurations.version() == 5 })
	}
	site.PutConfiguration(4)
	time.Sleep(time.Second)
	for _, v := range vms {
		if got := v.node.configurations.version(); got != 5 {
			t.Fatalf("configuration version %d, want 5 retained", got)
		}
	}
}

// The store executes writes seconds after their callers timed out (platform_lost late), and then the
// owner changes. A late write of older progress must not overwrite newer progress (found by
// deploy/days/contracts.toml, TWICE 220).
func TestLateWriteOfOlderProgressDoesNotOverwriteNewer(t *testing.T) {
	site := newTestSite(t, 4)
	owner, follower := ownerAndFollower(t, site)
	c := newTestCaller(t, site)
	work := standin.Submission{Spec: "ms=150"}
	for i := range 12 { // the tasks of a submission end one after the other
		step := standin.Step{Tasks: 1, MilliCPU: 500, MemoryMiB: 64, EstimateMS: 150}
		if i > 0 {
			step.After = []int{i - 1}
		}
		work.Steps = append(work.Steps, step)
	}
	for n := range 8 {
		site.Checker.RecordSubmission(jobID(n), work)
		if status, _ := c.do(http.MethodPost, follower, standin.QueuePrefix+jobID(n), work.Body()); status != http.StatusOK {
			t.Fatalf("submission got %d, want 200", status)
		}
	}
	site.Store.SetFaults(standin.Faults{DelayWrite: 0.5})
	time.Sleep(2500 * time.Millisecond)
	site.Store.SetFaults(standin.Faults{})
	time.Sleep(3 * time.Second) // until the late writes have been executed
	owner.stop()
	eventually(t, "the follower is the owner", 6*time.Second, func() bool { return follower.node.currentOwner.Load() != nil })
	for n := range 8 {
		eventually(t, "completed", 15*time.Second, func() bool { return strings.Contains(c.state(follower, jobID(n)), "completed") })
	}
}
