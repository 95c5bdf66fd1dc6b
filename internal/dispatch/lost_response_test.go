package dispatch

import (
	"testing"
	"time"

	"filbertcross/internal/fleet"
	"filbertcross/internal/verdict"
)

var errNoResponse = &fleet.CallError{Op: "start", Verdict: verdict.MayHaveRun}

// A worker starts a run but its response is lost. The run completes before the stop arrives, and
// its result is reported late. The task must not be started again before that (hoogvlucht scale-1,
// TWICE).
func TestStoppedRunReleasesTaskOnlyByReport(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("quick", "a", tasks(1, 4))
	h.decide()
	first := h.starts[0]
	h.advance(CommandTimeout)
	h.d.HandleStartResponse(h.now, first.Start.RunID, first.To.ID, 0, errNoResponse)
	h.advance(time.Millisecond)
	h.decide() // sends a status query
	h.reportRuns(first.To.ID, nil)
	h.decide()
	if len(h.stops) != 1 {
		t.Fatalf("%d stops, want one of the run that is not listed", len(h.stops))
	}
	h.d.HandleStopResponse(h.now, first.Start.RunID, first.To.ID, nil)
	h.advance(2 * time.Second)
	h.decide()
	if len(h.starts) != 0 {
		t.Fatal("the task is started again before its worker reports the result of the first run")
	}
	h.report(first.To.ID, h.runResult(first, fleet.OutcomeDone))
	h.decide()
	if len(h.starts) != 0 {
		t.Fatal("the task is started again after its completion")
	}
	h.commitAll()
	if got := h.d.Status("a").State; got != fleet.StateCompleted {
		t.Fatalf("state %v, want completed", got)
	}
}

func TestUnansweredStartIsRetriedAfterConfirmedStop(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("quick", "a", tasks(1, 4))
	h.decide()
	first := h.starts[0]
	h.d.HandleStartResponse(h.now, first.Start.RunID, first.To.ID, 0, errNoResponse)
	h.advance(time.Millisecond)
	h.reportRuns(first.To.ID, nil)
	h.decide()
	h.d.HandleStopResponse(h.now, first.Start.RunID, first.To.ID, nil)
	h.advance(time.Millisecond)
	h.reportRuns(first.To.ID, nil)
	h.decide()
	if len(h.starts) != 1 {
		t.Fatalf("%d starts after the stop was confirmed, want 1", len(h.starts))
	}
	if h.starts[0].Start.Run <= first.Start.Run {
		t.Fatalf("run number %d is not higher than %d", h.starts[0].Start.Run, first.Start.Run)
	}
}

func TestTasksOfUnresponsiveWorkerWaitForLeaseExpiry(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("rebuild", "a", tasks(1, 4))
	h.decide()
	first := h.starts[0]
	h.acceptStarts(h.starts)
	h.report(first.To.ID)
	h.decide() // renews the lease
	granted := h.now
	other := workerID(0)
	if first.To.ID == other {
		other = workerID(1)
	}
	lease := float64(testLease)
	var again []StartCommand
	for h.now < granted+time.Duration(lease/minClockRate) {
		h.advance(100 * time.Millisecond)
		h.d.HandleRenewFailure(h.now, first.To.ID, errNoResponse)
		h.report(other)
		h.decide()
		for _, renewal := range h.renewals {
			if renewal.To.ID == first.To.ID && renewal.Renew.Deadline != 0 {
				t.Fatal("a renewal after a failure extends the lease")
			}
		}
		if len(h.starts) != 0 && h.now < granted+time.Duration(lease/minClockRate) {
			t.Fatalf("started again %v after the last renewal, before the lease has expired", h.now-granted)
		}
		again = append(again, h.starts...)
	}
	h.advance(time.Second)
	h.report(other)
	h.decide()
	again = append(again, h.starts...)
	if len(again) != 1 || again[0].To.ID != other {
		t.Fatalf("starts %v, want one on %s", again, other)
	}
}

func TestOlderReportDoesNotRestoreEndedRun(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("quick", "a", tasks(1, 4), tasks(1, 4))
	h.decide()
	first := h.starts[0]
	h.acceptStarts(h.starts)
	old := fleet.Report{Incarnation: 1, Clock: h.now.Milliseconds() - 5, Running: h.runStatuses(first.To.ID)}
	h.report(first.To.ID, h.runResult(first, fleet.OutcomeDone))
	h.d.HandleReport(h.now, h.now, first.To.ID, true, old)
	for _, run := range h.d.RunsAt(first.To.ID) {
		if run == first.Start.RunID {
			t.Fatal("an older report adds an ended run again")
		}
	}
}

func TestWorkerRestartEndsConfirmedRunsAtOnce(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("quick", "a", tasks(1, 4))
	h.decide()
	h.acceptStarts(h.starts)
	h.d.HandleReport(h.now, h.now, workerID(0), false, fleet.Report{Incarnation: 2, Clock: 5})
	if runs := h.d.RunsAt(workerID(0)); len(runs) != 0 {
		t.Fatalf("runs %v of the former incarnation are left", runs)
	}
	h.listWorkers(1, func(_ int, e *fleet.WorkerEntry) { e.Incarnation = 2 })
	h.commitAll()
	h.advance(unackedPollInterval)
	h.decide() // the renewal whose answer shows that the worker rejects commands to its former incarnation
	h.d.HandleReport(h.now, h.now, workerID(0), false, fleet.Report{Incarnation: 2, Clock: 150})
	h.advance(time.Millisecond)
	h.decide()
	if len(h.starts) != 1 {
		t.Fatalf("%d starts after the worker was restarted, want 1", len(h.starts))
	}
}
