package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

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

func startVM(t *testing.T, testPlatform *standin.Platform, name string, change ...func(*Options)) *testVM {
	t.Helper()
	v := &testVM{
		callerAddress: fmt.Sprintf("127.0.0.1:%d", freePort(t)),
		readyAddress:  fmt.Sprintf("127.0.0.1:%d", freePort(t)),
		done:          make(chan error, 1),
	}
	settings, err := platform.ParseSettings(testPlatform.SettingsFile(name, "127.0.0.1", v.callerAddress, v.readyAddress, freePort(t)))
	if err != nil {
		t.Fatal(err)
	}
	metricsPort := freePort(t)
	v.metricsAddress = fmt.Sprintf("127.0.0.1:%d", metricsPort)
	n, _, metrics := Build(Settings{MetricsPort: metricsPort}, settings, newFailureLog(t, name))
	for _, c := range change {
		c(&n.opts)
		n.storeHealth = n.newStoreMonitor()
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

// newFailureLog returns a log whose lines are printed if the test fails.
func newFailureLog(t *testing.T, name string) logr.Logger {
	var mu sync.Mutex
	var lines []string
	t.Cleanup(func() {
		mu.Lock()
		defer mu.Unlock()
		if t.Failed() {
			t.Logf("log of VM %s:\n%s", name, strings.Join(lines, "\n"))
		}
	})
	started := time.Now()
	return funcr.New(func(_, line string) {
		mu.Lock()
		defer mu.Unlock()
		lines = append(lines, fmt.Sprintf("%.3f s %s", time.Since(started).Seconds(), line))
	}, funcr.Options{})
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
	t            *testing.T
	testPlatform *standin.Platform
	http         standin.Client
}

func newTestCaller(t *testing.T, testPlatform *standin.Platform) *testCaller {
	return &testCaller{t: t, testPlatform: testPlatform, http: standin.Client{HTTP: &http.Client{Timeout: 4 * time.Second}}}
}

func (c *testCaller) do(method string, v *testVM, path, body string) (int, string) {
	status, response, err := c.http.Do(context.Background(), method, v.callerAddress, path, body)
	if err != nil {
		return 0, err.Error()
	}
	return status, response
}

func (c *testCaller) submit(v *testVM, id, spec string) {
	c.t.Helper()
	submission := standin.SingleStep(spec, 2, 1000)
	c.testPlatform.Checker.RecordSubmission(id, submission)
	status, response := c.do(http.MethodPost, v, standin.QueuePrefix+id, submission.Body())
	if status != http.StatusOK {
		c.t.Fatalf("submission %s: %d %s", id, status, response)
	}
}

func (c *testCaller) state(v *testVM, id string) string {
	_, response := c.do(http.MethodGet, v, standin.QueuePrefix+id, "")
	return response
}

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

func newTestPlatform(t *testing.T, workers int) *standin.Platform {
	t.Helper()
	testPlatform, err := standin.NewPlatform(workers, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if violations, _ := testPlatform.Checker.Violations(); len(violations) > 0 {
			t.Errorf("violations found by the checker: %s", strings.Join(violations, "; "))
		}
		testPlatform.Close()
	})
	return testPlatform
}

// ownerAndFollower starts two VMs and waits until one is the owner and the other has a
// configuration.
func ownerAndFollower(t *testing.T, testPlatform *standin.Platform, change ...func(*Options)) (owner, follower *testVM) {
	t.Helper()
	owner, follower = startVM(t, testPlatform, "a", change...), startVM(t, testPlatform, "b", change...)
	eventually(t, "an owner", 5*time.Second, func() bool { return owner.node.currentOwner.Load() != nil || follower.node.currentOwner.Load() != nil })
	if follower.node.currentOwner.Load() != nil {
		owner, follower = follower, owner
	}
	eventually(t, "configuration", 5*time.Second, func() bool { return follower.node.Configuration() != nil })
	return owner, follower
}

func TestSubmissionsRunThroughAnyVM(t *testing.T) {
	testPlatform := newTestPlatform(t, 4)
	vms := []*testVM{startVM(t, testPlatform, "a"), startVM(t, testPlatform, "b"), startVM(t, testPlatform, "c")}
	c := newTestCaller(t, testPlatform)
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
	if status, response := c.do(http.MethodPost, vms[0], standin.QueuePrefix+jobID(7), `{"steps":[{"count":0}]}`); status != http.StatusBadRequest || !strings.Contains(response, "steps[0].count") {
		t.Fatalf("a malformed submission got %d %s, want 400 naming steps[0].count", status, response)
	}
	if _, starts := testPlatform.Checker.Violations(); starts != 6 {
		t.Fatalf("%d starts, want 6", starts)
	}
}

func TestMetricsContainResponseCountsAndLatencies(t *testing.T) {
	testPlatform := newTestPlatform(t, 1)
	v := startVM(t, testPlatform, "a")
	c := newTestCaller(t, testPlatform)
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
	testPlatform := newTestPlatform(t, 4)
	owner, follower := ownerAndFollower(t, testPlatform)
	c := newTestCaller(t, testPlatform)
	c.submit(follower, jobID(1), "ms=1500")
	c.submit(follower, jobID(2), "lasts")
	eventually(t, "the tasks run", 5*time.Second, func() bool { _, n := testPlatform.Checker.Violations(); return n == 4 })
	owner.stop()
	eventually(t, "the follower is the owner", 4*time.Second, func() bool { return follower.node.currentOwner.Load() != nil })
	eventually(t, "completed after the change of owner", 8*time.Second, func() bool { return strings.Contains(c.state(follower, jobID(1)), "completed") })
	if _, starts := testPlatform.Checker.Violations(); starts != 4 {
		t.Fatalf("%d starts, want 4: running tasks must be taken over", starts)
	}
	if status, _ := c.do(http.MethodDelete, follower, standin.QueuePrefix+jobID(2), ""); status != http.StatusOK {
		t.Fatalf("cancel got %d, want 200", status)
	}
	eventually(t, "canceled", 3*time.Second, func() bool { return strings.Contains(c.state(follower, jobID(2)), "cancelled") })
}

func TestStoreOutageRejectsSubmissionsAtOnceAndKeepsTasksRunning(t *testing.T) {
	testPlatform := newTestPlatform(t, 2)
	v := startVM(t, testPlatform, "a")
	c := newTestCaller(t, testPlatform)
	eventually(t, "configuration", 5*time.Second, func() bool { return v.node.Configuration() != nil })
	c.submit(v, jobID(1), "lasts")
	eventually(t, "the tasks run", 5*time.Second, func() bool { _, n := testPlatform.Checker.Violations(); return n == 2 })
	testPlatform.Store.SetFaults(standin.Faults{Unresponsive: true})
	c.do(http.MethodPost, v, standin.QueuePrefix+jobID(2), standin.SingleStep("ms=50", 1, 1000).Body()) // makes the store unavailable
	testPlatform.Checker.RecordSubmission(jobID(3), standin.SingleStep("ms=50", 1, 1000))
	start := time.Now()
	status, _ := c.do(http.MethodPost, v, standin.QueuePrefix+jobID(3), standin.SingleStep("ms=50", 1, 1000).Body())
	if took := time.Since(start); status != http.StatusServiceUnavailable || took > time.Second {
		t.Fatalf("status %d after %v, want 503 at once", status, took)
	}
	testPlatform.Checker.RecordRejection(jobID(3))
	time.Sleep(2 * time.Second)
	testPlatform.Store.SetFaults(standin.Faults{})
	testPlatform.Checker.RecordSubmission(jobID(4), standin.SingleStep("ms=50", 1, 1000))
	eventually(t, "a submission is accepted again", 3*time.Second, func() bool {
		status, _ := c.do(http.MethodPost, v, standin.QueuePrefix+jobID(4), standin.SingleStep("ms=50", 1, 1000).Body())
		return status == http.StatusOK
	})
	eventually(t, "the submission is completed", 8*time.Second, func() bool { return strings.Contains(c.state(v, jobID(4)), "completed") })
	if _, starts := testPlatform.Checker.Violations(); starts != 3 {
		t.Fatalf("%d starts, want 3: long-running tasks must survive the outage", starts)
	}
}

func TestConfigurationReachesAllVMs(t *testing.T) {
	testPlatform := newTestPlatform(t, 1)
	vms := []*testVM{startVM(t, testPlatform, "a"), startVM(t, testPlatform, "b"), startVM(t, testPlatform, "c")}
	for _, v := range vms {
		eventually(t, "first configuration", 5*time.Second, func() bool { return v.node.configurations.version() == 1 })
	}
	testPlatform.PutConfiguration(5)
	for _, v := range vms {
		eventually(t, "newer configuration", 2*time.Second, func() bool { return v.node.configurations.version() == 5 })
	}
	testPlatform.PutConfiguration(4)
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
	testPlatform := newTestPlatform(t, 4)
	owner, follower := ownerAndFollower(t, testPlatform)
	c := newTestCaller(t, testPlatform)
	submission := standin.Submission{Spec: "ms=150"}
	for i := range 12 { // the tasks of a submission end one after the other
		step := standin.Step{Tasks: 1, MilliCPU: 500, MemoryMiB: 64, EstimateMS: 150}
		if i > 0 {
			step.After = []int{i - 1}
		}
		submission.Steps = append(submission.Steps, step)
	}
	for n := range 8 {
		testPlatform.Checker.RecordSubmission(jobID(n), submission)
		if status, _ := c.do(http.MethodPost, follower, standin.QueuePrefix+jobID(n), submission.Body()); status != http.StatusOK {
			t.Fatalf("submission got %d, want 200", status)
		}
	}
	testPlatform.Store.SetFaults(standin.Faults{DelayWrite: 0.5})
	time.Sleep(2500 * time.Millisecond)
	testPlatform.Store.SetFaults(standin.Faults{})
	time.Sleep(3 * time.Second) // until the late writes have been executed
	owner.stop()
	eventually(t, "the follower is the owner", 6*time.Second, func() bool { return follower.node.currentOwner.Load() != nil })
	for n := range 8 {
		eventually(t, "completed", 15*time.Second, func() bool { return strings.Contains(c.state(follower, jobID(n)), "completed") })
	}
}
