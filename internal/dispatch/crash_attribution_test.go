package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
	"filbertcross/internal/verdict"
)

// Guards against sound submissions that fail for crashes: a worker restarts, its next incarnation executes a start before the owner
// knows of it, and a renewal that the former one should have answered fails. The run is at work, and no crash may be counted against it.
func TestRunOnUnknownIncarnationIsNotCountedAsCrashed(t *testing.T) {
	h := newHarness(t, 1)
	h.decide()
	h.submit("quick", "a", tasks(1, 4))
	h.commitAll()
	h.advance(300 * time.Millisecond)
	h.decide()
	start := h.starts[0].Start.RunID
	h.advance(time.Millisecond)
	h.d.HandleStartResponse(h.now, start, workerID(0), 1000, nil)
	h.advance(RenewWait)
	h.d.HandleRenewFailure(h.now, workerID(0), errNoResponse)
	h.advance(time.Millisecond)
	h.decide()
	sent := h.now
	h.advance(time.Millisecond)
	h.d.HandleReport(h.now, sent, workerID(0), false, fleet.Report{Incarnation: 2, Clock: 2000, Running: []fleet.RunStatus{{RunID: start, Percent: 20}}})
	if crashes := h.d.findTask(start.Task).history.crashes; crashes != 0 || h.d.runs[start] == nil || h.d.runs[start].exposed {
		t.Fatalf("%d crashes counted, run known: %v", crashes, h.d.runs[start] != nil)
	}
}

// historyAfter lets a task run on a worker, ends the worker's responses with end, and returns the crash history of the
// task once it is done and the worker responds again.
func historyAfter(t *testing.T, end func(f *crashFleet, id model.WorkerID)) crashHistory {
	t.Helper()
	f := newCrashFleet(t, 3)
	f.submit("quick", "a", tasks(1, 4))
	f.pass(100*time.Millisecond, func() bool { return f.starts[taskID("a", 0)] == 1 })
	var on model.WorkerID
	for r := range f.d.runs {
		on = f.d.runs[r].worker.entry.ID
	}
	end(f, on)
	if !f.pass(15*time.Second, func() bool { return f.state("a").Final() }) || f.state("a") != fleet.StateCompleted {
		t.Fatalf("the submission is %v after its worker stopped responding", f.state("a"))
	}
	f.pass(max(f.silentUntil[on]-f.now, 0)+time.Second, func() bool { return false })
	return f.d.findTask(taskID("a", 0)).history
}

// A worker that stops responding and continues afterwards has not crashed: it was silent, cut off or frozen. Work on such
// workers was counted as crashed, or started in isolation for ever.
func TestSilentWorkerHasNotCrashed(t *testing.T) {
	for name, silence := range map[string]time.Duration{"shorter than the lease": time.Second, "longer than the lease": 6 * time.Second} {
		h := historyAfter(t, func(f *crashFleet, id model.WorkerID) {
			f.silentUntil[id] = f.now + silence
		})
		if h.crashes != 0 || h.possible != 0 || h.suspect || len(h.exposed) != 0 {
			t.Errorf("a silence %s: %d crashes, %d possible ones, suspect %v, %d exposures, want none", name, h.crashes, h.possible, h.suspect, len(h.exposed))
		}
	}
}

// A worker that announced that it leaves is replaced by another one at its address (scale_in). That is no crash.
func TestWorkerThatLeftHasNotCrashed(t *testing.T) {
	h := historyAfter(t, func(f *crashFleet, id model.WorkerID) {
		f.listWorkers(3, func(i int, e *fleet.WorkerEntry) { e.Draining = workerID(i) == id })
		f.crash(id)
	})
	if h.crashes != 0 || h.suspect {
		t.Errorf("%d crashes, suspect %v after the worker left, want none", h.crashes, h.suspect)
	}
}

// A machine that is taken down for its maintenance ends its worker on purpose.
func TestMaintainedWorkerHasNotCrashed(t *testing.T) {
	h := historyAfter(t, func(f *crashFleet, id model.WorkerID) {
		f.d.workers[id].retired = true
		f.crash(id)
	})
	if h.crashes != 0 || h.suspect {
		t.Errorf("%d crashes, suspect %v after the maintenance, want none", h.crashes, h.suspect)
	}
}

// A crash under a task that crashes nothing, such as of a machine that lost power, is counted, and the task runs in
// isolation once. Afterwards it is not suspected any more.
func TestSuspicionEndsWithARunInIsolation(t *testing.T) {
	h := historyAfter(t, func(f *crashFleet, id model.WorkerID) { f.crash(id) })
	if h.crashes != 1 || h.suspect {
		t.Errorf("%d crashes, suspect %v after a run in isolation, want 1 and no suspicion", h.crashes, h.suspect)
	}
}

// restart replaces the owner of a fleet by one that knows what is stored.
func (f *crashFleet) restart(stored map[fleet.JobID]*Progress, recorded []RecordedWorker, subs ...*fleet.Submission) {
	old := f.d.opts
	f.revision++
	old.Fence = testFence + f.revision
	f.d = New(f.now, old, event.Discard{})
	f.d.SetConfiguration(testConfiguration())
	f.d.SetRecordedWorkers(recorded)
	f.listWorkers(len(f.incarnation))
	for _, sub := range subs {
		f.d.AddJob(f.now, sub, testFence-1, 0, stored[sub.ID])
	}
}

// Each crash of a task is followed by a change of owner, or the loss of all VMs, which leaves what is in the store: counts
// that an owner kept for itself were lost, and the task began anew under each owner (incident BUDGET).
func TestCrashCountsOutliveOwners(t *testing.T) {
	deadly := taskID("deadly", 0)
	for name, c := range map[string]struct {
		moment  func(f *crashFleet) bool
		crashes int // at the most. A start that may not have happened is no full count; the platform tolerates five starts.
	}{
		"before the crash is proved": {func(f *crashFleet) bool {
			return len(f.d.findTask(deadly).history.exposed) > 0 && f.d.findTask(deadly).step.job.durableVersion > 0
		}, maxCrashes},
		"after it was counted": {func(f *crashFleet) bool {
			return f.d.findTask(deadly).history.crashes > 0 && f.d.findTask(deadly).mayStartIsolated(f.now)
		}, crashesToFailLate},
	} {
		f := newCrashFleet(t, 6, deadly)
		sub := &fleet.Submission{ID: "deadly", Queue: "quick", Service: "pool", Steps: []fleet.Step{tasks(1, 4)}}
		f.restart(nil, nil, sub)
		for range 8 {
			seen := f.crashes[deadly]
			if !f.pass(20*time.Second, func() bool { return f.state("deadly").Final() || f.crashes[deadly] > seen && c.moment(f) }) {
				t.Fatalf("owner replaced %s: the submission is %v after %d crashes", name, f.state("deadly"), f.crashes[deadly])
			}
			if f.state("deadly").Final() {
				break
			}
			f.restart(f.stored, f.recorded, sub)
		}
		if f.state("deadly") != fleet.StateFailed || f.crashes[deadly] > c.crashes {
			t.Errorf("owner replaced %s: the submission is %v after %d crashes, want it failed after %d at the most", name, f.state("deadly"), f.crashes[deadly], c.crashes)
		}
		cause := f.d.Status("deadly").Cause
		f.restart(f.stored, f.recorded, sub)
		if got := f.d.Status("deadly"); got.State != fleet.StateFailed || got.Cause == "" || got.Cause != cause {
			t.Errorf("owner replaced %s: the next owner says %v, %q, want failed, %q", name, got.State, got.Cause, cause)
		}
	}
}

// A suspected task that crashes nothing is done, and the owner is lost before that is written; then its worker crashes for another
// reason. The next owner knows only that a start was recorded, and must not give the task up for that (soak, seed 5042).
func TestLostResultOfASuspectedTaskIsNoCrashOfIt(t *testing.T) {
	f := newCrashFleet(t, 6)
	sub := &fleet.Submission{ID: "a", Queue: "quick", Service: "pool", Steps: []fleet.Step{tasks(1, 4)}}
	f.restart(nil, nil, sub)
	task := f.d.findTask(taskID("a", 0))
	task.history, task.step.hasSuspects = crashHistory{crashes: 2, suspect: true}, true
	f.pass(20*time.Second, func() bool { return f.starts[taskID("a", 0)] == 1 })
	on := task.runs[0].worker.entry.ID
	f.storeDown = true
	f.pass(3*time.Second, func() bool { return task.state == taskDone })
	f.crash(on)
	f.storeDown = false
	f.restart(f.stored, f.recorded, sub)
	f.pass(20*time.Second, func() bool { return f.state("a").Final() })
	if f.state("a") != fleet.StateCompleted {
		t.Fatalf("the submission is %v, %q", f.state("a"), f.d.Status("a").Cause)
	}
}

// An owner starts a suspected task only once the crash is in the store: the next owner would not know of it.
func TestSuspectedTaskWaitsUntilTheCrashIsDurable(t *testing.T) {
	deadly := taskID("deadly", 0)
	f := newCrashFleet(t, 4, deadly)
	f.submit("quick", "deadly", tasks(1, 4))
	f.pass(time.Second, func() bool { return f.crashes[deadly] == 1 })
	f.storeDown = true
	if f.pass(10*time.Second, func() bool { return f.starts[deadly] > 1 }) {
		t.Fatal("the task was started again while its crash was not durable")
	}
	f.storeDown = false
	if !f.pass(10*time.Second, func() bool { return f.state("deadly") == fleet.StateFailed }) {
		t.Fatalf("the submission is %v after the store is back", f.state("deadly"))
	}
}

// A task crashes its workers only two seconds after each start, beside work that has just begun. The younger runs are suspected
// first, so that the count of the crashes in a row has to find it.
func TestTaskThatCrashesItsWorkersLateIsGivenUp(t *testing.T) {
	deadly := taskID("deadly", 0)
	f := newCrashFleet(t, 6, deadly)
	f.crashDelay = 2 * time.Second
	long := tasks(1, 4)
	long.Estimate = 8 * time.Second
	f.submit("quick", "deadly", long)
	n := 0
	f.pass(60*time.Second, func() bool {
		if n++; n%10 == 0 {
			f.submit("quick", fleet.JobID(rune('A'+n/10)), tasks(1, 2))
		}
		return f.state("deadly").Final()
	})
	if f.state("deadly") != fleet.StateFailed || f.crashes[deadly] > 4 {
		t.Fatalf("the submission is %v after %d crashes, want it failed after 4 at the most", f.state("deadly"), f.crashes[deadly])
	}
}

// One member of a gang crashes its worker, which ends the whole gang.
func TestGangThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	deadly := taskID("deadly", 1)
	f := newCrashFleet(t, 6, deadly)
	gang := tasks(3, 16)
	gang.Gang = true
	f.submit("quick", "deadly", gang)
	f.pass(60*time.Second, func() bool { return f.state("deadly").Final() })
	if f.state("deadly") != fleet.StateFailed || f.crashes[deadly] > maxGangCrashes {
		t.Fatalf("the submission is %v after %d crashes, want it failed after %d", f.state("deadly"), f.crashes[deadly], maxGangCrashes)
	}
}

// Guards against gangs that are given up for the crashes of another one (soak seed 51101): gangs that were lost together were started
// again together, beside the one that crashes its workers. The load is 40 gangs of two on six workers, handed in at once.
func TestGangsBesideACrashingOneAreNotGivenUp(t *testing.T) {
	deadly := taskID("deadly", 0)
	f := newCrashFleet(t, 6, deadly)
	gang := tasks(2, 2)
	gang.Gang, gang.Estimate = true, time.Second
	one := tasks(1, 2)
	one.Gang = true
	ids := []fleet.JobID{}
	for i := range 40 {
		if i == 3 {
			f.submit("quick", "deadly", one)
		}
		ids = append(ids, fleet.JobID(fmt.Sprint("gang", i)))
		f.submit("quick", ids[i], gang)
	}
	f.pass(60*time.Second, func() bool {
		return f.state("deadly").Final() && !slices.ContainsFunc(ids, func(id fleet.JobID) bool { return !f.state(id).Final() })
	})
	if f.state("deadly") != fleet.StateFailed || f.crashes[deadly] > maxGangCrashes {
		t.Errorf("the submission that crashes its workers is %v after %d crashes", f.state("deadly"), f.crashes[deadly])
	}
	failed := 0
	for _, id := range ids {
		if f.state(id) != fleet.StateCompleted {
			failed++
		}
	}
	if failed > 0 {
		t.Errorf("%d of %d gangs beside it are not completed", failed, len(ids))
	}
}

// A task that lasts is started again however its runs end. One that crashes its workers is given up all the same.
func TestLastingTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	deadly := taskID("deadly", 0)
	f := newCrashFleet(t, 4, deadly)
	s := tasks(2, 4)
	s.LongRunning = true
	f.submit("quick", "deadly", s)
	f.pass(30*time.Second, func() bool { return f.state("deadly").Final() })
	if f.state("deadly") != fleet.StateFailed || f.crashes[deadly] > 2 {
		t.Fatalf("the submission is %v after %d crashes, want it failed after 2", f.state("deadly"), f.crashes[deadly])
	}
}

// All workers are busy, so that none is without runs. A suspected task gets a worker that is held back for it, and waits no longer than
// isolationWait for that.
func TestSuspectedTaskStartsOnABusyFleet(t *testing.T) {
	f := newCrashFleet(t, 4)
	s := tasks(16, 7)
	s.Estimate = 20 * time.Second
	f.submit("quick", "busy", s)
	f.pass(600*time.Millisecond, func() bool { return false })
	f.submit("quick", "a", tasks(1, 4))
	f.pass(time.Second, func() bool { return f.starts[taskID("a", 0)] == 1 })
	for r := range f.d.runs {
		if r.Task.Job == "a" {
			f.crash(f.d.runs[r].worker.entry.ID)
			break
		}
	}
	began := f.now
	again := f.pass(restartTime+isolationWait+time.Second, func() bool { return f.starts[taskID("a", 0)] == 2 })
	if !again {
		t.Fatalf("the task was not started again %v after the crash", f.now-began)
	}
	if !f.pass(20*time.Second, func() bool { return f.state("a") == fleet.StateCompleted }) {
		t.Fatalf("the submission is %v", f.state("a"))
	}
}

// Tickets for a worker expire before its runs have ended, and the next ones are for another worker. A suspected task held back one
// worker after the other and started on none (LOST on salnorte-fc, deadly-among-faults, seed 2).
func TestSuspectedTaskStartsThoughItsTicketsExpire(t *testing.T) {
	f := newCrashFleet(t, 4)
	f.ticketValidity = isolationWait - 500*time.Millisecond
	s := tasks(16, 7)
	s.Estimate = 60 * time.Second
	f.submit("quick", "busy", s)
	f.pass(600*time.Millisecond, func() bool { return false })
	f.submit("advised", "a", tasks(1, 4))
	f.pass(time.Second, func() bool { return f.starts[taskID("a", 0)] == 1 })
	for r := range f.d.runs {
		if r.Task.Job == "a" {
			f.crash(f.d.runs[r].worker.entry.ID)
			break
		}
	}
	if !f.pass(restartTime+2*isolationWait, func() bool { return f.starts[taskID("a", 0)] == 2 }) {
		t.Fatalf("the task was not started again %v after its worker was back", 2*isolationWait)
	}
}

// A run was started and confirmed after the worker's last report, by the new incarnation: it is running there. handleRestart
// must neither end it nor count the crash of the previous incarnation against it.
func TestRunConfirmedByTheNewIncarnationContinues(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("quick", "a", tasks(1, 4))
	h.decide()
	started := h.starts[0]
	h.acceptStarts(h.starts)
	sent := h.now
	h.advance(time.Millisecond)
	status := fleet.RunStatus{RunID: started.Start.RunID, Percent: 1}
	h.d.HandleReport(h.now, sent, workerID(0), false, fleet.Report{Incarnation: 2, Clock: 5, Running: []fleet.RunStatus{status}})
	h.advance(sweepInterval)
	h.decide()
	if got := h.d.RunsAt(workerID(0)); len(got) != 1 || len(h.starts) != 0 || len(h.stops) != 0 {
		t.Fatalf("runs %v, starts %v, stops %v after the restart, want the run to continue", got, h.starts, h.stops)
	}
	if crashes := h.d.findTask(taskID("a", 0)).history.crashes; crashes != 0 {
		t.Errorf("%d crashes counted, want none", crashes)
	}
}

// Failures of a previous incarnation say nothing about the new one, which would be in quarantine after its first failure.
func TestRestartedWorkerHasNoFailures(t *testing.T) {
	f := newCrashFleet(t, 1)
	f.d.workers[workerID(0)].consecutiveFailures = quarantineFailures - 1
	f.crash(workerID(0))
	f.pass(restartTime+time.Second, func() bool { return f.d.workers[workerID(0)].incarnation == 2 })
	if n := f.d.workers[workerID(0)].consecutiveFailures; n != 0 {
		t.Errorf("%d failures after the restart, want none", n)
	}
}

// The connection to a worker is closed without a crash, by a link (reset_conns). The copy of the run on it is started in isolation,
// and the suspicion ends with the worker's next response.
func TestClosedConnectionIsNoCrash(t *testing.T) {
	f := newCrashFleet(t, 2)
	f.submit("quick", "a", tasks(1, 4))
	f.pass(100*time.Millisecond, func() bool { return f.starts[taskID("a", 0)] == 1 })
	for _, w := range f.d.workerList {
		f.d.HandleRenewFailure(f.now, w.entry.ID, &fleet.CallError{Op: "hold", Verdict: verdict.MayHaveRun, Cause: fleet.ErrConnectionLost})
	}
	task := f.d.findTask(taskID("a", 0))
	if !task.needsIsolation() {
		t.Fatal("the task is not suspected while its worker does not respond")
	}
	f.pass(500*time.Millisecond, func() bool { return false })
	if task.needsIsolation() || task.history.crashes != 0 {
		t.Errorf("suspected %v, %d crashes after the worker responded", task.needsIsolation(), task.history.crashes)
	}
}

// No other run is started beside a task that may crash its worker, until its run has outlived its probation.
func TestNothingStartsBesideASuspectedTask(t *testing.T) {
	deadly := taskID("deadly", 0)
	f := newCrashFleet(t, 2, deadly)
	f.submit("quick", "deadly", tasks(1, 4))
	f.pass(time.Second, func() bool { return f.crashes[deadly] == 1 })
	f.crashing[deadly] = false // it crashed for another reason
	long := tasks(1, 4)
	long.Estimate = 20 * time.Second
	f.d.findTask(deadly).step.def.Estimate = 20 * time.Second
	f.pass(10*time.Second, func() bool { return f.starts[deadly] == 2 })
	var suspected *run
	for _, r := range f.d.runs {
		suspected = r
	}
	f.submit("quick", "a", tasks(12, 4))
	f.pass(startupWindow-100*time.Millisecond, func() bool { return false })
	if n := len(suspected.worker.runs); n != 1 {
		t.Fatalf("%d runs on the worker of a suspected task, want only its own", n)
	}
	f.pass(startupWindow+200*time.Millisecond, func() bool { return false })
	if n := len(suspected.worker.runs); n == 1 {
		t.Fatal("no run is started beside the task after its probation")
	}
}

// The crashes under a gang outlive a change of owner, and one run of it is counted once, however many members run on workers
// that crash.
func TestCrashesOfAGangAreCountedByRun(t *testing.T) {
	gang := tasks(2, 20)
	gang.Gang = true
	f := newCrashFleet(t, 4)
	sub := &fleet.Submission{ID: "gang", Queue: "quick", Service: "pool", Steps: []fleet.Step{gang}}
	f.restart(nil, nil, sub)
	f.pass(2*time.Second, func() bool { return f.starts[taskID("gang", 1)] == 1 })
	for _, w := range f.d.workerList {
		if len(w.runs) > 0 {
			f.crash(w.entry.ID)
		}
	}
	counted := func() int { return len(f.d.findTask(taskID("gang", 0)).step.gangCrashedRuns) }
	f.pass(restartTime+time.Second, func() bool { return counted() > 0 })
	f.pass(200*time.Millisecond, func() bool { return false })
	if counted() != 1 {
		t.Fatalf("%d crashes counted for one run of the gang, want 1", counted())
	}
	f.restart(f.stored, f.recorded, sub)
	if counted() != 1 {
		t.Fatalf("%d crashes known to the next owner, want 1", counted())
	}
}

// The owner is lost after it has started a suspected task, before it notices the crash. The start is in the store, so that the next
// owner counts the crash.
func TestCrashAfterARecordedStartIsCountedByTheNextOwner(t *testing.T) {
	deadly := taskID("deadly", 0)
	f := newCrashFleet(t, 6, deadly)
	sub := &fleet.Submission{ID: "deadly", Queue: "quick", Service: "pool", Steps: []fleet.Step{tasks(1, 4)}}
	f.restart(nil, nil, sub)
	f.pass(20*time.Second, func() bool { return f.starts[deadly] == 2 })
	f.restart(f.stored, f.recorded, sub)
	f.pass(restartTime+time.Second, func() bool { return f.d.findTask(deadly).history.possible == 1 })
	if h := f.d.findTask(deadly).history; h.crashes != 1 || h.possible != 1 {
		t.Fatalf("%d crashes and %d possible ones known to the next owner, want 1 and 1", h.crashes, h.possible)
	}
}

// A speculative step copies a run on a worker that stopped responding. If the run had just begun, the copy must not take other work with
// it: it went to a worker with many runs, and crashed that, too (incident BUDGET).
func TestCopyOfASuspectedRunIsIsolated(t *testing.T) {
	deadly := taskID("deadly", 0)
	f := newCrashFleet(t, 6, deadly) // workers 4 and 5 are in rack r1
	busy := tasks(2, 4)
	busy.PreferredRack, busy.Estimate = "r1", 20*time.Second
	f.submit("quick", "busy", busy)
	f.pass(time.Second, func() bool { return false })
	s := tasks(1, 4)
	s.Speculative, s.PreferredRack = true, "r1"
	f.submit("quick", "deadly", s)
	if !f.pass(restartTime, func() bool { return f.starts[deadly] == 2 }) {
		t.Fatal("the run was not copied while its worker did not respond")
	}
	var copied *run
	for _, r := range f.d.runs {
		if copied == nil || r.id.Run > copied.id.Run {
			copied = r
		}
	}
	if len(copied.worker.runs) > 1 {
		t.Errorf("the copy is started on %s, which has %d runs", copied.worker.entry.ID, len(copied.worker.runs))
	}
	f.pass(20*time.Second, func() bool { return f.state("deadly").Final() })
	if f.state("deadly") != fleet.StateFailed || f.crashes[deadly] > 3 {
		t.Errorf("the submission is %v after %d crashes, want it failed after 3 at the most", f.state("deadly"), f.crashes[deadly])
	}
}

// Guards against a crash that is not counted (soak seed 1): the owner sent no renewal between the start of the run and the restart
// of its worker, so no failed renewal exposed the run, and the new incarnation does not list it.
func TestCrashWithoutAFailedRenewalIsCounted(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("quick", "j", tasks(1, 4))
	sent := h.now // of a renewal that is answered after the start
	h.advance(time.Millisecond)
	h.decide()
	start := h.starts[0]
	h.acceptStarts(h.starts)
	h.d.HandleReport(h.now, sent, workerID(0), false, fleet.Report{Incarnation: 1, Clock: h.now.Milliseconds(), Running: h.runStatuses(workerID(0))})
	for range 2 {
		h.advance(2 * time.Second)
		h.d.HandleReport(h.now, h.now-time.Millisecond, workerID(0), false, fleet.Report{Incarnation: 9, Clock: h.now.Milliseconds()})
	}
	if got := h.d.findTask(start.Start.Task).history.crashes; got != 1 {
		t.Fatalf("%d crashes counted, want one", got)
	}
	if n := len(h.d.RunsAt(workerID(0))); n != 0 {
		t.Fatalf("%d runs on the restarted worker", n)
	}
}
