package dispatch

import (
	"testing"
	"time"

	"filbertcross/internal/fleet"
	"filbertcross/internal/verdict"
)

var errNoResponse = &fleet.CallError{Op: "start", Verdict: verdict.MayHaveRun}

// Pattern: an executor runs a task at once, its answer is lost, the run ends done before a
// stop reaches it, and the end is listed late (hoogvlucht scale-1, TWICE).
func TestStoppedRunReleasesTaskOnlyByReport(t *testing.T) {
	r := newHarness(t, 2)
	r.submit("quick", "a", tasks(1, 4))
	r.decide()
	first := r.starts[0]
	r.advance(CommandTimeout)
	r.d.HandleStartResponse(r.now, first.Start.RunID, first.To.ID, errNoResponse)
	r.advance(time.Millisecond)
	r.decide() // a look goes out
	r.reportRuns(first.To.ID, nil)
	r.decide()
	if len(r.stops) != 1 {
		t.Fatalf("%d stops, want one of the run that is not there", len(r.stops))
	}
	r.d.HandleStopResponse(r.now, first.Start.RunID, first.To.ID, nil)
	r.advance(2 * time.Second)
	r.decide()
	if len(r.starts) != 0 {
		t.Fatal("the task was started again before its worker told how the run ended")
	}
	r.report(first.To.ID, r.runResult(first, fleet.OutcomeDone))
	r.decide()
	if len(r.starts) != 0 {
		t.Fatal("the task was started again after it was done")
	}
	r.commitAll()
	if got := r.d.State("a"); got != fleet.StateCompleted {
		t.Fatalf("state %v, want completed", got)
	}
}

func TestUnansweredStartIsRetriedAfterConfirmedStop(t *testing.T) {
	r := newHarness(t, 2)
	r.submit("quick", "a", tasks(1, 4))
	r.decide()
	first := r.starts[0]
	r.d.HandleStartResponse(r.now, first.Start.RunID, first.To.ID, errNoResponse)
	r.advance(time.Millisecond)
	r.reportRuns(first.To.ID, nil)
	r.decide()
	r.d.HandleStopResponse(r.now, first.Start.RunID, first.To.ID, nil)
	r.advance(time.Millisecond)
	r.reportRuns(first.To.ID, nil)
	r.decide()
	if len(r.starts) != 1 {
		t.Fatalf("%d starts after the proof, want 1", len(r.starts))
	}
	if r.starts[0].Start.Run <= first.Start.Run {
		t.Fatalf("run %d does not rise above %d", r.starts[0].Start.Run, first.Start.Run)
	}
}

func TestTasksOfUnresponsiveWorkerWaitForLeaseExpiry(t *testing.T) {
	r := newHarness(t, 2)
	r.submit("rebuild", "a", tasks(1, 4))
	r.decide()
	first := r.starts[0]
	r.acceptStarts(r.starts)
	r.report(first.To.ID)
	r.decide() // renews the lease
	granted := r.now
	other := workerID(0)
	if first.To.ID == other {
		other = workerID(1)
	}
	lease := float64(testLease)
	var again []StartCommand
	for r.now < granted+time.Duration(lease/minClockRate) {
		r.advance(100 * time.Millisecond)
		r.d.HandleRenewFailure(r.now, first.To.ID, errNoResponse)
		r.report(other)
		r.decide()
		for _, h := range r.renewals {
			if h.To.ID == first.To.ID && h.Renew.Deadline != 0 {
				t.Fatal("a hold after a failure extends the lease")
			}
		}
		if len(r.starts) != 0 && r.now < granted+time.Duration(lease/minClockRate) {
			t.Fatalf("started again %v after the last hold, before the lease has run out", r.now-granted)
		}
		again = append(again, r.starts...)
	}
	r.advance(time.Second)
	r.report(other)
	r.decide()
	again = append(again, r.starts...)
	if len(again) != 1 || again[0].To.ID != other {
		t.Fatalf("starts %v, want one on %s", again, other)
	}
}

func TestOlderReportDoesNotRestoreEndedRun(t *testing.T) {
	r := newHarness(t, 1)
	r.submit("quick", "a", tasks(1, 4), tasks(1, 4))
	r.decide()
	first := r.starts[0]
	r.acceptStarts(r.starts)
	old := fleet.Report{Incarnation: 1, Clock: r.now.Milliseconds() - 5, Running: r.runStatuses(first.To.ID)}
	r.report(first.To.ID, r.runResult(first, fleet.OutcomeDone))
	r.d.HandleReport(r.now, r.now, first.To.ID, true, old)
	for _, run := range r.d.RunsAt(first.To.ID) {
		if run == first.Start.RunID {
			t.Fatal("an ended run is booked again by an older answer")
		}
	}
}

func TestWorkerRestartEndsConfirmedRunsAtOnce(t *testing.T) {
	r := newHarness(t, 1)
	r.submit("quick", "a", tasks(1, 4))
	r.decide()
	r.acceptStarts(r.starts)
	r.d.HandleReport(r.now, r.now, workerID(0), false, fleet.Report{Incarnation: 2, Clock: 5})
	r.decide()
	if len(r.starts) != 1 {
		t.Fatalf("%d starts after the worker was reborn, want 1", len(r.starts))
	}
}
