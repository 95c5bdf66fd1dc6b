package dispatch

import (
	"testing"
	"time"

	"filbertcross/internal/fleet"
)

// rebornAfter makes a worker acknowledge an end, be silent for a number of holds, and come
// back as another incarnation; it reports how many of two tasks start there at once.
func startsAfterRestart(t *testing.T, silent int) int {
	t.Helper()
	r := newHarness(t, 1)
	r.submit("quick", "a", tasks(1, 4))
	r.decide()
	first := r.starts[0]
	r.acceptStarts(r.starts)
	r.report(first.To.ID, r.runResult(first, fleet.OutcomeDone))
	r.commitAll()
	r.decide() // a hold with the acknowledgement
	if len(r.renewals) != 1 || r.renewals[0].Renew.Acknowledged != 1 {
		t.Fatalf("holds %v", r.renewals)
	}
	for range silent {
		r.advance(RenewWait + CommandTimeout)
		r.d.HandleRenewFailure(r.now, workerID(0), errNoResponse)
		r.advance(renewRetryDelay)
		r.decide()
		for _, h := range r.renewals {
			if h.Renew.Acknowledged != 0 {
				t.Fatal("a hold after a failure acknowledges: the next incarnation may get it")
			}
		}
	}
	r.advance(time.Millisecond)
	r.d.HandleReport(r.now, r.now, workerID(0), false, fleet.Report{Incarnation: 9, Clock: 5})
	r.submit("quick", "b", tasks(2, 4))
	r.advance(sweepInterval)
	r.decide()
	return len(r.starts)
}

// Pattern: executors that flap (srv_flap) come back at once and are needed; one whose
// acknowledgement may still be carried out late must not get runs whose ends it would forget.
func TestRestartedWorkerCoolsDownOnlyIfAcknowledgementMayArriveLate(t *testing.T) {
	if got := startsAfterRestart(t, 1); got != 0 {
		t.Errorf("%d starts on a worker whose last acknowledgement may come late", got)
	}
	if got := startsAfterRestart(t, deadAfterFailedRenewals); got != 2 {
		t.Errorf("%d starts on a worker that was dead for a while, want 2", got)
	}
}
