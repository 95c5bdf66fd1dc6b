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

// newStartedCluster returns a world whose first owner knows all workers.
func newStartedCluster(t *testing.T, workers int) *testCluster {
	w := newTestCluster(workers)
	w.takeOver()
	w.brisk(t, 0, 2, time.Second, "")
	return w
}

// running counts the running tasks on a worker.
func (k *fakeWorker) running() int {
	n := 0
	for _, task := range k.tasks {
		if task.state == platform.TaskRunning {
			n++
		}
	}
	return n
}

func TestRunningWorkSurvivesOutageShorterThanLead(t *testing.T) {
	w := newStartedCluster(t, 1)
	w.submit(w.vms[0], 1, true)
	w.brisk(t, 0, 4, time.Second, "")
	w.store.down = true
	w.brisk(t, 0, 6, time.Second, "")
	w.store.down = false
	w.brisk(t, 0, 20, time.Second, "")
	if w.workers[0].running() != 1 || len(w.begun["p~1/0"]) != 1 {
		t.Fatalf("%d running, attempts %v", w.workers[0].running(), w.begun["p~1/0"])
	}
}

func TestOutageLongerThanLeadRestartsWorkOnce(t *testing.T) {
	w := newStartedCluster(t, 2)
	w.submit(w.vms[0], 1, true)
	w.brisk(t, 0, 4, time.Second, "")
	w.store.down = true
	w.brisk(t, 0, 25, time.Second, "")
	if got := w.workers[0].running() + w.workers[1].running(); got != 0 {
		t.Fatalf("%d tasks run beyond the lead", got)
	}
	w.store.down = false
	w.brisk(t, 0, 5, time.Second, "")
	if got := w.workers[0].running() + w.workers[1].running(); got != 1 || len(w.begun["p~1/0"]) != 2 {
		t.Fatalf("%d running, attempts %v", got, w.begun["p~1/0"])
	}
}

func TestSubmissionIsRefusedAtOnceInOutage(t *testing.T) {
	w := newStartedCluster(t, 1)
	w.store.down = true
	w.submit(w.vms[0], 1, true)
	w.brisk(t, 0, 1, time.Millisecond, "")
	if len(w.vms[0].owner.submissions) != 0 || w.acked["p~1"] {
		t.Fatal("the submission waits or was accepted")
	}
	w.store.down = false
	w.brisk(t, 0, 1, time.Second, "")
	w.submit(w.vms[0], 1, true)
	w.brisk(t, 0, 2, time.Second, "Append") // the store hangs
	w.submit(w.vms[0], 1, true)
	if waiting := len(w.vms[0].owner.submissions); waiting != 1 {
		t.Fatalf("%d submissions wait for a store that hangs", waiting)
	}
}

// The leases of a worker with a slow clock end after those of its owner's: the
// margin covers it at every moment.
func TestLapseCoversClockDrift(t *testing.T) {
	w := newStartedCluster(t, 2)
	w.rates = []float64{0.99, 1}
	w.submit(w.vms[0], 1, true)
	w.brisk(t, 0, 6, time.Second, "")
	w.cut[[2]int{0, 0}] = true
	w.brisk(t, 0, 1200, 10*time.Millisecond, "")
	if len(w.begun["p~1/0"]) != 2 {
		t.Fatalf("attempts %v", w.begun["p~1/0"])
	}
}

func TestForeignTaskHoldsTheWorkerUntilItIsStopped(t *testing.T) {
	w := newTestCluster(1)
	k := w.workers[0]
	ref := platform.TaskRef{Task: "other/0", Attempt: 1}
	k.tasks[ref] = &fakeTask{state: platform.TaskRunning, start: platform.Start{
		Partition: "p", Task: ref.Task, Size: k.capacity, LeaseUntil: 1 << 60}}
	w.jobs["other"] = model.Job{Restartable: true}
	w.takeOver()
	w.submit(w.vms[0], 2, true)
	w.brisk(t, 0, 3, time.Second, "Stop")
	if k.running() != 1 {
		t.Fatalf("%d tasks run beside a foreign one", k.running()-1)
	}
	w.brisk(t, 0, 3, time.Second, "")
	if k.running() != 2 || k.tasks[ref] != nil {
		t.Fatalf("%d tasks run after the foreign one was stopped", k.running())
	}
}

// overfilling is a decision that believes in ten times each worker's capacity.
type overfilling struct{ schedule.Decider }

func (o overfilling) UpsertWorker(now time.Time, w schedule.Worker) {
	w.Capacity.MilliCPU *= 10
	o.Decider.UpsertWorker(now, w)
}

func TestOwnerRefusesToOverfill(t *testing.T) {
	w := newTestCluster(1)
	w.decider = func() schedule.Decider { return overfilling{newScheduler()} }
	w.takeOver()
	w.brisk(t, 0, 2, time.Second, "")
	w.submit(w.vms[0], 5, true)
	if w.broken == "" {
		t.Fatal("no invariant was asserted")
	}
	w.broken = ""
	for range 3 {
		for _, o := range w.vms[0].ops {
			w.run(0, w.vms[0], o)
		}
	}
	w.broken = ""
	w.check(t)
}

// A start that is still on its way may land after a stop that found nothing.
func TestStopProvesNothingWhileTheStartIsOpen(t *testing.T) {
	w := newStartedCluster(t, 2)
	w.submit(w.vms[0], 1, true)
	w.brisk(t, 0, 2, time.Second, "Start")
	owner := w.vms[0].owner
	owner.preemptAttempt(owner.attempts["p~1/0"])
	w.drain(w.vms[0])
	w.brisk(t, 0, 2, time.Second, "Start")
	for _, o := range append([]*op(nil), w.vms[0].ops...) {
		w.run(0, w.vms[0], o)
		w.check(t)
	}
}

func TestEndedAttemptIsForgottenOnlyOnceLogged(t *testing.T) {
	w := newStartedCluster(t, 1)
	w.submit(w.vms[0], 1, false)
	w.brisk(t, 0, 2, time.Second, "")
	for _, task := range w.workers[0].tasks {
		task.state = platform.TaskDone
	}
	w.brisk(t, 0, 4, time.Second, "Append")
	w.takeOver()
	w.brisk(t, 1, 4, time.Second, "")
	if s, _ := w.vms[1].owner.JobStatus("p~1"); s.Tasks[0].State != "done" {
		t.Fatalf("the task ended as %q", s.Tasks[0].State)
	}
}

func TestRepeatedSubmissionFindsTheFirstJob(t *testing.T) {
	w := newStartedCluster(t, 1)
	w.submit(w.vms[0], 1, true)
	job := w.jobs["p~1"]
	w.brisk(t, 0, 1, time.Second, "")
	w.takeOver()
	owner := w.vms[1].owner
	repeat := job
	repeat.ID = "p~again"
	owner.Submit(w.now, 101, repeat)
	repeat.Tasks = 7
	owner.Submit(w.now, 102, repeat)
	var replies []Reply
	for _, c := range owner.Commands() {
		if r, ok := c.(Reply); ok {
			replies = append(replies, r)
		}
	}
	if len(replies) != 2 || replies[0].Job != job.ID || replies[0].Err != nil || replies[1].Err != ErrKeyMismatch {
		t.Fatalf("replies %+v", replies)
	}
}

// A placement that was decided while its job's cancellation was being logged
// stands behind it in the log, and must not be started.
func TestCancelWinsOverPlacementBehindIt(t *testing.T) {
	w := newTestCluster(1)
	w.listed[0] = false
	w.takeOver()
	w.submit(w.vms[0], 1, true)
	w.brisk(t, 0, 2, time.Second, "")
	w.cancel(w.vms[0], "p~1")
	w.listed[0] = true
	w.brisk(t, 0, 3, time.Second, "Append")
	w.brisk(t, 0, 3, time.Second, "")
	if len(w.begun["p~1/0"]) != 0 {
		t.Fatalf("attempts %v of a cancelled job", w.begun["p~1/0"])
	}
}

// An owner that takes over a log without room takes a snapshot and goes on.
func TestTakeoverOfFullLog(t *testing.T) {
	w := newStartedCluster(t, 1)
	var err error
	for n := 0; err == nil; n++ {
		job := model.Job{ID: model.JobID(fmt.Sprintf("p~full%d", n)), Branch: "b", Kind: model.KindBatch,
			Tasks: 1, Size: model.Resources{MilliCPU: 1}, Restartable: true}
		err = w.vms[0].log.Append(context.Background(), [][]byte{encode(logRecord{Submitted: &jobSubmitted{Job: job}})})
	}
	w.takeOver()
	w.brisk(t, 1, 5, time.Second, "")
	if w.workers[0].running() != 2 {
		t.Fatalf("%d tasks run of a full log's jobs", w.workers[0].running())
	}
}

// A stop that was executed before an open start, but whose answer comes after the
// start's, proves nothing.
func TestAnswerOfStopBeforeTheStartProvesNothing(t *testing.T) {
	w := newStartedCluster(t, 1)
	w.submit(w.vms[0], 1, true)
	vm := w.vms[0]
	w.brisk(t, 0, 2, time.Second, "Start")
	vm.owner.preemptAttempt(vm.owner.attempts["p~1/0"])
	w.drain(vm)
	for _, kind := range []string{"Stop", "Start", "Start", "Stop"} {
		for _, o := range vm.ops {
			if strings.Contains(fmt.Sprintf("%T", o.command), kind) {
				w.run(0, vm, o)
				break
			}
		}
	}
	w.brisk(t, 0, 5, time.Second, "")
}
