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

// Guards against TWICE: an incarnation that the owner does not know executes a start, and the answer is lost (review of issue 62).
func TestUnansweredStartMayHoldTheLongestLease(t *testing.T) {
	w := &restartedWorker{harness: newHarness(t, 1)}
	w.submit("quick", "a", tasks(1, 4))
	w.decide()
	w.backAt = w.now
	w.leaseEnd = leaseEnd(w.now, testMaxLease) - leaseExpiryMargin
	w.advance(CommandTimeout)
	w.d.HandleStartResponse(w.now, w.starts[0].Start.RunID, workerID(0), 0, errNoResponse)
	if at := w.firstStartElsewhere(); at < w.leaseEnd {
		t.Errorf("the task's next run starts %v after its first start was sent; that run is at work until %v", at-w.backAt, w.leaseEnd-w.backAt)
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

// Guards against TWICE and against waits beyond 14 s: a restarted worker that is silent before it is fenced may still execute what was in
// flight at its last report, and keeps a run by a start to its former incarnation.
func TestUnfencedIncarnationMayExecuteWhatWasInFlight(t *testing.T) {
	w := &restartedWorker{harness: newHarness(t, 1), clock: 1000}
	w.submit("quick", "a", tasks(1, 4))
	w.decide()
	w.backAt = w.now
	w.listWorkers(1, restartedEntry)
	w.answer(w.starts[0].Start.RunID)
	least := leaseEnd(w.backAt+CommandTimeout, testMaxLease) - leaseExpiryMargin
	if at := w.firstStartElsewhere(); at < least || at > w.backAt+14*time.Second {
		t.Errorf("the task's next run starts %v after the only report, want between %v and 14s", at-w.backAt, least-w.backAt)
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

// Guards against TWICE under a successor: a worker that was silent before it was fenced settles only once an ordinary lease outlasts what
// a late command may have granted (review of issue 62).
func TestUnfencedSilentWorkerSettlesAfterLateCommands(t *testing.T) {
	w := newRestartedWorker(t, 1000)
	w.listWorkers(1, restartedEntry)
	w.decide()
	known := w.d.workers[workerID(0)]
	known.fence, known.commandFence = w.d.provenRevision, w.d.provenRevision
	w.answer()
	if known.incarnation != restartedIncarnation || known.fenced(w.now) {
		t.Fatalf("incarnation %d, fenced %v", known.incarnation, known.fenced(w.now))
	}
	lateEnd := leaseEnd(known.staleUntil, testMaxLease)
	for end := w.now + 30*time.Second; known.settled != restartedIncarnation; w.advance(20 * time.Millisecond) {
		if w.now > end {
			t.Fatal("it never settles")
		}
		w.decide()
		for range w.renewals {
			w.d.HandleRenewFailure(w.now, workerID(0), errNoResponse)
		}
	}
	if ordinary := leaseEnd(w.now, testLease); ordinary < lateEnd {
		t.Errorf("an ordinary lease ends %v before one by a late command", lateEnd-ordinary)
	}
}

// Guards against an idle worker of a large fleet that is closed for a poll interval of 4 s after a restart (review of issue 62).
func TestIdleWorkerOfLargeFleetIsUsedSoonAfterRestart(t *testing.T) {
	h := newHarness(t, idleLongPollMaxWorkers+1)
	h.commitAll()
	known := h.d.workers[workerID(0)]
	h.advance(idleRenewInterval)
	h.decide() // polls the workers
	h.advance(time.Millisecond)
	h.d.HandleReport(h.now, h.now, workerID(0), false, fleet.Report{Incarnation: restartedIncarnation, Clock: 1000})
	h.listWorkers(idleLongPollMaxWorkers+1, restartedEntry)
	if known.fenced(h.now) {
		t.Fatal("the first report fences the worker")
	}
	for end := h.now + time.Second; !known.acceptsRuns(h.now); h.advance(sweepInterval) {
		if h.now > end {
			t.Fatal("the worker gets no runs for a second")
		}
		h.commitAll()
		h.decide()
		for _, renewal := range h.renewals {
			if renewal.To.ID == workerID(0) {
				h.d.HandleReport(h.now, h.now, workerID(0), false, fleet.Report{Incarnation: restartedIncarnation, Clock: 2000})
			}
		}
	}
}

// Guards against successors that wait for the longest lease of all workers, because one that restarts all the time keeps the list
// from being written (review of issue 62).
func TestCrashLoopDoesNotDelayTheSettledList(t *testing.T) {
	h := newHarness(t, 2)
	for _, w := range h.d.workerList {
		w.settled, w.reported = 0, false
	}
	h.d.workerListDirty = true
	h.commitAll()
	incarnation, began := int64(1), h.now
	for ; h.now < began+10*time.Second; h.advance(50 * time.Millisecond) {
		incarnation = 1 + int64((h.now-began)/(2*time.Second))
		h.listWorkers(2, func(i int, e *fleet.WorkerEntry) {
			if i == 1 {
				e.Incarnation = incarnation
			}
		})
		h.revision++
		h.d.ProveOwnership(testFence + h.revision) // writes of progress
		h.decide()
		for _, renewal := range h.renewals {
			responding := int64(1)
			if renewal.To.ID == workerID(1) {
				responding = incarnation
			}
			h.d.HandleReport(h.now, h.now, renewal.To.ID, false, fleet.Report{Incarnation: responding, Clock: 1000 + (h.now-began).Milliseconds()%2000})
		}
		h.commitAll()
	}
	for _, r := range h.recorded {
		if r.ID == string(workerID(0)) && r.Settled != 1 {
			t.Errorf("the list names incarnation %d of the worker that has settled, want 1", r.Settled)
		}
	}
}
