package dispatch

import (
	"testing"
	"time"

	"filbertcross/internal/fleet"
)

// startsAfterRestart sends a worker an acknowledgement, lets the given number of renewals fail and
// restarts the worker. It returns how many of two tasks start there at once.
func startsAfterRestart(t *testing.T, failedRenewals int) int {
	t.Helper()
	h := newHarness(t, 1)
	h.submit("quick", "a", tasks(1, 4))
	h.decide()
	first := h.starts[0]
	h.acceptStarts(h.starts)
	h.report(first.To.ID, h.runResult(first, fleet.OutcomeDone))
	h.commitAll()
	h.decide() // sends a renewal with the acknowledgement
	if len(h.renewals) != 1 || h.renewals[0].Renew.Acknowledged != 1 {
		t.Fatalf("renewals %v, want one that acknowledges result 1", h.renewals)
	}
	for range failedRenewals {
		h.advance(RenewWait + CommandTimeout)
		h.d.HandleRenewFailure(h.now, workerID(0), errNoResponse)
		h.advance(renewRetryDelay)
		h.decide()
		for _, renewal := range h.renewals {
			if renewal.Renew.Acknowledged != 0 {
				t.Fatal("a renewal after a failure acknowledges a result; the next incarnation may receive it")
			}
		}
	}
	h.advance(time.Millisecond)
	h.d.HandleReport(h.now, h.now, workerID(0), false, fleet.Report{Incarnation: 9, Clock: 5})
	h.listWorkers(1, func(_ int, e *fleet.WorkerEntry) { e.Incarnation = 9 })
	h.commitAll()
	h.submit("quick", "b", tasks(2, 4))
	h.advance(sweepInterval)
	h.decide()
	return len(h.starts)
}

// Flapping workers return at once and are needed (srv_flap). But while an earlier acknowledgement
// may still be executed late, a restarted worker would discard the results of new runs.
func TestRestartedWorkerCoolsDownOnlyIfAcknowledgementMayArriveLate(t *testing.T) {
	if got := startsAfterRestart(t, 1); got != 0 {
		t.Errorf("%d starts on a worker whose last acknowledgement may arrive late, want 0", got)
	}
	if got := startsAfterRestart(t, deadAfterFailedRenewals); got != 2 {
		t.Errorf("%d starts on a worker that was dead when the renewals were sent, want 2", got)
	}
}
