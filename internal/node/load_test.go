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

// TestManyWorkers measures an owner with many workers; it is run by hand:
// FILBERTCROSS_WORKERS=350 go test -run TestManyWorkers -cpuprofile cpu.out ./internal/node
func TestManyWorkers(t *testing.T) {
	workers, err := strconv.Atoi(os.Getenv("FILBERTCROSS_WORKERS"))
	if err != nil {
		t.Skip("FILBERTCROSS_WORKERS is not set")
	}
	site := newSite(t, workers)
	v := startVM(t, site, "a")
	c := newCaller(t, site)
	eventually(t, "configuration", 5*time.Second, func() bool { return v.node.Configuration() != nil })
	time.Sleep(time.Second)
	var clients sync.WaitGroup
	begun := time.Now()
	n := 0
	for time.Since(begun) < 10*time.Second {
		n++
		name := id(n)
		work := standin.SingleStep("ms=1000", 12, 4500)
		site.Checker.RecordSubmission(name, work)
		clients.Go(func() {
			path := standin.AdvisedQueuePrefix + name
			status, _, err := c.http.Do(context.Background(), http.MethodPost, v.callers, path, work.Body())
			if status != http.StatusOK {
				t.Errorf("submission: %d %v", status, err)
			}
		})
		time.Sleep(25 * time.Millisecond)
	}
	clients.Wait()
	for i := 1; i <= n; i++ {
		eventually(t, "completed", 20*time.Second, func() bool {
			_, answer, _ := c.http.Do(context.Background(), http.MethodGet, v.callers, standin.AdvisedQueuePrefix+id(i), "")
			return answer == `{"state":"completed"}`
		})
	}
	_, starts := site.Checker.Violations()
	t.Logf("%d submissions, %d starts, all completed after %v", n, starts, time.Since(begun))
}
