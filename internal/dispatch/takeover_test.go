package dispatch

import (
	"testing"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
)

// takeover returns a dispatcher that follows an earlier owner which knew workers 0 to n-1.
func newTakeoverHarness(t *testing.T, n int) *harness {
	t.Helper()
	r := &harness{t: t, now: time.Hour, wall: time.Unix(1_800_000_000, 0), resultNumbers: nil}
	r.d = New(r.now, testOptions(), event.Discard{})
	r.d.SetConfiguration(testConfiguration())
	var recorded []RecordedWorker
	for i := range n {
		recorded = append(recorded, RecordedWorker{ID: string(workerID(i)), Address: workerEntry(i).Address})
	}
	r.d.SetRecordedWorkers(recorded)
	r.listWorkers(n)
	r.commitAll()
	return r
}

func (r *harness) addPreviousOwnerJob(id fleet.JobID, p *Progress, steps ...fleet.Step) {
	r.d.AddJob(r.now, &fleet.Submission{ID: id, Queue: "quick", Service: "pool", Steps: steps}, testFence-1, 0, p)
}

// Pattern: the owner is lost while a worker is cut off; what runs there must not be started
// elsewhere, while new submissions go on.
func TestOnlyInheritedSubmissionsWaitForUnreachableWorkers(t *testing.T) {
	r := newTakeoverHarness(t, 2)
	r.addPreviousOwnerJob("old", nil, tasks(1, 4))
	r.submit("quick", "new", tasks(1, 4))
	r.decide()
	r.reportRuns(workerID(0), nil)
	r.decide()
	if len(r.starts) != 1 || r.starts[0].Start.Task.Job != "new" {
		t.Fatalf("starts %v, want only the new submission", r.starts)
	}
	r.acceptStarts(r.starts)
	for waited := time.Duration(0); waited < 8*time.Second; waited += 200 * time.Millisecond {
		r.advance(200 * time.Millisecond)
		r.d.HandleRenewFailure(r.now, workerID(1), errNoResponse)
		r.report(workerID(0))
		r.decide()
		if len(r.starts) != 0 {
			t.Fatalf("old work was started %v after the takeover", waited)
		}
	}
	r.advance(time.Second)
	r.report(workerID(0))
	r.decide()
	if len(r.starts) != 1 || r.starts[0].Start.Task.Job != "old" {
		t.Fatalf("starts %v, want the old submission once every lease has run out", r.starts)
	}
}

// Pattern: power is lost for all VMs while some workers are gone (aulaplan-sofia-grown trouble-1):
// the earlier owner's process is known to have ended, so only its last leases have to run out.
func TestKnownEndOfPreviousOwnerShortensTheWait(t *testing.T) {
	r := newTakeoverHarness(t, 2)
	r.addPreviousOwnerJob("old", nil, tasks(1, 4))
	r.reportRuns(workerID(0), nil)
	r.d.PreviousOwnerEnded(r.now - time.Second)
	begin := r.now - time.Second
	for len(r.starts) == 0 && r.now < begin+8*time.Second {
		r.advance(50 * time.Millisecond)
		r.d.HandleRenewFailure(r.now, workerID(1), errNoResponse)
		r.report(workerID(0))
		r.decide()
	}
	if waited := r.now - begin; len(r.starts) != 1 || waited < testLease || waited > testLease+500*time.Millisecond {
		t.Fatalf("%d starts %v after the earlier owner's end, want one when a lease of %v has run out", len(r.starts), waited, testLease)
	}
}

// Pattern: owners follow each other quickly. One that is not named in the record grants nothing,
// as its successor would ask another one whether it still does.
func TestOwnerGrantsNothingBeforeItIsRecorded(t *testing.T) {
	r := &harness{t: t, now: time.Hour, wall: time.Unix(1_800_000_000, 0)}
	r.d = New(r.now, testOptions(), event.Discard{})
	r.d.SetConfiguration(testConfiguration())
	r.d.SetRecordedWorkers([]RecordedWorker{{ID: string(workerID(0)), Address: workerEntry(0).Address}})
	r.listWorkers(1)
	r.submit("quick", "a", tasks(1, 4))
	for range 3 {
		r.decide()
		for _, h := range r.renewals {
			if h.Renew.Deadline != 0 {
				t.Fatalf("a lease is granted to %s", h.To.ID)
			}
			r.report(h.To.ID)
		}
		if len(r.starts) != 0 {
			t.Fatal("a run is started")
		}
	}
	r.commitAll()
	r.decide()
	if len(r.renewals) != 1 || r.renewals[0].Renew.Deadline == 0 || len(r.starts) != 1 {
		t.Fatalf("holds %v starts %v once the record names it", r.renewals, r.starts)
	}
}

// Pattern: workers were emptied and have left before the owner is lost (scale_in, then
// power_off_all); a successor need not wait for them.
func TestEmptyDrainingWorkerIsNotRecorded(t *testing.T) {
	r := newHarness(t, 2)
	draining := func(on bool) {
		r.listWorkers(2, func(i int, e *fleet.WorkerEntry) { e.Draining, e.DrainRemaining = on && i == 0, 2*time.Second })
		r.advance(sweepInterval)
		r.decide()
	}
	recorded := func() (names []string, written bool) {
		for _, rec := range r.d.NextBatch(r.now, 30) {
			if rec.IsWorkerList {
				written = true
				for _, w := range rec.Workers {
					names = append(names, w.ID)
				}
			}
			r.d.HandleBatchResult(r.now, []Record{rec}, true)
		}
		return names, written
	}
	draining(true)
	if names, written := recorded(); !written || len(names) != 1 || names[0] != string(workerID(1)) {
		t.Fatalf("record %v, want the worker that stays", names)
	}
	draining(true)
	if _, written := recorded(); written {
		t.Fatal("the record is written again without a change")
	}
	draining(false)
	if names, _ := recorded(); len(names) != 2 {
		t.Fatalf("record %v, want both once the worker stays after all", names)
	}
}

// Pattern: a worker crashes, its machine comes back with another one at the address, and then the
// owner is lost (aulaplan-sofia scale-1): the answer of the other one proves that the first is dead.
func TestIncarnationRejectionProvesRecordedWorkerDead(t *testing.T) {
	r := newTakeoverHarness(t, 2)
	r.addPreviousOwnerJob("old", nil, tasks(1, 4))
	r.decide()
	r.reportRuns(workerID(0), nil)
	r.d.HandleRenewFailure(r.now, workerID(1), rejection(fleet.RejectedIncarnation))
	r.decide()
	if len(r.starts) != 1 || r.starts[0].To.ID != workerID(0) {
		t.Fatalf("starts %v, want the old task on the worker that lives", r.starts)
	}
}

func TestRunsOfReplacedWorkerStartElsewhereAtOnce(t *testing.T) {
	r := newHarness(t, 2)
	r.submit("quick", "a", tasks(1, 4))
	r.decide()
	first := r.starts[0]
	r.acceptStarts(r.starts)
	r.report(first.To.ID)
	r.decide() // sends the hold that will be refused
	r.advance(time.Millisecond)
	r.d.HandleRenewFailure(r.now, first.To.ID, rejection(fleet.RejectedIncarnation))
	r.decide()
	if len(r.starts) != 1 || r.starts[0].To.ID == first.To.ID {
		t.Fatalf("starts %v, want the task on the other worker", r.starts)
	}
}

// A worker that came back at another address may have begun runs there when the answer from its
// old address arrives.
func TestRejectionFromOldAddressKeepsRunsAtNewAddress(t *testing.T) {
	r := newHarness(t, 1)
	r.report(workerID(0))
	r.decide()
	r.listWorkers(1, func(_ int, e *fleet.WorkerEntry) { e.Address = "10.0.1.1:80" })
	r.submit("quick", "a", tasks(1, 4))
	r.decide()
	r.acceptStarts(r.starts)
	r.advance(time.Millisecond)
	r.d.HandleRenewFailure(r.now, workerID(0), rejection(fleet.RejectedIncarnation))
	r.decide()
	if len(r.starts) != 0 || len(r.d.RunsAt(workerID(0))) != 1 {
		t.Fatalf("starts %v, booked %v", r.starts, r.d.RunsAt(workerID(0)))
	}
}

func TestDrainingWorkerStaysRecordedUntilResultsAreDurable(t *testing.T) {
	r := newHarness(t, 2)
	r.submit("quick", "a", tasks(2, 20))
	r.decide()
	r.acceptStarts(r.starts)
	first := r.starts[0]
	r.listWorkers(2, func(i int, e *fleet.WorkerEntry) { e.Draining = workerID(i) == first.To.ID })
	r.report(first.To.ID, r.runResult(first, fleet.OutcomeDone))
	r.listWorkers(2, func(i int, e *fleet.WorkerEntry) { e.Draining = workerID(i) == first.To.ID })
	for _, rec := range r.d.NextBatch(r.now, 30) {
		if rec.IsWorkerList {
			t.Fatalf("record %v while an end of %s is not durable", rec.Workers, first.To.ID)
		}
	}
}

func TestTakeoverAdoptsRunningAndEndedRuns(t *testing.T) {
	r := newTakeoverHarness(t, 2)
	r.addPreviousOwnerJob("old", nil, tasks(3, 4))
	task := func(i int) fleet.TaskID { return fleet.TaskID{StepID: fleet.StepID{Job: "old"}, Index: i} }
	r.reportRuns(workerID(0), []fleet.RunStatus{{RunID: fleet.RunID{Task: task(0), Run: 7}, Percent: 50}})
	r.reportRuns(workerID(1), nil, fleet.RunResult{Number: 3, RunID: fleet.RunID{Task: task(1), Run: 8}, Outcome: fleet.OutcomeDone})
	r.commitAll()
	r.decide()
	if len(r.starts) != 1 || r.starts[0].Start.Task != task(2) {
		t.Fatalf("starts %v, want only the task that neither runs nor is done", r.starts)
	}
	for _, h := range r.renewals {
		if h.To.ID == workerID(1) && h.Renew.Acknowledged != 3 {
			t.Fatalf("acknowledged %d, want 3 once it is durable", h.Renew.Acknowledged)
		}
	}
}

func TestFailedRunReportedAgainAfterTakeoverCountsOnce(t *testing.T) {
	r := newTakeoverHarness(t, 1)
	id := fleet.TaskID{StepID: fleet.StepID{Job: "old"}}
	r.addPreviousOwnerJob("old", &Progress{Tasks: []TaskProgress{{FailedRuns: []int64{5, 6}}}}, tasks(1, 4))
	r.reportRuns(workerID(0), nil, fleet.RunResult{Number: 1, RunID: fleet.RunID{Task: id, Run: 6}, Outcome: fleet.OutcomeFailed})
	r.decide()
	if got := r.d.jobs["old"].state; got.Final() {
		t.Fatalf("state %v after two of three attempts", got)
	}
	r.advance(time.Second)
	r.reportRuns(workerID(0), nil, fleet.RunResult{Number: 2, RunID: fleet.RunID{Task: id, Run: 9}, Outcome: fleet.OutcomeFailed})
	if got := r.d.jobs["old"].state; got != fleet.StateFailed {
		t.Fatalf("state %v after three attempts", got)
	}
}

func TestResultIsAcknowledgedOnlyOnceDurable(t *testing.T) {
	r := newHarness(t, 1)
	r.submit("quick", "a", tasks(1, 4))
	r.decide()
	first := r.starts[0]
	r.acceptStarts(r.starts)
	r.report(first.To.ID, r.runResult(first, fleet.OutcomeDone))
	if got := r.d.State("a"); got.Final() {
		t.Fatalf("%v is shown before it is durable", got)
	}
	r.advance(unackedPollInterval)
	r.decide()
	for _, h := range r.renewals {
		if h.Renew.Acknowledged != 0 || h.Renew.Wait != 0 {
			t.Fatalf("hold %+v acknowledges or waits before the end is durable", h.Renew)
		}
	}
	batch := r.d.NextBatch(r.now, 30)
	r.d.HandleBatchResult(r.now, batch, false)
	if got := r.d.State("a"); got.Final() {
		t.Fatalf("%v is shown after a failed write", got)
	}
	r.advance(time.Second)
	r.report(first.To.ID)
	r.advance(unackedPollInterval)
	r.decide()
	for _, h := range r.renewals {
		if h.Renew.Acknowledged != 0 {
			t.Fatal("the end is acknowledged after a failed write: a successor would not find it")
		}
	}
	r.commitAll()
	if got := r.d.State("a"); got != fleet.StateCompleted {
		t.Fatalf("state %v, want completed", got)
	}
	r.report(first.To.ID)
	r.decide()
	for _, h := range r.renewals {
		if h.Renew.Acknowledged != 1 {
			t.Fatalf("acknowledged %d after the write, want 1", h.Renew.Acknowledged)
		}
	}
}

func TestFailureIsReportedOnlyOnceDurable(t *testing.T) {
	r := newHarness(t, 1)
	r.submit("quick", "a", tasks(1, 4))
	for range 3 {
		r.decide()
		first := r.starts[0]
		r.acceptStarts(r.starts)
		r.report(first.To.ID, r.runResult(first, fleet.OutcomeFailed))
	}
	if got := r.d.State("a"); got.Final() {
		t.Fatalf("%v is shown before it is durable", got)
	}
	r.commitAll()
	if got := r.d.State("a"); got != fleet.StateFailed {
		t.Fatalf("state %v, want failed", got)
	}
}

func TestCancelBeforeSubmissionTakesEffect(t *testing.T) {
	r := newHarness(t, 1)
	r.d.Cancel(r.now, "a")
	r.submit("quick", "a", tasks(1, 4))
	r.decide()
	if len(r.starts) != 0 {
		t.Fatal("a cancelled submission was started")
	}
	r.commitAll()
	if got := r.d.State("a"); got != fleet.StateCanceled {
		t.Fatalf("state %v, want canceled", got)
	}
}

// A worker keeps the highest run of a task it has seen: those of a later owner have to be higher.
func TestRunNumbersIncreaseAcrossOwners(t *testing.T) {
	last := int64(0)
	for _, fence := range []int64{testFence, testFence + 1, testFence + 500} {
		opts := testOptions()
		opts.Fence = fence
		r := &harness{t: t, now: time.Hour, wall: time.Unix(1_800_000_000, 0)}
		r.d = New(r.now, opts, event.Discard{})
		r.d.SetConfiguration(testConfiguration())
		r.listWorkers(1)
		r.commitAll()
		r.decide()
		r.reportRuns(workerID(0), nil)
		r.d.AddJob(r.now, &fleet.Submission{ID: "a", Queue: "quick", Service: "pool", Steps: []fleet.Step{tasks(1, 1)}}, fence+1, 0, nil)
		r.decide()
		if len(r.starts) != 1 || r.starts[0].Start.Run <= last {
			t.Fatalf("fence %d: starts %v after run %d", fence, r.starts, last)
		}
		last = r.starts[0].Start.Run
	}
}
