package dispatch

import (
	"testing"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
)

// newTakeoverHarness returns a harness of a new owner whose previous owner recorded workers 0 to n-1.
func newTakeoverHarness(t *testing.T, n int) *harness {
	t.Helper()
	h := &harness{t: t, now: time.Hour, wall: time.Unix(1_800_000_000, 0), resultNumbers: nil}
	h.d = New(h.now, testOptions(), event.Discard{})
	h.d.SetConfiguration(testConfiguration())
	var recorded []RecordedWorker
	for i := range n {
		recorded = append(recorded, RecordedWorker{ID: string(workerID(i)), Address: workerEntry(i).Address, Settled: workerEntry(i).Incarnation})
	}
	h.d.SetRecordedWorkers(recorded)
	h.listWorkers(n)
	h.commitAll()
	return h
}

func (h *harness) addPreviousOwnerJob(id fleet.JobID, p *Progress, steps ...fleet.Step) {
	h.d.AddJob(h.now, &fleet.Submission{ID: id, Queue: "quick", Service: "pool", Steps: steps}, testFence-1, 0, p)
}

// Guards against TWICE: a worker has moved to another address, and its owner is lost before the durable list has that address. The
// successor would take another worker that responds at the former one as proof that the runs there have ended.
func TestMovedWorkerGetsRunsOnceItsAddressIsRecorded(t *testing.T) {
	h := newHarness(t, 1)
	h.listWorkers(1, func(_ int, e *fleet.WorkerEntry) { e.Address = "10.0.9.9:80" })
	h.submit("quick", "a", tasks(1, 4))
	h.advance(time.Millisecond)
	h.decide()
	if len(h.starts) != 0 {
		t.Fatalf("started while the list has address %q", h.recorded[0].Address)
	}
	h.commitAll()
	h.advance(time.Millisecond)
	h.decide()
	if len(h.starts) != 1 || h.recorded[0].Address != "10.0.9.9:80" {
		t.Fatalf("%d starts, recorded address %q, want one start and the new address", len(h.starts), h.recorded[0].Address)
	}
}

// The owner is lost while a worker is unreachable. Tasks that may run there must not be started
// elsewhere, but new submissions proceed.
func TestOnlyInheritedSubmissionsWaitForUnreachableWorkers(t *testing.T) {
	h := newTakeoverHarness(t, 2)
	h.addPreviousOwnerJob("old", nil, tasks(1, 4))
	h.submit("quick", "new", tasks(1, 4))
	h.decide()
	h.reportRuns(workerID(0), nil)
	h.decide()
	if len(h.starts) != 1 || h.starts[0].Start.Task.Job != "new" {
		t.Fatalf("starts %v, want only the new submission", h.starts)
	}
	h.acceptStarts(h.starts)
	for waited := time.Duration(0); waited < 8*time.Second; waited += 200 * time.Millisecond {
		h.advance(200 * time.Millisecond)
		h.d.HandleRenewFailure(h.now, workerID(1), errNoResponse)
		h.report(workerID(0))
		h.decide()
		if len(h.starts) != 0 {
			t.Fatalf("the old submission is started %v after the takeover", waited)
		}
	}
	h.advance(time.Second)
	h.report(workerID(0))
	h.decide()
	if len(h.starts) != 1 || h.starts[0].Start.Task.Job != "old" {
		t.Fatalf("starts %v, want the old submission once every lease has expired", h.starts)
	}
}

// All VMs lose power while some workers are unreachable (aulaplan-sofia-grown trouble-1). The
// previous owner's process is known to have ended, so only its last leases have to expire.
func TestKnownEndOfPreviousOwnerShortensTheWait(t *testing.T) {
	h := newTakeoverHarness(t, 2)
	h.addPreviousOwnerJob("old", nil, tasks(1, 4))
	h.reportRuns(workerID(0), nil)
	h.d.PreviousOwnerStopped(h.now - time.Second)
	previousEnd := h.now - time.Second
	for len(h.starts) == 0 && h.now < previousEnd+8*time.Second {
		h.advance(50 * time.Millisecond)
		h.d.HandleRenewFailure(h.now, workerID(1), errNoResponse)
		h.report(workerID(0))
		h.decide()
	}
	if waited := h.now - previousEnd; len(h.starts) != 1 || waited < testLease || waited > testLease+500*time.Millisecond {
		t.Fatalf("%d starts %v after the previous owner's end, want one when a lease of %v has expired", len(h.starts), waited, testLease)
	}
}

// Owners follow each other quickly. An owner that is not recorded in the store must not grant
// leases, because the next owner would query another one about them.
func TestOwnerGrantsNothingBeforeItIsRecorded(t *testing.T) {
	h := &harness{t: t, now: time.Hour, wall: time.Unix(1_800_000_000, 0)}
	h.d = New(h.now, testOptions(), event.Discard{})
	h.d.SetConfiguration(testConfiguration())
	h.d.SetRecordedWorkers([]RecordedWorker{{ID: string(workerID(0)), Address: workerEntry(0).Address}})
	h.listWorkers(1)
	h.submit("quick", "a", tasks(1, 4))
	for range 3 {
		h.decide()
		for _, renewal := range h.renewals {
			if renewal.Renew.Deadline != 0 {
				t.Fatalf("a lease is granted to %s before the owner is recorded", renewal.To.ID)
			}
			h.report(renewal.To.ID)
		}
		if len(h.starts) != 0 {
			t.Fatal("a run is started before the owner is recorded")
		}
	}
	h.commitAll()
	h.decide()
	if len(h.renewals) != 1 || h.renewals[0].Renew.Deadline == 0 || len(h.starts) != 1 {
		t.Fatalf("renewals %v, starts %v once the owner is recorded, want one of each", h.renewals, h.starts)
	}
}

// A worker's entry expires while it is cut off from the store, its last run ends, and the store goes down before that is written
// (deadly-among-faults). The next owner has to wait for the worker, which still has the result: the task ran twice.
func TestWorkerWithUnwrittenResultsStaysRecorded(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("quick", "a", tasks(1, 4))
	h.decide()
	first := h.starts[0]
	h.acceptStarts(h.starts)
	h.report(first.To.ID)
	h.listWorkers(0)
	h.report(first.To.ID, h.runResult(first, fleet.OutcomeDone))
	h.d.workerListDirty = true
	for _, rec := range h.d.NextBatch(h.now, 30) {
		if rec.IsWorkerList && (len(rec.Workers) != 1 || rec.Workers[0].ID != string(first.To.ID)) {
			t.Fatalf("recorded workers %v, want %s", rec.Workers, first.To.ID)
		}
	}
}

// Workers were drained and have left before the owner is lost (scale_in, then power_off_all). The
// new owner must not wait for them.
func TestEmptyDrainingWorkerIsNotRecorded(t *testing.T) {
	h := newHarness(t, 2)
	draining := func(on bool) {
		h.listWorkers(2, func(i int, e *fleet.WorkerEntry) { e.Draining, e.DrainRemaining = on && i == 0, 2*time.Second })
		h.advance(sweepInterval)
		h.decide()
	}
	recorded := func() (names []string, written bool) {
		for _, rec := range h.d.NextBatch(h.now, 30) {
			if rec.IsWorkerList {
				written = true
				for _, w := range rec.Workers {
					names = append(names, w.ID)
				}
			}
			h.d.HandleBatchResult(h.now, []Record{rec}, true)
		}
		return names, written
	}
	draining(true)
	if names, written := recorded(); !written || len(names) != 1 || names[0] != string(workerID(1)) {
		t.Fatalf("recorded workers %v, want only the one that remains", names)
	}
	draining(true)
	if _, written := recorded(); written {
		t.Fatal("the worker list is written again without a change")
	}
	draining(false)
	if names, _ := recorded(); len(names) != 2 {
		t.Fatalf("recorded workers %v, want both once the drain was canceled", names)
	}
}

// A worker crashes, its machine returns with another worker at the same address, and then the owner
// is lost (aulaplan-sofia scale-1). The rejection by the other worker proves that the first is dead.
func TestIncarnationRejectionProvesRecordedWorkerDead(t *testing.T) {
	h := newTakeoverHarness(t, 2)
	h.addPreviousOwnerJob("old", nil, tasks(1, 4))
	h.decide()
	h.reportRuns(workerID(0), nil)
	h.d.HandleRenewFailure(h.now, workerID(1), rejection(fleet.RejectedIncarnation))
	h.decide()
	if len(h.starts) != 1 || h.starts[0].To.ID != workerID(0) {
		t.Fatalf("starts %v, want the old task on the remaining worker", h.starts)
	}
}

func TestRunsOfReplacedWorkerStartElsewhereAtOnce(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("quick", "a", tasks(1, 4))
	h.decide()
	first := h.starts[0]
	h.acceptStarts(h.starts)
	h.report(first.To.ID)
	h.decide() // sends the renewal that will be rejected
	h.advance(time.Millisecond)
	h.d.HandleRenewFailure(h.now, first.To.ID, rejection(fleet.RejectedIncarnation))
	h.decide()
	if len(h.starts) != 0 {
		t.Fatalf("starts %v before the crash under the task is durable", h.starts)
	}
	for range 2 { // the crash, then the next start
		h.commitAll()
		h.advance(time.Millisecond)
		h.decide()
	}
	if len(h.starts) != 1 || h.starts[0].To.ID == first.To.ID {
		t.Fatalf("starts %v, want the task on the other worker", h.starts)
	}
}

// A worker that returned at another address may have started runs there when a rejection from its
// old address arrives.
func TestRejectionFromOldAddressKeepsRunsAtNewAddress(t *testing.T) {
	h := newHarness(t, 1)
	h.report(workerID(0))
	h.decide()
	h.listWorkers(1, func(_ int, e *fleet.WorkerEntry) { e.Address = "10.0.1.1:80" })
	h.commitAll()
	h.submit("quick", "a", tasks(1, 4))
	h.decide()
	h.acceptStarts(h.starts)
	h.advance(time.Millisecond)
	h.d.HandleRenewFailure(h.now, workerID(0), rejection(fleet.RejectedIncarnation))
	h.decide()
	if len(h.starts) != 0 || len(h.d.RunsAt(workerID(0))) != 1 {
		t.Fatalf("starts %v, known runs %v; want no starts and one run", h.starts, h.d.RunsAt(workerID(0)))
	}
}

func TestDrainingWorkerStaysRecordedUntilResultsAreDurable(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("quick", "a", tasks(2, 20))
	h.decide()
	h.acceptStarts(h.starts)
	first := h.starts[0]
	h.listWorkers(2, func(i int, e *fleet.WorkerEntry) { e.Draining = workerID(i) == first.To.ID })
	h.report(first.To.ID, h.runResult(first, fleet.OutcomeDone))
	h.listWorkers(2, func(i int, e *fleet.WorkerEntry) { e.Draining = workerID(i) == first.To.ID })
	for _, rec := range h.d.NextBatch(h.now, 30) {
		if rec.IsWorkerList {
			t.Fatalf("worker list %v is written while a result of %s is not durable", rec.Workers, first.To.ID)
		}
	}
}

func TestTakeoverAdoptsRunningAndEndedRuns(t *testing.T) {
	h := newTakeoverHarness(t, 2)
	h.addPreviousOwnerJob("old", nil, tasks(3, 4))
	task := func(i int) fleet.TaskID { return fleet.TaskID{StepID: fleet.StepID{Job: "old"}, Index: i} }
	h.reportRuns(workerID(0), []fleet.RunStatus{{RunID: fleet.RunID{Task: task(0), Run: 7}, Percent: 50}})
	h.reportRuns(workerID(1), nil, fleet.RunResult{Number: 3, RunID: fleet.RunID{Task: task(1), Run: 8}, Outcome: fleet.OutcomeDone})
	h.commitAll()
	h.decide()
	if len(h.starts) != 1 || h.starts[0].Start.Task != task(2) {
		t.Fatalf("starts %v, want only the task that is neither running nor done", h.starts)
	}
	for _, renewal := range h.renewals {
		if renewal.To.ID == workerID(1) && renewal.Renew.Acknowledged != 3 {
			t.Fatalf("acknowledged %d, want 3 once the result is durable", renewal.Renew.Acknowledged)
		}
	}
}

func TestFailedRunReportedAgainAfterTakeoverCountsOnce(t *testing.T) {
	h := newTakeoverHarness(t, 1)
	id := fleet.TaskID{StepID: fleet.StepID{Job: "old"}}
	h.addPreviousOwnerJob("old", &Progress{Tasks: []TaskProgress{{FailedRuns: []int64{5, 6}}}}, tasks(1, 4))
	h.reportRuns(workerID(0), nil, fleet.RunResult{Number: 1, RunID: fleet.RunID{Task: id, Run: 6}, Outcome: fleet.OutcomeFailed})
	h.decide()
	if got := h.d.jobs["old"].state; got.Final() {
		t.Fatalf("final state %v after two of three attempts", got)
	}
	h.advance(time.Second)
	h.reportRuns(workerID(0), nil, fleet.RunResult{Number: 2, RunID: fleet.RunID{Task: id, Run: 9}, Outcome: fleet.OutcomeFailed})
	if got := h.d.jobs["old"].state; got != fleet.StateFailed {
		t.Fatalf("state %v after three attempts, want failed", got)
	}
}

func TestResultIsAcknowledgedOnlyOnceDurable(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("quick", "a", tasks(1, 4))
	h.decide()
	first := h.starts[0]
	h.acceptStarts(h.starts)
	h.report(first.To.ID, h.runResult(first, fleet.OutcomeDone))
	if got := h.d.Status("a").State; got.Final() {
		t.Fatalf("%v is reported before it is durable", got)
	}
	h.advance(unackedPollInterval)
	h.decide()
	for _, renewal := range h.renewals {
		if renewal.Renew.Acknowledged != 0 || renewal.Renew.Wait != 0 {
			t.Fatalf("renewal %+v acknowledges or waits before the result is durable", renewal.Renew)
		}
	}
	batch := h.d.NextBatch(h.now, 30)
	h.d.HandleBatchResult(h.now, batch, false)
	if got := h.d.Status("a").State; got.Final() {
		t.Fatalf("%v is reported after a failed write", got)
	}
	h.advance(time.Second)
	h.report(first.To.ID)
	h.advance(unackedPollInterval)
	h.decide()
	for _, renewal := range h.renewals {
		if renewal.Renew.Acknowledged != 0 {
			t.Fatal("the result is acknowledged after a failed write; a new owner would not find it")
		}
	}
	h.commitAll()
	if got := h.d.Status("a").State; got != fleet.StateCompleted {
		t.Fatalf("state %v, want completed", got)
	}
	h.report(first.To.ID)
	h.decide()
	for _, renewal := range h.renewals {
		if renewal.Renew.Acknowledged != 1 {
			t.Fatalf("acknowledged %d after the write, want 1", renewal.Renew.Acknowledged)
		}
	}
}

func TestFailureIsReportedOnlyOnceDurable(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("quick", "a", tasks(1, 4))
	for range 3 {
		h.decide()
		first := h.starts[0]
		h.acceptStarts(h.starts)
		h.report(first.To.ID, h.runResult(first, fleet.OutcomeFailed))
	}
	if got := h.d.Status("a").State; got.Final() {
		t.Fatalf("%v is reported before it is durable", got)
	}
	h.commitAll()
	if got := h.d.Status("a").State; got != fleet.StateFailed {
		t.Fatalf("state %v, want failed", got)
	}
}

func TestCancelBeforeSubmissionTakesEffect(t *testing.T) {
	h := newHarness(t, 1)
	h.d.Cancel(h.now, "a", "")
	h.submit("quick", "a", tasks(1, 4))
	h.decide()
	if len(h.starts) != 0 {
		t.Fatal("a canceled submission is started")
	}
	h.commitAll()
	if got := h.d.Status("a").State; got != fleet.StateCanceled {
		t.Fatalf("state %v, want canceled", got)
	}
}

// A worker rejects run numbers up to the highest it has seen of a task, so those of a later owner
// must be higher.
func TestRunNumbersIncreaseAcrossOwners(t *testing.T) {
	last := int64(0)
	for _, fence := range []int64{testFence, testFence + 1, testFence + 500} {
		opts := testOptions()
		opts.Fence = fence
		h := &harness{t: t, now: time.Hour, wall: time.Unix(1_800_000_000, 0)}
		h.d = New(h.now, opts, event.Discard{})
		h.d.SetConfiguration(testConfiguration())
		h.listWorkers(1)
		h.commitAll()
		h.decide()
		h.reportRuns(workerID(0), nil)
		h.d.AddJob(h.now, &fleet.Submission{ID: "a", Queue: "quick", Service: "pool", Steps: []fleet.Step{tasks(1, 1)}}, fence+1, 0, nil)
		h.decide()
		if len(h.starts) != 1 || h.starts[0].Start.Run <= last {
			t.Fatalf("fence %d: starts %v after run %d", fence, h.starts, last)
		}
		last = h.starts[0].Start.Run
	}
}

// Guards against an entry whose address answers nothing and that holds up the tasks of earlier submissions after each change of
// owner, until the longest lease of a worker has run out: the durable list contained it, though no run had ever been there.
func TestWorkerThatNeverReportedIsNotRecorded(t *testing.T) {
	h := newHarness(t, 1)
	h.listWorkers(2)
	h.commitAll()
	recorded := func() (list []RecordedWorker) {
		for batch := h.d.NextBatch(h.now, 30); len(batch) > 0; batch = h.d.NextBatch(h.now, 30) {
			for _, rec := range batch {
				if rec.IsWorkerList {
					list = rec.Workers
				}
			}
			h.d.HandleBatchResult(h.now, batch, true)
		}
		return list
	}
	for range unknownAfterFailedRenewals {
		h.advance(renewRetryDelay)
		h.decide()
		h.d.HandleRenewFailure(h.now, workerID(1), errNoResponse)
		h.report(workerID(0))
	}
	h.listWorkers(2)
	if list := recorded(); len(list) != 1 || list[0].ID != string(workerID(0)) {
		t.Fatalf("recorded %v, want the worker that reports", list)
	}
	h.listWorkers(2)
	if list := recorded(); list != nil {
		t.Fatalf("the same list is written again: %v", list)
	}
	h.report(workerID(1)) // it was cut off
	h.submit("quick", "wide", tasks(16, 4))
	h.advance(time.Millisecond)
	h.decide()
	for _, s := range h.starts {
		if s.To.ID == workerID(1) {
			t.Fatal("a run is started on a worker that a new owner would not know")
		}
	}
	h.acceptStarts(h.starts)
	if list := recorded(); len(list) != 2 {
		t.Fatalf("recorded %v once it reports, want both", list)
	}
	h.advance(time.Millisecond)
	h.report(workerID(1))
	if h.decide(); len(h.starts) == 0 {
		t.Fatal("no run is started on the worker that reports again")
	}
}
