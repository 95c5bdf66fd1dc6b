package node

import (
	"context"
	"net/http"
	"os"
	"strconv"
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
