package partition

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"filbertcross/internal/model"
	"filbertcross/internal/platform"
	"filbertcross/internal/schedule"
)

// newStartedCluster returns a cluster whose first owner has reports from all workers.
func newStartedCluster(t *testing.T, workers int) *testCluster {
	tc := newTestCluster(workers)
	tc.takeOver()
	tc.runRounds(t, 0, 2, time.Second, "")
	return tc
}

// runningTasks returns the number of running tasks on the worker.
func (w *fakeWorker) runningTasks() int {
	n := 0
	for _, task := range w.tasks {
		if task.state == platform.TaskRunning {
			n++
		}
	}
	return n
}

func TestTasksSurviveStoreOutageShorterThanLead(t *testing.T) {
	tc := newStartedCluster(t, 1)
	tc.submit(tc.vms[0], 1, true)
	tc.runRounds(t, 0, 4, time.Second, "")
	tc.store.down = true
	tc.runRounds(t, 0, 6, time.Second, "")
	tc.store.down = false
	tc.runRounds(t, 0, 20, time.Second, "")
	if tc.workers[0].runningTasks() != 1 || len(tc.startedAttempts["p~1/0"]) != 1 {
		t.Fatalf("%d tasks running, attempts %v", tc.workers[0].runningTasks(), tc.startedAttempts["p~1/0"])
	}
}

func TestStoreOutageLongerThanLeadRestartsTaskOnce(t *testing.T) {
	tc := newStartedCluster(t, 2)
	tc.submit(tc.vms[0], 1, true)
	tc.runRounds(t, 0, 4, time.Second, "")
	tc.store.down = true
	tc.runRounds(t, 0, 25, time.Second, "")
	if got := tc.workers[0].runningTasks() + tc.workers[1].runningTasks(); got != 0 {
		t.Fatalf("%d tasks run after the lead", got)
	}
	tc.store.down = false
	tc.runRounds(t, 0, 5, time.Second, "")
	if got := tc.workers[0].runningTasks() + tc.workers[1].runningTasks(); got != 1 || len(tc.startedAttempts["p~1/0"]) != 2 {
		t.Fatalf("%d tasks running, attempts %v", got, tc.startedAttempts["p~1/0"])
	}
}

func TestSubmissionIsRejectedImmediatelyDuringStoreOutage(t *testing.T) {
	tc := newStartedCluster(t, 1)
	tc.store.down = true
	tc.submit(tc.vms[0], 1, true)
	tc.runRounds(t, 0, 1, time.Millisecond, "")
	if len(tc.vms[0].owner.submissions) != 0 || tc.acknowledged["p~1"] {
		t.Fatal("submission is pending or was accepted")
	}
	tc.store.down = false
	tc.runRounds(t, 0, 1, time.Second, "")
	tc.submit(tc.vms[0], 1, true)
	tc.runRounds(t, 0, 2, time.Second, "Append") // the store does not answer
	tc.submit(tc.vms[0], 1, true)
	if waiting := len(tc.vms[0].owner.submissions); waiting != 1 {
		t.Fatalf("%d submissions pending while the store does not answer, want 1", waiting)
	}
}

// On a worker with a slow clock leases end later than on the owner's clock. The drift
// margin must cover the difference at every moment.
func TestLeaseExpiryAllowsForClockDrift(t *testing.T) {
	tc := newStartedCluster(t, 2)
	tc.clockRates = []float64{0.99, 1}
	tc.submit(tc.vms[0], 1, true)
	tc.runRounds(t, 0, 6, time.Second, "")
	tc.requestsLost[[2]int{0, 0}] = true
	tc.runRounds(t, 0, 1200, 10*time.Millisecond, "")
	if len(tc.startedAttempts["p~1/0"]) != 2 {
		t.Fatalf("attempts %v, want 2", tc.startedAttempts["p~1/0"])
	}
}

func TestUnexpectedTaskBlocksPlacementUntilStopped(t *testing.T) {
	tc := newTestCluster(1)
	worker := tc.workers[0]
	ref := platform.TaskRef{Task: "other/0", Attempt: 1}
	worker.tasks[ref] = &fakeTask{state: platform.TaskRunning, start: platform.StartRequest{
		Partition: "p", Task: ref.Task, Size: worker.capacity, LeaseUntil: 1 << 60}}
	tc.jobs["other"] = model.Job{Restartable: true}
	tc.takeOver()
	tc.submit(tc.vms[0], 2, true)
	tc.runRounds(t, 0, 3, time.Second, "Stop")
	if worker.runningTasks() != 1 {
		t.Fatalf("%d tasks run alongside an unexpected task", worker.runningTasks()-1)
	}
	tc.runRounds(t, 0, 3, time.Second, "")
	if worker.runningTasks() != 2 || worker.tasks[ref] != nil {
		t.Fatalf("%d tasks run after the unexpected task was stopped", worker.runningTasks())
	}
}

// overcommittingDecider schedules as if each worker had ten times its capacity.
type overcommittingDecider struct{ schedule.Decider }

func (o overcommittingDecider) UpsertWorker(now time.Time, w schedule.Worker) {
	w.Capacity.MilliCPU *= 10
	o.Decider.UpsertWorker(now, w)
}

func TestOwnerRejectsOvercommittingDecision(t *testing.T) {
	tc := newTestCluster(1)
	tc.decider = func() schedule.Decider { return overcommittingDecider{newScheduler()} }
	tc.takeOver()
	tc.runRounds(t, 0, 2, time.Second, "")
	tc.submit(tc.vms[0], 5, true)
	if tc.violation == "" {
		t.Fatal("no invariant violation was reported")
	}
	tc.violation = ""
	for range 3 {
		for _, o := range tc.vms[0].ops {
			tc.advanceOperation(0, tc.vms[0], o)
		}
	}
	tc.violation = ""
	tc.checkInvariants(t)
}

// A stop that found no task must not end the attempt while its start is in flight: the
// start may take effect afterwards.
func TestStopResultIgnoredWhileStartIsUnresolved(t *testing.T) {
	tc := newStartedCluster(t, 2)
	tc.submit(tc.vms[0], 1, true)
	tc.runRounds(t, 0, 2, time.Second, "Start")
	owner := tc.vms[0].owner
	owner.preemptAttempt(owner.attempts["p~1/0"])
	tc.collectCommands(tc.vms[0])
	tc.runRounds(t, 0, 2, time.Second, "Start")
	for _, o := range append([]*operation(nil), tc.vms[0].ops...) {
		tc.advanceOperation(0, tc.vms[0], o)
		tc.checkInvariants(t)
	}
}

func TestEndedAttemptIsForgottenOnlyOnceLogged(t *testing.T) {
	tc := newStartedCluster(t, 1)
	tc.submit(tc.vms[0], 1, false)
	tc.runRounds(t, 0, 2, time.Second, "")
	for _, task := range tc.workers[0].tasks {
		task.state = platform.TaskDone
	}
	tc.runRounds(t, 0, 4, time.Second, "Append")
	tc.takeOver()
	tc.runRounds(t, 1, 4, time.Second, "")
	if s, _ := tc.vms[1].owner.JobStatus("p~1"); s.Tasks[0].State != "done" {
		t.Fatalf("the task ended as %q", s.Tasks[0].State)
	}
}

func TestRepeatedSubmissionReturnsFirstJob(t *testing.T) {
	tc := newStartedCluster(t, 1)
	tc.submit(tc.vms[0], 1, true)
	job := tc.jobs["p~1"]
	tc.runRounds(t, 0, 1, time.Second, "")
	tc.takeOver()
	owner := tc.vms[1].owner
	repeat := job
	repeat.ID = "p~again"
	owner.Submit(tc.now, 101, repeat)
	repeat.Tasks = 7
	owner.Submit(tc.now, 102, repeat)
	var replies []Reply
	for _, c := range owner.Commands() {
		if r, ok := c.(Reply); ok {
			replies = append(replies, r)
		}
	}
	if len(replies) != 2 || replies[0].Job != job.ID || replies[0].Err != nil || replies[1].Err != ErrKeyMismatch {
		t.Fatalf("unexpected replies %+v", replies)
	}
}

// A placement decided while the cancellation of its job was being logged comes after the
// cancellation in the log and must not be started.
func TestCancellationPrecedingPlacementInLogPreventsStart(t *testing.T) {
	tc := newTestCluster(1)
	tc.listed[0] = false
	tc.takeOver()
	tc.submit(tc.vms[0], 1, true)
	tc.runRounds(t, 0, 2, time.Second, "")
	tc.cancel(tc.vms[0], "p~1")
	tc.listed[0] = true
	tc.runRounds(t, 0, 3, time.Second, "Append")
	tc.runRounds(t, 0, 3, time.Second, "")
	if len(tc.startedAttempts["p~1/0"]) != 0 {
		t.Fatalf("canceled job has attempts %v", tc.startedAttempts["p~1/0"])
	}
}

// A takeover of a log that is full must take a snapshot and continue.
func TestTakeoverCompactsFullLog(t *testing.T) {
	tc := newStartedCluster(t, 1)
	var err error
	for n := 0; err == nil; n++ {
		job := model.Job{ID: model.JobID(fmt.Sprintf("p~full%d", n)), Branch: "b", Kind: model.KindBatch,
			Tasks: 1, Size: model.Resources{MilliCPU: 1}, Restartable: true}
		err = tc.vms[0].log.Append(context.Background(), [][]byte{encode(logRecord{Submitted: &jobSubmitted{Job: job}})})
	}
	tc.takeOver()
	tc.runRounds(t, 1, 5, time.Second, "")
	if tc.workers[0].runningTasks() != 2 {
		t.Fatalf("%d tasks run after takeover of a full log, want 2", tc.workers[0].runningTasks())
	}
}

// A stop may be executed before a start in flight and answered after the start's answer.
// Its answer must not end the attempt.
func TestLateAnswerOfStopExecutedBeforeStartIsIgnored(t *testing.T) {
	tc := newStartedCluster(t, 1)
	tc.submit(tc.vms[0], 1, true)
	vm := tc.vms[0]
	tc.runRounds(t, 0, 2, time.Second, "Start")
	vm.owner.preemptAttempt(vm.owner.attempts["p~1/0"])
	tc.collectCommands(vm)
	for _, kind := range []string{"Stop", "Start", "Start", "Stop"} {
		for _, o := range vm.ops {
			if strings.Contains(fmt.Sprintf("%T", o.command), kind) {
				tc.advanceOperation(0, vm, o)
				break
			}
		}
	}
	tc.runRounds(t, 0, 5, time.Second, "")
}
