package node

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"filbertcross/platform/standin"
)

// During an outage of the store the lease of the owner expires. The owner must be the same afterwards,
// and what was submitted before the outage must be known to callers all the time, at every VM.
func TestOwnerKeepsItsStateThroughAnOutageInWhichItsLeaseExpires(t *testing.T) {
	const (
		outage       = 2500 * time.Millisecond
		serviceAgain = time.Second
	)
	testPlatform := newTestPlatform(t, 2)
	o, follower := ownerAndFollower(t, testPlatform)
	c := newTestCaller(t, testPlatform)
	c.submit(o, jobID(1), "lasts")
	eventually(t, "the tasks run", 5*time.Second, func() bool { _, n := testPlatform.Checker.Violations(); return n == 2 })
	eventually(t, "the follower follows", 5*time.Second, func() bool { return follower.node.currentOwnerAddress() != "" })
	before := o.node.currentOwner.Load()
	testPlatform.Store.SetFaults(standin.Faults{Unresponsive: true, LeasesExpire: true})
	time.Sleep(outage - 200*time.Millisecond)
	start := time.Now()
	if state := c.state(follower, jobID(1)); !strings.Contains(state, "running") || time.Since(start) > storeTimeout+ownerCallTimeout {
		t.Fatalf("state %q after %v during the outage", state, time.Since(start))
	}
	time.Sleep(200*time.Millisecond - min(time.Since(start), 200*time.Millisecond))
	testPlatform.Store.SetFaults(standin.Faults{})
	testPlatform.Checker.RecordSubmission(jobID(2), standin.SingleStep("ms=50", 1, 1000))
	eventually(t, "a submission is accepted again", serviceAgain, func() bool {
		status, _ := c.do(http.MethodPost, follower, standin.QueuePrefix+jobID(2), standin.SingleStep("ms=50", 1, 1000).Body())
		return status == http.StatusOK
	})
	eventually(t, "the submission is completed", serviceAgain, func() bool { return strings.Contains(c.state(follower, jobID(2)), "completed") })
	if o.node.currentOwner.Load() != before || follower.node.currentOwner.Load() != nil {
		t.Fatal("another owner was elected")
	}
	if _, starts := testPlatform.Checker.Violations(); starts != 3 {
		t.Fatalf("%d starts, want 3: tasks must survive the outage", starts)
	}
}
