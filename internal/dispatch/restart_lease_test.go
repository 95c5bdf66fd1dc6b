package dispatch

import (
	"testing"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
)

// restartedWorker is a worker whose next incarnation executes a command that was meant for the one before. Its clock began anew,
// so the deadline is far ahead and is shortened to the longest lease that a worker grants.
type restartedWorker struct {
	*harness
	clock    int64         // ms on the clock of the new incarnation at backAt; it has the slowest rate
	backAt   time.Duration // when the new incarnation executed the renewal
	leaseEnd time.Duration // when its lease ends, on the slowest clock
	run      fleet.RunID   // that was started there
}

const restartedIncarnation = 2

// newRestartedWorker returns a worker that has crashed silently, and whose new clock begins at the given reading. The first renewal
// after the crash got no answer, and nothing else has been sent since.
func newRestartedWorker(t *testing.T, clock int64) *restartedWorker {
	t.Helper()
	w := &restartedWorker{harness: newHarness(t, 1), clock: clock}
	for end := w.now + maxCommandDelay; w.now < end; { // until no command of an earlier owner can be executed any more
		w.advance(RenewWait)
		w.decide()
		w.report(workerID(0))
		w.commitAll()
	}
	w.advance(RenewWait)
	w.decide()
	if len(w.renewals) != 1 || w.renewals[0].Renew.Deadline == 0 {
		t.Fatalf("renewals %+v, want one with a deadline", w.renewals)
	}
	w.advance(RenewWait)
	w.backAt = w.now
	w.leaseEnd = leaseEnd(w.now, testMaxLease) - leaseExpiryMargin
	w.advance(CommandTimeout)
	w.d.HandleRenewFailure(w.now, workerID(0), errNoResponse)
	return w
}

// restartedEntry is the change of the restarted worker's entry in the platform's list.
func restartedEntry(i int, e *fleet.WorkerEntry) {
	if i == 0 {
		e.Incarnation = restartedIncarnation
	}
}

// answer answers the renewals of the last decision as the new incarnation, which lists the runs that were started on it.
func (w *restartedWorker) answer(runs ...fleet.RunID) {
	sent := w.now
	w.advance(time.Millisecond)
	var running []fleet.RunStatus
	for _, r := range runs {
		running = append(running, fleet.RunStatus{RunID: r, Percent: 1})
	}
	for range w.renewals {
		w.d.HandleReport(w.now, sent, workerID(0), false, fleet.Report{
			Incarnation: restartedIncarnation, Clock: w.clock + int64(minClockRate*float64((w.now-w.backAt).Milliseconds())), Running: running,
		})
	}
}

// startRun lets the owner learn of the restart, submits a long task, and lists its run for a while.
func (w *restartedWorker) startRun() {
	w.t.Helper()
	w.listWorkers(1, restartedEntry)
	long := tasks(1, 4)
	long.Estimate = 30 * time.Second
	w.submit("quick", "a", long)
	for end := w.now + time.Second; len(w.starts) == 0; w.advance(20 * time.Millisecond) {
		if w.now > end {
			w.t.Fatal("the task is not started on the restarted worker")
		}
		w.decide()
		w.answer()
		w.commitAll()
	}
	w.run = w.starts[0].Start.RunID
	w.acceptStarts(w.starts)
	for range 2 {
		w.advance(RenewWait)
		w.decide()
		w.answer(w.run)
	}
}

// firstStartElsewhere cuts the worker off, adds another one, and returns when the task is started there.
func (w *restartedWorker) firstStartElsewhere() time.Duration {
	w.t.Helper()
	for end := w.now + 20*time.Second; w.now < end; w.advance(20 * time.Millisecond) {
		w.listWorkers(2, restartedEntry)
		w.commitAll()
		w.decide()
		for _, renewal := range w.renewals {
			if renewal.To.ID == workerID(0) {
				w.d.HandleRenewFailure(w.now, workerID(0), errNoResponse)
				continue
			}
			w.d.HandleReport(w.now, w.now, renewal.To.ID, false, fleet.Report{Incarnation: 1, Clock: w.now.Milliseconds()})
		}
		if len(w.starts) > 0 {
			if w.starts[0].To.ID != workerID(1) {
				w.t.Fatalf("start on %s, which does not answer", w.starts[0].To.ID)
			}
			return w.now
		}
	}
	w.t.Fatal("the task is not started on the other worker")
	return 0
}

// Guards against TWICE: a worker is restarted, executes a renewal that was meant for its former incarnation, and is cut off; its
// run is at work until the longest lease is over, while the owner started the task elsewhere after its own lease (issue 62).
func TestRestartedWorkerMayHoldTheLeaseOfAnEarlierDeadline(t *testing.T) {
	w := newRestartedWorker(t, 1000)
	w.startRun()
	if at := w.firstStartElsewhere(); at < w.leaseEnd {
		t.Errorf("the task's next run starts %v after the worker was back; the first one is at work until %v", at-w.backAt, w.leaseEnd-w.backAt)
	}
}

// Guards against TWICE: the owner is killed while a run is at work on a worker that was restarted shortly before and may hold the
// longest lease; its successor never has an answer from that worker (issue 62).
func TestSuccessorWaitsForTheLeaseOfARestartedWorker(t *testing.T) {
	w := newRestartedWorker(t, 1000)
	w.startRun()
	w.replaceOwner()
	if at := w.firstStartElsewhere(); at < w.leaseEnd {
		t.Errorf("the task's next run starts %v after the worker was back; the first one is at work until %v", at-w.backAt, w.leaseEnd-w.backAt)
	}
}

// Guards against TWICE: a worker is dropped as its entry in the list has expired, and returns under its ID with the lease that a
// command to its former incarnation grants (issue 62).
func TestReturnedWorkerMayHoldTheLeaseOfAnEarlierDeadline(t *testing.T) {
	w := newRestartedWorker(t, 1000)
	w.listWorkers(0)
	for range 3 {
		w.advance(sweepInterval)
		w.decide()
		for range w.renewals {
			w.d.HandleRenewFailure(w.now, workerID(0), errNoResponse)
		}
	}
	if w.d.workers[workerID(0)] != nil {
		t.Fatal("the worker is not dropped")
	}
	w.startRun()
	if at := w.firstStartElsewhere(); at < w.leaseEnd {
		t.Errorf("the task's next run starts %v after the worker was back; the first one is at work until %v", at-w.backAt, w.leaseEnd-w.backAt)
	}
}

// Guards against TWICE: a run is started on an incarnation that its owner does not know of, as the worker has crashed and returned since
// its last report, and is cut off before the next one (issue 62).
func TestRunOnUnknownIncarnationMayHoldTheLongestLease(t *testing.T) {
	w := &restartedWorker{harness: newHarness(t, 1)}
	w.submit("quick", "a", tasks(1, 4))
	w.decide()
	w.backAt = w.now
	w.leaseEnd = leaseEnd(w.now, testMaxLease) - leaseExpiryMargin
	w.d.HandleStartResponse(w.now, w.starts[0].Start.RunID, workerID(0), 1000, nil)
	if at := w.firstStartElsewhere(); at < w.leaseEnd {
		t.Errorf("the task's next run starts %v after its first start was answered; that run is at work until %v", at-w.backAt, w.leaseEnd-w.backAt)
	}
}

// The answer to a start by the known incarnation lengthens nothing.
func TestRunOnKnownIncarnationHoldsTheOrdinaryLease(t *testing.T) {
	w := &restartedWorker{harness: newHarness(t, 1)}
	w.submit("quick", "a", tasks(1, 4))
	w.decide()
	w.acceptStarts(w.starts)
	answered := w.now
	limit := leaseEnd(answered, testLease) + sweepInterval + 200*time.Millisecond
	if at := w.firstStartElsewhere(); at > limit {
		t.Errorf("the task's next run starts %v after the answer, want %v at most", at-answered, limit-answered)
	}
}

// A worker whose incarnation the former owner had known for long has only leases of the ordinary length, and its successor does
// not wait for more.
func TestSuccessorWaitsForTheOrdinaryLeaseOfAWorkerKnownForLong(t *testing.T) {
	w := newRestartedWorker(t, 1000)
	w.startRun()
	for end := w.now + testMaxLease; w.now < end; {
		w.advance(RenewWait)
		w.decide()
		w.answer(w.run)
		w.commitAll()
	}
	w.replaceOwner()
	silentSince := w.now
	limit := leaseEnd(silentSince, testLease) + sweepInterval + 200*time.Millisecond
	if at := w.firstStartElsewhere(); at > limit {
		t.Errorf("the task's next run starts %v after the last answer, want %v at most", at-silentSince, limit-silentSince)
	}
}

// replaceOwner kills the owner and elects another one, which has the stored state.
func (w *restartedWorker) replaceOwner() {
	opts := testOptions()
	w.revision += 2
	opts.Fence = testFence + w.revision
	sub := w.d.jobs["a"].sub
	w.d = New(w.now, opts, event.Discard{})
	w.d.SetConfiguration(testConfiguration())
	w.d.SetRecordedWorkers(w.recorded)
	w.d.AddJob(w.now, sub, testFence+1, 0, nil)
	w.d.PreviousOwnerStopped(w.now)
}

// A deadline that has passed on the new clock grants nothing, and no task waits for it.
func TestRestartedWorkerWithPassedDeadlineIsNotWaitedFor(t *testing.T) {
	w := newRestartedWorker(t, time.Hour.Milliseconds()*10)
	w.startRun()
	silentSince := w.now
	limit := leaseEnd(silentSince, testLease) + sweepInterval + 200*time.Millisecond
	if at := w.firstStartElsewhere(); at > limit {
		t.Errorf("the task's next run starts %v after the last answer, want %v at most", at-silentSince, limit-silentSince)
	}
}

// Guards against TWICE: a start that an unknown incarnation rejects extends the lease of the run that it has started before (issue 62).
func TestRejectedStartExtendsTheLeaseOnUnknownIncarnation(t *testing.T) {
	w := &restartedWorker{harness: newHarness(t, 1)}
	w.submit("quick", "a", tasks(2, 4))
	w.decide()
	w.run = w.starts[0].Start.RunID
	w.d.HandleStartResponse(w.now, w.run, workerID(0), 1000, nil)
	w.advance(250 * time.Millisecond)
	w.leaseEnd = leaseEnd(w.now, testMaxLease) - leaseExpiryMargin
	w.d.HandleStartResponse(w.now, w.starts[1].Start.RunID, workerID(0), 1250, rejection(fleet.RejectedNoCapacity))
	for w.d.runs[w.run] != nil {
		w.advance(20 * time.Millisecond)
		w.decide()
		for range w.renewals {
			w.d.HandleRenewFailure(w.now, workerID(0), errNoResponse)
		}
	}
	if w.now < w.leaseEnd {
		t.Errorf("the run counts as ended %v before its lease", w.leaseEnd-w.now)
	}
}
