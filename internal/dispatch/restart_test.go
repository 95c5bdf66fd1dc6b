package dispatch

import (
	"testing"
	"time"

	"filbertcross/internal/fleet"
)

// restartWithAcknowledgement restarts the only worker of a harness while an acknowledgement is on its way, after the given
// number of renewals have failed. latestToken states that the worker has seen the latest token of the owner. It returns the harness, whose worker gets two tasks, and the token of the acknowledgement.
func restartWithAcknowledgement(t *testing.T, failedRenewals int, latestToken bool) (*harness, int64) {
	t.Helper()
	h := newHarness(t, 1)
	h.submit("quick", "a", tasks(1, 4))
	h.decide()
	first := h.starts[0]
	h.acceptStarts(h.starts)
	h.report(first.To.ID, h.runResult(first, fleet.OutcomeDone))
	h.commitAll()
	if latestToken {
		h.d.workers[workerID(0)].fence = h.d.provenRevision
	}
	h.decide() // sends a renewal with the acknowledgement
	if len(h.renewals) != 1 || h.renewals[0].Renew.Acknowledged != 1 {
		t.Fatalf("renewals %v, want one that acknowledges result 1", h.renewals)
	}
	acknowledgement := h.renewals[0].Renew.Fence
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
	h.listWorkers(1, func(_ int, e *fleet.WorkerEntry) { e.Incarnation = 9 })
	h.submit("quick", "b", tasks(2, 4))
	return h, acknowledgement
}

// answer answers the last renewal as the next incarnation, and lets some time pass.
func (h *harness) answer(seen *int64) {
	for _, renewal := range h.renewals {
		*seen = max(*seen, renewal.Renew.Fence)
		h.advance(time.Millisecond)
		h.d.HandleReport(h.now, h.now, workerID(0), false, fleet.Report{Incarnation: 9, Clock: h.now.Milliseconds() % 100_000})
	}
	h.advance(sweepInterval)
}

// A worker is back within a second after a crash, and an acknowledgement may still be executed there: it discards the results
// of new runs. The worker was closed for 12.4 s for that (review/10, LOST). It must be used within 3 s, but not before it rejects
// the acknowledgement.
func TestRestartedWorkerIsUsedOnceItRejectsTheAcknowledgement(t *testing.T) {
	for i := range 10 {
		failedRenewals := i / 2
		h, acknowledgement := restartWithAcknowledgement(t, failedRenewals, i%2 == 0)
		restarted, seen := h.now, int64(0)
		for len(h.starts) == 0 && h.now < restarted+3*time.Second {
			h.answer(&seen)
			h.commitAll()
			h.decide()
		}
		if len(h.starts) != 2 || seen <= acknowledgement {
			t.Errorf("%d failed renewals: %d starts on a worker that has seen token %d, want 2 within 3 s and a token above %d", failedRenewals, len(h.starts), seen, acknowledgement)
		}
	}
}

// While the store does not answer, the owner cannot make the worker reject the acknowledgement, nor record that a lease there may
// last longer than a successor assumes. It waits until neither can matter any more.
func TestRestartedWorkerWaitsForTheAcknowledgementWithoutTheStore(t *testing.T) {
	h, _ := restartWithAcknowledgement(t, 0, true)
	restarted, seen := h.now, int64(0)
	for len(h.starts) == 0 && h.now < restarted+20*time.Second {
		h.answer(&seen)
		h.decide()
	}
	want := maxCommandDelay + leaseEnd(0, testMaxLease) - leaseEnd(0, testLease)
	if took := h.now - restarted; took < want-RenewWait || took > want+time.Second {
		t.Errorf("started %v after the restart, want %v", took, want)
	}
}
