package node

import (
	"context"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"filbertcross/platform/standin"
)

// TestManyWorkers measures an owner with many workers. It runs only on request:
// FILBERTCROSS_WORKERS=350 go test -run TestManyWorkers -cpuprofile cpu.out ./internal/node
func TestManyWorkers(t *testing.T) {
	workers, err := strconv.Atoi(os.Getenv("FILBERTCROSS_WORKERS"))
	if err != nil {
		t.Skip("FILBERTCROSS_WORKERS is not set")
	}
	testPlatform := newTestPlatform(t, workers)
	v := startVM(t, testPlatform, "a")
	c := newTestCaller(t, testPlatform)
	eventually(t, "configuration", 5*time.Second, func() bool { return v.node.Configuration() != nil })
	time.Sleep(time.Second)
	var clients sync.WaitGroup
	start := time.Now()
	n := 0
	for time.Since(start) < 10*time.Second {
		n++
		name := jobID(n)
		submission := standin.SingleStep("ms=1000", 12, 4500)
		testPlatform.Checker.RecordSubmission(name, submission)
		clients.Go(func() {
			path := standin.AdvisedQueuePrefix + name
			status, _, err := c.http.Do(context.Background(), http.MethodPost, v.callerAddress, path, submission.Body())
			if status != http.StatusOK {
				t.Errorf("submission: status %d, error %v", status, err)
			}
		})
		time.Sleep(25 * time.Millisecond)
	}
	clients.Wait()
	for i := 1; i <= n; i++ {
		eventually(t, "completed", 20*time.Second, func() bool {
			_, response, _ := c.http.Do(context.Background(), http.MethodGet, v.callerAddress, standin.AdvisedQueuePrefix+jobID(i), "")
			return response == `{"state":"completed"}`
		})
	}
	_, starts := testPlatform.Checker.Violations()
	t.Logf("%d submissions, %d starts, all completed after %v", n, starts, time.Since(start))
}

// Guards against an owner that never takes up its work because the stored state takes longer to load
// than a fixed time, and each try begins anew.
func TestOwnerBehindSlowLinkLoadsLargeState(t *testing.T) {
	const (
		submissions   = 550   // more than one page of the store
		specBytes     = 3900  // of each submission; together about 3 MB as the store sends them
		linkRate      = 600e3 // bytes per second
		recoveryBound = 12 * time.Second
	)
	testPlatform := newTestPlatform(t, 0)
	first := startVM(t, testPlatform, "a")
	eventually(t, "an owner", 5*time.Second, func() bool { return first.node.currentOwner.Load() != nil })
	events := &eventRecorder{recorded: map[string]string{}}
	second := startVM(t, testPlatform, "b", newSlowLink(t, linkRate).attachTo(testPlatform), func(o *Options) { o.Events, o.Owner.Events = events, events })
	eventually(t, "a follower", 5*time.Second, func() bool { _, ok := events.get("owner-found"); return ok && second.node.Configuration() != nil })
	c := newTestCaller(t, testPlatform)
	spec := "ms=100 " + strings.Repeat("x", specBytes)
	for n := range submissions {
		c.submit(first, jobID(n), spec)
	}
	first.stop()
	eventually(t, "the new owner has loaded the state", recoveryBound, func() bool { _, ok := events.get("owner-elected"); return ok })
}
