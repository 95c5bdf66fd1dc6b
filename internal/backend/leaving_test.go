package backend

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Gossip and peer calls read the leaving servers at the same time, while reports expire.
// The race detector reports a read that changes the directory.
func TestConcurrentReadsOfLeavingServersWhileReportsExpire(t *testing.T) {
	started := time.Now()
	var elapsed atomic.Int64
	_, managers := newTestCluster(t, 1, func() time.Time { return started.Add(time.Duration(elapsed.Load())) })
	m := managers[0]
	var reports []LeavingServer
	for i := range 100 {
		reports = append(reports, LeavingServer{ID: ServerID(fmt.Sprintf("x%d", i)), Remaining: time.Millisecond})
	}
	m.addLeavingReports(reports)
	if got := len(m.leavingServers()); got != len(reports) {
		t.Fatalf("%d servers are reported as leaving, want %d", got, len(reports))
	}
	elapsed.Store(int64(time.Second))
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			if got := m.leavingServers(); len(got) != 0 {
				t.Errorf("expired reports are returned: %v", got)
			}
		})
	}
	readers.Wait()
	m.UpdateServerList(started.Add(time.Second), testVMList(""))
	if kept := len(m.directory.reportedUntil); kept != 0 {
		t.Errorf("%d expired reports are kept after an update of the list", kept)
	}
}
