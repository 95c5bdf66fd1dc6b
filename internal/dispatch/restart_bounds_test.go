package dispatch

import (
	"testing"
	"time"

	"filbertcross/internal/fleet"
)

// startOnUnknownIncarnation lets a worker restart unnoticed and answer a start, which gives it the longest lease.
func startOnUnknownIncarnation(t *testing.T) *restartedWorker {
	t.Helper()
	w := &restartedWorker{harness: newHarness(t, 1)}
	w.submit("quick", "a", tasks(1, 4))
	w.commitAll()
	w.decide()
	w.backAt = w.now
	w.leaseEnd = leaseEnd(w.now, testMaxLease) - leaseExpiryMargin
	w.run = w.starts[0].Start.RunID
	w.d.HandleStartResponse(w.now, w.run, workerID(0), 1000, nil)
	return w
}

// Guards against TWICE: the owner is killed before it hears the incarnation that has answered a start (review of issue 62). The answer's
// clock, or the platform's list, shows that it is not the settled one.
func TestSuccessorWaitsForTheLeaseOfAnUnknownIncarnation(t *testing.T) {
	for name, known := range map[string]func(w *restartedWorker){
		"list of workers written":      func(w *restartedWorker) { w.commitAll(); w.replaceOwner() },
		"entry in the platform's list": func(w *restartedWorker) { w.replaceOwner(); w.listWorkers(1, restartedEntry) },
	} {
		w := startOnUnknownIncarnation(t)
		known(w)
		if at := w.firstStartElsewhere(); at < w.leaseEnd {
			t.Errorf("%s: the task's next run starts %v after its first start was answered; that run is at work until %v", name, at-w.backAt, w.leaseEnd-w.backAt)
		}
	}
}

// Guards against TWICE: the last report of the former incarnation arrives after the next one has answered a start (issue 62).
func TestReportOfFormerIncarnationDoesNotShortenTheLease(t *testing.T) {
	w := startOnUnknownIncarnation(t)
	sent := w.now
	w.advance(time.Millisecond)
	w.d.HandleReport(w.now, sent, workerID(0), false, fleet.Report{Incarnation: 1, Clock: w.now.Milliseconds()})
	if at := w.firstStartElsewhere(); at < w.leaseEnd {
		t.Errorf("the task's next run starts %v after its first start was answered; that run is at work until %v", at-w.backAt, w.leaseEnd-w.backAt)
	}
}

// Guards against TWICE: a start with a deadline on the former clock is executed before the first report of the next incarnation, which
// is cut off 2 s later (the users' day of issue 62), with and without a successor.
func TestStartOnNextIncarnationMayHoldTheLongestLease(t *testing.T) {
	for _, killed := range []bool{false, true} {
		w := startOnUnknownIncarnation(t)
		w.clock = 1000
		w.advance(170 * time.Millisecond)
		w.d.HandleRenewFailure(w.now, workerID(0), errNoResponse)
		w.listWorkers(1, restartedEntry)
		for end := w.now + 1800*time.Millisecond; w.now < end; {
			w.decide()
			w.answer(w.run)
			w.commitAll()
			w.advance(unackedPollInterval)
		}
		if killed {
			w.replaceOwner()
		}
		if at := w.firstStartElsewhere(); at < w.leaseEnd {
			t.Errorf("owner killed %v: the task's next run starts %v after its first start was answered; that run is at work until %v", killed, at-w.backAt, w.leaseEnd-w.backAt)
		}
	}
}

// Guards against TWICE: a worker restarts while the list that names its former incarnation as settled is being written (issue 62).
func TestRestartDuringTheWriteOfTheSettledList(t *testing.T) {
	w := newRestartedWorker(t, 1000)
	w.startRun()
	known := w.d.workers[workerID(0)]
	for end := w.now + 10*time.Second; !w.d.workerListDirty; w.advance(sweepInterval) {
		if w.now > end {
			t.Fatal("the settled list is not to be written")
		}
		w.decide()
		w.answer(w.run)
	}
	batch := w.d.NextBatch(w.now, 30)
	w.advance(sweepInterval)
	w.d.HandleReport(w.now, w.now, workerID(0), false, fleet.Report{Incarnation: 3, Clock: 5})
	before := known.leaseRecorded()
	w.d.HandleBatchResult(w.now, batch, true)
	if before || known.leaseRecorded() || !w.d.workerListDirty {
		t.Errorf("usable before %v and after the write %v, list to be written again %v; want false, false, true", before, known.leaseRecorded(), w.d.workerListDirty)
	}
}

// Guards against TWICE: a worker restarts twice, and its third incarnation executes a command to the first one (issue 62).
func TestSecondRestartKeepsTheEarliestDeadline(t *testing.T) {
	w := newRestartedWorker(t, 1000)
	w.listWorkers(1, restartedEntry)
	w.decide()
	w.answer()
	w.advance(time.Millisecond)
	w.d.HandleReport(w.now, w.now, workerID(0), false, fleet.Report{Incarnation: 3, Clock: 60_000})
	if got, want := w.d.workers[workerID(0)].leaseDeadline, 60_000+testMaxLease.Milliseconds(); got < want {
		t.Errorf("known lease until %d, want %d", got, want)
	}
}

// The end of the previous owner bounds the wait for a worker that may hold the longest lease.
func TestPreviousOwnerStoppedBoundsTheWaitForUnsettledWorkers(t *testing.T) {
	w := newRestartedWorker(t, 1000)
	w.startRun()
	w.replaceOwner()
	stopped := w.now
	limit := leaseEnd(stopped, testMaxLease) + sweepInterval + 200*time.Millisecond
	if at := w.firstStartElsewhere(); at > limit {
		t.Errorf("the task's next run starts %v after the previous owner's end, want %v at most", at-stopped, limit-stopped)
	}
}
